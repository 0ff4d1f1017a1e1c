#include "pistachiospan/route/internal/link_budget.hpp"
#include "pistachiospan/route/router_world_test.hpp"

using namespace pistachiospan;
using namespace pistachiospan::route;
using namespace pistachiospan::route::test;

namespace
{

duration percentile(std::vector<duration> waits, double part)
{
    std::sort(waits.begin(), waits.end());
    return waits.empty() ? duration::max()
                         : waits[static_cast<std::size_t>(
                               part * static_cast<double>(waits.size() - 1))];
}

// 8 accounts share 20 slots at 85% of the capacity, and one sends five times its share on
// top. Returns the 95th percentile of the wait of the worst-served of the others, and
// whether any of their requests was refused.
std::pair<duration, std::size_t> serve_with_a_heavy_account(bool fair)
{
    world simulated(7);
    simulated.late_rate = 0;
    router_options options;
    options.fair_queueing = fair;
    options.max_account_requests = fair ? 256 : 2048;
    simulated.add_router("d", options);
    simulated.start(make_catalogue(4, 5));
    constexpr double capacity = 20 / 0.022;
    for (int account = 0; account < 8; ++account)
    {
        const double rate = capacity * 0.85 / 8 * (account == 0 ? 5 : 1);
        simulated.load(time_point(20s), rate, "a" + std::to_string(account));
    }
    simulated.run_until(time_point(25s));
    duration worst{0};
    std::size_t served = 0;
    for (int account = 1; account < 8; ++account)
    {
        const auto& waits = simulated.waits["a" + std::to_string(account)];
        worst = std::max(worst, percentile(waits, 0.95));
        served += waits.size();
    }
    std::size_t asked = 0;
    for (const auto& [id, origin] : simulated.origins)
    {
        asked += origin.account == "a0" ? 0 : 1;
    }
    return {worst, asked - served};
}

request make_request(request_id id, time_point deadline, const std::string& group = "g")
{
    return {.id = id, .account = "a", .group = group, .deadline = deadline};
}

// Two regions with one data centre each and a third data centre beside the first; group
// "far" has upstreams only in the second region, group "g" in all.
catalogue::catalogue make_regions(std::uint64_t mbit_per_s)
{
    catalogue::catalogue made;
    made.data_centres["d1"] = {.name = "d1", .region = "east", .entry_vms = 1};
    made.data_centres["d2"] = {.name = "d2", .region = "east", .entry_vms = 1};
    made.data_centres["d3"] = {.name = "d3", .region = "west", .entry_vms = 1};
    made.links = {{"east", "west", mbit_per_s}};
    made.routes["all"] = {.name = "all", .group = "g", .deadline = 10s};
    made.groups["g"] = {
        .name = "g", .slots = 2, .upstreams = {{"u1", "d1"}, {"u2", "d2"}, {"u3", "d3"}}};
    made.groups["far"] = {.name = "far", .slots = 1000, .upstreams = {{"f3", "d3"}}};
    return made;
}

router make_router(const catalogue::catalogue& active, const std::string& data_centre)
{
    router made({.data_centre = data_centre}, {});
    made.set_catalogue(time_point(), active);
    made.set_share(time_point(), {{0}, 1});
    made.allow_growth(time_point());
    return made;
}

peer_report report(const std::string& vm, const std::string& data_centre,
                   const std::string& group, std::uint32_t free, duration age = 0s)
{
    return {
        .vm = {vm}, .data_centre = data_centre, .groups = {{group, free}}, .age = age};
}

} // namespace

// Guards against one account that sends five times its share starving the others.
BOOST_AUTO_TEST_CASE(a_heavy_account_does_not_starve_the_others)
{
    const auto [fair_wait, fair_lost] = serve_with_a_heavy_account(true);
    const auto [plain_wait, plain_lost] = serve_with_a_heavy_account(false);
    BOOST_TEST_MESSAGE("worst account's p95 wait: fair "
                       << fair_wait.count() << " us, first in first out "
                       << plain_wait.count() << " us; refused: fair " << fair_lost
                       << ", first in first out " << plain_lost);
    BOOST_TEST(fair_wait.count() * 5 < plain_wait.count());
    BOOST_TEST(fair_wait.count() < 100000);
    BOOST_TEST(fair_lost == 0U);
    BOOST_TEST(plain_lost > 0U);
}

// Guards against memory taken by one account or all, and against refusals that name the
// wrong bound.
BOOST_AUTO_TEST_CASE(the_queue_is_bounded_by_number_and_bytes)
{
    catalogue::catalogue active = make_catalogue(1, 1);
    router_options options{.data_centre = "d"};
    options.max_account_requests = 3;
    options.max_account_bytes = 1000;
    options.max_total_requests = 5;
    options.max_total_bytes = 1500;
    options.initial_service_time = 1ms;
    router steering(options, {});
    steering.set_catalogue(time_point(), active);
    steering.set_share(time_point(), {{0}, 1});
    steering.allow_growth(time_point());
    request_id id = 1;
    const auto submit = [&](const std::string& account, std::uint64_t bytes)
    {
        request asked = make_request(id++, time_point(10s));
        asked.account = account;
        asked.body_size = bytes;
        return steering.submit(time_point(), asked).reason;
    };
    BOOST_TEST((submit("a", 0) == refusal::none)); // runs
    BOOST_TEST((submit("a", 900) == refusal::none));
    BOOST_TEST((submit("a", 101) == refusal::account_queue_full));
    BOOST_TEST((submit("b", 601) == refusal::queue_full));
    BOOST_TEST((submit("a", 0) == refusal::none));
    BOOST_TEST((submit("a", 0) == refusal::none));
    BOOST_TEST((submit("a", 0) == refusal::account_queue_full));
    BOOST_TEST((submit("b", 0) == refusal::none));
    BOOST_TEST((submit("c", 0) == refusal::none));
    BOOST_TEST((submit("d", 0) == refusal::queue_full));
    steering.complete(time_point(), 2, outcome::cancelled, 0us); // leaves the queue
    BOOST_TEST((submit("d", 0) == refusal::none));
}

// Guards against a request that waits although it cannot be served in time, and against a
// time to retry at which it would be refused again.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_make_its_deadline_is_refused_at_once)
{
    router steering = make_router(make_catalogue(1, 1), "d");
    BOOST_TEST((steering.submit(time_point(), make_request(1, time_point(10s))).kind ==
                decision_kind::dispatched));
    for (request_id id = 2; id < 12; ++id)
    {
        BOOST_TEST(
            (steering.submit(time_point(), make_request(id, time_point(10s))).kind ==
             decision_kind::queued));
    }
    const auto late = steering.submit(time_point(), make_request(12, time_point(200ms)));
    BOOST_TEST((late.reason == refusal::deadline_too_near));
    BOOST_TEST((late.retry_after >= 40ms && late.retry_after < 100ms));
    BOOST_TEST(steering.counts().dispatched == 1U);
    const auto fits = steering.submit(time_point(), make_request(13, time_point(241ms)));
    BOOST_TEST((fits.kind == decision_kind::queued));
}

// Guards against waiting until near the deadline when the upstreams have got too slow.
BOOST_AUTO_TEST_CASE(waiting_requests_are_refused_as_soon_as_they_are_hopeless)
{
    std::vector<refusal> refused;
    router steering({.data_centre = "d"},
                    {.on_decision = [&](request_id, const decision& made)
                     {
                         refused.push_back(made.reason);
                     }});
    steering.set_catalogue(time_point(), make_catalogue(1, 1));
    steering.set_share(time_point(), {{0}, 1});
    steering.allow_growth(time_point());
    for (request_id id = 1; id <= 40; ++id)
    {
        steering.submit(time_point(), make_request(id, time_point(2s)));
    }
    time_point now(300ms);
    for (request_id id = 1; id <= 3; ++id, now += 300ms)
    {
        steering.complete(now, id, outcome::ok, 300ms);
    }
    refused.clear();
    steering.tick(now);
    BOOST_TEST(refused.size() > 5U);
    BOOST_TEST((now < time_point(1300ms)));
    BOOST_TEST(std::count(refused.begin(), refused.end(), refusal::deadline_too_near) ==
               static_cast<std::ptrdiff_t>(refused.size()));
}

// Guards against relays on stale or already used headroom, against relays past a nearer
// data centre, and against a second hop.
BOOST_AUTO_TEST_CASE(relays_follow_headroom_nearest_first)
{
    router steering = make_router(make_regions(1000), "d1");
    time_point now(10s);
    steering.observe_peer(now, report("west", "d3", "g", 10));
    steering.observe_peer(now, report("near", "d2", "g", 4, 1500ms)); // counts as 2
    std::vector<std::string> targets;
    for (request_id id = 1; id <= 15; ++id)
    {
        const auto made = steering.submit(now, make_request(id, now + 5s));
        targets.push_back(made.kind == decision_kind::queued
                              ? "queued"
                              : made.upstream + made.peer.value);
    }
    std::vector<std::string> expected = {"u1", "u1", "near", "near"};
    expected.insert(expected.end(), 10, "west");
    expected.emplace_back("queued");
    BOOST_TEST(targets == expected);
    // The new report was taken before the relays to "west" reached it.
    steering.observe_peer(now + 15ms, report("west", "d3", "g", 10));
    BOOST_TEST(steering.counts().relayed == 12U);
    steering.observe_peer(now + 100ms, report("west", "d3", "g", 1));
    BOOST_TEST(steering.counts().relayed == 13U);
    request second_hop = make_request(20, now + 5s);
    second_hop.relayed = true;
    steering.observe_peer(now + 100ms, report("near", "d2", "g", 9));
    BOOST_TEST((steering.submit(now + 100ms, second_hop).kind == decision_kind::queued));
}

// Guards against callers of a data centre without upstreams being starved while the
// owner's own callers keep its slots full.
BOOST_AUTO_TEST_CASE(a_data_centre_without_upstreams_gets_a_turn_at_a_full_peer)
{
    router steering = make_router(make_regions(1000), "d1");
    const auto refused =
        steering.submit(time_point(), make_request(1, time_point(5s), "far"));
    BOOST_TEST((refused.reason == refusal::no_upstream));
    steering.observe_peer(time_point(), report("west", "d3", "far", 0));
    BOOST_TEST(
        (steering.submit(time_point(), make_request(2, time_point(5s), "far")).kind ==
         decision_kind::relayed));
    BOOST_TEST(
        (steering.submit(time_point(), make_request(3, time_point(5s), "far")).kind ==
         decision_kind::queued));
    steering.complete(time_point(1ms), 2, outcome::ok, 1ms);
    BOOST_TEST(steering.counts().relayed == 2U);
}

// Guards against uploads that fill the link between regions: a first-in-first-out link of
// 280 Mbit/s carries uploads of 1 MB offered at twice its rate and small requests.
BOOST_AUTO_TEST_CASE(uploads_do_not_starve_small_requests_on_a_link)
{
    const auto small_wait = [](double large_body_fraction)
    {
        router_options options{.data_centre = "d1"};
        options.large_body_fraction = large_body_fraction;
        options.max_account_requests = 1000;
        options.max_account_bytes = options.max_total_bytes = std::uint64_t{1} << 30U;
        constexpr double link = 280e6 / 8;
        double link_free = 0; // when the link has sent all that was given to it, seconds
        time_point now{};
        std::vector<duration> waits;
        std::map<request_id, request> asked;
        std::map<request_id, time_point> begun;
        const auto send = [&](request_id id, const decision& made)
        {
            if (made.kind != decision_kind::relayed)
            {
                return;
            }
            const double bytes = static_cast<double>(asked[id].body_size) + 1024;
            const double begin = std::max(
                link_free, std::chrono::duration<double>(now.time_since_epoch()).count());
            link_free = begin + bytes / link;
            if (asked[id].body_size < 65536)
            {
                const duration end(static_cast<std::int64_t>(link_free * 1e6));
                waits.push_back(time_point(end) - begun[id]);
            }
        };
        router steering(options, {.on_decision = send});
        auto active = make_regions(280);
        active.data_centres.erase("d2");
        steering.set_catalogue(now, active);
        steering.set_share(now, {{0}, 1});
        steering.allow_growth(now);
        request_id id = 0;
        for (; now < time_point(10s); now += 1ms)
        {
            steering.observe_peer(now, report("west", "d3", "far", 100000));
            for (const std::uint64_t size : {1000, 1000, 70000})
            {
                request each = make_request(++id, now + 4s, "far");
                each.account = size > 65536 ? "uploads" : "small";
                each.body_size = size;
                asked[id] = each;
                begun[id] = now;
                send(id, steering.submit(now, each));
            }
        }
        return percentile(waits, 0.99);
    };
    const duration halved = small_wait(0.5);
    const duration shared = small_wait(0.999);
    BOOST_TEST_MESSAGE("small requests' p99 on the link: with the bound "
                       << halved.count() << " us, without " << shared.count() << " us");
    BOOST_TEST(halved.count() < 50000);
    BOOST_TEST(halved.count() * 4 < shared.count());
}

// Guards against more bytes than the link's rate, whatever the mix of sizes.
BOOST_AUTO_TEST_CASE(a_link_budget_bounds_the_bytes_of_any_mix)
{
    random_engine random(5);
    internal::link_budget budget;
    constexpr double rate = 1e6;
    budget.set_rate(time_point(), rate, 0.5);
    double sent = 0;
    double large = 0;
    for (time_point now{}; now < time_point(20s); now += 1ms)
    {
        const bool upload = random() % 2 == 0;
        const std::uint64_t size = upload ? 65537 + random() % 100000 : random() % 65536;
        if (budget.admit(now, size, upload))
        {
            sent += static_cast<double>(size);
            large += upload ? static_cast<double>(size) : 0;
        }
        const double passed =
            std::chrono::duration<double>(now.time_since_epoch()).count();
        BOOST_REQUIRE(sent <= rate * (passed + 0.02) + 65536 + 165537);
        BOOST_REQUIRE(large <= rate / 2 * (passed + 0.02) + 165537);
    }
    BOOST_TEST(sent > rate * 19);
}

// Guards against refusing a request by the estimated wait although it can be sent at
// once: uploads that wait for the link's budget hold nobody else up, in any account.
BOOST_AUTO_TEST_CASE(waiting_uploads_do_not_hold_up_small_requests)
{
    router steering = make_router(make_regions(1), "d1");
    steering.observe_peer(time_point(), report("west", "d3", "far", 1000));
    const auto submit = [&](request_id id, const std::string& account, std::uint64_t size,
                            duration deadline)
    {
        request asked = make_request(id, time_point(deadline), "far");
        asked.account = account;
        asked.body_size = size;
        return steering.submit(time_point(), asked).kind;
    };
    BOOST_TEST((submit(1, "a", 70000, 5s) == decision_kind::relayed));
    steering.complete(time_point(), 1, outcome::ok, 20ms);
    for (request_id id = 2; id < 8; ++id)
    {
        BOOST_TEST((submit(id, "a", 70000, 5s) == decision_kind::queued));
    }
    BOOST_TEST((submit(8, "a", 100, 500ms) == decision_kind::relayed));
    steering.tick(time_point(100ms));
    BOOST_TEST((submit(9, "b", 100, 600ms) == decision_kind::relayed));
}
