#include "pistachiospan/upstreams/upstreams.hpp"

#include "pistachiospan/upstreams/placement.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::upstreams
{

namespace
{

double micros(duration span)
{
    return static_cast<double>(span.count());
}

duration to_duration(double microseconds)
{
    return duration(static_cast<std::int64_t>(microseconds));
}

// Mixes two hashes (the finaliser of splitmix64).
std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t z = left ^ (right + 0x9e3779b97f4a7c15U + (left << 6U) + (left >> 2U));
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

// Maps a hash to (0, 1).
double unit_of(std::uint64_t hash)
{
    constexpr double range = 9007199254740992.0; // 2^53
    return (static_cast<double>(hash >> 11U) + 0.5) / range;
}

// Rendezvous hashing with weights: the highest score wins in proportion to the weight.
double score_of(std::uint64_t object, std::uint64_t upstream, double weight)
{
    return -weight / std::log(unit_of(mix(object, upstream)));
}

// Expected times above this are never reached: marks upstreams of last resort.
constexpr double penalty = 1e9; // microseconds

// Bounds on the learned slowness of one upstream.
constexpr double least_slowness = 0.3;
constexpr double most_slowness = 30;

// Load of an upstream that has just refused a request as full, in slots.
constexpr double full_load = 2;

constexpr double kilobyte = 1024; // bytes

// Parts of a plan below this are rounding.
constexpr double least_part = 1e-6;

// Time after which a refused caller may try again when no upstream is known.
constexpr duration no_upstream_retry = std::chrono::milliseconds(500);
constexpr duration least_retry = std::chrono::milliseconds(50);

double slots_at(std::uint32_t slots)
{
    return std::max<std::uint32_t>(slots, 1);
}

// The part that is elsewhere after a change of parts; never quite 0.
double moved_part(const std::map<std::string, double>& change)
{
    double moved = least_part;
    for (const auto& [name, part] : change)
        moved += std::max(part, 0.0);
    return moved;
}

void average(double& into, double sample, double weight)
{
    into = into <= 0 ? sample : into * (1 - weight) + sample * weight;
}

} // namespace

upstream_set::upstream_set(upstream_set_options options, region_map where)
    : options(std::move(options)), where(std::move(where))
{
    const auto own = this->where.find(this->options.data_centre);
    if (own != this->where.end())
        this->region = own->second;
}

upstream_set::upstream* upstream_set::find(std::string_view id)
{
    const auto found = this->all.find(std::string(id));
    return found == this->all.end() ? nullptr : found->second.get();
}

bool upstream_set::object_memory::contains(std::uint64_t object) const
{
    return this->places.contains(object);
}

void upstream_set::object_memory::add(std::uint64_t object, std::size_t most)
{
    const auto known = this->places.find(object);
    if (known != this->places.end())
    {
        this->order.splice(this->order.end(), this->order, known->second);
        return;
    }
    this->places.emplace(object, this->order.insert(this->order.end(), object));
    if (this->order.size() <= most)
        return;
    this->places.erase(this->order.front());
    this->order.pop_front();
}

void upstream_set::object_memory::clear()
{
    this->order.clear();
    this->places.clear();
}

upstream_set::service_group& upstream_set::group_of(const std::string& service)
{
    const auto known = this->groups.find(service);
    if (known != this->groups.end())
        return known->second;
    service_group made;
    made.known_time = internal::learned_time(this->options.initial_known_time);
    made.unknown_time = internal::learned_time(this->options.initial_unknown_time);
    made.mean_time = internal::learned_time(this->options.initial_unknown_time);
    return this->groups.emplace(service, std::move(made)).first->second;
}

std::string upstream_set::update(time_point now, const entry& said)
{
    upstream* known = this->find(said.id);
    if (known != nullptr &&
        (known->said.service != said.service || known->said.address != said.address ||
         known->said.data_centre != said.data_centre || known->said.slots != said.slots))
    {
        this->remove(said.id);
        known = nullptr;
    }
    if (known == nullptr)
    {
        auto made = std::make_unique<upstream>();
        made->said = said;
        const auto place = this->where.find(said.data_centre);
        if (place != this->where.end())
            made->region = place->second;
        made->hash = hash_bytes(said.id);
        made->last_answer = now;
        made->said_leaving = this->leaving.contains({said.id, said.started});
        this->make_cold(now, *made, said.cold_left);
        this->group_of(said.service).members.push_back(made.get());
        this->all.emplace(said.id, std::move(made));
        return said.draining ? "added draining" : "added";
    }
    std::string change;
    if (known->said.started != said.started)
    {
        // The same upstream started again: it knows nothing and is cold.
        const service_group& group = this->group_of(said.service);
        this->make_cold(now, *known, std::max(said.cold_left, group.cold_time));
        known->availability = {};
        known->said_leaving = this->leaving.contains({said.id, said.started});
        known->others = 0;
        known->slowness = 1;
        known->objects.clear();
        change = "restarted";
    }
    this->make_cold(now, *known, said.cold_left);
    if (known->said.draining != said.draining)
        change = said.draining ? "draining" : "ready";
    known->said = said;
    return change;
}

bool upstream_set::remove(std::string_view id)
{
    const auto found = this->all.find(std::string(id));
    if (found == this->all.end())
        return false;
    std::erase(this->group_of(found->second->said.service).members, found->second.get());
    this->all.erase(found);
    return true;
}

void upstream_set::set_services(std::span<const configuration::service> services)
{
    for (const configuration::service& each : services)
    {
        service_group& group = this->group_of(each.name);
        group.cold_time = each.cold_time;
        group.cold_rate = each.cold_rate;
    }
}

void upstream_set::set_vm_count(std::size_t count)
{
    this->vm_count = std::max<std::size_t>(count, 1);
}

void upstream_set::set_evacuated(time_point now, const std::set<std::string>& all,
                                 bool at_once)
{
    for (const std::string& name : all)
    {
        const auto known = this->evacuated.find(name);
        if (known == this->evacuated.end() || !known->second.leaving)
            this->evacuated[name] = {.since = now, .at_once = at_once};
    }
    for (auto& [name, each] : this->evacuated)
        if (each.leaving && !all.contains(name))
            each = {.since = now, .leaving = false};
}

// Part of the objects that a data centre still serves while it is evacuated or comes
// back.
double upstream_set::presence(time_point now, const std::string& data_centre) const
{
    const auto found = this->evacuated.find(data_centre);
    if (found == this->evacuated.end())
        return 1;
    const evacuation& state = found->second;
    if (state.at_once && state.leaving)
        return 0;
    const duration ramp =
        state.leaving ? this->options.evacuation_ramp : this->options.return_ramp;
    const double done = std::clamp(micros(now - state.since) / micros(ramp), 0.0, 1.0);
    return state.leaving ? 1 - done : done;
}

double upstream_set::load_of(time_point now, const upstream& of) const
{
    const double age = micros(now - of.reported);
    const double others =
        of.others * std::exp(-age / micros(this->options.report_decay_time));
    return of.in_flight + others;
}

double upstream_set::slowness_of(time_point now, const upstream& of) const
{
    const double age = micros(now - of.sampled);
    const double fresh = std::exp(-age / micros(this->options.speed_recovery_time));
    return of.slowness * fresh + (1 - fresh);
}

int upstream_set::distance_to(std::string_view data_centre, std::string_view in) const
{
    if (data_centre == this->options.data_centre)
        return 0;
    return in == this->region ? 1 : 2;
}

double upstream_set::network_time_to(const upstream& at) const
{
    switch (this->distance_to(at.said.data_centre, at.region))
    {
    case 0:
        return 0;
    case 1:
        return micros(this->options.data_centre_round_trip);
    default:
        return micros(this->options.region_round_trip);
    }
}

bool upstream_set::stalled(time_point now, const upstream& of,
                           const service_group& group) const
{
    if (of.begun.empty())
        return false;
    const double patience =
        std::max(micros(this->options.stall_timeout), 2.5 * group.mean_time.micros());
    return micros(now - std::max(of.begun.front(), of.last_answer)) > patience;
}

// The time to the answer: wait for a slot, work, way. The first choice may know the
// object through other VMs, which is hoped for. A choice that does not know the object
// costs more than the caller's time: its longer work takes slots from others, and the
// objects that it knows are spread over more upstreams.
void upstream_set::estimate(time_point now, candidate& of, std::size_t rank,
                            const query& wanted, const service_group& group) const
{
    const upstream& at = *of.at;
    const double known = group.known_time.micros();
    const double unknown = std::max(known, group.unknown_time.micros());
    const double speed = this->slowness_of(now, at) *
                         (now < at.cold_until ? this->options.cold_work_factor : 1.0);
    const double mean = group.mean_time.micros();
    const double slots = slots_at(at.said.slots);
    const double ahead = std::max(0.0, this->load_of(now, at) + 1 - slots);
    of.wait = ahead / slots * mean * speed;
    of.network_time = this->network_time_to(at);
    const bool elsewhere = at.said.data_centre != this->options.data_centre;
    const double distance = elsewhere
                                ? micros(this->options.transfer_cost_per_kilobyte) *
                                      (static_cast<double>(wanted.body_size) / kilobyte)
                                : 0;
    const double stall = this->stalled(now, at, group) ? penalty : 0;
    const bool first = rank == 0;
    const double rest = of.wait + of.network_time;
    of.expected = rest + (of.knows ? known : unknown) * speed + stall;
    of.hoped = rest + (of.knows || first ? known : unknown) * speed;
    of.cost =
        rest + distance + stall +
        (of.knows || first ? known : unknown * this->options.unknown_object_weight) *
            speed;
}

// The first tokens of the VMs come evenly over time: each begins with another part of
// one.
void upstream_set::make_cold(time_point now, upstream& of, duration left) const
{
    const time_point until = now + left;
    if (until <= of.cold_until || left <= duration(0))
        return;
    if (now >= of.cold_until)
    {
        of.cold_tokens = unit_of(mix(this->options.seed, of.hash));
        of.cold_refilled = now;
    }
    of.cold_until = until;
}

bool upstream_set::has_cold_token(time_point now, upstream& of,
                                  const service_group& group)
{
    if (now >= of.cold_until || group.cold_rate <= 0)
        return true;
    const double rate = group.cold_rate * this->options.cold_rate_margin /
                        static_cast<double>(this->vm_count);
    const double elapsed = micros(now - of.cold_refilled) / 1e6;
    of.cold_tokens = std::min(1.0, of.cold_tokens + elapsed * rate);
    of.cold_refilled = now;
    return of.cold_tokens >= 1;
}

bool upstream_set::in_homes(const upstream& of, std::span<const std::string> homes) const
{
    return homes.empty() || std::ranges::find(homes, of.region) != homes.end();
}

bool upstream_set::usable(time_point now, const upstream& of, const query& wanted,
                          std::uint64_t object_hash) const
{
    if (of.is_leaving() || !of.availability.takes_work(now, of.in_flight))
        return false;
    if (!this->in_homes(of, wanted.homes) || !this->in_homes(of, wanted.account_homes))
        return false;
    if (std::ranges::find(wanted.excluded, of.said.id) != wanted.excluded.end())
        return false;
    const double present = this->presence(now, of.said.data_centre);
    if (present >= 1)
        return true;
    return unit_of(mix(object_hash, hash_bytes(of.said.data_centre))) < present;
}

std::map<std::string, double> upstream_set::slots_of(time_point now,
                                                     const service_group& group) const
{
    std::map<std::string, double> slots;
    for (const upstream* each : group.members)
        if (!each->is_leaving() && this->where.contains(each->said.data_centre))
            slots[each->said.data_centre] +=
                this->presence(now, each->said.data_centre) * slots_at(each->said.slots);
    return slots;
}

// Nearest first, so that the objects that stay near are the same when the parts change.
void upstream_set::order_plan(service_group& group) const
{
    group.plan_order.clear();
    for (const auto& [name, part] : group.plan)
        group.plan_order.push_back(name);
    std::ranges::stable_sort(group.plan_order, {},
                             [this](const std::string& name)
                             { return this->distance_to(name, this->where.at(name)); });
}

// Before any demand is known: the same from each data centre.
void upstream_set::make_first_plan(time_point now, service_group& group)
{
    placement_input input{.regions = this->where, .slots = this->slots_of(now, group)};
    double slots = 0;
    for (const auto& [name, count] : input.slots)
        slots += count;
    const double each = slots * this->options.initial_utilisation /
                        static_cast<double>(std::max<std::size_t>(this->where.size(), 1));
    for (const auto& [name, in_region] : this->where)
        input.demand[name] = each;
    group.plan = plan_placement(input, this->options.data_centre);
    group.first_planned = now;
    group.planned = now;
    this->order_plan(group);
}

// The part of a change of the plan that may be made now.
double upstream_set::plan_step_for(time_point now, const service_group& group,
                                   const std::map<std::string, double>& change) const
{
    if (this->options.replaces_lost_process &&
        now - group.first_planned < this->options.plan_settling_time)
        return 1;
    std::map<std::string, double> by_region;
    for (const auto& [name, part] : change)
        by_region[this->where.at(name)] += part;
    const double spans =
        micros(this->options.plan_interval) / micros(this->options.region_shift_span);
    const double region_step =
        this->options.max_region_shift * this->options.planned_shift_fraction * spans;
    return std::min({1.0, this->options.max_plan_step / moved_part(change),
                     region_step / moved_part(by_region)});
}

void upstream_set::move_plan(time_point now, service_group& group)
{
    this->decay_demand(now, group);
    placement_input input{.regions = this->where, .slots = this->slots_of(now, group)};
    const double work = group.mean_time.micros() / 1e6; // seconds
    for (const auto& [name, rate] : group.remote.unrestricted)
        input.demand[name] += rate * work;
    for (const auto& [name, rate] : group.remote.regional)
        input.regional[name] += rate * work;
    for (const auto& [name, rate] : group.regional)
        input.regional[name] += rate * work;
    input.demand[this->options.data_centre] += group.demand * work;
    const std::map<std::string, double> target =
        plan_placement(input, this->options.data_centre);
    if (target.empty())
        return;
    std::map<std::string, double> change = target;
    for (const auto& [name, part] : group.plan)
        change[name] -= part;
    const double step = this->plan_step_for(now, group, change);
    for (const auto& [name, part] : change)
        group.plan[name] += part * step;
    std::erase_if(group.plan, [](const auto& each) { return each.second < least_part; });
    group.planned = now;
    this->order_plan(group);
}

void upstream_set::decay_demand(time_point now, service_group& group) const
{
    const double elapsed = micros(now - group.decayed);
    group.decayed = now;
    const double kept = std::exp(-elapsed / micros(this->options.demand_time_constant));
    group.demand *= kept;
    for (auto& [region, rate] : group.regional)
        rate *= kept;
}

void upstream_set::count_demand(time_point now, service_group& group,
                                const query& wanted) const
{
    this->decay_demand(now, group);
    const double one = 1e6 / micros(this->options.demand_time_constant);
    const std::span<const std::string> homes =
        wanted.homes.empty() ? wanted.account_homes : wanted.homes;
    if (homes.empty())
        group.demand += one;
    for (const std::string& region : homes)
        group.regional[region] += one / static_cast<double>(homes.size());
}

std::vector<service_demand> upstream_set::report_demand(time_point now)
{
    std::vector<service_demand> all;
    for (auto& [name, group] : this->groups)
    {
        this->decay_demand(now, group);
        all.push_back(
            {.service = name, .rate = group.demand, .regional = group.regional});
    }
    return all;
}

void upstream_set::set_remote_demand(std::map<std::string, remote_demand> by_service)
{
    for (auto& [name, group] : this->groups)
    {
        const auto found = by_service.find(name);
        group.remote = found == by_service.end() ? remote_demand() : found->second;
    }
}

void upstream_set::tick(time_point now)
{
    for (auto& [name, group] : this->groups)
        if (!group.plan.empty() && !this->follows_plan(now, group) &&
            now - group.planned >= this->options.plan_interval)
            this->move_plan(now, group);
}

bool upstream_set::follows_plan(time_point now, const service_group& group) const
{
    return group.told_plan &&
           now - *group.told_plan < this->options.adopted_plan_lifetime;
}

plan_set upstream_set::plans() const
{
    plan_set all;
    for (const auto& [name, group] : this->groups)
        if (!group.plan.empty())
            all.emplace(name, group.plan);
    return all;
}

void upstream_set::adopt_plans(time_point now, const plan_set& told)
{
    for (const auto& [name, plan] : told)
    {
        service_group& group = this->group_of(name);
        group.plan = plan;
        std::erase_if(group.plan, [this](const auto& each)
                      { return !this->where.contains(each.first); });
        group.planned = now;
        group.told_plan = now;
        this->order_plan(group);
    }
}

const std::string* upstream_set::planned(const service_group& group,
                                         std::uint64_t object_hash) const
{
    double left = unit_of(object_hash);
    for (const std::string& name : group.plan_order)
    {
        const double part = group.plan.at(name);
        if (left < part)
            return &name;
        left -= part;
    }
    return group.plan_order.empty() ? nullptr : &group.plan_order.back();
}

int upstream_set::tier_of(const upstream& of, const std::string* planned) const
{
    if (planned != nullptr && of.said.data_centre == *planned)
        return 0;
    return 1 + this->distance_to(of.said.data_centre, of.region);
}

selection upstream_set::select(time_point now, const query& wanted)
{
    const auto found = this->groups.find(std::string(wanted.service));
    if (found == this->groups.end())
        return {.failure = selection_failure::no_upstream,
                .retry_after = no_upstream_retry};
    service_group& group = found->second;
    if (!wanted.is_retry)
        this->count_demand(now, group, wanted);
    if (group.plan.empty())
        this->make_first_plan(now, group);
    const std::uint64_t object =
        wanted.object.empty() ? mix(++this->spread, hash_bytes(wanted.service))
                              : hash_bytes(wanted.object, hash_bytes(wanted.service));
    const std::string* planned = this->planned(group, object);
    std::vector<candidate> candidates;
    candidates.reserve(group.members.size());
    for (upstream* each : group.members)
        if (this->usable(now, *each, wanted, object) &&
            this->has_cold_token(now, *each, group))
            candidates.push_back({.at = each,
                                  .tier = this->tier_of(*each, planned),
                                  .score = score_of(object, each->hash, each->said.slots),
                                  .knows = each->objects.contains(object)});
    if (candidates.empty())
        return this->nothing_usable(now, group);
    std::ranges::sort(candidates,
                      [](const candidate& left, const candidate& right)
                      {
                          if (left.tier != right.tier)
                              return left.tier < right.tier;
                          return left.score > right.score;
                      });
    const candidate* best = nullptr;
    for (std::size_t rank = 0; rank < candidates.size(); ++rank)
    {
        candidate& each = candidates[rank];
        this->estimate(now, each, rank, wanted, group);
        if (best == nullptr || each.cost < best->cost)
            best = &each;
    }
    const duration expected = to_duration(best->expected);
    if (best->expected < penalty && expected > wanted.time_left)
        return {.expected = expected,
                .wait = to_duration(best->wait),
                .load = this->load_of(now, *best->at),
                .failure = selection_failure::too_late,
                .retry_after = std::max(expected - wanted.time_left, least_retry)};
    // A request that waits only to be late takes the slot from one that would be on time.
    const bool waits = best->wait > 0 && best->expected < penalty;
    const duration hoped = to_duration(best->hoped);
    if (waits && wanted.objective > duration(0) && hoped > wanted.objective)
        return {.expected = expected,
                .wait = to_duration(best->wait),
                .load = this->load_of(now, *best->at),
                .failure = selection_failure::no_room,
                .retry_after = std::max(hoped - wanted.objective, least_retry)};
    if (now < best->at->cold_until)
        best->at->cold_tokens -= 1;
    return {.found = true,
            .id = best->at->said.id,
            .started = best->at->said.started,
            .address = best->at->said.address,
            .expected = expected,
            .wait = to_duration(best->wait),
            .network_time = to_duration(best->network_time),
            .load = this->load_of(now, *best->at),
            .object = object,
            .knows_object = best->knows};
}

void upstream_set::begin(time_point now, const selection& chosen)
{
    upstream* at = this->find(chosen.id);
    if (at == nullptr)
        return;
    ++at->in_flight;
    at->begun.push_back(now);
    at->objects.add(chosen.object, this->options.max_known_objects);
}

// When all upstreams have asked for a pause, the end of the first one is known.
selection upstream_set::nothing_usable(time_point now, const service_group& group) const
{
    selection made{.failure = selection_failure::no_upstream,
                   .retry_after = no_upstream_retry};
    duration shortest = duration::max();
    for (const upstream* each : group.members)
        if (!each->is_leaving())
            shortest = std::min(shortest, each->availability.pause_left(now));
    if (shortest > duration(0) && shortest < duration::max())
        made.retry_after = shortest;
    return made;
}

// Takes the time of an answer into the averages. The service's own come only from
// requests that did not wait, since a wait says nothing about the work.
void upstream_set::learn(time_point now, upstream& at, const selection& chosen,
                         duration latency)
{
    service_group& group = this->group_of(at.said.service);
    const bool cold = now < at.cold_until;
    const double sample = std::max(micros(latency - chosen.wait - chosen.network_time),
                                   micros(latency) / 4) /
                          (cold ? this->options.cold_work_factor : 1.0);
    internal::learned_time& kind =
        chosen.knows_object ? group.known_time : group.unknown_time;
    const double usual = kind.micros();
    const double ratio = std::clamp(sample / usual, least_slowness, most_slowness);
    average(at.slowness, ratio, this->options.sample_weight);
    at.sampled = now;
    if (chosen.wait > duration(0))
        return;
    // One slow upstream must not make all of its service look slow.
    const double fair = std::min(sample, 3 * usual);
    kind.add(fair, this->options.group_weight);
    group.mean_time.add(fair, this->options.group_weight);
}

void upstream_set::end(time_point now, const selection& chosen, outcome how,
                       duration latency, std::optional<load_report> report)
{
    upstream* at = this->find(chosen.id);
    if (at == nullptr)
        return;
    if (at->in_flight > 0)
    {
        --at->in_flight;
        at->begun.pop_front();
    }
    if (report)
    {
        // The report may still include the request that it answers.
        const double all = report->running + report->waiting;
        at->others = std::max(0.0, all - at->in_flight - 1);
        at->reported = now;
    }
    switch (how)
    {
    case outcome::answered:
        this->learn(now, *at, chosen, latency);
        at->last_answer = now;
        at->availability.note_answer(now);
        break;
    case outcome::timed_out:
        at->availability.note_failure(now, this->options.availability);
        break;
    case outcome::failed:
    case outcome::broken:
        at->last_answer = now;
        at->availability.note_failure(now, this->options.availability);
        break;
    case outcome::not_sent:
    case outcome::misdirected:
        at->availability.eject(now, this->options.availability);
        break;
    case outcome::shed:
        at->last_answer = now;
        // Full for now, whatever was believed.
        at->others = std::max(at->others, full_load * slots_at(at->said.slots));
        at->reported = now;
        break;
    case outcome::cancelled:
        break;
    }
}

void upstream_set::note_cold(time_point now, std::string_view id, duration cold_left)
{
    if (upstream* at = this->find(id))
        this->make_cold(now, *at, cold_left);
}

void upstream_set::note_pause(time_point now, std::string_view id, duration span)
{
    if (upstream* at = this->find(id))
        at->availability.pause(now, span, this->options.availability);
}

bool upstream_set::note_leaving(time_point now, const upstream_start& which)
{
    std::erase_if(this->leaving, [this, now](const auto& each)
                  { return now - each.second > this->options.leaving_retention; });
    const bool news = this->leaving.emplace(which, now).second;
    upstream* at = this->find(which.id);
    if (at != nullptr && at->said.started == which.started)
        at->said_leaving = true;
    return news;
}

std::vector<upstream_start> upstream_set::leaving_since(time_point now,
                                                        duration age) const
{
    std::vector<upstream_start> recent;
    for (const auto& [which, since] : this->leaving)
        if (now - since < age)
            recent.push_back(which);
    return recent;
}

std::size_t upstream_set::size() const
{
    return this->all.size();
}

std::vector<upstream_view> upstream_set::views(time_point now) const
{
    std::vector<upstream_view> views;
    for (const auto& [id, each] : this->all)
        views.push_back({.id = id,
                         .service = each->said.service,
                         .in_flight = each->in_flight,
                         .load = this->load_of(now, *each),
                         .draining = each->is_leaving(),
                         .ejected = each->availability.is_ejected(now),
                         .paused = each->availability.pause_left(now) > duration(0),
                         .cold = now < each->cold_until,
                         .slowness = this->slowness_of(now, *each)});
    return views;
}

std::map<std::string, double> upstream_set::plan_of(time_point now,
                                                    std::string_view service)
{
    service_group& group = this->group_of(std::string(service));
    if (group.plan.empty())
        this->make_first_plan(now, group);
    return group.plan;
}

} // namespace pistachiospan::upstreams
