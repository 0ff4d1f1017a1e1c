#include "pistachiospan/allowance/allowance.hpp"

#include <algorithm>

namespace pistachiospan::allowance
{

authority::authority(authority_options options)
    : options(options), divided_accounts(options.divided), held_accounts(options.pooled),
      reserve(options.reserve)
{
    this->reserve.set_share(time_point(), 1 / static_cast<double>(std::max<std::size_t>(
                                                  options.data_centres, 1)));
}

void authority::set_accounts(time_point now,
                             std::span<const configuration::account> accounts,
                             bool new_limits)
{
    std::vector<configuration::account> divided;
    std::vector<configuration::account> pooled_accounts;
    this->pooled.clear();
    for (const configuration::account& each : accounts)
    {
        if (each.rate <= 0)
            continue;
        const bool is_held = is_pooled(each, this->options.data_centres);
        this->pooled.emplace(each.name, is_held);
        (is_held ? pooled_accounts : divided).push_back(each);
    }
    this->divided_accounts.set_accounts(now, divided, new_limits);
    this->held_accounts.set_accounts(now, pooled_accounts, new_limits);
    this->reserve.set_accounts(now, pooled_accounts, false);
}

void authority::set_members(time_point now, std::size_t known, double reachable_fraction)
{
    this->members = std::max<std::size_t>(known, 1);
    this->divided_accounts.set_reachable_fraction(now, reachable_fraction);
}

void authority::set_reachable_vm_fraction(time_point now, double fraction)
{
    this->held_accounts.set_share(now, fraction);
}

token_answer authority::answer(time_point now, const token_query& query)
{
    token_answer answer{.serial = query.serial, .account = query.account};
    const auto known = this->pooled.find(query.account);
    if (known == this->pooled.end())
    {
        answer.decision.admitted = true;
        return answer;
    }
    if (known->second)
    {
        pool& tokens = query.from_reserve ? this->reserve : this->held_accounts;
        if (query.returned)
            tokens.give_back(now, query.account);
        else
            answer.decision = tokens.admit(now, query.account);
        return answer;
    }
    if (query.returned)
    {
        this->divided_accounts.give_back(now, query.account);
        return answer;
    }
    answer.decision = this->divided_accounts.admit(now, query.account);
    answer.fallback_share = this->divided_accounts.total_share_of(query.account) /
                            static_cast<double>(this->members);
    return answer;
}

} // namespace pistachiospan::allowance
