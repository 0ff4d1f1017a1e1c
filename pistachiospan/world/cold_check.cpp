#include "pistachiospan/world/cold_check.hpp"

#include <algorithm>

namespace pistachiospan::world
{

std::size_t most_in_one_second(const upstream& server, time_point since, time_point until)
{
    constexpr duration window = std::chrono::seconds(1);
    const std::deque<arrival>& all = server.arrivals();
    const auto begin = std::ranges::lower_bound(all, since, {}, &arrival::at);
    const auto end = std::ranges::lower_bound(all, until, {}, &arrival::at);
    std::size_t most = 0;
    for (auto first = begin; first != end; ++first)
    {
        const auto last =
            std::ranges::lower_bound(first, end, first->at + window, {}, &arrival::at);
        const auto count = std::count_if(first, last,
                                         [at = first->sent_at](const auto& each)
                                         { return each.sent_at >= at; });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

} // namespace pistachiospan::world
