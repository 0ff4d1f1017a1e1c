#include "pistachiospan/route/internal/router_implementation.hpp"

namespace pistachiospan::route
{

using namespace internal;

// Starts the move of a group when a version adds destinations, or goes on with the one in
// progress. A group without other upstreams has nothing to move from: its warm-up alone
// limits then.
void router::implementation::update_move(time_point now, group_state& group)
{
    std::uint64_t moving = 0;
    std::uint64_t total = 0;
    for (const auto& [address, each] : this->upstreams)
    {
        const bool counts = each->group == &group && !each->draining();
        total += counts ? each->total_slots : 0;
        moving += counts && each->moving ? each->total_slots : 0;
    }
    if (moving == 0 || moving == total)
    {
        this->end_move(now, group);
    }
    else if (group.move_changed || !group.move)
    {
        const duration baseline = span_of(group.service.value);
        group.move.emplace(planned_move{
            .control = shift_controller(this->options.shift, now, baseline)});
    }
    if (group.move)
    {
        group.move->target = static_cast<double>(moving) / static_cast<double>(total);
    }
    group.move_changed = false;
}

void router::implementation::end_move(time_point now, group_state& group)
{
    group.move.reset();
    for (const auto& [address, each] : this->upstreams)
    {
        if (each->group == &group && each->moving)
        {
            each->moving = false;
            this->refresh(now, *each);
        }
    }
}

void router::implementation::sample_move(group_state& group) const
{
    double limit = 0;
    double used = 0;
    for (const auto& [address, each] : this->upstreams)
    {
        if (each->group == &group && each->moving)
        {
            limit += each->limit;
            used += std::min(each->in_flight, each->limit);
        }
    }
    if (limit > 0)
    {
        group.move->headroom_sum += 1 - used / limit;
        group.move->headroom_samples += 1;
    }
}

void router::implementation::advance_moves(time_point now)
{
    for (const auto& [name, group] : this->groups)
    {
        if (!group->move)
        {
            continue;
        }
        planned_move& move = *group->move;
        this->sample_move(*group);
        if (!move.control.due(now))
        {
            continue;
        }
        const destination_sample seen{
            .free_fraction = move.headroom_samples == 0
                                 ? 0
                                 : move.headroom_sum / move.headroom_samples,
            .latency = move.samples == 0 ? duration(0)
                                         : span_of(move.latency_sum / move.samples),
            .samples = move.samples,
            .has_slots = move.headroom_samples > 0};
        move.latency_sum = 0;
        move.samples = 0;
        move.headroom_sum = 0;
        move.headroom_samples = 0;
        if (move.control.update(now, seen) == shift_controller::state::done)
        {
            this->end_move(now, *group);
            continue;
        }
        for (const auto& [address, each] : this->upstreams)
        {
            if (each->group == group.get() && each->moving)
            {
                this->refresh(now, *each);
            }
        }
    }
}

void router::implementation::charge_move(group_state& group, const upstream_state& chosen)
{
    if (!group.move)
    {
        return;
    }
    planned_move& move = *group.move;
    // Bounds: neither saved nor overdrawn requests lead to a burst or a long pause later.
    constexpr double most = 2;
    move.credit += move.control.fraction() * move.target - (chosen.moving ? 1 : 0);
    move.credit = std::clamp(move.credit, -most, most);
}

} // namespace pistachiospan::route
