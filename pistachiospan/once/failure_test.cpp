#include "pistachiospan/once/internal/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::once;
using namespace pistachiospan::once::test;

namespace
{

fleet_options settings(std::size_t nodes, std::size_t centres, options each = {})
{
    return {.nodes = nodes, .centres = centres, .seed = 7, .each = std::move(each)};
}

struct answer
{
    std::size_t at = 0; // VM that took the decision
    std::optional<decision> reply;

    std::string text() const
    {
        if (!this->reply)
            return "none";
        if (this->reply->kind == decision_kind::execute)
            return "execute";
        if (this->reply->kind == decision_kind::replay)
            return "replay " + this->reply->recorded_outcome.body;
        if (this->reply->kind == decision_kind::relay)
            return "relay";
        const refusal& reason = this->reply->reason;
        return reason.code +
               (reason.execution == execution_status::not_executed ? " no" : " unknown");
    }
};

// Simulated VMs, with functions to send single requests.
struct request_fleet : fleet
{
    explicit request_fleet(const fleet_options& options) : fleet(options)
    {
        this->run_for(6s); // until all shards have a view
    }

    answer begin(std::size_t at, const std::string& key, std::uint64_t fingerprint,
                 std::uint32_t relay_count)
    {
        const auto reply = std::make_shared<std::optional<decision>>();
        this->nodes[at].once->begin(this->local(at),
                                    {.account = "north",
                                     .key = key,
                                     .fingerprint = fingerprint,
                                     .deadline = this->local(at) + 2s,
                                     .relay_count = relay_count,
                                     .wall_now = this->wall(at)},
                                    [reply](decision value)
                                    { *reply = std::move(value); });
        for (int step = 0; step < 250 && !*reply; ++step)
            this->run_for(10ms);
        return {.at = at, .reply = *reply};
    }

    // Sends a request and follows relays to other VMs.
    answer submit(std::size_t at, const std::string& key, std::uint64_t fingerprint = 1)
    {
        answer last = this->begin(at, key, fingerprint, 0);
        for (std::uint32_t relay_count = 1; last.text() == "relay"; ++relay_count)
            last = this->begin(index_of(last.reply->relay_to), key, fingerprint,
                               relay_count);
        return last;
    }

    void finish(const answer& permitted, outcome result)
    {
        this->nodes[permitted.at].once->finish(
            this->local(permitted.at), permitted.reply->attempt, std::move(result));
    }

    // Sends a new request and reports its completion.
    std::size_t complete(std::size_t at, const std::string& key)
    {
        const answer permitted = this->submit(at, key);
        BOOST_REQUIRE_EQUAL(permitted.text(), "execute");
        this->finish(permitted, {.status = 201, .body = "done " + key});
        return permitted.at;
    }

    static std::size_t index_of(const vm_id& id)
    {
        return std::stoul(id.value.substr(3));
    }

    // Blocks or unblocks the link between two VMs.
    void separate(std::size_t one, std::size_t two, bool blocked)
    {
        this->blocked[one][two] = blocked;
        this->blocked[two][one] = blocked;
    }

    // Returns a key, chosen by the caller, whose primary is `vm`.
    std::string key_at(std::size_t vm, const std::string& prefix)
    {
        for (int number = 0;; ++number)
        {
            std::string key = prefix + std::to_string(number);
            const answer first = this->submit(vm, key);
            if (first.text() == "execute" && first.at == vm)
            {
                this->finish(first, {.kind = outcome_kind::not_run});
                this->run_for(50ms);
                return key;
            }
            if (first.text() == "execute")
                this->finish(first, {.kind = outcome_kind::not_run});
        }
    }

    std::size_t primaries() const
    {
        std::size_t count = 0;
        for (const node& each : this->nodes)
            count += each.alive ? each.once->primary_count() : 0;
        return count;
    }
};

} // namespace

// Guards against the loss of records when a VM dies: the answer must be replayed after
// the primary has died, and after its successor has died too.
BOOST_AUTO_TEST_CASE(an_outcome_survives_two_vms_that_die_one_after_another)
{
    request_fleet vms(settings(4, 2));
    const std::size_t first = vms.complete(0, "order-1");
    vms.run_for(1s);
    vms.kill(first);
    vms.run_for(10s);
    const std::size_t other = (first + 1) % 4;
    const answer second = vms.submit(other, "order-1");
    BOOST_TEST(second.text() == "replay done order-1");
    vms.kill(second.at);
    vms.run_for(10s);
    const std::size_t last = vms.nodes[other].alive ? other : (first + 2) % 4;
    BOOST_TEST(vms.submit(last, "order-1").text() == "replay done order-1");
}

// Guards against a primary that reports a request as not executed although the backup,
// from which it is partitioned, has executed the key in a newer view.
BOOST_AUTO_TEST_CASE(a_superseded_primary_does_not_report_not_executed)
{
    request_fleet vms(settings(2, 2));
    const std::string key = vms.key_at(0, "claim-");
    vms.separate(0, 1, true);
    vms.cut_from_store[0] = true;
    BOOST_TEST(vms.submit(0, key + "x").text() != "execute");
    vms.run_for(10s);
    const answer permitted = vms.submit(1, key);
    BOOST_TEST(permitted.text() == "execute");
    BOOST_TEST(permitted.at == 1U);
    BOOST_TEST(vms.submit(0, key).text() == "shard_unavailable unknown");
}

// Guards against a key that stays blocked, or is executed twice, after the upstream
// refused the request.
BOOST_AUTO_TEST_CASE(a_refused_request_frees_its_key)
{
    request_fleet vms(settings(3, 3));
    const answer permitted = vms.submit(0, "order-1");
    BOOST_REQUIRE_EQUAL(permitted.text(), "execute");
    BOOST_TEST(vms.submit(1, "order-1").text() == "in_progress unknown");
    vms.finish(permitted, {.kind = outcome_kind::not_run});
    const answer again = vms.submit(2, "order-1");
    BOOST_TEST(again.text() == "execute");
    vms.finish(permitted, {.status = 200, .body = "late"}); // already finished: no effect
    vms.finish(again, {.kind = outcome_kind::unknown});
    BOOST_TEST(vms.submit(1, "order-1").text() == "outcome_unknown unknown");
}

// Guards against the use of one key for two different requests, and against stored
// answers that exhaust the memory.
BOOST_AUTO_TEST_CASE(other_requests_are_refused_and_large_bodies_are_not_kept)
{
    request_fleet vms(settings(3, 3));
    const answer permitted = vms.submit(0, "order-1", 1);
    vms.finish(permitted, {.status = 200,
                           .headers = {{"Content-Type", "text/plain"},
                                       {"X-Large", std::string(2000, 'h')}},
                           .body = std::string(20'000, 'b')});
    BOOST_TEST(vms.submit(1, "order-1", 2).text() == "key_reused no");
    const answer replayed = vms.submit(1, "order-1", 1);
    BOOST_REQUIRE_EQUAL(replayed.text(), "replay ");
    BOOST_TEST(!replayed.reply->recorded_outcome.body_kept);
    BOOST_TEST(replayed.reply->recorded_outcome.headers.size() == 1U);
    BOOST_TEST(vms.submit(0, std::string(300, 'k')).text() == "invalid_key no");
    BOOST_TEST(vms.submit(0, "p1-1-1-1-forged-0123").text() == "invalid_key no");
}

// Guards against the removal of a record before its retention ends because the VM has no
// room, and against a record that expires while its request is still running.
BOOST_AUTO_TEST_CASE(a_full_vm_refuses_and_keeps_its_records)
{
    request_fleet vms(settings(2, 2, {.retention = 60s, .max_records = 20}));
    const answer running = vms.submit(0, "running");
    BOOST_REQUIRE_EQUAL(running.text(), "execute");
    for (int number = 1; number < 20; ++number)
        vms.complete(0, "order-" + std::to_string(number));
    BOOST_TEST(vms.submit(0, "one-more").text() == "records_full no");
    BOOST_TEST(vms.submit(1, "order-1").text() == "replay done order-1");
    vms.run_for(130s);
    BOOST_TEST(vms.submit(0, "running").text() == "in_progress unknown");
    BOOST_TEST(vms.submit(0, "one-more").text() == "execute");
    vms.kill(running.at);
    vms.run_for(10s);
    BOOST_TEST(vms.submit(1 - running.at, "running").text() == "outcome_unknown unknown");
}

// Guards against a second execution of a key after both members of its shard were lost,
// and against refusals of issued keys that are new.
BOOST_AUTO_TEST_CASE(issued_keys_stay_at_most_once_after_the_loss_of_both_members)
{
    request_fleet vms(settings(3, 3, {.retention = 60s, .unconfirmed_limit = 60s}));
    const std::string old_key = vms.nodes[0].once->issue_key(vms.wall(0)).value();
    vms.complete(0, old_key);
    vms.complete(0, "caller-1");
    for (std::size_t each = 0; each < 3; ++each)
    {
        vms.kill(each);
        vms.start(each);
    }
    vms.run_for(20s);
    BOOST_TEST(vms.primaries() == 64U);
    BOOST_TEST(vms.submit(1, old_key).text() == "records_lost unknown");
    BOOST_TEST(vms.submit(1, "caller-1").text() == "records_lost unknown");
    vms.complete(1, vms.nodes[1].once->issue_key(vms.wall(1)).value());
    vms.run_for(125s);
    BOOST_TEST(vms.submit(1, "caller-2").text() == "execute");
}

// Guards against a partitioned pair that refuses issued keys, and against keys that are
// executed both there and by the pair that took over on the other side.
BOOST_AUTO_TEST_CASE(a_partitioned_pair_still_executes_issued_keys)
{
    request_fleet vms(settings(4, 4, {.unconfirmed_limit = 30s}));
    for (const std::size_t inside : {0U, 1U})
    {
        vms.cut_from_store[inside] = true;
        for (const std::size_t outside : {2U, 3U})
            vms.separate(inside, outside, true);
    }
    vms.run_for(60s);
    std::string inside_key;
    answer permitted;
    for (int tries = 0; tries < 100 && permitted.text() != "execute"; ++tries)
    {
        inside_key = vms.nodes[0].once->issue_key(vms.wall(0)).value();
        permitted = vms.submit(0, inside_key);
    }
    BOOST_TEST(permitted.text() == "execute");
    BOOST_TEST(vms.submit(2, inside_key).text() != "execute");
    const std::string outside_key = vms.nodes[2].once->issue_key(vms.wall(2)).value();
    BOOST_TEST(vms.submit(2, outside_key).text() == "execute");
    BOOST_TEST(vms.submit(0, outside_key).text() != "execute");
}

// Guards against a planned shutdown that loses records or interrupts requests.
BOOST_AUTO_TEST_CASE(a_leaving_vm_hands_over_before_it_exits)
{
    request_fleet vms(settings(4, 2));
    for (int number = 0; number < 40; ++number)
        vms.complete(0, "order-" + std::to_string(number));
    const answer running = vms.submit(2, vms.key_at(2, "slow-"));
    vms.nodes[2].leaving = true;
    vms.nodes[2].once->leave(vms.local(2));
    duration passed{0};
    const time_point began = vms.clock.now;
    for (int number = 0; vms.clock.now - began < 3s; ++number)
    {
        // A request that arrives during the handover waits for it.
        vms.complete(static_cast<std::size_t>(number % 4),
                     "new-" + std::to_string(number));
        vms.run_for(1ms);
        if (!vms.nodes[2].once->has_left())
            passed = vms.clock.now - began;
    }
    BOOST_TEST_MESSAGE("handed over in " << passed.count() / 1000 << " ms");
    BOOST_TEST(vms.nodes[2].once->has_left());
    vms.finish(running, {.status = 200, .body = "slow"});
    vms.run_for(1s);
    vms.kill(2);
    for (int number = 0; number < 40; ++number)
    {
        const std::string key = "order-" + std::to_string(number);
        BOOST_TEST(vms.submit(1, key).text() == "replay done " + key);
    }
}

// Guards against messages above the size limit of the transport, and against a view that
// names a backup before it has all records.
BOOST_AUTO_TEST_CASE(a_new_backup_receives_large_state_in_parts)
{
    request_fleet vms(settings(3, 1, {.retention = 3h, .max_kept_bytes = 64U << 20U}));
    std::vector<std::string> keys;
    const outcome large{.status = 200, .body = std::string(16'000, 'b')};
    for (int number = 0; number < 600; ++number)
    {
        keys.push_back("order-" + std::to_string(number));
        vms.finish(vms.submit(0, keys.back()), large);
    }
    vms.largest = 0;
    vms.count_bytes = true;
    for (const std::size_t victim : {0U, 1U})
    {
        vms.kill(victim);
        vms.start(victim);
        vms.run_for(30s);
    }
    BOOST_TEST(vms.largest > max_part_size / 2);
    BOOST_TEST(vms.largest < max_part_size + 4096);
    for (const std::string& key : keys)
        BOOST_TEST(vms.submit(2, key).text() == "replay " + large.body);
}

// Guards against a backup that never acknowledges. A VM can be reported as live by others
// before its incarnation is known, and updates to an unknown incarnation are not
// acknowledged. A view that named such a VM could not be replaced while the store was
// down, so its keys were refused.
BOOST_AUTO_TEST_CASE(a_vm_whose_process_is_unknown_is_no_backup)
{
    fleet_options options = settings(3, 1);
    options.incarnation_delay = 8s;
    request_fleet vms(options);
    vms.fault.store_down = true;
    vms.run_for(5s);
    for (int number = 0; number < 64; ++number)
    {
        const std::string key = "order-" + std::to_string(number);
        BOOST_TEST(vms.submit(0, key).text() == "execute");
    }
}

// Guards against many store writes when a peer alternates between live and not live.
BOOST_AUTO_TEST_CASE(a_flapping_peer_costs_few_writes)
{
    request_fleet vms(settings(4, 2));
    const std::uint64_t before = vms.rows.writes;
    for (int flap = 0; flap < 60; ++flap)
    {
        vms.separate(0, 1, true);
        vms.run_for(5s);
        vms.separate(0, 1, false);
        vms.run_for(5s);
    }
    BOOST_TEST_MESSAGE("writes in 10 min of flapping: " << vms.rows.writes - before);
    BOOST_TEST(vms.rows.writes - before < 200U);
    BOOST_TEST(vms.primaries() == 64U);
}

// Guards against malformed messages that crash the executor or change its state.
BOOST_AUTO_TEST_CASE(malformed_messages_are_counted_and_change_nothing)
{
    request_fleet vms(settings(3, 3));
    vms.complete(0, "order-1");
    executor& target = *vms.nodes[1].once;
    const std::size_t records = target.record_count();
    const wire::body samples[] = {
        nullptr,
        5,
        "text",
        wire::body::array(),
        wire::body::object(),
        wire::body::array({64, 1, 1, 1, 0, 0, 0, wire::body::array()}),
        wire::body::array({1, 1, 1, 1, 0, 0, 0, {{1, 2, 3}}}),
        wire::body::array({1, 1, 1, 0, 0, 9, wire::body::array()}),
        {{"shard", 70}, {"row", 5}}};
    for (const char* type : {"intent", "intent_ack", "outcome", "shard_state", "other"})
    {
        for (const wire::body& each : samples)
            target.receive(vms.local(1), {"vm-0"}, type, each);
    }
    BOOST_TEST(target.totals().malformed == 5U * std::size(samples));
    BOOST_TEST(target.record_count() == records);
    BOOST_TEST(vms.submit(1, "order-1").text() == "replay done order-1");
}
