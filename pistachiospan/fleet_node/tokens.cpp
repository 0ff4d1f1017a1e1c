// Tokens of the limits that all VMs share: where this VM requests them.

#include "pistachiospan/fleet_node/fleet_node.hpp"

#include <algorithm>

namespace pistachiospan::fleet_node
{

namespace
{

// An upstream that takes no requests at all gets one from time to time: only its answers
// say when the limit has ended.
constexpr double min_limit_rate = 0.2; // requests per second
// Requests to a limited upstream that may be sent at once.
constexpr double limit_burst_seconds = 0.25; // of the limit

// Name of an upstream's request limit in token messages.
std::string limit_name(const upstreams::upstream_start& upstream)
{
    return upstream.id + '/' + std::to_string(upstream.started);
}

} // namespace

internal::token_exchange_hooks node::account_token_hooks()
{
    return {
        .source = [this](time_point at, std::string_view account, bool pooled)
        { return this->account_token_source(at, account, pooled); },
        .send_query =
            [this](const std::string& address, const allowance::token_query& query)
        { this->send(query_kind, allowance::encode(query), std::span(&address, 1)); },
        .send_answer =
            [this](const std::string& address, const allowance::token_answer& answer)
        { this->send(answer_kind, allowance::encode(answer), std::span(&address, 1)); },
        .done = [this](allowance::ticket id, const allowance::admission& decision)
        { this->hooks.token_done(id, decision); },
        .rejected =
            [this](const error& problem)
        {
            this->log_rejected_tokens(problem);
        }};
}

internal::token_exchange_hooks node::upstream_token_hooks()
{
    return {.source = [this](time_point at, std::string_view limit, bool pooled)
            { return this->upstream_token_source(at, limit, pooled); },
            .send_query =
                [this](const std::string& address, const allowance::token_query& query) {
                    this->send(upstream_query_kind, allowance::encode(query),
                               std::span(&address, 1));
                },
            .send_answer =
                [this](const std::string& address, const allowance::token_answer& answer)
            {
                this->send(upstream_answer_kind, allowance::encode(answer),
                           std::span(&address, 1));
            },
            .done = [this](allowance::ticket id, const allowance::admission& decision)
            { this->hooks.upstream_token_done(id, decision); },
            .rejected =
                [this](const error& problem)
            {
                this->log_rejected_tokens(problem);
            }};
}

void node::log_rejected_tokens(const error& problem)
{
    this->hooks.log("token_message_rejected", {{"problem", problem.message}});
}

void node::set_accounts(time_point now, std::span<const configuration::account> accounts)
{
    this->tokens.set_limits(now,
                            allowance::limits_of(accounts, this->options.places.size()));
    this->update_shares(now);
}

void node::request_token(time_point now, allowance::ticket id, const std::string& account)
{
    this->tokens.request(now, id, account);
}

void node::return_token(time_point now, const std::string& account)
{
    this->tokens.return_token(now, account);
}

void node::set_limited_upstreams(time_point now,
                                 std::span<const upstreams::limited_upstream> limited)
{
    std::vector<allowance::limit> limits;
    this->limit_holders.clear();
    for (const upstreams::limited_upstream& each : limited)
    {
        const std::string name = limit_name(each.start);
        const double rate = std::max(each.rate, min_limit_rate);
        limits.push_back({.name = name,
                          .rate = rate,
                          .burst = rate * limit_burst_seconds,
                          .pooled = true});
        this->limit_holders[name] = each.data_centre;
    }
    this->upstream_tokens.set_limits(now, limits);
    this->update_shares(now);
}

void node::request_upstream_token(time_point now, allowance::ticket id,
                                  const upstreams::upstream_start& upstream)
{
    this->upstream_tokens.request(now, id, limit_name(upstream));
}

void node::return_upstream_token(time_point now,
                                 const upstreams::upstream_start& upstream)
{
    this->upstream_tokens.return_token(now, limit_name(upstream));
}

void node::tick_tokens(time_point now)
{
    this->tokens.tick(now);
    this->upstream_tokens.tick(now);
}

bool node::waits_for_tokens() const
{
    return this->tokens.is_waiting() || this->upstream_tokens.is_waiting();
}

allowance::token_source
node::account_token_source(time_point now, std::string_view account, bool pooled) const
{
    return this->token_source(
        now, pooled ? allowance::holder_of(account, this->reachable_data_centres(now))
                    : this->options.data_centre);
}

// The limit of an upstream is held where the upstream is: most of its requests come from
// there, and a VM that cannot reach the holder can hardly reach the upstream.
allowance::token_source
node::upstream_token_source(time_point now, std::string_view limit, bool pooled) const
{
    const auto holder = this->limit_holders.find(limit);
    const bool is_held_here = !pooled || holder == this->limit_holders.end();
    const allowance::token_source source = this->token_source(
        now, is_held_here ? this->options.data_centre : holder->second);
    const bool is_out_of_reach = !source.near && source.address.empty();
    return is_out_of_reach ? allowance::token_source{.none = true} : source;
}

allowance::token_source node::token_source(time_point now,
                                           const std::string& holder) const
{
    if (this->local_cell.is_isolated())
        return {.none = true};
    if (holder != this->options.data_centre)
        return {.address = this->reachable_coordinator(now, holder), .near = false};
    if (this->local_cell.is_coordinator())
        return {.self = true};
    return {.address = this->local_cell.coordinator_address()};
}

} // namespace pistachiospan::fleet_node
