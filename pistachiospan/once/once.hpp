// At-most-once execution: idempotency records on a primary and a backup, and the views
// that name both. One executor per VM; it does no input or output of its own.
//
// Example:
//
//     executor once({.self = {"vm-1"}, .self_incarnation = 7, .secret = secret}, table,
//                   {.send = [&](const vm_id& to, std::string_view type,
//                                const wire::body& body) { ... }});
//     once.begin(now, {.account = "north", .key = key, .fingerprint = print,
//                      .deadline = now + 10s, .wall_now = wall},
//                [&](decision made)
//                {
//                    if (made.kind == decision_kind::execute)
//                        forward(..., [&] { once.finish(now, made.attempt, answer); });
//                });
//
// A request is executed only while both members of the shard's view hold its intent.
// "ran: no" is said only while no other VM can execute the key; else "ran: unknown".

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
// A VM with an old view relays to the old primary, which relays to the new one.
inline constexpr std::uint32_t max_relays = 2;
// Bytes of records in one message of a state transfer.
inline constexpr std::size_t max_part_size = std::size_t{128} * 1024;

struct options
{
    vm_id self;
    incarnation self_incarnation = 0;
    std::string data_centre;
    std::string region;
    std::string secret; // shared by the fleet; signs the keys issued by the system
    std::uint64_t seed = 0;

    // A record is kept for this long after its request ended.
    duration retention = std::chrono::hours(1);
    // Without a confirmation of the view by the store for this long, keys chosen by
    // callers are refused. Bounds how long a cut-off pair runs beside its successors.
    duration unconfirmed_limit = std::chrono::hours(1);
    // An issued key starts a request only up to this age. Shorter than `retention` by
    // more than the greatest difference between wall clocks.
    duration key_lifetime = std::chrono::minutes(45);

    duration ack_timeout = std::chrono::milliseconds(300);
    duration resend_after = std::chrono::milliseconds(100);
    // After an acknowledgement the backup executes nothing in a newer view for this long.
    duration ack_lease = std::chrono::seconds(2);
    duration failover_delay = std::chrono::seconds(1);  // not live before a new view
    duration takeover_delay = std::chrono::seconds(10); // both not live before a takeover
    duration store_timeout = std::chrono::seconds(3);
    duration scan_interval = std::chrono::seconds(5); // at least; grows with the fleet
    duration balance_interval = std::chrono::seconds(30); // at least, between moves

    std::size_t max_records = 65536;                   // primary and backup together
    std::size_t max_body = std::size_t{16} * 1024;     // larger bodies are not kept
    std::size_t max_header_bytes = 1024;               // further headers are not kept
    std::size_t max_kept_bytes = std::size_t{8} << 20; // bodies and headers together
};

// What the executor knows of another VM (from `member`). Advisory.
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
    std::uint64_t fingerprint = 0; // fingerprint() of the request
    time_point deadline;
    std::uint32_t relay_count = 0; // how often it was relayed already; at most max_relays
    wall_time wall_now;            // present wall-clock time, for the age of issued keys
};

// Hash of what must be equal when a key is used again.
std::uint64_t fingerprint(std::string_view method, std::string_view path,
                          std::string_view body);

enum class outcome_kind
{
    completed, // the upstream answered
    not_run,   // the upstream did not run it, and nothing of the attempt runs later
    unknown,   // it may have run
};

struct outcome
{
    outcome_kind kind = outcome_kind::completed;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool body_kept = true; // false: completed, but the body is not available again
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
    std::string message; // what is wrong, and how to find out the outcome
    duration retry_after{0};
};

enum class decision_kind
{
    execute, // forward now, then call finish() exactly once with `attempt`
    relay,   // send the request to `relay_to`, with `relay_count` increased by one
    replay,  // answer with `recorded_outcome`
    refuse,  // answer with `reason`
};

// Names one execution that this executor permitted.
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
    // Each view that this VM wrote, for the audit trail. Optional.
    std::function<void(std::string_view what)> audit;
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

    // `done` is called exactly once, at once or later. `now` is read after the request
    // was received completely. A request waits for the running one of the same key.
    void begin(time_point now, const request& asked, decision_handler done);

    // Ends an attempt that was permitted by verdict::execute.
    void finish(time_point now, attempt_id attempt, outcome result);

    // To be called about every 20 ms.
    void tick(time_point now);
    void receive(time_point now, const vm_id& from, std::string_view type,
                 const wire::body& body);

    // The VMs known at present, without this one.
    void update_peers(time_point now, std::vector<peer> known);

    // Begins to hand over all shards; has_left() tells when no view names this VM.
    void leave(time_point now);
    bool has_left() const;

    // A key whose shard has its primary in this data centre, if there is one. Nothing
    // until a view is known. Callers may append '~' and a text of their own, which makes
    // another key of the same shard and age.
    std::optional<std::string> issue_key(wall_time wall_now);

    std::size_t record_count() const;
    // Number of shards that this VM is the primary of.
    std::size_t primary_count() const;
    const counters& totals() const;

private:
    class engine;
    std::unique_ptr<engine> self;
};

} // namespace pistachiospan::once

#endif
