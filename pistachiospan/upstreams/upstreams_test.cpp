#include "pistachiospan/upstreams/placement.hpp"
#include "pistachiospan/upstreams/upstreams.hpp"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start(1000s);

const upstreams::region_map six_data_centres = {{"n1", "north"}, {"n2", "north"},
                                                {"s1", "south"}, {"s2", "south"},
                                                {"w1", "west"},  {"w2", "west"}};

upstreams::entry entry_of(const std::string& id, const std::string& data_centre)
{
    return {.id = id,
            .service = "orders",
            .address = id + ":80",
            .data_centre = data_centre,
            .slots = 5};
}

// Two upstreams in each data centre, as known to a VM in n1.
upstreams::upstream_set make_set()
{
    upstreams::upstream_set known({.data_centre = "n1"}, six_data_centres);
    for (const auto& [data_centre, region] : six_data_centres)
        for (const char* number : {"a", "b"})
            known.update(start, entry_of(data_centre + number, data_centre));
    const std::vector<configuration::service> services = {
        {.name = "orders", .cold_time = 3s, .cold_rate = 14}};
    known.set_services(services);
    return known;
}

upstreams::query query_of(std::string_view object)
{
    return {.service = "orders", .object = object, .time_left = 2s};
}

} // namespace

// Guards against objects that move between upstreams although nothing changes, and
// against VMs of a data centre that choose differently.
BOOST_AUTO_TEST_CASE(an_object_stays_at_its_upstream)
{
    upstreams::upstream_set first = make_set();
    upstreams::upstream_set second = make_set();
    std::set<std::string> used;
    for (int object = 0; object < 40; ++object)
    {
        const std::string name = std::to_string(object);
        const std::string chosen = first.select(start, query_of(name)).id;
        used.insert(chosen);
        BOOST_TEST(second.select(start + 1s, query_of(name)).id == chosen);
    }
    BOOST_TEST(used.size() >= 2U);
}

// Guards against selecting upstreams that are draining, removed or excluded.
BOOST_AUTO_TEST_CASE(unusable_upstreams_are_not_selected)
{
    upstreams::upstream_set known = make_set();
    const std::string first = known.select(start, query_of("7")).id;
    upstreams::entry leaving = entry_of(first, first.substr(0, 2));
    leaving.draining = true;
    known.update(start, leaving);
    const std::string second = known.select(start, query_of("7")).id;
    BOOST_TEST(second != first);
    known.remove(second);
    const std::string third = known.select(start, query_of("7")).id;
    BOOST_TEST(third != second);
    const std::vector<std::string> excluded = {third};
    upstreams::query again = query_of("7");
    again.excluded = excluded;
    BOOST_TEST(known.select(start, again).id != third);
}

// Guards against an upstream that is used again because the store carries out its "ready"
// after its later "draining" (DRAIN, 1 request 2.83 s after the report).
BOOST_AUTO_TEST_CASE(late_entry_does_not_take_back_draining)
{
    upstreams::upstream_set known = make_set();
    const std::string id = known.select(start, query_of("7")).id;
    upstreams::entry draining = entry_of(id, id.substr(0, 2));
    draining.draining = true;
    draining.sequence = 8;
    known.update(start, draining);
    upstreams::entry ready = entry_of(id, id.substr(0, 2));
    ready.sequence = 7;
    known.update(start, ready);
    BOOST_TEST(known.select(start, query_of("7")).id != id);
    upstreams::entry restarted = ready;
    restarted.sequence = 1;
    restarted.started = 1;
    BOOST_TEST(known.update(start, restarted) != "older entry ignored");
    known.update(start, draining);
    ready.sequence = 9;
    known.update(start, ready);
    BOOST_TEST(known.select(start + 1min, query_of("7")).id == id);
}

// Guards against an evacuation that exceeds its time bound, and against one that moves
// the load of a data centre in one step.
BOOST_AUTO_TEST_CASE(evacuation_is_gradual_and_in_time)
{
    upstreams::upstream_set known = make_set();
    known.set_evacuated(start, {"n1"}, false);
    const auto in_n1 = [&](time_point now)
    {
        int count = 0;
        for (int object = 0; object < 200; ++object)
            if (known.select(now, query_of(std::to_string(object))).id.starts_with("n1"))
                ++count;
        return count;
    };
    const int at_start = in_n1(start);
    const int halfway = in_n1(start + 1250ms);
    BOOST_TEST(at_start > 0);
    BOOST_TEST(halfway > at_start / 4);
    BOOST_TEST(halfway < at_start * 3 / 4);
    BOOST_TEST(in_n1(start + 2600ms) == 0);
    known.set_evacuated(start + 10s, {}, false);
    BOOST_TEST(in_n1(start + 17s) > 0);
}

// Guards against a VM that starts during an evacuation and sends requests to the
// evacuated data centre.
BOOST_AUTO_TEST_CASE(evacuation_known_at_start_applies_at_once)
{
    upstreams::upstream_set known = make_set();
    known.set_evacuated(start, {"n1"}, true);
    for (int object = 0; object < 100; ++object)
        BOOST_TEST(
            !known.select(start, query_of(std::to_string(object))).id.starts_with("n1"));
}

// Guards against requests that run outside their allowed regions.
BOOST_AUTO_TEST_CASE(requests_stay_in_allowed_regions)
{
    upstreams::upstream_set known = make_set();
    const std::vector<std::string> homes = {"west"};
    const std::vector<std::string> others = {"south"};
    upstreams::query regional = query_of("7");
    regional.homes = homes;
    BOOST_TEST(known.select(start, regional).id.starts_with("w"));
    regional.account_homes = others;
    const upstreams::selection none = known.select(start, regional);
    BOOST_TEST(!none.found);
    BOOST_TEST((none.failure == upstreams::selection_failure::no_upstream));
}

// Number of requests that all VMs together send to a cold upstream within one second, if
// each VM has more requests than it may send.
int cold_requests(int vms, double rate)
{
    int total = 0;
    for (int vm = 0; vm < vms; ++vm)
    {
        upstreams::upstream_set known(
            {.seed = hash_bytes(std::to_string(vm)), .data_centre = "n1"},
            six_data_centres);
        upstreams::entry cold = entry_of("n1a", "n1");
        cold.cold_left = 3s;
        known.update(start, cold);
        const std::vector<configuration::service> services = {
            {.name = "orders", .cold_time = 3s, .cold_rate = rate}};
        known.set_services(services);
        known.set_vm_count(vms);
        for (int step = 0; step < 100; ++step)
            if (known.select(start + step * 10ms, query_of(std::to_string(step))).found)
                ++total;
    }
    return total;
}

// Guards against exceeding the rate of a cold upstream over all VMs. With many VMs, one
// initial request of each is already too much (seen in rota-louche-grown scale-2: 23
// requests of 16.1 allowed).
BOOST_AUTO_TEST_CASE(cold_upstream_gets_its_rate)
{
    // The platform's bounds: 50 % above the rate, plus a few requests.
    BOOST_TEST(cold_requests(9, 14) <= 14 * 1.5 + 5);
    BOOST_TEST(cold_requests(9, 14) > 9);
    BOOST_TEST(cold_requests(65, 5.4) <= 5.4 * 1.5 + 8);
    BOOST_TEST(cold_requests(65, 5.4) > 0);
}

// Guards against treating a restarted upstream as warm.
BOOST_AUTO_TEST_CASE(restart_makes_an_upstream_cold)
{
    upstreams::upstream_set known = make_set();
    upstreams::entry restarted = entry_of("n1a", "n1");
    restarted.started = 5;
    BOOST_TEST(known.update(start, restarted) == "restarted");
    for (const upstreams::upstream_view& each : known.views(start + 1s))
        BOOST_TEST(each.cold == (each.id == "n1a"));
}

// Guards against using an upstream that refuses connections, and against never using it
// again.
BOOST_AUTO_TEST_CASE(failing_upstream_is_ejected_temporarily)
{
    upstreams::upstream_set known = make_set();
    const upstreams::selection first = known.select(start, query_of("7"));
    known.begin(start, first);
    known.end(start, first, upstreams::outcome::not_sent, 0s, std::nullopt);
    BOOST_TEST(known.select(start + 100ms, query_of("7")).id != first.id);
    BOOST_TEST(known.select(start + 2s, query_of("7")).id == first.id);
}

// An overloaded upstream asks for a pause. Guards against requests during the pause, and
// against a burst at its end: one request is sent first, then twice as many after each
// answer.
BOOST_AUTO_TEST_CASE(paused_upstream_returns_gradually)
{
    upstreams::upstream_set known = make_set();
    const upstreams::selection first = known.select(start, query_of("7"));
    known.begin(start, first);
    known.note_pause(start, first.id, 4s);
    // An answer to a request from before the pause does not end it.
    known.end(start, first, upstreams::outcome::answered, 100ms, std::nullopt);
    for (const duration passed : {0ms, 600ms, 3900ms})
        BOOST_TEST(known.select(start + passed, query_of("7")).id != first.id);
    const time_point over = start + 4s;
    const upstreams::selection probe = known.select(over, query_of("7"));
    BOOST_TEST(probe.id == first.id);
    known.begin(over, probe);
    BOOST_TEST(known.select(over, query_of("7")).id != first.id);
    known.end(over, probe, upstreams::outcome::answered, 100ms, std::nullopt);
    for (int sent = 0; sent < 2; ++sent)
    {
        const upstreams::selection next = known.select(over, query_of("7"));
        BOOST_TEST(next.id == first.id);
        known.begin(over, next);
    }
    BOOST_TEST(known.select(over, query_of("7")).id != first.id);
}

// All upstreams of a service have asked for a pause. Guards against a retry_after that
// does not match the end of the first pause.
BOOST_AUTO_TEST_CASE(retry_after_is_the_end_of_the_first_pause)
{
    upstreams::upstream_set known({.data_centre = "n1"}, six_data_centres);
    known.update(start, entry_of("n1a", "n1"));
    known.update(start, entry_of("n1b", "n1"));
    known.note_pause(start, "n1a", 3s);
    BOOST_TEST(known.select(start, query_of("7")).id == "n1b");
    known.note_pause(start, "n1b", 2s);
    const upstreams::selection none = known.select(start + 500ms, query_of("7"));
    BOOST_TEST(!none.found);
    BOOST_TEST((none.retry_after == 1500ms));
}

// Guards against an upstream that a very long pause excludes for good.
BOOST_AUTO_TEST_CASE(pause_is_bounded)
{
    upstreams::upstream_set known({.data_centre = "n1"}, six_data_centres);
    known.update(start, entry_of("n1a", "n1"));
    known.note_pause(start, "n1a", 24h);
    BOOST_TEST(!known.select(start + 60s, query_of("7")).found);
    BOOST_TEST(known.select(start + 6min, query_of("7")).found);
}

// Guards against requests to an upstream that announced in an answer that it is leaving,
// while the registry still lists it as ready, also after its entry was removed and added
// again. It is used again after a restart.
BOOST_AUTO_TEST_CASE(leaving_upstream_gets_no_requests)
{
    upstreams::upstream_set known({.data_centre = "n1"}, six_data_centres);
    upstreams::entry entry = entry_of("n1a", "n1");
    entry.started = 5;
    known.update(start, entry);
    BOOST_TEST(known.note_leaving(start, {"n1a", 5}));
    BOOST_TEST(!known.note_leaving(start, {"n1a", 5}));
    BOOST_TEST(!known.select(start, query_of("7")).found);
    known.update(start + 1s, entry);
    BOOST_TEST(!known.select(start + 1s, query_of("7")).found);
    known.remove("n1a");
    known.update(start + 5s, entry);
    BOOST_TEST(!known.select(start + 5s, query_of("7")).found);
    entry.started = 6;
    known.update(start + 10s, entry);
    BOOST_TEST(known.select(start + 10s, query_of("7")).found);
}

// Guards against losing a report of another VM that an upstream is leaving when it
// arrives before the registry's entry, and against applying it to a later process of the
// upstream.
BOOST_AUTO_TEST_CASE(leaving_applies_to_one_process)
{
    upstreams::upstream_set known({.data_centre = "n1"}, six_data_centres);
    known.note_leaving(start, {"n1a", 5});
    upstreams::entry entry = entry_of("n1a", "n1");
    entry.started = 5;
    known.update(start, entry);
    BOOST_TEST(!known.select(start, query_of("7")).found);
    BOOST_TEST(known.leaving_since(start + 1s, 3s).size() == 1U);
    BOOST_TEST(known.leaving_since(start + 4s, 3s).empty());
    entry.started = 6;
    known.update(start, entry);
    known.note_leaving(start, {"n1a", 4});
    BOOST_TEST(known.select(start, query_of("7")).found);
}

// The first answer after a start is an outlier. Guards against a VM that takes it for the
// mean work of the service (seen in andino-tags trouble-2: 14 ms instead of 130 ms for
// ten seconds, and a plan based on it).
BOOST_AUTO_TEST_CASE(one_outlier_does_not_set_the_average)
{
    upstreams::upstream_set known = make_set();
    const auto expected = [&]
    {
        return known.select(start, query_of("99")).expected;
    };
    const duration before = expected();
    const upstreams::selection outlier = known.select(start, query_of("7"));
    known.begin(start, outlier);
    known.end(start, outlier, upstreams::outcome::answered, 5ms, std::nullopt);
    BOOST_TEST(expected().count() > before.count() * 7 / 10);
}

// Guards against requests that accumulate at an upstream that has stopped answering.
BOOST_AUTO_TEST_CASE(stalled_upstream_is_avoided)
{
    upstreams::upstream_set known = make_set();
    const upstreams::selection first = known.select(start, query_of("7"));
    known.begin(start, first);
    BOOST_TEST(known.select(start + 100ms, query_of("7")).id == first.id);
    BOOST_TEST(known.select(start + 1500ms, query_of("7")).id != first.id);
}

// More requests than slots. Guards against accepting requests that would wait and still
// miss their objective, and against refusing any while a slot is free.
BOOST_AUTO_TEST_CASE(requests_that_would_be_late_are_refused)
{
    upstreams::upstream_set known({.data_centre = "n1"}, six_data_centres);
    known.update(start, entry_of("n1a", "n1"));
    upstreams::query query = query_of("7");
    query.objective = 200ms;
    int taken = 0;
    upstreams::selection last = known.select(start, query);
    for (; last.found && taken < 100; last = known.select(start, query))
    {
        known.begin(start, last);
        ++taken;
    }
    BOOST_TEST(taken >= 5);
    BOOST_TEST(taken < 15);
    BOOST_TEST((last.failure == upstreams::selection_failure::no_room));
    BOOST_TEST(last.retry_after.count() > 0);
}

// Guards against an object that moves to another upstream because of a short wait, which
// makes the other one work longer (the platform's scenario scale-1 scored 0.285 when
// known and unknown objects had equal costs).
BOOST_AUTO_TEST_CASE(short_waits_keep_an_object_in_place)
{
    upstreams::upstream_set known = make_set();
    const upstreams::selection first = known.select(start, query_of("7"));
    for (int each = 0; each < 7; ++each)
        known.begin(start, first);
    BOOST_TEST(known.select(start, query_of("7")).id == first.id);
    for (int each = 0; each < 60; ++each)
        known.begin(start, first);
    BOOST_TEST(known.select(start, query_of("7")).id != first.id);
}

// One region has an eighth of the slots and a third of the callers. Guards against a plan
// that fills any data centre above the utilisation or moves requests without need.
BOOST_AUTO_TEST_CASE(plan_follows_free_slots)
{
    const upstreams::placement_input input{
        .regions = six_data_centres,
        .slots = {{"n1", 5}, {"n2", 5}, {"s1", 15}, {"s2", 15}, {"w1", 20}, {"w2", 20}},
        .demand = {{"n1", 5}, {"n2", 5}, {"s1", 5}, {"s2", 5}, {"w1", 5}, {"w2", 5}}};
    std::map<std::string, double> load;
    for (const auto& [origin, region] : six_data_centres)
    {
        const auto shares = upstreams::plan_placement(input, origin);
        double sum = 0;
        for (const auto& [to, share] : shares)
        {
            sum += share;
            load[to] += share * 5;
        }
        BOOST_TEST(std::abs(sum - 1) < 1e-9);
    }
    for (const auto& [data_centre, slots] : input.slots)
        BOOST_TEST(load[data_centre] <= slots * input.utilisation + 1e-9);
    BOOST_TEST(upstreams::plan_placement(input, "s1").at("s1") == 1.0);
    BOOST_TEST(upstreams::plan_placement(input, "n1").at("n1") < 0.6);
}

// Requests that must run in a small region fill it. Guards against serving its other
// callers there too (seen in kilat-gslb quiet-1: 10 to 15 requests on 5 slots in
// semenanjung).
BOOST_AUTO_TEST_CASE(regional_requests_have_priority_in_their_region)
{
    const upstreams::placement_input input{
        .regions = six_data_centres,
        .slots = {{"n1", 5}, {"n2", 5}, {"s1", 15}, {"s2", 15}, {"w1", 20}, {"w2", 20}},
        .demand = {{"n1", 4}, {"n2", 4}, {"s1", 4}, {"s2", 4}, {"w1", 4}, {"w2", 4}},
        .regional = {{"north", 6}}};
    const auto shares = upstreams::plan_placement(input, "n1");
    const auto local = shares.find("n1");
    BOOST_TEST((local == shares.end() || local->second < 0.05));
}

// Guards against moving a region's load in one step when the demand changes.
BOOST_AUTO_TEST_CASE(plan_moves_slowly)
{
    upstreams::upstream_set known = make_set();
    for (int each = 0; each < 50; ++each)
    {
        const auto chosen = known.select(start, query_of(std::to_string(each)));
        known.begin(start, chosen);
        known.end(start, chosen, upstreams::outcome::answered, 100ms, std::nullopt);
    }
    const auto before = known.plan_of(start, "orders");
    known.set_remote_demand({{"orders", {.unrestricted = {{"n1", 2000}}}}});
    time_point now = start;
    for (int tick = 0; tick < 4; ++tick)
        known.tick(now += 500ms);
    double moved = 0;
    for (const auto& [name, share] : known.plan_of(now, "orders"))
    {
        const auto old = before.find(name);
        moved += std::max(0.0, share - (old == before.end() ? 0 : old->second));
    }
    BOOST_TEST(moved > 0);
    // The platform's bound for two windows of 2 s.
    BOOST_TEST(moved < 0.15);
}

// All upstreams of a data centre are lost while its region has free slots. Guards against
// a slow plan, with which its requests waited or were refused for 25 s while upstreams
// nearby were idle.
BOOST_AUTO_TEST_CASE(plan_moves_fast_within_a_region)
{
    upstreams::upstream_set known = make_set();
    time_point now = start;
    const auto work = [&]
    {
        for (int each = 0; each < 20; ++each)
        {
            const auto chosen = known.select(now, query_of(std::to_string(each)));
            known.begin(now, chosen);
            known.end(now, chosen, upstreams::outcome::answered, 100ms, std::nullopt);
        }
    };
    work();
    BOOST_TEST(known.plan_of(now, "orders").at("n1") > 0.99);
    for (const char* id : {"n1a", "n1b"})
        known.remove(id);
    for (int tick = 0; tick < 10; ++tick)
    {
        now += 500ms;
        work();
        known.tick(now);
    }
    BOOST_TEST(known.plan_of(now, "orders").at("n2") > 0.9);
}

// All VMs were lost and have restarted, and the callers of one data centre send far more
// than its upstreams can serve. Guards against an initial plan, made without knowing the
// demand, whose correction takes most of a minute.
BOOST_AUTO_TEST_CASE(plan_is_corrected_at_once_after_a_loss)
{
    const auto local_share = [](bool replaces_lost_process)
    {
        upstreams::upstream_set known(
            {.data_centre = "n1", .replaces_lost_process = replaces_lost_process},
            six_data_centres);
        for (const auto& [data_centre, region] : six_data_centres)
            known.update(start, entry_of(data_centre + "a", data_centre));
        time_point now = start;
        for (int tick = 0; tick < 4; ++tick)
        {
            for (int each = 0; each < 100; ++each)
                (void)known.select(now, query_of(std::to_string(each)));
            known.tick(now += 500ms);
        }
        return known.plan_of(now, "orders").at("n1");
    };
    BOOST_TEST(local_share(true) < 0.3);
    BOOST_TEST(local_share(false) > 0.6);
}

// Guards against sending to an upstream with a request limit without a token, and against
// asking again and again for tokens of a limit that is used up.
BOOST_AUTO_TEST_CASE(limited_upstream_needs_a_token)
{
    upstreams::upstream_set known = make_set();
    const upstreams::selection first = known.select(start, query_of("7"));
    BOOST_TEST(!first.needs_token);
    const upstreams::upstream_start limited{first.id, first.started};
    BOOST_TEST(known.note_limit(start, limited, start, {.rate = 4}));
    const upstreams::selection second = known.select(start, query_of("7"));
    BOOST_TEST(second.id == first.id);
    BOOST_TEST(second.needs_token);
    known.note_token_refused(start, limited, 250ms);
    BOOST_TEST(known.select(start + 240ms, query_of("7")).id != first.id);
    BOOST_TEST(known.remains_usable(start + 240ms, second, query_of("7")));
    upstreams::query unlimited = query_of("7");
    unlimited.without_limited = true;
    BOOST_TEST(known.select(start + 1s, unlimited).id != first.id);
    BOOST_TEST(known.select(start + 1s, query_of("7")).needs_token);
    // A limit and a selection apply to one start.
    upstreams::entry restarted = entry_of(first.id, "n1");
    restarted.started = 9;
    known.update(start + 2s, restarted);
    BOOST_TEST(known.limited_upstreams().empty());
    BOOST_TEST(!known.remains_usable(start + 2s, second, query_of("7")));
    known.note_limit(start + 2s, {first.id, 9}, start + 2s, {.rate = 4});
    BOOST_TEST(known.limited_upstreams().size() == 1U);
    BOOST_TEST((known.limited_upstreams().front().start ==
                upstreams::upstream_start{first.id, 9}));
}

// All upstreams of a service have named limits that are used up. Guards against a
// retry_after that does not match the time of the next token.
BOOST_AUTO_TEST_CASE(retry_after_is_the_time_of_the_next_token)
{
    upstreams::upstream_set known({.data_centre = "n1"}, six_data_centres);
    for (const char* id : {"n1a", "n1b"})
    {
        known.update(start, entry_of(id, "n1"));
        known.note_limit(start, {id, 0}, start, {.rate = 4});
    }
    known.note_token_refused(start, {"n1a", 0}, 400ms);
    known.note_token_refused(start, {"n1b", 0}, 250ms);
    const upstreams::selection none = known.select(start + 100ms, query_of("7"));
    BOOST_TEST((none.failure == upstreams::selection_failure::limited));
    BOOST_TEST((none.retry_after == 150ms));
}

// Guards against a plan that counts slots which a request limit leaves empty: the other
// upstreams of the data centre would be overloaded.
BOOST_AUTO_TEST_CASE(plan_leaves_room_for_request_limits)
{
    upstreams::upstream_set known = make_set();
    const auto run = [&](time_point from, duration span)
    {
        // 20 requests per second keep 5 of the 10 slots in n1 busy.
        for (duration passed{0}; passed < span; passed += 50ms)
        {
            known.select(from + passed, query_of("7"));
            if (passed % 500ms == 0ms)
                known.tick(from + passed);
        }
    };
    known.set_remote_demand({{"orders", {.unrestricted = {{"n1", 0}}}}});
    run(start, 10s);
    const double before = known.plan_of(start + 10s, "orders")["n1"];
    known.note_limit(start + 10s, {"n1a", 0}, start + 10s, {.rate = 1});
    run(start + 10s, 10s);
    const double after = known.plan_of(start + 20s, "orders")["n1"];
    BOOST_TEST(after < 0.7 * before);
}

// Guards against requests for all objects of a limited upstream that are spread over it
// and another one at random: each knows a limited number of objects.
BOOST_AUTO_TEST_CASE(limited_upstream_keeps_a_part_of_its_objects)
{
    const auto used_for = [](upstreams::upstream_set& known, time_point now)
    {
        std::set<int> objects;
        for (int object = 0; object < 400; ++object)
            if (known.select(now, query_of(std::to_string(object))).id == "n1a")
                objects.insert(object);
        return objects;
    };
    upstreams::upstream_set known = make_set();
    const std::set<int> all = used_for(known, start);
    known.note_limit(start, {"n1a", 0}, start, {.rate = 1});
    for (int refused = 0; refused < 8; ++refused)
        known.note_token_refused(start, {"n1a", 0}, 100ms);
    const std::set<int> kept = used_for(known, start + 200ms);
    BOOST_TEST(kept.size() < all.size() * 6 / 10);
    BOOST_TEST(kept.size() > all.size() * 3 / 10);
    BOOST_TEST(std::ranges::includes(all, kept));
    BOOST_TEST((used_for(known, start + 210ms) == kept));
    BOOST_TEST((used_for(known, start + 20s) == all));
}
