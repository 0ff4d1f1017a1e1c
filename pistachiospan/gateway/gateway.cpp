#include "pistachiospan/gateway/gateway.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace pistachiospan::gateway
{

namespace
{

constexpr int first_server_error = 500;

upstreams::outcome outcome_of(const attempt_result& ended)
{
    switch (ended.outcome)
    {
    case attempt_outcome::answered:
        return ended.status >= first_server_error ? upstreams::outcome::failed
                                                  : upstreams::outcome::answered;
    case attempt_outcome::not_run:
        return upstreams::outcome::shed;
    case attempt_outcome::misdirected:
        return upstreams::outcome::misdirected;
    case attempt_outcome::not_sent:
        return upstreams::outcome::not_sent;
    case attempt_outcome::broken:
        return upstreams::outcome::broken;
    case attempt_outcome::timed_out:
        return upstreams::outcome::timed_out;
    }
    return upstreams::outcome::broken;
}

std::string describe(const allowance::admission& refused,
                     const configuration::account& of)
{
    std::ostringstream text;
    text << std::fixed << "the part to be had here is " << std::setprecision(3)
         << refused.share << " of " << std::setprecision(1) << of.rate << "/s";
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
    default:
        return refusal::no_upstream;
    }
}

} // namespace

std::string_view name_of(refusal reason)
{
    switch (reason)
    {
    case refusal::none:
        return "none";
    case refusal::no_configuration:
        return "no_configuration";
    case refusal::no_route:
        return "no_route";
    case refusal::no_key:
        return "no_key";
    case refusal::over_allowance:
        return "over_allowance";
    case refusal::no_upstream:
        return "no_upstream";
    case refusal::too_late:
        return "too_late";
    case refusal::no_room:
        return "no_room";
    case refusal::upstream_full:
        return "upstream_full";
    case refusal::unknown_outcome:
        return "unknown_outcome";
    case refusal::deadline:
        return "deadline";
    case refusal::stopping:
        return "stopping";
    }
    return "unknown";
}

gateway::gateway(gateway_options options, upstreams::upstream_set& upstreams,
                 gateway_hooks hooks)
    : options(options), upstreams(upstreams), hooks(std::move(hooks))
{
}

void gateway::set_configuration(std::shared_ptr<const configuration::state> next)
{
    this->configuration = std::move(next);
    this->upstreams.set_services(this->configuration->services());
}

void gateway::set_vm_count(std::size_t count)
{
    if (this->vm_count == count)
        return;
    this->vm_count = std::max<std::size_t>(count, 1);
    // The reserve of each policy depends on the count; a new policy begins with an empty
    // window, which can't exceed the fleet's budget more than a restart does.
    this->retries.clear();
}

retry::policy& gateway::policy_of(const std::string& service)
{
    const auto known = this->retries.find(service);
    if (known != this->retries.end())
        return known->second;
    const double reserve =
        this->options.retry_reserve / static_cast<double>(this->vm_count);
    return this->retries
        .emplace(service, retry::policy({.fraction = this->options.retry_ratio,
                                         .at_least = static_cast<std::uint32_t>(reserve),
                                         .most_attempts = UINT32_MAX,
                                         .seed = this->options.seed}))
        .first->second;
}

void gateway::submit(time_point now, exchange_id exchange, caller_request incoming)
{
    ++this->total.submitted;
    pending made{.request = std::move(incoming),
                 .configuration = this->configuration,
                 .begun = now};
    made.deadline = now + made.request.time_left.value_or(this->options.default_timeout);
    if (!this->find_route(now, exchange, made))
        return;
    pending& kept = this->requests.emplace(exchange, std::move(made)).first->second;
    if (kept.account == nullptr)
    {
        this->policy_of(kept.service).note_request(now);
        this->dispatch(now, exchange, kept);
        return;
    }
    kept.waits_for_token = true;
    const std::string account = kept.account->name;
    this->hooks.ask_token(exchange, account);
}

void gateway::finish_admission(time_point now, exchange_id exchange,
                               const allowance::admission& made)
{
    const auto found = this->requests.find(exchange);
    if (found == this->requests.end() || !found->second.waits_for_token)
        return;
    pending& of = found->second;
    of.waits_for_token = false;
    of.holds_token = made.admitted;
    if (of.caller_gone)
    {
        if (made.admitted)
            this->hooks.return_token(of.account->name);
        this->requests.erase(found);
        return;
    }
    if (!made.admitted)
    {
        this->refuse(now, exchange, of,
                     {.reason = refusal::over_allowance, .retry_after = made.retry_after},
                     describe(made, *of.account));
        return;
    }
    this->policy_of(of.service).note_request(now);
    this->dispatch(now, exchange, of);
}

// Finds route and account. Answers the request itself on refusal.
bool gateway::find_route(time_point now, exchange_id exchange, pending& made)
{
    if (!made.configuration)
    {
        this->refuse(now, exchange, made,
                     {.reason = refusal::no_configuration,
                      .retry_after = this->options.no_configuration_retry_after});
        return false;
    }
    made.route = made.configuration->find_route(made.request.host, made.request.path);
    if (made.route == nullptr)
    {
        this->refuse(now, exchange, made, {.reason = refusal::no_route});
        return false;
    }
    made.account = made.configuration->find_account(made.request.key);
    if (made.account == nullptr && !made.route->open)
    {
        this->refuse(now, exchange, made, {.reason = refusal::no_key});
        return false;
    }
    if (made.route->timeout > duration(0))
        made.deadline = std::min(made.deadline, now + made.route->timeout);
    made.service =
        configuration::choose_target(*made.route, made.request.request_id).service;
    return true;
}

double gateway::part_for(const pending& of) const
{
    const int priority = of.account != nullptr && of.account->priority > 0
                             ? of.account->priority
                             : of.route->priority;
    const std::size_t last = this->options.admission_fraction.size() - 1;
    const std::size_t at =
        std::min(last, static_cast<std::size_t>(std::max(priority, 0)));
    return this->options.admission_fraction.at(at);
}

void gateway::begin_stop(time_point at)
{
    this->ends_at = at;
}

// Time that an upstream may take.
duration gateway::time_for(time_point now, const pending& of) const
{
    const time_point end =
        this->ends_at ? std::min(of.deadline, *this->ends_at) : of.deadline;
    return end - now;
}

// Time within which an answer must be expected.
duration gateway::time_to_expect(time_point now, const pending& of) const
{
    const auto usual =
        std::chrono::duration_cast<duration>((of.deadline - now) * this->part_for(of));
    if (!this->ends_at)
        return usual;
    const auto stopping = std::chrono::duration_cast<duration>(
        (*this->ends_at - now) * this->options.stopping_fraction);
    return std::min(usual, stopping);
}

void gateway::dispatch(time_point now, exchange_id exchange, pending& of)
{
    static const std::vector<std::string> nowhere;
    const duration expectable = this->time_to_expect(now, of);
    of.chosen = this->upstreams.select(
        now, {.service = of.service,
              .object = of.route->sticky ? std::string_view(of.request.object)
                                         : std::string_view(),
              .homes = of.route->homes,
              .account_homes = of.account == nullptr ? nowhere : of.account->homes,
              .excluded = of.excluded,
              .time_left = expectable,
              .objective = of.route->latency_objective,
              .body_size = of.request.body_size,
              .is_retry = of.attempts > 0 || of.unsent > 0});
    if (!of.chosen.found)
    {
        const bool too_late = of.chosen.failure == upstreams::selection_failure::too_late;
        const refusal reason =
            too_late && this->ends_at ? refusal::stopping : refusal_of(of.chosen.failure);
        this->give_up(now, exchange, of, reason, {});
        return;
    }
    of.upstream = of.chosen.id;
    of.sent = now;
    ++of.attempts;
    ++this->total.attempts;
    this->upstreams.begin(now, of.chosen);
    of.call = this->hooks.send(
        {.exchange = exchange,
         .upstream = of.upstream,
         .address = of.chosen.address,
         .account = of.account == nullptr ? std::string() : of.account->name,
         .time_left = this->time_for(now, of),
         .repeatable = of.route->kind == configuration::repeatability::idempotent});
}

void gateway::finish_attempt(time_point now, exchange_id exchange, call_id call,
                             attempt_result ended)
{
    const auto found = this->requests.find(exchange);
    if (found == this->requests.end() || found->second.call != call)
        return;
    pending& of = found->second;
    of.call = 0;
    this->upstreams.end(now, of.chosen, outcome_of(ended), now - of.sent, ended.load);
    this->note(now, of, ended);
    if (of.caller_gone)
    {
        this->requests.erase(found);
        return;
    }
    const bool idempotent = of.route->kind == configuration::repeatability::idempotent;
    switch (ended.outcome)
    {
    case attempt_outcome::answered:
        if (idempotent && ended.status >= first_server_error &&
            this->retry(now, exchange, of, false))
            return;
        this->deliver(now, exchange, of, ended);
        return;
    case attempt_outcome::not_run:
    case attempt_outcome::misdirected:
        if (!this->retry(now, exchange, of, true))
            this->give_up(now, exchange, of, refusal::upstream_full, ended.detail);
        return;
    case attempt_outcome::not_sent:
        --of.attempts;
        if (++of.unsent > this->options.max_unsent || of.deadline <= now)
        {
            this->give_up(now, exchange, of, refusal::no_upstream, ended.detail);
            return;
        }
        of.excluded.push_back(of.upstream);
        this->report(now, "resent", of, refusal::none, 0, ended.detail);
        this->dispatch(now, exchange, of);
        return;
    case attempt_outcome::broken:
        of.may_have_run = true;
        if (!idempotent || !this->retry(now, exchange, of, false))
            this->give_up(now, exchange, of, refusal::unknown_outcome, ended.detail);
        return;
    case attempt_outcome::timed_out:
        of.may_have_run = true;
        this->give_up(now, exchange, of, refusal::deadline, ended.detail);
        return;
    }
}

// Takes over what the upstream said of itself.
void gateway::note(time_point now, const pending& of, const attempt_result& ended)
{
    if (ended.cold_left)
        this->upstreams.note_cold(now, of.upstream, *ended.cold_left);
    if (ended.pause)
        this->upstreams.note_pause(now, of.upstream, *ended.pause);
    const upstreams::upstream_start which{of.upstream, of.chosen.started};
    const bool leaves = ended.leaving && this->upstreams.note_leaving(now, which);
    if (this->hooks.notice && (leaves || ended.pause))
        this->hooks.notice({.upstream = which, .leaving = leaves, .pause = ended.pause});
}

// Sends the request to another upstream if route, time and budget allow it. Only for
// requests that may run twice or have not run.
bool gateway::retry(time_point now, exchange_id exchange, pending& of, bool not_run)
{
    if (of.attempts >= of.route->most_attempts)
        return false;
    const retry::decision made = this->policy_of(of.service)
                                     // What did not run can't run twice.
                                     .after_failure(now, {.idempotent = true,
                                                          .not_run = not_run,
                                                          .attempts = of.attempts,
                                                          .deadline = of.deadline});
    if (!made.retry)
        return false;
    ++this->total.retries;
    of.excluded.push_back(of.upstream);
    this->report(now, "retried", of, refusal::none, 0,
                 not_run ? "not run" : "failed or broken");
    this->dispatch(now, exchange, of);
    return true;
}

void gateway::deliver(time_point now, exchange_id exchange, pending& of,
                      attempt_result& ended)
{
    this->report(now, "answered", of, refusal::none, ended.status, {});
    this->requests.erase(exchange);
    this->hooks.deliver(exchange, std::move(ended.answer));
}

// No upstream answered. Says "not run" if none can have run the request.
void gateway::give_up(time_point now, exchange_id exchange, const pending& of,
                      refusal reason, std::string_view detail)
{
    refusal_answer answer{.reason = reason, .may_have_run = of.may_have_run};
    if (of.may_have_run && reason != refusal::deadline)
        answer.reason = refusal::unknown_outcome;
    if (!of.may_have_run)
    {
        answer.retry_after = reason == refusal::stopping
                                 ? this->options.stopping_retry_after
                                 : std::max(of.chosen.retry_after,
                                            this->options.upstream_full_retry_after);
        if (of.holds_token)
            this->hooks.return_token(of.account->name);
    }
    this->refuse(now, exchange, of, answer, detail);
}

void gateway::refuse(time_point now, exchange_id exchange, const pending& of,
                     const refusal_answer& answer, std::string_view detail)
{
    this->report(now, "refused", of, answer.reason, 0, detail);
    this->requests.erase(exchange);
    this->hooks.refuse(exchange, answer);
}

// A request that may be repeated is stopped; one that may not runs to its end, since a
// caller that left can't tell whether it did.
void gateway::caller_left(time_point now, exchange_id exchange)
{
    const auto found = this->requests.find(exchange);
    if (found == this->requests.end())
        return;
    pending& of = found->second;
    this->report(now, "left", of, refusal::none, 0, {});
    if (of.waits_for_token)
    {
        of.caller_gone = true;
        return;
    }
    if (of.route->kind != configuration::repeatability::idempotent && of.call != 0)
    {
        of.caller_gone = true;
        return;
    }
    if (of.call != 0)
    {
        this->hooks.cancel(of.call);
        this->upstreams.end(now, of.chosen, upstreams::outcome::cancelled, now - of.sent,
                            std::nullopt);
    }
    this->requests.erase(found);
}

void gateway::report(time_point now, std::string_view event, const pending& of,
                     refusal reason, int status, std::string_view detail) const
{
    if (!this->hooks.report)
        return;
    this->hooks.report(
        {.event = event,
         .request_id = of.request.request_id,
         .route = of.route == nullptr ? std::string() : of.route->name,
         .account = of.account == nullptr ? std::string() : of.account->name,
         .service = of.service,
         .upstream = of.upstream,
         .reason = reason,
         .status = status,
         .attempts = of.attempts,
         .version = of.configuration ? of.configuration->version() : 0,
         .elapsed = now - of.begun,
         .time_left = of.deadline - now,
         .expected = of.chosen.expected,
         .wait = of.chosen.wait,
         .load = of.chosen.load,
         .objective = of.route == nullptr ? duration(0) : of.route->latency_objective,
         .detail = std::string(detail)});
}

counts gateway::totals() const
{
    counts now = this->total;
    now.pending = this->requests.size();
    return now;
}

} // namespace pistachiospan::gateway
