// Which data centres' upstreams serve the callers of which data centre.

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
    std::map<std::string, double> demand; // slots kept busy, by data centre of callers
    std::map<std::string, double>
        regional; // slots kept busy by requests that must run in a
                  // region, by region; they are not part of demand
    // Part of the slots that the plan fills. Below one, because requests come in bursts
    // and wait for a slot long before the mean load reaches all of them.
    double utilisation = 0.55;
};

// Parts of the requests from `origin` by data centre of the upstreams; they sum to one.
// Each data centre serves its own callers as far as its slots go, then those of its
// region, then all others: the way to another region takes longest, and the room is
// uneven. What must run in a region comes first there. A service with too few slots for
// its demand is filled evenly. Empty without any slots or any demand from `origin`.
std::map<std::string, double> plan_placement(const placement_input& input,
                                             const std::string& origin);

} // namespace pistachiospan::upstreams

#endif
