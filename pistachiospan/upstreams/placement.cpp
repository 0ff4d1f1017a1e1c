#include "pistachiospan/upstreams/placement.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace pistachiospan::upstreams
{

namespace
{

struct flows
{
    std::map<std::string, double> demand; // not yet assigned, by data centre of callers
    std::map<std::string, double> free_slots; // not yet used, by data centre of upstreams
    std::map<std::string, double> assigned;   // assigned demand of the origin
};

using reach_predicate =
    std::function<bool(const std::string& from, const std::string& to)>;

// Assigns demand to the free slots that it reaches, each in proportion to the other.
void assign(flows& state, const std::string& origin, const reach_predicate& reach)
{
    const std::map<std::string, double> demand = state.demand;
    const std::map<std::string, double> free_slots = state.free_slots;
    for (const auto& [from, unassigned] : demand)
    {
        double reachable = 0;
        double competing_demand = 0;
        for (const auto& [to, available] : free_slots)
            if (reach(from, to))
                reachable += available;
        for (const auto& [other, other_demand] : demand)
            if (reach(from, other) || other == from)
                competing_demand += other_demand;
        if (reachable <= 0 || competing_demand <= 0)
            continue;
        // Demand of the same group shares the free slots of the group.
        const double moved =
            std::min(unassigned, reachable * unassigned / competing_demand);
        for (const auto& [to, available] : free_slots)
        {
            if (!reach(from, to))
                continue;
            const double amount = moved * available / reachable;
            state.free_slots[to] -= amount;
            state.demand[from] -= amount;
            if (from == origin)
                state.assigned[to] += amount;
        }
    }
}

double sum_of(const std::map<std::string, double>& amounts)
{
    return std::accumulate(amounts.begin(), amounts.end(), 0.0,
                           [](double sum, const auto& each)
                           { return sum + each.second; });
}

// Free slots by data centre when all slots are filled up to this utilisation.
std::map<std::string, double> free_slots_of(const placement_input& input,
                                            double utilisation)
{
    std::map<std::string, double> in_region;
    for (const auto& [data_centre, slots] : input.slots)
        in_region[input.regions.at(data_centre)] += slots;
    std::map<std::string, double> free_slots;
    for (const auto& [data_centre, slots] : input.slots)
    {
        const std::string& region = input.regions.at(data_centre);
        const auto regional = input.regional.find(region);
        const double occupied = regional == input.regional.end()
                                    ? 0
                                    : regional->second * slots / in_region[region];
        free_slots[data_centre] = std::max(0.0, slots * utilisation - occupied);
    }
    return free_slots;
}

} // namespace

std::map<std::string, double> plan_placement(const placement_input& input,
                                             const std::string& origin)
{
    const double slots = sum_of(input.slots);
    const double demand = sum_of(input.demand);
    const auto origin_demand = input.demand.find(origin);
    if (slots <= 0 || origin_demand == input.demand.end() || origin_demand->second <= 0)
        return {};
    // Regions filled by regional requests have no free slots, so the others may be filled
    // further.
    constexpr double step = 1.1;
    const double total_demand = demand + sum_of(input.regional);
    double utilisation = std::max(input.utilisation, total_demand / slots);
    flows state{.free_slots = free_slots_of(input, utilisation)};
    while (sum_of(state.free_slots) < demand)
    {
        utilisation *= step;
        state.free_slots = free_slots_of(input, utilisation);
    }
    for (const auto& [data_centre, region] : input.regions)
    {
        const auto found = input.demand.find(data_centre);
        state.demand[data_centre] = found == input.demand.end() ? 0 : found->second;
        state.free_slots.emplace(data_centre, 0);
    }
    assign(state, origin, std::equal_to<>());
    assign(state, origin,
           [&](const std::string& from, const std::string& to)
           { return input.regions.at(from) == input.regions.at(to); });
    assign(state, origin, [](const std::string&, const std::string&) { return true; });
    const double assigned = sum_of(state.assigned);
    std::map<std::string, double> shares;
    for (const auto& [to, amount] : state.assigned)
        if (amount > 0)
            shares[to] = amount / assigned;
    return shares;
}

} // namespace pistachiospan::upstreams
