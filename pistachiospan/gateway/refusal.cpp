#include "pistachiospan/gateway/gateway.hpp"

namespace pistachiospan::gateway
{

std::string_view name_of(refusal reason)
{
    switch (reason)
    {
    case refusal::none:
        return "none";
    case refusal::no_configuration:
        return "no_configuration";
    case refusal::no_route:
        return "no_route";
    case refusal::no_key:
        return "no_key";
    case refusal::over_allowance:
        return "over_allowance";
    case refusal::no_upstream:
        return "no_upstream";
    case refusal::upstream_limit:
        return "upstream_limit";
    case refusal::too_late:
        return "too_late";
    case refusal::no_room:
        return "no_room";
    case refusal::upstream_full:
        return "upstream_full";
    case refusal::unknown_outcome:
        return "unknown_outcome";
    case refusal::deadline:
        return "deadline";
    case refusal::stopping:
        return "stopping";
    case refusal::over_share:
        return "over_share";
    case refusal::quarantined:
        return "quarantined";
    }
    return "unknown";
}

} // namespace pistachiospan::gateway
