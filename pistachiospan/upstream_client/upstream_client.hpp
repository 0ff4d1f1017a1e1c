// HTTP client for requests to upstreams: pooled evhttp connections, each of which carries
// one request at a time.
//
// Example:
//
//     client upstreams(base, {});
//     const call_id call = upstreams.send("127.0.0.1:8001", request, on_answer);
//     upstreams.cancel(call); // closes the connection, which the upstream can see
//
// Only complete responses to the request are passed on: a response without framing, a
// truncated one, one with a status outside 200 to 599, or one with another request id is
// an error, and its connection is closed.

#ifndef PISTACHIOSPAN_UPSTREAM_CLIENT_UPSTREAM_CLIENT_HPP
#define PISTACHIOSPAN_UPSTREAM_CLIENT_UPSTREAM_CLIENT_HPP

#include "pistachiospan/base/base.hpp"

#include <memory>
#include <vector>

struct event_base;

namespace pistachiospan::upstream_client
{

struct header
{
    std::string name;
    std::string value;
};

struct request
{
    std::string method; // GET, HEAD, POST, PUT, DELETE, PATCH or OPTIONS
    std::string target; // path and query
    std::string request_id;
    std::vector<header> headers;
    std::string body;
    duration timeout = std::chrono::seconds(10); // from now to the last byte
};

struct response
{
    int status = 0;
    std::vector<header> headers;
    std::string body;
};

struct client_options
{
    std::size_t max_response_body = std::size_t{8} << 20U; // bytes of one response's body
    std::size_t max_idle_connections = 8;                  // to one upstream
    duration idle_timeout = std::chrono::seconds(30);      // of one idle connection
};

// Errors: unavailable (no byte of the request was written, so it has not run),
// unknown_outcome and timeout (the upstream may have run the request).
using response_handler = std::function<void(result<response>)>;

using call_id = std::uint64_t;

class client
{
public:
    client(event_base* base, client_options options);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // Calls `done` exactly once, from the loop, unless the call is cancelled before that.
    // Exception: for an unsupported method or a malformed address, calls `done` before
    // returning, and returns 0.
    call_id send(const std::string& address, request outgoing, response_handler done);

    // Ends a call and closes its connection. The handler is not called.
    void cancel(call_id call);

    // Closes the idle connections to one upstream.
    void close_idle(const std::string& address);

    // Number of open connections to one upstream, busy and idle.
    std::size_t connections(const std::string& address) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace pistachiospan::upstream_client

#endif
