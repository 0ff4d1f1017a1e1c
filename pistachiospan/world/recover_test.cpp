// VMs that reach no upstream while callers, the store and the other VMs reach them: the
// users' rule RECOVER.

#include "pistachiospan/world/recover_check.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::world;
using namespace std::chrono_literals;

namespace
{

using deployment = pistachiospan::world::world;

constexpr duration start_time = 8s;
constexpr duration contact_time = 3s; // from which on the rule counts
constexpr duration cut_time = 12s;

world_options options_of(std::uint64_t seed)
{
    return {.seed = seed,
            .vms = 9,
            .upstreams = 30,
            .requests_per_second = 200,
            .accounts = {{.name = "shop", .rate = 50, .burst = 50}}};
}

void set_links(deployment& all, const std::set<std::size_t>& vms, upstream_link link)
{
    for (const std::size_t each : vms)
        all.vm_at(each).upstreams = link;
}

void check(const std::set<std::size_t>& cut_off, upstream_link link)
{
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        deployment all(options_of(seed));
        all.run_for(start_time);
        set_links(all, cut_off, link);
        const time_point since = all.now() + contact_time;
        all.run_for(cut_time);
        const time_point until = all.now();
        set_links(all, cut_off, upstream_link::open);
        all.run_for(5s);
        const recover_report during = check_recovery(all, cut_off, since, until);
        BOOST_TEST(!during.is_broken(),
                   "seed " << seed << ", " << cut_off.size() << " VMs cut off: served "
                           << during.cut_off.answered << " of " << during.cut_off.sent
                           << ", the others " << during.others.answered << " of "
                           << during.others.sent);
        const recover_report after = check_recovery(all, cut_off, until + 1s, all.now());
        BOOST_TEST(!after.is_broken(), "after the cut, seed " << seed);
    }
}

} // namespace

// Guards against callers that fail at a VM that has lost its links to the upstreams,
// whether its connections are refused or hang.
BOOST_AUTO_TEST_CASE(callers_of_vms_cut_off_from_all_upstreams_are_served)
{
    for (const upstream_link link : {upstream_link::refusing, upstream_link::silent})
    {
        check({1, 6}, link);
        check({0, 6}, link); // a data centre of its own
    }
}

// Guards against the same when most VMs are cut off, and only one still reaches
// upstreams.
BOOST_AUTO_TEST_CASE(one_vm_serves_the_callers_of_all_others_that_are_cut_off)
{
    check({0, 1, 2, 3, 5, 6, 7, 8}, upstream_link::refusing);
}
