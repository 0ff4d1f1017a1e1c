#include "pistachiospan/capacity/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::capacity
{

namespace
{

// Time constant of the sums. Longer than many changes of a host's speed (600 ms), so that
// these average out.
constexpr duration decay_time = std::chrono::seconds(8);
// Bound on the weight of earlier answers, so that a change of the upstream shows within a
// few tens of answers at each number.
constexpr double max_count = 30;
// Evidence that is needed before the limit differs from the slots.
constexpr double min_samples = 8;
constexpr std::uint32_t min_seconds = 2;
// Evidence that is needed about one number of requests.
constexpr double min_count = 2.5;
// An upstream must be this many standard errors too slow before the limit is lowered.
constexpr double confidence = 2;
// Lower bound on the deviation of one answer, relative to the mean: a few equal answers
// do not make a number certain.
constexpr double min_deviation = 0.1;

// Without answers the limit returns to the slots between these two ages.
constexpr duration return_begin = std::chrono::seconds(10);
constexpr duration return_end = std::chrono::seconds(20);

// The limit is raised at most once in this time, and only after such a time without bad
// answers.
constexpr duration raise_interval = std::chrono::seconds(1);
// An answer at or below the limit is bad if it took this many times as long as others at
// this number of requests.
constexpr double bad_ratio = 1.5;
// A probe is bad if fewer requests would be handled per unit of time than at the limit,
// apart from this tolerance.
constexpr double probe_tolerance = 1.1;
// Good probes in a row before the limit is raised.
constexpr std::uint32_t probes_per_raise = 3;
// One request in this many may be a probe.
constexpr std::uint32_t requests_per_probe = 20;
// Time without probes after a bad one.
constexpr duration probe_pause = std::chrono::seconds(5);

double part_of(duration span, duration whole)
{
    return static_cast<double>(span.count()) / static_cast<double>(whole.count());
}

// `at` may be time_point::min().
bool is_within(time_point now, time_point at, duration span)
{
    return at > now - span;
}

} // namespace

double concurrency_limit::sums::relative_error() const
{
    const double mean = this->mean();
    const double variance = std::max(this->squares / this->count - mean * mean,
                                     std::pow(min_deviation * mean, 2));
    return std::sqrt(variance / this->count) / mean;
}

void concurrency_limit::sums::scale(double factor)
{
    this->count *= factor;
    this->total *= factor;
    this->squares *= factor;
}

void concurrency_limit::sums::add(double time)
{
    if (this->count > max_count)
        this->scale(max_count / this->count);
    this->count += 1;
    this->total += time;
    this->squares += time * time;
}

concurrency_limit::concurrency_limit(std::uint32_t slots)
    : registered(std::max<std::uint32_t>(slots, 1)), current(this->registered)
{
}

// Decays what is known and counts one more answer or refusal.
void concurrency_limit::count_sample(time_point now)
{
    const duration age = now - this->sampled_at;
    this->current = this->limit(now);
    if (age >= return_end)
        *this = concurrency_limit(this->registered);
    this->by_requests.resize(this->registered);
    const double kept = std::exp(-part_of(std::max(age, duration(0)), decay_time));
    for (sums& each : this->by_requests)
        each.scale(kept);
    this->samples = this->samples * kept + 1;
    this->sampled_at = now;
    const std::int64_t second =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != this->last_second)
        this->seconds = std::min(this->seconds + 1, min_seconds);
    this->last_second = second;
}

bool concurrency_limit::has_evidence() const
{
    return this->samples >= min_samples && this->seconds >= min_seconds;
}

// Compares with the highest number up to the limit that was seen.
bool concurrency_limit::is_bad(std::uint32_t requests, double time) const
{
    std::uint32_t number = std::min(requests, this->current);
    while (number > 1 && this->by_requests[number - 1].count < min_count)
        --number;
    const sums& usual = this->by_requests[number - 1];
    const double ratio =
        requests > number ? probe_tolerance * requests / number : bad_ratio;
    return usual.count >= min_count && time > ratio * usual.mean();
}

void concurrency_limit::note_answer(time_point now, std::uint32_t requests, double time)
{
    // Beyond the slots answers wait, which says nothing about the work.
    if (requests > this->registered || !(time > 0))
        return;
    this->count_sample(now);
    requests = std::max<std::uint32_t>(requests, 1);
    const bool bad = this->is_bad(requests, time);
    if (requests > this->current)
        this->note_probe(now, bad);
    else if (bad)
        this->bad_at = now;
    this->by_requests[requests - 1].add(time);
    this->adjust(now);
}

void concurrency_limit::note_refusal(time_point now, std::uint32_t requests)
{
    this->count_sample(now);
    if (requests >= this->registered)
        return;
    requests = std::max<std::uint32_t>(requests, 1);
    this->bad_at = now;
    this->note_probe(now, true);
    this->refused_at =
        this->refused_at == 0 ? requests : std::min(this->refused_at, requests);
    this->adjust(now);
}

// An answer or refusal with more requests than the limit.
void concurrency_limit::note_probe(time_point now, bool bad)
{
    this->good_probes = bad ? 0 : this->good_probes + 1;
    if (bad)
        this->bad_probe_at = now;
}

void concurrency_limit::note_sent(time_point now, double requests)
{
    ++this->sent_since_probe;
    if (requests + 1 > this->limit(now) && this->may_probe(now))
        this->sent_since_probe = 0;
}

bool concurrency_limit::may_probe(time_point now) const
{
    return this->sent_since_probe >= requests_per_probe - 1 &&
           this->limit(now) < this->registered &&
           !is_within(now, this->bad_probe_at, probe_pause);
}

std::uint32_t concurrency_limit::limit(time_point now) const
{
    const duration age = now - this->sampled_at;
    if (this->current == this->registered || age <= return_begin)
        return this->current;
    const double progress =
        std::min(part_of(age - return_begin, return_end - return_begin), 1.0);
    return this->current +
           static_cast<std::uint32_t>(progress * (this->registered - this->current));
}

std::uint32_t concurrency_limit::usable(time_point now) const
{
    return this->limit(now) + (this->may_probe(now) ? 1 : 0);
}

// The highest number up to which not surely fewer requests are handled per unit of time
// than at the best one. A number that was not seen counts as good: the result is the
// slots unless a higher number is surely worse. Numbers above one that is surely worse do
// not count, because their sums are renewed too seldom once the limit is lower.
std::uint32_t concurrency_limit::best_number() const
{
    std::uint32_t top = 0;  // the number with the highest rate
    std::uint32_t best = 0; // the last one that is not surely worse
    for (std::uint32_t number = 1; number <= this->registered; ++number)
    {
        const sums& here = this->by_requests[number - 1];
        if (here.count < min_count)
            continue;
        const double rate = number / here.mean();
        if (top == 0)
        {
            top = best = number;
            continue;
        }
        const sums& other = this->by_requests[top - 1];
        const double top_rate = top / other.mean();
        const double doubt =
            confidence * std::hypot(here.relative_error(), other.relative_error());
        // Numbers between the two were not seen; the limit is set in their middle.
        if (rate * (1 + doubt) < top_rate)
            return best + (number - best) / 2;
        best = number;
        if (rate > top_rate)
            top = number;
    }
    return this->registered;
}

void concurrency_limit::set(time_point now, std::uint32_t limit)
{
    this->current = limit;
    this->changed_at = now;
    this->good_probes = 0;
}

void concurrency_limit::adjust(time_point now)
{
    if (!this->has_evidence())
        return;
    if (this->refused_at > 0 && this->refused_at < this->current)
        this->set(now, this->refused_at);
    this->refused_at = 0;
    const std::uint32_t best = this->best_number();
    if (best < this->current)
        this->set(now, best);
    if (best > this->current && this->good_probes >= probes_per_raise &&
        !is_within(now, this->changed_at, raise_interval) &&
        !is_within(now, this->bad_at, raise_interval))
        this->set(now, this->current + 1);
}

} // namespace pistachiospan::capacity
