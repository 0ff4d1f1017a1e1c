// HTTP/1.1 server and client on a libevent loop. Parsing is by http-parser; connections,
// framing checks and reuse are here.
//
// Example:
//
//     server front(base, "10.1.0.8:8080", {.on_request = serve, .on_disconnect = abort});
//     client upstreams(base, {.correlation_header = "X-Request-Id"});
//     const call_id call = upstreams.send("10.1.0.9:80", request, {.timeout = 1s}, done);
//     front.respond(exchange, {.status = 200, .body = "ok"});
//
// evhttp isn't used for forwarding: it does not report a caller that leaves while its
// answer is pending, and its client takes an answer as complete whatever follows it.

#ifndef PISTACHIOSPAN_HTTP1_HTTP1_HPP
#define PISTACHIOSPAN_HTTP1_HTTP1_HPP

#include "pistachiospan/base/base.hpp"

#include <memory>
#include <optional>
#include <vector>

struct event_base;

namespace pistachiospan::http1
{

struct header
{
    std::string name;
    std::string value;
};

using header_list = std::vector<header>;

// The value of the first header of this name, without regard to case; null if absent.
const std::string* find_header(const header_list& headers, std::string_view name);

// The same value; empty if absent.
std::string header_value(const header_list& headers, std::string_view name);

bool equal_header_names(std::string_view left, std::string_view right);

// True for IPv4:port.
bool is_address(const std::string& text);

// True for headers that concern one connection only, by themselves or because
// `Connection` names them. Content-Length is one of them: each side frames its own body.
bool is_connection_header(const header_list& all, std::string_view name);

struct request
{
    std::string method;
    std::string target; // path and query
    header_list headers;
    std::string body;
};

struct response
{
    int status = 0;
    header_list headers;
    std::string body;
};

// Names one request received by a server.
using exchange_id = std::uint64_t;

struct server_limits
{
    std::size_t max_header = std::size_t{16} << 10U;   // bytes of a request's headers
    std::size_t max_body = std::size_t{64} << 20U;     // bytes of a request's body
    std::size_t max_buffered = std::size_t{64} << 20U; // bytes of all bodies together
    // At this number the connection that has been idle longest makes room for a new one.
    std::size_t max_connections = 2000;
    duration header_timeout = std::chrono::seconds(5); // from the first byte
    duration idle_timeout = std::chrono::seconds(30);  // between two requests
};

struct server_hooks
{
    // A whole request. respond() must be called once for it.
    std::function<void(exchange_id, request&&)> on_request;
    // The caller closed its connection before its answer; respond() is not needed.
    std::function<void(exchange_id)> on_disconnect = nullptr;
    // Makes the answer to a request that is refused before it is whole: 400, 408, 413,
    // 431, 503.
    std::function<response(int status)> make_refusal = nullptr;
};

class server
{
public:
    // Throws std::system_error if the address can't be bound.
    server(event_base* base, const std::string& address, server_hooks hooks);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    void set_limits(const server_limits& limits);

    // Sends an answer; ids whose caller has left are ignored. With `close` the connection
    // ends after the answer.
    void respond(exchange_id exchange, const response& answer, bool close = false);

    // Each further answer carries `Connection: close`.
    void begin_drain();
    // The same, and takes no connection but those that the kernel has already taken.
    void stop_accepting();
    // Closes the connections on which no request is being read or answered, and none is
    // likely to come in this moment. To be called again while there are connections.
    void close_idle();

    std::size_t connections() const;
    std::size_t pending() const; // requests without an answer

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

using call_id = std::uint64_t;

// How a call to a server ended.
enum class call_end
{
    answered,  // a whole answer to this request
    not_sent,  // no byte was written
    broken,    // written, no whole answer: it may have run
    timed_out, // written, no answer in time: it may have run
};

struct call_result
{
    call_end end = call_end::broken;
    response answer;
    std::string detail; // what broke, for logs
};

using call_handler = std::function<void(call_result)>;

struct call_options
{
    duration timeout = std::chrono::seconds(10); // from now to the last byte
    duration connect_timeout = std::chrono::milliseconds(400);
    // A kept connection that has been idle longer isn't used.
    duration max_idle_time = std::chrono::seconds(4);
};

struct client_options
{
    // Header that the server repeats from the request. An answer with another value
    // belongs to an earlier request and is dropped. Empty: answers aren't checked.
    std::string correlation_header;
    std::size_t max_response_body = std::size_t{16} << 20U; // bytes of one answer's body
    // Bytes of the bodies of all answers that are being read.
    std::size_t max_buffered = std::size_t{64} << 20U;
    std::size_t max_idle_connections = 16; // to one address
};

class client
{
public:
    client(event_base* base, client_options options);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // Calls `done` once, later from the loop, unless the call is cancelled.
    call_id send(const std::string& address, const request& outgoing,
                 const call_options& options, call_handler done);

    // Ends a call and closes its connection. The handler is not called.
    void cancel(call_id call);

    std::uint64_t connections_opened() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace pistachiospan::http1

#endif
