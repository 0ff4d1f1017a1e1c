// Processing of requests within one VM: route, key, rate limit, selection of an upstream,
// retries and the answer.
//
// Example:
//
//     gateway requests({.seed = 1}, upstreams, {.ask_token = ask, .send = send, ...});
//     requests.set_configuration(active);
//     requests.submit(now, exchange, request);
//     requests.finish_admission(now, exchange, decision);
//     requests.finish_upstream_admission(now, exchange, decision); // of a limited
//     upstream requests.finish_attempt(now, exchange, attempt, result);
//     requests.caller_left(now, exchange);
//
// Each request gets exactly one answer unless its caller leaves. A refusal is marked as
// not run only if the request was sent to no upstream, or each one that got it refused it
// as not run. Uses no sockets and no clocks: the owner passes the time and performs the
// I/O.

#ifndef PISTACHIOSPAN_GATEWAY_GATEWAY_HPP
#define PISTACHIOSPAN_GATEWAY_GATEWAY_HPP

#include "pistachiospan/admission/admission.hpp"
#include "pistachiospan/allowance/allowance.hpp"
#include "pistachiospan/configuration/configuration.hpp"
#include "pistachiospan/quarantine/quarantine.hpp"
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

// The properties of a caller's request that decide how it is handled. Its bytes stay with
// the owner of the exchange.
struct caller_request
{
    std::string request_id;
    std::string host;
    std::string path;                  // without the query string
    std::string key;                   // empty: the request has none
    std::string object;                // affinity key of the request; empty: none
    std::size_t body_size = 0;         // bytes
    bool is_forwarded = false;         // another VM has passed it on to this one
    std::optional<duration> time_left; // as given by the caller
    // Time since its first byte arrived in this process. It counts towards time_left and
    // the route's timeout.
    duration waited{0};
};

// One request sent to one upstream.
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
    answered,    // complete answer
    not_run,     // the upstream reports that it did not run the request
    misdirected, // another upstream uses the address now, and reports that it did not run
                 // the request
    not_sent,    // no byte of the request was written
    broken,      // incomplete answer or none; it may have run
    timed_out,   // no answer within the attempt's time; it may have run
};

// What shows that an upstream has not run a request, for logs and metrics.
struct refusal_evidence
{
    int status = 0;
    bool has_header = false; // the header that states it
    bool has_request_id = false;
    bool is_first_answer = false; // on its connection
};

struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::broken;
    int status = 0;     // answered
    std::any answer;    // answered: passed unchanged to gateway_hooks::deliver
    std::string detail; // cause of a failure, for logs
    std::optional<refusal_evidence> evidence; // not_run, misdirected
    // broken: the upstream's side closed or reset the connection.
    bool connection_lost = false;
    bool connection_refused = false; // not_sent: nothing listens at the address
    // broken: another upstream uses the address now, and may have run the request.
    bool is_misdirected = false;
    std::optional<upstreams::load_report> load;
    std::optional<duration> cold_left;
    bool leaving = false;          // the upstream reports that it stops soon
    std::optional<duration> pause; // time for which the upstream asks for no work
    // What the upstream says about its request limit; nullopt if that is not known.
    std::optional<upstreams::limit_statement> limit;
};

// A request that another VM is to serve, because no upstream can be reached from here.
struct forward_request
{
    time_point deadline;
    // Regions in which the request may be handled; both apply. Empty: all.
    std::vector<std::string> homes;
    std::vector<std::string> account_homes;
};

// What an upstream reported about itself in an answer.
struct upstream_notice
{
    upstreams::upstream_start upstream;
    bool leaving = false;
    std::optional<duration> pause;
    std::optional<upstreams::limit_statement> limit; // if it has changed
};

// Why a request was refused or given up.
enum class refusal
{
    none,
    no_configuration, // this VM has just started
    no_route,
    no_key,          // the key is missing or unknown
    over_allowance,  // the account's rate and burst are exhausted
    no_upstream,     // no upstream is usable now
    upstream_limit,  // the request limits of the upstreams are used up
    too_late,        // the expected answer comes after the deadline
    no_room,         // all slots are busy, and the answer would miss the objective
    upstream_full,   // all upstreams that got it refused it as not run
    unknown_outcome, // it may have run
    deadline,        // no answer in time; it may have run
    stopping,        // no answer is expected before this process ends
    quarantined,     // it was at several upstreams that ended
    over_share,      // room is short, and others come first or have had less of it
};

std::string_view name_of(refusal reason);

// Status codes from this one on report a failure of the upstream.
inline constexpr int first_server_error = 500;

struct refusal_answer
{
    refusal reason = refusal::none;
    bool may_have_run = false;
    duration retry_after{0}; // 0: a retry does not help
};

// One event in the processing of a request, for logs and metrics.
struct record
{
    std::string_view event; // "answered", "refused", "retried", "resent", "left"
    std::string request_id;
    std::string route;
    std::string account;
    std::string service;
    std::string upstream;
    refusal reason = refusal::none;
    int status = 0; // of the upstream
    std::uint32_t attempts = 0;
    std::uint64_t version = 0; // of the configuration that was used
    duration elapsed{0};       // since the request arrived
    duration waited{0};        // of it, before the request was submitted
    duration time_left{0};
    // Estimates at the selection of the upstream, or for the best one if none was
    // selected.
    duration expected{0}; // time to completion
    duration wait{0};     // included in expected: wait for a slot
    double load = 0;      // requests at the upstream
    duration objective{0};
    std::string detail;
    // The request's fingerprint; empty while nothing has needed it.
    std::string fingerprint;
};

// See admission::controller. Without them requests compete for upstreams as they come.
struct admission_hooks
{
    std::function<admission::decision(time_point, const admission::request&)> decide =
        nullptr;
    std::function<void(time_point, const admission::request&, admission::outcome,
                       duration elapsed)>
        note = nullptr;
    std::function<duration(time_point, const admission::request&)> retry_turn = nullptr;
};

struct gateway_hooks
{
    // Asks for a token of the account. finish_admission() must follow, at once or later.
    std::function<void(exchange_id, const std::string& account)> ask_token;
    // Returns a token that was not used.
    std::function<void(const std::string& account)> return_token;
    // The same for the request limit that an upstream has named.
    // finish_upstream_admission() must follow, at once or later.
    std::function<void(exchange_id, const upstreams::upstream_start&)> ask_upstream_token;
    std::function<void(const upstreams::upstream_start&)> return_upstream_token;
    std::function<call_id(const attempt&)> send;
    std::function<void(call_id)> cancel;
    std::function<void(exchange_id, std::any answer)> deliver;
    std::function<void(exchange_id, const refusal_answer&)> refuse;
    std::function<void(const record&)> report = nullptr;
    std::function<void(const upstream_notice&)> notice = nullptr;
    // Passes the request on to another VM, which authenticates and admits it. Returns
    // false if there is none. The gateway has no part in the exchange afterwards.
    std::function<bool(exchange_id, const forward_request&)> forward = nullptr;
    // The fingerprint of the exchange's request, for this caller. Without this hook and
    // the next one, ends of upstreams are not noticed.
    std::function<quarantine::fingerprint(exchange_id, const std::string& account)>
        identify = nullptr;
    // Tries a new connection to an upstream. finish_connection_check() must follow.
    std::function<void(const upstreams::upstream_start&, const std::string& address)>
        check_connection = nullptr;
    // An upstream has ended with requests of this VM. `quarantined`: those that are in
    // quarantine since.
    std::function<void(time_point, const quarantine::upstream_end&,
                       std::span<const quarantine::fingerprint> quarantined)>
        upstream_ended = nullptr;
    // A trial was begun, or an answer has cleared the request.
    std::function<void(time_point, const quarantine::fingerprint&, bool cleared)>
        suspect_changed = nullptr;
    admission_hooks admission;
};

struct gateway_options
{
    duration default_timeout =
        std::chrono::seconds(10); // without route timeout and deadline
    double retry_ratio = 0.2;     // retries of a service as a ratio of its requests
    // Retries of a service that this VM may store at any load, in addition to the ratio.
    double min_retry_credit = 1;
    // Fraction of the remaining time within which an answer must be expected, by
    // priority: under overload, less urgent requests are refused first.
    std::array<double, 3> admission_fraction = {1.0, 0.9, 0.75};
    // Fraction of the objective within which an answer must be expected if all slots are
    // busy and the account gets less than it wants: it must not take the room in queues
    // that requests of others need.
    double yielding_fraction = 0.75;
    // Connection attempts that may fail for one request. They do not count as attempts,
    // so this bounds the search for an upstream that answers.
    std::uint32_t max_unsent = 3;
    // Tokens of upstreams' request limits that may be refused, or granted when the
    // upstream can't be used any more, for one request. After that, only upstreams
    // without a limit are tried.
    std::uint32_t max_unused_admissions = 4;
    // Lower bound on retry_after when no upstream took the request.
    duration upstream_full_retry_after = std::chrono::milliseconds(200);
    duration no_configuration_retry_after = std::chrono::milliseconds(300);
    // While this process stops: another VM can take the request at once.
    duration stopping_retry_after = std::chrono::milliseconds(10);
    // While this process stops, an answer must be expected within this fraction of the
    // time until its end: the upstream may take longer than expected.
    double stopping_fraction = 0.5;
    std::uint64_t seed = 0;
};

// Retries of one service by this VM.
struct retry_counts
{
    std::uint64_t sent = 0;   // since the start of the process
    std::uint64_t denied = 0; // the same, not sent because the budget was used up
    double credit = 0;        // retries that the budget permits at present
};

struct counts
{
    std::uint64_t submitted = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t limited_attempts = 0; // sent to upstreams with a request limit
    std::uint64_t limit_refusals = 0;   // not sent there because the limit was used up
    std::size_t pending = 0;
};

class gateway
{
public:
    // `upstreams` must outlive the gateway.
    gateway(gateway_options options, upstreams::upstream_set& upstreams,
            gateway_hooks hooks);

    void set_configuration(std::shared_ptr<const configuration::state> next);
    const configuration::state* active() const
    {
        return this->configuration.get();
    }

    // This process ends at `stops_at`. Requests that are not expected to be answered by
    // then are refused at once, and the others get no more time at the upstream than
    // that.
    void begin_stop(time_point stops_at);

    // Whether the route of this host and path may run a request more than once; false if
    // there is none.
    bool is_idempotent(std::string_view host, std::string_view path) const;

    // Starts the processing of a request. Its hooks may be called before this returns.
    void submit(time_point now, exchange_id exchange, caller_request incoming);
    // The answer to gateway_hooks::ask_token. Late and repeated ones are ignored.
    void finish_admission(time_point now, exchange_id exchange,
                          const allowance::admission& decision);
    // The answer to gateway_hooks::ask_upstream_token. Late and repeated ones are
    // ignored.
    void finish_upstream_admission(time_point now, exchange_id exchange,
                                   const allowance::admission& decision);
    // The outcome of the call that gateway_hooks::send returned. Ignored if the exchange
    // has ended or waits for another call.
    void finish_attempt(time_point now, exchange_id exchange, call_id call,
                        attempt_result result);
    // The outcome of gateway_hooks::check_connection.
    void finish_connection_check(time_point now,
                                 const upstreams::upstream_start& upstream,
                                 quarantine::connection_check outcome);
    // The caller needs no answer any more.
    void caller_left(time_point now, exchange_id exchange);

    // Requests that may crash upstreams, as this VM and the others know them.
    quarantine::suspects& suspects()
    {
        return this->known_suspects;
    }
    const quarantine::suspects& suspects() const
    {
        return this->known_suspects;
    }
    counts totals() const;
    // By service.
    std::map<std::string, retry_counts> retry_totals(time_point now) const;

private:
    enum class token_wait
    {
        none,
        account,
        upstream,
    };

    struct pending_request
    {
        caller_request request;
        std::shared_ptr<const configuration::state> configuration;
        const configuration::route* route = nullptr;
        const configuration::account* account = nullptr;
        std::string service;
        time_point arrived_at;
        time_point deadline;
        std::uint32_t attempts = 0; // sent
        std::uint32_t unsent_attempts = 0;
        std::vector<std::string> excluded;
        std::string upstream;
        time_point sent_at;
        call_id call = 0;
        bool may_have_run = false;
        // A failure that an upstream answered with, while another one is tried.
        std::optional<attempt_result> failed_answer;
        upstreams::selection chosen;
        bool caller_gone = false;
        token_wait waits_for = token_wait::none;
        bool holds_token = false;  // of the account
        bool holds_retry = false;  // a retry is charged and not sent yet
        bool was_selected = false; // an upstream for it, before
        bool yields = false;       // the last room to requests of other accounts
        std::optional<quarantine::fingerprint> fingerprint; // once it was needed
        quarantine::admission admitted_as = quarantine::admission::send;
        bool is_suspect_sent = false; // the attempt counts at the suspects
        // Decisions about tokens of upstreams' limits after which it was not sent.
        std::uint32_t unused_admissions = 0;
    };

    bool find_route(time_point now, exchange_id exchange, pending_request& pending);
    void dispatch(time_point now, exchange_id exchange, pending_request& pending);
    upstreams::query query_of(time_point now, const pending_request& pending) const;
    void send(time_point now, exchange_id exchange, pending_request& pending);
    void apply_upstream_state(time_point now, const pending_request& pending,
                              const attempt_result& result);
    const quarantine::fingerprint& fingerprint_of(exchange_id exchange,
                                                  pending_request& pending) const;
    bool forward(time_point now, exchange_id exchange, const pending_request& pending);
    bool suspects_allow(time_point now, const pending_request& pending) const;
    bool admit_suspect(time_point now, exchange_id exchange, pending_request& pending);
    void begin_suspect(time_point now, exchange_id exchange, pending_request& pending);
    void end_suspect(pending_request& pending);
    bool may_send_again(exchange_id exchange, pending_request& pending,
                        const attempt_result& lost) const;
    void note_connection(time_point now, exchange_id exchange, pending_request& pending,
                         const attempt_result& result);
    void clear_suspect(time_point now, exchange_id exchange, pending_request& pending,
                       const attempt_result& result);
    void report_ends(time_point now, const std::vector<quarantine::upstream_end>& ended);
    bool retry(time_point now, exchange_id exchange, pending_request& pending,
               const attempt_result& failed);
    void deliver(time_point now, exchange_id exchange, const pending_request& pending,
                 attempt_result result, std::string_view detail);
    void refuse(time_point now, exchange_id exchange, const pending_request& pending,
                const refusal_answer& answer, std::string_view detail = {});
    void give_up(time_point now, exchange_id exchange, pending_request& pending,
                 refusal reason, std::string_view detail);
    void report(time_point now, std::string_view event, const pending_request& pending,
                refusal reason, int status, std::string_view detail) const;
    retry::policy& policy_of(const std::string& service);
    // Returns the credit of a retry that was charged to the budget and not sent.
    void return_retry(time_point now, const pending_request& pending);
    double admission_fraction_for(const pending_request& pending) const;
    static int priority_of(const pending_request& pending);
    static admission::request admission_request(time_point now,
                                                const pending_request& pending);
    duration selection_objective(const pending_request& pending) const;
    bool admit_by_share(time_point now, exchange_id exchange, pending_request& pending);
    void note_admitted(time_point now, const pending_request& pending,
                       admission::outcome outcome, duration elapsed = duration(0)) const;
    void note_no_room(time_point now, const pending_request& pending) const;
    void note_result(time_point now, const pending_request& pending,
                     const attempt_result& result) const;
    duration retry_after(time_point now, const pending_request& pending,
                         refusal reason) const;
    duration upstream_time_limit(time_point now, const pending_request& pending) const;
    duration admission_time_limit(time_point now, const pending_request& pending) const;

    gateway_options options;
    upstreams::upstream_set& upstreams;
    gateway_hooks hooks;
    std::shared_ptr<const configuration::state> configuration;
    std::unordered_map<exchange_id, pending_request> requests;
    std::map<std::string, retry::policy> retries;
    std::map<std::string, retry_counts> retry_total; // by service
    std::optional<time_point> stops_at;              // end of this process
    quarantine::end_detector ends;
    quarantine::suspects known_suspects;
    counts total;
};

} // namespace pistachiospan::gateway

#endif
