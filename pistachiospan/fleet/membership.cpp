#include "pistachiospan/fleet/fleet.hpp"

#include <algorithm>

namespace pistachiospan::fleet
{

namespace
{

// Reports that tell a change of demand.
constexpr std::uint64_t told_times = 3;

// An overdue report is noticed this much later, at most.
constexpr duration totals_margin = std::chrono::seconds(1);

// A brief report with all that the one before it said and it does not repeat.
report complete(report brief, const report& before)
{
    const auto keep = [](auto& changed, const auto& known, auto name)
    {
        for (const auto& each : known)
            if (std::ranges::find(changed, each.*name, name) == changed.end())
                changed.push_back(each);
    };
    keep(brief.demand, before.demand, &allowance::demand::account);
    keep(brief.services, before.services, &upstreams::service_demand::service);
    brief.brief = false;
    brief.data_centre = before.data_centre;
    brief.peer_address = before.peer_address;
    brief.caller_address = before.caller_address;
    brief.capacity = before.capacity;
    brief.vms = before.vms;
    brief.coordinators = before.coordinators;
    return brief;
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

// Reports of one process come in order; a later process, and a coordinator of a higher
// epoch, replace what was known.
auto order_of(const report& of)
{
    return std::tuple(of.epoch, of.vm, of.started, of.sequence);
}

bool same_process(const report& one, const report& other)
{
    return one.epoch == other.epoch && one.vm == other.vm && one.started == other.started;
}

} // namespace

membership::membership(membership_options options) : options(std::move(options)) {}

void membership::note_told(time_point now, report own)
{
    this->self = own.brief ? complete(std::move(own), this->self) : std::move(own);
    if (!this->first_told)
        this->first_told = now;
    told_total made{.at = now, .accounts = this->remote_shares(now)};
    for (const allowance::demand& each : this->self.demand)
        made.accounts[each.account].demand += each.rate;
    this->totals.push_back(std::move(made));
    while (now - this->totals.front().at > this->options.overdue_after + totals_margin)
        this->totals.pop_front();
}

// The first total that takes in a report of this time; null if there is none yet.
const membership::told_total* membership::total_after(time_point heard) const
{
    const auto found = std::ranges::find_if(this->totals, [heard](const told_total& each)
                                            { return each.at > heard; });
    return found == this->totals.end() ? nullptr : &*found;
}

void membership::set_addresses(const std::map<std::string, std::string>& known)
{
    for (const auto& [data_centre, address] : known)
        if (data_centre != this->options.data_centre &&
            !this->peers.contains(data_centre))
            this->addresses[data_centre] = address;
}

bool membership::is_live(time_point now, const peer& of) const
{
    return now - of.heard <= this->options.live_for;
}

membership::observation membership::observe(time_point now, report said)
{
    const bool brief = said.brief;
    // Brief reports do not name their data centre.
    const auto known =
        std::ranges::find_if(this->peers,
                             [&](const auto& each)
                             {
                                 return brief ? same_process(each.second.said, said)
                                              : each.first == said.data_centre;
                             });
    const bool first = known == this->peers.end();
    if (brief && first)
        return {};
    if (!first && order_of(said) <= order_of(known->second.said))
        return {.replaced = !brief && said.epoch < known->second.said.epoch};
    if (!brief && said.data_centre == this->options.data_centre)
        return {};
    const std::uint64_t missed = first ? 0 : said.sequence - known->second.said.sequence;
    if (brief)
        said = complete(std::move(said), known->second.said);
    observation seen{.accepted = true,
                     .appeared = first || known->second.lost,
                     .returned = !first && known->second.overdue};
    if (!seen.appeared && !seen.returned)
        seen.change = difference(known->second.said.demand, said.demand);
    this->addresses[said.data_centre] = said.peer_address;
    peer& kept = this->peers[said.data_centre];
    // Changes of demand are told several times, but some of them may have been missed.
    const bool gap = brief && missed > told_times;
    if (!seen.returned || !gap)
    {
        kept.overdue = false;
        kept.reserved.clear();
    }
    kept.said = std::move(said);
    kept.heard = now;
    kept.lost = false;
    return seen;
}

bool membership::is_reader(time_point now, const peer& of) const
{
    return !of.said.draining &&
           now - of.heard + of.said.store_age <= this->options.fresh_for;
}

std::vector<std::string> membership::expire(time_point now)
{
    std::vector<std::string> silent;
    for (auto& [name, each] : this->peers)
    {
        if (each.lost || this->is_live(now, each))
            continue;
        each.lost = true;
        silent.push_back(name);
    }
    return silent;
}

bool membership::reserve_overdue(time_point now)
{
    bool any = false;
    for (auto& [name, each] : this->peers)
    {
        if (each.overdue || now - each.heard <= this->options.overdue_after)
            continue;
        each.overdue = true;
        any = true;
        // What has been told since does not count: the other side has not heard it.
        const told_total* total = this->total_after(each.heard);
        if (total == nullptr)
            continue;
        for (const allowance::demand& told : each.said.demand)
        {
            const auto known = total->accounts.find(told.account);
            if (known == total->accounts.end() || known->second.demand <= 0)
                continue;
            const double part = std::min(1.0, told.rate / known->second.demand);
            each.reserved[told.account] = (1 - known->second.unreachable_share) * part;
        }
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
        const bool spoke = known != this->peers.end();
        all.push_back(
            {.data_centre = data_centre,
             .peer_address = address,
             .epoch = spoke ? known->second.said.epoch : 0,
             .heard = spoke && now - known->second.heard <= this->options.overdue_after});
    }
    return all;
}

std::vector<received_report> membership::received_reports() const
{
    std::vector<received_report> all;
    for (const auto& [data_centre, each] : this->peers)
        if (!each.overdue)
            all.push_back({.data_centre = data_centre,
                           .started = each.said.started,
                           .sequence = each.said.sequence});
    return all;
}

std::uint64_t membership::confirmed_report() const
{
    std::uint64_t least = UINT64_MAX;
    for (const auto& [data_centre, each] : this->peers)
    {
        if (each.overdue)
            continue;
        const auto found = std::ranges::find(
            each.said.received, this->options.data_centre, &received_report::data_centre);
        const bool heard =
            found != each.said.received.end() && found->started == this->self.started;
        least = std::min(least, heard ? found->sequence : 0);
    }
    return least;
}

std::size_t membership::sharing_count() const
{
    const auto count = std::ranges::count_if(this->peers, [](const auto& each)
                                             { return !each.second.overdue; });
    return static_cast<std::size_t>(count) + 1;
}

double membership::unheard_part(time_point now) const
{
    const bool recent =
        !this->first_told || now - *this->first_told <= this->options.reserved_for;
    if (!recent || this->options.regions.empty())
        return 0;
    const auto unheard =
        std::ranges::count_if(this->options.regions,
                              [this](const auto& each) {
                                  return each.first != this->options.data_centre &&
                                         !this->peers.contains(each.first);
                              });
    return static_cast<double>(unheard) /
           static_cast<double>(this->options.regions.size());
}

double membership::heard_part(double own_part) const
{
    double heard = own_part;
    for (const auto& [data_centre, each] : this->peers)
        heard += each.overdue ? 0 : each.said.heard_part;
    const std::size_t all =
        std::max(this->options.regions.size(), this->peers.size() + 1);
    return heard / static_cast<double>(all);
}

std::size_t membership::vm_count() const
{
    std::size_t count = 0;
    for (const auto& [data_centre, each] : this->peers)
        count += each.said.vms.size();
    return count;
}

const peer* membership::reader(time_point now, duration own_store_age) const
{
    const bool own_fresh = own_store_age <= this->options.fresh_for;
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
        const bool more = each.said.operator_change > operator_change ||
                          each.said.registry_change > registry_change;
        if (!more || !this->is_live(now, each))
            continue;
        best = &each;
        operator_change = std::max(operator_change, each.said.operator_change);
        registry_change = std::max(registry_change, each.said.registry_change);
    }
    return best;
}

std::map<std::string, allowance::remote_usage>
membership::remote_shares(time_point now) const
{
    std::map<std::string, allowance::remote_usage> shares;
    for (const auto& [name, each] : this->peers)
    {
        const bool reserved = each.overdue && !each.said.draining &&
                              now - each.heard <= this->options.reserved_for;
        if (!each.overdue)
            for (const allowance::demand& part : each.said.demand)
                shares[part.account].demand += part.rate;
        if (reserved)
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
        for (const upstreams::service_demand& part : each.said.services)
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
        if (!this->is_live(now, each))
            continue;
        for (const vm_entry& vm : each.said.vms)
            if (vm.usable)
                list.push_back(vm.caller_address);
    }
    return lists;
}

std::string membership::region_of(const std::string& data_centre) const
{
    const auto found = this->options.regions.find(data_centre);
    return found == this->options.regions.end() ? std::string() : found->second;
}

} // namespace pistachiospan::fleet
