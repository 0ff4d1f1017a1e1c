#include "pistachiospan/cell/cell.hpp"

#include <algorithm>

namespace pistachiospan::cell
{

std::string_view name_of(role value)
{
    switch (value)
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
    const double shortfall = 1 - std::clamp(this->options.capacity, 0.0, 1.0);
    const auto delay = std::chrono::duration_cast<duration>(
        this->options.capacity_claim_delay * shortfall);
    this->start_search(now, delay);
}

void cell::become_unclaimed_coordinator(time_point now, std::uint64_t epoch)
{
    this->become_coordinator(now, epoch);
    this->unclaimed = true;
    this->claim_at = now + this->options.reclaim_interval;
}

const std::string& cell::coordinator_address() const
{
    static const std::string none;
    return this->own_role == role::member ? this->coordinator : none;
}

void cell::start_search(time_point now, duration delay)
{
    this->own_role = role::searching;
    this->lost_coordinator = std::exchange(this->coordinator, std::string());
    this->coordinator_draining = false;
    this->heard_others = false;
    this->store_failed = false;
    this->searching_since = now;
    this->claim_at = now + delay;
}

void cell::contact(time_point now, const std::string& address)
{
    if (address == this->options.peer_address)
        return;
    if (this->own_role != role::searching)
        this->start_search(now, this->options.contact_timeout);
    this->coordinator = address;
    this->claim_at = now + this->options.contact_timeout;
}

void cell::become_coordinator(time_point now, std::uint64_t epoch)
{
    this->own_role = role::coordinator;
    this->unclaimed = false;
    this->overrides_row = false;
    this->isolated = false;
    this->own_epoch = epoch;
    this->highest_epoch = std::max(this->highest_epoch, epoch);
    this->coordinator_draining = false;
    this->coordinator.clear();
    for (auto& [vm, each] : this->vms)
        each.known_since = now;
}

// The redirect also goes to silent members: they may be partitioned away together with
// the other coordinator.
void cell::yield_to(time_point now, const std::string& address, std::uint64_t epoch)
{
    this->redirect = this->redirect_to(address, epoch);
    this->highest_epoch = std::max(this->highest_epoch, epoch);
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

bool cell::is_superseded_by(std::uint64_t epoch, const std::string& address) const
{
    if (epoch != this->own_epoch)
        return epoch > this->own_epoch;
    return address < this->options.peer_address;
}

void cell::record_vm(time_point now, const fleet::vm_entry& entry)
{
    if (entry.vm == this->options.self)
        return;
    known_vm& known =
        this->vms.try_emplace(entry.vm, known_vm{.known_since = now}).first->second;
    known.entry = entry;
}

void cell::apply_digest(time_point now, const digest& incoming)
{
    this->own_role = role::member;
    this->coordinator = incoming.peer_address;
    this->coordinator_heard_at = now;
    this->highest_epoch = std::max(this->highest_epoch, incoming.coordinator.epoch);
    this->row_version = std::max(this->row_version, incoming.coordinator.epoch);
    for (const fleet::vm_entry& each : incoming.members)
        this->record_vm(now, each);
    if (!incoming.members.empty())
        std::erase_if(this->vms,
                      [&](const auto& each)
                      {
                          return std::ranges::find(incoming.members, each.first,
                                                   &fleet::vm_entry::vm) ==
                                 incoming.members.end();
                      });
    if (incoming.coordinator.draining && !std::exchange(this->coordinator_draining, true))
        this->claim_at = now + this->claim_delay();
}

bool cell::follow_redirect(time_point now, const digest& incoming)
{
    const bool better =
        this->own_role == role::coordinator
            ? this->is_superseded_by(incoming.successor_epoch, incoming.successor)
            : this->own_role == role::searching ||
                  incoming.successor_epoch > this->highest_epoch ||
                  incoming.peer_address == this->coordinator;
    if (!better || incoming.successor == this->coordinator)
        return false;
    this->highest_epoch = std::max(this->highest_epoch, incoming.successor_epoch);
    this->contact(now, incoming.successor);
    return false;
}

bool cell::observe(time_point now, const digest& incoming)
{
    if (incoming.data_centre != this->options.data_centre ||
        incoming.peer_address == this->options.peer_address)
        return false;
    this->heard_others = true;
    if (!incoming.successor.empty())
        return this->follow_redirect(now, incoming);
    const std::uint64_t epoch = incoming.coordinator.epoch;
    if (this->own_role == role::coordinator)
    {
        if (!this->is_superseded_by(epoch, incoming.peer_address))
        {
            // The other one learns of this coordinator from its digest.
            this->record_vm(now, {.vm = incoming.coordinator.vm,
                                  .peer_address = incoming.peer_address,
                                  .caller_address = incoming.coordinator.caller_address,
                                  .capacity = incoming.coordinator.capacity});
            return false;
        }
        this->redirect = this->redirect_to(incoming.peer_address, epoch);
        this->apply_digest(now, incoming);
        return true;
    }
    const bool from_rival =
        this->own_role == role::member && incoming.peer_address != this->coordinator &&
        now - this->coordinator_heard_at <= this->options.coordinator_timeout;
    if (from_rival && epoch <= this->highest_epoch && !this->coordinator_draining)
        return false;
    this->apply_digest(now, incoming);
    return true;
}

bool cell::observe(time_point now, const fleet::report& incoming)
{
    if (incoming.data_centre != this->options.data_centre ||
        incoming.vm == this->options.self)
        return false;
    this->heard_others = true;
    if (incoming.epoch > 0 && this->own_role == role::coordinator &&
        this->is_superseded_by(incoming.epoch, incoming.peer_address))
    {
        this->yield_to(now, incoming.peer_address, incoming.epoch);
        return false;
    }
    known_vm& known =
        this->vms.try_emplace(incoming.vm, known_vm{.known_since = now}).first->second;
    if (known.last_heard_at &&
        std::pair(incoming.started, incoming.sequence) <=
            std::pair(known.last_report.started, known.last_report.sequence))
        return false;
    const bool silent =
        !this->heard_within(now, known, this->options.coordinator_timeout);
    known.last_report = incoming;
    known.last_heard_at = now;
    known.entry = {.vm = incoming.vm,
                   .peer_address = incoming.peer_address,
                   .caller_address = incoming.caller_address,
                   .capacity = incoming.capacity,
                   .usable = incoming.ready && !incoming.draining};
    return silent || incoming.searching;
}

void cell::observe(time_point now, std::span<const fleet::coordinator_entry> listed)
{
    this->heard_others = this->heard_others || !listed.empty();
    for (const fleet::coordinator_entry& each : listed)
    {
        if (each.data_centre != this->options.data_centre)
            continue;
        if (each.peer_address == this->options.peer_address)
            // An earlier process of this VM.
            this->highest_epoch = std::max(this->highest_epoch, each.epoch);
        else if (this->own_role == role::coordinator &&
                 this->is_superseded_by(each.epoch, each.peer_address))
            this->yield_to(now, each.peer_address, each.epoch);
        else if (this->own_role == role::searching && this->coordinator.empty() &&
                 each.peer_address != this->lost_coordinator)
            this->contact(now, each.peer_address);
    }
}

void cell::note_disconnected(time_point now)
{
    if (this->own_role != role::member)
        return;
    const std::string address = this->coordinator;
    this->start_search(now, this->options.reconnect_timeout + this->claim_delay());
    this->coordinator = address;
}

bool cell::heard_within(time_point now, const known_vm& vm, duration span) const
{
    return vm.last_heard_at && now - *vm.last_heard_at <= span;
}

// Members claim one after the other, ordered by descending capacity, so that each one has
// its turn before the next claims.
duration cell::claim_delay() const
{
    std::size_t preceding = 0;
    for (const auto& [vm, each] : this->vms)
    {
        if (!each.entry.usable || each.entry.peer_address == this->coordinator ||
            each.entry.peer_address == this->lost_coordinator)
            continue;
        const bool precedes = each.entry.capacity != this->options.capacity
                                  ? each.entry.capacity > this->options.capacity
                                  : vm < this->options.self;
        preceding += precedes ? 1 : 0;
    }
    return this->options.claim_stagger * static_cast<std::int64_t>(preceding);
}

void cell::expire_vms(time_point now)
{
    std::erase_if(this->vms,
                  [&](const auto& each)
                  {
                      const known_vm& vm = each.second;
                      const duration silent =
                          now - vm.last_heard_at.value_or(vm.known_since);
                      // A draining VM has stopped; it is not partitioned away.
                      const duration retention = vm.last_report.draining
                                                     ? this->options.member_timeout
                                                     : this->options.member_retention;
                      return silent > retention;
                  });
}

bool cell::tick(time_point now)
{
    const role before = this->own_role;
    if (this->own_role == role::coordinator)
    {
        this->expire_vms(now);
        if (now >= this->replaced_until)
            this->replaced_holder.clear();
    }
    if (this->own_role == role::member &&
        now - this->coordinator_heard_at > this->options.coordinator_timeout)
    {
        const duration delay = this->claim_delay();
        this->start_search(now, delay);
    }
    const bool isolated = this->own_role == role::searching && !this->heard_others &&
                          (this->store_failed || !this->vms.empty()) &&
                          now - this->searching_since >= this->options.isolation_timeout;
    // The coordinator may still be alive. This lower epoch lets it take precedence when
    // this VM hears from it again.
    if (isolated)
    {
        this->become_unclaimed_coordinator(
            now, std::max<std::uint64_t>(this->highest_epoch, 2) - 1);
        this->isolated = !this->vms.empty();
    }
    return this->own_role != before;
}

bool cell::needs_claim() const
{
    switch (this->own_role)
    {
    case role::searching:
        return true;
    case role::member:
        return this->coordinator_draining;
    case role::coordinator:
        return this->unclaimed;
    }
    return false;
}

std::optional<claim> cell::begin_claim(time_point now)
{
    if (this->claim_pending || !this->needs_claim() || now < this->claim_at)
        return std::nullopt;
    // A VM that is partitioned away from the others must not take the row from them.
    const bool others = std::ranges::any_of(
        this->vms, [this](const auto& each)
        { return each.second.entry.peer_address != this->lost_coordinator; });
    if (this->own_role != role::member && others && !this->heard_others)
        return std::nullopt;
    this->claim_pending = true;
    return claim{.data_centre = this->options.data_centre,
                 .vm = this->options.self,
                 .peer_address = this->options.peer_address,
                 .expected_version = this->row_version};
}

void cell::finish_claim(time_point now, const claim_outcome& outcome)
{
    this->claim_pending = false;
    if (outcome.answered)
        this->row_version = outcome.version;
    if (!this->needs_claim())
        return;
    if (outcome.granted)
    {
        this->become_coordinator(now, outcome.version);
        this->replaced_until = now + this->options.member_retention;
        return;
    }
    if (outcome.answered && outcome.holder != this->options.self)
        this->replaced_holder = outcome.holder_address;
    if (!outcome.answered)
    {
        this->store_failed = true;
        // Nothing arbitrates without the store, but a data centre that had a coordinator
        // must still get a new one.
        if (this->own_role == role::coordinator)
            this->claim_at = now + this->options.reclaim_interval;
        else if (this->highest_epoch > 0)
            this->become_unclaimed_coordinator(now, this->highest_epoch + 1);
        else
            this->claim_at = now + this->options.store_retry_interval;
        return;
    }
    if (this->own_role == role::coordinator)
    {
        this->claim_at = now;
        if (!this->overrides_row &&
            this->is_superseded_by(outcome.version, outcome.holder_address) &&
            outcome.holder != this->options.self)
            this->yield_to(now, outcome.holder_address, outcome.version);
        return;
    }
    const std::string& departed =
        this->coordinator_draining ? this->coordinator : this->lost_coordinator;
    if (outcome.holder == this->options.self || outcome.holder_address == departed)
        this->claim_at = now;
    else if (this->coordinator_draining)
        this->claim_at = now + this->options.contact_timeout;
    else
        this->contact(now, outcome.holder_address);
}

std::vector<std::string> cell::report_addresses() const
{
    std::vector<std::string> all;
    if (!this->coordinator.empty())
        all.push_back(this->coordinator);
    if (this->own_role == role::searching)
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
    if (!this->replaced_holder.empty() &&
        std::ranges::find(all, this->replaced_holder) == all.end())
        all.push_back(this->replaced_holder);
    return all;
}

void cell::observe_row(time_point now, const std::string& holder_address)
{
    if (this->own_role != role::coordinator || this->unclaimed ||
        holder_address == this->options.peer_address)
        return;
    this->unclaimed = true;
    this->claim_at = now;
}

void cell::note_store_restored(time_point now)
{
    if (this->own_role != role::coordinator)
        return;
    this->unclaimed = true;
    this->overrides_row = true;
    this->claim_at = now;
}

std::optional<digest> cell::take_redirect()
{
    return std::exchange(this->redirect, std::nullopt);
}

std::optional<digest> cell::redirect_for(const fleet::report& requester) const
{
    if (!requester.searching || this->own_role != role::member ||
        requester.peer_address == this->coordinator)
        return std::nullopt;
    return this->redirect_to(this->coordinator, this->highest_epoch);
}

std::vector<fleet::vm_entry> cell::members(time_point now,
                                           const fleet::vm_entry& self) const
{
    std::vector<fleet::vm_entry> all = {self};
    for (const auto& [vm, each] : this->vms)
    {
        all.push_back(each.entry);
        all.back().usable = each.entry.usable &&
                            this->heard_within(now, each, this->options.member_timeout);
    }
    return all;
}

std::size_t cell::known_count() const
{
    return this->vms.size() + 1;
}

std::size_t cell::reachable_count(time_point now) const
{
    const auto count = std::ranges::count_if(this->vms,
                                             [&](const auto& each) {
                                                 return this->heard_within(
                                                     now, each.second,
                                                     this->options.coordinator_timeout);
                                             });
    return static_cast<std::size_t>(count) + 1;
}

double cell::reachable_fraction(time_point now) const
{
    return static_cast<double>(this->reachable_count(now)) /
           static_cast<double>(this->known_count());
}

std::vector<upstreams::service_demand> cell::service_demand(time_point now) const
{
    std::map<std::string, upstreams::service_demand> sums;
    for (const auto& [vm, each] : this->vms)
    {
        if (!this->heard_within(now, each, this->options.member_timeout))
            continue;
        for (const upstreams::service_demand& demand : each.last_report.services)
        {
            upstreams::service_demand& sum = sums[demand.service];
            sum.service = demand.service;
            sum.rate += demand.rate;
            for (const auto& [region, rate] : demand.regional)
                sum.regional[region] += rate;
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
        if (each.last_heard_at && !each.last_report.draining &&
            now - *each.last_heard_at + each.last_report.store_age <= max_staleness)
            return &each.last_report;
    return nullptr;
}

const fleet::report* cell::best_informed(time_point now, std::uint64_t operator_change,
                                         std::uint64_t registry_change) const
{
    const fleet::report* best = nullptr;
    for (const auto& [vm, each] : this->vms)
    {
        const bool newer = each.last_report.operator_change > operator_change ||
                           each.last_report.registry_change > registry_change;
        if (!newer || !this->heard_within(now, each, this->options.member_timeout))
            continue;
        best = &each.last_report;
        operator_change = std::max(operator_change, each.last_report.operator_change);
        registry_change = std::max(registry_change, each.last_report.registry_change);
    }
    return best;
}

} // namespace pistachiospan::cell
