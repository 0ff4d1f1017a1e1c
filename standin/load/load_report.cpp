#include "standin/load/load_report.hpp"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace pistachiospan::standin
{

namespace
{

constexpr unsigned histogram_buckets = 25; // five in each decade
constexpr double histogram_start_ms = 0.1;
constexpr double histogram_end_ms = 10'000;

double in_milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

nlohmann::json describe_refusals(const refusal_counts& refusals)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [kind, count] : refusals)
        list.push_back({{"code", kind.first}, {"ran", kind.second}, {"count", count}});
    return list;
}

nlohmann::json describe_counts(const outcome_counts& counts)
{
    return {{"sent", counts.sent},       {"answered", counts.answered},
            {"refused", counts.refused}, {"refusals", describe_refusals(counts.refusals)},
            {"lost", counts.lost},       {"wrong", counts.wrong}};
}

double answered_share(const outcome_counts& counts)
{
    return counts.sent == 0
               ? 1
               : static_cast<double>(counts.answered) / static_cast<double>(counts.sent);
}

void print_latency(std::ostream& out, const std::string& name,
                   const latency_samples& latency)
{
    out << std::left << std::setw(14) << name << std::right << " n " << std::setw(8)
        << latency.count() << "  median " << in_milliseconds(latency.percentile(0.5))
        << " ms  p90 " << in_milliseconds(latency.percentile(0.9)) << " ms  p99 "
        << in_milliseconds(latency.percentile(0.99)) << " ms  max "
        << in_milliseconds(latency.percentile(1)) << " ms\n";
}

void print_histogram(std::ostream& out, const latency_samples& latency)
{
    for (const nlohmann::json& bucket : latency.histogram())
    {
        const auto count = bucket["count"].get<double>();
        const double share = count / static_cast<double>(latency.count());
        constexpr double columns = 50;
        out << std::setw(10) << bucket["from_ms"].get<double>() << " ms " << std::setw(8)
            << bucket["count"].get<std::uint64_t>() << ' '
            << std::string(static_cast<std::size_t>(std::ceil(share * columns)), '#')
            << '\n';
    }
}

} // namespace

void latency_samples::add(duration sample)
{
    this->samples.push_back(sample);
    this->is_sorted = false;
}

void latency_samples::sort() const
{
    if (!this->is_sorted)
        std::ranges::sort(this->samples);
    this->is_sorted = true;
}

duration latency_samples::percentile(double share) const
{
    if (this->samples.empty())
        return duration::zero();
    this->sort();
    const auto rank = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(this->samples.size())));
    return this->samples[std::clamp<std::size_t>(rank, 1, this->samples.size()) - 1];
}

nlohmann::json latency_samples::describe() const
{
    return {{"count", this->count()},
            {"median_ms", in_milliseconds(this->percentile(0.5))},
            {"p90_ms", in_milliseconds(this->percentile(0.9))},
            {"p99_ms", in_milliseconds(this->percentile(0.99))},
            {"max_ms", in_milliseconds(this->percentile(1))}};
}

nlohmann::json latency_samples::histogram() const
{
    namespace bh = boost::histogram;
    auto buckets = bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
        histogram_buckets, histogram_start_ms, histogram_end_ms));
    for (const duration sample : this->samples)
        buckets(in_milliseconds(sample));
    nlohmann::json list = nlohmann::json::array();
    for (const auto& bucket : bh::indexed(buckets, bh::coverage::all))
    {
        // The first and the last bucket are open: JSON has no infinity.
        const double from = std::max(bucket.bin().lower(), 0.0);
        const double to = bucket.bin().upper();
        if (*bucket > 0)
            list.push_back({{"from_ms", std::isfinite(from) ? from : 0.0},
                            {"to_ms", std::isfinite(to) ? nlohmann::json(to) : nullptr},
                            {"count", static_cast<std::uint64_t>(*bucket)}});
    }
    return list;
}

std::string load_report::worst_account() const
{
    const auto worse = [](const auto& left, const auto& right)
    {
        const double left_share = answered_share(left.second.counts);
        const double right_share = answered_share(right.second.counts);
        if (left_share != right_share)
            return left_share < right_share;
        return left.second.latency.percentile(0.99) >
               right.second.latency.percentile(0.99);
    };
    const auto found = std::ranges::min_element(this->accounts, worse);
    return found == this->accounts.end() ? "" : found->first;
}

nlohmann::json load_report::describe() const
{
    nlohmann::json out = describe_counts(this->counts);
    const double seconds = std::chrono::duration<double>(this->elapsed).count();
    out["elapsed_s"] = seconds;
    out["answered_per_s"] =
        seconds > 0 ? static_cast<double>(this->counts.answered) / seconds : 0.0;
    out["attempts"] = this->attempts;
    out["repeats"] = this->repeats;
    out["not_sent"] = this->not_sent;
    out["lookups_failed"] = this->lookups_failed;
    out["largest_send_delay_ms"] = in_milliseconds(this->largest_send_delay);
    out["problems"] = this->problems;
    out["latency"] = this->latency.describe();
    out["histogram"] = this->latency.histogram();
    out["refusal_latency"] = this->refusal_latency.describe();
    for (const auto& [name, account] : this->accounts)
    {
        out["accounts"][name] = describe_counts(account.counts);
        out["accounts"][name]["latency"] = account.latency.describe();
    }
    out["worst_account"] = this->worst_account();
    if (this->check.is_done)
        out["check"] = {{"duplicates", this->check.duplicates},
                        {"false_not_run", this->check.false_not_run},
                        {"answered_not_run", this->check.answered_not_run},
                        {"over_slots", this->check.over_slots},
                        {"keys_seen", this->check.keys_seen}};
    else
        out["check"] = nullptr;
    return out;
}

std::string load_report::text() const
{
    std::ostringstream out;
    const double seconds = std::chrono::duration<double>(this->elapsed).count();
    out << "sent " << this->counts.sent << ", answered " << this->counts.answered << " ("
        << this->counts.late << " after the deadline), refused " << this->counts.refused
        << ", lost " << this->counts.lost << ", wrong " << this->counts.wrong
        << ", not sent " << this->not_sent << " in " << seconds << " s ("
        << (seconds > 0 ? static_cast<double>(this->counts.answered) / seconds : 0.0)
        << " answers/s); " << this->attempts << " attempts, " << this->repeats
        << " repeats, " << this->lookups_failed << " look-ups failed\n";
    for (const auto& [kind, count] : this->counts.refusals)
        out << "refused " << kind.first << ", ran " << kind.second << ": " << count
            << '\n';
    for (const auto& [problem, count] : this->problems)
        out << "problem: " << problem << ": " << count << '\n';
    if (this->check.is_done)
        out << "duplicates " << this->check.duplicates << ", ran despite \"not run\" "
            << this->check.false_not_run << ", answered without a run "
            << this->check.answered_not_run << ", over slots " << this->check.over_slots
            << ", caller keys at upstreams " << this->check.keys_seen << '\n';
    else
        out << "duplicates: not checked\n";
    print_latency(out, "latency", this->latency);
    if (this->refusal_latency.count() > 0)
        print_latency(out, "refusals", this->refusal_latency);
    for (const auto& [name, account] : this->accounts)
        print_latency(out, name, account.latency);
    out << "worst-served account " << this->worst_account() << ", largest send delay "
        << in_milliseconds(this->largest_send_delay) << " ms\n";
    print_histogram(out, this->latency);
    return out.str();
}

} // namespace pistachiospan::standin
