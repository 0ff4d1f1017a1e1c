#include "pistachiospan/limit/internal/homes.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <numeric>

namespace pistachiospan::limit::internal
{

namespace
{

constexpr amount least_rate = 1 * one_token;
constexpr amount least_capacity = 4 * one_token;

std::uint64_t weight(std::uint64_t account, std::uint32_t share)
{
    // Little-endian bytes, so that all VMs agree.
    std::array<char, 4> bytes{};
    for (std::size_t at = 0; at < bytes.size(); ++at)
        bytes[at] = static_cast<char>(share >> (8 * at));
    return hash_bytes({bytes.data(), bytes.size()}, account);
}

bool goes_before(std::uint64_t account, std::uint32_t left, std::uint32_t right)
{
    const std::uint64_t left_weight = weight(account, left);
    const std::uint64_t right_weight = weight(account, right);
    return left_weight > right_weight || (left_weight == right_weight && left < right);
}

} // namespace

std::uint32_t count_homes(const capacity_rate& total, std::uint32_t shares,
                          std::uint32_t least_homes)
{
    const amount usable =
        std::min(total.rate / least_rate, total.capacity / least_capacity);
    const amount wanted = std::max<amount>({usable, least_homes, 1});
    return static_cast<std::uint32_t>(std::min<amount>(wanted, shares));
}

bool is_home(std::uint64_t account, std::uint32_t share, const limits& of)
{
    if (share >= of.shares)
        return false;
    if (of.homes >= of.shares)
        return true;
    std::uint32_t before = 0;
    for (std::uint32_t other = 0; other < of.shares; ++other)
        if (other != share && goes_before(account, other, share) && ++before >= of.homes)
            return false;
    return true;
}

capacity_rate part_of(std::uint64_t account, std::uint32_t share, const limits& of)
{
    if (of.homes == 0 || !is_home(account, share, of))
        return {};
    // Rounded down: the parts never add up to more than the whole.
    return {.rate = of.total.rate / of.homes, .capacity = of.total.capacity / of.homes};
}

std::vector<std::uint32_t> find_homes(std::uint64_t account, const limits& of)
{
    std::vector<std::uint32_t> all(of.shares);
    std::iota(all.begin(), all.end(), 0U);
    if (of.homes >= of.shares)
        return all;
    std::partial_sort(all.begin(), all.begin() + of.homes, all.end(),
                      [&](std::uint32_t left, std::uint32_t right)
                      { return goes_before(account, left, right); });
    all.resize(of.homes);
    return all;
}

} // namespace pistachiospan::limit::internal
