// Measures configuration propagation and membership over a simulated network: time from
// an edit to its activation, bytes and messages per daemon, store reads, processor time
// and memory.
//
// Example: config_bench --vms 720 --mode edits --seconds 120
//
// One line for each run. Bytes are those of sealed messages; framing adds about
// frame_bytes for each message (HTTP/2 HEADERS and DATA frames of a request or an
// answer).

#include "pistachiospan/config/internal/simulated_fleet.hpp"

#include <malloc.h>
#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <numeric>

using namespace pistachiospan;
using namespace pistachiospan::config;
using namespace pistachiospan::config::internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// Configuration changes at the target size: 3,500 a day.
constexpr duration edit_interval = milliseconds(86'400'000 / 3'500);
constexpr duration step = milliseconds(50);
constexpr double frame_bytes = 40;

struct arguments
{
    int vms = 0; // 0: all sizes
    const char* mode = nullptr;
    int seconds = 120;
    int text_kb = 256;
    int seed = 1;
};

simulation_options layout(std::size_t vms, std::uint64_t seed)
{
    simulation_options options{.seed = seed};
    const std::size_t centres = vms >= 180 ? 17 : vms >= 30 ? 3 : vms >= 9 ? 6 : 1;
    const std::size_t regions = centres >= 17 ? 5 : centres >= 3 ? 3 : 1;
    for (std::size_t number = 0; number < centres; ++number)
    {
        const std::string name = "dc-" + std::to_string(100 + number);
        const std::string region = "region-" + std::to_string(number % regions);
        const std::size_t share = vms / centres + (number < vms % centres ? 1 : 0);
        options.data_centres.push_back({name, region, share});
    }
    return options;
}

std::string catalogue_text(int kilobytes, std::uint64_t number)
{
    std::string text = "[catalogue]\nname = target\n";
    std::uint64_t entry = 0;
    while (text.size() < static_cast<std::size_t>(kilobytes) * 1024)
    {
        text += "[client_account account-" + std::to_string(entry) + "]\nowner = team-" +
                std::to_string(entry % 40) + "\nclass = standard\nrate = " +
                std::to_string(entry == number % 1000 ? number + 100 : 50) +
                "\nburst = 100\n\n";
        ++entry;
    }
    return text;
}

struct totals
{
    double sent = 0;
    double received = 0;
    double messages = 0;
    std::size_t count = 0;
    double worst = 0; // sent and received of one daemon
};

// Roles by position in the data centre: two relays, inner VMs of the tree, others.
std::array<totals, 3> traffic_by_role(simulated_fleet& fleet, double span)
{
    std::array<totals, 3> roles{};
    std::map<std::string, std::size_t> size;
    std::map<std::string, std::size_t> next;
    for (std::size_t index = 0; index < fleet.size(); ++index)
        ++size[fleet.vm(index).entry.data_centre];
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        const simulated_vm& vm = fleet.vm(index);
        const std::size_t rank = next[vm.entry.data_centre]++;
        const bool inner =
            rank * member::options{}.fan_out + 1 < size[vm.entry.data_centre];
        totals& role = roles[rank < 2 ? 0 : inner ? 1 : 2];
        const traffic& seen = vm.traffic_totals;
        role.sent += static_cast<double>(seen.bytes_sent) / span;
        role.received += static_cast<double>(seen.bytes_received) / span;
        role.messages +=
            static_cast<double>(seen.messages_sent + seen.messages_received) / span;
        role.worst =
            std::max(role.worst,
                     static_cast<double>(seen.bytes_sent + seen.bytes_received) / span);
        ++role.count;
    }
    return roles;
}

struct outcome
{
    std::vector<double> in_force; // seconds, of each VM and edit
    std::vector<double> everywhere;
};

// Runs until `span` has passed, with an edit each edit_interval.
// With `offered`, the operator command posts each edit to one VM.
void run_edits(simulated_fleet& fleet, const arguments& given, duration span,
               bool offered, outcome& out)
{
    const time_point end = fleet.now() + span;
    for (std::uint64_t number = 1; fleet.now() < end; ++number)
    {
        const time_point edited = fleet.now();
        const catalogue_version version =
            fleet.edit(catalogue_text(given.text_kb, number));
        if (offered)
            fleet.vm(number * 100 % fleet.size())
                .config
                ->offer(fleet.now(), version, simulated_fleet::digest(fleet.text()),
                        fleet.text())
                .value();
        std::vector<bool> done(fleet.size());
        std::size_t missing = fleet.size();
        while (fleet.now() < edited + edit_interval)
        {
            fleet.run(step);
            const double age =
                std::chrono::duration<double>(fleet.now() - edited).count();
            for (std::size_t index = 0; missing > 0 && index < fleet.size(); ++index)
            {
                if (done[index] || fleet.vm(index).in_force < version)
                    continue;
                done[index] = true;
                out.in_force.push_back(age);
                if (--missing == 0)
                    out.everywhere.push_back(age);
            }
        }
        if (missing > 0)
            out.everywhere.push_back(1e9);
    }
}

double at_fraction(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(fraction *
                                           static_cast<double>(values.size() - 1))];
}

void measure(std::size_t vms, const std::string& mode, const arguments& given)
{
    simulation_options options = layout(vms, static_cast<std::uint64_t>(given.seed));
    options.every_daemon_polls = mode == "baseline";
    const std::size_t memory_before = mallinfo2().uordblks;
    simulated_fleet fleet(options);
    fleet.edit(catalogue_text(given.text_kb, 0));
    fleet.run(seconds(40));
    const double memory = static_cast<double>(mallinfo2().uordblks - memory_before) /
                          static_cast<double>(vms) / 1024;
    for (std::size_t index = 0; index < fleet.size(); ++index)
        fleet.vm(index).traffic_totals = {};
    if (mode == "region-outage")
        fleet.store_outage([](const simulated_vm& vm)
                           { return vm.entry.region == "region-1"; });
    if (mode == "store-outage" || mode == "operator")
        fleet.store_outage([](const simulated_vm&) { return true; });
    const std::uint64_t reads_before = fleet.store_reads();
    const time_point began = fleet.now();
    const std::clock_t cpu_before = std::clock();
    outcome out;
    std::size_t refusals = 0;
    if (mode == "edits" || mode == "baseline" || mode == "region-outage" ||
        mode == "operator")
        run_edits(fleet, given, seconds(given.seconds), mode == "operator", out);
    else if (mode == "restarts")
        for (int second = 0; second < given.seconds; ++second)
        {
            if (second % 10 == 0)
                fleet.start(static_cast<std::size_t>(second) * 7 % vms);
            fleet.run(seconds(1));
        }
    else
        for (int second = 0; second < given.seconds; ++second)
        {
            fleet.run(seconds(1));
            for (std::size_t index = 0; index < vms; ++index)
                refusals +=
                    fleet.may_serve(index, catalogue::unconfirmed_policy::refuse).serve
                        ? 0
                        : 1;
        }
    const double cpu = static_cast<double>(std::clock() - cpu_before) / CLOCKS_PER_SEC;
    const double span = std::chrono::duration<double>(fleet.now() - began).count();
    const auto roles = traffic_by_role(fleet, span);
    std::printf("%4zu %-13s", vms, mode.c_str());
    std::printf(" in force %.2f/%.2f everywhere %.2f/%.2f s;",
                at_fraction(out.in_force, 0.5), at_fraction(out.in_force, 1),
                at_fraction(out.everywhere, 0.5), at_fraction(out.everywhere, 1));
    for (std::size_t role = 0; role < roles.size(); ++role)
    {
        const totals& all = roles[role];
        const auto count = static_cast<double>(std::max<std::size_t>(all.count, 1));
        std::printf(" %s out %.0f in %.0f B/s (max sum %.0f) %.1f msg/s framing %.0f;",
                    role == 0   ? "relay"
                    : role == 1 ? "inner"
                                : "plain",
                    all.sent / count, all.received / count, all.worst,
                    all.messages / count, all.messages / count * frame_bytes);
    }
    std::printf(" store %.1f reads/s; cpu %.3f%%; memory %.0f KB; unconfirmed %.3f%%\n",
                static_cast<double>(fleet.store_reads() - reads_before) / span,
                100 * cpu / span / static_cast<double>(vms), memory,
                100.0 * static_cast<double>(refusals) /
                    (static_cast<double>(vms) * given.seconds));
    std::fflush(stdout);
}

} // namespace

int main(int argc, const char** argv)
{
    arguments given;
    const std::array<poptOption, 7> table = {{
        {"vms", 'n', POPT_ARG_INT, &given.vms, 0, "size of the fleet; default: all", "N"},
        {"mode", 'm', POPT_ARG_STRING, &given.mode, 0,
         "idle, edits, baseline, region-outage, store-outage, operator or restarts",
         "MODE"},
        {"seconds", 's', POPT_ARG_INT, &given.seconds, 0, "simulated time", "N"},
        {"text-kb", 't', POPT_ARG_INT, &given.text_kb, 0, "size of the catalogue", "N"},
        {"seed", 0, POPT_ARG_INT, &given.seed, 0, "seed", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    }};
    poptContext context = poptGetContext(nullptr, argc, argv, table.data(), 0);
    const int parsed = poptGetNextOpt(context);
    poptFreeContext(context);
    if (parsed < -1)
    {
        std::fprintf(stderr, "config_bench: %s; see --help\n", poptStrerror(parsed));
        return 2;
    }
    std::vector<std::size_t> sizes = {3, 9, 30, 180, 720};
    if (given.vms > 0)
        sizes = {static_cast<std::size_t>(given.vms)};
    std::vector<std::string> modes = {"idle", "edits", "baseline"};
    if (given.mode != nullptr)
        modes = {given.mode};
    for (const std::string& mode : modes)
        for (const std::size_t vms : sizes)
            measure(vms, mode, given);
    return 0;
}
