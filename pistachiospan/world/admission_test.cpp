// Accounts that share a service with too little room, over all VMs of a deployment.

#include "pistachiospan/world/world.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;

using deployment = pistachiospan::world::world;

namespace
{

struct outcome
{
    std::size_t on_time = 0;
    std::size_t answered = 0;
    std::map<std::string, std::size_t> run; // by account
    std::map<gateway::refusal, std::size_t> refused;
};

outcome run_for(deployment& all, duration span)
{
    const world::caller_counts before = all.callers();
    const time_point since = all.now();
    all.run_for(span);
    outcome seen{.on_time = all.callers().on_time - before.on_time,
                 .answered = all.callers().answered - before.answered};
    for (const auto& [reason, count] : all.callers().reasons)
    {
        const auto earlier = before.reasons.find(reason);
        seen.refused[reason] =
            count - (earlier == before.reasons.end() ? 0 : earlier->second);
    }
    for (std::size_t at = 0; at < all.upstream_count(); ++at)
        for (const world::arrival& each : all.upstream_at(at).arrivals())
            if (each.at >= since && each.ran)
                ++seen.run[each.account];
    return seen;
}

// Requests per second of each account, for upstreams that take about 300.
world::world_options options_of(std::uint64_t seed, bool fair,
                                std::vector<configuration::account> accounts)
{
    return {.seed = seed,
            .vms = 14,
            .slots = 2,
            .requests_per_second = 1,
            .accounts = std::move(accounts),
            .account_load = 0.5,
            .fair_admission = fair};
}

configuration::account account(const std::string& name, double demand, int priority = 0)
{
    return {.name = name, .priority = priority, .rate = demand * 2, .burst = demand};
}

struct comparison
{
    outcome before; // without admission control
    outcome after;
};

comparison compare(std::uint64_t seed,
                   const std::vector<configuration::account>& accounts)
{
    comparison seen;
    for (const bool fair : {false, true})
    {
        deployment all(options_of(seed, fair, accounts));
        all.run_for(8s);
        (fair ? seen.after : seen.before) = run_for(all, 10s);
    }
    BOOST_TEST_MESSAGE("seed " << seed << ": answered " << seen.before.answered << " -> "
                               << seen.after.answered << ", on time "
                               << seen.before.on_time << " -> " << seen.after.on_time);
    return seen;
}

// Part of the account's requests that no upstream ran.
double lost(const outcome& seen, const std::string& name, double demand)
{
    const auto run = seen.run.find(name);
    return 1 -
           (run == seen.run.end() ? 0 : static_cast<double>(run->second)) / (demand * 10);
}

const std::vector<configuration::account> eightfold_with_small = {
    account("large", 800), account("s1", 20), account("s2", 20)};
const std::vector<configuration::account> eightfold_with_urgent = {
    account("urgent", 150, 1), account("later", 600, 2)};

} // namespace

// Guards against a deployment that gives an account room by the number of its requests.
BOOST_AUTO_TEST_CASE(small_accounts_are_served_beside_a_large_one)
{
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        const comparison seen = compare(seed, eightfold_with_small);
        for (const std::string name : {"s1", "s2"})
            BOOST_TEST(lost(seen.after, name, 20) < lost(seen.before, name, 20) / 2);
    }
}

// Guards against less urgent requests that take the room of urgent ones, and against
// their starvation.
BOOST_AUTO_TEST_CASE(urgent_accounts_are_served_first)
{
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        comparison seen = compare(seed, eightfold_with_urgent);
        BOOST_TEST(lost(seen.after, "urgent", 150) <
                   lost(seen.before, "urgent", 150) / 2);
        BOOST_TEST(seen.after.run["later"] >= 5U); // one request in two seconds
    }
}

// Twice as many requests as the upstreams take. Guards against a controller that refuses
// what they would have answered on time.
BOOST_AUTO_TEST_CASE(twofold_demand_is_served_no_worse)
{
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        const comparison seen =
            compare(seed, {account("large", 200), account("s1", 50), account("s2", 50)});
        BOOST_TEST(seen.after.on_time > 0.9 * static_cast<double>(seen.before.on_time));
        BOOST_TEST(seen.after.answered > 0.9 * static_cast<double>(seen.before.answered));
    }
}

// The same with the demand of the first two cases.
BOOST_AUTO_TEST_CASE(eightfold_demand_is_served_no_worse)
{
    for (const std::uint64_t seed : {1U, 2U, 3U})
        for (const auto& accounts : {eightfold_with_small, eightfold_with_urgent})
        {
            const comparison seen = compare(seed, accounts);
            BOOST_TEST(seen.after.on_time >
                       0.9 * static_cast<double>(seen.before.on_time));
            BOOST_TEST(seen.after.answered >
                       0.9 * static_cast<double>(seen.before.answered));
        }
}

// Guards against reports or decisions that do not reach the other VMs of a data centre.
BOOST_AUTO_TEST_CASE(coordinators_decide_for_their_data_centres)
{
    deployment all(options_of(1, true, eightfold_with_small));
    all.run_for(10s);
    for (std::size_t vm = 0; vm < all.vm_count(); ++vm)
    {
        const auto views = all.vm_at(vm).process->admission_views(all.now());
        BOOST_TEST_REQUIRE(views.size() == 1U);
        BOOST_TEST(views[0].is_told, "VM " << vm);
        BOOST_TEST(views[0].share > 0, "VM " << vm);
    }
}

// Guards against refusals while there is room for all.
BOOST_AUTO_TEST_CASE(nothing_is_refused_while_there_is_room)
{
    deployment all(options_of(1, true, {account("a", 60), account("b", 10)}));
    all.run_for(8s);
    outcome seen = run_for(all, 10s);
    BOOST_TEST(seen.refused[gateway::refusal::over_share] == 0U);
}

// All VMs start again under an overload. Guards against a start that serves less than one
// without admission control.
BOOST_AUTO_TEST_CASE(restart_of_all_vms_serves_no_less)
{
    std::map<bool, std::size_t> on_time;
    for (const std::uint64_t seed : {1U, 2U, 3U})
        for (const bool fair : {false, true})
        {
            deployment all(
                options_of(seed, fair, {account("a", 400), account("b", 200)}));
            all.run_for(8s);
            for (std::size_t vm = 0; vm < all.vm_count(); ++vm)
            {
                all.kill(vm);
                all.start(vm);
            }
            on_time[fair] += run_for(all, 6s).on_time;
        }
    BOOST_TEST_MESSAGE("on time " << on_time[false] << " -> " << on_time[true]);
    BOOST_TEST(on_time[true] > 0.9 * static_cast<double>(on_time[false]));
}
