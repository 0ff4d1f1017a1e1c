#include "pistachiospan/fleet/fleet.hpp"

#include <algorithm>
#include <utility>

namespace pistachiospan::fleet
{

namespace
{

// Number of consecutive reports that carry a change of demand.
constexpr std::uint64_t demand_change_repeats = 3;

// Upper bound on how late an overdue report is noticed.
constexpr duration snapshot_margin = std::chrono::seconds(1);

// Fills the fields that a delta report leaves out from the report before it.
report complete(report delta, const report& before)
{
    const auto keep = [](auto& changed, const auto& known, auto name)
    {
        for (const auto& each : known)
            if (std::ranges::find(changed, each.*name, name) == changed.end())
                changed.push_back(each);
    };
    keep(delta.demand, before.demand, &allowance::demand::account);
    keep(delta.services, before.services, &upstreams::service_demand::service);
    delta.delta = false;
    delta.data_centre = before.data_centre;
    delta.peer_address = before.peer_address;
    delta.caller_address = before.caller_address;
    delta.capacity = before.capacity;
    delta.vms = before.vms;
    delta.coordinators = before.coordinators;
    return delta;
}

std::vector<allowance::demand> difference(const std::vector<allowance::demand>& before,
                                          const std::vector<allowance::demand>& after)
{
    std::map<std::string, double> rates;
    for (const allowance::demand& each : after)
        rates[each.account] += each.rate;
    for (const allowance::demand& each : before)
        rates[each.account] -= each.rate;
    std::vector<allowance::demand> change;
    change.reserve(rates.size());
    for (const auto& [account, rate] : rates)
        change.push_back({.account = account, .rate = rate});
    return change;
}

// Orders reports of one data centre: by sequence number within a process; reports of a
// later process or of a coordinator with a higher epoch supersede earlier ones.
auto order_of(const report& value)
{
    return std::tuple(value.epoch, value.vm, value.started, value.sequence);
}

bool same_process(const report& one, const report& other)
{
    return one.epoch == other.epoch && one.vm == other.vm && one.started == other.started;
}

} // namespace

membership::membership(membership_options options) : options(std::move(options)) {}

// The demand of all data centres as reported so far, this one included.
membership::demand_snapshot membership::present_demand(time_point now) const
{
    demand_snapshot snapshot{.at = now, .accounts = this->remote_shares(now)};
    for (const allowance::demand& each : this->last_sent_report.demand)
        snapshot.accounts[each.account].demand += each.rate;
    return snapshot;
}

void membership::note_sent_report(time_point now, report sent)
{
    this->last_sent_report =
        sent.delta ? complete(std::move(sent), this->last_sent_report) : std::move(sent);
    if (!this->first_sent_at)
        this->first_sent_at = now;
    this->demand_snapshots.push_back(this->present_demand(now));
    while (now - this->demand_snapshots.front().at >
           this->options.overdue_after + snapshot_margin)
        this->demand_snapshots.pop_front();
}

// The shares that a data centre with this demand of its own had by the snapshot.
membership::account_shares membership::shares_by(const demand_snapshot& reported,
                                                 std::span<const allowance::demand> own)
{
    account_shares shares;
    for (const allowance::demand& each : own)
    {
        const auto known = reported.accounts.find(each.account);
        if (known == reported.accounts.end() || known->second.demand <= 0)
            continue;
        const double part = std::min(1.0, each.rate / known->second.demand);
        shares[each.account] = std::max(0.0, 1 - known->second.unreachable_share) * part;
    }
    return shares;
}

// Reserves the part of the data centre's shares that its VMs had which have fallen
// silent, and releases that of VMs that are heard of again.
void membership::set_heard_fraction(peer& other, double fraction,
                                    const account_shares& shares)
{
    const double before = std::exchange(other.heard_fraction, fraction);
    if (fraction > before)
    {
        const double still_silent = (1 - fraction) / (1 - before);
        for (auto& [account, share] : other.reserved)
            share *= still_silent;
        other.undiscovered *= still_silent;
    }
    if (fraction >= 1)
        other.reserved.clear();
    if (fraction >= before)
        return;
    const double fallen_silent = (before - fraction) / before;
    for (const auto& [account, share] : shares)
        other.reserved[account] += share * fallen_silent;
}

// What the data centre had reported when the snapshot was taken; null if nothing.
const timed_demand* membership::reported_before(const peer& other,
                                                const demand_snapshot& snapshot)
{
    const auto later =
        std::ranges::find_if(other.recent_demand, [&snapshot](const timed_demand& each)
                             { return each.at >= snapshot.at; });
    return later == other.recent_demand.begin() ? nullptr : &*std::prev(later);
}

// VMs are found silent some time after they were last heard of, and demand may have moved
// since. What counts is the share that they had before: they use a part of it.
void membership::apply_reported_fraction(time_point now, peer& other, double fraction)
{
    for (const demand_snapshot& each : this->demand_snapshots)
        if (const timed_demand* own = reported_before(other, each))
        {
            set_heard_fraction(other, fraction, shares_by(each, own->accounts));
            return;
        }
    set_heard_fraction(other, fraction,
                       shares_by(this->present_demand(now), other.last_report.demand));
}

// The shares that a data centre had when it was last heard of. What it knew then lies
// between the snapshots before and after: reports that were sent at that time may or may
// not have reached it. It may use the larger one of both shares.
membership::account_shares membership::shares_when_heard(const peer& silent) const
{
    const auto after = std::ranges::find_if(this->demand_snapshots,
                                            [&silent](const demand_snapshot& each)
                                            { return each.at > silent.last_heard_at; });
    account_shares largest;
    const auto add = [&](const demand_snapshot& snapshot)
    {
        const timed_demand* own = reported_before(silent, snapshot);
        if (own == nullptr)
            return;
        for (const auto& [account, share] : shares_by(snapshot, own->accounts))
            largest[account] = std::max(largest[account], share);
    };
    if (after != this->demand_snapshots.begin())
        add(*std::prev(after));
    if (after != this->demand_snapshots.end())
        add(*after);
    return largest;
}

void membership::set_addresses(const std::map<std::string, std::string>& known)
{
    for (const auto& [data_centre, address] : known)
        if (data_centre != this->options.data_centre &&
            !this->peers.contains(data_centre))
            this->addresses[data_centre] = address;
}

bool membership::is_live(time_point now, const peer& other) const
{
    return now - other.last_heard_at <= this->options.liveness_timeout;
}

membership::observation membership::observe(time_point now, report incoming)
{
    const bool delta = incoming.delta;
    // Delta reports do not contain the data centre.
    const auto known = std::ranges::find_if(
        this->peers,
        [&](const auto& each)
        {
            return delta ? same_process(each.second.last_report, incoming)
                         : each.first == incoming.data_centre;
        });
    const bool first = known == this->peers.end();
    if (delta && first)
        return {};
    if (!first && order_of(incoming) <= order_of(known->second.last_report))
        return {.replaced = !delta && incoming.epoch < known->second.last_report.epoch};
    if (!delta && incoming.data_centre == this->options.data_centre)
        return {};
    const std::uint64_t advance =
        first ? 0 : incoming.sequence - known->second.last_report.sequence;
    if (delta)
        incoming = complete(std::move(incoming), known->second.last_report);
    observation outcome{.accepted = true,
                        .new_process =
                            first || !same_process(known->second.last_report, incoming),
                        .appeared = first || known->second.expired,
                        .returned = !first && known->second.overdue};
    if (!outcome.appeared && !outcome.returned)
        outcome.demand_change =
            difference(known->second.last_report.demand, incoming.demand);
    this->addresses[incoming.data_centre] = incoming.peer_address;
    peer& entry = this->peers[incoming.data_centre];
    if (first)
    {
        entry.heard_fraction = incoming.reachable_fraction;
        entry.undiscovered = 1 - incoming.reachable_fraction;
    }
    // Each change of demand is sent in several reports, but some changes may have been
    // missed altogether.
    const bool missed_changes = delta && advance > demand_change_repeats;
    if (!outcome.returned || !missed_changes)
    {
        entry.overdue = false;
        this->apply_reported_fraction(now, entry, incoming.reachable_fraction);
    }
    entry.last_report = std::move(incoming);
    entry.last_heard_at = now;
    entry.recent_demand.push_back({.at = now, .accounts = entry.last_report.demand});
    while (now - entry.recent_demand.front().at >
           this->options.overdue_after + snapshot_margin)
        entry.recent_demand.pop_front();
    entry.expired = false;
    return outcome;
}

bool membership::is_reader(time_point now, const peer& other) const
{
    return !other.last_report.draining &&
           now - other.last_heard_at + other.last_report.store_age <=
               this->options.max_staleness;
}

std::vector<std::string> membership::expire(time_point now)
{
    std::vector<std::string> silent;
    for (auto& [name, each] : this->peers)
    {
        if (each.expired || this->is_live(now, each))
            continue;
        each.expired = true;
        silent.push_back(name);
    }
    return silent;
}

bool membership::reserve_overdue(time_point now)
{
    bool any = false;
    for (auto& [name, each] : this->peers)
    {
        if (each.overdue || now - each.last_heard_at <= this->options.overdue_after)
            continue;
        each.overdue = true;
        any = true;
        // Demand reported since does not count: the other side has not received it.
        set_heard_fraction(each, 0, this->shares_when_heard(each));
    }
    return any;
}

std::vector<std::string> membership::peer_addresses() const
{
    std::vector<std::string> all;
    for (const auto& [data_centre, address] : this->addresses)
        all.push_back(address);
    return all;
}

std::vector<coordinator_entry> membership::coordinators(time_point now) const
{
    std::vector<coordinator_entry> all;
    for (const auto& [data_centre, address] : this->addresses)
    {
        const auto known = this->peers.find(data_centre);
        const bool has_reported = known != this->peers.end();
        all.push_back({.data_centre = data_centre,
                       .peer_address = address,
                       .epoch = has_reported ? known->second.last_report.epoch : 0,
                       .reachable = has_reported && now - known->second.last_heard_at <=
                                                        this->options.overdue_after});
    }
    return all;
}

std::vector<received_report> membership::received_reports() const
{
    std::vector<received_report> all;
    for (const auto& [data_centre, each] : this->peers)
        if (!each.overdue)
            all.push_back({.data_centre = data_centre,
                           .started = each.last_report.started,
                           .sequence = each.last_report.sequence});
    return all;
}

std::uint64_t membership::confirmed_report() const
{
    std::uint64_t least = UINT64_MAX;
    for (const auto& [data_centre, each] : this->peers)
    {
        if (each.overdue)
            continue;
        const auto found =
            std::ranges::find(each.last_report.received, this->options.data_centre,
                              &received_report::data_centre);
        const bool acknowledged = found != each.last_report.received.end() &&
                                  found->started == this->last_sent_report.started;
        least = std::min(least, acknowledged ? found->sequence : 0);
    }
    return least;
}

std::size_t membership::sharing_count() const
{
    const auto count = std::ranges::count_if(this->peers, [](const auto& each)
                                             { return !each.second.overdue; });
    return static_cast<std::size_t>(count) + 1;
}

double membership::undiscovered_fraction(time_point now) const
{
    const bool recent = !this->first_sent_at ||
                        now - *this->first_sent_at <= this->options.reservation_time;
    if (!recent || this->options.regions.empty())
        return 0;
    double undiscovered = 0;
    for (const auto& [data_centre, region] : this->options.regions)
    {
        const auto known = this->peers.find(data_centre);
        if (known != this->peers.end())
            undiscovered += known->second.undiscovered;
        else if (data_centre != this->options.data_centre)
            undiscovered += 1;
    }
    return undiscovered / static_cast<double>(this->options.regions.size());
}

double membership::reachable_fraction(double own_fraction) const
{
    double reachable = own_fraction;
    for (const auto& [data_centre, each] : this->peers)
        reachable += each.overdue ? 0 : each.last_report.reachable_fraction;
    const std::size_t all =
        std::max(this->options.regions.size(), this->peers.size() + 1);
    return reachable / static_cast<double>(all);
}

std::size_t membership::vm_count(std::size_t assumed) const
{
    std::size_t count = 0;
    for (const auto& [data_centre, each] : this->peers)
        count += each.last_report.vms.size();
    for (const auto& [data_centre, region] : this->options.regions)
        if (data_centre != this->options.data_centre &&
            !this->peers.contains(data_centre))
            count += assumed;
    return count;
}

const peer* membership::reader(time_point now, duration own_store_age) const
{
    const bool own_fresh = own_store_age <= this->options.max_staleness;
    const std::string region = this->region_of(this->options.data_centre);
    for (const auto& [data_centre, each] : this->peers)
    {
        if (this->options.data_centre < data_centre && own_fresh)
            return nullptr;
        if (this->is_reader(now, each) && this->region_of(data_centre) == region)
            return &each;
    }
    return nullptr;
}

const peer* membership::remote_reader(time_point now) const
{
    const std::string region = this->region_of(this->options.data_centre);
    for (const auto& [data_centre, each] : this->peers)
        if (this->is_reader(now, each) && this->region_of(data_centre) != region)
            return &each;
    return nullptr;
}

const peer* membership::best_informed(time_point now, std::uint64_t operator_change,
                                      std::uint64_t registry_change) const
{
    const peer* best = nullptr;
    for (const auto& [name, each] : this->peers)
    {
        const bool more = each.last_report.operator_change > operator_change ||
                          each.last_report.registry_change > registry_change;
        if (!more || !this->is_live(now, each))
            continue;
        best = &each;
        operator_change = std::max(operator_change, each.last_report.operator_change);
        registry_change = std::max(registry_change, each.last_report.registry_change);
    }
    return best;
}

std::map<std::string, allowance::remote_usage>
membership::remote_shares(time_point now) const
{
    std::map<std::string, allowance::remote_usage> shares;
    for (const auto& [name, each] : this->peers)
    {
        const bool is_gone =
            each.overdue && (each.last_report.draining ||
                             now - each.last_heard_at > this->options.reservation_time);
        if (!each.overdue)
            for (const allowance::demand& part : each.last_report.demand)
                shares[part.account].demand += part.rate;
        if (!is_gone)
            for (const auto& [account, part] : each.reserved)
                shares[account].unreachable_share += part;
    }
    return shares;
}

std::map<std::string, upstreams::remote_demand>
membership::service_demand(time_point now) const
{
    std::map<std::string, upstreams::remote_demand> sums;
    for (const auto& [data_centre, each] : this->peers)
    {
        if (!this->is_live(now, each))
            continue;
        for (const upstreams::service_demand& part : each.last_report.services)
        {
            upstreams::remote_demand& sum = sums[part.service];
            sum.unrestricted[data_centre] += part.rate;
            for (const auto& [region, rate] : part.regional)
                sum.regional[region] += rate;
        }
    }
    return sums;
}

address_lists membership::caller_addresses(time_point now) const
{
    address_lists lists;
    for (const auto& [data_centre, each] : this->peers)
    {
        std::vector<std::string>& list = lists[data_centre];
        if (this->is_live(now, each))
            list = usable_addresses(each.last_report.vms);
    }
    return lists;
}

std::string membership::region_of(const std::string& data_centre) const
{
    const auto found = this->options.regions.find(data_centre);
    return found == this->options.regions.end() ? std::string() : found->second;
}

} // namespace pistachiospan::fleet
