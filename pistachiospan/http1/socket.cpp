#include "pistachiospan/http1/internal/socket.hpp"

#include <arpa/inet.h>
#include <event2/util.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <cerrno>
#include <stdexcept>

namespace pistachiospan::http1::internal
{

namespace
{

// Longest time for which sent bytes may stay unacknowledged. Long enough to survive
// packet loss on a bad link, shorter than a caller waits for a retry.
constexpr int max_unacknowledged_ms = 2500;

} // namespace

std::optional<sockaddr_in> try_parse_address(const std::string& address)
{
    sockaddr_in parsed{};
    int size = sizeof(parsed);
    auto* const generic = reinterpret_cast<sockaddr*>(&parsed);
    if (evutil_parse_sockaddr_port(address.c_str(), generic, &size) != 0 ||
        generic->sa_family != AF_INET || parsed.sin_port == 0)
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

void set_socket_options(int socket)
{
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &max_unacknowledged_ms,
               sizeof(max_unacknowledged_ms));
}

int take_error(int socket)
{
    int pending = 0;
    socklen_t size = sizeof(pending);
    if (getsockopt(socket, SOL_SOCKET, SO_ERROR, &pending, &size) != 0)
        return errno;
    return pending;
}

bool is_all_received(int socket)
{
    int unacknowledged = 0; // bytes
    return ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

void reset_on_close(int socket)
{
    const linger zero_linger{.l_onoff = 1, .l_linger = 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof(zero_linger));
}

std::string_view peek(evbuffer* input, std::size_t max_size)
{
    evbuffer_iovec extent{};
    if (evbuffer_peek(input, static_cast<ev_ssize_t>(max_size), nullptr, &extent, 1) < 1)
        return {};
    return {static_cast<const char*>(extent.iov_base),
            std::min(extent.iov_len, max_size)};
}

} // namespace pistachiospan::http1::internal
