// A TCP proxy on loopback that harms the connections through it.

#ifndef PISTACHIOSPAN_TOOLS_SOAK_FAULT_PROXY_HPP
#define PISTACHIOSPAN_TOOLS_SOAK_FAULT_PROXY_HPP

#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <event2/listener.h>

#include <list>
#include <memory>

namespace pistachiospan::soak
{

enum class link_fault
{
    none,
    delayed, // bytes arrive late
    reset,   // connections end at once, old and new
    one_way, // bytes of the far end are lost
    silent,  // bytes of both ends are lost; connections stay open
};

class fault_proxy
{
public:
    fault_proxy(event_base* base, const std::string& listen, std::string target);

    // Bytes that were lost stay lost: a connection that met silence stays silent.
    void set_fault(link_fault next);
    // Whether bytes of the far end arrive on new connections.
    bool passes_answers() const
    {
        return this->fault == link_fault::none || this->fault == link_fault::delayed;
    }
    // The far end's bytes are sent a second time when the near end sends its next ones,
    // as a faulty server does with its answers.
    void set_repeating(bool next)
    {
        this->repeating = next;
    }

private:
    struct pair
    {
        fault_proxy* owner = nullptr;
        http1::internal::bufferevent_ptr near;
        http1::internal::bufferevent_ptr far;
        std::string copy;     // bytes of the far end that are to be sent again
        bool spoiled = false; // bytes were lost
    };

    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                          void* self);
    static void on_near(bufferevent*, void* user);
    static void on_far(bufferevent*, void* user);
    static void on_event(bufferevent* from, short what, void* user);
    static void add_copy(pair& of, evbuffer* input);
    static void send_copy(pair& of);
    void move(pair& of, bufferevent* from, bufferevent* to, bool from_far);
    void flush();

    event_base* base;
    std::string target;
    link_fault fault = link_fault::none;
    bool repeating = false;
    std::list<pair> open;
    event_loop::periodic_timer ticker;
    std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> listener;
};

} // namespace pistachiospan::soak

#endif
