// The choice of the VMs that a caller is told.

#include "pistachiospan/fleet/fleet.hpp"

namespace pistachiospan::fleet
{

namespace
{

std::string_view region_of(const directory_options& options,
                           const std::string& data_centre)
{
    const auto found = options.regions.find(data_centre);
    return found == options.regions.end() ? std::string_view() : found->second;
}

} // namespace

std::vector<std::string> addresses_for(const directory_options& options,
                                       const address_lists& usable,
                                       std::string_view region,
                                       std::string_view data_centre)
{
    std::vector<std::string> here;
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const auto& [where, addresses] : usable)
    {
        all.insert(all.end(), addresses.begin(), addresses.end());
        if (region_of(options, where) == region)
            near.insert(near.end(), addresses.begin(), addresses.end());
        if (where == data_centre)
            here = addresses;
    }
    // One VM alone leaves its callers without another address when it fails.
    std::vector<std::string>& chosen =
        here.size() >= 2 ? here : (near.empty() ? all : near);
    if (chosen.size() > options.max_addresses)
        chosen.resize(options.max_addresses);
    return chosen;
}

} // namespace pistachiospan::fleet
