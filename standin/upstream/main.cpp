#include "standin/common/options.hpp"
#include "standin/upstream/upstream_server.hpp"

#include <iostream>

using namespace pistachiospan::standin;

namespace
{

service_distribution to_distribution(std::string_view text)
{
    if (text == "constant")
        return service_distribution::constant;
    if (text == "exponential")
        return service_distribution::exponential;
    if (text == "log_normal")
        return service_distribution::log_normal;
    throw std::invalid_argument("unknown distribution");
}

void serve(int count, const char** arguments)
{
    std::vector<std::string> addresses;
    upstream_server_options options;
    bool shed = false;
    command_line line("standin_upstream");
    line.add("listen", "ip:port of an upstream; repeat for more upstreams", addresses);
    line.add_count("slots", "requests at once", options.behaviour.slots);
    line.add_count("connections", "connections at once", options.connections);
    line.add("service-time-ms", "mean service time", options.behaviour.service_time_ms);
    line.add("distribution", "constant, exponential or log_normal service times",
             [&](const char* text)
             { options.behaviour.distribution = to_distribution(text); });
    line.add("warm-up-ms", "time until a cold upstream is at full speed",
             options.behaviour.warm_up_ms);
    line.add("shed", "refuse requests over the slots", shed);
    line.add_count("max-body", "bytes of a request's body", options.max_body);
    line.add_count("seed", "seed of service times and faults", options.seed);
    line.parse(count, arguments);
    if (addresses.empty())
        throw std::invalid_argument("no address; give --listen ip:port");
    if (options.behaviour.slots == 0)
        throw std::invalid_argument("--slots is 0; give at least 1");
    options.behaviour.shed = shed ? shed_policy::over_slots : shed_policy::never;

    const event_owner<event_base> base = make_loop();
    std::list<upstream_server> servers;
    std::cout << "standin_upstream ready on";
    for (const std::string& address : addresses)
    {
        options.listen = address;
        servers.emplace_back(base.get(), options);
        std::cout << ' ' << servers.back().address();
        ++options.seed;
    }
    std::cout << std::endl;
    run_until_signal(base.get());
}

} // namespace

int main(int count, char** arguments)
{
    return run_program("standin_upstream",
                       [&] { serve(count, const_cast<const char**>(arguments)); });
}
