// Requests and replies between entry daemons over HTTP/2 streams (nghttp2 on libevent).
//
// Example:
//
//     peer_server server(base, {.address = "127.0.0.1:7101", .on_request = serve});
//     peer_client client(base, {.address = "127.0.0.1:7101"});
//     client.request("/message", bytes, std::chrono::seconds(1),
//                    [](result<std::string> reply) { ... });
//
// Bodies are opaque bytes. There is no authentication here: the layers above provide it.

#ifndef PISTACHIOSPAN_PEER_TRANSPORT_PEER_TRANSPORT_HPP
#define PISTACHIOSPAN_PEER_TRANSPORT_PEER_TRANSPORT_HPP

#include "pistachiospan/base/base.hpp"

#include <memory>

struct event_base;

namespace pistachiospan::peer_transport
{

using reply_handler = std::function<void(result<std::string>)>;

// Sends the reply to one request. May be called later, and at most once; it does nothing
// once the connection has ended. An error is sent as status 500 without a body.
using reply_sender = std::function<void(result<std::string>)>;

struct peer_server_options
{
    std::string address;                               // ip:port to listen on
    std::size_t max_body = std::size_t{9} * (1 << 20); // bytes of one request
    std::size_t max_connections = 1024;
    std::function<void(std::string_view path, std::string body, reply_sender reply)>
        on_request;
};

// Accepts connections from peers and passes their requests to `on_request`.
class peer_server
{
public:
    // Throws std::system_error when the address cannot be bound.
    peer_server(event_base* base, peer_server_options options);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

struct peer_client_options
{
    std::string address;                               // ip:port of the peer
    std::size_t max_body = std::size_t{9} * (1 << 20); // bytes of one reply
    duration connect_timeout = std::chrono::seconds(1);
    std::size_t max_pending = 4096; // requests without a reply
};

// One connection to one peer, opened on demand and reopened after a failure.
//
// Errors of a request: unavailable (the peer has not served it), unknown_outcome (the
// connection ended before the reply, or the peer replied with an error), timeout (the
// peer may still serve it), limit_exceeded (max_pending requests are pending; nothing was
// sent).
class peer_client
{
public:
    peer_client(event_base* base, peer_client_options options);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    // Calls `done` exactly once, unless the client is destroyed before that. If the
    // request can't be submitted, `done` is called before this function returns.
    void request(std::string_view path, std::string body, duration timeout,
                 reply_handler done);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace pistachiospan::peer_transport

#endif
