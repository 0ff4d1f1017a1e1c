#include "pistachiospan/fleet_node/internal/load_exchange.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::fleet_node::internal
{

namespace
{

constexpr double tick_seconds = 0.5;
// Below this rate messages go out half as often, since most of their bytes would be
// headers.
constexpr double slow_rate = 100;
constexpr std::size_t fast_ticks = 2;
constexpr std::size_t slow_ticks = 4;
// Bytes of a datagram besides the content: headers of IP and UDP, and the kind.
constexpr double datagram_overhead = 29;
// That the last loads have ended is told this often, since messages may be lost.
constexpr std::size_t max_empty_messages = 3;
// Larger datagrams would be fragmented.
constexpr double max_content = 1200;

std::size_t content_size(double rate, std::size_t ticks)
{
    const double size =
        rate * static_cast<double>(ticks) * tick_seconds - datagram_overhead;
    return static_cast<std::size_t>(std::clamp(size, 0.0, max_content));
}

} // namespace

// Half of what the control traffic of load and admission may take together: 250 B/s with
// 14 VMs in the data centre, 50 B/s with 42, since a fleet with more VMs in a data centre
// has smaller ones, which send fewer requests.
double member_load_rate(std::size_t vms)
{
    constexpr double max_rate = 250;
    constexpr double large_rate = 50;
    constexpr double large_count = 42;
    const double ratio = large_count / static_cast<double>(std::max<std::size_t>(vms, 1));
    return std::min(max_rate, large_rate * std::pow(ratio, 1.5));
}

load_exchange::load_exchange(std::uint64_t process, load_exchange_hooks hooks)
    : hooks(std::move(hooks)),
      process(static_cast<std::uint16_t>(
          hash_bytes({reinterpret_cast<const char*>(&process), sizeof process})))
{
}

void load_exchange::send(capacity::scope scope,
                         std::vector<capacity::upstream_load> loads, std::size_t max_size,
                         std::span<const std::string> addresses)
{
    std::size_t& empty = this->empty_messages[scope];
    empty = loads.empty() ? empty + 1 : 0;
    if (addresses.empty() || empty > max_empty_messages)
        return;
    this->hooks.send(capacity::encode({.scope = scope,
                                       .process = this->process,
                                       .sequence = this->sequence,
                                       .loads = std::move(loads)},
                                      max_size),
                     addresses);
}

void load_exchange::tick(time_point now, const load_peers& peers)
{
    const double rate = member_load_rate(peers.vms);
    const std::size_t interval = rate < slow_rate ? slow_ticks : fast_ticks;
    if (!this->hooks.loads || ++this->ticks % interval != 0)
        return;
    ++this->sequence;
    const duration span = interval * std::chrono::duration_cast<duration>(
                                         std::chrono::duration<double>(tick_seconds));
    std::vector<capacity::upstream_load> own = this->hooks.loads(now, span);
    const std::size_t max_size = content_size(rate, interval);
    if (!peers.is_coordinator)
    {
        this->sums.clear();
        this->send(capacity::scope::vm, std::move(own), max_size, peers.coordinator);
        return;
    }
    this->sums.forget_silent(now);
    this->sums.set_own(now, std::move(own));
    const std::vector<capacity::upstream_load> estimates = this->sums.estimates(now);
    this->hooks.estimates(now, estimates, true);
    this->send(capacity::scope::fleet, estimates, max_size, peers.members);
    // All messages to the other coordinators together may take what those to the members
    // take.
    const double peer_rate =
        rate * static_cast<double>(peers.vms) /
        static_cast<double>(std::max<std::size_t>(peers.coordinators.size(), 1));
    this->send(capacity::scope::data_centre, this->sums.data_centre_loads(now),
               content_size(peer_rate, interval), peers.coordinators);
}

void load_exchange::receive(time_point now, const std::string& from,
                            std::string_view content, const load_peers& peers)
{
    if (!this->hooks.loads)
        return;
    const result<capacity::load_message> decoded = capacity::decode(content);
    if (!decoded)
    {
        this->hooks.log("loads_rejected",
                        {{"from", from}, {"problem", decoded.error().message}});
        return;
    }
    if (peers.is_coordinator)
        this->sums.merge(now, from, decoded.value());
    else if (decoded.value().scope == capacity::scope::fleet &&
             std::ranges::find(peers.coordinator, from) != peers.coordinator.end())
        this->hooks.estimates(now, decoded.value().loads, decoded.value().complete);
}

} // namespace pistachiospan::fleet_node::internal
