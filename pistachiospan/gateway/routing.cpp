// The look-up of routes.

#include "pistachiospan/gateway/gateway.hpp"

#include <algorithm>

namespace pistachiospan::gateway
{

// Finds route and account. Refuses the request and returns false if one is missing.
bool gateway::find_route(time_point now, exchange_id exchange, pending_request& pending)
{
    if (!pending.configuration)
    {
        this->refuse(now, exchange, pending,
                     {.reason = refusal::no_configuration,
                      .retry_after = this->options.no_configuration_retry_after});
        return false;
    }
    pending.route =
        pending.configuration->find_route(pending.request.host, pending.request.path);
    if (pending.route == nullptr)
    {
        this->refuse(now, exchange, pending, {.reason = refusal::no_route});
        return false;
    }
    pending.account = pending.configuration->find_account(pending.request.key);
    if (pending.account == nullptr && !pending.route->open)
    {
        this->refuse(now, exchange, pending, {.reason = refusal::no_key});
        return false;
    }
    if (pending.route->timeout > duration(0))
        pending.deadline =
            std::min(pending.deadline, pending.arrived_at + pending.route->timeout);
    pending.service =
        configuration::choose_target(*pending.route, pending.request.request_id).service;
    return true;
}

bool gateway::is_idempotent(std::string_view host, std::string_view path) const
{
    if (!this->configuration)
        return false;
    const configuration::route* route = this->configuration->find_route(host, path);
    return route != nullptr && route->kind == configuration::repeatability::idempotent;
}

} // namespace pistachiospan::gateway
