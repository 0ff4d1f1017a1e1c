// The use of learned concurrency limits in the selection of upstreams.

#include "pistachiospan/upstreams/upstreams.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start(1000s);
constexpr std::uint32_t slots = 4;
const upstreams::query patient = {.service = "orders", .object = "17", .time_left = 10s};

upstreams::entry entry_of(std::int64_t started)
{
    return {.id = "u0",
            .service = "orders",
            .address = "a",
            .data_centre = "n1",
            .slots = slots,
            .started = started};
}

upstreams::upstream_set make_set(bool learned)
{
    upstreams::upstream_set known(
        {.data_centre = "n1", .shared_loads = true, .learned_limits = learned},
        {{"n1", "north"}});
    known.update(start, entry_of(1));
    return known;
}

// Answers of an upstream that takes 100 ms for two requests at a time and four times as
// long for four. `host` is the work factor of its host that it reports with the latter.
time_point learn_rise(upstreams::upstream_set& known, std::optional<double> host)
{
    time_point now = start;
    for (int round = 0; round < 60; ++round)
    {
        const bool is_full = round % 2 == 1;
        const duration latency = is_full ? 400ms : 100ms;
        const upstreams::selection chosen = known.select(now, patient);
        BOOST_TEST_REQUIRE(chosen.found);
        known.begin(now, chosen);
        now += latency;
        known.end(
            now, chosen, upstreams::outcome::answered, latency,
            upstreams::load_report{.running = is_full ? slots : 2,
                                   .slots = slots,
                                   .host_work_factor = is_full ? host : std::nullopt});
    }
    return now;
}

// The expected wait of a request when three others are at the upstream.
duration wait_behind_three(upstreams::upstream_set& known, time_point now)
{
    const std::vector<capacity::upstream_load> loads = {
        {.upstream = capacity::key_of("u0", 1), .requests = 3}};
    known.apply_load_estimates(now + 1s, loads, true);
    return known.select(now + 1s, patient).wait;
}

} // namespace

// Guards against estimates that take all slots for usable although answers are slower
// when they are filled, and against a limit that outlives a restart of the upstream.
BOOST_AUTO_TEST_CASE(estimates_use_the_learned_limit_until_a_restart)
{
    upstreams::upstream_set known = make_set(true);
    BOOST_TEST(known.lowered_limits(start) == 0U);
    const time_point now = learn_rise(known, std::nullopt);
    BOOST_TEST(known.lowered_limits(now) == 1U);
    BOOST_TEST((wait_behind_three(known, now) > 0ms));
    known.update(now, entry_of(2));
    BOOST_TEST(known.lowered_limits(now) == 0U);
}

// Guards against a slow host taken for an effect of load.
BOOST_AUTO_TEST_CASE(reported_slowness_of_the_host_keeps_the_slots)
{
    upstreams::upstream_set known = make_set(true);
    const time_point now = learn_rise(known, 4);
    BOOST_TEST(known.lowered_limits(now) == 0U);
    BOOST_TEST((wait_behind_three(known, now) == 0ms));
}

// Guards against limits that are learned although the deployment does not switch this on.
BOOST_AUTO_TEST_CASE(limits_are_learned_only_where_loads_are_shared)
{
    upstreams::upstream_set known = make_set(false);
    const time_point now = learn_rise(known, std::nullopt);
    BOOST_TEST(known.lowered_limits(now) == 0U);
    BOOST_TEST((wait_behind_three(known, now) == 0ms));
}

// Guards against refusals at a known number of requests that do not count.
BOOST_AUTO_TEST_CASE(refusals_lower_the_learned_limit)
{
    upstreams::upstream_set known = make_set(true);
    const time_point now = learn_rise(known, 4);
    const upstreams::selection chosen = known.select(now, patient);
    known.begin(now, chosen);
    known.end(now, chosen, upstreams::outcome::shed, 1ms,
              upstreams::load_report{.running = 2, .slots = slots});
    BOOST_TEST(known.lowered_limits(now) == 1U);
}
