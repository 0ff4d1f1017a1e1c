#include "pistachiospan/gateway/gateway.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace pistachiospan::gateway
{

namespace
{

upstreams::outcome outcome_of(const attempt_result& result)
{
    switch (result.outcome)
    {
    case attempt_outcome::answered:
        return result.status >= first_server_error ? upstreams::outcome::failed
                                                   : upstreams::outcome::answered;
    case attempt_outcome::not_run:
        return upstreams::outcome::shed;
    case attempt_outcome::misdirected:
        return upstreams::outcome::misdirected;
    case attempt_outcome::not_sent:
        return upstreams::outcome::not_sent;
    case attempt_outcome::broken:
        return result.is_misdirected ? upstreams::outcome::misdirected
                                     : upstreams::outcome::broken;
    case attempt_outcome::timed_out:
        return upstreams::outcome::timed_out;
    }
    return upstreams::outcome::broken;
}

bool reports_not_run(attempt_outcome outcome)
{
    return outcome == attempt_outcome::not_run || outcome == attempt_outcome::misdirected;
}

std::string describe(const allowance::admission& refused,
                     const configuration::account& account)
{
    std::ostringstream text;
    text << std::fixed << "the share of the limit available here is "
         << std::setprecision(3) << refused.share << " of " << std::setprecision(1)
         << account.rate << "/s";
    return text.str();
}

refusal refusal_of(upstreams::selection_failure failure)
{
    switch (failure)
    {
    case upstreams::selection_failure::too_late:
        return refusal::too_late;
    case upstreams::selection_failure::no_room:
        return refusal::no_room;
    case upstreams::selection_failure::limited:
        return refusal::upstream_limit;
    default:
        return refusal::no_upstream;
    }
}

} // namespace

gateway::gateway(gateway_options options, upstreams::upstream_set& upstreams,
                 gateway_hooks hooks)
    : options(options), upstreams(upstreams), hooks(std::move(hooks)),
      known_suspects({.seed = options.seed})
{
}

void gateway::set_configuration(std::shared_ptr<const configuration::state> next)
{
    this->configuration = std::move(next);
    this->upstreams.set_services(this->configuration->services());
}

retry::policy& gateway::policy_of(const std::string& service)
{
    return this->retries
        .try_emplace(service, retry::options{.retry_ratio = this->options.retry_ratio,
                                             .min_credit = this->options.min_retry_credit,
                                             .max_attempts = UINT32_MAX,
                                             .seed = this->options.seed})
        .first->second;
}

void gateway::return_retry(time_point now, const pending_request& pending)
{
    if (pending.holds_retry)
        this->policy_of(pending.service).give_back(now);
}

void gateway::submit(time_point now, exchange_id exchange, caller_request incoming)
{
    ++this->total.submitted;
    const time_point arrived_at = now - incoming.waited;
    pending_request pending{.request = std::move(incoming),
                            .configuration = this->configuration,
                            .arrived_at = arrived_at};
    pending.deadline = pending.arrived_at +
                       pending.request.time_left.value_or(this->options.default_timeout);
    if (!this->find_route(now, exchange, pending) ||
        !this->admit_suspect(now, exchange, pending))
        return;
    if (pending.request.waited > duration(0) && pending.deadline <= now)
    {
        this->give_up(now, exchange, pending, refusal::too_late, {});
        return;
    }
    if (this->upstreams.is_cut_off(now) && this->forward(now, exchange, pending))
        return;
    pending_request& stored =
        this->requests.emplace(exchange, std::move(pending)).first->second;
    if (stored.account == nullptr)
    {
        this->policy_of(stored.service).note_request(now);
        this->dispatch(now, exchange, stored);
        return;
    }
    stored.waits_for = token_wait::account;
    const std::string account = stored.account->name;
    this->hooks.ask_token(exchange, account);
}

void gateway::finish_admission(time_point now, exchange_id exchange,
                               const allowance::admission& decision)
{
    const auto found = this->requests.find(exchange);
    if (found == this->requests.end() || found->second.waits_for != token_wait::account)
        return;
    pending_request& pending = found->second;
    pending.waits_for = token_wait::none;
    pending.holds_token = decision.admitted;
    if (pending.caller_gone)
    {
        if (decision.admitted)
            this->hooks.return_token(pending.account->name);
        this->requests.erase(found);
        return;
    }
    if (!decision.admitted)
    {
        this->refuse(
            now, exchange, pending,
            {.reason = refusal::over_allowance, .retry_after = decision.retry_after},
            describe(decision, *pending.account));
        return;
    }
    this->policy_of(pending.service).note_request(now);
    this->dispatch(now, exchange, pending);
}

void gateway::finish_upstream_admission(time_point now, exchange_id exchange,
                                        const allowance::admission& decision)
{
    const auto found = this->requests.find(exchange);
    if (found == this->requests.end() || found->second.waits_for != token_wait::upstream)
        return;
    pending_request& pending = found->second;
    pending.waits_for = token_wait::none;
    const upstreams::upstream_start upstream{pending.chosen.id, pending.chosen.started};
    const bool is_sent =
        decision.admitted && !pending.caller_gone && this->suspects_allow(now, pending) &&
        this->upstreams.remains_usable(now, pending.chosen, this->query_of(now, pending));
    if (is_sent)
    {
        ++this->total.limited_attempts;
        this->send(now, exchange, pending);
        return;
    }
    if (decision.admitted)
        this->hooks.return_upstream_token(upstream);
    if (pending.caller_gone)
    {
        if (pending.holds_token && !pending.may_have_run)
            this->hooks.return_token(pending.account->name);
        this->return_retry(now, pending);
        this->requests.erase(found);
        return;
    }
    ++pending.unused_admissions;
    if (!decision.admitted)
    {
        ++this->total.limit_refusals;
        this->upstreams.note_token_refused(now, upstream, decision.retry_after);
    }
    this->dispatch(now, exchange, pending);
}

void gateway::begin_stop(time_point stops_at)
{
    this->stops_at = stops_at;
}

// Time that the upstream may take to answer.
duration gateway::upstream_time_limit(time_point now,
                                      const pending_request& pending) const
{
    const time_point end =
        this->stops_at ? std::min(pending.deadline, *this->stops_at) : pending.deadline;
    return end - now;
}

// Time within which an answer must be expected for the request to be sent.
duration gateway::admission_time_limit(time_point now,
                                       const pending_request& pending) const
{
    const auto usual_limit = std::chrono::duration_cast<duration>(
        (pending.deadline - now) * this->admission_fraction_for(pending));
    if (!this->stops_at)
        return usual_limit;
    const auto stopping_limit = std::chrono::duration_cast<duration>(
        (*this->stops_at - now) * this->options.stopping_fraction);
    return std::min(usual_limit, stopping_limit);
}

upstreams::query gateway::query_of(time_point now, const pending_request& pending) const
{
    static const std::vector<std::string> no_homes;
    return {.service = pending.service,
            .object = pending.route->sticky ? std::string_view(pending.request.object)
                                            : std::string_view(),
            .homes = pending.route->home_regions,
            .account_homes =
                pending.account == nullptr ? no_homes : pending.account->home_regions,
            .excluded = pending.excluded,
            .time_left = this->admission_time_limit(now, pending),
            .objective = this->selection_objective(pending),
            .body_size = pending.request.body_size,
            .is_retry = pending.was_selected,
            .without_limited =
                pending.unused_admissions >= this->options.max_unused_admissions};
}

// Selects an upstream and sends the request there, or first asks for a token if the
// upstream has a request limit.
void gateway::dispatch(time_point now, exchange_id exchange, pending_request& pending)
{
    if (!this->admit_suspect(now, exchange, pending))
        return;
    if (!pending.was_selected && !this->admit_by_share(now, exchange, pending))
        return;
    pending.chosen = this->upstreams.select(now, this->query_of(now, pending));
    pending.was_selected = true;
    if (!pending.chosen.found)
    {
        const bool too_late =
            pending.chosen.failure == upstreams::selection_failure::too_late;
        this->note_no_room(now, pending);
        const refusal reason = too_late && this->stops_at
                                   ? refusal::stopping
                                   : refusal_of(pending.chosen.failure);
        this->give_up(now, exchange, pending, reason, {});
        return;
    }
    if (pending.chosen.needs_token)
    {
        pending.waits_for = token_wait::upstream;
        this->hooks.ask_upstream_token(exchange,
                                       {pending.chosen.id, pending.chosen.started});
        return;
    }
    this->send(now, exchange, pending);
}

void gateway::send(time_point now, exchange_id exchange, pending_request& pending)
{
    pending.upstream = pending.chosen.id;
    pending.sent_at = now;
    ++pending.attempts;
    if (std::exchange(pending.holds_retry, false))
    {
        ++this->total.retries;
        ++this->retry_total[pending.service].sent;
    }
    ++this->total.attempts;
    this->begin_suspect(now, exchange, pending);
    this->upstreams.begin(now, pending.chosen);
    this->note_admitted(now, pending, admission::outcome::placed);
    pending.call = this->hooks.send(
        {.exchange = exchange,
         .upstream = pending.upstream,
         .address = pending.chosen.address,
         .account = pending.account == nullptr ? std::string() : pending.account->name,
         .time_left = this->upstream_time_limit(now, pending),
         .repeatable = pending.route->kind == configuration::repeatability::idempotent});
}

void gateway::finish_attempt(time_point now, exchange_id exchange, call_id call,
                             attempt_result result)
{
    const auto found = this->requests.find(exchange);
    if (found == this->requests.end() || found->second.call != call)
        return;
    pending_request& pending = found->second;
    pending.call = 0;
    this->upstreams.end(now, pending.chosen, outcome_of(result), now - pending.sent_at,
                        result.load);
    this->apply_upstream_state(now, pending, result);
    this->note_result(now, pending, result);
    this->end_suspect(pending);
    this->note_connection(now, exchange, pending, result);
    if (pending.caller_gone)
    {
        this->requests.erase(found);
        return;
    }
    const bool idempotent =
        pending.route->kind == configuration::repeatability::idempotent;
    switch (result.outcome)
    {
    case attempt_outcome::answered:
        if (!idempotent || result.status < first_server_error)
        {
            this->deliver(now, exchange, pending, std::move(result), {});
            return;
        }
        pending.may_have_run = true;
        pending.failed_answer = std::move(result);
        if (!this->retry(now, exchange, pending, *pending.failed_answer))
            this->deliver(now, exchange, pending, std::move(*pending.failed_answer), {});
        return;
    case attempt_outcome::not_run:
    case attempt_outcome::misdirected:
        if (!this->retry(now, exchange, pending, result))
            this->give_up(now, exchange, pending, refusal::upstream_full, result.detail);
        return;
    case attempt_outcome::not_sent:
        --pending.attempts;
        if (++pending.unsent_attempts > this->options.max_unsent ||
            pending.deadline <= now)
        {
            this->give_up(now, exchange, pending, refusal::no_upstream, result.detail);
            return;
        }
        pending.excluded.push_back(pending.upstream);
        this->report(now, "resent", pending, refusal::none, 0, result.detail);
        this->dispatch(now, exchange, pending);
        return;
    case attempt_outcome::broken:
        pending.may_have_run = true;
        if (!idempotent || !this->may_send_again(exchange, pending, result) ||
            !this->retry(now, exchange, pending, result))
            this->give_up(now, exchange, pending, refusal::unknown_outcome,
                          result.detail);
        return;
    case attempt_outcome::timed_out:
        pending.may_have_run = true;
        this->give_up(now, exchange, pending, refusal::deadline, result.detail);
        return;
    }
}

// Applies what the upstream reported about itself.
void gateway::apply_upstream_state(time_point now, const pending_request& pending,
                                   const attempt_result& result)
{
    if (result.cold_left)
        this->upstreams.note_cold(now, pending.upstream, *result.cold_left);
    if (result.pause)
        this->upstreams.note_pause(now, pending.upstream, *result.pause);
    const upstreams::upstream_start start{pending.upstream, pending.chosen.started};
    const bool leaves = result.leaving && this->upstreams.note_leaving(now, start);
    const bool limit_changed =
        result.limit &&
        this->upstreams.note_limit(now, start, pending.sent_at, *result.limit);
    if (this->hooks.notice && (leaves || result.pause || limit_changed))
        this->hooks.notice({.upstream = start,
                            .leaving = leaves,
                            .pause = result.pause,
                            .limit = limit_changed ? result.limit : std::nullopt});
}

// Sends the request to another upstream if route, time and retry budget allow it. Call
// only for requests that may run twice or were not run. Returns false if it was not sent.
bool gateway::retry(time_point now, exchange_id exchange, pending_request& pending,
                    const attempt_result& failed)
{
    if (pending.attempts >= pending.route->max_attempts)
        return false;
    const bool not_run = reports_not_run(failed.outcome);
    const retry::decision decision =
        this->policy_of(pending.service)
            // Callers pass only requests that are idempotent or were not run.
            .after_failure(now, {.idempotent = true,
                                 .not_run = not_run,
                                 .attempts = pending.attempts,
                                 .deadline = pending.deadline});
    if (decision.why == retry::reason::budget)
        ++this->retry_total[pending.service].denied;
    if (!decision.retry)
        return false;
    pending.holds_retry = true;
    pending.excluded.push_back(pending.upstream);
    this->report(now, "retried", pending, refusal::none, failed.status, failed.detail);
    this->dispatch(now, exchange, pending);
    return true;
}

void gateway::deliver(time_point now, exchange_id exchange,
                      const pending_request& pending, attempt_result result,
                      std::string_view detail)
{
    this->report(now, "answered", pending, refusal::none, result.status, detail);
    this->return_retry(now, pending);
    this->requests.erase(exchange);
    this->hooks.deliver(exchange, std::move(result.answer));
}

// Passes a request on that no upstream has got: for one that was refused, the other VM's
// attempt would be a retry that no budget was charged for. The other VM charges its
// client account, so a token that was granted here is returned.
bool gateway::forward(time_point now, exchange_id exchange,
                      const pending_request& pending)
{
    if (!this->hooks.forward || pending.request.is_forwarded || pending.attempts > 0)
        return false;
    forward_request outgoing{.deadline = now + this->upstream_time_limit(now, pending),
                             .homes = pending.route->home_regions};
    if (pending.account != nullptr)
        outgoing.account_homes = pending.account->home_regions;
    if (!this->hooks.forward(exchange, outgoing))
        return false;
    if (pending.holds_token)
        this->hooks.return_token(pending.account->name);
    this->return_retry(now, pending);
    this->report(now, "forwarded", pending, refusal::none, 0, {});
    this->requests.erase(exchange);
    return true;
}

// Refuses a request that no upstream answered, or delivers the failure that an earlier
// attempt was answered with. Marks a refused request as not run, and returns its token,
// only if no upstream can have run it.
void gateway::give_up(time_point now, exchange_id exchange, pending_request& pending,
                      refusal reason, std::string_view detail)
{
    if (pending.failed_answer)
    {
        this->deliver(now, exchange, pending, std::move(*pending.failed_answer),
                      name_of(reason));
        return;
    }
    if (reason == refusal::no_upstream && !pending.may_have_run &&
        this->forward(now, exchange, pending))
        return;
    refusal_answer answer{.reason = reason, .may_have_run = pending.may_have_run};
    if (pending.may_have_run && reason != refusal::deadline)
        answer.reason = refusal::unknown_outcome;
    if (!pending.may_have_run)
    {
        answer.retry_after = this->retry_after(now, pending, reason);
        if (pending.holds_token)
            this->hooks.return_token(pending.account->name);
    }
    this->refuse(now, exchange, pending, answer, detail);
}

void gateway::refuse(time_point now, exchange_id exchange, const pending_request& pending,
                     const refusal_answer& answer, std::string_view detail)
{
    this->report(now, "refused", pending, answer.reason, 0, detail);
    this->return_retry(now, pending);
    this->requests.erase(exchange);
    this->hooks.refuse(exchange, answer);
}

// Cancels an idempotent request. Others run to their end, since a caller that has left
// can't know whether they were run.
void gateway::caller_left(time_point now, exchange_id exchange)
{
    const auto found = this->requests.find(exchange);
    if (found == this->requests.end())
        return;
    pending_request& pending = found->second;
    this->report(now, "left", pending, refusal::none, 0, {});
    if (pending.waits_for != token_wait::none)
    {
        pending.caller_gone = true;
        return;
    }
    if (pending.route->kind != configuration::repeatability::idempotent &&
        pending.call != 0)
    {
        // Its owner drops the request's content.
        if (this->hooks.identify)
            this->fingerprint_of(exchange, pending);
        pending.caller_gone = true;
        return;
    }
    if (pending.call != 0)
    {
        this->hooks.cancel(pending.call);
        this->end_suspect(pending);
        this->upstreams.end(now, pending.chosen, upstreams::outcome::cancelled,
                            now - pending.sent_at, std::nullopt);
    }
    this->requests.erase(found);
}

void gateway::report(time_point now, std::string_view event,
                     const pending_request& pending, refusal reason, int status,
                     std::string_view detail) const
{
    if (!this->hooks.report)
        return;
    this->hooks.report(
        {.event = event,
         .request_id = pending.request.request_id,
         .route = pending.route == nullptr ? std::string() : pending.route->name,
         .account = pending.account == nullptr ? std::string() : pending.account->name,
         .service = pending.service,
         .upstream = pending.upstream,
         .reason = reason,
         .status = status,
         .attempts = pending.attempts,
         .version = pending.configuration ? pending.configuration->version() : 0,
         .elapsed = now - pending.arrived_at,
         .waited = pending.request.waited,
         .time_left = pending.deadline - now,
         .expected = pending.chosen.expected,
         .wait = pending.chosen.wait,
         .load = pending.chosen.load,
         .objective =
             pending.route == nullptr ? duration(0) : pending.route->latency_objective,
         .detail = std::string(detail),
         .fingerprint =
             pending.fingerprint ? quarantine::to_text(*pending.fingerprint) : ""});
}

std::map<std::string, retry_counts> gateway::retry_totals(time_point now) const
{
    std::map<std::string, retry_counts> all = this->retry_total;
    for (const auto& [service, policy] : this->retries)
        all[service].credit = policy.available_credit(now);
    return all;
}

counts gateway::totals() const
{
    counts current = this->total;
    current.pending = this->requests.size();
    return current;
}

} // namespace pistachiospan::gateway
