#include "standin/common/options.hpp"
#include "standin/platform/platform_server.hpp"

#include <iostream>

using namespace pistachiospan::standin;

namespace
{

void serve(int count, const char** arguments)
{
    platform_server_options options;
    command_line line("standin_platform");
    line.add("listen", "ip:port of the platform", options.listen);
    line.add("control", "ip:port of a second listener for /control", options.control);
    line.add_count("seed", "seed of the jitter", options.seed);
    line.add_count("max-reads-per-s", "refuse reads above (0: never)",
                   options.max_reads_per_s);
    line.add_count("max-writes-per-s", "refuse writes above (0: never)",
                   options.max_writes_per_s);
    line.parse(count, arguments);

    const event_owner<event_base> base = make_loop();
    const platform_server server(base.get(), options);
    std::cout << "standin_platform ready on " << server.address();
    if (!server.control_address().empty())
        std::cout << ", control on " << server.control_address();
    std::cout << std::endl;
    run_until_signal(base.get());
}

} // namespace

int main(int count, char** arguments)
{
    return run_program("standin_platform",
                       [&] { serve(count, const_cast<const char**>(arguments)); });
}
