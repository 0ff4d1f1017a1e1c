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

// Of the default ratio: stored credit and the requests of a window keep to it together.
constexpr double credit_per_request = 0.1 / 2;

// Times in the span before `end`.
double count_in(const std::vector<time_point>& times, time_point end, duration span)
{
    return static_cast<double>(std::ranges::count_if(
        times, [&](time_point each) { return each > end - span && each <= end; }));
}

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

// Guards against retries that multiply the load on failing upstreams. In every span,
// whatever its length and the arrival times, retries are limited to what its requests and
// those of the time before it that may be stored earn, and 3.
BOOST_AUTO_TEST_CASE(the_budget_holds_in_every_span)
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
            for (const duration span : {duration(500ms), duration(3s), retry::window})
                for (const time_point end : permitted)
                {
                    const double earned = credit_per_request *
                                          count_in(requests, end, span + retry::window);
                    RC_ASSERT(count_in(permitted, end, span) <= 3 + earned);
                }
        });
    BOOST_TEST(held);
}

// Guards against processes that exceed a budget together: requests move between them, and
// some start again and again. In every window the retries are limited to a tenth of the
// requests in it, or in the one before, and to what each process may store.
BOOST_AUTO_TEST_CASE(the_budgets_of_many_processes_add_up)
{
    constexpr std::size_t processes = 8;
    const bool held = rc::check(
        [](std::uint64_t seed)
        {
            random_engine random(seed);
            std::vector<retry::policy> all(processes, retry::policy({.min_credit = 1}));
            std::vector<time_point> requests;
            std::vector<time_point> permitted;
            std::vector<time_point> starts(processes, start);
            for (time_point now = start; now < start + 40s; now += 10ms)
            {
                if (random() % 200 == 0)
                {
                    all.at(random() % processes) = retry::policy({.min_credit = 1});
                    starts.push_back(now);
                }
                // Most requests go to one process for a while, then to the next one.
                const auto busy =
                    static_cast<std::size_t>((now - start) / 3s) % processes;
                retry::policy& chosen =
                    all.at(random() % 2 == 0 ? busy : random() % processes);
                chosen.note_request(now);
                requests.push_back(now);
                if (chosen.after_failure(now, idempotent).retry)
                    permitted.push_back(now);
            }
            for (const time_point end : permitted)
            {
                const double most =
                    std::max(count_in(requests, end, retry::window),
                             count_in(requests, end - retry::window, retry::window));
                const double stored =
                    processes + count_in(starts, end, 2 * retry::window);
                RC_ASSERT(count_in(permitted, end, retry::window) <= 0.1 * most + stored);
            }
        });
    BOOST_TEST(held);
}

// Guards against a service that can't be retried after a pause of its requests, and
// against credit that is kept from a busy time.
BOOST_AUTO_TEST_CASE(stored_credit_lapses_but_for_the_least)
{
    retry::policy retries({});
    time_point now = start;
    for (int request = 0; request < 2000; ++request)
        retries.note_request(now += 1ms);
    BOOST_TEST(retries.available_credit(now) > 90.0);
    now += 2 * retry::window;
    BOOST_TEST(retries.available_credit(now) == 3.0);
    for (int retry = 0; retry < 3; ++retry)
        BOOST_TEST(retries.after_failure(now, idempotent).retry);
    BOOST_TEST((retries.after_failure(now, idempotent).why == retry::reason::budget));
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
