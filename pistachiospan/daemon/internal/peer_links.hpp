// Authenticated messages and relayed requests between this daemon and its peers.

#ifndef PISTACHIOSPAN_DAEMON_INTERNAL_PEER_LINKS_HPP
#define PISTACHIOSPAN_DAEMON_INTERNAL_PEER_LINKS_HPP

#include "pistachiospan/entry/messages.hpp"
#include "pistachiospan/peer_transport/peer_transport.hpp"
#include "pistachiospan/wire/wire.hpp"

#include <map>
#include <memory>

namespace pistachiospan::daemon::internal
{

struct peer_links_options
{
    vm_id self;
    incarnation self_incarnation = 0;
    std::string address; // ip:port of the peer listener
    std::string secret;
    duration message_timeout = std::chrono::seconds(2);
};

struct peer_links_hooks
{
    std::function<void(const wire::message&)> on_message;
    std::function<void(const vm_id& from, entry::relay_request, entry::answer_handler)>
        on_relay;
    // Input that was rejected, for the log. Optional.
    std::function<void(const error&)> on_rejected = nullptr;
};

// Totals since the start of the process.
struct peer_traffic
{
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0; // of sealed messages, without relayed bodies
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t rejected = 0; // messages and relayed requests
};

class peer_links
{
public:
    peer_links(event_base* base, peer_links_options options, peer_links_hooks hooks);

    // Sends a message without waiting for a confirmation. A lost message is not sent
    // again.
    void send(const vm_id& to, const std::string& address, std::string_view type,
              const wire::body& content);

    // Relays a request to a peer. Errors: those of peer_client; unknown_outcome for an
    // answer that is malformed, not from `to` or whose authentication code is wrong.
    void relay(const vm_id& to, const std::string& address,
               const entry::relay_request& outgoing, duration timeout,
               std::function<void(result<entry::relay_answer>)> done);

    const peer_traffic& traffic() const
    {
        return this->counters;
    }

private:
    peer_transport::peer_client& client_of(const std::string& address);
    void serve(std::string_view path, const std::string& body,
               const peer_transport::reply_sender& reply);
    void serve_message(std::string_view sealed);
    void serve_relay(std::string_view frame, const peer_transport::reply_sender& reply);
    std::string frame(const vm_id& to, std::string_view type, wire::body content,
                      std::string_view payload);
    // Authenticates a frame and returns its message and payload. Errors: invalid_argument
    // for a malformed frame, and those of wire::opener.
    result<std::pair<wire::message, std::string>> unframe(std::string_view bytes);
    void reject(const error& cause);

    event_base* base;
    peer_links_options options;
    peer_links_hooks hooks;
    wire::sealer sealer;
    wire::opener opener;
    peer_traffic counters;
    std::map<std::string, std::unique_ptr<peer_transport::peer_client>> clients;
    peer_transport::peer_server server;
};

} // namespace pistachiospan::daemon::internal

#endif
