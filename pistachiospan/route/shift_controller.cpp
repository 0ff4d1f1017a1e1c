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

double shift_controller::part() const
{
    return std::min(this->options.step * this->steps, 1.0);
}

shift_controller::state shift_controller::update(time_point now,
                                                 const destination_view& seen)
{
    this->next_decision = now + this->options.interval;
    const double latency = static_cast<double>(seen.latency.count());
    const double bound =
        static_cast<double>(this->baseline.count()) * this->options.latency_bound;
    if (seen.samples > 0 && latency >= bound)
    {
        this->steps = std::max<std::uint32_t>(this->steps - 1, 1);
        this->next_decision += this->options.interval;
        return state::stepping_back;
    }
    const bool silent = seen.samples == 0 && seen.owned;
    if (silent || (seen.owned && seen.headroom < this->options.least_headroom))
    {
        return state::waiting;
    }
    if (this->part() >= 1)
    {
        return state::done;
    }
    this->steps += 1;
    return state::advancing;
}

} // namespace pistachiospan::route
