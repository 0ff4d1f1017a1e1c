#include "pistachiospan/edge/internal/follower.hpp"

#include <algorithm>

namespace pistachiospan::edge::internal
{

using event_loop::monotonic_now;

follower::follower(event_base* base, follower_options options, const store_access& store,
                   peer_link& peers, mirror::table_mirror& copy, follower_hooks hooks)
    : options(options), store(store), peers(peers), copy(copy), hooks(std::move(hooks)),
      next(base, [this] { this->read(); }), backoff(options.first_backoff)
{
}

void follower::start()
{
    this->next.start(duration(0));
}

void follower::read()
{
    ++this->reads;
    this->began = monotonic_now();
    const bool at_store = std::exchange(this->store_first, false);
    this->source = at_store ? std::string() : this->hooks.choose();
    if (this->source.empty())
        this->read_store();
    else
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
        [this, number = this->reads](const result<mirror::relay_page>& outcome)
        { this->finish_relayed(number, outcome); });
}

void follower::finish_relayed(std::uint64_t number,
                              const result<mirror::relay_page>& outcome)
{
    if (number != this->reads)
        return;
    const time_point now = monotonic_now();
    if (!outcome)
    {
        this->store_first = true;
        this->next.start(duration(0));
        this->hooks.read({.source = this->source});
        return;
    }
    const mirror::relay_page& given = outcome.value();
    this->copy.apply_relay_page(now, given);
    this->last_read = now;
    this->hooks.read({.good = true});
    this->relay_instance = given.instance;
    this->relay_cursor = given.cursor;
    this->next.start(this->began + this->options.pace - now);
}

void follower::read_store()
{
    const std::uint64_t number = this->reads;
    const bool whole = this->whole_needed;
    const auto done = [this, number, whole](const result<mirror::page>& outcome)
    {
        this->finish(number, outcome, whole);
    };
    if (whole)
        this->store.read_snapshot(this->options.followed, done);
    else
        // After a failure the store is not to wait for a change: its answer alone is
        // news.
        this->store.read_changes(this->options.followed, this->copy.position(),
                                 this->in_reach ? this->options.wait : duration(0), done);
}

void follower::finish(std::uint64_t number, const result<mirror::page>& outcome,
                      bool whole)
{
    if (number != this->reads)
        return;
    const time_point now = monotonic_now();
    if (!outcome)
    {
        this->fail(outcome.error());
        return;
    }
    if (whole)
        this->copy.apply_snapshot(now, outcome.value());
    else
        this->copy.apply_changes(now, outcome.value());
    this->whole_needed = false;
    this->store_read = now;
    this->last_read = now;
    this->backoff = this->options.first_backoff;
    if (!this->in_reach)
    {
        this->in_reach = true;
        this->hooks.regained();
    }
    this->hooks.read({.from_store = true, .good = true});
    this->next.start(this->began + this->options.pace - now);
}

void follower::fail(const error& problem)
{
    if (problem.code == make_error_code(errc::stale))
    {
        this->whole_needed = true;
        this->next.start(duration(0));
        return;
    }
    this->copy.note_read_failure(monotonic_now());
    this->hooks.read(
        {.from_store = true,
         .timed_out = problem.code == make_error_code(errc::unknown_outcome)});
    if (this->in_reach)
    {
        this->in_reach = false;
        this->failing_since = monotonic_now();
        this->hooks.lost(problem);
    }
    this->next.start(this->backoff);
    this->backoff = std::min(this->backoff * 2, this->options.longest_backoff);
}

void follower::reconsider(time_point now)
{
    if (this->reads == 0)
        return;
    const duration most = this->options.wait + this->options.late_after;
    if (this->source.empty() && now - this->began <= most)
        return;
    if (this->hooks.choose() == this->source)
        return;
    this->restart();
}

void follower::restart()
{
    ++this->reads;
    this->store.cancel_read(this->options.followed);
    this->peers.cancel(this->relay_call);
    this->next.start(duration(0));
}

bool follower::hurry(time_point since)
{
    if (this->reads == 0 || (this->source.empty() && this->began >= since))
        return false;
    this->store_first = true;
    this->restart();
    return true;
}

} // namespace pistachiospan::edge::internal
