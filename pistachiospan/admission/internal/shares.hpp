// Division of the room of one service among accounts, by urgency and then evenly.

#ifndef PISTACHIOSPAN_ADMISSION_INTERNAL_SHARES_HPP
#define PISTACHIOSPAN_ADMISSION_INTERNAL_SHARES_HPP

#include <compare>
#include <cstdint>
#include <span>
#include <vector>

namespace pistachiospan::admission
{

// The requests of one account at one urgency.
struct flow_key
{
    std::uint32_t account = 0; // hash of its name
    int priority = 0;          // 0 is the most urgent
    auto operator<=>(const flow_key&) const = default;
};

// Slot time is the time for which a request occupies a slot of an upstream; rates of slot
// time are in seconds per second, so 1 keeps one slot busy.
struct flow_demand
{
    flow_key key;
    double demand = 0; // rate of slot time
    double cost = 0;   // slot time of one request, in seconds; 0: not known
    bool operator==(const flow_demand&) const = default;
};

namespace internal
{

struct division
{
    bool is_restricted = false;   // not all demand passes
    int level = 0;                // least urgent priority that gets more than the minimum
    double share = 0;             // rate of slot time that an account of that level gets
    std::vector<double> allotted; // rate of slot time, for each flow
};

// Divides `room`. The allotted rates sum to the smaller of the room and the demand.
division divide(double room, std::span<const flow_demand> flows);

} // namespace internal

} // namespace pistachiospan::admission

#endif
