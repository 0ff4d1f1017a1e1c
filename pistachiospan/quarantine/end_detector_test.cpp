// Tells ends of upstreams from other reasons for which connections close.

#include "pistachiospan/quarantine/quarantine.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;
using quarantine::connection_check;

namespace
{

constexpr time_point start(1000s);
const upstreams::upstream_start first{"u1", 1};
const upstreams::upstream_start second{"u2", 1};

quarantine::lost_request request(std::string_view path)
{
    return {.request = quarantine::fingerprint_of({"shop", "GET", "a.example", path, ""}),
            .service = "orders"};
}

} // namespace

// Guards against callers that are taken for each other, and against parts that run into
// each other.
BOOST_AUTO_TEST_CASE(fingerprints_differ_by_each_part)
{
    using quarantine::fingerprint_of;
    const auto usual = fingerprint_of({"shop", "GET", "a.example", "/read/1", "body"});
    BOOST_CHECK(usual == fingerprint_of({"shop", "GET", "a.example", "/read/1", "body"}));
    BOOST_CHECK(usual !=
                fingerprint_of({"rival", "GET", "a.example", "/read/1", "body"}));
    BOOST_CHECK(usual != fingerprint_of({"shop", "PUT", "a.example", "/read/1", "body"}));
    BOOST_CHECK(usual != fingerprint_of({"shop", "GET", "b.example", "/read/1", "body"}));
    BOOST_CHECK(usual != fingerprint_of({"shop", "GET", "a.example", "/read/2", "body"}));
    BOOST_CHECK(usual != fingerprint_of({"shop", "GET", "a.example", "/read/1", "bodz"}));
    BOOST_CHECK(usual != fingerprint_of({"shop", "GET", "a.example", "/read/1b", "ody"}));
}

// Guards against an end that is not noticed, and against one that is reported twice.
BOOST_AUTO_TEST_CASE(refused_connection_and_an_answer_elsewhere_show_an_end)
{
    quarantine::end_detector detector;
    BOOST_TEST(detector.note_closed(start, first, request("/1")));
    BOOST_TEST(!detector.note_closed(start + 1ms, first, request("/2")));
    BOOST_TEST(!detector.note_closed(start + 1ms, first, request("/2")));
    BOOST_TEST(detector.note_answer(start + 2ms, second).empty());
    detector.finish_check(start + 3ms, first, connection_check::refused);
    const auto ended = detector.note_answer(start + 4ms, second);
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended.front().upstream.id == "u1");
    BOOST_CHECK(ended.front().at == start);
    BOOST_TEST(ended.front().requests.size() == 2U);
    BOOST_TEST(detector.note_answer(start + 5ms, second).empty());
}

// Guards against requests that are blamed for a lost answer, for a connection that was
// reset, or because this VM was cut off from all upstreams.
BOOST_AUTO_TEST_CASE(closed_connections_alone_show_no_end)
{
    for (const connection_check outcome :
         {connection_check::accepted, connection_check::unclear})
    {
        quarantine::end_detector detector;
        detector.note_closed(start, first, request("/1"));
        detector.finish_check(start + 1ms, first, outcome);
        BOOST_TEST(detector.note_answer(start + 2ms, second).empty());
    }
    quarantine::end_detector answered;
    answered.note_closed(start, first, request("/1"));
    answered.finish_check(start + 1ms, first, connection_check::refused);
    BOOST_TEST(answered.note_answer(start + 2ms, first).empty());
    BOOST_TEST(answered.note_answer(start + 3ms, second).empty());
    quarantine::end_detector cut_off;
    for (const auto& upstream : {first, second})
    {
        cut_off.note_closed(start, upstream, request("/1"));
        cut_off.finish_check(start + 1ms, upstream, connection_check::refused);
    }
    BOOST_TEST(cut_off.note_answer(start + 5s, {"u3", 1}).empty());
}
