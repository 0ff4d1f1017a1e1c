// Which shares an account is spread over.

#ifndef PISTACHIOSPAN_LIMIT_INTERNAL_HOMES_HPP
#define PISTACHIOSPAN_LIMIT_INTERNAL_HOMES_HPP

#include "pistachiospan/limit/internal/account.hpp"

namespace pistachiospan::limit::internal
{

// Limits of an account in one version of the catalogue.
struct limits
{
    capacity_rate total;
    std::uint32_t shares = 0; // into which the fleet is split
    std::uint32_t homes = 0;  // of these, the shares that own a part of the account
    bool operator==(const limits&) const = default;
};

// An account is spread over all shares if each part is a usable bucket (at least 4 tokens
// and 1 token per second), otherwise over as few as give such parts, but never fewer than
// `least_homes`, because the loss of one home loses its part of the account.
std::uint32_t count_homes(const capacity_rate& total, std::uint32_t shares,
                          std::uint32_t least_homes);

// Rendezvous hashing: a share is a home if it is among the `homes` with the highest hash.
bool is_home(std::uint64_t account, std::uint32_t share, const limits& of);

// The part of the account that share `share` owns.
capacity_rate part_of(std::uint64_t account, std::uint32_t share, const limits& of);

// All homes of the account.
std::vector<std::uint32_t> find_homes(std::uint64_t account, const limits& of);

} // namespace pistachiospan::limit::internal

#endif
