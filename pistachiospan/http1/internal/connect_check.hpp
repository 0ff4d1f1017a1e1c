// Connections that are opened only to learn whether a server listens.

#ifndef PISTACHIOSPAN_HTTP1_INTERNAL_CONNECT_CHECK_HPP
#define PISTACHIOSPAN_HTTP1_INTERNAL_CONNECT_CHECK_HPP

#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <list>

namespace pistachiospan::http1::internal
{

class connect_checks
{
public:
    explicit connect_checks(event_base* base) : base(base) {}

    // See client::check_connect().
    void start(const std::string& address, duration timeout,
               std::function<void(connect_outcome)> done);

private:
    struct pending_check
    {
        pending_check(connect_checks& owner, std::function<void(connect_outcome)> done);

        connect_checks& owner;
        std::function<void(connect_outcome)> done;
        std::list<pending_check>::iterator self;
        bufferevent_ptr socket;
        event_loop::one_shot_timer timer;
    };

    static void on_event(bufferevent*, short what, void* user);
    void finish(pending_check& check, connect_outcome outcome);

    event_base* base;
    std::list<pending_check> pending;
};

} // namespace pistachiospan::http1::internal

#endif
