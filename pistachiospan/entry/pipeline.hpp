// Processes requests in one entry daemon: route, key, rate limit, at-most-once execution
// and the call to an upstream.
//
// Example:
//
//     pipeline requests({.self = self, .seed = 1}, {limiter, router, executor},
//                       {.call_upstream = call, .cancel_upstream = cancel,
//                        .relay = relay, .may_serve = may_serve});
//     requests.set_catalogue(now, active);
//     requests.submit(now, wall, request, [](answer response) { ... });
//
// Each request gets exactly one answer: the complete answer of an upstream, or a refusal.
// A refusal states not_executed only if the request has not run and will not run. The
// pipeline holds no sockets and no clocks.

#ifndef PISTACHIOSPAN_ENTRY_PIPELINE_HPP
#define PISTACHIOSPAN_ENTRY_PIPELINE_HPP

#include "pistachiospan/catalogue/catalogue.hpp"
#include "pistachiospan/config/config.hpp"
#include "pistachiospan/entry/messages.hpp"
#include "pistachiospan/limit/limit.hpp"
#include "pistachiospan/once/once.hpp"
#include "pistachiospan/retry/retry.hpp"
#include "pistachiospan/route/route.hpp"

#include <deque>
#include <memory>
#include <unordered_map>

namespace pistachiospan::entry
{

// Identifies a request within one pipeline.
using exchange_id = std::uint64_t;

// Identifies a call to an upstream; returned by pipeline_hooks::call_upstream. 0: none.
using upstream_call_id = std::uint64_t;

struct upstream_request
{
    std::string address;
    std::string method;
    std::string target;
    std::string request_id;
    header_list headers;
    std::string body;
    duration timeout{0};
};

struct upstream_answer
{
    int status = 0;
    header_list headers;
    std::string body;
};

using upstream_handler = std::function<void(time_point now, result<upstream_answer>)>;
using relay_handler = std::function<void(time_point now, result<relay_answer>)>;

// Decisions on one request, for /explain, logs, metrics and traces.
struct decision_record
{
    std::string request_id;
    std::string account;
    std::string route;
    std::string method;
    std::string upstream; // or the VM to which it was relayed
    bool idempotent = true;
    bool relayed_in = false;
    int status = 0;
    refusal_code code = refusal_code::none;
    execution_state execution = execution_state::not_executed;
    std::uint32_t attempts = 0;
    duration limit_wait{0}; // time spent waiting for a token
    duration queue_wait{0}; // time spent waiting for a slot
    duration total{0};
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

nlohmann::json to_json(const decision_record& record);

struct pipeline_hooks
{
    // Starts a call. The handler is called later, exactly once, unless the call is
    // cancelled. Errors are those of upstream_client: unavailable means that no byte was
    // sent.
    std::function<upstream_call_id(upstream_request, upstream_handler)> call_upstream;
    std::function<void(upstream_call_id)> cancel_upstream;
    std::function<void(const vm_id&, relay_request, duration timeout, relay_handler)>
        relay;
    std::function<config::admission(time_point, catalogue::unconfirmed_policy)> may_serve;
    std::function<void(const decision_record&)> on_finished = nullptr;
};

struct pipeline_options
{
    vm_id self;
    std::uint64_t seed = 0;
    std::uint64_t max_buffered_bytes = std::uint64_t{24} << 20U; // of all bodies
    std::size_t max_exchanges = 8192;                            // in progress
    std::size_t max_recent_decisions = 512;                      // kept for /explain
    std::uint32_t max_attempts = 4;                              // for one request
};

// The objects that decide for a pipeline. They must outlive it.
struct pipeline_components
{
    limit::limiter& limiter;
    route::router& router;
    once::executor& executor;
};

class pipeline
{
public:
    pipeline(pipeline_options options, pipeline_components components,
             pipeline_hooks hooks);
    ~pipeline();
    pipeline(const pipeline&) = delete;
    pipeline& operator=(const pipeline&) = delete;

    void set_catalogue(time_point now, std::shared_ptr<const catalogue::catalogue> next);

    // Sets the time of the event that the owner is about to pass to one of the
    // components, because their hooks do not pass a time.
    void set_current_time(time_point now);

    // Starts the retries that are due. Call about every 5 ms.
    void tick(time_point now);

    // Accepts a request of a caller. `done` may be called before submit() returns.
    exchange_id submit(time_point now, wall_time wall, caller_request incoming,
                       answer_handler done);

    // Accepts a request relayed by an authenticated peer.
    exchange_id submit_relayed(time_point now, wall_time wall, relay_request incoming,
                               answer_handler done);

    // Call when the caller has disconnected. Cancels an idempotent request; any other one
    // continues, and its answer is dropped.
    void cancel(time_point now, exchange_id id);

    // To be called from limit::hooks::on_resolved and route::router_hooks::on_decision.
    void resolve_limit(time_point now, std::uint64_t ticket,
                       const limit::decision& decision);
    void resolve_route(time_point now, route::request_id id,
                       const route::decision& decision);

    std::size_t in_progress() const;
    std::uint64_t buffered_bytes() const;
    const std::deque<decision_record>& recent_decisions() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace pistachiospan::entry

#endif
