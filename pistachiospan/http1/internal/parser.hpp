// Parses a stream of bytes into HTTP/1.1 messages, one at a time. What is no message by
// RFC 9112 is an error: nothing is corrected or passed over, because a message that other
// recipients read differently can't be forwarded safely.

#ifndef PISTACHIOSPAN_HTTP1_INTERNAL_PARSER_HPP
#define PISTACHIOSPAN_HTTP1_INTERNAL_PARSER_HPP

#include "pistachiospan/http1/http1.hpp"

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

enum class message_kind
{
    request,
    response,
};

class parser
{
public:
    explicit parser(message_kind kind);
    ~parser();
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
    // What is wrong with the message; empty unless the state is `failed`.
    const std::string& problem() const;
    bool keep_alive() const;
    bool expects_continue() const;
    // Bytes that the body holds in memory: up to twice its length, because it grows by
    // doubling.
    std::uint64_t body_memory() const;

    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    int status = 0;

private:
    class message;
    friend class message;

    std::size_t feed_held(std::string_view bytes);
    std::size_t parse(std::string_view bytes);
    void fail(parse_error error, std::string problem);

    message_kind kind;
    std::unique_ptr<message> current;
    parse_limits limits;
    parse_state current_state = parse_state::idle;
    parse_error current_error = parse_error::none;
    std::string problem_text;
    // The begin of a head or a chunk's line whose end hasn't arrived.
    std::string unparsed;
    bool is_keep_alive = false;
};

} // namespace pistachiospan::http1::internal

#endif
