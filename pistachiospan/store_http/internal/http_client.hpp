// A bounded pool of evhttp connections to one address, and the queue of calls that wait
// for a free connection.

#ifndef PISTACHIOSPAN_STORE_HTTP_INTERNAL_HTTP_CLIENT_HPP
#define PISTACHIOSPAN_STORE_HTTP_INTERNAL_HTTP_CLIENT_HPP

#include "pistachiospan/base/base.hpp"
#include "pistachiospan/store_http/store_http.hpp"

#include <event2/http.h>

#include <deque>
#include <list>
#include <memory>

struct event;
struct evbuffer_cb_info;

namespace pistachiospan::store::internal
{

struct http_request
{
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string target; // path and query, percent-encoded
    std::string body;
    bool write = false; // decides between unavailable and unknown_outcome
};

// Receives the body of a 2xx response, or an error.
using http_handler = std::function<void(result<std::string>)>;

class http_client
{
public:
    http_client(event_base* base, http_platform_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    void call(http_request request, http_handler done);
    // Fails a call without sending a request. The handler is called from the loop, as for
    // all calls.
    void refuse(error reason, http_handler done);

private:
    struct event_deleter
    {
        void operator()(event* target) const;
    };
    struct connection_deleter
    {
        void operator()(evhttp_connection* target) const;
    };
    using event_ptr = std::unique_ptr<event, event_deleter>;

    // One call, from call() until its handler runs.
    struct exchange
    {
        http_client& client;
        http_request request;
        http_handler done;
        event_ptr timer;
        result<std::string> outcome = std::string();
    };
    using exchange_ptr = std::unique_ptr<exchange>;

    // One connection of the pool, and the call that uses it.
    struct slot
    {
        http_client& client;
        std::unique_ptr<evhttp_connection, connection_deleter> connection;
        exchange_ptr active;
        bool dispatched = false;         // bytes of the active call may have been sent
        bool response_too_large = false; // over max_response_body
    };

    static void on_process(int, short, void* user);
    static void on_timeout(int, short, void* user);
    static void on_response(evhttp_request* http_response, void* user);
    static void on_request_error(evhttp_request_error problem, void* user);
    static void on_output(evbuffer*, const evbuffer_cb_info* info, void* user);

    void process_queues();
    void deliver();
    void dispatch(slot& target_slot);
    void connect(slot& target_slot);
    void finish(slot& target_slot, result<std::string> outcome);
    void handle_timeout(exchange& expired);
    result<std::string> read_response(const slot& target_slot,
                                      evhttp_request* http_response) const;
    static error no_response_error(const slot& target_slot, std::string_view problem);
    void schedule_processing();

    event_base* base;
    http_platform_options options;
    std::string host;
    std::uint16_t port = 0;
    std::list<slot> slots;
    std::deque<exchange_ptr> waiting_calls;
    std::deque<exchange_ptr> finished_calls;
    event_ptr process_event;
};

} // namespace pistachiospan::store::internal

#endif
