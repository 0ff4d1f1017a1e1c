#include "pistachiospan/allowance/allowance.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

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

// Lower rates are noise of the decaying estimate.
constexpr double min_reported_demand = 0.05; // requests per second

// Reports kept until they are confirmed. More are outstanding only when reports are lost;
// the oldest are dropped then.
constexpr std::size_t max_unconfirmed_reports = 8;

// Covers the time until a member is found silent.
constexpr std::size_t max_recent_shares = 4;

// Smaller changes of demand wait for the next full report.
constexpr double min_reported_change = 1; // requests per second

} // namespace

ledger::ledger(ledger_options options) : options(options) {}

void ledger::set_limits(time_point now, std::span<const limit> limits, bool new_limits)
{
    std::unordered_map<std::string, bucket> next;
    for (const limit& each : limits)
    {
        if (each.rate <= 0)
            continue;
        const auto known = this->buckets.find(each.name);
        bucket entry;
        if (known != this->buckets.end())
        {
            entry = known->second;
            this->refill(now, entry);
        }
        entry.rate = each.rate;
        entry.burst = each.burst;
        if (known == this->buckets.end())
        {
            entry.refilled_at = now;
            entry.decayed_at = now;
            entry.tokens =
                new_limits ? this->capacity(entry) : this->options.min_capacity;
        }
        if (known == this->buckets.end())
            entry.silent_share =
                (1 - this->reachable_fraction) * this->usable_share(entry);
        entry.tokens = std::min(entry.tokens, this->capacity(entry));
        next.emplace(each.name, entry);
    }
    this->buckets = std::move(next);
}

void ledger::inherit_share(time_point now, std::string_view account, double share)
{
    const auto found = this->buckets.find(std::string(account));
    if (found == this->buckets.end())
        return;
    this->refill(now, found->second);
    found->second.inherited_share = share;
}

void ledger::set_sharing_count(std::size_t count)
{
    this->sharing_count = std::max<std::size_t>(count, 1);
}

void ledger::set_reachable_fraction(time_point now, double fraction)
{
    if (fraction == this->reachable_fraction)
        return;
    const double before = std::exchange(this->reachable_fraction, fraction);
    for (auto& [name, each] : this->buckets)
    {
        this->refill(now, each);
        // Members are found silent some time after they were last heard of. Shares of
        // others that fell silent with them may have been set aside since.
        const double share_before = each.recent_shares.empty()
                                        ? this->usable_share(each)
                                        : each.recent_shares.front();
        if (fraction < before)
            each.silent_share += share_before * (before - fraction) / before;
        else
            each.silent_share *= (1 - fraction) / (1 - before);
    }
}

void ledger::set_remote(time_point now, std::string_view account, remote_usage remote)
{
    const auto found = this->buckets.find(std::string(account));
    if (found == this->buckets.end())
        return;
    this->refill(now, found->second);
    found->second.remote = remote;
}

void ledger::change_remote(time_point now, const demand& change)
{
    const auto found = this->buckets.find(change.account);
    if (found == this->buckets.end())
        return;
    this->refill(now, found->second);
    double& demand = found->second.remote.demand;
    demand = std::max(0.0, demand + change.rate);
}

// The share of the account's limit that the reachable members may claim by the reports.
double ledger::claimed_share(const bucket& entry) const
{
    const double min_demand = entry.rate * this->options.min_demand;
    const double local_demand = entry.reported_demand + min_demand;
    const double remote_demand =
        entry.remote.demand + min_demand * static_cast<double>(this->sharing_count - 1);
    const double available =
        std::max(0.0, 1 - entry.remote.unreachable_share - entry.silent_share);
    return available * local_demand / (local_demand + remote_demand);
}

double ledger::usable_share(const bucket& entry) const
{
    const double share = std::min(this->claimed_share(entry), entry.confirmed_share);
    const bool is_split =
        this->reachable_fraction < 1 && entry.remote.unreachable_share > 0;
    return entry.inherited_share && is_split
               ? std::min(share, *entry.inherited_share * this->reachable_fraction)
               : share;
}

double ledger::total_share(const bucket& entry) const
{
    return this->usable_share(entry) + entry.silent_share;
}

double ledger::capacity(const bucket& entry) const
{
    return std::max(entry.burst * this->usable_share(entry), this->options.min_capacity);
}

void ledger::refill(time_point now, bucket& entry) const
{
    const double elapsed = seconds_of(std::max(now - entry.refilled_at, duration(0)));
    entry.refilled_at = now;
    entry.tokens =
        std::min(entry.tokens + elapsed * entry.rate * this->usable_share(entry),
                 this->capacity(entry));
}

void ledger::decay(time_point now, bucket& entry) const
{
    const double time_constant = seconds_of(this->options.demand_time_constant);
    const double elapsed = seconds_of(std::max(now - entry.decayed_at, duration(0)));
    entry.decayed_at = now;
    entry.demand *= std::exp(-elapsed / time_constant);
}

admission ledger::admit(time_point now, std::string_view account)
{
    const auto found = this->buckets.find(std::string(account));
    if (found == this->buckets.end())
        return {.admitted = true};
    bucket& entry = found->second;
    this->refill(now, entry);
    this->decay(now, entry);
    entry.demand += 1 / seconds_of(this->options.demand_time_constant);
    if (entry.tokens >= 1)
    {
        entry.tokens -= 1;
        return {.admitted = true};
    }
    // With a share of 0, the token depends on others becoming reachable again; the
    // minimum keeps the time finite.
    const double share = this->usable_share(entry);
    const double rate = std::max(entry.rate * share, min_reported_demand);
    return {.retry_after = from_seconds((1 - entry.tokens) / rate), .share = share};
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

std::vector<demand> ledger::report_demand(time_point now, bool full)
{
    std::vector<demand> all;
    for (auto& [name, each] : this->buckets)
    {
        this->refill(now, each);
        this->decay(now, each);
        const double change = std::abs(each.demand - each.reported_demand);
        const double threshold = std::max(
            each.reported_demand * this->options.report_threshold, min_reported_change);
        const bool changed = change >= threshold;
        if (!full && !changed && each.pending_repeats == 0)
            continue;
        if (changed)
            each.pending_repeats = this->options.report_repeats;
        else if (each.pending_repeats > 0)
            --each.pending_repeats;
        const bool was_reported = each.reported_demand > 0;
        each.reported_demand = each.demand >= min_reported_demand ? each.demand : 0;
        if (each.reported_demand > 0 || was_reported)
            all.push_back({.account = name, .rate = each.reported_demand});
    }
    return all;
}

void ledger::note_reported(std::uint64_t report)
{
    for (auto& [name, each] : this->buckets)
    {
        each.recent_shares.push_back(this->usable_share(each));
        if (each.recent_shares.size() > max_recent_shares)
            each.recent_shares.pop_front();
        each.reported_shares.push_back(
            {.report = report, .share = this->claimed_share(each)});
        if (each.reported_shares.size() > max_unconfirmed_reports)
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
