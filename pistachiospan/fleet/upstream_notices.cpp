// MessagePack encoding of upstream notices: an array of limits (id, start, requests per
// second or nil, age in milliseconds), one of leaving upstreams (id, start, age), one of
// suspects (the two halves of the fingerprint, strikes, clearances) and one of suspected
// restarts (id, start, age of the sign, age of the first acceptance or nil). VMs of
// earlier versions neither send nor read the last two, or the last one.

#include "pistachiospan/fleet/fleet.hpp"

#include <cmath>
#include <stdexcept>

namespace pistachiospan::fleet
{

namespace
{

// Ages are sent in milliseconds, capped at this value.
constexpr std::chrono::milliseconds max_sent_age{600000};

std::int64_t encode_age(duration age)
{
    return std::min(std::chrono::floor<std::chrono::milliseconds>(age), max_sent_age)
        .count();
}

duration decode_age(const nlohmann::json& from)
{
    return std::chrono::milliseconds(from.get<std::uint32_t>());
}

upstreams::upstream_start decode_start(const nlohmann::json& fields)
{
    return {.id = fields.at(0).get<std::string>(),
            .started = fields.at(1).get<std::int64_t>()};
}

upstreams::limit_notice decode_limit(const nlohmann::json& fields)
{
    upstreams::limit_notice notice{.upstream = decode_start(fields),
                                   .age = decode_age(fields.at(3))};
    if (fields.at(2).is_null())
        return notice;
    const double rate = fields.at(2).get<double>();
    if (!std::isfinite(rate) || rate < 0)
        throw std::invalid_argument("request limit is not a rate");
    notice.statement.rate = rate;
    return notice;
}

// Ages of strikes may reach the longest quarantine.
std::int64_t encode_strike_age(duration age)
{
    return std::chrono::floor<std::chrono::milliseconds>(std::max(age, duration(0)))
        .count();
}

nlohmann::json encode_suspect(const quarantine::suspect_notice& notice)
{
    nlohmann::json strikes = nlohmann::json::array();
    for (const auto& each : notice.strikes)
        strikes.push_back({each.source, each.service, encode_strike_age(each.age)});
    nlohmann::json clearances = nlohmann::json::array();
    for (const auto& each : notice.clearances)
        clearances.push_back({each.service, encode_strike_age(each.age)});
    return {notice.request.high, notice.request.low, std::move(strikes),
            std::move(clearances)};
}

quarantine::suspect_notice decode_suspect(const nlohmann::json& fields)
{
    quarantine::suspect_notice notice{.request = {fields.at(0).get<std::uint64_t>(),
                                                  fields.at(1).get<std::uint64_t>()}};
    for (const nlohmann::json& each : fields.at(2))
        notice.strikes.push_back({each.at(0).get<std::uint64_t>(),
                                  each.at(1).get<std::uint32_t>(),
                                  decode_age(each.at(2))});
    for (const nlohmann::json& each : fields.at(3))
        notice.clearances.push_back(
            {each.at(0).get<std::uint32_t>(), decode_age(each.at(1))});
    return notice;
}

upstreams::restart_notice decode_restart(const nlohmann::json& fields)
{
    upstreams::restart_notice notice{.upstream = decode_start(fields),
                                     .age = decode_age(fields.at(2))};
    if (!fields.at(3).is_null())
        notice.accepted_age = decode_age(fields.at(3));
    return notice;
}

} // namespace

std::string encode(const upstream_notices& notices)
{
    nlohmann::json limits = nlohmann::json::array();
    for (const upstreams::limit_notice& each : notices.limits)
    {
        const std::optional<double> rate = each.statement.rate;
        limits.push_back({each.upstream.id, each.upstream.started,
                          rate ? nlohmann::json(*rate) : nlohmann::json(),
                          encode_age(each.age)});
    }
    nlohmann::json leaving = nlohmann::json::array();
    for (const upstreams::leaving_notice& each : notices.leaving)
        leaving.push_back(
            {each.upstream.id, each.upstream.started, encode_age(each.age)});
    nlohmann::json suspects = nlohmann::json::array();
    for (const quarantine::suspect_notice& each : notices.suspects)
        suspects.push_back(encode_suspect(each));
    nlohmann::json restarts = nlohmann::json::array();
    for (const upstreams::restart_notice& each : notices.restarts)
        restarts.push_back({each.upstream.id, each.upstream.started, encode_age(each.age),
                            each.accepted_age
                                ? nlohmann::json(encode_age(*each.accepted_age))
                                : nlohmann::json()});
    std::string bytes;
    nlohmann::json::to_msgpack(
        nlohmann::json::array({std::move(limits), std::move(leaving), std::move(suspects),
                               std::move(restarts)}),
        bytes);
    return bytes;
}

result<upstream_notices> decode_notices(std::string_view bytes)
{
    const nlohmann::json all = nlohmann::json::from_msgpack(bytes, true, false);
    if (!all.is_array())
        return failure(errc::invalid_argument,
                       "upstream notices are not an array; run one version on all VMs");
    try
    {
        upstream_notices notices;
        for (const nlohmann::json& each : all.at(0))
            notices.limits.push_back(decode_limit(each));
        for (const nlohmann::json& each : all.at(1))
            notices.leaving.push_back(
                {.upstream = decode_start(each), .age = decode_age(each.at(2))});
        if (all.size() > 2)
            for (const nlohmann::json& each : all.at(2))
                notices.suspects.push_back(decode_suspect(each));
        if (all.size() > 3)
            for (const nlohmann::json& each : all.at(3))
                notices.restarts.push_back(decode_restart(each));
        return notices;
    }
    catch (const std::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("malformed upstream notice: ") + problem.what());
    }
}

} // namespace pistachiospan::fleet
