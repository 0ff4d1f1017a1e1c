#include "pistachiospan/route/internal/router_implementation.hpp"

namespace pistachiospan::route
{

using namespace internal;

namespace
{

// Peers are forgotten when silent for this long.
constexpr duration peer_memory = std::chrono::seconds(30);
// A peer that refused a relay gets none for this long.
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
    this->process_wakes(now);
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
    this->pump(now, group);
    // What waits now cannot be placed, so a request that can be takes nobody's turn.
    decision made;
    if (this->place(now, group, incoming, made))
    {
        group.queue.charge(incoming.account, this->weight_of(incoming.account));
    }
    else
    {
        made = this->enqueue(now, group, std::move(incoming));
    }
    this->deliver();
    return made;
}

void router::implementation::start(time_point now, group_state& group,
                                   const request& asked, upstream_state* to,
                                   const vm_id& peer)
{
    const time_point held = asked.deadline + this->options.hold_after_deadline;
    this->running[asked.id] = {.account = asked.account,
                               .group = &group,
                               .upstream = to,
                               .peer = peer,
                               .sent = now,
                               .held_until = held};
    this->holds.emplace(held, asked.id);
    if (to != nullptr)
    {
        to->in_flight += 1;
        group.in_flight += 1;
        this->totals.in_flight += 1;
        this->totals.dispatched += 1;
        this->refresh(now, *to);
        return;
    }
    group.relays += 1;
    this->totals.relayed += 1;
    this->peers[peer.value].groups[group.name].unreported += 1;
}

void router::implementation::release(time_point now, request_id id)
{
    const auto found = this->running.find(id);
    const running_request ended = found->second;
    this->running.erase(found);
    this->holds.erase({ended.held_until, id});
    if (ended.upstream == nullptr)
    {
        ended.group->relays -= 1;
        const auto peer = this->peers.find(ended.peer.value);
        if (peer != this->peers.end())
        {
            auto& group = peer->second.groups[ended.group->name];
            const bool counted =
                ended.sent >= peer->second.taken - this->options.report_transit_time;
            group.unreported -= counted && group.unreported > 0 ? 1 : 0;
        }
        return;
    }
    upstream_state& upstream = *ended.upstream;
    upstream.in_flight -= 1;
    ended.group->in_flight -= 1;
    this->totals.in_flight -= 1;
    if (upstream.in_flight == 0 && upstream.drain_began)
    {
        this->drained.emplace_back(upstream.address, now - *upstream.drain_began);
    }
    this->refresh(now, upstream);
}

void router::implementation::complete(time_point now, request_id id, outcome how,
                                      duration latency, duration retry_after)
{
    const auto found = this->running.find(id);
    if (found == this->running.end())
    {
        const auto place = this->waiting.find(id);
        if (place != this->waiting.end())
        {
            this->forget_waiting(*place->second->queue.remove(id));
        }
        return;
    }
    running_request& ended = found->second;
    if (ended.cancelled)
    {
        return; // the end of its connection or its deadline frees the slot
    }
    upstream_state* upstream = ended.upstream;
    if (how == outcome::timed_out && upstream != nullptr)
    {
        this->failed(now, *upstream);
    }
    if (how == outcome::cancelled || how == outcome::timed_out)
    {
        ended.cancelled = true;
        return;
    }
    if (upstream != nullptr)
    {
        switch (how)
        {
        case outcome::ok:
            this->succeeded(now, *upstream, latency);
            break;
        case outcome::failed:
            this->failed(now, *upstream);
            break;
        case outcome::shed:
            this->shed(now, *upstream, retry_after);
            break;
        default:
            break;
        }
    }
    else if (how == outcome::ok)
    {
        ended.group->relay_service.add(now, microseconds(latency));
    }
    else if (how != outcome::not_sent)
    {
        auto& group = this->peers[ended.peer.value].groups[ended.group->name];
        group.backoff_until = now + std::max(retry_after, peer_backoff);
    }
    this->release(now, id);
    this->pump_all(now);
    this->deliver();
}

void router::implementation::connection_closed(time_point now, request_id id)
{
    const auto found = this->running.find(id);
    if (found != this->running.end() && found->second.cancelled)
    {
        this->release(now, id);
        this->pump_all(now);
        this->deliver();
    }
}

// Frees the slots of requests whose end was not confirmed: the upstream stops at the
// deadline. A request that was not cancelled counts as a failure of its upstream.
void router::implementation::expire_running(time_point now)
{
    while (!this->holds.empty() && this->holds.begin()->first <= now)
    {
        const request_id id = this->holds.begin()->second;
        const running_request& ended = this->running.at(id);
        if (!ended.cancelled)
        {
            this->totals.lost += 1;
            if (ended.upstream != nullptr)
            {
                this->failed(now, *ended.upstream);
            }
        }
        this->release(now, id);
    }
}

void router::implementation::tick(time_point now)
{
    this->process_wakes(now);
    this->grow_if_allowed(now);
    this->expire_running(now);
    this->forget_removed(now);
    this->advance_moves(now);
    std::erase_if(this->peers, [now](const auto& entry)
                  { return now - entry.second.taken > peer_memory; });
    this->pump_all(now);
    for (const auto& [name, group] : this->groups)
    {
        this->expire_waiting(now, *group);
    }
    this->deliver();
}

upstream_state* router::implementation::find(std::string_view address) const
{
    const auto found = this->upstreams.find(address);
    return found == this->upstreams.end() ? nullptr : found->second.get();
}

router::router(router_options options, router_hooks hooks)
    : self(std::make_unique<implementation>(std::move(options), std::move(hooks)))
{
}

router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::set_catalogue(time_point now, const catalogue::catalogue& next)
{
    this->self->set_catalogue(now, next);
}

void router::set_share(time_point now, share next)
{
    this->self->set_share(now, std::move(next));
}

void router::allow_growth(time_point now)
{
    this->self->allow_growth(now);
}

bool router::usage_within_share() const
{
    return this->self->usage_within_share();
}

decision router::submit(time_point now, request incoming)
{
    return this->self->submit(now, std::move(incoming));
}

void router::complete(time_point now, request_id id, outcome how, duration latency,
                      duration retry_after)
{
    this->self->complete(now, id, how, latency, retry_after);
}

void router::connection_closed(time_point now, request_id id)
{
    this->self->connection_closed(now, id);
}

bool router::open_connection(std::string_view upstream)
{
    upstream_state* of = this->self->find(upstream);
    if (of == nullptr || of->draining() ||
        of->open_connections >= of->connections.current)
    {
        return false;
    }
    of->open_connections += 1;
    return true;
}

void router::close_connection(std::string_view upstream)
{
    upstream_state* of = this->self->find(upstream);
    if (of != nullptr && of->open_connections > 0)
    {
        of->open_connections -= 1;
    }
}

void router::tick(time_point now)
{
    this->self->tick(now);
}

void router::observe(time_point now, std::string_view upstream,
                     const upstream_report& said)
{
    this->self->observe(now, upstream, said);
}

void router::observe_peer(time_point now, const peer_report& said)
{
    this->self->observe_peer(now, said);
}

void router::drain(time_point now, std::string_view upstream)
{
    this->self->drain(now, upstream);
}

void router::charge_link(time_point now, std::string_view to_region, std::uint64_t bytes)
{
    this->self->charge_link(now, to_region, bytes);
}

std::vector<group_free_slots> router::free_slots(time_point now)
{
    return this->self->free_slots(now);
}

router_counts router::counts() const
{
    router_counts counts = this->self->totals;
    counts.waiting = this->self->waiting_count();
    return counts;
}

std::vector<upstream_status> router::upstreams(time_point now) const
{
    std::vector<upstream_status> views;
    for (const auto& [address, each] : this->self->upstreams)
    {
        views.push_back({.address = address,
                         .in_flight = each->in_flight,
                         .limit = each->limit,
                         .connections = each->open_connections,
                         .connection_limit = each->connections.current,
                         .draining = each->draining(),
                         .ejected = each->state != standing::serving,
                         .moving = each->moving,
                         .latency = span_of(this->self->latency_of(now, *each))});
    }
    return views;
}

std::vector<move_status> router::moves() const
{
    std::vector<move_status> views;
    for (const auto& [name, group] : this->self->groups)
    {
        if (group->move)
        {
            views.push_back({name, group->move->control.fraction()});
        }
    }
    return views;
}

} // namespace pistachiospan::route
