#include "pistachiospan/http1/internal/socket.hpp"

#include <arpa/inet.h>
#include <event2/util.h>
#include <netinet/tcp.h>

#include <stdexcept>

namespace pistachiospan::http1::internal
{

namespace
{

// Longest time for which sent bytes may stay unacknowledged. Above the packet loss of a
// bad link, below the time for which a caller waits for another try.
constexpr int unacknowledged_ms = 2500;

} // namespace

std::optional<sockaddr_in> try_parse_address(const std::string& address)
{
    sockaddr_in parsed{};
    int size = sizeof(parsed);
    auto* const any = reinterpret_cast<sockaddr*>(&parsed);
    if (evutil_parse_sockaddr_port(address.c_str(), any, &size) != 0 ||
        any->sa_family != AF_INET || parsed.sin_port == 0)
        return std::nullopt;
    return parsed;
}

sockaddr_in parse_address(const std::string& address)
{
    const std::optional<sockaddr_in> parsed = try_parse_address(address);
    if (!parsed)
        throw std::invalid_argument("address \"" + address +
                                    "\" is not IPv4:port; correct it");
    return *parsed;
}

void tune(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof(unacknowledged_ms));
}

void reset_on_close(int socket)
{
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

std::string_view peek(evbuffer* input, std::size_t most)
{
    evbuffer_iovec piece{};
    if (evbuffer_peek(input, static_cast<ev_ssize_t>(most), nullptr, &piece, 1) < 1)
        return {};
    return {static_cast<const char*>(piece.iov_base), std::min(piece.iov_len, most)};
}

} // namespace pistachiospan::http1::internal
