#include "pistachiospan/route/internal/router_implementation.hpp"

namespace pistachiospan::route
{

using namespace internal;

namespace
{

// retry_after of requests whose group was removed.
constexpr duration removed_group_retry = std::chrono::seconds(1);

// Part of a group's cap that a data centre owns, in proportion to its upstreams and
// rounded so that the parts sum to the cap.
std::uint32_t cap_of_data_centre(const catalogue::upstream_group& group,
                                 const std::string& data_centre)
{
    std::map<std::string, std::uint64_t> upstreams;
    for (const auto& each : group.upstreams)
    {
        upstreams[each.data_centre] += 1;
    }
    std::uint64_t before = 0;
    for (const auto& [name, count] : upstreams)
    {
        const std::uint64_t after = before + count;
        if (name == data_centre)
        {
            const std::uint64_t total = group.upstreams.size();
            return static_cast<std::uint32_t>(group.max_in_flight * after / total -
                                              group.max_in_flight * before / total);
        }
        before = after;
    }
    return 0;
}

} // namespace

void router::implementation::set_catalogue(time_point now,
                                           const catalogue::catalogue& next)
{
    const bool first = !this->has_catalogue;
    duration longest{0};
    for (const auto& [name, each] : next.routes)
    {
        longest = std::max(longest, each.deadline);
    }
    // Other VMs may use the old split until they activate this version, and the requests
    // that they admitted under it end by their deadlines.
    const duration settling_time = this->options.activation_bound +
                                   std::max(longest, this->longest_deadline) +
                                   this->options.hold_after_deadline;
    this->growth_not_before = first ? now : now + settling_time;
    this->growth_pending = true;
    this->longest_deadline = longest > duration(0) ? longest : this->longest_deadline;
    for (const auto& [name, group] : this->active.groups)
    {
        for (const auto& each : group.upstreams)
        {
            if (each.data_centre != this->options.data_centre)
            {
                this->other_data_centre_upstreams[each.address] = now;
            }
        }
    }
    std::erase_if(this->other_data_centre_upstreams,
                  [&](const auto& entry) { return now - entry.second > settling_time; });
    this->add_upstreams(now, next);
    this->active = next;
    this->has_catalogue = true;
    this->set_links(now, next);
    this->split_limits();
    this->grow_if_allowed(now);
    for (const auto& [name, group] : this->groups)
    {
        this->update_move(now, *group);
    }
    this->refresh_all(now);
    this->remove_absent_groups();
    this->dispatch_all_waiting(now);
    this->run_hooks();
}

void router::implementation::add_upstreams(time_point now,
                                           const catalogue::catalogue& next)
{
    std::set<std::string> listed;
    std::uint64_t first_slot = 0;
    std::uint64_t first_connection = 0;
    for (const auto& [name, group] : next.groups)
    {
        auto& state = this->groups[name];
        if (!state)
        {
            state = std::make_unique<group_state>(this->options.fair_queueing);
            state->name = name;
            state->service.value = microseconds(this->options.initial_service_time);
            state->relay_service = state->service;
            state->cap = {.current = unlimited, .target = unlimited};
        }
        for (const auto& each : group.upstreams)
        {
            if (each.data_centre == this->options.data_centre &&
                listed.insert(each.address).second)
            {
                this->add_upstream(now, group, each, first_slot, first_connection);
                first_slot += group.slots;
                first_connection += group.connections;
            }
        }
    }
    for (const auto& [name, state] : this->groups)
    {
        state->present = next.groups.contains(name);
    }
    for (const auto& [address, each] : this->upstreams)
    {
        if (each->present && !listed.contains(address))
        {
            each->present = false;
            this->begin_drain(now, *each);
        }
    }
}

void router::implementation::add_upstream(time_point now,
                                          const catalogue::upstream_group& group,
                                          const catalogue::upstream& entry,
                                          std::uint64_t first_slot,
                                          std::uint64_t first_connection)
{
    auto& state = this->upstreams[entry.address];
    const bool added = !state;
    if (added)
    {
        state = std::make_unique<upstream_state>();
        state->address = entry.address;
        state->ordinal = this->next_ordinal++;
        // Every VM owns at least this many slots in any round-robin order, so they are
        // safe while others still use the older version. The rest is added by the growth.
        const bool safe = this->growth_allowed &&
                          !this->other_data_centre_upstreams.contains(entry.address);
        const std::uint32_t count = std::max<std::uint32_t>(this->own_share.count, 1);
        state->slots.current = safe ? group.slots / count : 0;
        state->connections.current = safe ? group.connections / count : 0;
    }
    upstream_state& target = *state;
    const bool returned =
        !added && (!target.present || (target.catalogue_drain && !entry.drain));
    this->remove_from_group(target);
    target.group = this->groups[group.name].get();
    target.present = true;
    target.first_slot = first_slot;
    target.first_connection = first_connection;
    target.total_slots = group.slots;
    target.total_connections = group.connections;
    target.warm_up = group.warm_up;
    if ((added || returned) && this->has_catalogue && !entry.drain)
    {
        target.group->move_changed = true;
        target.warm_up_started_at = now;
        target.moving = true;
        target.state = ejection_state::serving;
    }
    if (entry.drain && !target.catalogue_drain)
    {
        this->begin_drain(now, target);
    }
    target.catalogue_drain = entry.drain;
    if (!target.draining())
    {
        target.drain_started_at.reset();
    }
}

void router::implementation::set_links(time_point now, const catalogue::catalogue& next)
{
    const std::string& own_region = this->region_of(this->options.data_centre);
    std::uint32_t senders = 0;
    for (const auto& [name, each] : next.data_centres)
    {
        senders += each.region == own_region ? each.entry_vms : 0;
    }
    for (const auto& each : next.links)
    {
        if (each.from != own_region && each.to != own_region)
        {
            continue;
        }
        const std::string& other_region = each.from == own_region ? each.to : each.from;
        constexpr double bytes_per_mbit = 1e6 / 8;
        const double rate = static_cast<double>(each.mbit_per_s) * bytes_per_mbit /
                            std::max<std::uint32_t>(senders, 1);
        this->links[other_region].set_rate(now, rate, this->options.large_body_fraction);
    }
}

// Refuses the waiting requests of removed groups. The state of a group stays until it has
// no running requests and no upstreams.
void router::implementation::remove_absent_groups()
{
    std::set<const group_state*> used;
    for (const auto& [address, each] : this->upstreams)
    {
        used.insert(each->group);
    }
    for (const auto& [name, group] : this->groups)
    {
        if (group->present)
        {
            continue;
        }
        for (const request& each :
             group->queue.remove_if([](const request&, double) { return true; }))
        {
            this->remove_waiting(each);
            this->pending_decisions.emplace_back(
                each.id, this->refuse(refusal::unknown_group, removed_group_retry));
        }
    }
    std::erase_if(this->groups,
                  [&](const auto& entry)
                  {
                      const group_state& group = *entry.second;
                      return !group.present && group.in_flight == 0 &&
                             group.relays == 0 && !used.contains(&group);
                  });
}

void router::implementation::set_share(time_point now, share next)
{
    this->own_share = std::move(next);
    this->growth_allowed = false;
    this->growth_pending = true;
    this->split_limits();
    this->refresh_all(now);
}

void router::implementation::allow_growth(time_point now)
{
    this->growth_allowed = true;
    this->grow_if_allowed(now);
    this->dispatch_all_waiting(now);
    this->run_hooks();
}

bool router::implementation::usage_within_share() const
{
    return std::all_of(this->upstreams.begin(), this->upstreams.end(),
                       [](const auto& entry)
                       {
                           const upstream_state& each = *entry.second;
                           return each.in_flight <= each.slots.current &&
                                  each.open_connections <= each.connections.current;
                       });
}

// Computes the part of each limit that this VM owns. Lower limits apply at once.
void router::implementation::split_limits()
{
    for (const auto& [address, each] : this->upstreams)
    {
        const std::uint32_t slots = each->present ? each->total_slots : 0;
        const std::uint32_t connections = each->present ? each->total_connections : 0;
        each->slots.set(owned_portion(slots, each->first_slot, this->own_share));
        each->connections.set(
            owned_portion(connections, each->first_connection, this->own_share));
    }
    const std::string& own_data_centre = this->options.data_centre;
    const auto own_entry = this->active.data_centres.find(own_data_centre);
    const std::uint32_t cap = own_entry == this->active.data_centres.end()
                                  ? 0
                                  : own_entry->second.max_in_flight;
    this->data_centre_cap.set(
        cap == 0 ? unlimited
                 : owned_portion(cap, hash_bytes(own_data_centre), this->own_share));
    for (const auto& [name, group] : this->active.groups)
    {
        const std::uint32_t group_cap = cap_of_data_centre(group, own_data_centre);
        this->groups[name]->cap.set(
            group.max_in_flight == 0
                ? unlimited
                : owned_portion(group_cap, hash_bytes(name), this->own_share));
    }
}

void router::implementation::grow_if_allowed(time_point now)
{
    if (!this->growth_allowed || now < this->growth_not_before || !this->growth_pending)
    {
        return;
    }
    this->growth_pending = false;
    this->data_centre_cap.grow();
    for (const auto& [name, group] : this->groups)
    {
        group->cap.grow();
    }
    for (const auto& [address, each] : this->upstreams)
    {
        each->slots.grow();
        each->connections.grow();
    }
    this->refresh_all(now);
}

// Erases removed upstreams once no request can run there and no other VM can use them.
void router::implementation::erase_removed_upstreams(time_point now)
{
    for (auto at = this->upstreams.begin(); at != this->upstreams.end();)
    {
        upstream_state& each = *at->second;
        const bool removable = !each.present && each.in_flight == 0 &&
                               each.open_connections == 0 &&
                               now >= this->growth_not_before;
        if (removable)
        {
            this->remove_from_group(each);
        }
        at = removable ? this->upstreams.erase(at) : std::next(at);
    }
}

} // namespace pistachiospan::route
