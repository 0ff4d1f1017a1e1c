// This VM's part in the fleet protocol, as coordinator or member of its data centre:
// sends reports and digests, and keeps the state received from other VMs.
//
// Example:
//
//     node local(now, {.vm = {"vm-1"}, .data_centre = "sem-a", ...},
//                {.send = send, ...});
//     local.receive(now, from, datagram);
//     local.check(now); // four times a second
//     local.tick(now);  // twice a second
//     local.request_token(now, ticket, account);
//     local.request_upstream_token(now, ticket, start);
//
// Each interval a member sends one report and receives one digest. A coordinator receives
// the reports of its members, sends them its digest, and exchanges one report with the
// coordinator of each other data centre. A member's traffic does not grow with the number
// of VMs in the fleet. Holds no sockets, timers or clocks.

#ifndef PISTACHIOSPAN_FLEET_NODE_FLEET_NODE_HPP
#define PISTACHIOSPAN_FLEET_NODE_FLEET_NODE_HPP

#include "pistachiospan/cell/cell.hpp"
#include "pistachiospan/fleet_node/internal/load_exchange.hpp"
#include "pistachiospan/fleet_node/internal/token_exchange.hpp"
#include "pistachiospan/fleet_node/internal/vm_count.hpp"

namespace pistachiospan::fleet_node
{

// First byte of a datagram: the kind of its content.
inline constexpr char report_kind = 'r';
inline constexpr char digest_kind = 'd';
inline constexpr char query_kind = 'q';
inline constexpr char answer_kind = 'a';
inline constexpr char notices_kind = 'n';
inline constexpr char upstream_query_kind = 'u';
inline constexpr char upstream_answer_kind = 'v';
inline constexpr char admission_kind = 's';
inline constexpr char capacity_kind = 'c';

struct node_options
{
    vm_id vm;
    incarnation started = 0;
    std::string data_centre;
    upstreams::region_map places; // all data centres
    std::string peer_address;     // of this VM, ip:port
    std::string caller_address;   // of this VM, ip:port
    double capacity = 1;          // share of a core
};

// State of this VM that its reports contain.
struct own_state
{
    bool ready = false;
    bool draining = false;
    std::uint64_t configuration_version = 0;
    std::uint64_t operator_change = 0;
    std::uint64_t registry_change = 0;
    duration store_age{0};
    duration table_staleness{0}; // maximum age of its copies of the store's tables
    std::vector<upstreams::upstream_start> leaving_upstreams;
};

using remote_demands = std::map<std::string, upstreams::remote_demand>; // by service

// Messages about admission; empty ones are not sent. Without these hooks there are none.
struct admission_hooks
{
    // Demand and room at this VM, for the coordinator.
    std::function<std::string(time_point)> report = nullptr;
    // Coordinators only: what the member with this peer address is told.
    std::function<std::string(time_point, const std::string& member)> decisions = nullptr;
    std::function<void(time_point, const std::string& from, std::string_view)> receive =
        nullptr;
};

struct node_hooks
{
    std::function<void(std::string_view datagram, std::span<const std::string> addresses)>
        send;
    // Writes a claim to the store. finish_claim() must follow.
    std::function<void(const cell::claim&)> claim;
    // Reads the coordinators' rows from the store. finish_coordinator_read() must follow.
    std::function<void()> read_coordinators;
    std::function<own_state(time_point)> state;
    // Demand at this VM, by service.
    std::function<std::vector<upstreams::service_demand>(time_point)> services;
    // Coordinators only: demand at all other VMs.
    std::function<void(time_point, remote_demands)> demand_received;
    // Coordinators only: the plans to send to the members.
    std::function<upstreams::plan_set(time_point)> plans;
    // Members only: plans sent by the coordinator.
    std::function<void(time_point, const upstreams::plan_set&)> plans_received;
    std::function<void(time_point, std::span<const upstreams::upstream_start>)>
        leaving_received;
    // What this VM knows from answers of upstreams. `recent`: limits that have changed
    // lately; otherwise everything that a VM needs that has just started.
    std::function<fleet::upstream_notices(time_point, bool recent)> notices;
    // Returns true if they said anything new.
    std::function<bool(time_point, const fleet::upstream_notices&)> notices_received;
    // Load of the upstreams; see internal::load_exchange_hooks. Null: it is not shared.
    std::function<std::vector<capacity::upstream_load>(time_point, duration span)> loads =
        nullptr;
    std::function<void(time_point, std::span<const capacity::upstream_load>,
                       bool complete)>
        load_estimates = nullptr;
    // Another VM runs this version of the configuration.
    std::function<void(time_point, const vm_id&, std::uint64_t version)> version_received;
    std::function<void(std::size_t count)> vm_count_changed;
    std::function<void(cell::role)> role_changed;
    // The results of request_token() and request_upstream_token().
    std::function<void(allowance::ticket, const allowance::admission&)> token_done;
    std::function<void(allowance::ticket, const allowance::admission&)>
        upstream_token_done;
    std::function<void(std::string_view event, const nlohmann::ordered_json&)> log;
    admission_hooks admission;
};

class node
{
public:
    node(time_point now, node_options options, node_hooks hooks);

    // Handles a datagram from the VM with this peer address.
    void receive(time_point now, const std::string& from, std::string_view datagram);
    void finish_claim(time_point now, const result<cell::claim_outcome>& outcome);
    void finish_coordinator_read(
        time_point now, const result<std::map<std::string, std::string>>& coordinators);

    // Call twice a second: sends reports and digests.
    void tick(time_point now);
    // Call several times a second: detects VMs that have stopped reporting.
    void check(time_point now);
    // Sends a report, and a coordinator also its digest, without waiting for the next
    // tick.
    void send_updates(time_point now);
    // The store has come back from an older copy and may not have what this VM wrote.
    void note_store_restored(time_point now);
    // The connection to the VM with this peer address has ended.
    void note_disconnected(time_point now, const std::string& address);
    // Time until check() should be called ahead of its regular interval.
    duration next_check(time_point now) const;

    // Sets the accounts for which tokens may be requested.
    void set_accounts(time_point now, std::span<const configuration::account> accounts);
    // Requests a token of the account. token_done() is called at once or later.
    void request_token(time_point now, allowance::ticket id, const std::string& account);
    // Returns a token that was not used.
    void return_token(time_point now, const std::string& account);
    // Sets the upstreams whose requests per second are limited. The coordinator of an
    // upstream's data centre admits the requests of all VMs to it.
    void set_limited_upstreams(time_point now,
                               std::span<const upstreams::limited_upstream> limited);
    // Requests a token to send one request to the upstream. upstream_token_done() is
    // called at once or later.
    void request_upstream_token(time_point now, allowance::ticket id,
                                const upstreams::upstream_start& upstream);
    // Returns such a token that was not used.
    void return_upstream_token(time_point now, const upstreams::upstream_start& upstream);
    // Tells the other VMs which limits have changed lately, without waiting for the next
    // tick.
    void send_notices(time_point now);
    // Repeats token queries and abandons overdue ones. Call every few milliseconds while
    // waits_for_tokens().
    void tick_tokens(time_point now);
    bool waits_for_tokens() const;

    cell::role role() const
    {
        return this->local_cell.current_role();
    }
    // Peer address of the coordinator that this VM is a member of; empty without one.
    const std::string& coordinator_address() const
    {
        return this->local_cell.coordinator_address();
    }
    // VMs of the data centre that may take requests, this one included.
    std::size_t known_member_count() const
    {
        return this->local_cell.known_count();
    }

    // Peer address of the VM to copy the tables from; empty if the store is to be read.
    std::string reader(time_point now, duration own_store_age) const;
    // Peer address of a VM of another region that reads the store, for a VM that cannot
    // reach the store and has no reader in its region.
    std::string remote_reader(time_point now) const;
    struct informed_vm
    {
        vm_id vm;
        std::string peer_address;
        std::uint64_t operator_change = 0;
        std::uint64_t registry_change = 0;
    };
    // A VM that knows newer changes than these.
    std::optional<informed_vm> best_informed(time_point now,
                                             std::uint64_t operator_change,
                                             std::uint64_t registry_change) const;

    std::vector<std::string> addresses_for(time_point now, std::string_view region,
                                           std::string_view data_centre) const;
    // Caller addresses of the usable VMs without this one, by data centre.
    fleet::address_lists other_vms(time_point now) const;

private:
    // Recipients of a digest: a new member gets all lists, the others get those that have
    // changed and repeat one more in turn.
    enum class audience
    {
        members,
        new_member,
    };

    fleet::vm_entry own_entry(const own_state& state) const;
    fleet::report make_report(time_point now) const;
    fleet::report make_coordinator_report(time_point now, bool full);
    cell::digest make_digest(time_point now, const fleet::report& coordinator_report,
                             audience to);
    void send(char kind, std::string_view bytes, std::span<const std::string> addresses);
    void send_digest(time_point now, const fleet::report& coordinator_report);
    void send_coordinator_report(const fleet::report& coordinator_report);
    void start_due_claim(time_point now);
    void handle_role_change(time_point now);
    void update_shares(time_point now);
    void apply_vm_count(time_point now);
    void receive_report(time_point now, const std::string& from, std::string_view bytes);
    void forward_report(const std::string& from, const fleet::report& incoming,
                        std::string_view bytes);
    void receive_digest(time_point now, std::string_view bytes);
    void apply_digest(time_point now, const cell::digest& incoming);
    void handle_coordinator_report(time_point now, const fleet::report& incoming);
    void handle_member_report(time_point now, const fleet::report& incoming);
    // All VMs as far as this coordinator knows; 0 if it has just started.
    std::size_t count_vms(time_point now) const;
    std::vector<fleet::coordinator_entry> known_coordinators(time_point now) const;
    std::vector<std::string> reachable_data_centres(time_point now) const;
    std::string reachable_coordinator(time_point now,
                                      const std::string& data_centre) const;
    // Where tokens of a limit are granted that this data centre holds.
    allowance::token_source token_source(time_point now, const std::string& holder) const;
    allowance::token_source account_token_source(time_point now, std::string_view account,
                                                 bool pooled) const;
    allowance::token_source upstream_token_source(time_point now, std::string_view limit,
                                                  bool pooled) const;
    internal::token_exchange_hooks account_token_hooks();
    internal::token_exchange_hooks upstream_token_hooks();
    internal::load_exchange_hooks load_hooks();
    internal::load_peers load_peers() const;
    void log_rejected_tokens(const error& problem);
    void send_notices(const fleet::upstream_notices& notices,
                      std::span<const std::string> addresses);
    void receive_notices(time_point now, std::string_view bytes);
    void exchange_admission(time_point now);
    void receive_admission(time_point now, const std::string& from,
                           std::string_view bytes);

    node_options options;
    node_hooks hooks;
    cell::cell local_cell;
    fleet::membership membership;
    internal::token_exchange tokens; // of the client accounts
    internal::token_exchange upstream_tokens;
    internal::load_exchange loads;
    std::map<std::string, std::string, std::less<>> limit_holders; // by name of the limit
    cell::role last_role = cell::role::searching;
    std::uint64_t sequence = 0;
    bool full_report_due = true; // a coordinator lacks the fields left out of deltas
    bool all_notices_due = true; // the same for notices that are not recent
    // Next read of the coordinators' rows; empty during a read.
    std::optional<time_point> coordinator_read_at;
    bool misses_own_row = false; // the last read of the rows was without its own
    // Members only: content of the coordinator's digests.
    fleet::report coordinator;
    time_point coordinator_heard_at;
    duration coordinator_table_staleness{0};
    fleet::address_lists caller_addresses;
    std::vector<fleet::coordinator_entry> coordinators;
    internal::vm_count vm_counts; // counted here, or told by the coordinator
    time_point started_at;
    time_point admission_told_at;
    // Coordinators only: content of the last digest.
    fleet::address_lists sent_lists;
    std::vector<fleet::vm_entry> sent_members;
    std::vector<fleet::coordinator_entry> sent_coordinators;
    std::size_t next_repeated_list = 0; // coordinators only
};

} // namespace pistachiospan::fleet_node

#endif
