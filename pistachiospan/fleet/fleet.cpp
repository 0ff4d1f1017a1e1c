#include "pistachiospan/fleet/fleet.hpp"

#include <algorithm>

namespace pistachiospan::fleet
{

namespace
{

constexpr std::size_t brief_fields = 11;
constexpr std::size_t whole_fields = 14;

// Bits of a report's state.
constexpr unsigned ready_bit = 1;
constexpr unsigned draining_bit = 2;

// Ages are told in milliseconds. Older than this is told as this.
constexpr std::chrono::milliseconds oldest_told{60000};

// Reports that tell a change of demand.
constexpr std::uint64_t told_times = 3;

// A VM notices that a report is overdue this much later, at most.
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

} // namespace

std::string encode(const report& from)
{
    nlohmann::json demand = nlohmann::json::object();
    for (const allowance::demand& each : from.demand)
        demand[each.account] = static_cast<float>(each.rate);
    nlohmann::json services = nlohmann::json::object();
    for (const upstreams::service_demand& each : from.services)
        services[each.service] = {static_cast<float>(each.rate), each.bound};
    nlohmann::json leaving = nlohmann::json::object();
    for (const upstreams::upstream_start& each : from.leaving)
        leaving[each.id] = each.started;
    const unsigned state =
        (from.ready ? ready_bit : 0U) | (from.draining ? draining_bit : 0U);
    const auto age = std::min(
        std::chrono::floor<std::chrono::milliseconds>(from.store_age), oldest_told);
    nlohmann::json all = {from.vm.value,
                          from.started,
                          from.sequence,
                          state,
                          from.configuration_version,
                          from.operator_change,
                          from.registry_change,
                          age.count(),
                          std::move(demand),
                          std::move(services),
                          std::move(leaving)};
    if (!from.brief)
    {
        all.push_back(from.data_centre);
        all.push_back(from.peer_address);
        all.push_back(from.caller_address);
    }
    std::string bytes;
    nlohmann::json::to_msgpack(all, bytes);
    return bytes;
}

result<report> decode(std::string_view bytes)
{
    const nlohmann::json all = nlohmann::json::from_msgpack(bytes, true, false);
    if (!all.is_array() || (all.size() != brief_fields && all.size() != whole_fields))
        return failure(errc::invalid_argument,
                       "report of a VM has another shape; run one version on all VMs");
    try
    {
        const unsigned state = all[3].get<unsigned>();
        report made{.brief = all.size() == brief_fields,
                    .vm = {all[0].get<std::string>()},
                    .started = all[1].get<incarnation>(),
                    .sequence = all[2].get<std::uint64_t>(),
                    .ready = (state & ready_bit) != 0,
                    .draining = (state & draining_bit) != 0,
                    .configuration_version = all[4].get<std::uint64_t>(),
                    .operator_change = all[5].get<std::uint64_t>(),
                    .registry_change = all[6].get<std::uint64_t>(),
                    .store_age = std::chrono::milliseconds(all[7].get<std::uint32_t>())};
        for (const auto& [account, rate] : all[8].items())
            made.demand.push_back({.account = account, .rate = rate.get<double>()});
        for (const auto& [service, figures] : all[9].items())
            made.services.push_back(
                {.service = service,
                 .rate = figures.at(0).get<double>(),
                 .bound = figures.at(1).get<std::map<std::string, double>>()});
        for (const auto& [id, started] : all[10].items())
            made.leaving.push_back({.id = id, .started = started.get<std::int64_t>()});
        if (made.brief)
            return made;
        made.data_centre = all[11].get<std::string>();
        made.peer_address = all[12].get<std::string>();
        made.caller_address = all[13].get<std::string>();
        return made;
    }
    catch (const nlohmann::json::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("report of a VM is malformed: ") + problem.what());
    }
}

membership::membership(membership_options options) : options(std::move(options)) {}

void membership::set_self(report own)
{
    this->self = own.brief ? complete(std::move(own), this->self) : std::move(own);
}

void membership::note_told(time_point now)
{
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

void membership::set_addresses(time_point now,
                               const std::map<vm_id, std::string>& registered)
{
    this->registered_known = true;
    for (const auto& [vm, address] : registered)
    {
        if (vm == this->options.self)
            continue;
        const auto known = this->addresses.emplace(vm, known_address{.since = now}).first;
        known->second.address = address;
    }
}

bool membership::is_live(time_point now, const peer& of) const
{
    return now - of.heard <= this->options.live_for;
}

membership::observation membership::observe(time_point now, report said)
{
    if (said.vm == this->options.self)
        return {};
    const vm_id name = said.vm;
    const auto known = this->peers.find(name);
    const bool older =
        known != this->peers.end() &&
        std::pair(said.started, said.sequence) <
            std::pair(known->second.said.started, known->second.said.sequence);
    if (older)
        return {};
    const bool brief = said.brief;
    if (brief)
    {
        if (known == this->peers.end() || known->second.said.started != said.started)
            return {};
        said = complete(std::move(said), known->second.said);
    }
    const bool first = known == this->peers.end();
    observation seen{.appeared = first || known->second.lost,
                     .returned = !first && known->second.overdue};
    if (!seen.appeared && !seen.returned)
        seen.change = difference(known->second.said.demand, said.demand);
    this->addresses.emplace(name, known_address{.since = now}).first->second.address =
        said.peer_address;
    peer& kept = this->peers[name];
    // Changes of demand are told several times, but some of them may have been missed.
    const bool gap = brief && said.sequence - kept.said.sequence > told_times;
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

std::vector<vm_id> membership::expire(time_point now)
{
    std::vector<vm_id> silent;
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
            each.reserved[told.account] = (1 - known->second.reserved) * part;
        }
    }
    return any;
}

std::vector<std::string> membership::peer_addresses() const
{
    std::vector<std::string> all;
    for (const auto& [name, each] : this->addresses)
        all.push_back(each.address);
    return all;
}

std::size_t membership::live_count(time_point now) const
{
    const auto live = std::ranges::count_if(this->peers, [&](const auto& each)
                                            { return this->is_live(now, each.second); });
    return static_cast<std::size_t>(live) + 1;
}

std::size_t membership::sharing_count(time_point now) const
{
    const auto shares = [this, now](const auto& each)
    {
        const auto known = this->peers.find(each.first);
        if (known != this->peers.end())
            return !known->second.overdue;
        return now - each.second.since <= this->options.live_for;
    };
    const auto others = std::ranges::count_if(this->addresses, shares);
    const auto all = static_cast<std::size_t>(others) + 1;
    return this->registered_known ? all : std::max(all, this->options.assumed_count);
}

const peer* membership::reader(time_point now, duration own_store_age) const
{
    const bool own_fresh = own_store_age <= this->options.fresh_for;
    const std::string region = this->region_of(this->options.data_centre);
    for (const auto& [name, each] : this->peers)
    {
        // The VMs are ordered by name.
        if (this->options.self < name && own_fresh)
            return nullptr;
        if (this->is_reader(now, each) &&
            this->region_of(each.said.data_centre) == region)
            return &each;
    }
    return nullptr;
}

const peer* membership::remote_reader(time_point now) const
{
    const std::string region = this->region_of(this->options.data_centre);
    for (const auto& [name, each] : this->peers)
        if (this->is_reader(now, each) &&
            this->region_of(each.said.data_centre) != region)
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

std::size_t membership::known_count() const
{
    return this->addresses.size() + 1;
}

std::map<std::string, allowance::remote_share>
membership::remote_shares(time_point now) const
{
    std::map<std::string, allowance::remote_share> shares;
    for (const auto& [name, each] : this->peers)
    {
        const bool reserved = each.overdue && !each.said.draining &&
                              now - each.heard <= this->options.reserved_for;
        if (!each.overdue)
            for (const allowance::demand& part : each.said.demand)
                shares[part.account].demand += part.rate;
        if (reserved)
            for (const auto& [account, part] : each.reserved)
                shares[account].reserved += part;
    }
    return shares;
}

std::map<std::string, upstreams::remote_demand>
membership::service_demand(time_point now) const
{
    std::map<std::string, upstreams::remote_demand> sums;
    for (const auto& [name, each] : this->peers)
    {
        if (!this->is_live(now, each))
            continue;
        for (const upstreams::service_demand& part : each.said.services)
        {
            upstreams::remote_demand& sum = sums[part.service];
            sum.free[each.said.data_centre] += part.rate;
            for (const auto& [region, rate] : part.bound)
                sum.bound[region] += rate;
        }
    }
    return sums;
}

std::string membership::region_of(const std::string& data_centre) const
{
    const auto found = this->options.regions.find(data_centre);
    return found == this->options.regions.end() ? std::string() : found->second;
}

std::vector<std::string> membership::addresses_for(time_point now,
                                                   std::string_view region,
                                                   std::string_view data_centre) const
{
    std::vector<const report*> usable;
    if (this->self.ready && !this->self.draining)
        usable.push_back(&this->self);
    for (const auto& [name, each] : this->peers)
        if (this->is_live(now, each) && each.said.ready && !each.said.draining)
            usable.push_back(&each.said);
    std::vector<std::string> here;
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const report* each : usable)
    {
        all.push_back(each->caller_address);
        if (this->region_of(each->data_centre) == region)
            near.push_back(each->caller_address);
        if (each->data_centre == data_centre)
            here.push_back(each->caller_address);
    }
    // One VM alone leaves its callers without another address when it fails.
    std::vector<std::string>& chosen =
        here.size() >= 2 ? here : (near.empty() ? all : near);
    if (chosen.size() > this->options.most_addresses)
        chosen.resize(this->options.most_addresses);
    return chosen;
}

} // namespace pistachiospan::fleet
