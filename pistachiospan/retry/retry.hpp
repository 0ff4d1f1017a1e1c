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
    double retry_ratio = 0.1;       // retries per request in each window
    double min_credit = 3;          // retries that may be stored at any load
    std::uint32_t max_attempts = 3; // of one request, including the first
    duration initial_backoff = std::chrono::milliseconds(10); // doubles with each retry
    duration max_backoff = std::chrono::milliseconds(500);
    std::uint64_t seed = 0;
};

// The retry ratio holds in each span of this length. Credit is stored for as long.
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
//
// Each request earns half of the ratio as credit, and a retry costs 1. Stored credit is
// limited to min_credit or what the requests of the last window have earned. So the
// retries in a window are at most half of the ratio of its requests and of those in the
// window before it, plus min_credit. These bounds add up: the budgets of many VMs keep to
// the ratio together, of the requests in a window or in the one before, whichever VMs get
// the requests. A restart, which loses the stored credit, grants no more than min_credit.
class policy
{
public:
    explicit policy(options values);

    // To be called once per caller request, not for its retries.
    void note_request(time_point now);

    // Decides on a retry. A permitted one is charged to the budget at once.
    decision after_failure(time_point now, const failure_report& failed);

    // Returns the credit of a permitted retry that was not sent.
    void give_back(time_point now);

    // Retries that the stored credit permits at present.
    double available_credit(time_point now) const;

private:
    // Requests of one step of time.
    static constexpr duration step_length = std::chrono::milliseconds(100);
    static constexpr std::size_t steps = window / step_length;
    struct step
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
    };

    step& current_step(time_point now);
    double max_credit(time_point now) const;
    double credit_per_request() const;
    bool consume_credit(time_point now);
    duration backoff(std::uint32_t attempts);

    options settings;
    random_engine random;
    double credit;
    std::array<step, steps> history{};
};

} // namespace pistachiospan::retry

#endif
