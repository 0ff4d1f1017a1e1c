// Hundreds of VMs together: how news reach them, what it costs, and who coordinates when
// VMs are lost, frozen or cut off.

#include "pistachiospan/fleet_node/model_test.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::fleet_node;
using namespace pistachiospan::fleet_node::test;

namespace
{

const upstreams::upstream_start leaver{.id = "u-17", .started = 4};

// Time until all live VMs know that an upstream is leaving.
duration time_to_tell(model& all, std::size_t from)
{
    const time_point begun = all.now;
    all.note_leaving(from, leaver);
    const auto knows = [](const vm_state& each)
    {
        return !each.alive || each.leaving_upstreams.contains(leaver);
    };
    while (!std::ranges::all_of(all.vms, knows) && all.now - begun < 10s)
        all.run(10ms);
    return all.now - begun;
}

// Bytes per second that a VM spent since the last call, by role.
struct spending
{
    double member = 0;      // the most of any
    double coordinator = 0; // the most of any
};

spending spend(model& all, duration span)
{
    for (vm_state& each : all.vms)
        each.sent = each.received = 0;
    all.run(span);
    spending most;
    for (const vm_state& each : all.vms)
    {
        const double rate = static_cast<double>(each.sent + each.received) /
                            std::chrono::duration<double>(span).count();
        double& into =
            each.own->role() == cell::role::coordinator ? most.coordinator : most.member;
        into = std::max(into, rate);
    }
    return most;
}

} // namespace

// Pattern: all VMs start within 0.3 s. Guards against data centres with several
// coordinators or none, and against calls of the store that grow faster than the VMs.
BOOST_AUTO_TEST_CASE(vms_that_start_together_find_one_coordinator_each)
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

// Guards against news that reach some VM late: the users' bound for work that an upstream
// gets after it has said that it leaves is 2 s.
BOOST_AUTO_TEST_CASE(news_reach_every_vm)
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
        BOOST_TEST(time_to_tell(all, each.vms - 1).count() < each.bound.count());
    }
}

// Guards against a coordinator that is dead, frozen or mute and keeps its data centre
// from the news, or from a coordinator, for long.
BOOST_AUTO_TEST_CASE(lost_coordinator_is_replaced)
{
    const std::map<std::string, std::function<void(model&, vm_state&)>> losses = {
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
             vm.cut_off = true;
         }},
        {"mute", [](model&, vm_state& vm)
         {
             vm.mute = true;
         }}};
    for (const auto& [how, lose] : losses)
    {
        model all({.centres = 9, .vms = 297});
        all.run(5s);
        const std::size_t lost = all.coordinator_of(4);
        lose(all, all.vms[lost]);
        all.run(2500ms);
        BOOST_TEST_CONTEXT(how)
        {
            std::size_t coordinators = 0;
            for (std::size_t at = 4; at < all.vms.size(); at += 9)
                if (at != lost && all.vms[at].own->role() == cell::role::coordinator)
                    ++coordinators;
            BOOST_TEST(coordinators == 1U);
            BOOST_TEST(all.settled() >= 296U);
        }
    }
}

// Guards against two coordinators of a data centre after one of them was frozen or cut
// off and is back.
BOOST_AUTO_TEST_CASE(replaced_coordinator_becomes_a_member)
{
    model all({.centres = 9, .vms = 297});
    all.run(5s);
    const std::size_t frozen = all.coordinator_of(2);
    const std::size_t cut = all.coordinator_of(3);
    all.vms[frozen].frozen_until = all.now + 4s;
    all.vms[cut].cut_off = true;
    all.run(5s);
    all.vms[cut].cut_off = false;
    all.run(2s);
    BOOST_TEST(all.count(cell::role::coordinator) == 9U);
    BOOST_TEST(all.settled() == 297U);
    BOOST_TEST((all.vms[frozen].own->role() == cell::role::member));
    BOOST_TEST((all.vms[cut].own->role() == cell::role::member));
}

// Pattern: the store is away, and then coordinators are lost. Guards against data centres
// that stay without one because nobody arbitrates.
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

// Pattern: all processes are killed at once and start again. Guards against a fleet that
// does not find together again in the time that callers wait.
BOOST_AUTO_TEST_CASE(fleet_restarts_at_once)
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

// Guards against a region that is cut off and loses its coordinators, or that does not
// come together with the rest again.
BOOST_AUTO_TEST_CASE(cut_regions_go_on_and_come_together_again)
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
        BOOST_TEST(each.own->addresses_for(all.now, "region-1", "none").size() == 64U);
}

// Guards against a directory that goes on naming a VM that is gone: 7 s are the users'
// bound on the deployments of this size.
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
            for (const std::string& named :
                 each.own->addresses_for(all.now, all.places.at(centre), centre))
                BOOST_TEST(all.vms.at(std::stoul(named.substr(3))).alive, named);
    }
}

// Guards against a VM's expense for control that grows with the fleet. The aim of the
// users is 2 KB/s a VM at 720 VMs; coordinators, one in 42 VMs, serve the others.
BOOST_AUTO_TEST_CASE(control_costs_stay_small)
{
    constexpr double member_bound = 2000; // bytes per second, in and out
    for (const std::size_t vms : {170U, 357U, 714U})
    {
        model all({.centres = 17, .vms = vms});
        all.run(10s);
        const spending most = spend(all, 10s);
        BOOST_TEST_MESSAGE(vms << " VMs: member " << most.member
                               << " bytes/s, coordinator " << most.coordinator);
        BOOST_TEST(most.member < member_bound);
    }
}
