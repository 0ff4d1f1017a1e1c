// Events in virtual time, in a fixed order.
//
// Example:
//
//     scheduler events;
//     events.after(std::chrono::seconds(1), [&] { upstream.crash(); });
//     events.run_for(std::chrono::seconds(5));

#ifndef PISTACHIOSPAN_WORLD_SCHEDULER_HPP
#define PISTACHIOSPAN_WORLD_SCHEDULER_HPP

#include "pistachiospan/base/base.hpp"

#include <queue>
#include <tuple>

namespace pistachiospan::world
{

class scheduler
{
public:
    time_point now() const
    {
        return this->present;
    }

    // Events of the same time run in the order in which they were added.
    void after(duration delay, std::function<void()> action)
    {
        this->events.push(
            {this->present + delay, this->next_number++, std::move(action)});
    }

    // Runs all events of the next `span` of virtual time.
    void run_for(duration span)
    {
        const time_point end = this->present + span;
        while (!this->events.empty() && this->events.top().at <= end)
        {
            const event next = this->events.top();
            this->events.pop();
            this->present = next.at;
            next.action();
        }
        this->present = end;
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.number) < std::tie(this->at, this->number);
        }
    };

    time_point present{std::chrono::seconds(1000)};
    std::uint64_t next_number = 0;
    std::priority_queue<event> events;
};

} // namespace pistachiospan::world

#endif
