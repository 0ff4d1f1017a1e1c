#include "pistachiospan/route/internal/link_budget.hpp"

#include <algorithm>

namespace pistachiospan::route::internal
{

namespace
{

// Capacity of a bucket in seconds of its rate. A full burst delays others by this time.
constexpr double burst_seconds = 0.02;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void link_budget::bucket::refill(duration elapsed)
{
    this->tokens = std::min(this->tokens + this->rate * seconds(elapsed),
                            this->rate * burst_seconds);
}

void link_budget::set_rate(time_point now, double rate, double large_body_fraction)
{
    const bool first = this->shared.rate == 0;
    this->refill(now);
    this->shared.rate = rate * large_body_fraction;
    this->reserved.rate = rate - this->shared.rate;
    if (first)
    {
        this->shared.tokens = this->shared.rate * burst_seconds;
        this->reserved.tokens = this->reserved.rate * burst_seconds;
    }
}

void link_budget::refill(time_point now)
{
    const duration elapsed = std::max(now - this->refilled, duration(0));
    this->shared.refill(elapsed);
    this->reserved.refill(elapsed);
    this->refilled = std::max(now, this->refilled);
}

bool link_budget::admit(time_point now, std::uint64_t bytes, bool large)
{
    this->refill(now);
    bucket& from = large || this->reserved.tokens <= 0 ? this->shared : this->reserved;
    if (from.tokens <= 0)
    {
        return false;
    }
    from.tokens -= static_cast<double>(bytes);
    return true;
}

void link_budget::charge(time_point now, std::uint64_t bytes)
{
    this->refill(now);
    this->shared.tokens -= static_cast<double>(bytes);
}

std::uint64_t link_budget::large_rate() const
{
    return static_cast<std::uint64_t>(this->shared.rate);
}

double link_budget::bytes_per_second() const
{
    return this->shared.rate + this->reserved.rate;
}

} // namespace pistachiospan::route::internal
