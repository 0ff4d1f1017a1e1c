// An average time that begins with an assumption and follows the samples.

#ifndef PISTACHIOSPAN_UPSTREAMS_INTERNAL_LEARNED_TIME_HPP
#define PISTACHIOSPAN_UPSTREAMS_INTERNAL_LEARNED_TIME_HPP

#include "pistachiospan/base/base.hpp"

#include <algorithm>

namespace pistachiospan::upstreams::internal
{

class learned_time
{
public:
    explicit learned_time(duration assumed = duration(0))
        : value(static_cast<double>(assumed.count()))
    {
    }

    double micros() const
    {
        return this->value;
    }

    // The first samples count by their number, later ones by `weight`. The assumption
    // counts as a few: a single odd sample must not replace it.
    void add(double sample, double weight)
    {
        constexpr double assumed_samples = 4;
        const double share = 1 / (assumed_samples + static_cast<double>(++this->samples));
        const double part = std::max(weight, share);
        this->value += (sample - this->value) * part;
    }

private:
    double value; // microseconds
    std::uint64_t samples = 0;
};

} // namespace pistachiospan::upstreams::internal

#endif
