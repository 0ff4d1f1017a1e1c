// What the VMs tell each other about the load of one upstream.

#ifndef PISTACHIOSPAN_UPSTREAMS_INTERNAL_SHARED_LOAD_HPP
#define PISTACHIOSPAN_UPSTREAMS_INTERNAL_SHARED_LOAD_HPP

#include "pistachiospan/capacity/capacity.hpp"

#include <optional>

namespace pistachiospan::upstreams::internal
{

struct shared_load
{
    // Of the last answer to this VM.
    std::uint32_t reported = 0;
    time_point reported_at;
    // Requests that this VM gave up on: the upstream may still have them in its queue.
    double abandoned = 0; // at `abandoned_at`
    time_point abandoned_at;
    // Requests of this VM, as told to the other VMs last.
    double told = 0;
    // Requests of the other VMs by the last estimate.
    double others = 0;
    std::optional<time_point> others_at; // nullopt before the first estimate
    // Learned from the answers to this VM; nullopt before the first one.
    std::optional<capacity::concurrency_limit> limit;
};

} // namespace pistachiospan::upstreams::internal

#endif
