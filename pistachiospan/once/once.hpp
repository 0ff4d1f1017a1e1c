// At-most-once execution of requests that carry an idempotency key.
//
// Keys are divided into shards. Each shard has a view, which names its primary and its
// backup; both hold the idempotency records of the shard. Views are kept in the store.
// There is one executor per VM; all its input and output goes through the caller.
//
// Example:
//
//     executor once({.self = {"vm-1"}, .self_incarnation = 7, .secret = secret}, table,
//                   {.send = [&](const vm_id& to, std::string_view type,
//                                const wire::body& body) { ... }});
//     once.begin(now, {.account = "north", .key = key, .fingerprint = print,
//                      .deadline = now + 10s, .wall_now = wall},
//                [&](decision reply)
//                {
//                    if (reply.kind == decision_kind::execute)
//                        forward(..., [&] { once.finish(now, reply.attempt, answer); });
//                });
//
// A request is executed only while both members of the shard's view hold its intent
// record. A refusal reports execution_status::not_executed only while no other VM can
// execute the key, and execution_status::unknown otherwise.

#ifndef PISTACHIOSPAN_ONCE_ONCE_HPP
#define PISTACHIOSPAN_ONCE_ONCE_HPP

#include "pistachiospan/store/store.hpp"
#include "pistachiospan/wire/wire.hpp"

#include <memory>
#include <utility>

namespace pistachiospan::once
{

inline constexpr std::size_t shard_count = 64;
inline constexpr std::size_t max_key_size = 256; // bytes of an idempotency key
// Two, because a VM with an outdated view relays to the previous primary, which relays to
// the present one.
inline constexpr std::uint32_t max_relays = 2;
// Maximum bytes of records in one message of a state transfer.
inline constexpr std::size_t max_part_size = std::size_t{128} * 1024;

struct options
{
    vm_id self;
    incarnation self_incarnation = 0;
    std::string data_centre;
    std::string region;
    std::string secret; // shared by all VMs; signs issued keys
    std::uint64_t seed = 0;

    // How long a record is kept after its request ended.
    duration retention = std::chrono::hours(1);
    // Keys chosen by callers are refused when the store has not confirmed the view for
    // this long. Bounds how long a partitioned pair executes them alongside the pair that
    // replaced it.
    duration unconfirmed_limit = std::chrono::hours(1);
    // Maximum age at which an issued key may start a request. Must be shorter than
    // `retention` by more than the largest difference between wall clocks, so that the
    // record of a key does not expire while the key is still valid.
    duration key_lifetime = std::chrono::minutes(45);

    duration ack_timeout = std::chrono::milliseconds(300);
    duration resend_after = std::chrono::milliseconds(100);
    // After acknowledging an update, the backup executes nothing in a newer view for this
    // long.
    duration ack_lease = std::chrono::seconds(2);
    // A member is not live for this long before the other one replaces it.
    duration failover_delay = std::chrono::seconds(1);
    // Both members are not live for this long before other VMs take over the shard.
    duration takeover_delay = std::chrono::seconds(10);
    duration store_timeout = std::chrono::seconds(3);
    // Minimum; grows with the number of VMs.
    duration scan_interval = std::chrono::seconds(5);
    duration balance_interval = std::chrono::seconds(30); // minimum, between moves

    std::size_t max_records = 65536;               // as primary and as backup together
    std::size_t max_body = std::size_t{16} * 1024; // bytes; larger bodies are not kept
    std::size_t max_header_bytes = 1024; // of one answer; further headers are not kept
    // Bodies and headers of all records together.
    std::size_t max_kept_bytes = std::size_t{8} << 20;
};

// State of another VM as reported by the membership protocol. It may be outdated; no
// guarantee depends on it.
struct peer
{
    vm_id id;
    incarnation process_incarnation = 0; // 0: not known yet
    std::string data_centre;
    std::string region;
    bool live = true;
    bool leaving = false;
};

struct request
{
    std::string_view account;
    std::string_view key;
    std::uint64_t fingerprint = 0; // from fingerprint()
    time_point deadline;
    std::uint32_t relay_count = 0; // relays so far, at most max_relays
    wall_time wall_now;            // to compute the age of an issued key
};

// Hash of the parts of a request that must be equal when its key is used again.
std::uint64_t fingerprint(std::string_view method, std::string_view path,
                          std::string_view body);

enum class outcome_kind
{
    completed, // the upstream answered
    not_run,   // the upstream did not execute it, and will not execute it later
    unknown,   // the upstream may have executed it
};

struct outcome
{
    outcome_kind kind = outcome_kind::completed;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool body_kept = true; // false: completed, but the body was not stored
};

enum class execution_status
{
    not_executed,
    unknown,
};

struct refusal
{
    std::string code; // for example "shard_unavailable"
    execution_status execution = execution_status::unknown;
    std::string message; // the problem, and how the caller can learn the outcome
    duration retry_after{0};
};

enum class decision_kind
{
    execute, // forward the request, then call finish() exactly once with `attempt`
    relay,   // send the request to `relay_to` with `relay_count` increased by one
    replay,  // answer with `recorded_outcome`
    refuse,  // answer with `reason`
};

// Identifies one execution that this executor permitted.
using attempt_id = std::uint64_t;

struct decision
{
    decision_kind kind = decision_kind::refuse;
    attempt_id attempt = 0;
    vm_id relay_to;
    outcome recorded_outcome;
    refusal reason;
};

using decision_handler = std::function<void(decision)>;

struct hooks
{
    std::function<void(const vm_id& to, std::string_view type, const wire::body&)> send;
    // Called for each view that this VM wrote, for the audit trail. Optional.
    std::function<void(std::string_view entry)> audit;
};

struct counters
{
    std::uint64_t store_writes = 0;
    std::uint64_t store_reads = 0;
    std::uint64_t messages = 0;
    std::uint64_t refused = 0;
    std::uint64_t malformed = 0;
};

class executor
{
public:
    executor(options opts, store::table& table, hooks outputs);
    ~executor();
    executor(const executor&) = delete;
    executor& operator=(const executor&) = delete;

    // Decides what happens with a request. `done` is called exactly once, during this
    // call or later. `now` must have been read after the request was received completely.
    // A request whose key is already being executed waits for that execution.
    void begin(time_point now, const request& incoming, decision_handler done);

    // Reports the result of an attempt that was permitted by decision_kind::execute.
    void finish(time_point now, attempt_id attempt, outcome result);

    // Must be called about every 20 ms.
    void tick(time_point now);
    void receive(time_point now, const vm_id& from, std::string_view type,
                 const wire::body& body);

    // Replaces the list of known VMs, which does not contain this one.
    void update_peers(time_point now, std::vector<peer> peers);

    // Begins to hand over all shards. has_left() is true once no known view names this
    // VM.
    void leave(time_point now);
    bool has_left() const;

    // Issues a key, whose shard has its primary in this data centre if there is such a
    // shard. Returns nothing until a view is known. Callers may append '~' and any text,
    // which makes another key of the same shard and age.
    std::optional<std::string> issue_key(wall_time wall_now);

    std::size_t record_count() const;
    // Number of shards whose primary is this VM.
    std::size_t primary_count() const;
    const counters& totals() const;

private:
    class engine;
    std::unique_ptr<engine> impl;
};

} // namespace pistachiospan::once

#endif
