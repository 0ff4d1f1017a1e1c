#include "pistachiospan/edge/internal/store_view.hpp"

#include "pistachiospan/edge/internal/log_fields.hpp"

#include <algorithm>
#include <utility>

namespace pistachiospan::edge::internal
{

using event_loop::monotonic_now;
using store_version::number_of;

namespace
{

// From a change in the store until it is in the copies of all VMs that read from each
// other, as the users require.
constexpr duration max_copy_delay = std::chrono::seconds(2);

std::string_view name_of(table which)
{
    return which == table::operator_rows ? "operator_rows" : "upstreams";
}

} // namespace

store_view::followed_table::followed_table(store_view& owner, event_base* base,
                                           follower_options options,
                                           const store_access& store,
                                           mirror::mirror_options copy_options,
                                           mirror::mirror_hooks hooks)
    : which(options.followed), copy(copy_options, std::move(hooks)),
      table_follower(base, options, store, owner.peers, this->copy,
                     owner.make_hooks(this->which))
{
}

std::uint64_t store_view::followed_table::newest_known() const
{
    return std::max(this->copy.newest_change(), this->requested_change);
}

mirror::mirror_hooks store_view::with_logs(table which, mirror::mirror_hooks applied)
{
    applied.passed_over = [this, which](const mirror::passed_over& what)
    {
        this->hooks.log("passed_over",
                        {{"table", name_of(which)},
                         {"key", what.key},
                         {"version", store_version::number_of(what.version)},
                         {"generation", store_version::generation_of(what.version)},
                         {"known", store_version::number_of(what.known)},
                         {"known_generation", store_version::generation_of(what.known)}});
    };
    applied.removal_held = [this, which](const std::string& key)
    {
        this->followed(which).held_keys.push_back(key);
    };
    applied.restored = [this, which]
    {
        this->note_restored(which);
    };
    return applied;
}

void store_view::note_restored(table which)
{
    const std::uint64_t position = this->copy(which).position();
    const std::uint64_t generation = store_version::generation_of(position);
    this->hooks.log("store_restored", {{"table", name_of(which)},
                                       {"position", store_version::number_of(position)},
                                       {"generation", generation}});
    // The other table may have shown it already.
    if (std::exchange(this->restored_generation, generation) != generation)
        this->fleet.note_store_restored(monotonic_now());
}

store_view::store_view(event_base* base, store_view_options options,
                       const store_access& store, peer_link& peers,
                       fleet_node::node& fleet, store_view_hooks hooks)
    : options(options), attempts(options.store_retry), peers(peers), fleet(fleet),
      hooks(std::move(hooks)),
      operator_rows(*this, base, {.followed = table::operator_rows}, store,
                    {.instance = this->options.instance},
                    this->with_logs(table::operator_rows, this->hooks.operator_rows)),
      upstreams(*this, base,
                {.followed = table::upstreams,
                 .min_interval = this->options.registry_min_interval,
                 .wait = this->options.registry_wait},
                store,
                {.removal_grace = this->options.removal_grace,
                 .restore_grace = this->options.removal_grace,
                 .instance = this->options.instance},
                this->with_logs(table::upstreams, this->hooks.upstreams))
{
}

follower_hooks store_view::make_hooks(table which)
{
    return {.choose_source = [this] { return this->choose_source(monotonic_now()); },
            .lost =
                [this, which](const error& problem)
            {
                this->hooks.log("store_lost", {{"table", name_of(which)},
                                               {"problem", problem.message}});
            },
            .regained =
                [this, which] {
                    this->hooks.log("store_regained", {{"table", name_of(which)}});
                },
            .read_finished = [this, which](const read_outcome& outcome)
            { this->finish_read(which, outcome); },
            .forced_read_abandoned =
                [this, which]
            {
                this->note_store_read(which, false);
            }};
}

// Logs a page with rows, whether or not they have changed this VM's copy: it shows by
// which way and when a change has come.
void store_view::log_page(table which, const read_outcome& outcome)
{
    followed_table& read = this->followed(which);
    const std::uint64_t before = std::exchange(read.logged_cursor, read.copy.cursor());
    const std::vector<std::string> held_keys = std::exchange(read.held_keys, {});
    if (outcome.rows == 0 && held_keys.empty())
        return;
    this->hooks.log("table_page",
                    {{"table", name_of(which)},
                     {"source", outcome.from_store ? "store" : outcome.source},
                     {"snapshot", outcome.is_snapshot},
                     {"rows", outcome.rows},
                     {"applied", read.copy.cursor() - before},
                     {"held_by_source", outcome.held},
                     {"removals_held", held_keys},
                     {"page_position", store_version::number_of(outcome.position)},
                     {"position", store_version::number_of(read.copy.position())},
                     {"took_ms", to_milliseconds(outcome.took)}});
}

void store_view::finish_read(table which, const read_outcome& outcome)
{
    this->hooks.read_finished(name_of(which), outcome);
    this->log_page(which, outcome);
    if (!outcome.succeeded && !outcome.from_store)
        this->fleet.note_disconnected(monotonic_now(), outcome.source);
    // The pending read of the operator rows, which waits longer, may hang on the
    // same dead connection.
    if (outcome.timed_out && which == table::upstreams)
        this->operator_rows.table_follower.restart();
    if (outcome.from_store)
        this->note_store_read(which, outcome.succeeded);
    this->publish_changes();
}

void store_view::note_store_read(table which, bool succeeded)
{
    this->attempts.note(monotonic_now(), succeeded);
    // The change was not fetched: catch_up() requests it again.
    if (!succeeded)
        this->followed(which).requested_change = 0;
}

void store_view::start()
{
    if (std::exchange(this->started, true))
        return;
    this->operator_rows.table_follower.start();
    this->upstreams.table_follower.start();
}

store_view::followed_table& store_view::followed(table which)
{
    return which == table::operator_rows ? this->operator_rows : this->upstreams;
}

const mirror::table_mirror& store_view::copy(table which) const
{
    return which == table::operator_rows ? this->operator_rows.copy
                                         : this->upstreams.copy;
}

void store_view::tick(time_point now)
{
    this->applies_held_rows = true;
    this->operator_rows.copy.tick(now);
    this->upstreams.copy.tick(now);
    this->applies_held_rows = false;
    this->publish_changes();
}

void store_view::publish(followed_table& followed)
{
    if (std::exchange(followed.published, followed.copy.cursor()) !=
        followed.copy.cursor())
        this->peers.publish(followed.which);
}

void store_view::publish_changes()
{
    this->publish(this->operator_rows);
    this->publish(this->upstreams);
}

void store_view::check(time_point now)
{
    this->operator_rows.table_follower.reconsider(now);
    this->upstreams.table_follower.reconsider(now);
    if (this->store_age(now) > this->options.store_answer_limit)
        this->operator_rows.table_follower.leave_store();
    this->probe_store(now);
    this->catch_up(now);
}

// Asks the store whether it answers again, so that its region gets a reader.
void store_view::probe_store(time_point now)
{
    const bool needs_store = this->fleet.coordinator_address().empty() &&
                             this->fleet.reader(now, this->store_age(now)).empty();
    if (needs_store && this->attempts.is_due(now, 1))
        this->upstreams.table_follower.probe_store();
}

// Prefers the VM of this region that reads the store, then the coordinator or the store
// itself. A VM that cannot reach the store reads from another region's reader or, without
// one, from the VM with the newest copies.
std::string store_view::choose_source(time_point now) const
{
    std::string reader =
        this->unless_reader(now, this->fleet.reader(now, this->store_age(now)));
    if (!reader.empty())
        return reader;
    const std::string coordinator = this->fleet.coordinator_address();
    if (!coordinator.empty())
    {
        const bool serves_coordinator =
            this->reaches_store(now) && this->peers.is_read_by(now, coordinator);
        const bool reads_store =
            serves_coordinator ||
            this->may_try_store(now, this->fleet.known_member_count());
        return reads_store ? std::string() : coordinator;
    }
    std::string remote = this->remote_source(now);
    if (!remote.empty())
        return remote;
    if (this->reaches_store(now) || this->may_try_store(now, 1))
        return {};
    const auto best =
        this->fleet.best_informed(now, this->operator_rows.copy.newest_change(),
                                  this->upstreams.copy.newest_change());
    return best ? best->peer_address : std::string();
}

// Peer address of a VM of another region that reads the store, if the store has not
// answered this VM lately; empty otherwise.
std::string store_view::remote_source(time_point now) const
{
    return this->store_age(now) <= this->options.store_answer_limit
               ? std::string()
               : this->unless_reader(now, this->fleet.remote_reader(now));
}

std::string store_view::unless_reader(time_point now, std::string address) const
{
    return this->peers.is_read_by(now, address) ? std::string() : std::move(address);
}

// True if this VM has read the store recently or is due to try it again. The interval of
// attempts grows with the number of VMs that share them.
bool store_view::may_try_store(time_point now, std::size_t vm_count) const
{
    return this->store_age(now) <= this->options.store_retry ||
           this->attempts.is_due(now, vm_count);
}

bool store_view::reaches_store(time_point now) const
{
    return this->operator_rows.table_follower.reaches_store(now) &&
           this->upstreams.table_follower.reaches_store(now);
}

duration store_view::operator_rows_age(time_point now) const
{
    return this->operator_rows.table_follower.last_read_age(now);
}

duration store_view::upstream_row_age(time_point now) const
{
    const duration age = this->upstreams.table_follower.last_read_age(now);
    // A row that a copy has held back may be of any age.
    return this->applies_held_rows || age == duration::max() ? duration::max()
                                                             : age + max_copy_delay;
}

duration store_view::staleness(time_point now) const
{
    const duration age = this->store_age(now);
    const bool follows =
        !this->unless_reader(now, this->fleet.reader(now, age)).empty() ||
        !this->remote_source(now).empty();
    return follows ? duration(0) : age;
}

duration store_view::store_age(time_point now) const
{
    return this->upstreams.table_follower.store_age(now);
}

// Reads the store if this VM stays behind: the VM that it reads from may itself hang on a
// dead connection.
void store_view::catch_up(time_point now)
{
    const std::uint64_t known_operator_change = this->operator_rows.newest_known();
    const std::uint64_t known_registry_change = this->upstreams.newest_known();
    const auto best =
        this->fleet.best_informed(now, known_operator_change, known_registry_change);
    this->operator_rows.watch.check(now, known_operator_change,
                                    best ? best->operator_change : 0);
    this->upstreams.watch.check(now, known_registry_change,
                                best ? best->registry_change : 0);
    if (!best || !(this->lacks_change(now, this->operator_rows) ||
                   this->lacks_change(now, this->upstreams)))
        return;
    this->hooks.log(
        "tables_behind",
        {{"peer", best->vm.value},
         {"peer_operator_change", number_of(best->operator_change)},
         {"operator_change", number_of(this->operator_rows.copy.newest_change())},
         {"peer_registry_change", number_of(best->registry_change)},
         {"registry_change", number_of(this->upstreams.copy.newest_change())}});
    // While the store fails, the VM that this one reads from gets its turn between two
    // attempts: it may have the change by now.
    if (!this->reaches_store(now) && !this->attempts.is_due(now, 1))
        return;
    read_if_behind(this->operator_rows, best->operator_change);
    read_if_behind(this->upstreams, best->registry_change);
}

bool store_view::lacks_change(time_point now, const followed_table& followed) const
{
    return followed.watch.missing_for(now) >= this->options.behind_limit;
}

void store_view::read_if_behind(followed_table& followed, std::uint64_t change)
{
    if (change <= followed.newest_known())
        return;
    followed.table_follower.read_from_store_since(followed.watch.missing_since());
    followed.requested_change = change;
}

bool store_view::reread_configuration(time_point now)
{
    if (!this->version_behind_since)
        this->version_behind_since = now;
    if (now - *this->version_behind_since < this->options.version_behind_limit ||
        !this->reaches_store(now))
        return false;
    return this->operator_rows.table_follower.read_from_store_since(
        *this->version_behind_since);
}

void store_view::note_configuration_applied()
{
    this->version_behind_since.reset();
}

} // namespace pistachiospan::edge::internal
