// Edge daemon: accepts callers' requests on one VM and forwards them to upstreams.
// Connects the decision modules and the table mirrors to sockets, timers and signals.
//
// Example:
//
//     edge_daemon daemon(base, options, make_translation(), store);
//     event_base_dispatch(base); // returns after a graceful shutdown
//
// The protocol of the platform and the callers is supplied as a `translation`; the daemon
// itself depends on none of its headers and fields.

#ifndef PISTACHIOSPAN_EDGE_EDGE_HPP
#define PISTACHIOSPAN_EDGE_EDGE_HPP

#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/mirror/mirror.hpp"
#include "pistachiospan/steering/steering.hpp"

#include <memory>

struct event_base;

namespace pistachiospan::edge
{

// Decisions that a deployment's settings switch on. While one is off, requests are
// handled as if it did not exist.
struct feature_set
{
    // Idempotent requests are passed on while earlier ones of their connection have no
    // answer.
    bool pipelining = false;
    // Accounts share the room of a service by urgency and evenly when it is short.
    bool fair_admission = false;
    // The VMs tell each other how many requests upstreams have.
    bool shared_loads = false;
    // Each VM learns how many concurrent requests an upstream handles well.
    bool learned_limits = false;
    bool operator==(const feature_set&) const = default;
};

struct edge_options
{
    vm_id vm;
    std::string data_centre;
    upstreams::region_map regions;      // of all data centres
    std::string caller_address;         // ip:port that serves requests
    std::string readiness_address;      // ip:port; empty: not served
    std::string directory_address;      // ip:port; empty: not served
    std::string peer_address;           // ip:port for the other VMs: datagrams and tables
    std::string metrics_address;        // ip:port; empty: not served
    double capacity = 1;                // CPU cores that the process may use
    std::size_t max_descriptors = 1024; // file descriptors that the process may open
    std::size_t max_memory = std::size_t{256} << 20U; // bytes that the process may use
    duration grace_period = std::chrono::seconds(6);  // from SIGTERM to SIGKILL
    bool first_start = true; // the whole fleet starts; false: replaces a process
    // Largest fraction of a region's requests that may move to another region within 2 s.
    double max_region_shift = 0.15;
    duration directory_ttl = std::chrono::seconds(2);
    duration report_interval = std::chrono::milliseconds(500);
    double retry_ratio = 0.2; // retries per request of a service, over all VMs
    feature_set features;
};

// Tables of the platform's store that the daemon replicates.
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

// Access to the platform's store. Handlers are called asynchronously from the event loop.
// Errors: stale (the requested history is no longer kept: read a snapshot instead),
// unavailable, limit_exceeded, others.
struct store_access
{
    // Reads all rows of a table.
    std::function<void(table, page_handler)> read_snapshot;
    // Long poll: completes as soon as there is a change after version `after`, or when
    // `wait` has passed.
    std::function<void(table, std::uint64_t after, duration wait, page_handler)>
        read_changes;
    // Records the coordinator of a data centre, for the other VMs to look up.
    std::function<void(const cell::claim&, claim_handler)> claim;
    std::function<void(coordinators_handler)> read_coordinators;
    // Cancels a pending read_changes() and closes its connection.
    std::function<void(table)> cancel_read;
};

struct location
{
    std::string region;
    std::string data_centre;
};

// Decodes and encodes the platform's representation of requests, answers, configuration
// and registry rows.
struct translation
{
    std::function<result<gateway::caller_request>(const http1::request&)> decode_request;
    std::function<http1::request(const http1::request& from, const gateway::attempt&)>
        encode_attempt;
    // `answer` in the result holds the http1::response for the caller.
    std::function<gateway::attempt_result(http1::call_result)> decode_attempt;
    // `to_vm`: the refusal answers a request that another VM has passed on.
    std::function<http1::response(const gateway::refusal_answer&, bool to_vm)>
        encode_refusal;
    // A caller's request as it is passed on to another VM, and what that VM answered.
    std::function<http1::request(const http1::request& from, duration time_left)>
        encode_forward;
    std::function<steering::forward_result(http1::call_result)> decode_forward;
    // Whether another VM has passed the request on.
    std::function<bool(const http1::request&)> is_forwarded;
    std::function<std::optional<location>(const http1::request&)> decode_directory;
    std::function<http1::response(std::span<const std::string> addresses, duration ttl)>
        encode_directory;
    // True if the request is a readiness probe.
    std::function<bool(const http1::request&)> is_readiness;
    // True if the operator row with this key holds the configuration.
    std::function<bool(std::string_view key)> is_configuration;
    std::function<result<configuration::content>(std::string_view value)>
        decode_configuration;
    // The data centre that the operator row with this key evacuates; none for other rows.
    std::function<std::optional<std::string>(std::string_view key)> decode_evacuation;
    std::function<result<upstreams::entry>(std::string_view key, std::string_view value)>
        decode_upstream;
    // The age of the content of a row, compared with the known one of the same key.
    std::function<mirror::content_age(const mirror::row& received,
                                      const mirror::row& known)>
        age_of_operator_row;
    std::function<mirror::content_age(const mirror::row& received,
                                      const mirror::row& known)>
        age_of_upstream;
    std::string correlation_header; // that upstreams echo in their answers
};

class edge_daemon
{
public:
    // Throws std::system_error if an address cannot be bound.
    edge_daemon(event_base* base, edge_options options, translation codec,
                store_access store);
    ~edge_daemon();
    edge_daemon(const edge_daemon&) = delete;
    edge_daemon& operator=(const edge_daemon&) = delete;

    // Begins the graceful shutdown, as SIGTERM does.
    void stop();
    // Applies the options that may change at run time: grace period and directory TTL.
    void reload(const edge_options& next);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace pistachiospan::edge

#endif
