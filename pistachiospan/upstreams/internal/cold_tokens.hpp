// This VM's tokens for one cold upstream.
//
// All VMs share the upstream's rate, so with many of them each gets a token once in
// several seconds. A token that is not spent soon is lost: if VMs kept theirs while there
// is no demand, all could spend them in the same second (74 requests at 74 VMs, where 17
// are allowed).

#ifndef PISTACHIOSPAN_UPSTREAMS_INTERNAL_COLD_TOKENS_HPP
#define PISTACHIOSPAN_UPSTREAMS_INTERNAL_COLD_TOKENS_HPP

#include "pistachiospan/base/base.hpp"

namespace pistachiospan::upstreams::internal
{

class cold_tokens
{
public:
    // Starts with a fraction of a token.
    void begin(time_point now, double fraction);
    // Whether there is a token now; `rate`: tokens per second.
    bool has_token(time_point now, double rate);
    // Call only after has_token() has returned true.
    void spend();

private:
    double available = 0; // tokens
    time_point refilled_at;
};

} // namespace pistachiospan::upstreams::internal

#endif
