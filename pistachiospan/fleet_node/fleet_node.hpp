// This VM among the others: its data centre's coordinator or a member, what it tells them
// and what they have told it.
//
// Example:
//
//     node own(now, {.vm = {"vm-1"}, .data_centre = "sem-a", ...}, {.send = send, ...});
//     own.receive(now, from, datagram);
//     own.check(now); // four times a second
//     own.tick(now);  // twice a second
//     own.request_token(now, ticket, account);
//
// Each interval a member sends one report and receives one digest. A coordinator receives
// the reports of its members, sends them its digest, and exchanges one report with the
// coordinator of each other data centre. What a VM sends and receives does not grow with
// the number of VMs of the fleet. Holds no sockets, timers or clocks.

#ifndef PISTACHIOSPAN_FLEET_NODE_FLEET_NODE_HPP
#define PISTACHIOSPAN_FLEET_NODE_FLEET_NODE_HPP

#include "pistachiospan/cell/cell.hpp"
#include "pistachiospan/fleet_node/internal/token_exchange.hpp"

namespace pistachiospan::fleet_node
{

// First byte of a datagram: what follows it.
inline constexpr char report_kind = 'r';
inline constexpr char digest_kind = 'd';
inline constexpr char query_kind = 'q';
inline constexpr char answer_kind = 'a';

struct node_options
{
    vm_id vm;
    incarnation started = 0;
    std::string data_centre;
    upstreams::places places;   // all data centres
    std::string peer_address;   // own peer address
    std::string caller_address; // own address for callers
    double capacity = 1;        // share of a core
};

// What this VM says of itself in its reports.
struct own_state
{
    bool ready = false;
    bool draining = false;
    std::uint64_t configuration_version = 0;
    std::uint64_t operator_change = 0;
    std::uint64_t registry_change = 0;
    duration store_age{0};
    duration table_staleness{0}; // of its copies of the store's tables
    std::vector<upstreams::upstream_start> leaving_upstreams;
};

using remote_demands = std::map<std::string, upstreams::remote_demand>; // by service

struct node_hooks
{
    std::function<void(std::string_view datagram, std::span<const std::string> addresses)>
        send;
    // Writes a claim to the store. finish_claim() must follow.
    std::function<void(const cell::claim&)> claim;
    // Reads the coordinators' rows. finish_coordinator_read() must follow.
    std::function<void()> read_coordinators;
    std::function<own_state(time_point)> state;
    // Demand at this VM, by service.
    std::function<std::vector<upstreams::service_demand>(time_point)> services;
    // Coordinator: demand at all other VMs.
    std::function<void(time_point, remote_demands)> demand_received;
    // Coordinator: the plans to be told to the members. Member: those of the coordinator.
    std::function<upstreams::plan_set(time_point)> plans;
    std::function<void(time_point, const upstreams::plan_set&)> plans_received;
    std::function<void(time_point, std::span<const upstreams::upstream_start>)>
        leaving_received;
    // Another VM has this version of the configuration.
    std::function<void(time_point, const vm_id&, std::uint64_t version)> version_received;
    std::function<void(std::size_t count)> vm_count_changed;
    std::function<void(cell::role)> role_changed;
    // The answer to request_token().
    std::function<void(allowance::ticket, const allowance::admission&)> token_done;
    std::function<void(std::string_view event, const nlohmann::ordered_json&)> log;
};

class node
{
public:
    node(time_point now, node_options options, node_hooks hooks);

    // A datagram of the VM with this peer address.
    void receive(time_point now, const std::string& from, std::string_view datagram);
    void finish_claim(time_point now, const result<cell::claim_outcome>& got);
    void finish_coordinator_read(
        time_point now, const result<std::map<std::string, std::string>>& coordinators);

    // Twice a second: tells the others.
    void tick(time_point now);
    // Several times a second: notices who has fallen silent.
    void check(time_point now);
    // Tells the others at once, as far as one has to be told.
    void send_updates(time_point now);
    // The connection to the coordinator has ended.
    void note_disconnected(time_point now, const std::string& address);
    // Time until check() has something to do that can't wait for its turn.
    duration next_check(time_point now) const;

    // Accounts that may be asked for.
    void set_accounts(time_point now, std::span<const configuration::account> accounts);
    // Asks for a token of the account. token_done() follows, at once or later.
    void request_token(time_point now, allowance::ticket name,
                       const std::string& account);
    // A token was not used.
    void return_token(time_point now, const std::string& account);
    // Repeats queries for tokens and gives up overdue ones. Call each few milliseconds
    // while waits_for_tokens().
    void tick_tokens(time_point now);
    bool waits_for_tokens() const;

    cell::role role() const
    {
        return this->own.current_role();
    }
    // Peer address of the coordinator that this VM is a member of; empty without one.
    const std::string& coordinator_address() const
    {
        return this->own.coordinator_address();
    }
    // VMs of the data centre that may take requests, this one included.
    std::size_t known_member_count() const
    {
        return this->own.known_count();
    }

    // Whom to follow instead of the store; empty: the store.
    std::string reader(time_point now, duration own_store_age) const;
    // Who reads the store elsewhere, for a VM without a reader that does not reach it.
    std::string remote_reader(time_point now) const;
    struct informed_vm
    {
        vm_id vm;
        std::string peer_address;
        std::uint64_t operator_change = 0;
        std::uint64_t registry_change = 0;
    };
    // A VM that knows more than these changes.
    std::optional<informed_vm> best_informed(time_point now,
                                             std::uint64_t operator_change,
                                             std::uint64_t registry_change) const;

    std::vector<std::string> addresses_for(time_point now, std::string_view region,
                                           std::string_view data_centre) const;

private:
    // Whom a digest is for: a newcomer is told all lists, members those that have changed
    // and one more in turn.
    enum class audience
    {
        members,
        newcomer,
    };

    fleet::vm_entry own_entry(const own_state& state) const;
    fleet::report make_report(time_point now) const;
    fleet::report make_summary(time_point now, bool whole);
    cell::digest make_digest(time_point now, const fleet::report& summary, audience to);
    void send(char kind, std::string_view bytes, std::span<const std::string> addresses);
    void tell_members(time_point now, const fleet::report& summary);
    void tell_coordinators(const fleet::report& summary);
    void make_due_claim(time_point now);
    void note_role(time_point now);
    void share(time_point now);
    void apply_vm_count();
    void receive_report(time_point now, std::string_view bytes);
    void receive_digest(time_point now, std::string_view bytes);
    void note_digest(time_point now, const cell::digest& said);
    void note_summary(time_point now, const fleet::report& said);
    void note_member(time_point now, const fleet::report& said);
    std::size_t vm_count() const;
    std::vector<fleet::coordinator_entry> known_coordinators(time_point now) const;
    std::vector<std::string> heard_data_centres(time_point now) const;
    std::string coordinator_of(time_point now, const std::string& data_centre) const;
    allowance::token_source token_source(time_point now, std::string_view account,
                                         bool pooled) const;

    node_options options;
    node_hooks hooks;
    cell::cell own;
    fleet::membership membership;
    internal::token_exchange tokens;
    cell::role told_role = cell::role::searching;
    std::uint64_t sequence = 0;
    bool newcomer = true;              // a VM needs the whole of what this one tells
    std::optional<time_point> read_at; // the coordinators' rows; nothing: being read
    // Member: what the coordinator has told.
    fleet::report coordinator;
    time_point coordinator_heard;
    duration coordinator_news_age{0};
    fleet::address_lists lists;
    std::vector<fleet::coordinator_entry> coordinators;
    std::size_t told_vm_count = 0;
    // Coordinator: told in the last digest.
    fleet::address_lists told_lists;
    std::vector<fleet::vm_entry> told_members;
    std::vector<fleet::coordinator_entry> told_coordinators;
    std::size_t next_list = 0; // coordinator: to be told again
};

} // namespace pistachiospan::fleet_node

#endif
