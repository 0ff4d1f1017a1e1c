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
    std::function<void(const error&)> report = nullptr; // refused input, for the log
};

struct peer_traffic
{
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0; // of sealed messages, without relayed bodies
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t refused = 0;
};

class peer_links
{
public:
    peer_links(event_base* base, peer_links_options options, peer_links_hooks hooks);

    // Sends without a confirmation; a message that is lost is not sent again.
    void send(const vm_id& to, const std::string& address, std::string_view type,
              const wire::body& content);

    // Errors as in peer_client. The answer's body is checked against its code.
    void relay(const vm_id& to, const std::string& address,
               const entry::relay_request& outgoing, duration timeout,
               std::function<void(result<entry::relay_answer>)> done);

    const peer_traffic& traffic() const
    {
        return this->counted;
    }

private:
    peer_transport::peer_client& client_of(const std::string& address);
    void serve(std::string_view path, const std::string& body,
               const peer_transport::reply_sender& reply);
    void serve_message(std::string_view sealed);
    void serve_relay(std::string_view frame, const peer_transport::reply_sender& reply);
    std::string frame(const vm_id& to, std::string_view type, wire::body content,
                      std::string_view payload);
    // Checks a frame and returns its message and payload.
    result<std::pair<wire::message, std::string>> unframe(std::string_view bytes);
    void refuse(const error& why);

    event_base* base;
    peer_links_options options;
    peer_links_hooks hooks;
    wire::sealer sealer;
    wire::opener opener;
    peer_traffic counted;
    std::map<std::string, std::unique_ptr<peer_transport::peer_client>> clients;
    peer_transport::peer_server server;
};

} // namespace pistachiospan::daemon::internal

#endif
