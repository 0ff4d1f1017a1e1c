#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/peer_transport/internal/connection.hpp"
#include "pistachiospan/peer_transport/peer_transport.hpp"

#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>

#include <utility>

namespace pistachiospan::peer_transport
{

namespace
{

using pistachiospan::event_loop::run_guarded;
using pistachiospan::event_loop::to_timeval;

constexpr int status_ok = 200;

} // namespace

class peer_client::implementation
{
public:
    implementation(event_base* base, peer_client_options options)
        : base(base), options(std::move(options)),
          cleanup_event(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void* user) {
                  run_guarded(
                      [user]
                      { static_cast<implementation*>(user)->fail_pending_calls(); });
              },
              this))
    {
    }

    ~implementation()
    {
        this->active_connection.reset();
        for (auto& [id, call] : this->calls)
            event_free(call.timer);
        event_free(this->cleanup_event);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void request(std::string_view path, std::string body, duration timeout,
                 reply_handler done)
    {
        if (this->calls.size() >= this->options.max_pending)
            return done(failure(errc::limit_exceeded, "too many requests to peer " +
                                                          this->options.address +
                                                          " are pending; retry later"));
        if (!this->active_connection && !this->connect())
            return done(failure(errc::unavailable, "cannot connect to peer " +
                                                       this->options.address +
                                                       "; check the network"));
        const auto id = this->active_connection->submit_request(path, std::move(body));
        if (!id)
            return done(id.error());
        auto stored_argument =
            std::make_unique<timer_argument>(timer_argument{this, id.value()});
        event* timer = event_new(
            this->base, -1, 0,
            [](evutil_socket_t, short, void* user)
            {
                const timer_argument argument = *static_cast<timer_argument*>(user);
                run_guarded([&argument]
                            { argument.owner->on_timeout(argument.stream_id); });
            },
            stored_argument.get());
        const timeval interval = to_timeval(timeout);
        event_add(timer, &interval);
        this->calls[id.value()] = {std::move(done), timer, std::move(stored_argument)};
    }

private:
    struct timer_argument
    {
        implementation* owner;
        std::int32_t stream_id;
    };

    struct call
    {
        reply_handler done;
        event* timer;
        std::unique_ptr<timer_argument> argument;
    };

    bool connect()
    {
        sockaddr_storage address{};
        int size = sizeof(address);
        if (evutil_parse_sockaddr_port(this->options.address.c_str(),
                                       reinterpret_cast<sockaddr*>(&address), &size) != 0)
            return false;
        bufferevent* transport =
            bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE);
        internal::connection_hooks hooks;
        hooks.on_complete = [this](std::int32_t id, internal::stream& message)
        {
            this->complete(id, message);
        };
        hooks.on_stream_close = [this](std::int32_t id, std::uint32_t http2_error)
        {
            this->close_stream(id, http2_error);
        };
        hooks.on_end = [this]
        {
            this->has_ended = true;
            event_active(this->cleanup_event, 0, 0);
        };
        this->has_ended = false;
        this->active_connection = std::make_unique<internal::connection>(
            internal::role::client, transport, this->options.max_body, std::move(hooks));
        if (bufferevent_socket_connect(transport, reinterpret_cast<sockaddr*>(&address),
                                       size) != 0)
        {
            this->active_connection.reset();
            return false;
        }
        return true;
    }

    void finish(std::int32_t id, result<std::string> reply)
    {
        auto found = this->calls.extract(id);
        if (found.empty())
            return;
        event_free(found.mapped().timer);
        found.mapped().done(std::move(reply));
    }

    void complete(std::int32_t id, internal::stream& message)
    {
        if (message.status == status_ok)
            this->finish(id, std::move(message.received_body));
        else
            this->finish(id, failure(errc::unknown_outcome,
                                     "peer " + this->options.address +
                                         " replied with an error; see its log"));
    }

    void close_stream(std::int32_t id, std::uint32_t http2_error)
    {
        const bool refused = http2_error == NGHTTP2_REFUSED_STREAM;
        this->finish(id, failure(refused ? errc::unavailable : errc::unknown_outcome,
                                 "peer " + this->options.address +
                                     " closed the stream without a reply"));
    }

    void on_timeout(std::int32_t id)
    {
        if (!this->active_connection || !this->active_connection->connected())
        {
            // A connection that is not established within a request's timeout is dropped.
            this->has_ended = true;
            event_active(this->cleanup_event, 0, 0);
            return;
        }
        this->finish(id, failure(errc::timeout, "no reply from peer " +
                                                    this->options.address +
                                                    " before the timeout"));
        if (this->active_connection)
            this->active_connection->cancel(id);
    }

    // Fails all calls of a connection that has ended. Runs from the loop, because a
    // connection must not be destroyed within its own callbacks.
    void fail_pending_calls()
    {
        if (!this->has_ended || !this->active_connection)
            return;
        const bool was_connected = this->active_connection->connected();
        this->active_connection.reset();
        auto failed = std::exchange(this->calls, {});
        for (auto& [id, call] : failed)
            event_free(call.timer);
        const result<std::string> lost =
            failure(was_connected ? errc::unknown_outcome : errc::unavailable,
                    "lost the connection to peer " + this->options.address);
        for (auto& [id, call] : failed)
            run_guarded([&lost, &done = call.done] { done(lost); });
    }

    event_base* base;
    peer_client_options options;
    event* cleanup_event;
    std::unique_ptr<internal::connection> active_connection;
    bool has_ended = false;
    std::map<std::int32_t, call> calls;
};

peer_client::peer_client(event_base* base, peer_client_options options)
    : self(std::make_unique<implementation>(base, std::move(options)))
{
}

peer_client::~peer_client() = default;

void peer_client::request(std::string_view path, std::string body, duration timeout,
                          reply_handler done)
{
    this->self->request(path, std::move(body), timeout, std::move(done));
}

} // namespace pistachiospan::peer_transport
