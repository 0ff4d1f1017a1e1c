#include "pistachiospan/world/budget_check.hpp"

#include <algorithm>
#include <set>

namespace pistachiospan::world
{

namespace
{

// Arrivals after the first one of their request, in order of time.
std::vector<time_point> retry_times(world& all)
{
    std::vector<const arrival*> arrivals;
    for (std::size_t each = 0; each < all.upstream_count(); ++each)
        for (const arrival& received : all.upstream_at(each).arrivals())
            arrivals.push_back(&received);
    std::ranges::sort(arrivals, {}, &arrival::at);
    std::set<std::uint64_t> seen;
    std::vector<time_point> retries;
    for (const arrival* each : arrivals)
        if (!seen.insert(each->request).second)
            retries.push_back(each->at);
    return retries;
}

template <class Times>
std::size_t count_in(const Times& times, time_point since, duration window)
{
    const auto first = std::ranges::lower_bound(times, since);
    const auto last = std::lower_bound(first, times.end(), since + window);
    return static_cast<std::size_t>(last - first);
}

} // namespace

std::size_t retries_in(world& all, time_point since, time_point until)
{
    return count_in(retry_times(all), since, until - since);
}

std::optional<budget_excess> check_budget(world& all)
{
    const retry_bound bound = all.allowed_retries();
    const std::vector<time_point> retries = retry_times(all);
    std::optional<budget_excess> worst;
    double most = 0; // retries above what is allowed
    for (const time_point since : retries)
    {
        std::size_t requests = 0;
        for (const duration earlier : {duration(0), bound.window / 2, bound.window})
            requests = std::max(
                requests, count_in(all.request_times(), since - earlier, bound.window));
        const std::size_t count = count_in(retries, since, bound.window);
        const double allowed = bound.ratio * static_cast<double>(requests) + bound.slack;
        const double excess = static_cast<double>(count) - allowed;
        if (excess <= most)
            continue;
        most = excess;
        worst = budget_excess{
            .since = since, .retries = count, .requests = requests, .allowed = allowed};
    }
    return worst;
}

} // namespace pistachiospan::world
