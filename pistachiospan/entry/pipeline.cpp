#include "pistachiospan/entry/pipeline.hpp"

#include "pistachiospan/entry/internal/exchange.hpp"

#include <algorithm>
#include <set>

namespace pistachiospan::entry
{

using internal::exchange;

namespace
{

// Retry-After of refusals for which no better estimate exists.
constexpr duration default_retry_after = std::chrono::seconds(1);
constexpr duration default_min_retry_after = std::chrono::milliseconds(10);

// A peer answers a relayed request by its deadline. Time added for the transfer of that
// answer.
constexpr duration relay_margin = std::chrono::milliseconds(100);

// HTTP statuses that decide about retries and about the state of an upstream.
constexpr int status_server_error = 500;
constexpr int status_unavailable = 503;

constexpr std::string_view not_run_header = "X-Not-Run";
constexpr std::string_view drain_header = "Drain";

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool has_flag(const header_list& headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(),
                       [name](const auto& field)
                       {
                           return field.second == "1" &&
                                  std::equal(name.begin(), name.end(),
                                             field.first.begin(), field.first.end(),
                                             [](char left, char right)
                                             { return (left | 32) == (right | 32); });
                       });
}

refusal_code code_of(route::refusal reason)
{
    switch (reason)
    {
    case route::refusal::account_queue_full:
    case route::refusal::queue_full:
        return refusal_code::queue_full;
    case route::refusal::deadline_too_near:
        return refusal_code::deadline_too_near;
    default:
        return refusal_code::no_upstream;
    }
}

std::string message_of(refusal_code code)
{
    switch (code)
    {
    case refusal_code::queue_full:
        return "too many requests are queued; retry after the stated time";
    case refusal_code::deadline_too_near:
        return "the request cannot be served before its deadline; retry later or with a "
               "longer X-Deadline-Ms";
    default:
        return "no upstream can take the request; retry after the stated time";
    }
}

} // namespace

class pipeline::implementation
{
public:
    implementation(pipeline_options options, pipeline_components components,
                   pipeline_hooks hooks)
        : options(std::move(options)), components(components), hooks(std::move(hooks)),
          retries(
              {.max_attempts = this->options.max_attempts, .seed = this->options.seed})
    {
    }

    exchange_id submit(time_point now, wall_time wall, caller_request incoming,
                       answer_handler done);
    exchange_id submit_relayed(time_point now, wall_time wall, relay_request incoming,
                               answer_handler done);
    void cancel(time_point now, exchange_id id);
    void tick(time_point now);
    void resolve_limit(time_point now, std::uint64_t ticket,
                       const limit::decision& decision);
    void resolve_route(time_point now, route::request_id id,
                       const route::decision& decision);

    std::shared_ptr<const catalogue::catalogue> active;
    std::unordered_map<exchange_id, exchange> exchanges;
    time_point current_time; // time of the event being handled
    std::uint64_t buffered_bytes = 0;
    std::deque<decision_record> recent_decisions;

private:
    exchange* find(exchange_id id);
    exchange* add(time_point now, exchange& incoming);
    bool route_request(exchange& item);
    bool check_key(time_point now, exchange& item, std::string_view key);
    bool recheck_key(time_point now, exchange& item);
    void acquire_token(time_point now, exchange& item);
    void begin_execution(time_point now, exchange& item);
    void apply_once_decision(exchange_id id, once::decision decision);
    void replay(time_point now, exchange& item, once::outcome recorded);
    void select_upstream(time_point now, exchange& item);
    void apply_route(time_point now, exchange& item, const route::decision& decision);
    void call_upstream(time_point now, exchange& item);
    void on_upstream_answer(time_point now, exchange_id id, std::uint32_t attempt,
                            result<upstream_answer> outcome);
    void relay_to_peer(time_point now, exchange& item, relay_reason reason,
                       const vm_id& peer);
    void on_relay_answer(time_point now, exchange_id id, relay_reason reason,
                         result<relay_answer> outcome);
    bool schedule_retry(time_point now, exchange& item, bool not_run, std::string avoid);
    void refuse(time_point now, exchange& item, refusal_code code,
                execution_state execution, std::string message,
                duration retry_after = duration(0));
    void finish(time_point now, exchange& item, answer response);
    void report_to_executor(time_point now, exchange& item, const answer& response);
    void record(time_point now, const exchange& item, const answer& response);

    pipeline_options options;
    pipeline_components components;
    pipeline_hooks hooks;
    exchange_id next_id = 1;
    std::unordered_map<std::uint64_t, exchange_id> tickets;
    retry::policy retries;
    std::set<std::pair<time_point, exchange_id>> delayed_retries; // in their backoff
};

exchange* pipeline::implementation::find(exchange_id id)
{
    const auto found = this->exchanges.find(id);
    return found == this->exchanges.end() ? nullptr : &found->second;
}

// Returns null if max_exchanges or max_buffered_bytes is exceeded; the request has then
// been refused.
exchange* pipeline::implementation::add(time_point now, exchange& incoming)
{
    incoming.id = this->next_id++;
    incoming.arrived_at = now;
    incoming.stage_started_at = now;
    if (incoming.request.request_id.empty())
        incoming.request.request_id = random_hex(8);
    const std::uint64_t size = incoming.request.body.size();
    this->buffered_bytes += size;
    const exchange_id id = incoming.id;
    exchange& item = this->exchanges[id] = std::move(incoming);
    if (this->buffered_bytes <= this->options.max_buffered_bytes &&
        this->exchanges.size() <= this->options.max_exchanges)
        return &item;
    this->refuse(now, item, refusal_code::overloaded, execution_state::not_executed,
                 "this VM is at its limit of requests or buffered bytes; use another VM",
                 default_retry_after);
    return nullptr;
}

exchange_id pipeline::implementation::submit(time_point now, wall_time wall,
                                             caller_request incoming, answer_handler done)
{
    exchange accepted;
    accepted.request = std::move(incoming);
    accepted.done = std::move(done);
    accepted.arrived_wall_time = wall;
    const std::string key = std::exchange(accepted.request.key, {});
    this->retries.note_request(now);
    exchange* item = this->add(now, accepted);
    const exchange_id id = this->next_id - 1;
    if (item == nullptr || !this->route_request(*item))
        return id;
    if (!this->check_key(now, *item, key))
        return id;
    this->acquire_token(now, *item);
    return id;
}

// Finds the route and applies its settings. Refuses the request and returns false if no
// route matches or the body is too large.
bool pipeline::implementation::route_request(exchange& item)
{
    const time_point now = item.arrived_at;
    if (!this->active)
    {
        this->refuse(now, item, refusal_code::not_ready, execution_state::not_executed,
                     "this VM has no catalogue yet; use another VM", default_retry_after);
        return false;
    }
    const catalogue::route* found =
        this->active->find_route(path_of(item.request.target));
    if (found == nullptr)
    {
        this->refuse(now, item, refusal_code::no_route, execution_state::not_executed,
                     "no route matches the path; check the URL");
        return false;
    }
    item.route = found->name;
    item.group = found->group;
    item.open_route = found->open;
    const auto& methods = found->idempotent_methods;
    item.idempotent =
        std::find(methods.begin(), methods.end(), item.request.method) != methods.end();
    item.deadline =
        now + std::min(item.request.deadline.value_or(found->deadline), found->deadline);
    if (item.request.body.size() <= found->max_body)
        return true;
    this->refuse(now, item, refusal_code::body_too_large, execution_state::not_executed,
                 "the body exceeds the route's limit of " +
                     std::to_string(found->max_body) + " bytes; send less");
    return false;
}

bool pipeline::implementation::check_key(time_point now, exchange& item,
                                         std::string_view key)
{
    // On an open route, a request with a valid key counts for its account; any other
    // request is anonymous.
    if (!key.empty())
        item.key_hash = catalogue::hash_key(this->active->key_salt, key);
    const catalogue::client_account* account =
        key.empty() ? nullptr : this->active->find_account_by_hash(item.key_hash);
    if (item.open_route && account == nullptr)
        return true;
    if (key.empty())
    {
        this->refuse(now, item, refusal_code::missing_key, execution_state::not_executed,
                     "the route needs a key; send it in X-Client-Key");
        return false;
    }
    if (account == nullptr)
    {
        this->refuse(now, item, refusal_code::unknown_key, execution_state::not_executed,
                     "the key is not valid; ask the operator for a new one");
        return false;
    }
    item.account = account->name;
    return this->recheck_key(now, item);
}

// Checks the key again with the catalogue now in force, so that a request that waited
// does not run with a revoked key.
bool pipeline::implementation::recheck_key(time_point now, exchange& item)
{
    if (item.account.empty())
        return true;
    const catalogue::client_account* account =
        this->active->find_account_by_hash(item.key_hash);
    const bool valid = account != nullptr && account->name == item.account;
    const execution_state execution =
        item.may_have_run ? execution_state::unknown : execution_state::not_executed;
    if (!valid)
    {
        this->refuse(now, item, refusal_code::unknown_key, execution,
                     "the key is no longer valid; ask the operator for a new one");
        return false;
    }
    const auto route = this->active->routes.find(item.route);
    if (route == this->active->routes.end())
    {
        this->refuse(now, item, refusal_code::no_route, execution,
                     "the route was removed; check the URL");
        return false;
    }
    if (item.open_route)
        return true;
    const config::admission admission =
        this->hooks.may_serve(now, route->second.unconfirmed);
    if (admission.serve)
        return true;
    this->refuse(now, item, refusal_code::stale_configuration, execution,
                 "this VM cannot confirm that the key is still valid (" +
                     std::string(config::describe(admission.reason)) +
                     "); use another VM",
                 default_retry_after);
    return false;
}

void pipeline::implementation::acquire_token(time_point now, exchange& item)
{
    if (item.account.empty())
        return this->begin_execution(now, item);
    const limit::decision decision = this->components.limiter.admit(now, item.account);
    if (decision.result == limit::outcome::waiting)
    {
        item.ticket = decision.ticket;
        this->tickets[decision.ticket] = item.id;
        return;
    }
    if (decision.result == limit::outcome::admitted)
        return this->begin_execution(now, item);
    this->refuse(now, item, refusal_code::rate_limited, execution_state::not_executed,
                 "the client account exceeds its rate; retry after the stated time",
                 std::max(decision.retry_after, default_min_retry_after));
}

void pipeline::implementation::resolve_limit(time_point now, std::uint64_t ticket,
                                             const limit::decision& decision)
{
    const auto waiting = this->tickets.extract(ticket);
    exchange* item = waiting.empty() ? nullptr : this->find(waiting.mapped());
    if (item == nullptr)
        return;
    item->ticket = 0;
    item->limit_wait = now - item->stage_started_at;
    if (decision.result == limit::outcome::admitted)
    {
        if (this->recheck_key(now, *item))
            this->begin_execution(now, *item);
        return;
    }
    this->refuse(now, *item, refusal_code::rate_limited, execution_state::not_executed,
                 "the client account exceeds its rate; retry after the stated time",
                 std::max(decision.retry_after, default_min_retry_after));
}

// Passes non-idempotent requests with an idempotency key to the executor; all others go
// directly to an upstream.
void pipeline::implementation::begin_execution(time_point now, exchange& item)
{
    item.uses_executor = !item.idempotent && !item.request.idempotency_key.empty();
    if (!item.uses_executor)
        return this->select_upstream(now, item);
    const once::request keyed_request{
        .account = item.account,
        .key = item.request.idempotency_key,
        .fingerprint = once::fingerprint(item.request.method, item.request.target,
                                         item.request.body),
        .deadline = item.deadline,
        .relay_count = item.primary_relays,
        .wall_now = item.arrived_wall_time};
    const exchange_id id = item.id;
    this->current_time = now;
    this->components.executor.begin(
        now, keyed_request,
        [this, id](once::decision decision)
        { this->apply_once_decision(id, std::move(decision)); });
}

void pipeline::implementation::apply_once_decision(exchange_id id,
                                                   once::decision decision)
{
    exchange* item = this->find(id);
    const time_point now = this->current_time;
    if (item == nullptr)
    {
        // The caller disconnected while the intent was being replicated; no upstream was
        // called.
        if (decision.kind == once::decision_kind::execute)
            this->components.executor.finish(now, decision.attempt,
                                             {.kind = once::outcome_kind::not_run});
        return;
    }
    switch (decision.kind)
    {
    case once::decision_kind::execute:
        item->execution_attempt = decision.attempt;
        if (this->recheck_key(now, *item))
            this->select_upstream(now, *item);
        return;
    case once::decision_kind::relay:
        return this->relay_to_peer(now, *item, relay_reason::primary, decision.relay_to);
    case once::decision_kind::replay:
        return this->replay(now, *item, std::move(decision.recorded_outcome));
    case once::decision_kind::refuse:
        const bool reused = decision.reason.code == "key_reused";
        return this->refuse(
            now, *item,
            reused ? refusal_code::key_reused : refusal_code::duplicate_unresolved,
            decision.reason.execution == once::execution_status::not_executed
                ? execution_state::not_executed
                : execution_state::unknown,
            decision.reason.message, decision.reason.retry_after);
    }
}

// Answers a repeated request with the recorded outcome of the first one.
void pipeline::implementation::replay(time_point now, exchange& item,
                                      once::outcome recorded)
{
    if (recorded.kind == once::outcome_kind::unknown)
        return this->refuse(now, item, refusal_code::duplicate_unresolved,
                            execution_state::unknown,
                            "an earlier request with this key may have run; ask the "
                            "service for its outcome, or use a new key");
    answer replayed{.status = recorded.status,
                    .headers = std::move(recorded.headers),
                    .body = std::move(recorded.body)};
    replayed.headers.emplace_back("Idempotency-Replayed", "1");
    if (!recorded.body_kept)
        replayed.headers.emplace_back("Idempotency-Body", "not-kept");
    this->finish(now, item, std::move(replayed));
}

void pipeline::implementation::select_upstream(time_point now, exchange& item)
{
    item.stage_started_at = now;
    item.in_router = true;
    const exchange_id id = item.id;
    const route::decision decision =
        this->components.router.submit(now, {.id = item.id,
                                             .account = item.account,
                                             .route = item.route,
                                             .group = item.group,
                                             .deadline = item.deadline,
                                             .idempotent = item.idempotent,
                                             .body_size = item.request.body.size(),
                                             .excluded = item.excluded,
                                             .relayed = item.relayed_to_owner});
    exchange* current = this->find(id);
    if (current != nullptr && decision.kind != route::decision_kind::queued)
        this->apply_route(now, *current, decision);
}

void pipeline::implementation::resolve_route(time_point now, route::request_id id,
                                             const route::decision& decision)
{
    exchange* item = this->find(id);
    if (item == nullptr || !item->in_router)
        return;
    item->queue_wait += now - item->stage_started_at;
    this->apply_route(now, *item, decision);
}

void pipeline::implementation::apply_route(time_point now, exchange& item,
                                           const route::decision& decision)
{
    if (decision.kind == route::decision_kind::refused)
    {
        item.in_router = false;
        const refusal_code code = code_of(decision.reason);
        return this->refuse(
            now, item, code,
            item.may_have_run ? execution_state::unknown : execution_state::not_executed,
            message_of(code), std::max(decision.retry_after, default_min_retry_after));
    }
    if (!this->recheck_key(now, item))
        return;
    ++item.attempts;
    item.sent_at = now;
    if (decision.kind == route::decision_kind::relayed)
        return this->relay_to_peer(now, item, relay_reason::upstream, decision.peer);
    item.upstream = decision.upstream;
    this->call_upstream(now, item);
}

void pipeline::implementation::call_upstream(time_point now, exchange& item)
{
    upstream_request call{.address = item.upstream,
                          .method = item.request.method,
                          .target = item.request.target,
                          .request_id = item.request.request_id,
                          .headers = item.request.headers,
                          .body = item.request.body,
                          .timeout = item.deadline - now};
    const auto remaining_ms =
        std::chrono::floor<std::chrono::milliseconds>(item.deadline - now).count();
    call.headers.emplace_back("X-Deadline-Ms", std::to_string(remaining_ms));
    if (!item.account.empty())
        call.headers.emplace_back("X-Client-Account", item.account);
    if (!item.request.idempotency_key.empty())
        call.headers.emplace_back("Idempotency-Key", item.request.idempotency_key);
    const exchange_id id = item.id;
    const std::uint32_t attempt = item.attempts;
    const upstream_call_id call_id = this->hooks.call_upstream(
        std::move(call),
        [this, id, attempt](time_point done_at, result<upstream_answer> outcome)
        { this->on_upstream_answer(done_at, id, attempt, std::move(outcome)); });
    exchange* current = this->find(id);
    if (current != nullptr && current->attempts == attempt)
        current->call = call_id;
}

void pipeline::implementation::on_upstream_answer(time_point now, exchange_id id,
                                                  std::uint32_t attempt,
                                                  result<upstream_answer> outcome)
{
    this->current_time = now;
    exchange* item = this->find(id);
    if (item == nullptr || item->attempts != attempt || !item->in_router)
        return;
    item->call = 0;
    item->in_router = false;
    const bool not_sent = !outcome && outcome.error().code == errc::unavailable;
    const bool shed = outcome && outcome.value().status == status_unavailable &&
                      has_flag(outcome.value().headers, not_run_header);
    if (outcome && has_flag(outcome.value().headers, drain_header))
        this->components.router.drain(now, item->upstream);
    const bool expired = !outcome && outcome.error().code == errc::timeout;
    const bool failed = !outcome || outcome.value().status >= status_server_error;
    const route::outcome route_outcome = shed       ? route::outcome::shed
                                         : not_sent ? route::outcome::not_sent
                                         : expired  ? route::outcome::timed_out
                                         : failed   ? route::outcome::failed
                                                    : route::outcome::ok;
    const std::string upstream = item->upstream;
    this->components.router.complete(now, id, route_outcome, now - item->sent_at);
    item = this->find(id);
    if (item == nullptr)
        return;
    if (outcome && !shed)
        return this->finish(now, *item,
                            answer{.status = outcome.value().status,
                                   .headers = std::move(outcome.value().headers),
                                   .body = std::move(outcome.value().body),
                                   .upstream = upstream});
    const bool not_run = shed || not_sent;
    if (this->schedule_retry(now, *item, not_run, upstream))
        return;
    const execution_state execution = not_run && !item->may_have_run
                                          ? execution_state::not_executed
                                          : execution_state::unknown;
    this->refuse(now, *item,
                 expired ? refusal_code::timeout : refusal_code::upstream_failed,
                 execution,
                 (outcome ? "upstream " + upstream + " refused the request"
                          : outcome.error().message) +
                     "; retry after the stated time",
                 default_retry_after);
}

// Retries the request if the retry policy allows it, excluding the VM or upstream
// `avoid`.
bool pipeline::implementation::schedule_retry(time_point now, exchange& item,
                                              bool not_run, std::string avoid)
{
    item.may_have_run = item.may_have_run || !not_run;
    const retry::decision next =
        this->retries.after_failure(now, {.idempotent = item.idempotent,
                                          .not_run = not_run,
                                          .intent_recorded = item.execution_attempt != 0,
                                          .attempts = item.attempts,
                                          .deadline = item.deadline});
    if (!next.retry)
        return false;
    if (!avoid.empty())
        item.excluded.push_back(std::move(avoid));
    if (next.delay.count() == 0)
    {
        this->select_upstream(now, item);
        return true;
    }
    item.retry_at = now + next.delay;
    this->delayed_retries.emplace(item.retry_at, item.id);
    return true;
}

// Starts the retries whose backoff has elapsed.
void pipeline::implementation::tick(time_point now)
{
    this->current_time = now;
    while (!this->delayed_retries.empty() && this->delayed_retries.begin()->first <= now)
    {
        const auto [due, id] = *this->delayed_retries.begin();
        this->delayed_retries.erase(this->delayed_retries.begin());
        exchange* item = this->find(id);
        if (item != nullptr && item->retry_at == due && this->recheck_key(now, *item))
            this->select_upstream(now, *item);
    }
}

void pipeline::implementation::relay_to_peer(time_point now, exchange& item,
                                             relay_reason reason, const vm_id& peer)
{
    relay_request relayed{.reason = reason,
                          .method = item.request.method,
                          .target = item.request.target,
                          .request_id = item.request.request_id,
                          .route = item.route,
                          .account = item.account,
                          .key_hash = item.key_hash,
                          .idempotency_key = item.request.idempotency_key,
                          .primary_relays = item.primary_relays +
                                            (reason == relay_reason::primary ? 1U : 0U),
                          .deadline_us =
                              static_cast<std::uint64_t>((item.deadline - now).count()),
                          .headers = item.request.headers,
                          .body = item.request.body};
    item.upstream = peer.value;
    item.sent_at = now;
    const exchange_id id = item.id;
    this->hooks.relay(
        peer, std::move(relayed), item.deadline - now + relay_margin,
        [this, id, reason](time_point done_at, result<relay_answer> outcome)
        { this->on_relay_answer(done_at, id, reason, std::move(outcome)); });
}

void pipeline::implementation::on_relay_answer(time_point now, exchange_id id,
                                               relay_reason reason,
                                               result<relay_answer> outcome)
{
    this->current_time = now;
    exchange* item = this->find(id);
    if (item == nullptr)
        return;
    const bool not_sent = !outcome && outcome.error().code == errc::unavailable;
    const bool refused_unexecuted =
        outcome && outcome.value().content.refusal_details.code != refusal_code::none &&
        outcome.value().content.refusal_details.execution ==
            execution_state::not_executed;
    const std::string peer = item->upstream;
    if (reason == relay_reason::upstream)
    {
        item->in_router = false;
        const route::outcome route_outcome = not_sent ? route::outcome::not_sent
                                             : refused_unexecuted ? route::outcome::shed
                                             : outcome            ? route::outcome::ok
                                                       : route::outcome::failed;
        this->components.router.complete(now, id, route_outcome, now - item->sent_at);
        item = this->find(id);
        if (item == nullptr)
            return;
        if (!outcome || refused_unexecuted)
            if (this->schedule_retry(now, *item, not_sent || refused_unexecuted, peer))
                return;
    }
    if (outcome)
    {
        answer& relayed = outcome.value().content;
        if (relayed.refusal_details.code != refusal_code::none && item->may_have_run)
            relayed.refusal_details.execution = execution_state::unknown;
        if (relayed.refusal_details.code != refusal_code::none)
            return this->refuse(now, *item, relayed.refusal_details.code,
                                relayed.refusal_details.execution,
                                relayed.refusal_details.message,
                                relayed.refusal_details.retry_after);
        return this->finish(now, *item, std::move(relayed));
    }
    const bool unknown = !not_sent || item->may_have_run;
    this->refuse(now, *item, refusal_code::relay_failed,
                 unknown ? execution_state::unknown : execution_state::not_executed,
                 outcome.error().message +
                     (item->uses_executor
                          ? "; repeat the request with the same Idempotency-Key"
                          : "; retry after the stated time"),
                 default_retry_after);
}

exchange_id pipeline::implementation::submit_relayed(time_point now, wall_time wall,
                                                     relay_request incoming,
                                                     answer_handler done)
{
    exchange accepted;
    accepted.relayed_in = true;
    accepted.done = std::move(done);
    accepted.arrived_wall_time = wall;
    accepted.account = std::move(incoming.account);
    accepted.key_hash = std::move(incoming.key_hash);
    accepted.request = {.method = std::move(incoming.method),
                        .target = std::move(incoming.target),
                        .idempotency_key = std::move(incoming.idempotency_key),
                        .request_id = std::move(incoming.request_id),
                        .deadline = duration(incoming.deadline_us),
                        .headers = std::move(incoming.headers),
                        .body = std::move(incoming.body)};
    const relay_reason reason = incoming.reason;
    accepted.primary_relays = incoming.primary_relays;
    accepted.relayed_to_owner = reason == relay_reason::upstream;
    exchange* item = this->add(now, accepted);
    const exchange_id id = this->next_id - 1;
    if (item == nullptr || !this->route_request(*item) || !this->recheck_key(now, *item))
        return id;
    if (!item->open_route && item->account.empty())
    {
        this->refuse(now, *item, refusal_code::missing_key, execution_state::not_executed,
                     "the route needs a key; send it in X-Client-Key");
        return id;
    }
    if (reason == relay_reason::primary)
        this->begin_execution(now, *item);
    else
        this->select_upstream(now, *item);
    return id;
}

void pipeline::implementation::cancel(time_point now, exchange_id id)
{
    this->current_time = now;
    exchange* item = this->find(id);
    if (item == nullptr)
        return;
    item->done = [](const answer&) {
    };
    // A non-idempotent request continues, so that its outcome is recorded.
    if (!item->idempotent)
        return;
    if (item->ticket != 0)
        this->components.limiter.cancel(item->ticket);
    if (item->call != 0)
        this->hooks.cancel_upstream(item->call);
    this->finish(now, *item, answer{});
}

void pipeline::implementation::refuse(time_point now, exchange& item, refusal_code code,
                                      execution_state execution, std::string message,
                                      duration retry_after)
{
    this->finish(now, item,
                 make_refusal({.code = code,
                               .execution = execution,
                               .message = std::move(message),
                               .retry_after = retry_after},
                              item.request.request_id));
}

// Ends the exchange: releases its slot and ticket, records the decision and answers the
// caller.
void pipeline::implementation::finish(time_point now, exchange& item, answer response)
{
    if (std::exchange(item.in_router, false))
    {
        // A cancelled call keeps its slot until the deadline, because the upstream may
        // still be working on it.
        this->components.router.complete(now, item.id,
                                         item.call != 0 ? route::outcome::cancelled
                                                        : route::outcome::not_sent,
                                         now - item.sent_at);
    }
    if (item.ticket != 0)
        this->tickets.erase(item.ticket);
    this->report_to_executor(now, item, response);
    this->record(now, item, response);
    this->buffered_bytes -= item.request.body.size();
    const answer_handler done = std::move(item.done);
    const std::string request_id = item.request.request_id;
    this->exchanges.erase(item.id);
    response.headers.emplace_back("X-Request-Id", request_id);
    done(std::move(response));
}

void pipeline::implementation::report_to_executor(time_point now, exchange& item,
                                                  const answer& response)
{
    if (item.execution_attempt == 0)
        return;
    once::outcome outcome;
    if (response.refusal_details.code == refusal_code::none && response.status != 0)
        outcome = {.status = response.status,
                   .headers = response.headers,
                   .body = response.body};
    else if (response.refusal_details.execution == execution_state::not_executed)
        outcome.kind = once::outcome_kind::not_run;
    else
        outcome.kind = once::outcome_kind::unknown;
    this->components.executor.finish(now, std::exchange(item.execution_attempt, 0),
                                     std::move(outcome));
}

void pipeline::implementation::record(time_point now, const exchange& item,
                                      const answer& response)
{
    decision_record entry{.request_id = item.request.request_id,
                          .account = item.account,
                          .route = item.route,
                          .method = item.request.method,
                          .upstream = item.upstream,
                          .idempotent = item.idempotent,
                          .relayed_in = item.relayed_in,
                          .status = response.status,
                          .code = response.refusal_details.code,
                          .execution = response.refusal_details.execution,
                          .attempts = item.attempts,
                          .limit_wait = item.limit_wait,
                          .queue_wait = item.queue_wait,
                          .total = now - item.arrived_at,
                          .bytes_in = item.request.body.size(),
                          .bytes_out = response.body.size()};
    if (this->hooks.on_finished)
        this->hooks.on_finished(entry);
    this->recent_decisions.push_back(std::move(entry));
    if (this->recent_decisions.size() > this->options.max_recent_decisions)
        this->recent_decisions.pop_front();
}

nlohmann::json to_json(const decision_record& record)
{
    return {{"request_id", record.request_id},
            {"account", record.account},
            {"route", record.route},
            {"method", record.method},
            {"upstream", record.upstream},
            {"idempotent", record.idempotent},
            {"relayed_in", record.relayed_in},
            {"status", record.status},
            {"code", name_of(record.code)},
            {"ran", record.execution == execution_state::not_executed ? "no" : "unknown"},
            {"attempts", record.attempts},
            {"limit_wait_us", record.limit_wait.count()},
            {"queue_wait_us", record.queue_wait.count()},
            {"total_us", record.total.count()},
            {"bytes_in", record.bytes_in},
            {"bytes_out", record.bytes_out}};
}

pipeline::pipeline(pipeline_options options, pipeline_components components,
                   pipeline_hooks hooks)
    : self(std::make_unique<implementation>(std::move(options), components,
                                            std::move(hooks)))
{
}

pipeline::~pipeline() = default;

void pipeline::set_catalogue(time_point now,
                             std::shared_ptr<const catalogue::catalogue> next)
{
    this->self->current_time = now;
    this->self->active = std::move(next);
}

void pipeline::set_current_time(time_point now)
{
    this->self->current_time = now;
}

void pipeline::tick(time_point now)
{
    this->self->tick(now);
}

exchange_id pipeline::submit(time_point now, wall_time wall, caller_request incoming,
                             answer_handler done)
{
    return this->self->submit(now, wall, std::move(incoming), std::move(done));
}

exchange_id pipeline::submit_relayed(time_point now, wall_time wall,
                                     relay_request incoming, answer_handler done)
{
    return this->self->submit_relayed(now, wall, std::move(incoming), std::move(done));
}

void pipeline::cancel(time_point now, exchange_id id)
{
    this->self->cancel(now, id);
}

void pipeline::resolve_limit(time_point now, std::uint64_t ticket,
                             const limit::decision& decision)
{
    this->self->resolve_limit(now, ticket, decision);
}

void pipeline::resolve_route(time_point now, route::request_id id,
                             const route::decision& decision)
{
    this->self->resolve_route(now, id, decision);
}

std::size_t pipeline::in_progress() const
{
    return this->self->exchanges.size();
}

std::uint64_t pipeline::buffered_bytes() const
{
    return this->self->buffered_bytes;
}

const std::deque<decision_record>& pipeline::recent_decisions() const
{
    return this->self->recent_decisions;
}

} // namespace pistachiospan::entry
