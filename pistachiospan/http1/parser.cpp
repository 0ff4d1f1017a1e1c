#include "pistachiospan/http1/internal/parser.hpp"

#include <algorithm>

namespace pistachiospan::http1::internal
{

namespace
{

// Return values of callbacks: any value but 0 stops the parser, except that 1 from
// on_headers means that no body follows.
constexpr int stop_parsing = -1;
constexpr int skip_body = 1;

constexpr int first_final_status = 200;

constexpr std::uint64_t max_reserved_body = std::uint64_t{64} << 10U;

// http-parser has its own bound, on the header bytes of all messages parsed in one call.
// This value is above any max_header that a server sets, so that only max_header applies.
constexpr std::uint32_t parser_header_bound = 1U << 20U;

} // namespace

parser::parser(http_parser_type type) : type(type)
{
    http_parser_set_max_header_size(parser_header_bound);
    this->next();
}

void parser::set_limits(parse_limits limits)
{
    this->limits = limits;
}

void parser::expect_no_body()
{
    this->no_body = true;
}

void parser::next()
{
    http_parser_init(&this->raw_parser, this->type);
    this->raw_parser.data = this;
    this->target.clear();
    this->headers.clear();
    this->body.clear();
    this->status = 0;
    this->current_state = parse_state::idle;
    this->current_error = parse_error::none;
    this->header_bytes = 0;
    this->last_was_value = false;
    this->no_body = false;
    this->is_keep_alive = false;
}

std::size_t parser::feed(std::string_view bytes)
{
    if (this->current_state == parse_state::complete ||
        this->current_state == parse_state::failed)
        return 0;
    const std::size_t consumed =
        http_parser_execute(&this->raw_parser, &settings(), bytes.data(), bytes.size());
    this->check_result(consumed, bytes.size());
    return consumed;
}

void parser::feed_end()
{
    if (this->current_state == parse_state::complete ||
        this->current_state == parse_state::failed ||
        this->current_state == parse_state::idle)
        return;
    http_parser_execute(&this->raw_parser, &settings(), nullptr, 0);
    if (this->current_state == parse_state::complete)
        return;
    this->current_state = parse_state::failed;
    this->current_error = parse_error::truncated;
}

void parser::check_result(std::size_t consumed, std::size_t available)
{
    if (this->current_state == parse_state::complete)
        return;
    const bool wrong = HTTP_PARSER_ERRNO(&this->raw_parser) != HPE_OK;
    if (!wrong && this->raw_parser.upgrade == 0 && consumed == available)
        return;
    this->current_state = parse_state::failed;
    if (this->current_error == parse_error::none)
        this->current_error = parse_error::malformed;
}

parse_state parser::state() const
{
    return this->current_state;
}

parse_error parser::error() const
{
    return this->current_error;
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

std::string parser::method() const
{
    return http_method_str(static_cast<http_method>(this->raw_parser.method));
}

const http_parser_settings& parser::settings()
{
    static const http_parser_settings callbacks = []
    {
        http_parser_settings table{};
        table.on_message_begin = &parser::on_begin;
        table.on_url = &parser::on_target;
        table.on_header_field = &parser::on_field;
        table.on_header_value = &parser::on_value;
        table.on_headers_complete = &parser::on_headers;
        table.on_body = &parser::on_body;
        table.on_message_complete = &parser::on_complete;
        return table;
    }();
    return callbacks;
}

int parser::on_begin(http_parser* raw)
{
    owner_of(raw).current_state = parse_state::headers;
    return 0;
}

int parser::count_header(std::size_t size)
{
    this->header_bytes += size;
    if (this->header_bytes <= this->limits.max_header)
        return 0;
    this->current_error = parse_error::header_too_large;
    return stop_parsing;
}

int parser::on_target(http_parser* raw, const char* data, std::size_t size)
{
    owner_of(raw).target.append(data, size);
    return owner_of(raw).count_header(size);
}

// Fields after the body. They are dropped, because they must not be taken for header
// fields.
bool parser::in_trailer() const
{
    return this->current_state == parse_state::body;
}

int parser::on_field(http_parser* raw, const char* data, std::size_t size)
{
    parser& owner = owner_of(raw);
    if (owner.in_trailer())
        return owner.count_header(size);
    if (owner.last_was_value || owner.headers.empty())
        owner.headers.emplace_back();
    owner.last_was_value = false;
    owner.headers.back().name.append(data, size);
    return owner.count_header(size);
}

int parser::on_value(http_parser* raw, const char* data, std::size_t size)
{
    parser& owner = owner_of(raw);
    if (owner.in_trailer())
        return owner.count_header(size);
    owner.last_was_value = true;
    owner.headers.back().value.append(data, size);
    return owner.count_header(size);
}

int parser::on_headers(http_parser* raw)
{
    parser& owner = owner_of(raw);
    owner.current_state = parse_state::body;
    owner.status = static_cast<int>(raw->status_code);
    owner.is_keep_alive = http_should_keep_alive(raw) != 0;
    const bool has_length = (raw->flags & F_CONTENTLENGTH) != 0;
    if (has_length && raw->content_length > owner.limits.max_body)
    {
        owner.current_error = parse_error::body_too_large;
        return stop_parsing;
    }
    // The reservation is bounded, so that a large Content-Length alone takes no memory.
    if (has_length)
        owner.body.reserve(
            std::min<std::uint64_t>(raw->content_length, max_reserved_body));
    return owner.no_body && owner.status >= first_final_status ? skip_body : 0;
}

int parser::on_body(http_parser* raw, const char* data, std::size_t size)
{
    parser& owner = owner_of(raw);
    if (owner.body.size() + size > owner.limits.max_body)
    {
        owner.current_error = parse_error::body_too_large;
        return stop_parsing;
    }
    owner.body.append(data, size);
    return 0;
}

int parser::on_complete(http_parser* raw)
{
    parser& owner = owner_of(raw);
    owner.current_state = parse_state::complete;
    http_parser_pause(raw, 1);
    return 0;
}

} // namespace pistachiospan::http1::internal
