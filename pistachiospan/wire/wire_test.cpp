#include "pistachiospan/wire/wire.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;

namespace
{

struct fixture
{
    wire::sealer sender{{.self = {"vm-1"}, .self_incarnation = 7, .secret = "s3cret"}};
    wire::opener receiver{{.self = {"vm-2"}, .secret = "s3cret"}};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_sealed_message_opens_unchanged, fixture)
{
    const std::string bytes = sender.seal({"vm-2"}, "borrow", {{"amount", 3}});
    const auto outcome = receiver.open(bytes);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome.value().from.value == "vm-1");
    BOOST_TEST(outcome.value().type == "borrow");
    BOOST_TEST(outcome.value().content["amount"] == 3);
}

// Guards against accepting a recorded message that is sent again.
BOOST_FIXTURE_TEST_CASE(a_replayed_message_is_refused, fixture)
{
    const std::string bytes = sender.seal({"vm-2"}, "borrow", 1);
    BOOST_TEST(receiver.open(bytes).has_value());
    BOOST_TEST(!receiver.open(bytes).has_value());
    BOOST_TEST(receiver.refused() == 1U);
}

// Guards against refusing messages that were only reordered by the network.
BOOST_FIXTURE_TEST_CASE(reordered_messages_open_once_each, fixture)
{
    const std::string first = sender.seal({"vm-2"}, "borrow", 1);
    const std::string second = sender.seal({"vm-2"}, "borrow", 2);
    BOOST_TEST(receiver.open(second).has_value());
    BOOST_TEST(receiver.open(first).has_value());
    BOOST_TEST(!receiver.open(first).has_value());
}

// Guards against errors in the window's bookkeeping: after it has wrapped around, skipped
// sequence numbers are still accepted once, and seen ones are refused.
BOOST_FIXTURE_TEST_CASE(the_replay_window_is_exact_over_its_whole_size, fixture)
{
    std::vector<std::string> sent;
    for (std::size_t i = 0; i < 3 * wire::replay_window; ++i)
        sent.push_back(sender.seal({"vm-2"}, "m", i));
    for (std::size_t i = 0; i < sent.size(); i += 2)
        BOOST_REQUIRE(receiver.open(sent[i]).has_value());
    const std::size_t newest = sent.size() - 2;
    for (std::size_t i = 1; i < sent.size(); i += 2)
    {
        const bool in_window = i > newest || newest - i < wire::replay_window;
        BOOST_REQUIRE(receiver.open(sent[i]).has_value() == in_window);
        BOOST_REQUIRE(!receiver.open(sent[i]).has_value());
        BOOST_REQUIRE(!receiver.open(sent[i - 1]).has_value());
    }
}

// Guards against accepting a late message from a process that has been replaced.
BOOST_FIXTURE_TEST_CASE(a_message_of_an_earlier_incarnation_is_refused, fixture)
{
    const std::string earlier_message = sender.seal({"vm-2"}, "borrow", 1);
    wire::sealer restarted_sealer(
        {.self = {"vm-1"}, .self_incarnation = 8, .secret = "s3cret"});
    BOOST_TEST(receiver.open(restarted_sealer.seal({"vm-2"}, "borrow", 2)).has_value());
    BOOST_TEST(!receiver.open(earlier_message).has_value());
}

// Guards against accepting a message from outside the fleet or for another VM.
BOOST_FIXTURE_TEST_CASE(a_foreign_or_misdirected_message_is_refused, fixture)
{
    wire::sealer foreign_sealer(
        {.self = {"vm-1"}, .self_incarnation = 7, .secret = "other"});
    BOOST_TEST(!receiver.open(foreign_sealer.seal({"vm-2"}, "borrow", 1)).has_value());
    BOOST_TEST(!receiver.open(sender.seal({"vm-3"}, "borrow", 1)).has_value());
}

// Guards against a crash on damaged input, and against accepting it. Tries a change of
// each single byte and each truncation of a valid message.
BOOST_FIXTURE_TEST_CASE(damaged_messages_are_refused_and_change_nothing, fixture)
{
    const std::string bytes = sender.seal({"vm-2"}, "borrow", {{"amount", 3}});
    for (std::size_t at = 0; at < bytes.size(); ++at)
    {
        std::string damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x21);
        BOOST_TEST(!receiver.open(damaged).has_value());
        BOOST_TEST(!receiver.open(std::string_view(bytes).substr(0, at)).has_value());
    }
    BOOST_TEST(!receiver.open(std::string(wire::max_message_size + 1, 'x')).has_value());
    BOOST_TEST(receiver.open(bytes).has_value());
}
