// The VMs of one data centre and their coordinator: the VM that represents the data
// centre towards the others (see `fleet`) and distributes digests of the fleet's state to
// its members.
//
// Example:
//
//     cell local({.self = {"vm-1"}, .started = 7, .peer_address = "10.1.0.8:7600"}, now);
//     local.observe(now, decode_digest(datagram).value()); // from the coordinator
//     local.tick(now);
//     if (const auto due = local.begin_claim(now))
//         write_claim(*due, [&](const claim_outcome& outcome)
//                     { local.finish_claim(now, outcome); });
//     if (local.is_coordinator())
//         send(make_digest(), local.member_addresses());
//     else
//         send(own_report, local.report_addresses());
//
// Once each interval, members send a report to the coordinator and the coordinator sends
// a digest to the members: a member's traffic does not grow with the number of VMs. The
// platform's store keeps one row with the coordinator of each data centre, written by
// compare-and-set: it arbitrates between VMs that start together, and lets later ones
// find the coordinator. Nothing else depends on the store. Two coordinators of a data
// centre, on two sides of a network partition, are harmless: each represents the members
// that it hears from, and the one with the lower epoch becomes a member when it learns of
// the other.

#ifndef PISTACHIOSPAN_CELL_CELL_HPP
#define PISTACHIOSPAN_CELL_CELL_HPP

#include "pistachiospan/fleet/fleet.hpp"

namespace pistachiospan::cell
{

// State that a coordinator sends to its members each interval. Lists are left out unless
// they have changed or are due to be repeated.
struct digest
{
    fleet::report coordinator; // its own report, without demand and lists
    std::string data_centre;
    std::string peer_address;
    // Peer address of the VM that has replaced the sender as coordinator; empty while the
    // sender coordinates.
    std::string successor;
    std::uint64_t successor_epoch = 0;
    // Newest changes known to any coordinator that the sender hears from.
    std::uint64_t operator_change = 0;
    std::uint64_t registry_change = 0;
    std::uint64_t configuration_version = 0;
    // Maximum age of the coordinator's copies of the store's tables; 0 while it copies
    // them from a VM that reads the store.
    duration table_staleness{0};
    std::size_t vm_count = 0; // of all data centres
    std::vector<fleet::vm_entry> members;
    std::vector<fleet::coordinator_entry> coordinators;
    fleet::address_lists addresses; // for callers, by data centre; each list is complete
    // Fractions of the data centre's requests, by service and data centre of the
    // upstreams.
    upstreams::plan_set plans;
};

std::string encode(const digest& from);
// Errors: invalid_argument if the bytes are not a valid digest.
result<digest> decode_digest(std::string_view bytes);

// A write of the store's row that names the coordinator of a data centre.
struct claim
{
    std::string data_centre;
    vm_id vm;
    std::string peer_address;
    std::uint64_t expected_version = 0; // of the row; 0 if there must be none
};

struct claim_outcome
{
    bool answered = false; // the store has answered
    bool granted = false;
    std::uint64_t version = 0; // of the row, the epoch of its VM
    // The VM named by the row, if the claim was not granted.
    vm_id holder;
    std::string holder_address;
};

enum class role
{
    searching, // has no coordinator
    member,
    coordinator,
};

std::string_view name_of(role value);

struct cell_options
{
    vm_id self;
    incarnation started = 0;
    std::string data_centre;
    std::string peer_address;
    double capacity = 1; // share of a core
    // A coordinator without a digest for this long is considered lost. Long enough to
    // tolerate one lost digest, but not two.
    duration coordinator_timeout = std::chrono::milliseconds(1200);
    // A member without a report for this long is not listed as usable.
    duration member_timeout = std::chrono::milliseconds(2500);
    // A silent member is sent digests, and counts as a VM that may take requests, for
    // this long.
    duration member_retention = std::chrono::seconds(120);
    // Time for a VM to answer after it was named as the coordinator.
    duration contact_timeout = std::chrono::milliseconds(700);
    // Delay before the first claim, for each core of capacity below one: larger VMs claim
    // first.
    duration capacity_claim_delay = std::chrono::milliseconds(100);
    // Time for the coordinator's next digest after a connection to it has ended.
    duration reconnect_timeout = std::chrono::milliseconds(250);
    // Interval between the claims of successive members when their coordinator is lost.
    duration claim_stagger = std::chrono::milliseconds(150);
    duration store_retry_interval = std::chrono::milliseconds(300);
    // A VM that hears from no other VM of its data centre for this long is considered
    // isolated: it coordinates itself, without a claim.
    duration isolation_timeout = std::chrono::seconds(1);
    // Interval between the attempts of a coordinator without the row to claim it.
    duration reclaim_interval = std::chrono::seconds(2);
};

class cell
{
public:
    cell(cell_options options, time_point now);

    role current_role() const
    {
        return this->own_role;
    }
    bool is_coordinator() const
    {
        return this->own_role == role::coordinator;
    }
    // Coordinates only itself because it hears from no other VM: it may be partitioned
    // away.
    bool is_isolated() const
    {
        return this->is_coordinator() && this->isolated;
    }
    std::uint64_t epoch() const
    {
        return this->own_epoch;
    }
    // Peer address of the coordinator that this VM is a member of; empty without one.
    const std::string& coordinator_address() const;

    // Returns true if the digest comes from this VM's coordinator, so that its content
    // applies.
    bool observe(time_point now, const digest& incoming);
    // A report of another VM of the data centre. Returns true if the VM is new, was
    // silent or searches for a coordinator.
    bool observe(time_point now, const fleet::report& incoming);
    // Coordinators listed in another coordinator's report.
    void observe(time_point now, std::span<const fleet::coordinator_entry> listed);
    // The connection to the coordinator was closed, for example because its process
    // ended.
    void note_disconnected(time_point now);

    // Call several times a second. Returns true if the role has changed.
    bool tick(time_point now);

    // Time until a claim may be due.
    duration time_until_claim(time_point now) const
    {
        return std::max(this->claim_at - now, duration(0));
    }
    // Returns the claim to write now, if one is due. finish_claim() must follow.
    std::optional<claim> begin_claim(time_point now);
    void finish_claim(time_point now, const claim_outcome& outcome);

    // Where to send this VM's report: the coordinator, or, while there is none, VMs that
    // may know one.
    std::vector<std::string> report_addresses() const;
    // Where a coordinator sends its digest: its members, VMs that may become members, and
    // the coordinator that it has replaced in the store.
    std::vector<std::string> member_addresses() const;
    // The store's row names this VM as the coordinator, by the address. A coordinator
    // that was replaced without notice claims the row again and learns which VM holds it.
    void observe_row(time_point now, const std::string& holder_address);
    // The store has come back from an older copy. A coordinator writes its row again: the
    // store may name an earlier holder, or none.
    void note_store_restored(time_point now);
    // Returns, once, the final digest to send after another VM has taken over; it names
    // that VM.
    std::optional<digest> take_redirect();
    // The digest to send to a searching VM whose report reached this member; it names the
    // coordinator. Empty if none is due.
    std::optional<digest> redirect_for(const fleet::report& requester) const;

    // The VMs of the data centre that may take requests, this one included.
    std::vector<fleet::vm_entry> members(time_point now,
                                         const fleet::vm_entry& self) const;
    std::size_t known_count() const;
    // Fraction of the VMs that may take requests whose reports arrive here. This VM
    // counts as one of them.
    double reachable_fraction(time_point now) const;
    // Demand of the members by service, without that of this VM.
    std::vector<upstreams::service_demand> service_demand(time_point now) const;
    // A member that has read the store within `max_staleness`; null if there is none.
    const fleet::report* reader(time_point now, duration max_staleness) const;
    // The member that knows the newest changes; null if none knows newer ones than these.
    const fleet::report* best_informed(time_point now, std::uint64_t operator_change,
                                       std::uint64_t registry_change) const;

private:
    struct known_vm
    {
        fleet::vm_entry entry;
        fleet::report last_report; // empty until the first one arrives
        std::optional<time_point> last_heard_at;
        time_point known_since;
    };

    bool heard_within(time_point now, const known_vm& vm, duration span) const;
    std::size_t reachable_count(time_point now) const;
    void start_search(time_point now, duration delay);
    void contact(time_point now, const std::string& address);
    void become_coordinator(time_point now, std::uint64_t epoch);
    void become_unclaimed_coordinator(time_point now, std::uint64_t epoch);
    void apply_digest(time_point now, const digest& incoming);
    void yield_to(time_point now, const std::string& address, std::uint64_t epoch);
    void record_vm(time_point now, const fleet::vm_entry& entry);
    bool follow_redirect(time_point now, const digest& incoming);
    void expire_vms(time_point now);
    bool needs_claim() const;
    duration claim_delay() const;
    // Whether another coordinator of this data centre takes precedence over this one.
    bool is_superseded_by(std::uint64_t epoch, const std::string& address) const;
    digest redirect_to(const std::string& address, std::uint64_t epoch) const;

    cell_options options;
    role own_role = role::searching;
    std::uint64_t own_epoch = 0;     // as coordinator
    std::uint64_t highest_epoch = 0; // of any coordinator of the data centre
    std::uint64_t row_version = 0;   // last known version of the data centre's row
    std::string coordinator;         // peer address; while searching: candidate
    std::string lost_coordinator;    // peer address of the last one that was lost
    // Peer address of the VM that the row named before this VM's claim: it may be alive
    // and not know that it was replaced. Empty: none.
    std::string replaced_holder;
    time_point replaced_until; // it is sent digests
    time_point coordinator_heard_at;
    bool coordinator_draining = false;
    time_point searching_since;
    time_point claim_at;
    bool claim_pending = false;
    bool unclaimed = false; // coordinates without holding the row
    // The row may be one that a restore of the store brought back: its holder does not
    // take precedence.
    bool overrides_row = false;
    bool isolated = false;
    bool heard_others = false; // VMs of the data centre, during this search
    bool store_failed = false; // during this search
    std::map<vm_id, known_vm> vms;
    std::optional<digest> redirect;
};

} // namespace pistachiospan::cell

#endif
