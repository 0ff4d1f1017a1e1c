// Checks that an upstream gets no more requests than the limit that it names allows: in
// each window at most `tolerance` times the limit plus `slack` requests, from the VMs
// that it has told. A VM is told by an answer that can reach it.

#ifndef PISTACHIOSPAN_TOOLS_SOAK_LIMIT_WATCH_HPP
#define PISTACHIOSPAN_TOOLS_SOAK_LIMIT_WATCH_HPP

#include "pistachiospan/base/base.hpp"

#include <deque>
#include <map>
#include <optional>

namespace pistachiospan::soak
{

class limit_watch
{
public:
    // The upstream names this limit from now on, in requests per second; nullopt: none.
    void name(time_point now, std::optional<double> next);
    // The network before the upstream changes: requests may have been held up, and
    // answers that are on their way may be lost.
    void note_link_change(time_point now);
    // A request of the VM has arrived; `is_answered` is false if no answer to it can
    // reach the VM. Returns what is wrong if there are too many.
    std::optional<std::string> note_arrival(time_point now, const std::string& vm,
                                            bool is_answered);

    const std::optional<double>& rate() const
    {
        return this->limit;
    }

private:
    std::optional<double> limit;
    time_point named_at;
    time_point link_changed_at;
    std::map<std::string, time_point> told; // VMs, and when they first were
    std::deque<time_point> arrivals;        // of told VMs
};

} // namespace pistachiospan::soak

#endif
