#include "pistachiospan/peer_transport/internal/connection.hpp"

#include "pistachiospan/event_loop/event_loop.hpp"

#include <event2/buffer.h>
#include <event2/event.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace pistachiospan::peer_transport::internal
{

namespace
{

// Flow control windows of a stream and of the connection, in bytes.
constexpr std::uint32_t stream_window = 1U << 20U;
constexpr std::int32_t connection_window = 1 << 23;

// Bytes in the output buffer from which on no further frames are taken from nghttp2.
constexpr std::size_t output_high_water = std::size_t{1} << 20U;

// Streams that a peer may have open at the same time.
constexpr std::uint32_t max_streams = 4096;

nghttp2_nv header(std::string_view name, std::string_view value)
{
    const auto as_bytes = [](std::string_view text)
    {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {as_bytes(name), as_bytes(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

connection* connection_from(void* user)
{
    return static_cast<connection*>(user);
}

} // namespace

nghttp2_session_callbacks* connection::callbacks()
{
    nghttp2_session_callbacks* callback_table = nullptr;
    nghttp2_session_callbacks_new(&callback_table);
    nghttp2_session_callbacks_set_on_header_callback(
        callback_table,
        [](nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
           std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
           std::uint8_t, void* user)
        {
            return connection_from(user)->add_header(
                frame->hd.stream_id, {reinterpret_cast<const char*>(name), name_size},
                {reinterpret_cast<const char*>(value), value_size});
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callback_table,
        [](nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* data,
           std::size_t size, void* user)
        {
            return connection_from(user)->add_data(
                id, {reinterpret_cast<const char*>(data), size});
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callback_table,
        [](nghttp2_session*, const nghttp2_frame* frame, void* user)
        {
            const bool has_message =
                frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
            if (has_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
                connection_from(user)->complete(frame->hd.stream_id);
            return 0;
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callback_table,
        [](nghttp2_session*, std::int32_t id, std::uint32_t error_code, void* user)
        {
            connection* self = connection_from(user);
            self->streams.erase(id);
            if (self->hooks.on_stream_close)
                event_loop::run_guarded([self, id, error_code]
                                        { self->hooks.on_stream_close(id, error_code); });
            return 0;
        });
    return callback_table;
}

connection::connection(role kind, bufferevent* transport, std::size_t max_body,
                       connection_hooks hooks)
    : kind(kind), transport(transport), max_body(max_body), hooks(std::move(hooks)),
      is_connected(kind == role::server)
{
    nghttp2_session_callbacks* callback_table = callbacks();
    if (kind == role::server)
        nghttp2_session_server_new(&this->session, callback_table, this);
    else
        nghttp2_session_client_new(&this->session, callback_table, this);
    nghttp2_session_callbacks_del(callback_table);

    const std::array<nghttp2_settings_entry, 2> settings{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window}}};
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0,
                                          connection_window);

    bufferevent_setcb(
        transport, [](bufferevent*, void* user) { connection_from(user)->receive(); },
        [](bufferevent*, void* user) { connection_from(user)->flush(); },
        [](bufferevent*, short what, void* user)
        { connection_from(user)->handle_event(what); },
        this);
    bufferevent_enable(transport, EV_READ | EV_WRITE);
    if (kind == role::server)
        this->flush();
}

connection::~connection()
{
    nghttp2_session_del(this->session);
    bufferevent_free(this->transport);
}

result<std::int32_t> connection::submit_request(std::string_view path, std::string body)
{
    const std::array<nghttp2_nv, 4> headers{
        {header(":method", "POST"), header(":scheme", "http"),
         header(":authority", "peer"), header(":path", path)}};
    nghttp2_data_provider provider{};
    provider.source.ptr = this;
    provider.read_callback = &connection::read_body;
    const std::int32_t id = nghttp2_submit_request(this->session, nullptr, headers.data(),
                                                   headers.size(), &provider, nullptr);
    if (id < 0)
        return failure(errc::unavailable, std::string("cannot open an HTTP/2 stream: ") +
                                              nghttp2_strerror(id) +
                                              "; the connection will be reopened");
    this->streams[id].outgoing_body = std::move(body);
    if (this->is_connected)
        this->flush();
    return id;
}

void connection::submit_response(std::int32_t id, int status, std::string body)
{
    const auto found = this->streams.find(id);
    if (this->ended || found == this->streams.end())
        return;
    found->second.outgoing_body = std::move(body);
    const std::string status_text = std::to_string(status);
    const std::array<nghttp2_nv, 1> headers{{header(":status", status_text)}};
    nghttp2_data_provider provider{};
    provider.source.ptr = this;
    provider.read_callback = &connection::read_body;
    nghttp2_submit_response(this->session, id, headers.data(), headers.size(), &provider);
    this->flush();
}

void connection::cancel(std::int32_t id)
{
    if (this->ended)
        return;
    nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    this->flush();
}

void connection::flush()
{
    // nghttp2 is not reentrant: if this runs in one of its callbacks, the outermost call
    // writes the frames.
    if (this->ended || this->in_session_call)
        return;
    this->in_session_call = true;
    const bool written = this->write_frames();
    this->in_session_call = false;
    const bool finished = nghttp2_session_want_read(this->session) == 0 &&
                          nghttp2_session_want_write(this->session) == 0;
    if (!written || finished)
        this->end();
}

bool connection::write_frames()
{
    evbuffer* output = bufferevent_get_output(this->transport);
    while (evbuffer_get_length(output) < output_high_water)
    {
        const std::uint8_t* data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(this->session, &data);
        if (size < 0)
            return false;
        if (size == 0)
            break;
        evbuffer_add(output, data, static_cast<std::size_t>(size));
    }
    return true;
}

void connection::receive()
{
    evbuffer* input = bufferevent_get_input(this->transport);
    while (!this->ended && evbuffer_get_length(input) > 0)
    {
        evbuffer_iovec chunk{};
        evbuffer_peek(input, -1, nullptr, &chunk, 1);
        this->in_session_call = true;
        const ssize_t consumed = nghttp2_session_mem_recv(
            this->session, static_cast<const std::uint8_t*>(chunk.iov_base),
            chunk.iov_len);
        this->in_session_call = false;
        if (consumed < 0)
            return this->end();
        evbuffer_drain(input, static_cast<std::size_t>(consumed));
    }
    this->flush();
}

void connection::end()
{
    if (this->ended)
        return;
    this->ended = true;
    bufferevent_disable(this->transport, EV_READ | EV_WRITE);
    if (this->hooks.on_end)
        this->hooks.on_end();
}

void connection::handle_event(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        this->is_connected = true;
        this->flush();
        return;
    }
    // Only writing failed. What arrived before the reset is read to its end first,
    // because a reply may be complete. Requests of a lost peer are not worth serving.
    const bool is_readable = this->is_connected && (what & BEV_EVENT_READING) == 0;
    if (this->kind == role::client && is_readable)
        return;
    this->end();
}

int connection::add_header(std::int32_t id, std::string_view name, std::string_view value)
{
    stream& target_stream = this->streams[id];
    if (name == ":path")
        target_stream.path = value;
    if (name == ":status")
        std::from_chars(value.data(), value.data() + value.size(), target_stream.status);
    return 0;
}

int connection::add_data(std::int32_t id, std::string_view bytes)
{
    stream& target_stream = this->streams[id];
    if (target_stream.received_body.size() + bytes.size() > this->max_body)
    {
        nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, id,
                                  NGHTTP2_ENHANCE_YOUR_CALM);
        return 0;
    }
    target_stream.received_body.append(bytes);
    return 0;
}

void connection::complete(std::int32_t id)
{
    const auto found = this->streams.find(id);
    if (found == this->streams.end() || !this->hooks.on_complete)
        return;
    // An exception must not pass through nghttp2, which calls this.
    const bool succeeded = event_loop::run_guarded(
        [this, id, found] { this->hooks.on_complete(id, found->second); });
    if (!succeeded)
        nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, id,
                                  NGHTTP2_INTERNAL_ERROR);
}

ssize_t connection::read_body(nghttp2_session*, std::int32_t id, std::uint8_t* buffer,
                              std::size_t size, std::uint32_t* flags,
                              nghttp2_data_source* source, void*)
{
    auto* self = static_cast<connection*>(source->ptr);
    const auto found = self->streams.find(id);
    if (found == self->streams.end())
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    stream& target_stream = found->second;
    const std::size_t count =
        std::min(size, target_stream.outgoing_body.size() - target_stream.sent_bytes);
    std::copy_n(target_stream.outgoing_body.data() + target_stream.sent_bytes, count,
                buffer);
    target_stream.sent_bytes += count;
    if (target_stream.sent_bytes == target_stream.outgoing_body.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

} // namespace pistachiospan::peer_transport::internal
