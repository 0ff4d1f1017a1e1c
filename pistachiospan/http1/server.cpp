#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/answer_queue.hpp"
#include "pistachiospan/http1/internal/arrival_times.hpp"
#include "pistachiospan/http1/internal/parser.hpp"
#include "pistachiospan/http1/internal/response_head.hpp"
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
    pipelining_counts pipelining() const
    {
        return this->counts;
    }

private:
    using connection_id = std::uint64_t;

    struct connection
    {
        connection(implementation& owner, connection_id id, bufferevent* socket)
            : owner(owner), id(id), socket(socket),
              parser(internal::message_kind::request),
              answers([this](const response& due, const internal::answer_framing& framing)
                      { this->owner.write(*this, due, framing); }),
              timer(owner.base, [this] { this->owner.on_timeout(*this); })
        {
        }

        bool is_reading() const
        {
            return this->parser.state() == parse_state::headers ||
                   this->parser.state() == parse_state::body;
        }

        // Bytes of answers that the caller has not got yet.
        std::size_t waiting_bytes() const
        {
            return this->answers.waiting_bytes() +
                   evbuffer_get_length(bufferevent_get_output(this->socket.get()));
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
        internal::arrival_times arrivals;
        internal::answer_queue answers;
        one_shot_timer timer;
        // Bytes of the requests' bodies, included in the total.
        std::size_t buffered_bytes = 0;
        time_point received_at; // the request that is being read
        bool parsing = false;
        bool overlap_decided = false; // for the request that is being read
        bool held = false; // the request that is being read waits for earlier answers
        bool pause_reported = false;
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
    void parse_all(connection& conn);
    bool parse_chunk(connection& conn);
    bool may_read(connection& conn);
    bool may_proceed(connection& conn);
    bool may_overlap(connection& conn);
    void finish_wait(connection& conn);
    void continue_body(connection& conn);
    void discard_input(connection& conn);
    void dispatch_request(connection& conn);
    void refuse(connection& conn, int status);
    void write(connection& conn, const response& outgoing,
               const internal::answer_framing& framing);
    void on_timeout(connection& conn);
    void on_output_drained(connection& conn);
    void wait_for_request(connection& conn);
    void remove_from_idle_list(connection& conn);
    void make_room_for_connection();
    void update_buffered(connection& conn);
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
    pipelining_counts counts;
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
    conn.timer.start(this->limits.idle_timeout);
}

void server::implementation::on_read(bufferevent*, void* user)
{
    auto& conn = *static_cast<connection*>(user);
    conn.arrivals.note(monotonic_now(),
                       evbuffer_get_length(bufferevent_get_input(conn.socket.get())));
    conn.owner.parse_input(conn);
}

// Parses the input as far as possible. The connection may be closed meanwhile.
void server::implementation::parse_input(connection& conn)
{
    if (conn.parsing)
        return;
    const connection_id id = conn.id;
    const bool succeeded = event_loop::run_guarded([&] { this->parse_all(conn); });
    // If handling a request threw, close without a response: the request may have run.
    if (!succeeded && this->open_connections.contains(id))
        this->close(*this->open_connections.at(id));
}

// The hook may close the connection, so it is looked up again after each request.
void server::implementation::parse_all(connection& conn)
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
    if (conn.closing || conn.answers.closes())
    {
        this->discard_input(conn);
        return false;
    }
    evbuffer* input = bufferevent_get_input(conn.socket.get());
    const std::string_view chunk = internal::peek(input, read_chunk_size);
    if (chunk.empty() && !conn.held && conn.parser.state() != parse_state::complete)
        return false;
    if (!this->may_read(conn))
    {
        // The caller is not to blame for the time of the pause.
        if (conn.is_reading())
            conn.timer.stop();
        return false;
    }
    this->finish_wait(conn);
    if (conn.parser.state() == parse_state::complete)
    {
        this->dispatch_request(conn);
        return true;
    }
    if (chunk.empty())
        return false;
    this->remove_from_idle_list(conn);
    const parse_state before = conn.parser.state();
    if (before == parse_state::idle)
    {
        conn.received_at = conn.arrivals.oldest().value_or(monotonic_now());
        conn.parser.set_limits(
            {.max_header = this->limits.max_header, .max_body = this->limits.max_body});
    }
    const std::size_t consumed = conn.parser.feed(chunk);
    evbuffer_drain(input, consumed);
    conn.arrivals.consume(consumed);
    this->update_buffered(conn);
    const parse_state after = conn.parser.state();
    if (after == parse_state::failed)
    {
        this->refuse(conn, status_for(conn.parser.error()));
        return false;
    }
    if ((after == parse_state::body || after == parse_state::complete) &&
        !this->may_proceed(conn))
        return false;
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
    if (after == parse_state::idle && !conn.answers.empty())
        return true; // empty lines behind a request
    if (before == parse_state::idle || after == parse_state::body)
        conn.timer.start(this->limits.header_timeout);
    if (after == parse_state::body)
        this->continue_body(conn);
    return true;
}

// Whether the bounds of the connection let it read more requests.
bool server::implementation::may_read(connection& conn)
{
    if (!this->hooks.may_overlap)
        return conn.answers.empty();
    if (conn.held)
        return conn.answers.empty();
    const std::size_t waiting = conn.waiting_bytes();
    if (conn.answers.unanswered() < this->limits.max_pipelined &&
        waiting < this->limits.max_waiting_answers)
        return true;
    if (!std::exchange(conn.pause_reported, true))
    {
        ++this->counts.pauses;
        if (this->hooks.on_pause)
            this->hooks.on_pause(
                {.unanswered = conn.answers.unanswered(), .waiting_bytes = waiting});
    }
    return false;
}

// Whether a request whose headers are complete may be read to its end and passed on now.
// Otherwise it is held until all earlier ones are answered, and its body is not read, so
// that it takes no memory.
bool server::implementation::may_proceed(connection& conn)
{
    if (std::exchange(conn.overlap_decided, true) || conn.answers.empty() ||
        this->may_overlap(conn))
        return true;
    conn.held = true;
    conn.timer.stop();
    ++this->counts.held;
    return false;
}

bool server::implementation::may_overlap(connection& conn)
{
    // The caller may send the body only after 100 (Continue), which must not come before
    // the earlier answers.
    if (conn.parser.expects_continue())
        return false;
    request seen{.method = std::move(conn.parser.method),
                 .target = std::move(conn.parser.target),
                 .headers = std::move(conn.parser.headers),
                 .received_at = conn.received_at};
    const bool allowed = this->hooks.may_overlap(seen);
    conn.parser.method = std::move(seen.method);
    conn.parser.target = std::move(seen.target);
    conn.parser.headers = std::move(seen.headers);
    return allowed;
}

// Ends the wait of a request for earlier answers or for a bound.
void server::implementation::finish_wait(connection& conn)
{
    const bool was_held = std::exchange(conn.held, false);
    if (!conn.is_reading() || conn.timer.is_pending())
        return;
    conn.timer.start(this->limits.header_timeout);
    if (was_held)
        this->continue_body(conn);
}

void server::implementation::continue_body(connection& conn)
{
    if (conn.continue_sent || !conn.parser.expects_continue())
        return;
    conn.continue_sent = true;
    internal::append(bufferevent_get_output(conn.socket.get()),
                     "HTTP/1.1 100 Continue\r\n\r\n");
}

// Drops what was sent behind the last request of the connection. It counts as not read.
void server::implementation::discard_input(connection& conn)
{
    evbuffer* input = bufferevent_get_input(conn.socket.get());
    evbuffer_drain(input, evbuffer_get_length(input));
    if (!conn.closing)
        conn.timer.stop();
    conn.held = false;
    conn.parser.next();
    conn.parser.body = std::string(); // releases its memory
    this->update_buffered(conn);
}

// Counts the bodies that are being read or wait for their answers.
void server::implementation::update_buffered(connection& conn)
{
    const std::size_t bytes = conn.parser.body_memory() + conn.answers.body_bytes();
    this->total_buffered_bytes += bytes;
    this->total_buffered_bytes -= std::exchange(conn.buffered_bytes, bytes);
}

void server::implementation::dispatch_request(connection& conn)
{
    conn.timer.stop();
    const exchange_id exchange = ++this->last_id;
    if (!conn.answers.empty())
        ++this->counts.overlapped;
    conn.answers.add(exchange, {.is_head_request = conn.parser.method == "HEAD",
                                .is_last = !conn.parser.keep_alive() || this->draining,
                                .body_bytes = conn.parser.body_memory()});
    this->counts.most_unanswered =
        std::max(this->counts.most_unanswered, conn.answers.unanswered());
    this->exchanges.emplace(exchange, conn.id);
    request complete_request{.method = std::move(conn.parser.method),
                             .target = std::move(conn.parser.target),
                             .headers = std::move(conn.parser.headers),
                             .body = std::move(conn.parser.body),
                             .received_at = conn.received_at};
    conn.parser.next();
    conn.overlap_decided = false;
    conn.continue_sent = false;
    this->update_buffered(conn);
    this->hooks.on_request(exchange, std::move(complete_request));
}

// Refuses the request that is being read. It is answered in its turn and is the last one.
void server::implementation::refuse(connection& conn, int status)
{
    const response outgoing = this->hooks.make_refusal ? this->hooks.make_refusal(status)
                                                       : response{.status = status};
    conn.timer.stop();
    conn.answers.add_refusal(outgoing, conn.parser.method == "HEAD");
}

void server::implementation::respond(exchange_id exchange, const response& outgoing,
                                     bool close)
{
    const auto found = this->exchanges.find(exchange);
    if (found == this->exchanges.end())
        return;
    connection& conn = *this->open_connections.at(found->second);
    this->exchanges.erase(found);
    conn.answers.put(exchange, outgoing, close);
    this->update_buffered(conn);
    if (conn.closing)
        return;
    if (conn.answers.empty() && conn.parser.state() == parse_state::idle)
        this->wait_for_request(conn);
    this->parse_input(conn);
}

void server::implementation::write(connection& conn, const response& outgoing,
                                   const internal::answer_framing& framing)
{
    evbuffer* output = bufferevent_get_output(conn.socket.get());
    internal::append(output, internal::serialize_head(outgoing, framing.closes,
                                                      this->limits.idle_timeout));
    if (!internal::has_no_body(outgoing.status, framing.is_head_request))
        internal::append(output, outgoing.body);
    conn.closing = framing.closes;
    if (framing.closes)
        conn.timer.stop();
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
        if (!conn->answers.empty())
        {
            conn->answers.close_after_present();
            this->discard_input(*conn);
        }
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
