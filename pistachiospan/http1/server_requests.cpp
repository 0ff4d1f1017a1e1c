// From the bytes of a server's connections to requests, and from their answers to bytes.

#include "pistachiospan/http1/internal/response_head.hpp"
#include "pistachiospan/http1/internal/server_implementation.hpp"

#include <algorithm>
#include <utility>

namespace pistachiospan::http1
{

namespace
{

using event_loop::monotonic_now;
using internal::parse_error;
using internal::parse_state;

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
    if (!this->open_connections.contains(id))
        return;
    conn.parsing = false;
    if (this->draining)
        this->close_after_present(conn);
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

// At a planned stop, no request follows those that have been passed on.
void server::implementation::close_after_present(connection& conn)
{
    if (conn.closing || conn.answers.empty())
        return;
    conn.answers.close_after_present();
    this->discard_input(conn);
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
                                .is_last = !conn.parser.keep_alive(),
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
    conn.answers.put(exchange, outgoing, close || this->draining);
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

} // namespace pistachiospan::http1
