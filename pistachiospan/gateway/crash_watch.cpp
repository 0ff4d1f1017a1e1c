// Notices upstreams that end with requests of this VM.

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

// What the end of an attempt says about the upstream's connections. An upstream that has
// announced that it leaves ends as planned.
void gateway::note_connection(time_point now, exchange_id exchange,
                              pending_request& pending, const attempt_result& result)
{
    if (!this->hooks.identify || !this->hooks.check_connection)
        return;
    const upstreams::upstream_start upstream{pending.chosen.id, pending.chosen.started};
    if (result.outcome == attempt_outcome::answered)
        this->report_ends(now, this->ends.note_answer(now, upstream));
    const bool is_lost = result.outcome == attempt_outcome::broken &&
                         result.connection_lost && !this->upstreams.is_leaving(upstream);
    if (is_lost &&
        this->ends.note_closed(now, upstream,
                               {.request = this->fingerprint_of(exchange, pending),
                                .service = pending.service}))
        this->hooks.check_connection(upstream, pending.chosen.address);
}

void gateway::finish_connection_check(time_point now,
                                      const upstreams::upstream_start& upstream,
                                      quarantine::connection_check outcome)
{
    if (outcome == quarantine::connection_check::accepted)
        this->report_ends(now, this->ends.note_answer(now, upstream));
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
    if (!this->hooks.upstream_ended)
        return;
    for (const quarantine::upstream_end& each : ended)
        this->hooks.upstream_ended(now, each);
}

} // namespace pistachiospan::gateway
