// The entry daemon of one VM: connects the decision logic of the entry library to
// libevent, HTTP and the platform.
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

    // Starts a graceful shutdown; the event loop ends when it is complete. Later calls
    // have no effect.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace pistachiospan::daemon

#endif
