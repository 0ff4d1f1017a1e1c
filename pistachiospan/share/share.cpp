#include "pistachiospan/share/share.hpp"

#include <algorithm>
#include <charconv>

namespace pistachiospan::share
{

namespace
{

// Absence of a VM from a list older than this is not considered.
constexpr duration max_vm_list_age = std::chrono::seconds(10);
// Shortest silence of a VM that this VM may have reported in support of a takeover. Kept
// below the default absence_timeout of 60 s.
constexpr duration long_silence = std::chrono::seconds(55);
// Added to durations measured on the clock of another VM.
constexpr duration clock_margin = std::chrono::seconds(1);
// Time for which a listed VM may claim a free row by itself before another VM releases
// one for it.
constexpr duration newcomer_claim_time = std::chrono::seconds(5);
constexpr unsigned max_backoff_failures = 5;

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
    for (auto& [share, state] : this->held_shares)
        if (share >= count)
            this->retire(now, share);
}

void share_claimer::on_vm_list(time_point now, std::span<const store::vm_entry> entries)
{
    // A VM counts as absent only while the list is read without gaps.
    const bool gap = this->last_vm_list_at == time_point::min() ||
                     now - this->last_vm_list_at > max_vm_list_age;
    this->last_vm_list_at = now;
    this->vms.clear();
    for (const store::vm_entry& entry : entries)
        this->vms[entry.id] = entry.leaving;
    if (gap)
        this->absent_since.clear();
    for (const auto& [share, row] : this->known_rows)
        if (row.value && !this->vms.contains(row.value->vm))
            this->absent_since.try_emplace(row.value->vm, now);
    std::erase_if(this->absent_since,
                  [&](const auto& entry) { return this->vms.contains(entry.first); });
}

void share_claimer::on_peer_message(time_point now, const vm_id& peer)
{
    peer_contact& contact =
        this->peers.try_emplace(peer, peer_contact{.last_heard_at = now}).first->second;
    if (now - std::max(contact.last_heard_at, this->observing_since) >= long_silence)
        contact.last_silence_end = now;
    contact.last_heard_at = now;
}

duration share_claimer::silence_of(time_point now, const vm_id& vm) const
{
    if (this->observing_since == time_point::min())
        return duration{0};
    time_point since = this->observing_since;
    if (const auto known = this->peers.find(vm); known != this->peers.end())
        since = std::max(since, known->second.last_heard_at);
    return now - since;
}

bool share_claimer::vouches_for(time_point now, const vm_id& vm,
                                duration unconfirmed) const
{
    // A takeover needs a majority of VMs that have not heard the holder for
    // absence_timeout. If this VM has had no such silence of the holder since the
    // holder's last confirmation, it has not supported a takeover, and it will not while
    // it keeps hearing the holder.
    const duration period = unconfirmed + unconfirmed / 50 + clock_margin;
    const auto known = this->peers.find(vm);
    return known != this->peers.end() && this->started_at != time_point::min() &&
           now - this->started_at > period &&
           (known->second.last_silence_end == time_point::min() ||
            now - known->second.last_silence_end > period);
}

// Majority of the VMs other than the holder. The holder has no vote, so that the voters
// for a takeover and those that vouch for the holder always have one VM in common.
std::size_t share_claimer::quorum(const vm_id& holder_id) const
{
    std::size_t voters = this->vms.size();
    voters += this->vms.contains(this->options.self) ? 0 : 1;
    if (holder_id == this->options.self || this->vms.contains(holder_id))
        --voters;
    return voters / 2 + 1;
}

result<void> share_claimer::receive(time_point now, const vm_id& from,
                                    std::string_view type, const wire::body& content)
{
    this->on_peer_message(now, from);
    if (type == share_query::type)
    {
        const result<share_query> decoded = wire::decode<share_query>(content);
        if (!decoded)
            return decoded.error();
        const share_query& query = decoded.value();
        constexpr std::uint64_t max_unconfirmed_us = 1ULL << 50;
        const duration unconfirmed(static_cast<std::int64_t>(
            std::min(query.unconfirmed_us, max_unconfirmed_us)));
        const duration silence = this->silence_of(now, query.about);
        this->send(from, share_answer::type,
                   share_answer{.scope = query.scope,
                                .about = query.about,
                                .nonce = query.nonce,
                                .unheard_us = static_cast<std::uint64_t>(silence.count()),
                                .vouches = query.about == from &&
                                           this->vouches_for(now, from, unconfirmed)});
        return boost::outcome_v2::success();
    }
    if (type != share_answer::type)
        return failure(errc::invalid_argument,
                       "unknown message type " + std::string(type) +
                           "; check that all daemons run a compatible release");
    const result<share_answer> decoded = wire::decode<share_answer>(content);
    if (!decoded)
        return decoded.error();
    const share_answer& answer = decoded.value();
    if (answer.vouches && answer.nonce == this->vouch_nonce && this->vouch_nonce != 0)
        this->vouchers.insert(from);
    if (this->candidate && answer.nonce == this->candidate->nonce)
    {
        const duration silence(static_cast<std::int64_t>(answer.unheard_us));
        if (silence >= this->options.absence_timeout)
            this->candidate->silent_peers.insert(from);
        else
            this->candidate->heard_by_peer = true;
    }
    return boost::outcome_v2::success();
}

std::vector<std::uint32_t> share_claimer::usable(time_point now) const
{
    std::vector<std::uint32_t> found;
    if (this->last_tick == time_point::min() ||
        now - this->last_tick > this->options.pause_limit)
        return found;
    for (const auto& [share, state] : this->held_shares)
        if (!state.retired && state.confirming_renewal == 0 && state.usable_from <= now)
            found.push_back(share);
    return found;
}

void share_claimer::release(time_point now)
{
    this->releasing = true;
    for (auto& [share, state] : this->held_shares)
        this->retire(now, share);
}

bool share_claimer::released() const
{
    return this->releasing && this->held_shares.empty() && !this->request_pending &&
           !this->rescan_required;
}

void share_claimer::retire(time_point now, std::uint32_t share)
{
    held_share& state = this->held_shares.at(share);
    if (state.retired)
        return;
    state.retired = true;
    // Loans on the share end within release_delay.
    state.remove_at = now + this->options.release_delay;
}

void share_claimer::detect_pause(time_point now)
{
    const bool first = this->last_tick == time_point::min();
    const bool paused = !first && now - this->last_tick > this->options.pause_limit;
    if (first)
        this->started_at = now;
    if (first || paused)
        this->observing_since = now;
    if (paused)
    {
        const bool all_confirmed = std::all_of(
            this->held_shares.begin(), this->held_shares.end(),
            [](const auto& entry) { return entry.second.confirming_renewal == 0; });
        if (all_confirmed)
            this->paused_since = this->last_tick;
        this->resumed_at = now;
        this->vouchers.clear();
        this->vouch_nonce = 0;
        this->candidate.reset();
        this->absent_since.clear();
        for (auto& [share, state] : this->held_shares)
            state.confirming_renewal = state.sent_renewal + 1;
        this->next_renew = now;
        this->next_write = now;
    }
    this->last_tick = now;
}

void share_claimer::tick(time_point now)
{
    this->detect_pause(now);
    this->handle_answers(now);
    this->request_vouchers(now);
    if (this->request_pending)
        return;
    if (this->rescan_required)
    {
        if (now >= this->next_scan)
            this->scan(now);
        return;
    }
    if (now >= this->next_write &&
        (this->remove_retired(now) || this->renew(now) || this->claim(now)))
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
    this->failures = std::min(this->failures + 1, max_backoff_failures);
    return this->jittered(this->options.retry_interval * (1 << (this->failures - 1)));
}

// Store access
// -----------------------------------------------------------------------------------

std::string share_claimer::row_key(std::uint32_t share) const
{
    return "share/" + this->options.scope + '/' + std::to_string(share);
}

std::optional<std::uint32_t> share_claimer::parse_key(std::string_view key) const
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

bool share_claimer::is_own(const holder& value) const
{
    return value.vm == this->options.self &&
           value.started == this->options.self_incarnation;
}

bool share_claimer::is_predecessor(const holder& value) const
{
    // A row of a later incarnation is not taken: it means that this process was replaced.
    if (value.vm == this->options.self)
        return value.started < this->options.self_incarnation;
    return !this->options.address.empty() && value.address == this->options.address;
}

holder share_claimer::make_holder(std::uint64_t renewal) const
{
    return {.vm = this->options.self,
            .started = this->options.self_incarnation,
            .address = this->options.address,
            .renewal = renewal};
}

void share_claimer::scan(time_point now)
{
    this->request_pending = true;
    ++this->stats.scans;
    this->next_scan =
        now + this->jittered(this->below_fair_count() ? this->options.retry_interval
                                                      : this->options.scan_interval);
    this->rows.scan("share/" + this->options.scope + '/',
                    [weak_answers = std::weak_ptr(this->answers)](
                        result<std::vector<store::row>> answer)
                    {
                        if (const auto pending = weak_answers.lock())
                            pending->rows = std::move(answer);
                    });
}

void share_claimer::write(time_point now, std::vector<store::conditional_write> writes)
{
    this->request_pending = true;
    this->rows_fresh = false;
    this->write_sent = now;
    this->next_write = now + this->options.retry_interval;
    this->in_flight = writes;
    ++this->stats.writes;
    this->rows.transact(std::move(writes),
                        [weak_answers = std::weak_ptr(this->answers)](
                            result<store::transaction_outcome> answer)
                        {
                            if (const auto pending = weak_answers.lock())
                                pending->transaction = std::move(answer);
                        });
}

void share_claimer::handle_answers(time_point now)
{
    if (this->answers->rows)
    {
        const auto answer = std::move(*this->answers->rows);
        this->answers->rows.reset();
        this->request_pending = false;
        if (answer)
            this->on_rows(now, answer.value());
        else
            this->next_scan = now + this->backoff();
    }
    if (this->answers->transaction)
    {
        const auto answer = std::move(*this->answers->transaction);
        this->answers->transaction.reset();
        this->request_pending = false;
        this->on_write_result(now, answer);
    }
}

void share_claimer::on_rows(time_point now, const std::vector<store::row>& read)
{
    this->failures = 0;
    this->rescan_required = false;
    this->rows_fresh = true;
    std::set<std::uint32_t> present;
    this->known_holders.clear();
    for (const store::row& row : read)
        if (const auto share = this->parse_key(row.key))
        {
            present.insert(*share);
            this->on_row(now, *share, row);
        }
    std::erase_if(this->known_rows,
                  [&](const auto& entry) { return !present.contains(entry.first); });
    std::erase_if(this->held_shares,
                  [&](const auto& entry) { return !present.contains(entry.first); });
    this->release_for_newcomer(now);
}

void share_claimer::on_row(time_point now, std::uint32_t share, const store::row& row)
{
    known_row& known = this->known_rows[share];
    if (known.rev != row.rev)
        known = {.rev = row.rev, .since = now, .value = parse(row.value)};
    if (!known.value)
    {
        ++this->stats.malformed_rows;
        this->held_shares.erase(share);
        return;
    }
    this->known_holders[share] = *known.value;
    if (!this->is_own(*known.value))
    {
        this->held_shares.erase(share);
        return;
    }
    auto at = this->held_shares.find(share);
    if (at == this->held_shares.end())
    {
        // A claim took effect although its answer was lost. The share is used only after
        // a renewal has confirmed it.
        at = this->held_shares.emplace(share, held_share{}).first;
        at->second.sent_renewal = known.value->renewal;
        at->second.usable_from = now + this->options.idle_time;
        at->second.confirming_renewal = known.value->renewal + 1;
        this->next_renew = now;
        if (this->releasing || share >= this->share_count)
            this->retire(now, share);
    }
    held_share& own = at->second;
    own.rev = row.rev;
    own.value = *known.value;
    own.sent_renewal = std::max(own.sent_renewal, own.value.renewal);
    if (own.value.renewal >= own.confirming_renewal)
        own.confirming_renewal = 0;
}

void share_claimer::on_write_result(time_point now,
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
        ++this->stats.conflicts;
    else
        ++this->stats.unknown_outcomes;
    // Another VM wrote first, or the write may have taken effect without an answer.
    this->rescan_required = true;
    this->next_renew = std::min(this->next_renew, now);
    this->next_scan = now + this->jittered(this->options.retry_interval / 10);
}

void share_claimer::on_committed(time_point now, const std::vector<store::row>& written)
{
    for (std::size_t at = 0; at < this->in_flight.size(); ++at)
    {
        const store::conditional_write& sent = this->in_flight[at];
        const auto share = this->parse_key(sent.key);
        if (!share)
            continue;
        if (sent.remove)
        {
            this->held_shares.erase(*share);
            this->known_rows.erase(*share);
            this->known_holders.erase(*share);
            continue;
        }
        const auto value = parse(sent.value);
        const auto [position, claimed] = this->held_shares.try_emplace(*share);
        held_share& own = position->second;
        own.rev = at < written.size() ? written[at].rev : 0;
        own.value = value.value_or(this->make_holder(own.sent_renewal));
        own.sent_renewal = std::max(own.sent_renewal, own.value.renewal);
        this->known_rows[*share] = {.rev = own.rev, .since = now, .value = own.value};
        this->known_holders[*share] = own.value;
        if (claimed)
        {
            own.usable_from = now + this->options.idle_time;
            // The answer may have arrived late because this process was paused: the share
            // then needs a confirming renewal.
            own.confirming_renewal =
                this->write_sent < this->resumed_at ? own.sent_renewal + 1 : 0;
            this->next_renew = std::min(
                this->next_renew, now + this->jittered(this->options.renew_interval));
            this->next_scan =
                std::min(this->next_scan, now + this->options.retry_interval);
            if (this->releasing || *share >= this->share_count)
                this->retire(now, *share);
        }
        else if (own.value.renewal >= own.confirming_renewal)
            own.confirming_renewal = 0;
    }
    for (const auto& [share, state] : this->held_shares)
        if (state.confirming_renewal != 0)
            this->next_renew = now;
}

// Decisions
// -------------------------------------------------------------------------------

bool share_claimer::remove_retired(time_point now)
{
    std::vector<store::conditional_write> writes;
    for (const auto& [share, state] : this->held_shares)
        if (state.retired && now >= state.remove_at)
            writes.push_back(
                {.key = this->row_key(share), .expected = state.rev, .remove = true});
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
    for (auto& [share, state] : this->held_shares)
    {
        if (state.retired)
            continue;
        const holder value = this->make_holder(++state.sent_renewal);
        writes.push_back({.key = this->row_key(share),
                          .expected = state.rev,
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

// Every VM holds an equal number of shares; the VMs with the lowest ids hold one more
// each if there is a remainder.
std::size_t share_claimer::fair_count() const
{
    std::size_t live = 1;
    for (const auto& [vm, leaving] : this->vms)
        live += !leaving && vm != this->options.self ? 1 : 0;
    const std::size_t extra = this->rank() < this->share_count % live ? 1 : 0;
    return this->share_count / live + extra;
}

std::size_t share_claimer::held_count() const
{
    return static_cast<std::size_t>(
        std::count_if(this->held_shares.begin(), this->held_shares.end(),
                      [](const auto& entry) { return !entry.second.retired; }));
}

bool share_claimer::below_fair_count() const
{
    return !this->releasing && this->last_vm_list_at != time_point::min() &&
           this->held_count() < this->fair_count();
}

std::vector<std::uint32_t> share_claimer::claimable() const
{
    std::vector<std::uint32_t> found;
    for (const auto& [share, row] : this->known_rows)
        if (share < this->share_count && row.value && this->is_predecessor(*row.value))
            found.push_back(share);
    if (!this->below_fair_count())
        return found;
    // VMs start at different rows, so that their claims rarely conflict.
    const std::size_t missing = this->fair_count() - this->held_count();
    const std::size_t first = this->rank();
    for (std::uint32_t step = 0; step < this->share_count && found.size() < missing;
         ++step)
    {
        const auto share = static_cast<std::uint32_t>((first + step) % this->share_count);
        if (!this->known_rows.contains(share))
            found.push_back(share);
    }
    return found;
}

bool share_claimer::claim(time_point now)
{
    if (this->releasing || !this->rows_fresh)
        return false;
    std::vector<store::conditional_write> writes;
    for (const std::uint32_t share : this->claimable())
    {
        const auto row = this->known_rows.find(share);
        const std::uint64_t renewal =
            row == this->known_rows.end() ? 1 : row->second.value->renewal + 1;
        writes.push_back({.key = this->row_key(share),
                          .expected = row == this->known_rows.end() ? 0 : row->second.rev,
                          .value = nlohmann::json(this->make_holder(renewal)).dump()});
    }
    if (!writes.empty())
    {
        this->write(now, std::move(writes));
        return true;
    }
    if (!this->below_fair_count())
    {
        this->candidate.reset();
        return false;
    }
    if (!this->candidate)
        this->start_takeover(now);
    if (this->candidate)
        this->take_over(now);
    return this->request_pending;
}

bool share_claimer::holder_gone(time_point now, const known_row& row) const
{
    if (!row.value || now - this->last_vm_list_at > max_vm_list_age)
        return false;
    const auto absent = this->absent_since.find(row.value->vm);
    return absent != this->absent_since.end() &&
           this->last_vm_list_at - absent->second >= this->options.absence_timeout &&
           now - row.since >= this->options.absence_timeout &&
           this->silence_of(now, row.value->vm) >= this->options.absence_timeout;
}

void share_claimer::start_takeover(time_point now)
{
    if (now < this->next_query)
        return;
    for (const auto& [share, row] : this->known_rows)
    {
        if (share >= this->share_count || !this->holder_gone(now, row))
            continue;
        this->next_query = now + this->jittered(2 * this->options.query_timeout);
        this->candidate = takeover{.share = share,
                                   .vm = row.value->vm,
                                   .nonce = this->next_nonce++,
                                   .queried_at = now};
        this->query_peers(now, row.value->vm, this->candidate->nonce, duration{0});
        return;
    }
}

void share_claimer::take_over(time_point now)
{
    const takeover& pending = *this->candidate;
    const auto row = this->known_rows.find(pending.share);
    const bool valid = row != this->known_rows.end() && row->second.value &&
                       row->second.value->vm == pending.vm &&
                       this->holder_gone(now, row->second) && !pending.heard_by_peer &&
                       now - pending.queried_at <= this->options.query_timeout;
    if (!valid)
    {
        this->candidate.reset();
        return;
    }
    if (pending.silent_peers.size() + 1 < this->quorum(pending.vm))
        return;
    const holder value = this->make_holder(row->second.value->renewal + 1);
    ++this->stats.takeovers;
    this->write(now, {{.key = this->row_key(pending.share),
                       .expected = row->second.rev,
                       .value = nlohmann::json(value).dump()}});
    this->candidate.reset();
}

void share_claimer::query_peers(time_point, const vm_id& about, std::uint64_t nonce,
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

void share_claimer::request_vouchers(time_point now)
{
    const bool any_unconfirmed =
        std::any_of(this->held_shares.begin(), this->held_shares.end(),
                    [this](const auto& entry)
                    {
                        return entry.second.confirming_renewal != 0 &&
                               this->paused_since != time_point::min();
                    });
    if (!any_unconfirmed)
        return;
    if (this->vouchers.size() >= this->quorum(this->options.self))
    {
        for (auto& [share, state] : this->held_shares)
            state.confirming_renewal = 0;
        this->vouchers.clear();
        this->vouch_nonce = 0;
        return;
    }
    if (now < this->next_query)
        return;
    this->next_query = now + this->jittered(this->options.query_timeout);
    this->vouchers.clear();
    this->vouch_nonce = this->next_nonce++;
    this->query_peers(now, this->options.self, this->vouch_nonce,
                      now - this->paused_since);
}

// Releases one share if a listed VM has had none for newcomer_claim_time.
void share_claimer::release_for_newcomer(time_point now)
{
    std::map<vm_id, std::size_t> counts;
    for (const auto& [share, value] : this->known_holders)
        if (share < this->share_count)
            ++counts[value.vm];
    bool newcomer = false;
    for (const auto& [vm, leaving] : this->vms)
    {
        if (leaving || counts.contains(vm))
        {
            this->without_share_since.erase(vm);
            continue;
        }
        const time_point since =
            this->without_share_since.try_emplace(vm, now).first->second;
        newcomer = newcomer || now - since >= newcomer_claim_time;
    }
    std::erase_if(this->without_share_since,
                  [&](const auto& entry) { return !this->vms.contains(entry.first); });
    const bool no_free_share = this->known_holders.size() >= this->share_count;
    const std::size_t own = this->held_count();
    if (!newcomer || !no_free_share || own < 2 || own != this->held_shares.size())
        return;
    // Of the VMs with the most shares, only the one with the lowest id releases one.
    for (const auto& [vm, count] : counts)
        if (count > own || (count == own && vm < this->options.self))
            return;
    this->retire(now, this->held_shares.rbegin()->first);
}

} // namespace pistachiospan::share
