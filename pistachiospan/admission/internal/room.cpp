#include "pistachiospan/admission/internal/room.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pistachiospan::admission::internal
{

namespace
{

// Room is short from this ratio of failures on.
constexpr double short_ratio = 0.05;
// Room is no longer short if all demand has room and at most this ratio fails, for a
// second.
constexpr double enough_ratio = 0.02;
constexpr duration enough_time = std::chrono::seconds(1);
// Admitted in proportion to what is placed: at least a little more, so that the room
// stays full, the more the less room there is, because random arrivals fill few slots
// badly. And twice as much if nothing fails: otherwise, a service that has regained its
// upstreams would take many seconds to be used again.
constexpr double min_growth = 1.05;
constexpr double small_room_growth = 2.5; // divided by the slots in use
constexpr double calm_growth = 2;
constexpr double max_growth = 2;
// While less than this part of the usual rate is placed, more is admitted: a part of the
// requests fails at any load, because VMs choose upstreams by figures that are a little
// old, and to admit only what was placed would lower the rate step by step.
constexpr double usual_part = 0.95;
constexpr double rise_time = 4; // time constants, in seconds
constexpr double fall_time = 1;
// From this growth on, a lower rate is taken for what the service can do now.
constexpr double accepting_growth = 1.6;
constexpr double usual_rise_time = 4; // time constants, in seconds
constexpr double usual_fall_time = 0.7;
// Part of the late slot time that counts as not placed if nothing fails for lack of room.
// Small: a late answer still uses the slot, and less than a tenth may be withheld from a
// service that is only slow.
constexpr double late_weight = 0.1;
// Figures after a longer pause do not continue the earlier ones.
constexpr duration max_step = std::chrono::seconds(5);

} // namespace

double failure_ratio(const room_figures& seen)
{
    const double all = seen.placed + seen.failed;
    return all <= 0 ? 0 : std::min((seen.failed + seen.late) / all, 1.0);
}

void room_estimate::update(time_point now, const room_figures& seen, double demand,
                           bool has_evidence, double whole)
{
    const duration step = now - std::exchange(this->updated_at, now);
    const double passed = std::chrono::duration<double>(std::min(step, max_step)).count();
    // Where requests fail for lack of room, these show how much is to be withheld.
    const double refused = seen.failed / std::max(seen.placed + seen.failed, 1e-9);
    const double late =
        late_weight * seen.late * std::max(0.0, 1 - refused / short_ratio);
    const double placed = std::max(seen.placed - late, 0.0);
    if (step > max_step || this->growth <= 0)
        this->growth = min_growth;
    // Without restriction. The rate may be higher then than with it: of many requests,
    // those that take the least time find room.
    if (!this->active)
        this->usual_placed = placed;
    const double least =
        min_growth + small_room_growth / std::max({this->usual_placed, whole, 1.0});
    const bool is_low = placed < usual_part * this->usual_placed;
    this->growth = std::clamp(
        this->growth * std::exp(is_low ? passed / rise_time : -passed / fall_time), least,
        max_growth);
    if (placed > this->usual_placed || this->growth >= accepting_growth)
        this->usual_placed +=
            (placed - this->usual_placed) *
            (1 - std::exp(-passed / (placed > this->usual_placed ? usual_rise_time
                                                                 : usual_fall_time)));
    const double failing = failure_ratio(seen);
    const double calm = std::max(0.0, 1 - failing / short_ratio);
    this->to_admit =
        placed * std::max(this->growth, least + (calm_growth - least) * calm);
    if (failing > enough_ratio || this->to_admit < demand)
        this->scarce_at = now;
    if (!this->active)
        this->active = has_evidence && failing > short_ratio;
    else if (now - this->scarce_at >= enough_time)
        this->active = false;
}

} // namespace pistachiospan::admission::internal
