// The fields of the edge daemon's log lines.

#ifndef PISTACHIOSPAN_EDGE_INTERNAL_LOG_FIELDS_HPP
#define PISTACHIOSPAN_EDGE_INTERNAL_LOG_FIELDS_HPP

#include "pistachiospan/steering/steering.hpp"

namespace pistachiospan::edge::internal
{

using fields = nlohmann::ordered_json;

double to_milliseconds(duration span);

// `store_position`: of this VM's copy of the registry.
fields fields_of(const gateway::record& decision, std::uint64_t store_position);
fields fields_of(const steering::upstream_event& event);

} // namespace pistachiospan::edge::internal

#endif
