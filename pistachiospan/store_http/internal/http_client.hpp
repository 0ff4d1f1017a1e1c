// A bounded set of evhttp connections to one address, and the calls waiting for them.

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

// Receives the body of a 2xx answer.
using http_handler = std::function<void(result<std::string>)>;

class http_client
{
public:
    http_client(event_base* base, http_platform_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    void call(http_request request, http_handler done);
    // Ends a call without a request, as all calls end: later, from the loop.
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

    // One call, from call() to its handler.
    struct exchange
    {
        http_client& client;
        http_request request;
        http_handler done;
        event_ptr timer;
        result<std::string> outcome = std::string();
    };
    using exchange_ptr = std::unique_ptr<exchange>;

    // One connection and the call that uses it.
    struct slot
    {
        http_client& client;
        std::unique_ptr<evhttp_connection, connection_deleter> connection;
        exchange_ptr active;
        bool dispatched = false; // bytes of the active call may have been sent
        bool too_long = false;   // the answer exceeded max_response_body
    };

    static void on_pump(int, short, void* self);
    static void on_timeout(int, short, void* pending);
    static void on_answer(evhttp_request* answer, void* used);
    static void on_request_error(evhttp_request_error problem, void* used);
    static void on_output(evbuffer*, const evbuffer_cb_info* change, void* used);

    void pump();
    void deliver();
    void dispatch(slot& free_slot);
    void connect(slot& target);
    void finish(slot& used, result<std::string> outcome);
    void end_in_time(exchange& late);
    result<std::string> read_answer(const slot& used, evhttp_request* answer) const;
    static error unanswered(const slot& used, std::string_view problem);
    void wake();

    event_base* base;
    http_platform_options options;
    std::string host;
    std::uint16_t port = 0;
    std::list<slot> slots;
    std::deque<exchange_ptr> waiting;
    std::deque<exchange_ptr> finished;
    event_ptr pump_event;
};

} // namespace pistachiospan::store::internal

#endif
