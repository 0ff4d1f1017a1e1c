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
    double headroom = 1.6; // slots for each one that is expected to be busy
};

// Parts of the requests from `origin` by data centre of the upstreams; they sum to one.
// Callers are taken to be even over the data centres. Each data centre serves its own
// callers as far as its slots go, then those of its region, then all others: bytes between
// data centres are the dearest way, and the room is uneven. Empty without any slots.
std::map<std::string, double> place(const placement_input& input,
                                    const std::string& origin);

} // namespace pistachiospan::upstreams

#endif
