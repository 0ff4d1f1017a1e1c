#include "pistachiospan/admission/model_test.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::admission;
using namespace std::chrono_literals;
using testing::model;
using testing::source;
using testing::source_counts;

namespace
{

double served(const std::vector<source_counts>& counts)
{
    double sum = 0;
    for (const source_counts& each : counts)
        sum += each.served;
    return sum;
}

double lost(const source_counts& counts)
{
    return 1 - counts.served / counts.offered;
}

// Runs the load for three seconds and returns the counts of the ten that follow.
std::vector<source_counts> settled(model& service, const std::vector<source>& load)
{
    service.run(3s, load);
    return service.run(10s, load);
}

std::vector<source> of_accounts(std::size_t count, double rate)
{
    std::vector<source> load;
    for (std::size_t at = 0; at < count; ++at)
        load.push_back({.account = "a" + std::to_string(at), .rate = rate});
    return load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(controller_of_one_vm)

// 40 slots, half of them used. Guards against refusals while there is room.
BOOST_AUTO_TEST_CASE(admits_everything_while_room_is_not_short)
{
    model service(40);
    for (const source_counts& each : settled(service, of_accounts(4, 50)))
        BOOST_TEST(each.refused == 0);
    BOOST_TEST(service.controllers[0].report(service.now).empty());
}

// 10 slots for 20 requests at a time, of which one account wants ten times as much as the
// other. Guards against room that goes to the account with the most requests.
BOOST_AUTO_TEST_CASE(small_account_gets_its_demand_beside_a_large_one)
{
    const std::vector<source> load = {{.account = "large", .rate = 180},
                                      {.account = "small", .rate = 18}};
    model service(10);
    const auto counts = settled(service, load);
    // 1.8 of the 10 slots is less than the small account's share: only what has no room
    // by chance is missing.
    BOOST_TEST(counts[1].refused == 0);
    model uncontrolled(10, 1, false);
    BOOST_TEST(lost(counts[1]) < lost(settled(uncontrolled, load)[1]) / 2);
}

// Both accounts want more than half. Guards against uneven shares.
BOOST_AUTO_TEST_CASE(shares_are_even_when_both_want_more)
{
    model service(20);
    const auto counts = settled(
        service, {{.account = "large", .rate = 1500}, {.account = "small", .rate = 150}});
    BOOST_TEST(std::abs(counts[0].served - counts[1].served) <
               0.1 * std::max(counts[0].served, counts[1].served));
}

// Guards against less urgent requests that take the room of urgent ones, and against
// their starvation.
BOOST_AUTO_TEST_CASE(urgent_requests_come_first)
{
    const std::vector<source> load = {
        {.account = "a", .rate = 150, .priority = 0},
        {.account = "a", .rate = 300, .priority = 2, .route = "batch"}};
    model service(20);
    const auto counts = settled(service, load);
    BOOST_TEST(counts[0].refused == 0);
    model uncontrolled(20, 1, false);
    BOOST_TEST(lost(counts[0]) < lost(settled(uncontrolled, load)[0]) / 2);
    // At least one request in two seconds.
    BOOST_TEST(counts[1].served / 0.1 >= 5);
}

// Guards against long work that fills the room while short work is refused: the accounts
// get the same slot time, which lets all short requests through.
BOOST_AUTO_TEST_CASE(short_work_passes_beside_long_work)
{
    const std::vector<source> load = {
        {.account = "long", .rate = 60, .work = 500ms, .route = "scan"},
        {.account = "short", .rate = 150, .work = 40ms}};
    model service(20);
    const auto counts = settled(service, load);
    BOOST_TEST(counts[1].refused == 0);
    model uncontrolled(20, 1, false);
    BOOST_TEST(lost(counts[1]) < lost(settled(uncontrolled, load)[1]) / 2);
}

// The same for one account that sends both.
BOOST_AUTO_TEST_CASE(short_work_of_the_same_account_passes)
{
    model service(20);
    const auto counts =
        settled(service, {{.account = "a", .rate = 60, .work = 500ms, .route = "scan"},
                          {.account = "a", .rate = 150, .work = 40ms}});
    BOOST_TEST(counts[1].served > 0.8 * counts[1].offered);
    BOOST_TEST(counts[0].served > 0);
}

// Guards against room that stays idle because it is kept for accounts that send nothing.
BOOST_AUTO_TEST_CASE(account_alone_uses_everything)
{
    model service(20);
    settled(service, of_accounts(4, 200));
    const auto alone = settled(service, {{.account = "a0", .rate = 800}});
    model uncontrolled(20, 1, false);
    const auto reference = settled(uncontrolled, {{.account = "a0", .rate = 800}});
    BOOST_TEST(served(alone) > 0.9 * served(reference));
}

// Loads of half to twenty times the room. Guards against a controller that refuses what
// the service would have taken.
BOOST_AUTO_TEST_CASE(total_is_no_lower_than_without_a_controller)
{
    for (const double rate : {10., 20., 40., 100., 400.})
        for (const std::size_t vms : {1, 14})
        {
            model service(20, vms);
            model uncontrolled(20, vms, false);
            const double with = served(settled(service, of_accounts(10, rate)));
            const double without = served(settled(uncontrolled, of_accounts(10, rate)));
            BOOST_TEST(with > 0.9 * without, "rate " << rate << ", " << vms
                                                     << " VMs: " << with << " instead of "
                                                     << without);
        }
}

// Demand jumps to forty times the usual, as when a flow of requests moves here. Guards
// against figures of the time before it that hold back what the service can take.
BOOST_AUTO_TEST_CASE(sudden_demand_uses_the_room_at_once)
{
    model service(20);
    model uncontrolled(20, 1, false);
    settled(service, of_accounts(2, 10));
    settled(uncontrolled, of_accounts(2, 10));
    for (int second = 0; second < 4; ++second)
        BOOST_TEST(served(service.run(1s, of_accounts(2, 400))) >
                   0.9 * served(uncontrolled.run(1s, of_accounts(2, 400))));
}

// Guards against a level or share that remains after demand has fallen again.
BOOST_AUTO_TEST_CASE(demand_that_falls_again_is_admitted)
{
    model service(20);
    settled(service, of_accounts(4, 200));
    service.run(3s, of_accounts(4, 25));
    for (const source_counts& each : service.run(10s, of_accounts(4, 25)))
        BOOST_TEST(each.refused == 0);
    BOOST_TEST(!service.controllers[0].views(service.now)[0].is_short);
}

// A service gets five times its slots back. Guards against room that stays unused because
// little was admitted before.
BOOST_AUTO_TEST_CASE(room_that_returns_is_used)
{
    model service(8);
    settled(service, of_accounts(4, 200));
    service.slots = 40;
    service.run(3s, of_accounts(4, 200));
    model uncontrolled(40, 1, false);
    BOOST_TEST(served(service.run(5s, of_accounts(4, 200))) >
               0.9 * served(uncontrolled.run(5s, of_accounts(4, 200))));
}

// A service was down for five seconds, and callers were refused meanwhile. Guards against
// callers that all come back at once, and against a turn that more urgent ones wait for.
BOOST_AUTO_TEST_CASE(callers_of_a_service_that_was_down_return_in_turn)
{
    model service(20);
    std::vector<source> load = of_accounts(4, 40);
    for (source& each : load)
        each.priority = 1;
    settled(service, load);
    controller& local = service.controllers[0];
    const request urgent{
        .service = "orders", .account = "a", .route = "read", .time_left = 30s};
    request later = urgent;
    later.priority = 1;
    std::vector<duration> turns;
    turns.reserve(300);
    for (int each = 0; each < 300; ++each)
        turns.push_back(local.retry_turn(service.now, later));
    BOOST_TEST(std::ranges::is_sorted(turns));
    // The service takes 200 requests a second at most.
    for (std::size_t at = 0; at + 200 < turns.size(); ++at)
        BOOST_TEST((turns[at + 200] - turns[at] >= 900ms));
    BOOST_TEST((local.retry_turn(service.now, urgent) < turns[1] + 50ms));
}

// Guards against turns that are kept for callers who do not wait so long, after which all
// others would be told a time that is too late.
BOOST_AUTO_TEST_CASE(turns_beyond_a_third_of_the_remaining_time_are_not_kept)
{
    model service(20);
    settled(service, of_accounts(4, 40));
    const request hurried{
        .service = "orders", .account = "a", .route = "read", .time_left = 900ms};
    duration longest{0};
    for (int each = 0; each < 5000; ++each)
        longest =
            std::max(longest, service.controllers[0].retry_turn(service.now, hurried));
    BOOST_TEST((longest >= 300ms));
    BOOST_TEST((longest < 330ms));
}

// All VMs have just started and callers come in a wave. Guards against refusals before
// anything is known.
BOOST_AUTO_TEST_CASE(start_admits_what_has_room)
{
    model service(20, 14);
    model uncontrolled(20, 14, false);
    for (int second = 0; second < 3; ++second)
        BOOST_TEST(served(service.run(1s, of_accounts(10, 100))) >
                   0.9 * served(uncontrolled.run(1s, of_accounts(10, 100))));
}

// Many answers are late because they had to wait, and nothing is refused. Guards against
// a controller that does not see a queue.
BOOST_AUTO_TEST_CASE(late_answers_are_a_sign_of_short_room)
{
    controller local({});
    time_point now(1000s);
    std::size_t refused = 0;
    for (int each = 0; each < 800; ++each)
    {
        now += 5ms;
        const request incoming{
            .service = "orders", .account = each % 2 == 0 ? "a" : "b", .route = "read"};
        if (!local.decide(now, incoming).admitted)
        {
            ++refused;
            continue;
        }
        local.note(now, incoming, outcome::placed);
        local.note(now, incoming, outcome::answered_late, 400ms);
    }
    BOOST_TEST(local.views(now)[0].is_short);
    BOOST_TEST(refused > 0);
    // No more than a tenth in a second.
    BOOST_TEST(refused < 800 / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(data_centre)

// 14 VMs with 3 requests a second each, one account with ten times the demand of the
// others. Guards against VMs that decide by a few requests of their own.
BOOST_AUTO_TEST_CASE(small_accounts_get_their_demand_over_all_vms)
{
    model service(3, 14);
    service.exchanges = true;
    std::vector<source> load = of_accounts(4, 3);
    load.push_back({.account = "large", .rate = 60});
    settled(service, load);
    const auto counts = service.run(20s, load);
    for (std::size_t at = 0; at < 4; ++at)
        BOOST_TEST(counts[at].refused <
                   0.1 * static_cast<double>(counts[at].offered / 0.1));
    model uncontrolled(3, 14, false);
    BOOST_TEST(served(counts) > 0.9 * served(uncontrolled.run(20s, load)));
}

BOOST_AUTO_TEST_CASE(shares_are_even_over_all_vms)
{
    model service(40, 14);
    service.exchanges = true;
    const auto counts = settled(
        service, {{.account = "large", .rate = 3000}, {.account = "small", .rate = 300}});
    BOOST_TEST(std::abs(counts[0].served - counts[1].served) <
               0.1 * std::max(counts[0].served, counts[1].served));
}

// A fifth of the messages is lost. Guards against sums that a lost message changes.
BOOST_AUTO_TEST_CASE(lost_messages_leave_shares_even)
{
    model service(40, 14);
    service.exchanges = true;
    service.loss = 0.2;
    const std::vector<source> load = {{.account = "large", .rate = 3000},
                                      {.account = "small", .rate = 300}};
    // Reports may be missing for some seconds at first.
    service.run(3s, load);
    const auto counts = settled(service, load);
    BOOST_TEST(std::abs(counts[0].served - counts[1].served) <
               0.1 * std::max(counts[0].served, counts[1].served));
}

// Guards against members that admit nothing or everything when their coordinator is lost.
BOOST_AUTO_TEST_CASE(members_decide_alone_without_a_coordinator)
{
    model service(40, 4);
    service.exchanges = true;
    const std::vector<source> load = {{.account = "large", .rate = 3000},
                                      {.account = "small", .rate = 300}};
    settled(service, load);
    service.exchanges = false;
    service.run(2s, load);
    const auto counts = service.run(10s, load);
    BOOST_TEST(counts[0].refused > 0);
    BOOST_TEST(counts[1].served > 0.75 * counts[0].served);
    for (const controller& each : service.controllers)
        BOOST_TEST(!each.views(service.now)[0].is_told);
}

// A new coordinator knows nothing. Guards against a decision by its own small part.
BOOST_AUTO_TEST_CASE(new_coordinator_learns_from_the_first_reports)
{
    model service(40, 14);
    service.exchanges = true;
    const std::vector<source> load = {{.account = "large", .rate = 3000},
                                      {.account = "small", .rate = 300}};
    settled(service, load);
    service.central = coordinator({});
    service.run(1s, load);
    const auto counts = service.run(5s, load);
    BOOST_TEST(std::abs(counts[0].served - counts[1].served) <
               0.1 * std::max(counts[0].served, counts[1].served));
}

// Guards against news of the last overload that go on after demand has fallen.
BOOST_AUTO_TEST_CASE(data_centre_admits_everything_again)
{
    model service(40, 14);
    service.exchanges = true;
    settled(service, of_accounts(4, 400));
    service.run(5s, of_accounts(4, 50));
    for (const source_counts& each : service.run(5s, of_accounts(4, 50)))
        BOOST_TEST(each.refused == 0);
    for (controller& each : service.controllers)
        BOOST_TEST(each.report(service.now).empty());
}

BOOST_AUTO_TEST_SUITE_END()
