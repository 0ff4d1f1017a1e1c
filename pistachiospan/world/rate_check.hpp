// Checks, from what the simulated upstreams ran, that no client account got more than its
// rate and burst over all VMs together.

#ifndef PISTACHIOSPAN_WORLD_RATE_CHECK_HPP
#define PISTACHIOSPAN_WORLD_RATE_CHECK_HPP

#include "pistachiospan/world/world.hpp"

namespace pistachiospan::world
{

// The users' bound: in each window no more than the rate and burst allow, by a fraction
// of `overrun`, and `slack` requests.
struct rate_bound
{
    duration window = std::chrono::seconds(5);
    double overrun = 0.1;
    double slack = 20; // requests
};

// The window in which an account got the most above what it is allowed.
struct rate_excess
{
    std::string account;
    time_point since;
    std::size_t ran = 0;
    double allowed = 0;
};

// Requests that were sent and arrived within a window count, those of all VMs. Returns
// one excess for each account that got too much.
std::vector<rate_excess> check_rates(world& all, const rate_bound& bound);

} // namespace pistachiospan::world

#endif
