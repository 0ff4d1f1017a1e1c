// The VMs of one data centre, and the one among them that coordinates: it speaks for the
// data centre to the others (see `fleet`) and tells its members what they need to know.
//
// Example:
//
//     cell own({.self = {"vm-1"}, .started = 7, .peer_address = "10.1.0.8:7600"}, now);
//     own.observe(now, decode_digest(datagram).value()); // of the coordinator
//     own.tick(now);
//     if (const auto due = own.begin_claim(now))
//         write_claim(*due, [&](const claim_outcome& got) { own.finish_claim(now, got);
//         });
//     if (own.is_coordinator())
//         send(make_digest(), own.member_addresses());
//     else
//         send(own_report, own.report_addresses());
//
// Members send their report to the coordinator, and the coordinator its digest to the
// members, once each interval: what a VM sends and receives does not grow with the number
// of VMs. The platform's store keeps one row for each data centre with its coordinator,
// written under a condition: it arbitrates between VMs that start together, and tells
// later ones whom to turn to. Nothing else depends on it. Two VMs that both coordinate,
// on two sides of a cut, are no danger: each speaks for the members it hears, and the one
// with the lower epoch becomes a member when it hears of the other.

#ifndef PISTACHIOSPAN_CELL_CELL_HPP
#define PISTACHIOSPAN_CELL_CELL_HPP

#include "pistachiospan/fleet/fleet.hpp"

namespace pistachiospan::cell
{

// What a coordinator tells its members each interval. Lists are left out unless they have
// changed or are due again.
struct digest
{
    fleet::report coordinator; // of itself, without demand and lists
    std::string data_centre;
    std::string peer_address;
    // Another VM coordinates from now on: its peer address. Empty: this one does.
    std::string successor;
    std::uint64_t successor_epoch = 0;
    // Newest changes known to any coordinator that is heard.
    std::uint64_t operator_change = 0;
    std::uint64_t registry_change = 0;
    std::uint64_t configuration_version = 0;
    // How old the coordinator's copies of the store's tables may be; 0 while it follows a
    // VM that reads the store.
    duration table_staleness{0};
    std::size_t vm_count = 0; // of all data centres
    std::vector<fleet::vm_entry> members;
    std::vector<fleet::coordinator_entry> coordinators;
    fleet::address_lists addresses; // callers', by data centre: those given are whole
    // Parts of the data centre's requests by service and data centre of the upstreams.
    upstreams::plan_set plans;
};

std::string encode(const digest& from);
// Errors: invalid_argument for bytes that are no digest.
result<digest> decode_digest(std::string_view bytes);

// A row of the store: who coordinates a data centre.
struct claim
{
    std::string data_centre;
    vm_id vm;
    std::string peer_address;
    std::uint64_t expected_version =
        0; // version that the row must have; 0: there is none
};

struct claim_outcome
{
    bool answered = false; // by the store
    bool granted = false;
    std::uint64_t version = 0; // of the row, the epoch of its VM
    // Not granted: who holds the row.
    vm_id holder;
    std::string holder_address;
};

enum class role
{
    searching, // for a coordinator
    member,
    coordinator,
};

std::string_view name_of(role which);

struct cell_options
{
    vm_id self;
    incarnation started = 0;
    std::string data_centre;
    std::string peer_address;
    double capacity = 1; // share of a core
    // A coordinator that is silent for this long is lost. Two lost digests, not one.
    duration coordinator_timeout = std::chrono::milliseconds(1200);
    // A member that is silent for this long is not named to callers.
    duration member_timeout = std::chrono::milliseconds(2500);
    // It is told the digests, and counts as a VM that may take requests, this long.
    duration member_retention = std::chrono::seconds(120);
    // Time for a VM to answer that is said to be the coordinator.
    duration contact_timeout = std::chrono::milliseconds(700);
    // Before the first claim, for each core that a VM has less than one: larger VMs claim
    // first.
    duration capacity_claim_delay = std::chrono::milliseconds(100);
    // Time for the coordinator to be heard again after a connection to it has ended.
    duration reconnect_timeout = std::chrono::milliseconds(250);
    // Between the claims of the members when their coordinator is lost.
    duration claim_stagger = std::chrono::milliseconds(150);
    duration store_retry_interval = std::chrono::milliseconds(300);
    // A VM that hears no other one of its data centre in this time is cut off: it speaks
    // for itself, without a claim.
    duration isolation_timeout = std::chrono::seconds(1);
    // A coordinator without the row tries again to write it.
    duration reclaim_interval = std::chrono::seconds(2);
};

class cell
{
public:
    cell(cell_options options, time_point now);

    role current_role() const
    {
        return this->position;
    }
    bool is_coordinator() const
    {
        return this->position == role::coordinator;
    }
    // Coordinates for itself only, since it hears no other VM: it may be cut off.
    bool is_isolated() const
    {
        return this->is_coordinator() && this->solitary;
    }
    std::uint64_t epoch() const
    {
        return this->own_epoch;
    }
    // Peer address of the coordinator that this VM is a member of; empty without one.
    const std::string& coordinator_address() const;

    // True if the digest is of the coordinator of this VM: its content counts.
    bool observe(time_point now, const digest& said);
    // A report of another VM of the data centre. True if the VM is new, or was silent.
    bool observe(time_point now, const fleet::report& said);
    // Coordinators that another one has told.
    void observe(time_point now, std::span<const fleet::coordinator_entry> told);
    // The connection to the coordinator has ended, as when its process has.
    void note_disconnected(time_point now);

    // To be called several times a second. Returns true if the role has changed.
    bool tick(time_point now);

    // Time until a claim may be due.
    duration time_until_claim(time_point now) const
    {
        return std::max(this->claim_at - now, duration(0));
    }
    // A claim to be written now. finish_claim() must follow.
    std::optional<claim> begin_claim(time_point now);
    void finish_claim(time_point now, const claim_outcome& got);

    // Where to send the own report: the coordinator, or, while there is none, those who
    // may know one.
    std::vector<std::string> report_addresses() const;
    // Where a coordinator sends its digest: its members, and VMs that may become some.
    std::vector<std::string> member_addresses() const;
    // Set once when another VM has taken over: the last digest names it.
    std::optional<digest> take_redirect();
    // Set when a VM that searches has asked a member: the digest to send it.
    std::optional<digest> redirect_for(const fleet::report& asker) const;

    // The VMs of the data centre that may take requests, this one included.
    std::vector<fleet::vm_entry> members(time_point now,
                                         const fleet::vm_entry& own) const;
    std::size_t known_count() const;
    // Part of the VMs that may take requests which this VM hears, itself included.
    double reachable_fraction(time_point now) const;
    // Demand of the members, by service, without this VM's.
    std::vector<upstreams::service_demand> service_demand(time_point now) const;
    // A member that has read the store within `max_staleness`; null without any.
    const fleet::report* reader(time_point now, duration max_staleness) const;
    // The newest change known to a member; null if none knows more than these.
    const fleet::report* best_informed(time_point now, std::uint64_t operator_change,
                                       std::uint64_t registry_change) const;

private:
    struct known_vm
    {
        fleet::vm_entry entry;
        fleet::report said;              // empty before the first one is heard
        std::optional<time_point> heard; // its last report
        time_point since;                // known
    };

    bool is_heard(time_point now, const known_vm& of, duration within) const;
    std::size_t heard_count(time_point now) const;
    void search(time_point now, duration delay);
    void contact(time_point now, const std::string& address);
    void coordinate(time_point now, std::uint64_t epoch);
    void coordinate_unclaimed(time_point now, std::uint64_t epoch);
    void follow(time_point now, const digest& said);
    void yield_to(time_point now, const std::string& address, std::uint64_t epoch);
    void remember(time_point now, const fleet::vm_entry& entry);
    bool follow_redirect(time_point now, const digest& said);
    void forget(time_point now);
    bool needs_claim() const;
    duration claim_delay() const;
    // Of two coordinators of this data centre: whether the given one stays.
    bool yields(std::uint64_t epoch, const std::string& address) const;
    digest redirect_to(const std::string& address, std::uint64_t epoch) const;

    cell_options options;
    role position = role::searching;
    std::uint64_t own_epoch = 0;   // as coordinator
    std::uint64_t seen_epoch = 0;  // highest one heard of
    std::uint64_t row_version = 0; // of the data centre's row, as far as known
    std::string coordinator;       // peer address; searching: to be contacted
    std::string lost;              // address of the last coordinator that fell silent
    time_point heard;              // the coordinator
    bool leaving = false;          // the coordinator is
    time_point searching_since;
    time_point claim_at;
    bool claiming = false;
    bool unclaimed = false; // coordinates without the row of the store
    bool solitary = false;
    bool heard_others = false; // of the data centre, in this search
    bool store_failed = false; // in this search
    std::map<vm_id, known_vm> vms;
    std::optional<digest> redirect;
};

} // namespace pistachiospan::cell

#endif
