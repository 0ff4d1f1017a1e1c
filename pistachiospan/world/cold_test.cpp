// Upstreams that start again under their id: the users' rule FAILBACK.

#include "pistachiospan/world/cold_check.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::world;
using namespace std::chrono_literals;

namespace
{

using deployment = pistachiospan::world::world;

constexpr duration start_time = 8s;
constexpr duration down_time = 2s; // of an upstream that has crashed
constexpr duration cold_time = 3s;
constexpr double cold_rate = 14;

// 37 requests per second for each upstream, as in review/3.
world_options options_of(std::uint64_t seed, std::size_t vms)
{
    return {.seed = seed,
            .vms = vms,
            .upstreams = 16,
            .slots = 8,
            .requests_per_second = 600,
            .cold_time = cold_time,
            .cold_rate = cold_rate};
}

} // namespace

// Guards against an upstream that gets its usual load after a restart that the store
// could not report (30 requests in one second of 26 allowed in review/3).
BOOST_AUTO_TEST_CASE(restarted_upstream_is_cold_while_the_store_is_silent)
{
    for (const std::size_t vms : {3U, 9U, 24U})
        for (const std::uint64_t seed : {1U, 2U, 3U})
        {
            deployment all(options_of(seed, vms));
            all.run_for(start_time);
            all.set_store({.available = false});
            all.run_for(500ms);
            all.upstream_at(0).crash();
            all.run_for(down_time);
            const time_point started_at = all.now();
            all.run_for(cold_time);
            const std::size_t most =
                most_in_one_second(all.upstream_at(0), started_at, all.now());
            BOOST_TEST(static_cast<double>(most) <= allowed_when_cold(cold_rate),
                       vms << " VMs, seed " << seed << ": " << most
                           << " requests in one second");
            BOOST_TEST(most > 0U);
        }
}

// Guards against a VM that starts while the store is silent and does not know what the
// others know of an upstream's restart.
BOOST_AUTO_TEST_CASE(vms_that_start_meanwhile_keep_to_the_rate)
{
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        deployment all(options_of(seed, 9));
        all.run_for(start_time);
        all.set_store({.available = false});
        all.run_for(500ms);
        all.upstream_at(0).crash();
        for (const std::size_t vm : {2U, 5U, 7U})
        {
            all.kill(vm);
            all.start(vm);
        }
        all.run_for(down_time);
        const time_point started_at = all.now();
        all.run_for(cold_time);
        const std::size_t most =
            most_in_one_second(all.upstream_at(0), started_at, all.now());
        BOOST_TEST(static_cast<double>(most) <= allowed_when_cold(cold_rate),
                   "seed " << seed << ": " << most << " requests in one second");
    }
}

// Guards against VMs that have lost their own links, and tell the others that all
// upstreams have restarted or treat them as cold when the links are back.
BOOST_AUTO_TEST_CASE(vms_cut_off_from_the_upstreams_suspect_none)
{
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        deployment all(options_of(seed, 9));
        all.run_for(start_time);
        for (const std::size_t vm : {1U, 6U})
            all.vm_at(vm).upstreams = upstream_link::refusing;
        all.run_for(5s);
        for (const std::size_t vm : {1U, 6U})
            all.vm_at(vm).upstreams = upstream_link::open;
        for (int step = 0; step < 20; ++step)
        {
            all.run_for(100ms);
            for (std::size_t vm = 0; vm < all.vm_count(); ++vm)
            {
                const upstreams::upstream_set& known = all.vm_at(vm).process->upstreams();
                // Until its first contact a VM does not know that its links are back.
                if (known.is_cut_off(all.now()) && step < 5)
                    continue;
                for (const auto& each : known.views(all.now()))
                    BOOST_TEST(!each.cold, "seed " << seed << ", VM " << vm << ": "
                                                   << each.id << " is cold");
            }
        }
    }
}
