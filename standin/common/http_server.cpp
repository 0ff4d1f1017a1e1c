#include "standin/common/http_server.hpp"

#include "standin/common/answer.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

namespace pistachiospan::standin
{

namespace
{

constexpr ev_ssize_t max_header = ev_ssize_t{16} * 1024; // bytes

constexpr std::array<std::pair<evhttp_cmd_type, const char*>, 7> methods = {{
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_PATCH, "PATCH"},
    {EVHTTP_REQ_OPTIONS, "OPTIONS"},
}};

std::string decode(const char* text)
{
    if (text == nullptr)
        return {};
    std::size_t size = 0;
    char* const decoded = evhttp_uridecode(text, /*decode_plus=*/0, &size);
    if (decoded == nullptr)
        return {};
    std::string copy(decoded, size);
    std::free(decoded);
    return copy;
}

std::map<std::string, std::string> parse_query(const char* text)
{
    std::map<std::string, std::string> found;
    evkeyvalq pairs{};
    if (text == nullptr || evhttp_parse_query_str(text, &pairs) != 0)
        return found;
    for (const evkeyval* at = pairs.tqh_first; at != nullptr; at = at->next.tqe_next)
        found[at->key] = at->value;
    evhttp_clear_headers(&pairs);
    return found;
}

} // namespace

exchange::exchange(http_server& server, evhttp_request* request)
    : server(server), request(request)
{
    for (const auto& [type, name] : methods)
        if (evhttp_request_get_command(request) == type)
            this->method_name = name;
    const evhttp_uri* const uri = evhttp_request_get_evhttp_uri(request);
    this->decoded_path = decode(evhttp_uri_get_path(uri));
    this->parameters = parse_query(evhttp_uri_get_query(uri));
}

exchange::~exchange()
{
    this->drop();
}

const std::string& exchange::method() const
{
    return this->method_name;
}

const std::string& exchange::path() const
{
    return this->decoded_path;
}

std::optional<std::string> exchange::query(const std::string& name) const
{
    const auto found = this->parameters.find(name);
    if (found == this->parameters.end())
        return std::nullopt;
    return found->second;
}

std::optional<std::string> exchange::header(const char* name) const
{
    if (!this->open())
        return std::nullopt;
    const char* const value =
        evhttp_find_header(evhttp_request_get_input_headers(this->request), name);
    if (value == nullptr)
        return std::nullopt;
    return value;
}

std::uint64_t exchange::body_bytes() const
{
    return this->open()
               ? evbuffer_get_length(evhttp_request_get_input_buffer(this->request))
               : 0;
}

std::string exchange::body(std::size_t most) const
{
    std::string copy(std::min<std::uint64_t>(most, this->body_bytes()), '\0');
    if (!copy.empty())
        evbuffer_copyout(evhttp_request_get_input_buffer(this->request), copy.data(),
                         copy.size());
    return copy;
}

void exchange::discard_body()
{
    if (this->open())
        evbuffer_drain(evhttp_request_get_input_buffer(this->request),
                       this->body_bytes());
}

bool exchange::open() const
{
    return this->request != nullptr;
}

void exchange::fill(const http_answer& content)
{
    evkeyvalq* const headers = evhttp_request_get_output_headers(this->request);
    evhttp_add_header(headers, "Content-Type", "application/json");
    for (const auto& [name, value] : content.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    evbuffer* const output = evhttp_request_get_output_buffer(this->request);
    evbuffer_add(output, content.body.data(), content.body.size());
    add_filler(output, content.filler, content.filler_bytes);
    evbuffer_add(output, content.tail.data(), content.tail.size());
}

void exchange::answer(const http_answer& content)
{
    if (!this->open())
        return;
    this->fill(content);
    this->server.track(evhttp_request_get_connection(this->request), nullptr);
    evhttp_send_reply(std::exchange(this->request, nullptr), content.status, nullptr,
                      nullptr);
}

void exchange::answer_truncated(const http_answer& content)
{
    if (!this->open())
        return;
    this->fill(content);
    evbuffer* const output = evhttp_request_get_output_buffer(this->request);
    const std::size_t size = evbuffer_get_length(output);
    evhttp_add_header(evhttp_request_get_output_headers(this->request), "Content-Length",
                      std::to_string(size).c_str());
    const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> half(evbuffer_new(),
                                                                   &evbuffer_free);
    evbuffer_remove_buffer(output, half.get(), size / 2);
    evbuffer_drain(output, size);
    evhttp_connection* const source = evhttp_request_get_connection(this->request);
    evhttp_send_reply_start(this->request, content.status, nullptr);
    evhttp_send_reply_chunk_with_cb(
        this->request, half.get(),
        [](evhttp_connection* written, void* self)
        { static_cast<http_server*>(self)->cut_later(written); },
        &this->server);
    // The request now ends with its connection.
    this->server.track(source, nullptr);
    this->request = nullptr;
}

void exchange::drop()
{
    if (!this->open())
        return;
    evhttp_connection* const source = evhttp_request_get_connection(this->request);
    this->server.track(source, nullptr);
    this->request = nullptr;
    this->server.cut_later(source);
}

void exchange::closed()
{
    // The hook may release the last owner of this exchange.
    const exchange_ptr keep = this->shared_from_this();
    const std::function<void()> todo = std::exchange(this->on_close, nullptr);
    this->request = nullptr;
    if (todo)
        todo();
}

http_server::http_server(event_base* base, http_server_options options,
                         request_handler handle)
    : base(base), options(options), handle(std::move(handle))
{
}

http_server::~http_server()
{
    this->close();
}

std::string http_server::listen(const std::string& address)
{
    endpoint target = parse_loopback(address);
    if (!this->http)
    {
        this->http.reset(evhttp_new(this->base));
        evhttp_set_gencb(this->http.get(), &http_server::on_request, this);
        evhttp_set_max_headers_size(this->http.get(), max_header);
        evhttp_set_max_body_size(this->http.get(),
                                 static_cast<ev_ssize_t>(this->options.max_body));
        evhttp_set_allowed_methods(this->http.get(),
                                   EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                       EVHTTP_REQ_HEAD | EVHTTP_REQ_DELETE |
                                       EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
    }
    evhttp_bound_socket* const bound = evhttp_bind_socket_with_handle(
        this->http.get(), target.host.c_str(), target.port);
    if (bound == nullptr)
        throw std::runtime_error("cannot listen on " + address + "; choose a free port");
    sockaddr_in used{};
    socklen_t size = sizeof(used);
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&used),
                &size);
    target.port = ntohs(used.sin_port);
    return target.text();
}

void http_server::close()
{
    this->cuts.clear();
    this->http.reset();
}

void http_server::on_request(evhttp_request* request, void* self)
{
    auto* const server = static_cast<http_server*>(self);
    const auto call = std::make_shared<exchange>(*server, request);
    if (server->track(evhttp_request_get_connection(request), call.get()))
        server->handle(call);
}

// Notes which exchange is active on a connection. False if the connection is one too
// many.
bool http_server::track(evhttp_connection* source, exchange* active)
{
    const auto [at, is_new] = this->connections_open.try_emplace(source);
    at->second.active = active;
    if (!is_new)
        return true;
    evhttp_connection_set_closecb(source, &http_server::on_connection_close, this);
    at->second.watch = std::make_unique<close_watch>(this->base, source);
    ++this->counts.open;
    if (this->options.max_connections != 0 &&
        this->counts.open > this->options.max_connections)
    {
        ++this->counts.refused;
        return false;
    }
    this->counts.highest = std::max(this->counts.highest, this->counts.open);
    return true;
}

void http_server::on_connection_close(evhttp_connection* source, void* self)
{
    auto* const server = static_cast<http_server*>(self);
    server->cuts.erase(source);
    auto ended = server->connections_open.extract(source);
    if (ended.empty())
        return;
    --server->counts.open;
    if (ended.mapped().active != nullptr)
        ended.mapped().active->closed();
}

// evhttp does not read while a request is being answered, so it would notice the end of
// the connection only when it writes. The watch is edge-triggered, since a reset
// connection stays ready for good, and libevent wants one kind of trigger for each
// descriptor: hence the second descriptor. libevent reports a reset as readiness to
// write.
http_server::close_watch::close_watch(event_base* base, evhttp_connection* source)
    : socket(dup(bufferevent_getfd(evhttp_connection_get_bufferevent(source))))
{
    if (this->socket < 0)
        throw std::runtime_error("no free descriptor; raise the limit of open files");
    constexpr short kinds = EV_CLOSED | EV_WRITE | EV_ET | EV_PERSIST;
    this->pending.reset(
        event_new(base, this->socket, kinds, &close_watch::on_change, source));
    event_add(this->pending.get(), nullptr);
}

http_server::close_watch::~close_watch()
{
    this->pending.reset();
    evutil_closesocket(this->socket);
}

void http_server::close_watch::on_change(int socket, short, void* source)
{
    char unread = 0;
    const ssize_t peeked = recv(socket, &unread, 1, MSG_PEEK | MSG_DONTWAIT);
    if (peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EINTR))
        evhttp_connection_free(static_cast<evhttp_connection*>(source));
}

// Connections are never freed from within evhttp's own callbacks.
void http_server::cut_later(evhttp_connection* target)
{
    const auto [at, is_new] = this->cuts.try_emplace(
        target, this->base, [target] { evhttp_connection_free(target); });
    if (is_new)
        at->second.start(duration::zero());
}

} // namespace pistachiospan::standin
