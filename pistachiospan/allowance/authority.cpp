#include "pistachiospan/allowance/allowance.hpp"

#include <algorithm>

namespace pistachiospan::allowance
{

authority::authority(authority_options options)
    : options(options), divided_limits(options.divided), held_limits(options.pooled),
      reserve(options.reserve)
{
    this->reserve.set_share(time_point(), 1 / static_cast<double>(std::max<std::size_t>(
                                                  options.data_centres, 1)));
}

void authority::set_limits(time_point now, std::span<const limit> limits, bool new_limits)
{
    std::vector<limit> divided;
    std::vector<limit> held;
    this->pooled.clear();
    for (const limit& each : limits)
    {
        if (each.rate <= 0)
            continue;
        this->pooled.emplace(each.name, each.pooled);
        (each.pooled ? held : divided).push_back(each);
    }
    this->divided_limits.set_limits(now, divided, new_limits);
    this->held_limits.set_limits(now, held, new_limits);
    this->reserve.set_limits(now, held, false);
}

void authority::set_members(time_point now, std::size_t known, double reachable_fraction)
{
    this->members = std::max<std::size_t>(known, 1);
    this->divided_limits.set_reachable_fraction(now, reachable_fraction);
}

void authority::set_reachable_vm_fraction(time_point now, double fraction)
{
    this->held_limits.set_share(now, fraction);
}

token_answer authority::answer(time_point now, const token_query& query)
{
    token_answer answer{.serial = query.serial, .limit = query.limit};
    const auto known = this->pooled.find(query.limit);
    if (known == this->pooled.end())
    {
        answer.is_decided = this->options.admits_unknown;
        answer.decision.admitted = this->options.admits_unknown;
        return answer;
    }
    if (known->second)
    {
        pool& tokens = query.from_reserve ? this->reserve : this->held_limits;
        if (query.returned)
            tokens.give_back(now, query.limit);
        else
            answer.decision = tokens.admit(now, query.limit);
        return answer;
    }
    if (query.returned)
    {
        this->divided_limits.give_back(now, query.limit);
        return answer;
    }
    answer.decision = this->divided_limits.admit(now, query.limit);
    answer.fallback_share = this->divided_limits.total_share_of(query.limit) /
                            static_cast<double>(this->members);
    return answer;
}

} // namespace pistachiospan::allowance
