#include "pistachiospan/allowance/allowance.hpp"

namespace pistachiospan::allowance
{

requester::requester(requester_options options, requester_hooks hooks)
    : options(options), hooks(std::move(hooks)), fallback_tokens(options.fallback)
{
    this->fallback_tokens.set_share(time_point(), 0);
}

void requester::set_limits(time_point now, std::span<const limit> limits)
{
    this->pooled.clear();
    for (const limit& each : limits)
        if (each.rate > 0)
            this->pooled.emplace(each.name, each.pooled);
    this->fallback_tokens.set_limits(now, limits, false);
}

void requester::set_fallback_share(time_point now, double share)
{
    this->fallback_tokens.set_share(now, share);
}

std::optional<double> requester::recent_fallback_share(time_point now,
                                                       std::string_view limit) const
{
    return this->fallback_tokens.recent_share(now, limit, this->options.share_validity);
}

void requester::ask(time_point now, ticket id, std::string_view limit)
{
    const auto known = this->pooled.find(std::string(limit));
    if (known == this->pooled.end())
    {
        this->finish(id, {.admitted = true});
        return;
    }
    this->advance(
        now, ++this->last_serial,
        {.id = id, .limit = known->first, .pooled = known->second, .since = now});
}

// Queries the source of the current stage, or continues with the next stage if there is
// none.
void requester::advance(time_point now, std::uint64_t serial, pending_query query)
{
    while (query.current_stage != stage::fallback)
    {
        const bool skipped = query.current_stage == stage::reserve && !query.pooled;
        if (!skipped && this->try_source(now, serial, query))
            return;
        query.current_stage =
            query.current_stage == stage::holder ? stage::reserve : stage::fallback;
    }
    this->finish(query.id, this->fallback_tokens.admit(now, query.limit));
}

// Returns false if there is no source, or it did not answer recently.
bool requester::try_source(time_point now, std::uint64_t serial, pending_query& query)
{
    const bool uses_holder = query.current_stage == stage::holder && query.pooled;
    query.source = this->hooks.source(query.limit, uses_holder);
    const token_query message{.serial = serial,
                              .limit = query.limit,
                              .from_reserve = query.current_stage == stage::reserve};
    if (query.source.self)
    {
        const token_answer answer = this->hooks.query_self(message);
        if (answer.is_decided)
            this->finish(query.id, answer.decision);
        return answer.is_decided;
    }
    if (query.source.none || this->is_unresponsive(now, query.source.address))
        return false;
    query.since = now;
    query.sent = now;
    this->waiting[serial] = query;
    // If the source is not known yet, the query waits: a VM that has just started learns
    // it soon.
    if (!query.source.address.empty())
        this->hooks.send(query.source.address, message);
    return true;
}

// Restarts the stage of a waiting query if its source has become known.
bool requester::find_source(time_point now, std::uint64_t serial,
                            const pending_query& query)
{
    const bool uses_holder = query.current_stage == stage::holder && query.pooled;
    const token_source found = this->hooks.source(query.limit, uses_holder);
    if (!found.self && !found.none && found.address.empty())
        return false;
    pending_query restarted = query;
    this->waiting.erase(serial);
    this->advance(now, serial, std::move(restarted));
    return true;
}

bool requester::is_unresponsive(time_point now, const std::string& address) const
{
    const auto found = this->unresponsive.find(address);
    return found != this->unresponsive.end() &&
           now - found->second < this->options.unresponsive_backoff;
}

void requester::give_back(std::string_view limit)
{
    const auto known = this->pooled.find(std::string(limit));
    if (known == this->pooled.end())
        return;
    const token_source target = this->hooks.source(limit, known->second);
    const token_query returned{.limit = known->first, .returned = true};
    if (target.self)
        this->hooks.query_self(returned);
    else if (!target.none && !target.address.empty())
        this->hooks.send(target.address, returned);
}

void requester::receive(time_point now, const std::string& from,
                        const token_answer& answer)
{
    this->unresponsive.erase(from);
    const auto found = this->waiting.find(answer.serial);
    if (found == this->waiting.end())
    {
        // The answer to a repeated query or to one that was given up: the token is unused
        // and goes back.
        if (answer.decision.admitted)
            this->hooks.send(from, {.limit = answer.limit, .returned = true});
        return;
    }
    const pending_query query = std::move(found->second);
    this->waiting.erase(found);
    if (answer.fallback_share > 0)
        this->fallback_tokens.set_share(now, query.limit, answer.fallback_share);
    this->finish(query.id, answer.is_decided
                               ? answer.decision
                               : this->fallback_tokens.admit(now, query.limit));
}

void requester::tick(time_point now)
{
    std::vector<std::uint64_t> overdue;
    std::vector<std::pair<std::uint64_t, pending_query>> without_source;
    for (auto& [serial, each] : this->waiting)
    {
        if (each.source.address.empty() && now - each.since < this->options.near_timeout)
        {
            without_source.emplace_back(serial, each);
            continue;
        }
        const bool near = each.source.near;
        const duration timeout =
            near ? this->options.near_timeout : this->options.far_timeout;
        const duration resend =
            near ? this->options.near_resend : this->options.far_resend;
        if (now - each.since >= timeout)
        {
            overdue.push_back(serial);
            continue;
        }
        if (now - each.sent < resend)
            continue;
        each.sent = now;
        this->hooks.send(each.source.address,
                         {.serial = serial,
                          .limit = each.limit,
                          .from_reserve = each.current_stage == stage::reserve});
    }
    for (const auto& [serial, each] : without_source)
        this->find_source(now, serial, each);
    for (const std::uint64_t serial : overdue)
    {
        auto found = this->waiting.extract(serial);
        if (found.empty())
            continue;
        pending_query query = std::move(found.mapped());
        if (!query.source.address.empty())
            this->unresponsive[query.source.address] = now;
        query.current_stage =
            query.current_stage == stage::holder ? stage::reserve : stage::fallback;
        this->advance(now, serial, std::move(query));
    }
}

void requester::finish(ticket id, const admission& decision)
{
    this->hooks.done(id, decision);
}

} // namespace pistachiospan::allowance
