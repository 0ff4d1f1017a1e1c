#include "pistachiospan/allowance/allowance.hpp"

#include <algorithm>

namespace pistachiospan::allowance
{

namespace
{

// A smaller burst per data centre must not be divided: with random arrivals, such a
// bucket is empty too often.
constexpr double min_divided_burst = 4; // tokens in each data centre

// Lower rates count as this one, to keep the time to retry finite.
constexpr double min_rate = 0.05; // tokens per second

double seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

std::vector<limit> limits_of(std::span<const configuration::account> accounts,
                             std::size_t data_centres)
{
    const double least_burst = min_divided_burst * static_cast<double>(data_centres);
    std::vector<limit> limits;
    limits.reserve(accounts.size());
    for (const configuration::account& each : accounts)
        limits.push_back({.name = each.name,
                          .rate = each.rate,
                          .burst = each.burst,
                          .pooled = data_centres > 1 && each.burst < least_burst});
    return limits;
}

std::string holder_of(std::string_view account, std::span<const std::string> data_centres)
{
    const auto weight = [account](const std::string& data_centre)
    {
        return hash_bytes(data_centre, hash_bytes(account));
    };
    const auto found = std::ranges::max_element(data_centres, {}, weight);
    return found == data_centres.end() ? std::string() : *found;
}

pool::pool(token_pool_options options) : options(options) {}

double pool::capacity(const bucket& entry) const
{
    const double tokens = this->options.capacity_time
                              ? entry.rate * seconds_of(*this->options.capacity_time)
                              : entry.burst;
    return std::max(tokens * entry.share, this->options.min_capacity);
}

void pool::refill(time_point now, bucket& entry) const
{
    const double elapsed = seconds_of(std::max(now - entry.refilled_at, duration(0)));
    entry.refilled_at = now;
    entry.tokens = std::min(entry.tokens + elapsed * entry.rate * entry.share,
                            this->capacity(entry));
}

void pool::set_limits(time_point now, std::span<const limit> limits, bool new_limits)
{
    std::unordered_map<std::string, bucket> next;
    for (const limit& each : limits)
    {
        if (each.rate <= 0)
            continue;
        const auto known = this->buckets.find(each.name);
        bucket entry{.share = this->share, .refilled_at = now};
        if (known != this->buckets.end())
        {
            entry = known->second;
            this->refill(now, entry);
        }
        entry.rate = each.rate;
        entry.burst = each.burst;
        if (known == this->buckets.end() && new_limits)
            entry.tokens = this->capacity(entry);
        entry.tokens = std::min(entry.tokens, this->capacity(entry));
        next.emplace(each.name, entry);
    }
    this->buckets = std::move(next);
}

void pool::set_share(time_point now, double new_share)
{
    if (new_share == this->share)
        return;
    this->share = new_share;
    for (auto& [name, each] : this->buckets)
    {
        this->refill(now, each);
        each.share = new_share;
    }
}

void pool::set_share(time_point now, std::string_view name, double new_share)
{
    const auto found = this->buckets.find(std::string(name));
    if (found == this->buckets.end())
        return;
    this->refill(now, found->second);
    found->second.share = new_share;
    found->second.share_set_at = now;
}

std::optional<double> pool::recent_share(time_point now, std::string_view name,
                                         duration max_age) const
{
    const auto found = this->buckets.find(std::string(name));
    const bool is_recent = found != this->buckets.end() && found->second.share_set_at &&
                           now - *found->second.share_set_at <= max_age;
    return is_recent ? std::optional(found->second.share) : std::nullopt;
}

admission pool::admit(time_point now, std::string_view name)
{
    const auto found = this->buckets.find(std::string(name));
    if (found == this->buckets.end())
        return {.admitted = true};
    bucket& entry = found->second;
    this->refill(now, entry);
    if (entry.tokens >= 1)
    {
        entry.tokens -= 1;
        return {.admitted = true, .share = entry.share};
    }
    const double rate = std::max(entry.rate * entry.share, min_rate);
    const auto wait = std::chrono::duration<double>((1 - entry.tokens) / rate);
    return {.retry_after = std::chrono::duration_cast<duration>(wait),
            .share = entry.share};
}

void pool::give_back(time_point now, std::string_view name)
{
    const auto found = this->buckets.find(std::string(name));
    if (found == this->buckets.end())
        return;
    this->refill(now, found->second);
    found->second.tokens =
        std::min(found->second.tokens + 1, this->capacity(found->second));
}

} // namespace pistachiospan::allowance
