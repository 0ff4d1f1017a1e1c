// Whether this VM reaches any upstream at all.

#ifndef PISTACHIOSPAN_UPSTREAMS_INTERNAL_REACHABILITY_HPP
#define PISTACHIOSPAN_UPSTREAMS_INTERNAL_REACHABILITY_HPP

#include "pistachiospan/base/base.hpp"

#include <map>
#include <string>

namespace pistachiospan::upstreams::internal
{

struct reachability_options
{
    // Different upstreams that must have failed since the last contact with any.
    std::size_t min_failed = 3;
    // Time since that contact: upstreams that crash together fail within moments.
    duration min_silence = std::chrono::milliseconds(300);
    // Failures are remembered for this long.
    duration memory = std::chrono::seconds(3);
};

// A VM is cut off from the upstreams when several of them have failed it, and none has
// answered or accepted a connection since.
class reachability
{
public:
    explicit reachability(reachability_options options = {}) : options(options) {}

    // An attempt that was sent at `sent_at` has failed at this upstream.
    void note_failure(time_point now, time_point sent_at, const std::string& upstream);
    // An upstream has answered or accepted a connection. Returns true if this VM was cut
    // off until now.
    bool note_contact(time_point now);
    bool is_cut_off(time_point now) const;

private:
    reachability_options options;
    std::map<std::string, time_point> failed;
    time_point last_contact;
    bool cut_off = false; // until the next contact
};

} // namespace pistachiospan::upstreams::internal

#endif
