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

// Largest size of the headers of a response, in bytes.
constexpr ev_ssize_t max_response_headers = ev_ssize_t{16} * 1024;

struct endpoint
{
    std::string host;
    std::uint16_t port = 0;
};

endpoint parse_endpoint(const std::string& address)
{
    sockaddr_storage storage{};
    auto* const generic = reinterpret_cast<sockaddr*>(&storage);
    int size = sizeof(storage);
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (evutil_parse_sockaddr_port(address.c_str(), generic, &size) == 0)
    {
        const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(generic);
        const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(generic);
        const bool is_ipv6 = generic->sa_family == AF_INET6;
        const void* ip =
            is_ipv6 ? static_cast<const void*>(&ipv6->sin6_addr) : &ipv4->sin_addr;
        evutil_inet_ntop(generic->sa_family, ip, text.data(), text.size());
        const std::uint16_t port = ntohs(is_ipv6 ? ipv6->sin6_port : ipv4->sin_port);
        if (port != 0)
            return {.host = text.data(), .port = port};
    }
    throw std::invalid_argument("platform address \"" + address +
                                "\" is not ip:port; correct the settings");
}

bool has_header(evhttp_request* http_response, const char* name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(http_response), name) !=
           nullptr;
}

// True if the end of the response can be verified. evhttp reads a body with a coding
// other than chunked until its connection ends.
bool is_framed(evhttp_request* http_response)
{
    const char* const coding = evhttp_find_header(
        evhttp_request_get_input_headers(http_response), "Transfer-Encoding");
    if (coding != nullptr)
        return evutil_ascii_strcasecmp(coding, "chunked") == 0;
    return has_header(http_response, "Content-Length");
}

std::string take_body(evhttp_request* http_response)
{
    evbuffer* const input = evhttp_request_get_input_buffer(http_response);
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
      process_event(event_new(base, -1, 0, &http_client::on_process, this))
{
    const endpoint platform = parse_endpoint(this->options.address);
    this->host = platform.host;
    this->port = platform.port;
    for (std::size_t count = 0; count < this->options.connections; ++count)
        this->slots.push_back({.client = *this});
}

http_client::~http_client() = default;

void http_client::call(http_request request, http_handler done)
{
    if (this->waiting_calls.size() >= this->options.max_waiting)
    {
        this->refuse({make_error_code(errc::limit_exceeded),
                      "too many calls wait for the platform; repeat later"},
                     std::move(done));
        return;
    }
    auto queued = std::make_unique<exchange>(exchange{
        .client = *this, .request = std::move(request), .done = std::move(done)});
    queued->timer.reset(evtimer_new(this->base, &http_client::on_timeout, queued.get()));
    const timeval timeout = to_timeval(this->options.timeout);
    evtimer_add(queued->timer.get(), &timeout);
    this->waiting_calls.push_back(std::move(queued));
    this->schedule_processing();
}

void http_client::refuse(error reason, http_handler done)
{
    this->finished_calls.push_back(std::make_unique<exchange>(exchange{
        .client = *this, .done = std::move(done), .outcome = std::move(reason)}));
    this->schedule_processing();
}

// Handlers are called and requests are started from this event only, never within evhttp
// callbacks, because evhttp can't be re-entered from all of them.
void http_client::schedule_processing()
{
    event_active(this->process_event.get(), 0, 0);
}

void http_client::on_process(int, short, void* user)
{
    event_loop::run_guarded([user]
                            { static_cast<http_client*>(user)->process_queues(); });
}

void http_client::process_queues()
{
    for (slot& each : this->slots)
        if (!each.active && !this->waiting_calls.empty())
            this->dispatch(each);
    this->deliver();
}

void http_client::deliver()
{
    std::deque<exchange_ptr> batch;
    batch.swap(this->finished_calls);
    for (const exchange_ptr& each : batch)
        event_loop::run_guarded([&each] { each->done(std::move(each->outcome)); });
}

void http_client::connect(slot& target_slot)
{
    evhttp_connection* const connection = evhttp_connection_base_bufferevent_new(
        this->base, nullptr, nullptr, this->host.c_str(), this->port);
    if (connection == nullptr)
        throw std::bad_alloc();
    target_slot.connection.reset(connection);
    const timeval timeout = to_timeval(this->options.timeout);
    evhttp_connection_set_timeout_tv(connection, &timeout);
    evhttp_connection_set_max_headers_size(connection, max_response_headers);
    evhttp_connection_set_max_body_size(
        connection, static_cast<ev_ssize_t>(this->options.max_response_body));
    evbuffer* const output =
        bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    evbuffer_add_cb(output, &http_client::on_output, &target_slot);
}

void http_client::dispatch(slot& target_slot)
{
    if (!target_slot.connection)
        this->connect(target_slot);
    target_slot.active = std::move(this->waiting_calls.front());
    this->waiting_calls.pop_front();
    target_slot.dispatched = false;
    target_slot.response_too_large = false;

    http_request& request = target_slot.active->request;
    evhttp_request* const outgoing =
        evhttp_request_new(&http_client::on_response, &target_slot);
    evhttp_request_set_error_cb(outgoing, &http_client::on_request_error);
    evkeyvalq* const headers = evhttp_request_get_output_headers(outgoing);
    evhttp_add_header(headers, "Host", this->options.address.c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(),
                 request.body.size());
    if (evhttp_make_request(target_slot.connection.get(), outgoing, request.method,
                            request.target.c_str()) != 0 &&
        target_slot.active)
        this->finish(target_slot,
                     no_response_error(target_slot, "the connection failed"));
}

void http_client::on_output(evbuffer*, const evbuffer_cb_info* info, void* user)
{
    if (info->n_added > 0)
        static_cast<slot*>(user)->dispatched = true;
}

void http_client::on_request_error(evhttp_request_error problem, void* user)
{
    if (problem == EVREQ_HTTP_DATA_TOO_LONG)
        static_cast<slot*>(user)->response_too_large = true;
}

void http_client::on_response(evhttp_request* http_response, void* user)
{
    auto* const target_slot = static_cast<slot*>(user);
    if (target_slot->active)
        target_slot->client.finish(
            *target_slot, target_slot->client.read_response(*target_slot, http_response));
}

void http_client::finish(slot& target_slot, result<std::string> outcome)
{
    target_slot.active->timer.reset();
    target_slot.active->outcome = std::move(outcome);
    this->finished_calls.push_back(std::move(target_slot.active));
    this->schedule_processing();
}

void http_client::on_timeout(int, short, void* user)
{
    auto* const expired = static_cast<exchange*>(user);
    expired->client.handle_timeout(*expired);
}

void http_client::handle_timeout(exchange& expired)
{
    const auto target_slot = std::ranges::find(
        this->slots, &expired, [](const slot& each) { return each.active.get(); });
    if (target_slot != this->slots.end())
    {
        // Closing the connection also drops the request: a late response must not reach
        // the next call.
        target_slot->connection.reset();
        this->finish(*target_slot,
                     no_response_error(*target_slot, "no response before the timeout"));
        return;
    }
    const auto queued =
        std::ranges::find(this->waiting_calls, &expired, &exchange_ptr::get);
    expired.outcome = failure(
        errc::unavailable,
        "no connection to the platform became free before the timeout; repeat later");
    expired.timer.reset();
    this->finished_calls.push_back(std::move(*queued));
    this->waiting_calls.erase(queued);
    this->schedule_processing();
}

error http_client::no_response_error(const slot& target_slot, std::string_view problem)
{
    const std::string text = "platform: " + std::string(problem);
    if (target_slot.active->request.write && target_slot.dispatched)
        return {make_error_code(errc::unknown_outcome),
                text + "; read the rows before repeating the write"};
    return {make_error_code(errc::unavailable), text + "; repeat later"};
}

result<std::string> http_client::read_response(const slot& target_slot,
                                               evhttp_request* http_response) const
{
    const int status =
        http_response == nullptr ? 0 : evhttp_request_get_response_code(http_response);
    if (target_slot.response_too_large && !target_slot.active->request.write)
        return failure(errc::limit_exceeded,
                       "the platform's response is larger than " +
                           std::to_string(this->options.max_response_body) +
                           " bytes; raise max_response_body");
    if (status == 0)
        return no_response_error(target_slot, "the connection failed");
    const std::string status_text =
        "the platform responded with status " + std::to_string(status);
    if (status == HTTP_NOTFOUND)
        return failure(errc::not_found, status_text + "; check the name");
    if (status == 429 || status == HTTP_ENTITYTOOLARGE)
        return failure(errc::limit_exceeded, status_text + "; send less or later");
    if (has_header(http_response, not_run_header))
        return failure(errc::unavailable, status_text + " and ran nothing; repeat later");
    if (status >= 400 && status < 500)
        return failure(errc::invalid_argument, status_text + "; check the request");
    if (status < 200 || status >= 300)
        return no_response_error(target_slot, status_text);
    // Without a length, a truncated response looks like a complete one.
    if (!is_framed(http_response))
        return no_response_error(target_slot, "response without a length");
    return take_body(http_response);
}

} // namespace pistachiospan::store::internal
