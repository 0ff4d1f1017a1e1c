#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <array>

namespace pistachiospan::http1
{

bool is_address(const std::string& text)
{
    return internal::try_parse_address(text).has_value();
}

bool equal_header_names(std::string_view left, std::string_view right)
{
    const auto lower = [](char letter)
    {
        const bool upper = letter >= 'A' && letter <= 'Z';
        return upper ? static_cast<char>(letter - 'A' + 'a') : letter;
    };
    return std::ranges::equal(left, right, {}, lower, lower);
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

bool is_connection_header(const header_list& all, std::string_view name)
{
    static constexpr std::array<std::string_view, 9> connection_headers = {
        "Connection", "Keep-Alive",       "Transfer-Encoding", "TE", "Trailer", "Upgrade",
        "Expect",     "Proxy-Connection", "Content-Length"};
    if (std::ranges::any_of(connection_headers, [&](std::string_view each)
                            { return equal_header_names(each, name); }))
        return true;
    for (const header& each : all)
    {
        if (!equal_header_names(each.name, "Connection"))
            continue;
        std::vector<std::string> tokens;
        boost::algorithm::split(tokens, each.value, [](char c) { return c == ','; });
        for (std::string& token : tokens)
            if (equal_header_names(boost::algorithm::trim_copy(token), name))
                return true;
    }
    return false;
}

} // namespace pistachiospan::http1
