// Encoding of digests.

#include "pistachiospan/cell/cell.hpp"

namespace pistachiospan::cell
{

namespace
{

constexpr std::size_t digest_fields = 10;

// The lists travel in a report, whose encoding has them already.
fleet::report with_lists(const digest& from)
{
    fleet::report made = from.coordinator;
    made.delta = false;
    made.data_centre = from.data_centre;
    made.peer_address = from.peer_address;
    made.demand.clear();
    made.services.clear();
    made.vms = from.members;
    made.coordinators = from.coordinators;
    return made;
}

// As short floating-point numbers: parts need no more.
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
                       "digest has another shape; run one version on all VMs");
    const auto& packed = all[0].get_binary();
    result<fleet::report> report =
        fleet::decode({reinterpret_cast<const char*>(packed.data()), packed.size()});
    if (!report)
        return report.error();
    try
    {
        digest made{.data_centre = report.value().data_centre,
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
        made.coordinator = std::move(report.value());
        return made;
    }
    catch (const std::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("digest is malformed: ") + problem.what());
    }
}

} // namespace pistachiospan::cell
