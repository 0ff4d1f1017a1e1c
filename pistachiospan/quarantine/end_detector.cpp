#include "pistachiospan/quarantine/quarantine.hpp"

#include <algorithm>

namespace pistachiospan::quarantine
{

end_detector::end_detector(end_detector_options options) : options(options) {}

bool end_detector::note_closed(time_point now, const upstreams::upstream_start& upstream,
                               lost_request request)
{
    this->forget_old(now);
    const auto [found, is_first] = this->suspected.try_emplace(upstream);
    suspected_end& suspect = found->second;
    if (is_first)
        suspect.closed_at = now;
    const bool is_known =
        std::ranges::find(suspect.requests, request) != suspect.requests.end();
    if (!is_known && suspect.requests.size() < this->options.max_requests)
        suspect.requests.push_back(std::move(request));
    return is_first;
}

bool end_detector::finish_check(time_point now, const upstreams::upstream_start& upstream,
                                connection_check outcome)
{
    this->forget_old(now);
    const auto found = this->suspected.find(upstream);
    if (found == this->suspected.end())
        return false;
    found->second.refused = outcome == connection_check::refused;
    if (!found->second.refused)
        this->suspected.erase(found);
    return outcome == connection_check::refused;
}

std::vector<upstream_end>
end_detector::note_answer(time_point now, const upstreams::upstream_start& upstream)
{
    if (this->suspected.empty())
        return {};
    this->forget_old(now);
    std::vector<upstream_end> ended;
    for (auto each = this->suspected.begin(); each != this->suspected.end();)
    {
        const bool has_ended = each->second.refused && each->first != upstream;
        if (has_ended)
            ended.push_back({.upstream = each->first,
                             .at = each->second.closed_at,
                             .requests = std::move(each->second.requests)});
        // An answer of the upstream itself shows that it lives.
        if (has_ended || each->first == upstream)
            each = this->suspected.erase(each);
        else
            ++each;
    }
    return ended;
}

void end_detector::forget_old(time_point now)
{
    std::erase_if(
        this->suspected, [this, now](const auto& each)
        { return now - each.second.closed_at > this->options.confirmation_time; });
}

} // namespace pistachiospan::quarantine
