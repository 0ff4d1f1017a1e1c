#include "pistachiospan/edge/internal/store_attempts.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;
using edge::internal::store_attempts;

namespace
{

constexpr time_point start(100s);
constexpr duration retry = 700ms;
constexpr std::size_t many_vms = 33; // of a data centre

} // namespace

// Guards against a VM that stays for 11 s with a coordinator that gets no news (DRAIN),
// because it has read the store a few seconds ago, with success.
BOOST_AUTO_TEST_CASE(vm_that_has_read_the_store_may_read_it_again)
{
    store_attempts attempts(retry);
    BOOST_TEST(attempts.is_due(start, many_vms));
    attempts.note(start, true);
    BOOST_TEST(attempts.is_due(start + 1s, many_vms));
}

// Guards against hundreds of VMs that keep asking a store which refuses them.
BOOST_AUTO_TEST_CASE(vms_share_the_attempts_at_a_store_that_fails)
{
    store_attempts attempts(retry);
    attempts.note(start, false);
    BOOST_TEST(!attempts.is_due(start + 600ms, 1));
    BOOST_TEST(attempts.is_due(start + 700ms, 1));
    BOOST_TEST(!attempts.is_due(start + 11s, many_vms));
    BOOST_TEST(attempts.is_due(start + 12s, many_vms));
}
