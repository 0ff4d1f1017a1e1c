// HTTP/1.1 server and client on a libevent loop. Boost.Beast parses the messages; this
// library manages connections and their reuse, and checks the framing.
//
// Example:
//
//     server front(base, "10.1.0.8:8080", {.on_request = serve, .on_disconnect = abort});
//     client upstreams(base, {.correlation_header = "X-Request-Id"});
//     const call_id call = upstreams.send("10.1.0.9:80", request, {.timeout = 1s}, done);
//     front.respond(exchange, {.status = 200, .body = "ok"});
//
// evhttp isn't used for forwarding: its server does not report a caller that disconnects
// while its response is pending, and its client accepts a response as complete whatever
// bytes follow it.

#ifndef PISTACHIOSPAN_HTTP1_HTTP1_HPP
#define PISTACHIOSPAN_HTTP1_HTTP1_HPP

#include "pistachiospan/base/base.hpp"

#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
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

// Returns the value of the first header of this name, ignoring case; null if absent.
const std::string* find_header(const header_list& headers, std::string_view name);

// Returns a copy of the value of the first header of this name; empty if absent.
std::string header_value(const header_list& headers, std::string_view name);

// Compares ignoring the case of ASCII letters.
bool equal_header_names(std::string_view left, std::string_view right);

// True if the text is IPv4:port.
bool is_address(const std::string& text);

// The hop-by-hop headers of a message: those that always concern one connection only, and
// those that `Connection` lists. Content-Length counts as one, because each side frames
// its own bodies. The list is read once, so that the work for a message grows linearly
// with its head.
class connection_headers
{
public:
    explicit connection_headers(const header_list& all);

    // Compares ignoring the case of ASCII letters.
    bool contains(std::string_view name) const;

private:
    std::unordered_set<std::string> names; // in lower case
};

struct request
{
    std::string method;
    std::string target; // path and query
    header_list headers;
    std::string body;
    // A server sets it: when the request's first byte was in this process. It may have
    // waited for earlier requests of its connection since.
    time_point received_at{};
};

struct response
{
    int status = 0;
    header_list headers;
    std::string body;
};

// Identifies one request received by a server.
using exchange_id = std::uint64_t;

struct server_limits
{
    std::size_t max_header = std::size_t{16} << 10U; // bytes of a request's headers
    std::size_t max_body = std::size_t{64} << 20U;   // bytes of a request's body
    // Bytes that all bodies together hold in memory.
    std::size_t max_buffered = std::size_t{64} << 20U;
    // When this number is reached, the connection that has been idle longest is closed.
    std::size_t max_connections = 2000;
    duration header_timeout = std::chrono::seconds(5); // from the first byte
    duration idle_timeout = std::chrono::seconds(30);  // between two requests
    // Of one connection, with server_hooks::may_overlap. Beyond these, reading pauses:
    // nothing is refused.
    std::size_t max_pipelined = 16; // requests without an answer
    // Bytes of answers that wait for an earlier one, or for the caller to read them.
    std::size_t max_waiting_answers = std::size_t{256} << 10U;
};

// A connection whose reading pauses at one of its bounds.
struct pipeline_pause
{
    std::size_t unanswered = 0;    // requests
    std::size_t waiting_bytes = 0; // of answers
};

// Since the start of the process, over all connections.
struct pipelining_counts
{
    std::uint64_t overlapped = 0; // requests passed on before earlier ones were answered
    std::uint64_t held = 0; // requests that must not overlap and waited for earlier ones
    std::uint64_t pauses = 0;        // connections that reached a bound
    std::size_t most_unanswered = 0; // requests of one connection at the same time
};

struct server_hooks
{
    // A complete request was received. respond() must be called once for it.
    std::function<void(exchange_id, request&&)> on_request;
    // The caller closed its connection, or its sending side, before the response;
    // respond() is not needed. Called for each request of the connection without one.
    std::function<void(exchange_id)> on_disconnect = nullptr;
    // Builds the response to a request that is refused before it is complete (400, 408,
    // 413, 431 or 503). Without this hook, the response has only the status.
    std::function<response(int status)> make_refusal = nullptr;
    // Whether the request may be passed on while earlier requests of its connection have
    // no answer. Called with the complete headers, before the body has been read. It must
    // not call the server. Without this hook, requests of a connection are handled one at
    // a time.
    std::function<bool(const request&)> may_overlap = nullptr;
    // A connection has reached one of its bounds for the first time.
    std::function<void(const pipeline_pause&)> on_pause = nullptr;
};

class server
{
public:
    // Throws std::system_error if the address can't be bound, std::invalid_argument if it
    // is not IPv4:port.
    server(event_base* base, const std::string& address, server_hooks hooks);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    void set_limits(const server_limits& limits);

    // Sends a response as soon as all earlier requests of its connection have theirs. Ids
    // whose caller has disconnected are ignored. With `close`, no further request is
    // read, and the connection is closed after the response to the last one that was
    // passed on.
    void respond(exchange_id exchange, const response& outgoing, bool close = false);

    // From now on, the response to the last request that has been passed on closes its
    // connection. Callers send requests behind it again.
    void begin_drain();
    // Like begin_drain(), and also stops listening. Connections that the kernel has
    // already accepted are still served.
    void stop_accepting();
    // Closes the connections on which no request is being read or answered, except those
    // that became idle so recently that the next request may be on its way. Call it
    // repeatedly until there are no connections.
    void close_idle();

    std::size_t connections() const;
    std::size_t pending() const; // requests without a response
    pipelining_counts pipelining() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

using call_id = std::uint64_t;

// How a call to a server ended.
enum class call_end
{
    answered,  // a complete response to this request was received
    not_sent,  // no byte was written
    broken,    // written, but no complete response: it may have run
    timed_out, // written, but no response before the timeout: it may have run
};

struct call_result
{
    call_end end = call_end::broken;
    response answer;
    // broken: the server closed or reset the connection.
    bool closed_by_server = false;
    bool refused = false;                // not_sent: nothing listens at the address
    bool has_correlation = false;        // answered: the answer carries the request's id
    bool is_first_on_connection = false; // no call was sent on its connection before
    std::string detail;                  // the cause of a failure, for logs
};

using call_handler = std::function<void(call_result)>;

struct call_options
{
    duration timeout = std::chrono::seconds(10); // from send() to the last byte
    duration connect_timeout = std::chrono::milliseconds(400);
    // A connection that has been idle for longer is not reused.
    duration max_idle_time = std::chrono::seconds(4);
};

struct client_options
{
    // Header that the server copies from the request to the response. A response with
    // another value belongs to an earlier request and is dropped. A request that is sent
    // again with the same value gets another connection. If empty, responses aren't
    // checked.
    std::string correlation_header;
    std::size_t max_response_body = std::size_t{16}
                                    << 20U; // bytes of one response's body
    // Bytes that the bodies of all responses being read hold in memory.
    std::size_t max_buffered = std::size_t{64} << 20U;
    std::size_t max_idle_connections = 16; // to one address
    // Called when the server at the address has closed or reset all connections to it,
    // two or more, within 100 ms. Must not call the client.
    std::function<void(const std::string& address)> connections_ended = nullptr;
};

// What a server did with a new connection.
enum class connect_outcome
{
    accepted,
    refused, // nothing listens at the address
    unclear, // no answer in time, or another failure
};

class client
{
public:
    client(event_base* base, client_options options);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // Calls `done` once, from the loop and never within send(), unless the call is
    // cancelled.
    call_id send(const std::string& address, const request& outgoing,
                 const call_options& options, call_handler done);

    // Ends a call and closes its connection. The handler is not called.
    void cancel(call_id call);

    // Opens a connection and closes it again. Calls `done` once, from the loop and never
    // within check_connect(), unless the client is destroyed.
    void check_connect(const std::string& address, duration timeout,
                       std::function<void(connect_outcome)> done);

    std::uint64_t connections_opened() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace pistachiospan::http1

#endif
