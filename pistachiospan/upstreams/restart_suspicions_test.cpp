#include "pistachiospan/upstreams/restart_suspicions.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;
using upstreams::restart_suspicions;
using upstreams::upstream_start;

namespace
{

constexpr time_point start(1000s);
constexpr duration cold_time = 3s;
const upstream_start suspect{"u1", 7};

// A suspicion of which the sign was seen at `start`.
restart_suspicions suspected()
{
    restart_suspicions all;
    all.note_sign(start, suspect);
    all.note_contact(start + 20ms, start + 1ms);
    return all;
}

// What another VM tells `delay` later than it knew it.
bool tell(const restart_suspicions& from, restart_suspicions& to, time_point now,
          duration delay)
{
    bool is_new = false;
    for (const auto& each : from.changed_since(now, 1min))
        is_new |= to.merge(now + delay, each);
    return is_new;
}

} // namespace

// Guards against a cold time that ends while the upstream is still down, and against one
// that each answer prolongs.
BOOST_AUTO_TEST_CASE(cold_time_runs_from_the_first_acceptance)
{
    restart_suspicions all = suspected();
    BOOST_CHECK(all.cold_until(suspect, cold_time) == time_point::max());
    BOOST_TEST(!all.note_accepted(start + 30ms, suspect, start - 10ms));
    BOOST_TEST(all.note_accepted(start + 900ms, suspect, start + 800ms));
    BOOST_TEST(!all.note_accepted(start + 950ms, suspect, start + 850ms));
    BOOST_CHECK(all.cold_until(suspect, cold_time) == start + 900ms + cold_time);
    BOOST_CHECK(all.cold_until({"u1", 8}, cold_time) == time_point::min());
    BOOST_CHECK(all.cold_until(suspect, 0s) == time_point::min());
    // It ends again.
    all.note_sign(start + 2s, suspect);
    BOOST_CHECK(all.cold_until(suspect, cold_time) == time_point::max());
}

// Guards against a VM that tells others of upstreams that only its own links have lost.
BOOST_AUTO_TEST_CASE(signs_of_a_vm_that_is_cut_off_are_not_told)
{
    restart_suspicions all;
    all.note_sign(start, suspect);
    BOOST_TEST(all.changed_since(start, 3s).empty());
    // An answer that was on its way when the link was lost.
    BOOST_TEST(all.note_contact(start + 20ms, start - 10ms).empty());
    BOOST_TEST(all.changed_since(start + 20ms, 3s).empty());
    BOOST_TEST(all.drop_unconfirmed().size() == 1U);
    BOOST_TEST(all.note_contact(start + 2s, start + 1s).empty());
    BOOST_CHECK(all.cold_until(suspect, cold_time) == time_point::min());
    all.note_sign(start + 3s, suspect);
    BOOST_TEST(all.note_contact(start + 4s, start + 3100ms).size() == 1U);
    BOOST_TEST(all.changed_since(start + 4s, 3s).size() == 1U);
}

// Guards against VMs that tell each other of one restart again and again as of a new one:
// each message makes it look later by its delay.
BOOST_AUTO_TEST_CASE(told_restart_does_not_come_back_as_new)
{
    restart_suspicions first = suspected();
    restart_suspicions second;
    BOOST_TEST(tell(first, second, start + 100ms, 90ms));
    BOOST_TEST(!tell(first, second, start + 200ms, 90ms));
    for (int step = 0; step < 100; ++step)
    {
        BOOST_TEST(!tell(second, first, start + step * 100ms, 90ms));
        BOOST_TEST(!tell(first, second, start + step * 100ms, 90ms));
    }
    first.note_accepted(start + 1s, suspect, start + 900ms);
    BOOST_TEST(tell(first, second, start + 1s, 20ms));
    BOOST_TEST(!tell(second, first, start + 2s, 20ms));
    BOOST_CHECK(second.cold_until(suspect, cold_time) == start + 1020ms + cold_time);
    // A second restart is new.
    second.note_sign(start + 3s, suspect);
    second.note_contact(start + 3100ms, start + 3050ms);
    BOOST_TEST(tell(second, first, start + 3100ms, 20ms));
    BOOST_CHECK(first.cold_until(suspect, cold_time) == time_point::max());
}

// Guards against an acceptance that is lost when VMs see the same outage at different
// times: the upstream would stay cold without end where it gets no requests.
BOOST_AUTO_TEST_CASE(acceptance_holds_for_later_signs_of_the_same_outage)
{
    restart_suspicions first = suspected();
    first.note_accepted(start + 1s, suspect, start + 950ms);
    restart_suspicions second;
    second.note_sign(start + 800ms, suspect);
    tell(first, second, start + 1010ms, 5ms);
    second.note_contact(start + 1020ms, start + 900ms);
    BOOST_CHECK(second.cold_until(suspect, cold_time) < time_point::max());
    tell(second, first, start + 1030ms, 5ms);
    BOOST_CHECK(first.cold_until(suspect, cold_time) < time_point::max());
}

// Guards against an entry that was written before the upstream ended and arrives late,
// and against a healthy upstream that stays cold although the registry shows it.
BOOST_AUTO_TEST_CASE(entry_ends_the_suspicion_only_if_written_since)
{
    restart_suspicions all = suspected();
    BOOST_TEST(!all.note_entry(suspect, start - 1ms));
    BOOST_TEST(!all.note_entry({"u1", 8}, start + 1s));
    BOOST_CHECK(all.cold_until(suspect, cold_time) == time_point::max());
    restart_suspicions other;
    tell(all, other, start + 100ms, 5ms);
    BOOST_TEST(all.note_entry(suspect, start + 1s));
    BOOST_TEST(!all.note_entry(suspect, start + 2s));
    BOOST_CHECK(all.cold_until(suspect, cold_time) == time_point::min());
    BOOST_TEST(all.changed_since(start + 1s, 3s).empty());
    // Another VM, which has not read the entry yet, tells the same sign.
    BOOST_TEST(!tell(other, all, start + 1s, 5ms));
    BOOST_CHECK(all.cold_until(suspect, cold_time) == time_point::min());
}

// Guards against suspicions that are kept for ever, and against one that is forgotten
// while its upstream is still down.
BOOST_AUTO_TEST_CASE(suspicions_are_forgotten_after_their_time)
{
    restart_suspicions all = suspected();
    const auto is_suspected = [](const upstream_start&)
    {
        return true;
    };
    all.forget(start + 1h, is_suspected);
    BOOST_CHECK(all.cold_until(suspect, cold_time) == time_point::max());
    all.forget(start + 1min, [](const upstream_start&) { return false; });
    BOOST_TEST(!all.empty());
    all.forget(start + 1h, [](const upstream_start&) { return false; });
    BOOST_TEST(all.empty());
    BOOST_TEST(!all.merge(start + 1h, {.upstream = suspect, .age = 59min}));
    BOOST_TEST(all.empty());
}
