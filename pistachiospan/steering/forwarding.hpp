// Requests that this VM passes on to another one, because it reaches no upstream itself.
//
// Example:
//
//     forwarder helpers({.regions = places, .region = "north"}, {.send = send, ...});
//     if (!helpers.begin(now, exchange, request, node.other_vms(now)))
//         refuse(exchange);
//     helpers.finish(now, exchange, outcome, node.other_vms(now));
//
// The other VM handles the request as one of its own callers': it authenticates it,
// charges its account and keeps to its home regions. It does not pass it on again.

#ifndef PISTACHIOSPAN_STEERING_FORWARDING_HPP
#define PISTACHIOSPAN_STEERING_FORWARDING_HPP

#include "pistachiospan/fleet/fleet.hpp"
#include "pistachiospan/gateway/gateway.hpp"

#include <any>
#include <map>
#include <unordered_map>

namespace pistachiospan::steering
{

enum class forward_outcome
{
    answered,  // any answer that is the caller's
    unusable,  // the other VM has no upstream either, or was not reached; not run
    broken,    // no complete answer: it may have run
    timed_out, // no answer in time: it may have run
};

struct forward_result
{
    forward_outcome outcome = forward_outcome::broken;
    std::any answer; // answered: passed unchanged to forwarder_hooks::deliver
};

struct forwarder_hooks
{
    // Sends the exchange's request to the VM. finish() must follow, unless cancelled.
    std::function<void(gateway::exchange_id, const std::string& address,
                       duration time_left)>
        send;
    std::function<void(gateway::exchange_id)> cancel;
    std::function<void(gateway::exchange_id, std::any answer)> deliver;
    std::function<void(gateway::exchange_id, const gateway::refusal_answer&)> refuse;
};

struct forwarder_options
{
    std::map<std::string, std::string> regions; // data centre to region
    std::string region;                         // of this VM
    std::uint32_t max_attempts = 3;             // VMs tried for one request
    // A VM that could not help is left out for this long.
    duration avoidance_time = std::chrono::seconds(1);
    duration retry_after = std::chrono::milliseconds(200); // of refusals
    // The other VM's answer at the deadline arrives a little later.
    duration answer_margin = std::chrono::milliseconds(50);
    std::uint64_t seed = 0;
};

class forwarder
{
public:
    forwarder(forwarder_options options, forwarder_hooks hooks);

    // Returns false if there is no VM that may handle the request.
    bool begin(time_point now, gateway::exchange_id exchange,
               const gateway::forward_request& request,
               const fleet::address_lists& others);
    // The outcome of forwarder_hooks::send. Ignored if the exchange has ended.
    void finish(time_point now, gateway::exchange_id exchange, forward_result result,
                const fleet::address_lists& others);
    // The caller needs no answer any more.
    void caller_left(gateway::exchange_id exchange);

    std::size_t pending() const
    {
        return this->requests.size();
    }

private:
    struct forwarded_request
    {
        gateway::forward_request request;
        std::uint32_t attempts = 0;
        std::string address;
    };

    bool may_handle(const std::string& region,
                    const gateway::forward_request& request) const;
    std::string choose(time_point now, const gateway::forward_request& request,
                       const fleet::address_lists& others);
    bool send(time_point now, gateway::exchange_id exchange, forwarded_request& request,
              const fleet::address_lists& others);

    forwarder_options options;
    forwarder_hooks hooks;
    random_engine random;
    std::unordered_map<gateway::exchange_id, forwarded_request> requests;
    std::map<std::string, time_point> avoided_until; // by address
};

} // namespace pistachiospan::steering

#endif
