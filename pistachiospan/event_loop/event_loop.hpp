// Timers, signals and clocks on a libevent loop, and the last resort for errors in its
// callbacks.
//
// Example:
//
//     periodic_timer ticker(base, std::chrono::milliseconds(5), [&] { node.tick(); });
//     one_shot_timer limit(base, [&] { give_up(); });
//     limit.start(std::chrono::seconds(1));

#ifndef PISTACHIOSPAN_EVENT_LOOP_EVENT_LOOP_HPP
#define PISTACHIOSPAN_EVENT_LOOP_EVENT_LOOP_HPP

#include "pistachiospan/base/base.hpp"

#include <event2/event.h>

#include <memory>

namespace pistachiospan::event_loop
{

// At least one microsecond: to some calls of libevent zero means no time-out.
inline timeval to_timeval(duration span)
{
    span = std::max(span, duration(1));
    const auto seconds = std::chrono::floor<std::chrono::seconds>(span);
    return {.tv_sec = seconds.count(), .tv_usec = (span - seconds).count()};
}

// The steady clock of this process. Decisions take the value as an argument.
inline time_point monotonic_now()
{
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

// The time of day. It may jump, so it is for logs and for times told by other machines.
inline wall_time wall_now()
{
    return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

// Called with the text of each exception that run_guarded() stops; null: it is printed.
void set_error_handler(std::function<void(std::string_view)> handler);

// Runs one callback of the loop. An exception that leaves it would end the process with
// all its requests: it is reported, and only this callback ends. Returns false then.
bool run_guarded(const std::function<void()>& action);

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
              { run_guarded(static_cast<periodic_timer*>(user)->on_tick); },
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

// Calls `on_end` once, a given time after start(), unless it is stopped before.
class one_shot_timer
{
public:
    one_shot_timer(event_base* base, std::function<void()> on_end)
        : on_end(std::move(on_end)),
          timer(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void* user)
              { run_guarded(static_cast<one_shot_timer*>(user)->on_end); },
              this))
    {
    }

    one_shot_timer(const one_shot_timer&) = delete;
    one_shot_timer& operator=(const one_shot_timer&) = delete;

    // Replaces an earlier start().
    void start(duration span)
    {
        const timeval value = to_timeval(span);
        event_add(this->timer.get(), &value);
    }

    void stop()
    {
        event_del(this->timer.get());
    }

    bool is_pending() const
    {
        return event_pending(this->timer.get(), EV_TIMEOUT, nullptr) != 0;
    }

private:
    std::function<void()> on_end;
    event_ptr timer;
};

// Calls `on_signal` from the loop for each signal `number`.
class signal_handler
{
public:
    signal_handler(event_base* base, int number, std::function<void()> on_signal)
        : on_signal(std::move(on_signal)),
          handle(evsignal_new(
              base, number,
              [](evutil_socket_t, short, void* user)
              { run_guarded(static_cast<signal_handler*>(user)->on_signal); },
              this))
    {
        event_add(this->handle.get(), nullptr);
    }

    signal_handler(const signal_handler&) = delete;
    signal_handler& operator=(const signal_handler&) = delete;

private:
    std::function<void()> on_signal;
    event_ptr handle;
};

} // namespace pistachiospan::event_loop

#endif
