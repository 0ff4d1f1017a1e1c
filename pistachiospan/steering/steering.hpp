// The decision modules of one VM, connected to each other: the gateway, the upstream set
// and this VM's part in the fleet protocol.
//
// Example:
//
//     core vm(options, {.now = monotonic_now, .send_attempt = send, ...});
//     vm.set_configuration(active);
//     vm.requests().submit(now, exchange, request);
//     vm.fleet().tick(now); // twice a second
//
// Holds no sockets, timers or clocks, so that a simulation can run the same code as the
// daemon. The owner performs the I/O in its hooks and calls the modules with the results.

#ifndef PISTACHIOSPAN_STEERING_STEERING_HPP
#define PISTACHIOSPAN_STEERING_STEERING_HPP

#include "pistachiospan/fleet_node/fleet_node.hpp"
#include "pistachiospan/gateway/gateway.hpp"
#include "pistachiospan/steering/fair_admission.hpp"
#include "pistachiospan/steering/forwarding.hpp"
#include "pistachiospan/upstreams/upstreams.hpp"

namespace pistachiospan::steering
{

struct core_options
{
    upstreams::upstream_set_options upstreams;
    gateway::gateway_options gateway;
    fleet_node::node_options fleet;
    // Accounts share the room of a service by urgency and evenly when it is short.
    bool fair_admission = false;
};

enum class upstream_change
{
    paused,
    leaving,
    limited,
    limit_ended,
    restart_suspected, // it has ended, and may start again under its id
    restart_accepted,  // a suspected one accepts requests again, and is cold
    restart_refuted,   // the registry shows that it has not ended
};

// What has become known about an upstream from its answers, for logs and metrics.
struct upstream_event
{
    upstreams::upstream_start upstream;
    upstream_change change = upstream_change::paused;
    bool told = false; // by another VM, not by an answer to this one
    duration pause{0}; // paused
    double limit = 0;  // limited: requests per second over all VMs
};

struct core_hooks
{
    std::function<time_point()> now;

    // To callers and upstreams; see gateway::gateway_hooks.
    std::function<gateway::call_id(const gateway::attempt&)> send_attempt;
    std::function<void(gateway::call_id)> cancel_attempt;
    std::function<quarantine::fingerprint(gateway::exchange_id,
                                          const std::string& account)>
        identify = nullptr;
    std::function<void(const upstreams::upstream_start&, const std::string& address)>
        check_connection = nullptr;
    std::function<void(gateway::exchange_id, std::any answer)> deliver;
    std::function<void(gateway::exchange_id, const gateway::refusal_answer&)> refuse;

    // Sends the exchange's request to another VM as its caller; finish_forward() must
    // follow, unless cancelled. Without this hook requests are not passed on.
    std::function<void(gateway::exchange_id, const std::string& address,
                       duration time_left)>
        forward = nullptr;
    std::function<void(gateway::exchange_id)> cancel_forward = nullptr;

    // To the other VMs and the store; see fleet_node::node_hooks.
    std::function<void(std::string_view datagram, std::span<const std::string> addresses)>
        send_datagram;
    std::function<void(const cell::claim&)> claim;
    std::function<void()> read_coordinators;
    // State of this VM, without the leaving upstreams.
    std::function<fleet_node::own_state(time_point)> state;
    std::function<void(time_point, const vm_id&, std::uint64_t version)> version_received;
    std::function<void(cell::role)> role_changed;

    // Token queries are outstanding: call fleet().tick_tokens() every few milliseconds
    // until fleet().waits_for_tokens() returns false.
    std::function<void()> tokens_pending;

    std::function<void(const gateway::record&)> report;
    std::function<void(const upstream_event&)> upstream_changed;
    std::function<void(std::string_view event, const nlohmann::ordered_json&)> log;
};

class core
{
public:
    core(core_options options, core_hooks hooks);

    void set_configuration(const std::shared_ptr<const configuration::state>& next);

    // The outcome of core_hooks::forward.
    void finish_forward(time_point now, gateway::exchange_id exchange,
                        forward_result result);
    // The caller of a request needs no answer any more.
    void caller_left(time_point now, gateway::exchange_id exchange);
    // While this VM reaches no upstream, tries some of them. Call several times a second.
    void check_links(time_point now);

    // By service; empty if fair admission is off.
    std::vector<admission::service_view> admission_views(time_point now) const;

    gateway::gateway& requests()
    {
        return this->local_requests;
    }
    const gateway::gateway& requests() const
    {
        return this->local_requests;
    }
    upstreams::upstream_set& upstreams()
    {
        return this->known_upstreams;
    }
    const upstreams::upstream_set& upstreams() const
    {
        return this->known_upstreams;
    }
    fleet_node::node& fleet()
    {
        return this->local_node;
    }
    const fleet_node::node& fleet() const
    {
        return this->local_node;
    }

private:
    gateway::gateway_hooks make_gateway_hooks();
    forwarder_hooks make_forwarder_hooks();
    fleet_node::node_hooks make_fleet_hooks();
    void note_upstream(const gateway::upstream_notice& notice);
    void note_end(time_point now, const quarantine::upstream_end& ended,
                  std::span<const quarantine::fingerprint> quarantined);
    void note_suspect(time_point now, const quarantine::fingerprint& request,
                      bool cleared);
    bool learn_suspects(time_point now,
                        std::span<const quarantine::suspect_notice> received);
    std::vector<quarantine::suspect_notice> known_suspects(time_point now, bool recent);
    // Apply what another VM has told. Return true if anything of it is new.
    bool learn_leaving(time_point now,
                       std::span<const upstreams::leaving_notice> received);
    bool learn_restarts(time_point now,
                        std::span<const upstreams::restart_notice> received);
    void note_restart(time_point now, const upstreams::upstream_start& upstream,
                      upstreams::restart_change change);
    upstreams::upstream_set_options
    with_restart_hook(upstreams::upstream_set_options given);
    bool learn_limits(time_point now, std::span<const upstreams::limit_notice> received);
    fleet::upstream_notices known_notices(time_point now, bool recent);
    void apply_limits(time_point now);
    // The VMs share the rates of cold upstreams: this VM uses its part of them.
    void note_vm_count(std::size_t count);
    void check_loads(time_point now);
    fleet_node::own_state current_state(time_point now) const;
    void request_token(gateway::exchange_id id, const std::string& account);
    void request_upstream_token(gateway::exchange_id id,
                                const upstreams::upstream_start& upstream);

    core_hooks hooks;
    upstreams::upstream_set known_upstreams;
    std::unique_ptr<fair_admission> shared_room; // null if it is off
    gateway::gateway local_requests;
    fleet_node::node local_node;
    forwarder helpers;
    bool was_cut_off = false;         // at the last check of the links
    bool knew_loads = false;          // the same
    std::uint64_t applied_limits = 0; // version that the node enforces
    std::size_t vm_count = 0;         // that share with this one; 0: not known yet
    time_point quarantine_told_at;    // all requests in quarantine
};

} // namespace pistachiospan::steering

#endif
