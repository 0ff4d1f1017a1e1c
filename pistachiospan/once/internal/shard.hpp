// State of one shard at one VM.

#ifndef PISTACHIOSPAN_ONCE_INTERNAL_SHARD_HPP
#define PISTACHIOSPAN_ONCE_INTERNAL_SHARD_HPP

#include "pistachiospan/once/internal/protocol.hpp"

#include <map>
#include <unordered_map>

namespace pistachiospan::once::internal
{

struct record
{
    std::uint64_t fingerprint = 0;
    version changed = 0;
    version attempt = 0;
    time_point since;       // when `state` was reached
    attempt_id running = 0; // the attempt in progress at this VM; 0: none
    std::unique_ptr<outcome> result;
    record_state state = record_state::intent;
};

using record_table = std::unordered_map<record_id, record, record_id_hash>;

// What another member of the shard has not acknowledged yet.
struct replica
{
    member who;
    join_token transfer = 0; // 0: backup of the view; else joining
    std::map<version, record_id> unacknowledged;
    version part_end = 0; // last change of the part in flight; 0: none
    time_point last_sent;
    time_point silent_since;    // first unanswered message
    bool silent = false;        // a message was not acknowledged in time
    bool refused = false;       // it has no room or no records of the shard
    time_point exclusive_until; // it executes nothing in a newer view before
    // Joining: set when the transfer is nearly complete. Executions permitted from then
    // on need its acknowledgement; the view is written once it has all older changes.
    version barrier = 0;
    bool proposed = false; // a view that names it may have been written
};

// Records that a joining VM receives before a view names it.
struct staging
{
    join_token transfer = 0;
    duration unknown_for{0};
    time_point last_heard;
    record_table records;
};

// A view that this VM is writing.
struct proposal
{
    view next;
    std::uint64_t call = 0; // the store call that is awaited; 0: none
    time_point sent;
    time_point retry_at;
    bool uncertain = false; // a write may have taken effect
};

struct shard
{
    view current;
    join_token joined = 0;                  // how this VM got the records
    bool has_state = false;                 // holds the records, as a member of `current`
    time_point serve_from;                  // primary: executes nothing before
    std::optional<time_point> confirmed_at; // the store named this epoch then
    time_point unknown_until;  // lost records may concern keys chosen by callers
    time_point promised_until; // as backup: executes nothing in a newer view before
    // Primary: a handover waits for the attempts that are not permitted yet; further keys
    // wait for the handover.
    bool closing = false;
    std::optional<time_point> swapping_since;
    std::unique_ptr<ack> owed_ack; // backup: of outcomes, sent with the next message
    bool down = false;             // the other member is not live (others: both are not)
    time_point down_since;
    std::uint32_t next_sequence = 1;
    std::uint32_t next_transfer = 1;
    record_table records;
    std::unique_ptr<replica> backup;
    std::unique_ptr<replica> joiner;
    std::unique_ptr<staging> joining; // this VM is about to join
    proposal proposed;
};

} // namespace pistachiospan::once::internal

#endif
