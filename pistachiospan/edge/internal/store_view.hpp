// This VM's copies of the store's tables, and the choice of the source to read them from.
// One coordinator of each region reads the store, the other coordinators read from it,
// and members read from their coordinator, so that the load on the store does not grow
// with the number of VMs.

#ifndef PISTACHIOSPAN_EDGE_INTERNAL_STORE_VIEW_HPP
#define PISTACHIOSPAN_EDGE_INTERNAL_STORE_VIEW_HPP

#include "pistachiospan/edge/edge.hpp"
#include "pistachiospan/edge/internal/change_watch.hpp"
#include "pistachiospan/edge/internal/follower.hpp"
#include "pistachiospan/edge/internal/peer_link.hpp"
#include "pistachiospan/edge/internal/store_attempts.hpp"
#include "pistachiospan/fleet_node/fleet_node.hpp"
#include "pistachiospan/mirror/mirror.hpp"

#include <nlohmann/json.hpp>

#include <optional>

namespace pistachiospan::edge::internal
{

struct store_view_options
{
    std::uint64_t instance = 0; // of the copies; differs after each start
    // Interval of further attempts while the store does not answer. The VMs of a data
    // centre share these attempts.
    duration store_retry = std::chrono::milliseconds(700);
    // A coordinator whose last read of the store is older than this, and whose region has
    // no reader, reads from a VM of another region and asks the store beside that.
    duration store_answer_limit = std::chrono::milliseconds(900);
    // A VM whose copies have lacked a change of another VM for this long reads the store
    // itself.
    duration behind_limit = std::chrono::milliseconds(500);
    // The store is read if another VM has had a newer configuration for this long. A
    // change usually arrives before the report of a VM that already has it.
    duration version_behind_limit = std::chrono::milliseconds(300);
    // Minimum interval of registry reads, so that changes in quick succession are fetched
    // by one read.
    duration registry_min_interval = std::chrono::milliseconds(200);
    // How long the store holds a registry read open. Its completion shows the VMs that
    // read from this one that the store still answers.
    duration registry_wait = std::chrono::milliseconds(600);
    // Entries that expired while the store was unreachable, or were lost when it came
    // back from an older copy, are registered again within about 2 s.
    duration removal_grace = std::chrono::milliseconds(2100);
};

struct store_view_hooks
{
    mirror::mirror_hooks operator_rows;
    mirror::mirror_hooks upstreams;
    std::function<void(std::string_view event, const nlohmann::ordered_json&)> log;
    // Called for each completed read.
    std::function<void(std::string_view table, const read_outcome&)> read_finished;
};

class store_view
{
public:
    store_view(event_base* base, store_view_options options, const store_access& store,
               peer_link& peers, fleet_node::node& fleet, store_view_hooks hooks);

    // Starts reading the tables; further calls do nothing. To be called when the VM to
    // read from is known, or when a starting VM should not wait any longer for it.
    void start();

    const mirror::table_mirror& copy(table which) const;

    // Removes rows whose grace period has ended and publishes changes to the VMs that
    // read from this one.
    void tick(time_point now);
    // Re-evaluates the source of the reads, and reads the store if another VM has newer
    // copies.
    void check(time_point now);
    // To be called when another VM has a newer configuration. If that has been so for
    // `version_behind_limit`, reads the operator rows from the store and returns true.
    bool reread_configuration(time_point now);
    // To be called when this VM has activated a configuration: restarts the time for
    // which it is behind.
    void note_configuration_applied();

    // Time since the last successful read of the operator rows, from the store or another
    // VM, not counting the page that is being applied.
    duration operator_rows_age(time_point now) const;
    // Upper bound of the time since a row of the registry that is being applied was
    // written; `duration::max()` if none is known.
    duration upstream_row_age(time_point now) const;
    // Upper bound of the age of this VM's copies; 0 while it reads from a VM that reads
    // the store.
    duration staleness(time_point now) const;
    // Time since the last successful read of the registry from the store;
    // `duration::max()` if there was none. The registry is the table that is read most
    // often.
    duration store_age(time_point now) const;

private:
    struct followed_table
    {
        followed_table(store_view& owner, event_base* base, follower_options options,
                       const store_access& store, mirror::mirror_options copy_options,
                       mirror::mirror_hooks hooks);

        // Newest change that is in the copy or was already requested from the store.
        std::uint64_t newest_known() const;

        table which;
        mirror::table_mirror copy;
        follower table_follower;
        std::uint64_t published = 0; // cursor of the copy
        // For the log: the cursor of the copy after the last page, and the rows whose
        // removal it holds since.
        std::uint64_t logged_cursor = 0;
        std::vector<std::string> held_keys;
        // Newest change of another VM for which the store was read. It may stay above the
        // copy's: a removal that is seen as a row missing from a snapshot has no version.
        std::uint64_t requested_change = 0;
        change_watch watch;
    };

    followed_table& followed(table which);
    follower_hooks make_hooks(table which);
    // Adds what is logged about the copy.
    mirror::mirror_hooks with_logs(table which, mirror::mirror_hooks applied);
    // The store has come back from an older copy, as reads of the table show.
    void note_restored(table which);
    void finish_read(table which, const read_outcome& outcome);
    void log_page(table which, const read_outcome& outcome);
    void note_store_read(table which, bool succeeded);
    // False if the store counts as unreachable for either table; see the follower.
    bool reaches_store(time_point now) const;
    std::string choose_source(time_point now) const;
    // The peer address, or an empty one if that VM reads from this one: VMs that read
    // from each other would get no news.
    std::string unless_reader(time_point now, std::string address) const;
    std::string remote_source(time_point now) const;
    void probe_store(time_point now);
    bool may_try_store(time_point now, std::size_t vm_count) const;
    void publish(followed_table& followed);
    void publish_changes();
    void catch_up(time_point now);
    bool lacks_change(time_point now, const followed_table& followed) const;
    static void read_if_behind(followed_table& followed, std::uint64_t change);

    store_view_options options;
    store_attempts attempts; // of either table
    peer_link& peers;
    fleet_node::node& fleet;
    store_view_hooks hooks;
    followed_table operator_rows;
    followed_table upstreams;
    bool started = false;
    std::uint64_t restored_generation = 0; // of the last restore
    std::optional<time_point> version_behind_since;
    bool applies_held_rows = false; // now, in tick()
};

} // namespace pistachiospan::edge::internal

#endif
