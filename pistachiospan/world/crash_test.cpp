// A request that crashes the upstreams that run it and comes again at any VM: the users'
// rule BUDGET, and what happens to other requests meanwhile.

#include "pistachiospan/world/crash_check.hpp"
#include "pistachiospan/world/schedule.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::world;
using namespace std::chrono_literals;
using gateway::refusal;

namespace
{

using deployment = pistachiospan::world::world;

constexpr duration start_time = 8s;
const std::string crashing_object = "crashing";

world_options options_of(std::uint64_t seed, std::size_t vms)
{
    return {.seed = seed,
            .vms = vms,
            .upstreams = 40,
            .requests_per_second = 400,
            .accounts = {{.name = "faulty", .rate = 50, .burst = 50},
                         {.name = "rival", .rate = 50, .burst = 50}}};
}

// Sends the request that crashes upstreams `interval` after `interval`, at one VM after
// the other, as long as the world runs.
void keep_sending(deployment& all, duration interval, std::size_t next = 0)
{
    all.send_request_about(next % all.vm_count(), "faulty", crashing_object);
    all.after(interval,
              [&all, interval, next] { keep_sending(all, interval, next + 1); });
}

void check(const crash_report& report, const world_options& options)
{
    BOOST_TEST(report.late_arrivals <= allowed_late_arrivals,
               options.vms << " VMs, seed " << options.seed << ": " << report.crashes
                           << " crashes, " << report.late_arrivals
                           << " late arrivals, allowed " << allowed_late_arrivals);
}

} // namespace

// Guards against a request that is sent to one upstream after the other, at each VM anew,
// although it crashes them all.
BOOST_AUTO_TEST_CASE(crashing_request_is_not_sent_on_and_on)
{
    for (const std::size_t vms : {1U, 9U, 24U})
        for (const std::uint64_t seed : {1U, 2U, 3U})
        {
            const world_options options = options_of(seed, vms);
            deployment all(options);
            all.set_crashing("faulty", crashing_object, true);
            all.run_for(start_time);
            keep_sending(all, 300ms);
            all.run_for(90s);
            check(count_crashes(all, "faulty", crashing_object), options);
        }
}

// Guards against VMs that start, or return from a cut or a freeze, and do not know what
// the others know; and against coordinators that are replaced.
BOOST_AUTO_TEST_CASE(crashing_request_is_not_sent_by_vms_that_start_or_return)
{
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        const world_options options = options_of(seed, 12);
        deployment all(options);
        all.set_crashing("faulty", crashing_object, true);
        all.run_for(start_time);
        inject(all,
               {{.kind = fault_kind::cut_apart, .span = 6s, .targets = {1, 2}},
                {.at = 2s, .kind = fault_kind::freeze, .span = 5s, .targets = {3}},
                {.at = 4s, .kind = fault_kind::restart, .span = 2s, .targets = {0, 4}},
                {.at = 8s, .kind = fault_kind::join, .targets = {5, 6}},
                {.at = 20s,
                 .kind = fault_kind::restart,
                 .span = 1s,
                 .targets = {0, 1, 2, 3, 4, 5}}});
        keep_sending(all, 200ms);
        all.run_for(60s);
        check(count_crashes(all, "faulty", crashing_object), options);
    }
}

// Guards against a burst of the same request at all VMs at once, before any has seen a
// crash.
BOOST_AUTO_TEST_CASE(burst_of_a_crashing_request_ends_with_its_first_crashes)
{
    const world_options options = options_of(1, 9);
    deployment all(options);
    all.set_crashing("faulty", crashing_object, true);
    all.run_for(start_time);
    keep_sending(all, 10ms);
    all.run_for(60s);
    check(count_crashes(all, "faulty", crashing_object), options);
}

// Guards against other requests that are refused because they ran beside the one that
// crashes upstreams, and against a rival's request that only looks like it.
BOOST_AUTO_TEST_CASE(innocent_requests_are_served_beside_a_crashing_one)
{
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        world_options options = options_of(seed, 9);
        options.skew = 0.8;
        deployment all(options);
        all.set_crashing("faulty", crashing_object, true);
        all.run_for(start_time);
        keep_sending(all, 300ms);
        all.run_for(5s);
        const std::size_t refused = all.callers().reasons.at(refusal::quarantined);
        const std::size_t attempts = 40;
        for (std::size_t each = 0; each < attempts; ++each)
        {
            all.send_request_about(each % all.vm_count(), "rival", crashing_object);
            all.run_for(100ms);
        }
        // The crashing request itself is refused about three times a second.
        const std::size_t own = attempts * 100 / 300 + 1;
        BOOST_TEST(all.callers().reasons.at(refusal::quarantined) - refused <= own);
    }
}

// Guards against requests that are taken for the cause when many upstreams end at once,
// or one after the other, for a reason of their own.
BOOST_AUTO_TEST_CASE(crashes_from_outside_put_no_request_in_quarantine)
{
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        world_options options = options_of(seed, 9);
        options.skew = 0.8;
        deployment all(options);
        all.run_for(start_time);
        for (std::size_t each = 0; each < 20; ++each)
            all.upstream_at(each).crash();
        all.run_for(5s);
        for (std::size_t each = 0; each < all.upstream_count(); ++each)
        {
            all.upstream_at(each).crash();
            all.run_for(250ms);
        }
        all.run_for(5s);
        BOOST_TEST(!all.callers().reasons.contains(refusal::quarantined));
    }
}

// Guards against an outage of its own after the upstreams have been repaired.
BOOST_AUTO_TEST_CASE(repaired_upstreams_get_the_request_again)
{
    const world_options options = options_of(1, 9);
    deployment all(options);
    all.set_crashing("faulty", crashing_object, true);
    all.run_for(start_time);
    keep_sending(all, 300ms);
    all.run_for(10s);
    all.set_crashing("faulty", crashing_object, false);
    all.run_for(300s);
    const std::size_t refused = all.callers().reasons.at(refusal::quarantined);
    all.run_for(20s);
    BOOST_TEST(all.callers().reasons.at(refusal::quarantined) == refused);
}
