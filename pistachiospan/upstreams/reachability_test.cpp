// Tells a cut of this VM from upstreams that fail.

#include "pistachiospan/upstreams/internal/reachability.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;
using upstreams::internal::reachability;

namespace
{

constexpr time_point start(1000s);

} // namespace

// Guards against a VM that takes itself for cut off because some upstreams crash, and
// against one that does not notice that all of them are out of reach.
BOOST_AUTO_TEST_CASE(cut_is_several_failures_and_no_contact)
{
    reachability links;
    links.note_contact(start);
    for (const char* id : {"u1", "u2", "u1", "u2"})
        links.note_failure(start + 1s, start + 900ms, id);
    BOOST_TEST(!links.is_cut_off(start + 1s));
    links.note_failure(start + 1s, start + 900ms, "u3");
    BOOST_TEST(links.is_cut_off(start + 1s));
    // While nothing is sent, it goes on.
    BOOST_TEST(links.is_cut_off(start + 60s));
    BOOST_TEST(links.note_contact(start + 61s));
    BOOST_TEST(!links.is_cut_off(start + 61s));
    BOOST_TEST(!links.note_contact(start + 62s));
}

// Guards against upstreams that crash together being taken for a cut, and against old
// failures that are reported late.
BOOST_AUTO_TEST_CASE(contact_meanwhile_shows_that_there_is_no_cut)
{
    reachability links;
    links.note_contact(start);
    for (const char* id : {"u1", "u2", "u3", "u4"})
        links.note_failure(start + 100ms, start + 50ms, id);
    BOOST_TEST(!links.is_cut_off(start + 100ms));
    links.note_contact(start + 200ms);
    for (const char* id : {"u1", "u2", "u3", "u4"})
        links.note_failure(start + 1s, start + 150ms, id);
    BOOST_TEST(!links.is_cut_off(start + 2s));
}
