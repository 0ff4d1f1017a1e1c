#include "pistachiospan/edge/internal/change_watch.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;
using edge::internal::change_watch;

namespace
{

constexpr time_point start(100s);
constexpr duration interval = 250ms; // of the checks

} // namespace

// Guards against a VM that takes itself for behind because many changes come one after
// the other: it gave up a source that worked, and its data centre used upstreams that had
// left (DRAIN).
BOOST_AUTO_TEST_CASE(a_vm_that_gets_each_change_in_time_is_not_behind)
{
    change_watch watch;
    std::uint64_t change = 10;
    for (time_point now = start; now < start + 10s; now += interval, change += 5)
    {
        // Some other VM is always ahead by the changes of the last 100 ms.
        watch.check(now, change, change + 2);
        BOOST_TEST((watch.missing_for(now) <= interval));
    }
}

// Guards against a VM that gets no news and does not notice it while others go on.
BOOST_AUTO_TEST_CASE(a_change_that_stays_missing_is_noticed)
{
    change_watch watch;
    watch.check(start, 10, 10);
    BOOST_TEST((watch.missing_for(start) == duration(0)));
    std::uint64_t elsewhere = 12;
    for (time_point now = start + interval; now <= start + 1s; now += interval)
    {
        watch.check(now, 10, elsewhere++);
        BOOST_TEST((watch.missing_for(now) == now - start));
    }
    BOOST_TEST((watch.missing_since() == start));
    // It has caught up with that one and lacks a later one.
    watch.check(start + 1250ms, 13, elsewhere);
    BOOST_TEST((watch.missing_for(start + 1250ms) == interval));
}
