// A VM's copy of one table of the platform's store, and the rules by which it is updated.
//
// Example:
//
//     table_mirror servers({}, {.changed = on_row, .removed = on_removed});
//     servers.apply_snapshot(now, all_rows);
//     servers.apply_changes(now, feed_rows);
//     servers.note_read_failure(now); // the store did not answer
//     servers.tick(now);
//
// The copy never goes back: a page that is older than the copy changes nothing, whether
// it comes from the store or from another VM. If the store comes back from an older copy
// of its own (a later generation of its versions), what is known here stays until it is
// written again: rows whose content is older are passed over, and rows that are missing
// are kept for a while.

#ifndef PISTACHIOSPAN_MIRROR_MIRROR_HPP
#define PISTACHIOSPAN_MIRROR_MIRROR_HPP

#include "pistachiospan/base/base.hpp"
#include "pistachiospan/store_version/store_version.hpp"

#include <deque>
#include <map>
#include <span>
#include <vector>

namespace pistachiospan::mirror
{

struct row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0; // see store_version
    bool deleted = false;
};

// Rows of a table. `position` is the store's newest version at the time of reading. If
// the rows were read in parts, it belongs to the first part: all changes up to it are
// included, and some later ones.
struct page
{
    std::vector<row> rows;
    std::uint64_t position = 0;
};

// Page that one VM sends to another: all rows (`is_snapshot`) or the changes after a
// cursor. A cursor counts the changes of one copy; `instance` identifies the copy.
struct relay_page
{
    mirror::page content;
    bool is_snapshot = false;
    std::uint64_t instance = 0;
    std::uint64_t cursor = 0;
    // Keys of rows that the store does not have any more, and whose removal the sending
    // copy holds after an outage of its own.
    std::vector<std::string> held;
};

// Encodes and compresses a page: the operator's configuration may have hundreds of
// kilobytes.
std::string encode(const relay_page& page);
// Errors: invalid_argument for a malformed page, limit_exceeded for one that is too
// large.
result<relay_page> decode(std::string_view bytes);

struct mirror_options
{
    // Rows that expire during an outage of the store are written again by their owners
    // after it. A removal that the first read after an outage shows therefore takes
    // effect only after this time. 0: at once.
    duration removal_grace{0};
    // Reads that fail for at least this long count as an outage.
    duration outage_threshold = std::chrono::seconds(1);
    // The same for rows that are missing when the store has come back from an older copy:
    // whoever wrote them writes them again.
    duration restore_grace = std::chrono::seconds(5);
    // Time for which removed rows are remembered, to recognise those that an older copy
    // of the store brings back.
    duration removal_memory = std::chrono::minutes(2);
    // A row that was removed and is back in an older copy takes effect if it is not
    // removed again within this time: an upstream's entry lapses after three heartbeats.
    duration revival_delay = std::chrono::seconds(6);
    std::uint64_t instance = 0;      // differs between copies
    std::size_t history_size = 1024; // changes kept for other VMs
};

// Something that the store sent and that was not applied, because the copy is at a later
// version.
struct passed_over
{
    std::string key;           // of the row; empty: a whole page
    std::uint64_t version = 0; // that was received
    std::uint64_t known = 0;   // of the copy
};

// How old the content of a row is, compared with what is known of the same row.
enum class content_age
{
    unknown,
    older,
    same,
    newer,
};

struct mirror_hooks
{
    std::function<void(const row&)> changed;
    std::function<void(const std::string& key)> removed;
    // Tells the age by the contents, where the versions of two generations cannot.
    // Without it, ages are unknown.
    std::function<content_age(const row& received, const row& known)> age_of = nullptr;
    // For logs. Rows that are as they were are not reported.
    std::function<void(const passed_over&)> passed_over = nullptr;
    // The store has come back from an older copy.
    std::function<void()> restored = nullptr;
    // For logs. The store does not have the row any more, and its removal takes effect
    // after a grace period.
    std::function<void(const std::string& key)> removal_held = nullptr;
};

enum class origin
{
    store,
    peer, // another VM, which tracks outages of its own link to the store
};

class table_mirror
{
public:
    table_mirror(mirror_options options, mirror_hooks hooks);

    // Applies all rows of the table. Rows that are missing from it are removed.
    void apply_snapshot(time_point now, const page& all, origin from = origin::store);
    // Applies the rows that changed after position().
    void apply_changes(time_point now, const page& changes, origin from = origin::store);
    // Applies a page from another VM. Returns false if the page was passed over, because
    // this copy is at a later position; it may have changes all the same that this copy
    // does not have, which a later page must contain again.
    bool apply_relay_page(time_point now, const relay_page& received);

    // Notes a failed read of the store. The next successful one ends the outage.
    void note_read_failure(time_point now);
    // Applies the held removals that are due.
    void tick(time_point now);

    bool loaded() const
    {
        return this->current_position != 0;
    }
    // The store has come back from an older copy, as another VM's pages show: the next
    // read of the store must be a snapshot.
    bool needs_snapshot() const
    {
        return this->restore_unread;
    }
    std::uint64_t position() const
    {
        return this->current_position;
    }
    // The highest version of a changed or removed row, up to the position. VMs compare it
    // to find out which of them is behind.
    std::uint64_t newest_change() const
    {
        return this->complete_change;
    }
    page snapshot() const;

    std::uint64_t cursor() const
    {
        return this->changes;
    }
    // Returns the changes after a cursor of this copy, or all rows if the cursor belongs
    // to another copy or its changes are no longer kept.
    relay_page changes_since(std::uint64_t instance, std::uint64_t cursor) const;

private:
    struct removed_row
    {
        row last;
        time_point at;
    };

    void set(const row& update);
    // False if the page is from before the copy's position.
    bool is_later(const page& received) const;
    // True if the page is the first one of a later generation.
    bool is_restored(const page& received) const;
    void finish_page(const page& received, origin from, bool restored);
    std::uint64_t newest_row_up_to(std::uint64_t position) const;
    content_age age_of(const row& received, const row& known) const;
    // True if the content of the row is older than what is known of it.
    bool is_outdated(const row& received) const;
    // True if the row was removed, and may be in the store only because that is lost.
    bool may_be_revived(const row& received, bool in_restored_page) const;
    void hold_revival(time_point now, const row& received);
    bool was_removed(const row& received) const;
    void apply(time_point now, const row& received, origin from, bool in_restored_page);
    std::uint64_t known_version(const std::string& key) const;
    void report_passed_over(const passed_over& what) const;
    // Returns true if the read that has just succeeded is the first one after an outage.
    bool end_outage(time_point now);
    void remove(time_point now, const std::string& key, std::uint64_t version);
    void append_history(const row& change);
    void hold_removal(time_point now, duration grace, const row& removed,
                      origin from = origin::store);
    bool holds_removal(const std::string& key) const;
    void adopt_held_removals(time_point now, std::span<const std::string> keys);

    mirror_options options;
    mirror_hooks hooks;
    std::map<std::string, row> rows;
    struct removal
    {
        time_point due;
        std::uint64_t version = 0;
        origin holder = origin::store; // peer: not this copy but the one it reads from
    };
    std::map<std::string, removal> held_removals; // removals that take effect later
    std::map<std::string, removed_row> removed_rows;
    struct revived_row
    {
        time_point due;
        row received;
    };
    // Removed rows that are back, until they take effect.
    std::map<std::string, revived_row> revived_rows;
    std::uint64_t current_position = 0;
    std::uint64_t last_change = 0;     // newest version of a change that was applied
    std::uint64_t complete_change = 0; // the same, up to the position
    std::uint64_t changes = 0;         // number of changes of this copy
    std::deque<row> history;           // the latest changes
    bool restore_unread = false;
    bool read_failing = false;
    time_point failing_since;
};

} // namespace pistachiospan::mirror

#endif
