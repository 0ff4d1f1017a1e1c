#include "pistachiospan/daemon/internal/caller_listener.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

namespace pistachiospan::daemon::internal
{

namespace
{

constexpr duration check_interval = std::chrono::seconds(1);

constexpr std::string_view reserved_prefix = "/.well-known/pistachiospan/";

// Headers of callers that are never forwarded: those that apply to one connection only,
// and those that this daemon sets or reads itself.
constexpr std::array<std::string_view, 19> not_forwarded{"connection",
                                                         "keep-alive",
                                                         "transfer-encoding",
                                                         "te",
                                                         "trailer",
                                                         "upgrade",
                                                         "proxy-connection",
                                                         "proxy-authorization",
                                                         "content-length",
                                                         "expect",
                                                         "x-client-key",
                                                         "x-client-account",
                                                         "x-deadline-ms",
                                                         "idempotency-key",
                                                         "x-request-id",
                                                         "x-not-run",
                                                         "drain",
                                                         "proxy-authenticate",
                                                         "host"};

// Headers of answers that are not copied, because evhttp or this daemon sets them.
constexpr std::array<std::string_view, 8> not_returned{
    "connection",   "keep-alive", "transfer-encoding", "content-length", "date",
    "x-request-id", "drain",      "x-not-run"};

std::string lower(std::string_view text)
{
    std::string copy(text);
    std::transform(copy.begin(), copy.end(), copy.begin(),
                   [](unsigned char letter)
                   { return static_cast<char>(std::tolower(letter)); });
    return copy;
}

template <class List>
bool contains(const List& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), lower(name)) != names.end();
}

std::string_view method_name(evhttp_cmd_type method)
{
    switch (method)
    {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OPTIONS";
    }
}

// The last `count` bytes of a buffer.
std::string newest_bytes(evbuffer* input, std::size_t count)
{
    std::string bytes(count, '\0');
    evbuffer_ptr from{};
    evbuffer_ptr_set(input, &from, evbuffer_get_length(input) - count, EVBUFFER_PTR_SET);
    evbuffer_copyout_from(input, &from, bytes.data(), count);
    return bytes;
}

std::string take_body(evhttp_request* call)
{
    evbuffer* input = evhttp_request_get_input_buffer(call);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

std::string header_or_empty(const evkeyvalq* headers, const char* name)
{
    const char* value = evhttp_find_header(headers, name);
    return value == nullptr ? std::string() : std::string(value);
}

std::optional<duration> parse_milliseconds(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, problem] =
        std::from_chars(text.data(), text.data() + text.size(), count);
    constexpr std::int64_t one_day = 86'400'000;
    if (text.empty() || problem != std::errc() || end != text.data() + text.size() ||
        count <= 0 || count > one_day)
        return std::nullopt;
    return std::chrono::milliseconds(count);
}

entry::caller_request copy_request(evhttp_request* call)
{
    const evkeyvalq* headers = evhttp_request_get_input_headers(call);
    entry::caller_request copy{
        .method = std::string(method_name(evhttp_request_get_command(call))),
        .target = evhttp_request_get_uri(call),
        .key = header_or_empty(headers, "X-Client-Key"),
        .idempotency_key = header_or_empty(headers, "Idempotency-Key"),
        .request_id = header_or_empty(headers, "X-Request-Id"),
        .deadline = parse_milliseconds(header_or_empty(headers, "X-Deadline-Ms"))};
    for (const evkeyval* field = headers->tqh_first; field != nullptr;
         field = field->next.tqe_next)
        if (!contains(not_forwarded, field->key))
            copy.headers.emplace_back(field->key, field->value);
    copy.body = take_body(call);
    return copy;
}

} // namespace

void bufferevent_decrementer::operator()(bufferevent* transport) const
{
    bufferevent_decref(transport);
}

void header_scan::feed(std::string_view piece)
{
    for (const char each : piece)
    {
        if (each == '\n')
        {
            this->found = this->found || this->line_is_empty;
            this->line_is_empty = true;
        }
        else if (each != '\r')
            this->line_is_empty = false;
    }
}

caller_listener::caller_listener(event_base* base, caller_listener_options options,
                                 caller_listener_hooks hooks)
    : base(base), options(std::move(options)), hooks(std::move(hooks))
{
    sockaddr_storage address{};
    int size = sizeof(address);
    if (evutil_parse_sockaddr_port(this->options.address.c_str(),
                                   reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::system_error(make_error_code(errc::invalid_argument),
                                "caller listener address " + this->options.address +
                                    " is not ip:port; correct the settings");
    this->listener = evconnlistener_new_bind(
        base, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 1024,
        reinterpret_cast<sockaddr*>(&address), size);
    if (this->listener == nullptr)
        throw std::system_error(errno, std::generic_category(),
                                "cannot listen on " + this->options.address +
                                    "; check that no other process uses it");
    this->server = evhttp_new(base);
    evhttp_bind_listener(this->server, this->listener);
    evhttp_set_max_headers_size(this->server,
                                static_cast<ev_ssize_t>(this->options.max_header));
    evhttp_set_max_body_size(this->server,
                             static_cast<ev_ssize_t>(this->options.max_body));
    const timeval idle = event_loop::to_timeval(this->options.idle_timeout);
    evhttp_set_timeout_tv(this->server, &idle);
    evhttp_set_allowed_methods(this->server, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD |
                                                 EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                                 EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH |
                                                 EVHTTP_REQ_OPTIONS);
    evhttp_set_bevcb(this->server, &caller_listener::make_transport, this);
    evhttp_set_gencb(
        this->server,
        [](evhttp_request* call, void* user)
        { static_cast<caller_listener*>(user)->serve_guarded(call); },
        this);
    this->check_timer.emplace(base, check_interval,
                              [this] { this->close_late_connections(); });
}

caller_listener::~caller_listener()
{
    for (auto& [transport, each] : this->open_connections)
        if (each->http != nullptr)
            evhttp_connection_set_closecb(each->http, nullptr, nullptr);
    evhttp_free(this->server);
}

// evhttp calls this for each accepted connection.
bufferevent* caller_listener::make_transport(event_base* base, void* user)
{
    auto* self = static_cast<caller_listener*>(user);
    bufferevent* transport = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    auto accepted = std::make_unique<connection>();
    accepted->owner = self;
    bufferevent_incref(transport);
    accepted->transport.reset(transport);
    evbuffer_add_cb(bufferevent_get_input(transport), &caller_listener::on_input,
                    accepted.get());
    self->open_connections[transport] = std::move(accepted);
    self->update_accepting();
    return transport;
}

// Limits the total time of a request. evhttp's own timeout restarts with every byte, so a
// slow sender could keep its connection for ever. evhttp closes the connection when it
// sees the end of its input.
void caller_listener::on_input(evbuffer* input, const evbuffer_cb_info* info, void* user)
{
    if (info->n_added == 0)
        return;
    auto* from = static_cast<connection*>(user);
    const steady_time now = std::chrono::steady_clock::now();
    if (!from->request_start)
        from->request_start = now;
    if (!from->header.ended())
        from->header.feed(newest_bytes(input, info->n_added));
    if (now - *from->request_start > from->owner->options.request_timeout)
        shutdown(bufferevent_getfd(from->transport.get()), SHUT_RDWR);
}

bool caller_listener::header_is_late(const connection& from, steady_time now) const
{
    return from.request_start && !from.header.ended() &&
           now - *from.request_start > this->options.header_timeout;
}

bool caller_listener::is_closed(const connection& from)
{
    bufferevent_event_cb on_event = nullptr;
    bufferevent_getcb(from.transport.get(), nullptr, nullptr, &on_event, nullptr);
    return on_event == nullptr;
}

// Closes connections whose header is late and removes those that evhttp has ended.
void caller_listener::close_late_connections()
{
    std::erase_if(this->open_connections,
                  [](const auto& entry) { return is_closed(*entry.second); });
    const steady_time now = std::chrono::steady_clock::now();
    for (const auto& [transport, each] : this->open_connections)
        if (this->header_is_late(*each, now))
            shutdown(bufferevent_getfd(transport), SHUT_RDWR);
    this->update_accepting();
}

// Stops accepting connections at the maximum and resumes below it.
void caller_listener::update_accepting()
{
    if (this->open_connections.size() >= this->options.max_connections)
        evconnlistener_disable(this->listener);
    else
        evconnlistener_enable(this->listener);
}

// The connection of a request. Has evhttp report the end of this connection.
caller_listener::connection& caller_listener::connection_of(evhttp_request* call)
{
    evhttp_connection* http = evhttp_request_get_connection(call);
    connection& from =
        *this->open_connections.at(evhttp_connection_get_bufferevent(http));
    if (from.http == nullptr)
        evhttp_connection_set_closecb(
            http,
            [](evhttp_connection*, void* user)
            {
                auto* closed = static_cast<connection*>(user);
                event_loop::run_guarded([closed] { closed->owner->remove(*closed); });
            },
            &from);
    from.http = http;
    return from;
}

void caller_listener::remove(const connection& closed)
{
    const entry::exchange_id exchange = closed.exchange;
    bufferevent* transport = closed.transport.get();
    evbuffer_remove_cb(bufferevent_get_input(transport), &caller_listener::on_input,
                       const_cast<connection*>(&closed));
    this->open_connections.erase(transport);
    this->update_accepting();
    if (exchange != 0)
        this->hooks.on_caller_disconnected(exchange);
}

// An error while a request is taken over ends this request only.
void caller_listener::serve_guarded(evhttp_request* call)
{
    this->unanswered = call;
    const std::uint64_t request_number = this->next_request_number;
    const bool succeeded = event_loop::run_guarded([this, call] { this->serve(call); });
    if (!succeeded && this->unanswered == call)
    {
        this->failed_requests.insert(request_number);
        this->send(call, HTTP_INTERNAL, "");
    }
    this->unanswered = nullptr;
}

void caller_listener::serve(evhttp_request* call)
{
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(call);
    const char* path = evhttp_uri_get_path(uri);
    const char* query = evhttp_uri_get_query(uri);
    connection& from = this->connection_of(call);
    from.request_start.reset();
    from.header = {};
    if (path == nullptr)
        return this->send(call, HTTP_BADREQUEST, "");
    const bool takes_body = std::string_view(path).starts_with(reserved_prefix);
    const std::string body = takes_body ? take_body(call) : std::string();
    if (const auto answer =
            this->hooks.on_reserved(path, query == nullptr ? "" : query, body))
    {
        evhttp_add_header(evhttp_request_get_output_headers(call), "Content-Type",
                          answer->content_type.c_str());
        return this->send(call, answer->status, answer->body);
    }
    this->forward(call);
}

void caller_listener::forward(evhttp_request* call)
{
    connection& from = this->connection_of(call);
    const std::uint64_t request_number = this->next_request_number++;
    from.request_number = request_number;
    bufferevent* transport = from.transport.get();
    const entry::exchange_id id = this->hooks.on_request(
        copy_request(call),
        [this, call, transport, request_number](const entry::answer& answer)
        {
            if (this->failed_requests.erase(request_number) > 0)
                return;
            const auto found = this->open_connections.find(transport);
            if (found != this->open_connections.end() &&
                found->second->request_number == request_number)
            {
                found->second->request_number = 0;
                found->second->exchange = 0;
            }
            this->reply(call, answer);
        });
    const auto found = this->open_connections.find(transport);
    if (found != this->open_connections.end() &&
        found->second->request_number == request_number)
        found->second->exchange = id;
}

// evhttp drops the reply by itself if the connection is closed.
void caller_listener::send(evhttp_request* call, int status, std::string_view body)
{
    if (this->unanswered == call)
        this->unanswered = nullptr;
    evbuffer* output = evbuffer_new();
    evbuffer_add(output, body.data(), body.size());
    evhttp_send_reply(call, status, nullptr, output);
    evbuffer_free(output);
}

void caller_listener::reply(evhttp_request* call, const entry::answer& answer)
{
    evkeyvalq* headers = evhttp_request_get_output_headers(call);
    for (const auto& [name, value] : answer.headers)
        if (!contains(not_returned, name))
            evhttp_add_header(headers, name.c_str(), value.c_str());
    for (const auto& [name, value] : answer.headers)
        if (name == "X-Request-Id")
            evhttp_add_header(headers, "X-Request-Id", value.c_str());
    if (this->closing)
        evhttp_add_header(headers, "Connection", "close");
    this->send(call, answer.status == 0 ? HTTP_SERVUNAVAIL : answer.status, answer.body);
}

void caller_listener::close_after_answers()
{
    this->closing = true;
}

} // namespace pistachiospan::daemon::internal
