#include "pistachiospan/admission/internal/shares.hpp"

#include <algorithm>
#include <map>
#include <numeric>

namespace pistachiospan::admission::internal
{

namespace
{

// The minimum for an account with demand: this part of its even share, and this many
// requests per second.
constexpr double min_share_fraction = 1.0 / 20;
constexpr double min_request_rate = 0.5;
// Part of the room that all minimums together take at most: with many accounts and little
// room they would leave nothing to decide about.
constexpr double max_minimum_fraction = 0.5;
// The share is found by bisection: 2^-40 of the largest demand is exact enough.
constexpr int bisection_steps = 40;

double sum(std::span<const double> values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

std::vector<double> minimums(double room, std::span<const flow_demand> flows)
{
    std::map<int, double> accounts; // with demand, by priority
    for (const flow_demand& each : flows)
        accounts[each.key.priority] += each.demand > 0 ? 1 : 0;
    std::vector<double> rates;
    for (const flow_demand& each : flows)
    {
        const double even_share = room / std::max(accounts[each.key.priority], 1.0);
        rates.push_back(std::min(each.demand, std::max(even_share * min_share_fraction,
                                                       each.cost * min_request_rate)));
    }
    const double total = sum(rates);
    const double bound = room * max_minimum_fraction;
    if (total > bound)
        for (double& each : rates)
            each *= bound / total;
    return rates;
}

// The rate of slot time up to which each account of a level is served, so that the level
// gets `available` in all.
double share_within(double available, std::span<const flow_demand> flows,
                    std::span<const double> minimum, int level)
{
    double low = 0;
    double high = available;
    for (int step = 0; step < bisection_steps; ++step)
    {
        const double middle = (low + high) / 2;
        double used = 0;
        for (std::size_t at = 0; at < flows.size(); ++at)
            if (flows[at].key.priority == level)
                used += std::max(minimum[at], std::min(flows[at].demand, middle));
        (used > available ? high : low) = middle;
    }
    return low;
}

} // namespace

division divide(double room, std::span<const flow_demand> flows)
{
    division result{.allotted = minimums(room, flows)};
    double left = room - sum(result.allotted);
    std::map<int, double> missing; // demand beyond the minimums, by priority
    for (std::size_t at = 0; at < flows.size(); ++at)
        missing[flows[at].key.priority] += flows[at].demand - result.allotted[at];
    for (const auto& [level, wanted] : missing)
    {
        if (result.is_restricted)
            break;
        result.level = level;
        result.is_restricted = wanted > left;
        double available = left; // with the minimums of this level
        for (std::size_t at = 0; at < flows.size(); ++at)
            if (flows[at].key.priority == level)
                available += result.allotted[at];
        if (result.is_restricted)
            result.share = share_within(available, flows, result.allotted, level);
        for (std::size_t at = 0; at < flows.size(); ++at)
            if (flows[at].key.priority == level)
                result.allotted[at] =
                    result.is_restricted
                        ? std::max(result.allotted[at],
                                   std::min(flows[at].demand, result.share))
                        : flows[at].demand;
        left -= wanted;
    }
    return result;
}

} // namespace pistachiospan::admission::internal
