#include "pistachiospan/lookup/internal/chunk.hpp"

#include <algorithm>
#include <bit>
#include <cstring>
#include <limits>

namespace pistachiospan::lookup::internal
{

namespace
{

static_assert(std::endian::native == std::endian::little,
              "chunks are read in place; add byte swaps for a big-endian machine");

struct header
{
    std::uint8_t width = 0;
    std::uint8_t shift = 0;
    std::uint16_t zero = 0;
    std::uint32_t ranges = 0;
    std::uint32_t details = 0;
    std::uint32_t first_low = 0;
    std::uint32_t first_high = 0;
};

constexpr std::size_t detail_size = 18;
constexpr std::size_t sample_step = 32;

std::size_t sample_count(std::size_t ranges)
{
    return (ranges + sample_step - 1) / sample_step;
}

template <class T>
T read(const char* source)
{
    T value;
    std::memcpy(&value, source, sizeof(T));
    return value;
}

template <class T>
void append(std::string& output, T value)
{
    char bytes[sizeof(T)];
    std::memcpy(bytes, &value, sizeof(T));
    output.append(bytes, sizeof(T));
}

// Index of the last key that is at most `target`. The first key must be 0. Avoids
// branches that depend on the data, because half of them would be mispredicted.
template <class Key>
std::size_t last_at_most(const char* keys, std::size_t count, std::uint64_t target)
{
    const auto bound = static_cast<Key>(
        std::min<std::uint64_t>(target, std::numeric_limits<Key>::max()));
    std::size_t base = 0;
    while (count > 1)
    {
        const std::size_t half = count / 2;
        base += read<Key>(keys + (base + half) * sizeof(Key)) <= bound ? half : 0;
        count -= half;
    }
    return base;
}

template <class Key>
std::size_t search(const char* samples, std::size_t count, std::uint64_t target)
{
    const char* keys = samples + sample_count(count) * sizeof(Key);
    const std::size_t base =
        last_at_most<Key>(samples, sample_count(count), target) * sample_step;
    return base + last_at_most<Key>(keys + base * sizeof(Key),
                                    std::min(sample_step, count - base), target);
}

std::size_t search(const char* samples, std::uint8_t width, std::size_t count,
                   std::uint64_t target)
{
    switch (width)
    {
    case 2:
        return search<std::uint16_t>(samples, count, target);
    case 4:
        return search<std::uint32_t>(samples, count, target);
    default:
        return search<std::uint64_t>(samples, count, target);
    }
}

std::uint64_t first_of(const header& chunk_header)
{
    return (static_cast<std::uint64_t>(chunk_header.first_high) << 32U) |
           chunk_header.first_low;
}

template <class Key>
void append_keys(std::string& output, std::uint64_t first, unsigned shift,
                 std::span<const range> ranges)
{
    for (const std::size_t step : {sample_step, std::size_t{1}})
    {
        for (std::size_t at = 0; at < ranges.size(); at += step)
        {
            append(output, static_cast<Key>((ranges[at].upper - first) >> shift));
        }
    }
}

} // namespace

std::string encode_chunk(std::uint64_t first, std::span<const range> ranges,
                         std::span<const detail> details)
{
    std::uint64_t bits = 0;
    for (const range& each : ranges)
    {
        bits |= each.upper - first;
    }
    const unsigned shift = bits == 0 ? 0 : static_cast<unsigned>(std::countr_zero(bits));
    const std::uint64_t highest = bits >> shift;
    const unsigned width = highest <= 0xffff ? 2 : highest <= 0xffffffff ? 4 : 8;
    std::string bytes;
    bytes.reserve(sizeof(header) + ranges.size() * (width + sizeof(site_id)) +
                  sample_count(ranges.size()) * width + details.size() * detail_size);
    append(bytes, header{.width = static_cast<std::uint8_t>(width),
                         .shift = static_cast<std::uint8_t>(shift),
                         .ranges = static_cast<std::uint32_t>(ranges.size()),
                         .details = static_cast<std::uint32_t>(details.size()),
                         .first_low = static_cast<std::uint32_t>(first),
                         .first_high = static_cast<std::uint32_t>(first >> 32U)});
    switch (width)
    {
    case 2:
        append_keys<std::uint16_t>(bytes, first, shift, ranges);
        break;
    case 4:
        append_keys<std::uint32_t>(bytes, first, shift, ranges);
        break;
    default:
        append_keys<std::uint64_t>(bytes, first, shift, ranges);
        break;
    }
    for (const range& each : ranges)
    {
        append(bytes, each.site);
    }
    for (const detail& each : details)
    {
        append(bytes, each.upper);
        append(bytes, each.lower);
        append(bytes, each.site);
    }
    return bytes;
}

bool valid_chunk(std::string_view bytes, std::uint64_t first)
{
    if (bytes.size() < sizeof(header))
    {
        return false;
    }
    const auto chunk_header = read<header>(bytes.data());
    const bool known_width =
        chunk_header.width == 2 || chunk_header.width == 4 || chunk_header.width == 8;
    const std::uint64_t size =
        sizeof(header) +
        std::uint64_t{chunk_header.ranges} * (chunk_header.width + sizeof(site_id)) +
        std::uint64_t{sample_count(chunk_header.ranges)} * chunk_header.width +
        std::uint64_t{chunk_header.details} * detail_size;
    return known_width && chunk_header.shift < 64 && chunk_header.ranges > 0 &&
           size == bytes.size() && first_of(chunk_header) == first;
}

site_id find_in_chunk(const char* bytes, std::uint64_t upper, std::uint64_t lower)
{
    const auto chunk_header = read<header>(bytes);
    const char* samples = bytes + sizeof(header);
    const char* sites =
        samples +
        (chunk_header.ranges + sample_count(chunk_header.ranges)) * chunk_header.width;
    const std::uint64_t target = (upper - first_of(chunk_header)) >> chunk_header.shift;
    const std::size_t at =
        search(samples, chunk_header.width, chunk_header.ranges, target);
    const auto site = read<site_id>(sites + at * sizeof(site_id));
    if (site != detailed_site)
    {
        return site;
    }
    const char* details = sites + std::size_t{chunk_header.ranges} * sizeof(site_id);
    std::size_t base = 0;
    std::size_t count = chunk_header.details;
    const std::pair<std::uint64_t, std::uint64_t> address(upper, lower);
    while (count > 1)
    {
        const std::size_t half = count / 2;
        const char* middle = details + (base + half) * detail_size;
        const std::pair<std::uint64_t, std::uint64_t> start(
            read<std::uint64_t>(middle), read<std::uint64_t>(middle + 8));
        base += start <= address ? half : 0;
        count -= half;
    }
    return count == 0 ? no_site : read<site_id>(details + base * detail_size + 16);
}

std::size_t last_border(std::span<const std::uint64_t> borders, std::uint64_t target)
{
    const auto* bytes = reinterpret_cast<const char*>(borders.data());
    return last_at_most<std::uint64_t>(bytes, borders.size(), target);
}

} // namespace pistachiospan::lookup::internal
