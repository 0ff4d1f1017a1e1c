#include "pistachiospan/http1/internal/parser.hpp"

#include <algorithm>

namespace pistachiospan::http1::internal
{

namespace
{

// Callbacks stop the parser with any value but 0; on_headers also uses 1 for "no body".
constexpr int stop_parsing = -1;
constexpr int skip_body = 1;

constexpr int first_final_status = 200;

constexpr std::uint64_t most_reserved = std::uint64_t{64} << 10U;

// http-parser counts header bytes over all messages of one call as well; this bound is
// above any that a server sets.
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
    http_parser_init(&this->machine, this->type);
    this->machine.data = this;
    this->target.clear();
    this->headers.clear();
    this->body.clear();
    this->status = 0;
    this->at = parse_state::idle;
    this->problem = parse_error::none;
    this->header_bytes = 0;
    this->in_value = false;
    this->keeps = false;
}

std::size_t parser::feed(std::string_view bytes)
{
    if (this->at == parse_state::complete || this->at == parse_state::failed)
        return 0;
    const std::size_t taken =
        http_parser_execute(&this->machine, &settings(), bytes.data(), bytes.size());
    this->check(taken, bytes.size());
    return taken;
}

void parser::feed_end()
{
    if (this->at == parse_state::complete || this->at == parse_state::failed ||
        this->at == parse_state::idle)
        return;
    http_parser_execute(&this->machine, &settings(), nullptr, 0);
    if (this->at == parse_state::complete)
        return;
    this->at = parse_state::failed;
    this->problem = parse_error::truncated;
}

void parser::check(std::size_t taken, std::size_t given)
{
    if (this->at == parse_state::complete)
        return;
    const bool wrong = HTTP_PARSER_ERRNO(&this->machine) != HPE_OK;
    if (!wrong && this->machine.upgrade == 0 && taken == given)
        return;
    this->at = parse_state::failed;
    if (this->problem == parse_error::none)
        this->problem = parse_error::malformed;
}

parse_state parser::state() const
{
    return this->at;
}

parse_error parser::error() const
{
    return this->problem;
}

bool parser::keep_alive() const
{
    return this->keeps;
}

bool parser::expects_continue() const
{
    const std::string* value = find_header(this->headers, "Expect");
    return value != nullptr && equal_header_names(*value, "100-continue");
}

std::uint64_t parser::body_size() const
{
    return this->body.size();
}

std::string parser::method() const
{
    return http_method_str(static_cast<http_method>(this->machine.method));
}

const http_parser_settings& parser::settings()
{
    static const http_parser_settings made = []
    {
        http_parser_settings all{};
        all.on_message_begin = &parser::on_begin;
        all.on_url = &parser::on_target;
        all.on_header_field = &parser::on_field;
        all.on_header_value = &parser::on_value;
        all.on_headers_complete = &parser::on_headers;
        all.on_body = &parser::on_body;
        all.on_message_complete = &parser::on_complete;
        return all;
    }();
    return made;
}

int parser::on_begin(http_parser* of)
{
    self(of).at = parse_state::headers;
    return 0;
}

int parser::count_header(std::size_t size)
{
    this->header_bytes += size;
    if (this->header_bytes <= this->limits.max_header)
        return 0;
    this->problem = parse_error::header_too_large;
    return stop_parsing;
}

int parser::on_target(http_parser* of, const char* at, std::size_t size)
{
    self(of).target.append(at, size);
    return self(of).count_header(size);
}

int parser::on_field(http_parser* of, const char* at, std::size_t size)
{
    parser& me = self(of);
    if (me.in_value || me.headers.empty())
        me.headers.emplace_back();
    me.in_value = false;
    me.headers.back().name.append(at, size);
    return me.count_header(size);
}

int parser::on_value(http_parser* of, const char* at, std::size_t size)
{
    parser& me = self(of);
    me.in_value = true;
    me.headers.back().value.append(at, size);
    return me.count_header(size);
}

int parser::on_headers(http_parser* of)
{
    parser& me = self(of);
    me.at = parse_state::body;
    me.status = static_cast<int>(of->status_code);
    me.keeps = http_should_keep_alive(of) != 0;
    const bool announced = (of->flags & F_CONTENTLENGTH) != 0;
    if (announced && of->content_length > me.limits.max_body)
    {
        me.problem = parse_error::body_too_large;
        return stop_parsing;
    }
    // A length that is only announced takes no memory.
    if (announced)
        me.body.reserve(std::min<std::uint64_t>(of->content_length, most_reserved));
    return me.no_body && me.status >= first_final_status ? skip_body : 0;
}

int parser::on_body(http_parser* of, const char* at, std::size_t size)
{
    parser& me = self(of);
    if (me.body.size() + size > me.limits.max_body)
    {
        me.problem = parse_error::body_too_large;
        return stop_parsing;
    }
    me.body.append(at, size);
    return 0;
}

int parser::on_complete(http_parser* of)
{
    parser& me = self(of);
    me.at = parse_state::complete;
    http_parser_pause(of, 1);
    return 0;
}

} // namespace pistachiospan::http1::internal
