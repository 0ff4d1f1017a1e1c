// Budget of one direction of a link between regions.

#ifndef PISTACHIOSPAN_ROUTE_INTERNAL_LINK_BUDGET_HPP
#define PISTACHIOSPAN_ROUTE_INTERNAL_LINK_BUDGET_HPP

#include "pistachiospan/base/base.hpp"

namespace pistachiospan::route::internal
{

// Two token buckets. Large bodies use only the shared one. Small requests use the
// reserved one first, so that uploads never use more than their fraction of the link.
class link_budget
{
public:
    // `rate` in bytes per second, `large_body_fraction` in (0, 1].
    void set_rate(time_point now, double rate, double large_body_fraction);

    // Takes `bytes` if the bucket has any tokens. A body larger than the bucket leaves a
    // negative balance, which delays later requests.
    bool admit(time_point now, std::uint64_t bytes, bool large);
    // Takes `bytes` that are sent without admission.
    void charge(time_point now, std::uint64_t bytes);
    // Bytes per second for large bodies.
    std::uint64_t large_rate() const;
    double bytes_per_second() const;

private:
    struct bucket
    {
        double rate = 0;
        double tokens = 0;
        void refill(duration elapsed);
    };

    void refill(time_point now);

    bucket shared;
    bucket reserved;
    time_point refilled{};
};

} // namespace pistachiospan::route::internal

#endif
