#include "pistachiospan/store_http/internal/http_client.hpp"

#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/store_http/internal/protocol.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>

#include <algorithm>
#include <stdexcept>

namespace pistachiospan::store::internal
{

namespace
{

using pistachiospan::event_loop::to_timeval;

// Largest header of an answer, in bytes.
constexpr ev_ssize_t max_header = ev_ssize_t{16} * 1024;

struct endpoint
{
    std::string host;
    std::uint16_t port = 0;
};

endpoint parse_endpoint(const std::string& address)
{
    sockaddr_storage storage{};
    auto* const any = reinterpret_cast<sockaddr*>(&storage);
    int size = sizeof(storage);
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (evutil_parse_sockaddr_port(address.c_str(), any, &size) == 0)
    {
        const auto* four = reinterpret_cast<const sockaddr_in*>(any);
        const auto* six = reinterpret_cast<const sockaddr_in6*>(any);
        const bool is_six = any->sa_family == AF_INET6;
        const void* bits =
            is_six ? static_cast<const void*>(&six->sin6_addr) : &four->sin_addr;
        evutil_inet_ntop(any->sa_family, bits, text.data(), text.size());
        const std::uint16_t port = ntohs(is_six ? six->sin6_port : four->sin_port);
        if (port != 0)
            return {.host = text.data(), .port = port};
    }
    throw std::invalid_argument("platform address \"" + address +
                                "\" is not ip:port; correct the settings");
}

bool has_header(evhttp_request* answer, const char* name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(answer), name) != nullptr;
}

std::string take_body(evhttp_request* answer)
{
    evbuffer* const input = evhttp_request_get_input_buffer(answer);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

} // namespace

void http_client::event_deleter::operator()(event* target) const
{
    event_free(target);
}

void http_client::connection_deleter::operator()(evhttp_connection* target) const
{
    evhttp_connection_free(target);
}

http_client::http_client(event_base* base, http_platform_options options)
    : base(base), options(std::move(options)),
      pump_event(event_new(base, -1, 0, &http_client::on_pump, this))
{
    const endpoint target = parse_endpoint(this->options.address);
    this->host = target.host;
    this->port = target.port;
    for (std::size_t made = 0; made < this->options.connections; ++made)
        this->slots.push_back({.client = *this});
}

http_client::~http_client() = default;

void http_client::call(http_request request, http_handler done)
{
    if (this->waiting.size() >= this->options.max_waiting)
    {
        this->refuse({make_error_code(errc::limit_exceeded),
                      "too many calls wait for the platform; repeat later"},
                     std::move(done));
        return;
    }
    auto made = std::make_unique<exchange>(exchange{
        .client = *this, .request = std::move(request), .done = std::move(done)});
    made->timer.reset(evtimer_new(this->base, &http_client::on_timeout, made.get()));
    const timeval span = to_timeval(this->options.timeout);
    evtimer_add(made->timer.get(), &span);
    this->waiting.push_back(std::move(made));
    this->wake();
}

void http_client::refuse(error reason, http_handler done)
{
    this->finished.push_back(std::make_unique<exchange>(exchange{
        .client = *this, .done = std::move(done), .outcome = std::move(reason)}));
    this->wake();
}

// Handlers and new requests run from this event only, never from within evhttp, which is
// not safe to re-enter from all of its callbacks.
void http_client::wake()
{
    event_active(this->pump_event.get(), 0, 0);
}

void http_client::on_pump(int, short, void* self)
{
    static_cast<http_client*>(self)->pump();
}

void http_client::pump()
{
    for (slot& each : this->slots)
        if (!each.active && !this->waiting.empty())
            this->dispatch(each);
    this->deliver();
}

void http_client::deliver()
{
    std::deque<exchange_ptr> ready;
    ready.swap(this->finished);
    for (const exchange_ptr& each : ready)
        each->done(std::move(each->outcome));
}

void http_client::connect(slot& target)
{
    evhttp_connection* const made = evhttp_connection_base_bufferevent_new(
        this->base, nullptr, nullptr, this->host.c_str(), this->port);
    if (made == nullptr)
        throw std::bad_alloc();
    target.connection.reset(made);
    const timeval span = to_timeval(this->options.timeout);
    evhttp_connection_set_timeout_tv(made, &span);
    evhttp_connection_set_max_headers_size(made, max_header);
    evhttp_connection_set_max_body_size(
        made, static_cast<ev_ssize_t>(this->options.max_response_body));
    evbuffer* const output =
        bufferevent_get_output(evhttp_connection_get_bufferevent(made));
    evbuffer_add_cb(output, &http_client::on_output, &target);
}

void http_client::dispatch(slot& free_slot)
{
    if (!free_slot.connection)
        this->connect(free_slot);
    free_slot.active = std::move(this->waiting.front());
    this->waiting.pop_front();
    free_slot.dispatched = false;
    free_slot.too_long = false;

    http_request& request = free_slot.active->request;
    evhttp_request* const made = evhttp_request_new(&http_client::on_answer, &free_slot);
    evhttp_request_set_error_cb(made, &http_client::on_request_error);
    evkeyvalq* const headers = evhttp_request_get_output_headers(made);
    evhttp_add_header(headers, "Host", this->options.address.c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(made), request.body.data(),
                 request.body.size());
    if (evhttp_make_request(free_slot.connection.get(), made, request.method,
                            request.target.c_str()) != 0 &&
        free_slot.active)
        this->finish(free_slot, unanswered(free_slot, "the connection failed"));
}

void http_client::on_output(evbuffer*, const evbuffer_cb_info* change, void* used)
{
    if (change->n_added > 0)
        static_cast<slot*>(used)->dispatched = true;
}

void http_client::on_request_error(evhttp_request_error problem, void* used)
{
    if (problem == EVREQ_HTTP_DATA_TOO_LONG)
        static_cast<slot*>(used)->too_long = true;
}

void http_client::on_answer(evhttp_request* answer, void* used)
{
    auto* const from = static_cast<slot*>(used);
    if (from->active)
        from->client.finish(*from, from->client.read_answer(*from, answer));
}

void http_client::finish(slot& used, result<std::string> outcome)
{
    used.active->timer.reset();
    used.active->outcome = std::move(outcome);
    this->finished.push_back(std::move(used.active));
    this->wake();
}

void http_client::on_timeout(int, short, void* pending)
{
    auto* const late = static_cast<exchange*>(pending);
    late->client.end_in_time(*late);
}

void http_client::end_in_time(exchange& late)
{
    const auto used = std::ranges::find(
        this->slots, &late, [](const slot& each) { return each.active.get(); });
    if (used != this->slots.end())
    {
        // Also drops the request; a late answer must not reach the next call.
        used->connection.reset();
        this->finish(*used, unanswered(*used, "no answer in time"));
        return;
    }
    const auto queued = std::ranges::find(this->waiting, &late, &exchange_ptr::get);
    late.outcome = failure(errc::unavailable,
                           "no connection to the platform became free; repeat later");
    late.timer.reset();
    this->finished.push_back(std::move(*queued));
    this->waiting.erase(queued);
    this->wake();
}

error http_client::unanswered(const slot& used, std::string_view problem)
{
    const std::string text = "platform: " + std::string(problem);
    if (used.active->request.write && used.dispatched)
        return {make_error_code(errc::unknown_outcome),
                text + "; read the rows before repeating the write"};
    return {make_error_code(errc::unavailable), text + "; repeat later"};
}

result<std::string> http_client::read_answer(const slot& used,
                                             evhttp_request* answer) const
{
    const int status = answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
    if (used.too_long && !used.active->request.write)
        return failure(errc::limit_exceeded,
                       "the platform's answer is over " +
                           std::to_string(this->options.max_response_body) +
                           " bytes; raise max_response_body");
    if (status == 0)
        return unanswered(used, "the connection failed");
    const std::string refusal = "the platform answered " + std::to_string(status);
    if (status == HTTP_NOTFOUND)
        return failure(errc::not_found, refusal + "; check the name");
    if (status == 429 || status == HTTP_ENTITYTOOLARGE)
        return failure(errc::limit_exceeded, refusal + "; send less or later");
    if (has_header(answer, not_run_header))
        return failure(errc::unavailable, refusal + " and ran nothing; repeat later");
    if (status >= 400 && status < 500)
        return failure(errc::invalid_argument, refusal + "; check the request");
    if (status < 200 || status >= 300)
        return unanswered(used, refusal);
    // Without a length, a cut answer looks like a complete one.
    if (!has_header(answer, "Content-Length") && !has_header(answer, "Transfer-Encoding"))
        return unanswered(used, "an answer without its length");
    return take_body(answer);
}

} // namespace pistachiospan::store::internal
