#include "pistachiospan/share/share.hpp"

#include <algorithm>
#include <charconv>

namespace pistachiospan::share
{

namespace
{

// A VM list older than this shows nothing about a VM's absence.
constexpr duration list_life = std::chrono::seconds(10);
// A silence this long may have been reported to a VM that takes over.
constexpr duration lapse = std::chrono::seconds(55);
// Added to times that were measured on the clock of another VM.
constexpr duration clock_margin = std::chrono::seconds(1);
// A newcomer has this long to claim a free row before others make room for it.
constexpr duration newcomer_time = std::chrono::seconds(5);
constexpr unsigned max_failures = 5;

std::optional<holder> parse(const std::string& value)
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    if (json.is_discarded())
        return std::nullopt;
    const result<holder> decoded = wire::decode<holder>(json);
    if (!decoded)
        return std::nullopt;
    return decoded.value();
}

} // namespace

share_claimer::share_claimer(claimer_options options_in, store::table& rows_in,
                             send_hook send_in)
    : options(std::move(options_in)), rows(rows_in), send(std::move(send_in))
{
    const std::string seed = this->options.self.value + '/' + this->options.scope + '/' +
                             std::to_string(this->options.self_incarnation);
    this->engine.seed(hash_bytes(seed, this->options.seed));
    this->next_nonce = this->engine();
}

void share_claimer::set_share_count(time_point now, std::uint32_t count)
{
    this->share_count = count;
    for (auto& [share, each] : this->held)
        if (share >= count)
            this->leave(now, share);
}

void share_claimer::on_vm_list(time_point now, std::span<const store::vm_entry> entries)
{
    // Absence counts only while the list is read without gaps.
    const bool gap =
        this->last_list == time_point::min() || now - this->last_list > list_life;
    this->last_list = now;
    this->vms.clear();
    for (const store::vm_entry& entry : entries)
        this->vms[entry.id] = entry.leaving;
    if (gap)
        this->absent_since.clear();
    for (const auto& [share, row] : this->seen)
        if (row.value && !this->vms.contains(row.value->vm))
            this->absent_since.try_emplace(row.value->vm, now);
    std::erase_if(this->absent_since,
                  [&](const auto& each) { return this->vms.contains(each.first); });
}

void share_claimer::on_peer_message(time_point now, const vm_id& peer)
{
    heard_peer& known =
        this->peers.try_emplace(peer, heard_peer{.last = now}).first->second;
    if (now - std::max(known.last, this->observing_since) >= lapse)
        known.lapse_end = now;
    known.last = now;
}

duration share_claimer::unheard(time_point now, const vm_id& vm) const
{
    if (this->observing_since == time_point::min())
        return duration{0};
    time_point since = this->observing_since;
    if (const auto known = this->peers.find(vm); known != this->peers.end())
        since = std::max(since, known->second.last);
    return now - since;
}

bool share_claimer::vouches_for(time_point now, const vm_id& vm,
                                duration unconfirmed) const
{
    // Whoever takes over needs a majority that has not heard the holder for
    // absence_timeout. A VM that never was in this position since the holder was last
    // sure of its right has not taken part in a takeover, and will not while it hears the
    // holder.
    const duration period = unconfirmed + unconfirmed / 50 + clock_margin;
    const auto known = this->peers.find(vm);
    return known != this->peers.end() && this->started != time_point::min() &&
           now - this->started > period &&
           (known->second.lapse_end == time_point::min() ||
            now - known->second.lapse_end > period);
}

// Majority of the VMs other than the holder. The holder itself does not count, so that
// the voters for a takeover and those that vouch for the holder always have one in
// common.
std::size_t share_claimer::quorum(const vm_id& holder_of) const
{
    std::size_t voters = this->vms.size();
    voters += this->vms.contains(this->options.self) ? 0 : 1;
    if (holder_of == this->options.self || this->vms.contains(holder_of))
        --voters;
    return voters / 2 + 1;
}

result<void> share_claimer::receive(time_point now, const vm_id& from,
                                    std::string_view type, const wire::body& content)
{
    this->on_peer_message(now, from);
    if (type == share_query::type)
    {
        const result<share_query> query = wire::decode<share_query>(content);
        if (!query)
            return query.error();
        const share_query& asked = query.value();
        constexpr std::uint64_t longest = 1ULL << 50;
        const duration unconfirmed(
            static_cast<std::int64_t>(std::min(asked.unconfirmed_us, longest)));
        const duration silence = this->unheard(now, asked.about);
        this->send(from, share_answer::type,
                   share_answer{.scope = asked.scope,
                                .about = asked.about,
                                .nonce = asked.nonce,
                                .unheard_us = static_cast<std::uint64_t>(silence.count()),
                                .vouches = asked.about == from &&
                                           this->vouches_for(now, from, unconfirmed)});
        return boost::outcome_v2::success();
    }
    if (type != share_answer::type)
        return failure(errc::invalid_argument,
                       "unknown message type " + std::string(type) +
                           "; check that all daemons run a compatible release");
    const result<share_answer> answer = wire::decode<share_answer>(content);
    if (!answer)
        return answer.error();
    const share_answer& said = answer.value();
    if (said.vouches && said.nonce == this->vouch_nonce && this->vouch_nonce != 0)
        this->vouchers.insert(from);
    if (this->candidate && said.nonce == this->candidate->nonce)
    {
        const duration silence(static_cast<std::int64_t>(said.unheard_us));
        if (silence >= this->options.absence_timeout)
            this->candidate->silent.insert(from);
        else
            this->candidate->heard = true;
    }
    return boost::outcome_v2::success();
}

std::vector<std::uint32_t> share_claimer::usable(time_point now) const
{
    std::vector<std::uint32_t> found;
    if (this->last_tick == time_point::min() ||
        now - this->last_tick > this->options.pause_limit)
        return found;
    for (const auto& [share, each] : this->held)
        if (!each.leaving && each.confirmed_by == 0 && each.usable_from <= now)
            found.push_back(share);
    return found;
}

void share_claimer::release(time_point now)
{
    this->releasing = true;
    for (auto& [share, each] : this->held)
        this->leave(now, share);
}

bool share_claimer::released() const
{
    return this->releasing && this->held.empty() && !this->busy && !this->read_back;
}

void share_claimer::leave(time_point now, std::uint32_t share)
{
    held_share& each = this->held.at(share);
    if (each.leaving)
        return;
    each.leaving = true;
    // Loans on the share end within this time.
    each.remove_at = now + this->options.release_delay;
}

void share_claimer::detect_pause(time_point now)
{
    const bool first = this->last_tick == time_point::min();
    const bool paused = !first && now - this->last_tick > this->options.pause_limit;
    if (first)
        this->started = now;
    if (first || paused)
        this->observing_since = now;
    if (paused)
    {
        const bool sure =
            std::all_of(this->held.begin(), this->held.end(),
                        [](const auto& each) { return each.second.confirmed_by == 0; });
        if (sure)
            this->paused_since = this->last_tick;
        this->resumed_at = now;
        this->vouchers.clear();
        this->vouch_nonce = 0;
        this->candidate.reset();
        this->absent_since.clear();
        for (auto& [share, each] : this->held)
            each.confirmed_by = each.sent + 1;
        this->next_renew = now;
        this->next_write = now;
    }
    this->last_tick = now;
}

void share_claimer::tick(time_point now)
{
    this->detect_pause(now);
    this->take_answers(now);
    this->seek_vouchers(now);
    if (this->busy)
        return;
    if (this->read_back)
    {
        if (now >= this->next_scan)
            this->scan(now);
        return;
    }
    if (now >= this->next_write &&
        (this->remove_left(now) || this->renew(now) || this->claim(now)))
        return;
    if (now >= this->next_scan)
        this->scan(now);
}

duration share_claimer::jittered(duration interval)
{
    return interval * 3 / 4 + duration(std::uniform_int_distribution<std::int64_t>(
                                  0, interval.count() / 2)(this->engine));
}

duration share_claimer::backoff()
{
    this->failures = std::min(this->failures + 1, max_failures);
    return this->jittered(this->options.retry_interval * (1 << (this->failures - 1)));
}

// Store
// -----------------------------------------------------------------------------------

std::string share_claimer::key(std::uint32_t share) const
{
    return "share/" + this->options.scope + '/' + std::to_string(share);
}

std::optional<std::uint32_t> share_claimer::share_of(std::string_view key) const
{
    const std::string prefix = "share/" + this->options.scope + '/';
    if (!key.starts_with(prefix))
        return std::nullopt;
    const std::string_view digits = key.substr(prefix.size());
    std::uint32_t share = 0;
    const auto [end, problem] =
        std::from_chars(digits.data(), digits.data() + digits.size(), share);
    if (problem != std::errc{} || end != digits.data() + digits.size())
        return std::nullopt;
    return share;
}

bool share_claimer::mine(const holder& value) const
{
    return value.vm == this->options.self &&
           value.started == this->options.self_incarnation;
}

bool share_claimer::earlier_self(const holder& value) const
{
    // A row of a later incarnation shows that this process has been replaced.
    if (value.vm == this->options.self)
        return value.started < this->options.self_incarnation;
    return !this->options.address.empty() && value.address == this->options.address;
}

holder share_claimer::next_value(std::uint64_t renewal) const
{
    return {.vm = this->options.self,
            .started = this->options.self_incarnation,
            .address = this->options.address,
            .renewal = renewal};
}

void share_claimer::scan(time_point now)
{
    this->busy = true;
    ++this->tally.scans;
    this->next_scan = now + this->jittered(this->lacking() ? this->options.retry_interval
                                                           : this->options.scan_interval);
    this->rows.scan(
        "share/" + this->options.scope + '/',
        [box = std::weak_ptr(this->answers)](result<std::vector<store::row>> answer)
        {
            if (const auto to = box.lock())
                to->rows = std::move(answer);
        });
}

void share_claimer::write(time_point now, std::vector<store::conditional_write> writes)
{
    this->busy = true;
    this->fresh_rows = false;
    this->write_sent = now;
    this->next_write = now + this->options.retry_interval;
    this->in_flight = writes;
    ++this->tally.writes;
    this->rows.transact(
        std::move(writes),
        [box = std::weak_ptr(this->answers)](result<store::transaction_outcome> answer)
        {
            if (const auto to = box.lock())
                to->written = std::move(answer);
        });
}

void share_claimer::take_answers(time_point now)
{
    if (this->answers->rows)
    {
        const auto answer = std::move(*this->answers->rows);
        this->answers->rows.reset();
        this->busy = false;
        if (answer)
            this->on_rows(now, answer.value());
        else
            this->next_scan = now + this->backoff();
    }
    if (this->answers->written)
    {
        const auto answer = std::move(*this->answers->written);
        this->answers->written.reset();
        this->busy = false;
        this->on_written(now, answer);
    }
}

void share_claimer::on_rows(time_point now, const std::vector<store::row>& read)
{
    this->failures = 0;
    this->read_back = false;
    this->fresh_rows = true;
    std::set<std::uint32_t> present;
    this->seen_holders.clear();
    for (const store::row& row : read)
        if (const auto share = this->share_of(row.key))
        {
            present.insert(*share);
            this->on_row(now, *share, row);
        }
    std::erase_if(this->seen,
                  [&](const auto& each) { return !present.contains(each.first); });
    std::erase_if(this->held,
                  [&](const auto& each) { return !present.contains(each.first); });
    this->spread(now);
}

void share_claimer::on_row(time_point now, std::uint32_t share, const store::row& row)
{
    seen_row& known = this->seen[share];
    if (known.rev != row.rev)
        known = {.rev = row.rev, .since = now, .value = parse(row.value)};
    if (!known.value)
    {
        ++this->tally.malformed_rows;
        this->held.erase(share);
        return;
    }
    this->seen_holders[share] = *known.value;
    if (!this->mine(*known.value))
    {
        this->held.erase(share);
        return;
    }
    auto at = this->held.find(share);
    if (at == this->held.end())
    {
        // A claim whose answer was lost. The next renewal shows that it still holds.
        at = this->held.emplace(share, held_share{}).first;
        at->second.sent = known.value->renewal;
        at->second.usable_from = now + this->options.idle_time;
        at->second.confirmed_by = known.value->renewal + 1;
        this->next_renew = now;
        if (this->releasing || share >= this->share_count)
            this->leave(now, share);
    }
    held_share& mine = at->second;
    mine.rev = row.rev;
    mine.value = *known.value;
    mine.sent = std::max(mine.sent, mine.value.renewal);
    if (mine.value.renewal >= mine.confirmed_by)
        mine.confirmed_by = 0;
}

void share_claimer::on_written(time_point now,
                               const result<store::transaction_outcome>& outcome)
{
    if (outcome && outcome.value().committed)
    {
        this->failures = 0;
        this->on_committed(now, outcome.value().rows);
        return;
    }
    if (!outcome && outcome.error().code == make_error_code(errc::unavailable))
    {
        const duration wait = this->backoff();
        this->next_renew = now + wait;
        this->next_write = now + wait;
        return;
    }
    if (outcome)
        ++this->tally.conflicts;
    else
        ++this->tally.unknown_outcomes;
    // Another VM was first, or the write may have taken effect.
    this->read_back = true;
    this->next_renew = std::min(this->next_renew, now);
    this->next_scan = now + this->jittered(this->options.retry_interval / 10);
}

void share_claimer::on_committed(time_point now, const std::vector<store::row>& written)
{
    for (std::size_t at = 0; at < this->in_flight.size(); ++at)
    {
        const store::conditional_write& sent = this->in_flight[at];
        const auto share = this->share_of(sent.key);
        if (!share)
            continue;
        if (sent.remove)
        {
            this->held.erase(*share);
            this->seen.erase(*share);
            this->seen_holders.erase(*share);
            continue;
        }
        const auto value = parse(sent.value);
        const auto [each, claimed] = this->held.try_emplace(*share);
        held_share& mine = each->second;
        mine.rev = at < written.size() ? written[at].rev : 0;
        mine.value = value.value_or(this->next_value(mine.sent));
        mine.sent = std::max(mine.sent, mine.value.renewal);
        this->seen[*share] = {.rev = mine.rev, .since = now, .value = mine.value};
        this->seen_holders[*share] = mine.value;
        if (claimed)
        {
            mine.usable_from = now + this->options.idle_time;
            // The answer may have waited while this process was paused.
            mine.confirmed_by = this->write_sent < this->resumed_at ? mine.sent + 1 : 0;
            this->next_renew = std::min(
                this->next_renew, now + this->jittered(this->options.renew_interval));
            this->next_scan =
                std::min(this->next_scan, now + this->options.retry_interval);
            if (this->releasing || *share >= this->share_count)
                this->leave(now, *share);
        }
        else if (mine.value.renewal >= mine.confirmed_by)
            mine.confirmed_by = 0;
    }
    for (const auto& [share, each] : this->held)
        if (each.confirmed_by != 0)
            this->next_renew = now;
}

// Decisions
// -------------------------------------------------------------------------------

bool share_claimer::remove_left(time_point now)
{
    std::vector<store::conditional_write> writes;
    for (const auto& [share, each] : this->held)
        if (each.leaving && now >= each.remove_at)
            writes.push_back(
                {.key = this->key(share), .expected = each.rev, .remove = true});
    if (writes.empty())
        return false;
    this->write(now, std::move(writes));
    return true;
}

bool share_claimer::renew(time_point now)
{
    if (now < this->next_renew)
        return false;
    std::vector<store::conditional_write> writes;
    for (auto& [share, each] : this->held)
    {
        if (each.leaving)
            continue;
        const holder value = this->next_value(++each.sent);
        writes.push_back({.key = this->key(share),
                          .expected = each.rev,
                          .value = nlohmann::json(value).dump()});
    }
    this->next_renew = now + this->jittered(this->options.renew_interval);
    if (writes.empty())
        return false;
    this->write(now, std::move(writes));
    return true;
}

std::size_t share_claimer::rank() const
{
    std::size_t before = 0;
    for (const auto& [vm, leaving] : this->vms)
        before += !leaving && vm < this->options.self ? 1 : 0;
    return before;
}

// Every VM takes an equal number; the first ones by id take the remainder.
std::size_t share_claimer::fair_count() const
{
    std::size_t live = 1;
    for (const auto& [vm, leaving] : this->vms)
        live += !leaving && vm != this->options.self ? 1 : 0;
    const std::size_t more = this->rank() < this->share_count % live ? 1 : 0;
    return this->share_count / live + more;
}

std::size_t share_claimer::held_count() const
{
    return static_cast<std::size_t>(std::count_if(this->held.begin(), this->held.end(),
                                                  [](const auto& each)
                                                  { return !each.second.leaving; }));
}

bool share_claimer::lacking() const
{
    return !this->releasing && this->last_list != time_point::min() &&
           this->held_count() < this->fair_count();
}

std::vector<std::uint32_t> share_claimer::claimable() const
{
    std::vector<std::uint32_t> found;
    for (const auto& [share, row] : this->seen)
        if (share < this->share_count && row.value && this->earlier_self(*row.value))
            found.push_back(share);
    if (!this->lacking())
        return found;
    // VMs begin at different rows, so that they seldom meet.
    const std::size_t room = this->fair_count() - this->held_count();
    const std::size_t first = this->rank();
    for (std::uint32_t step = 0; step < this->share_count && found.size() < room; ++step)
    {
        const auto share = static_cast<std::uint32_t>((first + step) % this->share_count);
        if (!this->seen.contains(share))
            found.push_back(share);
    }
    return found;
}

bool share_claimer::claim(time_point now)
{
    if (this->releasing || !this->fresh_rows)
        return false;
    std::vector<store::conditional_write> writes;
    for (const std::uint32_t share : this->claimable())
    {
        const auto row = this->seen.find(share);
        const std::uint64_t renewal =
            row == this->seen.end() ? 1 : row->second.value->renewal + 1;
        writes.push_back({.key = this->key(share),
                          .expected = row == this->seen.end() ? 0 : row->second.rev,
                          .value = nlohmann::json(this->next_value(renewal)).dump()});
    }
    if (!writes.empty())
    {
        this->write(now, std::move(writes));
        return true;
    }
    if (!this->lacking())
    {
        this->candidate.reset();
        return false;
    }
    if (!this->candidate)
        this->start_takeover(now);
    if (this->candidate)
        this->take_over(now);
    return this->busy;
}

bool share_claimer::gone(time_point now, const seen_row& row) const
{
    if (!row.value || now - this->last_list > list_life)
        return false;
    const auto absent = this->absent_since.find(row.value->vm);
    return absent != this->absent_since.end() &&
           this->last_list - absent->second >= this->options.absence_timeout &&
           now - row.since >= this->options.absence_timeout &&
           this->unheard(now, row.value->vm) >= this->options.absence_timeout;
}

void share_claimer::start_takeover(time_point now)
{
    if (now < this->next_query)
        return;
    for (const auto& [share, row] : this->seen)
    {
        if (share >= this->share_count || !this->gone(now, row))
            continue;
        this->next_query = now + this->jittered(2 * this->options.query_timeout);
        this->candidate = takeover{.share = share,
                                   .vm = row.value->vm,
                                   .nonce = this->next_nonce++,
                                   .asked = now};
        this->ask_peers(now, row.value->vm, this->candidate->nonce, duration{0});
        return;
    }
}

void share_claimer::take_over(time_point now)
{
    const takeover& wanted = *this->candidate;
    const auto row = this->seen.find(wanted.share);
    const bool valid = row != this->seen.end() && row->second.value &&
                       row->second.value->vm == wanted.vm &&
                       this->gone(now, row->second) && !wanted.heard &&
                       now - wanted.asked <= this->options.query_timeout;
    if (!valid)
    {
        this->candidate.reset();
        return;
    }
    if (wanted.silent.size() + 1 < this->quorum(wanted.vm))
        return;
    const holder value = this->next_value(row->second.value->renewal + 1);
    ++this->tally.takeovers;
    this->write(now, {{.key = this->key(wanted.share),
                       .expected = row->second.rev,
                       .value = nlohmann::json(value).dump()}});
    this->candidate.reset();
}

void share_claimer::ask_peers(time_point, const vm_id& about, std::uint64_t nonce,
                              duration unconfirmed)
{
    const share_query query{.scope = this->options.scope,
                            .about = about,
                            .nonce = nonce,
                            .unconfirmed_us =
                                static_cast<std::uint64_t>(unconfirmed.count())};
    for (const auto& [vm, leaving] : this->vms)
        if (vm != this->options.self && vm != about && this->send)
            this->send(vm, share_query::type, query);
}

void share_claimer::seek_vouchers(time_point now)
{
    const bool unsure = std::any_of(this->held.begin(), this->held.end(),
                                    [this](const auto& each) {
                                        return each.second.confirmed_by != 0 &&
                                               this->paused_since != time_point::min();
                                    });
    if (!unsure)
        return;
    if (this->vouchers.size() >= this->quorum(this->options.self))
    {
        for (auto& [share, each] : this->held)
            each.confirmed_by = 0;
        this->vouchers.clear();
        this->vouch_nonce = 0;
        return;
    }
    if (now < this->next_query)
        return;
    this->next_query = now + this->jittered(this->options.query_timeout);
    this->vouchers.clear();
    this->vouch_nonce = this->next_nonce++;
    this->ask_peers(now, this->options.self, this->vouch_nonce, now - this->paused_since);
}

// Gives one share to a VM that has none.
void share_claimer::spread(time_point now)
{
    std::map<vm_id, std::size_t> counts;
    for (const auto& [share, value] : this->seen_holders)
        if (share < this->share_count)
            ++counts[value.vm];
    bool newcomer = false;
    for (const auto& [vm, leaving] : this->vms)
    {
        if (leaving || counts.contains(vm))
        {
            this->without_share.erase(vm);
            continue;
        }
        const time_point since = this->without_share.try_emplace(vm, now).first->second;
        newcomer = newcomer || now - since >= newcomer_time;
    }
    std::erase_if(this->without_share,
                  [&](const auto& each) { return !this->vms.contains(each.first); });
    const bool none_free = this->seen_holders.size() >= this->share_count;
    const std::size_t own = this->held_count();
    if (!newcomer || !none_free || own < 2 || own != this->held.size())
        return;
    // Of the VMs with most shares the first by id gives.
    for (const auto& [vm, count] : counts)
        if (count > own || (count == own && vm < this->options.self))
            return;
    this->leave(now, this->held.rbegin()->first);
}

} // namespace pistachiospan::share
