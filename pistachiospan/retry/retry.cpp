#include "pistachiospan/retry/retry.hpp"

#include <algorithm>

namespace pistachiospan::retry
{

policy::policy(options given) : opts(given), random(given.seed) {}

policy::step& policy::current_step(time_point now)
{
    const std::int64_t number = now.time_since_epoch() / step_length;
    step& found = this->counts[static_cast<std::size_t>(number) % steps];
    if (found.number != number)
        found = {.number = number};
    return found;
}

void policy::note_request(time_point now)
{
    ++this->current_step(now).requests;
}

bool policy::take(time_point now)
{
    step& current = this->current_step(now);
    constexpr auto length = static_cast<std::int64_t>(steps);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const step& each : this->counts)
    {
        const std::int64_t age = current.number - each.number;
        if (each.number < 0 || age >= length)
            continue;
        retries += each.retries;
        if (age < length - 2)
            requests += each.requests;
    }
    const double share = this->opts.retry_ratio * static_cast<double>(requests);
    const double bound = std::max(share, static_cast<double>(this->opts.min_retries));
    if (static_cast<double>(retries + 1) > bound)
        return false;
    ++current.retries;
    return true;
}

// Between half and all of the doubled delay, so that callers do not return together.
duration policy::backoff(std::uint32_t attempts)
{
    duration longest = this->opts.initial_backoff;
    for (std::uint32_t made = 1; made < attempts; ++made)
        longest = std::min(longest * 2, this->opts.max_backoff);
    const auto half = static_cast<std::uint64_t>(longest.count() / 2);
    return longest - duration(this->random() % (half + 1));
}

decision policy::after_failure(time_point now, const failure_report& failed)
{
    const bool repeatable =
        failed.idempotent || (failed.intent_recorded && failed.not_run);
    if (!repeatable)
        return {.why = reason::not_repeatable};
    if (failed.attempts >= this->opts.max_attempts)
        return {.why = reason::attempts};
    const duration delay = std::max(this->backoff(failed.attempts), failed.retry_after);
    if (now + delay + failed.min_attempt_time >= failed.deadline)
        return {.why = reason::deadline};
    if (!this->take(now))
        return {.why = reason::budget};
    return {.retry = true, .delay = delay};
}

} // namespace pistachiospan::retry
