#include "pistachiospan/fleet_node/internal/token_exchange.hpp"

namespace pistachiospan::fleet_node::internal
{

token_exchange::token_exchange(std::size_t data_centres, token_exchange_hooks given)
    : hooks(std::move(given)), authority({.data_centres = data_centres}),
      requester(
          {.data_centres = data_centres},
          {.source = [this](std::string_view account, bool pooled)
           { return this->hooks.source(this->now, account, pooled); },
           .send = [this](const std::string& address, const allowance::token_query& asked)
           { this->hooks.query(address, asked); },
           .ask_self = [this](const allowance::token_query& asked)
           { return this->authority.answer(this->now, asked); },
           .done =
               [this](allowance::ticket name, const allowance::admission& made)
           {
               this->hooks.done(name, made);
           }})
{
}

void token_exchange::set_accounts(time_point at,
                                  std::span<const configuration::account> all)
{
    this->now = at;
    this->accounts.clear();
    for (const configuration::account& each : all)
        if (each.rate > 0)
            this->accounts.push_back(each.name);
    this->authority.set_accounts(at, all, this->fresh);
    this->requester.set_accounts(at, all);
    this->fresh = true;
}

void token_exchange::ask(time_point at, allowance::ticket name,
                         const std::string& account)
{
    this->now = at;
    this->requester.ask(at, name, account);
}

void token_exchange::give_back(time_point at, const std::string& account)
{
    this->now = at;
    this->requester.give_back(account);
}

void token_exchange::receive_query(time_point at, const std::string& from,
                                   std::string_view bytes)
{
    const result<allowance::token_query> asked = allowance::decode_query(bytes);
    if (!asked)
        return;
    this->now = at;
    const allowance::token_answer made = this->authority.answer(at, asked.value());
    if (!asked.value().returned)
        this->hooks.answer(from, made);
}

void token_exchange::receive_answer(time_point at, const std::string& from,
                                    std::string_view bytes)
{
    const result<allowance::token_answer> got = allowance::decode_answer(bytes);
    if (!got)
        return;
    this->now = at;
    this->requester.receive(at, from, got.value());
}

void token_exchange::tick(time_point at)
{
    this->now = at;
    this->requester.tick(at);
}

std::vector<allowance::demand> token_exchange::report_demand(time_point at, bool whole)
{
    return this->authority.divided().report_demand(at, whole);
}

void token_exchange::change_demand(time_point at, const allowance::demand& change)
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

void token_exchange::share(time_point at, const fleet::membership& others,
                           std::size_t members, double heard_members)
{
    allowance::ledger& parts = this->authority.divided();
    const std::map<std::string, allowance::remote_share> remote =
        others.remote_shares(at);
    const double unheard = others.undiscovered_fraction(at);
    parts.set_sharing_count(others.sharing_count());
    for (const std::string& each : this->accounts)
    {
        const auto found = remote.find(each);
        allowance::remote_share share =
            found == remote.end() ? allowance::remote_share() : found->second;
        share.reserved += unheard;
        parts.set_remote(at, each, share);
    }
    this->authority.set_members(at, members, heard_members);
    this->authority.set_heard_vms(at, others.reachable_fraction(heard_members));
}

} // namespace pistachiospan::fleet_node::internal
