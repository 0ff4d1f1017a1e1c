// A moving average of times that starts from an assumed value.

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

    // Adds a sample in microseconds. The first samples are averaged by their number,
    // later ones with `weight`. The assumed value counts as several samples, so that a
    // single outlier does not replace it.
    void add(double sample, double weight)
    {
        constexpr double assumed_samples = 4;
        const double average_weight =
            1 / (assumed_samples + static_cast<double>(++this->samples));
        const double sample_weight = std::max(weight, average_weight);
        this->value += (sample - this->value) * sample_weight;
    }

private:
    double value; // microseconds
    std::uint64_t samples = 0;
};

} // namespace pistachiospan::upstreams::internal

#endif
