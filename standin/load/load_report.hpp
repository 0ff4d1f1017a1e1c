// What a load run saw: counts, exact percentiles, and the same for each client account.

#ifndef PISTACHIOSPAN_STANDIN_LOAD_LOAD_REPORT_HPP
#define PISTACHIOSPAN_STANDIN_LOAD_LOAD_REPORT_HPP

#include "pistachiospan/base/base.hpp"

#include <map>
#include <vector>

namespace pistachiospan::standin
{

// All samples of one kind; percentiles are exact (nearest rank).
class latency_samples
{
public:
    void add(duration sample);
    std::size_t count() const
    {
        return this->samples.size();
    }
    // `share` from 0 to 1; zero without samples.
    duration percentile(double share) const;
    // {"count", "median_ms", "p90_ms", "p99_ms", "max_ms"}
    nlohmann::json describe() const;
    // Numbers of samples below each bound, from 0.1 ms to 10 s on a logarithmic axis:
    // [{"from_ms", "to_ms", "count"}], without empty buckets.
    nlohmann::json histogram() const;

private:
    void sort() const;

    mutable std::vector<duration> samples;
    mutable bool is_sorted = true;
};

// Refusals by their code and what they say about the run.
using refusal_counts = std::map<std::pair<std::string, std::string>, std::uint64_t>;

// The counts are of operations: one request of a caller with all its repeats.
struct outcome_counts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0; // completely and correctly
    std::uint64_t late = 0;     // of the answered: after the deadline
    std::uint64_t wrong = 0;    // answered, but not with the answer to this request
    std::uint64_t lost = 0;     // no answer, a cut connection or none at all
    std::uint64_t refused = 0;
    refusal_counts refusals; // the final refusal of each refused operation

    std::uint64_t ended() const
    {
        return this->answered + this->wrong + this->lost + this->refused;
    }
};

struct account_report
{
    outcome_counts counts;
    latency_samples latency; // of answered operations, from the scheduled start
};

// From the upstreams' counts and the operations with an Idempotency-Key.
struct run_check
{
    bool is_done = false;         // false: no upstreams were named or one did not answer
    std::uint64_t duplicates = 0; // keys that ran more than once
    std::uint64_t false_not_run = 0;    // all attempts refused as not run, but one ran
    std::uint64_t answered_not_run = 0; // answered, but no upstream knows of it
    // Since the start of the upstreams:
    std::uint64_t over_slots = 0; // requests that met an upstream without a free slot
    std::uint64_t keys_seen = 0;  // requests with a caller's key at an upstream
};

struct load_report
{
    outcome_counts counts;
    std::map<std::string, account_report> accounts;
    latency_samples latency;
    latency_samples refusal_latency;
    duration elapsed = duration::zero();
    std::uint64_t attempts = 0;
    std::uint64_t repeats = 0;
    std::uint64_t not_sent = 0; // over the limit of operations in progress
    std::uint64_t lookups_failed = 0;
    duration largest_send_delay = duration::zero(); // from schedule to first attempt
    std::map<std::string, std::uint64_t> problems;  // of wrong answers and look-ups
    run_check check;

    // The account with the smallest share of answered operations, then the highest p99.
    std::string worst_account() const;
    nlohmann::json describe() const;
    std::string text() const;
};

} // namespace pistachiospan::standin

#endif
