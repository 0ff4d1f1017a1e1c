// Edge daemon: takes callers' requests on one VM and forwards them to upstreams. Wires
// gateway, upstreams, fleet and mirrors to sockets, timers and signals.
//
// Example:
//
//     edge_daemon daemon(base, options, make_translation(), store);
//     event_base_dispatch(base); // returns after a graceful shutdown
//
// What the platform and the callers speak is supplied as a translation; the daemon knows
// no header and no field of theirs.

#ifndef PISTACHIOSPAN_EDGE_EDGE_HPP
#define PISTACHIOSPAN_EDGE_EDGE_HPP

#include "pistachiospan/fleet_node/fleet_node.hpp"
#include "pistachiospan/gateway/gateway.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/mirror/mirror.hpp"

#include <memory>

struct event_base;

namespace pistachiospan::edge
{

struct edge_options
{
    vm_id vm;
    std::string data_centre;
    upstreams::region_map regions; // all data centres
    std::string caller_address;    // address for requests, ip:port; so are the next ones
    std::string readiness_address; // empty: none
    std::string directory_address; // empty: none
    std::string peer_address;      // datagrams and tables for the other VMs
    std::string metrics_address;
    double capacity = 1;                // share of a core that the process may use
    std::size_t max_descriptors = 1024; // that the process may open
    std::size_t max_memory = std::size_t{256} << 20U; // bytes that the process may use
    duration grace_period = std::chrono::seconds(6);  // from SIGTERM to SIGKILL
    bool first_start = true; // of the whole fleet; false: this process replaces another
    // Part of a region's requests that may change their region within 2 s.
    double max_region_shift = 0.15;
    duration directory_ttl = std::chrono::seconds(2);
    duration report_interval = std::chrono::milliseconds(500);
    double retry_ratio = 0.2;  // repeats of a service's requests, over all VMs
    double retry_reserve = 50; // repeats beyond the ratio in each window, over all VMs
};

// Tables of the platform's store that the daemon follows.
enum class table
{
    operator_rows, // configuration and evacuations
    upstreams,     // registry of upstreams
};

using page_handler = std::function<void(result<mirror::page>)>;
using claim_handler = std::function<void(result<cell::claim_outcome>)>;
// Peer addresses of coordinators, by data centre.
using coordinators_handler =
    std::function<void(result<std::map<std::string, std::string>>)>;

// The platform's store. Handlers are called later, from the loop. Errors: stale (the
// history asked for is gone: read the whole table), unavailable, limit_exceeded, others.
struct store_access
{
    std::function<void(table, page_handler)> read_snapshot;
    // Answers as soon as there is a change after `after`, or when `wait` has passed.
    std::function<void(table, std::uint64_t after, duration wait, page_handler)>
        read_changes;
    // Writes who coordinates a data centre, where the other VMs find it.
    std::function<void(const cell::claim&, claim_handler)> claim;
    std::function<void(coordinators_handler)> read_coordinators;
    // Gives up a pending read_changes() and its connection.
    std::function<void(table)> cancel_read;
};

struct location
{
    std::string region;
    std::string data_centre;
};

// What the caller's request and the configuration look like on this platform.
struct translation
{
    std::function<result<gateway::caller_request>(const http1::request&)> decode_request;
    std::function<http1::request(const http1::request& from, const gateway::attempt&)>
        encode_attempt;
    // `answer` in the result is the http1::response for the caller.
    std::function<gateway::attempt_result(http1::call_result)> decode_attempt;
    std::function<http1::response(const gateway::refusal_answer&)> encode_refusal;
    std::function<std::optional<location>(const http1::request&)> decode_directory;
    std::function<http1::response(std::span<const std::string> addresses, duration ttl)>
        encode_directory;
    std::function<bool(const http1::request&)> is_readiness;
    // True if the row is the configuration.
    std::function<bool(std::string_view key)> is_configuration;
    std::function<result<configuration::content>(std::string_view value)>
        decode_configuration;
    // The data centre that a row evacuates.
    std::function<std::optional<std::string>(std::string_view key)> decode_evacuation;
    std::function<result<upstreams::entry>(std::string_view key, std::string_view value)>
        decode_upstream;
    std::string correlation_header; // that upstreams repeat
};

class edge_daemon
{
public:
    // Throws std::system_error if an address can't be bound.
    edge_daemon(event_base* base, edge_options options, translation words,
                store_access store);
    ~edge_daemon();
    edge_daemon(const edge_daemon&) = delete;
    edge_daemon& operator=(const edge_daemon&) = delete;

    // Begins the graceful shutdown, as SIGTERM does.
    void stop();
    // Takes over what may change while the process runs.
    void reload(const edge_options& next);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace pistachiospan::edge

#endif
