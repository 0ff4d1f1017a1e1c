// Routes each request of one VM: sends it to an upstream of its own data centre, relays
// it to another data centre, queues it or refuses it. Enforces limits on slots,
// connections and requests in flight.
//
// Example:
//
//     router requests({.data_centre = "penang-1"}, {.on_decision = send_or_refuse});
//     requests.set_catalogue(now, active);
//     requests.set_share(now, {.indexes = {0}, .count = 2});
//     requests.allow_growth(now);
//     const decision first = requests.submit(now, {.id = 1, .group = "katalog", ...});
//     requests.complete(now, 1, outcome::ok, latency);
//
// The router admits a request only while its own share has a free slot. The shares of
// all VMs of a data centre sum to at most the slots, so even stale or wrong measurements
// never lead to more requests than slots. Assumption: an upstream stops work on a request
// at its deadline.

#ifndef PISTACHIOSPAN_ROUTE_ROUTE_HPP
#define PISTACHIOSPAN_ROUTE_ROUTE_HPP

#include "pistachiospan/catalogue/catalogue.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace pistachiospan::route
{

// Chosen by the caller; unique among the requests that wait or run in one router.
using request_id = std::uint64_t;

struct request
{
    request_id id = 0;
    std::string account; // name of the client account; empty on open routes
    std::string route;
    std::string group;
    time_point deadline;
    bool idempotent = false;
    std::uint64_t body_size = 0;       // bytes
    std::vector<std::string> excluded; // upstream addresses and VM ids not to use
    bool relayed = false;              // received from another daemon; not relayed again
};

enum class decision_kind
{
    dispatched, // send to `upstream`; the slot is held until complete()
    relayed,    // send to the daemon `peer`, which routes it in its data centre
    queued,     // the hook `on_decision` gets the final decision
    refused,    // not run; see `reason` and `retry_after`
};

enum class refusal
{
    none,
    unknown_group,      // the active catalogue has no such group
    duplicate_id,       // a request with this id is waiting or running
    no_upstream,        // neither a usable upstream here nor a peer that can be reached
    account_queue_full, // bound on the waiting requests or bytes of one account
    queue_full,         // bound on all waiting requests or bytes
    deadline_too_near,  // the estimated wait and service exceed the deadline
};

std::string_view name_of(refusal reason) noexcept;

struct decision
{
    decision_kind kind = decision_kind::refused;
    std::string upstream;    // dispatched: address
    std::string data_centre; // relayed: data centre of the peer
    vm_id peer;              // relayed: daemon to send it to
    // Bytes per second at which the body may be sent, for relayed bodies above
    // large_body_threshold. 0: no limit.
    std::uint64_t max_send_rate = 0;
    refusal reason = refusal::none;
    duration retry_after{0}; // refused: earliest time at which a retry can succeed
};

enum class outcome
{
    ok,
    failed,    // error, timeout or broken connection
    shed,      // the upstream or the peer refused it without running it
    cancelled, // the caller disconnected; the upstream may still work on it
    not_sent,  // no byte was written; frees the slot at once
    timed_out, // failed at its deadline; keeps its slot as a cancelled one does
};

// Part of the data centre's limits that this VM owns: the shares `indexes`, each in
// [0, count). A VM owns several while other VMs are down, and nothing without an index.
struct share
{
    std::vector<std::uint32_t> indexes;
    std::uint32_t count = 0;
    bool operator==(const share&) const = default;
};

// Status reported by an upstream itself. Advisory: the router's own observations take
// precedence.
struct upstream_report
{
    bool healthy = true;
    bool draining = false; // always honoured: no new work is sent from now on
    double load = 0;       // 0 (idle) to 1 (full)
};

// Free slots of a group at one VM.
struct group_free_slots
{
    std::string group;
    std::uint32_t free_slots = 0;
};

// Contents of a heartbeat from another VM.
struct peer_report
{
    vm_id vm;
    std::string data_centre;
    bool draining = false;
    std::vector<group_free_slots> groups;
    duration age{0}; // time since the peer measured them
};

struct shift_options
{
    double step = 0.1;                           // fraction of the moved work per step
    duration interval = std::chrono::seconds(2); // between two steps
    double max_latency_ratio = 2;   // to the baseline; at or above it a step is undone
    double min_free_fraction = 0.1; // of the destination; below it the move waits
};

// Measurements at the destination of a move since the last decision.
struct destination_sample
{
    double free_fraction = 1;  // mean free fraction of the slots that this VM may use
    duration latency{0};       // mean
    std::uint32_t samples = 0; // of the latency
    bool has_slots = true;     // false: this VM has no slots there at the present step
};

// Controls the progress of one planned move. The destination begins with one step of the
// moved work. There is one decision per interval: latency at or above the limit undoes a
// step and skips the next interval; too few free slots or no samples make the move wait;
// otherwise the next step follows. A VM without slots at the destination advances without
// samples.
class shift_controller
{
public:
    enum class state
    {
        advancing,
        waiting,
        stepping_back,
        done,
    };

    // `baseline` is the latency before the move.
    shift_controller(shift_options options, time_point now, duration baseline);

    // True when a decision is due; then call update() with the measurements.
    bool due(time_point now) const;
    state update(time_point now, const destination_sample& sample);

    // Fraction of the moved work that may be at the destination, 0 to 1.
    double fraction() const;

private:
    shift_options options;
    duration baseline;
    time_point next_decision;
    std::uint32_t steps = 1;
};

struct router_options
{
    std::string data_centre; // of this VM
    std::uint64_t seed = 1;

    // Bounds of the queue.
    std::uint32_t max_account_requests = 256;
    std::uint64_t max_account_bytes = std::uint64_t{8} << 20;
    std::uint32_t max_total_requests = 2048;
    std::uint64_t max_total_bytes = std::uint64_t{16} << 20;
    bool fair_queueing = true; // false: first in, first out over all accounts (baseline)

    // Time constant of the latency average. Increases apply at once.
    duration latency_time_constant = std::chrono::seconds(10);
    // Assumed before the first sample.
    duration initial_service_time = std::chrono::milliseconds(20);

    // Outlier ejection. `min_serving_fraction` of a group is never ejected.
    std::uint32_t ejection_consecutive_failures = 5;
    double ejection_failure_rate = 0.5; // moving average over about 16 answers
    double min_serving_fraction = 0.5;
    duration ejection_time = std::chrono::seconds(1); // doubles with each failed probe
    duration max_ejection_time = std::chrono::seconds(30);

    // Doubles with each consecutive shed.
    duration shed_backoff = std::chrono::milliseconds(100);
    duration max_shed_backoff = std::chrono::seconds(2);

    // An unhealthy report is ignored if a request succeeded within this time.
    duration report_override_time = std::chrono::seconds(2);

    // A request without a confirmed end keeps its slot this long after its deadline:
    // one-way latency plus the time the upstream needs to stop.
    duration hold_after_deadline = std::chrono::milliseconds(100);

    // Upper bound on the time until all VMs have activated a catalogue version. Limits
    // that a new version raises apply only after this time plus the longest deadline of a
    // route, because other VMs may use the old split until then.
    duration activation_bound = std::chrono::seconds(12);

    // The free slots in a peer's report are discounted linearly, to none at this age.
    duration max_peer_report_age = std::chrono::seconds(3);
    // A relay sent less than this time before a peer measured its free slots may not be
    // included in them.
    duration report_transit_time = std::chrono::milliseconds(20);

    shift_options shift; // for upstreams that a version adds or returns

    // Link budget: bodies above this size, in bytes, use at most `large_body_fraction` of
    // a link.
    std::uint64_t large_body_threshold = std::uint64_t{64} << 10;
    double large_body_fraction = 0.5;      // 1: no reserve for small requests (baseline)
    std::uint64_t request_overhead = 1024; // bytes of a request besides its body
};

struct router_hooks
{
    // The final decision on a queued request. May call the router.
    std::function<void(request_id, const decision&)> on_decision = nullptr;
    // The last request of a drained upstream has ended, `drain_time` after the drain
    // began.
    std::function<void(const std::string& upstream, duration drain_time)> on_drained =
        nullptr;
};

struct router_counts
{
    std::uint64_t dispatched = 0;
    std::uint64_t relayed = 0;
    std::uint64_t queued = 0;
    std::uint64_t refused = 0;
    std::uint64_t ejections = 0;
    std::uint64_t lost = 0;      // requests without a completion by their deadline
    std::uint64_t waiting = 0;   // now
    std::uint64_t in_flight = 0; // now, on own upstreams
};

// For explanations and metrics.
struct upstream_status
{
    std::string address;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0; // requests that this VM may have there now
    std::uint32_t connections = 0;
    std::uint32_t connection_limit = 0;
    bool draining = false;
    bool ejected = false;
    bool moving = false; // destination of a planned move
    duration latency{0};
};

struct move_status
{
    std::string group;
    double fraction = 0; // of the moved work
};

class router
{
public:
    router(router_options options, router_hooks hooks);
    ~router();
    router(router&&) noexcept;
    router& operator=(router&&) noexcept;

    // Activates a version of the catalogue. Reduced limits, drains and removals apply
    // at once, raised limits after `activation_bound` and the longest deadline. Upstreams
    // added after the first version begin with one slot and receive their work in steps.
    void set_catalogue(time_point now, const catalogue::catalogue& next);

    // Applies decreases of the share at once to new work, but no increases. A new router
    // owns nothing. Call allow_growth() when usage_within_share() is true at each other
    // VM whose share shrank.
    void set_share(time_point now, share next);
    void allow_growth(time_point now);
    // True when no upstream has more requests or connections than the share allows.
    bool usage_within_share() const;

    decision submit(time_point now, request incoming);

    // Ends a request. `retry_after` is the back-off that a shedding upstream requested. A
    // cancelled request holds its slot until connection_closed() or its deadline. Ids
    // that are not known (late or repeated completions) are ignored.
    void complete(time_point now, request_id id, outcome request_outcome,
                  duration latency, duration retry_after = duration(0));
    // The upstream's side of the connection of a cancelled request has closed.
    void connection_closed(time_point now, request_id id);

    // Counts a new connection to an upstream. Returns false, without counting it, if the
    // upstream is unknown or draining or this VM's share of connections is used up.
    bool open_connection(std::string_view address);
    void close_connection(std::string_view address);

    // Dispatches waiting requests and expires old ones. Call at least every 50 ms while
    // requests wait.
    void tick(time_point now);

    void observe(time_point now, std::string_view address, const upstream_report& report);
    void observe_peer(time_point now, const peer_report& report);
    void drain(time_point now, std::string_view address);

    // Charges the link budget for bytes sent to another region outside of submit(), such
    // as answers to relays.
    void charge_link(time_point now, std::string_view to_region, std::uint64_t bytes);

    // Free slots of each group, for heartbeats.
    std::vector<group_free_slots> free_slots(time_point now);
    router_counts counts() const;
    std::vector<upstream_status> upstreams(time_point now) const;
    std::vector<move_status> moves() const; // in progress

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace pistachiospan::route

#endif
