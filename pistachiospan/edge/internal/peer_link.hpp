// Datagrams between the VMs, and the tables of the platform's store that one VM hands to
// another: one VM of a region reads the store, the others follow it.

#ifndef PISTACHIOSPAN_EDGE_INTERNAL_PEER_LINK_HPP
#define PISTACHIOSPAN_EDGE_INTERNAL_PEER_LINK_HPP

#include "pistachiospan/edge/edge.hpp"
#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/fleet/fleet.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/mirror/mirror.hpp"

#include <netinet/in.h>

namespace pistachiospan::edge::internal
{

using relay_handler = std::function<void(result<mirror::relay_page>)>;

struct peer_link_hooks
{
    // `from` is the peer address of the VM that sent it.
    std::function<void(const std::string& from, std::string_view datagram)> received;
    std::function<const mirror::table_mirror&(table)> copy;
};

// What a VM asks another for.
struct relay_query
{
    table followed = table::operator_rows;
    std::uint64_t instance = 0; // of the copy that the cursor counts in
    std::uint64_t cursor = 0;
    duration wait{0}; // for a change
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

    // Asks a VM for its changes. Errors: unavailable, invalid_argument.
    http1::call_id fetch(const std::string& address, const relay_query& query,
                         relay_handler done);
    void cancel(http1::call_id call);

    // Answers the VMs that wait for a change of this table.
    void publish(table changed);

private:
    struct waiting_query
    {
        http1::exchange_id exchange = 0;
        relay_query query;
        time_point until;
    };

    void receive();
    void answer(http1::exchange_id exchange, const http1::request& asked);
    void respond(http1::exchange_id exchange, const relay_query& query);
    void expire();
    void answer_waiting(const std::function<bool(const waiting_query&)>& ready);

    peer_link_hooks hooks;
    int socket = -1;
    event_loop::event_ptr readable;
    http1::server tables;
    http1::client client;
    std::vector<waiting_query> waiting;
    event_loop::periodic_timer expiry;
    std::unordered_map<std::string, sockaddr_in> parsed;
};

} // namespace pistachiospan::edge::internal

#endif
