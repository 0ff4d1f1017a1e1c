#include "pistachiospan/admission/internal/turns.hpp"

#include <algorithm>

namespace pistachiospan::admission::internal
{

namespace
{

// What is short now is still short a moment later, and a caller needs about this long to
// send again.
constexpr duration min_wait = std::chrono::milliseconds(100);

} // namespace

duration turns::next(time_point now, int priority, duration work, duration patience)
{
    time_point free_at = now + min_wait;
    for (const auto& [each, until] : this->taken_until)
        if (each <= priority)
            free_at = std::max(free_at, until);
    const duration wait = free_at - now;
    if (wait <= patience)
        this->taken_until[priority] = free_at + work;
    return wait;
}

} // namespace pistachiospan::admission::internal
