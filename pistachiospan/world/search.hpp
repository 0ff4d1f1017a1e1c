// Plays random fault schedules and checks the users' rules on what the upstreams see.
//
// Example:
//
//     const trial drawn = draw_trial(17);
//     const std::vector<std::string> broken = play(drawn);
//     if (!broken.empty())
//         print(shrink(drawn).faults);

#ifndef PISTACHIOSPAN_WORLD_SEARCH_HPP
#define PISTACHIOSPAN_WORLD_SEARCH_HPP

#include "pistachiospan/world/schedule.hpp"

namespace pistachiospan::world
{

// A deployment and what happens to it.
struct trial
{
    world_options deployment;
    schedule faults;
};

trial draw_trial(std::uint64_t seed);

// Runs the trial. Returns one line for each broken rule.
std::vector<std::string> play(const trial& drawn);

// Leaves out faults, one after the other, without which a rule still breaks.
trial shrink(trial broken);

} // namespace pistachiospan::world

#endif
