#include "pistachiospan/allowance/allowance.hpp"

#include <algorithm>

namespace pistachiospan::allowance
{

namespace
{

// Divided among the data centres, a burst below this is too small: the bucket of a part
// is empty too often while requests come at random.
constexpr double least_divided_burst = 4; // tokens in each data centre

// Rates below this are as none.
constexpr double least_rate = 0.05; // tokens per second

double seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

bool is_pooled(const configuration::account& account, std::size_t data_centres)
{
    return data_centres > 1 &&
           account.burst < least_divided_burst * static_cast<double>(data_centres);
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

double pool::capacity(const bucket& of) const
{
    const double tokens = this->options.capacity_time
                              ? of.rate * seconds_of(*this->options.capacity_time)
                              : of.burst;
    return std::max(tokens * of.share, this->options.min_capacity);
}

void pool::refill(time_point now, bucket& of) const
{
    const double elapsed = seconds_of(std::max(now - of.refilled, duration(0)));
    of.refilled = now;
    of.tokens = std::min(of.tokens + elapsed * of.rate * of.share, this->capacity(of));
}

void pool::set_accounts(time_point now, std::span<const configuration::account> accounts,
                        bool fresh)
{
    std::unordered_map<std::string, bucket> next;
    for (const configuration::account& each : accounts)
    {
        if (each.rate <= 0)
            continue;
        const auto known = this->buckets.find(each.name);
        bucket made{.share = this->share, .refilled = now};
        if (known != this->buckets.end())
        {
            made = known->second;
            this->refill(now, made);
        }
        made.rate = each.rate;
        made.burst = each.burst;
        if (known == this->buckets.end() && fresh)
            made.tokens = this->capacity(made);
        made.tokens = std::min(made.tokens, this->capacity(made));
        next.emplace(each.name, made);
    }
    this->buckets = std::move(next);
}

void pool::set_share(time_point now, double next)
{
    if (next == this->share)
        return;
    this->share = next;
    for (auto& [name, each] : this->buckets)
    {
        this->refill(now, each);
        each.share = next;
    }
}

void pool::set_share(time_point now, std::string_view account, double next)
{
    const auto found = this->buckets.find(std::string(account));
    if (found == this->buckets.end())
        return;
    this->refill(now, found->second);
    found->second.share = next;
}

admission pool::admit(time_point now, std::string_view account)
{
    const auto found = this->buckets.find(std::string(account));
    if (found == this->buckets.end())
        return {.admitted = true};
    bucket& of = found->second;
    this->refill(now, of);
    if (of.tokens >= 1)
    {
        of.tokens -= 1;
        return {.admitted = true, .share = of.share};
    }
    const double rate = std::max(of.rate * of.share, least_rate);
    const auto wait = std::chrono::duration<double>((1 - of.tokens) / rate);
    return {.retry_after = std::chrono::duration_cast<duration>(wait), .share = of.share};
}

void pool::give_back(time_point now, std::string_view account)
{
    const auto found = this->buckets.find(std::string(account));
    if (found == this->buckets.end())
        return;
    this->refill(now, found->second);
    found->second.tokens =
        std::min(found->second.tokens + 1, this->capacity(found->second));
}

} // namespace pistachiospan::allowance
