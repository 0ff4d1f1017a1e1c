#include "pistachiospan/event_log/event_log.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;

// Guards against composing the fields of suppressed lines, which costs time in an
// overload.
BOOST_AUTO_TEST_CASE(fields_are_made_only_for_written_lines)
{
    event_log::event_log log({.vm = "vm-1", .lines_per_second = 1, .burst = 3});
    int calls = 0;
    const auto fields = [&calls]
    {
        ++calls;
        return nlohmann::ordered_json{{"reason", "too_late"}};
    };
    const time_point start(100s);
    for (int each = 0; each < 10; ++each)
        log.write(start, wall_time(), "refused", fields);
    BOOST_TEST(calls == 3);
    BOOST_TEST(log.suppressed_lines() == 7U);
    log.write(start + 2s, wall_time(), "refused", fields);
    BOOST_TEST(calls == 4);
}

// Guards against events of one name that use up the rate limit of another.
BOOST_AUTO_TEST_CASE(each_event_has_its_own_rate)
{
    event_log::event_log log({.vm = "vm-1", .lines_per_second = 1, .burst = 2});
    const time_point start(100s);
    for (int each = 0; each < 5; ++each)
        log.write(start, wall_time(), "refused", nlohmann::ordered_json::object());
    BOOST_TEST(log.suppressed_lines() == 3U);
    log.write(start, wall_time(), "stopping", nlohmann::ordered_json::object());
    BOOST_TEST(log.suppressed_lines() == 3U);
}
