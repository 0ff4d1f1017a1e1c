// HTTP server of the stand-ins on evhttp: answers later, cuts connections on purpose and
// notices callers that close theirs.
//
// Example:
//
//     http_server server(base, {}, [](exchange_ptr call)
//                        { call->answer({.body = R"({"path":")" + call->path() + "\"}"});
//                        });
//     const std::string address = server.listen("127.0.0.1:0");

#ifndef PISTACHIOSPAN_STANDIN_COMMON_HTTP_SERVER_HPP
#define PISTACHIOSPAN_STANDIN_COMMON_HTTP_SERVER_HPP

#include "standin/common/event.hpp"

#include <map>
#include <optional>
#include <vector>

namespace pistachiospan::standin
{

class http_server;

struct http_answer
{
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body = "{}";
    // Appended to the body: `filler_bytes` times `filler`, then `tail`. Costs no memory
    // per byte.
    std::uint64_t filler_bytes = 0;
    char filler = 'x'; // 'a' to 'z'
    std::string tail;
};

// One request and the means to answer it, once.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(http_server& server, evhttp_request* request);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    const std::string& method() const;
    // Decoded path without the query.
    const std::string& path() const;
    std::optional<std::string> query(const std::string& name) const;
    std::optional<std::string> header(const char* name) const;
    // Requests of several megabytes stay in evhttp's buffer; read only the needed part.
    std::uint64_t body_bytes() const;
    std::string body(std::size_t most = std::string::npos) const;
    // Frees the memory of the body before the answer.
    void discard_body();

    // False once answered, dropped or closed by the caller.
    bool open() const;
    void answer(const http_answer& content);
    // Sends the answer's headers and half of its body, then cuts the connection.
    void answer_truncated(const http_answer& content);
    // Cuts the connection without an answer.
    void drop();

    // Called when the caller closes the connection before the answer.
    std::function<void()> on_close;

private:
    friend class http_server;
    void closed();
    void fill(const http_answer& content);

    http_server& server;
    evhttp_request* request; // null once answered or closed
    std::string method_name;
    std::string decoded_path;
    std::map<std::string, std::string> parameters;
};

using exchange_ptr = std::shared_ptr<exchange>;

struct http_server_options
{
    std::size_t max_body = std::size_t{16} * 1024 * 1024; // bytes of a request
    std::uint32_t max_connections = 0;                    // 0: no limit
};

struct connection_counts
{
    std::uint32_t open = 0; // with at least one request so far
    std::uint32_t highest = 0;
    std::uint64_t refused = 0; // over max_connections, closed without an answer
};

class http_server
{
public:
    using request_handler = std::function<void(exchange_ptr)>;

    http_server(event_base* base, http_server_options options, request_handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Returns the address with the port in use (port 0 chooses one). Throws
    // std::runtime_error if it is in use.
    std::string listen(const std::string& address);
    // Closes the listening socket and all connections. listen() may be called again.
    void close();

    const connection_counts& connections() const
    {
        return this->counts;
    }

private:
    friend class exchange;
    // Notices the end of a connection that evhttp does not read from.
    struct close_watch
    {
        close_watch(event_base* base, evhttp_connection* source);
        ~close_watch();
        close_watch(const close_watch&) = delete;
        close_watch& operator=(const close_watch&) = delete;

        static void on_change(int socket, short, void* source);

        int socket;
        event_owner<event> pending;
    };

    struct connection
    {
        exchange* active = nullptr;
        std::unique_ptr<close_watch> watch;
    };

    static void on_request(evhttp_request* request, void* self);
    static void on_connection_close(evhttp_connection* source, void* self);
    bool track(evhttp_connection* source, exchange* active);
    void cut_later(evhttp_connection* target);

    event_base* base;
    http_server_options options;
    request_handler handle;
    event_owner<evhttp> http;
    std::map<evhttp_connection*, connection> connections_open;
    std::map<evhttp_connection*, timer> cuts;
    connection_counts counts;
};

} // namespace pistachiospan::standin

#endif
