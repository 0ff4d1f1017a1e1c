// MessagePack encoding of what VMs tell each other about admission. Reports: an array of
// services (hash of the name, placed, failed, late, usual, flows), each flow an array
// (hash of the account, priority, demand, time of one request). News: an array of
// services (hash, whether it is restricted, level, share, room, flows), each flow an
// array (hash, priority, what passes in thousandths). Rates are in thousandths of a slot,
// times in milliseconds.

#include "pistachiospan/admission/admission.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace pistachiospan::admission
{

namespace
{

constexpr double thousand = 1000;
// Flows of one message that are read: far more than accounts and priorities of a service.
constexpr std::size_t max_flows = 4096;

std::uint32_t to_thousandths(double value)
{
    return static_cast<std::uint32_t>(
        std::clamp(std::round(value * thousand), 0.0, double{UINT32_MAX}));
}

double from_thousandths(const nlohmann::json& field)
{
    return field.get<std::uint32_t>() / thousand;
}

flow_key decode_key(const nlohmann::json& fields)
{
    return {.account = fields.at(0).get<std::uint32_t>(),
            .priority = fields.at(1).get<std::int16_t>()};
}

const nlohmann::json& checked_flows(const nlohmann::json& flows)
{
    if (!flows.is_array() || flows.size() > max_flows)
        throw std::invalid_argument("flows are no array or too many");
    return flows;
}

service_report decode_report(const nlohmann::json& fields)
{
    service_report report{.service = fields.at(0).get<std::uint32_t>(),
                          .room = {.placed = from_thousandths(fields.at(1)),
                                   .failed = from_thousandths(fields.at(2)),
                                   .late = from_thousandths(fields.at(3)),
                                   .usual = from_thousandths(fields.at(4))}};
    for (const nlohmann::json& each : checked_flows(fields.at(5)))
        report.flows.push_back({.key = decode_key(each),
                                .demand = from_thousandths(each.at(2)),
                                .cost = from_thousandths(each.at(3))});
    return report;
}

service_news decode_one_news(const nlohmann::json& fields)
{
    service_news news{.service = fields.at(0).get<std::uint32_t>(),
                      .is_restricted = fields.at(1).get<bool>(),
                      .level = fields.at(2).get<std::int16_t>(),
                      .share = from_thousandths(fields.at(3)),
                      .room = from_thousandths(fields.at(4))};
    for (const nlohmann::json& each : checked_flows(fields.at(5)))
        news.flows.push_back({.key = decode_key(each),
                              .fraction = std::min(from_thousandths(each.at(2)), 1.0)});
    return news;
}

std::string to_bytes(const nlohmann::json& all)
{
    std::string bytes;
    nlohmann::json::to_msgpack(all, bytes);
    return bytes;
}

template <typename Item>
result<std::vector<Item>> decode_all(std::string_view bytes,
                                     Item (*decode)(const nlohmann::json&))
{
    const nlohmann::json all = nlohmann::json::from_msgpack(bytes, true, false);
    if (!all.is_array())
        return failure(errc::invalid_argument,
                       "admission message is not an array; run one version on all VMs");
    try
    {
        std::vector<Item> items;
        for (const nlohmann::json& each : all)
            items.push_back(decode(each));
        return items;
    }
    catch (const std::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("malformed admission message: ") + problem.what());
    }
}

} // namespace

std::string encode(std::span<const service_report> reports)
{
    nlohmann::json all = nlohmann::json::array();
    for (const service_report& each : reports)
    {
        nlohmann::json flows = nlohmann::json::array();
        for (const flow_demand& flow : each.flows)
            flows.push_back({flow.key.account, flow.key.priority,
                             to_thousandths(flow.demand), to_thousandths(flow.cost)});
        all.push_back({each.service, to_thousandths(each.room.placed),
                       to_thousandths(each.room.failed), to_thousandths(each.room.late),
                       to_thousandths(each.room.usual), std::move(flows)});
    }
    return to_bytes(all);
}

std::string encode(std::span<const service_news> news)
{
    nlohmann::json all = nlohmann::json::array();
    for (const service_news& each : news)
    {
        nlohmann::json flows = nlohmann::json::array();
        for (const passing_flow& flow : each.flows)
            flows.push_back(
                {flow.key.account, flow.key.priority, to_thousandths(flow.fraction)});
        all.push_back({each.service, each.is_restricted, each.level,
                       to_thousandths(each.share), to_thousandths(each.room),
                       std::move(flows)});
    }
    return to_bytes(all);
}

result<std::vector<service_report>> decode_reports(std::string_view bytes)
{
    return decode_all<service_report>(bytes, &decode_report);
}

result<std::vector<service_news>> decode_news(std::string_view bytes)
{
    return decode_all<service_news>(bytes, &decode_one_news);
}

} // namespace pistachiospan::admission
