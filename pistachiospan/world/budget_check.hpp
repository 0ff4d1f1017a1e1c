// Checks, from what the simulated upstreams received, that the VMs together sent no more
// retries than the users' rule BUDGET allows.

#ifndef PISTACHIOSPAN_WORLD_BUDGET_CHECK_HPP
#define PISTACHIOSPAN_WORLD_BUDGET_CHECK_HPP

#include "pistachiospan/world/world.hpp"

namespace pistachiospan::world
{

// The window in which the upstreams got the most retries above what is allowed.
struct budget_excess
{
    time_point since;
    std::size_t retries = 0;
    std::size_t requests = 0;
    double allowed = 0;
};

// Each arrival of a request after its first one counts as a retry, also one that the
// upstream refuses. The requests are counted in the window, in the one before it or in
// the one half a window before it, whichever has most. Nullopt: the rule is kept.
std::optional<budget_excess> check_budget(world& all);

// Retries that arrived in the span from `since` to `until`.
std::size_t retries_in(world& all, time_point since, time_point until);

} // namespace pistachiospan::world

#endif
