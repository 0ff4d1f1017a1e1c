#include "pistachiospan/quarantine/quarantine.hpp"

#include <algorithm>

namespace pistachiospan::quarantine
{

namespace
{

std::uint32_t service_hash(std::string_view service)
{
    return static_cast<std::uint32_t>(hash_bytes(service));
}

std::uint64_t source_of(const upstreams::upstream_start& upstream)
{
    return hash_bytes(upstream.id, static_cast<std::uint64_t>(upstream.started));
}

} // namespace

suspects::suspects(suspect_options options) : options(options) {}

void suspects::set_vm_count(std::size_t count)
{
    this->vm_count = std::max<std::size_t>(count, 1);
}

bool suspects::is_quarantined(const suspect& each) const
{
    return each.strikes.size() >= this->options.strikes_before_quarantine;
}

time_point suspects::last_strike(const suspect& each)
{
    return std::ranges::max(each.strikes, {}, &strike::at).at;
}

// From the last strike until VMs may begin a trial.
duration suspects::quarantine_time(const suspect& each) const
{
    duration time = this->options.first_quarantine;
    for (std::size_t strikes = this->options.strikes_before_quarantine;
         strikes < each.strikes.size() && time < this->options.max_quarantine; ++strikes)
        time *= this->options.quarantine_factor;
    return std::min(time, this->options.max_quarantine);
}

// This VM's place among the VMs, drawn for each trial anew.
duration suspects::trial_delay(const fingerprint& request, const suspect& each) const
{
    const std::uint64_t drawn =
        hash_bytes(to_text(request), this->options.seed + each.strikes.size());
    const double place = static_cast<double>(drawn) /
                         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return std::chrono::duration_cast<duration>(
        this->options.trial_spread * (place * static_cast<double>(this->vm_count)));
}

decision suspects::check(time_point now, const fingerprint& request) const
{
    const auto found = this->known.find(request);
    if (found == this->known.end())
        return {};
    const suspect& each = found->second;
    if (each.strikes.size() < this->options.strikes_before_caution)
        return {};
    const bool is_busy = each.in_flight > 0;
    if (!this->is_quarantined(each))
        return is_busy ? decision{admission::refuse, this->options.alone_retry_after}
                       : decision{admission::alone};
    const time_point trial_at = last_strike(each) + this->quarantine_time(each);
    if (is_busy || now < trial_at + this->trial_delay(request, each))
        return {admission::refuse,
                std::max(trial_at - now, this->options.alone_retry_after)};
    return {admission::trial};
}

// The lost attempt may be a strike as well, which is not known yet.
bool suspects::may_retry(const fingerprint& request) const
{
    const auto found = this->known.find(request);
    return found == this->known.end() ||
           found->second.strikes.size() + 1 < this->options.strikes_before_caution;
}

bool suspects::begin(time_point now, const fingerprint& request, admission as,
                     std::string_view service)
{
    const auto found = this->known.find(request);
    if (found == this->known.end())
        return false;
    ++found->second.in_flight;
    if (as != admission::trial)
        return true;
    found->second.trial_at = now;
    // Differs from all other trials, also those of an earlier process of this VM.
    const std::uint64_t source =
        hash_bytes(to_text(request) + std::to_string(now.time_since_epoch().count()),
                   this->options.seed);
    std::vector<strike>& strikes = found->second.strikes;
    if (strikes.size() >= this->options.max_strikes)
        strikes.erase(std::ranges::min_element(strikes, {}, &strike::at));
    this->add_strike(now, found->second, {source, service_hash(service), now});
    return true;
}

void suspects::end(const fingerprint& request)
{
    const auto found = this->known.find(request);
    if (found != this->known.end() && found->second.in_flight > 0)
        --found->second.in_flight;
}

// A trial that has just been begun ends with the upstream.
bool suspects::is_trial_outcome(const suspect& each, const upstream_end& ended)
{
    return each.trial_at && ended.at >= *each.trial_at;
}

std::vector<fingerprint> suspects::note_end(time_point now, const upstream_end& ended)
{
    std::vector<fingerprint> quarantined;
    for (const lost_request& lost : ended.requests)
    {
        suspect& each = this->get(lost.request);
        if (is_trial_outcome(each, ended))
        {
            each.trial_at.reset();
            continue;
        }
        const bool was_quarantined = this->is_quarantined(each);
        this->add_strike(
            now, each, {source_of(ended.upstream), service_hash(lost.service), ended.at});
        if (!was_quarantined && this->is_quarantined(each))
            quarantined.push_back(lost.request);
    }
    return quarantined;
}

bool suspects::note_answer(time_point now, const fingerprint& request,
                           std::string_view service)
{
    const auto found = this->known.find(request);
    return found != this->known.end() && !found->second.strikes.empty() &&
           add_clearance(now, found->second, {service_hash(service), now});
}

bool suspects::is_cleared(const suspect& each, const strike& added)
{
    return std::ranges::any_of(
        each.clearances, [&added](const clearance& cleared)
        { return cleared.service == added.service && cleared.at >= added.at; });
}

// Returns true if the strike was not known.
bool suspects::add_strike(time_point now, suspect& to, const strike& added)
{
    const bool is_known =
        std::ranges::find(to.strikes, added.source, &strike::source) != to.strikes.end();
    if (is_known || is_cleared(to, added))
        return false;
    // What is kept must not depend on the order of messages: VMs would go on telling each
    // other what the other one has dropped.
    if (to.strikes.size() >= this->options.max_strikes)
        return false;
    to.strikes.push_back(added);
    to.changed_at = now;
    return true;
}

// Returns true if it is later than the known one.
bool suspects::add_clearance(time_point now, suspect& to, const clearance& added)
{
    const auto known =
        std::ranges::find(to.clearances, added.service, &clearance::service);
    if (known == to.clearances.end())
        to.clearances.push_back(added);
    else if (known->at < added.at)
        known->at = added.at;
    else
        return false;
    const std::size_t before = to.strikes.size();
    std::erase_if(to.strikes, [&to](const strike& each) { return is_cleared(to, each); });
    const bool changed = to.strikes.size() != before;
    if (changed)
        to.changed_at = now;
    return changed;
}

suspects::suspect& suspects::get(const fingerprint& request)
{
    if (!this->known.contains(request) &&
        this->known.size() >= this->options.max_suspects)
        this->evict_one();
    return this->known[request];
}

// Requests that a caller makes up in great numbers have one strike each, and go first.
void suspects::evict_one()
{
    const auto least = std::ranges::min_element(
        this->known, {},
        [](const auto& each)
        { return std::pair(each.second.strikes.size(), each.second.changed_at); });
    if (least != this->known.end())
        this->known.erase(least);
}

bool suspects::is_quarantined(const fingerprint& request) const
{
    const auto found = this->known.find(request);
    return found != this->known.end() && this->is_quarantined(found->second);
}

bool suspects::merge(time_point now, const suspect_notice& notice)
{
    if (notice.strikes.empty() && !this->known.contains(notice.request))
        return false;
    suspect& each = this->get(notice.request);
    bool is_new = false;
    for (const suspect_notice::aged_clearance& told : notice.clearances)
        is_new |= add_clearance(now, each, {told.service, now - told.age});
    for (const suspect_notice::aged_strike& told : notice.strikes)
        is_new |=
            this->add_strike(now, each, {told.source, told.service, now - told.age});
    return is_new;
}

suspect_notice suspects::describe(time_point now, const fingerprint& request,
                                  const suspect& each)
{
    suspect_notice notice{.request = request};
    for (const strike& known : each.strikes)
        notice.strikes.push_back({known.source, known.service, now - known.at});
    for (const clearance& known : each.clearances)
        notice.clearances.push_back({known.service, now - known.at});
    return notice;
}

std::vector<suspect_notice> suspects::changed_since(time_point now, duration age,
                                                    std::size_t max_count) const
{
    std::vector<const suspect_map::value_type*> changed;
    for (const auto& each : this->known)
        if (now - each.second.changed_at < age)
            changed.push_back(&each);
    std::ranges::sort(changed, std::ranges::greater(),
                      [](const auto* each) { return each->second.strikes.size(); });
    changed.resize(std::min(changed.size(), max_count));
    std::vector<suspect_notice> notices;
    notices.reserve(changed.size());
    for (const auto* each : changed)
        notices.push_back(describe(now, each->first, each->second));
    return notices;
}

std::vector<suspect_notice> suspects::quarantined(time_point now,
                                                  std::size_t max_count) const
{
    std::vector<const suspect_map::value_type*> chosen;
    for (const auto& each : this->known)
        if (this->is_quarantined(each.second))
            chosen.push_back(&each);
    std::ranges::sort(chosen, std::ranges::greater(),
                      [](const auto* each) { return last_strike(each->second); });
    chosen.resize(std::min(chosen.size(), max_count));
    std::vector<suspect_notice> notices;
    notices.reserve(chosen.size());
    for (const auto* each : chosen)
        notices.push_back(describe(now, each->first, each->second));
    return notices;
}

std::size_t suspects::quarantined_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->known, [this](const auto& each)
                              { return this->is_quarantined(each.second); }));
}

void suspects::forget_old(time_point now)
{
    std::erase_if(this->known,
                  [this, now](const auto& entry)
                  {
                      const suspect& each = entry.second;
                      const duration needed =
                          this->is_quarantined(each)
                              ? this->quarantine_time(each) + this->options.max_quarantine
                              : this->options.retention;
                      return each.in_flight == 0 && now - each.changed_at > needed;
                  });
}

} // namespace pistachiospan::quarantine
