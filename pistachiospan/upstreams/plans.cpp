// The placement plans of the upstream set and the demand that they follow.

#include "pistachiospan/upstreams/internal/arithmetic.hpp"
#include "pistachiospan/upstreams/placement.hpp"
#include "pistachiospan/upstreams/upstreams.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::upstreams
{

using internal::effective_slots;
using internal::micros;
using internal::to_unit_interval;

namespace
{

// Smaller shares of a plan are rounding errors.
constexpr double min_share = 1e-6;

// The share of the requests that a change of plan moves; never 0, so that it can divide.
double moved_share(const std::map<std::string, double>& change)
{
    double moved = min_share;
    for (const auto& [name, share] : change)
        moved += std::max(share, 0.0);
    return moved;
}

} // namespace

// The slots that the upstream's requests can fill: with a request limit not all of them.
double upstream_set::usable_slots(const upstream& target, const service_group& group)
{
    const double slots = effective_slots(target.registration.slots);
    if (!target.limit.rate())
        return slots;
    const double busy = *target.limit.rate() * group.known_time.micros() / 1e6;
    return std::min(slots, busy);
}

std::map<std::string, double> upstream_set::slots_of(time_point now,
                                                     const service_group& group) const
{
    std::map<std::string, double> slots;
    for (const upstream* each : group.members)
        if (!each->is_leaving() && this->regions.contains(each->registration.data_centre))
            slots[each->registration.data_centre] +=
                this->serving_fraction(now, each->registration.data_centre) *
                usable_slots(*each, group);
    return slots;
}

// Orders the data centres nearest first, so that a change of the shares keeps the same
// objects near.
void upstream_set::order_plan(service_group& group) const
{
    group.plan_order.clear();
    for (const auto& [name, share] : group.plan)
        group.plan_order.push_back(name);
    std::ranges::stable_sort(group.plan_order, {},
                             [this](const std::string& name)
                             { return this->distance_to(name, this->regions.at(name)); });
}

// Plans before any demand is known, assuming equal demand in all data centres.
void upstream_set::make_initial_plan(time_point now, service_group& group)
{
    placement_input input{.regions = this->regions, .slots = this->slots_of(now, group)};
    double slots = 0;
    for (const auto& [name, count] : input.slots)
        slots += count;
    const double per_data_centre =
        slots * this->options.initial_utilisation /
        static_cast<double>(std::max<std::size_t>(this->regions.size(), 1));
    for (const auto& [name, in_region] : this->regions)
        input.demand[name] = per_data_centre;
    group.plan = plan_placement(input, this->options.data_centre);
    group.first_planned_at = now;
    group.planned_at = now;
    this->order_plan(group);
}

// The fraction of a change of the plan that may be applied now.
double upstream_set::allowed_plan_step(time_point now, const service_group& group,
                                       const std::map<std::string, double>& change) const
{
    if (this->options.replaces_lost_process &&
        now - group.first_planned_at < this->options.plan_settling_time)
        return 1;
    std::map<std::string, double> by_region;
    for (const auto& [name, share] : change)
        by_region[this->regions.at(name)] += share;
    const double spans =
        micros(this->options.plan_interval) / micros(this->options.region_shift_span);
    const double region_step =
        this->options.max_region_shift * this->options.planned_shift_fraction * spans;
    return std::min({1.0, this->options.max_plan_step / moved_share(change),
                     region_step / moved_share(by_region)});
}

void upstream_set::adjust_plan(time_point now, service_group& group)
{
    this->decay_demand(now, group);
    placement_input input{.regions = this->regions, .slots = this->slots_of(now, group)};
    const double work = group.mean_time.micros() / 1e6; // seconds
    for (const auto& [name, rate] : group.remote.unrestricted)
        input.demand[name] += rate * work;
    for (const auto& [name, rate] : group.remote.regional)
        input.regional[name] += rate * work;
    for (const auto& [name, rate] : group.regional)
        input.regional[name] += rate * work;
    input.demand[this->options.data_centre] += group.demand * work;
    const std::map<std::string, double> target =
        plan_placement(input, this->options.data_centre);
    if (target.empty())
        return;
    std::map<std::string, double> change = target;
    for (const auto& [name, share] : group.plan)
        change[name] -= share;
    const double step = this->allowed_plan_step(now, group, change);
    for (const auto& [name, share] : change)
        group.plan[name] += share * step;
    std::erase_if(group.plan, [](const auto& each) { return each.second < min_share; });
    group.planned_at = now;
    this->order_plan(group);
}

void upstream_set::decay_demand(time_point now, service_group& group) const
{
    const double elapsed = micros(now - group.decayed_at);
    group.decayed_at = now;
    const double decay_factor =
        std::exp(-elapsed / micros(this->options.demand_time_constant));
    group.demand *= decay_factor;
    for (auto& [region, rate] : group.regional)
        rate *= decay_factor;
}

void upstream_set::count_demand(time_point now, service_group& group,
                                const query& request) const
{
    this->decay_demand(now, group);
    const double increment = 1e6 / micros(this->options.demand_time_constant);
    const std::span<const std::string> homes =
        request.homes.empty() ? request.account_homes : request.homes;
    if (homes.empty())
        group.demand += increment;
    for (const std::string& region : homes)
        group.regional[region] += increment / static_cast<double>(homes.size());
}

std::vector<service_demand> upstream_set::report_demand(time_point now)
{
    std::vector<service_demand> demands;
    for (auto& [name, group] : this->groups)
    {
        this->decay_demand(now, group);
        demands.push_back(
            {.service = name, .rate = group.demand, .regional = group.regional});
    }
    return demands;
}

void upstream_set::set_remote_demand(std::map<std::string, remote_demand> by_service)
{
    for (auto& [name, group] : this->groups)
    {
        const auto found = by_service.find(name);
        group.remote = found == by_service.end() ? remote_demand() : found->second;
    }
}

void upstream_set::tick(time_point now)
{
    for (auto& [name, group] : this->groups)
        if (!group.plan.empty() && !this->follows_adopted_plan(now, group) &&
            now - group.planned_at >= this->options.plan_interval)
            this->adjust_plan(now, group);
}

bool upstream_set::follows_adopted_plan(time_point now, const service_group& group) const
{
    return group.adopted_at &&
           now - *group.adopted_at < this->options.adopted_plan_lifetime;
}

plan_set upstream_set::plans() const
{
    plan_set current;
    for (const auto& [name, group] : this->groups)
        if (!group.plan.empty())
            current.emplace(name, group.plan);
    return current;
}

void upstream_set::adopt_plans(time_point now, const plan_set& reported)
{
    for (const auto& [name, plan] : reported)
    {
        service_group& group = this->group_of(name);
        group.plan = plan;
        std::erase_if(group.plan, [this](const auto& each)
                      { return !this->regions.contains(each.first); });
        group.planned_at = now;
        group.adopted_at = now;
        this->order_plan(group);
    }
}

const std::string* upstream_set::planned_data_centre(const service_group& group,
                                                     std::uint64_t object_hash) const
{
    double left = to_unit_interval(object_hash);
    for (const std::string& name : group.plan_order)
    {
        const double share = group.plan.at(name);
        if (left < share)
            return &name;
        left -= share;
    }
    return group.plan_order.empty() ? nullptr : &group.plan_order.back();
}

std::map<std::string, double> upstream_set::plan_of(time_point now,
                                                    std::string_view service)
{
    service_group& group = this->group_of(std::string(service));
    if (group.plan.empty())
        this->make_initial_plan(now, group);
    return group.plan;
}

} // namespace pistachiospan::upstreams
