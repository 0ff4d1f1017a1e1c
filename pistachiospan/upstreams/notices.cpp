// What upstreams say about themselves in their answers, here and to other VMs.

#include "pistachiospan/upstreams/upstreams.hpp"

namespace pistachiospan::upstreams
{

void upstream_set::note_pause(time_point now, std::string_view id, duration span)
{
    if (upstream* target = this->find(id))
        target->availability.pause(now, span, this->options.availability);
}

bool upstream_set::note_leaving(time_point now, const upstream_start& start, duration age)
{
    if (age > this->options.leaving_retention)
        return false;
    std::erase_if(this->leaving, [this, now](const auto& each)
                  { return now - each.second > this->options.leaving_retention; });
    const bool is_new = this->leaving.emplace(start, now - age).second;
    upstream* target = this->find(start.id);
    if (target != nullptr && target->registration.started == start.started)
        target->announced_leaving = true;
    return is_new;
}

bool upstream_set::is_leaving(const upstream_start& start) const
{
    if (this->leaving.contains(start))
        return true;
    const upstream* target = this->find(start.id);
    return target != nullptr && target->registration.started == start.started &&
           target->is_leaving();
}

std::optional<upstream_set::endpoint>
upstream_set::last_answering(const upstream_start& except) const
{
    const upstream* last = nullptr;
    for (const auto& [id, each] : this->upstreams_by_id)
        if (id != except.id && !each->is_leaving() &&
            (last == nullptr || each->last_answer > last->last_answer))
            last = each.get();
    if (last == nullptr)
        return std::nullopt;
    return endpoint{.upstream = {last->registration.id, last->registration.started},
                    .address = last->registration.address};
}

// What the outcome of an attempt says about this VM's links.
void upstream_set::note_outcome(time_point now, const std::string& id, outcome result,
                                duration latency)
{
    switch (result)
    {
    case outcome::answered:
    case outcome::shed:
    case outcome::failed:
        this->note_reached(now);
        this->note_contact(now, id, now - latency);
        return;
    case outcome::misdirected:
        this->note_reached(now);
        return;
    case outcome::broken:
    case outcome::timed_out:
    case outcome::not_sent:
        this->reach.note_failure(now, now - latency, id);
        return;
    case outcome::cancelled:
        return;
    }
}

// The upstreams that failed while this VM was cut off get requests at once again, and
// have not ended for that.
void upstream_set::note_reached(time_point now)
{
    if (!this->reach.note_contact(now))
        return;
    for (const auto& [id, each] : this->upstreams_by_id)
        each->availability.note_answer(now);
    for (const upstream_start& each : this->restarts.drop_unconfirmed())
        this->apply_restart(now, each);
}

std::vector<upstream_set::endpoint> upstream_set::next_to_try(std::size_t count)
{
    std::set<std::string> ids;
    for (const auto& [id, each] : this->upstreams_by_id)
        ids.insert(id);
    std::vector<endpoint> chosen;
    auto next = ids.upper_bound(this->last_tried);
    while (chosen.size() < std::min(count, ids.size()))
    {
        if (next == ids.end())
            next = ids.begin();
        const upstream& each = *this->find(*next);
        chosen.push_back({.upstream = {*next, each.registration.started},
                          .address = each.registration.address});
        this->last_tried = *next++;
    }
    return chosen;
}

std::vector<upstream_start> upstream_set::leaving_since(time_point now,
                                                        duration age) const
{
    std::vector<upstream_start> recent;
    for (const auto& [start, since] : this->leaving)
        if (now - since < age)
            recent.push_back(start);
    return recent;
}

bool upstream_set::note_limit(time_point now, const upstream_start& start,
                              time_point sent_at, const limit_statement& statement)
{
    const bool changed = this->limits.observe(now, start, sent_at, statement);
    if (upstream* target = this->find(start.id))
        this->apply_limit(now, *target);
    return changed;
}

bool upstream_set::merge_limit(time_point now, const limit_notice& notice)
{
    const bool changed = this->limits.merge(now, notice);
    if (upstream* target = this->find(notice.upstream.id))
        this->apply_limit(now, *target);
    return changed;
}

// Brings the upstream's limit in line with what is known about its present start.
void upstream_set::apply_limit(time_point now, upstream& target)
{
    const std::optional<double> rate =
        this->limits.rate_of({target.registration.id, target.registration.started});
    if (target.limit.set_rate(now, rate))
        ++this->limited_changes;
}

void upstream_set::forget_limits(time_point now)
{
    this->limits.forget(now, this->options.limit_retention,
                        [this](const upstream_start& start)
                        {
                            const upstream* target = this->find(start.id);
                            return target != nullptr &&
                                   target->registration.started == start.started;
                        });
}

void upstream_set::note_token_refused(time_point now, const upstream_start& start,
                                      duration wait)
{
    upstream* target = this->find(start.id);
    if (target != nullptr && target->registration.started == start.started)
        target->limit.note_refusal(now, wait);
}

std::vector<limited_upstream> upstream_set::limited_upstreams() const
{
    std::vector<limited_upstream> all;
    for (const auto& [id, each] : this->upstreams_by_id)
        if (each->limit.rate())
            all.push_back({.start = {id, each->registration.started},
                           .data_centre = each->registration.data_centre,
                           .rate = *each->limit.rate()});
    return all;
}

std::vector<leaving_notice> upstream_set::unregistered_leaving(time_point now) const
{
    std::vector<leaving_notice> all;
    for (const auto& [start, since] : this->leaving)
    {
        const upstream* listed = this->find(start.id);
        // A VM that has just started does not know the registry yet.
        const bool may_be_listed = listed == nullptr
                                       ? now - since < this->options.registry_delay
                                       : listed->registration.started == start.started &&
                                             !listed->registration.draining;
        if (may_be_listed)
            all.push_back({.upstream = start, .age = now - since});
    }
    return all;
}

} // namespace pistachiospan::upstreams
