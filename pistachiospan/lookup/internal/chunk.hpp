// Encoding of one chunk of a block table. Look-ups read the encoded form in place.

#ifndef PISTACHIOSPAN_LOOKUP_INTERNAL_CHUNK_HPP
#define PISTACHIOSPAN_LOOKUP_INTERNAL_CHUNK_HPP

#include "pistachiospan/lookup/lookup.hpp"

namespace pistachiospan::lookup::internal
{

// Marks a range that covers a single value of the upper 64 bits and is divided further by
// `details`.
inline constexpr site_id detailed_site = 0xfffe;

// A range of addresses that starts at `upper` and ends where the next one starts.
struct range
{
    std::uint64_t upper = 0;
    site_id site = no_site;
};

// A range within one value of the upper 64 bits. The first detail of each value has
// lower == 0.
struct detail
{
    std::uint64_t upper = 0;
    std::uint64_t lower = 0;
    site_id site = no_site;
};

// Layout, little-endian:
//   header: u8 width of a key (2, 4 or 8), u8 shift, u16 0, u32 number of ranges, u32
//           number of details, u64 first
//   samples: every 32nd key
//   keys: (upper - first) >> shift
//   sites: u16 each
//   details: u64 upper, u64 lower, u16 site each
// The samples fit into few cache lines, so a search has about four cache misses.
std::string encode_chunk(std::uint64_t first, std::span<const range> ranges,
                         std::span<const detail> details);

// Whether find_in_chunk() can read the bytes without bounds checks.
bool valid_chunk(std::string_view bytes, std::uint64_t first);

// Requires valid_chunk() for the bytes, and `upper` at or after the start of the chunk.
site_id find_in_chunk(const char* bytes, std::uint64_t upper, std::uint64_t lower);

// Index of the last border that is at most `target`. The first border must be 0.
std::size_t last_border(std::span<const std::uint64_t> borders, std::uint64_t target);

} // namespace pistachiospan::lookup::internal

#endif
