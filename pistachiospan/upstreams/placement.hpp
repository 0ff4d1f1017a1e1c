// Assigns the demand of each data centre's callers to the data centres of the upstreams.

#ifndef PISTACHIOSPAN_UPSTREAMS_PLACEMENT_HPP
#define PISTACHIOSPAN_UPSTREAMS_PLACEMENT_HPP

#include <map>
#include <string>

namespace pistachiospan::upstreams
{

struct placement_input
{
    std::map<std::string, std::string> regions; // data centre to region
    std::map<std::string, double> slots;        // of one service, by data centre
    std::map<std::string, double> demand;       // busy slots, by data centre of callers
    // Busy slots of requests that must run in a region, by region; not part of demand.
    std::map<std::string, double> regional;
    // Fraction of the slots that the plan fills. Below one, because requests arrive in
    // bursts and wait for a slot long before the mean load reaches the number of slots.
    double utilisation = 0.55;
};

// Returns the shares of the requests from `origin` by data centre of the upstreams, which
// sum to one. The slots of a data centre serve its own callers first, then those of its
// region, then all others: the round trip to another region is the longest, and capacity
// is uneven. Requests that must run in a region take its slots first. A service with too
// few slots for its demand is filled evenly. Empty if there are no slots or no demand
// from `origin`.
std::map<std::string, double> plan_placement(const placement_input& input,
                                             const std::string& origin);

} // namespace pistachiospan::upstreams

#endif
