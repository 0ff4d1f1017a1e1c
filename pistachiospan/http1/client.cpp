#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/connect_check.hpp"
#include "pistachiospan/http1/internal/end_watch.hpp"
#include "pistachiospan/http1/internal/parser.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <event2/bufferevent.h>
#include <event2/util.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <unordered_map>
#include <utility>

namespace pistachiospan::http1
{

namespace
{

using event_loop::event_ptr;
using event_loop::monotonic_now;
using event_loop::one_shot_timer;
using internal::bufferevent_ptr;
using internal::parse_state;

constexpr std::size_t read_chunk_size = std::size_t{64} << 10U;
constexpr int first_final_status = 200;
constexpr int first_error_status = 400;

// Interim (1xx) responses, and responses to earlier requests, that one call may skip.
constexpr std::size_t max_skipped_responses = 16;
// Time to read a response that has already arrived when the call times out.
constexpr duration final_read_timeout = std::chrono::milliseconds(2);
// Bytes that one call may receive on top of the body: heads, framing, and skipped
// responses.
constexpr std::size_t max_overhead = std::size_t{1} << 20U;

// Calls after which a connection is not reused. Bounds the ids that it remembers.
constexpr std::size_t max_calls_per_connection = 1000;

// A server closes an idle connection after the time that it advertises. A request sent
// just before that is lost, so the client stops using the connection this much earlier.
constexpr duration keep_alive_margin = std::chrono::seconds(1);

// The idle time advertised by `Keep-Alive: timeout=N`, less the margin.
std::optional<duration> keep_alive_time(const header_list& headers)
{
    const std::string* value = find_header(headers, "Keep-Alive");
    if (value == nullptr)
        return std::nullopt;
    const std::size_t at = value->find("timeout=");
    if (at == std::string::npos)
        return std::nullopt;
    const long seconds =
        std::strtol(value->c_str() + at + std::strlen("timeout="), nullptr, 10);
    return std::max<duration>(std::chrono::seconds(seconds) - keep_alive_margin,
                              duration(0));
}

} // namespace

class client::implementation
{
public:
    implementation(event_base* base, client_options options)
        : base(base), options(std::move(options)),
          deliver_event(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void* self)
              { static_cast<implementation*>(self)->deliver(); },
              this))
    {
    }

    call_id send(const std::string& address, const request& outgoing,
                 const call_options& timeouts, call_handler done);
    void cancel(call_id call);

    void check_connect(const std::string& address, duration timeout,
                       std::function<void(connect_outcome)> done)
    {
        this->checks.start(address, timeout, std::move(done));
    }

    std::uint64_t opened_count = 0;

private:
    struct connection
    {
        connection(implementation& owner, std::uint64_t id, std::string address)
            : owner(owner), id(id), address(std::move(address)),
              parser(internal::message_kind::response),
              timer(owner.base, [this] { this->owner.on_timeout(*this); })
        {
        }

        // Whether a request with this correlation id was sent on it. A late copy of the
        // response to that one could not be told from the response to this one.
        bool has_carried(std::string_view correlation_id) const
        {
            return !correlation_id.empty() &&
                   std::ranges::find(this->carried, hash_bytes(correlation_id)) !=
                       this->carried.end();
        }

        bool is_first_call() const
        {
            return this->carried.size() == 1;
        }

        implementation& owner;
        std::uint64_t id;
        std::string address;
        bufferevent_ptr socket;
        internal::parser parser;
        one_shot_timer timer; // for connecting, then for the call; or for the idle time
        call_id call = 0;     // 0: idle
        call_handler done;
        std::string correlation;
        // Hashes of the correlation ids of all calls, with the present one.
        std::vector<std::uint64_t> carried;
        time_point deadline;
        time_point idle_since;
        std::string unsent_request; // the request, until the connection is open
        bool connected = false;
        bool refused = false;         // instead of connected
        bool invalid_address = false; // the address can't be parsed
        bool expects_no_body = false; // the call is a HEAD request
        bool final_read_done = false; // the call has had its final_read_timeout
        bool write_failed = false;    // the connection was lost while writing
        bool early_response = false;  // began before the server had the whole request
        std::size_t received = 0;     // bytes received in this call
        std::size_t skipped_responses = 0; // in this call
        std::size_t buffered_bytes = 0;    // bytes of the body, included in the total
    };

    static void on_read(bufferevent*, void* user);
    static void on_event(bufferevent*, short what, void* user);

    void handle_event(connection& conn, short what);
    connection* take_idle_connection(const std::string& address, duration max_idle,
                                     std::string_view correlation_id);
    connection& connect(const std::string& address);
    std::string serialize_request(const request& outgoing,
                                  const std::string& address) const;
    void start(connection& conn, const call_options& timeouts);
    static void expect_response(connection& conn);
    void parse_input(connection& conn);
    void update_buffered(connection& conn, std::size_t bytes);
    std::string response_error(const connection& conn) const;
    void accept_response(connection& conn);
    bool is_expected_response(const connection& conn) const;
    void on_disconnect(connection& conn, short what);
    void watch_end(const connection& closed);
    static bool has_unread_bytes(const connection& conn);
    static bool is_request_received(const connection& conn);
    void on_timeout(connection& conn);
    void finish(connection& conn, call_result outcome, bool keep);
    void keep_for_reuse(connection& conn, duration max_idle_time);
    void close(connection& conn);
    void abort(connection& conn);
    void deliver();

    event_base* base;
    client_options options;
    internal::connect_checks checks{this->base};
    internal::end_watch ends;
    std::uint64_t last_id = 0;
    std::size_t total_buffered_bytes = 0; // bytes of all bodies
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> open_connections;
    std::unordered_map<call_id, connection*> calls;
    std::unordered_map<std::string, std::vector<connection*>> idle_connections;
    struct finished_call
    {
        call_id call;
        call_handler done;
        call_result outcome;
    };
    std::vector<finished_call> finished_calls;
    std::vector<finished_call> calls_in_delivery;
    event_ptr deliver_event;
};

std::string client::implementation::serialize_request(const request& outgoing,
                                                      const std::string& address) const
{
    std::string bytes = outgoing.method + ' ' + outgoing.target + " HTTP/1.1\r\n";
    if (find_header(outgoing.headers, "Host") == nullptr)
        bytes += "Host: " + address + "\r\n";
    for (const header& each : outgoing.headers)
    {
        bytes += each.name;
        bytes += ": ";
        bytes += each.value;
        bytes += "\r\n";
    }
    const bool omit_length =
        outgoing.body.empty() && (outgoing.method == "GET" || outgoing.method == "HEAD");
    if (!omit_length)
        bytes += "Content-Length: " + std::to_string(outgoing.body.size()) + "\r\n";
    bytes += "\r\n";
    bytes += outgoing.body;
    return bytes;
}

call_id client::implementation::send(const std::string& address, const request& outgoing,
                                     const call_options& timeouts, call_handler done)
{
    const call_id call = ++this->last_id;
    const std::string correlation =
        header_value(outgoing.headers, this->options.correlation_header);
    connection* conn =
        this->take_idle_connection(address, timeouts.max_idle_time, correlation);
    if (conn == nullptr)
        conn = &this->connect(address);
    conn->call = call;
    conn->correlation = correlation;
    conn->carried.push_back(hash_bytes(correlation));
    conn->done = std::move(done);
    conn->deadline = monotonic_now() + timeouts.timeout;
    conn->unsent_request = this->serialize_request(outgoing, address);
    conn->received = 0;
    conn->final_read_done = false;
    conn->skipped_responses = 0;
    conn->expects_no_body = outgoing.method == "HEAD";
    expect_response(*conn);
    this->calls.emplace(call, conn);
    this->start(*conn, timeouts);
    return call;
}

void client::implementation::start(connection& conn, const call_options& timeouts)
{
    if (conn.connected)
    {
        bufferevent_write(conn.socket.get(), conn.unsent_request.data(),
                          conn.unsent_request.size());
        conn.unsent_request.clear();
        conn.timer.start(timeouts.timeout);
        return;
    }
    conn.timer.start(conn.invalid_address
                         ? duration(0)
                         : std::min(timeouts.timeout, timeouts.connect_timeout));
}

client::implementation::connection* client::implementation::take_idle_connection(
    const std::string& address, duration max_idle, std::string_view correlation_id)
{
    const auto found = this->idle_connections.find(address);
    if (found == this->idle_connections.end())
        return nullptr;
    const time_point now = monotonic_now();
    // A copy, because close() changes the list. The newest ones come first.
    std::vector<connection*> candidates = found->second;
    std::ranges::reverse(candidates);
    for (connection* conn : candidates)
    {
        if (conn->has_carried(correlation_id))
            continue;
        const bool input_empty =
            evbuffer_get_length(bufferevent_get_input(conn->socket.get())) == 0;
        if (input_empty && now - conn->idle_since <= max_idle)
        {
            std::erase(found->second, conn);
            return conn;
        }
        this->close(*conn);
    }
    return nullptr;
}

client::implementation::connection&
client::implementation::connect(const std::string& address)
{
    auto owned = std::make_unique<connection>(*this, ++this->last_id, address);
    connection& conn = *owned;
    this->open_connections.emplace(conn.id, std::move(owned));
    ++this->opened_count;
    conn.socket.reset(bufferevent_socket_new(
        this->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    conn.parser.set_limits({.max_body = this->options.max_response_body});
    bufferevent_setcb(conn.socket.get(), &implementation::on_read, nullptr,
                      &implementation::on_event, &conn);
    bufferevent_enable(conn.socket.get(), EV_READ | EV_WRITE);
    // Failures are reported through on_event, including immediate ones. An address that
    // can't be parsed is handled like a connect that times out.
    if (const auto remote = internal::try_parse_address(address))
        bufferevent_socket_connect(conn.socket.get(),
                                   reinterpret_cast<const sockaddr*>(&*remote),
                                   sizeof(*remote));
    else
        conn.invalid_address = true;
    return conn;
}

void client::implementation::on_event(bufferevent*, short what, void* user)
{
    auto& conn = *static_cast<connection*>(user);
    conn.refused = !conn.connected && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    event_loop::run_guarded([what, &conn] { conn.owner.handle_event(conn, what); });
}

void client::implementation::handle_event(connection& conn, short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        internal::set_socket_options(bufferevent_getfd(conn.socket.get()));
        conn.connected = true;
        if (conn.call == 0)
            return;
        bufferevent_write(conn.socket.get(), conn.unsent_request.data(),
                          conn.unsent_request.size());
        conn.unsent_request.clear();
        conn.timer.start(conn.deadline - monotonic_now());
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
        this->on_disconnect(conn, what);
}

void client::implementation::on_disconnect(connection& conn, short what)
{
    if (conn.call == 0)
    {
        this->watch_end(conn);
        this->close(conn);
        return;
    }
    if (!conn.connected)
    {
        this->finish(conn,
                     {.end = call_end::not_sent,
                      .refused = conn.refused,
                      .detail = "connect failed"},
                     false);
        return;
    }
    // A write error takes the socket's pending error, so that reading reports an orderly
    // end. What arrived before the reset is read first: a response may be complete.
    if ((what & BEV_EVENT_READING) == 0)
    {
        conn.write_failed = true;
        return;
    }
    const bool was_reset =
        conn.write_failed || (what & BEV_EVENT_ERROR) != 0 ||
        internal::take_error(bufferevent_getfd(conn.socket.get())) != 0;
    // Only an orderly close by a server that has the whole request completes a response
    // without a length. A server that ends before that has failed, and its reset follows.
    if (!was_reset && is_request_received(conn))
        conn.parser.feed_end();
    if (conn.parser.state() == parse_state::complete && this->is_expected_response(conn))
    {
        this->accept_response(conn);
        return;
    }
    this->watch_end(conn);
    this->finish(conn,
                 {.end = call_end::broken,
                  .closed_by_server = true,
                  .detail = was_reset ? "connection reset" : "connection closed"},
                 false);
}

// The server has closed the connection: tells the owner if that was the last one.
void client::implementation::watch_end(const connection& closed)
{
    if (!this->options.connections_ended)
        return;
    this->ends.note_closed(monotonic_now(), closed.address, this->last_id);
    const std::uint64_t last = this->ends.last_watched(closed.address);
    const bool has_others =
        std::ranges::any_of(this->open_connections,
                            [&closed, last](const auto& each)
                            {
                                const connection& other = *each.second;
                                return other.connected && &other != &closed &&
                                       other.id <= last &&
                                       other.address == closed.address;
                            });
    if (!has_others && this->ends.finish(closed.address))
        this->options.connections_ended(closed.address);
}

void client::implementation::on_read(bufferevent*, void* user)
{
    auto& conn = *static_cast<connection*>(user);
    event_loop::run_guarded(
        [&conn]
        {
            if (conn.call == 0)
                conn.owner.close(conn); // bytes that belong to no request
            else
                conn.owner.parse_input(conn);
        });
}

void client::implementation::parse_input(connection& conn)
{
    evbuffer* input = bufferevent_get_input(conn.socket.get());
    while (true)
    {
        const std::string_view chunk = internal::peek(input, read_chunk_size);
        if (chunk.empty())
            return;
        if (conn.parser.state() == parse_state::idle)
            conn.early_response = !is_request_received(conn);
        const std::size_t consumed = conn.parser.feed(chunk);
        evbuffer_drain(input, consumed);
        conn.received += consumed;
        this->update_buffered(conn, conn.parser.body_memory());
        std::string problem = this->response_error(conn);
        if (!problem.empty())
        {
            this->finish(conn, {.end = call_end::broken, .detail = std::move(problem)},
                         false);
            return;
        }
        if (conn.parser.state() != parse_state::complete)
            continue;
        const bool interim = conn.parser.status < first_final_status;
        if (!interim && this->is_expected_response(conn))
        {
            this->accept_response(conn);
            return;
        }
        ++conn.skipped_responses;
        expect_response(conn);
    }
}

// Resets the parser for the next response of the call.
void client::implementation::expect_response(connection& conn)
{
    conn.parser.next();
    if (conn.expects_no_body)
        conn.parser.expect_no_body();
}

void client::implementation::update_buffered(connection& conn, std::size_t bytes)
{
    this->total_buffered_bytes += bytes;
    this->total_buffered_bytes -= conn.buffered_bytes;
    conn.buffered_bytes = bytes;
}

// Describes what is wrong with the bytes received so far; empty if they are valid.
std::string client::implementation::response_error(const connection& conn) const
{
    if (conn.parser.state() == parse_state::failed)
        return "malformed response: " + conn.parser.problem();
    if (conn.received > this->options.max_response_body + max_overhead ||
        conn.skipped_responses > max_skipped_responses)
        return "response too long, or too many skipped responses";
    if (this->total_buffered_bytes > this->options.max_buffered)
        return "max_buffered exceeded by the bodies of pending responses";
    return {};
}

// A response without the correlation header is accepted only if it is an error and the
// first response on its connection: a success must show which request it belongs to, and
// on a new connection there can be no late copy of an earlier response.
bool client::implementation::is_expected_response(const connection& conn) const
{
    if (conn.correlation.empty())
        return true;
    const std::string* id =
        find_header(conn.parser.headers, this->options.correlation_header);
    if (id == nullptr)
        return conn.parser.status >= first_error_status && conn.is_first_call() &&
               conn.skipped_responses == 0;
    return *id == conn.correlation;
}

void client::implementation::accept_response(connection& conn)
{
    call_result outcome{.end = call_end::answered};
    const bool keep_alive = conn.parser.keep_alive();
    outcome.answer.status = conn.parser.status;
    outcome.has_correlation =
        find_header(conn.parser.headers, this->options.correlation_header) != nullptr;
    outcome.answer.headers = std::move(conn.parser.headers);
    outcome.answer.body = std::move(conn.parser.body);
    bufferevent* socket = conn.socket.get();
    const bool input_empty = evbuffer_get_length(bufferevent_get_input(socket)) == 0;
    // A server that responds early may take the rest of the body for the next request.
    this->finish(conn, std::move(outcome),
                 keep_alive && input_empty && !conn.early_response);
}

bool client::implementation::has_unread_bytes(const connection& conn)
{
    int unread = 0;
    return evbuffer_get_length(bufferevent_get_input(conn.socket.get())) > 0 ||
           (ioctl(bufferevent_getfd(conn.socket.get()), FIONREAD, &unread) == 0 &&
            unread > 0);
}

bool client::implementation::is_request_received(const connection& conn)
{
    return evbuffer_get_length(bufferevent_get_output(conn.socket.get())) == 0 &&
           internal::is_all_received(bufferevent_getfd(conn.socket.get()));
}

void client::implementation::on_timeout(connection& conn)
{
    if (conn.call == 0)
    {
        this->close(conn);
        return;
    }
    // If this process was frozen, the response may have arrived in time and still be
    // unread.
    if (conn.connected && !std::exchange(conn.final_read_done, true) &&
        has_unread_bytes(conn))
    {
        conn.timer.start(final_read_timeout);
        return;
    }
    const call_end end = conn.connected ? call_end::timed_out : call_end::not_sent;
    const char* detail =
        conn.connected ? "no response before the timeout" : "connect timed out";
    this->finish(conn, {.end = end, .detail = detail}, false);
}

// Handlers run from deliver() only, so that a call made within a handler finds the
// connections in a consistent state.
void client::implementation::finish(connection& conn, call_result outcome, bool keep)
{
    this->calls.erase(conn.call);
    this->update_buffered(conn, 0);
    outcome.is_first_on_connection = conn.is_first_call();
    this->finished_calls.push_back({conn.call, std::move(conn.done), std::move(outcome)});
    event_active(this->deliver_event.get(), 0, 0);
    conn.call = 0;
    const std::optional<duration> advertised =
        keep_alive_time(this->finished_calls.back().outcome.answer.headers);
    const duration max_idle_time = advertised.value_or(std::chrono::seconds(4));
    if (keep && max_idle_time > duration(0))
        this->keep_for_reuse(conn, max_idle_time);
    else if (this->finished_calls.back().outcome.end == call_end::answered)
        this->close(conn);
    else
        this->abort(conn);
}

void client::implementation::keep_for_reuse(connection& conn, duration max_idle_time)
{
    std::vector<connection*>& same_address = this->idle_connections[conn.address];
    if (same_address.size() >= this->options.max_idle_connections ||
        conn.carried.size() >= max_calls_per_connection)
    {
        this->close(conn);
        return;
    }
    conn.idle_since = monotonic_now();
    conn.timer.start(max_idle_time);
    same_address.push_back(&conn);
}

void client::implementation::close(connection& conn)
{
    const auto found = this->idle_connections.find(conn.address);
    if (found != this->idle_connections.end())
    {
        std::erase(found->second, &conn);
        if (found->second.empty())
            this->idle_connections.erase(found);
    }
    this->open_connections.erase(conn.id);
}

// Resets the connection: an abandoned request must not be delivered later, for instance
// when a cut link recovers, because it would run although nobody waits for its response.
void client::implementation::abort(connection& conn)
{
    internal::reset_on_close(bufferevent_getfd(conn.socket.get()));
    this->close(conn);
}

void client::implementation::deliver()
{
    this->calls_in_delivery.swap(this->finished_calls);
    for (finished_call& each : this->calls_in_delivery)
        if (each.done)
            event_loop::run_guarded([&each] { each.done(std::move(each.outcome)); });
    this->calls_in_delivery.clear();
}

void client::implementation::cancel(call_id call)
{
    for (std::vector<finished_call>* batch :
         {&this->finished_calls, &this->calls_in_delivery})
        for (finished_call& each : *batch)
            if (each.call == call)
                each.done = nullptr;
    const auto found = this->calls.find(call);
    if (found == this->calls.end())
        return;
    connection& conn = *found->second;
    this->calls.erase(found);
    this->update_buffered(conn, 0);
    this->abort(conn);
}

client::client(event_base* base, client_options options)
    : self(std::make_unique<implementation>(base, std::move(options)))
{
}

client::~client() = default;

call_id client::send(const std::string& address, const request& outgoing,
                     const call_options& options, call_handler done)
{
    return this->self->send(address, outgoing, options, std::move(done));
}

void client::cancel(call_id call)
{
    this->self->cancel(call);
}

void client::check_connect(const std::string& address, duration timeout,
                           std::function<void(connect_outcome)> done)
{
    this->self->check_connect(address, timeout, std::move(done));
}

std::uint64_t client::connections_opened() const
{
    return this->self->opened_count;
}

} // namespace pistachiospan::http1
