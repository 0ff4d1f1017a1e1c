// Socket options and addresses shared by server and client.

#ifndef PISTACHIOSPAN_HTTP1_INTERNAL_SOCKET_HPP
#define PISTACHIOSPAN_HTTP1_INTERNAL_SOCKET_HPP

#include "pistachiospan/base/base.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>

#include <memory>
#include <optional>

namespace pistachiospan::http1::internal
{

struct bufferevent_deleter
{
    void operator()(bufferevent* owned) const
    {
        bufferevent_free(owned);
    }
};

using bufferevent_ptr = std::unique_ptr<bufferevent, bufferevent_deleter>;

// Nothing if the text is not ip:port.
std::optional<sockaddr_in> try_parse_address(const std::string& address);
// Throws std::invalid_argument instead.
sockaddr_in parse_address(const std::string& address);

// Sends small writes at once and ends a connection whose peer has gone silent.
void tune(int socket);

// Closing the socket drops what has not arrived, instead of delivering it.
void reset_on_close(int socket);

// The bytes at hand in one piece, at most `most`.
std::string_view peek(evbuffer* input, std::size_t most);

inline void append(evbuffer* output, std::string_view bytes)
{
    evbuffer_add(output, bytes.data(), bytes.size());
}

} // namespace pistachiospan::http1::internal

#endif
