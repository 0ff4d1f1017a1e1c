#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/parser.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <event2/bufferevent.h>
#include <sys/ioctl.h>

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

constexpr std::size_t feed_piece = std::size_t{64} << 10U;
constexpr int first_final_status = 200;
constexpr int first_error_status = 400;

// Interim answers, and answers to earlier requests, that one call passes over.
constexpr std::size_t most_passed_over = 16;
// For what has arrived when the time of a call is over.
constexpr duration read_out_time = std::chrono::milliseconds(2);
// Bytes of one call besides its answer's body: heads, framing, and what is passed over.
constexpr std::size_t most_framing = std::size_t{1} << 20U;

// A server closes an idle connection after the time it states; a request that crosses the
// close is lost, so the connection is given up this much earlier.
constexpr duration keep_alive_margin = std::chrono::seconds(1);

// The idle time that `Keep-Alive: timeout=N` states, less the margin.
std::optional<duration> stated_idle_time(const header_list& headers)
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
                 const call_options& how, call_handler done);
    void cancel(call_id call);

    std::uint64_t opened = 0;

private:
    struct connection
    {
        connection(implementation& owner, std::uint64_t id, std::string address)
            : owner(owner), id(id), address(std::move(address)), parser(HTTP_RESPONSE),
              timer(owner.base, [this] { this->owner.on_time_over(*this); })
        {
        }

        implementation& owner;
        std::uint64_t id;
        std::string address;
        bufferevent_ptr socket;
        internal::parser parser;
        one_shot_timer timer; // connect, then the call; or the idle time
        call_id call = 0;     // 0: idle
        call_handler done;
        std::string correlation;
        time_point deadline;
        time_point idle_since;
        std::string unsent; // the request, until the connection is open
        bool connected = false;
        bool unreachable = false;    // its address can't be read
        bool used = false;           // by an earlier call
        bool read_out = false;       // what had arrived by the end of the call's time
        std::size_t received = 0;    // bytes of this call
        std::size_t passed_over = 0; // answers in this call
        std::size_t buffered = 0;    // bytes of the body, counted in the total
    };

    static void on_read(bufferevent*, void* user);
    static void on_event(bufferevent*, short what, void* user);

    void note_event(connection& on, short what);
    connection* take_idle(const std::string& address, duration max_idle);
    connection& connect(const std::string& address);
    std::string serialize(const request& outgoing, const std::string& address) const;
    void start(connection& on, const call_options& how);
    void feed(connection& from);
    void count_body(connection& of, std::size_t bytes);
    std::string_view fault_of(const connection& from) const;
    void take_answer(connection& from);
    bool belongs(const connection& from) const;
    void on_end(connection& ended, short what);
    static bool has_unread(const connection& from);
    void on_time_over(connection& late);
    void finish(connection& used, call_result outcome, bool keep);
    void keep_idle(connection& used, duration most);
    void close(connection& ended);
    void abort(connection& ended);
    void deliver();

    event_base* base;
    client_options options;
    std::uint64_t last_id = 0;
    std::size_t total_buffered = 0; // bytes of all bodies
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> open;
    std::unordered_map<call_id, connection*> calls;
    std::unordered_map<std::string, std::vector<connection*>> idle;
    struct finished_call
    {
        call_id call;
        call_handler done;
        call_result outcome;
    };
    std::vector<finished_call> finished;
    std::vector<finished_call> delivering;
    event_ptr deliver_event;
};

std::string client::implementation::serialize(const request& outgoing,
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
    const bool bodiless =
        outgoing.body.empty() && (outgoing.method == "GET" || outgoing.method == "HEAD");
    if (!bodiless)
        bytes += "Content-Length: " + std::to_string(outgoing.body.size()) + "\r\n";
    bytes += "\r\n";
    bytes += outgoing.body;
    return bytes;
}

call_id client::implementation::send(const std::string& address, const request& outgoing,
                                     const call_options& how, call_handler done)
{
    const call_id call = ++this->last_id;
    connection* used = this->take_idle(address, how.max_idle_time);
    if (used == nullptr)
        used = &this->connect(address);
    used->call = call;
    used->done = std::move(done);
    used->deadline = monotonic_now() + how.timeout;
    used->unsent = this->serialize(outgoing, address);
    used->received = 0;
    used->read_out = false;
    used->passed_over = 0;
    used->parser.next();
    if (outgoing.method == "HEAD")
        used->parser.expect_no_body();
    used->correlation.clear();
    if (const std::string* id =
            find_header(outgoing.headers, this->options.correlation_header))
        used->correlation = *id;
    this->calls.emplace(call, used);
    this->start(*used, how);
    return call;
}

void client::implementation::start(connection& on, const call_options& how)
{
    if (on.connected)
    {
        bufferevent_write(on.socket.get(), on.unsent.data(), on.unsent.size());
        on.unsent.clear();
        on.timer.start(how.timeout);
        return;
    }
    on.timer.start(on.unreachable ? duration(0)
                                  : std::min(how.timeout, how.connect_timeout));
}

client::implementation::connection*
client::implementation::take_idle(const std::string& address, duration max_idle)
{
    const time_point now = monotonic_now();
    while (this->idle.contains(address) && !this->idle[address].empty())
    {
        connection* last = this->idle[address].back();
        this->idle[address].pop_back();
        const bool silent =
            evbuffer_get_length(bufferevent_get_input(last->socket.get())) == 0;
        if (silent && now - last->idle_since <= max_idle)
            return last;
        this->close(*last);
    }
    return nullptr;
}

client::implementation::connection&
client::implementation::connect(const std::string& address)
{
    auto owned = std::make_unique<connection>(*this, ++this->last_id, address);
    connection& made = *owned;
    this->open.emplace(made.id, std::move(owned));
    ++this->opened;
    made.socket.reset(bufferevent_socket_new(
        this->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    made.parser.set_limits({.max_body = this->options.max_response_body});
    bufferevent_setcb(made.socket.get(), &implementation::on_read, nullptr,
                      &implementation::on_event, &made);
    bufferevent_enable(made.socket.get(), EV_READ | EV_WRITE);
    // A failure is reported through on_event, also one that shows at once. An address
    // that can't be read fails like one that does not answer.
    if (const auto remote = internal::try_parse_address(address))
        bufferevent_socket_connect(made.socket.get(),
                                   reinterpret_cast<const sockaddr*>(&*remote),
                                   sizeof(*remote));
    else
        made.unreachable = true;
    return made;
}

void client::implementation::on_event(bufferevent*, short what, void* user)
{
    event_loop::run_guarded([what, &on = *static_cast<connection*>(user)]
                            { on.owner.note_event(on, what); });
}

void client::implementation::note_event(connection& on, short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        internal::tune(bufferevent_getfd(on.socket.get()));
        on.connected = true;
        if (on.call == 0)
            return;
        bufferevent_write(on.socket.get(), on.unsent.data(), on.unsent.size());
        on.unsent.clear();
        on.timer.start(on.deadline - monotonic_now());
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
        this->on_end(on, what);
}

void client::implementation::on_end(connection& ended, short what)
{
    if (ended.call == 0)
    {
        this->close(ended);
        return;
    }
    if (!ended.connected)
    {
        this->finish(ended, {.end = call_end::not_sent, .detail = "connect failed"},
                     false);
        return;
    }
    // A reset must not complete an answer that has no length.
    if ((what & BEV_EVENT_EOF) != 0)
        ended.parser.feed_end();
    if (ended.parser.state() == parse_state::complete && this->belongs(ended))
    {
        this->take_answer(ended);
        return;
    }
    const bool reset = (what & BEV_EVENT_ERROR) != 0;
    this->finish(ended,
                 {.end = call_end::broken,
                  .detail = reset ? "connection reset" : "connection closed"},
                 false);
}

void client::implementation::on_read(bufferevent*, void* user)
{
    auto& from = *static_cast<connection*>(user);
    event_loop::run_guarded(
        [&from]
        {
            if (from.call == 0)
                from.owner.close(from); // bytes that belong to no request
            else
                from.owner.feed(from);
        });
}

void client::implementation::feed(connection& from)
{
    evbuffer* input = bufferevent_get_input(from.socket.get());
    while (true)
    {
        const std::string_view piece = internal::peek(input, feed_piece);
        if (piece.empty())
            return;
        const std::size_t taken = from.parser.feed(piece);
        evbuffer_drain(input, taken);
        from.received += taken;
        this->count_body(from, from.parser.body_size());
        const std::string_view fault = this->fault_of(from);
        if (!fault.empty())
        {
            this->finish(from, {.end = call_end::broken, .detail = std::string(fault)},
                         false);
            return;
        }
        if (from.parser.state() != parse_state::complete)
            continue;
        const bool interim = from.parser.status < first_final_status;
        if (!interim && this->belongs(from))
        {
            this->take_answer(from);
            return;
        }
        ++from.passed_over;
        from.parser.next();
    }
}

void client::implementation::count_body(connection& of, std::size_t bytes)
{
    this->total_buffered += bytes;
    this->total_buffered -= of.buffered;
    of.buffered = bytes;
}

// What is wrong with the bytes received so far; empty: nothing.
std::string_view client::implementation::fault_of(const connection& from) const
{
    if (from.parser.state() == parse_state::failed)
        return "answer is malformed";
    if (from.received > this->options.max_response_body + most_framing ||
        from.passed_over > most_passed_over)
        return "answer has no end";
    if (this->total_buffered > this->options.max_buffered)
        return "no memory for the answer";
    return {};
}

// An answer without an id is taken only if it is a failure, and the first answer of its
// connection: a success must prove whose it is, and a late copy of an earlier answer has
// no place on a new connection.
bool client::implementation::belongs(const connection& from) const
{
    if (from.correlation.empty())
        return true;
    const std::string* id =
        find_header(from.parser.headers, this->options.correlation_header);
    if (id == nullptr)
        return from.parser.status >= first_error_status && !from.used &&
               from.passed_over == 0;
    return *id == from.correlation;
}

void client::implementation::take_answer(connection& from)
{
    call_result outcome{.end = call_end::answered};
    const bool keep_alive = from.parser.keep_alive();
    outcome.answer.status = from.parser.status;
    outcome.answer.headers = std::move(from.parser.headers);
    outcome.answer.body = std::move(from.parser.body);
    bufferevent* socket = from.socket.get();
    const bool quiet = evbuffer_get_length(bufferevent_get_input(socket)) == 0;
    // A server may answer before it has read the whole body.
    const bool sent = evbuffer_get_length(bufferevent_get_output(socket)) == 0;
    this->finish(from, std::move(outcome), keep_alive && quiet && sent);
}

bool client::implementation::has_unread(const connection& from)
{
    int unread = 0;
    return evbuffer_get_length(bufferevent_get_input(from.socket.get())) > 0 ||
           (ioctl(bufferevent_getfd(from.socket.get()), FIONREAD, &unread) == 0 &&
            unread > 0);
}

void client::implementation::on_time_over(connection& late)
{
    if (late.call == 0)
    {
        this->close(late);
        return;
    }
    // After a freeze of this process the answer may have arrived in time and wait to be
    // read.
    if (late.connected && !std::exchange(late.read_out, true) && has_unread(late))
    {
        late.timer.start(read_out_time);
        return;
    }
    const call_end end = late.connected ? call_end::timed_out : call_end::not_sent;
    const char* detail = late.connected ? "no answer in time" : "connect timed out";
    this->finish(late, {.end = end, .detail = detail}, false);
}

// Handlers run from deliver() only, so that a call made inside of a handler finds the
// connections in order.
void client::implementation::finish(connection& used, call_result outcome, bool keep)
{
    this->calls.erase(used.call);
    this->count_body(used, 0);
    this->finished.push_back({used.call, std::move(used.done), std::move(outcome)});
    event_active(this->deliver_event.get(), 0, 0);
    used.call = 0;
    used.used = true;
    const std::optional<duration> stated =
        stated_idle_time(this->finished.back().outcome.answer.headers);
    const duration most = stated.value_or(std::chrono::seconds(4));
    if (keep && most > duration(0))
        this->keep_idle(used, most);
    else if (this->finished.back().outcome.end == call_end::answered)
        this->close(used);
    else
        this->abort(used);
}

void client::implementation::keep_idle(connection& used, duration most)
{
    std::vector<connection*>& others = this->idle[used.address];
    if (others.size() >= this->options.max_idle_connections)
    {
        this->close(used);
        return;
    }
    used.idle_since = monotonic_now();
    used.timer.start(most);
    others.push_back(&used);
}

void client::implementation::close(connection& ended)
{
    const auto found = this->idle.find(ended.address);
    if (found != this->idle.end())
    {
        std::erase(found->second, &ended);
        if (found->second.empty())
            this->idle.erase(found);
    }
    this->open.erase(ended.id);
}

// A request that was given up must not arrive later, as it would after a link is whole
// again: it would run for nobody.
void client::implementation::abort(connection& ended)
{
    internal::reset_on_close(bufferevent_getfd(ended.socket.get()));
    this->close(ended);
}

void client::implementation::deliver()
{
    this->delivering.swap(this->finished);
    for (finished_call& each : this->delivering)
        if (each.done)
            event_loop::run_guarded([&each] { each.done(std::move(each.outcome)); });
    this->delivering.clear();
}

void client::implementation::cancel(call_id call)
{
    for (std::vector<finished_call>* ended : {&this->finished, &this->delivering})
        for (finished_call& each : *ended)
            if (each.call == call)
                each.done = nullptr;
    const auto found = this->calls.find(call);
    if (found == this->calls.end())
        return;
    connection& used = *found->second;
    this->calls.erase(found);
    this->count_body(used, 0);
    this->abort(used);
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

std::uint64_t client::connections_opened() const
{
    return this->self->opened;
}

} // namespace pistachiospan::http1
