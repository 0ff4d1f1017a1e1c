#include "pistachiospan/wire/wire.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;

namespace
{

struct pair
{
    wire::sealer out{{.self = {"vm-1"}, .self_incarnation = 7, .secret = "s3cret"}};
    wire::opener in{{.self = {"vm-2"}, .secret = "s3cret"}};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_sealed_message_opens_unchanged, pair)
{
    const std::string bytes = out.seal({"vm-2"}, "borrow", {{"amount", 3}});
    const auto received = in.open(bytes);
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(received.value().from.value == "vm-1");
    BOOST_TEST(received.value().type == "borrow");
    BOOST_TEST(received.value().content["amount"] == 3);
}

// Guards against a recorded message being sent again.
BOOST_FIXTURE_TEST_CASE(a_replayed_message_is_refused, pair)
{
    const std::string bytes = out.seal({"vm-2"}, "borrow", 1);
    BOOST_TEST(in.open(bytes).has_value());
    BOOST_TEST(!in.open(bytes).has_value());
    BOOST_TEST(in.refused() == 1U);
}

// Guards against refusing messages that the network only reordered.
BOOST_FIXTURE_TEST_CASE(reordered_messages_open_once_each, pair)
{
    const std::string first = out.seal({"vm-2"}, "borrow", 1);
    const std::string second = out.seal({"vm-2"}, "borrow", 2);
    BOOST_TEST(in.open(second).has_value());
    BOOST_TEST(in.open(first).has_value());
    BOOST_TEST(!in.open(first).has_value());
}

// Guards against a window that forgets: after wrapping around, numbers that were skipped
// are still accepted once, and all seen ones are refused.
BOOST_FIXTURE_TEST_CASE(the_replay_window_is_exact_over_its_whole_size, pair)
{
    std::vector<std::string> sent;
    for (std::size_t i = 0; i < 3 * wire::replay_window; ++i)
        sent.push_back(out.seal({"vm-2"}, "m", i));
    for (std::size_t i = 0; i < sent.size(); i += 2)
        BOOST_REQUIRE(in.open(sent[i]).has_value());
    const std::size_t newest = sent.size() - 2;
    for (std::size_t i = 1; i < sent.size(); i += 2)
    {
        const bool in_window = i > newest || newest - i < wire::replay_window;
        BOOST_REQUIRE(in.open(sent[i]).has_value() == in_window);
        BOOST_REQUIRE(!in.open(sent[i]).has_value());
        BOOST_REQUIRE(!in.open(sent[i - 1]).has_value());
    }
}

// Guards against a message of a replaced process taking effect late.
BOOST_FIXTURE_TEST_CASE(a_message_of_an_earlier_incarnation_is_refused, pair)
{
    const std::string late = out.seal({"vm-2"}, "borrow", 1);
    wire::sealer restarted({.self = {"vm-1"}, .self_incarnation = 8, .secret = "s3cret"});
    BOOST_TEST(in.open(restarted.seal({"vm-2"}, "borrow", 2)).has_value());
    BOOST_TEST(!in.open(late).has_value());
}

// Guards against accepting a message from outside the fleet or for another VM.
BOOST_FIXTURE_TEST_CASE(a_foreign_or_misdirected_message_is_refused, pair)
{
    wire::sealer foreign({.self = {"vm-1"}, .self_incarnation = 7, .secret = "other"});
    BOOST_TEST(!in.open(foreign.seal({"vm-2"}, "borrow", 1)).has_value());
    BOOST_TEST(!in.open(out.seal({"vm-3"}, "borrow", 1)).has_value());
}

// Guards against a crash or an accepted message on damaged input: every single-byte
// change and every truncation of a valid message.
BOOST_FIXTURE_TEST_CASE(damaged_messages_are_refused_and_change_nothing, pair)
{
    const std::string bytes = out.seal({"vm-2"}, "borrow", {{"amount", 3}});
    for (std::size_t at = 0; at < bytes.size(); ++at)
    {
        std::string damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x21);
        BOOST_TEST(!in.open(damaged).has_value());
        BOOST_TEST(!in.open(std::string_view(bytes).substr(0, at)).has_value());
    }
    BOOST_TEST(!in.open(std::string(wire::max_message_size + 1, 'x')).has_value());
    BOOST_TEST(in.open(bytes).has_value());
}
