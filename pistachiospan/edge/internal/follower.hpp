// Keeps a mirror of one table of the platform's store up to date, by reading from the
// store or from another VM.

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
    // Minimum interval between the starts of two reads, so that changes in quick
    // succession are fetched by one read.
    duration min_interval = std::chrono::milliseconds(100);
    // The same while the other VM is behind this one.
    duration behind_interval = std::chrono::milliseconds(200);
    // How long the store or the other VM holds a read open while there is no change.
    duration wait = std::chrono::seconds(2);
    // A read of the store is overdue when it takes this much longer than `wait`.
    duration overdue_after = std::chrono::milliseconds(300);
    // The same for a read that another VM's newer change has caused: the store should
    // answer it at once.
    duration forced_limit = std::chrono::milliseconds(900);
    // After a failed read, the store still counts as reachable until its last answer is
    // this old: a short failure does not justify moving the reads to another VM.
    duration lost_after = std::chrono::milliseconds(900);
    duration initial_backoff = std::chrono::milliseconds(50); // doubles up to the maximum
    duration max_backoff = std::chrono::milliseconds(400);
};

// Outcome of one read.
struct read_outcome
{
    bool from_store = false; // false: from another VM
    bool succeeded = false;
    bool timed_out = false; // the store did not answer
    std::string source;     // peer address of the other VM; empty: the store
    // Of the page that was read, if the read succeeded.
    bool is_snapshot = false;
    std::size_t rows = 0;
    std::uint64_t position = 0;
    std::size_t held = 0; // rows whose removal the other VM holds
    duration took{0};
};

struct follower_hooks
{
    // Returns the peer address of the VM to read from; empty: the store.
    std::function<std::string()> choose_source;
    std::function<void(const error&)> lost;   // first failed read of the store
    std::function<void()> regained = nullptr; // first successful one after it
    // Called for each completed read.
    std::function<void(const read_outcome&)> read_finished = nullptr;
    // A read that read_from_store_since() has started was cancelled before its end.
    std::function<void()> forced_read_abandoned = nullptr;
};

class follower
{
public:
    follower(event_base* base, follower_options options, const store_access& store,
             peer_link& peers, mirror::table_mirror& copy, follower_hooks hooks);

    // Starts reading.
    void start();
    // Cancels the pending read, which may hang on a dead connection, and starts another.
    void restart();
    // Reads the store, because another VM has had a newer change since `since`. A read
    // from another VM goes on meanwhile: whichever has the change first counts. Returns
    // false and does nothing if a read of the store that fetches the change is pending:
    // one that started later, or for this reason, and is not overdue.
    bool read_from_store_since(time_point since);
    // The store does not answer the reads of another table. Cancels a pending read of the
    // store if there is a VM to read from.
    void leave_store();
    // While reading from another VM, also reads the store, to learn whether it answers.
    void probe_store();
    // False if the last read of the store has failed, and the store has not answered
    // within `lost_after`.
    bool reaches_store(time_point now) const
    {
        return this->store_reachable || this->store_age(now) < this->options.lost_after;
    }
    // Restarts the read if another source should be used by now: the chosen VM has
    // changed, or the store is overdue and there is a VM to read from.
    void reconsider(time_point now);
    // Time since the last successful read, from the store or another VM;
    // `duration::max()` if there was none. While a page is being applied, the read before
    // it counts.
    duration last_read_age(time_point now) const
    {
        return this->last_read ? now - *this->last_read : duration::max();
    }
    // Time since the last successful read of the store; `duration::max()` if there was
    // none.
    duration store_age(time_point now) const
    {
        return this->last_store_read ? now - *this->last_store_read : duration::max();
    }

private:
    void read();
    void read_store();
    void read_peer(const std::string& address);
    void finish_peer_read(std::uint64_t sequence,
                          const result<mirror::relay_page>& outcome);
    void finish_store_read(std::uint64_t sequence, const result<mirror::page>& outcome,
                           bool is_snapshot);
    void apply_store_page(const mirror::page& page, bool is_snapshot,
                          time_point read_started_at);
    void handle_failure(const error& problem);
    void note_store_failure(const error& problem);
    void begin_extra_read();
    void finish_extra_read(const result<mirror::page>& outcome, bool is_snapshot,
                           time_point read_started_at);

    follower_options options;
    const store_access& store;
    peer_link& peers;
    mirror::table_mirror& copy;
    follower_hooks hooks;
    event_loop::one_shot_timer next_read;
    // Number of the latest read; outcomes of earlier, cancelled reads are ignored.
    std::uint64_t read_sequence = 0;
    bool snapshot_needed = true;
    bool store_reachable = true;               // the last read of the store did not fail
    std::optional<time_point> last_read;       // end of the last successful read
    std::optional<time_point> last_store_read; // the same, of the store
    std::string source;       // of the read in progress; empty: the store
    bool force_store = false; // the next read uses the store, not choose_source()
    bool is_forced = false;   // the read in progress uses the store for that reason
    http1::call_id relay_call = 0;
    std::uint64_t relay_instance = 0;
    std::uint64_t relay_cursor = 0;
    duration backoff;
    time_point read_started_at;
    // Start of the first read of the store since its last answer. A read that is begun
    // anew must not look like one that has just begun.
    std::optional<time_point> unanswered_since;
    // Read of the store beside the one from another VM; empty if none is pending.
    std::optional<time_point> extra_read_started_at;
    std::uint64_t extra_sequence = 0; // number of the latest one
};

} // namespace pistachiospan::edge::internal

#endif
