// The reports that data centres exchange, and the directory of VMs derived from them.
//
// Example:
//
//     membership others({.data_centre = "sem-a", .regions = places});
//     others.observe(now, decode(datagram).value());
//     for (const std::string& address : others.peer_addresses())
//         ...
//
// One VM of each data centre, its coordinator, represents the VMs there (see `cell`). In
// each interval every coordinator sends its report to the others in one datagram. Most
// reports are delta reports: they serve as heartbeats and carry the demand that has
// changed. Every few reports a full one follows. Reports are soft state: there is no
// consensus, and a lost report is repaired by the next full one.

#ifndef PISTACHIOSPAN_FLEET_FLEET_HPP
#define PISTACHIOSPAN_FLEET_FLEET_HPP

#include "pistachiospan/allowance/allowance.hpp"
#include "pistachiospan/base/base.hpp"
#include "pistachiospan/quarantine/quarantine.hpp"
#include "pistachiospan/upstreams/upstreams.hpp"

#include <deque>
#include <map>
#include <vector>

namespace pistachiospan::fleet
{

// A VM of a data centre, as advertised by its coordinator.
struct vm_entry
{
    vm_id vm;
    std::string peer_address;   // for reports, ip:port
    std::string caller_address; // where callers connect, ip:port
    double capacity = 0;        // share of a core
    bool usable = false;        // reported recently, ready and not draining
    bool operator==(const vm_entry&) const = default;
};

// A coordinator and its data centre. Of two coordinators of one data centre the one with
// the higher epoch takes precedence.
struct coordinator_entry
{
    std::string data_centre;
    std::string peer_address;
    std::uint64_t epoch = 0;
    bool reachable = false; // the sender has received its reports recently
    bool operator==(const coordinator_entry&) const = default;
};

// The last report that was received from a data centre's coordinator.
struct received_report
{
    std::string data_centre;
    incarnation started = 0; // incarnation of the sending process
    std::uint64_t sequence = 0;
    bool operator==(const received_report&) const = default;
};

// Status report of a VM: a member reports on itself to its coordinator, a coordinator
// reports on its whole data centre to the other coordinators.
struct report
{
    // Data centre, addresses, capacity, lists and unchanged demand are left out.
    bool delta = false;
    vm_id vm;
    incarnation started = 0; // increases with each process of the same VM
    std::uint64_t sequence = 0;
    std::uint64_t epoch = 0; // of a coordinator; 0 for a member
    bool searching = false;  // has no coordinator
    std::string data_centre;
    std::string peer_address;   // for reports, ip:port
    std::string caller_address; // where callers connect, ip:port
    double capacity = 0;        // share of a core
    bool ready = false;         // serves callers
    bool draining = false;      // stops soon
    std::uint64_t configuration_version = 0;
    // Newest changes known to this VM: of the operator's rows and of the registry.
    std::uint64_t operator_change = 0;
    std::uint64_t registry_change = 0;
    // Time since the last successful read of the registry from the store. It is high
    // while the VM copies the tables from another VM.
    duration store_age = duration(0);
    std::vector<allowance::demand> demand;           // by client account
    std::vector<upstreams::service_demand> services; // by service
    // Upstreams that recently announced in an answer that they are leaving.
    std::vector<upstreams::upstream_start> leaving_upstreams;
    // Coordinators only: fraction of the data centre's VMs whose reports arrive. The
    // others may be partitioned away and still admit requests: the share that they had
    // when they fell silent is reserved for them.
    double reachable_fraction = 1;
    // Coordinators only: acknowledges the last report of each other coordinator. A data
    // centre raises its share of the allowances only as far as all others have received
    // the demand behind it.
    std::vector<received_report> received;
    // Coordinators only: the VMs of its data centre, and the other coordinators.
    std::vector<vm_entry> vms;
    std::vector<coordinator_entry> coordinators;
};

std::string encode(const report& from);
// Errors: invalid_argument if the bytes are not a valid report.
result<report> decode(std::string_view bytes);

// What VMs tell each other about upstreams, and about requests that may crash them,
// besides their reports. It is a message of its
// own, so that VMs of a version without it ignore it and understand the reports.
struct upstream_notices
{
    std::vector<upstreams::limit_notice> limits;
    std::vector<upstreams::leaving_notice> leaving;
    std::vector<quarantine::suspect_notice> suspects;
    std::vector<upstreams::restart_notice> restarts;
    bool operator==(const upstream_notices&) const = default;
    bool empty() const
    {
        return this->limits.empty() && this->leaving.empty() && this->suspects.empty() &&
               this->restarts.empty();
    }
};

std::string encode(const upstream_notices& notices);
// Errors: invalid_argument if the bytes are not valid notices.
result<upstream_notices> decode_notices(std::string_view bytes);

// Caller addresses of the usable VMs, by data centre.
using address_lists = std::map<std::string, std::vector<std::string>>;

// The caller addresses of those of the VMs that are usable.
std::vector<std::string> usable_addresses(std::span<const vm_entry> vms);

struct membership_options
{
    std::string data_centre;
    std::map<std::string, std::string> regions; // data centre to region
    // A data centre without a report for this long is left out of the directory.
    duration liveness_timeout = std::chrono::milliseconds(2500);
    // Tables are not copied from a VM whose last read of the store is older: changes must
    // be known within 2 s. Longer than one long-polling read plus one report interval.
    duration max_staleness = std::chrono::milliseconds(1500);
    // A data centre whose reports are overdue may be partitioned away and still take
    // requests. From then on its shares of the allowances are reserved, and the others
    // divide the rest: growing demand on one side of a partition must not take what the
    // other side uses. Long enough to tolerate one lost report, but not two.
    duration overdue_after = std::chrono::milliseconds(1200);
    // How long these shares stay reserved. A data centre that was draining keeps none.
    duration reservation_time = std::chrono::seconds(120);
};

// What a data centre reported at a time, by client account.
struct timed_demand
{
    time_point at;
    std::vector<allowance::demand> accounts;
};

struct peer
{
    report last_report;
    time_point last_heard_at;
    bool overdue = false; // no report within overdue_after
    bool expired = false; // returned by expire(), without a report since
    // Fraction of its VMs that are heard of here: by the last report, 0 while overdue.
    double heard_fraction = 1;
    // Fraction of its VMs that were silent when it was first heard of, and still are.
    double undiscovered = 0;
    // Shares of the accounts' limits that its other VMs had when they fell silent.
    std::map<std::string, double> reserved;
    std::deque<timed_demand> recent_demand; // oldest first
};

class membership
{
public:
    explicit membership(membership_options options);

    // Call when this VM's report is sent. Takes a snapshot of the demand reported by all
    // data centres so far.
    void note_sent_report(time_point now, report sent);

    // Peer addresses of the coordinators listed in the store's table.
    void set_addresses(const std::map<std::string, std::string>& known);

    struct observation
    {
        bool accepted = false;    // newer than what was known
        bool replaced = false;    // another VM now coordinates that data centre
        bool new_process = false; // nothing was received from this process before
        bool appeared = false;    // the data centre was not live before
        // Its reports were overdue, so it may have missed this VM's reports as well.
        bool returned = false;
        // Difference to its previously reported demand, if it was live before.
        std::vector<allowance::demand> demand_change;
    };

    // Ignores reports older than the last one, and delta reports of coordinators that
    // have not sent a full one.
    observation observe(time_point now, report incoming);
    // Data centres that exceeded the liveness timeout since the last call.
    std::vector<std::string> expire(time_point now);
    // Reserves, for data centres whose reports have become overdue, their share of the
    // demand reported so far: the other side of a partition computes with the same
    // figures. Returns true if there are any. A data centre of which a part falls silent
    // keeps that part of its share reserved in the same way, see observe().
    bool reserve_overdue(time_point now);

    // Where to send this coordinator's report.
    std::vector<std::string> peer_addresses() const;
    // The known coordinators, without this one.
    std::vector<coordinator_entry> coordinators(time_point now) const;
    // Acknowledgements: the last report of each data centre that is not overdue.
    std::vector<received_report> received_reports() const;
    // Sequence number of this VM's last report that all other data centres have received.
    // Overdue ones are left out, since their shares are reserved. UINT64_MAX if there are
    // no others.
    std::uint64_t confirmed_report() const;
    // Number of data centres that share the allowances, this one included.
    std::size_t sharing_count() const;
    // Fraction of each account's limit left to data centres that have not reported yet,
    // and to VMs that were silent when their data centre first did: they may be
    // partitioned away, and compute the same way.
    double undiscovered_fraction(time_point now) const;
    // Fraction of all VMs whose reports reach their coordinator, averaged over the data
    // centres. This data centre counts with `own_fraction`, overdue ones with 0.
    double reachable_fraction(double own_fraction) const;
    // Number of VMs of the other data centres that take requests or may do so, with
    // `assumed` for each data centre that has not been heard.
    std::size_t vm_count(std::size_t assumed) const;
    // The coordinator that reads the store for this VM's region: the first, in order of
    // data centre names, whose last read is recent enough. Null if that is this VM, or if
    // no such coordinator is known.
    const peer* reader(time_point now, duration own_store_age) const;
    // A coordinator of another region that reads the store; null if there is none.
    const peer* remote_reader(time_point now) const;
    // The live coordinator that knows the newest changes; null if none knows newer ones
    // than these.
    const peer* best_informed(time_point now, std::uint64_t operator_change,
                              std::uint64_t registry_change) const;

    // Demand and reserved shares of the other data centres, by client account.
    std::map<std::string, allowance::remote_usage> remote_shares(time_point now) const;
    // Demand of the other live data centres, by service.
    std::map<std::string, upstreams::remote_demand> service_demand(time_point now) const;
    // Caller addresses of the usable VMs of the other data centres, by data centre. Empty
    // lists for those that are not live.
    address_lists caller_addresses(time_point now) const;

private:
    // Demand reported by all data centres at a point in time, by client account.
    struct demand_snapshot
    {
        time_point at;
        std::map<std::string, allowance::remote_usage> accounts;
    };

    using account_shares = std::map<std::string, double>; // of the limits

    demand_snapshot present_demand(time_point now) const;
    static account_shares shares_by(const demand_snapshot& reported,
                                    std::span<const allowance::demand> own);
    static const timed_demand* reported_before(const peer& other,
                                               const demand_snapshot& snapshot);
    account_shares shares_when_heard(const peer& silent) const;
    static void set_heard_fraction(peer& other, double fraction,
                                   const account_shares& shares);
    void apply_reported_fraction(time_point now, peer& other, double fraction);
    bool is_live(time_point now, const peer& other) const;
    bool is_reader(time_point now, const peer& other) const;
    std::string region_of(const std::string& data_centre) const;

    membership_options options;
    report last_sent_report;
    std::map<std::string, peer> peers;            // by data centre
    std::map<std::string, std::string> addresses; // by data centre
    std::optional<time_point> first_sent_at;
    // Covers the time in which a report becomes overdue.
    std::deque<demand_snapshot> demand_snapshots;
};

struct directory_options
{
    std::map<std::string, std::string> regions; // data centre to region
    std::size_t max_addresses = 64;             // in one response
};

// Caller addresses for a caller in this data centre and region: the VMs of the data
// centre if it has at least two, else those of the region, else all.
std::vector<std::string> addresses_for(const directory_options& options,
                                       const address_lists& usable,
                                       std::string_view region,
                                       std::string_view data_centre);

} // namespace pistachiospan::fleet

#endif
