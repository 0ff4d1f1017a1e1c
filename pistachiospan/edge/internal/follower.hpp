// Follows one table of the platform's store into a mirror.

#ifndef PISTACHIOSPAN_EDGE_INTERNAL_FOLLOWER_HPP
#define PISTACHIOSPAN_EDGE_INTERNAL_FOLLOWER_HPP

#include "pistachiospan/edge/edge.hpp"
#include "pistachiospan/event_loop/event_loop.hpp"

namespace pistachiospan::edge::internal
{

struct follower_options
{
    table followed = table::operator_rows;
    // Least time between two reads: changes that come close together share one read.
    duration pace = std::chrono::milliseconds(100);
    // Time for which the store holds a read without changes.
    duration wait = std::chrono::seconds(2);
    duration first_backoff = std::chrono::milliseconds(200); // doubles up to the longest
    duration longest_backoff = std::chrono::milliseconds(400);
};

struct follower_hooks
{
    std::function<void(const error&)> lost;   // the first failure after a success
    std::function<void()> regained = nullptr; // the first success after a failure
    std::function<void()> read = nullptr;     // each success
};

class follower
{
public:
    follower(event_base* base, follower_options options, const store_access& store,
             mirror::table_mirror& copy, follower_hooks hooks);

    // Gives up a pending read, which may hang on a dead connection, and reads at once.
    void hurry();
    bool reachable() const
    {
        return this->in_reach;
    }

private:
    void read();
    void finish(std::uint64_t number, const result<mirror::page>& outcome, bool whole);
    void fail(const error& problem);

    follower_options options;
    const store_access& store;
    mirror::table_mirror& copy;
    follower_hooks hooks;
    event_loop::one_shot_timer next;
    std::uint64_t reads = 0; // numbers the reads; an interrupted one is ignored
    bool whole_needed = true;
    bool in_reach = true;
    duration backoff;
    time_point began;
};

} // namespace pistachiospan::edge::internal

#endif
