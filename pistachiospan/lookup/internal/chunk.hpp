// One chunk of a block table in its encoded form, which is also its form in memory.

#ifndef PISTACHIOSPAN_LOOKUP_INTERNAL_CHUNK_HPP
#define PISTACHIOSPAN_LOOKUP_INTERNAL_CHUNK_HPP

#include "pistachiospan/lookup/lookup.hpp"

namespace pistachiospan::lookup::internal
{

// Site of a range whose upper 64 bits are divided further; see `details`.
inline constexpr site_id detailed_site = 0xfffe;

// A range starts at `upper` and ends where the next one starts.
struct range
{
    std::uint64_t upper = 0;
    site_id site = no_site;
};

// A range inside one value of the upper 64 bits. The first one of each value has lower 0.
struct detail
{
    std::uint64_t upper = 0;
    std::uint64_t lower = 0;
    site_id site = no_site;
};

// Little-endian layout: u8 key width (2, 4 or 8), u8 shift, u16 0, u32 ranges, u32
// details, u64 first; samples: each 32nd key; keys: (upper - first) >> shift; u16 sites;
// details: u64, u64, u16. The samples fit into few cache lines, so that a search misses
// the cache about four times.
std::string encode_chunk(std::uint64_t first, std::span<const range> ranges,
                         std::span<const detail> details);

// Checks that the bytes are a chunk that find_in_chunk() can read without a check.
bool valid_chunk(std::string_view bytes, std::uint64_t first);

// `upper` is at or after the chunk's first.
// The bytes are a valid_chunk().
site_id find_in_chunk(const char* bytes, std::uint64_t upper, std::uint64_t lower);

// Index of the last border that is at most `wanted`. The first one is 0.
std::size_t last_border(std::span<const std::uint64_t> borders, std::uint64_t wanted);

} // namespace pistachiospan::lookup::internal

#endif
