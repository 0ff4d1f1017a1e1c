#include "pistachiospan/http1/internal/response_head.hpp"

namespace pistachiospan::http1::internal
{

namespace
{

std::string_view reason_phrase(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

bool has_no_body(int status, bool is_head_request)
{
    return is_head_request || status == 204 || status == 304;
}

std::string serialize_head(const response& outgoing, bool close, duration idle_timeout)
{
    std::string head = "HTTP/1.1 " + std::to_string(outgoing.status) + ' ';
    head += reason_phrase(outgoing.status);
    head += "\r\n";
    for (const header& each : outgoing.headers)
    {
        head += each.name;
        head += ": ";
        head += each.value;
        head += "\r\n";
    }
    head += "Content-Length: " + std::to_string(outgoing.body.size()) + "\r\n";
    if (close)
        return head + "Connection: close\r\n\r\n";
    const auto seconds = std::chrono::floor<std::chrono::seconds>(idle_timeout).count();
    return head + "Keep-Alive: timeout=" + std::to_string(seconds) + "\r\n\r\n";
}

} // namespace pistachiospan::http1::internal
