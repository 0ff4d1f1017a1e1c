// Random schedules of faults, drawn from a seed: one seed gives the same schedule each
// time. A schedule can be described, shortened and played again.
//
// Example:
//
//     world all({.seed = 5, .accounts = accounts});
//     all.run_for(std::chrono::seconds(6));
//     inject(all, draw_schedule(5, {.vms = all.vm_count(), ...}));
//     all.run_for(std::chrono::seconds(40));

#ifndef PISTACHIOSPAN_WORLD_SCHEDULE_HPP
#define PISTACHIOSPAN_WORLD_SCHEDULE_HPP

#include "pistachiospan/world/world.hpp"

namespace pistachiospan::world
{

enum class fault_kind
{
    cut_together,  // the VMs reach each other, but no other VM
    cut_apart,     // each of the VMs reaches no other VM
    outbound_loss, // what the VMs send to other VMs is lost
    freeze,        // of VMs
    restart,       // of VMs; they start after `span`
    join,          // a VM is added to the data centre of each target
    lossy,         // `amount` of the datagrams is lost
    slow_store,    // a call takes `amount` seconds
    store_away,
    name_limit, // upstreams name a limit of `amount` requests per second
    end_limit,  // upstreams name no limit any more
    leave,      // upstreams announce that they are leaving
    restart_upstream,
    silence, // upstreams answer nothing
    surge,   // accounts send `amount` times what they usually do
};

struct fault
{
    duration at{0}; // since the start of the schedule
    fault_kind kind = fault_kind::freeze;
    duration span{0};                 // until it ends, where it does
    std::vector<std::size_t> targets; // indices of VMs, upstreams or accounts
    double amount = 0;
};

using schedule = std::vector<fault>;

struct schedule_options
{
    duration length = std::chrono::seconds(30); // faults begin within this time
    std::size_t faults = 12;
    std::size_t vms = 0;
    std::size_t upstreams = 0;
    std::size_t accounts = 0;
};

schedule draw_schedule(std::uint64_t seed, const schedule_options& options);

// Adds the faults to the world's events. Run the world afterwards.
void inject(world& all, const schedule& faults);

// One line for people: time, kind, targets and amount.
std::string describe(const fault& each);

} // namespace pistachiospan::world

#endif
