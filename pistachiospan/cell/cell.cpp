#include "pistachiospan/cell/cell.hpp"

#include <algorithm>

namespace pistachiospan::cell
{

std::string_view name_of(role which)
{
    switch (which)
    {
    case role::searching:
        return "searching";
    case role::member:
        return "member";
    case role::coordinator:
        return "coordinator";
    }
    return "unknown";
}

cell::cell(cell_options options, time_point now) : options(std::move(options))
{
    const double missing = 1 - std::clamp(this->options.capacity, 0.0, 1.0);
    const auto step = std::chrono::duration_cast<duration>(
        this->options.capacity_claim_delay * missing);
    this->search(now, step);
}

void cell::coordinate_unclaimed(time_point now, std::uint64_t epoch)
{
    this->coordinate(now, epoch);
    this->unclaimed = true;
    this->claim_at = now + this->options.reclaim_interval;
}

const std::string& cell::coordinator_address() const
{
    static const std::string none;
    return this->position == role::member ? this->coordinator : none;
}

void cell::search(time_point now, duration delay)
{
    this->position = role::searching;
    this->lost = std::exchange(this->coordinator, std::string());
    this->leaving = false;
    this->heard_others = false;
    this->store_failed = false;
    this->searching_since = now;
    this->claim_at = now + delay;
}

void cell::contact(time_point now, const std::string& address)
{
    if (address == this->options.peer_address)
        return;
    if (this->position != role::searching)
        this->search(now, this->options.contact_timeout);
    this->coordinator = address;
    this->claim_at = now + this->options.contact_timeout;
}

void cell::coordinate(time_point now, std::uint64_t epoch)
{
    this->position = role::coordinator;
    this->unclaimed = false;
    this->solitary = false;
    this->own_epoch = epoch;
    this->seen_epoch = std::max(this->seen_epoch, epoch);
    this->leaving = false;
    this->coordinator.clear();
    for (auto& [vm, each] : this->vms)
        each.since = now;
}

// Members that are not heard may be cut off with the other coordinator; they are told
// where it is.
void cell::yield_to(time_point now, const std::string& address, std::uint64_t epoch)
{
    this->redirect = this->redirect_to(address, epoch);
    this->seen_epoch = std::max(this->seen_epoch, epoch);
    this->contact(now, address);
}

digest cell::redirect_to(const std::string& address, std::uint64_t epoch) const
{
    return {.coordinator = {.vm = this->options.self, .started = this->options.started},
            .data_centre = this->options.data_centre,
            .peer_address = this->options.peer_address,
            .successor = address,
            .successor_epoch = epoch};
}

bool cell::yields(std::uint64_t epoch, const std::string& address) const
{
    if (epoch != this->own_epoch)
        return epoch > this->own_epoch;
    return address < this->options.peer_address;
}

void cell::remember(time_point now, const fleet::vm_entry& entry)
{
    if (entry.vm == this->options.self)
        return;
    known_vm& known =
        this->vms.try_emplace(entry.vm, known_vm{.since = now}).first->second;
    known.entry = entry;
}

void cell::follow(time_point now, const digest& said)
{
    this->position = role::member;
    this->coordinator = said.peer_address;
    this->heard = now;
    this->seen_epoch = std::max(this->seen_epoch, said.coordinator.epoch);
    this->row_version = std::max(this->row_version, said.coordinator.epoch);
    for (const fleet::vm_entry& each : said.members)
        this->remember(now, each);
    if (!said.members.empty())
        std::erase_if(this->vms,
                      [&](const auto& each)
                      {
                          return std::ranges::find(said.members, each.first,
                                                   &fleet::vm_entry::vm) ==
                                 said.members.end();
                      });
    if (said.coordinator.draining && !std::exchange(this->leaving, true))
        this->claim_at = now + this->claim_delay();
}

bool cell::follow_redirect(time_point now, const digest& said)
{
    const bool better = this->position == role::coordinator
                            ? this->yields(said.successor_epoch, said.successor)
                            : this->position == role::searching ||
                                  said.successor_epoch > this->seen_epoch ||
                                  said.peer_address == this->coordinator;
    if (!better || said.successor == this->coordinator)
        return false;
    this->seen_epoch = std::max(this->seen_epoch, said.successor_epoch);
    this->contact(now, said.successor);
    return false;
}

bool cell::observe(time_point now, const digest& said)
{
    if (said.data_centre != this->options.data_centre ||
        said.peer_address == this->options.peer_address)
        return false;
    this->heard_others = true;
    if (!said.successor.empty())
        return this->follow_redirect(now, said);
    const std::uint64_t epoch = said.coordinator.epoch;
    if (this->position == role::coordinator)
    {
        if (!this->yields(epoch, said.peer_address))
        {
            // It hears of this one by its digest.
            this->remember(now, {.vm = said.coordinator.vm,
                                 .peer_address = said.peer_address,
                                 .caller_address = said.coordinator.caller_address,
                                 .capacity = said.coordinator.capacity});
            return false;
        }
        this->redirect = this->redirect_to(said.peer_address, epoch);
        this->follow(now, said);
        return true;
    }
    const bool other = this->position == role::member &&
                       said.peer_address != this->coordinator &&
                       now - this->heard <= this->options.coordinator_timeout;
    if (other && epoch <= this->seen_epoch && !this->leaving)
        return false;
    this->follow(now, said);
    return true;
}

bool cell::observe(time_point now, const fleet::report& said)
{
    if (said.data_centre != this->options.data_centre || said.vm == this->options.self)
        return false;
    this->heard_others = true;
    if (said.epoch > 0 && this->position == role::coordinator &&
        this->yields(said.epoch, said.peer_address))
    {
        this->yield_to(now, said.peer_address, said.epoch);
        return false;
    }
    known_vm& known =
        this->vms.try_emplace(said.vm, known_vm{.since = now}).first->second;
    if (known.heard && std::pair(said.started, said.sequence) <=
                           std::pair(known.said.started, known.said.sequence))
        return false;
    const bool silent = !this->is_heard(now, known, this->options.coordinator_timeout);
    known.said = said;
    known.heard = now;
    known.entry = {.vm = said.vm,
                   .peer_address = said.peer_address,
                   .caller_address = said.caller_address,
                   .capacity = said.capacity,
                   .usable = said.ready && !said.draining};
    return silent || said.searching;
}

void cell::observe(time_point now, std::span<const fleet::coordinator_entry> told)
{
    this->heard_others = this->heard_others || !told.empty();
    for (const fleet::coordinator_entry& each : told)
    {
        if (each.data_centre != this->options.data_centre)
            continue;
        if (each.peer_address == this->options.peer_address)
            // This VM, before it started again.
            this->seen_epoch = std::max(this->seen_epoch, each.epoch);
        else if (this->position == role::coordinator &&
                 this->yields(each.epoch, each.peer_address))
            this->yield_to(now, each.peer_address, each.epoch);
        else if (this->position == role::searching && this->coordinator.empty() &&
                 each.peer_address != this->lost)
            this->contact(now, each.peer_address);
    }
}

void cell::note_disconnected(time_point now)
{
    if (this->position != role::member)
        return;
    const std::string address = this->coordinator;
    this->search(now, this->options.reconnect_timeout + this->claim_delay());
    this->coordinator = address;
}

bool cell::is_heard(time_point now, const known_vm& of, duration within) const
{
    return of.heard && now - *of.heard <= within;
}

// The members claim one after the other, the largest first: of those after which a VM
// comes, each had its turn.
duration cell::claim_delay() const
{
    std::size_t before = 0;
    for (const auto& [vm, each] : this->vms)
    {
        if (!each.entry.usable || each.entry.peer_address == this->coordinator ||
            each.entry.peer_address == this->lost)
            continue;
        const bool first = each.entry.capacity != this->options.capacity
                               ? each.entry.capacity > this->options.capacity
                               : vm < this->options.self;
        before += first ? 1 : 0;
    }
    return this->options.claim_stagger * static_cast<std::int64_t>(before);
}

void cell::forget(time_point now)
{
    std::erase_if(this->vms,
                  [&](const auto& each)
                  {
                      const known_vm& vm = each.second;
                      const duration silent = now - vm.heard.value_or(vm.since);
                      // One that said that it stops is not cut off.
                      const duration most = vm.said.draining
                                                ? this->options.member_timeout
                                                : this->options.member_retention;
                      return silent > most;
                  });
}

bool cell::tick(time_point now)
{
    const role before = this->position;
    if (this->position == role::coordinator)
        this->forget(now);
    if (this->position == role::member &&
        now - this->heard > this->options.coordinator_timeout)
    {
        const duration delay = this->claim_delay();
        this->search(now, delay);
    }
    const bool alone = this->position == role::searching && !this->heard_others &&
                       (this->store_failed || !this->vms.empty()) &&
                       now - this->searching_since >= this->options.isolation_timeout;
    // The coordinator may still be there: it stays when this VM hears of it again.
    if (alone)
    {
        this->coordinate_unclaimed(now, std::max<std::uint64_t>(this->seen_epoch, 2) - 1);
        this->solitary = !this->vms.empty();
    }
    return this->position != before;
}

bool cell::needs_claim() const
{
    switch (this->position)
    {
    case role::searching:
        return true;
    case role::member:
        return this->leaving;
    case role::coordinator:
        return this->unclaimed;
    }
    return false;
}

std::optional<claim> cell::begin_claim(time_point now)
{
    if (this->claiming || !this->needs_claim() || now < this->claim_at)
        return std::nullopt;
    // A VM that is cut off from the others must not take the row from them.
    const bool others =
        std::ranges::any_of(this->vms, [this](const auto& each)
                            { return each.second.entry.peer_address != this->lost; });
    if (this->position != role::member && others && !this->heard_others)
        return std::nullopt;
    this->claiming = true;
    return claim{.data_centre = this->options.data_centre,
                 .vm = this->options.self,
                 .peer_address = this->options.peer_address,
                 .expected_version = this->row_version};
}

void cell::finish_claim(time_point now, const claim_outcome& got)
{
    this->claiming = false;
    if (got.answered)
        this->row_version = got.version;
    if (!this->needs_claim())
        return;
    if (got.granted)
    {
        this->coordinate(now, got.version);
        return;
    }
    if (!got.answered)
    {
        this->store_failed = true;
        // Without the store nobody arbitrates, and a data centre that had a coordinator
        // gets one all the same.
        if (this->position == role::coordinator)
            this->claim_at = now + this->options.reclaim_interval;
        else if (this->seen_epoch > 0)
            this->coordinate_unclaimed(now, this->seen_epoch + 1);
        else
            this->claim_at = now + this->options.store_retry_interval;
        return;
    }
    if (this->position == role::coordinator)
    {
        this->claim_at = now;
        if (this->yields(got.version, got.holder_address) &&
            got.holder != this->options.self)
            this->yield_to(now, got.holder_address, got.version);
        return;
    }
    const std::string& gone = this->leaving ? this->coordinator : this->lost;
    if (got.holder == this->options.self || got.holder_address == gone)
        this->claim_at = now;
    else if (this->leaving)
        this->claim_at = now + this->options.contact_timeout;
    else
        this->contact(now, got.holder_address);
}

std::vector<std::string> cell::report_addresses() const
{
    std::vector<std::string> all;
    if (!this->coordinator.empty())
        all.push_back(this->coordinator);
    if (this->position == role::searching)
        for (const auto& [vm, each] : this->vms)
            if (each.entry.peer_address != this->coordinator)
                all.push_back(each.entry.peer_address);
    return all;
}

std::vector<std::string> cell::member_addresses() const
{
    std::vector<std::string> all;
    for (const auto& [vm, each] : this->vms)
        all.push_back(each.entry.peer_address);
    return all;
}

std::optional<digest> cell::take_redirect()
{
    return std::exchange(this->redirect, std::nullopt);
}

std::optional<digest> cell::redirect_for(const fleet::report& asker) const
{
    if (!asker.searching || this->position != role::member ||
        asker.peer_address == this->coordinator)
        return std::nullopt;
    return this->redirect_to(this->coordinator, this->seen_epoch);
}

std::vector<fleet::vm_entry> cell::members(time_point now,
                                           const fleet::vm_entry& own) const
{
    std::vector<fleet::vm_entry> all = {own};
    for (const auto& [vm, each] : this->vms)
    {
        all.push_back(each.entry);
        all.back().usable =
            each.entry.usable && this->is_heard(now, each, this->options.member_timeout);
    }
    return all;
}

std::size_t cell::known_count() const
{
    return this->vms.size() + 1;
}

std::size_t cell::heard_count(time_point now) const
{
    const auto count = std::ranges::count_if(
        this->vms, [&](const auto& each)
        { return this->is_heard(now, each.second, this->options.coordinator_timeout); });
    return static_cast<std::size_t>(count) + 1;
}

double cell::reachable_fraction(time_point now) const
{
    return static_cast<double>(this->heard_count(now)) /
           static_cast<double>(this->known_count());
}

std::vector<upstreams::service_demand> cell::service_demand(time_point now) const
{
    std::map<std::string, upstreams::service_demand> sums;
    for (const auto& [vm, each] : this->vms)
    {
        if (!this->is_heard(now, each, this->options.member_timeout))
            continue;
        for (const upstreams::service_demand& part : each.said.services)
        {
            upstreams::service_demand& sum = sums[part.service];
            sum.service = part.service;
            sum.rate += part.rate;
            for (const auto& [region, rate] : part.bound)
                sum.bound[region] += rate;
        }
    }
    std::vector<upstreams::service_demand> all;
    all.reserve(sums.size());
    for (auto& [service, sum] : sums)
        all.push_back(std::move(sum));
    return all;
}

const fleet::report* cell::reader(time_point now, duration max_staleness) const
{
    for (const auto& [vm, each] : this->vms)
        if (each.heard && !each.said.draining &&
            now - *each.heard + each.said.store_age <= max_staleness)
            return &each.said;
    return nullptr;
}

const fleet::report* cell::best_informed(time_point now, std::uint64_t operator_change,
                                         std::uint64_t registry_change) const
{
    const fleet::report* best = nullptr;
    for (const auto& [vm, each] : this->vms)
    {
        const bool more = each.said.operator_change > operator_change ||
                          each.said.registry_change > registry_change;
        if (!more || !this->is_heard(now, each, this->options.member_timeout))
            continue;
        best = &each.said;
        operator_change = std::max(operator_change, each.said.operator_change);
        registry_change = std::max(registry_change, each.said.registry_change);
    }
    return best;
}

} // namespace pistachiospan::cell
