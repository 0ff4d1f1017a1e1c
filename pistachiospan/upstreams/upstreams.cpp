#include "pistachiospan/upstreams/upstreams.hpp"

#include "pistachiospan/upstreams/internal/arithmetic.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::upstreams
{

using internal::effective_slots;
using internal::micros;
using internal::mix;
using internal::to_duration;
using internal::to_unit_interval;

namespace
{

// Weighted rendezvous hashing: an upstream has the highest score for a fraction of the
// objects that is proportional to its weight.
double score_of(std::uint64_t object, std::uint64_t upstream, double weight)
{
    return -weight / std::log(to_unit_interval(mix(object, upstream)));
}

// Added to the expected time of upstreams of last resort. Far above any real time.
constexpr double penalty = 1e9; // microseconds

// Bounds on one sample of the slowness of an upstream.
constexpr double min_slowness = 0.3;
constexpr double max_slowness = 30;

// Assumed load of an upstream that has just refused a request, as a multiple of its
// slots.
constexpr double full_load = 2;

constexpr double kilobyte = 1024; // bytes

// Time after which a refused caller may try again when no upstream is usable.
constexpr duration no_upstream_retry_after = std::chrono::milliseconds(500);
// Lower bound on that time when the usable upstreams are too busy.
constexpr duration min_retry_after = std::chrono::milliseconds(50);

void average(double& into, double sample, double weight)
{
    into = into <= 0 ? sample : into * (1 - weight) + sample * weight;
}

// The store may carry out an upstream's write late, after a newer one. Only an entry that
// would bring a draining upstream back is dropped for its age: an entry with a wrong,
// high number must not keep an upstream out of use.
bool takes_back_draining(const entry& registration, const entry& known)
{
    return known.draining && !registration.draining &&
           registration.started == known.started &&
           registration.sequence < known.sequence;
}

} // namespace

upstream_set::upstream_set(upstream_set_options options, region_map regions)
    : options(std::move(options)), regions(std::move(regions))
{
    const auto found = this->regions.find(this->options.data_centre);
    if (found != this->regions.end())
        this->region = found->second;
}

upstream_set::upstream* upstream_set::find(std::string_view id)
{
    const auto found = this->upstreams_by_id.find(std::string(id));
    return found == this->upstreams_by_id.end() ? nullptr : found->second.get();
}

const upstream_set::upstream* upstream_set::find(std::string_view id) const
{
    const auto found = this->upstreams_by_id.find(std::string(id));
    return found == this->upstreams_by_id.end() ? nullptr : found->second.get();
}

bool upstream_set::object_memory::contains(std::uint64_t object) const
{
    return this->positions.contains(object);
}

void upstream_set::object_memory::add(std::uint64_t object, std::size_t max_size)
{
    const auto known = this->positions.find(object);
    if (known != this->positions.end())
    {
        this->order.splice(this->order.end(), this->order, known->second);
        return;
    }
    this->positions.emplace(object, this->order.insert(this->order.end(), object));
    if (this->order.size() <= max_size)
        return;
    this->positions.erase(this->order.front());
    this->order.pop_front();
}

void upstream_set::object_memory::clear()
{
    this->order.clear();
    this->positions.clear();
}

upstream_set::service_group& upstream_set::group_of(const std::string& service)
{
    const auto known = this->groups.find(service);
    if (known != this->groups.end())
        return known->second;
    service_group group;
    group.known_time = internal::learned_time(this->options.initial_known_time);
    group.unknown_time = internal::learned_time(this->options.initial_unknown_time);
    group.mean_time = internal::learned_time(this->options.initial_unknown_time);
    return this->groups.emplace(service, std::move(group)).first->second;
}

std::string upstream_set::update(time_point now, const entry& registration)
{
    upstream* known = this->find(registration.id);
    if (known != nullptr && takes_back_draining(registration, known->registration))
        return "older entry ignored";
    if (known != nullptr &&
        (known->registration.service != registration.service ||
         known->registration.address != registration.address ||
         known->registration.data_centre != registration.data_centre ||
         known->registration.slots != registration.slots))
    {
        this->remove(registration.id);
        known = nullptr;
    }
    if (known == nullptr)
    {
        auto added = std::make_unique<upstream>();
        added->registration = registration;
        const auto region = this->regions.find(registration.data_centre);
        if (region != this->regions.end())
            added->region = region->second;
        added->hash = hash_bytes(registration.id);
        added->last_answer = now;
        added->announced_leaving =
            this->leaving.contains({registration.id, registration.started});
        this->apply_limit(now, *added);
        this->apply_restart(now, *added);
        this->make_cold(now, *added, registration.cold_left);
        this->group_of(registration.service).members.push_back(added.get());
        this->upstreams_by_id.emplace(registration.id, std::move(added));
        return registration.draining ? "added draining" : "added";
    }
    std::string change;
    this->note_entry(now, *known, registration);
    if (known->registration.started != registration.started)
    {
        // The same upstream has restarted: it knows no objects and is cold.
        const service_group& group = this->group_of(registration.service);
        this->make_cold(now, *known, std::max(registration.cold_left, group.cold_time));
        known->availability = {};
        known->announced_leaving =
            this->leaving.contains({registration.id, registration.started});
        known->remote_load = 0;
        known->shared = {};
        known->slowness = 1;
        known->objects.clear();
        known->in_use = false;
        change = "restarted";
    }
    this->make_cold(now, *known, registration.cold_left);
    if (known->registration.draining != registration.draining)
        change = registration.draining ? "draining" : "ready";
    known->registration = registration;
    this->apply_limit(now, *known);
    this->apply_restart(now, *known);
    return change;
}

bool upstream_set::remove(std::string_view id)
{
    const auto found = this->upstreams_by_id.find(std::string(id));
    if (found == this->upstreams_by_id.end())
        return false;
    std::erase(this->group_of(found->second->registration.service).members,
               found->second.get());
    if (found->second->limit.rate())
        ++this->limited_changes;
    this->upstreams_by_id.erase(found);
    return true;
}

void upstream_set::set_services(std::span<const configuration::service> services)
{
    for (const configuration::service& each : services)
    {
        service_group& group = this->group_of(each.name);
        group.cold_time = each.cold_time;
        group.cold_rate = each.cold_rate;
        for (upstream* member : group.members)
            member->suspected_until =
                this->restarts.cold_until(start_of(*member), group.cold_time);
    }
}

void upstream_set::set_vm_count(std::size_t count)
{
    this->vm_count = std::max<std::size_t>(count, 1);
}

void upstream_set::set_evacuated(time_point now,
                                 const std::set<std::string>& data_centres,
                                 bool immediate)
{
    for (const std::string& name : data_centres)
    {
        const auto known = this->evacuated.find(name);
        if (known == this->evacuated.end() || !known->second.is_evacuating)
            this->evacuated[name] = {.since = now, .immediate = immediate};
    }
    for (auto& [name, each] : this->evacuated)
        if (each.is_evacuating && !data_centres.contains(name))
            each = {.since = now, .is_evacuating = false};
}

// The fraction of the objects that a data centre serves during its evacuation or return.
double upstream_set::serving_fraction(time_point now,
                                      const std::string& data_centre) const
{
    const auto found = this->evacuated.find(data_centre);
    if (found == this->evacuated.end())
        return 1;
    const evacuation& state = found->second;
    if (state.immediate && state.is_evacuating)
        return 0;
    const duration ramp =
        state.is_evacuating ? this->options.evacuation_ramp : this->options.return_ramp;
    const double progress =
        std::clamp(micros(now - state.since) / micros(ramp), 0.0, 1.0);
    return state.is_evacuating ? 1 - progress : progress;
}

double upstream_set::slowness_of(time_point now, const upstream& target) const
{
    const double age = micros(now - target.sampled_at);
    const double sample_confidence =
        std::exp(-age / micros(this->options.speed_recovery_time));
    return target.slowness * sample_confidence + (1 - sample_confidence);
}

int upstream_set::distance_to(std::string_view data_centre, std::string_view region) const
{
    if (data_centre == this->options.data_centre)
        return 0;
    return region == this->region ? 1 : 2;
}

double upstream_set::network_time_to(const upstream& target) const
{
    switch (this->distance_to(target.registration.data_centre, target.region))
    {
    case 0:
        return 0;
    case 1:
        return micros(this->options.data_centre_round_trip);
    default:
        return micros(this->options.region_round_trip);
    }
}

bool upstream_set::is_stalled(time_point now, const upstream& target,
                              const service_group& group) const
{
    if (target.start_times.empty())
        return false;
    const double timeout =
        std::max(micros(this->options.stall_timeout), 2.5 * group.mean_time.micros());
    return micros(now - std::max(target.start_times.front(), target.last_answer)) >
           timeout;
}

// Estimates the time to the answer: wait for a slot, work and round trip. The first
// candidate may know the object through other VMs, which the optimistic time assumes. A
// candidate that does not know the object costs more than the caller's time: its longer
// work takes slots from others, and objects spread over more upstreams, each of which
// knows only a limited number.
void upstream_set::estimate(time_point now, candidate& choice, std::size_t rank,
                            const query& request, const service_group& group) const
{
    const upstream& target = *choice.target;
    const double known = group.known_time.micros();
    const double unknown = std::max(known, group.unknown_time.micros());
    const double work_factor =
        this->slowness_of(now, target) *
        (target.is_cold(now) ? this->options.cold_work_factor : 1.0);
    const double mean = group.mean_time.micros();
    const double slots = this->usable_requests(now, target);
    const double requests_ahead = std::max(0.0, this->load_of(now, target) + 1 - slots);
    choice.wait = requests_ahead / slots * mean * work_factor;
    choice.network_time = this->network_time_to(target);
    const bool elsewhere = target.registration.data_centre != this->options.data_centre;
    const double transfer_cost =
        elsewhere ? micros(this->options.transfer_cost_per_kilobyte) *
                        (static_cast<double>(request.body_size) / kilobyte)
                  : 0;
    const double stall_penalty = this->is_stalled(now, target, group) ? penalty : 0;
    const bool is_first = rank == 0;
    const double fixed_time = choice.wait + choice.network_time;
    choice.expected = fixed_time + (choice.knows_object ? known : unknown) * work_factor +
                      stall_penalty;
    choice.optimistic =
        fixed_time + (choice.knows_object || is_first ? known : unknown) * work_factor;
    choice.cost = fixed_time + transfer_cost + stall_penalty +
                  (choice.knows_object || is_first
                       ? known
                       : unknown * this->options.unknown_object_weight) *
                      work_factor;
}

bool upstream_set::in_allowed_regions(const upstream& target,
                                      std::span<const std::string> homes) const
{
    return homes.empty() || std::ranges::find(homes, target.region) != homes.end();
}

bool upstream_set::is_usable(time_point now, const upstream& target, const query& request,
                             std::uint64_t object_hash) const
{
    if (target.is_leaving() || !target.availability.takes_work(now, target.in_flight))
        return false;
    if (!this->in_allowed_regions(target, request.homes) ||
        !this->in_allowed_regions(target, request.account_homes))
        return false;
    if (std::ranges::find(request.excluded, target.registration.id) !=
        request.excluded.end())
        return false;
    const double present = this->serving_fraction(now, target.registration.data_centre);
    if (present >= 1)
        return true;
    return to_unit_interval(
               mix(object_hash, hash_bytes(target.registration.data_centre))) < present;
}

// Whether the request may be sent to this upstream as far as its request limit is known
// here: a token may be available.
bool upstream_set::may_use_limit(time_point now, const upstream& target,
                                 const query& request)
{
    return !target.limit.rate() ||
           (!request.without_limited && target.limit.wait(now) == duration(0));
}

bool upstream_set::remains_usable(time_point now, const selection& chosen,
                                  const query& request) const
{
    const upstream* target = this->find(chosen.id);
    return target != nullptr && target->registration.started == chosen.started &&
           (chosen.last_resort || chosen.expected <= request.time_left) &&
           this->is_usable(now, *target, request, chosen.object);
}

int upstream_set::tier_of(const upstream& target, const std::string* planned) const
{
    if (planned != nullptr && target.registration.data_centre == *planned)
        return 0;
    return 1 + this->distance_to(target.registration.data_centre, target.region);
}

// The usable upstreams, the preferred one first. Upstreams with a request limit are left
// out for the objects beyond their share if `within_object_share` is set.
std::vector<upstream_set::candidate>
upstream_set::candidates_for(time_point now, const query& request, service_group& group,
                             std::uint64_t object, bool within_object_share)
{
    const std::string* planned = this->planned_data_centre(group, object);
    std::vector<candidate> candidates;
    candidates.reserve(group.members.size());
    for (upstream* each : group.members)
    {
        if (!this->is_usable(now, *each, request, object) ||
            !may_use_limit(now, *each, request))
            continue;
        if (within_object_share && each->limit.rate() &&
            to_unit_interval(mix(each->hash, object)) > each->limit.object_share(now))
            continue;
        if (!this->has_cold_token(now, *each, group))
            continue;
        candidates.push_back(
            {.target = each,
             .tier = this->tier_of(*each, planned),
             .score = score_of(object, each->hash, each->registration.slots),
             .knows_object = each->objects.contains(object)});
    }
    std::ranges::sort(candidates,
                      [](const candidate& left, const candidate& right)
                      {
                          if (left.tier != right.tier)
                              return left.tier < right.tier;
                          return left.score > right.score;
                      });
    return candidates;
}

selection upstream_set::select(time_point now, const query& request)
{
    const auto found = this->groups.find(std::string(request.service));
    if (found == this->groups.end())
        return {.failure = selection_failure::no_upstream,
                .retry_after = no_upstream_retry_after};
    service_group& group = found->second;
    if (!request.is_retry)
        this->count_demand(now, group, request);
    if (group.plan.empty())
        this->make_initial_plan(now, group);
    const std::uint64_t object =
        request.object.empty()
            ? mix(++this->request_sequence, hash_bytes(request.service))
            : hash_bytes(request.object, hash_bytes(request.service));
    std::vector<candidate> candidates =
        this->candidates_for(now, request, group, object, true);
    if (candidates.empty())
        candidates = this->candidates_for(now, request, group, object, false);
    if (candidates.empty())
        return this->no_usable_upstream(now, request, group);
    const candidate* best = nullptr;
    for (std::size_t rank = 0; rank < candidates.size(); ++rank)
    {
        candidate& each = candidates[rank];
        this->estimate(now, each, rank, request, group);
        if (best == nullptr || each.cost < best->cost)
            best = &each;
    }
    const duration expected = to_duration(best->expected);
    const bool last_resort = best->expected >= penalty;
    if (!last_resort && expected > request.time_left)
        return {.expected = expected,
                .wait = to_duration(best->wait),
                .load = this->load_of(now, *best->target),
                .failure = selection_failure::too_late,
                .retry_after = std::max(expected - request.time_left, min_retry_after)};
    // A request that would wait and still miss its objective would take the slot from one
    // that can meet it.
    const bool waits = best->wait > 0 && !last_resort;
    const duration optimistic = to_duration(best->optimistic);
    if (waits && request.objective > duration(0) && optimistic > request.objective)
        return {.expected = expected,
                .wait = to_duration(best->wait),
                .load = this->load_of(now, *best->target),
                .failure = selection_failure::no_room,
                .retry_after = std::max(optimistic - request.objective, min_retry_after)};
    if (best->target->is_cold(now))
        best->target->cold_tokens.spend();
    return {.found = true,
            .id = best->target->registration.id,
            .started = best->target->registration.started,
            .address = best->target->registration.address,
            .expected = expected,
            .wait = to_duration(best->wait),
            .network_time = to_duration(best->network_time),
            .load = this->load_of(now, *best->target),
            .object = object,
            .knows_object = best->knows_object,
            .needs_token = best->target->limit.rate().has_value(),
            .last_resort = last_resort};
}

void upstream_set::begin(time_point now, const selection& chosen)
{
    upstream* target = this->find(chosen.id);
    if (target == nullptr)
        return;
    note_sent(now, *target, chosen);
    ++target->in_flight;
    target->start_times.push_back(now);
    target->objects.add(chosen.object, this->options.max_known_objects);
}

// If all upstreams have asked for a pause, or request limits are used up, retry_after is
// the time until the first of these upstreams can be used.
selection upstream_set::no_usable_upstream(time_point now, const query& request,
                                           const service_group& group) const
{
    selection refused{.failure = selection_failure::no_upstream,
                      .retry_after = no_upstream_retry_after};
    duration shortest = duration::max();
    bool all_wait = true;
    for (const upstream* each : group.members)
    {
        if (each->is_leaving())
            continue;
        if (!may_use_limit(now, *each, request))
            refused.failure = selection_failure::limited;
        const duration wait =
            std::max(each->availability.pause_left(now), each->limit.wait(now));
        if (wait > duration(0))
            shortest = std::min(shortest, wait);
        else
            all_wait = false;
    }
    const bool is_known = all_wait || refused.failure == selection_failure::limited;
    if (is_known && shortest < duration::max())
        refused.retry_after = std::max(shortest, min_retry_after);
    return refused;
}

// Updates the averages with the latency of an answer. The averages of the service use
// only requests that did not wait, since the time of a wait says nothing about the work.
void upstream_set::learn(time_point now, upstream& target, const selection& chosen,
                         duration latency)
{
    service_group& group = this->group_of(target.registration.service);
    const bool cold = target.is_cold(now);
    const double sample = std::max(micros(latency - chosen.wait - chosen.network_time),
                                   micros(latency) / 4) /
                          (cold ? this->options.cold_work_factor : 1.0);
    internal::learned_time& kind =
        chosen.knows_object ? group.known_time : group.unknown_time;
    const double expected_time = kind.micros();
    const double ratio = std::clamp(sample / expected_time, min_slowness, max_slowness);
    average(target.slowness, ratio, this->options.sample_weight);
    target.sampled_at = now;
    if (chosen.wait > duration(0))
        return;
    // Bounded, so that one slow upstream does not make the whole service look slow.
    const double bounded_sample = std::min(sample, 3 * expected_time);
    kind.add(bounded_sample, this->options.group_weight);
    group.mean_time.add(bounded_sample, this->options.group_weight);
}

void upstream_set::end(time_point now, const selection& chosen, outcome result,
                       duration latency, std::optional<load_report> report)
{
    this->note_outcome(now, chosen.id, result, latency);
    upstream* target = this->find(chosen.id);
    if (target == nullptr)
        return;
    if (target->in_flight > 0)
    {
        --target->in_flight;
        target->start_times.pop_front();
    }
    this->note_report(now, *target, chosen, result, latency, report);
    switch (result)
    {
    case outcome::answered:
        this->learn(now, *target, chosen, latency);
        target->last_answer = now;
        target->availability.note_answer(now);
        break;
    case outcome::timed_out:
        this->note_abandoned(now, *target);
        target->availability.note_failure(now, this->options.availability);
        break;
    case outcome::failed:
    case outcome::broken:
        target->last_answer = now;
        target->availability.note_failure(now, this->options.availability);
        break;
    case outcome::not_sent:
    case outcome::misdirected:
        target->availability.eject(now, this->options.availability);
        break;
    case outcome::shed:
        target->last_answer = now;
        // It is full, whatever was estimated.
        target->remote_load = std::max(
            target->remote_load, full_load * effective_slots(target->registration.slots));
        target->reported_at = now;
        break;
    case outcome::cancelled:
        this->note_abandoned(now, *target);
        break;
    }
}

std::size_t upstream_set::size() const
{
    return this->upstreams_by_id.size();
}

std::vector<upstream_view> upstream_set::views(time_point now) const
{
    std::vector<upstream_view> views;
    for (const auto& [id, each] : this->upstreams_by_id)
        views.push_back({.id = id,
                         .service = each->registration.service,
                         .in_flight = each->in_flight,
                         .load = this->load_of(now, *each),
                         .draining = each->is_leaving(),
                         .ejected = each->availability.is_ejected(now),
                         .paused = each->availability.pause_left(now) > duration(0),
                         .cold = each->is_cold(now),
                         .slowness = this->slowness_of(now, *each)});
    return views;
}

} // namespace pistachiospan::upstreams
