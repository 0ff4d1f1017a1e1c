// Whether the room of one service is short, and how much of it there is, from what became
// of its requests.

#ifndef PISTACHIOSPAN_ADMISSION_INTERNAL_ROOM_HPP
#define PISTACHIOSPAN_ADMISSION_INTERNAL_ROOM_HPP

#include "pistachiospan/base/base.hpp"

#include <algorithm>

namespace pistachiospan::admission
{

// What became of the requests that were admitted, as rates of slot time.
struct room_figures
{
    double placed = 0; // sent to upstreams that did not refuse them
    double failed = 0; // refused for lack of room, by this VM or by an upstream
    double late = 0;   // of `placed`: answered after the objective because of waiting
    // Placed lately while more was wanted; see internal::room_estimate.
    double usual = 0;
    bool operator==(const room_figures&) const = default;
};

namespace internal
{

// Of the admitted slot time, how much failed for lack of room or was late.
double failure_ratio(const room_figures& seen);

// Follows whether the room is short, and how much there is to admit.
class room_estimate
{
public:
    // Call several times a second. `demand`: rate of slot time that is wanted.
    // `has_evidence`: the figures rest on enough requests. `whole`: the rate that the
    // service takes from all VMs of the data centre, if it is known and this is a part.
    void update(time_point now, const room_figures& seen, double demand,
                bool has_evidence, double whole = 0);
    bool is_short() const
    {
        return this->active;
    }
    // The rate that the service took when more was wanted, as far as it is known. Another
    // VM's estimate of the same room may start from it.
    double usual() const
    {
        return this->usual_placed;
    }
    void start_from(double usual)
    {
        this->usual_placed = std::max(this->usual_placed, usual);
    }
    // The rate of slot time to admit.
    double room() const
    {
        return this->to_admit;
    }

private:
    bool active = false;
    time_point scarce_at; // last time at which not all demand had room
    time_point updated_at;
    double usual_placed = 0; // rate that was placed lately with enough requests
    double growth = 0;       // admitted in proportion to what is placed
    double to_admit = 0;
};

} // namespace internal

} // namespace pistachiospan::admission

#endif
