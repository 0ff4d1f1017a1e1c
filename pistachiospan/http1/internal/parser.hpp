// One HTTP/1.1 message at a time from a stream of bytes.

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
    body,     // the headers are whole
    complete, // the message is whole; call next() to go on
    failed,
};

struct parse_limits
{
    std::size_t max_header = std::size_t{16} << 10U;
    std::size_t max_body = std::size_t{64} << 20U;
};

// What went wrong, as far as answers differ.
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
    // The next answer has no body whatever its headers say (HEAD).
    void expect_no_body();

    // Returns the bytes taken: fewer than given after a whole message or a failure.
    std::size_t feed(std::string_view bytes);
    // The stream ended; completes a message whose length is given by its end.
    void feed_end();
    // Begins the next message.
    void next();

    parse_state state() const;
    parse_error error() const;
    bool keep_alive() const;
    bool expects_continue() const;
    std::uint64_t body_size() const;

    std::string method() const;
    std::string target;
    header_list headers;
    std::string body;
    int status = 0;

private:
    static int on_begin(http_parser* of);
    static int on_target(http_parser* of, const char* at, std::size_t size);
    static int on_field(http_parser* of, const char* at, std::size_t size);
    static int on_value(http_parser* of, const char* at, std::size_t size);
    static int on_headers(http_parser* of);
    static int on_body(http_parser* of, const char* at, std::size_t size);
    static int on_complete(http_parser* of);

    static parser& self(http_parser* of)
    {
        return *static_cast<parser*>(of->data);
    }
    static const http_parser_settings& settings();
    int count_header(std::size_t size);
    void check(std::size_t taken, std::size_t given);

    http_parser_type type;
    http_parser machine{};
    parse_limits limits;
    parse_state at = parse_state::idle;
    parse_error problem = parse_error::none;
    std::size_t header_bytes = 0;
    bool in_value = false;
    bool no_body = false;
    bool keeps = false;
};

} // namespace pistachiospan::http1::internal

#endif
