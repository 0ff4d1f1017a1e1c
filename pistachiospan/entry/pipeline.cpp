#include "pistachiospan/entry/pipeline.hpp"

#include "pistachiospan/entry/internal/exchange.hpp"

#include <algorithm>
#include <set>

namespace pistachiospan::entry
{

using internal::exchange;

namespace
{

// Refusals without a better estimate ask the caller to come back after this time.
constexpr duration default_retry_after = std::chrono::seconds(1);
constexpr duration default_min_retry_after = std::chrono::milliseconds(10);

// A peer answers a relayed request by its deadline; the answer travels this much longer.
constexpr duration relay_margin = std::chrono::milliseconds(100);

// HTTP statuses that matter for steering.
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
        return "too many requests wait; retry after the stated time";
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
    implementation(pipeline_options options, pipeline_parts parts, pipeline_hooks hooks)
        : options(std::move(options)), parts(parts), hooks(std::move(hooks)),
          retries(
              {.most_attempts = this->options.max_attempts, .seed = this->options.seed})
    {
    }

    exchange_id submit(time_point now, wall_time wall, caller_request incoming,
                       answer_handler done);
    exchange_id submit_relayed(time_point now, wall_time wall, relay_request incoming,
                               answer_handler done);
    void cancel(time_point now, exchange_id id);
    void tick(time_point now);
    void resolve_limit(time_point now, std::uint64_t ticket, const limit::decision& made);
    void resolve_route(time_point now, route::request_id id, const route::decision& made);

    std::shared_ptr<const catalogue::catalogue> active;
    std::unordered_map<exchange_id, exchange> exchanges;
    time_point present; // time of the event being handled
    std::uint64_t buffered = 0;
    std::deque<decision_record> journal;

private:
    exchange* find(exchange_id id);
    exchange* add(time_point now, exchange& made);
    bool route_request(exchange& item);
    bool check_key(time_point now, exchange& item, std::string_view key);
    bool recheck_key(time_point now, exchange& item);
    void take_token(time_point now, exchange& item);
    void begin(time_point now, exchange& item);
    void continue_once(exchange_id id, once::decision made);
    void replay(time_point now, exchange& item, once::outcome recorded);
    void select_upstream(time_point now, exchange& item);
    void apply_route(time_point now, exchange& item, const route::decision& made);
    void call_upstream(time_point now, exchange& item);
    void upstream_done(time_point now, exchange_id id, std::uint32_t attempt,
                       result<upstream_answer> outcome);
    void relay_out(time_point now, exchange& item, relay_reason reason,
                   const vm_id& peer);
    void relay_done(time_point now, exchange_id id, relay_reason reason,
                    result<relay_answer> outcome);
    bool try_again(time_point now, exchange& item, bool not_run, std::string avoid);
    void refuse(time_point now, exchange& item, refusal_code code, ran run,
                std::string message, duration retry_after = duration(0));
    void finish(time_point now, exchange& item, answer made);
    void settle_once(time_point now, exchange& item, const answer& made);
    void record(time_point now, const exchange& item, const answer& made);

    pipeline_options options;
    pipeline_parts parts;
    pipeline_hooks hooks;
    exchange_id next_id = 1;
    std::unordered_map<std::uint64_t, exchange_id> tickets;
    retry::policy retries;
    std::set<std::pair<time_point, exchange_id>> delayed; // retries in their backoff
};

exchange* pipeline::implementation::find(exchange_id id)
{
    const auto found = this->exchanges.find(id);
    return found == this->exchanges.end() ? nullptr : &found->second;
}

// Null: refused for lack of memory; the answer has been given.
exchange* pipeline::implementation::add(time_point now, exchange& made)
{
    made.id = this->next_id++;
    made.arrived = now;
    made.stage_began = now;
    if (made.request.request_id.empty())
        made.request.request_id = random_hex(8);
    const std::uint64_t size = made.request.body.size();
    this->buffered += size;
    const exchange_id id = made.id;
    exchange& item = this->exchanges[id] = std::move(made);
    if (this->buffered <= this->options.max_buffered &&
        this->exchanges.size() <= this->options.max_exchanges)
        return &item;
    this->refuse(now, item, refusal_code::overloaded, ran::no,
                 "this VM holds as many requests as it can; use another VM",
                 default_retry_after);
    return nullptr;
}

exchange_id pipeline::implementation::submit(time_point now, wall_time wall,
                                             caller_request incoming, answer_handler done)
{
    exchange made;
    made.request = std::move(incoming);
    made.done = std::move(done);
    made.arrived_wall = wall;
    const std::string key = std::exchange(made.request.key, {});
    this->retries.note_request(now);
    exchange* item = this->add(now, made);
    const exchange_id id = this->next_id - 1;
    if (item == nullptr || !this->route_request(*item))
        return id;
    if (!this->check_key(now, *item, key))
        return id;
    this->take_token(now, *item);
    return id;
}

// Names the route. Answers and returns false when there is none.
bool pipeline::implementation::route_request(exchange& item)
{
    const time_point now = item.arrived;
    if (!this->active)
    {
        this->refuse(now, item, refusal_code::not_ready, ran::no,
                     "this VM has no catalogue yet; use another VM", default_retry_after);
        return false;
    }
    const catalogue::route* found =
        this->active->find_route(path_of(item.request.target));
    if (found == nullptr)
    {
        this->refuse(now, item, refusal_code::no_route, ran::no,
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
    this->refuse(now, item, refusal_code::body_too_large, ran::no,
                 "the body exceeds the route's limit of " +
                     std::to_string(found->max_body) + " bytes; send less");
    return false;
}

bool pipeline::implementation::check_key(time_point now, exchange& item,
                                         std::string_view key)
{
    // A valid key on an open route counts for its account; any other request is
    // anonymous.
    if (!key.empty())
        item.key_hash = catalogue::hash_key(this->active->key_salt, key);
    const catalogue::client_account* owner =
        key.empty() ? nullptr : this->active->find_account_by_hash(item.key_hash);
    if (item.open_route && owner == nullptr)
        return true;
    if (key.empty())
    {
        this->refuse(now, item, refusal_code::missing_key, ran::no,
                     "the route needs a key; send it in X-Client-Key");
        return false;
    }
    if (owner == nullptr)
    {
        this->refuse(now, item, refusal_code::unknown_key, ran::no,
                     "the key is not valid; ask the operator for a new one");
        return false;
    }
    item.account = owner->name;
    return this->recheck_key(now, item);
}

// Checks against the catalogue in force now: a revoked key stops a request that waited.
bool pipeline::implementation::recheck_key(time_point now, exchange& item)
{
    if (item.account.empty())
        return true;
    const catalogue::client_account* owner =
        this->active->find_account_by_hash(item.key_hash);
    const bool valid = owner != nullptr && owner->name == item.account;
    const ran run = item.may_have_run ? ran::unknown : ran::no;
    if (!valid)
    {
        this->refuse(now, item, refusal_code::unknown_key, run,
                     "the key is no longer valid; ask the operator for a new one");
        return false;
    }
    const auto route = this->active->routes.find(item.route);
    if (route == this->active->routes.end())
    {
        this->refuse(now, item, refusal_code::no_route, run,
                     "the route was removed; check the URL");
        return false;
    }
    if (item.open_route)
        return true;
    const config::admission fresh = this->hooks.may_serve(now, route->second.unconfirmed);
    if (fresh.serve)
        return true;
    this->refuse(now, item, refusal_code::stale_configuration, run,
                 "this VM cannot confirm that the key is still valid (" +
                     std::string(config::describe(fresh.reason)) + "); use another VM",
                 default_retry_after);
    return false;
}

void pipeline::implementation::take_token(time_point now, exchange& item)
{
    if (item.account.empty())
        return this->begin(now, item);
    const limit::decision made = this->parts.limiter.admit(now, item.account);
    if (made.result == limit::outcome::waiting)
    {
        item.ticket = made.ticket;
        this->tickets[made.ticket] = item.id;
        return;
    }
    if (made.result == limit::outcome::admitted)
        return this->begin(now, item);
    this->refuse(now, item, refusal_code::rate_limited, ran::no,
                 "the client account is over its rate; retry after the stated time",
                 std::max(made.retry_after, default_min_retry_after));
}

void pipeline::implementation::resolve_limit(time_point now, std::uint64_t ticket,
                                             const limit::decision& made)
{
    const auto waiting = this->tickets.extract(ticket);
    exchange* item = waiting.empty() ? nullptr : this->find(waiting.mapped());
    if (item == nullptr)
        return;
    item->ticket = 0;
    item->limit_wait = now - item->stage_began;
    if (made.result == limit::outcome::admitted)
    {
        if (this->recheck_key(now, *item))
            this->begin(now, *item);
        return;
    }
    this->refuse(now, *item, refusal_code::rate_limited, ran::no,
                 "the client account is over its rate; retry after the stated time",
                 std::max(made.retry_after, default_min_retry_after));
}

// Non-idempotent requests with a key pass the executor; others go straight on.
void pipeline::implementation::begin(time_point now, exchange& item)
{
    item.through_once = !item.idempotent && !item.request.idempotency_key.empty();
    if (!item.through_once)
        return this->select_upstream(now, item);
    const once::request asked{.account = item.account,
                              .key = item.request.idempotency_key,
                              .fingerprint = once::fingerprint(item.request.method,
                                                               item.request.target,
                                                               item.request.body),
                              .deadline = item.deadline,
                              .relay_count = item.primary_relays,
                              .wall_now = item.arrived_wall};
    const exchange_id id = item.id;
    this->present = now;
    this->parts.executor.begin(now, asked,
                               [this, id](once::decision made)
                               { this->continue_once(id, std::move(made)); });
}

void pipeline::implementation::continue_once(exchange_id id, once::decision made)
{
    exchange* item = this->find(id);
    const time_point now = this->present;
    if (item == nullptr)
    {
        // The caller left while the intent was on its way; nothing was sent.
        if (made.kind == once::decision_kind::execute)
            this->parts.executor.finish(now, made.attempt,
                                        {.kind = once::outcome_kind::not_run});
        return;
    }
    switch (made.kind)
    {
    case once::decision_kind::execute:
        item->attempt = made.attempt;
        if (this->recheck_key(now, *item))
            this->select_upstream(now, *item);
        return;
    case once::decision_kind::relay:
        return this->relay_out(now, *item, relay_reason::primary, made.relay_to);
    case once::decision_kind::replay:
        return this->replay(now, *item, std::move(made.recorded_outcome));
    case once::decision_kind::refuse:
        const bool reused = made.reason.code == "key_reused";
        return this->refuse(
            now, *item,
            reused ? refusal_code::key_reused : refusal_code::duplicate_unresolved,
            made.reason.execution == once::execution_status::not_executed ? ran::no
                                                                          : ran::unknown,
            made.reason.message, made.reason.retry_after);
    }
}

// Answers a repeated request with the recorded outcome of the first.
void pipeline::implementation::replay(time_point now, exchange& item,
                                      once::outcome recorded)
{
    if (recorded.kind == once::outcome_kind::unknown)
        return this->refuse(now, item, refusal_code::duplicate_unresolved, ran::unknown,
                            "an earlier request with this key may have run; ask the "
                            "service for its outcome, or use a new key");
    answer made{.status = recorded.status,
                .headers = std::move(recorded.headers),
                .body = std::move(recorded.body)};
    made.headers.emplace_back("Idempotency-Replayed", "1");
    if (!recorded.body_kept)
        made.headers.emplace_back("Idempotency-Body", "not-kept");
    this->finish(now, item, std::move(made));
}

void pipeline::implementation::select_upstream(time_point now, exchange& item)
{
    item.stage_began = now;
    item.in_router = true;
    const exchange_id id = item.id;
    const route::decision made =
        this->parts.router.submit(now, {.id = item.id,
                                        .account = item.account,
                                        .route = item.route,
                                        .group = item.group,
                                        .deadline = item.deadline,
                                        .idempotent = item.idempotent,
                                        .body_size = item.request.body.size(),
                                        .excluded = item.excluded,
                                        .relayed = item.relayed_to_owner});
    exchange* still = this->find(id);
    if (still != nullptr && made.kind != route::decision_kind::queued)
        this->apply_route(now, *still, made);
}

void pipeline::implementation::resolve_route(time_point now, route::request_id id,
                                             const route::decision& made)
{
    exchange* item = this->find(id);
    if (item == nullptr || !item->in_router)
        return;
    item->queue_wait += now - item->stage_began;
    this->apply_route(now, *item, made);
}

void pipeline::implementation::apply_route(time_point now, exchange& item,
                                           const route::decision& made)
{
    if (made.kind == route::decision_kind::refused)
    {
        item.in_router = false;
        const refusal_code code = code_of(made.reason);
        return this->refuse(now, item, code, item.may_have_run ? ran::unknown : ran::no,
                            message_of(code),
                            std::max(made.retry_after, default_min_retry_after));
    }
    if (!this->recheck_key(now, item))
        return;
    ++item.attempts;
    item.sent = now;
    if (made.kind == route::decision_kind::relayed)
        return this->relay_out(now, item, relay_reason::upstream, made.peer);
    item.upstream = made.upstream;
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
    const auto left =
        std::chrono::floor<std::chrono::milliseconds>(item.deadline - now).count();
    call.headers.emplace_back("X-Deadline-Ms", std::to_string(left));
    if (!item.account.empty())
        call.headers.emplace_back("X-Client-Account", item.account);
    if (!item.request.idempotency_key.empty())
        call.headers.emplace_back("Idempotency-Key", item.request.idempotency_key);
    const exchange_id id = item.id;
    const std::uint32_t attempt = item.attempts;
    const upstream_call made = this->hooks.call_upstream(
        std::move(call),
        [this, id, attempt](time_point then, result<upstream_answer> outcome)
        { this->upstream_done(then, id, attempt, std::move(outcome)); });
    exchange* still = this->find(id);
    if (still != nullptr && still->attempts == attempt)
        still->call = made;
}

void pipeline::implementation::upstream_done(time_point now, exchange_id id,
                                             std::uint32_t attempt,
                                             result<upstream_answer> outcome)
{
    this->present = now;
    exchange* item = this->find(id);
    if (item == nullptr || item->attempts != attempt || !item->in_router)
        return;
    item->call = 0;
    item->in_router = false;
    const bool not_sent = !outcome && outcome.error().code == errc::unavailable;
    const bool shed = outcome && outcome.value().status == status_unavailable &&
                      has_flag(outcome.value().headers, not_run_header);
    if (outcome && has_flag(outcome.value().headers, drain_header))
        this->parts.router.drain(now, item->upstream);
    const bool expired = !outcome && outcome.error().code == errc::timeout;
    const bool failed = !outcome || outcome.value().status >= status_server_error;
    const route::outcome how = shed       ? route::outcome::shed
                               : not_sent ? route::outcome::not_sent
                               : expired  ? route::outcome::timed_out
                               : failed   ? route::outcome::failed
                                          : route::outcome::ok;
    const std::string upstream = item->upstream;
    this->parts.router.complete(now, id, how, now - item->sent);
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
    if (this->try_again(now, *item, not_run, upstream))
        return;
    const ran run = not_run && !item->may_have_run ? ran::no : ran::unknown;
    this->refuse(now, *item,
                 expired ? refusal_code::timeout : refusal_code::upstream_failed, run,
                 (outcome ? "upstream " + upstream + " refused the request"
                          : outcome.error().message) +
                     "; retry after the stated time",
                 default_retry_after);
}

// Sends the request to another upstream where that is safe and in time.
bool pipeline::implementation::try_again(time_point now, exchange& item, bool not_run,
                                         std::string avoid)
{
    item.may_have_run = item.may_have_run || !not_run;
    const retry::decision next =
        this->retries.after_failure(now, {.idempotent = item.idempotent,
                                          .not_run = not_run,
                                          .keyed = item.attempt != 0,
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
    this->delayed.emplace(item.retry_at, item.id);
    return true;
}

// Starts the retries whose backoff has passed.
void pipeline::implementation::tick(time_point now)
{
    this->present = now;
    while (!this->delayed.empty() && this->delayed.begin()->first <= now)
    {
        const auto [due, id] = *this->delayed.begin();
        this->delayed.erase(this->delayed.begin());
        exchange* item = this->find(id);
        if (item != nullptr && item->retry_at == due && this->recheck_key(now, *item))
            this->select_upstream(now, *item);
    }
}

void pipeline::implementation::relay_out(time_point now, exchange& item,
                                         relay_reason reason, const vm_id& peer)
{
    relay_request sent{.reason = reason,
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
    item.sent = now;
    const exchange_id id = item.id;
    this->hooks.relay(peer, std::move(sent), item.deadline - now + relay_margin,
                      [this, id, reason](time_point then, result<relay_answer> outcome)
                      { this->relay_done(then, id, reason, std::move(outcome)); });
}

void pipeline::implementation::relay_done(time_point now, exchange_id id,
                                          relay_reason reason,
                                          result<relay_answer> outcome)
{
    this->present = now;
    exchange* item = this->find(id);
    if (item == nullptr)
        return;
    const bool not_sent = !outcome && outcome.error().code == errc::unavailable;
    const bool refused_unrun =
        outcome && outcome.value().content.refused.code != refusal_code::none &&
        outcome.value().content.refused.run == ran::no;
    const std::string peer = item->upstream;
    if (reason == relay_reason::upstream)
    {
        item->in_router = false;
        const route::outcome how = not_sent        ? route::outcome::not_sent
                                   : refused_unrun ? route::outcome::shed
                                   : outcome       ? route::outcome::ok
                                                   : route::outcome::failed;
        this->parts.router.complete(now, id, how, now - item->sent);
        item = this->find(id);
        if (item == nullptr)
            return;
        if (!outcome || refused_unrun)
            if (this->try_again(now, *item, not_sent || refused_unrun, peer))
                return;
    }
    if (outcome)
    {
        answer& made = outcome.value().content;
        if (made.refused.code != refusal_code::none && item->may_have_run)
            made.refused.run = ran::unknown;
        if (made.refused.code != refusal_code::none)
            return this->refuse(now, *item, made.refused.code, made.refused.run,
                                made.refused.message, made.refused.retry_after);
        return this->finish(now, *item, std::move(made));
    }
    const bool unknown = !not_sent || item->may_have_run;
    this->refuse(now, *item, refusal_code::relay_failed, unknown ? ran::unknown : ran::no,
                 outcome.error().message +
                     (item->through_once
                          ? "; repeat the request with the same Idempotency-Key"
                          : "; retry after the stated time"),
                 default_retry_after);
}

exchange_id pipeline::implementation::submit_relayed(time_point now, wall_time wall,
                                                     relay_request incoming,
                                                     answer_handler done)
{
    exchange made;
    made.relayed_in = true;
    made.done = std::move(done);
    made.arrived_wall = wall;
    made.account = std::move(incoming.account);
    made.key_hash = std::move(incoming.key_hash);
    made.request = {.method = std::move(incoming.method),
                    .target = std::move(incoming.target),
                    .idempotency_key = std::move(incoming.idempotency_key),
                    .request_id = std::move(incoming.request_id),
                    .deadline = duration(incoming.deadline_us),
                    .headers = std::move(incoming.headers),
                    .body = std::move(incoming.body)};
    const relay_reason reason = incoming.reason;
    made.primary_relays = incoming.primary_relays;
    made.relayed_to_owner = reason == relay_reason::upstream;
    exchange* item = this->add(now, made);
    const exchange_id id = this->next_id - 1;
    if (item == nullptr || !this->route_request(*item) || !this->recheck_key(now, *item))
        return id;
    if (!item->open_route && item->account.empty())
    {
        this->refuse(now, *item, refusal_code::missing_key, ran::no,
                     "the route needs a key; send it in X-Client-Key");
        return id;
    }
    if (reason == relay_reason::primary)
        this->begin(now, *item);
    else
        this->select_upstream(now, *item);
    return id;
}

void pipeline::implementation::cancel(time_point now, exchange_id id)
{
    this->present = now;
    exchange* item = this->find(id);
    if (item == nullptr)
        return;
    item->done = [](const answer&) {
    };
    // A request that changes something goes on, so that its outcome is recorded.
    if (!item->idempotent)
        return;
    if (item->ticket != 0)
        this->parts.limiter.cancel(item->ticket);
    if (item->call != 0)
        this->hooks.cancel_upstream(item->call);
    this->finish(now, *item, answer{});
}

void pipeline::implementation::refuse(time_point now, exchange& item, refusal_code code,
                                      ran run, std::string message, duration retry_after)
{
    this->finish(now, item,
                 make_refusal({.code = code,
                               .run = run,
                               .message = std::move(message),
                               .retry_after = retry_after},
                              item.request.request_id));
}

// Ends the exchange: releases what it holds, records, answers.
void pipeline::implementation::finish(time_point now, exchange& item, answer made)
{
    if (std::exchange(item.in_router, false))
    {
        // A cancelled call keeps its slot until the deadline: the upstream may go on.
        this->parts.router.complete(now, item.id,
                                    item.call != 0 ? route::outcome::cancelled
                                                   : route::outcome::not_sent,
                                    now - item.sent);
    }
    if (item.ticket != 0)
        this->tickets.erase(item.ticket);
    this->settle_once(now, item, made);
    this->record(now, item, made);
    this->buffered -= item.request.body.size();
    const answer_handler done = std::move(item.done);
    const std::string request_id = item.request.request_id;
    this->exchanges.erase(item.id);
    made.headers.emplace_back("X-Request-Id", request_id);
    done(std::move(made));
}

void pipeline::implementation::settle_once(time_point now, exchange& item,
                                           const answer& made)
{
    if (item.attempt == 0)
        return;
    once::outcome outcome;
    if (made.refused.code == refusal_code::none && made.status != 0)
        outcome = {.status = made.status, .headers = made.headers, .body = made.body};
    else if (made.refused.run == ran::no)
        outcome.kind = once::outcome_kind::not_run;
    else
        outcome.kind = once::outcome_kind::unknown;
    this->parts.executor.finish(now, std::exchange(item.attempt, 0), std::move(outcome));
}

void pipeline::implementation::record(time_point now, const exchange& item,
                                      const answer& made)
{
    decision_record entry{.request_id = item.request.request_id,
                          .account = item.account,
                          .route = item.route,
                          .method = item.request.method,
                          .upstream = item.upstream,
                          .idempotent = item.idempotent,
                          .relayed_in = item.relayed_in,
                          .status = made.status,
                          .code = made.refused.code,
                          .run = made.refused.run,
                          .attempts = item.attempts,
                          .limit_wait = item.limit_wait,
                          .queue_wait = item.queue_wait,
                          .total = now - item.arrived,
                          .bytes_in = item.request.body.size(),
                          .bytes_out = made.body.size()};
    if (this->hooks.finished)
        this->hooks.finished(entry);
    this->journal.push_back(std::move(entry));
    if (this->journal.size() > this->options.journal_size)
        this->journal.pop_front();
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
            {"ran", record.run == ran::no ? "no" : "unknown"},
            {"attempts", record.attempts},
            {"limit_wait_us", record.limit_wait.count()},
            {"queue_wait_us", record.queue_wait.count()},
            {"total_us", record.total.count()},
            {"bytes_in", record.bytes_in},
            {"bytes_out", record.bytes_out}};
}

pipeline::pipeline(pipeline_options options, pipeline_parts parts, pipeline_hooks hooks)
    : self(std::make_unique<implementation>(std::move(options), parts, std::move(hooks)))
{
}

pipeline::~pipeline() = default;

void pipeline::set_catalogue(time_point now,
                             std::shared_ptr<const catalogue::catalogue> next)
{
    this->self->present = now;
    this->self->active = std::move(next);
}

void pipeline::set_present(time_point now)
{
    this->self->present = now;
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
                             const limit::decision& made)
{
    this->self->resolve_limit(now, ticket, made);
}

void pipeline::resolve_route(time_point now, route::request_id id,
                             const route::decision& made)
{
    this->self->resolve_route(now, id, made);
}

std::size_t pipeline::in_progress() const
{
    return this->self->exchanges.size();
}

std::uint64_t pipeline::buffered_bytes() const
{
    return this->self->buffered;
}

const std::deque<decision_record>& pipeline::journal() const
{
    return this->self->journal;
}

} // namespace pistachiospan::entry
