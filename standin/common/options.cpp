#include "standin/common/options.hpp"

#include <popt.h>

#include <iostream>
#include <memory>
#include <stdexcept>

namespace pistachiospan::standin
{

command_line::command_line(std::string program) : program(std::move(program)) {}

void command_line::add(std::string name, std::string help,
                       std::function<void(const char*)> set)
{
    this->options.push_back({std::move(name), std::move(help), true, std::move(set)});
}

void command_line::add(std::string name, std::string help, std::string& target)
{
    this->add(std::move(name), std::move(help),
              [&target](const char* text) { target = text; });
}

void command_line::add(std::string name, std::string help,
                       std::vector<std::string>& target)
{
    this->add(std::move(name), std::move(help),
              [&target](const char* text) { target.emplace_back(text); });
}

void command_line::add(std::string name, std::string help, double& target)
{
    this->add(std::move(name), std::move(help),
              [&target](const char* text) { target = std::stod(text); });
}

void command_line::add(std::string name, std::string help, bool& target)
{
    this->options.push_back({std::move(name), std::move(help), false,
                             [&target](const char*)
                             {
                                 target = true;
                             }});
}

void command_line::parse(int count, const char** arguments)
{
    std::vector<poptOption> table;
    for (std::size_t at = 0; at < this->options.size(); ++at)
    {
        const option& each = this->options[at];
        table.push_back({each.name.c_str(), '\0',
                         each.takes_value ? POPT_ARG_STRING : POPT_ARG_NONE, nullptr,
                         static_cast<int>(at) + 1, each.help.c_str(),
                         each.takes_value ? "VALUE" : nullptr});
    }
    const std::vector<poptOption> standard = {POPT_AUTOHELP POPT_TABLEEND};
    table.insert(table.end(), standard.begin(), standard.end());
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(this->program.c_str(), count, arguments, table.data(), 0),
        &poptFreeContext);
    int found = 0;
    while ((found = poptGetNextOpt(context.get())) > 0)
    {
        const option& each = this->options[static_cast<std::size_t>(found) - 1];
        const std::unique_ptr<char, decltype(&std::free)> value(
            poptGetOptArg(context.get()), &std::free);
        try
        {
            each.set(value.get());
        }
        catch (const std::exception&)
        {
            throw std::invalid_argument("bad value for --" + each.name +
                                        "; see --help for its form");
        }
    }
    if (found < -1)
        throw std::invalid_argument(std::string(poptBadOption(context.get(), 0)) + ": " +
                                    poptStrerror(found) + "; see --help");
    if (const char* extra = poptPeekArg(context.get()))
        throw std::invalid_argument(std::string("unexpected argument ") + extra +
                                    "; see --help");
}

int run_program(const char* program, const std::function<void()>& body)
{
    try
    {
        body();
        return 0;
    }
    catch (const std::exception& problem)
    {
        std::cerr << program << ": " << problem.what() << '\n';
        return 2;
    }
}

} // namespace pistachiospan::standin
