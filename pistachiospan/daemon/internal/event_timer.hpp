// Periodic timer on a libevent loop.

#ifndef PISTACHIOSPAN_DAEMON_INTERNAL_EVENT_TIMER_HPP
#define PISTACHIOSPAN_DAEMON_INTERNAL_EVENT_TIMER_HPP

#include "pistachiospan/base/base.hpp"

#include <event2/event.h>

#include <memory>

namespace pistachiospan::daemon::internal
{

inline timeval to_timeval(duration span)
{
    constexpr std::int64_t microseconds_per_second = 1'000'000;
    return {span.count() / microseconds_per_second,
            span.count() % microseconds_per_second};
}

struct event_deleter
{
    void operator()(event* owned) const
    {
        event_free(owned);
    }
};

using event_ptr = std::unique_ptr<event, event_deleter>;

// Calls `on_tick` each `interval` until it is destroyed.
class periodic_timer
{
public:
    periodic_timer(event_base* base, duration interval, std::function<void()> on_tick)
        : on_tick(std::move(on_tick)),
          timer(event_new(
              base, -1, EV_PERSIST,
              [](evutil_socket_t, short, void* user)
              { static_cast<periodic_timer*>(user)->on_tick(); },
              this))
    {
        const timeval span = to_timeval(interval);
        event_add(this->timer.get(), &span);
    }

    periodic_timer(const periodic_timer&) = delete;
    periodic_timer& operator=(const periodic_timer&) = delete;

private:
    std::function<void()> on_tick;
    event_ptr timer;
};

} // namespace pistachiospan::daemon::internal

#endif
