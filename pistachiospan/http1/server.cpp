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

// Bytes of a further request that are read while an answer is pending.
constexpr std::size_t read_ahead = std::size_t{256} << 10U;

// Time for a caller to read the last answer of a connection before it is reset.
constexpr duration linger = std::chrono::seconds(1);

// New connections that the kernel keeps until they are accepted.
constexpr int backlog = 1024;

// A connection that idled for less may be about to carry its next request.
constexpr duration least_idle = std::chrono::milliseconds(500);

constexpr std::size_t feed_piece = std::size_t{64} << 10U;

std::string_view reason_of(int status)
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

int status_of(parse_error problem)
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

bool has_no_body(int status, bool to_head)
{
    return to_head || status == 204 || status == 304;
}

std::string head_of(const response& answer, bool close, duration idle_timeout)
{
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + ' ';
    head += reason_of(answer.status);
    head += "\r\n";
    for (const header& each : answer.headers)
    {
        head += each.name;
        head += ": ";
        head += each.value;
        head += "\r\n";
    }
    head += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
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

    void set_limits(const server_limits& next);
    void respond(exchange_id exchange, const response& answer, bool close);
    void begin_drain();
    void stop_accepting();
    void close_idle();

    std::size_t connections() const
    {
        return this->open.size();
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
            : owner(owner), id(id), socket(socket), parser(HTTP_REQUEST),
              timer(owner.base, [this] { this->owner.on_time_over(*this); })
        {
        }

        // No byte waits to be read or written, here or in the kernel.
        bool is_quiet() const
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
        exchange_id exchange = 0; // request without an answer; 0: none
        std::size_t buffered = 0; // bytes of the request's body, counted in the total
        bool to_head = false;
        bool keep = true; // what the caller asked for
        bool feeding = false;
        bool continued = false; // 100 Continue was sent
        bool closing = false;   // the last answer is being written
        bool idle = false;      // stands in idle_order
        std::list<connection*>::iterator idle_place;
        time_point idle_since;
    };

    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                          void* self);
    static void on_read(bufferevent*, void* user);
    static void on_write(bufferevent*, void* user);
    static void on_event(bufferevent*, short what, void* user);

    void accept(evutil_socket_t socket);
    void feed(connection& from);
    bool take_piece(connection& from);
    void take_request(connection& from);
    void refuse(connection& from, int status);
    void write(connection& to, const response& answer, bool close);
    void on_time_over(connection& late);
    void after_write(connection& written);
    void wait_for_request(connection& idle);
    void end_idle(connection& busy);
    void make_room();
    void count_body(connection& of, std::size_t bytes);
    void close(connection& ended);

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
    std::list<connection*> idle_order; // longest idle first
    one_shot_timer room_timer;
    std::unique_ptr<evconnlistener, listener_deleter> listener;
    std::unordered_map<connection_id, std::unique_ptr<connection>> open;
    std::unordered_map<exchange_id, connection_id> exchanges;
    std::uint64_t last_id = 0;
    std::size_t total_buffered = 0;
    bool draining = false;
};

server::implementation::implementation(event_base* base, const std::string& address,
                                       server_hooks hooks)
    : base(base), hooks(std::move(hooks)), room_timer(base, [this] { this->make_room(); })
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

void server::implementation::set_limits(const server_limits& next)
{
    this->limits = next;
}

void server::implementation::on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*,
                                       int, void* self)
{
    event_loop::run_guarded([=] { static_cast<implementation*>(self)->accept(socket); });
}

void server::implementation::accept(evutil_socket_t socket)
{
    internal::tune(socket);
    bufferevent* made = bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE);
    auto owned = std::make_unique<connection>(*this, ++this->last_id, made);
    connection& added = *owned;
    this->open.emplace(added.id, std::move(owned));
    bufferevent_setcb(made, &implementation::on_read, &implementation::on_write,
                      &implementation::on_event, &added);
    bufferevent_setwatermark(made, EV_READ, 0, read_ahead);
    bufferevent_enable(made, EV_READ | EV_WRITE);
    this->wait_for_request(added);
    this->make_room();
}

// Closes the connection that has been idle longest. When there is none to close, no
// caller is accepted until one has ended.
void server::implementation::make_room()
{
    if (!this->listener || this->open.size() < this->limits.max_connections)
        return;
    const time_point latest = monotonic_now() - least_idle;
    const auto found =
        std::ranges::find_if(this->idle_order, [latest](const connection* each)
                             { return each->idle_since > latest || each->is_quiet(); });
    if (found != this->idle_order.end() && (*found)->idle_since <= latest)
    {
        this->close(**found);
        return;
    }
    evconnlistener_disable(this->listener.get());
    this->room_timer.start(least_idle);
}

void server::implementation::end_idle(connection& busy)
{
    if (!std::exchange(busy.idle, false))
        return;
    this->idle_order.erase(busy.idle_place);
}

void server::implementation::wait_for_request(connection& idle)
{
    this->end_idle(idle);
    idle.idle = true;
    idle.idle_since = monotonic_now();
    idle.idle_place = this->idle_order.insert(this->idle_order.end(), &idle);
    idle.parser.set_limits(
        {.max_header = this->limits.max_header, .max_body = this->limits.max_body});
    idle.timer.start(this->limits.idle_timeout);
}

void server::implementation::on_read(bufferevent*, void* user)
{
    auto& from = *static_cast<connection*>(user);
    if (from.feeding)
        return;
    implementation& owner = from.owner;
    const connection_id id = from.id;
    const bool good = event_loop::run_guarded([&] { owner.feed(from); });
    // The request whose handling failed gets no answer: it may have run.
    if (!good && owner.open.contains(id))
        owner.close(*owner.open.at(id));
}

// Parses what was read until a request waits for its answer. The hook may end the
// connection, so it is looked up again after each request.
void server::implementation::feed(connection& from)
{
    const connection_id id = from.id;
    from.feeding = true;
    while (this->take_piece(from))
        if (!this->open.contains(id))
            return;
    if (this->open.contains(id))
        from.feeding = false;
}

// Returns false when nothing more can be parsed now.
bool server::implementation::take_piece(connection& from)
{
    evbuffer* input = bufferevent_get_input(from.socket.get());
    if (from.closing)
    {
        evbuffer_drain(input, evbuffer_get_length(input));
        return false;
    }
    if (from.exchange != 0)
        return false;
    const std::string_view piece = internal::peek(input, feed_piece);
    if (piece.empty())
        return false;
    this->end_idle(from);
    const parse_state before = from.parser.state();
    const std::size_t taken = from.parser.feed(piece);
    evbuffer_drain(input, taken);
    this->count_body(from, from.parser.body_size());
    const parse_state after = from.parser.state();
    if (after == parse_state::failed)
    {
        this->refuse(from, status_of(from.parser.error()));
        return false;
    }
    if (after == parse_state::complete)
    {
        this->take_request(from);
        return true;
    }
    if (this->total_buffered > this->limits.max_buffered)
    {
        this->refuse(from, 503);
        return false;
    }
    if (before == parse_state::idle || after == parse_state::body)
        from.timer.start(this->limits.header_timeout);
    if (after == parse_state::body && !from.continued && from.parser.expects_continue())
    {
        from.continued = true;
        internal::append(bufferevent_get_output(from.socket.get()),
                         "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

void server::implementation::count_body(connection& of, std::size_t bytes)
{
    this->total_buffered += bytes;
    this->total_buffered -= of.buffered;
    of.buffered = bytes;
}

void server::implementation::take_request(connection& from)
{
    from.timer.stop();
    from.exchange = ++this->last_id;
    from.keep = from.parser.keep_alive();
    this->exchanges.emplace(from.exchange, from.id);
    request whole{.method = from.parser.method(),
                  .target = std::move(from.parser.target),
                  .headers = std::move(from.parser.headers),
                  .body = std::move(from.parser.body)};
    from.to_head = whole.method == "HEAD";
    this->hooks.on_request(from.exchange, std::move(whole));
}

void server::implementation::refuse(connection& from, int status)
{
    const response answer = this->hooks.make_refusal ? this->hooks.make_refusal(status)
                                                     : response{.status = status};
    this->write(from, answer, true);
}

void server::implementation::respond(exchange_id exchange, const response& answer,
                                     bool close)
{
    const auto found = this->exchanges.find(exchange);
    if (found == this->exchanges.end())
        return;
    connection& to = *this->open.at(found->second);
    this->exchanges.erase(found);
    to.exchange = 0;
    this->count_body(to, 0);
    this->write(to, answer, close || !to.keep || this->draining);
    to.parser.next();
    to.continued = false;
    if (to.closing)
        return;
    this->wait_for_request(to);
    if (!to.feeding)
        this->feed(to);
}

void server::implementation::write(connection& to, const response& answer, bool close)
{
    evbuffer* output = bufferevent_get_output(to.socket.get());
    internal::append(output, head_of(answer, close, this->limits.idle_timeout));
    if (!has_no_body(answer.status, to.to_head))
        internal::append(output, answer.body);
    to.closing = close;
    if (close)
        to.timer.stop();
}

void server::implementation::on_write(bufferevent*, void* user)
{
    auto& written = *static_cast<connection*>(user);
    event_loop::run_guarded([&written] { written.owner.after_write(written); });
}

// The answer has left: closes the sending side, and the rest when the caller has closed.
void server::implementation::after_write(connection& written)
{
    if (!written.closing)
        return;
    shutdown(bufferevent_getfd(written.socket.get()), SHUT_WR);
    written.timer.start(linger);
}

void server::implementation::on_event(bufferevent*, short what, void* user)
{
    auto& ended = *static_cast<connection*>(user);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
        event_loop::run_guarded([&ended] { ended.owner.close(ended); });
}

void server::implementation::on_time_over(connection& late)
{
    const bool reading = late.parser.state() == parse_state::headers ||
                         late.parser.state() == parse_state::body;
    if (!late.closing && reading)
        this->refuse(late, 408);
    else
        this->close(late);
}

void server::implementation::close(connection& ended)
{
    const exchange_id left = ended.exchange;
    this->count_body(ended, 0);
    this->exchanges.erase(left);
    this->end_idle(ended);
    this->open.erase(ended.id);
    if (this->listener && this->open.size() < this->limits.max_connections)
        evconnlistener_enable(this->listener.get());
    if (left != 0 && this->hooks.on_disconnect)
        this->hooks.on_disconnect(left);
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
    // Closing the listener resets the connections that wait in it.
    const int waiting = evconnlistener_get_fd(this->listener.get());
    while (true)
    {
        const int socket =
            accept4(waiting, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            break;
        this->accept(socket);
    }
    this->listener.reset();
}

void server::implementation::close_idle()
{
    const time_point latest = monotonic_now() - least_idle;
    std::vector<connection*> idle;
    for (connection* each : this->idle_order)
    {
        if (each->idle_since > latest)
            break;
        if (each->is_quiet())
            idle.push_back(each);
    }
    for (connection* each : idle)
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

void server::respond(exchange_id exchange, const response& answer, bool close)
{
    this->self->respond(exchange, answer, close);
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
