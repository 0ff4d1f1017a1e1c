// Checks, from what a simulated upstream received, that all VMs together kept to the rate
// that it tolerates while it is cold.

#ifndef PISTACHIOSPAN_WORLD_COLD_CHECK_HPP
#define PISTACHIOSPAN_WORLD_COLD_CHECK_HPP

#include "pistachiospan/world/world.hpp"

namespace pistachiospan::world
{

// The users' bound on the requests that a cold upstream gets in one second.
inline double allowed_when_cold(double cold_rate)
{
    constexpr double overrun = 1.5;
    constexpr double slack = 5; // requests
    return cold_rate * overrun + slack;
}

// The most requests that were sent and arrived within one second, of the seconds that
// begin within the span.
std::size_t most_in_one_second(const upstream& server, time_point since,
                               time_point until);

} // namespace pistachiospan::world

#endif
