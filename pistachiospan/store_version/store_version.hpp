// Versions of what the platform's store holds, comparable although the store may come
// back from an older copy and give out its version numbers again.
//
// Example:
//
//     const std::uint64_t seen = store_version::make(1, 56);
//     const std::uint64_t now = store_version::make(2, 41); // after a restore
//     assert(now > seen);
//
// Each restore begins a generation. Versions of a later generation are later, whatever
// their numbers. That says nothing about the age of a row's content: a row of a restored
// copy has a version of the new generation and may hold what was replaced before.

#ifndef PISTACHIOSPAN_STORE_VERSION_STORE_VERSION_HPP
#define PISTACHIOSPAN_STORE_VERSION_STORE_VERSION_HPP

#include <cstdint>

namespace pistachiospan::store_version
{

// Bits of a version that hold the store's number. At a thousand writes a second they last
// for 34 years.
inline constexpr unsigned number_bits = 40;
inline constexpr std::uint64_t number_mask = (std::uint64_t{1} << number_bits) - 1;

constexpr std::uint64_t make(std::uint64_t generation, std::uint64_t number)
{
    return generation << number_bits | (number & number_mask);
}

constexpr std::uint64_t generation_of(std::uint64_t version)
{
    return version >> number_bits;
}

// The number that the store uses.
constexpr std::uint64_t number_of(std::uint64_t version)
{
    return version & number_mask;
}

} // namespace pistachiospan::store_version

#endif
