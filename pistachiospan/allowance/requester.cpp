#include "pistachiospan/allowance/allowance.hpp"

namespace pistachiospan::allowance
{

requester::requester(requester_options options, requester_hooks hooks)
    : options(options), hooks(std::move(hooks)), fallback(options.fallback)
{
    this->fallback.set_share(time_point(), 0);
}

void requester::set_accounts(time_point now,
                             std::span<const configuration::account> accounts)
{
    this->pooled.clear();
    for (const configuration::account& each : accounts)
        if (each.rate > 0)
            this->pooled.emplace(each.name, is_pooled(each, this->options.data_centres));
    this->fallback.set_accounts(now, accounts, false);
}

void requester::ask(time_point now, ticket name, std::string_view account)
{
    const std::string key(account);
    if (!this->pooled.contains(key))
    {
        this->finish(name, {.admitted = true});
        return;
    }
    this->advance(now, ++this->last_serial, {.name = name, .account = key, .since = now});
}

// Asks the source of the stage, or goes on to the next one without one.
void requester::advance(time_point now, std::uint64_t serial, pending of)
{
    const bool shared = this->pooled.at(of.account);
    while (of.at != stage::fallback)
    {
        const bool skipped = of.at == stage::reserve && !shared;
        if (!skipped && this->try_source(now, serial, of))
            return;
        of.at = of.at == stage::holder ? stage::reserve : stage::fallback;
    }
    this->finish(of.name, this->fallback.admit(now, of.account));
}

// False if there is no source, or it has been silent of late.
bool requester::try_source(time_point now, std::uint64_t serial, pending& of)
{
    const bool shared = of.at == stage::holder && this->pooled.at(of.account);
    of.source = this->hooks.source(of.account, shared);
    const token_query query{
        .serial = serial, .account = of.account, .from_reserve = of.at == stage::reserve};
    if (of.source.self)
    {
        this->finish(of.name, this->hooks.query_self(query).decision);
        return true;
    }
    if (of.source.none || this->is_silent(now, of.source.address))
        return false;
    of.since = now;
    of.sent = now;
    this->waiting[serial] = of;
    // Without a source the query waits for one: a VM that has just started soon has it.
    if (!of.source.address.empty())
        this->hooks.send(of.source.address, query);
    return true;
}

// A source that is found while its query waits.
bool requester::find_source(time_point now, std::uint64_t serial, const pending& of)
{
    const bool shared = of.at == stage::holder && this->pooled.at(of.account);
    const token_source found = this->hooks.source(of.account, shared);
    if (!found.self && !found.none && found.address.empty())
        return false;
    pending asked = of;
    this->waiting.erase(serial);
    this->advance(now, serial, std::move(asked));
    return true;
}

bool requester::is_silent(time_point now, const std::string& address) const
{
    const auto found = this->silent.find(address);
    return found != this->silent.end() &&
           now - found->second < this->options.unresponsive_backoff;
}

void requester::give_back(std::string_view account)
{
    const auto known = this->pooled.find(std::string(account));
    if (known == this->pooled.end())
        return;
    const token_source to = this->hooks.source(account, known->second);
    const token_query back{.account = known->first, .returned = true};
    if (to.self)
        this->hooks.query_self(back);
    else if (!to.none && !to.address.empty())
        this->hooks.send(to.address, back);
}

void requester::receive(time_point now, const std::string& from, const token_answer& got)
{
    this->silent.erase(from);
    const auto found = this->waiting.find(got.serial);
    if (found == this->waiting.end())
    {
        // The answer to a repeated query, or one that was given up: nobody uses the
        // token.
        if (got.decision.admitted)
            this->hooks.send(from, {.account = got.account, .returned = true});
        return;
    }
    const pending of = std::move(found->second);
    this->waiting.erase(found);
    if (got.fallback_share > 0)
        this->fallback.set_share(now, of.account, got.fallback_share);
    this->finish(of.name, got.decision);
}

void requester::tick(time_point now)
{
    std::vector<std::uint64_t> overdue;
    std::vector<std::pair<std::uint64_t, pending>> without_source;
    for (auto& [serial, each] : this->waiting)
    {
        if (each.source.address.empty() && now - each.since < this->options.near_timeout)
        {
            without_source.emplace_back(serial, each);
            continue;
        }
        const bool near = each.source.near;
        const duration patience =
            near ? this->options.near_timeout : this->options.far_timeout;
        const duration resend =
            near ? this->options.near_resend : this->options.far_resend;
        if (now - each.since >= patience)
        {
            overdue.push_back(serial);
            continue;
        }
        if (now - each.sent < resend)
            continue;
        each.sent = now;
        this->hooks.send(each.source.address,
                         {.serial = serial,
                          .account = each.account,
                          .from_reserve = each.at == stage::reserve});
    }
    for (const auto& [serial, each] : without_source)
        this->find_source(now, serial, each);
    for (const std::uint64_t serial : overdue)
    {
        auto found = this->waiting.extract(serial);
        if (found.empty())
            continue;
        pending of = std::move(found.mapped());
        if (!of.source.address.empty())
            this->silent[of.source.address] = now;
        of.at = of.at == stage::holder ? stage::reserve : stage::fallback;
        this->advance(now, serial, std::move(of));
    }
}

void requester::finish(ticket name, const admission& made)
{
    this->hooks.done(name, made);
}

} // namespace pistachiospan::allowance
