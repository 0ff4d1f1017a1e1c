#include "pistachiospan/entry/messages.hpp"

#include <array>

namespace pistachiospan::entry
{

namespace
{

struct code_entry
{
    refusal_code code;
    std::string_view name;
    int status;
};

constexpr std::array<code_entry, 18> codes{{
    {refusal_code::none, "none", 200},
    {refusal_code::not_ready, "not_ready", 503},
    {refusal_code::no_route, "no_route", 404},
    {refusal_code::missing_key, "missing_key", 401},
    {refusal_code::unknown_key, "unknown_key", 401},
    {refusal_code::stale_configuration, "stale_configuration", 503},
    {refusal_code::rate_limited, "rate_limited", 429},
    {refusal_code::body_too_large, "body_too_large", 413},
    {refusal_code::overloaded, "overloaded", 503},
    {refusal_code::queue_full, "queue_full", 503},
    {refusal_code::no_upstream, "no_upstream", 503},
    {refusal_code::deadline_too_near, "deadline_too_near", 503},
    {refusal_code::key_reused, "key_reused", 422},
    {refusal_code::duplicate_unresolved, "duplicate_unresolved", 409},
    {refusal_code::upstream_failed, "upstream_failed", 502},
    {refusal_code::timeout, "timeout", 504},
    {refusal_code::relay_failed, "relay_failed", 502},
    {refusal_code::bad_request, "bad_request", 400},
}};

const code_entry& entry_of(refusal_code code) noexcept
{
    return codes.at(static_cast<std::size_t>(code));
}

std::string_view name_of_execution(execution_state execution)
{
    return execution == execution_state::not_executed ? "no" : "unknown";
}

} // namespace

std::string_view name_of(refusal_code code) noexcept
{
    return entry_of(code).name;
}

int status_of(refusal_code code) noexcept
{
    return entry_of(code).status;
}

void to_json(nlohmann::json& out, const relay_request& value)
{
    out = nlohmann::json::array({static_cast<int>(value.reason), value.method,
                                 value.target, value.request_id, value.route,
                                 value.account, value.key_hash, value.idempotency_key,
                                 value.deadline_us, value.headers, value.primary_relays});
}

void from_json(const nlohmann::json& in, relay_request& value)
{
    const int reason = in.at(0).get<int>();
    value.reason = reason == 0 ? relay_reason::upstream : relay_reason::primary;
    in.at(1).get_to(value.method);
    in.at(2).get_to(value.target);
    in.at(3).get_to(value.request_id);
    in.at(4).get_to(value.route);
    in.at(5).get_to(value.account);
    in.at(6).get_to(value.key_hash);
    in.at(7).get_to(value.idempotency_key);
    in.at(8).get_to(value.deadline_us);
    in.at(9).get_to(value.headers);
    in.at(10).get_to(value.primary_relays);
}

void to_json(nlohmann::json& out, const relay_answer& value)
{
    const refusal& refusal_details = value.content.refusal_details;
    out = nlohmann::json::array(
        {value.content.status, value.content.headers,
         static_cast<int>(refusal_details.code),
         static_cast<int>(refusal_details.execution), refusal_details.message,
         refusal_details.retry_after.count(), value.content.upstream});
}

void from_json(const nlohmann::json& in, relay_answer& value)
{
    in.at(0).get_to(value.content.status);
    in.at(1).get_to(value.content.headers);
    const auto code = in.at(2).get<std::size_t>();
    // An unknown code, sent by a later release, is reported as a failed relay.
    value.content.refusal_details.code = code < codes.size()
                                             ? static_cast<refusal_code>(code)
                                             : refusal_code::relay_failed;
    value.content.refusal_details.execution = in.at(3).get<int>() == 0
                                                  ? execution_state::not_executed
                                                  : execution_state::unknown;
    in.at(4).get_to(value.content.refusal_details.message);
    value.content.refusal_details.retry_after = duration(in.at(5).get<std::int64_t>());
    in.at(6).get_to(value.content.upstream);
}

answer make_refusal(refusal reason, std::string_view request_id)
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(reason.retry_after);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(reason.retry_after);
    const nlohmann::json body{{"code", name_of(reason.code)},
                              {"ran", name_of_execution(reason.execution)},
                              {"message", reason.message},
                              {"retry_after_ms", wait.count()},
                              {"request_id", request_id}};
    answer response{.status = status_of(reason.code),
                    .headers = {{"Content-Type", "application/json"}},
                    .body = body.dump()};
    if (reason.retry_after.count() > 0)
        response.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    response.refusal_details = std::move(reason);
    return response;
}

} // namespace pistachiospan::entry
