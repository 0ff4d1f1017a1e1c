// Exact division of integer limits between the VMs of a data centre.

#ifndef PISTACHIOSPAN_ROUTE_INTERNAL_SPLIT_HPP
#define PISTACHIOSPAN_ROUTE_INTERNAL_SPLIT_HPP

#include "pistachiospan/route/route.hpp"

#include <algorithm>
#include <limits>

namespace pistachiospan::route::internal
{

inline constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

// Units of `total` that `owner` owns. The units are dealt round-robin: unit j belongs to
// index (first + j) % count. The sum over all indexes is `total`, and no part shrinks
// when `total` grows.
inline std::uint32_t owned_portion(std::uint32_t total, std::uint64_t first,
                                   const share& owner)
{
    std::uint32_t sum = 0;
    for (const std::uint32_t index : owner.indexes)
    {
        const auto start = static_cast<std::uint32_t>(first % owner.count);
        const std::uint32_t distance = (index + owner.count - start) % owner.count;
        sum += total / owner.count + (distance < total % owner.count ? 1 : 0);
    }
    return sum;
}

// A limit whose decreases apply at once and whose increases apply only in grow().
struct deferred_growth_limit
{
    std::uint32_t current = 0;
    std::uint32_t target = 0;

    void set(std::uint32_t next)
    {
        this->target = next;
        this->current = std::min(this->current, next);
    }

    void grow()
    {
        this->current = this->target;
    }
};

} // namespace pistachiospan::route::internal

#endif
