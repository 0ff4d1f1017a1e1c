#include "pistachiospan/allowance/allowance.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::allowance
{

namespace
{

double seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

// Rates below this are noise of the decaying estimate.
constexpr double least_reported = 0.05; // requests per second

// Reports whose confirmation is waited for; more are outstanding only when reports are
// lost, and then the oldest do not count.
constexpr std::size_t most_unconfirmed = 8;

// Smaller changes of demand wait for the next whole report.
constexpr double least_change = 1; // requests per second

} // namespace

ledger::ledger(ledger_options options) : options(options) {}

void ledger::set_accounts(time_point now,
                          std::span<const configuration::account> accounts, bool fresh)
{
    std::unordered_map<std::string, bucket> next;
    for (const configuration::account& each : accounts)
    {
        if (each.rate <= 0)
            continue;
        const auto known = this->buckets.find(each.name);
        bucket made;
        if (known != this->buckets.end())
        {
            made = known->second;
            this->refill(now, made);
        }
        made.rate = each.rate;
        made.burst = each.burst;
        if (known == this->buckets.end())
        {
            made.refilled = now;
            made.decayed = now;
            made.tokens = fresh ? this->capacity(made) : this->options.min_capacity;
        }
        made.tokens = std::min(made.tokens, this->capacity(made));
        next.emplace(each.name, made);
    }
    this->buckets = std::move(next);
}

void ledger::set_sharing_count(std::size_t count)
{
    this->sharing_count = std::max<std::size_t>(count, 1);
}

void ledger::set_reachable_fraction(time_point now, double fraction)
{
    if (fraction == this->reachable_fraction)
        return;
    for (auto& [name, each] : this->buckets)
        this->refill(now, each);
    this->reachable_fraction = fraction;
}

void ledger::set_remote(time_point now, std::string_view account, remote_usage others)
{
    const auto found = this->buckets.find(std::string(account));
    if (found == this->buckets.end())
        return;
    this->refill(now, found->second);
    found->second.others = others;
}

void ledger::change_remote(time_point now, const demand& change)
{
    const auto found = this->buckets.find(change.account);
    if (found == this->buckets.end())
        return;
    this->refill(now, found->second);
    double& sum = found->second.others.demand;
    sum = std::max(0.0, sum + change.rate);
}

// The part of the account's limit that the reports give this data centre.
double ledger::claimed_share(const bucket& of) const
{
    const double least = of.rate * this->options.min_demand;
    const double own = of.told + least;
    const double others =
        of.others.demand + least * static_cast<double>(this->sharing_count - 1);
    const double free = std::max(0.0, 1 - of.others.unreachable_share);
    return free * own / (own + others);
}

double ledger::total_share(const bucket& of) const
{
    return std::min(this->claimed_share(of), of.confirmed_share);
}

double ledger::usable_share(const bucket& of) const
{
    return this->reachable_fraction * this->total_share(of);
}

double ledger::capacity(const bucket& of) const
{
    return std::max(of.burst * this->usable_share(of), this->options.min_capacity);
}

void ledger::refill(time_point now, bucket& of) const
{
    const double elapsed = seconds_of(std::max(now - of.refilled, duration(0)));
    of.refilled = now;
    of.tokens = std::min(of.tokens + elapsed * of.rate * this->usable_share(of),
                         this->capacity(of));
}

void ledger::decay(time_point now, bucket& of) const
{
    const double memory = seconds_of(this->options.demand_time_constant);
    const double elapsed = seconds_of(std::max(now - of.decayed, duration(0)));
    of.decayed = now;
    of.demand *= std::exp(-elapsed / memory);
}

admission ledger::admit(time_point now, std::string_view account)
{
    const auto found = this->buckets.find(std::string(account));
    if (found == this->buckets.end())
        return {.admitted = true};
    bucket& of = found->second;
    this->refill(now, of);
    this->decay(now, of);
    of.demand += 1 / seconds_of(this->options.demand_time_constant);
    if (of.tokens >= 1)
    {
        of.tokens -= 1;
        return {.admitted = true};
    }
    // A data centre whose part is nothing waits for the others to be heard again.
    const double own = this->usable_share(of);
    const double rate = std::max(of.rate * own, least_reported);
    return {.retry_after = from_seconds((1 - of.tokens) / rate), .share = own};
}

void ledger::give_back(time_point now, std::string_view account)
{
    const auto found = this->buckets.find(std::string(account));
    if (found == this->buckets.end())
        return;
    this->refill(now, found->second);
    found->second.tokens =
        std::min(found->second.tokens + 1, this->capacity(found->second));
}

std::vector<demand> ledger::report_demand(time_point now, bool whole)
{
    std::vector<demand> all;
    for (auto& [name, each] : this->buckets)
    {
        this->refill(now, each);
        this->decay(now, each);
        const double change = std::abs(each.demand - each.told);
        const double least =
            std::max(each.told * this->options.report_threshold, least_change);
        const bool changed = change >= least;
        if (!whole && !changed && each.repeats == 0)
            continue;
        if (changed)
            each.repeats = this->options.report_repeats;
        else if (each.repeats > 0)
            --each.repeats;
        const bool known = each.told > 0;
        each.told = each.demand >= least_reported ? each.demand : 0;
        if (each.told > 0 || known)
            all.push_back({.account = name, .rate = each.told});
    }
    return all;
}

void ledger::note_reported(std::uint64_t report)
{
    for (auto& [name, each] : this->buckets)
    {
        each.reported_shares.push_back(
            {.report = report, .share = this->claimed_share(each)});
        if (each.reported_shares.size() > most_unconfirmed)
            each.reported_shares.pop_front();
    }
}

void ledger::confirm(time_point now, std::uint64_t report)
{
    for (auto& [name, each] : this->buckets)
    {
        if (each.reported_shares.empty() || each.reported_shares.front().report > report)
            continue;
        this->refill(now, each);
        while (!each.reported_shares.empty() &&
               each.reported_shares.front().report <= report)
        {
            each.confirmed_share = each.reported_shares.front().share;
            each.reported_shares.pop_front();
        }
    }
}

double ledger::usable_share_of(std::string_view account) const
{
    const auto found = this->buckets.find(std::string(account));
    return found == this->buckets.end() ? 1.0 : this->usable_share(found->second);
}

double ledger::total_share_of(std::string_view account) const
{
    const auto found = this->buckets.find(std::string(account));
    return found == this->buckets.end() ? 1.0 : this->total_share(found->second);
}

} // namespace pistachiospan::allowance
