// Connects the admission controller of one VM with the gateway and the fleet protocol,
// and holds the coordinator's part for the time that this VM coordinates.

#ifndef PISTACHIOSPAN_STEERING_FAIR_ADMISSION_HPP
#define PISTACHIOSPAN_STEERING_FAIR_ADMISSION_HPP

#include "pistachiospan/admission/admission.hpp"
#include "pistachiospan/fleet_node/fleet_node.hpp"
#include "pistachiospan/gateway/gateway.hpp"

namespace pistachiospan::steering
{

class fair_admission
{
public:
    explicit fair_admission(
        std::function<void(std::string_view event, const nlohmann::ordered_json&)> log);

    // The object must outlive the hooks.
    gateway::admission_hooks gateway_hooks();
    fleet_node::admission_hooks fleet_hooks();

    std::vector<admission::service_view> views(time_point now) const
    {
        return this->local.views(now);
    }

private:
    std::string report(time_point now);
    std::string decisions(time_point now, const std::string& member);
    void receive(time_point now, const std::string& from, std::string_view bytes);

    std::function<void(std::string_view event, const nlohmann::ordered_json&)> log;
    admission::controller local;
    admission::coordinator central;
};

} // namespace pistachiospan::steering

#endif
