// The state of the edge daemon and what its hooks do. The members are defined in edge.cpp
// (life and requests), table_changes.cpp (what the tables' rows change) and endpoints.cpp
// (directory, readiness and metrics).

#ifndef PISTACHIOSPAN_EDGE_INTERNAL_IMPLEMENTATION_HPP
#define PISTACHIOSPAN_EDGE_INTERNAL_IMPLEMENTATION_HPP

#include "pistachiospan/edge/edge.hpp"
#include "pistachiospan/edge/internal/log_fields.hpp"
#include "pistachiospan/edge/internal/metrics.hpp"
#include "pistachiospan/edge/internal/peer_link.hpp"
#include "pistachiospan/edge/internal/store_view.hpp"
#include "pistachiospan/event_log/event_log.hpp"
#include "pistachiospan/event_loop/event_loop.hpp"

#include <set>

namespace pistachiospan::edge
{

namespace internal
{

using fields = nlohmann::ordered_json;

// Divides the memory limit: the quotient may be used for buffered bodies.
inline constexpr std::size_t body_memory_divisor = 4;

} // namespace internal

class edge_daemon::implementation
{
public:
    implementation(event_base* base, edge_options options, translation codec,
                   store_access store);

    ~implementation()
    {
        event_loop::set_error_handler(nullptr);
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void stop();
    void reload(const edge_options& next);

private:
    steering::core_options make_core_options() const;
    http1::server_hooks make_caller_hooks();
    steering::core_hooks make_core_hooks();
    internal::store_view_hooks make_store_hooks();

    void handle_request(http1::exchange_id id, http1::request&& incoming);
    gateway::call_id send(const gateway::attempt& attempt);
    void forward(http1::exchange_id id, const std::string& address, duration time_left);
    void refuse(http1::exchange_id id, const gateway::refusal_answer& answer);
    quarantine::fingerprint identify(http1::exchange_id id,
                                     const std::string& account) const;
    void check_connection(const upstreams::upstream_start& upstream,
                          const std::string& address);
    void record(const gateway::record& decision);
    void log_change(const steering::upstream_event& event);

    void apply_operator_row(const mirror::row& changed);
    void activate(const mirror::row& changed);
    // `version`: of the changed row; 0: a row was removed.
    void apply_evacuations(std::uint64_t version);
    bool known_elsewhere(time_point now, std::uint64_t operator_change) const;
    void apply_upstream(const mirror::row& changed);
    void remove_upstream(const std::string& id);
    void log_left();

    void tick();
    void check_peers();
    void note_version(time_point now, const vm_id& peer, std::uint64_t version);
    fleet_node::own_state current_state(time_point now) const;
    void check_tokens();

    void answer_directory(http1::exchange_id id, const http1::request& request);
    void answer_readiness(http1::exchange_id id, const http1::request& request);
    void answer_metrics(http1::exchange_id id, const http1::request& request);
    bool ready() const;
    void finish_when_idle();
    void log(std::string_view event, const internal::fields& content);

    // Upstreams that are not in use any more.
    struct left_upstreams
    {
        std::vector<std::string> draining;
        std::vector<std::string> removed;
    };

    event_base* base;
    edge_options options;
    translation codec;
    store_access store;
    incarnation started;
    event_log::event_log events;
    internal::metrics metrics;
    steering::core core;
    http1::client upstream_client;
    http1::client vm_client; // to other VMs, as a caller of theirs
    std::unordered_map<http1::exchange_id, http1::call_id> forwarded;
    std::unordered_map<http1::exchange_id, http1::request> exchanges; // not yet answered
    std::set<std::string> evacuated;
    left_upstreams left; // since the last log line on them
    http1::server callers;
    std::unique_ptr<http1::server> directory_server;
    std::unique_ptr<http1::server> readiness_server;
    std::unique_ptr<http1::server> metrics_server;
    internal::peer_link peers;
    internal::store_view tables;
    event_loop::periodic_timer ticker;
    event_loop::periodic_timer peer_checker;
    event_loop::one_shot_timer token_timer; // pending while token queries are outstanding
    event_loop::one_shot_timer first_check;
    event_loop::one_shot_timer table_starter;
    event_loop::one_shot_timer exit_timer;
    std::uint64_t answers = 0;
    bool stopping = false;
    bool accepting = true;
    time_point stop_started_at;
};

} // namespace pistachiospan::edge

#endif
