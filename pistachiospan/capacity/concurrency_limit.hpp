// The number of concurrent requests that one start of an upstream handles well.
//
// Example:
//
//     concurrency_limit limit(registered_slots);
//     limit.note_answer(now, running + waiting, work_time / usual_time / host_factor);
//     limit.note_sent(now, load);
//     const std::uint32_t usable = limit.usable(now);
//
// Compares the times of answers at different numbers of requests at the upstream. The
// limit is the number at which most requests are handled per unit of time. An upstream
// that is slow at any load keeps its slots, because only the ratios of the times count.

#ifndef PISTACHIOSPAN_CAPACITY_CONCURRENCY_LIMIT_HPP
#define PISTACHIOSPAN_CAPACITY_CONCURRENCY_LIMIT_HPP

#include "pistachiospan/base/base.hpp"

#include <cstdint>
#include <vector>

namespace pistachiospan::capacity
{

class concurrency_limit
{
public:
    explicit concurrency_limit(std::uint32_t slots = 1);

    // An answer that came when `requests` of all VMs were at the upstream. `time` is its
    // time without wait and network, relative to the usual time of this kind of work and
    // to that of the upstream's host.
    void note_answer(time_point now, std::uint32_t requests, double time);
    // The upstream has refused a request when it had `requests` others.
    void note_refusal(time_point now, std::uint32_t requests);
    // A request was sent when `requests` others were there.
    void note_sent(time_point now, double requests);

    // From 1 to the slots.
    std::uint32_t limit(time_point now) const;
    // The limit, or one more if a request may probe whether it can be raised.
    std::uint32_t usable(time_point now) const;
    std::uint32_t slots() const
    {
        return this->registered;
    }

private:
    // Decayed sums over the answers at one number of requests.
    struct sums
    {
        double count = 0;
        double total = 0;
        double squares = 0;

        double mean() const
        {
            return this->total / this->count;
        }
        double relative_error() const;
        void scale(double factor);
        void add(double time);
    };

    void count_sample(time_point now);
    bool has_evidence() const;
    bool may_probe(time_point now) const;
    bool is_bad(std::uint32_t requests, double time) const;
    void adjust(time_point now);
    void note_probe(time_point now, bool bad);
    void set(time_point now, std::uint32_t limit);
    std::uint32_t best_number() const;

    std::uint32_t registered;
    std::uint32_t current;
    std::vector<sums> by_requests; // the first one is for one request
    time_point sampled_at;         // last answer or refusal
    time_point changed_at;
    time_point bad_at = time_point::min(); // last answer or refusal at or below the limit
    time_point bad_probe_at = time_point::min();
    double samples = 0;        // decayed number of answers and refusals
    std::uint32_t seconds = 0; // different seconds with samples, up to the needed ones
    std::int64_t last_second = -1;
    std::uint32_t refused_at = 0;  // lowest number with a refusal to be applied; 0: none
    std::uint32_t good_probes = 0; // in a row
    std::uint32_t sent_since_probe = 0;
};

} // namespace pistachiospan::capacity

#endif
