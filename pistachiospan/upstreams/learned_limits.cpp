// How many concurrent requests upstreams handle well, as this VM has learned it.

#include "pistachiospan/upstreams/internal/arithmetic.hpp"
#include "pistachiospan/upstreams/upstreams.hpp"

#include <algorithm>

namespace pistachiospan::upstreams
{

using internal::effective_slots;
using internal::micros;

// The concurrent requests from all VMs that an upstream may have without a wait.
double upstream_set::usable_requests(time_point now, const upstream& target) const
{
    if (!target.shared.limit || !this->options.learned_limits)
        return effective_slots(target.registration.slots);
    return target.shared.limit->usable(now);
}

void upstream_set::note_sent(time_point now, upstream& target, const selection& chosen)
{
    if (target.shared.limit)
        target.shared.limit->note_sent(now, chosen.load);
}

// Updates what is known from the load report of an answer. Call before learn(), which
// changes the usual times with this answer.
void upstream_set::note_report(time_point now, upstream& target, const selection& chosen,
                               outcome result, duration latency,
                               const std::optional<load_report>& report)
{
    if (!report)
        return;
    this->note_load(now, target, *report);
    // A cold upstream's times say nothing about the later ones.
    if (!this->options.learned_limits || target.is_cold(now) ||
        chosen.started != target.registration.started)
        return;
    const std::uint32_t requests = report->running + report->waiting;
    if (!target.shared.limit)
        target.shared.limit.emplace(target.registration.slots);
    if (result == outcome::shed)
        target.shared.limit->note_refusal(now, requests);
    if (result != outcome::answered)
        return;
    const service_group& group = this->group_of(target.registration.service);
    // The wait that was expected at selection assumes the learned limit. The upstream
    // lets requests wait only beyond its slots.
    const double slots = effective_slots(target.registration.slots);
    const double wait = std::max(0.0, chosen.load + 1 - slots) / slots *
                        group.mean_time.micros() * this->slowness_of(now, target);
    const double time =
        std::max(micros(latency - chosen.network_time) - wait, micros(latency) / 4);
    const double usual =
        chosen.knows_object ? group.known_time.micros() : group.unknown_time.micros();
    const double host = report->host_work_factor.value_or(1);
    if (usual > 0 && host > 0)
        target.shared.limit->note_answer(now, requests, time / usual / host);
}

std::size_t upstream_set::lowered_limits(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->upstreams_by_id,
        [this, now](const auto& each)
        {
            const upstream& target = *each.second;
            return target.shared.limit && this->options.learned_limits &&
                   target.shared.limit->limit(now) < target.shared.limit->slots();
        }));
}

} // namespace pistachiospan::upstreams
