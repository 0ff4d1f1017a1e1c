// Admission while a service has too little room, and what callers are told about it.

#include "pistachiospan/gateway/gateway.hpp"

#include <algorithm>

namespace pistachiospan::gateway
{

int gateway::priority_of(const pending_request& pending)
{
    const int priority = pending.account != nullptr && pending.account->priority > 0
                             ? pending.account->priority
                             : pending.route->priority;
    return std::max(priority, 0);
}

double gateway::admission_fraction_for(const pending_request& pending) const
{
    const std::size_t last = this->options.admission_fraction.size() - 1;
    return this->options.admission_fraction.at(
        std::min(last, static_cast<std::size_t>(priority_of(pending))));
}

admission::request gateway::admission_request(time_point now,
                                              const pending_request& pending)
{
    return {.service = pending.service,
            .account =
                pending.account == nullptr ? std::string_view() : pending.account->name,
            .route = pending.route->name,
            .priority = priority_of(pending),
            .objective = pending.route->latency_objective,
            .time_left = pending.deadline - now};
}

duration gateway::selection_objective(const pending_request& pending) const
{
    const duration objective = pending.route->latency_objective;
    return pending.yields ? std::chrono::duration_cast<duration>(
                                objective * this->options.yielding_fraction)
                          : objective;
}

// Refuses the request and returns false if its account has had its part of the room.
bool gateway::admit_by_share(time_point now, exchange_id exchange,
                             pending_request& pending)
{
    if (!this->hooks.admission.decide)
        return true;
    const admission::decision decision =
        this->hooks.admission.decide(now, admission_request(now, pending));
    pending.yields = decision.yields;
    if (decision.admitted)
        return true;
    pending.chosen = {.retry_after = decision.retry_after};
    this->give_up(now, exchange, pending, refusal::over_share, {});
    return false;
}

void gateway::note_admitted(time_point now, const pending_request& pending,
                            admission::outcome outcome, duration elapsed) const
{
    if (this->hooks.admission.note)
        this->hooks.admission.note(now, admission_request(now, pending), outcome,
                                   elapsed);
}

void gateway::note_no_room(time_point now, const pending_request& pending) const
{
    // A stopping VM refuses for lack of time, whatever the room.
    const bool is_for_room =
        pending.chosen.failure == upstreams::selection_failure::no_room ||
        pending.chosen.failure == upstreams::selection_failure::too_late;
    if (is_for_room && !this->stops_at)
        this->note_admitted(now, pending, admission::outcome::no_room);
}

void gateway::note_result(time_point now, const pending_request& pending,
                          const attempt_result& result) const
{
    switch (result.outcome)
    {
    case attempt_outcome::not_run:
        this->note_admitted(now, pending, admission::outcome::refused);
        return;
    case attempt_outcome::not_sent:
    case attempt_outcome::misdirected:
        this->note_admitted(now, pending, admission::outcome::not_sent);
        return;
    case attempt_outcome::answered:
        break;
    default:
        return;
    }
    if (result.status >= first_server_error)
        return; // such answers are fast and say nothing about the room
    const duration objective = pending.route->latency_objective;
    const bool has_waited =
        pending.chosen.wait > duration(0) || (result.load && result.load->waiting > 0);
    const bool is_late = objective > duration(0) && now - pending.arrived_at > objective;
    this->note_admitted(now, pending,
                        is_late && has_waited ? admission::outcome::answered_late
                                              : admission::outcome::answered,
                        now - pending.sent_at);
}

// For a request that was not run.
duration gateway::retry_after(time_point now, const pending_request& pending,
                              refusal reason) const
{
    if (reason == refusal::stopping)
        return this->options.stopping_retry_after;
    if (reason == refusal::over_share)
        return pending.chosen.retry_after;
    const duration earliest =
        std::max(pending.chosen.retry_after, this->options.upstream_full_retry_after);
    const bool takes_turn = reason == refusal::no_room || reason == refusal::too_late ||
                            reason == refusal::upstream_full ||
                            reason == refusal::no_upstream;
    if (!takes_turn || !this->hooks.admission.retry_turn)
        return earliest;
    return std::max(
        earliest, this->hooks.admission.retry_turn(now, admission_request(now, pending)));
}

} // namespace pistachiospan::gateway
