// Times at which refused callers are asked to come back, one after the other.

#ifndef PISTACHIOSPAN_ADMISSION_INTERNAL_TURNS_HPP
#define PISTACHIOSPAN_ADMISSION_INTERNAL_TURNS_HPP

#include "pistachiospan/base/base.hpp"

#include <map>

namespace pistachiospan::admission::internal
{

class turns
{
public:
    // The time until the turn of one more request of this priority, which takes `work` of
    // the room. A turn behind those of more urgent requests; it is kept for the caller
    // only if it is no later than `patience`.
    duration next(time_point now, int priority, duration work, duration patience);

private:
    std::map<int, time_point> taken_until; // by priority
};

} // namespace pistachiospan::admission::internal

#endif
