#include "pistachiospan/route/route.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::route
{

shift_controller::shift_controller(shift_options options, time_point now,
                                   duration baseline)
    : options(options), baseline(baseline), next_decision(now + options.interval)
{
}

bool shift_controller::due(time_point now) const
{
    return now >= this->next_decision;
}

double shift_controller::fraction() const
{
    return std::min(this->options.step * this->steps, 1.0);
}

shift_controller::state shift_controller::update(time_point now,
                                                 const destination_sample& sample)
{
    this->next_decision = now + this->options.interval;
    const double latency = static_cast<double>(sample.latency.count());
    const double bound =
        static_cast<double>(this->baseline.count()) * this->options.max_latency_ratio;
    if (sample.samples > 0 && latency >= bound)
    {
        this->steps = std::max<std::uint32_t>(this->steps - 1, 1);
        this->next_decision += this->options.interval;
        return state::stepping_back;
    }
    const bool no_samples = sample.samples == 0 && sample.has_slots;
    if (no_samples ||
        (sample.has_slots && sample.free_fraction < this->options.min_free_fraction))
    {
        return state::waiting;
    }
    if (this->fraction() >= 1)
    {
        return state::done;
    }
    this->steps += 1;
    return state::advancing;
}

} // namespace pistachiospan::route
