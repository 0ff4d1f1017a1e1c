// Owners of libevent objects, addresses and the loop of a stand-in process.

#ifndef PISTACHIOSPAN_STANDIN_COMMON_EVENT_HPP
#define PISTACHIOSPAN_STANDIN_COMMON_EVENT_HPP

#include "pistachiospan/event_loop/event_loop.hpp"

#include <event2/event.h>
#include <event2/http.h>

#include <memory>

namespace pistachiospan::standin
{

struct libevent_deleter
{
    void operator()(event_base* target) const;
    void operator()(event* target) const;
    void operator()(evhttp* target) const;
    void operator()(evhttp_connection* target) const;
};

template <class T>
using event_owner = std::unique_ptr<T, libevent_deleter>;

// A loop with the given or the default back end. Throws std::runtime_error.
event_owner<event_base> make_loop();

using event_loop::to_timeval;

// Time of the process on the monotonic time line.
time_point now();

// Calls a function once after a time, from the loop. Destruction cancels it.
class timer
{
public:
    timer(event_base* base, std::function<void()> action);
    void start(duration span);
    void stop();

private:
    static void run(int, short, void* self);

    std::unique_ptr<std::function<void()>> action;
    event_owner<event> pending;
};

struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    std::string text() const;
};

// Throws std::invalid_argument if the address is not ip:port on the loopback interface;
// stand-ins are not reachable from outside.
endpoint parse_loopback(const std::string& address);

// Runs the loop until SIGTERM or SIGINT.
void run_until_signal(event_base* base);

} // namespace pistachiospan::standin

#endif
