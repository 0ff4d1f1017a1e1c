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

using pistachiospan::event_loop::to_timeval;

constexpr int status_ok = 200;

} // namespace

class peer_client::implementation
{
public:
    implementation(event_base* base, peer_client_options options)
        : base(base), options(std::move(options)),
          cleanup(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void* user)
              { static_cast<implementation*>(user)->fail_ended(); },
              this))
    {
    }

    ~implementation()
    {
        this->current.reset();
        for (auto& [id, call] : this->calls)
            event_free(call.timer);
        event_free(this->cleanup);
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
        if (!this->current && !this->connect())
            return done(failure(errc::unavailable, "cannot connect to peer " +
                                                       this->options.address +
                                                       "; check the network"));
        const auto id = this->current->submit_request(path, std::move(body));
        if (!id)
            return done(id.error());
        auto state = std::make_unique<timer_argument>(timer_argument{this, id.value()});
        event* timer = event_new(
            this->base, -1, 0,
            [](evutil_socket_t, short, void* user)
            {
                const timer_argument argument = *static_cast<timer_argument*>(user);
                argument.owner->expire(argument.stream_id);
            },
            state.get());
        const timeval interval = to_timeval(timeout);
        event_add(timer, &interval);
        this->calls[id.value()] = {std::move(done), timer, std::move(state)};
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
        hooks.on_complete = [this](std::int32_t id, internal::stream& received)
        {
            this->complete(id, received);
        };
        hooks.on_stream_close = [this](std::int32_t id, std::uint32_t http2_error)
        {
            this->close_stream(id, http2_error);
        };
        hooks.on_end = [this]
        {
            this->has_ended = true;
            event_active(this->cleanup, 0, 0);
        };
        this->has_ended = false;
        this->current = std::make_unique<internal::connection>(
            internal::role::client, transport, this->options.max_body, std::move(hooks));
        if (bufferevent_socket_connect(transport, reinterpret_cast<sockaddr*>(&address),
                                       size) != 0)
        {
            this->current.reset();
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

    void complete(std::int32_t id, internal::stream& received)
    {
        if (received.status == status_ok)
            this->finish(id, std::move(received.received));
        else
            this->finish(id, failure(errc::unknown_outcome,
                                     "peer " + this->options.address +
                                         " answered with an error; see its log"));
    }

    void close_stream(std::int32_t id, std::uint32_t http2_error)
    {
        const bool refused = http2_error == NGHTTP2_REFUSED_STREAM;
        this->finish(id, failure(refused ? errc::unavailable : errc::unknown_outcome,
                                 "peer " + this->options.address +
                                     " ended the stream without an answer"));
    }

    void expire(std::int32_t id)
    {
        if (!this->current || !this->current->connected())
        {
            // A connection that does not open within a request's timeout is given up.
            this->has_ended = true;
            event_active(this->cleanup, 0, 0);
            return;
        }
        this->finish(id, failure(errc::timeout, "no answer of peer " +
                                                    this->options.address + " in time"));
        if (this->current)
            this->current->cancel(id);
    }

    // Fails all calls of a connection that ended. Runs from the loop.
    void fail_ended()
    {
        if (!this->has_ended || !this->current)
            return;
        const bool reached = this->current->connected();
        this->current.reset();
        auto failed = std::exchange(this->calls, {});
        for (auto& [id, call] : failed)
            event_free(call.timer);
        for (auto& [id, call] : failed)
            call.done(failure(reached ? errc::unknown_outcome : errc::unavailable,
                              "lost the connection to peer " + this->options.address));
    }

    event_base* base;
    peer_client_options options;
    event* cleanup;
    std::unique_ptr<internal::connection> current;
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
