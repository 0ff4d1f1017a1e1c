// Path of one request through one entry daemon: route, key, rate, at-most-once, upstream.
//
// Example:
//
//     pipeline requests({.self = self, .seed = 1}, {limiter, router, executor},
//                       {.call_upstream = call, .cancel_upstream = cancel, .relay =
//                       relay});
//     requests.set_catalogue(now, active);
//     requests.submit(now, wall, request, [](answer made) { ... });
//
// Each request gets exactly one answer: an upstream's whole answer or a refusal whose
// `ran` is true. Holds no sockets and no clocks.

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

// Names one request in one pipeline.
using exchange_id = std::uint64_t;

// Names one call to an upstream, as given by hooks::call_upstream; 0: none.
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

// What was decided on one request: for /explain, logs, metrics and traces.
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
    duration limit_wait{0}; // for a token
    duration queue_wait{0}; // for a slot
    duration total{0};
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

nlohmann::json to_json(const decision_record& record);

struct pipeline_hooks
{
    // The handler is called later, exactly once, unless the call is cancelled. Errors as
    // in upstream_client: unavailable means that no byte was written.
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
    std::uint64_t max_buffered_bytes = std::uint64_t{24}
                                       << 20U; // bytes of bodies held at once
    std::size_t max_exchanges = 8192;          // requests at once
    std::size_t max_recent_decisions = 512;    // decisions kept for explanation
    std::uint32_t max_attempts = 4;            // of one request
};

// The decision objects that a pipeline asks. They outlive it.
struct pipeline_parts
{
    limit::limiter& limiter;
    route::router& router;
    once::executor& executor;
};

class pipeline
{
public:
    pipeline(pipeline_options options, pipeline_parts parts, pipeline_hooks hooks);
    ~pipeline();
    pipeline(const pipeline&) = delete;
    pipeline& operator=(const pipeline&) = delete;

    void set_catalogue(time_point now, std::shared_ptr<const catalogue::catalogue> next);

    // Time of the event that the owner passes to one of the parts: their hooks do not
    // carry it.
    void set_current_time(time_point now);

    // Starts retries that are due. Call about every 5 ms.
    void tick(time_point now);

    // Takes a caller's request. `done` may be called from within.
    exchange_id submit(time_point now, wall_time wall, caller_request incoming,
                       answer_handler done);

    // Takes a request relayed by an authenticated peer.
    exchange_id submit_relayed(time_point now, wall_time wall, relay_request incoming,
                               answer_handler done);

    // The caller has gone: gives up what can be given up, drops the answer.
    void cancel(time_point now, exchange_id id);

    // Wired to limit::hooks::resolved and route::router_hooks::decided.
    void resolve_limit(time_point now, std::uint64_t ticket, const limit::decision& made);
    void resolve_route(time_point now, route::request_id id, const route::decision& made);

    std::size_t in_progress() const;
    std::uint64_t buffered_bytes() const;
    const std::deque<decision_record>& recent_decisions() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace pistachiospan::entry

#endif
