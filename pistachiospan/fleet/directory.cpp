// Selects the VM addresses returned to a caller.

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

std::vector<std::string> usable_addresses(std::span<const vm_entry> vms)
{
    std::vector<std::string> usable;
    for (const vm_entry& each : vms)
        if (each.usable)
            usable.push_back(each.caller_address);
    return usable;
}

std::vector<std::string> addresses_for(const directory_options& options,
                                       const address_lists& usable,
                                       std::string_view region,
                                       std::string_view data_centre)
{
    std::vector<std::string> in_data_centre;
    std::vector<std::string> in_region;
    std::vector<std::string> all;
    for (const auto& [each, addresses] : usable)
    {
        all.insert(all.end(), addresses.begin(), addresses.end());
        if (region_of(options, each) == region)
            in_region.insert(in_region.end(), addresses.begin(), addresses.end());
        if (each == data_centre)
            in_data_centre = addresses;
    }
    // With a single VM, its callers would have no other address when it fails.
    std::vector<std::string>& chosen = in_data_centre.size() >= 2
                                           ? in_data_centre
                                           : (in_region.empty() ? all : in_region);
    if (chosen.size() > options.max_addresses)
        chosen.resize(options.max_addresses);
    return chosen;
}

} // namespace pistachiospan::fleet
