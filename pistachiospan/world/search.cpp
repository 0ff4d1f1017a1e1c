#include "pistachiospan/world/search.hpp"

#include "pistachiospan/world/limit_check.hpp"
#include "pistachiospan/world/rate_check.hpp"

#include <array>
#include <sstream>

namespace pistachiospan::world
{

namespace
{

using namespace std::chrono_literals;

constexpr duration warm_up = 6s;
constexpr duration fault_time = 20s;
// After the last fault has begun: all have ended, and the deployment has recovered.
constexpr duration tail = 12s;

double seconds_between(time_point since, time_point until)
{
    return std::chrono::duration<double>(until - since).count();
}

void check_limits(world& all, time_point start, std::vector<std::string>& broken)
{
    for (std::size_t each = 0; each < all.upstream_count(); ++each)
        for (const limit_excess& excess :
             check_limits(all.upstream_at(each),
                          {.change_notice = 500ms, .counts_excused = false}))
        {
            std::ostringstream line;
            line << "LIMIT: upstream " << each << " got " << excess.arrived
                 << " requests from " << seconds_between(start, excess.since)
                 << " s on, allowed " << excess.allowed;
            broken.push_back(line.str());
            break;
        }
}

void check_rates(world& all, time_point start, std::vector<std::string>& broken)
{
    for (const rate_excess& excess : check_rates(all, {}))
    {
        std::ostringstream line;
        line << "QUOTA: account " << excess.account << " got " << excess.ran
             << " requests from " << seconds_between(start, excess.since)
             << " s on, allowed " << excess.allowed;
        broken.push_back(line.str());
    }
}

// A data centre whose VMs follow two coordinators uses its shares of the limits twice.
void check_coordinators(world& all, std::vector<std::string>& broken)
{
    std::map<std::string, int> coordinators;
    for (std::size_t at = 0; at < all.vm_count(); ++at)
    {
        const vm_state& vm = all.vm_at(at);
        if (vm.process && vm.process->fleet().role() == cell::role::coordinator)
            ++coordinators[vm.data_centre];
    }
    for (const auto& [data_centre, count] : coordinators)
        if (count > 1)
            broken.push_back("COORDINATORS: " + std::to_string(count) + " in " +
                             data_centre + " long after the last fault");
}

} // namespace

trial draw_trial(std::uint64_t seed)
{
    random_engine random(seed);
    const std::size_t vms = std::discrete_distribution<std::size_t>{6, 2, 1}(random);
    trial drawn{.deployment = {.seed = seed,
                               .vms = std::array<std::size_t, 3>{8, 9, 24}.at(vms),
                               .requests_per_second = 150,
                               .accounts = {{.name = "large", .rate = 160, .burst = 160},
                                            {.name = "medium", .rate = 30, .burst = 30},
                                            {.name = "small", .rate = 4, .burst = 4}}}};
    drawn.faults = draw_schedule(
        seed, {.length = fault_time,
               .faults = std::uniform_int_distribution<std::size_t>(2, 14)(random),
               .vms = drawn.deployment.vms,
               .upstreams = drawn.deployment.upstreams,
               .accounts = drawn.deployment.accounts.size()});
    return drawn;
}

std::vector<std::string> play(const trial& drawn)
{
    world all(drawn.deployment);
    all.run_for(warm_up);
    const time_point start = all.now();
    inject(all, drawn.faults);
    all.run_for(fault_time + tail);
    std::vector<std::string> broken;
    check_limits(all, start, broken);
    check_rates(all, start, broken);
    check_coordinators(all, broken);
    return broken;
}

trial shrink(trial broken)
{
    for (std::size_t at = broken.faults.size(); at-- > 0;)
    {
        trial shorter = broken;
        shorter.faults.erase(shorter.faults.begin() + static_cast<std::ptrdiff_t>(at));
        if (!play(shorter).empty())
            broken = std::move(shorter);
    }
    return broken;
}

} // namespace pistachiospan::world
