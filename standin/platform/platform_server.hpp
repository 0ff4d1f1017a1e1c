// Stand-in for the platform over HTTP: the table, objects and VM list of
// store::testing::fake_platform on real time, and paths to control its faults.
//
// Example:
//
//     platform_server server(base, {.listen = "127.0.0.1:0"});
//     store::http_platform client(base, {.address = server.address()});
//
// Paths of the platform: see pistachiospan/store_http/store_http.hpp. Control paths, with
// JSON bodies, on the same address or (needed while `closed`) on the control address:
//
//     GET  /control          -> faults, lag and limits in force
//     POST /control          changes the members given: latency_ms, jitter_ms, refuse
//     (503
//                            and X-Not-Run), silent (no answers, nothing runs),
//                            overloaded (429), lose_requests and lose_answers (next n
//                            writes), closed (connections refused by the system),
//                            vm_list_lag_ms, max_reads_per_s, max_writes_per_s (429
//                            above; 0: no limit)
//     POST /control/vms      {"vms": [entry]}: the whole list
//     POST /control/vm       one entry, added or replaced
//     POST /control/leaving  {"id", "leaving": true or false}
//     POST /control/remove   {"id"}
//     GET  /control/counts   -> {reads, writes, refused_over_limit}

#ifndef PISTACHIOSPAN_STANDIN_PLATFORM_PLATFORM_SERVER_HPP
#define PISTACHIOSPAN_STANDIN_PLATFORM_PLATFORM_SERVER_HPP

#include "pistachiospan/store/fake_store.hpp"
#include "standin/common/http_server.hpp"

namespace pistachiospan::standin
{

struct platform_server_options
{
    std::string listen;       // ip:port; port 0 chooses one
    std::string control = {}; // ip:port of a second listener, or empty
    std::uint64_t seed = 1;
    std::uint32_t max_reads_per_s = 0;  // 0: no limit
    std::uint32_t max_writes_per_s = 0; // 0: no limit
};

class platform_server
{
public:
    platform_server(event_base* base, platform_server_options options);

    const std::string& address() const
    {
        return this->data_address;
    }

    // Empty if there is no control listener.
    const std::string& control_address() const
    {
        return this->second_address;
    }

    store::testing::fake_platform platform;

private:
    // Calls accepted in the present second of a limit.
    struct window
    {
        time_point start;
        std::uint32_t used = 0;
    };

    void handle(const exchange_ptr& call, bool may_close);
    void handle_data(const exchange_ptr& call);
    void handle_control(const exchange_ptr& call, bool may_close);
    void change(const nlohmann::json& wanted);
    nlohmann::json describe() const;
    bool over_limit(window& used, std::uint32_t limit);
    void settle();

    platform_server_options options;
    store::testing::fake_store backend;
    timer clock;
    window reads;
    window writes;
    std::uint64_t refused_over_limit = 0;
    bool closed = false;
    http_server data;
    http_server control;
    std::string data_address;
    std::string second_address;
};

} // namespace pistachiospan::standin

#endif
