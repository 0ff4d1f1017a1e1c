#include "pistachiospan/upstreams/internal/availability.hpp"

#include <algorithm>

namespace pistachiospan::upstreams::internal
{

namespace
{

constexpr std::uint32_t max_doublings = 8;

// Bound on the requests in flight at which the return from a pause is complete.
constexpr std::uint32_t full_return_in_flight = 16;

} // namespace

bool availability::takes_work(time_point now, std::uint32_t in_flight) const
{
    if (this->is_ejected(now) || now < this->paused_until)
        return false;
    return this->max_in_flight == 0 || in_flight < this->max_in_flight;
}

duration availability::pause_left(time_point now) const
{
    return std::max(this->paused_until - now, duration(0));
}

void availability::note_answer(time_point now)
{
    this->failures = 0;
    this->ejections = 0;
    // An answer to a request sent before the pause does not start the return.
    if (now < this->paused_until)
        return;
    this->max_in_flight =
        this->max_in_flight >= full_return_in_flight ? 0 : this->max_in_flight * 2;
}

void availability::note_failure(time_point now, const availability_options& options)
{
    if (++this->failures >= options.failures_before_ejection)
        this->eject(now, options);
}

void availability::eject(time_point now, const availability_options& options)
{
    const duration span =
        std::min(options.first_ejection * (1U << this->ejections), options.max_ejection);
    this->ejections = std::min(this->ejections + 1, max_doublings);
    this->ejected_until = now + span;
    this->failures = 0;
}

void availability::pause(time_point now, duration span,
                         const availability_options& options)
{
    const time_point until = now + std::min(span, options.max_pause);
    this->paused_until = std::max(this->paused_until, until);
    this->max_in_flight = 1;
}

} // namespace pistachiospan::upstreams::internal
