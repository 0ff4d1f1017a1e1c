#include "pistachiospan/fleet_node/fleet_node.hpp"

#include <algorithm>

namespace pistachiospan::fleet_node
{

namespace
{

// One in this many reports is whole.
constexpr std::uint64_t whole_report = 6;
// One in this many digests has the lists of VMs and coordinators.
constexpr std::uint64_t lists_interval = 12;
// One in this many digests has the plans.
constexpr std::uint64_t plans_interval = 2;
constexpr duration read_interval = std::chrono::seconds(60);
constexpr duration read_retry = std::chrono::seconds(1);
// What a coordinator told counts for this long without further digests.
constexpr duration told_for = std::chrono::milliseconds(2500);
// Copies of the store's tables that may be older are not followed: changes must be known
// 2 s after they were made.
constexpr duration max_staleness = std::chrono::milliseconds(1500);
// VMs that are assumed before any are counted: parts of rates must not be too large.
constexpr std::size_t assumed_vms = 10000;

fleet::address_lists::mapped_type usable_of(std::span<const fleet::vm_entry> members)
{
    std::vector<std::string> usable;
    for (const fleet::vm_entry& each : members)
        if (each.usable)
            usable.push_back(each.caller_address);
    return usable;
}

} // namespace

node::node(time_point now, node_options given, node_hooks hooked)
    : options(std::move(given)), hooks(std::move(hooked)),
      own({.self = this->options.vm,
           .started = this->options.started,
           .data_centre = this->options.data_centre,
           .peer_address = this->options.peer_address,
           .capacity = this->options.capacity},
          now),
      membership(
          {.data_centre = this->options.data_centre, .regions = this->options.places}),
      tokens(this->options.places.size(),
             {.source = [this](time_point at, std::string_view account, bool pooled)
              { return this->token_source(at, account, pooled); },
              .query =
                  [this](const std::string& address, const allowance::token_query& asked)
              {
                  const std::vector<std::string> to = {address};
                  this->send(query_kind, allowance::encode(asked), to);
              },
              .answer =
                  [this](const std::string& address, const allowance::token_answer& made)
              {
                  const std::vector<std::string> to = {address};
                  this->send(answer_kind, allowance::encode(made), to);
              },
              .done =
                  [this](allowance::ticket name, const allowance::admission& made)
              {
                  this->hooks.token_done(name, made);
              }}),
      read_at(now)
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
            .searching = this->own.current_role() == cell::role::searching,
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

// What a coordinator says of its data centre, without demand by account: what is told of
// that counts as told.
fleet::report node::make_summary(time_point now, bool whole)
{
    fleet::report made = this->make_report(now);
    made.delta = !whole;
    made.epoch = this->own.epoch();
    made.reachable_fraction = this->own.reachable_fraction(now);
    made.received = this->membership.received_reports();
    made.vms = this->own.members(now, this->own_entry(this->hooks.state(now)));
    made.coordinators = this->membership.coordinators(now);
    made.coordinators.push_back({.data_centre = this->options.data_centre,
                                 .peer_address = this->options.peer_address,
                                 .epoch = this->own.epoch(),
                                 .reachable = true});
    for (const upstreams::service_demand& each : this->own.service_demand(now))
    {
        const auto known = std::ranges::find(made.services, each.service,
                                             &upstreams::service_demand::service);
        if (known == made.services.end())
        {
            made.services.push_back(each);
            continue;
        }
        known->rate += each.rate;
        for (const auto& [region, rate] : each.bound)
            known->bound[region] += rate;
    }
    return made;
}

cell::digest node::make_digest(time_point now, const fleet::report& summary, audience to)
{
    cell::digest made{.coordinator = summary,
                      .data_centre = this->options.data_centre,
                      .peer_address = this->options.peer_address,
                      .operator_change = summary.operator_change,
                      .registry_change = summary.registry_change,
                      .configuration_version = summary.configuration_version,
                      .table_staleness = this->hooks.state(now).table_staleness,
                      .vm_count = this->vm_count()};
    made.coordinator.received.clear(); // concerns coordinators only
    if (const auto best = this->best_informed(now, made.operator_change, UINT64_MAX))
        made.operator_change = best->operator_change;
    if (const auto best = this->best_informed(now, UINT64_MAX, made.registry_change))
        made.registry_change = best->registry_change;
    fleet::address_lists lists = this->membership.caller_addresses(now);
    lists[this->options.data_centre] = usable_of(summary.vms);
    for (const auto& [data_centre, list] : lists)
        if (to == audience::newcomer || this->told_lists[data_centre] != list)
            made.addresses.emplace(data_centre, list);
    if (!lists.empty())
    {
        const auto again = std::next(
            lists.begin(), static_cast<std::ptrdiff_t>(this->next_list++ % lists.size()));
        made.addresses.insert(*again);
    }
    const bool due = to == audience::newcomer || this->sequence % lists_interval == 0;
    if (due || this->told_members != summary.vms)
        made.members = summary.vms;
    if (due || this->told_coordinators != summary.coordinators)
        made.coordinators = summary.coordinators;
    if (due || this->sequence % plans_interval == 0)
        made.plans = this->hooks.plans(now);
    // What a newcomer is told, the others are not.
    if (to == audience::newcomer)
        return made;
    this->told_lists = std::move(lists);
    this->told_members = summary.vms;
    this->told_coordinators = summary.coordinators;
    return made;
}

void node::tell_coordinators(const fleet::report& summary)
{
    this->send(report_kind, fleet::encode(summary), this->membership.peer_addresses());
}

void node::tell_members(time_point now, const fleet::report& summary)
{
    const std::vector<std::string> addresses = this->own.member_addresses();
    // Making a digest costs more than sending one.
    if (!addresses.empty())
        this->send(digest_kind,
                   cell::encode(this->make_digest(now, summary, audience::members)),
                   addresses);
}

void node::send_updates(time_point now)
{
    ++this->sequence;
    if (!this->own.is_coordinator())
    {
        this->send(report_kind, fleet::encode(this->make_report(now)),
                   this->own.report_addresses());
        return;
    }
    const bool whole = std::exchange(this->newcomer, false) ||
                       this->sequence % whole_report == 0 ||
                       this->hooks.state(now).draining;
    fleet::report summary = this->make_summary(now, whole);
    summary.demand = this->tokens.report_demand(now, whole);
    this->membership.note_sent_report(now, summary);
    this->tokens.note_reported(summary.sequence);
    this->tell_coordinators(summary);
    this->tell_members(now, summary);
}

void node::tick(time_point now)
{
    this->check(now);
    for (const std::string& silent : this->membership.expire(now))
        if (this->own.is_coordinator())
            this->hooks.log("data_centre_lost", {{"data_centre", silent}});
    this->share(now);
    this->send_updates(now);
    this->apply_vm_count();
}

void node::check(time_point now)
{
    this->own.tick(now);
    this->make_due_claim(now);
    this->note_role(now);
    if (this->own.current_role() == cell::role::searching)
        this->send_updates(now);
    if (this->membership.reserve_overdue(now))
        this->share(now);
    if (this->own.is_coordinator() && this->read_at && now >= *this->read_at)
    {
        this->read_at.reset();
        this->hooks.read_coordinators();
    }
}

duration node::next_check(time_point now) const
{
    const duration claim = this->own.time_until_claim(now);
    return std::max(claim, duration(0));
}

// Takes over what the others say of their demand.
void node::share(time_point now)
{
    if (!this->own.is_coordinator())
        return;
    this->tokens.share(now, this->membership, this->own.known_count(),
                       this->own.reachable_fraction(now));
    this->tokens.confirm(now, this->membership.confirmed_report());
    remote_demands demand = this->membership.service_demand(now);
    for (const upstreams::service_demand& each : this->own.service_demand(now))
    {
        upstreams::remote_demand& sum = demand[each.service];
        sum.free[this->options.data_centre] += each.rate;
        for (const auto& [region, rate] : each.bound)
            sum.bound[region] += rate;
    }
    this->hooks.demand_received(now, std::move(demand));
}

void node::set_accounts(time_point now, std::span<const configuration::account> accounts)
{
    this->tokens.set_accounts(now, accounts);
    this->share(now);
}

void node::request_token(time_point now, allowance::ticket name,
                         const std::string& account)
{
    this->tokens.ask(now, name, account);
}

void node::return_token(time_point now, const std::string& account)
{
    this->tokens.give_back(now, account);
}

void node::tick_tokens(time_point now)
{
    this->tokens.tick(now);
}

bool node::waits_for_tokens() const
{
    return this->tokens.is_waiting();
}

allowance::token_source node::token_source(time_point now, std::string_view account,
                                           bool pooled) const
{
    if (this->own.is_isolated())
        return {.none = true};
    std::string holder = this->options.data_centre;
    if (pooled)
        holder = allowance::holder_of(account, this->heard_data_centres(now));
    if (holder != this->options.data_centre)
        return {.address = this->coordinator_of(now, holder), .near = false};
    if (this->own.is_coordinator())
        return {.self = true};
    return {.address = this->own.coordinator_address()};
}

void node::make_due_claim(time_point now)
{
    if (const auto due = this->own.begin_claim(now))
        this->hooks.claim(*due);
}

void node::finish_claim(time_point now, const result<cell::claim_outcome>& got)
{
    if (!got)
        this->hooks.log("claim_failed", {{"problem", got.error().message}});
    this->own.finish_claim(now, got ? got.value() : cell::claim_outcome{});
    this->note_role(now);
    // The VM that holds the row answers with its digest.
    if (this->own.current_role() == cell::role::searching)
        this->send_updates(now);
    this->make_due_claim(now);
}

// Logs a change of the role, and begins what it brings with it.
void node::note_role(time_point now)
{
    if (const auto redirect = this->own.take_redirect())
        this->send(digest_kind, cell::encode(*redirect), this->own.member_addresses());
    const cell::role next = this->own.current_role();
    if (next == std::exchange(this->told_role, next))
        return;
    this->hooks.log("role", {{"role", cell::name_of(next)},
                             {"epoch", this->own.epoch()},
                             {"coordinator", this->own.coordinator_address()}});
    this->hooks.role_changed(next);
    if (next != cell::role::coordinator)
        return;
    std::map<std::string, std::string> known;
    for (const fleet::coordinator_entry& each : this->coordinators)
        known[each.data_centre] = each.peer_address;
    this->membership.set_addresses(known);
    this->newcomer = true;
    this->read_at = now;
    this->share(now);
    this->send_updates(now);
    this->check(now);
}

void node::finish_coordinator_read(time_point now,
                                   const result<std::map<std::string, std::string>>& all)
{
    this->read_at = now + (all ? read_interval : read_retry);
    if (!all)
        return;
    this->membership.set_addresses(all.value());
    this->newcomer = true;
    if (this->own.is_coordinator())
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
        this->receive_report(now, content);
        return;
    case digest_kind:
        this->receive_digest(now, content);
        return;
    case query_kind:
        if (this->own.is_coordinator())
            this->tokens.receive_query(now, from, content);
        return;
    case answer_kind:
        this->tokens.receive_answer(now, from, content);
        return;
    default:
        this->hooks.log("datagram_rejected", {{"from", from},
                                              {"problem", "its kind is unknown; run one "
                                                          "version on all VMs"}});
    }
}

void node::receive_report(time_point now, std::string_view bytes)
{
    const result<fleet::report> said = fleet::decode(bytes);
    if (!said)
    {
        this->hooks.log("report_rejected", {{"problem", said.error().message}});
        return;
    }
    this->hooks.leaving_received(now, said.value().leaving_upstreams);
    if (said.value().epoch > 0)
        this->note_summary(now, said.value());
    else
        this->note_member(now, said.value());
    this->note_role(now);
    this->hooks.version_received(now, said.value().vm,
                                 said.value().configuration_version);
}

// Of another coordinator.
void node::note_summary(time_point now, const fleet::report& said)
{
    this->own.observe(now, said.coordinators);
    if (!said.delta && said.data_centre == this->options.data_centre)
    {
        this->own.observe(now, said);
        return;
    }
    const fleet::membership::observation seen = this->membership.observe(now, said);
    // One that has been replaced learns by whom.
    if (seen.replaced && this->own.is_coordinator())
    {
        const std::vector<std::string> stale = {said.peer_address};
        this->send(report_kind, fleet::encode(this->make_summary(now, true)), stale);
    }
    // All data centres reckon with the same figures at the same time.
    for (const allowance::demand& change : seen.demand_change)
        this->tokens.change_demand(now, change);
    this->tokens.confirm(now, this->membership.confirmed_report());
    this->newcomer = this->newcomer || seen.appeared || seen.returned;
    if (seen.appeared && this->own.is_coordinator())
        this->hooks.log("data_centre_found",
                        {{"data_centre", said.data_centre}, {"peer", said.vm.value}});
}

void node::note_member(time_point now, const fleet::report& said)
{
    const std::vector<std::string> asker = {said.peer_address};
    if (this->own.observe(now, said) && this->own.is_coordinator())
        this->send(digest_kind,
                   cell::encode(this->make_digest(now, this->make_summary(now, true),
                                                  audience::newcomer)),
                   asker);
    else if (const auto redirect = this->own.redirect_for(said))
        this->send(digest_kind, cell::encode(*redirect), asker);
}

void node::receive_digest(time_point now, std::string_view bytes)
{
    const result<cell::digest> said = cell::decode_digest(bytes);
    if (!said)
    {
        this->hooks.log("digest_rejected", {{"problem", said.error().message}});
        return;
    }
    if (this->own.observe(now, said.value()))
        this->note_digest(now, said.value());
    this->note_role(now);
}

void node::note_digest(time_point now, const cell::digest& said)
{
    this->coordinator = said.coordinator;
    this->coordinator.operator_change = said.operator_change;
    this->coordinator.registry_change = said.registry_change;
    this->coordinator_heard = now;
    this->coordinator_news_age = said.table_staleness;
    for (const auto& [data_centre, list] : said.addresses)
        this->lists[data_centre] = list;
    if (!said.coordinators.empty())
        this->coordinators = said.coordinators;
    this->told_vm_count = said.vm_count;
    this->apply_vm_count();
    this->hooks.leaving_received(now, said.coordinator.leaving_upstreams);
    if (!said.plans.empty())
        this->hooks.plans_received(now, said.plans);
    this->hooks.version_received(now, said.coordinator.vm, said.configuration_version);
}

void node::note_disconnected(time_point now, const std::string& address)
{
    if (address != this->own.coordinator_address())
        return;
    this->own.note_disconnected(now);
    this->check(now);
}

std::size_t node::vm_count() const
{
    const std::size_t counted = this->membership.vm_count() + this->own.known_count();
    // A new coordinator has not heard of all of them yet.
    return std::max(counted, this->told_vm_count);
}

void node::apply_vm_count()
{
    const bool known = this->told_vm_count > 0 || this->own.is_coordinator();
    this->hooks.vm_count_changed(known ? this->vm_count() : assumed_vms);
}

std::vector<fleet::coordinator_entry> node::known_coordinators(time_point now) const
{
    return this->own.is_coordinator() ? this->membership.coordinators(now)
                                      : this->coordinators;
}

// Peer address of a coordinator that is heard; empty otherwise.
std::string node::coordinator_of(time_point now, const std::string& data_centre) const
{
    for (const fleet::coordinator_entry& each : this->known_coordinators(now))
        if (each.data_centre == data_centre && each.reachable)
            return each.peer_address;
    return {};
}

// Data centres whose coordinator is heard, the own one included.
std::vector<std::string> node::heard_data_centres(time_point now) const
{
    std::vector<std::string> heard = {this->options.data_centre};
    for (const fleet::coordinator_entry& each : this->known_coordinators(now))
        if (each.reachable && each.data_centre != this->options.data_centre)
            heard.push_back(each.data_centre);
    std::ranges::sort(heard);
    return heard;
}

std::string node::reader(time_point now, duration own_store_age) const
{
    if (!this->own.is_coordinator())
    {
        const duration age = now - this->coordinator_heard + this->coordinator_news_age;
        return age <= max_staleness ? this->own.coordinator_address() : std::string();
    }
    const fleet::peer* found = this->membership.reader(now, own_store_age);
    if (found != nullptr)
        return found->last_report.peer_address;
    const fleet::report* member =
        own_store_age <= max_staleness ? nullptr : this->own.reader(now, max_staleness);
    return member == nullptr ? std::string() : member->peer_address;
}

std::string node::remote_reader(time_point now) const
{
    const fleet::peer* found =
        this->own.is_coordinator() ? this->membership.remote_reader(now) : nullptr;
    return found == nullptr ? std::string() : found->last_report.peer_address;
}

std::optional<node::informed_vm> node::best_informed(time_point now,
                                                     std::uint64_t operator_change,
                                                     std::uint64_t registry_change) const
{
    const fleet::report* best = nullptr;
    if (this->own.current_role() != cell::role::member)
    {
        const fleet::peer* other =
            this->membership.best_informed(now, operator_change, registry_change);
        best = other == nullptr ? nullptr : &other->last_report;
        if (best != nullptr)
        {
            operator_change = std::max(operator_change, best->operator_change);
            registry_change = std::max(registry_change, best->registry_change);
        }
        const fleet::report* member =
            this->own.best_informed(now, operator_change, registry_change);
        best = member == nullptr ? best : member;
    }
    else if (now - this->coordinator_heard <= told_for &&
             (this->coordinator.operator_change > operator_change ||
              this->coordinator.registry_change > registry_change))
        best = &this->coordinator;
    if (best == nullptr)
        return std::nullopt;
    return informed_vm{.vm = best->vm,
                       .peer_address = best->peer_address,
                       .operator_change = best->operator_change,
                       .registry_change = best->registry_change};
}

std::vector<std::string> node::addresses_for(time_point now, std::string_view region,
                                             std::string_view data_centre) const
{
    fleet::address_lists usable;
    const own_state state = this->hooks.state(now);
    const fleet::vm_entry self = this->own_entry(state);
    if (this->own.is_coordinator())
    {
        usable = this->membership.caller_addresses(now);
        usable[this->options.data_centre] = usable_of(this->own.members(now, self));
    }
    else if (now - this->coordinator_heard <= told_for)
        usable = this->lists;
    std::vector<std::string>& here = usable[this->options.data_centre];
    std::erase(here, this->options.caller_address);
    if (self.usable)
        here.push_back(this->options.caller_address);
    return fleet::addresses_for({.regions = this->options.places}, usable, region,
                                data_centre);
}

} // namespace pistachiospan::fleet_node
