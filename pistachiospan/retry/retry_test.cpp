#include "pistachiospan/retry/retry.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{100s};

const retry::failure_report idempotent = {.idempotent = true, .deadline = start + 1h};

} // namespace

// Guards against running a non-idempotent request again that may have run.
BOOST_AUTO_TEST_CASE(only_repeatable_requests_are_retried)
{
    retry::policy retries({});
    retry::failure_report failed{.deadline = start + 10s};
    BOOST_TEST(!retries.after_failure(start, failed).retry);
    failed.not_run = true;
    BOOST_TEST(!retries.after_failure(start, failed).retry);
    failed.intent_recorded = true;
    BOOST_TEST(retries.after_failure(start, failed).retry);
    failed.not_run = false;
    BOOST_TEST(
        (retries.after_failure(start, failed).why == retry::reason::not_repeatable));
}

// Guards against attempts that cannot end before the deadline, and against unlimited
// ones.
BOOST_AUTO_TEST_CASE(a_retry_stays_within_the_deadline_and_the_attempts)
{
    retry::policy retries({});
    retry::failure_report failed = idempotent;
    failed.deadline = start + 100ms;
    failed.min_attempt_time = 96ms;
    BOOST_TEST((retries.after_failure(start, failed).why == retry::reason::deadline));
    failed.min_attempt_time = 10ms;
    failed.retry_after = 50ms;
    BOOST_TEST((retries.after_failure(start, failed).delay == 50ms));
    failed.attempts = 3;
    BOOST_TEST((retries.after_failure(start, failed).why == retry::reason::attempts));
}

// Guards against retries that multiply the load on failing upstreams. In every window of
// 10 s, retries are limited to 10% of its requests, or 3, for any arrival times.
BOOST_AUTO_TEST_CASE(the_budget_holds_in_every_window)
{
    const bool held = rc::check(
        [](std::uint64_t seed)
        {
            random_engine random(seed);
            retry::policy retries({.seed = seed});
            std::vector<time_point> requests;
            std::vector<time_point> permitted;
            time_point now = start;
            const std::uint64_t longest_gap = 1 + random() % 300;
            for (int event = 0; event < 1500; ++event)
            {
                now += std::chrono::milliseconds(random() % longest_gap);
                retries.note_request(now);
                requests.push_back(now);
                if (random() % 2 == 0 && retries.after_failure(now, idempotent).retry)
                    permitted.push_back(now);
            }
            for (const time_point end : permitted)
            {
                const auto within = [&](const std::vector<time_point>& times)
                {
                    return std::count_if(times.begin(), times.end(),
                                         [&](time_point each) {
                                             return each > end - retry::window &&
                                                    each <= end;
                                         });
                };
                const double bound =
                    std::max(3.0, 0.1 * static_cast<double>(within(requests)));
                RC_ASSERT(static_cast<double>(within(permitted)) <= bound);
            }
        });
    BOOST_TEST(held);
}

// Guards against synchronized retries, and against jitter that is not reproducible from
// the seed.
BOOST_AUTO_TEST_CASE(backoff_grows_with_seeded_jitter)
{
    retry::policy first({.max_attempts = 10, .seed = 5});
    retry::policy second({.max_attempts = 10, .seed = 5});
    retry::failure_report failed = idempotent;
    duration longest = 10ms;
    for (failed.attempts = 1; failed.attempts <= 3; ++failed.attempts)
    {
        const duration delay = first.after_failure(start, failed).delay;
        BOOST_TEST((delay >= longest / 2 && delay <= longest));
        BOOST_TEST((delay == second.after_failure(start, failed).delay));
        longest *= 2;
    }
}
