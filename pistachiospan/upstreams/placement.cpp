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

} // namespace

std::map<std::string, double> place(const placement_input& input,
                                    const std::string& origin)
{
    const double total =
        std::accumulate(input.slots.begin(), input.slots.end(), 0.0,
                        [](double sum, const auto& each) { return sum + each.second; });
    if (total <= 0)
        return {};
    flows state;
    const double each =
        total / input.headroom / static_cast<double>(input.regions.size());
    for (const auto& [data_centre, region] : input.regions)
    {
        state.demand[data_centre] = each;
        const auto found = input.slots.find(data_centre);
        state.room[data_centre] = found == input.slots.end() ? 0 : found->second;
    }
    settle(state, origin, std::equal_to<>());
    settle(state, origin, [&](const std::string& from, const std::string& to)
           { return input.regions.at(from) == input.regions.at(to); });
    settle(state, origin, [](const std::string&, const std::string&) { return true; });
    std::map<std::string, double> parts;
    for (const auto& [to, amount] : state.placed)
        if (amount > 0)
            parts[to] = amount / each;
    return parts;
}

} // namespace pistachiospan::upstreams
