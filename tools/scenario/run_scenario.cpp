// Runs scenario files and prints the figure seen for each expectation.
//
//     run_scenario [--root=DIRECTORY] FILE...
//
// Exit code: 0 all expectations held, 1 one failed, 2 a script is refused.

#include "pistachiospan/scenario/scenario.hpp"

#include <popt.h>

#include <iostream>
#include <memory>

namespace
{

constexpr int exit_failed = 1;
constexpr int exit_refused = 2;

int run(const std::vector<std::string>& files, const std::string& root)
{
    int code = 0;
    for (const std::string& file : files)
    {
        const auto ran = pistachiospan::scenario::run_file(file, root);
        if (!ran)
        {
            std::cerr << ran.error().message << '\n';
            return exit_refused;
        }
        std::cout << ran.value().summary();
        if (!ran.value().held())
            code = exit_failed;
    }
    return code;
}

} // namespace

int main(int count, const char** words)
{
    const char* root = ".";
    const poptOption options[] = {{"root", 'r', POPT_ARG_STRING,
                                   static_cast<void*>(&root), 0,
                                   "directory of the paths in scenarios", "DIRECTORY"},
                                  POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("run_scenario", count, words, options, 0), &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "FILE...");
    if (poptGetNextOpt(context.get()) < -1)
    {
        poptPrintUsage(context.get(), stderr, 0);
        return exit_refused;
    }
    std::vector<std::string> files;
    for (const char* file = poptGetArg(context.get()); file != nullptr;
         file = poptGetArg(context.get()))
        files.emplace_back(file);
    if (files.empty())
    {
        std::cerr << "no scenario given; name a file, for example "
                     "scenarios/louche-vm-killed.scenario\n";
        return exit_refused;
    }
    return run(files, root);
}
