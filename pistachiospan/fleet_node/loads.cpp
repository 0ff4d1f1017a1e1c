// Connects the node to the exchange of the load of upstreams.

#include "pistachiospan/fleet_node/fleet_node.hpp"

namespace pistachiospan::fleet_node
{

internal::load_exchange_hooks node::load_hooks()
{
    return {
        .send = [this](std::string_view content, std::span<const std::string> addresses)
        { this->send(capacity_kind, content, addresses); },
        .loads = this->hooks.loads,
        .estimates = this->hooks.load_estimates,
        .log = this->hooks.log};
}

internal::load_peers node::load_peers() const
{
    if (this->local_cell.is_coordinator())
        return {.is_coordinator = true,
                .vms = this->local_cell.known_count(),
                .members = this->local_cell.member_addresses(),
                .coordinators = this->membership.peer_addresses()};
    internal::load_peers peers{.vms = this->local_cell.known_count()};
    if (this->local_cell.current_role() == cell::role::member)
        peers.coordinator = {this->local_cell.coordinator_address()};
    return peers;
}

} // namespace pistachiospan::fleet_node
