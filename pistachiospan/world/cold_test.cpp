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
