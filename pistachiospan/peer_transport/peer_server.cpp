#include "pistachiospan/peer_transport/internal/connection.hpp"
#include "pistachiospan/peer_transport/peer_transport.hpp"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <system_error>

namespace pistachiospan::peer_transport
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_error = 500;

} // namespace

class peer_server::implementation
{
public:
    implementation(event_base* base, peer_server_options options)
        : base(base), options(std::move(options))
    {
        sockaddr_storage address{};
        int size = sizeof(address);
        if (evutil_parse_sockaddr_port(this->options.address.c_str(),
                                       reinterpret_cast<sockaddr*>(&address), &size) != 0)
            throw std::system_error(make_error_code(errc::invalid_argument),
                                    "peer address " + this->options.address +
                                        " is not ip:port; correct the settings");
        this->listener =
            evconnlistener_new_bind(base, &implementation::accept, this,
                                    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                    reinterpret_cast<sockaddr*>(&address), size);
        if (this->listener == nullptr)
            throw std::system_error(errno, std::generic_category(),
                                    "cannot listen on " + this->options.address +
                                        "; check that no other process uses it");
        this->cleanup_event = event_new(
            base, -1, 0,
            [](evutil_socket_t, short, void* user)
            { static_cast<implementation*>(user)->ended.clear(); },
            this);
    }

    ~implementation()
    {
        evconnlistener_free(this->listener);
        event_free(this->cleanup_event);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

private:
    using connection_ptr = std::shared_ptr<internal::connection>;

    static void accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                       void* user)
    {
        static_cast<implementation*>(user)->add(socket);
    }

    void add(evutil_socket_t socket)
    {
        if (this->connections.size() >= this->options.max_connections)
        {
            evutil_closesocket(socket);
            return;
        }
        bufferevent* transport =
            bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE);
        const std::uint64_t key = this->next_key++;
        internal::connection_hooks hooks;
        hooks.on_complete = [this, key](std::int32_t id, internal::stream& message)
        {
            this->serve(key, id, message);
        };
        hooks.on_end = [this, key]
        {
            this->remove(key);
        };
        this->connections[key] = std::make_shared<internal::connection>(
            internal::role::server, transport, this->options.max_body, std::move(hooks));
    }

    void serve(std::uint64_t key, std::int32_t id, internal::stream& message)
    {
        const std::weak_ptr<internal::connection> target = this->connections.at(key);
        this->options.on_request(
            message.path, std::move(message.received_body),
            [target, id](result<std::string> reply)
            {
                const connection_ptr connection = target.lock();
                if (!connection)
                    return;
                if (reply)
                    connection->submit_response(id, status_ok, std::move(reply.value()));
                else
                    connection->submit_response(id, status_error, {});
            });
    }

    // Connections are destroyed from the loop, outside of their own callbacks.
    void remove(std::uint64_t key)
    {
        const auto found = this->connections.find(key);
        if (found == this->connections.end())
            return;
        this->ended.push_back(std::move(found->second));
        this->connections.erase(found);
        event_active(this->cleanup_event, 0, 0);
    }

    event_base* base;
    peer_server_options options;
    evconnlistener* listener = nullptr;
    event* cleanup_event = nullptr;
    std::uint64_t next_key = 1;
    std::map<std::uint64_t, connection_ptr> connections;
    std::vector<connection_ptr> ended;
};

peer_server::peer_server(event_base* base, peer_server_options options)
    : self(std::make_unique<implementation>(base, std::move(options)))
{
}

peer_server::~peer_server() = default;

} // namespace pistachiospan::peer_transport
