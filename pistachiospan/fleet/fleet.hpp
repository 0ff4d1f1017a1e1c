// What the VMs of the system tell each other, and the directory made from it.
//
// Example:
//
//     membership vms({.self = own_report, .places = places});
//     vms.observe(now, decode_report(datagram).value());
//     for (const std::string& address : vms.addresses_for(now, "borneo", "bor-a"))
//         ...
//
// Each VM sends its report to all others in one datagram each interval. Most reports are
// brief: they say that the VM is there, and which demand has changed. Every few a whole
// one follows. Reports are soft state: nothing is agreed on, and a lost one is made good
// by the next whole one.

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

struct report
{
    // Places, addresses and unchanged demand are left out.
    bool brief = false;
    vm_id vm;
    incarnation started = 0; // higher for a later process of the same VM
    std::uint64_t sequence = 0;
    std::string data_centre;
    std::string peer_address;   // of its reports, ip:port
    std::string caller_address; // where callers connect, ip:port
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
    std::vector<upstreams::upstream_start> leaving;
};

std::string encode(const report& from);
// Errors: invalid_argument for bytes that are no report.
result<report> decode(std::string_view bytes);

struct membership_options
{
    vm_id self;
    std::string data_centre;
    std::map<std::string, std::string> regions; // data centre to region
    // A VM without a report for this long is not named to callers.
    duration live_for = std::chrono::milliseconds(2500);
    // A VM whose last read of the store is older is not followed: changes must be known
    // 2 s after they were made. More than the time of one read that waits for a change,
    // and one report.
    duration fresh_for = std::chrono::milliseconds(1500);
    // A VM whose reports are overdue may be cut off and still take requests. From then on
    // it keeps the parts of the allowances that it had, and the others share the rest: on
    // both sides of a cut, demand that grows must not take what the other side uses. Two
    // lost reports, not one.
    duration overdue_after = std::chrono::milliseconds(1200);
    // For this long. One that said that it stops does not keep them.
    duration reserved_for = std::chrono::seconds(120);
    std::size_t most_addresses = 64; // in one directory answer
    // VMs that share the allowances, until it is known which ones there are.
    std::size_t assumed_count = 8;
};

struct peer
{
    report said;
    time_point heard;
    bool overdue = false; // its reports are
    bool lost = false;    // told by expire(), and not heard since
    // Parts of the accounts' limits that it had when its reports became overdue.
    std::map<std::string, double> reserved;
};

class membership
{
public:
    explicit membership(membership_options options);

    // Own state, for the directory.
    void set_self(report own);
    // To be called when the own report is sent: notes what all VMs have told by now.
    void note_told(time_point now);
    // Between two reports: whether this VM serves callers.
    void set_ready(bool ready)
    {
        this->self.ready = ready;
    }

    // Peer addresses of all VMs that have registered with the store.
    void set_addresses(time_point now, const std::map<vm_id, std::string>& registered);

    struct observation
    {
        bool appeared = false; // the VM was not live before
        // Its reports were overdue, so it may not have heard this VM either.
        bool returned = false;
        // What its demand has changed by, if it was live before.
        std::vector<allowance::demand> change;
    };

    // Older reports are ignored, and brief ones of VMs without a whole one.
    observation observe(time_point now, report said);
    // VMs that fell silent since the last call.
    std::vector<vm_id> expire(time_point now);
    // Lets VMs whose reports have become overdue keep their share of the demand that was
    // told: the other side of a cut reckons with the same figures. Returns true if there
    // are any.
    bool reserve_overdue(time_point now);

    // Where to send the own report.
    std::vector<std::string> peer_addresses() const;
    // VMs that are heard, this one included.
    std::size_t live_count(time_point now) const;
    // VMs that share the allowances, this one included. Those that have registered and
    // are not heard yet count for a while: all may be starting at the same moment.
    std::size_t sharing_count(time_point now) const;
    // VMs that take requests or may do so, this one included.
    std::size_t known_count() const;
    // Who reads the store for this VM's region: the first by name of those whose last
    // read is fresh. Null: this VM itself, or none that it hears.
    const peer* reader(time_point now, duration own_store_age) const;
    // A reader of another region; null without any.
    const peer* remote_reader(time_point now) const;
    // The live VM that knows the newest changes; null if none knows more than these.
    const peer* best_informed(time_point now, std::uint64_t operator_change,
                              std::uint64_t registry_change) const;

    // What the other VMs said, by client account.
    std::map<std::string, allowance::remote_share> remote_shares(time_point now) const;
    // What the other live VMs said, by service.
    std::map<std::string, upstreams::remote_demand> service_demand(time_point now) const;

    // Caller addresses for a caller of this place, best first: the VMs of its region,
    // else all.
    std::vector<std::string> addresses_for(time_point now, std::string_view region,
                                           std::string_view data_centre) const;

private:
    // What all VMs together had told at a time, by client account.
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
    std::map<vm_id, peer> peers;
    struct known_address
    {
        std::string address;
        time_point since;
    };
    std::map<vm_id, known_address> addresses;
    bool registered_known = false;
    std::deque<told_total> totals; // of the time in which reports become overdue
};

} // namespace pistachiospan::fleet

#endif
