#include "pistachiospan/upstream_client/upstream_client.hpp"

#include "pistachiospan/event_loop/event_loop.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <unordered_map>

namespace pistachiospan::upstream_client
{

namespace
{

using pistachiospan::event_loop::run_guarded;
using pistachiospan::event_loop::to_timeval;

constexpr std::array<std::pair<std::string_view, evhttp_cmd_type>, 7> methods{
    {{"GET", EVHTTP_REQ_GET},
     {"HEAD", EVHTTP_REQ_HEAD},
     {"POST", EVHTTP_REQ_POST},
     {"PUT", EVHTTP_REQ_PUT},
     {"DELETE", EVHTTP_REQ_DELETE},
     {"PATCH", EVHTTP_REQ_PATCH},
     {"OPTIONS", EVHTTP_REQ_OPTIONS}}};

constexpr int interim_status = 100;
constexpr int first_final_status = 200;
constexpr int last_status = 599;

constexpr const char* request_id_header = "X-Request-Id";

// Largest size of the headers of a response, in bytes.
constexpr ev_ssize_t max_response_headers = ev_ssize_t{64} * 1024;

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

// True if the end of the response can be verified: it has one length, is chunked, or has
// no body by definition. evhttp reads a body with any other coding until its connection
// ends, and takes the first one of several lengths.
bool is_framed(evhttp_request* http_response, evhttp_cmd_type method, int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (method == EVHTTP_REQ_HEAD || status == no_content || status == not_modified)
        return true;
    const evkeyvalq* headers = evhttp_request_get_input_headers(http_response);
    int framing_fields = 0;
    bool has_other_coding = false;
    for (const evkeyval* field = headers->tqh_first; field != nullptr;
         field = field->next.tqe_next)
    {
        const bool is_coding =
            evutil_ascii_strcasecmp(field->key, "Transfer-Encoding") == 0;
        if (is_coding || evutil_ascii_strcasecmp(field->key, "Content-Length") == 0)
            ++framing_fields;
        if (is_coding && evutil_ascii_strcasecmp(field->value, "chunked") != 0)
            has_other_coding = true;
    }
    return framing_fields == 1 && !has_other_coding;
}

// Whether the peer's host has received all bytes that were written to the connection.
bool is_all_received(bufferevent* transport)
{
    int unacknowledged = 0; // bytes
    return evbuffer_get_length(bufferevent_get_output(transport)) == 0 &&
           ioctl(bufferevent_getfd(transport), SIOCOUTQ, &unacknowledged) == 0 &&
           unacknowledged == 0;
}

response copy_response(evhttp_request* http_response)
{
    response copied{.status = evhttp_request_get_response_code(http_response)};
    const evkeyvalq* headers = evhttp_request_get_input_headers(http_response);
    for (const evkeyval* header_field = headers->tqh_first; header_field != nullptr;
         header_field = header_field->next.tqe_next)
        copied.headers.push_back({header_field->key, header_field->value});
    evbuffer* body = evhttp_request_get_input_buffer(http_response);
    copied.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, copied.body.data(), copied.body.size());
    return copied;
}

} // namespace

class client::implementation
{
public:
    implementation(event_base* base, client_options options)
        : base(base), options(options),
          cleanup_event(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void* user)
              { static_cast<implementation*>(user)->free_closed(); },
              this))
    {
    }

    ~implementation()
    {
        for (auto& [id, conn] : this->open_connections)
            this->release(std::move(conn));
        this->free_closed();
        event_free(this->cleanup_event);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    call_id send(const std::string& address, request outgoing, response_handler done);
    void cancel(call_id call);
    void close_idle(const std::string& address);

    std::size_t connections(const std::string& address) const
    {
        const auto found = this->connection_counts.find(address);
        return found == this->connection_counts.end() ? 0 : found->second;
    }

private:
    // One TCP connection. It is busy while `done` is set, otherwise idle.
    struct connection
    {
        implementation* owner = nullptr;
        call_id id = 0; // id of the current or last call, and key in `open_connections`
        std::string address;
        evhttp_connection* http = nullptr;
        event* timer = nullptr; // call timeout while busy, idle timeout while idle
        response_handler done;
        std::string request_id;
        evhttp_cmd_type method = EVHTTP_REQ_GET;
        // A byte of the current request was written to the socket.
        bool wrote_bytes = false;
        bool timed_out = false;
        bool response_began = false; // a byte of the current response was received
        // The current response began before the upstream had the whole request.
        bool early_response = false;
        std::string rejection; // what is wrong with the head of the current response
        bool has_served_call = false; // an earlier answer came on it
    };

    using connection_ptr = std::unique_ptr<connection>;

    connection* acquire_connection(const std::string& address);
    connection_ptr connect(const std::string& address);
    void start(connection& conn, request outgoing, evhttp_cmd_type method);
    void on_response(connection& conn, evhttp_request* http_response);
    static std::string find_fault(const connection& conn, evhttp_request* http_response);
    static bool has_id(evhttp_request* http_response);
    result<response> check_response(const connection& conn,
                                    evhttp_request* http_response) const;
    void keep_for_reuse(connection& conn);
    void on_timer(connection& conn);
    void on_peer_close(connection& conn);
    void close(connection& conn);
    void release(connection_ptr conn);
    void free_closed();
    static void on_output(evbuffer*, const evbuffer_cb_info* info, void* user);
    static void on_input(evbuffer*, const evbuffer_cb_info* info, void* user);

    event_base* base;
    client_options options;
    event* cleanup_event;
    call_id next_id = 1;
    std::unordered_map<call_id, connection_ptr> open_connections;
    std::unordered_map<std::string, std::vector<call_id>> idle_connections; // newest last
    std::unordered_map<std::string, std::size_t> connection_counts;
    std::vector<connection_ptr> closed_connections;
};

void client::implementation::on_output(evbuffer*, const evbuffer_cb_info* info,
                                       void* user)
{
    if (info->n_deleted > 0)
        static_cast<connection*>(user)->wrote_bytes = true;
}

void client::implementation::on_input(evbuffer*, const evbuffer_cb_info* info, void* user)
{
    auto* conn = static_cast<connection*>(user);
    if (info->n_added > 0 && !std::exchange(conn->response_began, true))
        conn->early_response =
            !is_all_received(evhttp_connection_get_bufferevent(conn->http));
}

client::implementation::connection_ptr
client::implementation::connect(const std::string& address)
{
    const std::optional<endpoint> endpoint_address = parse_endpoint(address);
    if (!endpoint_address)
        return nullptr;
    bufferevent* transport =
        bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE);
    auto conn = std::make_unique<connection>();
    conn->owner = this;
    conn->address = address;
    conn->http = evhttp_connection_base_bufferevent_new(this->base, nullptr, transport,
                                                        endpoint_address->host.c_str(),
                                                        endpoint_address->port);
    evhttp_connection_set_max_headers_size(conn->http, max_response_headers);
    evhttp_connection_set_max_body_size(
        conn->http, static_cast<ev_ssize_t>(this->options.max_response_body));
    evbuffer_add_cb(bufferevent_get_output(transport), &implementation::on_output,
                    conn.get());
    evbuffer_add_cb(bufferevent_get_input(transport), &implementation::on_input,
                    conn.get());
    evhttp_connection_set_closecb(
        conn->http,
        [](evhttp_connection*, void* user)
        {
            auto* conn = static_cast<connection*>(user);
            conn->owner->on_peer_close(*conn);
        },
        conn.get());
    conn->timer = event_new(
        this->base, -1, 0,
        [](evutil_socket_t, short, void* user)
        {
            auto* conn = static_cast<connection*>(user);
            run_guarded([conn] { conn->owner->on_timer(*conn); });
        },
        conn.get());
    ++this->connection_counts[address];
    return conn;
}

client::implementation::connection*
client::implementation::acquire_connection(const std::string& address)
{
    const call_id id = this->next_id++;
    std::vector<call_id>& idle_ids = this->idle_connections[address];
    connection_ptr conn;
    if (idle_ids.empty())
        conn = this->connect(address);
    else
    {
        conn = std::move(this->open_connections.extract(idle_ids.back()).mapped());
        idle_ids.pop_back();
    }
    if (!conn)
        return nullptr;
    conn->id = id;
    return (this->open_connections[id] = std::move(conn)).get();
}

call_id client::implementation::send(const std::string& address, request outgoing,
                                     response_handler done)
{
    const std::optional<evhttp_cmd_type> method = method_type(outgoing.method);
    if (!method)
    {
        done(failure(errc::unavailable, "method " + outgoing.method +
                                            " is not supported; use GET, HEAD, "
                                            "POST, PUT, DELETE, PATCH or OPTIONS"));
        return 0;
    }
    connection* conn = this->acquire_connection(address);
    if (conn == nullptr)
    {
        done(failure(errc::unavailable, "upstream address " + address +
                                            " is not ip:port; correct the catalogue"));
        return 0;
    }
    conn->done = std::move(done);
    const call_id id = conn->id;
    this->start(*conn, std::move(outgoing), *method);
    return id;
}

void client::implementation::start(connection& conn, request outgoing,
                                   evhttp_cmd_type method)
{
    conn.wrote_bytes = false;
    conn.timed_out = false;
    conn.response_began = false;
    conn.early_response = false;
    conn.rejection.clear();
    conn.method = method;
    conn.request_id = outgoing.request_id;
    evhttp_request* http_request = evhttp_request_new(
        [](evhttp_request* http_response, void* user)
        {
            auto* conn = static_cast<connection*>(user);
            run_guarded([conn, http_response]
                        { conn->owner->on_response(*conn, http_response); });
        },
        &conn);
    // A negative result ends the call, without waiting for the body.
    evhttp_request_set_header_cb(
        http_request,
        [](evhttp_request* http_response, void* user)
        {
            auto* conn = static_cast<connection*>(user);
            const bool is_checked =
                run_guarded([conn, http_response]
                            { conn->rejection = find_fault(*conn, http_response); });
            return is_checked && conn->rejection.empty() ? 0 : -1;
        });
    evkeyvalq* headers = evhttp_request_get_output_headers(http_request);
    for (const header& header_field : outgoing.headers)
        evhttp_add_header(headers, header_field.name.c_str(), header_field.value.c_str());
    evhttp_add_header(headers, request_id_header, outgoing.request_id.c_str());
    if (evhttp_find_header(headers, "Host") == nullptr)
        evhttp_add_header(headers, "Host", conn.address.c_str());
    if (!outgoing.body.empty())
        evbuffer_add(evhttp_request_get_output_buffer(http_request), outgoing.body.data(),
                     outgoing.body.size());
    const timeval timeout = to_timeval(outgoing.timeout);
    event_add(conn.timer, &timeout);
    evhttp_make_request(conn.http, http_request, method, outgoing.target.c_str());
}

// Says why a response can't be passed on, by its head; empty if it can.
std::string client::implementation::find_fault(const connection& conn,
                                               evhttp_request* http_response)
{
    const int status = evhttp_request_get_response_code(http_response);
    // evhttp reads the response that follows.
    if (status == interim_status)
        return {};
    if (status < first_final_status || status > last_status)
        return "upstream " + conn.address + " sent the status " + std::to_string(status) +
               "; final statuses are 200 to 599";
    if (!is_framed(http_response, conn.method, status))
        return "upstream " + conn.address +
               " sent a response without a length; its end cannot be verified";
    return {};
}

result<response>
client::implementation::check_response(const connection& conn,
                                       evhttp_request* http_response) const
{
    const int status =
        http_response == nullptr ? 0 : evhttp_request_get_response_code(http_response);
    if (status == 0)
    {
        if (!conn.rejection.empty())
            return failure(errc::unknown_outcome, conn.rejection);
        if (!conn.wrote_bytes)
            return failure(errc::unavailable,
                           "cannot connect to upstream " + conn.address);
        return failure(errc::unknown_outcome, "upstream " + conn.address +
                                                  " closed the connection before the "
                                                  "response was complete");
    }
    const char* echoed_id = evhttp_find_header(
        evhttp_request_get_input_headers(http_response), request_id_header);
    // Upstreams need not return the id, but without it a late copy of an earlier answer
    // looks like the answer to this request.
    if (echoed_id == nullptr && conn.has_served_call)
        return failure(errc::unknown_outcome,
                       "upstream " + conn.address +
                           " sent a response without the request's id on a connection "
                           "that was in use before; return X-Request-Id in each one");
    if (echoed_id != nullptr && conn.request_id != echoed_id)
        return failure(
            errc::unknown_outcome,
            "upstream " + conn.address +
                " responded with another request's id; its connection was closed");
    return copy_response(http_response);
}

bool client::implementation::has_id(evhttp_request* http_response)
{
    return evhttp_find_header(evhttp_request_get_input_headers(http_response),
                              request_id_header) != nullptr;
}

void client::implementation::on_response(connection& conn, evhttp_request* http_response)
{
    if (!conn.done)
        return;
    result<response> outcome = this->check_response(conn, http_response);
    const response_handler done = std::move(conn.done);
    conn.done = nullptr;
    conn.has_served_call = true;
    if (outcome && has_id(http_response) && !conn.early_response)
        this->keep_for_reuse(conn);
    else
        this->close(conn);
    done(std::move(outcome));
}

// Keeps a connection for the next request. If the response asks for it, evhttp closes the
// connection itself, and on_peer_close() then removes it.
void client::implementation::keep_for_reuse(connection& conn)
{
    std::vector<call_id>& idle_ids = this->idle_connections[conn.address];
    if (idle_ids.size() >= this->options.max_idle_connections)
        return this->close(conn);
    idle_ids.push_back(conn.id);
    const timeval timeout = to_timeval(this->options.idle_timeout);
    event_add(conn.timer, &timeout);
}

void client::implementation::on_timer(connection& conn)
{
    if (!conn.done)
        return this->close(conn);
    const response_handler done = std::move(conn.done);
    conn.done = nullptr;
    const bool wrote_bytes = conn.wrote_bytes;
    const std::string address = conn.address;
    this->close(conn);
    done(failure(wrote_bytes ? errc::timeout : errc::unavailable,
                 "no response from upstream " + address + " before the timeout"));
}

void client::implementation::on_peer_close(connection& conn)
{
    // A busy connection is handled by on_response(), which evhttp calls as well.
    if (!conn.done)
        this->close(conn);
}

void client::implementation::close(connection& conn)
{
    std::vector<call_id>& idle_ids = this->idle_connections[conn.address];
    std::erase(idle_ids, conn.id);
    this->release(std::move(this->open_connections.extract(conn.id).mapped()));
    event_active(this->cleanup_event, 0, 0);
}

// evhttp connections are freed from the loop, outside of their own callbacks. The
// connection object is kept until then, because evhttp may still call back.
void client::implementation::release(connection_ptr conn)
{
    evhttp_connection_set_closecb(conn->http, nullptr, nullptr);
    event_free(conn->timer);
    const auto count = this->connection_counts.find(conn->address);
    if (--count->second == 0)
        this->connection_counts.erase(count);
    this->closed_connections.push_back(std::move(conn));
}

void client::implementation::free_closed()
{
    for (const connection_ptr& conn : std::exchange(this->closed_connections, {}))
        evhttp_connection_free(conn->http);
}

void client::implementation::cancel(call_id call)
{
    const auto found = this->open_connections.find(call);
    if (found == this->open_connections.end() || !found->second->done)
        return;
    found->second->done = nullptr;
    this->close(*found->second);
}

void client::implementation::close_idle(const std::string& address)
{
    const std::vector<call_id> idle_ids = this->idle_connections[address];
    for (const call_id id : idle_ids)
        this->close(*this->open_connections.at(id));
}

client::client(event_base* base, client_options options)
    : self(std::make_unique<implementation>(base, options))
{
}

client::~client() = default;

call_id client::send(const std::string& address, request outgoing, response_handler done)
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
