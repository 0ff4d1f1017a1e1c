#include "pistachiospan/route/internal/router_implementation.hpp"

namespace pistachiospan::route
{

using namespace internal;

namespace
{

// Health reports without draining revoke a drain signal only this long after the last
// signal. Reports lag, so an earlier one may be older than the signal.
constexpr duration drain_signal_retention = std::chrono::seconds(10);
constexpr double failure_weight = 1.0 / 16;
// An upstream that reports itself unhealthy is rated this many times slower.
constexpr double unhealthy_factor = 8;
// At a failure rate of 1 an upstream is rated slower by a factor of 1 plus this.
constexpr double failure_factor = 10;
// A data centre without upstreams of the group sends up to this many requests, beyond
// those that the last report includes, to a peer without reported free slots, so that its
// callers take part in the fair queue of the peer.
constexpr double min_relays_without_upstreams = 1;

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

// --- State of upstreams ---

std::uint32_t router::implementation::usable_limit(time_point now,
                                                   const upstream_state& upstream) const
{
    if (upstream.draining() || now < upstream.backoff_until ||
        upstream.state == ejection_state::ejected)
    {
        return 0;
    }
    const std::uint32_t owned =
        std::min({upstream.slots.current, upstream.connections.current,
                  upstream.warm_up_limit(now, this->own_share)});
    return upstream.state == ejection_state::probing ? std::min<std::uint32_t>(owned, 1)
                                                     : owned;
}

std::optional<time_point>
router::implementation::next_timer(time_point now, const upstream_state& upstream) const
{
    std::optional<time_point> earliest;
    const auto consider = [&](time_point at)
    {
        if (at > now && (!earliest || at < *earliest))
        {
            earliest = at;
        }
    };
    consider(upstream.backoff_until);
    if (upstream.state == ejection_state::ejected)
    {
        consider(upstream.ejected_until);
    }
    if (upstream.warm_up_started_at &&
        now - *upstream.warm_up_started_at < upstream.warm_up)
    {
        const duration step = std::max(upstream.warm_up_step(), duration(1));
        consider(*upstream.warm_up_started_at +
                 step * ((now - *upstream.warm_up_started_at) / step + 1));
    }
    return earliest;
}

void router::implementation::set_listing(upstream_state& upstream, listing next)
{
    const auto list_of = [&upstream](listing which)
    {
        return which == listing::available ? &upstream.group->available
                                           : &upstream.group->probing;
    };
    if (upstream.list == next)
    {
        return;
    }
    if (upstream.list != listing::none)
    {
        auto& list = *list_of(upstream.list);
        list[upstream.list_position] = list.back();
        list[upstream.list_position]->list_position = upstream.list_position;
        list.pop_back();
    }
    if (next != listing::none)
    {
        auto& list = *list_of(next);
        upstream.list_position = list.size();
        list.push_back(&upstream);
    }
    upstream.list = next;
}

void router::implementation::remove_from_group(upstream_state& upstream)
{
    if (upstream.group == nullptr)
    {
        return;
    }
    set_listing(upstream, listing::none);
    upstream.group->capacity -= upstream.capacity;
    upstream.capacity = 0;
    upstream.group->members -= upstream.member ? 1 : 0;
    upstream.member = false;
    if (upstream.timer)
    {
        this->timers.erase({*upstream.timer, upstream.ordinal});
        upstream.timer.reset();
    }
}

// Recomputes the derived state that selection reads. Call after each change of an
// upstream.
void router::implementation::refresh(time_point now, upstream_state& upstream)
{
    if (upstream.state == ejection_state::ejected && now >= upstream.ejected_until)
    {
        upstream.state = ejection_state::probing;
    }
    if (upstream.warm_up_started_at &&
        now - *upstream.warm_up_started_at >= upstream.warm_up)
    {
        upstream.warm_up_started_at.reset();
    }
    upstream.limit = this->usable_limit(now, upstream);
    const std::uint32_t capacity =
        upstream.state == ejection_state::serving ? upstream.limit : 0;
    upstream.group->capacity += capacity;
    upstream.group->capacity -= upstream.capacity;
    upstream.capacity = capacity;
    const bool member = !upstream.draining();
    upstream.group->members += member ? 1 : 0;
    upstream.group->members -= upstream.member ? 1 : 0;
    upstream.member = member;
    const listing free =
        upstream.state == ejection_state::probing ? listing::probing : listing::available;
    set_listing(upstream, upstream.in_flight < upstream.limit ? free : listing::none);
    const std::optional<time_point> timer = this->next_timer(now, upstream);
    if (timer != upstream.timer)
    {
        if (upstream.timer)
        {
            this->timers.erase({*upstream.timer, upstream.ordinal});
        }
        if (timer)
        {
            this->timers[{*timer, upstream.ordinal}] = &upstream;
        }
        upstream.timer = timer;
    }
}

void router::implementation::refresh_all(time_point now)
{
    for (const auto& [address, each] : this->upstreams)
    {
        this->refresh(now, *each);
    }
}

void router::implementation::process_timers(time_point now)
{
    while (!this->timers.empty() && this->timers.begin()->first.first <= now)
    {
        this->refresh(now, *this->timers.begin()->second);
    }
}

void router::implementation::begin_drain(time_point now, upstream_state& upstream)
{
    if (upstream.drain_started_at)
    {
        return;
    }
    upstream.drain_started_at = now;
    if (upstream.in_flight == 0)
    {
        this->pending_drains.emplace_back(upstream.address, duration(0));
    }
}

void router::implementation::record_success(time_point now, upstream_state& upstream,
                                            duration latency)
{
    upstream.failures = 0;
    upstream.sheds = 0;
    upstream.failure_rate -= upstream.failure_rate * failure_weight;
    upstream.last_success = now;
    upstream.add_latency(now, latency, this->options.latency_time_constant);
    upstream.group->service.add(now, microseconds(latency));
    if (upstream.moving && upstream.group->move)
    {
        upstream.group->move->latency_sum += microseconds(latency);
        upstream.group->move->samples += 1;
    }
    if (upstream.state != ejection_state::serving)
    {
        upstream.state = ejection_state::serving;
        upstream.ejections = 0;
        upstream.failure_rate = 0;
        upstream.warm_up_started_at = now;
    }
}

void router::implementation::record_failure(time_point now, upstream_state& upstream)
{
    upstream.failures += 1;
    upstream.failure_rate += (1 - upstream.failure_rate) * failure_weight;
    if (upstream.state == ejection_state::probing)
    {
        this->eject(now, upstream);
        return;
    }
    const bool outlier =
        upstream.failures >= this->options.ejection_consecutive_failures ||
        upstream.failure_rate >= this->options.ejection_failure_rate;
    if (upstream.state == ejection_state::serving && outlier && this->may_eject(upstream))
    {
        this->eject(now, upstream);
    }
}

void router::implementation::record_shed(time_point now, upstream_state& upstream,
                                         duration retry_after)
{
    constexpr std::uint32_t max_doublings = 16;
    const auto factor = 1 << std::min(upstream.sheds, max_doublings);
    const duration wait =
        std::min(this->options.shed_backoff * factor, this->options.max_shed_backoff);
    // Random jitter of up to half the wait, so that the VMs do not return together.
    std::uniform_real_distribution<double> jitter(1.0, 1.5);
    const double jittered = microseconds(wait) * jitter(this->random);
    upstream.backoff_until = now + std::clamp(retry_after, span_of(jittered),
                                              this->options.max_shed_backoff * 2);
    upstream.sheds += 1;
}

bool router::implementation::may_eject(const upstream_state& upstream) const
{
    std::uint32_t not_serving = 0;
    for (const auto& [address, each] : this->upstreams)
    {
        not_serving += each->group == upstream.group && each->member &&
                               each->state != ejection_state::serving
                           ? 1
                           : 0;
    }
    const auto kept = static_cast<std::uint32_t>(
        std::ceil(upstream.group->members * this->options.min_serving_fraction));
    return not_serving + 1 + std::max<std::uint32_t>(kept, 1) <= upstream.group->members;
}

void router::implementation::eject(time_point now, upstream_state& upstream)
{
    constexpr std::uint32_t max_doublings = 16;
    const auto factor = 1 << std::min(upstream.ejections, max_doublings);
    upstream.state = ejection_state::ejected;
    upstream.ejected_until = now + std::min(this->options.ejection_time * factor,
                                            this->options.max_ejection_time);
    upstream.ejections += 1;
    upstream.failures = 0;
    this->counters.ejections += 1;
}

void router::implementation::observe(time_point now, std::string_view address,
                                     const upstream_report& report)
{
    upstream_state* upstream = this->find(address);
    if (upstream == nullptr)
    {
        return;
    }
    upstream->reported_healthy = report.healthy;
    upstream->reported_load = std::clamp(report.load, 0.0, 1.0);
    if (report.draining)
    {
        this->drain(now, address);
        return;
    }
    if (upstream->signalled_drain &&
        now - upstream->drain_signalled_at >= drain_signal_retention)
    {
        upstream->signalled_drain = false;
        upstream->warm_up_started_at = now;
        if (!upstream->draining())
        {
            upstream->drain_started_at.reset();
        }
        this->refresh(now, *upstream);
        this->dispatch_all_waiting(now);
    }
    this->run_hooks();
}

void router::implementation::drain(time_point now, std::string_view address)
{
    if (upstream_state* upstream = this->find(address))
    {
        upstream->signalled_drain = true;
        upstream->drain_signalled_at = now;
        this->begin_drain(now, *upstream);
        this->refresh(now, *upstream);
        this->run_hooks();
    }
}

// --- Selection ---

std::uint32_t router::implementation::free_under_caps(const group_state& group) const
{
    const auto left = [](std::uint32_t cap, std::uint64_t used)
    {
        return used >= cap ? 0 : cap - static_cast<std::uint32_t>(used);
    };
    return std::min(left(group.cap.current, group.in_flight),
                    left(this->data_centre_cap.current, this->counters.in_flight));
}

double router::implementation::cost(time_point now, const upstream_state& upstream) const
{
    double latency = upstream.latency_at(now, this->options.latency_time_constant);
    if (upstream.latency == 0)
    {
        latency = upstream.group->service.value;
    }
    const bool report_overridden =
        upstream.last_success &&
        now - *upstream.last_success < this->options.report_override_time;
    const double health =
        upstream.reported_healthy || report_overridden ? 1 : unhealthy_factor;
    return latency * (upstream.in_flight + 1) / upstream.limit * health *
           (1 + upstream.reported_load) * (1 + upstream.failure_rate * failure_factor);
}

// Prefers idempotent requests as probes. Others probe only when no other upstream is free
// or when none has probed for `ejection_time`.
upstream_state* router::implementation::select_probe(time_point now, group_state& group,
                                                     const request& incoming) const
{
    for (upstream_state* each : group.probing)
    {
        const bool overdue = now - each->ejected_until >= this->options.ejection_time;
        if (!contains(incoming.excluded, each->address) &&
            (incoming.idempotent || overdue || group.available.empty()))
        {
            return each;
        }
    }
    return nullptr;
}

namespace
{

// Free upstreams that the request does not exclude. During a planned move, only those of
// the destination or only the others, depending on the credit, if any of them is free.
std::vector<upstream_state*> eligible_upstreams(const group_state& group,
                                                const request& incoming)
{
    std::vector<upstream_state*> free;
    std::copy_if(group.available.begin(), group.available.end(), std::back_inserter(free),
                 [&](const upstream_state* each)
                 { return !contains(incoming.excluded, each->address); });
    if (group.move)
    {
        const bool destination = group.move->credit >= 1;
        const auto other = std::stable_partition(free.begin(), free.end(),
                                                 [destination](const upstream_state* each)
                                                 { return each->moving == destination; });
        free.erase(other == free.begin() ? free.end() : other, free.end());
    }
    return free;
}

} // namespace

upstream_state* router::implementation::select(time_point now, group_state& group,
                                               const request& incoming)
{
    if (!group.probing.empty())
    {
        if (upstream_state* probe = this->select_probe(now, group, incoming))
        {
            return probe;
        }
    }
    std::vector<upstream_state*> filtered;
    const auto* from = &group.available;
    if (!incoming.excluded.empty() || group.move)
    {
        filtered = eligible_upstreams(group, incoming);
        from = &filtered;
    }
    if (from->size() < 2)
    {
        return from->empty() ? nullptr : from->front();
    }
    const std::size_t first = this->random() % from->size();
    const std::size_t step = 1 + this->random() % (from->size() - 1);
    upstream_state* one = (*from)[first];
    upstream_state* other = (*from)[(first + step) % from->size()];
    return this->cost(now, *other) < this->cost(now, *one) ? other : one;
}

bool router::implementation::try_place(time_point now, group_state& group,
                                       const request& incoming, decision& out)
{
    if (this->free_under_caps(group) > 0)
    {
        if (upstream_state* chosen = this->select(now, group, incoming))
        {
            charge_move(group, *chosen);
            this->start_request(now, group, incoming, chosen, {});
            out = {.kind = decision_kind::dispatched, .upstream = chosen->address};
            return true;
        }
    }
    return !incoming.relayed && this->try_place_relay(now, group, incoming, out);
}

bool router::implementation::can_place(time_point now, const group_state& group) const
{
    if (this->free_under_caps(group) > 0 &&
        (!group.available.empty() || !group.probing.empty()))
    {
        return true;
    }
    return std::any_of(this->peers.begin(), this->peers.end(),
                       [&](const auto& entry)
                       { return this->relay_headroom(now, group, entry.second) > 0; });
}

const std::string& router::implementation::region_of(const std::string& data_centre) const
{
    static const std::string none;
    const auto found = this->active.data_centres.find(data_centre);
    return found == this->active.data_centres.end() ? none : found->second.region;
}

// 0: same data centre, 1: same region, 2: another region.
int router::implementation::distance(const std::string& data_centre) const
{
    if (data_centre == this->options.data_centre)
    {
        return 0;
    }
    return this->region_of(data_centre) == this->region_of(this->options.data_centre) ? 1
                                                                                      : 2;
}

double router::implementation::relay_headroom(time_point now, const group_state& group,
                                              const peer_state& peer) const
{
    const auto found = peer.groups.find(group.name);
    const duration age = now - peer.measured_at;
    if (peer.draining || found == peer.groups.end() ||
        age >= this->options.max_peer_report_age || now < found->second.backoff_until)
    {
        return 0;
    }
    const double freshness = 1 - microseconds(std::max(age, duration(0))) /
                                     microseconds(this->options.max_peer_report_age);
    const double remaining =
        std::floor(found->second.free_slots * freshness) - found->second.unreported;
    const double minimum =
        group.members == 0 ? min_relays_without_upstreams - found->second.unreported : 0;
    return std::max({remaining, minimum, 0.0});
}

// Selects among the peers of the nearest data centres with headroom, at random by weight
// of headroom. Skips a region whose link budget does not admit the request.
bool router::implementation::try_place_relay(time_point now, group_state& group,
                                             const request& incoming, decision& out)
{
    struct candidate
    {
        const std::string* vm;
        const peer_state* peer;
        int distance;
        double headroom;
    };
    std::vector<candidate> candidates;
    for (const auto& [vm, peer] : this->peers)
    {
        const double headroom = this->relay_headroom(now, group, peer);
        if (headroom > 0 && !contains(incoming.excluded, vm))
        {
            candidates.push_back(
                {&vm, &peer, this->distance(peer.data_centre), headroom});
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate& left, const candidate& right)
                     { return left.distance < right.distance; });
    while (!candidates.empty())
    {
        const int nearest = candidates.front().distance;
        std::vector<double> weights;
        weights.reserve(candidates.size());
        for (const candidate& each : candidates)
        {
            weights.push_back(each.distance == nearest ? each.headroom : 0);
        }
        std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
        const candidate chosen = candidates[choice(this->random)];
        const std::string& region = this->region_of(chosen.peer->data_centre);
        const auto link = this->links.find(region);
        const bool crosses = nearest == 2 && link != this->links.end();
        if (crosses &&
            !link->second.admit(now, incoming.body_size + this->options.request_overhead,
                                this->is_large(incoming)))
        {
            std::erase_if(candidates, [&](const candidate& each)
                          { return this->region_of(each.peer->data_centre) == region; });
            continue;
        }
        this->start_request(now, group, incoming, nullptr, {*chosen.vm});
        out = {.kind = decision_kind::relayed,
               .data_centre = chosen.peer->data_centre,
               .peer = {*chosen.vm}};
        out.max_send_rate =
            crosses && this->is_large(incoming) ? link->second.large_rate() : 0;
        return true;
    }
    return false;
}

void router::implementation::observe_peer(time_point now, const peer_report& report)
{
    peer_state& peer = this->peers[report.vm.value];
    const time_point measured_at = now - report.age;
    if (measured_at < peer.measured_at)
    {
        return; // a newer report came first
    }
    peer.measured_at = measured_at;
    peer.data_centre = report.data_centre;
    peer.draining = report.draining;
    for (auto& [name, group] : peer.groups)
    {
        group.free_slots = 0;
    }
    for (const group_free_slots& each : report.groups)
    {
        peer.groups[each.group].free_slots = each.free_slots;
    }
    this->recount_unreported(report.vm.value, peer);
    this->dispatch_all_waiting(now);
    this->run_hooks();
}

// Counts the running relays that the peer's report may not include.
void router::implementation::recount_unreported(const std::string& vm, peer_state& peer)
{
    for (auto& [name, group] : peer.groups)
    {
        group.unreported = 0;
    }
    const time_point boundary = peer.measured_at - this->options.report_transit_time;
    for (const auto& [id, each] : this->running)
    {
        const auto found = peer.groups.find(each.group->name);
        if (each.upstream == nullptr && each.peer.value == vm &&
            each.sent_at >= boundary && found != peer.groups.end())
        {
            found->second.unreported += 1;
        }
    }
}

void router::implementation::charge_link(time_point now, std::string_view to_region,
                                         std::uint64_t bytes)
{
    const auto link = this->links.find(to_region);
    if (link != this->links.end())
    {
        link->second.charge(now, bytes);
    }
}

std::vector<group_free_slots> router::implementation::free_slots(time_point now)
{
    this->process_timers(now);
    std::vector<group_free_slots> loads;
    for (const auto& [name, group] : this->groups)
    {
        std::uint64_t free = 0;
        for (const upstream_state* each : group->available)
        {
            free += each->limit - each->in_flight;
        }
        free = std::min<std::uint64_t>(free, this->free_under_caps(*group));
        free -= std::min<std::uint64_t>(free, group->queue.size());
        if (group->present && group->members > 0)
        {
            loads.push_back({name, static_cast<std::uint32_t>(free)});
        }
    }
    return loads;
}

} // namespace pistachiospan::route
