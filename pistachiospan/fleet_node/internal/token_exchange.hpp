// Tokens of client accounts: asks for them on behalf of this VM, and answers the VMs that
// ask it.

#ifndef PISTACHIOSPAN_FLEET_NODE_INTERNAL_TOKEN_EXCHANGE_HPP
#define PISTACHIOSPAN_FLEET_NODE_INTERNAL_TOKEN_EXCHANGE_HPP

#include "pistachiospan/allowance/allowance.hpp"
#include "pistachiospan/fleet/fleet.hpp"

namespace pistachiospan::fleet_node::internal
{

struct token_exchange_hooks
{
    std::function<allowance::token_source(time_point, std::string_view account,
                                          bool pooled)>
        source;
    std::function<void(const std::string& address, const allowance::token_query&)> query;
    std::function<void(const std::string& address, const allowance::token_answer&)>
        answer;
    std::function<void(allowance::ticket, const allowance::admission&)> done;
};

class token_exchange
{
public:
    token_exchange(std::size_t data_centres, token_exchange_hooks hooks);

    void set_accounts(time_point now, std::span<const configuration::account> accounts);
    void ask(time_point now, allowance::ticket name, const std::string& account);
    void give_back(time_point now, const std::string& account);
    // A coordinator answers; others do not, and the asker learns better soon.
    void receive_query(time_point now, const std::string& from, std::string_view bytes);
    void receive_answer(time_point now, const std::string& from, std::string_view bytes);
    void tick(time_point now);
    bool is_waiting() const
    {
        return this->requester.is_waiting();
    }

    // Coordinator: demand of the data centre by account, to be told.
    std::vector<allowance::demand> report_demand(time_point now, bool whole);
    void change_demand(time_point now, const allowance::demand& change);
    // Coordinator: the demand has been sent in this report; all others have received the
    // reports up to this one.
    void note_reported(std::uint64_t report);
    void confirm(time_point now, std::uint64_t report);
    // Coordinator: what the others say, the VMs here and the part of them that is heard.
    void share(time_point now, const fleet::membership& others, std::size_t members,
               double heard_members);

private:
    token_exchange_hooks hooks;
    std::vector<std::string> accounts; // with a limit
    bool fresh = false;                // accounts to come are new to the fleet
    time_point now;                    // of the call in progress
    allowance::authority authority;
    allowance::requester requester;
};

} // namespace pistachiospan::fleet_node::internal

#endif
