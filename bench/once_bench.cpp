// Costs of at-most-once execution: time, messages and memory per request, time without
// service after the death of a VM, and store writes for each death.

#include "pistachiospan/once/internal/test_support.hpp"

#include <malloc.h>

#include <ctime>
#include <iostream>

using namespace pistachiospan;
using namespace pistachiospan::once;
using namespace pistachiospan::once::test;

namespace
{

// Processor time, because other programs run on the machine.
double since(std::clock_t start)
{
    return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

std::size_t index_of(const vm_id& id)
{
    return std::stoul(id.value.substr(3));
}

// Requests of a caller, one after another, each answered by the upstream at once.
struct driver
{
    fleet& vms;
    std::uint64_t executed = 0;
    std::uint64_t refused = 0;
    time_point last_refused;

    void begin(std::size_t at, const std::string& key, std::uint32_t relays,
               const std::string& body)
    {
        vms.nodes[at].once->begin(
            vms.local(at),
            {.account = "north",
             .key = key,
             .fingerprint = 1,
             .deadline = vms.local(at) + 10s,
             .relay_count = relays,
             .wall_now = vms.wall(at)},
            [this, at, key, body, relays](const decision& made)
            {
                if (made.kind == decision_kind::relay)
                    return vms.on_node(
                        index_of(made.relay_to), 1ms,
                        [this, to = index_of(made.relay_to), key, body, relays]
                        { this->begin(to, key, relays + 1, body); });
                if (made.kind == decision_kind::refuse)
                {
                    ++this->refused;
                    this->last_refused = vms.clock.now;
                }
                if (made.kind != decision_kind::execute)
                    return;
                ++this->executed;
                vms.nodes[at].once->finish(vms.local(at), made.attempt,
                                           {.status = 200, .body = body});
            });
    }
};

void measure_requests(std::size_t body_size)
{
    fleet vms({.nodes = 2,
               .centres = 2,
               .seed = 1,
               .each = {.max_records = 1'000'000, .max_kept_bytes = 1U << 30U}});
    vms.run_for(6s);
    driver load{.vms = vms};
    const std::string body(body_size, 'b');
    constexpr std::uint64_t requests = 40'000;
    const std::uint64_t messages =
        vms.nodes[0].once->totals().messages + vms.nodes[1].once->totals().messages;
    const std::size_t records =
        vms.nodes[0].once->record_count() + vms.nodes[1].once->record_count();
    const std::size_t memory = mallinfo2().uordblks;
    const auto start = std::clock();
    for (std::uint64_t number = 0; number < requests; ++number)
    {
        // The key of a shard whose primary is this VM is not relayed.
        load.begin(number % 2, "order-" + std::to_string(number), 0, body);
        if (number % 100 == 0)
            vms.run_for(5ms);
    }
    vms.run_for(1s);
    const double seconds = since(start);
    const std::size_t held =
        vms.nodes[0].once->record_count() + vms.nodes[1].once->record_count() - records;
    const std::uint64_t sent = vms.nodes[0].once->totals().messages +
                               vms.nodes[1].once->totals().messages - messages;
    std::cout << "request, body " << body_size
              << " B: " << 1e9 * seconds / static_cast<double>(load.executed)
              << " ns for primary, backup and simulation together, "
              << static_cast<double>(sent) / static_cast<double>(load.executed)
              << " messages, "
              << static_cast<double>(mallinfo2().uordblks - memory) /
                     static_cast<double>(held)
              << " B per record on each VM, executed " << load.executed << ", refused "
              << load.refused << std::endl;
}

void measure_message_size()
{
    fleet vms({.nodes = 2, .centres = 2, .seed = 1});
    vms.run_for(6s);
    vms.count_bytes = true;
    driver load{.vms = vms};
    constexpr int requests = 1000;
    for (int number = 0; number < requests; ++number)
    {
        load.begin(number % 2, "order-" + std::to_string(number), 0,
                   std::string(200, 'b'));
        vms.run_for(5ms);
    }
    std::cout << "bodies of the messages of a request (answer 200 B): "
              << vms.bytes / requests << " B\n";
}

// New keys through all live VMs, before and after the death of one VM.
void measure_death(std::size_t nodes, std::size_t centres, duration tick,
                   duration request_gap)
{
    fleet vms({.nodes = nodes, .centres = centres, .seed = 1, .tick = tick});
    vms.run_for(nodes > 100 ? 100s : 20s);
    std::size_t victim = 0;
    for (std::size_t each = 0; each < nodes; ++each)
    {
        if (vms.nodes[each].once->primary_count() >
            vms.nodes[victim].once->primary_count())
            victim = each;
    }
    const std::size_t shards = vms.nodes[victim].once->primary_count();
    const std::uint64_t first_writes = vms.rows.writes;
    const time_point died = vms.clock.now;
    vms.kill(victim);
    driver load{.vms = vms};
    std::uint64_t sent = 0;
    while (vms.clock.now < died + 20s)
    {
        const std::size_t at = (victim + 1 + sent % (nodes - 1)) % nodes;
        load.begin(at, "order-" + std::to_string(sent++), 0, "done");
        vms.run_for(request_gap);
    }
    vms.run_for(1s);
    const std::uint64_t death_writes = vms.rows.writes - first_writes;
    vms.start(victim);
    vms.run_for(nodes > 100 ? 100s : 600s);
    const auto gap = std::chrono::duration<double>(load.last_refused - died).count();
    const double in_gap = gap / std::chrono::duration<double>(request_gap).count();
    const double unanswered = static_cast<double>(sent - load.executed - load.refused);
    std::cout << nodes << " VMs: death of a VM with " << shards
              << " primaries: no service of its shards for " << gap << " s, "
              << 100 * static_cast<double>(load.refused) / in_gap
              << "% of the keyed requests of that time refused, "
              << 100 * unanswered / in_gap << "% relayed to the dead VM, " << death_writes
              << " store writes; " << vms.rows.writes - first_writes - death_writes
              << " writes after its return" << std::endl;
}

void measure_idle(std::size_t nodes)
{
    fleet vms({.nodes = nodes, .centres = 17, .seed = 1, .tick = 500ms});
    vms.run_for(nodes > 100 ? 100s : 20s);
    executor& one = *vms.nodes[0].once;
    constexpr int ticks = 2000;
    const auto start = std::clock();
    for (int each = 0; each < ticks; ++each)
        one.tick(vms.local(0) + each * 20us);
    const double tick_ns = 1e9 * since(start) / ticks;
    const auto peers_start = std::clock();
    for (int each = 0; each < 100; ++each)
        vms.update_peers(0);
    const double peers_us = 1e6 * since(peers_start) / 100;
    std::uint64_t reads = 0;
    for (const node& each : vms.nodes)
        reads += each.once->totals().store_reads;
    const std::uint64_t writes = vms.rows.writes;
    vms.run_for(60s);
    std::uint64_t later_reads = 0;
    for (const node& each : vms.nodes)
        later_reads += each.once->totals().store_reads;
    std::cout << nodes << " VMs, idle: " << tick_ns << " ns per tick, " << peers_us
              << " us per update of the peers, "
              << static_cast<double>(later_reads - reads) / 60
              << " scans/s of the fleet, " << vms.rows.writes - writes
              << " writes in 60 s\n";
}

} // namespace

int main()
{
    measure_requests(0);
    measure_requests(1000);
    measure_message_size();
    measure_death(9, 6, 20ms, 5ms);
    measure_death(720, 17, 500ms, 20ms);
    measure_idle(9);
    measure_idle(720);
}
