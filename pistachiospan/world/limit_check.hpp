// Checks, from what a simulated upstream saw, that it got no more requests than the limit
// that it had named allows.

#ifndef PISTACHIOSPAN_WORLD_LIMIT_CHECK_HPP
#define PISTACHIOSPAN_WORLD_LIMIT_CHECK_HPP

#include "pistachiospan/world/upstream.hpp"

namespace pistachiospan::world
{

// The users' bound: in each window no more than `tolerance` times what the limit allows,
// plus `slack` requests. Windows begin at the earliest `notice` after a limit was named.
struct limit_bound
{
    duration window = std::chrono::seconds(4);
    duration notice = std::chrono::seconds(3);
    // Time for which a limit still counts after a lower one was named: the rule counts
    // VMs that have passed on an answer with the limit half a second before.
    duration change_notice{0};
    double tolerance = 1.5;
    double slack = 5; // requests
    // Requests of VMs that the rule excuses count too.
    bool counts_excused = true;
};

// A window in which an upstream got too many requests.
struct limit_excess
{
    time_point since;
    std::size_t arrived = 0;
    double allowed = 0;
};

// Only windows during which a limit was in force all the time are checked.
std::vector<limit_excess> check_limits(const upstream& server, const limit_bound& bound);

// Requests that arrived in the span from `since` to `until`.
std::size_t arrivals_in(const upstream& server, time_point since, time_point until);

} // namespace pistachiospan::world

#endif
