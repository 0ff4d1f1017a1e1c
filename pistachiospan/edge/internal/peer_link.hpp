// Communication between VMs: datagrams, and relaying of the tables of the platform's
// store. One VM of a region reads the store and the others read its copies.

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
    // `from` is the peer address of the sending VM.
    std::function<void(const std::string& from, std::string_view datagram)> received;
    std::function<const mirror::table_mirror&(table)> copy;
};

// Request of one VM for the table changes of another.
struct relay_query
{
    table followed = table::operator_rows;
    std::uint64_t instance = 0; // copy that the cursor refers to
    std::uint64_t cursor = 0;
    duration wait{0};   // how long to wait for a change
    std::string reader; // peer address of the VM that asks; empty: an earlier version's
};

class peer_link
{
public:
    // Throws std::system_error if the address cannot be bound.
    peer_link(event_base* base, const std::string& address, peer_link_hooks hooks);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    // Sends without retries: a datagram that cannot be sent is dropped, because the next
    // report replaces it.
    void send(std::string_view datagram, std::span<const std::string> addresses);

    // Fetches the changes of a table from another VM. Errors: unavailable if it does not
    // answer, invalid_argument or limit_exceeded for an unreadable page.
    http1::call_id fetch(const std::string& address, const relay_query& query,
                         relay_handler done);
    void cancel(http1::call_id call);

    // Answers the pending requests for changes of this table.
    void publish(table changed);

    // True if the VM with this peer address reads tables from this one.
    bool is_read_by(time_point now, const std::string& address) const;

private:
    struct pending_query
    {
        http1::exchange_id exchange = 0;
        relay_query query;
        time_point deadline;
    };

    void receive();
    void answer(http1::exchange_id exchange, const http1::request& request);
    void respond(http1::exchange_id exchange, const relay_query& query);
    void expire();
    void answer_pending(const std::function<bool(const pending_query&)>& ready);

    std::string address; // own peer address
    peer_link_hooks hooks;
    int socket = -1;
    event_loop::event_ptr readable;
    http1::server table_server;
    http1::client client;
    std::vector<pending_query> pending;
    std::unordered_map<std::string, time_point> readers; // last query of each VM
    event_loop::periodic_timer expiry;
    std::unordered_map<std::string, sockaddr_in> parsed_addresses;
};

} // namespace pistachiospan::edge::internal

#endif
