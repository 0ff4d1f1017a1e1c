// What the VMs tell each other about the load of one upstream.

#ifndef PISTACHIOSPAN_UPSTREAMS_INTERNAL_SHARED_LOAD_HPP
#define PISTACHIOSPAN_UPSTREAMS_INTERNAL_SHARED_LOAD_HPP

#include "pistachiospan/base/base.hpp"

namespace pistachiospan::upstreams::internal
{

struct shared_load
{
    // Of the last answer to this VM.
    std::uint32_t reported = 0;
    time_point reported_at;
    // Requests of this VM, as told to the other VMs last.
    std::uint32_t told = 0;
    // Requests of the other VMs by the last estimate.
    double others = 0;
    time_point others_at;
};

} // namespace pistachiospan::upstreams::internal

#endif
