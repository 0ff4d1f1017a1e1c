// HTTP listener for callers and operators, based on evhttp.

#ifndef PISTACHIOSPAN_DAEMON_INTERNAL_CALLER_LISTENER_HPP
#define PISTACHIOSPAN_DAEMON_INTERNAL_CALLER_LISTENER_HPP

#include "pistachiospan/entry/pipeline.hpp"
#include "pistachiospan/event_loop/event_loop.hpp"

#include <chrono>
#include <optional>
#include <unordered_map>
#include <unordered_set>

struct evhttp;
struct evhttp_request;
struct evhttp_connection;
struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evconnlistener;

namespace pistachiospan::daemon::internal
{

struct caller_listener_options
{
    std::string address; // ip:port
    std::size_t max_header = std::size_t{16} << 10U;
    std::size_t max_body = std::size_t{8} << 20U;
    std::size_t max_connections = 10000;
    duration idle_timeout = std::chrono::seconds(60);    // without a byte
    duration header_timeout = std::chrono::seconds(5);   // first byte to end of header
    duration request_timeout = std::chrono::seconds(60); // first to last byte
};

struct plain_answer
{
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
};

struct caller_listener_hooks
{
    // A request for a route of the catalogue. The handler must be called exactly once.
    std::function<entry::exchange_id(entry::caller_request, entry::answer_handler)>
        on_request;
    // The caller has closed its connection before the answer to this request.
    std::function<void(entry::exchange_id)> on_caller_disconnected;
    // Answers a request for a reserved path; nullopt if the path is not reserved.
    std::function<std::optional<plain_answer>(
        std::string_view path, std::string_view query, std::string_view body)>
        on_reserved;
};

struct bufferevent_decrementer
{
    void operator()(bufferevent* transport) const;
};
using transport_ptr = std::unique_ptr<bufferevent, bufferevent_decrementer>;

// Finds the end of a request's header, which is the first empty line, in input that
// arrives in pieces.
class header_scan
{
public:
    void feed(std::string_view piece);
    bool ended() const
    {
        return this->found;
    }

private:
    bool found = false;
    bool line_is_empty = false; // only CR since the last LF; false before the first LF
};

class caller_listener
{
public:
    // Throws std::system_error when the address cannot be bound.
    caller_listener(event_base* base, caller_listener_options options,
                    caller_listener_hooks hooks);
    ~caller_listener();
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;

    // Sends `Connection: close` with every further answer.
    void close_after_answers();

    std::size_t connections() const
    {
        return this->open_connections.size();
    }

private:
    using steady_time = std::chrono::steady_clock::time_point;

    // One connection. `http` is set at its first request; from then on evhttp reports the
    // end of the connection.
    struct connection
    {
        caller_listener* owner = nullptr;
        // Holds a reference of its own, because evhttp does not report the end of a
        // connection that has had no request.
        transport_ptr transport;
        evhttp_connection* http = nullptr;
        entry::exchange_id exchange = 0;          // in progress; 0: none
        std::uint64_t request_number = 0;         // of the request being served; 0: none
        std::optional<steady_time> request_start; // first byte of the request being read
        header_scan header;                       // of the request being read
    };

    // True if evhttp has ended the connection.
    static bool is_closed(const connection& from);
    static bufferevent* make_transport(event_base* base, void* user);
    static void on_input(evbuffer* input, const evbuffer_cb_info* info, void* user);
    bool header_is_late(const connection& from, steady_time now) const;
    void close_late_connections();
    void update_accepting();
    void serve_guarded(evhttp_request* call);
    void serve(evhttp_request* call);
    void forward(evhttp_request* call);
    void reply(evhttp_request* call, const entry::answer& answer);
    void send(evhttp_request* call, int status, std::string_view body);
    connection& connection_of(evhttp_request* call);
    void remove(const connection& closed);

    event_base* base;
    caller_listener_options options;
    caller_listener_hooks hooks;
    evhttp* server = nullptr;
    bool closing = false;
    std::uint64_t next_request_number = 1;
    evhttp_request* unanswered = nullptr; // while it is taken over
    // Requests that were answered after an error; a later answer to them is ignored.
    std::unordered_set<std::uint64_t> failed_requests;
    evconnlistener* listener = nullptr;
    std::unordered_map<bufferevent*, std::unique_ptr<connection>> open_connections;
    std::optional<event_loop::periodic_timer> check_timer;
};

} // namespace pistachiospan::daemon::internal

#endif
