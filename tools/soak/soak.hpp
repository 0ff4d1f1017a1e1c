// Randomized soak: edge daemons as separate processes, faults from outside of them, and
// the promises checked from what callers and upstreams see.
//
// Example:
//
//     soak run(base, {.seed = 7, .length = 30s, .daemon =
//     "build/platform/pistachio-edge"}); for (const std::string& broken : run.play())
//         std::cerr << broken << '\n';

#ifndef PISTACHIOSPAN_TOOLS_SOAK_SOAK_HPP
#define PISTACHIOSPAN_TOOLS_SOAK_SOAK_HPP

#include "tools/soak/fault_proxy.hpp"
#include "tools/soak/limit_watch.hpp"
#include "tools/soak/traffic.hpp"
#include "tools/soak/vm_process.hpp"

#include <set>

namespace pistachiospan::soak
{

struct soak_options
{
    std::uint64_t seed = 1;
    duration length = std::chrono::seconds(20); // with faults; the recovery follows
    std::string daemon;
    std::string second_daemon;       // of every other VM; empty: all run the same program
    std::filesystem::path directory; // for settings and logs
    // Second number of the loopback addresses: runs side by side use different ones.
    int network = 1;
    std::size_t vms = 3;
    bool faults = true;
    std::size_t upstreams = 4;
    double requests_per_second = 120;
};

class soak
{
public:
    soak(event_base* base, soak_options options);

    // Plays the run. Returns what was broken; empty: every promise was kept.
    std::vector<std::string> play();

    // What happened, one line each, with the time since the start.
    const std::vector<std::string>& events() const
    {
        return this->happened;
    }
    std::string summary() const;

private:
    struct upstream_state
    {
        std::unique_ptr<platform::testing::upstream_standin> server;
        std::unique_ptr<fault_proxy> link;
        std::string id;
        std::string entry_address;
        std::string former_id;         // still has an entry; empty: none
        time_point former_entry_until; // its entry lapses then
        time_point draining_since;     // the epoch: ready
        limit_watch limit;
    };

    std::string address(const std::string& rest) const;
    void make_upstream(std::size_t index);
    void run_for(duration span);
    void step();
    void disturb();
    void disturb_vm();
    void disturb_link();
    void disturb_store();
    void change_keys();
    void change_upstream();
    void change_limit();
    void change_identity();
    void heal();
    void put_configuration();
    void put_entry(const upstream_state& of);
    void note_arrival(upstream_state& at, const http1::request& seen);
    void note_run(const upstream_state& at, const http1::request& seen);
    void collect_processes();
    void check_orders();
    void check_stops();
    void check_recovery();
    void note(const std::string& event);
    void break_promise(const std::string& what);
    bool undisturbed(const vm_process& vm) const;
    bool runs_steadily(const vm_process& vm) const;
    std::size_t pick(std::size_t count);

    event_base* base;
    soak_options options;
    random_engine random;
    // Their own, so that the other faults of a seed stay.
    random_engine limit_random;
    random_engine identity_random;
    time_point next_limit_change;
    time_point next_identity_change;
    std::size_t restarts = 0; // of upstreams under a new id
    time_point began;
    time_point now;
    platform::testing::store_standin store;
    time_point store_fault_until; // the store was harmed up to then
    platform::testing::store_fault store_fault = platform::testing::store_fault::none;
    std::vector<std::unique_ptr<fault_proxy>> store_links;
    std::vector<std::unique_ptr<vm_process>> vms;
    std::vector<upstream_state> upstreams;
    traffic callers;
    int version = 0;
    int key_number = 0;                          // the present key
    std::map<std::string, time_point> withdrawn; // keys, and since when
    std::map<std::string, int> runs;             // of each request id
    std::size_t checked_stops = 0;
    std::vector<std::string> happened;
    std::vector<std::string> broken;
    double due = 0;
};

} // namespace pistachiospan::soak

#endif
