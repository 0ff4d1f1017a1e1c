#include "pistachiospan/retry/retry.hpp"

#include <algorithm>

namespace pistachiospan::retry
{

policy::policy(options values)
    : settings(values), random(values.seed), credit(values.min_credit)
{
}

policy::step& policy::current_step(time_point now)
{
    const std::int64_t number = now.time_since_epoch() / step_length;
    step& entry = this->history[static_cast<std::size_t>(number) % steps];
    if (entry.number != number)
        entry = {.number = number};
    return entry;
}

double policy::credit_per_request() const
{
    return this->settings.retry_ratio / 2;
}

double policy::max_credit(time_point now) const
{
    const std::int64_t present = now.time_since_epoch() / step_length;
    std::uint64_t requests = 0;
    for (const step& each : this->history)
        if (each.number >= 0 && present - each.number < static_cast<std::int64_t>(steps))
            requests += each.requests;
    return std::max(this->settings.min_credit,
                    this->credit_per_request() * static_cast<double>(requests));
}

double policy::available_credit(time_point now) const
{
    return std::min(this->credit, this->max_credit(now));
}

void policy::note_request(time_point now)
{
    ++this->current_step(now).requests;
    this->credit += this->credit_per_request();
    this->credit = this->available_credit(now);
}

void policy::give_back(time_point now)
{
    this->credit += 1;
    this->credit = this->available_credit(now);
}

bool policy::consume_credit(time_point now)
{
    this->credit = this->available_credit(now);
    if (this->credit < 1)
        return false;
    this->credit -= 1;
    return true;
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
    if (!this->consume_credit(now))
        return {.why = reason::budget};
    return {.retry = true, .delay = delay};
}

} // namespace pistachiospan::retry
