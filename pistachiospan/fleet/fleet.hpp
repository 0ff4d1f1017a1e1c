// What the data centres of the system tell each other, and the directory made from it.
//
// Example:
//
//     membership others({.data_centre = "sem-a", .regions = places});
//     others.observe(now, decode_report(datagram).value());
//     for (const std::string& address : others.peer_addresses())
//         ...
//
// One VM of each data centre, its coordinator, speaks for the VMs there (see `cell`). The
// coordinators send their report to each other in one datagram each interval. Most
// reports are delta: they say that the data centre is there, and which demand has
// changed. Every few a whole one follows. Reports are soft state: nothing is agreed on,
// and a lost one is made good by the next whole one.

#ifndef PISTACHIOSPAN_FLEET_FLEET_HPP
#define PISTACHIOSPAN_FLEET_FLEET_HPP

#include "pistachiospan/allowance/allowance.hpp"
#include "pistachiospan/base/base.hpp"
#include "pistachiospan/upstreams/upstreams.hpp"

#include <deque>
#include <map>
#include <vector>

namespace pistachiospan::fleet
{

// A VM of a data centre, as its coordinator tells the others.
struct vm_entry
{
    vm_id vm;
    std::string peer_address;   // of its reports, ip:port
    std::string caller_address; // where callers connect, ip:port
    double capacity = 0;        // share of a core
    bool usable = false;        // heard of late, serves callers and does not stop
    bool operator==(const vm_entry&) const = default;
};

// A coordinator and its data centre. Of two coordinators of one data centre the one with
// the higher epoch stays.
struct coordinator_entry
{
    std::string data_centre;
    std::string peer_address;
    std::uint64_t epoch = 0;
    bool reachable = false; // by the VM that tells it
    bool operator==(const coordinator_entry&) const = default;
};

// The last report that was received from a data centre's coordinator.
struct received_report
{
    std::string data_centre;
    incarnation started = 0; // of the process that sent it
    std::uint64_t sequence = 0;
    bool operator==(const received_report&) const = default;
};

// What one VM says: a member to its coordinator, of itself; a coordinator to the others,
// of its whole data centre.
struct report
{
    // Places, addresses, lists and unchanged demand are left out.
    bool delta = false;
    vm_id vm;
    incarnation started = 0; // higher for a later process of the same VM
    std::uint64_t sequence = 0;
    std::uint64_t epoch = 0; // of a coordinator; 0: a member
    bool searching = false;  // has no coordinator
    std::string data_centre;
    std::string peer_address;   // of its reports, ip:port
    std::string caller_address; // where callers connect, ip:port
    double capacity = 0;        // share of a core
    bool ready = false;         // serves callers
    bool draining = false;      // stops soon
    std::uint64_t configuration_version = 0;
    // Newest changes that it knows: of the operator's rows and of the registry.
    std::uint64_t operator_change = 0;
    std::uint64_t registry_change = 0;
    // Time since its last successful read of the registry from the store. A VM that
    // follows another one has an old one.
    duration store_age = duration(0);
    std::vector<allowance::demand> demand;           // by client account
    std::vector<upstreams::service_demand> services; // by service
    // Upstreams that have said in answers that they are leaving, of late.
    std::vector<upstreams::upstream_start> leaving_upstreams;
    // Of a coordinator: the part of its data centre's VMs that it hears. The others may
    // be cut off and admit what is set aside for them.
    double reachable_fraction = 1;
    // Of a coordinator: what it has received from the others. They raise their parts of
    // the allowances only as far as all have received.
    std::vector<received_report> received;
    // Of a coordinator: the VMs of its data centre, and the other coordinators.
    std::vector<vm_entry> vms;
    std::vector<coordinator_entry> coordinators;
};

std::string encode(const report& from);
// Errors: invalid_argument for bytes that are no report.
result<report> decode(std::string_view bytes);

// Caller addresses of the usable VMs, by data centre.
using address_lists = std::map<std::string, std::vector<std::string>>;

struct membership_options
{
    std::string data_centre;
    std::map<std::string, std::string> regions; // data centre to region
    // A data centre without a report for this long is not named to callers.
    duration liveness_timeout = std::chrono::milliseconds(2500);
    // A VM whose last read of the store is older is not followed: changes must be known
    // 2 s after they were made. More than the time of one read that waits for a change,
    // and one report.
    duration max_staleness = std::chrono::milliseconds(1500);
    // A data centre whose reports are overdue may be cut off and still take requests.
    // From then on it keeps the parts of the allowances that it had, and the others share
    // the rest: on both sides of a cut, demand that grows must not take what the other
    // side uses. Two lost reports, not one.
    duration overdue_after = std::chrono::milliseconds(1200);
    // For this long. One that said that it stops does not keep them.
    duration reservation_time = std::chrono::seconds(120);
};

struct peer
{
    report last_report;
    time_point last_heard_at;
    bool overdue = false; // its reports are
    bool expired = false; // told by expire(), and not heard since
    // Parts of the accounts' limits that it had when its reports became overdue.
    std::map<std::string, double> reserved;
};

class membership
{
public:
    explicit membership(membership_options options);

    // To be called when the own report is sent: notes what all have told by now.
    void note_sent_report(time_point now, report own);

    // Peer addresses of the coordinators that are in the store's table.
    void set_addresses(const std::map<std::string, std::string>& known);

    struct observation
    {
        bool accepted = false; // not older than what is known
        bool replaced = false; // another VM coordinates that data centre by now
        bool appeared = false; // the data centre was not live before
        // Its reports were overdue, so it may not have heard this VM either.
        bool returned = false;
        // What its demand has changed by, if it was live before.
        std::vector<allowance::demand> demand_change;
    };

    // Older reports are ignored, and delta ones of coordinators without a whole one.
    observation observe(time_point now, report said);
    // Data centres that fell silent since the last call.
    std::vector<std::string> expire(time_point now);
    // Lets data centres whose reports have become overdue keep their share of the demand
    // that was told: the other side of a cut reckons with the same figures. Returns true
    // if there are any.
    bool reserve_overdue(time_point now);

    // Where to send the own report.
    std::vector<std::string> peer_addresses() const;
    // The coordinators known, this one not included.
    std::vector<coordinator_entry> coordinators(time_point now) const;
    // The last reports of those whose reports are not overdue.
    std::vector<received_report> received_reports() const;
    // The last own report that all data centres have received, but for those whose
    // reports are overdue: what they may use is reserved. The highest number without any
    // others.
    std::uint64_t confirmed_report() const;
    // Data centres that share the allowances, this one included.
    std::size_t sharing_count() const;
    // Part of each account's limit that is left to data centres that have not been heard
    // yet: they may be cut off, and reckon the same way.
    double undiscovered_fraction(time_point now) const;
    // Part of all VMs that is heard, by the coordinators that are heard and by this one,
    // which hears `own_part` of its data centre.
    double reachable_fraction(double own_part) const;
    // VMs of the other data centres that take requests or may do so.
    std::size_t vm_count() const;
    // Who reads the store for this VM's region: the first by data centre of those whose
    // last read is fresh. Null: this VM itself, or none that it hears.
    const peer* reader(time_point now, duration own_store_age) const;
    // A reader of another region; null without any.
    const peer* remote_reader(time_point now) const;
    // The live one that knows the newest changes; null if none knows more than these.
    const peer* best_informed(time_point now, std::uint64_t operator_change,
                              std::uint64_t registry_change) const;

    // What the others said, by client account.
    std::map<std::string, allowance::remote_share> remote_shares(time_point now) const;
    // What the other live ones said, by service.
    std::map<std::string, upstreams::remote_demand> service_demand(time_point now) const;
    // Caller addresses of the usable VMs of the others, by data centre. Empty for those
    // that have fallen silent.
    address_lists caller_addresses(time_point now) const;

private:
    // What all together had told at a time, by client account.
    struct told_total
    {
        time_point at;
        std::map<std::string, allowance::remote_share> accounts;
    };

    const told_total* total_after(time_point heard) const;
    bool is_live(time_point now, const peer& of) const;
    bool is_reader(time_point now, const peer& of) const;
    std::string region_of(const std::string& data_centre) const;

    membership_options options;
    report self;
    std::map<std::string, peer> peers;            // by data centre
    std::map<std::string, std::string> addresses; // by data centre
    std::optional<time_point> first_told;
    std::deque<told_total> totals; // of the time in which reports become overdue
};

struct directory_options
{
    std::map<std::string, std::string> regions; // data centre to region
    std::size_t max_addresses = 64;             // in one answer
};

// Caller addresses for a caller of this place: the VMs of its data centre, else of its
// region, else all.
std::vector<std::string> addresses_for(const directory_options& options,
                                       const address_lists& usable,
                                       std::string_view region,
                                       std::string_view data_centre);

} // namespace pistachiospan::fleet

#endif
