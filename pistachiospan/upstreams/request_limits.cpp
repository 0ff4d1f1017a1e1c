#include "pistachiospan/upstreams/request_limits.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::upstreams
{

namespace
{

// Smaller relative changes of a limit are not reported as changes.
constexpr double noticeable_change = 0.1;

// Two statements whose ages differ by less may have been made in either order: ages leave
// out the time that a message was under way.
constexpr duration order_margin = std::chrono::milliseconds(100);

// Whether `next` allows more requests than `present`.
bool is_looser(const std::optional<double>& next, const std::optional<double>& present)
{
    if (!present)
        return false;
    return !next || *next > *present;
}

bool differs_noticeably(const std::optional<double>& left,
                        const std::optional<double>& right)
{
    if (!left || !right)
        return left.has_value() != right.has_value();
    return std::abs(*left - *right) > noticeable_change * std::max(*left, *right);
}

} // namespace

bool request_limits::observe(time_point now, const upstream_start& upstream,
                             time_point sent_at, const limit_statement& statement)
{
    const auto found = this->limits.find(upstream);
    if (found == this->limits.end() && !statement.rate)
        return false;
    known_limit& limit =
        found == this->limits.end() ? this->limits[upstream] : found->second;
    if (is_looser(statement.rate, limit.rate) && sent_at < limit.confirmed_at)
        return false;
    return apply(now, limit, statement, now);
}

bool request_limits::merge(time_point now, const limit_notice& notice)
{
    const time_point stated_at = now - notice.age;
    const auto found = this->limits.find(notice.upstream);
    if (found == this->limits.end())
        return notice.statement.rate &&
               apply(now, this->limits[notice.upstream], notice.statement, stated_at);
    known_limit& limit = found->second;
    const bool may_be_later = stated_at + order_margin > limit.confirmed_at;
    const bool is_later = stated_at > limit.confirmed_at + order_margin;
    if (is_looser(notice.statement.rate, limit.rate) ? !is_later : !may_be_later)
        return false;
    return apply(now, limit, notice.statement, std::max(stated_at, limit.confirmed_at));
}

bool request_limits::apply(time_point now, known_limit& limit,
                           const limit_statement& statement, time_point stated_at)
{
    limit.confirmed_at = stated_at;
    if (limit.rate == statement.rate)
        return false;
    limit.rate = statement.rate;
    limit.changed_at = now;
    if (!differs_noticeably(limit.rate, limit.announced_rate))
        return false;
    limit.announced_rate = limit.rate;
    return true;
}

void request_limits::forget(time_point now, duration max_age,
                            const std::function<bool(const upstream_start&)>& in_use)
{
    std::erase_if(this->limits,
                  [&](const auto& each)
                  {
                      const bool needed = each.second.rate && in_use(each.first);
                      return !needed && now - each.second.confirmed_at > max_age;
                  });
}

std::optional<double> request_limits::rate_of(const upstream_start& upstream) const
{
    const auto found = this->limits.find(upstream);
    return found == this->limits.end() ? std::nullopt : found->second.rate;
}

limit_notice request_limits::notice_of(time_point now, const upstream_start& upstream,
                                       const known_limit& limit)
{
    return {.upstream = upstream,
            .statement = {.rate = limit.rate},
            .age = std::max(now - limit.confirmed_at, duration(0))};
}

std::vector<limit_notice> request_limits::changed_since(time_point now,
                                                        duration max_age) const
{
    std::vector<limit_notice> changed;
    for (const auto& [upstream, limit] : this->limits)
        if (now - limit.changed_at < max_age)
            changed.push_back(notice_of(now, upstream, limit));
    return changed;
}

std::vector<limit_notice> request_limits::in_force(time_point now) const
{
    std::vector<limit_notice> all;
    for (const auto& [upstream, limit] : this->limits)
        if (limit.rate)
            all.push_back(notice_of(now, upstream, limit));
    return all;
}

} // namespace pistachiospan::upstreams
