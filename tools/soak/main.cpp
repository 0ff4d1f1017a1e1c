// Plays one seed of the soak, or several one after the other.

#include "tools/soak/soak.hpp"

#include <event2/event.h>
#include <popt.h>

#include <csignal>
#include <iostream>

namespace
{

using namespace pistachiospan;

int play(std::uint64_t seed, int seconds, int network, const std::string& daemon)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    std::string pattern = (std::filesystem::temp_directory_path() / "edge-soak-XXXXXX");
    if (mkdtemp(pattern.data()) == nullptr)
    {
        std::cerr << "cannot make " << pattern << "; free space for temporary files\n";
        return 1;
    }
    soak::soak run(base.get(), {.seed = seed,
                                .length = std::chrono::seconds(seconds),
                                .daemon = daemon,
                                .directory = pattern,
                                .network = network});
    const std::vector<std::string> broken = run.play();
    std::cout << "seed " << seed << ": " << run.summary() << ", " << broken.size()
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
    char* daemon = nullptr;
    const poptOption options[] = {
        {"seed", 0, POPT_ARG_INT, &seed, 0, "first seed", "N"},
        {"seeds", 0, POPT_ARG_INT, &seeds, 0, "number of seeds, one after the other",
         "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "length of the time with faults", "N"},
        {"network", 0, POPT_ARG_INT, &network, 0,
         "second number of the loopback addresses, for runs side by side", "N"},
        {"daemon", 0, POPT_ARG_STRING, &daemon, 0, "path of pistachio-edge", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("edge_soak", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    const std::string program = daemon == nullptr ? "" : daemon;
    if (parsed < -1 || program.empty())
        poptPrintUsage(context, stderr, 0);
    poptFreeContext(context);
    if (parsed < -1 || program.empty())
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    int failed = 0;
    for (int each = 0; each < seeds; ++each)
        failed +=
            play(static_cast<std::uint64_t>(seed) + static_cast<std::uint64_t>(each),
                 seconds, network, program);
    std::cout << seeds - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
