// Datagrams between the VMs, and the tables that a VM hands to one that can't reach the
// platform's store.

#ifndef PISTACHIOSPAN_EDGE_INTERNAL_PEER_LINK_HPP
#define PISTACHIOSPAN_EDGE_INTERNAL_PEER_LINK_HPP

#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/fleet/fleet.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/mirror/mirror.hpp"

#include <netinet/in.h>

namespace pistachiospan::edge::internal
{

struct peer_tables
{
    mirror::page operator_rows;
    mirror::page upstreams;
};

struct peer_link_hooks
{
    std::function<void(std::string_view datagram)> received;
    std::function<peer_tables()> tables;
};

class peer_link
{
public:
    // Throws std::system_error if the address can't be bound.
    peer_link(event_base* base, const std::string& address, peer_link_hooks hooks);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    // A datagram that can't be sent is dropped; the next report replaces it.
    void send(std::string_view datagram, std::span<const std::string> addresses);

    // Asks a VM for its tables. Errors: unavailable, invalid_argument.
    void fetch(const std::string& address,
               std::function<void(result<peer_tables>)> done);

private:
    void receive();

    peer_link_hooks hooks;
    int socket = -1;
    event_loop::event_ptr readable;
    http1::server tables;
    http1::client client;
    std::unordered_map<std::string, sockaddr_in> parsed;
};

} // namespace pistachiospan::edge::internal

#endif
