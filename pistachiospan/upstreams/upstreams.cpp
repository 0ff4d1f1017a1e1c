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


// Time after which a refused caller may try again when no upstream is known.
constexpr duration no_upstream_retry = std::chrono::milliseconds(500);
constexpr duration least_retry = std::chrono::milliseconds(50);

} // namespace

upstream_set::upstream_set(set_options options, places where)
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

void upstream_set::forget_plans()
{
    for (auto& [name, group] : this->groups)
        group.plan_valid = false;
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
        made->cold_until = now + said.cold_left;
        made->cold_refilled = now;
        made->last_answer = now;
        service_group& group = this->groups[said.service];
        group.members.push_back(made.get());
        group.plan_valid = false;
        this->all.emplace(said.id, std::move(made));
        return said.draining ? "added draining" : "added";
    }
    std::string change;
    if (known->said.started != said.started)
    {
        // The same upstream started again: it knows nothing and is cold.
        const service_group& group = this->groups[said.service];
        known->cold_until = now + std::max(said.cold_left, group.cold_time);
        known->ejected_until = now;
        known->ejections = 0;
        known->failures = 0;
        known->others = 0;
        change = "restarted";
    }
    if (said.cold_left > duration(0))
        known->cold_until = std::max(known->cold_until, now + said.cold_left);
    if (known->said.draining != said.draining)
    {
        this->groups[said.service].plan_valid = false;
        change = said.draining ? "draining" : "ready";
    }
    known->said = said;
    return change;
}

bool upstream_set::remove(std::string_view id)
{
    const auto found = this->all.find(std::string(id));
    if (found == this->all.end())
        return false;
    service_group& group = this->groups[found->second->said.service];
    std::erase(group.members, found->second.get());
    group.plan_valid = false;
    this->all.erase(found);
    return true;
}

void upstream_set::retain(const std::set<std::string>& ids)
{
    std::vector<std::string> gone;
    for (const auto& [id, each] : this->all)
        if (!ids.contains(id))
            gone.push_back(id);
    for (const std::string& id : gone)
        this->remove(id);
}

void upstream_set::set_services(std::span<const desired::service> services)
{
    for (const desired::service& each : services)
    {
        service_group& group = this->groups[each.name];
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
    this->forget_plans();
}

// Part of the objects that a data centre still serves while it is evacuated or comes back.
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
    const double others = of.others * std::exp(-age / micros(this->options.report_memory));
    return of.in_flight + others;
}

double upstream_set::service_time_of(time_point now, const upstream& of,
                                     const service_group& group) const
{
    const double mean =
        group.service_time > 0 ? group.service_time : micros(this->options.initial_service);
    if (of.service_time <= 0)
        return mean;
    const double age = micros(now - of.sampled);
    const double fresh = std::exp(-age / micros(this->options.service_memory));
    return of.service_time * fresh + mean * (1 - fresh);
}

bool upstream_set::stalled(time_point now, const upstream& of,
                           const service_group& group) const
{
    if (of.begun.empty())
        return false;
    const double mean =
        group.service_time > 0 ? group.service_time : micros(this->options.initial_service);
    const double patience = std::max(micros(this->options.stall), 2.5 * mean);
    return micros(now - std::max(of.begun.front(), of.last_answer)) > patience;
}

double upstream_set::expected_time(time_point now, const candidate& of, std::size_t rank,
                                   const service_group& group) const
{
    const upstream& at = *of.at;
    double service = this->service_time_of(now, at, group);
    if (now < at.cold_until)
        service *= this->options.cold_factor;
    const double slots = std::max<std::uint32_t>(at.said.slots, 1);
    const double ahead = std::max(0.0, this->load_of(now, at) + 1 - slots);
    const double wait = ahead / slots * service;
    const double work = rank == 0 ? service : service * this->options.unknown_object_factor;
    double path = 0;
    if (at.region != this->region)
        path = micros(this->options.between_regions);
    else if (at.said.data_centre != this->options.data_centre)
        path = micros(this->options.between_data_centres);
    const double stall = this->stalled(now, at, group) ? penalty : 0;
    return wait + work + path + stall;
}

bool upstream_set::has_cold_token(time_point now, upstream& of, const service_group& group)
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

bool upstream_set::take_cold_token(time_point now, upstream& of, const service_group& group)
{
    if (!this->has_cold_token(now, of, group))
        return false;
    if (now < of.cold_until)
        of.cold_tokens -= 1;
    return true;
}

bool upstream_set::in_homes(const upstream& of, std::span<const std::string> homes) const
{
    return homes.empty() || std::ranges::find(homes, of.region) != homes.end();
}

bool upstream_set::usable(time_point now, const upstream& of, const query& wanted,
                          std::uint64_t object_hash)
{
    if (of.said.draining || now < of.ejected_until)
        return false;
    if (!this->in_homes(of, wanted.homes) || !this->in_homes(of, wanted.more_homes))
        return false;
    if (std::ranges::find(wanted.excluded, of.said.id) != wanted.excluded.end())
        return false;
    const double present = this->presence(now, of.said.data_centre);
    if (present >= 1)
        return true;
    return unit_of(mix(object_hash, hash_bytes(of.said.data_centre))) < present;
}

void upstream_set::make_plan(time_point now, service_group& group)
{
    placement_input input{.regions = this->where, .headroom = this->options.plan_headroom};
    bool moving = false;
    for (const upstream* each : group.members)
    {
        if (each->said.draining || !this->where.contains(each->said.data_centre))
            continue;
        const double present = this->presence(now, each->said.data_centre);
        moving = moving || (present > 0 && present < 1);
        input.slots[each->said.data_centre] += present * each->said.slots;
    }
    group.plan = place(input, this->options.data_centre);
    group.plan_order.clear();
    for (const int wanted : {0, 1, 2})
        for (const auto& [name, part] : group.plan)
        {
            const bool own = name == this->options.data_centre;
            const bool near = this->where[name] == this->region;
            const int tier = own ? 0 : (near ? 1 : 2);
            if (tier == wanted)
                group.plan_order.push_back(name);
        }
    group.plan_valid = !moving;
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
    if (of.said.data_centre == this->options.data_centre)
        return 1;
    return of.region == this->region ? 2 : 3;
}

selection upstream_set::select(time_point now, const query& wanted)
{
    const auto found = this->groups.find(std::string(wanted.service));
    if (found == this->groups.end())
        return {.failure = selection_failure::no_upstream,
                .retry_after = no_upstream_retry};
    service_group& group = found->second;
    if (!group.plan_valid)
        this->make_plan(now, group);
    const std::uint64_t object = wanted.object.empty()
                                     ? mix(++this->spread, hash_bytes(wanted.service))
                                     : hash_bytes(wanted.object, hash_bytes(wanted.service));
    const std::string* planned = this->planned(group, object);
    std::vector<candidate> candidates;
    candidates.reserve(group.members.size());
    for (upstream* each : group.members)
        if (this->usable(now, *each, wanted, object) &&
            this->has_cold_token(now, *each, group))
            candidates.push_back({.at = each,
                                  .tier = this->tier_of(*each, planned),
                                  .score = score_of(object, each->hash, each->said.slots)});
    if (candidates.empty())
        return {.failure = selection_failure::no_upstream,
                .retry_after = no_upstream_retry};
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
        each.expected = this->expected_time(now, each, rank, group);
        if (best == nullptr || each.expected < best->expected)
            best = &each;
    }
    const duration expected = to_duration(best->expected);
    if (best->expected < penalty && expected > wanted.time_left)
        return {.expected = expected,
                .failure = selection_failure::too_late,
                .retry_after = std::max(expected - wanted.time_left, least_retry)};
    this->take_cold_token(now, *best->at, group);
    return {.found = true,
            .id = best->at->said.id,
            .address = best->at->said.address,
            .expected = expected,
            .load = this->load_of(now, *best->at)};
}

void upstream_set::begin(time_point now, std::string_view id)
{
    upstream* at = this->find(id);
    if (at == nullptr)
        return;
    ++at->in_flight;
    at->begun.push_back(now);
}

void upstream_set::eject(time_point now, upstream& of)
{
    const duration span = std::min(this->options.first_ejection * (1U << of.ejections),
                                   this->options.longest_ejection);
    of.ejections = std::min(of.ejections + 1, 8U);
    of.ejected_until = now + span;
    of.failures = 0;
}

void upstream_set::end(time_point now, std::string_view id, ending how, duration latency,
                       std::optional<load_report> report)
{
    upstream* at = this->find(id);
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
    service_group& group = this->groups[at->said.service];
    switch (how)
    {
    case ending::answered:
    {
        const double slots = std::max<std::uint32_t>(at->said.slots, 1);
        const double ahead = std::max(0.0, this->load_of(now, *at) - slots) / slots;
        const double sample = micros(latency) / (1 + ahead);
        const double weight = this->options.service_weight;
        at->service_time = at->service_time <= 0
                               ? sample
                               : at->service_time * (1 - weight) + sample * weight;
        constexpr double group_weight = 0.02;
        group.service_time = group.service_time <= 0
                                 ? sample
                                 : group.service_time * (1 - group_weight) +
                                       sample * group_weight;
        at->sampled = now;
        at->last_answer = now;
        at->failures = 0;
        at->ejections = 0;
        break;
    }
    case ending::failed:
    case ending::broken:
        at->last_answer = now;
        if (++at->failures >= this->options.failures_before_ejection)
            this->eject(now, *at);
        break;
    case ending::not_sent:
    case ending::misdirected:
        this->eject(now, *at);
        break;
    case ending::shed:
        at->last_answer = now;
        // Full for now, whatever was believed.
        at->others = std::max<double>(at->others, at->said.slots + 2.0);
        at->reported = now;
        break;
    case ending::cancelled:
        break;
    }
}

void upstream_set::note_cold(time_point now, std::string_view id, duration cold_left)
{
    if (upstream* at = this->find(id))
        at->cold_until = std::max(at->cold_until, now + cold_left);
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
                         .draining = each->said.draining,
                         .ejected = now < each->ejected_until,
                         .cold = now < each->cold_until,
                         .service_time = to_duration(each->service_time)});
    return views;
}

std::map<std::string, double> upstream_set::plan_of(time_point now, std::string_view service)
{
    service_group& group = this->groups[std::string(service)];
    if (!group.plan_valid)
        this->make_plan(now, group);
    return group.plan;
}

} // namespace pistachiospan::upstreams
