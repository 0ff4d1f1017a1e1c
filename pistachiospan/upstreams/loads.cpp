// The load of the upstreams, as they report it and as the VMs tell it to each other.

#include "pistachiospan/upstreams/internal/arithmetic.hpp"
#include "pistachiospan/upstreams/upstreams.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::upstreams
{

using internal::micros;

namespace
{

// Several messages in a row may be lost.
constexpr duration max_news_age = std::chrono::seconds(6);

// Time constant with which abandoned requests leave an upstream: queues are two seconds
// long when requests are abandoned at all.
constexpr duration abandoned_decay_time = std::chrono::seconds(2);

bool has_recent(const internal::shared_load& shared, time_point now)
{
    return shared.others_at && now - *shared.others_at <= max_news_age;
}

} // namespace

// The requests of this VM, and those of the others by the newest news about them, which
// lose their weight with time.
double upstream_set::load_of(time_point now, const upstream& target) const
{
    const bool is_shared =
        target.shared.others_at && *target.shared.others_at > target.reported_at;
    const double others = is_shared ? target.shared.others : target.remote_load;
    const time_point at = is_shared ? *target.shared.others_at : target.reported_at;
    // A VM that gets no news decides as if the load were not shared.
    const bool has_news = has_recent(target.shared, now);
    const duration decay_time =
        has_news ? this->options.shared_decay_time : this->options.report_decay_time;
    return this->own_load(now, target) +
           others * std::exp(-micros(now - at) / micros(decay_time));
}

// The requests of this VM that are at the upstream, and those that it gave up on: unless
// the upstream drops them, they wait in its queue like others.
double upstream_set::own_load(time_point now, const upstream& target) const
{
    const double age = micros(now - target.shared.abandoned_at);
    return target.in_flight +
           target.shared.abandoned * std::exp(-age / micros(abandoned_decay_time));
}

void upstream_set::note_abandoned(time_point now, upstream& target) const
{
    if (!this->options.shared_loads)
        return;
    target.shared.abandoned = this->own_load(now, target) - target.in_flight + 1;
    target.shared.abandoned_at = now;
}

void upstream_set::note_load(time_point now, upstream& target, const load_report& report)
{
    const std::uint32_t total = report.running + report.waiting;
    target.shared.reported = total;
    target.shared.reported_at = now;
    target.shared.abandoned = 0;
    // The report may still count the request that it answers.
    target.remote_load = std::max(0.0, static_cast<double>(total) - target.in_flight - 1);
    target.reported_at = now;
}

std::vector<capacity::upstream_load> upstream_set::report_loads(time_point now,
                                                                duration span)
{
    std::vector<capacity::upstream_load> loads;
    for (const auto& [id, each] : this->upstreams_by_id)
    {
        if (!this->options.shared_loads)
            continue;
        each->shared.told = this->own_load(now, *each);
        const duration age = now - each->shared.reported_at;
        const auto requests = static_cast<std::uint32_t>(std::lround(each->shared.told));
        if (requests == 0 && age > span)
            continue;
        capacity::upstream_load& load = loads.emplace_back(capacity::upstream_load{
            .upstream = capacity::key_of(id, each->registration.started),
            .requests = requests});
        if (age <= span)
            load.reported = {.requests = each->shared.reported, .age = age};
    }
    return loads;
}

void upstream_set::apply_load_estimates(
    time_point now, std::span<const capacity::upstream_load> estimates, bool complete)
{
    std::unordered_map<capacity::upstream_key, const capacity::upstream_load*> by_key;
    for (const capacity::upstream_load& each : estimates)
        by_key.emplace(each.upstream, &each);
    for (const auto& [id, each] : this->upstreams_by_id)
    {
        if (!this->options.shared_loads)
            continue;
        const auto found = by_key.find(capacity::key_of(id, each->registration.started));
        if (found == by_key.end() && !complete)
            continue;
        const double total =
            found == by_key.end() ? 0 : static_cast<double>(found->second->requests);
        const duration age = found == by_key.end() ? duration(0) : found->second->age;
        // All VMs learn that an upstream has become free at the same time. The load falls
        // no faster than with its age, so that they do not fill the queue together.
        const double elapsed = micros(now - each->shared.others_at.value_or(now));
        const double before =
            each->shared.others *
            std::exp(-elapsed / micros(this->options.shared_decay_time));
        each->shared.others = std::max(before, total - each->shared.told);
        each->shared.others_at = now - age;
    }
}

std::size_t upstream_set::told_loads(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->upstreams_by_id, [now](const auto& each)
                              { return has_recent(each.second->shared, now); }));
}

} // namespace pistachiospan::upstreams
