#include "pistachiospan/capacity/capacity.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace pistachiospan;
using namespace pistachiospan::capacity;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start(1000s);
constexpr std::size_t ample = 1200; // bytes

load_message message_of(std::uint32_t sequence, std::vector<upstream_load> loads,
                        capacity::scope scope = scope::vm)
{
    return {
        .scope = scope, .process = 1, .sequence = sequence, .loads = std::move(loads)};
}

} // namespace

// Guards against an overloaded upstream that each VM alone believes to be idle: 65 VMs
// have a request there once in ten seconds each.
BOOST_AUTO_TEST_CASE(requests_of_all_vms_add_up)
{
    load_sums all;
    all.set_own(start, {{.upstream = 7, .requests = 1}});
    for (int vm = 0; vm < 13; ++vm)
        all.merge(start, "vm-" + std::to_string(vm),
                  message_of(1, {{.upstream = 7, .requests = 1}}));
    all.merge(start, "elsewhere",
              message_of(1, {{.upstream = 7, .requests = 51}}, scope::data_centre));
    BOOST_TEST(all.data_centre_loads(start).front().requests == 14U);
    BOOST_TEST(all.estimates(start).front().requests == 65U);
}

// Guards against a sum that is used although the upstream itself has reported since, and
// the other way round.
BOOST_AUTO_TEST_CASE(the_newer_of_sum_and_report_is_used)
{
    load_sums all;
    all.set_own(start, {{.upstream = 7,
                         .requests = 2,
                         .reported = reported_load{.requests = 9, .age = 300ms}}});
    BOOST_TEST(all.estimates(start).front().requests == 2U);
    all.merge(start, "vm-2",
              message_of(1, {{.upstream = 7,
                              .reported = reported_load{.requests = 11, .age = 40ms}}}));
    all.set_own(start - 1s, {{.upstream = 7, .requests = 2}});
    const upstream_load estimate = all.estimates(start).front();
    BOOST_TEST(estimate.requests == 11U);
    BOOST_TEST((estimate.age == 40ms));
}

// Guards against requests of a VM that has ended, or of its earlier process, which would
// stay in the sums.
BOOST_AUTO_TEST_CASE(silent_and_restarted_senders_are_forgotten)
{
    load_sums all;
    all.merge(start, "vm-2", message_of(9, {{.upstream = 7, .requests = 5}}));
    load_message restarted = message_of(1, {{.upstream = 7, .requests = 1}});
    restarted.process = 2;
    BOOST_TEST(all.merge(start, "vm-2", restarted));
    BOOST_TEST(all.estimates(start).front().requests == 1U);
    BOOST_TEST(all.estimates(start + 5s).empty());
}

// Guards against a message without room for all upstreams that drops the busiest, and
// against one that claims to be complete.
BOOST_AUTO_TEST_CASE(the_busiest_upstreams_are_sent_first)
{
    load_message message{.scope = scope::fleet};
    for (std::uint32_t each = 0; each < 250; ++each)
        message.loads.push_back({.upstream = each, .requests = each});
    const std::string bytes = encode(message, 222);
    BOOST_TEST(bytes.size() <= 222U);
    const load_message decoded = decode(bytes).value();
    BOOST_TEST(!decoded.complete);
    BOOST_TEST(decoded.loads.size() >= 34U); // all upstreams of a small region
    for (const upstream_load& each : decoded.loads)
        BOOST_TEST(each.requests >= 250 - decoded.loads.size());
}

// Guards against fields that are lost in encoding.
BOOST_AUTO_TEST_CASE(messages_are_received_as_sent)
{
    for (const capacity::scope of : {scope::vm, scope::data_centre, scope::fleet})
    {
        load_message message = message_of(
            70000,
            {{.upstream = 0xfedcba98, .requests = 200}, {.upstream = 1, .requests = 3}},
            of);
        if (of == scope::fleet)
            message.loads[0].age = 1200ms;
        else
            message.loads[0].reported = {.requests = 14, .age = 340ms};
        BOOST_TEST((decode(encode(message, ample)).value() == message));
    }
}

// Guards against sums that depend on the order in which messages arrive, or on messages
// that arrive twice.
BOOST_AUTO_TEST_CASE(sums_depend_neither_on_order_nor_on_repetition)
{
    const bool passed = rc::check(
        []
        {
            const auto count = [](std::uint32_t end)
            {
                return *rc::gen::inRange<std::uint32_t>(0, end);
            };
            std::vector<std::pair<std::string, load_message>> sent;
            for (int sender = 0; sender < 5; ++sender)
                for (std::uint32_t sequence = 1; sequence <= 3; ++sequence)
                {
                    std::vector<upstream_load> loads;
                    for (std::uint32_t key = count(4); key < 6; key += 1 + count(2))
                        loads.push_back(
                            {.upstream = key,
                             .requests = count(9),
                             .reported = reported_load{
                                 .requests = count(20),
                                 .age = count(5) * std::chrono::milliseconds(20)}});
                    sent.emplace_back(
                        std::to_string(sender),
                        message_of(sequence, std::move(loads),
                                   sender < 3 ? scope::vm : scope::data_centre));
                }
            load_sums in_order;
            for (const auto& [sender, message] : sent)
                in_order.merge(start, sender, message);
            for (std::size_t repeated = count(9); repeated > 0; --repeated)
                sent.push_back(sent[count(15)]);
            for (std::size_t at = sent.size() - 1; at > 0; --at)
                std::swap(sent[at], sent[count(static_cast<std::uint32_t>(at + 1))]);
            load_sums shuffled;
            for (const auto& [sender, message] : sent)
                shuffled.merge(start, sender, message);
            RC_ASSERT(shuffled.estimates(start + 1s) == in_order.estimates(start + 1s));
            RC_ASSERT(shuffled.data_centre_loads(start) ==
                      in_order.data_centre_loads(start));
        });
    BOOST_TEST(passed);
}
