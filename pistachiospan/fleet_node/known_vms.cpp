// What this VM knows of the other VMs: their coordinators, the sources of its tables and
// the addresses for callers.

#include "pistachiospan/fleet_node/fleet_node.hpp"

#include <algorithm>

namespace pistachiospan::fleet_node
{

namespace
{

// The content of the last digest is valid for this long.
constexpr duration digest_validity = std::chrono::milliseconds(2500);
// Tables are not copied from a VM whose own copies may be older: changes must be known
// within 2 s.
constexpr duration max_staleness = std::chrono::milliseconds(1500);

} // namespace

std::vector<fleet::coordinator_entry> node::known_coordinators(time_point now) const
{
    return this->local_cell.is_coordinator() ? this->membership.coordinators(now)
                                             : this->coordinators;
}

// Peer address of the data centre's coordinator if it is reachable; empty otherwise.
std::string node::reachable_coordinator(time_point now,
                                        const std::string& data_centre) const
{
    for (const fleet::coordinator_entry& each : this->known_coordinators(now))
        if (each.data_centre == data_centre && each.reachable)
            return each.peer_address;
    return {};
}

// Data centres whose coordinator is reachable, this one included.
std::vector<std::string> node::reachable_data_centres(time_point now) const
{
    std::vector<std::string> reachable = {this->options.data_centre};
    for (const fleet::coordinator_entry& each : this->known_coordinators(now))
        if (each.reachable && each.data_centre != this->options.data_centre)
            reachable.push_back(each.data_centre);
    std::ranges::sort(reachable);
    return reachable;
}

std::string node::reader(time_point now, duration own_store_age) const
{
    if (!this->local_cell.is_coordinator())
    {
        const duration age =
            now - this->coordinator_heard_at + this->coordinator_table_staleness;
        return age <= max_staleness ? this->local_cell.coordinator_address()
                                    : std::string();
    }
    const fleet::peer* found = this->membership.reader(now, own_store_age);
    if (found != nullptr)
        return found->last_report.peer_address;
    const fleet::report* member = own_store_age <= max_staleness
                                      ? nullptr
                                      : this->local_cell.reader(now, max_staleness);
    return member == nullptr ? std::string() : member->peer_address;
}

std::string node::remote_reader(time_point now) const
{
    const fleet::peer* found =
        this->local_cell.is_coordinator() ? this->membership.remote_reader(now) : nullptr;
    return found == nullptr ? std::string() : found->last_report.peer_address;
}

std::optional<node::informed_vm> node::best_informed(time_point now,
                                                     std::uint64_t operator_change,
                                                     std::uint64_t registry_change) const
{
    const fleet::report* best = nullptr;
    if (this->local_cell.current_role() != cell::role::member)
    {
        const fleet::peer* other =
            this->membership.best_informed(now, operator_change, registry_change);
        best = other == nullptr ? nullptr : &other->last_report;
        if (best != nullptr)
        {
            operator_change = std::max(operator_change, best->operator_change);
            registry_change = std::max(registry_change, best->registry_change);
        }
        const fleet::report* member =
            this->local_cell.best_informed(now, operator_change, registry_change);
        best = member == nullptr ? best : member;
    }
    else if (now - this->coordinator_heard_at <= digest_validity &&
             (this->coordinator.operator_change > operator_change ||
              this->coordinator.registry_change > registry_change))
        best = &this->coordinator;
    if (best == nullptr)
        return std::nullopt;
    return informed_vm{.vm = best->vm,
                       .peer_address = best->peer_address,
                       .operator_change = best->operator_change,
                       .registry_change = best->registry_change};
}

std::vector<std::string> node::addresses_for(time_point now, std::string_view region,
                                             std::string_view data_centre) const
{
    fleet::address_lists usable = this->other_vms(now);
    if (this->own_entry(this->hooks.state(now)).usable)
        usable[this->options.data_centre].push_back(this->options.caller_address);
    return fleet::addresses_for({.regions = this->options.places}, usable, region,
                                data_centre);
}

fleet::address_lists node::other_vms(time_point now) const
{
    fleet::address_lists usable;
    const fleet::vm_entry self = this->own_entry(this->hooks.state(now));
    if (this->local_cell.is_coordinator())
    {
        usable = this->membership.caller_addresses(now);
        usable[this->options.data_centre] =
            fleet::usable_addresses(this->local_cell.members(now, self));
    }
    else if (now - this->coordinator_heard_at <= digest_validity)
        usable = this->caller_addresses;
    std::erase(usable[this->options.data_centre], this->options.caller_address);
    return usable;
}

} // namespace pistachiospan::fleet_node
