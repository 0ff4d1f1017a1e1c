#include "pistachiospan/edge/internal/follower.hpp"

#include <algorithm>

namespace pistachiospan::edge::internal
{

using event_loop::monotonic_now;

follower::follower(event_base* base, follower_options options, const store_access& store,
                   mirror::table_mirror& copy, follower_hooks hooks)
    : options(options), store(store), copy(copy), hooks(std::move(hooks)),
      next(base, [this] { this->read(); }), backoff(options.first_backoff)
{
    this->next.start(duration(0));
}

void follower::read()
{
    const std::uint64_t number = ++this->reads;
    const bool whole = this->whole_needed;
    this->began = monotonic_now();
    const auto done = [this, number, whole](const result<mirror::page>& outcome)
    { this->finish(number, outcome, whole); };
    if (whole)
        this->store.read_whole(this->options.followed, done);
    else
        // After a failure the store is not to wait for a change: its answer alone is news.
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
        this->copy.apply_whole(now, outcome.value());
    else
        this->copy.apply_changes(now, outcome.value());
    this->whole_needed = false;
    this->backoff = this->options.first_backoff;
    if (!this->in_reach)
    {
        this->in_reach = true;
        this->hooks.regained();
    }
    this->hooks.read();
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
    this->copy.note_outage(monotonic_now());
    if (this->in_reach)
    {
        this->in_reach = false;
        this->hooks.lost(problem);
    }
    this->next.start(this->backoff);
    this->backoff = std::min(this->backoff * 2, this->options.longest_backoff);
}

void follower::hurry()
{
    ++this->reads;
    this->store.interrupt(this->options.followed);
    this->next.start(duration(0));
}

} // namespace pistachiospan::edge::internal
