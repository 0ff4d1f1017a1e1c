// The retry budget of a service, over all VMs of a deployment: the users' rule BUDGET,
// checked from what the upstreams receive while they refuse about half of the requests.

#include "pistachiospan/world/budget_check.hpp"
#include "pistachiospan/world/schedule.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace pistachiospan;
using namespace pistachiospan::world;
using namespace std::chrono_literals;

namespace
{

using deployment = pistachiospan::world::world;

constexpr duration start_time = 12s; // longer than the window of the rule
constexpr duration play_time = 22s;
constexpr double refused_fraction = 0.6;

// Indices from `first` on, each `step`-th, below `end`.
std::vector<std::size_t> every(std::size_t first, std::size_t step, std::size_t end)
{
    std::vector<std::size_t> chosen;
    for (std::size_t each = first; each < end; each += step)
        chosen.push_back(each);
    return chosen;
}

void begin_refusals(deployment& all)
{
    for (std::size_t each = 0; each < all.upstream_count(); ++each)
        all.upstream_at(each).refuse_fraction(refused_fraction);
}

// Plays the faults; they begin a second after the upstreams have begun to refuse.
void check(const world_options& options, const schedule& faults)
{
    deployment all(options);
    all.run_for(start_time);
    begin_refusals(all);
    all.run_for(1s);
    inject(all, faults);
    all.run_for(play_time);
    if (const std::optional<budget_excess> excess = check_budget(all))
        BOOST_ERROR(options.vms << " VMs, seed " << options.seed << ": "
                                << excess->retries << " retries in a window with "
                                << excess->requests << " requests, allowed "
                                << excess->allowed);
}

void check_seeds(world_options options,
                 const std::function<schedule(const world_options&)>& faults_of)
{
    for (const std::size_t vms : {9U, 24U})
        for (const std::uint64_t seed : {1U, 2U, 3U})
        {
            options.vms = vms;
            options.seed = seed;
            check(options, faults_of(options));
        }
}

// Enough upstreams that about half of the slots are busy, so that requests are refused at
// random and not for lack of room.
const world_options usual = {.upstreams = 40, .requests_per_second = 600};

} // namespace

// Guards against VMs that forget which retries they have sent when the number of VMs
// changes, and against each taking more than its part of the slack (incident BUDGET).
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_while_other_vms_restart)
{
    check_seeds(usual,
                [](const world_options& options)
                {
                    schedule faults;
                    for (std::size_t each = 0; each < options.vms / 3; ++each)
                        faults.push_back({.at = each * 12s / options.vms,
                                          .kind = fault_kind::restart,
                                          .span = 2s,
                                          .targets = {3 * each}});
                    return faults;
                });
}

// Guards against the same when VMs are cut off from the others or frozen.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_while_vms_are_cut_off_or_frozen)
{
    check_seeds(
        usual,
        [](const world_options& options)
        {
            const std::vector<std::size_t> third = every(0, 3, options.vms);
            const std::vector<std::size_t> other = every(1, 3, options.vms);
            return schedule{
                {.kind = fault_kind::cut_apart, .span = 4s, .targets = third},
                {.at = 2s, .kind = fault_kind::freeze, .span = 3s, .targets = other},
                {.at = 7s,
                 .kind = fault_kind::cut_together,
                 .span = 4s,
                 .targets = third}};
        });
}

// Guards against processes that start with a budget of their own although those before
// them have used theirs.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_when_all_vms_restart_at_once)
{
    check_seeds(usual,
                [](const world_options& options)
                {
                    return schedule{{.at = 1s,
                                     .kind = fault_kind::restart,
                                     .span = 300ms,
                                     .targets = every(0, 1, options.vms)},
                                    {.at = 5s,
                                     .kind = fault_kind::restart,
                                     .span = 300ms,
                                     .targets = every(0, 1, options.vms)}};
                });
}

// Guards against a budget that the VMs hardly use, also if they are many and get few
// requests each: they use most of it in the first window, and a third of it while the
// upstreams go on refusing.
BOOST_AUTO_TEST_CASE(retries_are_sent_as_far_as_the_budget_goes)
{
    for (const std::size_t vms : {9U, 24U, 81U})
    {
        world_options options = usual;
        options.vms = vms;
        deployment all(options);
        all.run_for(start_time);
        begin_refusals(all);
        const time_point since = all.now();
        all.run_for(20s);
        const double budget = options.retry_ratio * options.requests_per_second * 10;
        const auto used = [&](time_point from)
        {
            return static_cast<double>(retries_in(all, from, from + 10s)) / budget;
        };
        BOOST_TEST(used(since) >= 3. / 4, vms << " VMs");
        BOOST_TEST(used(since + 10s) >= 1. / 3, vms << " VMs");
        BOOST_TEST(!check_budget(all).has_value(), vms << " VMs");
    }
}
