#include "pistachiospan/once/internal/engine.hpp"

#include <algorithm>

namespace pistachiospan::once
{

using namespace internal;
using namespace std::chrono_literals;

namespace
{

// For a request that is still running, and when the new primary is known.
constexpr duration retry_soon = 200ms;
constexpr duration retry_failover = 2s;       // about the time of a change of view
constexpr duration retry_capacity = 30s;      // records expire gradually, over an hour
constexpr duration tombstone_retention = 60s; // longer than any message is in flight
constexpr duration max_clock_skew = 5min;     // largest difference between wall clocks

constexpr std::string_view repeat_hint =
    "; repeat the request with the same Idempotency-Key to find out";
constexpr std::string_view check_service_hint =
    "; look at the service itself whether it took effect";

refusal unavailable(execution_status execution, std::string_view problem,
                    duration retry_after)
{
    return {.code = "shard_unavailable",
            .execution = execution,
            .message = std::string(problem).append(repeat_hint),
            .retry_after = retry_after};
}

} // namespace

executor::engine::engine(options initial_options, store::table& rows, hooks callbacks)
    : opts(std::move(initial_options)), table(rows),
      outputs(std::move(callbacks)), self{.id = this->opts.self,
                                          .process_incarnation =
                                              this->opts.self_incarnation},
      random(hash_bytes(this->opts.self.value,
                        this->opts.seed ^ this->opts.self_incarnation))
{
}

void executor::engine::begin(time_point now, const request& incoming,
                             decision_handler done)
{
    this->run_store_handlers(now);
    this->decide(now, incoming, true, std::move(done));
    this->flush();
}

bool executor::engine::serving(const shard& local_shard, time_point now) const
{
    return local_shard.current.primary.same_process(this->self) &&
           local_shard.has_records && now >= local_shard.serve_from;
}

// Whether no other VM can execute a key of which this primary has no record. This holds
// while it has a lease from each other VM that may be a member of the latest view. VMs
// that take over after the loss of all records execute no key of this epoch.
bool executor::engine::exclusive(const shard& local_shard, time_point now) const
{
    if (!this->serving(local_shard, now))
        return false;
    const proposal& proposed = local_shard.proposed;
    const bool maybe_written = proposed.call != 0 || proposed.uncertain;
    if (maybe_written && !proposed.next.primary.same_process(this->self))
        return false;
    if (local_shard.backup && now >= local_shard.backup->exclusive_until)
        return false;
    return !local_shard.joiner || !local_shard.joiner->proposed ||
           now < local_shard.joiner->exclusive_until;
}

execution_status executor::engine::provable_status(const shard& local_shard,
                                                   time_point now) const
{
    return this->exclusive(local_shard, now) ? execution_status::not_executed
                                             : execution_status::unknown;
}

void executor::engine::decide(time_point now, const request& incoming, bool may_wait,
                              decision_handler done)
{
    if (incoming.key.empty() || incoming.key.size() > max_key_size)
        return this->refuse(done, {.code = "invalid_key",
                                   .execution = execution_status::not_executed,
                                   .message = "the idempotency key must have 1 to 256 "
                                              "bytes; choose another key"});
    std::optional<issued_key> issued;
    if (incoming.key.starts_with(issued_prefix))
    {
        result<issued_key> read = parse_issued_key(incoming.key, this->opts.secret);
        if (!read)
            return this->refuse(done, {.code = "invalid_key",
                                       .execution = execution_status::not_executed,
                                       .message = read.error().message});
        issued = read.value();
    }
    const record_id id = make_record_id(incoming.account, incoming.key);
    const std::size_t index = issued ? issued->shard : id.high % shard_count;
    shard& local_shard = this->shards[index];
    if (!this->serving(local_shard, now))
    {
        const view& known = local_shard.current;
        const bool change_expected =
            known.primary.same_process(this->self) ||
            incoming.relay_count >= max_relays ||
            (incoming.relay_count > 0 &&
             (known.backup.same_process(this->self) || local_shard.joining != nullptr));
        if (may_wait && change_expected)
            return this->enqueue(now, incoming, index, std::move(done));
        return this->decide_elsewhere(now, incoming, index, done);
    }
    const auto found = local_shard.records.find(id);
    if (found != local_shard.records.end() && found->second.state != record_state::free)
        return this->decide_recorded(now, incoming, found->second, std::move(done));
    if (may_wait && this->is_handing_over(local_shard))
        return this->enqueue(now, incoming, index, std::move(done));
    if (auto reason =
            this->check_new(now, incoming, local_shard, issued ? &*issued : nullptr))
        return this->refuse_or_defer(now, index, id, std::move(*reason), std::move(done));
    this->start(now, incoming, index, id, std::move(done));
}

// Defers a request until the view changes, for at most `ack_timeout`.
void executor::engine::enqueue(time_point now, const request& incoming, std::size_t index,
                               decision_handler done)
{
    this->queued.push_back({.account = std::string(incoming.account),
                            .key = std::string(incoming.key),
                            .incoming = incoming,
                            .shard = index,
                            .since = now,
                            .done = std::move(done)});
}

void executor::engine::retry_queued(time_point now, std::optional<std::size_t> only_shard)
{
    std::vector<queued_request> waiting = std::move(this->queued);
    this->queued.clear();
    for (queued_request& each : waiting)
    {
        const bool overdue = now - each.since >= this->opts.ack_timeout;
        const shard& local_shard = this->shards[each.shard];
        const bool serving_now =
            this->serving(local_shard, now) && !this->is_handing_over(local_shard);
        const bool adopted = only_shard && *only_shard == each.shard;
        if (!overdue && !serving_now && !adopted)
        {
            this->queued.push_back(std::move(each));
            continue;
        }
        request incoming = each.incoming;
        incoming.account = each.account;
        incoming.key = each.key;
        const time_point since = each.since;
        const std::size_t before = this->queued.size();
        this->decide(now, incoming, !overdue, std::move(each.done));
        if (this->queued.size() > before)
            this->queued.back().since = since;
    }
}

bool executor::engine::is_handing_over(const shard& local_shard) const
{
    const proposal& proposed = local_shard.proposed;
    const bool maybe_written = proposed.call != 0 || proposed.uncertain;
    return local_shard.handover_pending ||
           (maybe_written && !proposed.next.primary.same_process(this->self));
}

bool executor::engine::has_pending(std::size_t index) const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(),
                       [&](const auto& each)
                       { return each.second.shard == index && !each.second.permitted; });
}

// A VM that does not serve the shard knows nothing about the key, so it never reports a
// request as not executed.
void executor::engine::decide_elsewhere(time_point now, const request& incoming,
                                        std::size_t index, const decision_handler& done)
{
    const shard& local_shard = this->shards[index];
    const member& primary = local_shard.current.primary;
    if (primary.same_process(this->self))
    {
        const duration wait =
            local_shard.has_records ? local_shard.serve_from - now : retry_failover;
        return this->refuse(done, unavailable(execution_status::unknown,
                                              "this VM has just taken the shard of this "
                                              "key and does not serve it yet",
                                              wait));
    }
    if (incoming.relay_count < max_relays && primary && this->is_live(primary))
        return this->answer(done, {.kind = decision_kind::relay, .relay_to = primary.id});
    this->rescan(now);
    this->refuse(done,
                 unavailable(execution_status::unknown,
                             "the VM that holds the shard of this key is not "
                             "reachable from here",
                             incoming.relay_count > 0 ? retry_soon : retry_failover));
}

void executor::engine::decide_recorded(time_point now, const request& incoming,
                                       record& found, decision_handler done)
{
    if (found.fingerprint != incoming.fingerprint)
        return this->refuse(done, {.code = "key_reused",
                                   .execution = execution_status::not_executed,
                                   .message = "this idempotency key belongs to another "
                                              "request; choose a new key"});
    if (found.state == record_state::completed)
        return this->answer(
            done, {.kind = decision_kind::replay, .recorded_outcome = *found.result});
    const auto running = this->attempts.find(found.running);
    if (found.state == record_state::intent && running != this->attempts.end())
    {
        running->second.waiters.push_back(
            {.deadline = std::max(now, incoming.deadline), .done = std::move(done)});
        return;
    }
    this->refuse(done,
                 {.code = "outcome_unknown",
                  .execution = execution_status::unknown,
                  .message = std::string("the request was started and its VM was lost "
                                         "before the outcome was recorded")
                                 .append(check_service_hint),
                  .retry_after = retry_failover});
}

std::optional<refusal> executor::engine::check_new(time_point now,
                                                   const request& incoming,
                                                   const shard& local_shard,
                                                   const issued_key* issued)
{
    const execution_status execution = this->provable_status(local_shard, now);
    if (issued != nullptr)
    {
        const duration age = incoming.wall_now - issued->issued_at;
        if (issued->epoch > local_shard.current.epoch)
        {
            this->rescan(now);
            return unavailable(execution_status::unknown,
                               "this VM no longer holds the shard", retry_failover);
        }
        if (issued->epoch < local_shard.current.epoch)
            return refusal{.code = "records_lost",
                           .execution = execution_status::unknown,
                           .message = std::string("the records of this key were lost")
                                          .append(check_service_hint)};
        if (age > this->opts.key_lifetime || age < -max_clock_skew)
            return refusal{.code = "key_expired",
                           .execution = execution_status::unknown,
                           .message = std::string("the issued key is too old, or from "
                                                  "a VM whose clock is wrong")
                                          .append(check_service_hint)};
    }
    else if (now < local_shard.unknown_until)
        return refusal{.code = "records_lost",
                       .execution = execution_status::unknown,
                       .message = std::string("the records of this key's shard were "
                                              "lost; use a key issued by this system, or")
                                      .append(check_service_hint.substr(1)),
                       .retry_after = local_shard.unknown_until - now};
    else if (!local_shard.confirmed_at ||
             now - *local_shard.confirmed_at > this->opts.unconfirmed_limit)
        return refusal{.code = "unconfirmed_view",
                       .execution = execution_status::unknown,
                       .message = std::string("the store has not confirmed recently that "
                                              "this VM holds the shard")
                                      .append(repeat_hint),
                       .retry_after = retry_capacity};
    if (incoming.deadline <= now)
        return refusal{.code = "deadline_exceeded",
                       .execution = execution,
                       .message =
                           std::string("the deadline has passed").append(repeat_hint)};
    if (this->records_held >= this->opts.max_records)
        return refusal{.code = "records_full",
                       .execution = execution,
                       .message = std::string("this VM has no room for a further record")
                                      .append(repeat_hint),
                       .retry_after = retry_capacity};
    if (local_shard.backup && (local_shard.backup->silent || local_shard.backup->refused))
        return unavailable(execution, "the backup of this key's shard does not answer",
                           retry_failover);
    if (this->is_handing_over(local_shard))
        return unavailable(execution, "the shard of this key is being handed over",
                           retry_soon);
    return std::nullopt;
}

// Refuses a request. If only the lease of the backup is missing to report it as not
// executed, requests an acknowledgement first.
void executor::engine::refuse_or_defer(time_point now, std::size_t index,
                                       const record_id& id, refusal reason,
                                       decision_handler done)
{
    replica* backup = this->shards[index].backup.get();
    const bool provable = reason.code == "records_full" &&
                          reason.execution == execution_status::unknown &&
                          backup != nullptr && !backup->silent && !backup->refused;
    if (!provable)
        return this->refuse(done, std::move(reason));
    this->pending_refusals.push_back({.shard = index,
                                      .id = id,
                                      .started = now,
                                      .reason = std::move(reason),
                                      .done = std::move(done)});
    if (now - backup->last_sent >= this->opts.resend_after / 2)
        this->send_part(now, this->shards[index], *backup);
}

void executor::engine::answer_pending_refusals(time_point now)
{
    const auto rest = std::stable_partition(
        this->pending_refusals.begin(), this->pending_refusals.end(),
        [&](const pending_refusal& each)
        {
            return now - each.started < this->opts.ack_timeout &&
                   !this->exclusive(this->shards[each.shard], now);
        });
    for (auto at = rest; at != this->pending_refusals.end(); ++at)
    {
        const shard& local_shard = this->shards[at->shard];
        const auto found = local_shard.records.find(at->id);
        const bool free = found == local_shard.records.end() ||
                          found->second.state == record_state::free;
        if (free)
            at->reason.execution = this->provable_status(local_shard, now);
        this->refuse(at->done, std::move(at->reason));
    }
    this->pending_refusals.erase(rest, this->pending_refusals.end());
}

void executor::engine::start(time_point now, const request& incoming, std::size_t index,
                             const record_id& id, decision_handler done)
{
    shard& local_shard = this->shards[index];
    const auto [stored, added] = local_shard.records.try_emplace(id);
    this->records_held += added ? 1 : 0;
    record& created = stored->second;
    const attempt_id key = this->next_attempt++;
    created.fingerprint = incoming.fingerprint;
    created.running = key;
    attempt pending{.shard = index, .id = id, .started = now};
    pending.needs_backup = local_shard.backup != nullptr;
    pending.needs_joiner = local_shard.joiner && local_shard.joiner->barrier != 0;
    pending.waiters.push_back({.deadline = incoming.deadline, .done = std::move(done)});
    const auto found = this->attempts.emplace(key, std::move(pending)).first;
    this->change(now, local_shard, id, created, record_state::intent);
    created.attempt = created.last_change;
    found->second.number = created.last_change;
    if (local_shard.backup)
        this->replicate(now, local_shard, *local_shard.backup, id, created);
    if (local_shard.joiner)
        this->replicate(now, local_shard, *local_shard.joiner, id, created);
    this->permit_if_acknowledged(now, found);
}

void executor::engine::permit_if_acknowledged(time_point now, attempt_map::iterator found)
{
    const attempt& waiting = found->second;
    if (!waiting.permitted && !waiting.needs_backup && !waiting.needs_joiner)
        this->permit(now, found);
}

// Permits the first waiter whose deadline has not passed to execute the request.
void executor::engine::permit(time_point now, attempt_map::iterator found)
{
    attempt& pending = found->second;
    const auto first =
        std::find_if(pending.waiters.begin(), pending.waiters.end(),
                     [&](const waiter& each) { return each.deadline > now; });
    if (first == pending.waiters.end())
    {
        this->abandon(now, found,
                      {.code = "deadline_exceeded",
                       .execution = execution_status::not_executed,
                       .message = "the deadline has passed before the request was "
                                  "forwarded; the key may be used again"});
        return;
    }
    pending.permitted = true;
    this->answer(first->done, {.kind = decision_kind::execute, .attempt = found->first});
    pending.waiters.erase(first);
}

// Ends an attempt that was never permitted. An acknowledgement that arrives later finds
// no attempt and has no effect.
executor::engine::attempt_map::iterator
executor::engine::abandon(time_point now, attempt_map::iterator found,
                          const refusal& reason)
{
    attempt ended = std::move(found->second);
    const auto next = this->attempts.erase(found);
    const outcome nothing{.kind = outcome_kind::not_run};
    this->record_outcome(now, ended, nothing);
    for (const waiter& each : ended.waiters)
        this->refuse(each.done, reason);
    return next;
}

void executor::engine::record_outcome(time_point now, const attempt& ended,
                                      const outcome& result)
{
    record_state state = record_state::completed;
    if (result.kind == outcome_kind::not_run)
        state = record_state::free;
    if (result.kind == outcome_kind::unknown)
        state = record_state::unknown;
    shard& local_shard = this->shards[ended.shard];
    const auto stored = local_shard.records.find(ended.id);
    const bool recorded =
        stored != local_shard.records.end() && stored->second.attempt == ended.number;
    if (!local_shard.current.primary.same_process(this->self) || !local_shard.has_records)
        return this->queue_resolution(now, ended, state, result);
    if (!recorded)
        return;
    record& updated = stored->second;
    updated.running = 0;
    if (state == record_state::completed)
        this->set_result(updated, std::make_unique<outcome>(result));
    this->change(now, local_shard, ended.id, updated, state);
    if (local_shard.backup)
        this->replicate(now, local_shard, *local_shard.backup, ended.id, updated);
    if (local_shard.joiner)
        this->replicate(now, local_shard, *local_shard.joiner, ended.id, updated);
}

void executor::engine::finish(time_point now, attempt_id key, outcome result)
{
    this->run_store_handlers(now);
    const auto found = this->attempts.find(key);
    if (found == this->attempts.end() || !found->second.permitted)
        return this->flush();
    attempt ended = std::move(found->second);
    this->attempts.erase(found);
    this->limit_size(result);
    this->record_outcome(now, ended, result);
    for (const waiter& each : ended.waiters)
    {
        if (result.kind == outcome_kind::completed)
            this->answer(each.done,
                         {.kind = decision_kind::replay, .recorded_outcome = result});
        else if (result.kind == outcome_kind::not_run)
            this->refuse(each.done,
                         {.code = "not_run",
                          .execution = execution_status::not_executed,
                          .message = "the upstream refused the request before it ran; "
                                     "repeat it with the same Idempotency-Key",
                          .retry_after = retry_soon});
        else
            this->refuse(each.done, {.code = "outcome_unknown",
                                     .execution = execution_status::unknown,
                                     .message = std::string("the upstream did not answer")
                                                    .append(check_service_hint)});
    }
    this->flush();
}

// Truncates an answer to what may be stored. The caller whose request was executed still
// gets the complete answer.
void executor::engine::limit_size(outcome& result) const
{
    std::size_t size = 0;
    const auto last = std::find_if(result.headers.begin(), result.headers.end(),
                                   [&](const auto& header)
                                   {
                                       size += header.first.size() + header.second.size();
                                       return size > this->opts.max_header_bytes;
                                   });
    result.headers.erase(last, result.headers.end());
    const bool room = this->kept_bytes + result.body.size() <= this->opts.max_kept_bytes;
    if (result.body.size() <= this->opts.max_body && room)
        return;
    result.body.clear();
    result.body.shrink_to_fit();
    result.body_kept = false;
}

// Refuses requests whose acknowledgement is late or whose deadline has passed.
void executor::engine::expire_waiters(time_point now)
{
    for (auto at = this->attempts.begin(); at != this->attempts.end();)
    {
        attempt& each = at->second;
        shard& local_shard = this->shards[each.shard];
        if (!each.permitted && now - each.started >= this->opts.ack_timeout)
        {
            replica* late =
                each.needs_backup ? local_shard.backup.get() : local_shard.joiner.get();
            if (late != nullptr && !late->silent)
            {
                late->silent = true;
                late->silent_since = each.started;
            }
            at = this->abandon(
                now, at,
                unavailable(this->provable_status(local_shard, now),
                            "the backup of this key's shard did not answer in time",
                            retry_failover));
            continue;
        }
        const auto overdue = std::stable_partition(
            each.waiters.begin(), each.waiters.end(),
            [&](const waiter& waiting) { return waiting.deadline > now; });
        for (auto late = overdue; each.permitted && late != each.waiters.end(); ++late)
            this->refuse(
                late->done,
                {.code = "in_progress",
                 .execution = execution_status::unknown,
                 .message =
                     std::string("the request is still running").append(repeat_hint),
                 .retry_after = retry_soon});
        if (each.permitted)
            each.waiters.erase(overdue, each.waiters.end());
        ++at;
    }
}

// Removes expired records. The record of a running request does not expire, and a record
// with a change that a replica has not acknowledged is still needed to send it.
void executor::engine::sweep(time_point now, shard& local_shard)
{
    const auto expired = [&](const record_table::value_type& candidate)
    {
        const record& value = candidate.second;
        if (value.state == record_state::intent || value.running != 0)
            return false;
        for (const replica* each : {local_shard.backup.get(), local_shard.joiner.get()})
        {
            if (each != nullptr && each->unacknowledged.contains(value.last_change))
                return false;
        }
        const bool tombstone = value.state == record_state::free;
        return now - value.since >
               (tombstone ? tombstone_retention : this->opts.retention);
    };
    for (auto at = local_shard.records.begin(); at != local_shard.records.end();)
    {
        if (!expired(*at))
        {
            ++at;
            continue;
        }
        this->set_result(at->second, nullptr);
        at = local_shard.records.erase(at);
        --this->records_held;
    }
}

void executor::engine::tick(time_point now)
{
    this->run_store_handlers(now);
    constexpr duration max_tick_gap = 2s;
    if (now - this->last_tick > max_tick_gap)
    {
        // This process was paused, so its state of the peers is outdated.
        for (shard& each : this->shards)
            each.down_since = now;
    }
    this->last_tick = now;
    constexpr duration balance_period = 1s;
    this->balance_due = now - this->last_balance >= balance_period;
    if (this->balance_due)
        this->last_balance = now;
    if (now >= this->next_scan)
        this->scan(now);
    for (std::size_t index = 0; index < shard_count; ++index)
        this->maintain(now, index);
    this->expire_waiters(now);
    this->answer_pending_refusals(now);
    this->retry_queued(now, std::nullopt);
    this->resend_resolutions(now);
    this->sweep(now, this->shards[this->sweep_at]);
    this->sweep_at = (this->sweep_at + 1) % shard_count;
    this->flush();
}

void executor::engine::refuse(const decision_handler& done, refusal reason)
{
    ++this->total.refused;
    this->answer(done, {.kind = decision_kind::refuse, .reason = std::move(reason)});
}

void executor::engine::answer(const decision_handler& done, decision reply)
{
    this->answers.emplace_back(done, std::move(reply));
}

// Calls the handlers after all changes of state, because they may call this object.
void executor::engine::flush()
{
    while (!this->answers.empty())
    {
        auto [done, reply] = std::move(this->answers.front());
        this->answers.pop_front();
        done(std::move(reply));
    }
}

std::optional<std::string> executor::engine::issue_key(wall_time wall_now)
{
    std::vector<std::size_t> own_shards;
    std::vector<std::size_t> near_shards;
    std::vector<std::size_t> any_shards;
    for (std::size_t index = 0; index < shard_count; ++index)
    {
        const member& primary = this->shards[index].current.primary;
        if (!primary)
            continue;
        any_shards.push_back(index);
        if (primary.same_process(this->self))
            own_shards.push_back(index);
        const auto found = this->peers.find(primary.id);
        if (this->is_live(primary) && found != this->peers.end() &&
            found->second.info.data_centre == this->opts.data_centre)
            near_shards.push_back(index);
    }
    const auto& choice = !own_shards.empty()
                             ? own_shards
                             : (!near_shards.empty() ? near_shards : any_shards);
    if (choice.empty())
        return std::nullopt;
    const std::size_t index = choice[this->random() % choice.size()];
    const std::string origin =
        this->self.id.value + '\n' + std::to_string(this->self.process_incarnation);
    const std::string nonce =
        std::to_string(hash_bytes(origin)) + "." + std::to_string(this->next_key++);
    return format_issued_key({.shard = static_cast<std::uint32_t>(index),
                              .epoch = this->shards[index].current.epoch,
                              .issued_at = wall_now},
                             nonce, this->opts.secret);
}

} // namespace pistachiospan::once
