// Path of one request through one VM: route, key, rate, upstream, retries, answer.
//
// Example:
//
//     gateway requests({.seed = 1}, upstreams, {.ask_token = ask, .send = send, ...});
//     requests.set_configuration(active);
//     requests.submit(now, exchange, request);
//     requests.finish_admission(now, exchange, admission);
//     requests.finish_attempt(now, exchange, attempt, result);
//     requests.caller_left(now, exchange);
//
// Each request gets exactly one answer unless its caller leaves. A refusal that says "not
// run" is true: it is given only when no upstream was sent the request, or each one that
// was refused it as not run. Holds no sockets and no clocks.

#ifndef PISTACHIOSPAN_GATEWAY_GATEWAY_HPP
#define PISTACHIOSPAN_GATEWAY_GATEWAY_HPP

#include "pistachiospan/allowance/allowance.hpp"
#include "pistachiospan/configuration/configuration.hpp"
#include "pistachiospan/retry/retry.hpp"
#include "pistachiospan/upstreams/upstreams.hpp"

#include <any>
#include <map>
#include <memory>
#include <unordered_map>

namespace pistachiospan::gateway
{

using exchange_id = std::uint64_t;
using call_id = std::uint64_t;

// What decides about a caller's request. Its bytes stay with the owner of the exchange.
struct caller_request
{
    std::string request_id;
    std::string host;
    std::string path;                  // without the query
    std::string key;                   // empty: none was shown
    std::string object;                // names what the request concerns; empty: unknown
    std::size_t body_size = 0;         // bytes
    std::optional<duration> time_left; // as the caller says
};

// One request to one upstream.
struct attempt
{
    exchange_id exchange = 0;
    std::string upstream;
    std::string address;
    std::string account; // empty on open routes without a key
    duration time_left{0};
    bool repeatable = false;
};

enum class attempt_outcome
{
    answered,    // a whole answer
    not_run,     // the upstream says that it did not run the request
    misdirected, // another upstream has the address; not run
    not_sent,    // no byte was written
    broken,      // no whole answer: it may have run
    timed_out,   // as broken, at the end of the attempt's time
};

struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::broken;
    int status = 0;     // answered
    std::any answer;    // answered: passed on to hooks::deliver as it is
    std::string detail; // what broke
    std::optional<upstreams::load_report> load;
    std::optional<duration> cold_left;
    bool leaving = false;          // the upstream says that it stops soon
    std::optional<duration> pause; // the upstream asks for no work for so long
};

// What an upstream said of itself in an answer.
struct upstream_notice
{
    upstreams::upstream_start upstream;
    bool leaving = false;
    std::optional<duration> pause;
};

// Why a request was refused or given up.
enum class refusal
{
    none,
    no_configuration, // this VM has just started
    no_route,
    no_key,          // the key is missing or unknown
    over_allowance,  // the account's rate and burst are used up
    no_upstream,     // none is usable now
    too_late,        // the expected answer comes after the deadline
    no_room,         // all slots are busy, and the answer would come late
    upstream_full,   // the upstreams that were asked refused it as not run
    unknown_outcome, // it may have run
    deadline,        // no answer in time; it may have run
    stopping,        // no answer is expected before this process ends
};

std::string_view name_of(refusal reason);

struct refusal_answer
{
    refusal reason = refusal::none;
    bool may_have_run = false;
    duration retry_after{0}; // 0: trying again does not help
};

// What was decided on one request, for logs and metrics.
struct record
{
    std::string_view event; // "answered", "refused", "retried", "left"
    std::string request_id;
    std::string route;
    std::string account;
    std::string service;
    std::string upstream;
    refusal reason = refusal::none;
    int status = 0; // of the upstream
    std::uint32_t attempts = 0;
    std::uint64_t version = 0; // of the configuration that decided
    duration elapsed{0};
    duration time_left{0};
    // Believed when the upstream was chosen, or of the best one when none was.
    duration expected{0}; // completion
    duration wait{0};     // part of it: for a slot
    double load = 0;      // requests at the upstream
    duration objective{0};
    std::string detail;
};

struct gateway_hooks
{
    // Asks for a token of the account. finish_admission() must follow, at once or later.
    std::function<void(exchange_id, const std::string& account)> ask_token;
    // A token was not used.
    std::function<void(const std::string& account)> return_token;
    std::function<call_id(const attempt&)> send;
    std::function<void(call_id)> cancel;
    std::function<void(exchange_id, std::any answer)> deliver;
    std::function<void(exchange_id, const refusal_answer&)> refuse;
    std::function<void(const record&)> report = nullptr;
    std::function<void(const upstream_notice&)> notice = nullptr;
};

struct gateway_options
{
    duration default_timeout =
        std::chrono::seconds(10); // without route timeout and deadline
    double retry_ratio = 0.15;    // retries of a service for each of its requests
    double retry_reserve = 30; // retries in each window without regard to the ratio, for
                               // all VMs together
    // Part of the time left within which an answer must be expected, by priority: under
    // overload the less urgent requests give way first.
    std::array<double, 3> admission_fraction = {1.0, 0.9, 0.75};
    // Failed connections do not reach an upstream; bounds the search for one that
    // answers.
    std::uint32_t max_unsent = 3;
    duration upstream_full_retry_after =
        std::chrono::milliseconds(200); // after a full upstream
    duration no_configuration_retry_after =
        std::chrono::milliseconds(300); // without a configuration
    duration stopping_retry_after = std::chrono::milliseconds(10); // another VM takes it
    // While this process stops, an answer must be expected within this part of the time
    // that is left: the upstream may take longer than expected.
    double stopping_fraction = 0.5;
    std::uint64_t seed = 0;
};

struct counts
{
    std::uint64_t submitted = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::size_t pending = 0;
};

class gateway
{
public:
    // The upstreams outlive the gateway.
    gateway(gateway_options options, upstreams::upstream_set& upstreams,
            gateway_hooks hooks);

    void set_configuration(std::shared_ptr<const configuration::state> next);
    const configuration::state* active() const
    {
        return this->configuration.get();
    }
    // VMs that share the retry reserve, this one included.
    void set_vm_count(std::size_t count);

    // This process ends then. Requests that are not expected to be answered by then are
    // refused at once, and upstreams are told to stop work on the others by then.
    void begin_stop(time_point ends_at);

    void submit(time_point now, exchange_id exchange, caller_request incoming);
    void finish_admission(time_point now, exchange_id exchange,
                          const allowance::admission& made);
    void finish_attempt(time_point now, exchange_id exchange, call_id call,
                        attempt_result ended);
    void caller_left(time_point now, exchange_id exchange);

    counts totals() const;

private:
    struct pending
    {
        caller_request request;
        std::shared_ptr<const configuration::state> configuration;
        const configuration::route* route = nullptr;
        const configuration::account* account = nullptr;
        std::string service;
        time_point begun;
        time_point deadline;
        std::uint32_t attempts = 0; // sent
        std::uint32_t unsent = 0;
        std::vector<std::string> excluded;
        std::string upstream;
        time_point sent;
        call_id call = 0;
        bool may_have_run = false;
        upstreams::selection chosen;
        bool caller_gone = false;
        bool waits_for_token = false;
        bool holds_token = false;
    };

    bool find_route(time_point now, exchange_id exchange, pending& made);
    void dispatch(time_point now, exchange_id exchange, pending& of);
    void note(time_point now, const pending& of, const attempt_result& ended);
    bool retry(time_point now, exchange_id exchange, pending& of, bool not_run);
    void deliver(time_point now, exchange_id exchange, pending& of,
                 attempt_result& ended);
    void refuse(time_point now, exchange_id exchange, const pending& of,
                const refusal_answer& answer, std::string_view detail = {});
    void give_up(time_point now, exchange_id exchange, const pending& of, refusal reason,
                 std::string_view detail);
    void report(time_point now, std::string_view event, const pending& of, refusal reason,
                int status, std::string_view detail) const;
    retry::policy& policy_of(const std::string& service);
    double part_for(const pending& of) const;
    duration time_for(time_point now, const pending& of) const;
    duration time_to_expect(time_point now, const pending& of) const;

    gateway_options options;
    upstreams::upstream_set& upstreams;
    gateway_hooks hooks;
    std::shared_ptr<const configuration::state> configuration;
    std::unordered_map<exchange_id, pending> requests;
    std::map<std::string, retry::policy> retries;
    std::size_t vm_count = 1;
    std::optional<time_point> ends_at; // this process
    counts total;
};

} // namespace pistachiospan::gateway

#endif
