// The scenario language: statements as words and options.

#ifndef PISTACHIOSPAN_SCENARIO_INTERNAL_SCRIPT_HPP
#define PISTACHIOSPAN_SCENARIO_INTERNAL_SCRIPT_HPP

#include "pistachiospan/base/base.hpp"

#include <map>
#include <optional>
#include <vector>

namespace pistachiospan::scenario::internal
{

struct statement
{
    std::size_t line = 0;
    duration at{0};
    std::string text;
    std::vector<std::string> words; // words without `=`, the verb first
    std::map<std::string, std::string, std::less<>> options; // name=value

    std::string option(std::string_view name, std::string_view otherwise = "") const;
};

struct expectation
{
    statement source;
    std::string figure;           // what is measured
    std::string subject;          // account, route, VM or upstream
    std::string comparison = "="; // = <= >=
    double bound = 0;
    bool percent = false;
    duration after{0}; // of `within D after T`
};

struct script
{
    std::string file_name;
    std::uint64_t seed = 1;
    std::string catalogue_path;
    std::string settings_directory;
    duration end{0};
    std::vector<statement> setup;
    std::vector<statement> actions; // in the order of their times
    std::vector<expectation> expectations;
};

std::optional<duration> parse_duration(std::string_view text);
std::optional<double> parse_number(std::string_view text);

// Errors: invalid_argument with one line for each problem.
result<script> parse_script(std::string_view text, std::string_view file_name);

} // namespace pistachiospan::scenario::internal

#endif
