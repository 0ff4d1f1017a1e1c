#include "pistachiospan/once/internal/engine.hpp"

#include <algorithm>

namespace pistachiospan::once
{

using namespace internal;
using namespace std::chrono_literals;

namespace
{

constexpr duration resolution_time = 60s;  // after that the key stays unknown
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

entry make_entry(time_point now, const record_id& id, const record& from)
{
    entry made{.id = id,
               .fingerprint = from.fingerprint,
               .changed = from.changed,
               .attempt = from.attempt,
               .state = from.state,
               .age = (now - from.since).count()};
    if (from.result)
        made.result = *from.result;
    return made;
}

} // namespace

void executor::engine::send(const vm_id& to, std::string_view type,
                            const wire::body& body)
{
    ++this->total.messages;
    this->outputs.send(to, type, body);
}

void executor::engine::set_result(record& changed, std::unique_ptr<outcome> result)
{
    this->kept_bytes -= kept_size(changed);
    changed.result = std::move(result);
    this->kept_bytes += kept_size(changed);
}

void executor::engine::clear(record_table& records)
{
    for (auto& [id, each] : records)
        this->set_result(each, nullptr);
    this->records_held -= records.size();
    records.clear();
}

void executor::engine::change(time_point now, shard& owner, const record_id& id,
                              record& changed, record_state state)
{
    if (state != record_state::completed)
        this->set_result(changed, nullptr);
    for (replica* each : {owner.backup.get(), owner.joiner.get()})
    {
        if (each == nullptr)
            continue;
        each->unacknowledged.erase(changed.changed);
    }
    changed.changed = make_version(owner.current.number, owner.next_sequence++);
    changed.state = state;
    changed.since = now;
    for (replica* each : {owner.backup.get(), owner.joiner.get()})
    {
        if (each != nullptr)
            each->unacknowledged.emplace(changed.changed, id);
    }
}

void executor::engine::replicate(time_point now, shard& owner, replica& target,
                                 const record_id& id, const record& changed)
{
    const bool intent = changed.state == record_state::intent;
    this->send_update(now, owner, target, intent ? "intent" : "outcome",
                      {make_entry(now, id, changed)});
}

void executor::engine::send_update(time_point now, shard& owner, replica& target,
                                   std::string_view type, std::vector<entry> entries)
{
    const update message{
        .shard = static_cast<std::uint32_t>(&owner - this->shards.data()),
        .view_number = owner.current.number,
        .from_started = this->me.process_incarnation,
        .to_started = target.who.process_incarnation,
        .transfer = target.transfer,
        .sent = now.time_since_epoch().count(),
        .unknown_for = std::max(duration(0), owner.unknown_until - now).count(),
        .entries = std::move(entries)};
    target.last_sent = now;
    this->send(target.who.id, type, message);
}

// Sends the oldest unacknowledged changes, at most one part.
void executor::engine::send_part(time_point now, shard& owner, replica& target)
{
    std::vector<entry> entries;
    std::size_t size = 0;
    for (const auto& [number, id] : target.unacknowledged)
    {
        const record& each = owner.records.at(id);
        size += encoded_size(each);
        if (size > max_part_size && !entries.empty())
            break;
        entries.push_back(make_entry(now, id, each));
        target.part_end = number;
    }
    this->send_update(now, owner, target, "shard_state", std::move(entries));
}

void executor::engine::resend(time_point now, shard& owner, replica& target)
{
    const bool heard = target.exclusive_until > time_point{};
    const bool probe = target.silent || (target.transfer != 0 && !heard);
    if (target.unacknowledged.empty() && !probe)
        return;
    if (now - target.last_sent < this->opts.resend_after)
        return;
    this->send_part(now, owner, target);
}

void executor::engine::receive(time_point now, const vm_id& from, std::string_view type,
                               const wire::body& body)
{
    this->drain(now);
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

// Finds the records that an update belongs to. Null with ack_status::held: the update is
// out of date and needs no answer.
ack_status executor::engine::place(time_point now, const vm_id& from,
                                   const update& received, record_table*& target)
{
    shard& owner = this->shards[received.shard];
    const member sender{.id = from, .process_incarnation = received.from_started};
    const bool known = owner.current.number == received.view_number;
    if (received.view_number < owner.current.number)
        return ack_status::newer;
    if (known && !owner.current.primary.is(sender))
        return ack_status::held;
    if (received.transfer == 0)
    {
        if (!known)
            return ack_status::behind;
        if (!owner.current.backup.is(this->me))
            return ack_status::held;
        if (!owner.has_state)
            return ack_status::no_state;
        target = &owner.records;
        return ack_status::held;
    }
    if (owner.joining && owner.joining->transfer > received.transfer)
        return ack_status::held;
    if (!owner.joining || owner.joining->transfer != received.transfer)
    {
        if (owner.joining)
            this->clear(owner.joining->records);
        owner.joining = std::make_unique<staging>();
        owner.joining->transfer = received.transfer;
    }
    owner.joining->unknown_for = duration(received.unknown_for);
    owner.joining->last_heard = now;
    target = &owner.joining->records;
    return ack_status::held;
}

ack_status executor::engine::apply(time_point now, record_table& target, update& received,
                                   std::vector<version>& held)
{
    ack_status status = ack_status::held;
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
                held.push_back(each.changed);
                continue;
            }
            found = target.try_emplace(each.id).first;
            ++this->records_held;
        }
        held.push_back(each.changed);
        record& stored = found->second;
        if (stored.changed >= each.changed)
            continue;
        stored.fingerprint = each.fingerprint;
        stored.changed = each.changed;
        stored.attempt = each.attempt;
        stored.state = each.state;
        stored.since = now - duration(each.age);
        stored.running = 0;
        std::unique_ptr<outcome> kept;
        if (each.state == record_state::completed)
        {
            this->limit_size(each.result);
            kept = std::make_unique<outcome>(std::move(each.result));
        }
        this->set_result(stored, std::move(kept));
    }
    return status;
}

void executor::engine::on_update(time_point now, const vm_id& from, update received)
{
    if (received.to_started != this->me.process_incarnation)
        return;
    shard& owner = this->shards[received.shard];
    record_table* target = nullptr;
    ack answer{.shard = received.shard,
               .view_number = received.view_number,
               .from_started = this->me.process_incarnation,
               .transfer = received.transfer,
               .sent = received.sent};
    answer.status = this->place(now, from, received, target);
    if (answer.status == ack_status::newer)
        this->announce_to(from, received.shard);
    if (answer.status == ack_status::held && target == nullptr)
        return;
    if (target != nullptr)
    {
        answer.status = this->apply(now, *target, received, answer.versions);
        // Longer than the primary counts on, for clocks of different rates.
        const duration promised =
            this->opts.ack_lease + this->opts.ack_lease / 100 + 50ms;
        owner.promised_until = std::max(owner.promised_until, now + promised);
    }
    const bool urgent =
        answer.status != ack_status::held || received.transfer != 0 ||
        received.entries.empty() ||
        std::any_of(received.entries.begin(), received.entries.end(),
                    [](const entry& each) { return each.state == record_state::intent; });
    if (owner.owed_ack && received.transfer == 0 && target != nullptr)
    {
        answer.versions.insert(answer.versions.end(), owner.owed_ack->versions.begin(),
                               owner.owed_ack->versions.end());
        answer.sent = std::max(answer.sent, owner.owed_ack->sent);
        owner.owed_ack.reset();
    }
    if (urgent)
        this->send(from, "intent_ack", answer);
    else
        owner.owed_ack = std::make_unique<ack>(std::move(answer));
}

// Acknowledges outcomes, for which no request waits, together.
void executor::engine::send_owed_ack(shard& owner)
{
    if (!owner.owed_ack)
        return;
    this->send(owner.current.primary.id, "intent_ack", *owner.owed_ack);
    owner.owed_ack.reset();
}

void executor::engine::on_ack(time_point now, const vm_id& from, const ack& received)
{
    shard& owner = this->shards[received.shard];
    const member sender{.id = from, .process_incarnation = received.from_started};
    if (!owner.current.primary.is(this->me) ||
        received.view_number != owner.current.number)
        return;
    for (replica* target : {owner.backup.get(), owner.joiner.get()})
    {
        if (target == nullptr || !target->who.is(sender) ||
            target->transfer != received.transfer)
            continue;
        if (received.status == ack_status::held || received.status == ack_status::full)
            this->on_held(now, owner, *target, received);
        if (received.status == ack_status::full)
            this->on_full(now, owner, *target, received);
        if (received.status == ack_status::behind)
            this->announce_to(from, received.shard);
        if (received.status == ack_status::no_state)
            target->refused = true;
        return;
    }
}

void executor::engine::on_held(time_point now, shard& owner, replica& target,
                               const ack& received)
{
    const bool joining = target.transfer != 0;
    const time_point sent = std::min(now, time_point(duration(received.sent)));
    target.exclusive_until =
        std::max(target.exclusive_until, sent + this->opts.ack_lease);
    target.silent = false;
    for (const version number : received.versions)
    {
        const auto held = target.unacknowledged.find(number);
        if (held == target.unacknowledged.end())
            continue;
        const attempt_id name = owner.records.at(held->second).running;
        target.unacknowledged.erase(held);
        const auto found = this->attempts.find(name);
        if (found == this->attempts.end() || found->second.number != number)
            continue;
        (joining ? found->second.needs_joiner : found->second.needs_backup) = false;
        this->permit_if_acknowledged(now, found);
    }
    if (!this->unproven.empty())
        this->answer_unproven(now);
    const bool part_held = target.unacknowledged.empty() ||
                           target.unacknowledged.begin()->first > target.part_end;
    if (target.part_end == 0 || !part_held)
        return;
    target.part_end = 0;
    if (joining && target.barrier == 0 && !target.unacknowledged.empty())
        this->send_part(now, owner, target);
}

// Nothing was permitted for records that the replica has no room for.
void executor::engine::on_full(time_point now, shard& owner, replica& target,
                               const ack& /*received*/)
{
    if (target.transfer != 0)
    {
        target.refused = true;
        return;
    }
    const std::size_t index = &owner - this->shards.data();
    for (auto at = this->attempts.begin(); at != this->attempts.end();)
    {
        if (at->second.shard != index || at->second.permitted || !at->second.needs_backup)
        {
            ++at;
            continue;
        }
        at = this->give_up(now, at,
                           {.code = "records_full",
                            .execution = this->claim(owner, now),
                            .message = "the backup of this key's shard has no room for a "
                                       "further record; repeat the request with the same "
                                       "Idempotency-Key later",
                            .retry_after = 30s});
    }
}

void executor::engine::owe_resolution(time_point now, const attempt& ended,
                                      record_state state, const outcome& result)
{
    const std::uint64_t serial = this->next_serial++;
    owed_resolution& owed = this->resolutions[serial];
    owed.created = now;
    owed.last_sent = now - this->opts.resend_after;
    owed.value = {.shard = static_cast<std::uint32_t>(ended.shard),
                  .from_started = this->me.process_incarnation,
                  .serial = serial};
    owed.value.value.id = ended.id;
    owed.value.value.attempt = ended.number;
    owed.value.value.state = state;
    owed.value.value.result = result;
}

void executor::engine::resend_resolutions(time_point now)
{
    std::erase_if(this->resolutions, [&](const auto& each)
                  { return now - each.second.created > resolution_time; });
    for (auto& [serial, owed] : this->resolutions)
    {
        const shard& owner = this->shards[owed.value.shard];
        const member& primary = owner.current.primary;
        if (now - owed.last_sent < this->opts.resend_after || !primary)
            continue;
        owed.last_sent = now;
        if (primary.is(this->me))
        {
            this->on_resolution(now, this->me.id, owed.value);
            owed.created = now - 2 * resolution_time;
        }
        else
            this->send(primary.id, "outcome", owed.value);
    }
}

// The VM that made an attempt knows its outcome even when it is not the primary any more.
void executor::engine::on_resolution(time_point now, const vm_id& from,
                                     resolution received)
{
    shard& owner = this->shards[received.shard];
    if (!owner.current.primary.is(this->me) || !owner.has_state)
        return;
    const auto found = owner.records.find(received.value.id);
    const bool open = found != owner.records.end() && found->second.running == 0 &&
                      found->second.state == record_state::unknown &&
                      found->second.attempt == received.value.attempt;
    if (open && received.value.state != record_state::unknown &&
        received.value.state != record_state::intent)
    {
        record& changed = found->second;
        if (received.value.state == record_state::completed)
        {
            this->limit_size(received.value.result);
            this->set_result(changed,
                             std::make_unique<outcome>(std::move(received.value.result)));
        }
        this->change(now, owner, found->first, changed, received.value.state);
        if (owner.backup)
            this->replicate(now, owner, *owner.backup, found->first, changed);
        if (owner.joiner)
            this->replicate(now, owner, *owner.joiner, found->first, changed);
    }
    if (from != this->me.id)
        this->send(from, "intent_ack", {{"resolved", received.serial}});
}

} // namespace pistachiospan::once
