#include "pistachiospan/route/internal/router_implementation.hpp"

namespace pistachiospan::route
{

using namespace internal;

// Starts the move of a group when a version adds destinations, or continues the one in
// progress. Without other upstreams in the group there is nothing to move from; then only
// the warm-up limits the destinations.
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
            .controller = shift_controller(this->options.shift, now, baseline)});
    }
    if (group.move)
    {
        group.move->target_fraction =
            static_cast<double>(moving) / static_cast<double>(total);
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
        group.move->free_fraction_sum += 1 - used / limit;
        group.move->free_fraction_samples += 1;
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
        if (!move.controller.due(now))
        {
            continue;
        }
        const destination_sample sample{
            .free_fraction = move.free_fraction_samples == 0
                                 ? 0
                                 : move.free_fraction_sum / move.free_fraction_samples,
            .latency = move.samples == 0 ? duration(0)
                                         : span_of(move.latency_sum / move.samples),
            .samples = move.samples,
            .has_slots = move.free_fraction_samples > 0};
        move.latency_sum = 0;
        move.samples = 0;
        move.free_fraction_sum = 0;
        move.free_fraction_samples = 0;
        if (move.controller.update(now, sample) == shift_controller::state::done)
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
    // Bounds the credit, so that neither saved credit leads to a burst nor debt to a long
    // pause.
    constexpr double max_credit = 2;
    move.credit +=
        move.controller.fraction() * move.target_fraction - (chosen.moving ? 1 : 0);
    move.credit = std::clamp(move.credit, -max_credit, max_credit);
}

} // namespace pistachiospan::route
