#include "pistachiospan/once/internal/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace pistachiospan;
using namespace pistachiospan::once;
using namespace pistachiospan::once::test;

namespace
{

// History of one key, as the upstream and the caller see it.
struct operation
{
    std::string key;
    std::uint64_t fingerprint = 0;
    int runs = 0;
    std::set<std::pair<std::size_t, attempt_id>>
        in_flight; // permitted and not yet finished
    int calls = 0;
    bool done = false;
};

struct upstream_faults
{
    double refusal_rate = 0.1; // refused before execution
    double loss_rate = 0.1;    // answer lost after execution
};

// Simulates callers that repeat their requests through random VMs, and an upstream that
// counts executions.
struct workload
{
    fleet& vms;
    upstream_faults faults;
    std::map<std::string, operation> operations;
    std::vector<std::string> violations;
    std::map<std::string, int> answers; // by decision kind and refusal code
    duration upstream_time = 20ms;
    int repeats = 12;

    void violation(const operation& tracked, std::string_view problem)
    {
        this->violations.push_back(tracked.key + ": " + std::string(problem));
    }

    void forward(operation& tracked, std::size_t at, attempt_id attempt)
    {
        const incarnation process_incarnation = this->vms.nodes[at].process_incarnation;
        const std::pair running{at * 1000 + process_incarnation, attempt};
        tracked.in_flight.insert(running);
        // The process may be paused or killed between the decision and the write.
        this->vms.on_node(
            at, duration(this->vms.below(3000)),
            [this, &tracked, at, attempt, running]
            {
                const bool refused = this->vms.rows.chance(this->faults.refusal_rate);
                const bool lost = this->vms.rows.chance(this->faults.loss_rate);
                if (!refused && ++tracked.runs > 1)
                    this->violation(tracked, "ran twice");
                outcome result{.status = 200, .body = tracked.key};
                if (refused)
                    result = {.kind = outcome_kind::not_run};
                else if (lost)
                    result = {.kind = outcome_kind::unknown};
                if (refused)
                    tracked.in_flight.erase(running);
                this->vms.on_node(at, this->upstream_time,
                                  [this, &tracked, at, attempt, result, running]
                                  {
                                      tracked.in_flight.erase(running);
                                      this->vms.nodes[at].once->finish(
                                          this->vms.local(at), attempt, result);
                                  });
            });
        // A killed process forwards nothing.
        this->vms.clock.after(5s,
                              [this, &tracked, at, process_incarnation, running]
                              {
                                  const node& each = this->vms.nodes[at];
                                  if (!each.alive ||
                                      each.process_incarnation != process_incarnation)
                                      tracked.in_flight.erase(running);
                              });
    }

    void on_decision(operation& tracked, std::size_t at, std::uint32_t relay_count,
                     const decision& reply)
    {
        if (reply.kind == decision_kind::execute)
        {
            this->forward(tracked, at, reply.attempt);
            this->repeat_later(tracked);
        }
        if (reply.kind == decision_kind::replay)
        {
            tracked.done = true;
            if (tracked.runs != 1)
                this->violation(tracked, "replayed an answer without a run");
            if (reply.recorded_outcome.body != tracked.key)
                this->violation(tracked, "replayed another answer");
        }
        if (reply.kind == decision_kind::refuse &&
            reply.reason.execution == execution_status::not_executed &&
            (tracked.runs > 0 || !tracked.in_flight.empty()))
            this->violation(tracked,
                            "reported as not executed but may run, " + reply.reason.code);
        if (reply.kind == decision_kind::refuse)
            this->repeat_later(tracked);
        if (reply.kind == decision_kind::relay)
        {
            const auto to =
                static_cast<std::size_t>(std::stoul(reply.relay_to.value.substr(3)));
            if (!this->vms.blocked[at][to])
                this->vms.on_node(to, 3ms,
                                  [this, &tracked, to, relay_count]
                                  { this->begin(tracked, to, relay_count + 1); });
            this->repeat_later(tracked);
        }
        static const char* const names[] = {"execute", "relay", "replay", "refuse"};
        std::string name = names[static_cast<int>(reply.kind)];
        if (reply.kind == decision_kind::refuse)
            name +=
                " " + reply.reason.code +
                (reply.reason.execution == execution_status::not_executed ? " no" : "");
        ++this->answers[name];
    }

    void begin(operation& tracked, std::size_t at, std::uint32_t relay_count)
    {
        const auto called = std::make_shared<int>(0);
        const time_point now = this->vms.local(at);
        this->vms.nodes[at].once->begin(
            now,
            {.account = "north",
             .key = tracked.key,
             .fingerprint = tracked.fingerprint,
             .deadline = now + 3s,
             .relay_count = relay_count,
             .wall_now = this->vms.wall(at)},
            [this, &tracked, at, relay_count, called](const decision& reply)
            {
                if (++*called > 1)
                    this->violation(tracked, "answered twice");
                this->on_decision(tracked, at, relay_count, reply);
            });
    }

    // Sends the request through a random VM. A dead VM causes another attempt later.
    void call(operation& tracked)
    {
        const auto at = static_cast<std::size_t>(
            this->vms.below(static_cast<std::int64_t>(this->vms.nodes.size())));
        ++tracked.calls;
        this->vms.on_node(at, 1ms, [this, &tracked, at] { this->begin(tracked, at, 0); });
        if (!this->vms.nodes[at].alive)
            this->repeat_later(tracked);
    }

    void repeat_later(operation& tracked)
    {
        if (tracked.calls >= this->repeats)
            return;
        ++tracked.calls;
        this->vms.clock.after(duration(this->vms.below(900'000)),
                              [this, &tracked] { call(tracked); });
    }

    operation& create(const std::string& key)
    {
        operation& created = this->operations[key];
        created.key = key;
        created.fingerprint = hash_bytes(key);
        return created;
    }

    // Adds a request, with a key chosen by the caller or one issued by a VM.
    void add()
    {
        const auto at = static_cast<std::size_t>(
            this->vms.below(static_cast<std::int64_t>(this->vms.nodes.size())));
        std::string key = "caller-" + std::to_string(this->operations.size());
        const node& issuer = this->vms.nodes[at];
        if (issuer.alive && this->vms.below(2) == 0)
            key = issuer.once->issue_key(this->vms.wall(at)).value_or(key);
        operation& created = this->create(key);
        this->call(created);
        if (this->vms.below(4) == 0)
            this->call(created); // the same request twice at the same time
    }

    int total_runs() const
    {
        int runs = 0;
        for (const auto& [key, each] : this->operations)
            runs += each.runs;
        return runs;
    }
};

// Short durations, so that a run of about 40 s contains expiry, takeovers and partitions
// longer than all limits.
options short_durations()
{
    return {.retention = 15s,
            .unconfirmed_limit = 6s,
            .key_lifetime = 12s,
            .ack_timeout = 300ms,
            .ack_lease = 600ms,
            .failover_delay = 300ms,
            .takeover_delay = 2s,
            .store_timeout = 1s,
            .scan_interval = 1s,
            .balance_interval = 3s};
}

// Injects a random fault, which ends after a random time.
void inject(fleet& vms)
{
    const auto count = static_cast<std::int64_t>(vms.nodes.size());
    const auto one = static_cast<std::size_t>(vms.below(count));
    const auto two = static_cast<std::size_t>(vms.below(count));
    const duration length(vms.below(6'000'000));
    const auto cut = [&vms](std::size_t from, std::size_t to, bool blocked)
    {
        if (from != to)
            vms.blocked[from][to] = blocked;
    };
    switch (vms.below(9))
    {
    case 0:
    case 1:
        if (!vms.nodes[one].alive)
            break;
        vms.kill(one);
        vms.clock.after(length / 2, [&vms, one] { vms.start(one); });
        break;
    case 2:
        vms.nodes[one].paused_until = vms.clock.now + length;
        break;
    case 3:
        cut(one, two, true);
        vms.clock.after(length, [=] { cut(one, two, false); });
        break;
    case 4: // isolates one VM from all others and perhaps from the store
        for (std::size_t other = 0; other < vms.nodes.size(); ++other)
        {
            cut(one, other, true);
            cut(other, one, true);
            vms.clock.after(length,
                            [=]
                            {
                                cut(one, other, false);
                                cut(other, one, false);
                            });
        }
        vms.cut_from_store[one] = vms.below(2) == 0;
        vms.clock.after(length, [&vms, one] { vms.cut_from_store[one] = false; });
        break;
    case 5: // isolates two VMs, which still reach each other
        for (std::size_t other = 0; other < vms.nodes.size(); ++other)
        {
            for (const std::size_t inside : {one, two})
            {
                const bool across = other != one && other != two;
                if (!across)
                    continue;
                cut(inside, other, true);
                cut(other, inside, true);
                vms.clock.after(2 * length,
                                [=]
                                {
                                    cut(inside, other, false);
                                    cut(other, inside, false);
                                });
            }
        }
        vms.cut_from_store[one] = vms.cut_from_store[two] = true;
        vms.clock.after(2 * length, [&vms, one, two]
                        { vms.cut_from_store[one] = vms.cut_from_store[two] = false; });
        break;
    case 6:
        vms.fault.store_down = true;
        vms.clock.after(length, [&vms] { vms.fault.store_down = false; });
        break;
    case 7:
        vms.fault.store_lost = 0.5;
        vms.fault.store_delay = duration(vms.below(400'000));
        vms.clock.after(length,
                        [&vms]
                        {
                            vms.fault.store_lost = 0;
                            vms.fault.store_delay = 4ms;
                        });
        break;
    default:
        vms.fault.message_loss = 0.2;
        vms.fault.message_copy = 0.2;
        vms.fault.message_tail = 0.2;
        vms.clock.after(length,
                        [&vms]
                        {
                            vms.fault.message_loss = 0;
                            vms.fault.message_copy = 0;
                            vms.fault.message_tail = 0;
                        });
    }
}

} // namespace

// Guards against a second execution of a key, and against a false report that a request
// was not executed, under any mix of kills, pauses, partitions, lost, late and duplicated
// messages and store faults. Number of seeds from 1 to 100 that fail when a mechanism is
// removed: acknowledgement by the backup 89, lease check before a request is reported as
// not executed 69, epochs of issued keys 46, acknowledgement by a joining VM 2.
BOOST_AUTO_TEST_CASE(no_key_runs_twice_under_random_faults)
{
    const char* const first_text = std::getenv("ONCE_SEED");
    const char* const count_text = std::getenv("ONCE_SEEDS");
    const std::uint64_t first = first_text != nullptr ? std::stoull(first_text) : 1;
    const std::uint64_t count = count_text != nullptr ? std::stoull(count_text) : 100;
    std::map<std::string, int> answers;
    int runs = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        fleet vms({.nodes = 3 + seed % 3,
                   .centres = 2 + seed % 2,
                   .seed = seed,
                   .tick = 50ms,
                   .suspect = 800ms,
                   .drifting_clocks = true,
                   .each = short_durations()});
        workload load{.vms = vms};
        vms.run_for(4s);
        for (int step = 0; step < 60; ++step)
        {
            if (step % 4 == 0 && step < 48)
                inject(vms);
            for (int request = 0; request < 4; ++request)
                load.add();
            vms.run_for(500ms);
        }
        for (const std::string& each : load.violations)
            BOOST_ERROR("seed " << seed << ": " << each);
        for (const auto& [name, number] : load.answers)
            answers[name] += number;
        runs += load.total_runs();
    }
    for (const auto& [name, number] : answers)
        BOOST_TEST_MESSAGE(name << ": " << number);
    BOOST_TEST_MESSAGE("runs: " << runs);
    BOOST_TEST(runs > 0);
}
