#include "pistachiospan/world/rate_check.hpp"

#include <algorithm>

namespace pistachiospan::world
{

namespace
{

std::vector<arrival> runs_of(world& all, const std::string& account)
{
    std::vector<arrival> runs;
    for (std::size_t each = 0; each < all.upstream_count(); ++each)
        std::ranges::copy_if(all.upstream_at(each).arrivals(), std::back_inserter(runs),
                             [&account](const arrival& request)
                             { return request.ran && request.account == account; });
    std::ranges::sort(runs, {}, &arrival::at);
    return runs;
}

} // namespace

std::vector<rate_excess> check_rates(world& all, const rate_bound& bound)
{
    const double seconds = std::chrono::duration<double>(bound.window).count();
    std::vector<rate_excess> broken;
    for (const configuration::account& account : all.accounts())
    {
        if (account.rate <= 0)
            continue;
        const double allowed =
            (account.rate * seconds + account.burst) * (1 + bound.overrun) + bound.slack;
        rate_excess worst{.account = account.name, .allowed = allowed};
        const std::vector<arrival> runs = runs_of(all, account.name);
        for (auto first = runs.begin(); first != runs.end(); ++first)
        {
            const auto last = std::ranges::upper_bound(
                first, runs.end(), first->sent_at + bound.window, {}, &arrival::at);
            const auto count = static_cast<std::size_t>(
                std::count_if(first, last,
                              [since = first->sent_at](const arrival& each)
                              { return each.sent_at >= since; }));
            if (count > worst.ran)
            {
                worst.ran = count;
                worst.since = first->sent_at;
            }
        }
        if (static_cast<double>(worst.ran) > allowed)
            broken.push_back(worst);
    }
    return broken;
}

} // namespace pistachiospan::world
