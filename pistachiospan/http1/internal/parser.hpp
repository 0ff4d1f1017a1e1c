// Parses a stream of bytes into HTTP/1.1 messages, one at a time.

#ifndef PISTACHIOSPAN_HTTP1_INTERNAL_PARSER_HPP
#define PISTACHIOSPAN_HTTP1_INTERNAL_PARSER_HPP

#include "pistachiospan/http1/http1.hpp"

#include <http_parser.h>

namespace pistachiospan::http1::internal
{

enum class parse_state
{
    idle,     // between two messages
    headers,  // inside the first line or the headers
    body,     // the headers are complete
    complete, // the message is complete; call next() to go on
    failed,
};

struct parse_limits
{
    std::size_t max_header = std::size_t{16} << 10U;
    std::size_t max_body = std::size_t{64} << 20U;
};

// Errors that the server answers with different status codes.
enum class parse_error
{
    none,
    malformed,
    header_too_large,
    body_too_large,
    truncated, // the stream ended inside a message
};

class parser
{
public:
    explicit parser(http_parser_type type);
    parser(const parser&) = delete;
    parser& operator=(const parser&) = delete;

    void set_limits(parse_limits limits);
    // The response has no body whatever its headers say (HEAD). Call after next().
    void expect_no_body();

    // Returns the number of bytes consumed: fewer than passed in when a message is
    // complete or parsing failed.
    std::size_t feed(std::string_view bytes);
    // The stream ended: completes a message that is delimited by the end of the stream.
    void feed_end();
    // Resets the parser for the next message.
    void next();

    parse_state state() const;
    parse_error error() const;
    bool keep_alive() const;
    bool expects_continue() const;
    // Bytes that the body holds in memory: up to twice its length, because it grows by
    // doubling.
    std::uint64_t body_memory() const;

    std::string method() const;
    std::string target;
    header_list headers;
    std::string body;
    int status = 0;

private:
    static int on_begin(http_parser* raw);
    static int on_target(http_parser* raw, const char* data, std::size_t size);
    static int on_field(http_parser* raw, const char* data, std::size_t size);
    static int on_value(http_parser* raw, const char* data, std::size_t size);
    static int on_headers(http_parser* raw);
    static int on_body(http_parser* raw, const char* data, std::size_t size);
    static int on_complete(http_parser* raw);

    static parser& owner_of(http_parser* raw)
    {
        return *static_cast<parser*>(raw->data);
    }
    static const http_parser_settings& settings();
    int count_header(std::size_t size);
    bool in_trailer() const;
    void check_result(std::size_t consumed, std::size_t available);

    http_parser_type type;
    http_parser raw_parser{};
    parse_limits limits;
    parse_state current_state = parse_state::idle;
    parse_error current_error = parse_error::none;
    std::size_t header_bytes = 0;
    bool last_was_value = false;
    bool no_body = false;
    bool is_keep_alive = false;
};

} // namespace pistachiospan::http1::internal

#endif
