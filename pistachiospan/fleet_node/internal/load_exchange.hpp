// Exchange of the load of upstreams: a member with its coordinator, a coordinator with
// its members and with the other coordinators.

#ifndef PISTACHIOSPAN_FLEET_NODE_INTERNAL_LOAD_EXCHANGE_HPP
#define PISTACHIOSPAN_FLEET_NODE_INTERNAL_LOAD_EXCHANGE_HPP

#include "pistachiospan/capacity/capacity.hpp"

#include <functional>

namespace pistachiospan::fleet_node::internal
{

struct load_exchange_hooks
{
    std::function<void(std::string_view content, std::span<const std::string> addresses)>
        send;
    // Requests of this VM at the upstreams, and reports that it got within `span`. Null:
    // the loads are not shared.
    std::function<std::vector<capacity::upstream_load>(time_point, duration span)> loads;
    // Estimates of the load of all upstreams; `complete` as in capacity::load_message.
    std::function<void(time_point, std::span<const capacity::upstream_load>,
                       bool complete)>
        estimates;
    std::function<void(std::string_view event, const nlohmann::ordered_json&)> log;
};

// This VM's place among the others.
struct load_peers
{
    bool is_coordinator = false;
    std::size_t vms = 1;                  // of the data centre
    std::vector<std::string> coordinator; // a member's
    std::vector<std::string> members;     // a coordinator's
    std::vector<std::string> coordinators;
};

class load_exchange
{
public:
    load_exchange(std::uint64_t process, load_exchange_hooks hooks);

    // Call twice a second. Sends in longer intervals.
    void tick(time_point now, const load_peers& peers);
    void receive(time_point now, const std::string& from, std::string_view content,
                 const load_peers& peers);

private:
    void send(capacity::scope scope, std::vector<capacity::upstream_load> loads,
              std::size_t max_size, std::span<const std::string> addresses);

    load_exchange_hooks hooks;
    std::uint16_t process;
    std::uint32_t sequence = 0;
    std::size_t ticks = 0;
    // Messages in a row without any load, by scope.
    std::map<capacity::scope, std::size_t> empty_messages;
    capacity::load_sums sums;
};

// Bytes per second, with the headers of the datagrams, that a member of a data centre
// with this many VMs may spend each way.
double member_load_rate(std::size_t vms);

} // namespace pistachiospan::fleet_node::internal

#endif
