// Whether one upstream takes work from this VM now: ejection after failures, a pause that
// the upstream asked for, and the return from either.

#ifndef PISTACHIOSPAN_UPSTREAMS_INTERNAL_AVAILABILITY_HPP
#define PISTACHIOSPAN_UPSTREAMS_INTERNAL_AVAILABILITY_HPP

#include "pistachiospan/base/base.hpp"

namespace pistachiospan::upstreams::internal
{

struct availability_options
{
    duration first_ejection{0}; // doubles up to the longest
    duration longest_ejection{0};
    std::uint32_t failures_before_ejection = 1; // in a row
    duration longest_pause{0};
};

class availability
{
public:
    // Neither ejected nor paused, and with room for one more request: an upstream that
    // returns from a pause gets one request at first, and twice as many after each
    // answer.
    bool takes_work(time_point now, std::uint32_t in_flight) const;
    bool is_ejected(time_point now) const
    {
        return now < this->ejected_until;
    }
    // Time until the end of the pause; 0 without one.
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
    std::uint32_t most_in_flight = 0; // while it returns from a pause; 0: no bound
};

} // namespace pistachiospan::upstreams::internal

#endif
