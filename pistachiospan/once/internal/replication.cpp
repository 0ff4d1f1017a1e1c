#include "pistachiospan/once/internal/engine.hpp"

#include <algorithm>

namespace pistachiospan::once
{

using namespace internal;
using namespace std::chrono_literals;

namespace
{

constexpr duration resolution_timeout = 60s; // then the outcome stays unknown
constexpr std::size_t entry_overhead = 96; // encoded size of a record without its result

std::size_t encoded_size(const record& value)
{
    if (!value.result)
        return entry_overhead;
    std::size_t size = entry_overhead + value.result->body.size();
    for (const auto& [name, text] : value.result->headers)
        size += name.size() + text.size() + 8;
    return size;
}

std::size_t kept_size(const record& value)
{
    return value.result ? encoded_size(value) - entry_overhead : 0;
}

entry make_entry(time_point now, const record_id& id, const record& source)
{
    entry encoded{.id = id,
                  .fingerprint = source.fingerprint,
                  .last_change = source.last_change,
                  .attempt = source.attempt,
                  .state = source.state,
                  .age = (now - source.since).count()};
    if (source.result)
        encoded.result = *source.result;
    return encoded;
}

} // namespace

void executor::engine::send(const vm_id& to, std::string_view type,
                            const wire::body& body)
{
    ++this->total.messages;
    this->outputs.send(to, type, body);
}

void executor::engine::set_result(record& updated, std::unique_ptr<outcome> result)
{
    this->kept_bytes -= kept_size(updated);
    updated.result = std::move(result);
    this->kept_bytes += kept_size(updated);
}

void executor::engine::clear(record_table& records)
{
    for (auto& [id, each] : records)
        this->set_result(each, nullptr);
    this->records_held -= records.size();
    records.clear();
}

void executor::engine::change(time_point now, shard& local_shard, const record_id& id,
                              record& updated, record_state state)
{
    if (state != record_state::completed)
        this->set_result(updated, nullptr);
    for (replica* each : {local_shard.backup.get(), local_shard.joiner.get()})
    {
        if (each == nullptr)
            continue;
        each->unacknowledged.erase(updated.last_change);
    }
    updated.last_change =
        make_version(local_shard.current.number, local_shard.next_sequence++);
    updated.state = state;
    updated.since = now;
    for (replica* each : {local_shard.backup.get(), local_shard.joiner.get()})
    {
        if (each != nullptr)
            each->unacknowledged.emplace(updated.last_change, id);
    }
}

void executor::engine::replicate(time_point now, shard& local_shard, replica& target,
                                 const record_id& id, const record& updated)
{
    const bool intent = updated.state == record_state::intent;
    this->send_update(now, local_shard, target, intent ? "intent" : "outcome",
                      {make_entry(now, id, updated)});
}

void executor::engine::send_update(time_point now, shard& local_shard, replica& target,
                                   std::string_view type, std::vector<entry> entries)
{
    const update message{
        .shard = static_cast<std::uint32_t>(&local_shard - this->shards.data()),
        .view_number = local_shard.current.number,
        .from_incarnation = this->self.process_incarnation,
        .to_incarnation = target.who.process_incarnation,
        .transfer = target.transfer,
        .sent = now.time_since_epoch().count(),
        .unknown_for = std::max(duration(0), local_shard.unknown_until - now).count(),
        .entries = std::move(entries)};
    target.last_sent = now;
    this->send(target.who.id, type, message);
}

// Sends the oldest unacknowledged changes, at most `max_part_size` bytes.
void executor::engine::send_part(time_point now, shard& local_shard, replica& target)
{
    std::vector<entry> entries;
    std::size_t size = 0;
    for (const auto& [number, id] : target.unacknowledged)
    {
        const record& each = local_shard.records.at(id);
        size += encoded_size(each);
        if (size > max_part_size && !entries.empty())
            break;
        entries.push_back(make_entry(now, id, each));
        target.part_end = number;
    }
    this->send_update(now, local_shard, target, "shard_state", std::move(entries));
}

void executor::engine::resend(time_point now, shard& local_shard, replica& target)
{
    const bool answered = target.exclusive_until > time_point{};
    const bool probe = target.silent || (target.transfer != 0 && !answered);
    if (target.unacknowledged.empty() && !probe)
        return;
    if (now - target.last_sent < this->opts.resend_after)
        return;
    this->send_part(now, local_shard, target);
}

void executor::engine::receive(time_point now, const vm_id& from, std::string_view type,
                               const wire::body& body)
{
    this->run_store_handlers(now);
    const auto refuse_malformed = [&]
    {
        ++this->total.malformed;
    };
    if (body.is_array() && type != "intent_ack")
    {
        result<update> received = wire::decode<update>(body);
        if (received && received.value().shard < shard_count)
            this->on_update(now, from, std::move(received.value()));
        else
            refuse_malformed();
    }
    else if (body.is_array())
    {
        const result<ack> received = wire::decode<ack>(body);
        if (received && received.value().shard < shard_count)
            this->on_ack(now, from, received.value());
        else
            refuse_malformed();
    }
    else if (type == "shard_state")
    {
        const result<announcement> received = wire::decode<announcement>(body);
        if (received && received.value().shard < shard_count)
            this->adopt(now, received.value().shard, received.value().value);
        else
            refuse_malformed();
    }
    else if (type == "outcome")
    {
        result<resolution> received = wire::decode<resolution>(body);
        if (received && received.value().shard < shard_count)
            this->on_resolution(now, from, std::move(received.value()));
        else
            refuse_malformed();
    }
    else if (type == "intent_ack" && body.is_object() && body.contains("resolved") &&
             body["resolved"].is_number_unsigned())
        this->resolutions.erase(body["resolved"].get<std::uint64_t>());
    else
        refuse_malformed();
    this->flush();
}

// Finds the records that an update belongs to. If `target` stays null and the status is
// ack_status::stored, the update is outdated and needs no answer.
ack_status executor::engine::locate_records(time_point now, const vm_id& from,
                                            const update& received, record_table*& target)
{
    shard& local_shard = this->shards[received.shard];
    const member sender{.id = from, .process_incarnation = received.from_incarnation};
    const bool known = local_shard.current.number == received.view_number;
    if (received.view_number < local_shard.current.number)
        return ack_status::newer_view;
    if (known && !local_shard.current.primary.same_process(sender))
        return ack_status::stored;
    if (received.transfer == 0)
    {
        if (!known)
            return ack_status::unknown_view;
        if (!local_shard.current.backup.same_process(this->self))
            return ack_status::stored;
        if (!local_shard.has_records)
            return ack_status::no_records;
        target = &local_shard.records;
        return ack_status::stored;
    }
    if (local_shard.joining && local_shard.joining->transfer > received.transfer)
        return ack_status::stored;
    if (!local_shard.joining || local_shard.joining->transfer != received.transfer)
    {
        if (local_shard.joining)
            this->clear(local_shard.joining->records);
        local_shard.joining = std::make_unique<staging>();
        local_shard.joining->transfer = received.transfer;
    }
    local_shard.joining->unknown_for = duration(received.unknown_for);
    local_shard.joining->last_heard_at = now;
    target = &local_shard.joining->records;
    return ack_status::stored;
}

ack_status executor::engine::apply(time_point now, record_table& target, update& received,
                                   std::vector<version>& acknowledged)
{
    ack_status status = ack_status::stored;
    for (entry& each : received.entries)
    {
        auto found = target.find(each.id);
        if (found == target.end())
        {
            const bool room = this->records_held < this->opts.max_records;
            if (!room && each.state != record_state::free)
            {
                status = ack_status::full;
                continue;
            }
            if (!room)
            {
                acknowledged.push_back(each.last_change);
                continue;
            }
            found = target.try_emplace(each.id).first;
            ++this->records_held;
        }
        acknowledged.push_back(each.last_change);
        record& stored = found->second;
        if (stored.last_change >= each.last_change)
            continue;
        stored.fingerprint = each.fingerprint;
        stored.last_change = each.last_change;
        stored.attempt = each.attempt;
        stored.state = each.state;
        stored.since = now - duration(each.age);
        stored.running = 0;
        std::unique_ptr<outcome> stored_result;
        if (each.state == record_state::completed)
        {
            this->limit_size(each.result);
            stored_result = std::make_unique<outcome>(std::move(each.result));
        }
        this->set_result(stored, std::move(stored_result));
    }
    return status;
}

void executor::engine::on_update(time_point now, const vm_id& from, update received)
{
    if (received.to_incarnation != this->self.process_incarnation)
        return;
    shard& local_shard = this->shards[received.shard];
    record_table* target = nullptr;
    ack answer{.shard = received.shard,
               .view_number = received.view_number,
               .from_incarnation = this->self.process_incarnation,
               .transfer = received.transfer,
               .sent = received.sent};
    answer.status = this->locate_records(now, from, received, target);
    if (answer.status == ack_status::newer_view)
        this->announce_to(from, received.shard);
    if (answer.status == ack_status::stored && target == nullptr)
        return;
    if (target != nullptr)
    {
        answer.status = this->apply(now, *target, received, answer.versions);
        // Longer than the lease that the primary assumes, because the clocks of the two
        // VMs may run at different rates.
        const duration lease = this->opts.ack_lease + this->opts.ack_lease / 100 + 50ms;
        local_shard.lease_until = std::max(local_shard.lease_until, now + lease);
    }
    const bool urgent =
        answer.status != ack_status::stored || received.transfer != 0 ||
        received.entries.empty() ||
        std::any_of(received.entries.begin(), received.entries.end(),
                    [](const entry& each) { return each.state == record_state::intent; });
    if (local_shard.delayed_ack && received.transfer == 0 && target != nullptr)
    {
        answer.versions.insert(answer.versions.end(),
                               local_shard.delayed_ack->versions.begin(),
                               local_shard.delayed_ack->versions.end());
        answer.sent = std::max(answer.sent, local_shard.delayed_ack->sent);
        local_shard.delayed_ack.reset();
    }
    if (urgent)
        this->send(from, "intent_ack", answer);
    else
        local_shard.delayed_ack = std::make_unique<ack>(std::move(answer));
}

// Acknowledges outcomes in one message, since no request waits for them.
void executor::engine::send_delayed_ack(shard& local_shard)
{
    if (!local_shard.delayed_ack)
        return;
    this->send(local_shard.current.primary.id, "intent_ack", *local_shard.delayed_ack);
    local_shard.delayed_ack.reset();
}

void executor::engine::on_ack(time_point now, const vm_id& from, const ack& received)
{
    shard& local_shard = this->shards[received.shard];
    const member sender{.id = from, .process_incarnation = received.from_incarnation};
    if (!local_shard.current.primary.same_process(this->self) ||
        received.view_number != local_shard.current.number)
        return;
    for (replica* target : {local_shard.backup.get(), local_shard.joiner.get()})
    {
        if (target == nullptr || !target->who.same_process(sender) ||
            target->transfer != received.transfer)
            continue;
        if (received.status == ack_status::stored || received.status == ack_status::full)
            this->on_stored(now, local_shard, *target, received);
        if (received.status == ack_status::full)
            this->on_full(now, local_shard, *target, received);
        if (received.status == ack_status::unknown_view)
            this->announce_to(from, received.shard);
        if (received.status == ack_status::no_records)
            target->refused = true;
        return;
    }
}

void executor::engine::on_stored(time_point now, shard& local_shard, replica& target,
                                 const ack& received)
{
    const bool joining = target.transfer != 0;
    const time_point sent = std::min(now, time_point(duration(received.sent)));
    target.exclusive_until =
        std::max(target.exclusive_until, sent + this->opts.ack_lease);
    target.silent = false;
    for (const version number : received.versions)
    {
        const auto sent_change = target.unacknowledged.find(number);
        if (sent_change == target.unacknowledged.end())
            continue;
        const attempt_id key = local_shard.records.at(sent_change->second).running;
        target.unacknowledged.erase(sent_change);
        const auto found = this->attempts.find(key);
        if (found == this->attempts.end() || found->second.number != number)
            continue;
        (joining ? found->second.needs_joiner : found->second.needs_backup) = false;
        this->permit_if_acknowledged(now, found);
    }
    if (!this->pending_refusals.empty())
        this->answer_pending_refusals(now);
    const bool part_acknowledged = target.unacknowledged.empty() ||
                                   target.unacknowledged.begin()->first > target.part_end;
    if (target.part_end == 0 || !part_acknowledged)
        return;
    target.part_end = 0;
    if (joining && target.barrier == 0 && !target.unacknowledged.empty())
        this->send_part(now, local_shard, target);
}

// The attempts of records that the backup has no room for were not permitted, so they can
// be refused.
void executor::engine::on_full(time_point now, shard& local_shard, replica& target,
                               const ack& /*received*/)
{
    if (target.transfer != 0)
    {
        target.refused = true;
        return;
    }
    const std::size_t index = &local_shard - this->shards.data();
    for (auto at = this->attempts.begin(); at != this->attempts.end();)
    {
        if (at->second.shard != index || at->second.permitted || !at->second.needs_backup)
        {
            ++at;
            continue;
        }
        at = this->abandon(now, at,
                           {.code = "records_full",
                            .execution = this->provable_status(local_shard, now),
                            .message = "the backup of this key's shard has no room for a "
                                       "further record; repeat the request with the same "
                                       "Idempotency-Key later",
                            .retry_after = 30s});
    }
}

void executor::engine::queue_resolution(time_point now, const attempt& ended,
                                        record_state state, const outcome& result)
{
    const std::uint64_t serial = this->next_serial++;
    pending_resolution& pending = this->resolutions[serial];
    pending.created = now;
    pending.last_sent = now - this->opts.resend_after;
    pending.value = {.shard = static_cast<std::uint32_t>(ended.shard),
                     .from_incarnation = this->self.process_incarnation,
                     .serial = serial};
    pending.value.value.id = ended.id;
    pending.value.value.attempt = ended.number;
    pending.value.value.state = state;
    pending.value.value.result = result;
}

void executor::engine::resend_resolutions(time_point now)
{
    std::erase_if(this->resolutions, [&](const auto& each)
                  { return now - each.second.created > resolution_timeout; });
    for (auto& [serial, pending] : this->resolutions)
    {
        const shard& local_shard = this->shards[pending.value.shard];
        const member& primary = local_shard.current.primary;
        if (now - pending.last_sent < this->opts.resend_after || !primary)
            continue;
        pending.last_sent = now;
        if (primary.same_process(this->self))
        {
            this->on_resolution(now, this->self.id, pending.value);
            pending.created = now - 2 * resolution_timeout;
        }
        else
            this->send(primary.id, "outcome", pending.value);
    }
}

// Handles the outcome that a VM reports for its attempt after it ceased to be the
// primary.
void executor::engine::on_resolution(time_point now, const vm_id& from,
                                     resolution received)
{
    shard& local_shard = this->shards[received.shard];
    if (!local_shard.current.primary.same_process(this->self) || !local_shard.has_records)
        return;
    const auto found = local_shard.records.find(received.value.id);
    const bool open = found != local_shard.records.end() && found->second.running == 0 &&
                      found->second.state == record_state::unknown &&
                      found->second.attempt == received.value.attempt;
    if (open && received.value.state != record_state::unknown &&
        received.value.state != record_state::intent)
    {
        record& updated = found->second;
        if (received.value.state == record_state::completed)
        {
            this->limit_size(received.value.result);
            this->set_result(updated,
                             std::make_unique<outcome>(std::move(received.value.result)));
        }
        this->change(now, local_shard, found->first, updated, received.value.state);
        if (local_shard.backup)
            this->replicate(now, local_shard, *local_shard.backup, found->first, updated);
        if (local_shard.joiner)
            this->replicate(now, local_shard, *local_shard.joiner, found->first, updated);
    }
    if (from != this->self.id)
        this->send(from, "intent_ack", {{"resolved", received.serial}});
}

} // namespace pistachiospan::once
