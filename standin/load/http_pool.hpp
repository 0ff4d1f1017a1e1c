// HTTP client of the load tool: kept-alive evhttp connections to several addresses,
// bounded for each address. Bodies are generated and checked without being kept.

#ifndef PISTACHIOSPAN_STANDIN_LOAD_HTTP_POOL_HPP
#define PISTACHIOSPAN_STANDIN_LOAD_HTTP_POOL_HPP

#include "standin/common/event.hpp"
#include "standin/load/body_check.hpp"

#include <deque>
#include <list>
#include <map>
#include <vector>

struct evbuffer;
struct evbuffer_cb_info;

namespace pistachiospan::standin
{

struct pool_request
{
    std::string address; // ip:port
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string target; // path and query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body_head;         // first bytes of the body
    std::uint64_t body_filler = 0; // bytes after the head
    duration timeout = std::chrono::seconds(10);
    bool keep_body = false; // true: the whole body is in pool_answer::body
};

enum class pool_end
{
    answered, // complete, whatever its status
    cut,      // connection lost after the request was sent, at least in part
    timed_out,
    not_connected, // nothing was sent
};

struct pool_answer
{
    pool_end end = pool_end::answered;
    int status = 0;
    std::string retry_after;
    std::string request_id;
    bool not_run = false;
    bool drain = false;
    body_check body;
    std::string kept; // only with keep_body
    time_point ended;
};

using pool_handler = std::function<void(pool_answer)>;

struct http_pool_options
{
    std::size_t max_connections = 256; // for each address
};

// Handlers are called from the loop, never from within a call.
class http_pool
{
public:
    http_pool(event_base* base, http_pool_options options);
    ~http_pool();
    http_pool(const http_pool&) = delete;
    http_pool& operator=(const http_pool&) = delete;

    void call(pool_request request, pool_handler done);

private:
    struct line;
    struct host;
    struct pending_call;
    using call_ptr = std::unique_ptr<pending_call>;

    static void on_pump(int, short, void* self);
    static void on_timeout(int, short, void* late);
    static void on_part(evhttp_request* answer, void* used);
    static void on_answer(evhttp_request* answer, void* used);
    static void on_output(evbuffer*, const evbuffer_cb_info* change, void* used);

    void wake();
    void pump();
    void start_waiting(host& target);
    void dispatch(line& free_line, call_ptr call);
    void connect(line& target);
    void finish(line& used, pool_end end);
    void end_in_time(pending_call& late);

    event_base* base;
    http_pool_options options;
    std::map<std::string, std::unique_ptr<host>> hosts;
    std::deque<call_ptr> finished;
    std::vector<host*> changed; // have free lines or new calls
    event_owner<event> pump_event;
};

} // namespace pistachiospan::standin

#endif
