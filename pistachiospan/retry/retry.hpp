// Whether and when a request is sent to another upstream after a failed attempt.
//
// Example:
//
//     policy retries({.seed = seed});
//     retries.note_request(now);
//     const decision next = retries.after_failure(now, {.idempotent = true,
//                                                       .deadline = deadline});
//     if (next.retry)
//         timer.start(next.delay, [&] { forward(another_upstream); });

#ifndef PISTACHIOSPAN_RETRY_RETRY_HPP
#define PISTACHIOSPAN_RETRY_RETRY_HPP

#include "pistachiospan/base/base.hpp"

#include <array>

namespace pistachiospan::retry
{

struct options
{
    double retry_ratio = 0.1;       // retries per request of the last window
    std::uint32_t min_retries = 3;  // retries per window that are always permitted
    std::uint32_t max_attempts = 3; // of one request, with the first
    duration initial_backoff = std::chrono::milliseconds(10); // doubles with each retry
    duration max_backoff = std::chrono::milliseconds(500);
    std::uint64_t seed = 0;
};

inline constexpr duration window = std::chrono::seconds(10);

// A failed attempt of a request.
struct failure_report
{
    bool idempotent = false; // running the request twice does no harm
    // No byte of the request was written, or the upstream refused it as not run.
    bool not_run = false;
    // The request has an idempotency key and this VM holds its intent.
    bool intent_recorded = false;
    std::uint32_t attempts = 1; // so far
    time_point deadline;
    duration min_attempt_time{0}; // an attempt takes at least this long
    duration retry_after{0};      // the upstream asked for this delay
};

enum class reason
{
    permitted,
    not_repeatable, // it may have run, and a second run does harm
    attempts,       // the most attempts are made
    deadline,       // too late for another attempt
    budget,         // too many retries in the last window
};

struct decision
{
    bool retry = false;
    duration delay{0};
    reason why = reason::permitted;
};

// Retry budget and backoff of one daemon.
class policy
{
public:
    explicit policy(options given);

    // To be called for each request of a caller, not for its retries.
    void note_request(time_point now);

    // A permitted retry is counted at once.
    decision after_failure(time_point now, const failure_report& failed);

private:
    // Counts in steps of 100 ms. Retries are counted one step longer than the window and
    // requests one step shorter, so that the bound holds in every window.
    static constexpr std::size_t steps = 101;
    static constexpr duration step_length = std::chrono::milliseconds(100);
    struct step
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    step& current_step(time_point now);
    bool take(time_point now);
    duration backoff(std::uint32_t attempts);

    options opts;
    random_engine random;
    std::array<step, steps> counts{};
};

} // namespace pistachiospan::retry

#endif
