// Plays random fault schedules in the model of a deployment and reports broken rules.

#include "pistachiospan/world/search.hpp"

#include <popt.h>

#include <iostream>

namespace
{

using namespace pistachiospan;

void print(const std::vector<std::string>& broken)
{
    for (const std::string& each : broken)
        std::cout << "  " << each << '\n';
}

// Returns true if a rule was broken.
bool play(std::uint64_t seed, bool shrinks)
{
    world::trial drawn = world::draw_trial(seed);
    const std::vector<std::string> broken = world::play(drawn);
    if (broken.empty())
        return false;
    std::cout << "seed " << seed << ", " << drawn.deployment.vms << " VMs\n";
    print(broken);
    if (!shrinks)
        return true;
    drawn = world::shrink(std::move(drawn));
    std::cout << "  with these faults alone:\n";
    for (const world::fault& each : drawn.faults)
        std::cout << "    " << world::describe(each) << '\n';
    print(world::play(drawn));
    return true;
}

} // namespace

int main(int argc, const char** argv)
{
    int seed = 1;
    int seeds = 1;
    int shrinks = 0;
    const poptOption options[] = {
        {"seed", 0, POPT_ARG_INT, &seed, 0, "first seed", "N"},
        {"seeds", 0, POPT_ARG_INT, &seeds, 0, "number of seeds, one after the other",
         "N"},
        {"shrink", 0, POPT_ARG_NONE, &shrinks, 0,
         "leave out the faults that a broken rule does not need", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("pistachio-lab", argc, argv, options, 0);
    const bool is_wrong = poptGetNextOpt(context) < -1 || seeds < 1;
    if (is_wrong)
        poptPrintUsage(context, stderr, 0);
    poptFreeContext(context);
    if (is_wrong)
        return 2;
    int failed = 0;
    for (int each = 0; each < seeds; ++each)
        failed +=
            play(static_cast<std::uint64_t>(seed) + static_cast<std::uint64_t>(each),
                 shrinks != 0)
                ? 1
                : 0;
    std::cout << seeds - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
