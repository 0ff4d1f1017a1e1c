// The load of upstreams as other VMs tell it.

#include "pistachiospan/upstreams/upstreams.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start(1000s);
const upstreams::region_map one_data_centre = {{"n1", "north"}};

upstreams::upstream_set make_set(bool shared, std::size_t count)
{
    upstreams::upstream_set known({.data_centre = "n1", .shared_loads = shared},
                                  one_data_centre);
    for (std::size_t each = 0; each < count; ++each)
        known.update(start, {.id = "u" + std::to_string(each),
                             .service = "orders",
                             .address = "a",
                             .data_centre = "n1",
                             .slots = 3,
                             .started = 1});
    return known;
}

std::vector<capacity::upstream_load> loads_of(std::size_t count, std::uint32_t requests)
{
    std::vector<capacity::upstream_load> loads;
    for (std::size_t each = 0; each < count; ++each)
        loads.push_back({.upstream = capacity::key_of("u" + std::to_string(each), 1),
                         .requests = requests});
    return loads;
}

const upstreams::query urgent = {
    .service = "orders", .object = "17", .time_left = 2s, .objective = 500ms};

} // namespace

// Guards against requests sent to upstreams whose queue the requests of other VMs fill.
BOOST_AUTO_TEST_CASE(upstreams_that_others_fill_have_no_room)
{
    upstreams::upstream_set known = make_set(true, 2);
    known.apply_load_estimates(start, loads_of(1, 12), true);
    BOOST_TEST(known.select(start, urgent).id == "u1");
    known.apply_load_estimates(start, loads_of(2, 12), true);
    const upstreams::selection refused = known.select(start, urgent);
    BOOST_TEST((refused.failure == upstreams::selection_failure::no_room));
    BOOST_TEST((refused.retry_after > 0ms));
}

// Guards against loads that are used although the deployment does not switch this on,
// also if upstreams report the work time of their host.
BOOST_AUTO_TEST_CASE(loads_are_used_only_where_they_are_shared)
{
    for (const bool shared : {false, true})
    {
        upstreams::upstream_set known = make_set(shared, 1);
        known.apply_load_estimates(start, loads_of(1, 12), true);
        BOOST_TEST(known.select(start, urgent).found == !shared);
        const upstreams::selection chosen = known.select(start + 10s, urgent);
        BOOST_TEST_REQUIRE(chosen.found);
        known.begin(start + 10s, chosen);
        known.end(start + 10s + 100ms, chosen, upstreams::outcome::answered, 100ms,
                  upstreams::load_report{.running = 1, .host_work_factor = 1});
        known.apply_load_estimates(start + 10s + 200ms, loads_of(1, 12), true);
        BOOST_TEST(known.select(start + 10s + 200ms, urgent).found == !shared);
        BOOST_TEST(known.report_loads(start + 10s + 200ms, 1s).empty() == !shared);
    }
}

// Guards against an unset time that is taken for recent news shortly after the clock has
// begun: a report would then count for seconds although loads are not shared.
BOOST_AUTO_TEST_CASE(no_news_are_recent_when_the_clock_begins)
{
    upstreams::upstream_set known = make_set(false, 1);
    BOOST_TEST(known.told_loads(time_point(1s)) == 0U);
    const upstreams::selection chosen = known.select(time_point(1s), urgent);
    known.begin(time_point(1s), chosen);
    known.end(time_point(1s) + 10ms, chosen, upstreams::outcome::answered, 10ms,
              upstreams::load_report{.running = 3, .waiting = 9});
    BOOST_TEST(known.views(time_point(3s)).front().load < 1);
}

// Guards against an upstream that stays out of use after a restart, or when no more news
// come.
BOOST_AUTO_TEST_CASE(loads_end_with_a_restart_and_without_news)
{
    upstreams::upstream_set known = make_set(true, 1);
    known.apply_load_estimates(start, loads_of(1, 12), true);
    BOOST_TEST(!known.select(start, urgent).found);
    BOOST_TEST(known.told_loads(start) == 1U);
    BOOST_TEST(known.select(start + 10s, urgent).found);
    BOOST_TEST(known.told_loads(start + 10s) == 0U);
    known.apply_load_estimates(start, loads_of(1, 12), true);
    known.update(start, {.id = "u0",
                         .service = "orders",
                         .address = "a",
                         .data_centre = "n1",
                         .slots = 3,
                         .started = 2});
    BOOST_TEST(known.select(start, urgent).found);
}

// Guards against work that takes a VM with a tenth of a core noticeable time: 1 ms for
// what it does twice a second with 250 upstreams.
BOOST_AUTO_TEST_CASE(sharing_loads_takes_little_processor_time)
{
    constexpr std::size_t count = 250;
    upstreams::upstream_set known = make_set(true, count);
    const std::vector<capacity::upstream_load> loads = loads_of(count, 2);
    auto shortest = std::chrono::nanoseconds::max();
    for (int round = 0; round < 50; ++round)
    {
        const auto begin = std::chrono::steady_clock::now();
        known.apply_load_estimates(start, loads, true);
        known.report_loads(start, 1s);
        known.told_loads(start);
        shortest = std::min<std::chrono::nanoseconds>(
            shortest, std::chrono::steady_clock::now() - begin);
    }
    BOOST_TEST_MESSAGE("250 upstreams: " << shortest.count() << " ns");
    BOOST_TEST(shortest.count() < 1000000);
}
