#include "pistachiospan/edge/internal/follower.hpp"

#include <algorithm>

namespace pistachiospan::edge::internal
{

using event_loop::monotonic_now;

follower::follower(event_base* base, follower_options options, const store_access& store,
                   peer_link& peers, mirror::table_mirror& copy, follower_hooks hooks)
    : options(options), store(store), peers(peers), copy(copy), hooks(std::move(hooks)),
      next_read(base, [this] { this->read(); }), backoff(options.initial_backoff)
{
}

void follower::start()
{
    this->next_read.start(duration(0));
}

void follower::read()
{
    ++this->read_sequence;
    this->read_started_at = monotonic_now();
    this->is_forced = std::exchange(this->force_store, false);
    this->source = this->is_forced ? std::string() : this->hooks.choose_source();
    if (this->source.empty())
    {
        if (!this->unanswered_since)
            this->unanswered_since = this->read_started_at;
        this->read_store();
        return;
    }
    this->unanswered_since.reset();
    this->read_peer(this->source);
}

void follower::read_peer(const std::string& address)
{
    this->relay_call = this->peers.fetch(
        address,
        {.followed = this->options.followed,
         .instance = this->relay_instance,
         .cursor = this->relay_cursor,
         .wait = this->options.wait},
        [this, sequence = this->read_sequence](const result<mirror::relay_page>& outcome)
        { this->finish_peer_read(sequence, outcome); });
}

void follower::finish_peer_read(std::uint64_t sequence,
                                const result<mirror::relay_page>& outcome)
{
    if (sequence != this->read_sequence)
        return;
    const time_point now = monotonic_now();
    if (!outcome)
    {
        this->force_store = true;
        this->next_read.start(duration(0));
        this->hooks.read_finished({.source = this->source});
        return;
    }
    const mirror::relay_page& page = outcome.value();
    const bool accepted = this->copy.apply_relay_page(now, page);
    this->last_read = now;
    this->hooks.read_finished({.succeeded = true,
                               .source = this->source,
                               .is_snapshot = page.is_snapshot,
                               .rows = page.content.rows.size(),
                               .position = page.content.position,
                               .held = page.held.size(),
                               .took = now - this->read_started_at});
    if (!accepted)
    {
        // The other VM is behind. It sends the same changes again when it has caught up.
        const duration pause =
            std::max(this->options.min_interval, this->options.behind_interval);
        this->next_read.start(this->read_started_at + pause - now);
        return;
    }
    this->relay_instance = page.instance;
    this->relay_cursor = page.cursor;
    this->next_read.start(this->read_started_at + this->options.min_interval - now);
}

void follower::read_store()
{
    const std::uint64_t sequence = this->read_sequence;
    const bool is_snapshot = this->snapshot_needed || this->copy.needs_snapshot();
    const auto done = [this, sequence, is_snapshot](const result<mirror::page>& outcome)
    {
        this->finish_store_read(sequence, outcome, is_snapshot);
    };
    if (is_snapshot)
    {
        this->store.read_snapshot(this->options.followed, done);
        return;
    }
    // After a failure, and if another VM has a newer change, the store should answer at
    // once: a read that it does not answer must fail soon.
    const bool waits = this->store_reachable && !this->is_forced;
    this->store.read_changes(this->options.followed, this->copy.position(),
                             waits ? this->options.wait : duration(0), done);
}

void follower::finish_store_read(std::uint64_t sequence,
                                 const result<mirror::page>& outcome, bool is_snapshot)
{
    if (sequence != this->read_sequence)
        return;
    this->unanswered_since.reset();
    this->is_forced = false;
    if (!outcome)
    {
        this->handle_failure(outcome.error());
        return;
    }
    this->apply_store_page(outcome.value(), is_snapshot, this->read_started_at);
    this->backoff = this->options.initial_backoff;
    this->next_read.start(this->read_started_at + this->options.min_interval -
                          monotonic_now());
}

void follower::apply_store_page(const mirror::page& page, bool is_snapshot,
                                time_point read_started_at)
{
    const time_point now = monotonic_now();
    if (is_snapshot)
        this->copy.apply_snapshot(now, page);
    else
        this->copy.apply_changes(now, page);
    this->snapshot_needed = false;
    this->last_store_read = now;
    this->last_read = now;
    if (!this->store_reachable)
    {
        this->store_reachable = true;
        this->hooks.regained();
    }
    this->hooks.read_finished({.from_store = true,
                               .succeeded = true,
                               .is_snapshot = is_snapshot,
                               .rows = page.rows.size(),
                               .position = page.position,
                               .took = now - read_started_at});
}

void follower::handle_failure(const error& problem)
{
    if (problem.code == make_error_code(errc::stale))
    {
        // The snapshot must come from the store, also if another source is chosen by
        // now: a read that was forced because this VM is behind is not repeated.
        this->snapshot_needed = true;
        this->force_store = true;
        this->next_read.start(duration(0));
        return;
    }
    this->note_store_failure(problem);
    // Another source need not wait because the store has failed.
    const bool is_store_next = this->hooks.choose_source().empty();
    this->next_read.start(is_store_next ? this->backoff : this->options.initial_backoff);
    this->backoff = std::min(this->backoff * 2, this->options.max_backoff);
}

void follower::note_store_failure(const error& problem)
{
    this->copy.note_read_failure(monotonic_now());
    this->hooks.read_finished(
        {.from_store = true,
         .timed_out = problem.code == make_error_code(errc::unknown_outcome)});
    if (std::exchange(this->store_reachable, false))
        this->hooks.lost(problem);
}

void follower::probe_store()
{
    if (!this->source.empty() && !this->extra_read_started_at)
        this->begin_extra_read();
}

void follower::begin_extra_read()
{
    const time_point now = monotonic_now();
    const bool is_snapshot = this->snapshot_needed || this->copy.needs_snapshot();
    this->extra_read_started_at = now;
    const auto done = [this, sequence = ++this->extra_sequence, is_snapshot,
                       now](const result<mirror::page>& outcome)
    {
        if (sequence == this->extra_sequence)
            this->finish_extra_read(outcome, is_snapshot, now);
    };
    if (is_snapshot)
        this->store.read_snapshot(this->options.followed, done);
    else
        this->store.read_changes(this->options.followed, this->copy.position(),
                                 duration(0), done);
}

void follower::finish_extra_read(const result<mirror::page>& outcome, bool is_snapshot,
                                 time_point read_started_at)
{
    this->extra_read_started_at.reset();
    if (outcome)
    {
        this->apply_store_page(outcome.value(), is_snapshot, read_started_at);
        return;
    }
    if (outcome.error().code != make_error_code(errc::stale))
    {
        this->note_store_failure(outcome.error());
        return;
    }
    this->snapshot_needed = true;
    this->begin_extra_read();
}

void follower::reconsider(time_point now)
{
    if (this->read_sequence == 0)
        return;
    const duration max_duration = this->is_forced
                                      ? this->options.forced_limit
                                      : this->options.wait + this->options.overdue_after;
    if (this->unanswered_since && now - *this->unanswered_since <= max_duration)
        return;
    if (this->hooks.choose_source() == this->source)
        return;
    this->restart();
}

void follower::leave_store()
{
    const bool waits_for_store =
        this->read_sequence > 0 && this->source.empty() && !this->is_forced;
    if (waits_for_store && !this->hooks.choose_source().empty())
        this->restart();
}

void follower::restart()
{
    bool is_abandoned = std::exchange(this->is_forced, false);
    ++this->read_sequence;
    if (this->source.empty())
    {
        // Both reads of the store end, also one that began beside another VM's.
        this->store.cancel_read(this->options.followed);
        ++this->extra_sequence;
        is_abandoned = is_abandoned || this->extra_read_started_at;
        this->extra_read_started_at.reset();
    }
    this->peers.cancel(this->relay_call);
    if (is_abandoned && this->hooks.forced_read_abandoned)
        this->hooks.forced_read_abandoned();
    this->next_read.start(duration(0));
}

bool follower::read_from_store_since(time_point since)
{
    if (this->read_sequence == 0)
        return false;
    const time_point now = monotonic_now();
    if (!this->source.empty())
    {
        if (this->extra_read_started_at)
            return false;
        this->begin_extra_read();
        return true;
    }
    const bool is_awaited =
        this->read_started_at >= since ||
        (this->is_forced && now - this->read_started_at <= this->options.forced_limit);
    if (is_awaited)
        return false;
    this->force_store = true;
    this->restart();
    return true;
}

} // namespace pistachiospan::edge::internal
