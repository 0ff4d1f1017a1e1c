#include "pistachiospan/limit/internal/homes.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <numeric>

namespace pistachiospan::limit::internal
{

namespace
{

constexpr amount min_rate = 1 * one_token;
constexpr amount min_capacity = 4 * one_token;

std::uint64_t weight(std::uint64_t account, std::uint32_t share)
{
    // Little-endian on every platform, so that all VMs compute the same homes.
    std::array<char, 4> bytes{};
    for (std::size_t at = 0; at < bytes.size(); ++at)
        bytes[at] = static_cast<char>(share >> (8 * at));
    return hash_bytes({bytes.data(), bytes.size()}, account);
}

bool ranks_before(std::uint64_t account, std::uint32_t left, std::uint32_t right)
{
    const std::uint64_t left_weight = weight(account, left);
    const std::uint64_t right_weight = weight(account, right);
    return left_weight > right_weight || (left_weight == right_weight && left < right);
}

} // namespace

std::uint32_t count_homes(const bucket_size& total, std::uint32_t shares,
                          std::uint32_t min_homes)
{
    const amount usable = std::min(total.rate / min_rate, total.capacity / min_capacity);
    const amount wanted = std::max<amount>({usable, min_homes, 1});
    return static_cast<std::uint32_t>(std::min<amount>(wanted, shares));
}

bool is_home(std::uint64_t account, std::uint32_t share, const limits& bounds)
{
    if (share >= bounds.shares)
        return false;
    if (bounds.homes >= bounds.shares)
        return true;
    std::uint32_t before = 0;
    for (std::uint32_t other = 0; other < bounds.shares; ++other)
        if (other != share && ranks_before(account, other, share) &&
            ++before >= bounds.homes)
            return false;
    return true;
}

bucket_size owned_portion(std::uint64_t account, std::uint32_t share,
                          const limits& bounds)
{
    if (bounds.homes == 0 || !is_home(account, share, bounds))
        return {};
    // Rounded down, so that the parts never sum to more than the total.
    return {.rate = bounds.total.rate / bounds.homes,
            .capacity = bounds.total.capacity / bounds.homes};
}

std::vector<std::uint32_t> find_homes(std::uint64_t account, const limits& bounds)
{
    std::vector<std::uint32_t> all(bounds.shares);
    std::iota(all.begin(), all.end(), 0U);
    if (bounds.homes >= bounds.shares)
        return all;
    std::partial_sort(all.begin(), all.begin() + bounds.homes, all.end(),
                      [&](std::uint32_t left, std::uint32_t right)
                      { return ranks_before(account, left, right); });
    all.resize(bounds.homes);
    return all;
}

} // namespace pistachiospan::limit::internal
