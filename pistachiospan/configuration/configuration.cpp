#include "pistachiospan/configuration/configuration.hpp"

#include <numeric>

namespace pistachiospan::configuration
{

namespace
{

// Makes the choice of a target independent of other decisions that hash the request id.
constexpr std::uint64_t target_seed = 0x7a6c;

// Maps a hash to [0, 1).
double to_unit_interval(std::uint64_t hash)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(hash) / range;
}

} // namespace

state::state(content data) : data(std::move(data))
{
    for (const route& each : this->data.routes)
        this->routes_by_host[each.host].emplace(each.prefix, &each);
    for (const account& each : this->data.accounts)
        for (const std::string& key : each.keys)
            this->accounts_by_key.emplace(key, &each);
}

const route* state::find_route(std::string_view host, std::string_view path) const
{
    const auto routes = this->routes_by_host.find(host);
    if (routes == this->routes_by_host.end())
        return nullptr;
    // Prefixes end with a slash, so only the path's slashes need to be tried.
    std::size_t end = path.rfind('/');
    while (end != std::string_view::npos)
    {
        const auto found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end())
            return found->second;
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const account* state::find_account(std::string_view key) const
{
    const auto found = this->accounts_by_key.find(key);
    return found == this->accounts_by_key.end() ? nullptr : found->second;
}

const target& choose_target(const route& route, std::string_view request_id)
{
    const double total =
        std::accumulate(route.targets.begin(), route.targets.end(), 0.0,
                        [](double sum, const target& each) { return sum + each.weight; });
    double remaining = to_unit_interval(hash_bytes(request_id, target_seed)) * total;
    for (const target& each : route.targets)
    {
        if (remaining < each.weight)
            return each;
        remaining -= each.weight;
    }
    return route.targets.back();
}

} // namespace pistachiospan::configuration
