#include "pistachiospan/http1/internal/server_implementation.hpp"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <system_error>
#include <utility>

namespace pistachiospan::http1
{

namespace
{

using event_loop::monotonic_now;

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

} // namespace

bool server::implementation::connection::has_no_pending_bytes() const
{
    int unread = 0;
    const int handle = bufferevent_getfd(this->socket.get());
    return evbuffer_get_length(bufferevent_get_input(this->socket.get())) == 0 &&
           evbuffer_get_length(bufferevent_get_output(this->socket.get())) == 0 &&
           ioctl(handle, FIONREAD, &unread) == 0 && unread == 0;
}

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
    conn.timer.start(this->limits.idle_timeout);
}

void server::implementation::on_write(bufferevent*, void* user)
{
    auto& conn = *static_cast<connection*>(user);
    event_loop::run_guarded([&conn] { conn.owner.on_output_drained(conn); });
}

// Goes on reading if unread answers had paused it. If the last response has been written,
// shuts down the sending side: the connection is closed when the caller closes it or
// after close_delay.
void server::implementation::on_output_drained(connection& conn)
{
    if (!conn.closing)
    {
        this->parse_input(conn);
        return;
    }
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
    if (!conn.closing && conn.is_reading())
        this->refuse(conn, 408);
    else
        this->close(conn);
}

void server::implementation::close(connection& conn)
{
    const std::vector<exchange_id> unanswered = conn.answers.unanswered_ids();
    for (const exchange_id each : unanswered)
        this->exchanges.erase(each);
    this->total_buffered_bytes -= conn.buffered_bytes;
    this->remove_from_idle_list(conn);
    this->open_connections.erase(conn.id);
    if (this->listener && this->open_connections.size() < this->limits.max_connections)
        evconnlistener_enable(this->listener.get());
    // Each request is reported even if the hook throws for another one.
    if (this->hooks.on_disconnect)
        for (const exchange_id each : unanswered)
            event_loop::run_guarded([&] { this->hooks.on_disconnect(each); });
}

void server::implementation::begin_drain()
{
    this->draining = true;
    for (const auto& [id, conn] : this->open_connections)
        this->close_after_present(*conn);
}

void server::implementation::stop_accepting()
{
    this->begin_drain();
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

pipelining_counts server::pipelining() const
{
    return this->self->pipelining();
}

} // namespace pistachiospan::http1
