// Requests, answers and refusals, and the messages that relay them between entry daemons.

#ifndef PISTACHIOSPAN_ENTRY_MESSAGES_HPP
#define PISTACHIOSPAN_ENTRY_MESSAGES_HPP

#include "pistachiospan/base/base.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace pistachiospan::entry
{

using header_list = std::vector<std::pair<std::string, std::string>>;

// Whether a refused request may have been executed.
enum class execution_state
{
    not_executed, // no part of the request has run or will run
    unknown,      // it may have run
};

// Why a request was refused. The text returned by name_of() is stable because callers
// depend on it.
enum class refusal_code
{
    none,
    not_ready,
    no_route,
    missing_key,
    unknown_key,
    stale_configuration,
    rate_limited,
    body_too_large,
    overloaded,
    queue_full,
    no_upstream,
    deadline_too_near,
    key_reused,
    duplicate_unresolved,
    upstream_failed,
    timeout,
    relay_failed,
    bad_request,
};

std::string_view name_of(refusal_code code) noexcept;

// HTTP status of the answer for a code.
int status_of(refusal_code code) noexcept;

struct refusal
{
    refusal_code code = refusal_code::none;
    execution_state execution = execution_state::not_executed;
    std::string message; // the problem and its remedy
    duration retry_after{0};
};

struct caller_request
{
    std::string method;
    std::string target;          // path and query
    std::string key;             // X-Client-Key; never forwarded or logged
    std::string idempotency_key; // empty: none
    std::string request_id;      // empty: one is generated
    std::optional<duration> deadline;
    header_list headers; // forwarded to the upstream
    std::string body;
};

struct answer
{
    int status = 0;
    header_list headers;
    std::string body;
    refusal refusal_details; // code none: answer of an upstream
    std::string upstream;
};

using answer_handler = std::function<void(answer)>;

// Why a request was relayed to another daemon.
enum class relay_reason
{
    upstream, // the upstreams are in its data centre
    primary,  // it is the primary of the shard of the idempotency key
};

// A request relayed to another daemon. The body is sent next to the JSON.
struct relay_request
{
    relay_reason reason = relay_reason::upstream;
    std::string method;
    std::string target;
    std::string request_id;
    std::string route;
    std::string account;  // empty: open route
    std::string key_hash; // hash of the caller's key; the receiver checks it again
    std::string idempotency_key;
    std::uint32_t primary_relays = 0; // to primaries of shards, this one included
    std::uint64_t deadline_us = 0;    // time left at sending
    header_list headers;
    std::string body;
};

struct relay_answer
{
    answer content;
};

// The bodies are not part of the JSON.
void to_json(nlohmann::json& out, const relay_request& value);
void from_json(const nlohmann::json& in, relay_request& value);
void to_json(nlohmann::json& out, const relay_answer& value);
void from_json(const nlohmann::json& in, relay_answer& value);

// Builds the answer for a refusal: HTTP status, JSON body and, if a delay is known,
// Retry-After.
answer make_refusal(refusal reason, std::string_view request_id);

} // namespace pistachiospan::entry

#endif
