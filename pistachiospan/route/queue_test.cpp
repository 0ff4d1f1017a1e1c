#include "pistachiospan/route/internal/link_budget.hpp"
#include "pistachiospan/route/router_world_test.hpp"

using namespace pistachiospan;
using namespace pistachiospan::route;
using namespace pistachiospan::route::test;

namespace
{

duration percentile(std::vector<duration> waits, double fraction)
{
    std::sort(waits.begin(), waits.end());
    return waits.empty() ? duration::max()
                         : waits[static_cast<std::size_t>(
                               fraction * static_cast<double>(waits.size() - 1))];
}

// 8 accounts share 20 slots at 85% of the capacity; one of them sends five times its
// share. Returns the highest 95th percentile of the wait among the other accounts, and
// how many of their requests were not served.
std::pair<duration, std::size_t> serve_with_a_heavy_account(bool fair)
{
    simulation simulated(7);
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
    std::size_t submitted = 0;
    for (const auto& [id, origin] : simulated.origins)
    {
        submitted += origin.account == "a0" ? 0 : 1;
    }
    return {worst, submitted - served};
}

request make_request(request_id id, time_point deadline, const std::string& group = "g")
{
    return {.id = id, .account = "a", .group = group, .deadline = deadline};
}

// Two regions with one data centre each and a third data centre beside the first; group
// "far" has upstreams only in the second region, group "g" in all.
catalogue::catalogue make_regions(std::uint64_t mbit_per_s)
{
    catalogue::catalogue result;
    result.data_centres["d1"] = {.name = "d1", .region = "east", .entry_vms = 1};
    result.data_centres["d2"] = {.name = "d2", .region = "east", .entry_vms = 1};
    result.data_centres["d3"] = {.name = "d3", .region = "west", .entry_vms = 1};
    result.links = {{"east", "west", mbit_per_s}};
    result.routes["all"] = {.name = "all", .group = "g", .deadline = 10s};
    result.groups["g"] = {
        .name = "g", .slots = 2, .upstreams = {{"u1", "d1"}, {"u2", "d2"}, {"u3", "d3"}}};
    result.groups["far"] = {.name = "far", .slots = 1000, .upstreams = {{"f3", "d3"}}};
    return result;
}

router make_router(const catalogue::catalogue& active, const std::string& data_centre)
{
    router result({.data_centre = data_centre}, {});
    result.set_catalogue(time_point(), active);
    result.set_share(time_point(), {{0}, 1});
    result.allow_growth(time_point());
    return result;
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

// Guards against unbounded memory for the queue of one account or of all, and against
// refusals that name the wrong bound.
BOOST_AUTO_TEST_CASE(the_queue_is_bounded_by_number_and_bytes)
{
    catalogue::catalogue active = make_catalogue(1, 1);
    router_options options{.data_centre = "d"};
    options.max_account_requests = 3;
    options.max_account_bytes = 1000;
    options.max_total_requests = 5;
    options.max_total_bytes = 1500;
    options.initial_service_time = 1ms;
    router under_test(options, {});
    under_test.set_catalogue(time_point(), active);
    under_test.set_share(time_point(), {{0}, 1});
    under_test.allow_growth(time_point());
    request_id id = 1;
    const auto submit = [&](const std::string& account, std::uint64_t bytes)
    {
        request incoming = make_request(id++, time_point(10s));
        incoming.account = account;
        incoming.body_size = bytes;
        return under_test.submit(time_point(), incoming).reason;
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
    under_test.complete(time_point(), 2, outcome::cancelled, 0us); // leaves the queue
    BOOST_TEST((submit("d", 0) == refusal::none));
}

// Guards against queueing a request that cannot be served in time, and against a
// retry_after at which it would be refused again.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_make_its_deadline_is_refused_at_once)
{
    router under_test = make_router(make_catalogue(1, 1), "d");
    BOOST_TEST((under_test.submit(time_point(), make_request(1, time_point(10s))).kind ==
                decision_kind::dispatched));
    for (request_id id = 2; id < 12; ++id)
    {
        BOOST_TEST(
            (under_test.submit(time_point(), make_request(id, time_point(10s))).kind ==
             decision_kind::queued));
    }
    const auto late =
        under_test.submit(time_point(), make_request(12, time_point(200ms)));
    BOOST_TEST((late.reason == refusal::deadline_too_near));
    BOOST_TEST((late.retry_after >= 40ms && late.retry_after < 100ms));
    BOOST_TEST(under_test.counts().dispatched == 1U);
    const auto fits =
        under_test.submit(time_point(), make_request(13, time_point(241ms)));
    BOOST_TEST((fits.kind == decision_kind::queued));
}

// Guards against requests that wait until shortly before their deadline although the
// upstreams have become too slow to serve them in time.
BOOST_AUTO_TEST_CASE(waiting_requests_are_refused_as_soon_as_they_cannot_be_served)
{
    std::vector<refusal> refused;
    router under_test({.data_centre = "d"},
                      {.on_decision = [&](request_id, const decision& answer)
                       {
                           refused.push_back(answer.reason);
                       }});
    under_test.set_catalogue(time_point(), make_catalogue(1, 1));
    under_test.set_share(time_point(), {{0}, 1});
    under_test.allow_growth(time_point());
    for (request_id id = 1; id <= 40; ++id)
    {
        under_test.submit(time_point(), make_request(id, time_point(2s)));
    }
    time_point now(300ms);
    for (request_id id = 1; id <= 3; ++id, now += 300ms)
    {
        under_test.complete(now, id, outcome::ok, 300ms);
    }
    refused.clear();
    under_test.tick(now);
    BOOST_TEST(refused.size() > 5U);
    BOOST_TEST((now < time_point(1300ms)));
    BOOST_TEST(std::count(refused.begin(), refused.end(), refusal::deadline_too_near) ==
               static_cast<std::ptrdiff_t>(refused.size()));
}

// Guards against relays by stale or already used headroom, against relays that skip a
// nearer data centre with headroom, and against a second hop.
BOOST_AUTO_TEST_CASE(relays_follow_headroom_nearest_first)
{
    router under_test = make_router(make_regions(1000), "d1");
    time_point now(10s);
    under_test.observe_peer(now, report("west", "d3", "g", 10));
    under_test.observe_peer(now, report("near", "d2", "g", 4, 1500ms)); // counts as 2
    std::vector<std::string> targets;
    for (request_id id = 1; id <= 15; ++id)
    {
        const auto answer = under_test.submit(now, make_request(id, now + 5s));
        targets.push_back(answer.kind == decision_kind::queued
                              ? "queued"
                              : answer.upstream + answer.peer.value);
    }
    std::vector<std::string> expected = {"u1", "u1", "near", "near"};
    expected.insert(expected.end(), 10, "west");
    expected.emplace_back("queued");
    BOOST_TEST(targets == expected);
    // The new report was measured before the relays reached the peer "west".
    under_test.observe_peer(now + 15ms, report("west", "d3", "g", 10));
    BOOST_TEST(under_test.counts().relayed == 12U);
    under_test.observe_peer(now + 100ms, report("west", "d3", "g", 1));
    BOOST_TEST(under_test.counts().relayed == 13U);
    request second_hop = make_request(20, now + 5s);
    second_hop.relayed = true;
    under_test.observe_peer(now + 100ms, report("near", "d2", "g", 9));
    BOOST_TEST(
        (under_test.submit(now + 100ms, second_hop).kind == decision_kind::queued));
}

// Guards against starving the callers of a data centre without upstreams while the
// callers of the data centre with upstreams keep the slots full.
BOOST_AUTO_TEST_CASE(a_data_centre_without_upstreams_gets_a_turn_at_a_full_peer)
{
    router under_test = make_router(make_regions(1000), "d1");
    const auto refused =
        under_test.submit(time_point(), make_request(1, time_point(5s), "far"));
    BOOST_TEST((refused.reason == refusal::no_upstream));
    under_test.observe_peer(time_point(), report("west", "d3", "far", 0));
    BOOST_TEST(
        (under_test.submit(time_point(), make_request(2, time_point(5s), "far")).kind ==
         decision_kind::relayed));
    BOOST_TEST(
        (under_test.submit(time_point(), make_request(3, time_point(5s), "far")).kind ==
         decision_kind::queued));
    under_test.complete(time_point(1ms), 2, outcome::ok, 1ms);
    BOOST_TEST(under_test.counts().relayed == 2U);
}

// Guards against uploads that fill the link between regions and so delay small requests.
// A first-in-first-out link of 280 Mbit/s carries uploads of 70 kB, offered at about
// twice its rate, and requests of 1 kB.
BOOST_AUTO_TEST_CASE(uploads_do_not_starve_small_requests_on_a_link)
{
    const auto small_wait = [](double large_body_fraction)
    {
        router_options options{.data_centre = "d1"};
        options.large_body_fraction = large_body_fraction;
        options.max_account_requests = 1000;
        options.max_account_bytes = options.max_total_bytes = std::uint64_t{1} << 30U;
        constexpr double link = 280e6 / 8;
        double link_free = 0; // seconds; when the link has sent everything queued
        time_point now{};
        std::vector<duration> waits;
        std::map<request_id, request> requests;
        std::map<request_id, time_point> begun;
        const auto send = [&](request_id id, const decision& answer)
        {
            if (answer.kind != decision_kind::relayed)
            {
                return;
            }
            const double bytes = static_cast<double>(requests[id].body_size) + 1024;
            const double begin = std::max(
                link_free, std::chrono::duration<double>(now.time_since_epoch()).count());
            link_free = begin + bytes / link;
            if (requests[id].body_size < 65536)
            {
                const duration end(static_cast<std::int64_t>(link_free * 1e6));
                waits.push_back(time_point(end) - begun[id]);
            }
        };
        router under_test(options, {.on_decision = send});
        auto active = make_regions(280);
        active.data_centres.erase("d2");
        under_test.set_catalogue(now, active);
        under_test.set_share(now, {{0}, 1});
        under_test.allow_growth(now);
        request_id id = 0;
        for (; now < time_point(10s); now += 1ms)
        {
            under_test.observe_peer(now, report("west", "d3", "far", 100000));
            for (const std::uint64_t size : {1000, 1000, 70000})
            {
                request each = make_request(++id, now + 4s, "far");
                each.account = size > 65536 ? "uploads" : "small";
                each.body_size = size;
                requests[id] = each;
                begun[id] = now;
                send(id, under_test.submit(now, each));
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
        const double elapsed =
            std::chrono::duration<double>(now.time_since_epoch()).count();
        BOOST_REQUIRE(sent <= rate * (elapsed + 0.02) + 65536 + 165537);
        BOOST_REQUIRE(large <= rate / 2 * (elapsed + 0.02) + 165537);
    }
    BOOST_TEST(sent > rate * 19);
}

// Guards against refusing a request because of its estimated wait although it can be sent
// at once: uploads that wait for the link's budget do not delay other requests.
BOOST_AUTO_TEST_CASE(waiting_uploads_do_not_hold_up_small_requests)
{
    router under_test = make_router(make_regions(1), "d1");
    under_test.observe_peer(time_point(), report("west", "d3", "far", 1000));
    const auto submit = [&](request_id id, const std::string& account, std::uint64_t size,
                            duration deadline)
    {
        request incoming = make_request(id, time_point(deadline), "far");
        incoming.account = account;
        incoming.body_size = size;
        return under_test.submit(time_point(), incoming).kind;
    };
    BOOST_TEST((submit(1, "a", 70000, 5s) == decision_kind::relayed));
    under_test.complete(time_point(), 1, outcome::ok, 20ms);
    for (request_id id = 2; id < 8; ++id)
    {
        BOOST_TEST((submit(id, "a", 70000, 5s) == decision_kind::queued));
    }
    BOOST_TEST((submit(8, "a", 100, 500ms) == decision_kind::relayed));
    under_test.tick(time_point(100ms));
    BOOST_TEST((submit(9, "b", 100, 600ms) == decision_kind::relayed));
}
