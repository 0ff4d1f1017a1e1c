#include "pistachiospan/upstreams/internal/availability.hpp"

#include <algorithm>

namespace pistachiospan::upstreams::internal
{

namespace
{

constexpr std::uint32_t most_doublings = 8;

// An upstream that answered with this many requests in flight has returned.
constexpr std::uint32_t returned = 16;

} // namespace

bool availability::takes_work(time_point now, std::uint32_t in_flight) const
{
    if (this->is_ejected(now) || now < this->paused_until)
        return false;
    return this->most_in_flight == 0 || in_flight < this->most_in_flight;
}

duration availability::pause_left(time_point now) const
{
    return std::max(this->paused_until - now, duration(0));
}

void availability::note_answer(time_point now)
{
    this->failures = 0;
    this->ejections = 0;
    // An answer to a request from before the pause says nothing about the return.
    if (now < this->paused_until)
        return;
    this->most_in_flight =
        this->most_in_flight >= returned ? 0 : this->most_in_flight * 2;
}

void availability::note_failure(time_point now, const availability_options& options)
{
    if (++this->failures >= options.failures_before_ejection)
        this->eject(now, options);
}

void availability::eject(time_point now, const availability_options& options)
{
    const duration span = std::min(options.first_ejection * (1U << this->ejections),
                                   options.longest_ejection);
    this->ejections = std::min(this->ejections + 1, most_doublings);
    this->ejected_until = now + span;
    this->failures = 0;
}

void availability::pause(time_point now, duration span,
                         const availability_options& options)
{
    const time_point until = now + std::min(span, options.longest_pause);
    this->paused_until = std::max(this->paused_until, until);
    this->most_in_flight = 1;
}

} // namespace pistachiospan::upstreams::internal
