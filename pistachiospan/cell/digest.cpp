// MessagePack encoding of digests.

#include "pistachiospan/cell/cell.hpp"

namespace pistachiospan::cell
{

namespace
{

constexpr std::size_t digest_fields = 10;

// Puts the lists into a report, whose encoding already covers them.
fleet::report with_lists(const digest& from)
{
    fleet::report combined = from.coordinator;
    combined.delta = false;
    combined.data_centre = from.data_centre;
    combined.peer_address = from.peer_address;
    combined.demand.clear();
    combined.services.clear();
    combined.vms = from.members;
    combined.coordinators = from.coordinators;
    return combined;
}

// As single-precision numbers, which are precise enough for fractions.
nlohmann::json encode_plans(const upstreams::plan_set& plans)
{
    nlohmann::json all = nlohmann::json::object();
    for (const auto& [service, parts] : plans)
        for (const auto& [data_centre, part] : parts)
            all[service][data_centre] = static_cast<float>(part);
    return all;
}

} // namespace

std::string encode(const digest& from)
{
    const std::string report = fleet::encode(with_lists(from));
    const nlohmann::json all = {
        nlohmann::json::binary({report.begin(), report.end()}),
        from.successor,
        from.successor_epoch,
        from.operator_change,
        from.registry_change,
        from.configuration_version,
        from.vm_count,
        from.addresses,
        encode_plans(from.plans),
        from.table_staleness.count(),
    };
    std::string bytes;
    nlohmann::json::to_msgpack(all, bytes);
    return bytes;
}

result<digest> decode_digest(std::string_view bytes)
{
    const nlohmann::json all = nlohmann::json::from_msgpack(bytes, true, false);
    if (!all.is_array() || all.size() != digest_fields || !all[0].is_binary())
        return failure(errc::invalid_argument,
                       "digest is not an array of 10 fields that begins with a binary "
                       "report; run one version on all VMs");
    const auto& packed = all[0].get_binary();
    result<fleet::report> report =
        fleet::decode({reinterpret_cast<const char*>(packed.data()), packed.size()});
    if (!report)
        return report.error();
    try
    {
        digest decoded{.data_centre = report.value().data_centre,
                       .peer_address = report.value().peer_address,
                       .successor = all[1].get<std::string>(),
                       .successor_epoch = all[2].get<std::uint64_t>(),
                       .operator_change = all[3].get<std::uint64_t>(),
                       .registry_change = all[4].get<std::uint64_t>(),
                       .configuration_version = all[5].get<std::uint64_t>(),
                       .table_staleness = duration(all[9].get<std::int64_t>()),
                       .vm_count = all[6].get<std::size_t>(),
                       .members = std::move(report.value().vms),
                       .coordinators = std::move(report.value().coordinators),
                       .addresses = all[7].get<fleet::address_lists>(),
                       .plans = all[8].get<upstreams::plan_set>()};
        decoded.coordinator = std::move(report.value());
        return decoded;
    }
    catch (const std::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("malformed digest: ") + problem.what());
    }
}

} // namespace pistachiospan::cell
