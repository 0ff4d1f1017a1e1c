// Whether one upstream may get work from this VM now: ejection after failures, pauses
// that the upstream asked for, and the gradual return from a pause.

#ifndef PISTACHIOSPAN_UPSTREAMS_INTERNAL_AVAILABILITY_HPP
#define PISTACHIOSPAN_UPSTREAMS_INTERNAL_AVAILABILITY_HPP

#include "pistachiospan/base/base.hpp"

namespace pistachiospan::upstreams::internal
{

struct availability_options
{
    duration first_ejection{0}; // doubles with each ejection, up to max_ejection
    duration max_ejection{0};
    std::uint32_t failures_before_ejection = 1; // in a row
    duration max_pause{0};
};

class availability
{
public:
    // Returns true if the upstream is neither ejected nor paused and may get one more
    // request. After a pause it gets one request at first, and twice as many after each
    // answer.
    bool takes_work(time_point now, std::uint32_t in_flight) const;
    bool is_ejected(time_point now) const
    {
        return now < this->ejected_until;
    }
    // Remaining time of the pause; 0 if there is none.
    duration pause_left(time_point now) const;

    void note_answer(time_point now);
    void note_failure(time_point now, const availability_options& options);
    void eject(time_point now, const availability_options& options);
    // The upstream asked for no work during `span`.
    void pause(time_point now, duration span, const availability_options& options);

private:
    std::uint32_t failures = 0;  // in a row
    std::uint32_t ejections = 0; // in a row
    time_point ejected_until;
    time_point paused_until;
    std::uint32_t max_in_flight = 0; // during the return from a pause; 0: no bound
};

} // namespace pistachiospan::upstreams::internal

#endif
