#include "pistachiospan/upstream_client/upstream_client.hpp"

#include "pistachiospan/event_loop/event_loop.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <unordered_map>

namespace pistachiospan::upstream_client
{

namespace
{

using pistachiospan::event_loop::to_timeval;

constexpr std::array<std::pair<std::string_view, evhttp_cmd_type>, 7> methods{
    {{"GET", EVHTTP_REQ_GET},
     {"HEAD", EVHTTP_REQ_HEAD},
     {"POST", EVHTTP_REQ_POST},
     {"PUT", EVHTTP_REQ_PUT},
     {"DELETE", EVHTTP_REQ_DELETE},
     {"PATCH", EVHTTP_REQ_PATCH},
     {"OPTIONS", EVHTTP_REQ_OPTIONS}}};

constexpr const char* request_id_header = "X-Request-Id";

std::optional<evhttp_cmd_type> method_type(std::string_view name)
{
    for (const auto& [method, type] : methods)
        if (method == name)
            return type;
    return std::nullopt;
}

struct endpoint
{
    std::string host;
    std::uint16_t port = 0;
};

std::optional<endpoint> parse_endpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    endpoint parsed{.host = std::string(address.substr(0, colon))};
    const std::string_view port = address.substr(colon + 1);
    const auto [end, problem] =
        std::from_chars(port.data(), port.data() + port.size(), parsed.port);
    if (problem != std::errc() || end != port.data() + port.size())
        return std::nullopt;
    return parsed;
}

// Framed answers have a length, chunks, or no body by definition.
bool is_framed(const evhttp_request* answer, evhttp_cmd_type method, int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (method == EVHTTP_REQ_HEAD || status == no_content || status == not_modified)
        return true;
    const evkeyvalq* headers =
        evhttp_request_get_input_headers(const_cast<evhttp_request*>(answer));
    return evhttp_find_header(headers, "Content-Length") != nullptr ||
           evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

response copy_response(evhttp_request* answer)
{
    response copy{.status = evhttp_request_get_response_code(answer)};
    const evkeyvalq* headers = evhttp_request_get_input_headers(answer);
    for (const evkeyval* field = headers->tqh_first; field != nullptr;
         field = field->next.tqe_next)
        copy.headers.push_back({field->key, field->value});
    evbuffer* body = evhttp_request_get_input_buffer(answer);
    copy.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, copy.body.data(), copy.body.size());
    return copy;
}

} // namespace

class client::implementation
{
public:
    implementation(event_base* base, client_options options)
        : base(base), options(options),
          cleanup(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void* user)
              { static_cast<implementation*>(user)->free_closed(); },
              this))
    {
    }

    ~implementation()
    {
        for (auto& [id, line] : this->open)
            this->release(std::move(line));
        this->free_closed();
        event_free(this->cleanup);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    call_id send(const std::string& address, request outgoing, answer_handler done);
    void cancel(call_id call);
    void close_idle(const std::string& address);

    std::size_t connections(const std::string& address) const
    {
        const auto found = this->counts.find(address);
        return found == this->counts.end() ? 0 : found->second;
    }

private:
    // One TCP connection. Busy while `done` is set, else idle.
    struct connection
    {
        implementation* owner = nullptr;
        call_id id = 0; // of the current call, and key in `open`
        std::string address;
        evhttp_connection* http = nullptr;
        event* timer = nullptr; // deadline while busy, idle timeout while idle
        answer_handler done;
        std::string request_id;
        evhttp_cmd_type method = EVHTTP_REQ_GET;
        bool wrote = false; // a byte of the current request left for the network
        bool timed_out = false;
    };

    using connection_ptr = std::unique_ptr<connection>;

    connection* acquire(const std::string& address);
    connection_ptr connect(const std::string& address);
    void start(connection& line, request outgoing, evhttp_cmd_type method);
    void answered(connection& line, evhttp_request* answer);
    result<response> check(const connection& line, evhttp_request* answer) const;
    void park(connection& line);
    void expire(connection& line);
    void closed_by_peer(connection& line);
    void close(connection& line);
    void release(connection_ptr line);
    void free_closed();
    static void on_written(evbuffer*, const evbuffer_cb_info* info, void* user);

    event_base* base;
    client_options options;
    event* cleanup;
    call_id next_id = 1;
    std::unordered_map<call_id, connection_ptr> open;
    std::unordered_map<std::string, std::vector<call_id>> idle; // newest last
    std::unordered_map<std::string, std::size_t> counts;
    std::vector<connection_ptr> closed;
};

void client::implementation::on_written(evbuffer*, const evbuffer_cb_info* info,
                                        void* user)
{
    if (info->n_deleted > 0)
        static_cast<connection*>(user)->wrote = true;
}

client::implementation::connection_ptr
client::implementation::connect(const std::string& address)
{
    const std::optional<endpoint> target = parse_endpoint(address);
    if (!target)
        return nullptr;
    bufferevent* transport =
        bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE);
    auto line = std::make_unique<connection>();
    line->owner = this;
    line->address = address;
    line->http = evhttp_connection_base_bufferevent_new(
        this->base, nullptr, transport, target->host.c_str(), target->port);
    evhttp_connection_set_max_body_size(
        line->http, static_cast<ev_ssize_t>(this->options.max_response_body));
    evbuffer_add_cb(bufferevent_get_output(transport), &implementation::on_written,
                    line.get());
    evhttp_connection_set_closecb(
        line->http,
        [](evhttp_connection*, void* user)
        {
            auto* closed = static_cast<connection*>(user);
            closed->owner->closed_by_peer(*closed);
        },
        line.get());
    line->timer = event_new(
        this->base, -1, 0,
        [](evutil_socket_t, short, void* user)
        {
            auto* expired = static_cast<connection*>(user);
            expired->owner->expire(*expired);
        },
        line.get());
    ++this->counts[address];
    return line;
}

client::implementation::connection*
client::implementation::acquire(const std::string& address)
{
    const call_id id = this->next_id++;
    std::vector<call_id>& waiting = this->idle[address];
    connection_ptr line;
    if (waiting.empty())
        line = this->connect(address);
    else
    {
        line = std::move(this->open.extract(waiting.back()).mapped());
        waiting.pop_back();
    }
    if (!line)
        return nullptr;
    line->id = id;
    return (this->open[id] = std::move(line)).get();
}

call_id client::implementation::send(const std::string& address, request outgoing,
                                     answer_handler done)
{
    const std::optional<evhttp_cmd_type> method = method_type(outgoing.method);
    if (!method)
    {
        done(failure(errc::unavailable, "method " + outgoing.method +
                                            " is not supported; use GET, HEAD, "
                                            "POST, PUT, DELETE, PATCH or OPTIONS"));
        return 0;
    }
    connection* line = this->acquire(address);
    if (line == nullptr)
    {
        done(failure(errc::unavailable, "upstream address " + address +
                                            " is not ip:port; correct the catalogue"));
        return 0;
    }
    line->done = std::move(done);
    const call_id id = line->id;
    this->start(*line, std::move(outgoing), *method);
    return id;
}

void client::implementation::start(connection& line, request outgoing,
                                   evhttp_cmd_type method)
{
    line.wrote = false;
    line.timed_out = false;
    line.method = method;
    line.request_id = outgoing.request_id;
    evhttp_request* call = evhttp_request_new(
        [](evhttp_request* answer, void* user)
        {
            auto* answered = static_cast<connection*>(user);
            answered->owner->answered(*answered, answer);
        },
        &line);
    evkeyvalq* headers = evhttp_request_get_output_headers(call);
    for (const header& field : outgoing.headers)
        evhttp_add_header(headers, field.name.c_str(), field.value.c_str());
    evhttp_add_header(headers, request_id_header, outgoing.request_id.c_str());
    if (evhttp_find_header(headers, "Host") == nullptr)
        evhttp_add_header(headers, "Host", line.address.c_str());
    if (!outgoing.body.empty())
        evbuffer_add(evhttp_request_get_output_buffer(call), outgoing.body.data(),
                     outgoing.body.size());
    const timeval limit = to_timeval(outgoing.timeout);
    event_add(line.timer, &limit);
    evhttp_make_request(line.http, call, method, outgoing.target.c_str());
}

result<response> client::implementation::check(const connection& line,
                                               evhttp_request* answer) const
{
    const int status = answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
    if (status == 0)
    {
        if (!line.wrote)
            return failure(errc::unavailable,
                           "no connection to upstream " + line.address);
        return failure(errc::unknown_outcome, "upstream " + line.address +
                                                  " ended the connection before the "
                                                  "end of its answer");
    }
    if (!is_framed(answer, line.method, status))
        return failure(errc::unknown_outcome,
                       "upstream " + line.address +
                           " sent an answer without length; its end cannot be checked");
    const char* echoed =
        evhttp_find_header(evhttp_request_get_input_headers(answer), request_id_header);
    if (echoed != nullptr && line.request_id != echoed)
        return failure(errc::unknown_outcome,
                       "upstream " + line.address +
                           " answered another request; its connection was closed");
    return copy_response(answer);
}

void client::implementation::answered(connection& line, evhttp_request* answer)
{
    if (!line.done)
        return;
    result<response> checked = this->check(line, answer);
    const answer_handler done = std::move(line.done);
    line.done = nullptr;
    if (checked)
        this->park(line);
    else
        this->close(line);
    done(std::move(checked));
}

// Keeps a connection for the next request. evhttp itself closes it when the answer says
// so; closed_by_peer() then removes it.
void client::implementation::park(connection& line)
{
    std::vector<call_id>& waiting = this->idle[line.address];
    if (waiting.size() >= this->options.max_idle_connections)
        return this->close(line);
    waiting.push_back(line.id);
    const timeval limit = to_timeval(this->options.idle_timeout);
    event_add(line.timer, &limit);
}

void client::implementation::expire(connection& line)
{
    if (!line.done)
        return this->close(line);
    const answer_handler done = std::move(line.done);
    line.done = nullptr;
    const bool wrote = line.wrote;
    const std::string address = line.address;
    this->close(line);
    done(failure(wrote ? errc::timeout : errc::unavailable,
                 "no answer of upstream " + address + " before the deadline"));
}

void client::implementation::closed_by_peer(connection& line)
{
    // A busy connection is handled by answered(), which evhttp calls as well.
    if (!line.done)
        this->close(line);
}

void client::implementation::close(connection& line)
{
    std::vector<call_id>& waiting = this->idle[line.address];
    std::erase(waiting, line.id);
    this->release(std::move(this->open.extract(line.id).mapped()));
    event_active(this->cleanup, 0, 0);
}

// evhttp connections are freed from the loop, outside of their own callbacks. The
// connection object stays until then, since evhttp may still call back.
void client::implementation::release(connection_ptr line)
{
    evhttp_connection_set_closecb(line->http, nullptr, nullptr);
    event_free(line->timer);
    const auto count = this->counts.find(line->address);
    if (--count->second == 0)
        this->counts.erase(count);
    this->closed.push_back(std::move(line));
}

void client::implementation::free_closed()
{
    for (const connection_ptr& line : std::exchange(this->closed, {}))
        evhttp_connection_free(line->http);
}

void client::implementation::cancel(call_id call)
{
    const auto found = this->open.find(call);
    if (found == this->open.end() || !found->second->done)
        return;
    found->second->done = nullptr;
    this->close(*found->second);
}

void client::implementation::close_idle(const std::string& address)
{
    const std::vector<call_id> waiting = this->idle[address];
    for (const call_id id : waiting)
        this->close(*this->open.at(id));
}

client::client(event_base* base, client_options options)
    : self(std::make_unique<implementation>(base, options))
{
}

client::~client() = default;

call_id client::send(const std::string& address, request outgoing, answer_handler done)
{
    return this->self->send(address, std::move(outgoing), std::move(done));
}

void client::cancel(call_id call)
{
    this->self->cancel(call);
}

void client::close_idle(const std::string& address)
{
    this->self->close_idle(address);
}

std::size_t client::connections(const std::string& address) const
{
    return this->self->connections(address);
}

} // namespace pistachiospan::upstream_client
