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
    std::map<std::string, double> demand; // not yet placed, by data centre of callers
    std::map<std::string, double> room;   // not yet used, by data centre of upstreams
    std::map<std::string, double> placed; // of the origin
};

using reaches = std::function<bool(const std::string& from, const std::string& to)>;

// Moves demand into the room it reaches, each in proportion to the other.
void settle(flows& state, const std::string& origin, const reaches& reach)
{
    const std::map<std::string, double> demand = state.demand;
    const std::map<std::string, double> room = state.room;
    for (const auto& [from, wanted] : demand)
    {
        double reachable = 0;
        double rivals = 0;
        for (const auto& [to, free] : room)
            if (reach(from, to))
                reachable += free;
        for (const auto& [other, more] : demand)
            if (reach(from, other) || other == from)
                rivals += more;
        if (reachable <= 0 || rivals <= 0)
            continue;
        // Rivals in the same group share the room of the group.
        const double moved = std::min(wanted, reachable * wanted / rivals);
        for (const auto& [to, free] : room)
        {
            if (!reach(from, to))
                continue;
            const double part = moved * free / reachable;
            state.room[to] -= part;
            state.demand[from] -= part;
            if (from == origin)
                state.placed[to] += part;
        }
    }
}

double sum_of(const std::map<std::string, double>& parts)
{
    return std::accumulate(parts.begin(), parts.end(), 0.0,
                           [](double sum, const auto& each)
                           { return sum + each.second; });
}

// Free slots by data centre when each one's slots are filled to this part.
std::map<std::string, double> room_of(const placement_input& input, double filled)
{
    std::map<std::string, double> in_region;
    for (const auto& [data_centre, slots] : input.slots)
        in_region[input.regions.at(data_centre)] += slots;
    std::map<std::string, double> room;
    for (const auto& [data_centre, slots] : input.slots)
    {
        const std::string& region = input.regions.at(data_centre);
        const auto bound = input.regional.find(region);
        const double taken =
            bound == input.regional.end() ? 0 : bound->second * slots / in_region[region];
        room[data_centre] = std::max(0.0, slots * filled - taken);
    }
    return room;
}

} // namespace

std::map<std::string, double> plan_placement(const placement_input& input,
                                             const std::string& origin)
{
    const double slots = sum_of(input.slots);
    const double demand = sum_of(input.demand);
    const auto own = input.demand.find(origin);
    if (slots <= 0 || own == input.demand.end() || own->second <= 0)
        return {};
    // Regions full of bound work have no room, so the others may be filled further.
    constexpr double step = 1.1;
    const double all = demand + sum_of(input.regional);
    double filled = std::max(input.utilisation, all / slots);
    flows state{.room = room_of(input, filled)};
    while (sum_of(state.room) < demand)
    {
        filled *= step;
        state.room = room_of(input, filled);
    }
    for (const auto& [data_centre, region] : input.regions)
    {
        const auto wanted = input.demand.find(data_centre);
        state.demand[data_centre] = wanted == input.demand.end() ? 0 : wanted->second;
        state.room.emplace(data_centre, 0);
    }
    settle(state, origin, std::equal_to<>());
    settle(state, origin,
           [&](const std::string& from, const std::string& to)
           { return input.regions.at(from) == input.regions.at(to); });
    settle(state, origin, [](const std::string&, const std::string&) { return true; });
    const double placed = sum_of(state.placed);
    std::map<std::string, double> parts;
    for (const auto& [to, amount] : state.placed)
        if (amount > 0)
            parts[to] = amount / placed;
    return parts;
}

} // namespace pistachiospan::upstreams
