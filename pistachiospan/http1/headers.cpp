#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>

namespace pistachiospan::http1
{

namespace
{

char to_lower(char letter)
{
    const bool upper = letter >= 'A' && letter <= 'Z';
    return upper ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string lower_case(std::string_view text)
{
    std::string lowered(text);
    std::ranges::transform(lowered, lowered.begin(), to_lower);
    return lowered;
}

} // namespace

bool is_address(const std::string& text)
{
    return internal::try_parse_address(text).has_value();
}

bool equal_header_names(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, to_lower, to_lower);
}

const std::string* find_header(const header_list& headers, std::string_view name)
{
    for (const header& each : headers)
        if (equal_header_names(each.name, name))
            return &each.value;
    return nullptr;
}

std::string header_value(const header_list& headers, std::string_view name)
{
    const std::string* value = find_header(headers, name);
    return value == nullptr ? std::string() : *value;
}

connection_headers::connection_headers(const header_list& all)
    : names{"connection", "keep-alive",       "transfer-encoding",
            "te",         "trailer",          "upgrade",
            "expect",     "proxy-connection", "content-length"}
{
    for (const header& each : all)
    {
        if (!equal_header_names(each.name, "Connection"))
            continue;
        std::vector<std::string> tokens;
        boost::algorithm::split(tokens, each.value, [](char c) { return c == ','; });
        for (const std::string& token : tokens)
            this->names.insert(lower_case(boost::algorithm::trim_copy(token)));
    }
}

bool connection_headers::contains(std::string_view name) const
{
    return this->names.contains(lower_case(name));
}

} // namespace pistachiospan::http1
