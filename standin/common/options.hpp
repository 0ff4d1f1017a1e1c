// Command line of the stand-ins, read by popt.
//
// Example:
//
//     command_line line("standin_platform");
//     line.add("listen", "ip:port of the platform's paths", listen);
//     line.parse(argc, argv);

#ifndef PISTACHIOSPAN_STANDIN_COMMON_OPTIONS_HPP
#define PISTACHIOSPAN_STANDIN_COMMON_OPTIONS_HPP

#include <functional>
#include <string>
#include <vector>

namespace pistachiospan::standin
{

class command_line
{
public:
    explicit command_line(std::string program);

    // A switch that takes a value; may be given more than once.
    void add(std::string name, std::string help, std::function<void(const char*)> set);
    void add(std::string name, std::string help, std::string& target);
    void add(std::string name, std::string help, std::vector<std::string>& target);
    void add(std::string name, std::string help, double& target);
    // A switch without a value.
    void add(std::string name, std::string help, bool& target);
    // Any unsigned integer type.
    template <class Integer>
    void add_count(std::string name, std::string help, Integer& target)
    {
        this->add(std::move(name), std::move(help),
                  [&target](const char* text)
                  { target = static_cast<Integer>(std::stoull(text)); });
    }

    // Throws std::invalid_argument for unknown switches, bad values and extra arguments.
    // `--help` prints the switches and ends the process.
    void parse(int count, const char** arguments);

private:
    struct option
    {
        std::string name;
        std::string help;
        bool takes_value;
        std::function<void(const char*)> set;
    };

    std::string program;
    std::vector<option> options;
};

// Runs `body` and turns an exception into a message and exit status 2.
int run_program(const char* program, const std::function<void()>& body);

} // namespace pistachiospan::standin

#endif
