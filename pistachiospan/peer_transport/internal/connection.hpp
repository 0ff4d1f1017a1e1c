// One HTTP/2 connection: an nghttp2 session over a bufferevent.

#ifndef PISTACHIOSPAN_PEER_TRANSPORT_INTERNAL_CONNECTION_HPP
#define PISTACHIOSPAN_PEER_TRANSPORT_INTERNAL_CONNECTION_HPP

#include "pistachiospan/base/base.hpp"

#include <event2/bufferevent.h>
#include <nghttp2/nghttp2.h>

#include <map>
#include <memory>

namespace pistachiospan::peer_transport::internal
{

enum class role
{
    client,
    server,
};

// One HTTP/2 stream, as either end sees it.
struct stream
{
    std::string path;           // server: of the request
    int status = 0;             // client: of the response
    std::string received_body;  // so far
    std::string outgoing_body;  // to send
    std::size_t sent_bytes = 0; // of `outgoing_body`, passed to nghttp2
};

struct connection_hooks
{
    // The peer has sent a complete request (server) or response (client).
    std::function<void(std::int32_t id, stream& message)> on_complete;
    // The stream was closed, with or without a preceding on_complete.
    std::function<void(std::int32_t id, std::uint32_t http2_error)> on_stream_close;
    // The connection failed or ended. The owner must destroy it, but not within this
    // call.
    std::function<void()> on_end;
};

class connection
{
public:
    // Takes ownership of `transport`, which may still be connecting.
    connection(role kind, bufferevent* transport, std::size_t max_body,
               connection_hooks hooks);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // Client: opens a stream and returns its id. Errors: unavailable.
    result<std::int32_t> submit_request(std::string_view path, std::string body);

    // Server: sends the response of a stream. Does nothing if the stream is closed.
    void submit_response(std::int32_t id, int status, std::string body);

    // Resets one stream.
    void cancel(std::int32_t id);

    // Writes the frames that nghttp2 has queued.
    void flush();

    bool connected() const
    {
        return this->is_connected;
    }

private:
    void receive();
    bool write_frames();
    void end();
    void handle_event(short what);
    int add_header(std::int32_t id, std::string_view name, std::string_view value);
    int add_data(std::int32_t id, std::string_view bytes);
    void complete(std::int32_t id);

    static nghttp2_session_callbacks* callbacks();
    static ssize_t read_body(nghttp2_session* session, std::int32_t id,
                             std::uint8_t* buffer, std::size_t size, std::uint32_t* flags,
                             nghttp2_data_source* source, void* user);

    role kind;
    bufferevent* transport;
    std::size_t max_body;
    connection_hooks hooks;
    nghttp2_session* session = nullptr;
    std::map<std::int32_t, stream> streams;
    bool is_connected = false;
    bool in_session_call = false; // nghttp2 is running one of its callbacks
    bool ended = false;
};

} // namespace pistachiospan::peer_transport::internal

#endif
