// Simulates hundreds of VMs: propagation of state, cost of the control traffic, and
// election of coordinators when VMs are killed, frozen or partitioned away.

#include "pistachiospan/fleet_node/model_test.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::fleet_node;
using namespace pistachiospan::fleet_node::test;

namespace
{

const upstreams::upstream_start leaving_upstream{.id = "u-17", .started = 4};

// Time until all live VMs know that an upstream is leaving.
duration propagation_time(model& all, std::size_t from)
{
    const time_point started_at = all.now;
    all.note_leaving(from, leaving_upstream);
    const auto knows = [](const vm_state& each)
    {
        return !each.alive || each.leaving_upstreams.contains(leaving_upstream);
    };
    while (!std::ranges::all_of(all.vms, knows) && all.now - started_at < 10s)
        all.run(10ms);
    return all.now - started_at;
}

// Highest traffic of any VM in bytes per second, sent and received, by role.
struct traffic
{
    double member = 0;
    double coordinator = 0;
};

traffic measure_traffic(model& all, duration span)
{
    for (vm_state& each : all.vms)
        each.sent = each.received = 0;
    all.run(span);
    traffic peak;
    for (const vm_state& each : all.vms)
    {
        const double rate = static_cast<double>(each.sent + each.received) /
                            std::chrono::duration<double>(span).count();
        double& highest = each.process->role() == cell::role::coordinator
                              ? peak.coordinator
                              : peak.member;
        highest = std::max(highest, rate);
    }
    return peak;
}

} // namespace

// All VMs start within 0.3 s. Guards against data centres with several coordinators or
// none, and against calls to the store that grow faster than the number of VMs.
BOOST_AUTO_TEST_CASE(data_centres_elect_one_coordinator_at_start)
{
    for (const std::size_t vms : {9U, 27U, 297U, 720U})
    {
        model all({.centres = 9, .vms = vms});
        all.run(2s);
        BOOST_TEST(all.count(cell::role::coordinator) == 9U);
        BOOST_TEST(all.settled() == vms);
        BOOST_TEST(all.claims <= vms + 9);
    }
}

// Guards against VMs that learn late that an upstream is leaving: the users' bound on
// requests sent to an upstream after it has announced this is 2 s.
BOOST_AUTO_TEST_CASE(leaving_upstream_is_known_to_every_vm)
{
    struct size
    {
        std::size_t centres = 0;
        std::size_t vms = 0;
        duration bound;
    };
    for (const size& each : {size{9, 297, 1s}, size{17, 720, 1500ms}})
    {
        model all({.centres = each.centres, .vms = each.vms, .loss = 0.001});
        all.run(5s);
        BOOST_TEST(propagation_time(all, each.vms - 1).count() < each.bound.count());
    }
}

// Guards against a data centre that stays without a working coordinator or without
// updates for long, because its coordinator is dead, frozen, partitioned away or cannot
// send.
BOOST_AUTO_TEST_CASE(lost_coordinator_is_replaced)
{
    const std::map<std::string, std::function<void(model&, vm_state&)>> faults = {
        {"killed",
         [](model&, vm_state& vm)
         {
             vm.alive = false;
         }},
        {"frozen",
         [](model& all, vm_state& vm)
         {
             vm.frozen_until = all.now + 4s;
         }},
        {"cut off",
         [](model&, vm_state& vm)
         {
             vm.partitioned = true;
         }},
        {"mute", [](model&, vm_state& vm)
         {
             vm.outbound_loss = true;
         }}};
    for (const auto& [name, inject] : faults)
    {
        model all({.centres = 9, .vms = 297});
        all.run(5s);
        const std::size_t lost = all.coordinator_of(4);
        inject(all, all.vms[lost]);
        all.run(2500ms);
        BOOST_TEST_CONTEXT(name)
        {
            std::size_t coordinators = 0;
            for (std::size_t at = 4; at < all.vms.size(); at += 9)
                if (at != lost && all.vms[at].process->role() == cell::role::coordinator)
                    ++coordinators;
            BOOST_TEST(coordinators == 1U);
            BOOST_TEST(all.settled() >= 296U);
        }
    }
}

// Guards against two coordinators of a data centre after the previous one returns from
// being frozen or partitioned away.
BOOST_AUTO_TEST_CASE(replaced_coordinator_becomes_a_member)
{
    model all({.centres = 9, .vms = 297});
    all.run(5s);
    const std::size_t frozen = all.coordinator_of(2);
    const std::size_t partitioned = all.coordinator_of(3);
    all.vms[frozen].frozen_until = all.now + 4s;
    all.vms[partitioned].partitioned = true;
    all.run(5s);
    all.vms[partitioned].partitioned = false;
    all.run(2s);
    BOOST_TEST(all.count(cell::role::coordinator) == 9U);
    BOOST_TEST(all.settled() == 297U);
    BOOST_TEST((all.vms[frozen].process->role() == cell::role::member));
    BOOST_TEST((all.vms[partitioned].process->role() == cell::role::member));
}

// Coordinators are killed while the store is unavailable. Guards against data centres
// that stay without a coordinator because nothing arbitrates.
BOOST_AUTO_TEST_CASE(coordinators_are_replaced_without_the_store)
{
    model all({.centres = 9, .vms = 297});
    all.run(5s);
    all.store_down = true;
    for (const std::size_t centre : {0U, 5U, 8U})
        all.kill(all.coordinator_of(centre));
    all.run(3s);
    BOOST_TEST(all.count(cell::role::coordinator) == 9U);
    BOOST_TEST(all.settled() == 294U);
    all.store_down = false;
    all.run(5s);
    BOOST_TEST(all.count(cell::role::coordinator) == 9U);
}

// A partition through every data centre ends. Guards against coordinators that go on
// sending their reports to VMs that have lost the role meanwhile, and hear of data
// centres again only when they read the rows of the store.
BOOST_AUTO_TEST_CASE(data_centres_hear_of_each_other_after_a_partition)
{
    model all({.centres = 6, .vms = 36});
    all.run(5s);
    for (std::size_t at = 0; at < all.vms.size(); ++at)
        all.vms[at].side = at % 4 < 2 ? 1 : 0;
    all.run(8s);
    for (vm_state& each : all.vms)
        each.side = 0;
    all.run(5s);
    BOOST_TEST(all.count(cell::role::coordinator) == 6U);
    for (std::size_t centre = 0; centre < 6; ++centre)
    {
        const node& coordinator = *all.vms[all.coordinator_of(centre)].process;
        for (const auto& [name, region] : all.places)
        {
            const std::vector<std::string> known =
                coordinator.addresses_for(all.now, region, name);
            const auto is_there = [&known](const vm_state& vm)
            {
                return std::ranges::find(known, vm.id.value + ":2") != known.end();
            };
            for (const vm_state& vm : all.vms)
                BOOST_TEST(is_there(vm) == (vm.data_centre == name),
                           "centre " << centre << " about " << vm.id.value);
        }
    }
}

// All processes are killed at once and restarted. Guards against a fleet that does not
// re-form within the time that callers wait.
BOOST_AUTO_TEST_CASE(fleet_recovers_from_simultaneous_restart)
{
    model all({.centres = 9, .vms = 297});
    all.run(5s);
    for (std::size_t at = 0; at < all.vms.size(); ++at)
    {
        all.kill(at);
        all.after(duration(1s) + duration(static_cast<std::int64_t>(at) * 1000),
                  [&all, at] { all.start(at); });
    }
    all.run(2500ms);
    BOOST_TEST(all.count(cell::role::coordinator) == 9U);
    BOOST_TEST(all.settled() == 297U);
}

// Guards against a region that loses its coordinators while it is partitioned away, or
// that does not rejoin the others afterwards.
BOOST_AUTO_TEST_CASE(partitioned_regions_keep_working_and_rejoin)
{
    model all({.centres = 9, .vms = 297});
    all.run(5s);
    const auto side = [&](int other)
    {
        for (vm_state& each : all.vms)
            if (all.places.at(each.data_centre) == "region-1")
                each.side = other;
    };
    side(1);
    all.run(20s);
    BOOST_TEST(all.count(cell::role::coordinator) == 9U);
    BOOST_TEST(all.settled() == 297U);
    side(0);
    all.run(1500ms);
    BOOST_TEST(all.count(cell::role::coordinator) == 9U);
    for (const vm_state& each : all.vms)
        BOOST_TEST(each.process->addresses_for(all.now, "region-1", "none").size() ==
                   64U);
}

// Guards against directory responses that still list a dead VM: the users' bound for
// deployments of this size is 7 s.
BOOST_AUTO_TEST_CASE(lost_vms_leave_the_directory)
{
    model all({.centres = 9, .vms = 54, .loss = 0.001});
    all.run(5s);
    for (const std::size_t lost : {all.coordinator_of(1), std::size_t{28}})
        all.kill(lost);
    all.run(5500ms);
    for (const vm_state& each : all.vms)
    {
        if (!each.alive)
            continue;
        for (const char* centre : {"dc-0", "dc-1"})
            for (const std::string& address :
                 each.process->addresses_for(all.now, all.places.at(centre), centre))
                BOOST_TEST(all.vms.at(std::stoul(address.substr(3))).alive, address);
    }
}

// Guards against control traffic of members that grows with the fleet. The users' target
// is 2 KB/s per VM at 720 VMs. Coordinators, one in 42 VMs, are exempt because they serve
// the others.
BOOST_AUTO_TEST_CASE(control_traffic_of_members_stays_small)
{
    constexpr double member_bound = 2000; // bytes per second, in and out
    for (const std::size_t vms : {170U, 357U, 714U})
    {
        model all({.centres = 17, .vms = vms});
        all.run(10s);
        const traffic peak = measure_traffic(all, 10s);
        BOOST_TEST_MESSAGE(vms << " VMs: member " << peak.member
                               << " bytes/s, coordinator " << peak.coordinator);
        BOOST_TEST(peak.member < member_bound);
    }
}

// Guards against a VM that starts while it is cut off and uses the whole of what all VMs
// share, such as the rate of a cold upstream: each data centre has VMs of its own.
BOOST_AUTO_TEST_CASE(vm_that_starts_alone_assumes_one_in_each_data_centre)
{
    model all({.centres = 6, .vms = 8});
    all.run(5s);
    BOOST_TEST(all.vms[3].vm_count == 8U);
    all.vms[3].side = 1;
    all.kill(3);
    all.start(3);
    all.run(5s);
    BOOST_TEST((all.vms[3].process->role() == cell::role::coordinator));
    BOOST_TEST(all.vms[3].vm_count >= 6U);
    all.vms[3].side = 0;
    all.run(5s);
    BOOST_TEST(all.vms[3].vm_count == 8U);
}

namespace
{

// The most that the VMs used together, while `span` passed, of what all VMs share: each
// uses its part by the number of VMs that it assumes.
double largest_sum_of_parts(model& all, duration span)
{
    double largest = 0;
    for (const time_point end = all.now + span; all.now < end; all.run(50ms))
    {
        double sum = 0;
        for (const vm_state& each : all.vms)
            if (each.alive && each.vm_count > 0)
                sum += 1 / static_cast<double>(each.vm_count);
        largest = std::max(largest, sum);
    }
    return largest;
}

} // namespace

// Guards against VMs that use what all VMs share, such as the rate of a cold upstream,
// several times over after coordinators have started again: these know few VMs at first,
// and the members used to believe them (81 VMs that used 3.15 times the whole).
BOOST_AUTO_TEST_CASE(parts_of_all_vms_keep_to_the_whole_while_vms_restart)
{
    constexpr double tolerated = 1.1;
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        model all({.centres = 6, .vms = 48, .seed = seed});
        all.run(15s);
        for (std::size_t centre = 0; centre < 6; ++centre)
        {
            const std::size_t restarted = all.coordinator_of(centre);
            all.kill(restarted);
            all.vms[restarted].vm_count = 0;
            all.after(500ms, [&all, restarted] { all.start(restarted); });
        }
        BOOST_TEST(largest_sum_of_parts(all, 10s) <= tolerated, "coordinators");
        for (std::size_t each = 0; each < all.vms.size(); ++each)
        {
            all.kill(each);
            all.vms[each].vm_count = 0;
            all.after(1s + each * 20ms, [&all, each] { all.start(each); });
        }
        BOOST_TEST(largest_sum_of_parts(all, 10s) <= tolerated, "all VMs");
    }
}
