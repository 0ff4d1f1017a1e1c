// Socket options, addresses and buffer access shared by server and client.

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

// Returns nullopt if the text is not IPv4:port.
std::optional<sockaddr_in> try_parse_address(const std::string& address);
// Throws std::invalid_argument if the text is not IPv4:port.
sockaddr_in parse_address(const std::string& address);

// Disables Nagle's algorithm, and ends the connection when the peer stops acknowledging.
void set_socket_options(int socket);

// Returns the socket's pending error, 0 if there is none, and clears it. A reset that
// follows an end of stream is seen only here: reading reports the end of stream.
int take_error(int socket);

// Whether the peer's host has received all bytes that were written to the socket. A peer
// that has read them all before it sends something has acknowledged them with it.
bool is_all_received(int socket);

// Makes closing the socket send a reset, which drops undelivered bytes.
void reset_on_close(int socket);

// The first contiguous bytes of the buffer, at most `max_size`; they are not removed.
std::string_view peek(evbuffer* input, std::size_t max_size);

inline void append(evbuffer* output, std::string_view bytes)
{
    evbuffer_add(output, bytes.data(), bytes.size());
}

} // namespace pistachiospan::http1::internal

#endif
