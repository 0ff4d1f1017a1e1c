#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/parser.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <event2/listener.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <list>
#include <system_error>
#include <unordered_map>
#include <utility>

namespace pistachiospan::http1
{

namespace
{

using event_loop::monotonic_now;
using event_loop::one_shot_timer;
using internal::bufferevent_ptr;
using internal::parse_error;
using internal::parse_state;

// Bytes of a pipelined request that are read while a response is pending.
constexpr std::size_t max_read_ahead = std::size_t{256} << 10U;

// Time for a caller to read the last response of a connection before the socket is
// closed, which may reset the connection.
constexpr duration close_delay = std::chrono::seconds(1);

// Connections that the kernel queues until they are accepted.
constexpr int backlog = 1024;

// A connection that has been idle for less time may be about to carry its next request,
// so it is not closed for being idle.
constexpr duration min_idle_time = std::chrono::milliseconds(500);

constexpr std::size_t read_chunk_size = std::size_t{64} << 10U;

std::string_view reason_phrase(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

int status_for(parse_error problem)
{
    switch (problem)
    {
    case parse_error::header_too_large:
        return 431;
    case parse_error::body_too_large:
        return 413;
    default:
        return 400;
    }
}

bool has_no_body(int status, bool is_head_request)
{
    return is_head_request || status == 204 || status == 304;
}

std::string serialize_head(const response& outgoing, bool close, duration idle_timeout)
{
    std::string head = "HTTP/1.1 " + std::to_string(outgoing.status) + ' ';
    head += reason_phrase(outgoing.status);
    head += "\r\n";
    for (const header& each : outgoing.headers)
    {
        head += each.name;
        head += ": ";
        head += each.value;
        head += "\r\n";
    }
    head += "Content-Length: " + std::to_string(outgoing.body.size()) + "\r\n";
    if (close)
        return head + "Connection: close\r\n\r\n";
    const auto seconds = std::chrono::floor<std::chrono::seconds>(idle_timeout).count();
    return head + "Keep-Alive: timeout=" + std::to_string(seconds) + "\r\n\r\n";
}

} // namespace

class server::implementation
{
public:
    implementation(event_base* base, const std::string& address, server_hooks hooks);

    void set_limits(const server_limits& new_limits);
    void respond(exchange_id exchange, const response& outgoing, bool close);
    void begin_drain();
    void stop_accepting();
    void close_idle();

    std::size_t connections() const
    {
        return this->open_connections.size();
    }
    std::size_t pending() const
    {
        return this->exchanges.size();
    }

private:
    using connection_id = std::uint64_t;

    struct connection
    {
        connection(implementation& owner, connection_id id, bufferevent* socket)
            : owner(owner), id(id), socket(socket),
              parser(internal::message_kind::request),
              timer(owner.base, [this] { this->owner.on_timeout(*this); })
        {
        }

        // True if no byte waits to be read (in the buffer or in the kernel) or written.
        bool has_no_pending_bytes() const
        {
            int unread = 0;
            const int handle = bufferevent_getfd(this->socket.get());
            return evbuffer_get_length(bufferevent_get_input(this->socket.get())) == 0 &&
                   evbuffer_get_length(bufferevent_get_output(this->socket.get())) == 0 &&
                   ioctl(handle, FIONREAD, &unread) == 0 && unread == 0;
        }

        implementation& owner;
        connection_id id;
        bufferevent_ptr socket;
        internal::parser parser;
        one_shot_timer timer;
        exchange_id exchange = 0; // request without a response; 0: none
        // Bytes of the request's body, included in the total.
        std::size_t buffered_bytes = 0;
        bool is_head_request = false;
        bool keep_alive_requested = true; // the request allows another one after it
        bool parsing = false;
        bool continue_sent = false; // 100 (Continue) was sent
        bool closing = false;       // the last response is being written
        bool idle = false;          // is in idle_list
        std::list<connection*>::iterator idle_position;
        time_point idle_since;
    };

    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                          void* self);
    static void on_read(bufferevent*, void* user);
    static void on_write(bufferevent*, void* user);
    static void on_event(bufferevent*, short what, void* user);

    void accept(evutil_socket_t socket);
    void parse_input(connection& conn);
    bool parse_chunk(connection& conn);
    void dispatch_request(connection& conn);
    void refuse(connection& conn, int status);
    void write(connection& conn, const response& outgoing, bool close);
    void on_timeout(connection& conn);
    void on_output_drained(connection& conn);
    void wait_for_request(connection& conn);
    void remove_from_idle_list(connection& conn);
    void make_room_for_connection();
    void update_buffered(connection& conn, std::size_t bytes);
    void close(connection& conn);

    event_base* base;
    server_hooks hooks;
    server_limits limits;
    struct listener_deleter
    {
        void operator()(evconnlistener* owned) const
        {
            evconnlistener_free(owned);
        }
    };
    std::list<connection*> idle_list; // longest idle first
    one_shot_timer accept_retry_timer;
    std::unique_ptr<evconnlistener, listener_deleter> listener;
    std::unordered_map<connection_id, std::unique_ptr<connection>> open_connections;
    std::unordered_map<exchange_id, connection_id> exchanges;
    std::uint64_t last_id = 0;
    std::size_t total_buffered_bytes = 0;
    bool draining = false;
};

server::implementation::implementation(event_base* base, const std::string& address,
                                       server_hooks hooks)
    : base(base), hooks(std::move(hooks)),
      accept_retry_timer(base, [this] { this->make_room_for_connection(); })
{
    const sockaddr_in local = internal::parse_address(address);
    this->listener.reset(evconnlistener_new_bind(
        base, &implementation::on_accept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, backlog,
        reinterpret_cast<const sockaddr*>(&local), sizeof(local)));
    if (!this->listener)
        throw std::system_error(errno, std::generic_category(),
                                "cannot listen on " + address +
                                    "; free the address or correct the settings");
}

void server::implementation::set_limits(const server_limits& new_limits)
{
    this->limits = new_limits;
}

void server::implementation::on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*,
                                       int, void* self)
{
    event_loop::run_guarded([=] { static_cast<implementation*>(self)->accept(socket); });
}

void server::implementation::accept(evutil_socket_t socket)
{
    internal::set_socket_options(socket);
    bufferevent* transport =
        bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE);
    auto owned = std::make_unique<connection>(*this, ++this->last_id, transport);
    connection& conn = *owned;
    this->open_connections.emplace(conn.id, std::move(owned));
    bufferevent_setcb(transport, &implementation::on_read, &implementation::on_write,
                      &implementation::on_event, &conn);
    bufferevent_setwatermark(transport, EV_READ, 0, max_read_ahead);
    bufferevent_enable(transport, EV_READ | EV_WRITE);
    this->wait_for_request(conn);
    this->make_room_for_connection();
}

// At the connection limit, closes the connection that has been idle longest. If none can
// be closed, stops accepting until a connection ends or min_idle_time has passed.
void server::implementation::make_room_for_connection()
{
    if (!this->listener || this->open_connections.size() < this->limits.max_connections)
        return;
    const time_point idle_before = monotonic_now() - min_idle_time;
    const auto found = std::ranges::find_if(
        this->idle_list, [idle_before](const connection* each)
        { return each->idle_since > idle_before || each->has_no_pending_bytes(); });
    if (found != this->idle_list.end() && (*found)->idle_since <= idle_before)
    {
        this->close(**found);
        return;
    }
    evconnlistener_disable(this->listener.get());
    this->accept_retry_timer.start(min_idle_time);
}

void server::implementation::remove_from_idle_list(connection& conn)
{
    if (!std::exchange(conn.idle, false))
        return;
    this->idle_list.erase(conn.idle_position);
}

void server::implementation::wait_for_request(connection& conn)
{
    this->remove_from_idle_list(conn);
    conn.idle = true;
    conn.idle_since = monotonic_now();
    conn.idle_position = this->idle_list.insert(this->idle_list.end(), &conn);
    conn.parser.set_limits(
        {.max_header = this->limits.max_header, .max_body = this->limits.max_body});
    conn.timer.start(this->limits.idle_timeout);
}

void server::implementation::on_read(bufferevent*, void* user)
{
    auto& conn = *static_cast<connection*>(user);
    if (conn.parsing)
        return;
    implementation& owner = conn.owner;
    const connection_id id = conn.id;
    const bool succeeded = event_loop::run_guarded([&] { owner.parse_input(conn); });
    // If handling a request threw, close without a response: the request may have run.
    if (!succeeded && owner.open_connections.contains(id))
        owner.close(*owner.open_connections.at(id));
}

// Parses the input until a request awaits its response. The hook may close the
// connection, so it is looked up again after each request.
void server::implementation::parse_input(connection& conn)
{
    const connection_id id = conn.id;
    conn.parsing = true;
    while (this->parse_chunk(conn))
        if (!this->open_connections.contains(id))
            return;
    if (this->open_connections.contains(id))
        conn.parsing = false;
}

// Returns false if nothing more can be parsed now.
bool server::implementation::parse_chunk(connection& conn)
{
    evbuffer* input = bufferevent_get_input(conn.socket.get());
    if (conn.closing)
    {
        evbuffer_drain(input, evbuffer_get_length(input));
        return false;
    }
    if (conn.exchange != 0)
        return false;
    const std::string_view chunk = internal::peek(input, read_chunk_size);
    if (chunk.empty())
        return false;
    this->remove_from_idle_list(conn);
    const parse_state before = conn.parser.state();
    const std::size_t consumed = conn.parser.feed(chunk);
    evbuffer_drain(input, consumed);
    this->update_buffered(conn, conn.parser.body_memory());
    const parse_state after = conn.parser.state();
    if (after == parse_state::failed)
    {
        this->refuse(conn, status_for(conn.parser.error()));
        return false;
    }
    if (after == parse_state::complete)
    {
        this->dispatch_request(conn);
        return true;
    }
    if (this->total_buffered_bytes > this->limits.max_buffered)
    {
        this->refuse(conn, 503);
        return false;
    }
    if (before == parse_state::idle || after == parse_state::body)
        conn.timer.start(this->limits.header_timeout);
    if (after == parse_state::body && !conn.continue_sent &&
        conn.parser.expects_continue())
    {
        conn.continue_sent = true;
        internal::append(bufferevent_get_output(conn.socket.get()),
                         "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

void server::implementation::update_buffered(connection& conn, std::size_t bytes)
{
    this->total_buffered_bytes += bytes;
    this->total_buffered_bytes -= conn.buffered_bytes;
    conn.buffered_bytes = bytes;
}

void server::implementation::dispatch_request(connection& conn)
{
    conn.timer.stop();
    conn.exchange = ++this->last_id;
    conn.keep_alive_requested = conn.parser.keep_alive();
    this->exchanges.emplace(conn.exchange, conn.id);
    request complete_request{.method = std::move(conn.parser.method),
                             .target = std::move(conn.parser.target),
                             .headers = std::move(conn.parser.headers),
                             .body = std::move(conn.parser.body)};
    conn.is_head_request = complete_request.method == "HEAD";
    this->hooks.on_request(conn.exchange, std::move(complete_request));
}

void server::implementation::refuse(connection& conn, int status)
{
    const response outgoing = this->hooks.make_refusal ? this->hooks.make_refusal(status)
                                                       : response{.status = status};
    this->write(conn, outgoing, true);
}

void server::implementation::respond(exchange_id exchange, const response& outgoing,
                                     bool close)
{
    const auto found = this->exchanges.find(exchange);
    if (found == this->exchanges.end())
        return;
    connection& conn = *this->open_connections.at(found->second);
    this->exchanges.erase(found);
    conn.exchange = 0;
    this->update_buffered(conn, 0);
    this->write(conn, outgoing, close || !conn.keep_alive_requested || this->draining);
    conn.parser.next();
    conn.continue_sent = false;
    if (conn.closing)
        return;
    this->wait_for_request(conn);
    if (!conn.parsing)
        this->parse_input(conn);
}

void server::implementation::write(connection& conn, const response& outgoing, bool close)
{
    evbuffer* output = bufferevent_get_output(conn.socket.get());
    internal::append(output, serialize_head(outgoing, close, this->limits.idle_timeout));
    if (!has_no_body(outgoing.status, conn.is_head_request))
        internal::append(output, outgoing.body);
    conn.closing = close;
    if (close)
        conn.timer.stop();
}

void server::implementation::on_write(bufferevent*, void* user)
{
    auto& conn = *static_cast<connection*>(user);
    event_loop::run_guarded([&conn] { conn.owner.on_output_drained(conn); });
}

// The last response has been written: shuts down the sending side. The connection is
// closed when the caller closes it or after close_delay.
void server::implementation::on_output_drained(connection& conn)
{
    if (!conn.closing)
        return;
    shutdown(bufferevent_getfd(conn.socket.get()), SHUT_WR);
    conn.timer.start(close_delay);
}

void server::implementation::on_event(bufferevent*, short what, void* user)
{
    auto& conn = *static_cast<connection*>(user);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
        event_loop::run_guarded([&conn] { conn.owner.close(conn); });
}

void server::implementation::on_timeout(connection& conn)
{
    const bool reading = conn.parser.state() == parse_state::headers ||
                         conn.parser.state() == parse_state::body;
    if (!conn.closing && reading)
        this->refuse(conn, 408);
    else
        this->close(conn);
}

void server::implementation::close(connection& conn)
{
    const exchange_id exchange = conn.exchange;
    this->update_buffered(conn, 0);
    this->exchanges.erase(exchange);
    this->remove_from_idle_list(conn);
    this->open_connections.erase(conn.id);
    if (this->listener && this->open_connections.size() < this->limits.max_connections)
        evconnlistener_enable(this->listener.get());
    if (exchange != 0 && this->hooks.on_disconnect)
        this->hooks.on_disconnect(exchange);
}

void server::implementation::begin_drain()
{
    this->draining = true;
}

void server::implementation::stop_accepting()
{
    this->draining = true;
    if (!this->listener)
        return;
    // Closing the listener resets the connections in its queue, so accept them first.
    const int listener_socket = evconnlistener_get_fd(this->listener.get());
    while (true)
    {
        const int socket =
            accept4(listener_socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            break;
        this->accept(socket);
    }
    this->listener.reset();
}

void server::implementation::close_idle()
{
    const time_point idle_before = monotonic_now() - min_idle_time;
    std::vector<connection*> to_close;
    for (connection* each : this->idle_list)
    {
        if (each->idle_since > idle_before)
            break;
        if (each->has_no_pending_bytes())
            to_close.push_back(each);
    }
    for (connection* each : to_close)
        this->close(*each);
}

server::server(event_base* base, const std::string& address, server_hooks hooks)
    : self(std::make_unique<implementation>(base, address, std::move(hooks)))
{
}

server::~server() = default;

void server::set_limits(const server_limits& limits)
{
    this->self->set_limits(limits);
}

void server::respond(exchange_id exchange, const response& outgoing, bool close)
{
    this->self->respond(exchange, outgoing, close);
}

void server::begin_drain()
{
    this->self->begin_drain();
}

void server::stop_accepting()
{
    this->self->stop_accepting();
}

void server::close_idle()
{
    this->self->close_idle();
}

std::size_t server::connections() const
{
    return this->self->connections();
}

std::size_t server::pending() const
{
    return this->self->pending();
}

} // namespace pistachiospan::http1
