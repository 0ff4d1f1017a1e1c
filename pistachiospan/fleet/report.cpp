// MessagePack encoding of reports.

#include "pistachiospan/fleet/fleet.hpp"

#include <algorithm>
#include <stdexcept>

namespace pistachiospan::fleet
{

namespace
{

constexpr std::size_t delta_fields = 14;
constexpr std::size_t full_fields = 20;

constexpr double highest_rate = 1e9; // requests per second

// Reads a rate or fraction; rejects NaN, negative and excessive values.
double decode_amount(const nlohmann::json& from)
{
    const double value = from.get<double>();
    if (!(value >= 0 && value <= highest_rate))
        throw std::invalid_argument(
            "rate or fraction is out of range: expected 0 to 1e9");
    return value;
}

std::map<std::string, double> decode_amounts(const nlohmann::json& from)
{
    std::map<std::string, double> all;
    for (const auto& [name, value] : from.items())
        all[name] = decode_amount(value);
    return all;
}

// Flags in the state field.
constexpr unsigned ready_bit = 1;
constexpr unsigned draining_bit = 2;
constexpr unsigned searching_bit = 4;

// Ages are sent in milliseconds, capped at this value.
constexpr std::chrono::milliseconds max_sent_age{60000};

nlohmann::json encode_vms(const std::vector<vm_entry>& vms)
{
    nlohmann::json all = nlohmann::json::array();
    for (const vm_entry& each : vms)
        all.push_back({each.vm.value, each.peer_address, each.caller_address,
                       static_cast<float>(each.capacity), each.usable});
    return all;
}

std::vector<vm_entry> decode_vms(const nlohmann::json& all)
{
    std::vector<vm_entry> vms;
    for (const nlohmann::json& each : all)
        vms.push_back({.vm = {each.at(0).get<std::string>()},
                       .peer_address = each.at(1).get<std::string>(),
                       .caller_address = each.at(2).get<std::string>(),
                       .capacity = decode_amount(each.at(3)),
                       .usable = each.at(4).get<bool>()});
    return vms;
}

nlohmann::json encode_coordinators(const std::vector<coordinator_entry>& coordinators)
{
    nlohmann::json all = nlohmann::json::array();
    for (const coordinator_entry& each : coordinators)
        all.push_back({each.data_centre, each.peer_address, each.epoch, each.reachable});
    return all;
}

std::vector<coordinator_entry> decode_coordinators(const nlohmann::json& all)
{
    std::vector<coordinator_entry> coordinators;
    for (const nlohmann::json& each : all)
        coordinators.push_back({.data_centre = each.at(0).get<std::string>(),
                                .peer_address = each.at(1).get<std::string>(),
                                .epoch = each.at(2).get<std::uint64_t>(),
                                .reachable = each.at(3).get<bool>()});
    return coordinators;
}

unsigned state_of(const report& from)
{
    return (from.ready ? ready_bit : 0U) | (from.draining ? draining_bit : 0U) |
           (from.searching ? searching_bit : 0U);
}

nlohmann::json encode_services(const std::vector<upstreams::service_demand>& services)
{
    nlohmann::json all = nlohmann::json::object();
    for (const upstreams::service_demand& each : services)
        all[each.service] = {static_cast<float>(each.rate), each.regional};
    return all;
}

report decode_delta(const nlohmann::json& all)
{
    const unsigned state = all.at(4).get<unsigned>();
    report decoded{.delta = true,
                   .vm = {all.at(0).get<std::string>()},
                   .started = all.at(1).get<incarnation>(),
                   .sequence = all.at(2).get<std::uint64_t>(),
                   .epoch = all.at(3).get<std::uint64_t>(),
                   .searching = (state & searching_bit) != 0,
                   .ready = (state & ready_bit) != 0,
                   .draining = (state & draining_bit) != 0,
                   .configuration_version = all.at(5).get<std::uint64_t>(),
                   .operator_change = all.at(6).get<std::uint64_t>(),
                   .registry_change = all.at(7).get<std::uint64_t>(),
                   .store_age =
                       std::chrono::milliseconds(all.at(8).get<std::uint32_t>())};
    for (const auto& [account, rate] : all.at(9).items())
        decoded.demand.push_back({.account = account, .rate = decode_amount(rate)});
    for (const auto& [service, fields] : all.at(10).items())
        decoded.services.push_back({.service = service,
                                    .rate = decode_amount(fields.at(0)),
                                    .regional = decode_amounts(fields.at(1))});
    for (const auto& [id, started] : all.at(11).items())
        decoded.leaving_upstreams.push_back(
            {.id = id, .started = started.get<std::int64_t>()});
    decoded.reachable_fraction = std::min(decode_amount(all.at(12)), 1.0);
    for (const auto& [data_centre, fields] : all.at(13).items())
        decoded.received.push_back({.data_centre = data_centre,
                                    .started = fields.at(0).get<incarnation>(),
                                    .sequence = fields.at(1).get<std::uint64_t>()});
    return decoded;
}

report decode_full(const nlohmann::json& all)
{
    report decoded = decode_delta(all);
    decoded.delta = false;
    decoded.data_centre = all.at(14).get<std::string>();
    decoded.peer_address = all.at(15).get<std::string>();
    decoded.caller_address = all.at(16).get<std::string>();
    decoded.capacity = decode_amount(all.at(17));
    decoded.vms = decode_vms(all.at(18));
    decoded.coordinators = decode_coordinators(all.at(19));
    return decoded;
}

} // namespace

std::string encode(const report& from)
{
    nlohmann::json demand = nlohmann::json::object();
    for (const allowance::demand& each : from.demand)
        demand[each.account] = static_cast<float>(each.rate);
    nlohmann::json leaving = nlohmann::json::object();
    for (const upstreams::upstream_start& each : from.leaving_upstreams)
        leaving[each.id] = each.started;
    nlohmann::json received = nlohmann::json::object();
    for (const received_report& each : from.received)
        received[each.data_centre] = {each.started, each.sequence};
    const auto age = std::min(
        std::chrono::floor<std::chrono::milliseconds>(from.store_age), max_sent_age);
    nlohmann::json all = {from.vm.value,
                          from.started,
                          from.sequence,
                          from.epoch,
                          state_of(from),
                          from.configuration_version,
                          from.operator_change,
                          from.registry_change,
                          age.count(),
                          std::move(demand),
                          encode_services(from.services),
                          std::move(leaving),
                          static_cast<float>(from.reachable_fraction),
                          std::move(received)};
    if (!from.delta)
    {
        all.push_back(from.data_centre);
        all.push_back(from.peer_address);
        all.push_back(from.caller_address);
        all.push_back(static_cast<float>(from.capacity));
        all.push_back(encode_vms(from.vms));
        all.push_back(encode_coordinators(from.coordinators));
    }
    std::string bytes;
    nlohmann::json::to_msgpack(all, bytes);
    return bytes;
}

result<report> decode(std::string_view bytes)
{
    const nlohmann::json all = nlohmann::json::from_msgpack(bytes, true, false);
    if (!all.is_array() || (all.size() != delta_fields && all.size() != full_fields))
        return failure(
            errc::invalid_argument,
            "report is not an array of 14 or 20 fields; run one version on all VMs");
    try
    {
        return all.size() == delta_fields ? decode_delta(all) : decode_full(all);
    }
    catch (const std::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("malformed report: ") + problem.what());
    }
}

} // namespace pistachiospan::fleet
