#include "pistachiospan/upstreams/internal/limit_use.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::upstreams::internal
{

namespace
{

// A refusal takes away this part of the objects.
constexpr double refusal_factor = 0.9;
// Time constant with which the part of the objects grows again.
constexpr duration growth_time = std::chrono::seconds(5);
// Enough to notice when the limit has room again.
constexpr double min_share = 0.01;
// Least time until the next token is asked for.
constexpr duration min_wait = std::chrono::milliseconds(10);

} // namespace

bool limit_use::set_rate(time_point now, std::optional<double> next)
{
    if (next == this->limit)
        return false;
    const bool changes = next && this->limit && *this->limit > 0;
    const double scale = changes ? *next / *this->limit : 1;
    this->share =
        changes ? std::clamp(this->object_share(now) * scale, min_share, 1.0) : 1;
    this->shared_at = now;
    this->limit = next;
    this->used_up_until = {};
    return true;
}

duration limit_use::wait(time_point now) const
{
    return this->limit ? std::max(this->used_up_until - now, duration(0)) : duration(0);
}

double limit_use::object_share(time_point now) const
{
    if (!this->limit)
        return 1;
    const auto elapsed = static_cast<double>((now - this->shared_at).count());
    return std::min(
        1.0, this->share * std::exp(elapsed / static_cast<double>(growth_time.count())));
}

void limit_use::note_refusal(time_point now, duration wait)
{
    this->share = std::max(this->object_share(now) * refusal_factor, min_share);
    this->shared_at = now;
    this->used_up_until = now + std::max(wait, min_wait);
}

} // namespace pistachiospan::upstreams::internal
