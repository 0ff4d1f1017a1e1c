#include "pistachiospan/steering/forwarding.hpp"

#include <algorithm>

namespace pistachiospan::steering
{

forwarder::forwarder(forwarder_options options, forwarder_hooks hooks)
    : options(std::move(options)), hooks(std::move(hooks)), random(this->options.seed)
{
}

// A request with home regions must not reach a VM elsewhere, whatever region this VM is
// in: its caller may come from another one.
bool forwarder::may_handle(const std::string& region,
                           const gateway::forward_request& request) const
{
    const auto allows = [&region](const std::vector<std::string>& homes)
    {
        return homes.empty() || std::ranges::find(homes, region) != homes.end();
    };
    return allows(request.homes) && allows(request.account_homes);
}

// A VM of this region if there is one, else any: callers are spread over all of them.
std::string forwarder::choose(time_point now, const gateway::forward_request& request,
                              const fleet::address_lists& others)
{
    std::erase_if(this->avoided_until,
                  [now](const auto& each) { return each.second <= now; });
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& [data_centre, addresses] : others)
    {
        const auto region = this->options.regions.find(data_centre);
        if (region == this->options.regions.end() ||
            !this->may_handle(region->second, request))
            continue;
        const bool is_near = region->second == this->options.region;
        for (const std::string& address : addresses)
            if (!this->avoided_until.contains(address))
                (is_near ? near : far).push_back(address);
    }
    const std::vector<std::string>& candidates = near.empty() ? far : near;
    return candidates.empty() ? std::string()
                              : candidates[this->random() % candidates.size()];
}

bool forwarder::send(time_point now, gateway::exchange_id exchange,
                     forwarded_request& request, const fleet::address_lists& others)
{
    if (request.attempts >= this->options.max_attempts || request.request.deadline <= now)
        return false;
    request.address = this->choose(now, request.request, others);
    if (request.address.empty())
        return false;
    ++request.attempts;
    this->hooks.send(exchange, request.address,
                     request.request.deadline - now + this->options.answer_margin);
    return true;
}

bool forwarder::begin(time_point now, gateway::exchange_id exchange,
                      const gateway::forward_request& request,
                      const fleet::address_lists& others)
{
    forwarded_request& added =
        this->requests.emplace(exchange, forwarded_request{.request = request})
            .first->second;
    if (this->send(now, exchange, added, others))
        return true;
    this->requests.erase(exchange);
    return false;
}

void forwarder::finish(time_point now, gateway::exchange_id exchange,
                       forward_result result, const fleet::address_lists& others)
{
    const auto found = this->requests.find(exchange);
    if (found == this->requests.end())
        return;
    gateway::refusal_answer refusal{.may_have_run = true};
    switch (result.outcome)
    {
    case forward_outcome::answered:
        this->requests.erase(found);
        this->hooks.deliver(exchange, std::move(result.answer));
        return;
    case forward_outcome::unusable:
        this->avoided_until[found->second.address] = now + this->options.avoidance_time;
        if (this->send(now, exchange, found->second, others))
            return;
        refusal = {.reason = gateway::refusal::no_upstream,
                   .retry_after = this->options.retry_after};
        break;
    case forward_outcome::broken:
        refusal.reason = gateway::refusal::unknown_outcome;
        break;
    case forward_outcome::timed_out:
        refusal.reason = gateway::refusal::deadline;
        break;
    }
    this->requests.erase(found);
    this->hooks.refuse(exchange, refusal);
}

void forwarder::caller_left(gateway::exchange_id exchange)
{
    if (this->requests.erase(exchange) > 0)
        this->hooks.cancel(exchange);
}

} // namespace pistachiospan::steering
