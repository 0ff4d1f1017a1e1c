#include "pistachiospan/edge/internal/log_fields.hpp"

#include "pistachiospan/store_version/store_version.hpp"

namespace pistachiospan::edge::internal
{

namespace
{

std::string_view name_of(steering::upstream_change change)
{
    switch (change)
    {
    case steering::upstream_change::paused:
        return "paused";
    case steering::upstream_change::leaving:
        return "leaving";
    case steering::upstream_change::limited:
        return "limited";
    case steering::upstream_change::limit_ended:
        return "limit ended";
    case steering::upstream_change::restart_suspected:
        return "maybe restarted";
    case steering::upstream_change::restart_accepted:
        return "accepts again";
    case steering::upstream_change::restart_refuted:
        return "not restarted";
    }
    return "unknown";
}

} // namespace

double to_milliseconds(duration span)
{
    return static_cast<double>(span.count()) / 1000;
}

fields fields_of(const gateway::record& decision, std::uint64_t store_position)
{
    return {{"id", decision.request_id},
            {"route", decision.route},
            {"account", decision.account},
            {"service", decision.service},
            {"upstream", decision.upstream},
            {"reason", gateway::name_of(decision.reason)},
            {"status", decision.status},
            {"attempts", decision.attempts},
            {"version", decision.version},
            {"elapsed_ms", to_milliseconds(decision.elapsed)},
            {"waited_ms", to_milliseconds(decision.waited)},
            {"left_ms", to_milliseconds(decision.time_left)},
            {"expected_ms", to_milliseconds(decision.expected)},
            {"wait_ms", to_milliseconds(decision.wait)},
            {"objective_ms", to_milliseconds(decision.objective)},
            {"load", decision.load},
            {"store_position", store_version::number_of(store_position)},
            {"detail", decision.detail},
            {"fingerprint", decision.fingerprint}};
}

fields fields_of(const steering::upstream_event& event)
{
    const std::string name(name_of(event.change));
    fields content = {{"upstream", event.upstream.id},
                      {"change", event.told ? name + ", told" : name}};
    if (event.change == steering::upstream_change::paused)
        content["pause_ms"] = to_milliseconds(event.pause);
    if (event.change == steering::upstream_change::limited)
        content["limit_per_s"] = event.limit;
    return content;
}

} // namespace pistachiospan::edge::internal
