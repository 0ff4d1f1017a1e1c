// State that one VM keeps of one shard.

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
    version last_change = 0;
    version attempt = 0;
    time_point since;       // time of the change to `state`
    attempt_id running = 0; // attempt in progress on this VM; 0: none
    std::unique_ptr<outcome> result;
    record_state state = record_state::intent;
};

using record_table = std::unordered_map<record_id, record, record_id_hash>;

// Replication of a shard to another VM.
struct replica
{
    member who;
    join_token transfer = 0; // 0: the backup of the view; otherwise a joining VM
    std::map<version, record_id> unacknowledged;
    version part_end = 0; // last change in the message in flight; 0: none
    time_point last_sent;
    time_point silent_since;    // time of the first unanswered message
    bool silent = false;        // did not acknowledge a message in time
    bool refused = false;       // has no room, or has lost the records of the shard
    time_point exclusive_until; // it executes nothing in a newer view before this time
    // Of a joining VM: set when the transfer is nearly complete. Later changes need its
    // acknowledgement before an execution is permitted, and the view that names it is
    // written once it has acknowledged all earlier changes.
    version barrier = 0;
    bool proposed = false; // a view that names it may have been written
};

// Records that this VM receives before a view names it.
struct staging
{
    join_token transfer = 0;
    duration unknown_for{0};
    time_point last_heard_at;
    record_table records;
};

// A view that this VM is writing to the store.
struct proposal
{
    view next;
    std::uint64_t call = 0; // pending call to the store; 0: none
    time_point sent;
    time_point retry_at;
    bool uncertain = false; // an earlier write may have taken effect
};

struct shard
{
    view current;
    join_token joined = 0;    // how this VM obtained the records
    bool has_records = false; // holds the records as a member of `current`
    time_point serve_from;    // as primary: executes nothing before this time
    std::optional<time_point> confirmed_at; // last time the store confirmed this epoch
    time_point unknown_until; // keys chosen by callers may have lost records until then
    // As backup: executes nothing in a newer view before this time.
    time_point lease_until;
    // As primary: a handover waits for the attempts that are not permitted yet. Requests
    // with new keys wait for the handover.
    bool handover_pending = false;
    std::optional<time_point> swap_started_at;
    // As backup: acknowledges outcomes; sent with the next message or tick.
    std::unique_ptr<ack> delayed_ack;
    // The other member is not live; for VMs outside the view: both members are not live.
    bool down = false;
    time_point down_since;
    std::uint32_t next_sequence = 1;
    std::uint32_t next_transfer = 1;
    record_table records;
    std::unique_ptr<replica> backup;
    std::unique_ptr<replica> joiner;
    std::unique_ptr<staging> joining; // transfer to this VM before it joins
    proposal proposed;
};

} // namespace pistachiospan::once::internal

#endif
