#include "pistachiospan/route/internal/upstream_state.hpp"

#include <cmath>

namespace pistachiospan::route::internal
{

duration upstream_state::warm_step() const
{
    return this->warm_up / std::max<std::uint32_t>(this->total_slots - 1, 1);
}

std::uint32_t upstream_state::warm_limit(time_point now, const share& own) const
{
    if (!this->warm_start || now - *this->warm_start >= this->warm_up)
    {
        return unlimited;
    }
    const duration step = std::max(this->warm_step(), duration(1));
    const auto steps = static_cast<std::uint32_t>((now - *this->warm_start) / step);
    return part_of(std::min(1 + steps, this->total_slots), this->first_slot, own);
}

void upstream_state::add_latency(time_point now, duration sample, duration memory)
{
    const auto value = static_cast<double>(std::max(sample, duration(1)).count());
    const double present = this->latency_at(now, memory);
    const double passed = static_cast<double>((now - this->sampled).count());
    // Samples arrive at any rate; a floor on the weight lets rare ones count.
    const double old_weight =
        std::min(std::exp(-passed / static_cast<double>(memory.count())), 0.9);
    const bool rise = this->latency == 0 || value > present;
    this->latency = rise ? value : present * old_weight + value * (1 - old_weight);
    this->sampled = now;
}

double upstream_state::latency_at(time_point now, duration memory) const
{
    const double passed = static_cast<double>((now - this->sampled).count());
    return this->latency * std::exp(-passed / static_cast<double>(memory.count()));
}

} // namespace pistachiospan::route::internal
