#include "pistachiospan/upstreams/restart_suspicions.hpp"

#include <algorithm>
#include <utility>

namespace pistachiospan::upstreams
{

void restart_suspicions::note_sign(time_point now, const upstream_start& start)
{
    record& known = this->records[start];
    const bool is_open = known.is_told() && !known.accepted_at;
    if (is_open || known.unconfirmed_at)
        return;
    known.unconfirmed_at = now;
    ++this->unconfirmed;
}

std::vector<upstream_start> restart_suspicions::note_contact(time_point now,
                                                             time_point sent_at)
{
    std::vector<upstream_start> confirmed;
    if (this->unconfirmed == 0)
        return confirmed;
    for (auto& [start, each] : this->records)
    {
        if (!each.unconfirmed_at || sent_at <= *each.unconfirmed_at)
            continue;
        // Another VM may have told the end of the same outage meanwhile.
        const bool is_accepted = each.accepted_at > each.unconfirmed_at;
        each = {.sign_at = each.unconfirmed_at,
                .accepted_at = is_accepted ? each.accepted_at : std::nullopt,
                .changed_at = now};
        --this->unconfirmed;
        confirmed.push_back(start);
    }
    return confirmed;
}

std::vector<upstream_start> restart_suspicions::drop_unconfirmed()
{
    std::vector<upstream_start> dropped;
    for (auto& [start, each] : this->records)
        if (each.unconfirmed_at)
        {
            each.unconfirmed_at.reset();
            dropped.push_back(start);
        }
    this->unconfirmed = 0;
    return dropped;
}

bool restart_suspicions::note_accepted(time_point now, const upstream_start& start,
                                       time_point sent_at)
{
    const auto found = this->records.find(start);
    if (found == this->records.end())
        return false;
    record& known = found->second;
    if (!known.is_told() || known.accepted_at || sent_at <= *known.sign_at)
        return false;
    known.accepted_at = now;
    known.changed_at = now;
    return true;
}

bool restart_suspicions::merge(time_point now, const restart_notice& notice)
{
    if (notice.age > this->options.retention)
        return false;
    const time_point sign_at = now - notice.age;
    std::optional<time_point> accepted_at;
    if (notice.accepted_age)
        accepted_at = now - *notice.accepted_age;
    record& known = this->records[notice.upstream];
    if (known.unconfirmed_at &&
        *known.unconfirmed_at <= sign_at + this->options.same_sign)
    {
        known.unconfirmed_at.reset();
        --this->unconfirmed;
    }
    if (!known.sign_at || sign_at > *known.sign_at + this->options.same_sign)
    {
        // Another VM may have told the end of the same outage before its beginning.
        if (known.accepted_at && *known.accepted_at > sign_at)
            accepted_at =
                std::min(accepted_at.value_or(*known.accepted_at), *known.accepted_at);
        known.sign_at = sign_at;
        known.accepted_at = accepted_at;
        known.refuted = false;
        known.changed_at = now;
        return true;
    }
    const bool is_same = sign_at >= *known.sign_at - this->options.same_sign;
    if (!is_same || known.refuted || known.accepted_at || !accepted_at)
        return false;
    known.accepted_at = accepted_at;
    known.changed_at = now;
    return true;
}

bool restart_suspicions::note_entry(const upstream_start& start, time_point written_at)
{
    const auto found = this->records.find(start);
    if (found == this->records.end())
        return false;
    record& known = found->second;
    const time_point last_sign =
        std::max(known.sign_at.value_or(time_point::min()),
                 known.unconfirmed_at.value_or(time_point::min()));
    if (written_at <= last_sign || (known.refuted && !known.unconfirmed_at))
        return false;
    if (std::exchange(known.unconfirmed_at, std::nullopt))
        --this->unconfirmed;
    known.refuted = true;
    return true;
}

time_point restart_suspicions::cold_until(const upstream_start& start,
                                          duration cold_time) const
{
    const auto found = this->records.find(start);
    if (found == this->records.end() || cold_time <= duration(0))
        return time_point::min();
    const record& known = found->second;
    if (known.unconfirmed_at)
        return time_point::max();
    if (!known.is_told())
        return time_point::min();
    return known.accepted_at ? *known.accepted_at + cold_time : time_point::max();
}

bool restart_suspicions::is_suspected(const upstream_start& start) const
{
    const auto found = this->records.find(start);
    return found != this->records.end() &&
           (found->second.unconfirmed_at || found->second.is_told());
}

restart_notice restart_suspicions::notice_of(time_point now, const upstream_start& start,
                                             const record& from)
{
    restart_notice notice{.upstream = start, .age = now - *from.sign_at};
    if (from.accepted_at)
        notice.accepted_age = now - *from.accepted_at;
    return notice;
}

std::vector<restart_notice> restart_suspicions::changed_since(time_point now,
                                                              duration age) const
{
    std::vector<restart_notice> all;
    for (const auto& [start, each] : this->records)
        if (each.is_told() && now - each.changed_at < age)
            all.push_back(notice_of(now, start, each));
    return all;
}

std::vector<restart_notice>
restart_suspicions::select(time_point now, const start_filter& is_relevant) const
{
    std::vector<restart_notice> all;
    for (const auto& [start, each] : this->records)
        if (each.is_told() && is_relevant(start))
            all.push_back(notice_of(now, start, each));
    return all;
}

void restart_suspicions::forget(time_point now, const start_filter& is_suspected)
{
    std::erase_if(this->records,
                  [this, now, &is_suspected](const auto& each)
                  {
                      const auto& [start, known] = each;
                      if (known.unconfirmed_at)
                          return false;
                      const bool is_old = !known.sign_at ||
                                          now - *known.sign_at > this->options.retention;
                      return is_old && !is_suspected(start);
                  });
}

} // namespace pistachiospan::upstreams
