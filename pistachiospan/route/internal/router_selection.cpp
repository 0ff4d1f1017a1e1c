#include "pistachiospan/route/internal/router_implementation.hpp"

namespace pistachiospan::route
{

using namespace internal;

namespace
{

// A drain signal is void when health reports deny it this long after the last one.
// Reports lag, so an earlier denial may be older than the signal.
constexpr duration drain_signal_memory = std::chrono::seconds(10);
constexpr double failure_weight = 1.0 / 16;
// Reported ill health makes an upstream look this many times slower.
constexpr double unhealthy_factor = 8;
// Errors make an upstream look up to this many times slower.
constexpr double failure_factor = 10;
// A data centre without own upstreams sends this many requests at once to a peer that
// reports no headroom, so that its callers wait in the owner's fair queue too.
constexpr double blind_relays = 1;

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

// --- State of upstreams ---

std::uint32_t router::implementation::limit_of(time_point now,
                                               const upstream_state& of) const
{
    if (of.draining() || now < of.backoff_until || of.state == standing::ejected)
    {
        return 0;
    }
    const std::uint32_t owned = std::min(
        {of.slots.current, of.connections.current, of.warm_limit(now, this->own)});
    return of.state == standing::probing ? std::min<std::uint32_t>(owned, 1) : owned;
}

std::optional<time_point> router::implementation::wake_of(time_point now,
                                                          const upstream_state& of) const
{
    std::optional<time_point> earliest;
    const auto consider = [&](time_point at)
    {
        if (at > now && (!earliest || at < *earliest))
        {
            earliest = at;
        }
    };
    consider(of.backoff_until);
    if (of.state == standing::ejected)
    {
        consider(of.ejected_until);
    }
    if (of.warm_start && now - *of.warm_start < of.warm_up)
    {
        const duration step = std::max(of.warm_step(), duration(1));
        consider(*of.warm_start + step * ((now - *of.warm_start) / step + 1));
    }
    return earliest;
}

void router::implementation::list_in(upstream_state& of, listing next)
{
    const auto list_of = [&of](listing which)
    {
        return which == listing::available ? &of.group->available : &of.group->probing;
    };
    if (of.list == next)
    {
        return;
    }
    if (of.list != listing::none)
    {
        auto& list = *list_of(of.list);
        list[of.list_position] = list.back();
        list[of.list_position]->list_position = of.list_position;
        list.pop_back();
    }
    if (next != listing::none)
    {
        auto& list = *list_of(next);
        of.list_position = list.size();
        list.push_back(&of);
    }
    of.list = next;
}

void router::implementation::unlist(upstream_state& of)
{
    if (of.group == nullptr)
    {
        return;
    }
    list_in(of, listing::none);
    of.group->capacity -= of.capacity;
    of.capacity = 0;
    of.group->members -= of.member ? 1 : 0;
    of.member = false;
    if (of.wake)
    {
        this->wakes.erase({*of.wake, of.ordinal});
        of.wake.reset();
    }
}

// Recomputes what selection reads. Call after each change of the upstream's state.
void router::implementation::refresh(time_point now, upstream_state& of)
{
    if (of.state == standing::ejected && now >= of.ejected_until)
    {
        of.state = standing::probing;
    }
    if (of.warm_start && now - *of.warm_start >= of.warm_up)
    {
        of.warm_start.reset();
    }
    of.limit = this->limit_of(now, of);
    const std::uint32_t capacity = of.state == standing::serving ? of.limit : 0;
    of.group->capacity += capacity;
    of.group->capacity -= of.capacity;
    of.capacity = capacity;
    const bool member = !of.draining();
    of.group->members += member ? 1 : 0;
    of.group->members -= of.member ? 1 : 0;
    of.member = member;
    const listing free =
        of.state == standing::probing ? listing::probing : listing::available;
    list_in(of, of.in_flight < of.limit ? free : listing::none);
    const std::optional<time_point> wake = this->wake_of(now, of);
    if (wake != of.wake)
    {
        if (of.wake)
        {
            this->wakes.erase({*of.wake, of.ordinal});
        }
        if (wake)
        {
            this->wakes[{*wake, of.ordinal}] = &of;
        }
        of.wake = wake;
    }
}

void router::implementation::refresh_all(time_point now)
{
    for (const auto& [address, each] : this->upstreams)
    {
        this->refresh(now, *each);
    }
}

void router::implementation::process_wakes(time_point now)
{
    while (!this->wakes.empty() && this->wakes.begin()->first.first <= now)
    {
        this->refresh(now, *this->wakes.begin()->second);
    }
}

void router::implementation::begin_drain(time_point now, upstream_state& of)
{
    if (of.drain_began)
    {
        return;
    }
    of.drain_began = now;
    if (of.in_flight == 0)
    {
        this->drained.emplace_back(of.address, duration(0));
    }
}

void router::implementation::succeeded(time_point now, upstream_state& of,
                                       duration latency)
{
    of.failures = 0;
    of.sheds = 0;
    of.failure_rate -= of.failure_rate * failure_weight;
    of.last_success = now;
    of.add_latency(now, latency, this->options.latency_time_constant);
    of.group->service.add(now, microseconds(latency));
    if (of.moving && of.group->move)
    {
        of.group->move->latency_sum += microseconds(latency);
        of.group->move->samples += 1;
    }
    if (of.state != standing::serving)
    {
        of.state = standing::serving;
        of.ejections = 0;
        of.failure_rate = 0;
        of.warm_start = now;
    }
}

void router::implementation::failed(time_point now, upstream_state& of)
{
    of.failures += 1;
    of.failure_rate += (1 - of.failure_rate) * failure_weight;
    if (of.state == standing::probing)
    {
        this->eject(now, of);
        return;
    }
    const bool outlier = of.failures >= this->options.ejection_consecutive_failures ||
                         of.failure_rate >= this->options.ejection_failure_rate;
    if (of.state == standing::serving && outlier && this->may_eject(of))
    {
        this->eject(now, of);
    }
}

void router::implementation::shed(time_point now, upstream_state& of,
                                  duration retry_after)
{
    constexpr std::uint32_t most_doublings = 16;
    const auto factor = 1 << std::min(of.sheds, most_doublings);
    const duration wait =
        std::min(this->options.shed_backoff * factor, this->options.max_shed_backoff);
    // Up to half is added at random, so that the VMs do not return together.
    std::uniform_real_distribution<double> jitter(1.0, 1.5);
    const double chosen = microseconds(wait) * jitter(this->random);
    of.backoff_until = now + std::clamp(retry_after, span_of(chosen),
                                        this->options.max_shed_backoff * 2);
    of.sheds += 1;
}

bool router::implementation::may_eject(const upstream_state& of) const
{
    std::uint32_t out = 0;
    for (const auto& [address, each] : this->upstreams)
    {
        out += each->group == of.group && each->member && each->state != standing::serving
                   ? 1
                   : 0;
    }
    const auto kept = static_cast<std::uint32_t>(
        std::ceil(of.group->members * this->options.min_serving_fraction));
    return out + 1 + std::max<std::uint32_t>(kept, 1) <= of.group->members;
}

void router::implementation::eject(time_point now, upstream_state& of)
{
    constexpr std::uint32_t most_doublings = 16;
    const auto factor = 1 << std::min(of.ejections, most_doublings);
    of.state = standing::ejected;
    of.ejected_until = now + std::min(this->options.ejection_time * factor,
                                      this->options.max_ejection_time);
    of.ejections += 1;
    of.failures = 0;
    this->totals.ejections += 1;
}

void router::implementation::observe(time_point now, std::string_view upstream,
                                     const upstream_report& said)
{
    upstream_state* of = this->find(upstream);
    if (of == nullptr)
    {
        return;
    }
    of->reported_healthy = said.healthy;
    of->reported_load = std::clamp(said.load, 0.0, 1.0);
    if (said.draining)
    {
        this->drain(now, upstream);
        return;
    }
    if (of->signalled_drain && now - of->drain_signal >= drain_signal_memory)
    {
        of->signalled_drain = false;
        of->warm_start = now;
        if (!of->draining())
        {
            of->drain_began.reset();
        }
        this->refresh(now, *of);
        this->pump_all(now);
    }
    this->deliver();
}

void router::implementation::drain(time_point now, std::string_view upstream)
{
    if (upstream_state* of = this->find(upstream))
    {
        of->signalled_drain = true;
        of->drain_signal = now;
        this->begin_drain(now, *of);
        this->refresh(now, *of);
        this->deliver();
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
                    left(this->data_centre_cap.current, this->totals.in_flight));
}

double router::implementation::cost(time_point now, const upstream_state& of) const
{
    double latency = of.latency_at(now, this->options.latency_time_constant);
    if (of.latency == 0)
    {
        latency = of.group->service.value;
    }
    const bool outranked =
        of.last_success && now - *of.last_success < this->options.report_override_time;
    const double health = of.reported_healthy || outranked ? 1 : unhealthy_factor;
    return latency * (of.in_flight + 1) / of.limit * health * (1 + of.reported_load) *
           (1 + of.failure_rate * failure_factor);
}

// A probe goes first to a request that may be repeated. Others probe only when no other
// upstream is free or nobody has probed for the time of an ejection.
upstream_state* router::implementation::select_probe(time_point now, group_state& group,
                                                     const request& asked) const
{
    for (upstream_state* each : group.probing)
    {
        const bool due = now - each->ejected_until >= this->options.ejection_time;
        if (!contains(asked.excluded, each->address) &&
            (asked.idempotent || due || group.available.empty()))
        {
            return each;
        }
    }
    return nullptr;
}

namespace
{

// Free upstreams that the request does not exclude. During a planned move only those of
// the side whose turn it is, if any of them is free.
std::vector<upstream_state*> eligible(const group_state& group, const request& asked)
{
    std::vector<upstream_state*> free;
    std::copy_if(group.available.begin(), group.available.end(), std::back_inserter(free),
                 [&](const upstream_state* each)
                 { return !contains(asked.excluded, each->address); });
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
                                               const request& asked)
{
    if (!group.probing.empty())
    {
        if (upstream_state* probe = this->select_probe(now, group, asked))
        {
            return probe;
        }
    }
    std::vector<upstream_state*> filtered;
    const auto* from = &group.available;
    if (!asked.excluded.empty() || group.move)
    {
        filtered = eligible(group, asked);
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

bool router::implementation::place(time_point now, group_state& group,
                                   const request& asked, decision& out)
{
    if (this->free_under_caps(group) > 0)
    {
        if (upstream_state* chosen = this->select(now, group, asked))
        {
            charge_move(group, *chosen);
            this->start(now, group, asked, chosen, {});
            out = {.kind = decision_kind::dispatched, .upstream = chosen->address};
            return true;
        }
    }
    return !asked.relayed && this->place_relay(now, group, asked, out);
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
    const duration age = now - peer.taken;
    if (peer.draining || found == peer.groups.end() ||
        age >= this->options.max_peer_report_age || now < found->second.backoff_until)
    {
        return 0;
    }
    const double fresh = 1 - microseconds(std::max(age, duration(0))) /
                                 microseconds(this->options.max_peer_report_age);
    const double left = std::floor(found->second.free * fresh) - found->second.unreported;
    const double blind = group.members == 0 ? blind_relays - found->second.unreported : 0;
    return std::max({left, blind, 0.0});
}

// Takes the nearest data centres with headroom, among them one by weight of headroom.
bool router::implementation::place_relay(time_point now, group_state& group,
                                         const request& asked, decision& out)
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
        if (headroom > 0 && !contains(asked.excluded, vm))
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
            !link->second.admit(now, asked.body_size + this->options.request_overhead,
                                this->is_large(asked)))
        {
            std::erase_if(candidates, [&](const candidate& each)
                          { return this->region_of(each.peer->data_centre) == region; });
            continue;
        }
        this->start(now, group, asked, nullptr, {*chosen.vm});
        out = {.kind = decision_kind::relayed,
               .data_centre = chosen.peer->data_centre,
               .peer = {*chosen.vm}};
        out.max_send_rate =
            crosses && this->is_large(asked) ? link->second.large_rate() : 0;
        return true;
    }
    return false;
}

void router::implementation::observe_peer(time_point now, const peer_report& said)
{
    peer_state& peer = this->peers[said.vm.value];
    const time_point taken = now - said.age;
    if (taken < peer.taken)
    {
        return; // overtaken by a newer report
    }
    peer.taken = taken;
    peer.data_centre = said.data_centre;
    peer.draining = said.draining;
    for (auto& [name, group] : peer.groups)
    {
        group.free = 0;
    }
    for (const group_free_slots& each : said.groups)
    {
        peer.groups[each.group].free = each.free_slots;
    }
    this->recount_unreported(said.vm.value, peer);
    this->pump_all(now);
    this->deliver();
}

// Counts the running relays that were sent after the peer took its figures.
void router::implementation::recount_unreported(const std::string& vm, peer_state& peer)
{
    for (auto& [name, group] : peer.groups)
    {
        group.unreported = 0;
    }
    const time_point boundary = peer.taken - this->options.report_transit_time;
    for (const auto& [id, each] : this->running)
    {
        const auto found = peer.groups.find(each.group->name);
        if (each.upstream == nullptr && each.peer.value == vm && each.sent >= boundary &&
            found != peer.groups.end())
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
    this->process_wakes(now);
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
