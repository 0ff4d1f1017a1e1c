// Exact division of whole numbers between the VMs of a data centre.

#ifndef PISTACHIOSPAN_ROUTE_INTERNAL_SPLIT_HPP
#define PISTACHIOSPAN_ROUTE_INTERNAL_SPLIT_HPP

#include "pistachiospan/route/route.hpp"

#include <algorithm>
#include <limits>

namespace pistachiospan::route::internal
{

inline constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

// Units of `total` that a share owns when unit j belongs to index (first + j) % count.
// The sum over all indexes is `total`, and each part rises with `total`.
inline std::uint32_t part_of(std::uint32_t total, std::uint64_t first, const share& of)
{
    std::uint32_t sum = 0;
    for (const std::uint32_t index : of.indexes)
    {
        const auto start = static_cast<std::uint32_t>(first % of.count);
        const std::uint32_t distance = (index + of.count - start) % of.count;
        sum += total / of.count + (distance < total % of.count ? 1 : 0);
    }
    return sum;
}

// A limit that falls at once and rises only in grow().
struct held_limit
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
