#include "pistachiospan/peer_transport/internal/connection.hpp"

#include <event2/buffer.h>
#include <event2/event.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace pistachiospan::peer_transport::internal
{

namespace
{

// Flow control windows, in bytes: one stream and the whole connection.
constexpr std::uint32_t stream_window = 1U << 20U;
constexpr std::int32_t connection_window = 1 << 23;

// Output buffered in the bufferevent before nghttp2 is asked for more, in bytes.
constexpr std::size_t output_high_water = std::size_t{1} << 20U;

// Streams that a peer may have open at once.
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

connection* self_of(void* user)
{
    return static_cast<connection*>(user);
}

} // namespace

nghttp2_session_callbacks* connection::callbacks()
{
    nghttp2_session_callbacks* set = nullptr;
    nghttp2_session_callbacks_new(&set);
    nghttp2_session_callbacks_set_on_header_callback(
        set,
        [](nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
           std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
           std::uint8_t, void* user)
        {
            return self_of(user)->add_header(
                frame->hd.stream_id, {reinterpret_cast<const char*>(name), name_size},
                {reinterpret_cast<const char*>(value), value_size});
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        set,
        [](nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* data,
           std::size_t size, void* user) {
            return self_of(user)->add_data(id,
                                           {reinterpret_cast<const char*>(data), size});
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        set,
        [](nghttp2_session*, const nghttp2_frame* frame, void* user)
        {
            const bool has_message =
                frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
            if (has_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
                self_of(user)->complete(frame->hd.stream_id);
            return 0;
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        set,
        [](nghttp2_session*, std::int32_t id, std::uint32_t error_code, void* user)
        {
            connection* self = self_of(user);
            self->streams.erase(id);
            if (self->hooks.on_stream_close)
                self->hooks.on_stream_close(id, error_code);
            return 0;
        });
    return set;
}

connection::connection(role kind, bufferevent* transport, std::size_t max_body,
                       connection_hooks hooks)
    : kind(kind), transport(transport), max_body(max_body), hooks(std::move(hooks)),
      is_connected(kind == role::server)
{
    nghttp2_session_callbacks* set = callbacks();
    if (kind == role::server)
        nghttp2_session_server_new(&this->session, set, this);
    else
        nghttp2_session_client_new(&this->session, set, this);
    nghttp2_session_callbacks_del(set);

    const std::array<nghttp2_settings_entry, 2> settings{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window}}};
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0,
                                          connection_window);

    bufferevent_setcb(
        transport, [](bufferevent*, void* user) { self_of(user)->receive(); },
        [](bufferevent*, void* user) { self_of(user)->flush(); },
        [](bufferevent*, short what, void* user) { self_of(user)->handle_event(what); },
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
        return failure(errc::unavailable, std::string("no new stream: ") +
                                              nghttp2_strerror(id) +
                                              "; the connection is opened again");
    this->streams[id].outgoing = std::move(body);
    if (this->is_connected)
        this->flush();
    return id;
}

void connection::submit_response(std::int32_t id, int status, std::string body)
{
    const auto found = this->streams.find(id);
    if (this->ended || found == this->streams.end())
        return;
    found->second.outgoing = std::move(body);
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
    // nghttp2 must not be entered again from its own callbacks; the outermost call
    // writes.
    if (this->ended || this->in_session)
        return;
    this->in_session = true;
    const bool alive = this->write_frames();
    this->in_session = false;
    const bool done = nghttp2_session_want_read(this->session) == 0 &&
                      nghttp2_session_want_write(this->session) == 0;
    if (!alive || done)
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
        this->in_session = true;
        const ssize_t used = nghttp2_session_mem_recv(
            this->session, static_cast<const std::uint8_t*>(chunk.iov_base),
            chunk.iov_len);
        this->in_session = false;
        if (used < 0)
            return this->end();
        evbuffer_drain(input, static_cast<std::size_t>(used));
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
    this->end();
}

int connection::add_header(std::int32_t id, std::string_view name, std::string_view value)
{
    stream& target = this->streams[id];
    if (name == ":path")
        target.path = value;
    if (name == ":status")
        std::from_chars(value.data(), value.data() + value.size(), target.status);
    return 0;
}

int connection::add_data(std::int32_t id, std::string_view bytes)
{
    stream& target = this->streams[id];
    if (target.received.size() + bytes.size() > this->max_body)
    {
        nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, id,
                                  NGHTTP2_ENHANCE_YOUR_CALM);
        return 0;
    }
    target.received.append(bytes);
    return 0;
}

void connection::complete(std::int32_t id)
{
    const auto found = this->streams.find(id);
    if (found != this->streams.end() && this->hooks.on_complete)
        this->hooks.on_complete(id, found->second);
}

ssize_t connection::read_body(nghttp2_session*, std::int32_t id, std::uint8_t* buffer,
                              std::size_t size, std::uint32_t* flags,
                              nghttp2_data_source* source, void*)
{
    auto* self = static_cast<connection*>(source->ptr);
    const auto found = self->streams.find(id);
    if (found == self->streams.end())
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    stream& target = found->second;
    const std::size_t count = std::min(size, target.outgoing.size() - target.sent);
    std::copy_n(target.outgoing.data() + target.sent, count, buffer);
    target.sent += count;
    if (target.sent == target.outgoing.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

} // namespace pistachiospan::peer_transport::internal
