// Encoding of reports.

#include "pistachiospan/fleet/fleet.hpp"

#include <algorithm>
#include <stdexcept>

namespace pistachiospan::fleet
{

namespace
{

constexpr std::size_t brief_fields = 14;
constexpr std::size_t whole_fields = 20;

constexpr double highest_rate = 1e9; // requests per second

// A rate or part that can be reckoned with.
double amount_of(const nlohmann::json& from)
{
    const double value = from.get<double>();
    if (!(value >= 0 && value <= highest_rate))
        throw std::invalid_argument("an amount is out of range");
    return value;
}

std::map<std::string, double> amounts_of(const nlohmann::json& from)
{
    std::map<std::string, double> all;
    for (const auto& [name, value] : from.items())
        all[name] = amount_of(value);
    return all;
}

// Bits of a report's state.
constexpr unsigned ready_bit = 1;
constexpr unsigned draining_bit = 2;
constexpr unsigned searching_bit = 4;

// Ages are told in milliseconds. Older than this is told as this.
constexpr std::chrono::milliseconds oldest_told{60000};

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
                       .capacity = amount_of(each.at(3)),
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
        all[each.service] = {static_cast<float>(each.rate), each.bound};
    return all;
}

report decode_brief(const nlohmann::json& all)
{
    const unsigned state = all.at(4).get<unsigned>();
    report made{.delta = true,
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
                .store_age = std::chrono::milliseconds(all.at(8).get<std::uint32_t>())};
    for (const auto& [account, rate] : all.at(9).items())
        made.demand.push_back({.account = account, .rate = amount_of(rate)});
    for (const auto& [service, figures] : all.at(10).items())
        made.services.push_back({.service = service,
                                 .rate = amount_of(figures.at(0)),
                                 .bound = amounts_of(figures.at(1))});
    for (const auto& [id, started] : all.at(11).items())
        made.leaving_upstreams.push_back(
            {.id = id, .started = started.get<std::int64_t>()});
    made.reachable_fraction = std::min(amount_of(all.at(12)), 1.0);
    for (const auto& [data_centre, figures] : all.at(13).items())
        made.received.push_back({.data_centre = data_centre,
                                 .started = figures.at(0).get<incarnation>(),
                                 .sequence = figures.at(1).get<std::uint64_t>()});
    return made;
}

report decode_whole(const nlohmann::json& all)
{
    report made = decode_brief(all);
    made.delta = false;
    made.data_centre = all.at(14).get<std::string>();
    made.peer_address = all.at(15).get<std::string>();
    made.caller_address = all.at(16).get<std::string>();
    made.capacity = amount_of(all.at(17));
    made.vms = decode_vms(all.at(18));
    made.coordinators = decode_coordinators(all.at(19));
    return made;
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
        std::chrono::floor<std::chrono::milliseconds>(from.store_age), oldest_told);
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
    if (!all.is_array() || (all.size() != brief_fields && all.size() != whole_fields))
        return failure(errc::invalid_argument,
                       "report of a VM has another shape; run one version on all VMs");
    try
    {
        return all.size() == brief_fields ? decode_brief(all) : decode_whole(all);
    }
    catch (const std::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("report of a VM is malformed: ") + problem.what());
    }
}

} // namespace pistachiospan::fleet
