#include "pistachiospan/world/limit_check.hpp"

#include <algorithm>

namespace pistachiospan::world
{

namespace
{

double seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

// The highest limit that was named at some time between `since` and `until`; nullopt if
// there was none at some time.
std::optional<double> highest_in(const std::vector<named_limit>& limits, time_point since,
                                 time_point until)
{
    if (limits.empty() || limits.front().since > since)
        return std::nullopt;
    double highest = 0;
    for (std::size_t at = 0; at < limits.size(); ++at)
    {
        const bool begins = limits[at].since <= until;
        const bool ends = at + 1 < limits.size() && limits[at + 1].since <= since;
        if (!begins || ends)
            continue;
        if (!limits[at].rate)
            return std::nullopt;
        highest = std::max(highest, *limits[at].rate);
    }
    return highest;
}

// Requests that the named limits allow in a window; nullopt if there was no limit in a
// part of it.
std::optional<double> allowed_in(const std::vector<named_limit>& limits, time_point since,
                                 time_point until, duration change_notice)
{
    std::vector<time_point> changes = {since, until};
    for (const named_limit& each : limits)
        for (const time_point change : {each.since, each.since + change_notice})
            if (change > since && change < until)
                changes.push_back(change);
    std::ranges::sort(changes);
    double allowed = 0;
    for (std::size_t at = 0; at + 1 < changes.size(); ++at)
    {
        const std::optional<double> rate =
            highest_in(limits, changes[at] - change_notice, changes[at]);
        if (!rate)
            return std::nullopt;
        allowed += *rate * seconds_of(changes[at + 1] - changes[at]);
    }
    return allowed;
}

// The time since which a limit has been in force without a break; nullopt if none is.
std::optional<time_point> limited_since(const std::vector<named_limit>& limits,
                                        time_point at)
{
    std::optional<time_point> since;
    for (const named_limit& each : limits)
    {
        if (each.since > at)
            break;
        if (!each.rate)
            since.reset();
        else if (!since)
            since = each.since;
    }
    return since;
}

} // namespace

std::size_t arrivals_in(const upstream& server, time_point since, time_point until)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(server.arrivals(), [since, until](const arrival& each)
                              { return each.at >= since && each.at < until; }));
}

std::vector<limit_excess> check_limits(const upstream& server, const limit_bound& bound)
{
    std::vector<limit_excess> broken;
    for (const arrival& first : server.arrivals())
    {
        const std::optional<time_point> named = limited_since(server.limits(), first.at);
        if (!named || first.at < *named + bound.notice)
            continue;
        const time_point end = first.at + bound.window;
        const std::optional<double> allowed =
            allowed_in(server.limits(), first.at, end, bound.change_notice);
        if (!allowed)
            continue;
        const auto arrived = static_cast<std::size_t>(
            std::ranges::count_if(server.arrivals(),
                                  [&](const arrival& each)
                                  {
                                      return each.at >= first.at && each.at < end &&
                                             (bound.counts_excused || !each.is_excused);
                                  }));
        const double most = *allowed * bound.tolerance + bound.slack;
        if (static_cast<double>(arrived) > most)
            broken.push_back({.since = first.at, .arrived = arrived, .allowed = most});
    }
    return broken;
}

} // namespace pistachiospan::world
