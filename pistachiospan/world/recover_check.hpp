// Checks, from what the callers saw, that VMs without a path to any upstream serve theirs
// nearly as well as the others do: the users' rule RECOVER.

#ifndef PISTACHIOSPAN_WORLD_RECOVER_CHECK_HPP
#define PISTACHIOSPAN_WORLD_RECOVER_CHECK_HPP

#include "pistachiospan/world/world.hpp"

#include <set>

namespace pistachiospan::world
{

struct served_share
{
    std::size_t sent = 0;
    std::size_t answered = 0;

    double share() const
    {
        return this->sent == 0 ? 1
                               : static_cast<double>(this->answered) /
                                     static_cast<double>(this->sent);
    }
};

struct recover_report
{
    served_share cut_off; // requests at the VMs that were cut off
    served_share others;

    // Callers of the VMs that were cut off are served less than two thirds as often as
    // those of the others, and more than 10 and 1 in 50 of all requests fail there.
    bool is_broken() const;
};

// Of the requests that were sent from `since` to `until`.
recover_report check_recovery(const world& all, const std::set<std::size_t>& cut_off,
                              time_point since, time_point until);

} // namespace pistachiospan::world

#endif
