#include "pistachiospan/steering/steering.hpp"

#include <algorithm>

namespace pistachiospan::steering
{

namespace
{

// A leaving upstream and a changed limit are told for this long, because several messages
// in a row may be lost.
constexpr duration notice_period = std::chrono::seconds(3);

// Interval at which requests in quarantine are told again, and how many of them at most.
// VMs that return from a cut have to know them within 3 s.
constexpr duration quarantine_interval = std::chrono::seconds(2);
constexpr std::size_t max_repeated_suspects = 8;
// Bounds one message when many upstreams end at once.
constexpr std::size_t max_told_suspects = 64;

// Upstreams that a VM without any tries at once: one alone may be down itself.
constexpr std::size_t links_tried = 2;

std::string region_of(const fleet_node::node_options& options)
{
    const auto own = options.places.find(options.data_centre);
    return own == options.places.end() ? std::string() : own->second;
}

upstream_event event_of(const upstreams::upstream_start& upstream,
                        const upstreams::limit_statement& limit, bool told)
{
    return {.upstream = upstream,
            .change =
                limit.rate ? upstream_change::limited : upstream_change::limit_ended,
            .told = told,
            .limit = limit.rate.value_or(0)};
}

} // namespace

core::core(core_options options, core_hooks given)
    : hooks(std::move(given)),
      known_upstreams(this->with_restart_hook(std::move(options.upstreams)),
                      options.fleet.places),
      shared_room(options.fair_admission
                      ? std::make_unique<fair_admission>(this->hooks.log)
                      : nullptr),
      local_requests(options.gateway, this->known_upstreams, this->make_gateway_hooks()),
      local_node(this->hooks.now(), options.fleet, this->make_fleet_hooks()),
      helpers({.regions = options.fleet.places,
               .region = region_of(options.fleet),
               .seed = options.gateway.seed},
              this->make_forwarder_hooks())
{
}

forwarder_hooks core::make_forwarder_hooks()
{
    return {.send = this->hooks.forward,
            .cancel = this->hooks.cancel_forward,
            .deliver = this->hooks.deliver,
            .refuse = this->hooks.refuse};
}

void core::finish_forward(time_point now, gateway::exchange_id exchange,
                          forward_result result)
{
    this->helpers.finish(now, exchange, std::move(result),
                         this->local_node.other_vms(now));
}

void core::caller_left(time_point now, gateway::exchange_id exchange)
{
    this->local_requests.caller_left(now, exchange);
    this->helpers.caller_left(exchange);
}

void core::check_links(time_point now)
{
    this->check_loads(now);
    const bool is_cut_off = this->known_upstreams.is_cut_off(now);
    if (std::exchange(this->was_cut_off, is_cut_off) != is_cut_off)
        this->hooks.log(is_cut_off ? "upstreams_lost" : "upstreams_regained",
                        {{"upstreams", this->known_upstreams.size()}});
    if (!is_cut_off || !this->hooks.check_connection)
        return;
    for (const auto& each : this->known_upstreams.next_to_try(links_tried))
        this->hooks.check_connection(each.upstream, each.address);
}

// Logs whether the other VMs tell this one the load of the upstreams.
void core::check_loads(time_point now)
{
    const std::size_t told = this->known_upstreams.told_loads(now);
    if (std::exchange(this->knew_loads, told > 0) != (told > 0))
        this->hooks.log(told > 0 ? "upstream_loads_told" : "upstream_loads_unknown",
                        {{"upstreams", told}});
}

void core::set_configuration(const std::shared_ptr<const configuration::state>& next)
{
    this->local_requests.set_configuration(next);
    this->local_node.set_accounts(this->hooks.now(), next->accounts());
}

gateway::gateway_hooks core::make_gateway_hooks()
{
    return {
        .ask_token = [this](gateway::exchange_id id, const std::string& account)
        { this->request_token(id, account); },
        .return_token = [this](const std::string& account)
        { this->local_node.return_token(this->hooks.now(), account); },
        .ask_upstream_token =
            [this](gateway::exchange_id id, const upstreams::upstream_start& upstream)
        { this->request_upstream_token(id, upstream); },
        .return_upstream_token = [this](const upstreams::upstream_start& upstream)
        { this->local_node.return_upstream_token(this->hooks.now(), upstream); },
        .send = this->hooks.send_attempt,
        .cancel = this->hooks.cancel_attempt,
        .deliver = this->hooks.deliver,
        .refuse = this->hooks.refuse,
        .report = this->hooks.report,
        .notice = [this](const gateway::upstream_notice& notice)
        { this->note_upstream(notice); },
        .forward =
            [this](gateway::exchange_id id, const gateway::forward_request& request)
        {
            const time_point now = this->hooks.now();
            return this->hooks.forward &&
                   this->helpers.begin(now, id, request, this->local_node.other_vms(now));
        },
        .identify = this->hooks.identify,
        .check_connection = this->hooks.check_connection,
        .upstream_ended = [this](time_point now, const quarantine::upstream_end& ended,
                                 std::span<const quarantine::fingerprint> quarantined)
        { this->note_end(now, ended, quarantined); },
        .suspect_changed =
            [this](time_point now, const quarantine::fingerprint& request, bool cleared)
        { this->note_suspect(now, request, cleared); },
        .admission = this->shared_room ? this->shared_room->gateway_hooks()
                                       : gateway::admission_hooks{}};
}

fleet_node::node_hooks core::make_fleet_hooks()
{
    return {
        .send = this->hooks.send_datagram,
        .claim = this->hooks.claim,
        .read_coordinators = this->hooks.read_coordinators,
        .state = [this](time_point now) { return this->current_state(now); },
        .services = [this](time_point now)
        { return this->known_upstreams.report_demand(now); },
        .demand_received =
            [this](time_point now, fleet_node::remote_demands demand)
        {
            this->known_upstreams.set_remote_demand(std::move(demand));
            this->known_upstreams.tick(now);
        },
        .plans = [this](time_point) { return this->known_upstreams.plans(); },
        .plans_received = [this](time_point now, const upstreams::plan_set& plans)
        { this->known_upstreams.adopt_plans(now, plans); },
        .leaving_received =
            [this](time_point now, std::span<const upstreams::upstream_start> reported)
        {
            std::vector<upstreams::leaving_notice> received;
            for (const upstreams::upstream_start& each : reported)
                received.push_back({.upstream = each});
            const bool changed = this->learn_leaving(now, received);
            if (changed && this->local_node.role() == cell::role::coordinator)
                this->local_node.send_updates(now);
        },
        .notices = [this](time_point now, bool recent)
        { return this->known_notices(now, recent); },
        .notices_received =
            [this](time_point now, const fleet::upstream_notices& received)
        {
            const bool leaving = this->learn_leaving(now, received.leaving);
            const bool limits = this->learn_limits(now, received.limits);
            const bool suspects = this->learn_suspects(now, received.suspects);
            const bool restarts = this->learn_restarts(now, received.restarts);
            return leaving || limits || suspects || restarts;
        },
        .loads = [this](time_point now, duration span)
        { return this->known_upstreams.report_loads(now, span); },
        .load_estimates = [this](time_point now,
                                 std::span<const capacity::upstream_load> estimates,
                                 bool complete)
        { this->known_upstreams.apply_load_estimates(now, estimates, complete); },
        .version_received = this->hooks.version_received,
        .vm_count_changed = [this](std::size_t count) { this->note_vm_count(count); },
        .role_changed = this->hooks.role_changed,
        .token_done = [this](allowance::ticket id, const allowance::admission& outcome)
        { this->local_requests.finish_admission(this->hooks.now(), id, outcome); },
        .upstream_token_done =
            [this](allowance::ticket id, const allowance::admission& outcome) {
                this->local_requests.finish_upstream_admission(this->hooks.now(), id,
                                                               outcome);
            },
        .log = this->hooks.log,
        .admission = this->shared_room ? this->shared_room->fleet_hooks()
                                       : fleet_node::admission_hooks{}};
}

std::vector<admission::service_view> core::admission_views(time_point now) const
{
    return this->shared_room ? this->shared_room->views(now)
                             : std::vector<admission::service_view>();
}

void core::note_vm_count(std::size_t count)
{
    const std::size_t before = std::exchange(this->vm_count, count);
    if (before == count)
        return;
    this->hooks.log("vm_count", {{"count", count}, {"before", before}});
    this->known_upstreams.set_vm_count(count);
    this->local_requests.suspects().set_vm_count(count);
}

void core::request_token(gateway::exchange_id id, const std::string& account)
{
    this->local_node.request_token(this->hooks.now(), id, account);
    if (this->local_node.waits_for_tokens())
        this->hooks.tokens_pending();
}

void core::request_upstream_token(gateway::exchange_id id,
                                  const upstreams::upstream_start& upstream)
{
    this->apply_limits(this->hooks.now());
    this->local_node.request_upstream_token(this->hooks.now(), id, upstream);
    if (this->local_node.waits_for_tokens())
        this->hooks.tokens_pending();
}

// Hands the limits in force to the node, which enforces them, if any has changed.
void core::apply_limits(time_point now)
{
    const std::uint64_t version = this->known_upstreams.limited_version();
    if (std::exchange(this->applied_limits, version) == version)
        return;
    this->local_node.set_limited_upstreams(now,
                                           this->known_upstreams.limited_upstreams());
}

fleet::upstream_notices core::known_notices(time_point now, bool recent)
{
    this->known_upstreams.forget_limits(now);
    this->known_upstreams.forget_restarts(now);
    this->apply_limits(now);
    const upstreams::request_limits& limits = this->known_upstreams.named_limits();
    if (recent)
        return {.limits = limits.changed_since(now, notice_period),
                .suspects = this->known_suspects(now, true),
                .restarts = this->known_upstreams.restarts_since(now, notice_period)};
    return {.limits = limits.in_force(now),
            .leaving = this->known_upstreams.unregistered_leaving(now),
            .suspects = this->known_suspects(now, false),
            .restarts = this->known_upstreams.suspected_restarts(now)};
}

bool core::learn_limits(time_point now, std::span<const upstreams::limit_notice> received)
{
    bool changed = false;
    for (const upstreams::limit_notice& each : received)
        if (this->known_upstreams.merge_limit(now, each))
        {
            this->hooks.upstream_changed(event_of(each.upstream, each.statement, true));
            changed = true;
        }
    this->apply_limits(now);
    return changed;
}

fleet_node::own_state core::current_state(time_point now) const
{
    fleet_node::own_state state = this->hooks.state(now);
    state.leaving_upstreams = this->known_upstreams.leaving_since(now, notice_period);
    return state;
}

void core::note_upstream(const gateway::upstream_notice& notice)
{
    if (notice.pause)
        this->hooks.upstream_changed({.upstream = notice.upstream,
                                      .change = upstream_change::paused,
                                      .pause = *notice.pause});
    if (notice.limit)
    {
        this->hooks.upstream_changed(event_of(notice.upstream, *notice.limit, false));
        this->apply_limits(this->hooks.now());
        this->local_node.send_notices(this->hooks.now());
    }
    if (!notice.leaving)
        return;
    this->hooks.upstream_changed(
        {.upstream = notice.upstream, .change = upstream_change::leaving});
    // The registry may be late or unreachable, so this VM notifies the others.
    this->local_node.send_updates(this->hooks.now());
}

// Suspects that have changed lately and, from time to time or if `recent` is not set, all
// that are in quarantine: a VM that was cut off for a while must know them soon.
std::vector<quarantine::suspect_notice> core::known_suspects(time_point now, bool recent)
{
    quarantine::suspects& known = this->local_requests.suspects();
    known.forget_old(now);
    std::vector<quarantine::suspect_notice> told =
        known.changed_since(now, notice_period, max_told_suspects);
    if (recent && now - this->quarantine_told_at < quarantine_interval)
        return told;
    this->quarantine_told_at = now;
    const std::size_t max_count = recent ? max_repeated_suspects : max_told_suspects;
    for (quarantine::suspect_notice& each : known.quarantined(now, max_count))
        if (std::ranges::find(told, each.request, &quarantine::suspect_notice::request) ==
            told.end())
            told.push_back(std::move(each));
    return told;
}

bool core::learn_suspects(time_point now,
                          std::span<const quarantine::suspect_notice> received)
{
    quarantine::suspects& known = this->local_requests.suspects();
    bool changed = false;
    for (const quarantine::suspect_notice& each : received)
    {
        const bool before = known.is_quarantined(each.request);
        changed |= known.merge(now, each);
        const bool after = known.is_quarantined(each.request);
        if (before != after)
            this->hooks.log(
                after ? "request_quarantined" : "request_cleared",
                {{"fingerprint", quarantine::to_text(each.request)}, {"told", true}});
    }
    return changed;
}

void core::note_suspect(time_point now, const quarantine::fingerprint& request,
                        bool cleared)
{
    this->hooks.log(cleared ? "request_cleared" : "quarantine_trial",
                    {{"fingerprint", quarantine::to_text(request)}, {"told", false}});
    this->local_node.send_notices(now);
}

void core::note_end(time_point now, const quarantine::upstream_end& ended,
                    std::span<const quarantine::fingerprint> quarantined)
{
    std::vector<std::string> requests;
    for (const quarantine::lost_request& each : ended.requests)
        requests.push_back(quarantine::to_text(each.request));
    this->hooks.log("upstream_ended",
                    {{"upstream", ended.upstream.id}, {"requests", requests}});
    for (const quarantine::fingerprint& each : quarantined)
        this->hooks.log("request_quarantined",
                        {{"fingerprint", quarantine::to_text(each)}, {"told", false}});
    this->local_node.send_notices(now);
}

upstreams::upstream_set_options
core::with_restart_hook(upstreams::upstream_set_options given)
{
    given.restart_changed = [this](time_point now,
                                   const upstreams::upstream_start& upstream,
                                   upstreams::restart_change change)
    {
        this->note_restart(now, upstream, change);
    };
    return given;
}

// The VMs share the rate of an upstream that may be cold, so all must know.
void core::note_restart(time_point now, const upstreams::upstream_start& upstream,
                        upstreams::restart_change change)
{
    switch (change)
    {
    case upstreams::restart_change::suspected:
        this->hooks.upstream_changed(
            {.upstream = upstream, .change = upstream_change::restart_suspected});
        break;
    case upstreams::restart_change::accepted:
        this->hooks.upstream_changed(
            {.upstream = upstream, .change = upstream_change::restart_accepted});
        break;
    case upstreams::restart_change::refuted:
        // Each VM learns it from the registry.
        this->hooks.upstream_changed(
            {.upstream = upstream, .change = upstream_change::restart_refuted});
        return;
    }
    this->local_node.send_notices(now);
}

bool core::learn_restarts(time_point now,
                          std::span<const upstreams::restart_notice> received)
{
    bool changed = false;
    for (const upstreams::restart_notice& each : received)
        if (this->known_upstreams.merge_restart(now, each))
        {
            this->hooks.upstream_changed(
                {.upstream = each.upstream,
                 .change = each.accepted_age ? upstream_change::restart_accepted
                                             : upstream_change::restart_suspected,
                 .told = true});
            changed = true;
        }
    return changed;
}

bool core::learn_leaving(time_point now,
                         std::span<const upstreams::leaving_notice> received)
{
    bool changed = false;
    for (const upstreams::leaving_notice& each : received)
        if (this->known_upstreams.note_leaving(now, each.upstream, each.age))
        {
            this->hooks.upstream_changed({.upstream = each.upstream,
                                          .change = upstream_change::leaving,
                                          .told = true});
            changed = true;
        }
    return changed;
}

} // namespace pistachiospan::steering
