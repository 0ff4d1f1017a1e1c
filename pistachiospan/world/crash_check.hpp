// Checks, from what the simulated upstreams received, that a request that crashes the
// upstreams that run it was not sent on and on: the users' rule BUDGET.

#ifndef PISTACHIOSPAN_WORLD_CRASH_CHECK_HPP
#define PISTACHIOSPAN_WORLD_CRASH_CHECK_HPP

#include "pistachiospan/world/world.hpp"

namespace pistachiospan::world
{

// The request of an account about an object, over all its attempts.
struct crash_report
{
    std::size_t crashes = 0;
    std::size_t late_arrivals = 0; // sent by unharmed VMs 3 s or more after the third one
};

// Late arrivals that the rule allows.
inline constexpr std::size_t allowed_late_arrivals = 3;

crash_report count_crashes(world& all, const std::string& account,
                           const std::string& object);

} // namespace pistachiospan::world

#endif
