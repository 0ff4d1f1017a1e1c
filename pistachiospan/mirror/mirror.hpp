// A VM's copy of one table of the platform's store, and the rules by which it follows it.
//
// Example:
//
//     table_mirror servers({}, {.changed = on_row, .removed = on_removed});
//     servers.apply_snapshot(now, all_rows);
//     servers.apply_changes(now, feed_rows);
//     servers.note_read_failure(now);     // the store did not answer
//     servers.tick(now);
//
// The copy only moves forward: a page that is older than the copy changes nothing,
// whether it comes from the store or from another VM.

#ifndef PISTACHIOSPAN_MIRROR_MIRROR_HPP
#define PISTACHIOSPAN_MIRROR_MIRROR_HPP

#include "pistachiospan/base/base.hpp"

#include <deque>
#include <map>
#include <vector>

namespace pistachiospan::mirror
{

struct row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
};

// Rows as of one moment. `position` is the store's newest version then.
struct page
{
    std::vector<row> rows;
    std::uint64_t position = 0;
};

// What one VM hands to another: all rows, or the changes after a cursor. Cursors count
// the changes of one copy; `instance` names the copy.
struct relay_page
{
    mirror::page content;
    bool is_snapshot = false;
    std::uint64_t instance = 0;
    std::uint64_t cursor = 0;
};

// Compressed: the operator's configuration may have hundreds of kilobytes.
std::string encode(const relay_page& from);
// Errors: invalid_argument for bytes that are no page, limit_exceeded for too large ones.
result<relay_page> decode(std::string_view bytes);

struct mirror_options
{
    // Rows that expired in an outage of the store are written again by their owners after
    // it. A row that the first read after an outage shows as removed is believed gone
    // only when this time has passed. 0: removals hold at once.
    duration removal_grace{0};
    // Failed reads for this long are an outage.
    duration outage_threshold = std::chrono::seconds(1);
    std::uint64_t instance = 0;      // differs between copies
    std::size_t history_size = 1024; // changes that other VMs can follow
};

struct mirror_hooks
{
    std::function<void(const row&)> changed;
    std::function<void(const std::string& key)> removed;
};

enum class origin
{
    store,
    peer, // another VM, which has its own view of outages
};

class table_mirror
{
public:
    table_mirror(mirror_options options, mirror_hooks hooks);

    // All rows of the table. Rows that are missing from it are removed.
    void apply_snapshot(time_point now, const page& all, origin from = origin::store);
    // The rows that changed after position().
    void apply_changes(time_point now, const page& changes, origin from = origin::store);
    // What another VM handed over.
    void apply_relay_page(time_point now, const relay_page& given);

    // A read failed. The next successful one ends the outage.
    void note_read_failure(time_point now);
    // Removes the rows whose grace has ended.
    void tick(time_point now);

    bool loaded() const
    {
        return this->newest != 0;
    }
    std::uint64_t position() const
    {
        return this->newest;
    }
    // The highest version of a row that was changed or removed: VMs compare it to see
    // which of them is behind.
    std::uint64_t newest_change() const
    {
        return this->last_change;
    }
    page snapshot() const;

    std::uint64_t cursor() const
    {
        return this->changes;
    }
    // The changes after a cursor of this copy; all rows for any other cursor.
    relay_page changes_since(std::uint64_t instance, std::uint64_t cursor) const;

private:
    void set(const row& given);
    bool end_outage(time_point now);
    void remove(const std::string& key, std::uint64_t version);
    void remember(const row& change);
    void remove_later(time_point now, const std::string& key, std::uint64_t version);

    mirror_options options;
    mirror_hooks hooks;
    std::map<std::string, row> rows;
    struct removal
    {
        time_point due;
        std::uint64_t version = 0;
    };
    std::map<std::string, removal> doomed; // rows that are kept for their grace
    std::uint64_t newest = 0;
    std::uint64_t last_change = 0;
    std::uint64_t changes = 0; // made to this copy
    std::deque<row> history;   // the last of them
    bool failing = false;
    time_point failing_since;
};

} // namespace pistachiospan::mirror

#endif
