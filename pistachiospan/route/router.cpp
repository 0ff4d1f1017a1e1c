#include "pistachiospan/route/internal/router_implementation.hpp"

namespace pistachiospan::route
{

using namespace internal;

namespace
{

// Peers are removed when they have not reported for this long.
constexpr duration peer_retention = std::chrono::seconds(30);
// A peer that refused a relay receives none for at least this long.
constexpr duration peer_backoff = std::chrono::milliseconds(50);

} // namespace

std::string_view name_of(refusal reason) noexcept
{
    switch (reason)
    {
    case refusal::none:
        return "none";
    case refusal::unknown_group:
        return "unknown_group";
    case refusal::duplicate_id:
        return "duplicate_id";
    case refusal::no_upstream:
        return "no_upstream";
    case refusal::account_queue_full:
        return "account_queue_full";
    case refusal::queue_full:
        return "queue_full";
    case refusal::deadline_too_near:
        return "deadline_too_near";
    }
    return "unknown";
}

decision router::implementation::submit(time_point now, request incoming)
{
    this->process_timers(now);
    const auto found = this->groups.find(incoming.group);
    if (found == this->groups.end() || !found->second->present)
    {
        return this->refuse(refusal::unknown_group, std::chrono::seconds(1));
    }
    if (this->running.contains(incoming.id) || this->waiting.contains(incoming.id))
    {
        return this->refuse(refusal::duplicate_id, duration(0));
    }
    group_state& group = *found->second;
    incoming.deadline = std::min(incoming.deadline, now + this->longest_deadline);
    if (incoming.deadline <= now)
    {
        return this->refuse(refusal::deadline_too_near, duration(0));
    }
    this->dispatch_waiting(now, group);
    // The requests that still wait cannot be placed now, so placing this one at once does
    // not overtake any of them.
    decision answer;
    if (this->try_place(now, group, incoming, answer))
    {
        group.queue.charge(incoming.account, this->account_weight(incoming.account));
    }
    else
    {
        answer = this->enqueue(now, group, std::move(incoming));
    }
    this->run_hooks();
    return answer;
}

void router::implementation::start_request(time_point now, group_state& group,
                                           const request& incoming,
                                           upstream_state* destination, const vm_id& peer)
{
    const time_point release_at = incoming.deadline + this->options.hold_after_deadline;
    this->running[incoming.id] = {.account = incoming.account,
                                  .group = &group,
                                  .upstream = destination,
                                  .peer = peer,
                                  .sent_at = now,
                                  .release_at = release_at};
    this->slot_releases.emplace(release_at, incoming.id);
    if (destination != nullptr)
    {
        destination->in_flight += 1;
        group.in_flight += 1;
        this->counters.in_flight += 1;
        this->counters.dispatched += 1;
        this->refresh(now, *destination);
        return;
    }
    group.relays += 1;
    this->counters.relayed += 1;
    this->peers[peer.value].groups[group.name].unreported += 1;
}

void router::implementation::release_request(time_point now, request_id id)
{
    const auto found = this->running.find(id);
    const running_request finished = found->second;
    this->running.erase(found);
    this->slot_releases.erase({finished.release_at, id});
    if (finished.upstream == nullptr)
    {
        finished.group->relays -= 1;
        const auto peer = this->peers.find(finished.peer.value);
        if (peer != this->peers.end())
        {
            auto& group = peer->second.groups[finished.group->name];
            const bool counted =
                finished.sent_at >=
                peer->second.measured_at - this->options.report_transit_time;
            group.unreported -= counted && group.unreported > 0 ? 1 : 0;
        }
        return;
    }
    upstream_state& upstream = *finished.upstream;
    upstream.in_flight -= 1;
    finished.group->in_flight -= 1;
    this->counters.in_flight -= 1;
    if (upstream.in_flight == 0 && upstream.drain_started_at)
    {
        this->pending_drains.emplace_back(upstream.address,
                                          now - *upstream.drain_started_at);
    }
    this->refresh(now, upstream);
}

void router::implementation::complete(time_point now, request_id id,
                                      outcome request_outcome, duration latency,
                                      duration retry_after)
{
    const auto found = this->running.find(id);
    if (found == this->running.end())
    {
        const auto queued = this->waiting.find(id);
        if (queued != this->waiting.end())
        {
            this->remove_waiting(*queued->second->queue.remove(id));
        }
        return;
    }
    running_request& finished = found->second;
    if (finished.cancelled)
    {
        return; // the end of its connection or its deadline frees the slot
    }
    upstream_state* upstream = finished.upstream;
    if (request_outcome == outcome::timed_out && upstream != nullptr)
    {
        this->record_failure(now, *upstream);
    }
    if (request_outcome == outcome::cancelled || request_outcome == outcome::timed_out)
    {
        finished.cancelled = true;
        return;
    }
    if (upstream != nullptr)
    {
        switch (request_outcome)
        {
        case outcome::ok:
            this->record_success(now, *upstream, latency);
            break;
        case outcome::failed:
            this->record_failure(now, *upstream);
            break;
        case outcome::shed:
            this->record_shed(now, *upstream, retry_after);
            break;
        default:
            break;
        }
    }
    else if (request_outcome == outcome::ok)
    {
        finished.group->relay_service.add(now, microseconds(latency));
    }
    else if (request_outcome != outcome::not_sent)
    {
        auto& group = this->peers[finished.peer.value].groups[finished.group->name];
        group.backoff_until = now + std::max(retry_after, peer_backoff);
    }
    this->release_request(now, id);
    this->dispatch_all_waiting(now);
    this->run_hooks();
}

void router::implementation::connection_closed(time_point now, request_id id)
{
    const auto found = this->running.find(id);
    if (found != this->running.end() && found->second.cancelled)
    {
        this->release_request(now, id);
        this->dispatch_all_waiting(now);
        this->run_hooks();
    }
}

// Frees the slots of requests whose end was not confirmed: the upstream stops work at the
// deadline. A request that was not cancelled counts as a failure of its upstream.
void router::implementation::expire_running(time_point now)
{
    while (!this->slot_releases.empty() && this->slot_releases.begin()->first <= now)
    {
        const request_id id = this->slot_releases.begin()->second;
        const running_request& finished = this->running.at(id);
        if (!finished.cancelled)
        {
            this->counters.lost += 1;
            if (finished.upstream != nullptr)
            {
                this->record_failure(now, *finished.upstream);
            }
        }
        this->release_request(now, id);
    }
}

void router::implementation::tick(time_point now)
{
    this->process_timers(now);
    this->grow_if_allowed(now);
    this->expire_running(now);
    this->erase_removed_upstreams(now);
    this->advance_moves(now);
    std::erase_if(this->peers, [now](const auto& entry)
                  { return now - entry.second.measured_at > peer_retention; });
    this->dispatch_all_waiting(now);
    for (const auto& [name, group] : this->groups)
    {
        this->expire_waiting(now, *group);
    }
    this->run_hooks();
}

upstream_state* router::implementation::find(std::string_view address) const
{
    const auto found = this->upstreams.find(address);
    return found == this->upstreams.end() ? nullptr : found->second.get();
}

router::router(router_options options, router_hooks hooks)
    : state(std::make_unique<implementation>(std::move(options), std::move(hooks)))
{
}

router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::set_catalogue(time_point now, const catalogue::catalogue& next)
{
    this->state->set_catalogue(now, next);
}

void router::set_share(time_point now, share next)
{
    this->state->set_share(now, std::move(next));
}

void router::allow_growth(time_point now)
{
    this->state->allow_growth(now);
}

bool router::usage_within_share() const
{
    return this->state->usage_within_share();
}

decision router::submit(time_point now, request incoming)
{
    return this->state->submit(now, std::move(incoming));
}

void router::complete(time_point now, request_id id, outcome request_outcome,
                      duration latency, duration retry_after)
{
    this->state->complete(now, id, request_outcome, latency, retry_after);
}

void router::connection_closed(time_point now, request_id id)
{
    this->state->connection_closed(now, id);
}

bool router::open_connection(std::string_view address)
{
    upstream_state* upstream = this->state->find(address);
    if (upstream == nullptr || upstream->draining() ||
        upstream->open_connections >= upstream->connections.current)
    {
        return false;
    }
    upstream->open_connections += 1;
    return true;
}

void router::close_connection(std::string_view address)
{
    upstream_state* upstream = this->state->find(address);
    if (upstream != nullptr && upstream->open_connections > 0)
    {
        upstream->open_connections -= 1;
    }
}

void router::tick(time_point now)
{
    this->state->tick(now);
}

void router::observe(time_point now, std::string_view address,
                     const upstream_report& report)
{
    this->state->observe(now, address, report);
}

void router::observe_peer(time_point now, const peer_report& report)
{
    this->state->observe_peer(now, report);
}

void router::drain(time_point now, std::string_view address)
{
    this->state->drain(now, address);
}

void router::charge_link(time_point now, std::string_view to_region, std::uint64_t bytes)
{
    this->state->charge_link(now, to_region, bytes);
}

std::vector<group_free_slots> router::free_slots(time_point now)
{
    return this->state->free_slots(now);
}

router_counts router::counts() const
{
    router_counts counts = this->state->counters;
    counts.waiting = this->state->waiting_count();
    return counts;
}

std::vector<upstream_status> router::upstreams(time_point now) const
{
    std::vector<upstream_status> views;
    for (const auto& [address, each] : this->state->upstreams)
    {
        views.push_back({.address = address,
                         .in_flight = each->in_flight,
                         .limit = each->limit,
                         .connections = each->open_connections,
                         .connection_limit = each->connections.current,
                         .draining = each->draining(),
                         .ejected = each->state != ejection_state::serving,
                         .moving = each->moving,
                         .latency = span_of(this->state->current_latency(now, *each))});
    }
    return views;
}

std::vector<move_status> router::moves() const
{
    std::vector<move_status> views;
    for (const auto& [name, group] : this->state->groups)
    {
        if (group->move)
        {
            views.push_back({name, group->move->controller.fraction()});
        }
    }
    return views;
}

} // namespace pistachiospan::route
