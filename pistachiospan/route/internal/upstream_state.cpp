#include "pistachiospan/route/internal/upstream_state.hpp"

#include <cmath>

namespace pistachiospan::route::internal
{

duration upstream_state::warm_up_step() const
{
    return this->warm_up / std::max<std::uint32_t>(this->total_slots - 1, 1);
}

std::uint32_t upstream_state::warm_up_limit(time_point now, const share& own_share) const
{
    if (!this->warm_up_started_at || now - *this->warm_up_started_at >= this->warm_up)
    {
        return unlimited;
    }
    const duration step = std::max(this->warm_up_step(), duration(1));
    const auto steps =
        static_cast<std::uint32_t>((now - *this->warm_up_started_at) / step);
    return owned_portion(std::min(1 + steps, this->total_slots), this->first_slot,
                         own_share);
}

void upstream_state::add_latency(time_point now, duration sample, duration memory)
{
    const auto value = static_cast<double>(std::max(sample, duration(1)).count());
    const double present = this->latency_at(now, memory);
    const double elapsed = static_cast<double>((now - this->sampled_at).count());
    // Samples arrive at any rate. Each has a weight of at least 0.1, so that rare ones
    // count.
    const double old_weight =
        std::min(std::exp(-elapsed / static_cast<double>(memory.count())), 0.9);
    const bool rise = this->latency == 0 || value > present;
    this->latency = rise ? value : present * old_weight + value * (1 - old_weight);
    this->sampled_at = now;
}

double upstream_state::latency_at(time_point now, duration memory) const
{
    const double elapsed = static_cast<double>((now - this->sampled_at).count());
    return this->latency * std::exp(-elapsed / static_cast<double>(memory.count()));
}

} // namespace pistachiospan::route::internal
