// This VM's use of the request limit that one upstream has named.
//
// A limit leaves room for a part of the upstream's objects only. If each request tried
// its luck for a token, all its objects would be spread over two upstreams, each of which
// knows a limited number. So every VM uses the upstream for the same part of the objects
// only, which shrinks with each refused token and grows with time.

#ifndef PISTACHIOSPAN_UPSTREAMS_INTERNAL_LIMIT_USE_HPP
#define PISTACHIOSPAN_UPSTREAMS_INTERNAL_LIMIT_USE_HPP

#include "pistachiospan/base/base.hpp"

#include <optional>

namespace pistachiospan::upstreams::internal
{

class limit_use
{
public:
    // Requests per second over all VMs; nullopt if there is no limit.
    const std::optional<double>& rate() const
    {
        return this->limit;
    }
    // Returns true if the rate has changed.
    bool set_rate(time_point now, std::optional<double> next);

    // Time until a token may be available; 0 if one may be now.
    duration wait(time_point now) const;
    // Fraction of its objects for which the upstream is used.
    double object_share(time_point now) const;
    // A token was refused; the next one is expected after `wait`.
    void note_refusal(time_point now, duration wait);

private:
    std::optional<double> limit;
    time_point used_up_until;
    double share = 1; // of the objects, at `shared_at`
    time_point shared_at;
};

} // namespace pistachiospan::upstreams::internal

#endif
