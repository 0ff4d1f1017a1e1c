// Conversions and hashes that the parts of the upstream set share.

#ifndef PISTACHIOSPAN_UPSTREAMS_INTERNAL_ARITHMETIC_HPP
#define PISTACHIOSPAN_UPSTREAMS_INTERNAL_ARITHMETIC_HPP

#include "pistachiospan/base/base.hpp"

#include <algorithm>

namespace pistachiospan::upstreams::internal
{

inline double micros(duration span)
{
    return static_cast<double>(span.count());
}

inline duration to_duration(double microseconds)
{
    return duration(static_cast<std::int64_t>(microseconds));
}

// Combines two hashes, using the finaliser of splitmix64.
inline std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t z = left ^ (right + 0x9e3779b97f4a7c15U + (left << 6U) + (left >> 2U));
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

// Maps a hash to the open interval (0, 1).
inline double to_unit_interval(std::uint64_t hash)
{
    constexpr double range = 9007199254740992.0; // 2^53
    return (static_cast<double>(hash >> 11U) + 0.5) / range;
}

inline double effective_slots(std::uint32_t slots)
{
    return std::max<std::uint32_t>(slots, 1);
}

} // namespace pistachiospan::upstreams::internal

#endif
