#include "standin/load/http_pool.hpp"

#include "standin/common/answer.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>

namespace pistachiospan::standin
{

namespace
{

constexpr ev_ssize_t max_answer = ev_ssize_t{256} * 1024 * 1024; // bytes
// Connections are given up after this much silence; calls have their own timeouts.
constexpr duration connection_timeout = std::chrono::minutes(2);

std::string header_of(evhttp_request* answer, const char* name)
{
    const char* const value =
        evhttp_find_header(evhttp_request_get_input_headers(answer), name);
    return value == nullptr ? "" : value;
}

} // namespace

// One connection. Kept when idle.
struct http_pool::line
{
    http_pool& pool;
    host& target;
    event_owner<evhttp_connection> connection;
    call_ptr active;
    bool dispatched = false;
};

struct http_pool::host
{
    endpoint address;
    std::list<line> lines;
    std::vector<line*> idle; // the last used is used first
    std::deque<call_ptr> waiting;
};

struct http_pool::pending_call
{
    http_pool& pool;
    pool_request request;
    pool_handler done;
    pool_answer answer;
    host* target = nullptr;
    line* used = nullptr; // null while waiting
    event_owner<event> timer;
};

http_pool::http_pool(event_base* base, http_pool_options options)
    : base(base), options(options),
      pump_event(event_new(base, -1, 0, &http_pool::on_pump, this))
{
}

http_pool::~http_pool() = default;

void http_pool::call(pool_request request, pool_handler done)
{
    std::unique_ptr<host>& target = this->hosts[request.address];
    if (!target)
        target = std::make_unique<host>(host{.address = parse_loopback(request.address)});
    const timeval span = to_timeval(request.timeout);
    auto made = std::make_unique<pending_call>(pending_call{.pool = *this,
                                                            .request = std::move(request),
                                                            .done = std::move(done),
                                                            .target = target.get()});
    made->timer.reset(evtimer_new(this->base, &http_pool::on_timeout, made.get()));
    evtimer_add(made->timer.get(), &span);
    target->waiting.push_back(std::move(made));
    this->changed.push_back(target.get());
    this->wake();
}

void http_pool::wake()
{
    event_active(this->pump_event.get(), 0, 0);
}

void http_pool::on_pump(int, short, void* self)
{
    static_cast<http_pool*>(self)->pump();
}

void http_pool::pump()
{
    std::deque<call_ptr> ready;
    ready.swap(this->finished);
    for (const call_ptr& each : ready)
        each->done(std::move(each->answer));
    std::vector<host*> targets;
    targets.swap(this->changed);
    for (host* each : targets)
        this->start_waiting(*each);
}

void http_pool::start_waiting(host& target)
{
    while (!target.waiting.empty())
    {
        if (target.idle.empty())
        {
            if (target.lines.size() >= this->options.max_connections)
                return;
            target.lines.push_back({.pool = *this, .target = target});
            target.idle.push_back(&target.lines.back());
        }
        line* const free_line = target.idle.back();
        target.idle.pop_back();
        call_ptr next = std::move(target.waiting.front());
        target.waiting.pop_front();
        this->dispatch(*free_line, std::move(next));
    }
}

void http_pool::connect(line& target)
{
    const endpoint& address = target.target.address;
    target.connection.reset(evhttp_connection_base_bufferevent_new(
        this->base, nullptr, nullptr, address.host.c_str(), address.port));
    const timeval span = to_timeval(connection_timeout);
    evhttp_connection_set_timeout_tv(target.connection.get(), &span);
    evhttp_connection_set_max_body_size(target.connection.get(), max_answer);
    evbuffer_add_cb(bufferevent_get_output(
                        evhttp_connection_get_bufferevent(target.connection.get())),
                    &http_pool::on_output, &target);
}

void http_pool::dispatch(line& free_line, call_ptr call)
{
    if (!free_line.connection)
        this->connect(free_line);
    free_line.dispatched = false;
    free_line.active = std::move(call);
    free_line.active->used = &free_line;
    const pool_request& request = free_line.active->request;
    evhttp_request* const made = evhttp_request_new(&http_pool::on_answer, &free_line);
    evhttp_request_set_chunked_cb(made, [](evhttp_request* answer, void* used)
                                  { on_part(answer, used); });
    evkeyvalq* const headers = evhttp_request_get_output_headers(made);
    evhttp_add_header(headers, "Host", request.address.c_str());
    for (const auto& [name, value] : request.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    evbuffer* const body = evhttp_request_get_output_buffer(made);
    evbuffer_add(body, request.body_head.data(), request.body_head.size());
    add_filler(body, 'x', request.body_filler);
    if (evhttp_make_request(free_line.connection.get(), made, request.method,
                            request.target.c_str()) != 0 &&
        free_line.active)
        this->finish(free_line, pool_end::not_connected);
}

void http_pool::on_output(evbuffer*, const evbuffer_cb_info* change, void* used)
{
    if (change->n_added > 0)
        static_cast<line*>(used)->dispatched = true;
}

void http_pool::on_part(evhttp_request* answer, void* used)
{
    auto* const from = static_cast<line*>(used);
    if (!from->active)
        return;
    pending_call& call = *from->active;
    evbuffer* const input = evhttp_request_get_input_buffer(answer);
    evbuffer_iovec part{};
    while (evbuffer_peek(input, -1, nullptr, &part, 1) > 0 && part.iov_len > 0)
    {
        const std::string_view bytes(static_cast<const char*>(part.iov_base),
                                     part.iov_len);
        call.answer.body.add(bytes);
        if (call.request.keep_body)
            call.answer.kept += bytes;
        evbuffer_drain(input, part.iov_len);
    }
}

void http_pool::on_answer(evhttp_request* answer, void* used)
{
    auto* const from = static_cast<line*>(used);
    if (!from->active)
        return;
    const int status = answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
    if (status == 0)
    {
        from->pool.finish(*from,
                          from->dispatched ? pool_end::cut : pool_end::not_connected);
        return;
    }
    on_part(answer, used);
    pool_answer& result = from->active->answer;
    result.status = status;
    result.retry_after = header_of(answer, "Retry-After");
    result.request_id = header_of(answer, "X-Request-Id");
    result.not_run = !header_of(answer, "X-Not-Run").empty();
    result.drain = !header_of(answer, "Drain").empty();
    from->pool.finish(*from, pool_end::answered);
}

void http_pool::finish(line& used, pool_end end)
{
    call_ptr call = std::move(used.active);
    call->timer.reset();
    call->used = nullptr;
    call->answer.end = end;
    call->answer.ended = now();
    this->finished.push_back(std::move(call));
    used.target.idle.push_back(&used);
    this->changed.push_back(&used.target);
    this->wake();
}

void http_pool::on_timeout(int, short, void* late)
{
    auto* const call = static_cast<pending_call*>(late);
    call->pool.end_in_time(*call);
}

void http_pool::end_in_time(pending_call& late)
{
    if (late.used != nullptr)
    {
        // Also drops the request; a late answer must not reach the next call.
        late.used->connection.reset();
        this->finish(*late.used, pool_end::timed_out);
        return;
    }
    std::deque<call_ptr>& waiting = late.target->waiting;
    const auto at = std::ranges::find(waiting, &late, &call_ptr::get);
    late.answer.end = pool_end::not_connected;
    late.answer.ended = now();
    late.timer.reset();
    this->finished.push_back(std::move(*at));
    waiting.erase(at);
    this->wake();
}

} // namespace pistachiospan::standin
