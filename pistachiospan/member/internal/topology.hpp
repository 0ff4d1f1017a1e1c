// The network of heartbeats between VMs: what its parts share.

#ifndef PISTACHIOSPAN_MEMBER_INTERNAL_TOPOLOGY_HPP
#define PISTACHIOSPAN_MEMBER_INTERNAL_TOPOLOGY_HPP

#include "pistachiospan/base/base.hpp"

namespace pistachiospan::member::internal
{

inline constexpr std::size_t relays_per_data_centre = 2;

// In a tree, a VM sends a request to a random other VM every third interval, and in a
// ring of data centres a relay sends one to its neighbour every second interval. Requests
// in every interval would cost the relays of 17 data centres with 43 VMs more than 2
// KB/s.
inline constexpr std::size_t rotation_interval = 3;
inline constexpr std::size_t ring_interval = 2;

// Smallest step k for which a ring of `size` nodes with links of lengths k and k+1 has at
// most k hops between any two nodes: such a ring reaches 2k^2+2k+1 nodes within k hops.
constexpr std::size_t ring_step(std::size_t size)
{
    std::size_t step = 1;
    while (2 * step * step + 2 * step + 1 < size)
        ++step;
    return step;
}

// Names of VMs and data centres in heartbeats.
inline std::uint32_t short_hash(std::string_view text)
{
    return static_cast<std::uint32_t>(hash_bytes(text));
}

} // namespace pistachiospan::member::internal

#endif
