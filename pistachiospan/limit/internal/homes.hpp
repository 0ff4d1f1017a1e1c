// Selection of the shares that own a part of an account.

#ifndef PISTACHIOSPAN_LIMIT_INTERNAL_HOMES_HPP
#define PISTACHIOSPAN_LIMIT_INTERNAL_HOMES_HPP

#include "pistachiospan/limit/internal/account.hpp"

namespace pistachiospan::limit::internal
{

// Limits of an account in one version of the catalogue. A share that owns a part of the
// account is called a home of it.
struct limits
{
    bucket_size total;
    std::uint32_t shares = 0; // number of shares into which the fleet is split
    std::uint32_t homes = 0;  // number of these that own a part of the account
    bool operator==(const limits&) const = default;
};

// Number of homes of an account: all shares if each part is a usable bucket (at least 4
// tokens and 1 token per second), otherwise as many as give such parts, but at least
// `min_homes`, because the loss of a home loses its part of the account.
std::uint32_t count_homes(const bucket_size& total, std::uint32_t shares,
                          std::uint32_t min_homes);

// Rendezvous hashing: a share is a home if it is among the `homes` with the highest hash.
bool is_home(std::uint64_t account, std::uint32_t share, const limits& bounds);

// The part of the account that share `share` owns.
bucket_size owned_portion(std::uint64_t account, std::uint32_t share,
                          const limits& bounds);

// All homes of the account.
std::vector<std::uint32_t> find_homes(std::uint64_t account, const limits& bounds);

} // namespace pistachiospan::limit::internal

#endif
