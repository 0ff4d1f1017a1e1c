#include "pistachiospan/fleet_node/internal/token_exchange.hpp"

#include <algorithm>
#include <iterator>

namespace pistachiospan::fleet_node::internal
{

token_exchange::token_exchange(allowance::authority_options options,
                               token_exchange_hooks hooks)
    : hooks(std::move(hooks)), options(options), authority(options),
      requester(
          {},
          {.source = [this](std::string_view limit, bool pooled)
           { return this->hooks.source(this->now, limit, pooled); },
           .send = [this](const std::string& address, const allowance::token_query& query)
           { this->hooks.send_query(address, query); },
           .query_self = [this](const allowance::token_query& query)
           { return this->authority.answer(this->now, query); },
           .done =
               [this](allowance::ticket id, const allowance::admission& decision)
           {
               this->hooks.done(id, decision);
           }})
{
}

void token_exchange::begin_term(time_point at, std::size_t members)
{
    this->now = at;
    this->authority = allowance::authority(this->options);
    this->authority.set_limits(at, this->limits, false);
    for (const allowance::limit& each : this->limits)
        if (const auto share = this->requester.recent_fallback_share(at, each.name))
            this->authority.divided().inherit_share(
                at, each.name, *share * static_cast<double>(members));
}

void token_exchange::set_limits(time_point at, std::span<const allowance::limit> all)
{
    this->now = at;
    this->limits.clear();
    std::ranges::copy_if(all, std::back_inserter(this->limits),
                         [](const allowance::limit& each) { return each.rate > 0; });
    this->authority.set_limits(at, this->limits, this->limits_known);
    this->requester.set_limits(at, this->limits);
    this->limits_known = true;
}

void token_exchange::set_fallback_share(time_point at, double share)
{
    this->requester.set_fallback_share(at, share);
}

void token_exchange::request(time_point at, allowance::ticket id,
                             const std::string& limit)
{
    this->now = at;
    this->requester.ask(at, id, limit);
}

void token_exchange::return_token(time_point at, const std::string& limit)
{
    this->now = at;
    this->requester.give_back(limit);
}

void token_exchange::receive_query(time_point at, const std::string& from,
                                   std::string_view bytes)
{
    const result<allowance::token_query> query = allowance::decode_query(bytes);
    if (!query)
    {
        this->hooks.rejected(query.error());
        return;
    }
    this->now = at;
    const allowance::token_answer answer = this->authority.answer(at, query.value());
    if (!query.value().returned)
        this->hooks.send_answer(from, answer);
}

void token_exchange::receive_answer(time_point at, const std::string& from,
                                    std::string_view bytes)
{
    const result<allowance::token_answer> answer = allowance::decode_answer(bytes);
    if (!answer)
    {
        this->hooks.rejected(answer.error());
        return;
    }
    this->now = at;
    this->requester.receive(at, from, answer.value());
}

void token_exchange::tick(time_point at)
{
    this->now = at;
    this->requester.tick(at);
}

std::vector<allowance::demand> token_exchange::report_demand(time_point at, bool full)
{
    return this->authority.divided().report_demand(at, full);
}

void token_exchange::apply_demand_change(time_point at, const allowance::demand& change)
{
    this->authority.divided().change_remote(at, change);
}

void token_exchange::note_reported(std::uint64_t report)
{
    this->authority.divided().note_reported(report);
}

void token_exchange::confirm(time_point at, std::uint64_t report)
{
    this->authority.divided().confirm(at, report);
}

void token_exchange::update_shares(time_point at, const fleet::membership& others,
                                   std::size_t members, double reachable_members)
{
    allowance::ledger& ledger = this->authority.divided();
    const std::map<std::string, allowance::remote_usage> remote =
        others.remote_shares(at);
    const double undiscovered = others.undiscovered_fraction(at);
    ledger.set_sharing_count(others.sharing_count());
    for (const allowance::limit& each : this->limits)
    {
        const auto found = remote.find(each.name);
        allowance::remote_usage share =
            found == remote.end() ? allowance::remote_usage() : found->second;
        share.unreachable_share += undiscovered;
        ledger.set_remote(at, each.name, share);
    }
    this->authority.set_members(at, members, reachable_members);
    this->authority.set_reachable_vm_fraction(
        at, others.reachable_fraction(reachable_members));
}

} // namespace pistachiospan::fleet_node::internal
