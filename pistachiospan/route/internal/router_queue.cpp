#include "pistachiospan/route/internal/router_implementation.hpp"

namespace pistachiospan::route
{

using namespace internal;

namespace
{

constexpr duration shortest_retry = std::chrono::milliseconds(50);
// Wait that is assumed while no upstream can serve and none is due to return.
constexpr duration blocked_wait = std::chrono::seconds(1);

} // namespace

std::uint32_t router::implementation::weight_of(const std::string& account) const
{
    const auto found = this->active.accounts.find(account);
    return found == this->active.accounts.end() ? 1 : found->second.weight;
}

bool router::implementation::is_large(const request& asked) const
{
    return asked.body_size > this->options.large_body_threshold;
}

decision router::implementation::refuse(refusal reason, duration retry_after)
{
    this->totals.refused += 1;
    return {.kind = decision_kind::refused,
            .reason = reason,
            .retry_after = std::max(retry_after, shortest_retry)};
}

// Requests per microsecond that the group serves under load: own slots, and relays at
// their present number.
double router::implementation::rate_of(const group_state& group) const
{
    const auto slots = static_cast<double>(std::min<std::uint64_t>(
        {group.capacity, group.cap.current, this->data_centre_cap.current}));
    return slots / group.service.value + group.relays / group.relay_service.value;
}

duration router::implementation::wait_of(time_point now, const group_state& group,
                                         double ahead) const
{
    const double rate = this->rate_of(group);
    if (rate > 0)
    {
        return span_of((ahead + 1) / rate);
    }
    const bool due = !this->wakes.empty() && group.members > 0;
    const duration until_wake =
        due ? this->wakes.begin()->first.first - now : blocked_wait;
    return std::clamp(until_wake, duration(0), blocked_wait);
}

// Whether an own upstream or a peer can serve the group, now or later.
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
                                  now - peer.taken < this->options.max_peer_report_age;
                       });
}

decision router::implementation::enqueue(time_point now, group_state& group,
                                         request incoming)
{
    const bool hopeless =
        incoming.relayed ? group.members == 0 : !this->reachable(now, group);
    if (hopeless)
    {
        return this->refuse(refusal::no_upstream, blocked_wait);
    }
    const std::uint32_t weight = this->weight_of(incoming.account);
    const double ahead = group.queue.ahead(incoming.account, weight);
    const duration wait = this->wait_of(now, group, ahead);
    const duration needed = wait + span_of(group.service.value);
    if (needed > incoming.deadline - now)
    {
        return this->refuse(refusal::deadline_too_near,
                            needed - std::max(incoming.deadline - now, duration(0)));
    }
    const auto& queue = group.queue;
    if (queue.waiting_of(incoming.account) >= this->options.max_account_requests ||
        queue.bytes_of(incoming.account) + incoming.body_size >
            this->options.max_account_bytes)
    {
        const auto own = static_cast<double>(queue.waiting_of(incoming.account));
        return this->refuse(refusal::account_queue_full,
                            span_of(microseconds(wait) / std::max(own, 1.0)));
    }
    if (this->waiting.size() >= this->options.max_total_requests ||
        this->waiting_bytes + incoming.body_size > this->options.max_total_bytes)
    {
        return this->refuse(refusal::queue_full, this->wait_of(now, group, 0));
    }
    this->waiting[incoming.id] = &group;
    this->waiting_bytes += incoming.body_size;
    const bool large = this->is_large(incoming);
    group.queue.push(std::move(incoming), weight, large);
    this->totals.queued += 1;
    return {.kind = decision_kind::queued};
}

void router::implementation::forget_waiting(const request& of)
{
    this->waiting.erase(of.id);
    this->waiting_bytes -= of.body_size;
}

void router::implementation::pump(time_point now, group_state& group)
{
    while (group.queue.size() > 0 && this->can_place(now, group))
    {
        const bool served = group.queue.serve(
            [&](const request& next)
            {
                decision placed;
                if (!this->place(now, group, next, placed))
                {
                    return false;
                }
                this->forget_waiting(next);
                this->decided.emplace_back(next.id, std::move(placed));
                return true;
            });
        if (!served)
        {
            return;
        }
    }
}

void router::implementation::pump_all(time_point now)
{
    if (this->waiting.empty())
    {
        return;
    }
    for (const auto& [name, group] : this->groups)
    {
        this->pump(now, *group);
    }
}

// Refuses waiting requests as soon as their turn cannot come in time. Estimates vary, so
// a request is given up only at half of the estimate.
void router::implementation::expire_waiting(time_point now, group_state& group)
{
    const double rate = this->rate_of(group);
    const auto dropped = group.queue.remove_if(
        [&](const request& each, double ahead)
        {
            const double wait = rate > 0 ? ahead / rate : 0;
            const duration needed = span_of((wait + group.service.value) / 2);
            return now + needed >= each.deadline;
        });
    const duration retry_after =
        this->wait_of(now, group, static_cast<double>(group.queue.size()));
    for (const request& each : dropped)
    {
        this->forget_waiting(each);
        this->decided.emplace_back(each.id,
                                   this->refuse(refusal::deadline_too_near, retry_after));
    }
}

// Hooks run after all changes, because they may call the router.
void router::implementation::deliver()
{
    while (!this->decided.empty() || !this->drained.empty())
    {
        const auto decisions = std::exchange(this->decided, {});
        const auto ended = std::exchange(this->drained, {});
        for (const auto& [id, made] : decisions)
        {
            if (this->hooks.on_decision)
            {
                this->hooks.on_decision(id, made);
            }
        }
        for (const auto& [address, taken] : ended)
        {
            if (this->hooks.on_drained)
            {
                this->hooks.on_drained(address, taken);
            }
        }
    }
}

} // namespace pistachiospan::route
