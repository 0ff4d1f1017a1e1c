#include "pistachiospan/edge/internal/store_view.hpp"

#include <algorithm>
#include <utility>

namespace pistachiospan::edge::internal
{

using event_loop::monotonic_now;

namespace
{

std::string_view name_of(table which)
{
    return which == table::operator_rows ? "operator_rows" : "upstreams";
}

} // namespace

store_view::followed_table::followed_table(store_view& owner, event_base* base,
                                           follower_options reading,
                                           const store_access& store,
                                           mirror::mirror_options copying,
                                           mirror::mirror_hooks hooks)
    : which(reading.followed), copy(copying, std::move(hooks)),
      reads(base, reading, store, owner.peers, this->copy, owner.make_hooks(this->which))
{
}

std::uint64_t store_view::followed_table::newest() const
{
    return std::max(this->copy.newest_change(), this->answered);
}

store_view::store_view(event_base* base, store_view_options given,
                       const store_access& store, peer_link& peers, fleet_node::node& vms,
                       store_view_hooks given_hooks)
    : options(given), peers(peers), vms(vms), hooks(std::move(given_hooks)),
      operator_rows(*this, base, {.followed = table::operator_rows}, store,
                    {.instance = this->options.instance}, this->hooks.operator_rows),
      upstreams(*this, base,
                {.followed = table::upstreams,
                 .pace = this->options.registry_pace,
                 .wait = this->options.registry_wait},
                store,
                {.removal_grace = this->options.removal_grace,
                 .instance = this->options.instance},
                this->hooks.upstreams)
{
}

follower_hooks store_view::make_hooks(table of)
{
    return {.choose = [this] { return this->choose_source(monotonic_now()); },
            .lost =
                [this, of](const error& problem)
            {
                this->hooks.log("store_lost",
                                {{"table", name_of(of)}, {"problem", problem.message}});
            },
            .regained =
                [this, of] {
                    this->hooks.log("store_regained", {{"table", name_of(of)}});
                },
            .read =
                [this, of](const read_end& ended)
            {
                this->finish_read(of, ended);
            }};
}

void store_view::finish_read(table of, const read_end& ended)
{
    this->hooks.read(name_of(of), ended);
    if (!ended.good && !ended.from_store)
        this->vms.note_disconnected(monotonic_now(), ended.source);
    // The longer read of the operator's rows may hang for the same reason.
    if (ended.timed_out && of == table::upstreams)
        this->operator_rows.reads.restart();
    if (ended.from_store)
        this->store_tried = monotonic_now();
    this->publish_changes();
}

void store_view::start()
{
    if (std::exchange(this->started, true))
        return;
    this->operator_rows.reads.start();
    this->upstreams.reads.start();
}

const mirror::table_mirror& store_view::copy(table which) const
{
    return which == table::operator_rows ? this->operator_rows.copy
                                         : this->upstreams.copy;
}

void store_view::tick(time_point now)
{
    this->operator_rows.copy.tick(now);
    this->upstreams.copy.tick(now);
    this->publish_changes();
}

void store_view::publish(followed_table& of)
{
    if (std::exchange(of.published, of.copy.cursor()) != of.copy.cursor())
        this->peers.publish(of.which);
}

void store_view::publish_changes()
{
    this->publish(this->operator_rows);
    this->publish(this->upstreams);
}

void store_view::check(time_point now)
{
    this->operator_rows.reads.reconsider(now);
    this->upstreams.reads.reconsider(now);
    this->catch_up(now);
}

// Without a VM of its region that reads the store, a VM that does not reach it either
// follows another region's reader, or whoever knows more.
std::string store_view::choose_source(time_point now) const
{
    std::string reader = this->vms.reader(now, this->store_age(now));
    if (!reader.empty())
        return reader;
    const std::string stale = this->vms.coordinator_address();
    if (!stale.empty())
        return this->try_store(now, this->vms.known_member_count()) ? std::string()
                                                                    : stale;
    if (this->reaches_store(now) || this->try_store(now, 1))
        return {};
    std::string remote = this->vms.remote_reader(now);
    if (!remote.empty())
        return remote;
    const auto best =
        this->vms.best_informed(now, this->operator_rows.copy.newest_change(),
                                this->upstreams.copy.newest_change());
    return best ? best->peer_address : std::string();
}

// True if this VM has read the store of late, or is due to try it. So many VMs share the
// tries.
bool store_view::try_store(time_point now, std::size_t sharing) const
{
    if (this->store_age(now) <= this->options.store_retry)
        return true;
    const auto turns = static_cast<std::int64_t>(sharing);
    const duration pause =
        std::max(this->options.store_retry, this->options.store_retry * turns / 2);
    return now - this->store_tried >= pause;
}

bool store_view::reaches_store(time_point now) const
{
    return this->operator_rows.reads.reaches_store(now) &&
           this->upstreams.reads.reaches_store(now);
}

duration store_view::operator_news_age(time_point now) const
{
    return this->operator_rows.reads.news_age(now);
}

duration store_view::news_age(time_point now) const
{
    const duration age = this->store_age(now);
    const bool follows =
        !this->vms.reader(now, age).empty() ||
        (!this->reaches_store(now) && !this->vms.remote_reader(now).empty());
    return follows ? duration(0) : age;
}

duration store_view::store_age(time_point now) const
{
    return this->upstreams.reads.store_age(now);
}

// The VM that this one follows may itself hang on a dead connection.
void store_view::catch_up(time_point now)
{
    const auto best = this->vms.best_informed(now, this->operator_rows.newest(),
                                              this->upstreams.newest());
    if (!best)
    {
        this->behind_since = now;
        return;
    }
    if (now - this->behind_since < this->options.behind_limit)
        return;
    const time_point since = std::exchange(this->behind_since, now);
    this->hooks.log("tables_behind",
                    {{"peer", best->vm.value},
                     {"peer_operator_change", best->operator_change},
                     {"operator_change", this->operator_rows.copy.newest_change()},
                     {"peer_registry_change", best->registry_change},
                     {"registry_change", this->upstreams.copy.newest_change()}});
    read_if_older(this->operator_rows, best->operator_change, since);
    read_if_older(this->upstreams, best->registry_change, since);
}

void store_view::read_if_older(followed_table& of, std::uint64_t change, time_point since)
{
    if (change <= of.newest())
        return;
    of.answered = change;
    of.reads.hurry(since);
}

bool store_view::hurry_configuration(time_point now)
{
    if (!this->version_behind_since)
        this->version_behind_since = now;
    if (now - *this->version_behind_since < this->options.version_limit ||
        !this->reaches_store(now))
        return false;
    return this->operator_rows.reads.hurry(*this->version_behind_since);
}

void store_view::note_configuration()
{
    this->version_behind_since.reset();
}

} // namespace pistachiospan::edge::internal
