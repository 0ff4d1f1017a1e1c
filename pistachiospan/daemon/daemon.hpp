// The entry daemon: joins the decisions of one VM to libevent, HTTP and the platform.
//
// Example:
//
//     event_base* base = event_base_new();
//     entry_daemon daemon(base, settings);
//     event_base_dispatch(base); // returns after a graceful shutdown (SIGTERM, SIGINT)

#ifndef PISTACHIOSPAN_DAEMON_DAEMON_HPP
#define PISTACHIOSPAN_DAEMON_DAEMON_HPP

#include "pistachiospan/settings/settings.hpp"

#include <memory>

struct event_base;

namespace pistachiospan::daemon
{

class entry_daemon
{
public:
    // Binds the listeners. Throws std::system_error when an address cannot be bound.
    entry_daemon(event_base* base, const settings::settings& settings);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    // Begins the graceful shutdown; the loop ends when it is done.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace pistachiospan::daemon

#endif
