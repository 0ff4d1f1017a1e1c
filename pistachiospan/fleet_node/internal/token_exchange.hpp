// Exchange of the tokens of limits that all VMs share: requests tokens for this VM, and
// answers the token queries of other VMs.

#ifndef PISTACHIOSPAN_FLEET_NODE_INTERNAL_TOKEN_EXCHANGE_HPP
#define PISTACHIOSPAN_FLEET_NODE_INTERNAL_TOKEN_EXCHANGE_HPP

#include "pistachiospan/allowance/allowance.hpp"
#include "pistachiospan/fleet/fleet.hpp"

namespace pistachiospan::fleet_node::internal
{

struct token_exchange_hooks
{
    std::function<allowance::token_source(time_point, std::string_view limit,
                                          bool pooled)>
        source;
    std::function<void(const std::string& address, const allowance::token_query&)>
        send_query;
    std::function<void(const std::string& address, const allowance::token_answer&)>
        send_answer;
    std::function<void(allowance::ticket, const allowance::admission&)> done;
    // A query or an answer that cannot be decoded was ignored.
    std::function<void(const error&)> rejected;
};

class token_exchange
{
public:
    token_exchange(allowance::authority_options options, token_exchange_hooks hooks);

    // Call when this VM becomes coordinator. What it knows from an earlier term is not
    // valid any more: others have used the limits since. `members`: VMs of the data
    // centre.
    void begin_term(time_point now, std::size_t members);
    void set_limits(time_point now, std::span<const allowance::limit> limits);
    // The share of the limits, 0 to 1, that this VM uses while no VM answers it.
    void set_fallback_share(time_point now, double share);
    void request(time_point now, allowance::ticket id, const std::string& limit);
    void return_token(time_point now, const std::string& limit);
    // Call on coordinators only. Other VMs ignore queries; the sender soon learns the
    // right coordinator.
    void receive_query(time_point now, const std::string& from, std::string_view bytes);
    void receive_answer(time_point now, const std::string& from, std::string_view bytes);
    void tick(time_point now);
    bool is_waiting() const
    {
        return this->requester.is_waiting();
    }

    // Coordinators only: demand of the data centre by limit, for the next report.
    std::vector<allowance::demand> report_demand(time_point now, bool full);
    void apply_demand_change(time_point now, const allowance::demand& change);
    // Coordinators only: the demand was sent in the report with this sequence number.
    void note_reported(std::uint64_t report);
    // Coordinators only: all others have received the reports up to this one.
    void confirm(time_point now, std::uint64_t report);
    // Coordinators only: applies the other data centres' reports, the number of VMs of
    // this data centre and the fraction of them whose reports arrive.
    void update_shares(time_point now, const fleet::membership& others,
                       std::size_t members, double reachable_members);

private:
    token_exchange_hooks hooks;
    allowance::authority_options options;
    std::vector<allowance::limit> limits; // those with a rate
    bool limits_known = false;            // limits added from now on are new to the fleet
    time_point now;                       // of the call in progress
    allowance::authority authority;
    allowance::requester requester;
};

} // namespace pistachiospan::fleet_node::internal

#endif
