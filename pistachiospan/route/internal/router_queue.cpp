#include "pistachiospan/route/internal/router_implementation.hpp"

namespace pistachiospan::route
{

using namespace internal;

namespace
{

constexpr duration min_retry_after = std::chrono::milliseconds(50);
// Wait that is assumed while no upstream can serve and no timer will change that.
constexpr duration blocked_wait = std::chrono::seconds(1);

} // namespace

std::uint32_t router::implementation::account_weight(const std::string& account) const
{
    const auto found = this->active.accounts.find(account);
    return found == this->active.accounts.end() ? 1 : found->second.weight;
}

bool router::implementation::is_large(const request& incoming) const
{
    return incoming.body_size > this->options.large_body_threshold;
}

decision router::implementation::refuse(refusal reason, duration retry_after)
{
    this->counters.refused += 1;
    return {.kind = decision_kind::refused,
            .reason = reason,
            .retry_after = std::max(retry_after, min_retry_after)};
}

// Requests per microsecond that the group serves under load, by the slots of this VM and
// by as many relays as are running now.
double router::implementation::service_rate(const group_state& group) const
{
    const auto slots = static_cast<double>(std::min<std::uint64_t>(
        {group.capacity, group.cap.current, this->data_centre_cap.current}));
    return slots / group.service.value + group.relays / group.relay_service.value;
}

duration router::implementation::estimate_wait(time_point now, const group_state& group,
                                               double ahead) const
{
    const double rate = this->service_rate(group);
    if (rate > 0)
    {
        return span_of((ahead + 1) / rate);
    }
    const bool due = !this->timers.empty() && group.members > 0;
    const duration until_timer =
        due ? this->timers.begin()->first.first - now : blocked_wait;
    return std::clamp(until_timer, duration(0), blocked_wait);
}

// Whether an upstream here or a peer can serve the group, now or later.
bool router::implementation::reachable(time_point now, const group_state& group) const
{
    if (group.members > 0)
    {
        return true;
    }
    return std::any_of(this->peers.begin(), this->peers.end(),
                       [&](const auto& entry)
                       {
                           const peer_state& peer = entry.second;
                           return !peer.draining && peer.groups.contains(group.name) &&
                                  now - peer.measured_at <
                                      this->options.max_peer_report_age;
                       });
}

decision router::implementation::enqueue(time_point now, group_state& group,
                                         request incoming)
{
    const bool unreachable =
        incoming.relayed ? group.members == 0 : !this->reachable(now, group);
    if (unreachable)
    {
        return this->refuse(refusal::no_upstream, blocked_wait);
    }
    const std::uint32_t weight = this->account_weight(incoming.account);
    const double ahead = group.queue.count_ahead(incoming.account, weight);
    const duration wait = this->estimate_wait(now, group, ahead);
    const duration needed = wait + span_of(group.service.value);
    if (needed > incoming.deadline - now)
    {
        return this->refuse(refusal::deadline_too_near,
                            needed - std::max(incoming.deadline - now, duration(0)));
    }
    const auto& queue = group.queue;
    if (queue.waiting_count(incoming.account) >= this->options.max_account_requests ||
        queue.waiting_bytes(incoming.account) + incoming.body_size >
            this->options.max_account_bytes)
    {
        const auto waiting_count =
            static_cast<double>(queue.waiting_count(incoming.account));
        return this->refuse(refusal::account_queue_full,
                            span_of(microseconds(wait) / std::max(waiting_count, 1.0)));
    }
    if (this->waiting.size() >= this->options.max_total_requests ||
        this->waiting_bytes + incoming.body_size > this->options.max_total_bytes)
    {
        return this->refuse(refusal::queue_full, this->estimate_wait(now, group, 0));
    }
    this->waiting[incoming.id] = &group;
    this->waiting_bytes += incoming.body_size;
    const bool large = this->is_large(incoming);
    group.queue.push(std::move(incoming), weight, large);
    this->counters.queued += 1;
    return {.kind = decision_kind::queued};
}

void router::implementation::remove_waiting(const request& removed)
{
    this->waiting.erase(removed.id);
    this->waiting_bytes -= removed.body_size;
}

void router::implementation::dispatch_waiting(time_point now, group_state& group)
{
    while (group.queue.size() > 0 && this->can_place(now, group))
    {
        const bool served = group.queue.serve(
            [&](const request& next)
            {
                decision answer;
                if (!this->try_place(now, group, next, answer))
                {
                    return false;
                }
                this->remove_waiting(next);
                this->pending_decisions.emplace_back(next.id, std::move(answer));
                return true;
            });
        if (!served)
        {
            return;
        }
    }
}

void router::implementation::dispatch_all_waiting(time_point now)
{
    if (this->waiting.empty())
    {
        return;
    }
    for (const auto& [name, group] : this->groups)
    {
        this->dispatch_waiting(now, *group);
    }
}

// Refuses waiting requests as soon as they cannot be served before their deadline.
// Estimates vary, so a request is refused only if half of the estimate exceeds the time
// that is left.
void router::implementation::expire_waiting(time_point now, group_state& group)
{
    const double rate = this->service_rate(group);
    const auto dropped = group.queue.remove_if(
        [&](const request& each, double ahead)
        {
            const double wait = rate > 0 ? ahead / rate : 0;
            const duration needed = span_of((wait + group.service.value) / 2);
            return now + needed >= each.deadline;
        });
    const duration retry_after =
        this->estimate_wait(now, group, static_cast<double>(group.queue.size()));
    for (const request& each : dropped)
    {
        this->remove_waiting(each);
        this->pending_decisions.emplace_back(
            each.id, this->refuse(refusal::deadline_too_near, retry_after));
    }
}

// Runs the hooks after all changes of state, because they may call the router.
void router::implementation::run_hooks()
{
    while (!this->pending_decisions.empty() || !this->pending_drains.empty())
    {
        const auto decisions = std::exchange(this->pending_decisions, {});
        const auto drains = std::exchange(this->pending_drains, {});
        for (const auto& [id, answer] : decisions)
        {
            if (this->hooks.on_decision)
            {
                this->hooks.on_decision(id, answer);
            }
        }
        for (const auto& [address, drain_time] : drains)
        {
            if (this->hooks.on_drained)
            {
                this->hooks.on_drained(address, drain_time);
            }
        }
    }
}

} // namespace pistachiospan::route
