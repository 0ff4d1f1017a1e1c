// The number of VMs that one VM assumes, to use its part of what all VMs share.

#ifndef PISTACHIOSPAN_FLEET_NODE_INTERNAL_VM_COUNT_HPP
#define PISTACHIOSPAN_FLEET_NODE_INTERNAL_VM_COUNT_HPP

#include "pistachiospan/base/base.hpp"

#include <deque>

namespace pistachiospan::fleet_node::internal
{

// The highest of the counts that were noted lately. A lower count may come from a
// coordinator that has just started and does not know all VMs yet, and the VMs that it
// leaves out may be cut off and still use their parts.
class vm_count
{
public:
    void note(time_point now, std::size_t count);
    // 0: none was noted within `retention`.
    std::size_t highest(time_point now) const;

private:
    struct noted_count
    {
        time_point at;
        std::size_t count = 0;
    };

    static constexpr duration retention = std::chrono::seconds(10);

    // The counts that no later one reaches, so each is lower than the one before it.
    std::deque<noted_count> counts;
};

} // namespace pistachiospan::fleet_node::internal

#endif
