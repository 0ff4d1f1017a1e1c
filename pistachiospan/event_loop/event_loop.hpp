// Timers, signal handlers and clocks for a libevent loop, and the handling of exceptions
// that leave its callbacks.
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
#include <span>

namespace pistachiospan::event_loop
{

// Converts to timeval. The result is at least one microsecond, because some libevent
// functions take zero as "no timeout".
inline timeval to_timeval(duration interval)
{
    interval = std::max(interval, duration(1));
    const auto seconds = std::chrono::floor<std::chrono::seconds>(interval);
    return {.tv_sec = seconds.count(), .tv_usec = (interval - seconds).count()};
}

// The steady clock of this process. Code that makes decisions takes the time as an
// argument instead, so that it can be tested.
inline time_point monotonic_now()
{
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

// The system clock. It may jump, so use it only for logs and for times exchanged with
// other machines.
inline wall_time wall_now()
{
    return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

// Sets the function that is called with the text of each exception that run_guarded()
// catches. With null, the text is printed to standard error.
void set_error_handler(std::function<void(std::string_view)> handler);

// Runs one callback of the loop. An exception that leaves it would end the process and
// all its requests, so it is caught and reported, and false is returned.
bool run_guarded(const std::function<void()>& action);

struct event_deleter
{
    void operator()(event* target) const
    {
        event_free(target);
    }
};

using event_ptr = std::unique_ptr<event, event_deleter>;

// Calls `on_tick` every `interval` until the timer is destroyed.
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
        const timeval period = to_timeval(interval);
        event_add(this->timer.get(), &period);
    }

    periodic_timer(const periodic_timer&) = delete;
    periodic_timer& operator=(const periodic_timer&) = delete;

private:
    std::function<void()> on_tick;
    event_ptr timer;
};

// Calls `on_expiry` once, `interval` after start(), unless it is stopped before that.
class one_shot_timer
{
public:
    one_shot_timer(event_base* base, std::function<void()> on_expiry)
        : on_expiry(std::move(on_expiry)),
          timer(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void* user)
              { run_guarded(static_cast<one_shot_timer*>(user)->on_expiry); },
              this))
    {
    }

    one_shot_timer(const one_shot_timer&) = delete;
    one_shot_timer& operator=(const one_shot_timer&) = delete;

    // Starts the timer, or restarts it if it is running.
    void start(duration interval)
    {
        const timeval timeout = to_timeval(interval);
        event_add(this->timer.get(), &timeout);
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
    std::function<void()> on_expiry;
    event_ptr timer;
};

// Holds these signals back until there is a signal_handler for them, which then handles
// one that has arrived. Without this, a signal that arrives while the process starts ends
// it. Call before the process accepts work and starts threads.
void hold_signals(std::span<const int> signal_numbers);

// Calls `on_signal` from the loop whenever the process receives signal `signal_number`.
class signal_handler
{
public:
    signal_handler(event_base* base, int signal_number, std::function<void()> on_signal)
        : on_signal(std::move(on_signal)),
          signal_event(evsignal_new(
              base, signal_number,
              [](evutil_socket_t, short, void* user)
              { run_guarded(static_cast<signal_handler*>(user)->on_signal); },
              this))
    {
        event_add(this->signal_event.get(), nullptr);
        release_signal(signal_number);
    }

    signal_handler(const signal_handler&) = delete;
    signal_handler& operator=(const signal_handler&) = delete;

private:
    static void release_signal(int signal_number);

    std::function<void()> on_signal;
    event_ptr signal_event;
};

} // namespace pistachiospan::event_loop

#endif
