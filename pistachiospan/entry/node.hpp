// Combines the components of one entry VM: membership, configuration, shares, rate
// limits, at-most-once execution, routing, look-ups and the request pipeline.
//
// Example:
//
//     node self({.self = entry, .self_incarnation = 7, .secret = secret, .seed = 1},
//               {table, objects, vms}, hooks);
//     self.tick(now, wall);                     // every tick_interval
//     self.receive(now, from, incarnation, type, body);
//     self.submit(now, wall, request, done);
//
// Holds no sockets, threads or clocks, so that the daemon and the scenario runner use the
// same code. All handlers of the platform must be called from the same event loop.

#ifndef PISTACHIOSPAN_ENTRY_NODE_HPP
#define PISTACHIOSPAN_ENTRY_NODE_HPP

#include "pistachiospan/entry/pipeline.hpp"
#include "pistachiospan/lookup/lookup.hpp"
#include "pistachiospan/share/share.hpp"

namespace pistachiospan::entry
{

// Interval at which tick() must be called.
inline constexpr duration tick_interval = std::chrono::milliseconds(5);

struct node_options
{
    store::vm_entry self;
    incarnation self_incarnation = 0;
    std::vector<store::vm_entry> seeds; // peers used while the platform is unavailable
    std::string secret;                 // shared by the fleet
    std::string store_region;           // region of the platform's store; empty: unknown
    std::uint64_t seed = 0;
    duration vm_list_interval = std::chrono::seconds(2);
    // Time after which all look-up answers that callers have cached have expired.
    duration drain_grace = std::chrono::seconds(7);
    // Bound on the bodies of all requests in progress.
    std::uint64_t max_buffered_bytes = std::uint64_t{24} << 20U;
};

// Interfaces of the platform. They must outlive the node.
struct platform_access
{
    store::table& table;
    store::object_store& objects;
    store::vm_list& vms;
};

struct node_hooks
{
    std::function<void(const vm_id& to, const std::string& address, std::string_view type,
                       const wire::body& content)>
        send;
    std::function<void(const vm_id& to, const std::string& address, relay_request,
                       duration timeout, relay_handler)>
        relay;
    std::function<upstream_call_id(upstream_request, upstream_handler)> call_upstream;
    std::function<void(upstream_call_id)> cancel_upstream;
    std::function<void(const decision_record&)> on_finished = nullptr;
    // Changes and repairs that the system makes by itself, for the log and the audit
    // trail.
    std::function<void(std::string_view what)> audit = nullptr;
    std::function<void(const error&)> report_error = nullptr;
};

struct node_status
{
    catalogue_version active_version = 0;
    catalogue_version held_version = 0;
    std::string digest;
    bool ready = false;
    bool draining = false;
    std::optional<duration> confirmation_age; // of the newest store confirmation
    std::size_t rate_shares = 0;              // usable
    std::size_t slot_shares = 0;              // usable
    std::size_t primary_shards = 0;
    std::size_t live_peers = 0;
    std::size_t in_progress = 0;
};

class node
{
public:
    node(node_options options, platform_access platform, node_hooks hooks);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void tick(time_point now, wall_time wall);

    // Handles a message of an authenticated peer. Malformed content changes no state.
    void receive(time_point now, const vm_id& from, incarnation from_incarnation,
                 std::string_view type, const wire::body& content);

    exchange_id submit(time_point now, wall_time wall, caller_request incoming,
                       answer_handler done);
    exchange_id submit_relayed(time_point now, wall_time wall, relay_request incoming,
                               answer_handler done);
    void cancel(time_point now, exchange_id id);

    // Returns the entry VMs that a caller should use: {"route", "ttl_ms", "entry_vms":
    // [{"vm", "address", "weight"}], "idempotency_key_prefix"}. Errors: not_found,
    // unavailable.
    result<nlohmann::json> lookup(wall_time wall, std::string_view route);

    // Applies an accepted edit that an authenticated operator has sent.
    result<void> offer_edit(time_point now, catalogue_version version,
                            std::string_view digest, std::string_view text);

    // Starts the graceful shutdown. drained() returns true once the process may exit.
    void begin_drain(time_point now);
    bool drained(time_point now) const;

    node_status status(time_point now) const;
    nlohmann::json explain(std::string_view request_id) const;
    std::vector<route::upstream_status> upstreams(time_point now) const;
    const config::counters& config_counts() const;
    limit::limiter_counts limit_counts() const;
    const once::counters& once_counts() const;
    route::router_counts route_counts() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace pistachiospan::entry

#endif
