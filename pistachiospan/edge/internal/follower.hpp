// Follows one table of the platform's store into a mirror, at the store or at another VM.

#ifndef PISTACHIOSPAN_EDGE_INTERNAL_FOLLOWER_HPP
#define PISTACHIOSPAN_EDGE_INTERNAL_FOLLOWER_HPP

#include "pistachiospan/edge/edge.hpp"
#include "pistachiospan/edge/internal/peer_link.hpp"
#include "pistachiospan/event_loop/event_loop.hpp"

namespace pistachiospan::edge::internal
{

struct follower_options
{
    table followed = table::operator_rows;
    // Least time between two reads: changes that come close together share one read.
    duration pace = std::chrono::milliseconds(100);
    // Time for which the store, or the VM followed, holds a read without changes.
    duration wait = std::chrono::seconds(2);
    // A read of the store is late when it takes this much longer than it may wait.
    duration late_after = std::chrono::milliseconds(300);
    // A short failure is not worth a change of the VM that reads.
    duration lost_after = std::chrono::milliseconds(900);
    duration first_backoff = std::chrono::milliseconds(50); // doubles up to the longest
    duration longest_backoff = std::chrono::milliseconds(400);
};

// How a read ended.
struct read_end
{
    bool from_store = false; // else from another VM
    bool good = false;
    bool timed_out = false; // the store gave no answer
    std::string source;     // peer address of the other VM
};

struct follower_hooks
{
    // Peer address of the VM to follow; empty: the store.
    std::function<std::string()> choose;
    std::function<void(const error&)> lost;              // the first failure of the store
    std::function<void()> regained = nullptr;            // its first success after that
    std::function<void(const read_end&)> read = nullptr; // each read
};

class follower
{
public:
    follower(event_base* base, follower_options options, const store_access& store,
             peer_link& peers, mirror::table_mirror& copy, follower_hooks hooks);

    // Begins to read.
    void start();
    // Gives up the pending read, which may hang on a dead connection, and begins another.
    void restart();
    // The same, from the store, since another VM has known more from this time on. A read
    // of the store that began later brings the change and is left: returns false.
    bool hurry(time_point since);
    // False when the store has not answered for `lost_after`.
    bool reaches_store(time_point now) const
    {
        return this->in_reach || now - this->failing_since < this->options.lost_after;
    }
    // Reads elsewhere if the source in use is no longer the one to choose, or if the
    // store is late and there is a VM to follow.
    void reconsider(time_point now);
    // Time since the last successful read, of the store or another VM; `duration::max()`
    // without any. While a change is applied: since the read before.
    duration news_age(time_point now) const
    {
        return this->last_read ? now - *this->last_read : duration::max();
    }
    // Time since the last successful read of the store; `duration::max()` without any.
    duration store_age(time_point now) const
    {
        return this->store_read ? now - *this->store_read : duration::max();
    }

private:
    void read();
    void read_store();
    void read_peer(const std::string& address);
    void finish_relayed(std::uint64_t number, const result<mirror::relay_page>& outcome);
    void finish(std::uint64_t number, const result<mirror::page>& outcome, bool whole);
    void fail(const error& problem);

    follower_options options;
    const store_access& store;
    peer_link& peers;
    mirror::table_mirror& copy;
    follower_hooks hooks;
    event_loop::one_shot_timer next;
    std::uint64_t reads = 0; // numbers the reads; an interrupted one is ignored
    bool whole_needed = true;
    bool in_reach = true; // the last read of the store succeeded
    time_point failing_since;
    std::optional<time_point> last_read;  // end of the last good read
    std::optional<time_point> store_read; // end of the last good read of the store
    std::string source;                   // of the read in progress; empty: the store
    bool store_first = false; // the next read goes to the store whatever is chosen
    http1::call_id relay_call = 0;
    std::uint64_t relay_instance = 0;
    std::uint64_t relay_cursor = 0;
    duration backoff;
    time_point began;
};

} // namespace pistachiospan::edge::internal

#endif
