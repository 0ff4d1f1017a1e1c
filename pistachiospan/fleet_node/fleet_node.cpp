#include "pistachiospan/fleet_node/fleet_node.hpp"

#include <algorithm>

namespace pistachiospan::fleet_node
{

namespace
{

// One in this many reports of a coordinator is a full report.
constexpr std::uint64_t full_report_interval = 6;
// One in this many digests contains the lists of VMs and coordinators.
constexpr std::uint64_t lists_interval = 12;
// One in this many digests contains the plans.
constexpr std::uint64_t plans_interval = 2;
constexpr duration coordinator_read_interval = std::chrono::seconds(60);
constexpr duration coordinator_read_retry = std::chrono::seconds(1);
// Number of VMs assumed until the first count is known. High, so that this VM's share of
// the rates is not too large.
constexpr std::size_t assumed_vm_count = 10000;
// A coordinator that has just started has heard all its members by then.
constexpr duration count_settling_time = std::chrono::milliseconds(1500);

} // namespace

node::node(time_point now, node_options options, node_hooks hooks)
    : options(std::move(options)), hooks(std::move(hooks)),
      local_cell({.self = this->options.vm,
                  .started = this->options.started,
                  .data_centre = this->options.data_centre,
                  .peer_address = this->options.peer_address,
                  .capacity = this->options.capacity},
                 now),
      membership(
          {.data_centre = this->options.data_centre, .regions = this->options.places}),
      tokens({.data_centres = this->options.places.size()}, this->account_token_hooks()),
      // A VM that has just started does not know yet which upstreams have limits.
      upstream_tokens(
          {.data_centres = this->options.places.size(), .admits_unknown = false},
          this->upstream_token_hooks()),
      loads(this->options.started, this->load_hooks()), coordinator_read_at(now),
      started_at(now)
{
}

void node::send(char kind, std::string_view bytes, std::span<const std::string> addresses)
{
    if (!addresses.empty())
        this->hooks.send(std::string(1, kind).append(bytes), addresses);
}

fleet::vm_entry node::own_entry(const own_state& state) const
{
    return {.vm = this->options.vm,
            .peer_address = this->options.peer_address,
            .caller_address = this->options.caller_address,
            .capacity = this->options.capacity,
            .usable = state.ready && !state.draining};
}

fleet::report node::make_report(time_point now) const
{
    const own_state state = this->hooks.state(now);
    return {.vm = this->options.vm,
            .started = this->options.started,
            .sequence = this->sequence,
            .searching = this->local_cell.current_role() == cell::role::searching,
            .data_centre = this->options.data_centre,
            .peer_address = this->options.peer_address,
            .caller_address = this->options.caller_address,
            .capacity = this->options.capacity,
            .ready = state.ready,
            .draining = state.draining,
            .configuration_version = state.configuration_version,
            .operator_change = state.operator_change,
            .registry_change = state.registry_change,
            .store_age = state.store_age,
            .services = this->hooks.services(now),
            .leaving_upstreams = state.leaving_upstreams};
}

// The report on the data centre, without demand by account: the ledger counts demand that
// it hands out for a report as reported.
fleet::report node::make_coordinator_report(time_point now, bool full)
{
    fleet::report report = this->make_report(now);
    report.delta = !full;
    report.epoch = this->local_cell.epoch();
    report.reachable_fraction = this->local_cell.reachable_fraction(now);
    report.received = this->membership.received_reports();
    report.vms = this->local_cell.members(now, this->own_entry(this->hooks.state(now)));
    report.coordinators = this->membership.coordinators(now);
    report.coordinators.push_back({.data_centre = this->options.data_centre,
                                   .peer_address = this->options.peer_address,
                                   .epoch = this->local_cell.epoch(),
                                   .reachable = true});
    for (const upstreams::service_demand& each : this->local_cell.service_demand(now))
    {
        const auto known = std::ranges::find(report.services, each.service,
                                             &upstreams::service_demand::service);
        if (known == report.services.end())
        {
            report.services.push_back(each);
            continue;
        }
        known->rate += each.rate;
        for (const auto& [region, rate] : each.regional)
            known->regional[region] += rate;
    }
    return report;
}

cell::digest node::make_digest(time_point now, const fleet::report& coordinator_report,
                               audience to)
{
    cell::digest digest{.coordinator = coordinator_report,
                        .data_centre = this->options.data_centre,
                        .peer_address = this->options.peer_address,
                        .operator_change = coordinator_report.operator_change,
                        .registry_change = coordinator_report.registry_change,
                        .configuration_version = coordinator_report.configuration_version,
                        .table_staleness = this->hooks.state(now).table_staleness,
                        .vm_count = this->vm_counts.highest(now)};
    digest.coordinator.received.clear(); // concerns coordinators only
    if (const auto best = this->best_informed(now, digest.operator_change, UINT64_MAX))
        digest.operator_change = best->operator_change;
    if (const auto best = this->best_informed(now, UINT64_MAX, digest.registry_change))
        digest.registry_change = best->registry_change;
    fleet::address_lists lists = this->membership.caller_addresses(now);
    lists[this->options.data_centre] = fleet::usable_addresses(coordinator_report.vms);
    for (const auto& [data_centre, list] : lists)
        if (to == audience::new_member || this->sent_lists[data_centre] != list)
            digest.addresses.emplace(data_centre, list);
    if (!lists.empty())
    {
        const auto repeated = std::next(
            lists.begin(),
            static_cast<std::ptrdiff_t>(this->next_repeated_list++ % lists.size()));
        digest.addresses.insert(*repeated);
    }
    const bool due = to == audience::new_member || this->sequence % lists_interval == 0;
    if (due || this->sent_members != coordinator_report.vms)
        digest.members = coordinator_report.vms;
    if (due || this->sent_coordinators != coordinator_report.coordinators)
        digest.coordinators = coordinator_report.coordinators;
    if (due || this->sequence % plans_interval == 0)
        digest.plans = this->hooks.plans(now);
    // A digest to a new member does not reach the others.
    if (to == audience::new_member)
        return digest;
    this->sent_lists = std::move(lists);
    this->sent_members = coordinator_report.vms;
    this->sent_coordinators = coordinator_report.coordinators;
    return digest;
}

void node::send_coordinator_report(const fleet::report& coordinator_report)
{
    this->send(report_kind, fleet::encode(coordinator_report),
               this->membership.peer_addresses());
}

void node::send_digest(time_point now, const fleet::report& coordinator_report)
{
    const std::vector<std::string> addresses = this->local_cell.member_addresses();
    // Making a digest costs more than sending one.
    if (!addresses.empty())
        this->send(
            digest_kind,
            cell::encode(this->make_digest(now, coordinator_report, audience::members)),
            addresses);
}

void node::send_updates(time_point now)
{
    ++this->sequence;
    if (!this->local_cell.is_coordinator())
    {
        this->send(report_kind, fleet::encode(this->make_report(now)),
                   this->local_cell.report_addresses());
        this->send_notices(now);
        return;
    }
    const bool full = std::exchange(this->full_report_due, false) ||
                      this->sequence % full_report_interval == 0 ||
                      this->hooks.state(now).draining;
    fleet::report coordinator_report = this->make_coordinator_report(now, full);
    coordinator_report.demand = this->tokens.report_demand(now, full);
    this->membership.note_sent_report(now, coordinator_report);
    this->tokens.note_reported(coordinator_report.sequence);
    this->send_coordinator_report(coordinator_report);
    this->send_digest(now, coordinator_report);
    this->send_notices(now);
}

void node::send_notices(time_point now)
{
    if (!this->local_cell.is_coordinator())
    {
        this->send_notices(this->hooks.notices(now, true),
                           this->local_cell.report_addresses());
        return;
    }
    const bool all = std::exchange(this->all_notices_due, false) ||
                     this->sequence % lists_interval == 0;
    const fleet::upstream_notices notices = this->hooks.notices(now, !all);
    this->send_notices(notices, this->membership.peer_addresses());
    this->send_notices(notices, this->local_cell.member_addresses());
}

void node::send_notices(const fleet::upstream_notices& notices,
                        std::span<const std::string> addresses)
{
    if (!notices.empty())
        this->send(notices_kind, fleet::encode(notices), addresses);
}

void node::receive_notices(time_point now, std::string_view bytes)
{
    const result<fleet::upstream_notices> decoded = fleet::decode_notices(bytes);
    if (!decoded)
    {
        this->hooks.log("notices_rejected", {{"problem", decoded.error().message}});
        return;
    }
    const bool is_new = this->hooks.notices_received(now, decoded.value());
    if (!is_new || !this->local_cell.is_coordinator())
        return;
    this->send_notices(decoded.value(), this->membership.peer_addresses());
    this->send_notices(decoded.value(), this->local_cell.member_addresses());
}

void node::tick(time_point now)
{
    this->check(now);
    for (const std::string& lost : this->membership.expire(now))
        if (this->local_cell.is_coordinator())
            this->hooks.log("data_centre_lost", {{"data_centre", lost}});
    this->update_shares(now);
    this->send_updates(now);
    this->exchange_admission(now);
    this->loads.tick(now, this->load_peers());
    this->apply_vm_count(now);
}

void node::check(time_point now)
{
    this->local_cell.tick(now);
    this->start_due_claim(now);
    this->handle_role_change(now);
    if (this->local_cell.current_role() == cell::role::searching)
        this->send_updates(now);
    if (this->membership.reserve_overdue(now))
        this->update_shares(now);
    if (this->local_cell.is_coordinator() && this->coordinator_read_at &&
        now >= *this->coordinator_read_at)
    {
        this->coordinator_read_at.reset();
        this->hooks.read_coordinators();
    }
}

duration node::next_check(time_point now) const
{
    const duration claim = this->local_cell.time_until_claim(now);
    return std::max(claim, duration(0));
}

// Applies the demand reported by the other VMs.
void node::update_shares(time_point now)
{
    if (!this->local_cell.is_coordinator())
        return;
    for (internal::token_exchange* each : {&this->tokens, &this->upstream_tokens})
        each->update_shares(now, this->membership, this->local_cell.known_count(),
                            this->local_cell.reachable_fraction(now));
    this->tokens.confirm(now, this->membership.confirmed_report());
    remote_demands demand = this->membership.service_demand(now);
    for (const upstreams::service_demand& each : this->local_cell.service_demand(now))
    {
        upstreams::remote_demand& sum = demand[each.service];
        sum.unrestricted[this->options.data_centre] += each.rate;
        for (const auto& [region, rate] : each.regional)
            sum.regional[region] += rate;
    }
    this->hooks.demand_received(now, std::move(demand));
}

void node::start_due_claim(time_point now)
{
    if (const auto due = this->local_cell.begin_claim(now))
        this->hooks.claim(*due);
}

void node::finish_claim(time_point now, const result<cell::claim_outcome>& outcome)
{
    if (!outcome)
        this->hooks.log("claim_failed", {{"problem", outcome.error().message}});
    this->local_cell.finish_claim(now, outcome ? outcome.value() : cell::claim_outcome{});
    this->handle_role_change(now);
    // The VM that holds the row answers this report with its digest.
    if (this->local_cell.current_role() == cell::role::searching)
        this->send_updates(now);
    this->start_due_claim(now);
}

// Sends a pending redirect. If the role has changed, logs it and starts the duties of the
// new role.
void node::handle_role_change(time_point now)
{
    if (const auto redirect = this->local_cell.take_redirect())
        this->send(digest_kind, cell::encode(*redirect),
                   this->local_cell.member_addresses());
    const cell::role next = this->local_cell.current_role();
    if (next == std::exchange(this->last_role, next))
        return;
    this->hooks.log("role", {{"role", cell::name_of(next)},
                             {"epoch", this->local_cell.epoch()},
                             {"coordinator", this->local_cell.coordinator_address()}});
    this->hooks.role_changed(next);
    if (next != cell::role::coordinator)
        return;
    // Reports of an earlier term are out of date.
    this->membership = fleet::membership(
        {.data_centre = this->options.data_centre, .regions = this->options.places});
    for (internal::token_exchange* each : {&this->tokens, &this->upstream_tokens})
        each->begin_term(now, this->local_cell.known_count());
    std::map<std::string, std::string> known;
    for (const fleet::coordinator_entry& each : this->coordinators)
        known[each.data_centre] = each.peer_address;
    this->membership.set_addresses(known);
    this->full_report_due = true;
    this->coordinator_read_at = now;
    this->misses_own_row = false;
    this->update_shares(now);
    this->send_updates(now);
    this->check(now);
}

void node::finish_coordinator_read(time_point now,
                                   const result<std::map<std::string, std::string>>& all)
{
    this->coordinator_read_at = now + coordinator_read_retry;
    if (!all)
        return;
    this->membership.set_addresses(all.value());
    const auto own_row = all.value().find(this->options.data_centre);
    if (own_row != all.value().end())
    {
        this->coordinator_read_at = now + coordinator_read_interval;
        this->misses_own_row = false;
        this->local_cell.observe_row(now, own_row->second);
    }
    // Coordinators that start together write and read the rows at the same time: without
    // this one's row, others may be missing as well. If it stays missing, it is lost.
    else if (std::exchange(this->misses_own_row, true))
        this->local_cell.observe_row(now, std::string());
    this->full_report_due = true;
    if (this->local_cell.is_coordinator())
        this->send_updates(now);
}

void node::receive(time_point now, const std::string& from, std::string_view datagram)
{
    if (datagram.empty())
        return;
    const std::string_view content = datagram.substr(1);
    switch (datagram.front())
    {
    case report_kind:
        this->receive_report(now, from, content);
        return;
    case digest_kind:
        this->receive_digest(now, content);
        return;
    case query_kind:
        if (this->local_cell.is_coordinator())
            this->tokens.receive_query(now, from, content);
        return;
    case answer_kind:
        this->tokens.receive_answer(now, from, content);
        return;
    case notices_kind:
        this->receive_notices(now, content);
        return;
    case upstream_query_kind:
        if (this->local_cell.is_coordinator())
            this->upstream_tokens.receive_query(now, from, content);
        return;
    case upstream_answer_kind:
        this->upstream_tokens.receive_answer(now, from, content);
        return;
    case admission_kind:
        this->receive_admission(now, from, content);
        return;
    case capacity_kind:
        this->loads.receive(now, from, content, this->load_peers());
        return;
    default:
        this->hooks.log("datagram_rejected",
                        {{"from", from},
                         {"problem", "unknown kind of datagram; run one "
                                     "version on all VMs"}});
    }
}

void node::receive_report(time_point now, const std::string& from, std::string_view bytes)
{
    const result<fleet::report> decoded = fleet::decode(bytes);
    if (!decoded)
    {
        this->hooks.log("report_rejected", {{"problem", decoded.error().message}});
        return;
    }
    this->hooks.leaving_received(now, decoded.value().leaving_upstreams);
    if (decoded.value().epoch > 0)
    {
        this->forward_report(from, decoded.value(), bytes);
        this->handle_coordinator_report(now, decoded.value());
    }
    else
        this->handle_member_report(now, decoded.value());
    this->handle_role_change(now);
    this->hooks.version_received(now, decoded.value().vm,
                                 decoded.value().configuration_version);
}

// The coordinator of another data centre takes this VM for the coordinator here. Without
// its report the two would not hear of each other until the rows are read again. Only the
// sender's own message is passed on, so that none goes round in circles.
void node::forward_report(const std::string& from, const fleet::report& incoming,
                          std::string_view bytes)
{
    const bool is_misdirected = this->local_cell.current_role() == cell::role::member &&
                                incoming.data_centre != this->options.data_centre &&
                                incoming.peer_address == from;
    if (is_misdirected)
        this->send(report_kind, bytes,
                   std::span(&this->local_cell.coordinator_address(), 1));
}

// Handles the report of another coordinator.
void node::handle_coordinator_report(time_point now, const fleet::report& incoming)
{
    this->local_cell.observe(now, incoming.coordinators);
    if (!incoming.delta && incoming.data_centre == this->options.data_centre)
    {
        this->local_cell.observe(now, incoming);
        return;
    }
    const fleet::membership::observation outcome =
        this->membership.observe(now, incoming);
    // Tells a replaced coordinator which VM has replaced it.
    if (outcome.replaced && this->local_cell.is_coordinator())
    {
        const std::vector<std::string> stale = {incoming.peer_address};
        this->send(report_kind, fleet::encode(this->make_coordinator_report(now, true)),
                   stale);
    }
    if (outcome.new_process && this->local_cell.is_coordinator())
    {
        const std::vector<std::string> started = {incoming.peer_address};
        this->send_notices(this->hooks.notices(now, false), started);
    }
    // Applied at once, so that all data centres compute with the same figures at the same
    // time.
    for (const allowance::demand& change : outcome.demand_change)
        this->tokens.apply_demand_change(now, change);
    this->tokens.confirm(now, this->membership.confirmed_report());
    const bool needs_all = outcome.appeared || outcome.returned;
    this->full_report_due = this->full_report_due || needs_all;
    this->all_notices_due = this->all_notices_due || needs_all;
    if (outcome.appeared && this->local_cell.is_coordinator())
        this->hooks.log("data_centre_found", {{"data_centre", incoming.data_centre},
                                              {"peer", incoming.vm.value}});
}

void node::handle_member_report(time_point now, const fleet::report& incoming)
{
    const std::vector<std::string> sender = {incoming.peer_address};
    if (this->local_cell.observe(now, incoming) && this->local_cell.is_coordinator())
    {
        this->send(
            digest_kind,
            cell::encode(this->make_digest(now, this->make_coordinator_report(now, true),
                                           audience::new_member)),
            sender);
        this->send_notices(this->hooks.notices(now, false), sender);
    }
    else if (const auto redirect = this->local_cell.redirect_for(incoming))
        this->send(digest_kind, cell::encode(*redirect), sender);
}

void node::receive_digest(time_point now, std::string_view bytes)
{
    const result<cell::digest> decoded = cell::decode_digest(bytes);
    if (!decoded)
    {
        this->hooks.log("digest_rejected", {{"problem", decoded.error().message}});
        return;
    }
    if (this->local_cell.observe(now, decoded.value()))
        this->apply_digest(now, decoded.value());
    this->handle_role_change(now);
}

void node::apply_digest(time_point now, const cell::digest& incoming)
{
    this->coordinator = incoming.coordinator;
    this->coordinator.operator_change = incoming.operator_change;
    this->coordinator.registry_change = incoming.registry_change;
    this->coordinator_heard_at = now;
    this->coordinator_table_staleness = incoming.table_staleness;
    for (const auto& [data_centre, list] : incoming.addresses)
        this->caller_addresses[data_centre] = list;
    if (!incoming.coordinators.empty())
        this->coordinators = incoming.coordinators;
    if (incoming.vm_count > 0)
        this->vm_counts.note(now, incoming.vm_count);
    this->apply_vm_count(now);
    this->hooks.leaving_received(now, incoming.coordinator.leaving_upstreams);
    if (!incoming.plans.empty())
        this->hooks.plans_received(now, incoming.plans);
    this->hooks.version_received(now, incoming.coordinator.vm,
                                 incoming.configuration_version);
}

void node::note_store_restored(time_point now)
{
    this->local_cell.note_store_restored(now);
    this->check(now);
}

void node::note_disconnected(time_point now, const std::string& address)
{
    if (address != this->local_cell.coordinator_address())
        return;
    this->local_cell.note_disconnected(now);
    this->check(now);
}

std::size_t node::count_vms(time_point now) const
{
    if (now - this->started_at < count_settling_time)
        return 0;
    const std::size_t here = this->local_cell.known_count();
    // A data centre that has not been heard may be cut off.
    return here + this->membership.vm_count(here);
}

void node::apply_vm_count(time_point now)
{
    if (this->local_cell.is_coordinator())
        this->vm_counts.note(now, this->count_vms(now));
    const std::size_t known = this->vm_counts.highest(now);
    const std::size_t count = known > 0 ? known : assumed_vm_count;
    this->hooks.vm_count_changed(count);
    this->upstream_tokens.set_fallback_share(now, 1 / static_cast<double>(count));
}

} // namespace pistachiospan::fleet_node
