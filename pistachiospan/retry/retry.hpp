// Decides whether and when a request is sent again after a failed attempt.
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
    double retry_ratio = 0.1;       // retries per request within a window
    std::uint32_t min_retries = 3;  // retries per window that are permitted at any load
    std::uint32_t max_attempts = 3; // of one request, including the first
    duration initial_backoff = std::chrono::milliseconds(10); // doubles with each retry
    duration max_backoff = std::chrono::milliseconds(500);
    std::uint64_t seed = 0;
};

inline constexpr duration window = std::chrono::seconds(10);

// A failed attempt of a request.
struct failure_report
{
    bool idempotent = false; // running the request twice is harmless
    // The request did not run: no byte of it was written, or the upstream said so in its
    // refusal.
    bool not_run = false;
    // The request has an idempotency key and this VM holds its recorded intent to run.
    bool intent_recorded = false;
    std::uint32_t attempts = 1; // attempts made so far
    time_point deadline;
    duration min_attempt_time{0}; // an attempt takes at least this long
    duration retry_after{0};      // delay requested by the upstream
};

enum class reason
{
    permitted,
    not_repeatable, // it may have run, and a second run would be harmful
    attempts,       // max_attempts is reached
    deadline,       // another attempt would not end in time
    budget,         // too many retries in the window
};

struct decision
{
    bool retry = false;
    duration delay{0};
    reason why = reason::permitted;
};

// Retry budget and backoff with jitter.
class policy
{
public:
    explicit policy(options values);

    // To be called once per caller request, not for its retries.
    void note_request(time_point now);

    // Decides on a retry. A permitted one is charged to the budget at once.
    decision after_failure(time_point now, const failure_report& failed);

    // Retries that are charged to the budget at present, for logs and metrics.
    std::uint64_t charged_retries(time_point now) const;

private:
    // Counts per step of 100 ms. Retries are counted over one step more than the window
    // and requests over one step less, so that the budget holds in every window of this
    // length, wherever it begins.
    static constexpr std::size_t steps = 101;
    static constexpr duration step_length = std::chrono::milliseconds(100);
    struct step
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    step& current_step(time_point now);
    bool consume_budget(time_point now);
    duration backoff(std::uint32_t attempts);

    options settings;
    random_engine random;
    std::array<step, steps> history{};
};

} // namespace pistachiospan::retry

#endif
