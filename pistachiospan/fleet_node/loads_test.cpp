// The exchange of the load of upstreams between simulated VMs.

#include "pistachiospan/fleet_node/model_test.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::fleet_node;
using namespace pistachiospan::fleet_node::test;
using namespace std::chrono_literals;

namespace
{

// What a VM that gets this many requests per second reports: those in progress, each 0.3
// s long, and load reports of the last interval.
auto loads_at(double requests_per_second, double interval)
{
    return [=](random_engine& random)
    {
        constexpr std::uint32_t upstreams = 250;
        std::map<capacity::upstream_key, capacity::upstream_load> loads;
        std::poisson_distribution<int> in_progress(requests_per_second * 0.3);
        std::poisson_distribution<int> reports(requests_per_second * interval);
        const auto pick = [&]() -> capacity::upstream_load&
        {
            const auto key = static_cast<capacity::upstream_key>(random() % upstreams);
            return loads.try_emplace(key, capacity::upstream_load{.upstream = key})
                .first->second;
        };
        for (int left = in_progress(random); left > 0; --left)
            ++pick().requests;
        for (int left = reports(random); left > 0; --left)
            pick().reported = capacity::reported_load{.requests = 3, .age = 200ms};
        std::vector<capacity::upstream_load> list;
        list.reserve(loads.size());
        for (const auto& [key, load] : loads)
            list.push_back(load);
        return list;
    };
}

} // namespace

// Guards against messages that take more than their part of the control traffic: 250
// bytes per second each way with 14 VMs in a data centre and 24 requests per second for
// each, 50 with 42 VMs and 2 requests per second.
BOOST_AUTO_TEST_CASE(members_spend_little_on_loads)
{
    struct deployment
    {
        std::size_t centres = 0;
        std::size_t vms = 0;
        double requests_per_second = 0;
        double interval = 0;
        double bound = 0; // bytes per second each way
    };
    for (const deployment& each :
         {deployment{6, 84, 24, 1, 250}, deployment{17, 714, 2, 2, 50}})
    {
        model all({.centres = each.centres,
                   .vms = each.vms,
                   .loads = loads_at(each.requests_per_second, each.interval)});
        all.run(10s);
        for (vm_state& vm : all.vms)
            vm.loads_sent = vm.loads_received = 0;
        all.run(20s);
        double sent = 0;
        double received = 0;
        double members = 0;
        double coordinator = 0;
        for (const vm_state& vm : all.vms)
        {
            if (vm.process->role() == cell::role::coordinator)
            {
                coordinator =
                    std::max(coordinator, static_cast<double>(vm.loads_sent) / 20);
                continue;
            }
            ++members;
            sent += static_cast<double>(vm.loads_sent) / 20;
            received += static_cast<double>(vm.loads_received) / 20;
            BOOST_TEST(vm.estimates > 0U);
        }
        BOOST_TEST_MESSAGE(each.vms << " VMs: a member sends " << sent / members
                                    << " and receives " << received / members
                                    << " bytes/s, a coordinator sends " << coordinator);
        BOOST_TEST(sent / members < each.bound);
        BOOST_TEST(received / members < each.bound);
    }
}

// Guards against members that know no loads after their coordinator is lost, or while
// messages are lost.
BOOST_AUTO_TEST_CASE(loads_are_known_again_after_the_coordinator_is_lost)
{
    model all({.centres = 3, .vms = 12, .loss = 0.1, .loads = loads_at(20, 1)});
    all.run(8s);
    const std::size_t lost = all.coordinator_of(0);
    BOOST_REQUIRE(lost < all.vms.size());
    all.kill(lost);
    for (vm_state& vm : all.vms)
        vm.estimates = 0;
    all.run(5s);
    for (const vm_state& vm : all.vms)
        if (vm.alive)
            BOOST_TEST(vm.estimates > 0U, vm.id.value);
}

// Guards against traffic of a deployment in which the loads are not shared.
BOOST_AUTO_TEST_CASE(nothing_is_sent_without_loads)
{
    model all({.centres = 3, .vms = 9});
    all.run(8s);
    for (const vm_state& vm : all.vms)
        BOOST_TEST(vm.loads_sent == 0U);
}
