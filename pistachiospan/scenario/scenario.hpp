// Scripted scenarios: a fleet of entry VMs on a simulated clock, with faults, load and
// expectations.
//
// Example:
//
//     const result<outcome> ran = run_file("scenarios/louche-vm-killed.scenario", ".");
//     if (!ran)
//         return ran.error(); // file, line, what is wrong, remedy
//     std::cout << ran.value().summary();
//
// The language has one statement a line; `#` begins a comment. scenarios/README.md lists
// the statements. Equal scripts and seeds give equal outcomes.

#ifndef PISTACHIOSPAN_SCENARIO_SCENARIO_HPP
#define PISTACHIOSPAN_SCENARIO_SCENARIO_HPP

#include "pistachiospan/base/base.hpp"

#include <vector>

namespace pistachiospan::scenario
{

// One expectation and the figure that was seen.
struct verdict
{
    std::size_t line = 0;
    std::string text; // the expectation as written
    std::string seen;
    bool held = false;
};

struct outcome
{
    std::string file_name;
    std::uint64_t seed = 0;
    std::vector<verdict> verdicts;
    std::string load; // counts of requests by outcome, for the reader

    bool held() const;
    // One line for each expectation.
    std::string summary() const;
};

// Runs a script. Paths in it are relative to `root`. The error has one line for each
// problem of the script; nothing was run then.
result<outcome> run_script(std::string_view text, std::string_view file_name,
                           const std::string& root);

// The same for a file.
result<outcome> run_file(const std::string& path, const std::string& root);

} // namespace pistachiospan::scenario

#endif
