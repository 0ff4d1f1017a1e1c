#include "pistachiospan/retry/retry.hpp"

#include <algorithm>

namespace pistachiospan::retry
{

policy::policy(options values) : settings(values), random(values.seed) {}

policy::step& policy::current_step(time_point now)
{
    const std::int64_t number = now.time_since_epoch() / step_length;
    step& entry = this->history[static_cast<std::size_t>(number) % steps];
    if (entry.number != number)
        entry = {.number = number};
    return entry;
}

void policy::note_request(time_point now)
{
    ++this->current_step(now).requests;
}

bool policy::consume_budget(time_point now)
{
    step& current = this->current_step(now);
    constexpr auto length = static_cast<std::int64_t>(steps);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const step& each : this->history)
    {
        const std::int64_t age = current.number - each.number;
        if (each.number < 0 || age >= length)
            continue;
        retries += each.retries;
        if (age < length - 2)
            requests += each.requests;
    }
    const double proportional =
        this->settings.retry_ratio * static_cast<double>(requests);
    const double bound =
        std::max(proportional, static_cast<double>(this->settings.min_retries));
    if (static_cast<double>(retries + 1) > bound)
        return false;
    ++current.retries;
    return true;
}

std::uint64_t policy::charged_retries(time_point now) const
{
    const std::int64_t present = now.time_since_epoch() / step_length;
    std::uint64_t retries = 0;
    for (const step& each : this->history)
        if (each.number >= 0 && present - each.number < static_cast<std::int64_t>(steps))
            retries += each.retries;
    return retries;
}

// The delay doubles with each attempt. Random jitter of up to half of it keeps requests
// that failed together from being retried together.
duration policy::backoff(std::uint32_t attempts)
{
    duration delay = this->settings.initial_backoff;
    for (std::uint32_t attempt = 1; attempt < attempts; ++attempt)
        delay = std::min(delay * 2, this->settings.max_backoff);
    const auto half = static_cast<std::uint64_t>(delay.count() / 2);
    return delay - duration(this->random() % (half + 1));
}

decision policy::after_failure(time_point now, const failure_report& failed)
{
    const bool repeatable =
        failed.idempotent || (failed.intent_recorded && failed.not_run);
    if (!repeatable)
        return {.why = reason::not_repeatable};
    if (failed.attempts >= this->settings.max_attempts)
        return {.why = reason::attempts};
    const duration delay = std::max(this->backoff(failed.attempts), failed.retry_after);
    if (now + delay + failed.min_attempt_time >= failed.deadline)
        return {.why = reason::deadline};
    if (!this->consume_budget(now))
        return {.why = reason::budget};
    return {.retry = true, .delay = delay};
}

} // namespace pistachiospan::retry
