#include "pistachiospan/http1/internal/parser.hpp"

// Beast 1.74 asserts that at least five bytes are there when a last chunk that came in
// pieces goes on, which needn't be so; it reads fewer correctly.
#define BOOST_DISABLE_ASSERTS
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <limits>
#include <variant>

namespace pistachiospan::http1::internal
{

namespace
{

namespace beast = boost::beast;

constexpr int http_1_0 = 10;
constexpr int switching_protocols = 101;
constexpr int first_status = 100;
constexpr int last_status = 599;

constexpr std::uint64_t max_reserved_body = std::uint64_t{64} << 10U;

// Bytes of a head that aren't names and values: the first line's version and the
// separators. Above the sum of max_header and these, a held head is too large.
constexpr std::size_t max_separators = std::size_t{1} << 10U;

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool is_number(std::string_view text)
{
    constexpr auto is_digit = [](char character)
    {
        return character >= '0' && character <= '9';
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

// Returns the length of the empty lines before a request, which RFC 9112, 2.2 lets a
// server ignore.
std::size_t length_of_empty_lines(std::string_view bytes)
{
    constexpr std::string_view line_end = "\r\n";
    std::size_t length = 0;
    while (bytes.substr(length).starts_with(line_end))
        length += line_end.size();
    return length;
}

// Reads messages by RFC 9112 and reports their parts to `Owner`. In addition to what
// Beast rejects, it rejects framing that another recipient could read differently.
template <bool is_request, class Owner>
class strict_parser : public beast::http::basic_parser<is_request>
{
public:
    explicit strict_parser(Owner& owner) : owner(owner)
    {
        this->eager(true);
        // The owner checks the sizes of bodies. Beast 1.74 has no working "no limit".
        this->body_limit(std::numeric_limits<std::uint64_t>::max());
    }

private:
    using error_code = beast::error_code;

    static error_code rejected()
    {
        return beast::http::make_error_code(beast::http::error::bad_field);
    }

    void on_request_impl(beast::http::verb verb, beast::string_view method,
                         beast::string_view target, int version,
                         error_code& error) override
    {
        this->version = version;
        if (verb == beast::http::verb::connect)
            error = beast::http::make_error_code(beast::http::error::bad_method);
        else if (!this->owner.take_request_line(view(method), view(target)))
            error = rejected();
    }

    void on_response_impl(int code, beast::string_view /*reason*/, int version,
                          error_code& error) override
    {
        this->version = version;
        // No request asks for another protocol, and what follows is no HTTP. Other
        // recipients read a status outside of the five classes in different ways.
        if (code == switching_protocols || code < first_status || code > last_status)
            error = beast::http::make_error_code(beast::http::error::bad_status);
        else
            this->owner.take_status(code);
    }

    void on_field_impl(beast::http::field field, beast::string_view name,
                       beast::string_view value, error_code& error) override
    {
        if (!this->is_framing_clear(field, view(value)) ||
            !this->owner.take_field(view(name), view(value)))
            error = rejected();
    }

    bool is_framing_clear(beast::http::field field, std::string_view value)
    {
        if (field == beast::http::field::content_length)
            return is_number(value) && !std::exchange(this->has_length, true);
        if (field == beast::http::field::transfer_encoding)
            return this->version > http_1_0 && equal_header_names(value, "chunked");
        if (is_request && field == beast::http::field::host)
            return !std::exchange(this->has_host, true);
        return true;
    }

    void on_header_impl(error_code& error) override
    {
        const std::uint64_t length =
            this->is_done() ? 0 : this->content_length().value_or(0);
        if (!this->owner.finish_head(length, this->keep_alive()))
            error = rejected();
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           error_code& /*error*/) override
    {
    }

    std::size_t on_body_impl(beast::string_view bytes, error_code& error) override
    {
        if (!this->owner.take_body(view(bytes)))
            error = rejected();
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                              error_code& /*error*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, beast::string_view bytes,
                                   error_code& error) override
    {
        return this->on_body_impl(bytes, error);
    }

    void on_finish_impl(error_code& /*error*/) override
    {
        this->owner.finish();
    }

    Owner& owner;
    int version = 0;
    bool has_length = false;
    bool has_host = false;
};

} // namespace

// One message that is being parsed.
class parser::message
{
public:
    explicit message(parser& owner) : owner(owner) {}

    void restart()
    {
        this->header_bytes = 0;
        if (this->owner.kind == message_kind::request)
            this->current.emplace<request_parser>(*this);
        else
            this->current.emplace<response_parser>(*this);
    }

    void skip_body()
    {
        this->visit([](auto& current) { current.skip(true); });
    }

    std::size_t put(std::string_view bytes, beast::error_code& error)
    {
        std::size_t used = 0;
        this->visit(
            [&](auto& current)
            {
                current.header_limit(
                    static_cast<std::uint32_t>(this->owner.limits.max_header));
                used = current.put({bytes.data(), bytes.size()}, error);
            });
        return used;
    }

    void put_end(beast::error_code& error)
    {
        this->visit([&](auto& current) { current.put_eof(error); });
    }

    // The functions below are called by the strict parser. Those that return false have
    // called fail().

    bool take_request_line(std::string_view method, std::string_view target)
    {
        this->owner.method = method;
        this->owner.target = target;
        return this->count_header(target.size());
    }

    void take_status(int status)
    {
        this->owner.status = status;
    }

    bool take_field(std::string_view name, std::string_view value)
    {
        if (!this->count_header(name.size() + value.size()))
            return false;
        // Fields after the body are dropped, because they must not be taken for header
        // fields.
        const bool in_trailer = this->owner.current_state == parse_state::body;
        if (!in_trailer)
            this->owner.headers.push_back(
                {.name = std::string(name), .value = std::string(value)});
        return true;
    }

    bool finish_head(std::uint64_t length, bool keep_alive)
    {
        this->owner.current_state = parse_state::body;
        this->owner.is_keep_alive = keep_alive;
        if (length > this->owner.limits.max_body)
            return this->reject_body();
        // The reservation is bounded, so that a large Content-Length alone takes no
        // memory.
        this->owner.body.reserve(std::min(length, max_reserved_body));
        return true;
    }

    bool take_body(std::string_view bytes)
    {
        if (this->owner.body.size() + bytes.size() > this->owner.limits.max_body)
            return this->reject_body();
        this->owner.body.append(bytes);
        return true;
    }

    void finish()
    {
        this->owner.current_state = parse_state::complete;
    }

private:
    using request_parser = strict_parser<true, message>;
    using response_parser = strict_parser<false, message>;

    template <class Action>
    void visit(const Action& action)
    {
        if (auto* request = std::get_if<request_parser>(&this->current))
            action(*request);
        else if (auto* response = std::get_if<response_parser>(&this->current))
            action(*response);
    }

    bool count_header(std::size_t size)
    {
        this->header_bytes += size;
        if (this->header_bytes <= this->owner.limits.max_header)
            return true;
        this->owner.fail(parse_error::header_too_large, "header too large");
        return false;
    }

    bool reject_body()
    {
        this->owner.fail(parse_error::body_too_large, "body too large");
        return false;
    }

    parser& owner;
    std::size_t header_bytes = 0;
    std::variant<std::monostate, request_parser, response_parser> current;
};

parser::parser(message_kind kind) : kind(kind), current(std::make_unique<message>(*this))
{
    this->next();
}

parser::~parser() = default;

void parser::set_limits(parse_limits limits)
{
    this->limits = limits;
}

void parser::expect_no_body()
{
    this->current->skip_body();
}

void parser::next()
{
    this->current->restart();
    this->method.clear();
    this->target.clear();
    this->headers.clear();
    this->body.clear();
    this->status = 0;
    this->current_state = parse_state::idle;
    this->current_error = parse_error::none;
    this->problem_text.clear();
    this->unparsed.clear();
    this->is_keep_alive = false;
}

std::size_t parser::feed(std::string_view bytes)
{
    if (this->current_state == parse_state::complete ||
        this->current_state == parse_state::failed || bytes.empty())
        return 0;
    if (!this->unparsed.empty())
        return this->feed_held(bytes);
    const std::size_t used = this->parse(bytes);
    if (this->current_state == parse_state::complete ||
        this->current_state == parse_state::failed)
        return used;
    this->unparsed = bytes.substr(used);
    return bytes.size();
}

// Feeds bytes that follow the held ones.
std::size_t parser::feed_held(std::string_view bytes)
{
    const std::size_t held = this->unparsed.size();
    this->unparsed.append(bytes);
    const std::size_t used = this->parse(this->unparsed);
    if (this->current_state == parse_state::complete ||
        this->current_state == parse_state::failed)
        return used - std::min(held, used);
    this->unparsed.erase(0, used);
    return bytes.size();
}

// Parses as far as lines and bodies are there. Returns the number of bytes consumed.
std::size_t parser::parse(std::string_view bytes)
{
    std::size_t used = 0;
    if (this->kind == message_kind::request && this->current_state == parse_state::idle)
    {
        used = length_of_empty_lines(bytes);
        const std::string_view rest = bytes.substr(used);
        if (rest.empty() || rest == "\r")
            return used;
    }
    if (this->current_state == parse_state::idle)
        this->current_state = parse_state::headers;
    while (used < bytes.size() && this->current_state != parse_state::complete)
    {
        beast::error_code error;
        used += this->current->put(bytes.substr(used), error);
        if (error == beast::http::error::need_more)
            break;
        if (error == beast::http::error::header_limit)
            this->fail(parse_error::header_too_large, "header too large");
        else if (error)
            this->fail(parse_error::malformed, error.message());
        if (error)
            return used;
    }
    const bool is_held = this->current_state != parse_state::complete;
    if (is_held && bytes.size() - used > this->limits.max_header + max_separators)
        this->fail(parse_error::header_too_large, "header too large");
    return used;
}

void parser::feed_end()
{
    if (this->current_state == parse_state::complete ||
        this->current_state == parse_state::failed ||
        this->current_state == parse_state::idle)
        return;
    beast::error_code error;
    if (this->unparsed.empty())
        this->current->put_end(error);
    if (this->current_state != parse_state::complete)
        this->fail(parse_error::truncated, "the stream ended inside a message");
}

// Keeps the first error: the strict parser's own errors follow the more precise ones.
void parser::fail(parse_error error, std::string problem)
{
    this->current_state = parse_state::failed;
    if (this->current_error != parse_error::none)
        return;
    this->current_error = error;
    this->problem_text = std::move(problem);
}

parse_state parser::state() const
{
    return this->current_state;
}

parse_error parser::error() const
{
    return this->current_error;
}

const std::string& parser::problem() const
{
    return this->problem_text;
}

bool parser::keep_alive() const
{
    return this->is_keep_alive;
}

bool parser::expects_continue() const
{
    const std::string* value = find_header(this->headers, "Expect");
    return value != nullptr && equal_header_names(*value, "100-continue");
}

std::uint64_t parser::body_memory() const
{
    return this->body.capacity();
}

} // namespace pistachiospan::http1::internal
