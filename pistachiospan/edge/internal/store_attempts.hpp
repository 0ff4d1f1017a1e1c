// When a VM that the store has refused or not answered may try it again.

#ifndef PISTACHIOSPAN_EDGE_INTERNAL_STORE_ATTEMPTS_HPP
#define PISTACHIOSPAN_EDGE_INTERNAL_STORE_ATTEMPTS_HPP

#include "pistachiospan/base/base.hpp"

#include <algorithm>

namespace pistachiospan::edge::internal
{

class store_attempts
{
public:
    explicit store_attempts(duration retry) : retry(retry) {}

    void note(time_point now, bool succeeded)
    {
        this->failed_at = succeeded ? std::nullopt : std::optional(now);
    }

    // The pause after a failure grows with the number of VMs that share the attempts.
    bool is_due(time_point now, std::size_t sharers) const
    {
        if (!this->failed_at)
            return true;
        const duration shared = this->retry * static_cast<std::int64_t>(sharers) / 2;
        return now - *this->failed_at >= std::max(this->retry, shared);
    }

private:
    duration retry;
    std::optional<time_point> failed_at; // the last attempt, if it failed
};

} // namespace pistachiospan::edge::internal

#endif
