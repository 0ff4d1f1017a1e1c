// Cold upstreams, and those that may be cold because they may have restarted.

#include "pistachiospan/upstreams/internal/arithmetic.hpp"
#include "pistachiospan/upstreams/upstreams.hpp"

#include <algorithm>

namespace pistachiospan::upstreams
{

using internal::mix;
using internal::to_unit_interval;

void upstream_set::note_cold(time_point now, std::string_view id, duration cold_left)
{
    if (upstream* target = this->find(id))
        this->make_cold(now, *target, cold_left);
}

void upstream_set::make_cold(time_point now, upstream& target, duration left) const
{
    const time_point until = now + left;
    if (until <= target.cold_until || left <= duration(0))
        return;
    this->begin_cold(now, target);
    target.cold_until = until;
}

// Each VM starts with a different fraction of a token, so that the first tokens of all
// VMs are spread evenly over time.
void upstream_set::begin_cold(time_point now, upstream& target) const
{
    if (target.is_cold(now))
        return;
    target.cold_tokens.begin(now, to_unit_interval(mix(this->options.seed, target.hash)));
}

bool upstream_set::has_cold_token(time_point now, upstream& target,
                                  const service_group& group)
{
    if (!target.is_cold(now) || group.cold_rate <= 0)
        return true;
    const double rate = group.cold_rate * this->options.cold_rate_margin /
                        static_cast<double>(this->vm_count);
    return target.cold_tokens.has_token(now, rate);
}

void upstream_set::note_refused(time_point now, const upstream_start& start)
{
    upstream* target = this->find(start.id);
    if (target != nullptr && target->registration.started == start.started)
        this->note_end_sign(now, *target);
}

void upstream_set::note_connections_ended(time_point now, std::string_view address)
{
    for (const auto& [id, each] : this->upstreams_by_id)
        if (each->registration.address == address)
            this->note_end_sign(now, *each);
}

// While this VM is cut off from the upstreams, what it sees of them says nothing.
void upstream_set::note_end_sign(time_point now, upstream& target)
{
    if (!target.in_use || target.is_leaving() || this->reach.is_cut_off(now))
        return;
    this->restarts.note_sign(now, start_of(target));
    this->apply_restart(now, target);
}

// An upstream has answered a request that was sent at `sent_at`.
void upstream_set::note_contact(time_point now, const std::string& id, time_point sent_at)
{
    upstream* answering = this->find(id);
    if (answering != nullptr)
        answering->in_use = true;
    if (this->restarts.empty())
        return;
    const std::vector<upstream_start> confirmed =
        this->restarts.note_contact(now, sent_at);
    for (const upstream_start& each : confirmed)
    {
        this->apply_restart(now, each);
        this->tell_restart(now, each, restart_change::suspected);
    }
    if (answering == nullptr)
        return;
    const upstream_start start = start_of(*answering);
    if (!this->restarts.note_accepted(now, start, sent_at))
        return;
    this->apply_restart(now, *answering);
    this->tell_restart(now, start, restart_change::accepted);
}

void upstream_set::tell_restart(time_point now, const upstream_start& start,
                                restart_change change) const
{
    if (this->options.restart_changed)
        this->options.restart_changed(now, start, change);
}

// A newer entry of the same start ends the suspicion that this start has ended.
void upstream_set::note_entry(time_point now, const upstream& known,
                              const entry& registration)
{
    const upstream_start start{registration.id, registration.started};
    const bool is_newer = known.registration.started == registration.started &&
                          known.registration.sequence < registration.sequence;
    if (!is_newer || registration.max_age == duration::max())
        return;
    if (this->restarts.note_entry(start, now - registration.max_age))
        this->tell_restart(now, start, restart_change::refuted);
}

// Brings the upstream in line with what is suspected about its present start.
void upstream_set::apply_restart(time_point now, upstream& target)
{
    const upstream_start start = start_of(target);
    if (this->restarts.is_suspected(start))
        this->begin_cold(now, target);
    target.suspected_until = this->restarts.cold_until(
        start, this->group_of(target.registration.service).cold_time);
}

void upstream_set::apply_restart(time_point now, const upstream_start& start)
{
    upstream* target = this->find(start.id);
    if (target != nullptr && target->registration.started == start.started)
        this->apply_restart(now, *target);
}

bool upstream_set::merge_restart(time_point now, const restart_notice& notice)
{
    const bool is_new = this->restarts.merge(now, notice);
    this->apply_restart(now, notice.upstream);
    return is_new;
}

std::vector<restart_notice> upstream_set::suspected_restarts(time_point now) const
{
    return this->restarts.select(now,
                                 [this, now](const upstream_start& start)
                                 {
                                     const upstream* target = this->find(start.id);
                                     return target != nullptr &&
                                            target->registration.started ==
                                                start.started &&
                                            now < target->suspected_until;
                                 });
}

void upstream_set::forget_restarts(time_point now)
{
    this->restarts.forget(now,
                          [this, now](const upstream_start& start)
                          {
                              const upstream* target = this->find(start.id);
                              return target != nullptr &&
                                     target->registration.started == start.started &&
                                     now < target->suspected_until;
                          });
}

} // namespace pistachiospan::upstreams
