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

// Delay between VMs that may take over the same shard.
constexpr duration takeover_stagger = 1s;
// A peer must be live this long before it joins a view.
constexpr duration min_live_time = 2s;
// The records of a transfer are dropped this long after its last message.
constexpr duration staging_timeout = 60s;
constexpr duration initial_exclusion = 10s; // doubles with each failed join
constexpr duration max_exclusion = 10min;
// With 720 VMs: one scan per VM in 58 s, 12.5 scans/s in total.
constexpr duration scan_interval_per_vm = 80ms;
constexpr duration min_rescan_interval = 1s;
constexpr duration store_retry = 300ms;
constexpr std::size_t max_barrier_backlog = 256; // changes that will soon be acknowledged

std::uint64_t rendezvous(const vm_id& id, std::size_t index)
{
    return hash_bytes(id.value, index + 1);
}

} // namespace

void executor::engine::run_store_handlers(time_point now)
{
    const auto ready = std::move(this->store_answers);
    this->store_answers.clear();
    for (const auto& each : ready)
        each(now);
}

void executor::engine::update_peers(time_point now, std::vector<peer> new_peers)
{
    this->run_store_handlers(now);
    std::unordered_map<vm_id, peer_state> next;
    for (peer& each : new_peers)
    {
        peer_state state;
        const auto before = this->peers.find(each.id);
        if (before != this->peers.end())
            state = before->second;
        const bool was_live = before != this->peers.end() && state.info.live &&
                              state.info.process_incarnation == each.process_incarnation;
        if (!was_live)
            state.live_since = now;
        state.info = std::move(each);
        next[state.info.id] = std::move(state);
    }
    this->peers = std::move(next);
    if (!this->peers_known_since)
        this->peers_known_since = now;
    this->flush();
}

void executor::engine::leave(time_point /*now*/)
{
    this->leaving = true;
}

bool executor::engine::has_left() const
{
    return std::none_of(this->shards.begin(), this->shards.end(),
                        [&](const shard& each)
                        { return each.current.includes(this->self); });
}

std::size_t executor::engine::primary_count() const
{
    return static_cast<std::size_t>(
        std::count_if(this->shards.begin(), this->shards.end(),
                      [&](const shard& each)
                      { return each.current.primary.same_process(this->self); }));
}

bool executor::engine::is_live(const member& who) const
{
    if (who.id == this->self.id)
        return who.process_incarnation == this->self.process_incarnation;
    const auto found = this->peers.find(who.id);
    return found != this->peers.end() && found->second.info.live &&
           found->second.info.process_incarnation <= who.process_incarnation;
}

// Whether a later process runs on the VM of the member, so that its records are lost.
bool executor::engine::is_replaced(const member& who) const
{
    if (who.id == this->self.id)
        return who.process_incarnation < this->self.process_incarnation;
    const auto found = this->peers.find(who.id);
    return found != this->peers.end() &&
           found->second.info.process_incarnation > who.process_incarnation;
}

bool executor::engine::is_leaving(const member& who) const
{
    const auto found = this->peers.find(who.id);
    return found != this->peers.end() && found->second.info.leaving;
}

void executor::engine::exclude(time_point now, const vm_id& who)
{
    const auto found = this->peers.find(who);
    if (found == this->peers.end())
        return;
    duration& span = found->second.exclusion;
    span = std::clamp<duration>(span * 2, initial_exclusion, max_exclusion);
    found->second.excluded_until = now + span;
}

// The VM that should be the primary of a shard: the data centre is chosen round-robin by
// the index of the shard, the VM within it by rendezvous hashing.
const vm_id* executor::engine::preferred_primary(std::size_t index) const
{
    std::set<std::string_view> centres = {this->opts.data_centre};
    for (const auto& [id, each] : this->peers)
    {
        if (each.info.live && !each.info.leaving)
            centres.insert(each.info.data_centre);
    }
    const std::string_view preferred_centre =
        *std::next(centres.begin(), static_cast<std::ptrdiff_t>(index % centres.size()));
    const vm_id* best =
        preferred_centre == this->opts.data_centre ? &this->self.id : nullptr;
    for (const auto& [id, each] : this->peers)
    {
        if (!each.info.live || each.info.leaving ||
            each.info.data_centre != preferred_centre)
            continue;
        if (best == nullptr || rendezvous(id, index) > rendezvous(*best, index))
            best = &id;
    }
    return best;
}

// Number of VMs that should take over a shard before this one.
std::size_t executor::engine::takeover_rank(std::size_t index) const
{
    const vm_id* preferred = this->preferred_primary(index);
    if (preferred == nullptr || *preferred == this->self.id)
        return 0;
    std::size_t rank = 1;
    for (const auto& [id, each] : this->peers)
    {
        const bool before = rendezvous(id, index) > rendezvous(this->self.id, index);
        if (each.info.live && !each.info.leaving && before)
            ++rank;
    }
    return rank;
}

// Prefers a VM in another data centre of this region, then one in this data centre, then
// any other. Its incarnation must be known, because a process acknowledges only updates
// that are addressed to its incarnation.
member executor::engine::choose_backup(time_point now, std::size_t index,
                                       bool stable_only) const
{
    const view& current = this->shards[index].current;
    const auto tier = [&](const peer& each)
    {
        if (each.region != this->opts.region)
            return 2;
        return each.data_centre == this->opts.data_centre ? 1 : 0;
    };
    std::optional<std::tuple<int, std::uint64_t, const peer*>> best;
    for (const auto& [id, each] : this->peers)
    {
        const bool eligible = each.info.live && !each.info.leaving &&
                              each.info.process_incarnation != 0 &&
                              now >= each.excluded_until &&
                              (!stable_only || now - each.live_since >= min_live_time);
        const member candidate{.id = id,
                               .process_incarnation = each.info.process_incarnation};
        if (!eligible || current.includes(candidate))
            continue;
        const std::tuple rated{tier(each.info), rendezvous(id, index), &each.info};
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

// Whether a shard should move to its preferred primary: this VM has too many primaries,
// or the data centre of the preferred primary has too few shards to issue keys for.
bool executor::engine::should_move(time_point now, std::size_t index) const
{
    if (!this->balance_due || now < this->next_move || this->leaving)
        return false;
    const vm_id* preferred = this->preferred_primary(index);
    if (preferred == nullptr || *preferred == this->self.id)
        return false;
    const peer_state& target = this->peers.at(*preferred);
    const bool stable = std::all_of(
        this->peers.begin(), this->peers.end(),
        [&](const auto& each)
        { return now - each.second.live_since >= this->opts.balance_interval; });
    if (!stable || target.info.process_incarnation == 0 || now < target.excluded_until)
        return false;
    const std::size_t fair_share = shard_count / (this->peers.size() + 1);
    if (this->primary_count() > fair_share + 2)
        return true;
    std::set<std::string_view> centres = {this->opts.data_centre};
    for (const auto& [id, each] : this->peers)
        centres.insert(each.info.data_centre);
    const auto near = std::count_if(
        this->shards.begin(), this->shards.end(),
        [&](const shard& each)
        {
            const auto found = this->peers.find(each.current.primary.id);
            return found != this->peers.end() &&
                   found->second.info.data_centre == target.info.data_centre;
        });
    return static_cast<std::size_t>(near) < shard_count / centres.size() / 2;
}

void executor::engine::observe_members(time_point now, shard& local_shard)
{
    const view& current = local_shard.current;
    const auto is_lost = [&](const member& who)
    {
        return !who || (who.same_process(this->self) && !local_shard.has_records) ||
               !this->is_live(who);
    };
    bool down = false;
    if (current.number == 0)
        down = this->scanned_at.has_value();
    else if (current.primary.same_process(this->self) && local_shard.has_records)
        down = current.backup && is_lost(current.backup);
    else if (current.backup.same_process(this->self) && local_shard.has_records)
        down = is_lost(current.primary);
    else
        down = is_lost(current.primary) && is_lost(current.backup);
    if (down && !local_shard.down)
        local_shard.down_since = now;
    local_shard.down = down;
}

bool executor::engine::replica_lost(time_point now, const replica& target) const
{
    const duration silence = 2 * this->opts.failover_delay;
    return target.refused || this->is_replaced(target.who) ||
           (target.silent && now - target.silent_since >= silence);
}

bool executor::engine::backup_lost(time_point now, const shard& local_shard) const
{
    if (!local_shard.backup)
        return false;
    const bool down =
        local_shard.down && now - local_shard.down_since >= this->opts.failover_delay;
    return down || this->replica_lost(now, *local_shard.backup);
}

// Returns the VM to which the records should be transferred now, or an empty member.
member executor::engine::choose_joiner(time_point now, std::size_t index) const
{
    const shard& local_shard = this->shards[index];
    const bool no_pending_write =
        local_shard.proposed.call == 0 && !local_shard.proposed.uncertain;
    const bool store_answers_now =
        this->scanned_at && now - *this->scanned_at < 3 * this->scan_interval();
    if (local_shard.joiner || !no_pending_write || !store_answers_now ||
        !this->serving(local_shard, now))
        return {};
    if (!local_shard.backup || this->leaving || this->is_leaving(local_shard.backup->who))
        return this->choose_backup(now, index, true);
    if (!this->should_move(now, index))
        return {};
    const vm_id* preferred = this->preferred_primary(index);
    const peer_state& target = this->peers.at(*preferred);
    if (target.info.id == local_shard.backup->who.id)
        return {};
    return {.id = target.info.id, .process_incarnation = target.info.process_incarnation};
}

void executor::engine::start_join(time_point now, std::size_t index)
{
    shard& local_shard = this->shards[index];
    const member chosen = this->choose_joiner(now, index);
    if (!chosen)
        return;
    if (local_shard.backup && !this->leaving &&
        !this->is_leaving(local_shard.backup->who))
        this->next_move = now + this->opts.balance_interval;
    local_shard.joiner = std::make_unique<replica>();
    local_shard.joiner->who = chosen;
    local_shard.joiner->transfer =
        make_token(local_shard.current.number, local_shard.next_transfer++);
    local_shard.joiner->who.joined = local_shard.joiner->transfer;
    local_shard.joiner->silent_since = now;
    for (const auto& [id, each] : local_shard.records)
        local_shard.joiner->unacknowledged.emplace(each.last_change, id);
    this->send_part(now, local_shard, *local_shard.joiner);
}

void executor::engine::maintain_replicas(time_point now, shard& local_shard)
{
    for (replica* each : {local_shard.backup.get(), local_shard.joiner.get()})
    {
        if (each != nullptr)
            this->resend(now, local_shard, *each);
    }
    if (!local_shard.joiner)
        return;
    replica& joiner = *local_shard.joiner;
    const bool answered = joiner.exclusive_until > time_point{};
    if (!answered && now - joiner.silent_since >= 2 * this->opts.failover_delay)
        joiner.refused = true;
    if (answered && joiner.barrier == 0 &&
        joiner.unacknowledged.size() <= max_barrier_backlog)
        joiner.barrier =
            make_version(local_shard.current.number, local_shard.next_sequence);
    const bool lost = this->replica_lost(now, joiner) || !this->is_live(joiner.who);
    if (!lost || joiner.proposed)
        return;
    this->exclude(now, joiner.who.id);
    for (auto& [key, each] : this->attempts)
    {
        if (&this->shards[each.shard] == &local_shard)
            each.needs_joiner = false;
    }
    local_shard.joiner.reset();
    for (auto at = this->attempts.begin(); at != this->attempts.end();)
    {
        const auto next = std::next(at);
        if (&this->shards[at->second.shard] == &local_shard)
            this->permit_if_acknowledged(now, at);
        at = next;
    }
}

void executor::engine::maintain(time_point now, std::size_t index)
{
    shard& local_shard = this->shards[index];
    this->observe_members(now, local_shard);
    this->send_delayed_ack(local_shard);
    if (local_shard.joining && now - local_shard.joining->last_heard_at > staging_timeout)
    {
        this->clear(local_shard.joining->records);
        local_shard.joining.reset();
    }
    if (local_shard.current.primary.same_process(this->self) && local_shard.has_records)
    {
        this->start_join(now, index);
        this->maintain_replicas(now, local_shard);
    }
    proposal& proposed = local_shard.proposed;
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
    shard& local_shard = this->shards[index];
    // Shortly after the start the membership is not complete.
    if (!this->peers_known_since || now - *this->peers_known_since < min_live_time)
        return std::nullopt;
    if (local_shard.current.primary.same_process(this->self) && local_shard.has_records)
        return now >= local_shard.serve_from ? this->plan_as_primary(now, index)
                                             : std::nullopt;
    if (!local_shard.current.backup.same_process(this->self) || !local_shard.has_records)
        return this->plan_takeover(now, index);
    const bool down =
        local_shard.down && (now - local_shard.down_since >= this->opts.failover_delay ||
                             this->is_replaced(local_shard.current.primary));
    if (!down || now < local_shard.lease_until)
        return std::nullopt;
    view next = local_shard.current;
    ++next.number;
    next.primary = local_shard.current.backup;
    next.backup = {};
    next.consented = false;
    return next;
}

std::optional<view> executor::engine::plan_as_primary(time_point now, std::size_t index)
{
    shard& local_shard = this->shards[index];
    view next = local_shard.current;
    ++next.number;
    next.consented = true;
    local_shard.handover_pending = false;
    const replica* joiner = local_shard.joiner.get();
    const bool joiner_lost = joiner != nullptr && (this->replica_lost(now, *joiner) ||
                                                   !this->is_live(joiner->who));
    const bool joiner_ready = joiner != nullptr && !joiner_lost && joiner->barrier != 0 &&
                              (joiner->unacknowledged.empty() ||
                               joiner->unacknowledged.begin()->first >= joiner->barrier);
    const bool lost = this->backup_lost(now, local_shard);
    const bool backup_stays =
        local_shard.backup && !lost && !this->is_leaving(local_shard.backup->who);
    if (joiner_ready && this->leaving && backup_stays)
    {
        next.primary = local_shard.current.backup;
        next.backup = joiner->who;
        return this->prepare_handover(local_shard, next);
    }
    if (joiner_ready && this->leaving)
    {
        next.primary = joiner->who;
        next.backup = {};
        return this->prepare_handover(local_shard, next);
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
    // A view that names a lost joiner may have been written; a further view supersedes
    // it.
    if ((joiner_lost && joiner->proposed) || local_shard.proposed.uncertain)
        return next;
    if (joiner != nullptr)
        return std::nullopt;
    const bool replacing = this->leaving || (local_shard.backup && !backup_stays);
    if (replacing && this->choose_backup(now, index, false))
        return std::nullopt; // start_join() begins a state transfer first
    if (this->leaving && backup_stays)
    {
        next.primary = local_shard.current.backup;
        next.backup = {};
        return this->prepare_handover(local_shard, next);
    }
    if (local_shard.backup && !backup_stays && !this->leaving)
    {
        next.backup = {};
        return next;
    }
    constexpr duration max_swap_duration = 1s;
    const bool swapping = local_shard.swap_started_at &&
                          now - *local_shard.swap_started_at < max_swap_duration;
    const bool swap =
        backup_stays && !this->leaving &&
        (swapping || (this->should_move(now, index) &&
                      *this->preferred_primary(index) == local_shard.backup->who.id));
    if (!swap)
    {
        local_shard.swap_started_at.reset();
        return std::nullopt;
    }
    if (!local_shard.swap_started_at)
        local_shard.swap_started_at = now;
    this->next_move = now + this->opts.balance_interval;
    std::swap(next.primary, next.backup);
    return this->prepare_handover(local_shard, next);
}

// Returns the view once no attempt waits for acknowledgements and the new primary holds
// all changes, so that the handover interrupts no request.
std::optional<view> executor::engine::prepare_handover(shard& local_shard,
                                                       const view& next)
{
    local_shard.handover_pending = true;
    const auto index = static_cast<std::size_t>(&local_shard - this->shards.data());
    const replica* successor =
        local_shard.backup && local_shard.backup->who.same_process(next.primary)
            ? local_shard.backup.get()
            : local_shard.joiner.get();
    if (this->has_pending(index) || !successor->unacknowledged.empty())
        return std::nullopt;
    return next;
}

// Plans the takeover of a shard that never had a view or lost all its members.
std::optional<view> executor::engine::plan_takeover(time_point now, std::size_t index)
{
    const shard& local_shard = this->shards[index];
    if (!local_shard.down || this->leaving || !this->scanned_at)
        return std::nullopt;
    const bool absent = local_shard.current.number == 0;
    const duration delay =
        (absent ? duration(0) : this->opts.takeover_delay) +
        takeover_stagger * static_cast<int>(this->takeover_rank(index));
    // The VM of rank 0 has no delay, so it needs a scan after the membership is known.
    const time_point membership_ready_at = *this->peers_known_since + min_live_time;
    if (now - std::max(local_shard.down_since, membership_ready_at) < delay ||
        *this->scanned_at < local_shard.down_since)
    {
        this->rescan(now);
        return std::nullopt;
    }
    view next = local_shard.current;
    ++next.number;
    ++next.epoch;
    next.primary = this->self;
    next.backup = this->choose_backup(now, index, !absent);
    next.consented = false;
    next.primary.joined = make_token(next.number, 0);
    next.backup.joined = next.primary.joined;
    return next;
}

void executor::engine::propose(time_point now, std::size_t index, const view& next)
{
    shard& local_shard = this->shards[index];
    const std::uint64_t call = this->next_call++;
    if (local_shard.joiner && next.includes(local_shard.joiner->who))
        local_shard.joiner->proposed = true;
    const bool uncertain = local_shard.proposed.uncertain;
    local_shard.proposed = {
        .next = next, .call = call, .sent = now, .uncertain = uncertain};
    ++this->total.store_writes;
    this->table.transact(
        {{.key = row_key(index), .expected = next.rev, .value = encode_row(next)}},
        this->deferred_handler<store::transaction_outcome>(
            [this, index, call, sent = now,
             next](time_point at, const result<store::transaction_outcome>& done)
            { this->on_proposed(at, index, call, sent, next, done); }));
}

void executor::engine::on_proposed(time_point now, std::size_t index, std::uint64_t call,
                                   time_point sent, view next,
                                   const result<store::transaction_outcome>& done)
{
    shard& local_shard = this->shards[index];
    if (done && done.value().committed && !done.value().rows.empty())
    {
        next.rev = done.value().rows.front().rev;
        const bool view_changed = next.number > local_shard.current.number;
        this->adopt(now, index, next);
        if (local_shard.current.epoch == next.epoch)
            local_shard.confirmed_at =
                std::max(local_shard.confirmed_at.value_or(sent), sent);
        if (!view_changed)
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
    if (local_shard.proposed.call != call)
        return;
    const bool nothing_written = done.has_value() ||
                                 done.error().code == errc::unavailable ||
                                 done.error().code == errc::limit_exceeded;
    local_shard.handover_pending = false;
    local_shard.proposed.call = 0;
    local_shard.proposed.uncertain = local_shard.proposed.uncertain || !nothing_written;
    const auto jitter = static_cast<std::int64_t>(this->random() % 300);
    local_shard.proposed.retry_at = now + store_retry + std::chrono::milliseconds(jitter);
}

void executor::engine::read_back(time_point now, std::size_t index)
{
    proposal& proposed = this->shards[index].proposed;
    const std::uint64_t call = this->next_call++;
    proposed.call = call;
    proposed.sent = now;
    ++this->total.store_reads;
    this->table.get(row_key(index),
                    this->deferred_handler<std::optional<store::row>>(
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
    shard& known_shard = this->shards[index];
    if (row.rev == known_shard.current.rev && row.rev != 0)
    {
        known_shard.confirmed_at =
            std::max(known_shard.confirmed_at.value_or(sent), sent);
        return;
    }
    const result<view> decoded = decode_row(row);
    if (!decoded)
        return;
    shard& local_shard = this->shards[index];
    this->adopt(now, index, decoded.value());
    if (local_shard.current.number == decoded.value().number)
        local_shard.current.rev = row.rev;
    if (local_shard.current.epoch == decoded.value().epoch)
        local_shard.confirmed_at =
            std::max(local_shard.confirmed_at.value_or(sent), sent);
}

duration executor::engine::scan_interval() const
{
    const duration for_fleet =
        scan_interval_per_vm * static_cast<int>(this->peers.size() + 1);
    return std::max(this->opts.scan_interval, for_fleet);
}

void executor::engine::rescan(time_point now)
{
    this->next_scan =
        std::min(this->next_scan, std::max(now, this->last_scan + min_rescan_interval));
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
        this->deferred_handler<std::vector<store::row>>(
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
    if (to != this->self.id && this->shards[index].current.number != 0)
        this->send(to, "shard_state",
                   announcement{.shard = static_cast<std::uint32_t>(index),
                                .value = this->shards[index].current});
}

void executor::engine::announce(std::size_t index)
{
    for (const auto& [id, each] : this->peers)
    {
        if (each.info.live)
            this->announce_to(id, index);
    }
}

// Applies a view that the store has committed. Older views are ignored.
void executor::engine::adopt(time_point now, std::size_t index, const view& next)
{
    shard& local_shard = this->shards[index];
    if (next.number <= local_shard.current.number)
        return;
    const bool was_primary =
        local_shard.current.primary.same_process(this->self) && local_shard.has_records;
    if (next.epoch != local_shard.current.epoch)
        local_shard.confirmed_at.reset();
    local_shard.current = next;
    local_shard.proposed = {};
    local_shard.down = false;
    local_shard.handover_pending = false;
    local_shard.swap_started_at.reset();
    local_shard.delayed_ack.reset();
    this->load_records(now, local_shard);
    this->observe_members(now, local_shard);
    if (local_shard.has_records && next.primary.same_process(this->self))
        this->become_primary(now, local_shard, was_primary);
    else
    {
        local_shard.backup.reset();
        local_shard.joiner.reset();
    }
    this->reconcile_attempts(now, index);
    if (!this->queued.empty())
        this->retry_queued(now, index);
}

// Keeps the records, takes them over from a state transfer, or drops them, depending on
// how the view says that this VM obtained them.
void executor::engine::load_records(time_point now, shard& local_shard)
{
    const view& current = local_shard.current;
    const member* own_entry = nullptr;
    if (current.primary.same_process(this->self))
        own_entry = &current.primary;
    else if (current.backup.same_process(this->self))
        own_entry = &current.backup;
    if (own_entry != nullptr && local_shard.has_records &&
        local_shard.joined == own_entry->joined)
        return;
    this->clear(local_shard.records);
    local_shard.has_records = false;
    if (own_entry == nullptr)
        return;
    local_shard.joined = own_entry->joined;
    if (local_shard.joining && local_shard.joining->transfer == own_entry->joined)
    {
        local_shard.records = std::move(local_shard.joining->records);
        local_shard.unknown_until =
            std::max(local_shard.unknown_until, now + local_shard.joining->unknown_for);
        local_shard.joining.reset();
        local_shard.has_records = true;
    }
    else if (is_fresh(own_entry->joined))
    {
        local_shard.has_records = true;
        // A partitioned predecessor may execute keys chosen by callers for the first part
        // of this time; their records would be kept for the second part.
        const duration window = this->opts.unconfirmed_limit + this->opts.retention;
        if (current.epoch > 1)
            local_shard.unknown_until = now + window + window / 50;
    }
}

void executor::engine::become_primary(time_point now, shard& local_shard,
                                      bool was_primary)
{
    const member& backup = local_shard.current.backup;
    local_shard.next_sequence = 1;
    local_shard.next_transfer = 1;
    std::unique_ptr<replica> joiner = std::move(local_shard.joiner);
    if (!was_primary)
        local_shard.backup.reset();
    for (const replica* each : {local_shard.backup.get(), joiner.get()})
    {
        if (each != nullptr && !backup.same_process(each->who))
            this->exclude(now, each->who.id);
    }
    if (joiner && backup.same_process(joiner->who))
    {
        local_shard.backup = std::move(joiner);
        local_shard.backup->transfer = 0;
        local_shard.backup->barrier = 0;
    }
    else if (!backup)
        local_shard.backup.reset();
    else if (!local_shard.backup || !local_shard.backup->who.same_process(backup))
        local_shard.backup = std::make_unique<replica>();
    if (local_shard.backup)
        local_shard.backup->who = backup;
    if (was_primary)
        return;
    local_shard.serve_from =
        local_shard.current.consented ? now : std::max(now, local_shard.lease_until);
    // Requests that the previous primary started may have been executed.
    for (auto& [id, each] : local_shard.records)
    {
        if (each.state == record_state::intent)
            this->change(now, local_shard, id, each, record_state::unknown);
    }
}

// Adapts the pending attempts of a shard to its new view.
void executor::engine::reconcile_attempts(time_point now, std::size_t index)
{
    shard& local_shard = this->shards[index];
    const bool primary =
        local_shard.current.primary.same_process(this->self) && local_shard.has_records;
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
            at = this->abandon(now, at,
                               {.code = "shard_moved",
                                .execution = execution_status::unknown,
                                .message =
                                    "another VM has taken over the shard of this key; "
                                    "repeat the request with the same "
                                    "Idempotency-Key",
                                .retry_after = 200ms});
            continue;
        }
        const auto stored = local_shard.records.find(each.id);
        const bool recorded =
            stored != local_shard.records.end() && stored->second.attempt == each.number;
        if (!recorded)
        {
            ++at;
            continue;
        }
        // Acknowledgements from the previous view do not count.
        each.needs_joiner = false;
        each.needs_backup = local_shard.backup != nullptr;
        if (local_shard.backup)
        {
            local_shard.backup->unacknowledged.emplace(stored->second.last_change,
                                                       each.id);
            this->replicate(now, local_shard, *local_shard.backup, each.id,
                            stored->second);
        }
        const auto current = at++;
        this->permit_if_acknowledged(now, current);
    }
}

} // namespace pistachiospan::once
