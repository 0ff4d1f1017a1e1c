#include "pistachiospan/once/internal/engine.hpp"

#include <algorithm>

namespace pistachiospan::once
{

using namespace internal;
using namespace std::chrono_literals;

namespace
{

constexpr duration retry_soon = 200ms;      // a running request or a known new primary
constexpr duration retry_failover = 2s;     // about the time of a change of view
constexpr duration retry_capacity = 30s;    // records expire over an hour
constexpr duration tombstone_time = 60s;    // longer than any message is under way
constexpr duration clock_difference = 5min; // of wall clocks, at most

constexpr std::string_view repeat_same_key =
    "; repeat the request with the same Idempotency-Key to find out";
constexpr std::string_view ask_service =
    "; look at the service itself whether it took effect";

refusal unavailable(execution_status run, std::string_view what, duration retry_after)
{
    return {.code = "shard_unavailable",
            .execution = run,
            .message = std::string(what).append(repeat_same_key),
            .retry_after = retry_after};
}

} // namespace

executor::engine::engine(options given, store::table& rows, hooks hooked)
    : opts(std::move(given)), table(rows),
      outputs(std::move(hooked)), me{.id = this->opts.self,
                                     .process_incarnation = this->opts.self_incarnation},
      random(hash_bytes(this->opts.self.value,
                        this->opts.seed ^ this->opts.self_incarnation))
{
}

void executor::engine::begin(time_point now, const request& asked, decision_handler done)
{
    this->drain(now);
    this->decide(now, asked, true, std::move(done));
    this->flush();
}

bool executor::engine::serving(const shard& owner, time_point now) const
{
    return owner.current.primary.is(this->me) && owner.has_state &&
           now >= owner.serve_from;
}

// Whether no other VM can execute a key of which this primary has no record: each other
// VM that may be a member of the newest view has promised so. Successors after a loss
// of all records execute no key of this epoch.
bool executor::engine::exclusive(const shard& owner, time_point now) const
{
    if (!this->serving(owner, now))
        return false;
    const proposal& proposed = owner.proposed;
    const bool maybe_written = proposed.call != 0 || proposed.uncertain;
    if (maybe_written && !proposed.next.primary.is(this->me))
        return false;
    if (owner.backup && now >= owner.backup->exclusive_until)
        return false;
    return !owner.joiner || !owner.joiner->proposed ||
           now < owner.joiner->exclusive_until;
}

execution_status executor::engine::claim(const shard& owner, time_point now) const
{
    return this->exclusive(owner, now) ? execution_status::not_executed
                                       : execution_status::unknown;
}

void executor::engine::decide(time_point now, const request& asked, bool may_wait,
                              decision_handler done)
{
    if (asked.key.empty() || asked.key.size() > max_key_size)
        return this->refuse(done, {.code = "invalid_key",
                                   .execution = execution_status::not_executed,
                                   .message = "the idempotency key must have 1 to 256 "
                                              "bytes; choose another key"});
    std::optional<issued_key> issued;
    if (asked.key.starts_with(issued_prefix))
    {
        result<issued_key> read = read_issued_key(asked.key, this->opts.secret);
        if (!read)
            return this->refuse(done, {.code = "invalid_key",
                                       .execution = execution_status::not_executed,
                                       .message = read.error().message});
        issued = read.value();
    }
    const record_id id = identify(asked.account, asked.key);
    const std::size_t index = issued ? issued->shard : id.high % shard_count;
    shard& owner = this->shards[index];
    if (!this->serving(owner, now))
    {
        const view& known = owner.current;
        const bool soon = known.primary.is(this->me) || asked.relay_count >= max_relays ||
                          (asked.relay_count > 0 &&
                           (known.backup.is(this->me) || owner.joining != nullptr));
        if (may_wait && soon)
            return this->park(now, asked, index, std::move(done));
        return this->decide_elsewhere(now, asked, index, done);
    }
    const auto found = owner.records.find(id);
    if (found != owner.records.end() && found->second.state != record_state::free)
        return this->decide_recorded(now, asked, found->second, std::move(done));
    if (may_wait && this->handing_over(owner))
        return this->park(now, asked, index, std::move(done));
    if (auto refused = this->check_new(now, asked, owner, issued ? &*issued : nullptr))
        return this->prove(now, index, id, std::move(*refused), std::move(done));
    this->start(now, asked, index, id, std::move(done));
}

// Waits for a view that is about to change, for the time of an acknowledgement.
void executor::engine::park(time_point now, const request& asked, std::size_t index,
                            decision_handler done)
{
    this->parked.push_back({.account = std::string(asked.account),
                            .key = std::string(asked.key),
                            .asked = asked,
                            .shard = index,
                            .since = now,
                            .done = std::move(done)});
}

void executor::engine::retry_parked(time_point now, std::optional<std::size_t> only_shard)
{
    std::vector<parked_request> waiting = std::move(this->parked);
    this->parked.clear();
    for (parked_request& each : waiting)
    {
        const bool overdue = now - each.since >= this->opts.ack_timeout;
        const shard& owner = this->shards[each.shard];
        const bool settled = this->serving(owner, now) && !this->handing_over(owner);
        const bool adopted = only_shard && *only_shard == each.shard;
        if (!overdue && !settled && !adopted)
        {
            this->parked.push_back(std::move(each));
            continue;
        }
        request asked = each.asked;
        asked.account = each.account;
        asked.key = each.key;
        const time_point since = each.since;
        const std::size_t before = this->parked.size();
        this->decide(now, asked, !overdue, std::move(each.done));
        if (this->parked.size() > before)
            this->parked.back().since = since;
    }
}

bool executor::engine::handing_over(const shard& owner) const
{
    const proposal& proposed = owner.proposed;
    const bool maybe_written = proposed.call != 0 || proposed.uncertain;
    return owner.closing || (maybe_written && !proposed.next.primary.is(this->me));
}

bool executor::engine::has_pending(std::size_t index) const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(),
                       [&](const auto& each)
                       { return each.second.shard == index && !each.second.permitted; });
}

// A VM that does not serve the shard knows nothing of the key, so it never says "no".
void executor::engine::decide_elsewhere(time_point now, const request& asked,
                                        std::size_t index, const decision_handler& done)
{
    const shard& owner = this->shards[index];
    const member& primary = owner.current.primary;
    if (primary.is(this->me))
    {
        const duration wait = owner.has_state ? owner.serve_from - now : retry_failover;
        return this->refuse(done, unavailable(execution_status::unknown,
                                              "this VM has just taken the shard of this "
                                              "key and does not serve it yet",
                                              wait));
    }
    if (asked.relay_count < max_relays && primary && this->is_live(primary))
        return this->answer(done, {.kind = decision_kind::relay, .relay_to = primary.id});
    this->rescan(now);
    this->refuse(done, unavailable(execution_status::unknown,
                                   "the VM that holds the shard of this key is not "
                                   "reachable from here",
                                   asked.relay_count > 0 ? retry_soon : retry_failover));
}

void executor::engine::decide_recorded(time_point now, const request& asked,
                                       record& found, decision_handler done)
{
    if (found.fingerprint != asked.fingerprint)
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
            {.deadline = std::max(now, asked.deadline), .done = std::move(done)});
        return;
    }
    this->refuse(done,
                 {.code = "outcome_unknown",
                  .execution = execution_status::unknown,
                  .message = std::string("the request was started and its VM was lost "
                                         "before the outcome was recorded")
                                 .append(ask_service),
                  .retry_after = retry_failover});
}

std::optional<refusal> executor::engine::check_new(time_point now, const request& asked,
                                                   const shard& owner,
                                                   const issued_key* issued)
{
    const execution_status run = this->claim(owner, now);
    if (issued != nullptr)
    {
        const duration age = asked.wall_now - issued->issued;
        if (issued->epoch > owner.current.epoch)
        {
            this->rescan(now);
            return unavailable(execution_status::unknown,
                               "this VM no longer holds the shard", retry_failover);
        }
        if (issued->epoch < owner.current.epoch)
            return refusal{
                .code = "records_lost",
                .execution = execution_status::unknown,
                .message =
                    std::string("the records of this key were lost").append(ask_service)};
        if (age > this->opts.key_lifetime || age < -clock_difference)
            return refusal{.code = "key_expired",
                           .execution = execution_status::unknown,
                           .message = std::string("the issued key is too old, or from "
                                                  "a VM whose clock is wrong")
                                          .append(ask_service)};
    }
    else if (now < owner.unknown_until)
        return refusal{.code = "records_lost",
                       .execution = execution_status::unknown,
                       .message = std::string("the records of this key's shard were "
                                              "lost; use a key issued by this system, or")
                                      .append(ask_service.substr(1)),
                       .retry_after = owner.unknown_until - now};
    else if (!owner.confirmed_at ||
             now - *owner.confirmed_at > this->opts.unconfirmed_limit)
        return refusal{.code = "unconfirmed_view",
                       .execution = execution_status::unknown,
                       .message = std::string("the store has not confirmed for long that "
                                              "this VM holds the shard")
                                      .append(repeat_same_key),
                       .retry_after = retry_capacity};
    if (asked.deadline <= now)
        return refusal{
            .code = "deadline_exceeded",
            .execution = run,
            .message = std::string("the deadline has passed").append(repeat_same_key)};
    if (this->records_held >= this->opts.max_records)
        return refusal{.code = "records_full",
                       .execution = run,
                       .message = std::string("this VM has no room for a further record")
                                      .append(repeat_same_key),
                       .retry_after = retry_capacity};
    if (owner.backup && (owner.backup->silent || owner.backup->refused))
        return unavailable(run, "the backup of this key's shard does not answer",
                           retry_failover);
    if (this->handing_over(owner))
        return unavailable(run, "the shard of this key is being handed over", retry_soon);
    return std::nullopt;
}

// Refuses; when only a promise of the backup is missing, asks for it first.
void executor::engine::prove(time_point now, std::size_t index, const record_id& id,
                             refusal reason, decision_handler done)
{
    replica* backup = this->shards[index].backup.get();
    const bool provable = reason.code == "records_full" &&
                          reason.execution == execution_status::unknown &&
                          backup != nullptr && !backup->silent && !backup->refused;
    if (!provable)
        return this->refuse(done, std::move(reason));
    this->unproven.push_back({.shard = index,
                              .id = id,
                              .started = now,
                              .reason = std::move(reason),
                              .done = std::move(done)});
    if (now - backup->last_sent >= this->opts.resend_after / 2)
        this->send_part(now, this->shards[index], *backup);
}

void executor::engine::answer_unproven(time_point now)
{
    const auto rest =
        std::stable_partition(this->unproven.begin(), this->unproven.end(),
                              [&](const unproven_refusal& each)
                              {
                                  return now - each.started < this->opts.ack_timeout &&
                                         !this->exclusive(this->shards[each.shard], now);
                              });
    for (auto at = rest; at != this->unproven.end(); ++at)
    {
        const shard& owner = this->shards[at->shard];
        const auto found = owner.records.find(at->id);
        const bool free =
            found == owner.records.end() || found->second.state == record_state::free;
        if (free)
            at->reason.execution = this->claim(owner, now);
        this->refuse(at->done, std::move(at->reason));
    }
    this->unproven.erase(rest, this->unproven.end());
}

void executor::engine::start(time_point now, const request& asked, std::size_t index,
                             const record_id& id, decision_handler done)
{
    shard& owner = this->shards[index];
    const auto [place, added] = owner.records.try_emplace(id);
    this->records_held += added ? 1 : 0;
    record& created = place->second;
    const attempt_id name = this->next_attempt++;
    created.fingerprint = asked.fingerprint;
    created.running = name;
    attempt begun{.shard = index, .id = id, .started = now};
    begun.needs_backup = owner.backup != nullptr;
    begun.needs_joiner = owner.joiner && owner.joiner->barrier != 0;
    begun.waiters.push_back({.deadline = asked.deadline, .done = std::move(done)});
    const auto found = this->attempts.emplace(name, std::move(begun)).first;
    this->change(now, owner, id, created, record_state::intent);
    created.attempt = created.changed;
    found->second.number = created.changed;
    if (owner.backup)
        this->replicate(now, owner, *owner.backup, id, created);
    if (owner.joiner)
        this->replicate(now, owner, *owner.joiner, id, created);
    this->permit_if_acknowledged(now, found);
}

void executor::engine::permit_if_acknowledged(time_point now, attempt_map::iterator found)
{
    const attempt& waiting = found->second;
    if (!waiting.permitted && !waiting.needs_backup && !waiting.needs_joiner)
        this->permit(now, found);
}

// Lets the first caller that still waits execute the request.
void executor::engine::permit(time_point now, attempt_map::iterator found)
{
    attempt& begun = found->second;
    const auto first =
        std::find_if(begun.waiters.begin(), begun.waiters.end(),
                     [&](const waiter& each) { return each.deadline > now; });
    if (first == begun.waiters.end())
    {
        this->give_up(now, found,
                      {.code = "deadline_exceeded",
                       .execution = execution_status::not_executed,
                       .message = "the deadline has passed before the request was "
                                  "forwarded; the key may be used again"});
        return;
    }
    begun.permitted = true;
    this->answer(first->done, {.kind = decision_kind::execute, .attempt = found->first});
    begun.waiters.erase(first);
}

// Ends an attempt that was never permitted. A late acknowledgement finds no attempt.
executor::engine::attempt_map::iterator
executor::engine::give_up(time_point now, attempt_map::iterator found,
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
    shard& owner = this->shards[ended.shard];
    const auto place = owner.records.find(ended.id);
    const bool recorded =
        place != owner.records.end() && place->second.attempt == ended.number;
    if (!owner.current.primary.is(this->me) || !owner.has_state)
        return this->owe_resolution(now, ended, state, result);
    if (!recorded)
        return;
    record& changed = place->second;
    changed.running = 0;
    if (state == record_state::completed)
        this->set_result(changed, std::make_unique<outcome>(result));
    this->change(now, owner, ended.id, changed, state);
    if (owner.backup)
        this->replicate(now, owner, *owner.backup, ended.id, changed);
    if (owner.joiner)
        this->replicate(now, owner, *owner.joiner, ended.id, changed);
}

void executor::engine::finish(time_point now, attempt_id name, outcome result)
{
    this->drain(now);
    const auto found = this->attempts.find(name);
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
            this->refuse(
                each.done,
                {.code = "outcome_unknown",
                 .execution = execution_status::unknown,
                 .message =
                     std::string("the upstream did not answer").append(ask_service)});
    }
    this->flush();
}

// Keeps answers small. The caller of the attempt itself gets the complete answer.
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

// Refuses requests whose acknowledgements or deadlines are overdue.
void executor::engine::expire_waiters(time_point now)
{
    for (auto at = this->attempts.begin(); at != this->attempts.end();)
    {
        attempt& each = at->second;
        shard& owner = this->shards[each.shard];
        if (!each.permitted && now - each.started >= this->opts.ack_timeout)
        {
            replica* late = each.needs_backup ? owner.backup.get() : owner.joiner.get();
            if (late != nullptr && !late->silent)
            {
                late->silent = true;
                late->silent_since = each.started;
            }
            at = this->give_up(
                now, at,
                unavailable(this->claim(owner, now),
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
                     std::string("the request is still running").append(repeat_same_key),
                 .retry_after = retry_soon});
        if (each.permitted)
            each.waiters.erase(overdue, each.waiters.end());
        ++at;
    }
}

// Forgets records whose time is over. A record of a running request has no end yet, and
// a change that the backup does not hold is still needed.
void executor::engine::sweep(time_point now, shard& owner)
{
    const auto expired = [&](const record_table::value_type& held)
    {
        const record& kept = held.second;
        if (kept.state == record_state::intent || kept.running != 0)
            return false;
        for (const replica* each : {owner.backup.get(), owner.joiner.get()})
        {
            if (each != nullptr && each->unacknowledged.contains(kept.changed))
                return false;
        }
        const bool tombstone = kept.state == record_state::free;
        return now - kept.since > (tombstone ? tombstone_time : this->opts.retention);
    };
    for (auto at = owner.records.begin(); at != owner.records.end();)
    {
        if (!expired(*at))
        {
            ++at;
            continue;
        }
        this->set_result(at->second, nullptr);
        at = owner.records.erase(at);
        --this->records_held;
    }
}

void executor::engine::tick(time_point now)
{
    this->drain(now);
    constexpr duration longest_tick = 2s;
    if (now - this->last_tick > longest_tick)
    {
        // This process was paused: what it knows of its peers is old.
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
    this->answer_unproven(now);
    this->retry_parked(now, std::nullopt);
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

void executor::engine::answer(const decision_handler& done, decision made)
{
    this->answers.emplace_back(done, std::move(made));
}

// Calls the handlers last, because they may call this object again.
void executor::engine::flush()
{
    while (!this->answers.empty())
    {
        auto [done, made] = std::move(this->answers.front());
        this->answers.pop_front();
        done(std::move(made));
    }
}

std::optional<std::string> executor::engine::issue_key(wall_time wall_now)
{
    std::vector<std::size_t> own;
    std::vector<std::size_t> near;
    std::vector<std::size_t> any;
    for (std::size_t index = 0; index < shard_count; ++index)
    {
        const member& primary = this->shards[index].current.primary;
        if (!primary)
            continue;
        any.push_back(index);
        if (primary.is(this->me))
            own.push_back(index);
        const auto found = this->others.find(primary.id);
        if (this->is_live(primary) && found != this->others.end() &&
            found->second.known.data_centre == this->opts.data_centre)
            near.push_back(index);
    }
    const auto& choice = !own.empty() ? own : (!near.empty() ? near : any);
    if (choice.empty())
        return std::nullopt;
    const std::size_t index = choice[this->random() % choice.size()];
    const std::string origin =
        this->me.id.value + '\n' + std::to_string(this->me.process_incarnation);
    const std::string nonce =
        std::to_string(hash_bytes(origin)) + "." + std::to_string(this->next_key++);
    return write_issued_key({.shard = static_cast<std::uint32_t>(index),
                             .epoch = this->shards[index].current.epoch,
                             .issued = wall_now},
                            nonce, this->opts.secret);
}

} // namespace pistachiospan::once
