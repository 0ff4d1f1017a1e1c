// The learned concurrency limit of one upstream, with simulated answer times.

#include "pistachiospan/capacity/capacity.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

using namespace pistachiospan;
using namespace pistachiospan::capacity;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t slots = 8;
constexpr time_point start(1000s);

// Above `knee` requests an upstream handles fewer of them per unit of time.
double time_at(std::uint32_t requests, double knee)
{
    return std::pow(std::max(1.0, requests / knee), 2);
}

// One VM's answers from an upstream whose number of requests varies between 1 and what
// the limit allows.
struct simulation
{
    std::function<double(std::uint32_t)> time = [](std::uint32_t)
    {
        return 1;
    };
    concurrency_limit limit = concurrency_limit(slots);
    time_point now = start;
    duration interval = 50ms;
    std::mt19937 random = std::mt19937(7);
    std::uint32_t sent = 0;
    std::uint32_t probes = 0;

    void step()
    {
        const std::uint32_t usable = this->limit.usable(this->now);
        const std::uint32_t requests =
            std::uniform_int_distribution<std::uint32_t>(1, usable)(this->random);
        ++this->sent;
        this->probes += requests > this->limit.limit(this->now) ? 1 : 0;
        this->limit.note_sent(this->now, requests - 1);
        this->now += this->interval;
        this->limit.note_answer(this->now, requests, this->time(requests));
    }
    void run(duration span)
    {
        for (const time_point end = this->now + span; this->now < end;)
            this->step();
    }
    std::uint32_t value() const
    {
        return this->limit.limit(this->now);
    }
};

// The time of work on a host that is 2.5 times slower in 15% of the intervals of 600 ms.
double noise_at(time_point now)
{
    const auto interval = static_cast<std::uint32_t>(now.time_since_epoch() / 600ms);
    std::mt19937 random(interval);
    return std::bernoulli_distribution(0.15)(random) ? 2.5 : 1;
}

} // namespace

// Guards against upstreams that look healthy although their answer times rise before
// their slots are full, and against fewer requests than they handle well.
BOOST_AUTO_TEST_CASE(limit_is_where_times_begin_to_rise)
{
    for (const auto& [knee, interval] : {std::pair(slots / 2, 50ms),
                                         {slots * 3 / 4, 50ms},
                                         {slots, 50ms},
                                         {slots / 2, 250ms},
                                         {slots * 3 / 4, 250ms},
                                         {slots, 250ms}})
    {
        simulation upstream{.time = [knee = knee](std::uint32_t requests)
                            { return time_at(requests, knee); },
                            .interval = interval};
        upstream.run(15s);
        for (int round = 0; round < 300; ++round)
        {
            upstream.run(100ms);
            BOOST_TEST(upstream.value() >= knee - (knee < slots ? 1 : 0));
            BOOST_TEST(upstream.value() <= std::min(knee + 1, slots));
        }
    }
}

// Guards against a limit that stays after the upstream has become slower or faster.
BOOST_AUTO_TEST_CASE(limit_follows_changes)
{
    std::uint32_t knee = slots;
    simulation upstream{.time = [&knee](std::uint32_t requests)
                        {
                            return time_at(requests, knee);
                        }};
    upstream.run(10s);
    BOOST_TEST(upstream.value() == slots);
    knee = slots / 2;
    upstream.run(10s);
    BOOST_TEST(upstream.value() <= slots / 2 + 1);
    std::uint32_t last = upstream.value();
    knee = slots;
    for (int second = 0; second < 90; ++second)
    {
        upstream.run(1s);
        BOOST_TEST(upstream.value() <= last + 1);
        last = upstream.value();
    }
    BOOST_TEST(last == slots);
}

// Guards against an upstream that is overloaded for long before the limit is lowered.
BOOST_AUTO_TEST_CASE(limit_falls_within_a_few_answers)
{
    concurrency_limit limit(slots);
    time_point now = start;
    for (int answer = 0; answer < 12; ++answer)
        limit.note_answer(now += 200ms, 4, 1);
    BOOST_TEST(limit.limit(now) == slots);
    for (int answer = 0; answer < 4; ++answer)
        limit.note_answer(now += 200ms, slots, 4);
    BOOST_TEST(limit.limit(now) < slots);
}

// Guards against bad answers above the limit that count as good probes when none has come
// at the limit itself.
BOOST_AUTO_TEST_CASE(bad_answers_above_an_unseen_limit_end_probes)
{
    concurrency_limit limit(4);
    time_point now = start;
    for (int answer = 0; answer < 60; ++answer)
        limit.note_answer(now += 250ms, answer % 2 == 0 ? 2 : 4, answer % 2 == 0 ? 1 : 4);
    for (int request = 0; request < 40; ++request)
        limit.note_sent(now, 1);
    BOOST_TEST(limit.limit(now) == 3U);
    BOOST_TEST(limit.usable(now) == 3U);
}

// Guards against probes that overload an upstream: at most one request in twenty, and
// none while the last one was bad.
BOOST_AUTO_TEST_CASE(probes_are_rare_and_end_with_a_bad_one)
{
    simulation upstream{.time = [](std::uint32_t requests)
                        {
                            return time_at(requests, slots / 2.0);
                        }};
    upstream.run(15s);
    upstream.sent = 0;
    upstream.probes = 0;
    upstream.run(100s);
    BOOST_TEST(upstream.probes > 0U);
    BOOST_TEST(upstream.probes <= upstream.sent / 20 + 1);
    while (upstream.limit.usable(upstream.now) == upstream.value())
        upstream.step();
    const std::uint32_t probed = upstream.limit.usable(upstream.now);
    upstream.limit.note_sent(upstream.now, probed - 1);
    upstream.limit.note_answer(upstream.now, probed, 10);
    for (int answer = 0; answer < 80; ++answer)
    {
        BOOST_TEST(upstream.limit.usable(upstream.now) == upstream.value());
        upstream.step();
    }
}

// Guards against the noise of a host taken for an effect of load.
BOOST_AUTO_TEST_CASE(noise_of_the_host_keeps_the_slots)
{
    for (const bool reported : {true, false})
    {
        simulation upstream;
        upstream.time = [&](std::uint32_t)
        {
            // The host may have changed since it was measured.
            const double known = reported ? noise_at(upstream.now - 50ms) : 1;
            return noise_at(upstream.now) / known;
        };
        double total = 0;
        std::uint32_t lowest = slots;
        constexpr int rounds = 600;
        for (int round = 0; round < rounds; ++round)
        {
            upstream.run(1s);
            total += upstream.value();
            lowest = std::min(lowest, upstream.value());
        }
        BOOST_TEST_MESSAGE("reported: " << reported << ", mean limit " << total / rounds
                                        << ", lowest " << lowest);
        if (reported)
            BOOST_TEST(lowest == slots);
        // Unreported noise costs at most a quarter of the slots on average.
        BOOST_TEST(total / rounds >= 0.75 * slots);
    }
}

// Guards against the upstream's own speed taken for an effect of load.
BOOST_AUTO_TEST_CASE(slow_upstream_keeps_its_slots)
{
    simulation upstream{.time = [](std::uint32_t)
                        {
                            return 3;
                        }};
    for (int round = 0; round < 60; ++round)
    {
        upstream.run(1s);
        BOOST_TEST(upstream.value() == slots);
    }
}

// Guards against an upstream that is judged from one answer: two requests a minute.
BOOST_AUTO_TEST_CASE(few_answers_keep_the_slots)
{
    concurrency_limit limit(slots);
    time_point now = start;
    for (int answer = 0; answer < 60; ++answer)
    {
        limit.note_answer(now += 30s, answer % 2 == 0 ? 1 : slots,
                          answer % 2 == 0 ? 1 : 20);
        BOOST_TEST(limit.limit(now) == slots);
    }
}

// Guards against a limit from the answers of one moment, which share one disturbance.
BOOST_AUTO_TEST_CASE(answers_of_one_second_keep_the_slots)
{
    concurrency_limit limit(slots);
    for (int answer = 0; answer < 60; ++answer)
        limit.note_answer(start + answer * 10ms, answer % 2 == 0 ? 2 : slots,
                          answer % 2 == 0 ? 1 : 20);
    BOOST_TEST(limit.limit(start + 600ms) == slots);
}

// Guards against refusals that repeat, and against a limit that stays after them.
BOOST_AUTO_TEST_CASE(refusals_lower_the_limit)
{
    simulation upstream;
    upstream.run(5s);
    upstream.limit.note_refusal(upstream.now, 5);
    BOOST_TEST(upstream.value() == 5U);
    upstream.limit.note_refusal(upstream.now, 0);
    BOOST_TEST(upstream.value() == 1U);
    upstream.run(4s);
    BOOST_TEST(upstream.value() == 1U);
    upstream.run(120s);
    BOOST_TEST(upstream.value() == slots);
    // A full queue is no sign that the slots are too many.
    upstream.limit.note_refusal(upstream.now, slots);
    BOOST_TEST(upstream.value() == slots);
}

// Guards against a limit that outlives what it was learned from.
BOOST_AUTO_TEST_CASE(limit_returns_to_the_slots_without_answers)
{
    simulation upstream{.time = [](std::uint32_t requests)
                        {
                            return time_at(requests, 2);
                        }};
    upstream.run(20s);
    const std::uint32_t learned = upstream.value();
    BOOST_TEST(learned <= 3U);
    BOOST_TEST(upstream.limit.limit(upstream.now + 10s) == learned);
    BOOST_TEST(upstream.limit.limit(upstream.now + 15s) > learned);
    BOOST_TEST(upstream.limit.limit(upstream.now + 15s) < slots);
    BOOST_TEST(upstream.limit.limit(upstream.now + 20s) == slots);
}
