#include "pistachiospan/once/internal/engine.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace pistachiospan::once
{

using namespace internal;
using namespace std::chrono_literals;

namespace
{

constexpr duration claim_step = 1s;       // between VMs that may claim the same shard
constexpr duration settled_time = 2s;     // a peer is live this long before it joins
constexpr duration staging_time = 60s;    // unused records of a transfer are dropped
constexpr duration first_exclusion = 10s; // doubles with each failure
constexpr duration longest_exclusion = 10min;
// At 720 VMs: one scan in 58 s each, 12.5 scans/s together.
constexpr duration scan_interval_per_vm = 80ms;
constexpr duration least_rescan = 1s;
constexpr duration store_retry = 300ms;
constexpr std::size_t barrier_backlog = 256; // changes that are soon acknowledged

std::uint64_t rendezvous(const vm_id& id, std::size_t index)
{
    return hash_bytes(id.value, index + 1);
}

} // namespace

void executor::engine::drain(time_point now)
{
    const auto ready = std::move(this->store_answers);
    this->store_answers.clear();
    for (const auto& each : ready)
        each(now);
}

void executor::engine::update_peers(time_point now, std::vector<peer> known)
{
    this->drain(now);
    std::unordered_map<vm_id, peer_state> next;
    for (peer& each : known)
    {
        peer_state state;
        const auto before = this->others.find(each.id);
        if (before != this->others.end())
            state = before->second;
        const bool was_live = before != this->others.end() && state.known.live &&
                              state.known.process_incarnation == each.process_incarnation;
        if (!was_live)
            state.live_since = now;
        state.known = std::move(each);
        next[state.known.id] = std::move(state);
    }
    this->others = std::move(next);
    if (!this->peers_since)
        this->peers_since = now;
    this->flush();
}

void executor::engine::leave(time_point /*now*/)
{
    this->leaving = true;
}

bool executor::engine::has_left() const
{
    return std::none_of(this->shards.begin(), this->shards.end(),
                        [&](const shard& each) { return each.current.names(this->me); });
}

std::size_t executor::engine::primary_count() const
{
    return static_cast<std::size_t>(std::count_if(
        this->shards.begin(), this->shards.end(),
        [&](const shard& each) { return each.current.primary.is(this->me); }));
}

bool executor::engine::is_live(const member& who) const
{
    if (who.id == this->me.id)
        return who.process_incarnation == this->me.process_incarnation;
    const auto found = this->others.find(who.id);
    return found != this->others.end() && found->second.known.live &&
           found->second.known.process_incarnation <= who.process_incarnation;
}

// Whether a later process runs on the VM: the member's memory is lost.
bool executor::engine::is_replaced(const member& who) const
{
    if (who.id == this->me.id)
        return who.process_incarnation < this->me.process_incarnation;
    const auto found = this->others.find(who.id);
    return found != this->others.end() &&
           found->second.known.process_incarnation > who.process_incarnation;
}

bool executor::engine::is_leaving(const member& who) const
{
    const auto found = this->others.find(who.id);
    return found != this->others.end() && found->second.known.leaving;
}

void executor::engine::exclude(time_point now, const vm_id& who)
{
    const auto found = this->others.find(who);
    if (found == this->others.end())
        return;
    duration& span = found->second.exclusion;
    span = std::clamp<duration>(span * 2, first_exclusion, longest_exclusion);
    found->second.excluded_until = now + span;
}

// The VM that should be the primary: data centres in turn, then rendezvous hashing.
const vm_id* executor::engine::preferred_primary(std::size_t index) const
{
    std::set<std::string_view> centres = {this->opts.data_centre};
    for (const auto& [id, each] : this->others)
    {
        if (each.known.live && !each.known.leaving)
            centres.insert(each.known.data_centre);
    }
    const std::string_view wanted =
        *std::next(centres.begin(), static_cast<std::ptrdiff_t>(index % centres.size()));
    const vm_id* best = wanted == this->opts.data_centre ? &this->me.id : nullptr;
    for (const auto& [id, each] : this->others)
    {
        if (!each.known.live || each.known.leaving || each.known.data_centre != wanted)
            continue;
        if (best == nullptr || rendezvous(id, index) > rendezvous(*best, index))
            best = &id;
    }
    return best;
}

// Number of VMs that should claim a shard before this one.
std::size_t executor::engine::claim_rank(std::size_t index) const
{
    const vm_id* preferred = this->preferred_primary(index);
    if (preferred == nullptr || *preferred == this->me.id)
        return 0;
    std::size_t rank = 1;
    for (const auto& [id, each] : this->others)
    {
        const bool before = rendezvous(id, index) > rendezvous(this->me.id, index);
        if (each.known.live && !each.known.leaving && before)
            ++rank;
    }
    return rank;
}

// A VM in another data centre of this region, else in this one, else any other. Only one
// whose process is known: a process acknowledges only what names it.
member executor::engine::choose_backup(time_point now, std::size_t index,
                                       bool settled) const
{
    const view& current = this->shards[index].current;
    const auto tier = [&](const peer& each)
    {
        if (each.region != this->opts.region)
            return 2;
        return each.data_centre == this->opts.data_centre ? 1 : 0;
    };
    std::optional<std::tuple<int, std::uint64_t, const peer*>> best;
    for (const auto& [id, each] : this->others)
    {
        const bool fit = each.known.live && !each.known.leaving &&
                         each.known.process_incarnation != 0 &&
                         now >= each.excluded_until &&
                         (!settled || now - each.live_since >= settled_time);
        const member candidate{.id = id,
                               .process_incarnation = each.known.process_incarnation};
        if (!fit || current.names(candidate))
            continue;
        const std::tuple rated{tier(each.known), rendezvous(id, index), &each.known};
        if (!best || std::get<0>(rated) < std::get<0>(*best) ||
            (std::get<0>(rated) == std::get<0>(*best) &&
             std::get<1>(rated) > std::get<1>(*best)))
            best = rated;
    }
    if (!best)
        return {};
    const peer& chosen = *std::get<2>(*best);
    return {.id = chosen.id, .process_incarnation = chosen.process_incarnation};
}

// Whether a shard should move to its preferred primary: this VM has too many shards, or
// that data centre has too few to issue keys for.
bool executor::engine::wants_move(time_point now, std::size_t index) const
{
    if (!this->balance_due || now < this->next_move || this->leaving)
        return false;
    const vm_id* preferred = this->preferred_primary(index);
    if (preferred == nullptr || *preferred == this->me.id)
        return false;
    const peer_state& target = this->others.at(*preferred);
    const bool stable = std::all_of(
        this->others.begin(), this->others.end(),
        [&](const auto& each)
        { return now - each.second.live_since >= this->opts.balance_interval; });
    if (!stable || target.known.process_incarnation == 0 || now < target.excluded_until)
        return false;
    const std::size_t fair = shard_count / (this->others.size() + 1);
    if (this->primary_count() > fair + 2)
        return true;
    std::set<std::string_view> centres = {this->opts.data_centre};
    for (const auto& [id, each] : this->others)
        centres.insert(each.known.data_centre);
    const auto near = std::count_if(
        this->shards.begin(), this->shards.end(),
        [&](const shard& each)
        {
            const auto found = this->others.find(each.current.primary.id);
            return found != this->others.end() &&
                   found->second.known.data_centre == target.known.data_centre;
        });
    return static_cast<std::size_t>(near) < shard_count / centres.size() / 2;
}

void executor::engine::observe_members(time_point now, shard& owner)
{
    const view& current = owner.current;
    const auto gone = [&](const member& who)
    {
        return !who || (who.is(this->me) && !owner.has_state) || !this->is_live(who);
    };
    bool down = false;
    if (current.number == 0)
        down = this->scanned_at.has_value();
    else if (current.primary.is(this->me) && owner.has_state)
        down = current.backup && gone(current.backup);
    else if (current.backup.is(this->me) && owner.has_state)
        down = gone(current.primary);
    else
        down = gone(current.primary) && gone(current.backup);
    if (down && !owner.down)
        owner.down_since = now;
    owner.down = down;
}

bool executor::engine::replica_lost(time_point now, const replica& target) const
{
    const duration silence = 2 * this->opts.failover_delay;
    return target.refused || this->is_replaced(target.who) ||
           (target.silent && now - target.silent_since >= silence);
}

bool executor::engine::backup_lost(time_point now, const shard& owner) const
{
    if (!owner.backup)
        return false;
    const bool down = owner.down && now - owner.down_since >= this->opts.failover_delay;
    return down || this->replica_lost(now, *owner.backup);
}

// The VM to which the records should be transferred now; empty: none.
member executor::engine::choose_joiner(time_point now, std::size_t index) const
{
    const shard& owner = this->shards[index];
    const bool settled = owner.proposed.call == 0 && !owner.proposed.uncertain;
    const bool store_answers_now =
        this->scanned_at && now - *this->scanned_at < 3 * this->scan_interval();
    if (owner.joiner || !settled || !store_answers_now || !this->serving(owner, now))
        return {};
    if (!owner.backup || this->leaving || this->is_leaving(owner.backup->who))
        return this->choose_backup(now, index, true);
    if (!this->wants_move(now, index))
        return {};
    const vm_id* preferred = this->preferred_primary(index);
    const peer_state& target = this->others.at(*preferred);
    if (target.known.id == owner.backup->who.id)
        return {};
    return {.id = target.known.id,
            .process_incarnation = target.known.process_incarnation};
}

void executor::engine::start_join(time_point now, std::size_t index)
{
    shard& owner = this->shards[index];
    const member chosen = this->choose_joiner(now, index);
    if (!chosen)
        return;
    if (owner.backup && !this->leaving && !this->is_leaving(owner.backup->who))
        this->next_move = now + this->opts.balance_interval;
    owner.joiner = std::make_unique<replica>();
    owner.joiner->who = chosen;
    owner.joiner->transfer = make_token(owner.current.number, owner.next_transfer++);
    owner.joiner->who.joined = owner.joiner->transfer;
    owner.joiner->silent_since = now;
    for (const auto& [id, each] : owner.records)
        owner.joiner->unacknowledged.emplace(each.changed, id);
    this->send_part(now, owner, *owner.joiner);
}

void executor::engine::maintain_replicas(time_point now, shard& owner)
{
    for (replica* each : {owner.backup.get(), owner.joiner.get()})
    {
        if (each != nullptr)
            this->resend(now, owner, *each);
    }
    if (!owner.joiner)
        return;
    replica& joiner = *owner.joiner;
    const bool heard = joiner.exclusive_until > time_point{};
    if (!heard && now - joiner.silent_since >= 2 * this->opts.failover_delay)
        joiner.refused = true;
    if (heard && joiner.barrier == 0 && joiner.unacknowledged.size() <= barrier_backlog)
        joiner.barrier = make_version(owner.current.number, owner.next_sequence);
    const bool lost = this->replica_lost(now, joiner) || !this->is_live(joiner.who);
    if (!lost || joiner.proposed)
        return;
    this->exclude(now, joiner.who.id);
    for (auto& [name, each] : this->attempts)
    {
        if (&this->shards[each.shard] == &owner)
            each.needs_joiner = false;
    }
    owner.joiner.reset();
    for (auto at = this->attempts.begin(); at != this->attempts.end();)
    {
        const auto next = std::next(at);
        if (&this->shards[at->second.shard] == &owner)
            this->permit_if_acknowledged(now, at);
        at = next;
    }
}

void executor::engine::maintain(time_point now, std::size_t index)
{
    shard& owner = this->shards[index];
    this->observe_members(now, owner);
    this->send_owed_ack(owner);
    if (owner.joining && now - owner.joining->last_heard > staging_time)
    {
        this->clear(owner.joining->records);
        owner.joining.reset();
    }
    if (owner.current.primary.is(this->me) && owner.has_state)
    {
        this->start_join(now, index);
        this->maintain_replicas(now, owner);
    }
    proposal& proposed = owner.proposed;
    if (proposed.call != 0 && now - proposed.sent >= this->opts.store_timeout)
    {
        proposed.call = 0;
        proposed.uncertain = true;
        proposed.retry_at = now;
    }
    if (proposed.call != 0 || now < proposed.retry_at)
        return;
    if (auto next = this->plan(now, index))
        this->propose(now, index, *next);
    else if (proposed.uncertain)
        this->read_back(now, index);
}

std::optional<view> executor::engine::plan(time_point now, std::size_t index)
{
    shard& owner = this->shards[index];
    // The membership is not complete in the first moments.
    if (!this->peers_since || now - *this->peers_since < settled_time)
        return std::nullopt;
    if (owner.current.primary.is(this->me) && owner.has_state)
        return now >= owner.serve_from ? this->plan_as_primary(now, index) : std::nullopt;
    if (!owner.current.backup.is(this->me) || !owner.has_state)
        return this->plan_takeover(now, index);
    const bool down =
        owner.down && (now - owner.down_since >= this->opts.failover_delay ||
                       this->is_replaced(owner.current.primary));
    if (!down || now < owner.promised_until)
        return std::nullopt;
    view next = owner.current;
    ++next.number;
    next.primary = owner.current.backup;
    next.backup = {};
    next.consented = false;
    return next;
}

std::optional<view> executor::engine::plan_as_primary(time_point now, std::size_t index)
{
    shard& owner = this->shards[index];
    view next = owner.current;
    ++next.number;
    next.consented = true;
    owner.closing = false;
    const replica* joiner = owner.joiner.get();
    const bool joiner_lost = joiner != nullptr && (this->replica_lost(now, *joiner) ||
                                                   !this->is_live(joiner->who));
    const bool joiner_ready = joiner != nullptr && !joiner_lost && joiner->barrier != 0 &&
                              (joiner->unacknowledged.empty() ||
                               joiner->unacknowledged.begin()->first >= joiner->barrier);
    const bool lost = this->backup_lost(now, owner);
    const bool backup_stays =
        owner.backup && !lost && !this->is_leaving(owner.backup->who);
    if (joiner_ready && this->leaving && backup_stays)
    {
        next.primary = owner.current.backup;
        next.backup = joiner->who;
        return this->close_for(owner, next);
    }
    if (joiner_ready && this->leaving)
    {
        next.primary = joiner->who;
        next.backup = {};
        return this->close_for(owner, next);
    }
    if (joiner_ready)
    {
        next.backup = joiner->who;
        return next;
    }
    if (lost)
    {
        next.backup = {};
        return next;
    }
    // A view that names a lost joiner may have been written; a further view decides.
    if ((joiner_lost && joiner->proposed) || owner.proposed.uncertain)
        return next;
    if (joiner != nullptr)
        return std::nullopt;
    const bool replacing = this->leaving || (owner.backup && !backup_stays);
    if (replacing && this->choose_backup(now, index, false))
        return std::nullopt; // a state transfer begins soon
    if (this->leaving && backup_stays)
    {
        next.primary = owner.current.backup;
        next.backup = {};
        return this->close_for(owner, next);
    }
    if (owner.backup && !backup_stays && !this->leaving)
    {
        next.backup = {};
        return next;
    }
    constexpr duration longest_swap = 1s;
    const bool swapping =
        owner.swapping_since && now - *owner.swapping_since < longest_swap;
    const bool swap =
        backup_stays && !this->leaving &&
        (swapping || (this->wants_move(now, index) &&
                      *this->preferred_primary(index) == owner.backup->who.id));
    if (!swap)
    {
        owner.swapping_since.reset();
        return std::nullopt;
    }
    if (!owner.swapping_since)
        owner.swapping_since = now;
    this->next_move = now + this->opts.balance_interval;
    std::swap(next.primary, next.backup);
    return this->close_for(owner, next);
}

// A view with another primary is written when no attempt waits and the new primary holds
// all changes, so that the move interrupts no request.
std::optional<view> executor::engine::close_for(shard& owner, const view& next)
{
    owner.closing = true;
    const auto index = static_cast<std::size_t>(&owner - this->shards.data());
    const replica* heir = owner.backup && owner.backup->who.is(next.primary)
                              ? owner.backup.get()
                              : owner.joiner.get();
    if (this->has_pending(index) || !heir->unacknowledged.empty())
        return std::nullopt;
    return next;
}

// A shard that nobody holds: never claimed, or all members lost.
std::optional<view> executor::engine::plan_takeover(time_point now, std::size_t index)
{
    const shard& owner = this->shards[index];
    if (!owner.down || this->leaving || !this->scanned_at)
        return std::nullopt;
    const bool absent = owner.current.number == 0;
    const duration delay = (absent ? duration(0) : this->opts.takeover_delay) +
                           claim_step * static_cast<int>(this->claim_rank(index));
    // The first VM in rank needs another scan after the membership is known.
    const time_point known = *this->peers_since + settled_time;
    if (now - std::max(owner.down_since, known) < delay ||
        *this->scanned_at < owner.down_since)
    {
        this->rescan(now);
        return std::nullopt;
    }
    view next = owner.current;
    ++next.number;
    ++next.epoch;
    next.primary = this->me;
    next.backup = this->choose_backup(now, index, !absent);
    next.consented = false;
    next.primary.joined = make_token(next.number, 0);
    next.backup.joined = next.primary.joined;
    return next;
}

void executor::engine::propose(time_point now, std::size_t index, const view& next)
{
    shard& owner = this->shards[index];
    const std::uint64_t call = this->next_call++;
    if (owner.joiner && next.names(owner.joiner->who))
        owner.joiner->proposed = true;
    const bool uncertain = owner.proposed.uncertain;
    owner.proposed = {.next = next, .call = call, .sent = now, .uncertain = uncertain};
    ++this->total.store_writes;
    this->table.transact(
        {{.key = row_key(index), .expected = next.rev, .value = encode_row(next)}},
        this->later<store::transaction_outcome>(
            [this, index, call, sent = now,
             next](time_point at, const result<store::transaction_outcome>& done)
            { this->on_proposed(at, index, call, sent, next, done); }));
}

void executor::engine::on_proposed(time_point now, std::size_t index, std::uint64_t call,
                                   time_point sent, view next,
                                   const result<store::transaction_outcome>& done)
{
    shard& owner = this->shards[index];
    if (done && done.value().committed && !done.value().rows.empty())
    {
        next.rev = done.value().rows.front().rev;
        const bool changed = next.number > owner.current.number;
        this->adopt(now, index, next);
        if (owner.current.epoch == next.epoch)
            owner.confirmed_at = std::max(owner.confirmed_at.value_or(sent), sent);
        if (!changed)
            return;
        this->announce(index);
        if (this->outputs.audit)
            this->outputs.audit("wrote " + row_key(index) + ": " + encode_row(next));
        return;
    }
    if (done)
    {
        for (const store::row& row : done.value().rows)
            this->on_row(now, row, sent);
    }
    if (owner.proposed.call != call)
        return;
    const bool nothing_written = done.has_value() ||
                                 done.error().code == errc::unavailable ||
                                 done.error().code == errc::limit_exceeded;
    owner.closing = false;
    owner.proposed.call = 0;
    owner.proposed.uncertain = owner.proposed.uncertain || !nothing_written;
    const auto jitter = static_cast<std::int64_t>(this->random() % 300);
    owner.proposed.retry_at = now + store_retry + std::chrono::milliseconds(jitter);
}

void executor::engine::read_back(time_point now, std::size_t index)
{
    proposal& proposed = this->shards[index].proposed;
    const std::uint64_t call = this->next_call++;
    proposed.call = call;
    proposed.sent = now;
    ++this->total.store_reads;
    this->table.get(row_key(index),
                    this->later<std::optional<store::row>>(
                        [this, index, call, sent = now](
                            time_point at, const result<std::optional<store::row>>& done)
                        {
                            proposal& awaited = this->shards[index].proposed;
                            const bool awaited_call = awaited.call == call;
                            if (awaited_call)
                            {
                                awaited.call = 0;
                                awaited.retry_at = at + store_retry;
                                awaited.uncertain = !done;
                            }
                            if (done && done.value())
                                this->on_row(at, *done.value(), sent);
                        }));
}

void executor::engine::on_row(time_point now, const store::row& row, time_point sent)
{
    const std::size_t index = shard_of_row(row.key);
    if (index >= shard_count)
        return;
    shard& held = this->shards[index];
    if (row.rev == held.current.rev && row.rev != 0)
    {
        held.confirmed_at = std::max(held.confirmed_at.value_or(sent), sent);
        return;
    }
    const result<view> read = decode_row(row);
    if (!read)
        return;
    shard& owner = this->shards[index];
    this->adopt(now, index, read.value());
    if (owner.current.number == read.value().number)
        owner.current.rev = row.rev;
    if (owner.current.epoch == read.value().epoch)
        owner.confirmed_at = std::max(owner.confirmed_at.value_or(sent), sent);
}

duration executor::engine::scan_interval() const
{
    const duration for_fleet =
        scan_interval_per_vm * static_cast<int>(this->others.size() + 1);
    return std::max(this->opts.scan_interval, for_fleet);
}

void executor::engine::rescan(time_point now)
{
    this->next_scan =
        std::min(this->next_scan, std::max(now, this->last_scan + least_rescan));
}

void executor::engine::scan(time_point now)
{
    const duration interval = this->scan_interval();
    const auto jitter =
        static_cast<std::int64_t>(this->random() % (interval.count() / 4 + 1));
    this->next_scan = now + interval - duration(jitter);
    this->last_scan = now;
    ++this->total.store_reads;
    this->table.scan(
        "shard/",
        this->later<std::vector<store::row>>(
            [this, sent = now](time_point at, const result<std::vector<store::row>>& done)
            {
                if (!done)
                    return;
                for (const store::row& row : done.value())
                    this->on_row(at, row, sent);
                this->scanned_at = std::max(this->scanned_at.value_or(sent), sent);
            }));
}

void executor::engine::announce_to(const vm_id& to, std::size_t index)
{
    if (to != this->me.id && this->shards[index].current.number != 0)
        this->send(to, "shard_state",
                   announcement{.shard = static_cast<std::uint32_t>(index),
                                .value = this->shards[index].current});
}

void executor::engine::announce(std::size_t index)
{
    for (const auto& [id, each] : this->others)
    {
        if (each.known.live)
            this->announce_to(id, index);
    }
}

// Takes over a view that the store has committed. Views only rise.
void executor::engine::adopt(time_point now, std::size_t index, const view& next)
{
    shard& owner = this->shards[index];
    if (next.number <= owner.current.number)
        return;
    const bool was_primary = owner.current.primary.is(this->me) && owner.has_state;
    if (next.epoch != owner.current.epoch)
        owner.confirmed_at.reset();
    owner.current = next;
    owner.proposed = {};
    owner.down = false;
    owner.closing = false;
    owner.swapping_since.reset();
    owner.owed_ack.reset();
    this->take_records(now, owner);
    this->observe_members(now, owner);
    if (owner.has_state && next.primary.is(this->me))
        this->become_primary(now, owner, was_primary);
    else
    {
        owner.backup.reset();
        owner.joiner.reset();
    }
    this->settle_attempts(now, index);
    if (!this->parked.empty())
        this->retry_parked(now, index);
}

// Keeps, takes or drops the records, as the view says how this VM got them.
void executor::engine::take_records(time_point now, shard& owner)
{
    const view& current = owner.current;
    const member* mine = nullptr;
    if (current.primary.is(this->me))
        mine = &current.primary;
    else if (current.backup.is(this->me))
        mine = &current.backup;
    if (mine != nullptr && owner.has_state && owner.joined == mine->joined)
        return;
    this->clear(owner.records);
    owner.has_state = false;
    if (mine == nullptr)
        return;
    owner.joined = mine->joined;
    if (owner.joining && owner.joining->transfer == mine->joined)
    {
        owner.records = std::move(owner.joining->records);
        owner.unknown_until =
            std::max(owner.unknown_until, now + owner.joining->unknown_for);
        owner.joining.reset();
        owner.has_state = true;
    }
    else if (is_fresh(mine->joined))
    {
        owner.has_state = true;
        // A cut-off predecessor executes keys chosen by callers for the first part.
        const duration window = this->opts.unconfirmed_limit + this->opts.retention;
        if (current.epoch > 1)
            owner.unknown_until = now + window + window / 50;
    }
}

void executor::engine::become_primary(time_point now, shard& owner, bool was_primary)
{
    const member& backup = owner.current.backup;
    owner.next_sequence = 1;
    owner.next_transfer = 1;
    std::unique_ptr<replica> joiner = std::move(owner.joiner);
    if (!was_primary)
        owner.backup.reset();
    for (const replica* each : {owner.backup.get(), joiner.get()})
    {
        if (each != nullptr && !backup.is(each->who))
            this->exclude(now, each->who.id);
    }
    if (joiner && backup.is(joiner->who))
    {
        owner.backup = std::move(joiner);
        owner.backup->transfer = 0;
        owner.backup->barrier = 0;
    }
    else if (!backup)
        owner.backup.reset();
    else if (!owner.backup || !owner.backup->who.is(backup))
        owner.backup = std::make_unique<replica>();
    if (owner.backup)
        owner.backup->who = backup;
    if (was_primary)
        return;
    owner.serve_from =
        owner.current.consented ? now : std::max(now, owner.promised_until);
    // What the previous primary started may have run.
    for (auto& [id, each] : owner.records)
    {
        if (each.state == record_state::intent)
            this->change(now, owner, id, each, record_state::unknown);
    }
}

// Brings the attempts of a shard into line with its new view.
void executor::engine::settle_attempts(time_point now, std::size_t index)
{
    shard& owner = this->shards[index];
    const bool primary = owner.current.primary.is(this->me) && owner.has_state;
    for (auto at = this->attempts.begin(); at != this->attempts.end();)
    {
        attempt& each = at->second;
        if (each.shard != index || each.permitted)
        {
            ++at;
            continue;
        }
        if (!primary)
        {
            at = this->give_up(now, at,
                               {.code = "shard_moved",
                                .execution = execution_status::unknown,
                                .message = "another VM has taken the shard of this key; "
                                           "repeat the request with the same "
                                           "Idempotency-Key",
                                .retry_after = 200ms});
            continue;
        }
        const auto place = owner.records.find(each.id);
        const bool recorded =
            place != owner.records.end() && place->second.attempt == each.number;
        if (!recorded)
        {
            ++at;
            continue;
        }
        // Acknowledgements of the old view do not count.
        each.needs_joiner = false;
        each.needs_backup = owner.backup != nullptr;
        if (owner.backup)
        {
            owner.backup->unacknowledged.emplace(place->second.changed, each.id);
            this->replicate(now, owner, *owner.backup, each.id, place->second);
        }
        const auto current = at++;
        this->permit_if_acknowledged(now, current);
    }
}

} // namespace pistachiospan::once
