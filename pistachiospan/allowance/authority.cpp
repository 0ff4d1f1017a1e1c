#include "pistachiospan/allowance/allowance.hpp"

#include <algorithm>

namespace pistachiospan::allowance
{

authority::authority(authority_options given)
    : options(given), parts(given.divided), held(given.pooled), reserve(given.reserve)
{
    this->reserve.set_share(time_point(), 1 / static_cast<double>(std::max<std::size_t>(
                                                  given.data_centres, 1)));
}

void authority::set_accounts(time_point now,
                             std::span<const configuration::account> accounts, bool fresh)
{
    std::vector<configuration::account> divided;
    std::vector<configuration::account> whole;
    this->pooled.clear();
    for (const configuration::account& each : accounts)
    {
        if (each.rate <= 0)
            continue;
        const bool shared = is_pooled(each, this->options.data_centres);
        this->pooled.emplace(each.name, shared);
        (shared ? whole : divided).push_back(each);
    }
    this->parts.set_accounts(now, divided, fresh);
    this->held.set_accounts(now, whole, fresh);
    this->reserve.set_accounts(now, whole, false);
}

void authority::set_members(time_point now, std::size_t known, double reachable_fraction)
{
    this->members = std::max<std::size_t>(known, 1);
    this->parts.set_reachable_fraction(now, reachable_fraction);
}

void authority::set_reachable_vm_fraction(time_point now, double fraction)
{
    this->held.set_share(now, fraction);
}

token_answer authority::answer(time_point now, const token_query& asked)
{
    token_answer made{.serial = asked.serial, .account = asked.account};
    const auto known = this->pooled.find(asked.account);
    if (known == this->pooled.end())
    {
        made.decision.admitted = true;
        return made;
    }
    if (known->second)
    {
        pool& from = asked.from_reserve ? this->reserve : this->held;
        if (asked.returned)
            from.give_back(now, asked.account);
        else
            made.decision = from.admit(now, asked.account);
        return made;
    }
    if (asked.returned)
    {
        this->parts.give_back(now, asked.account);
        return made;
    }
    made.decision = this->parts.admit(now, asked.account);
    made.fallback_share =
        this->parts.total_share_of(asked.account) / static_cast<double>(this->members);
    return made;
}

} // namespace pistachiospan::allowance
