#include "pistachiospan/edge/internal/log_fields.hpp"

#include "pistachiospan/store_version/store_version.hpp"

namespace pistachiospan::edge::internal
{

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
    fields content = {{"upstream", event.upstream.id}};
    switch (event.change)
    {
    case steering::upstream_change::paused:
        content["change"] = "paused";
        content["pause_ms"] = to_milliseconds(event.pause);
        break;
    case steering::upstream_change::leaving:
        content["change"] = event.told ? "leaving, told" : "leaving";
        break;
    case steering::upstream_change::limited:
        content["change"] = event.told ? "limited, told" : "limited";
        content["limit_per_s"] = event.limit;
        break;
    case steering::upstream_change::limit_ended:
        content["change"] = event.told ? "limit ended, told" : "limit ended";
        break;
    }
    return content;
}

} // namespace pistachiospan::edge::internal
