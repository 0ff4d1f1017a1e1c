// Exchange of demand and decisions about admission, between the members of a data centre
// and their coordinator.

#include "pistachiospan/fleet_node/fleet_node.hpp"

namespace pistachiospan::fleet_node
{

namespace
{

// Once a second: the ticks come twice a second.
constexpr duration admission_interval = std::chrono::milliseconds(900);

} // namespace

void node::exchange_admission(time_point now)
{
    const admission_hooks& admission = this->hooks.admission;
    if (!admission.report || now - this->admission_told_at < admission_interval)
        return;
    this->admission_told_at = now;
    const cell::role role = this->local_cell.current_role();
    if (role == cell::role::searching)
        return;
    const std::string report = admission.report(now);
    if (role == cell::role::member)
    {
        if (!report.empty())
            this->send(admission_kind, report,
                       std::span(&this->local_cell.coordinator_address(), 1));
        return;
    }
    const std::string& self = this->options.peer_address;
    if (!report.empty())
        admission.receive(now, self, report);
    for (const std::string& member : this->local_cell.member_addresses())
        if (const std::string bytes = admission.decisions(now, member); !bytes.empty())
            this->send(admission_kind, bytes, std::span(&member, 1));
    if (const std::string own = admission.decisions(now, self); !own.empty())
        admission.receive(now, self, own);
}

void node::receive_admission(time_point now, const std::string& from,
                             std::string_view bytes)
{
    if (this->hooks.admission.receive)
        this->hooks.admission.receive(now, from, bytes);
}

} // namespace pistachiospan::fleet_node
