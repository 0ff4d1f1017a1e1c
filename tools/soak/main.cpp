// Plays one seed of the soak, or several one after the other.

#include "tools/soak/soak.hpp"

#include <event2/event.h>
#include <popt.h>

#include <csignal>
#include <iostream>

namespace
{

using namespace pistachiospan;

int play(soak::soak_options options)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    std::string pattern = (std::filesystem::temp_directory_path() / "edge-soak-XXXXXX");
    if (mkdtemp(pattern.data()) == nullptr)
    {
        std::cerr << "cannot make " << pattern << "; free space for temporary files\n";
        return 1;
    }
    options.directory = pattern;
    soak::soak run(base.get(), options);
    const std::vector<std::string> broken = run.play();
    std::cout << "seed " << options.seed << ": " << run.summary() << ", " << broken.size()
              << " broken" << std::endl;
    if (broken.empty())
    {
        std::filesystem::remove_all(pattern);
        return 0;
    }
    for (const std::string& each : run.events())
        std::cout << "  " << each << '\n';
    std::cout << "logs of the daemons: " << pattern << '\n';
    return 1;
}

} // namespace

int main(int argc, const char** argv)
{
    int seed = 1;
    int seeds = 1;
    int seconds = 20;
    int network = 1;
    int vms = 3;
    int no_faults = 0;
    char* daemon = nullptr;
    char* second_daemon = nullptr;
    const poptOption options[] = {
        {"seed", 0, POPT_ARG_INT, &seed, 0, "first seed", "N"},
        {"seeds", 0, POPT_ARG_INT, &seeds, 0, "number of seeds, one after the other",
         "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "length of the time with faults", "N"},
        {"network", 0, POPT_ARG_INT, &network, 0,
         "second number of the loopback addresses, for runs side by side", "N"},
        {"vms", 0, POPT_ARG_INT, &vms, 0, "number of daemons, 1 to 9", "N"},
        {"no-faults", 0, POPT_ARG_NONE, &no_faults, 0, "disturb nothing", nullptr},
        {"daemon", 0, POPT_ARG_STRING, &daemon, 0, "path of pistachio-edge", "FILE"},
        {"second-daemon", 0, POPT_ARG_STRING, &second_daemon, 0,
         "path of the pistachio-edge of every other VM, to mix two builds", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("edge_soak", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    const std::string program = daemon == nullptr ? "" : daemon;
    const std::string second = second_daemon == nullptr ? "" : second_daemon;
    const bool is_wrong = parsed < -1 || program.empty() || vms < 1 || vms > 9;
    if (is_wrong)
        poptPrintUsage(context, stderr, 0);
    poptFreeContext(context);
    if (is_wrong)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    int failed = 0;
    for (int each = 0; each < seeds; ++each)
        failed += play(
            {.seed = static_cast<std::uint64_t>(seed) + static_cast<std::uint64_t>(each),
             .length = std::chrono::seconds(seconds),
             .daemon = program,
             .second_daemon = second,
             .network = network,
             .vms = static_cast<std::size_t>(vms),
             .faults = no_faults == 0});
    std::cout << seeds - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
