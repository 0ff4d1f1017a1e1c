// Notices upstreams that end with requests of this VM, and keeps back requests that were
// at several of them.

#include "pistachiospan/gateway/gateway.hpp"

namespace pistachiospan::gateway
{

const quarantine::fingerprint& gateway::fingerprint_of(exchange_id exchange,
                                                       pending_request& pending) const
{
    if (!pending.fingerprint)
        pending.fingerprint = this->hooks.identify(
            exchange, pending.account == nullptr ? std::string() : pending.account->name);
    return *pending.fingerprint;
}

// Whether nothing new speaks against sending a request that was admitted.
bool gateway::suspects_allow(time_point now, const pending_request& pending) const
{
    return !pending.fingerprint ||
           this->known_suspects.check(now, *pending.fingerprint).action !=
               quarantine::admission::refuse;
}

// Refuses the request and returns false if it must not be sent now.
bool gateway::admit_suspect(time_point now, exchange_id exchange,
                            pending_request& pending)
{
    // The outcome of a trial that no upstream has got yet is still open.
    const bool is_trial = pending.admitted_as == quarantine::admission::trial;
    if (this->known_suspects.empty() || !this->hooks.identify || is_trial)
        return true;
    const quarantine::decision decision =
        this->known_suspects.check(now, this->fingerprint_of(exchange, pending));
    if (decision.action != quarantine::admission::refuse)
        return true;
    pending.chosen = {.retry_after = decision.retry_after};
    this->give_up(now, exchange, pending, refusal::quarantined, {});
    return false;
}

void gateway::begin_suspect(time_point now, exchange_id exchange,
                            pending_request& pending)
{
    if (this->known_suspects.empty() || !this->hooks.identify)
        return;
    const quarantine::fingerprint request = this->fingerprint_of(exchange, pending);
    const bool was_trial = pending.admitted_as == quarantine::admission::trial;
    if (!was_trial)
        pending.admitted_as = this->known_suspects.check(now, request).action;
    const bool is_new_trial =
        !was_trial && pending.admitted_as == quarantine::admission::trial;
    pending.is_suspect_sent = this->known_suspects.begin(
        now, request, is_new_trial ? pending.admitted_as : quarantine::admission::send,
        pending.service);
    if (is_new_trial && this->hooks.suspect_changed)
        this->hooks.suspect_changed(now, request, false);
}

void gateway::end_suspect(pending_request& pending)
{
    if (std::exchange(pending.is_suspect_sent, false))
        this->known_suspects.end(*pending.fingerprint);
}

// Whether a request that has lost its connection may be tried at another upstream: it may
// have ended the first one.
bool gateway::may_send_again(exchange_id exchange, pending_request& pending,
                             const attempt_result& lost) const
{
    if (!lost.connection_lost || !this->hooks.identify)
        return true;
    return pending.admitted_as != quarantine::admission::trial &&
           this->known_suspects.may_retry(this->fingerprint_of(exchange, pending));
}

// What the end of an attempt says about the upstream's connections. An upstream that has
// announced that it leaves ends as planned.
void gateway::note_connection(time_point now, exchange_id exchange,
                              pending_request& pending, const attempt_result& result)
{
    const upstreams::upstream_start upstream{pending.chosen.id, pending.chosen.started};
    if (result.connection_refused)
        this->upstreams.note_refused(now, upstream);
    if (!this->hooks.identify || !this->hooks.check_connection)
        return;
    if (result.outcome == attempt_outcome::answered)
    {
        this->report_ends(now, this->ends.note_answer(now, upstream));
        this->clear_suspect(now, exchange, pending, result);
    }
    const bool is_lost = result.outcome == attempt_outcome::broken &&
                         result.connection_lost && !this->upstreams.is_leaving(upstream);
    if (is_lost &&
        this->ends.note_closed(now, upstream,
                               {.request = this->fingerprint_of(exchange, pending),
                                .service = pending.service}))
        this->hooks.check_connection(upstream, pending.chosen.address);
}

// An answer shows that the request does not crash this service's upstreams. One that
// reports a failure may come before the request has run.
void gateway::clear_suspect(time_point now, exchange_id exchange,
                            pending_request& pending, const attempt_result& result)
{
    if (this->known_suspects.empty() || result.status >= first_server_error)
        return;
    const quarantine::fingerprint& request = this->fingerprint_of(exchange, pending);
    const bool changed = this->known_suspects.note_answer(now, request, pending.service);
    if (changed && this->hooks.suspect_changed)
        this->hooks.suspect_changed(now, request, true);
}

void gateway::finish_connection_check(time_point now,
                                      const upstreams::upstream_start& upstream,
                                      quarantine::connection_check outcome)
{
    if (outcome == quarantine::connection_check::accepted)
    {
        this->upstreams.note_reached(now);
        this->report_ends(now, this->ends.note_answer(now, upstream));
    }
    if (outcome == quarantine::connection_check::refused)
        this->upstreams.note_refused(now, upstream);
    const bool has_ended = this->ends.finish_check(now, upstream, outcome);
    if (!has_ended)
        return;
    // Without other traffic, only a connection elsewhere shows that it is not this VM
    // that is cut off.
    if (const auto other = this->upstreams.last_answering(upstream))
        this->hooks.check_connection(other->upstream, other->address);
}

void gateway::report_ends(time_point now,
                          const std::vector<quarantine::upstream_end>& ended)
{
    for (const quarantine::upstream_end& each : ended)
    {
        const std::vector<quarantine::fingerprint> quarantined =
            this->known_suspects.note_end(now, each);
        if (this->hooks.upstream_ended)
            this->hooks.upstream_ended(now, each, quarantined);
    }
}

} // namespace pistachiospan::gateway
