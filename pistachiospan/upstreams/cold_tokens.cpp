#include "pistachiospan/upstreams/internal/cold_tokens.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::upstreams::internal
{

namespace
{

// All VMs together hold the tokens of this time at most. In one second they may spend
// these beside the second's own: a quarter above the rate.
constexpr double keep_seconds = 0.25;

} // namespace

void cold_tokens::begin(time_point now, double fraction)
{
    this->available = fraction;
    this->refilled_at = now;
}

bool cold_tokens::has_token(time_point now, double rate)
{
    const double elapsed = std::chrono::duration<double>(now - this->refilled_at).count();
    this->refilled_at = now;
    this->available += elapsed * rate;
    // Progress to the next token that may be made before a whole one is lost.
    const double kept = keep_seconds * rate;
    if (kept >= 1)
        this->available = std::min(this->available, 1.0);
    else if (this->available > 1 + kept)
    {
        this->available -= std::floor(this->available);
        if (this->available <= kept)
            this->available += 1;
    }
    return this->available >= 1;
}

void cold_tokens::spend()
{
    this->available -= 1;
}

} // namespace pistachiospan::upstreams::internal
