// Requests, answers and refusals as the request path sees them, and the messages that
// relay them between entry daemons.

#ifndef PISTACHIOSPAN_ENTRY_MESSAGES_HPP
#define PISTACHIOSPAN_ENTRY_MESSAGES_HPP

#include "pistachiospan/base/base.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace pistachiospan::entry
{

using header_list = std::vector<std::pair<std::string, std::string>>;

// What a refusal says about the request itself.
enum class execution_state
{
    not_executed, // nothing of this request runs or will run
    unknown,      // it may have run
};

// Why a request was refused. The text form (name_of) is stable: callers depend on it.
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

// HTTP status that goes with a code.
int status_of(refusal_code code) noexcept;

struct refusal
{
    refusal_code code = refusal_code::none;
    execution_state execution = execution_state::not_executed;
    std::string message; // what is wrong and how to remedy it
    duration retry_after{0};
};

struct caller_request
{
    std::string method;
    std::string target;          // path and query
    std::string key;             // X-Client-Key; never forwarded or logged
    std::string idempotency_key; // empty: none
    std::string request_id;      // empty: one is made
    std::optional<duration> deadline;
    header_list headers; // to forward
    std::string body;
};

struct answer
{
    int status = 0;
    header_list headers;
    std::string body;
    refusal refusal_details; // code none: an upstream's answer
    std::string upstream;
};

using answer_handler = std::function<void(answer)>;

// Why a request was relayed to another daemon.
enum class relay_reason
{
    upstream, // its data centre owns the upstreams
    primary,  // it is the primary of the shard of the idempotency key
};

// A request on its way to another daemon. The body travels beside it.
struct relay_request
{
    relay_reason reason = relay_reason::upstream;
    std::string method;
    std::string target;
    std::string request_id;
    std::string route;
    std::string account;  // empty: open route
    std::string key_hash; // of the caller's key; the receiver checks it again
    std::string idempotency_key;
    std::uint32_t primary_relays = 0; // with this one, to primaries of shards
    std::uint64_t deadline_us = 0;    // time left when it was sent
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

// The answer that tells a caller of a refusal: JSON body and Retry-After.
answer make_refusal(refusal why, std::string_view request_id);

} // namespace pistachiospan::entry

#endif
