// Which requests may be sent after upstreams have ended with them.

#include "pistachiospan/quarantine/quarantine.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;
using quarantine::admission;
using quarantine::fingerprint;

namespace
{

constexpr time_point start(1000s);

const fingerprint guilty = quarantine::fingerprint_of({"shop", "/1"});

quarantine::upstream_end end_of(std::string upstream, time_point at,
                                const fingerprint& request = guilty,
                                std::string service = "orders")
{
    return {.upstream = {std::move(upstream), 1},
            .at = at,
            .requests = {{.request = request, .service = std::move(service)}}};
}

// Suspects with that many strikes of the guilty request.
quarantine::suspects with_strikes(int count, std::uint64_t seed = 1)
{
    quarantine::suspects known({.seed = seed});
    for (int each = 0; each < count; ++each)
        known.note_end(start, end_of("u" + std::to_string(each), start));
    return known;
}

void tell(time_point now, const quarantine::suspects& from, quarantine::suspects& to)
{
    for (const quarantine::suspect_notice& each : from.changed_since(now, 10s, 100))
        to.merge(now, each);
}

} // namespace

// Guards against requests that are refused because they were at one upstream that ended,
// and against ones that go on and end a third and a fourth one.
BOOST_AUTO_TEST_CASE(strikes_lead_from_caution_to_quarantine)
{
    BOOST_CHECK(with_strikes(0).check(start, guilty).action == admission::send);
    BOOST_TEST(with_strikes(0).may_retry(guilty));
    BOOST_CHECK(with_strikes(1).check(start, guilty).action == admission::send);
    BOOST_TEST(!with_strikes(1).may_retry(guilty));
    quarantine::suspects known = with_strikes(2);
    BOOST_CHECK(known.check(start, guilty).action == admission::alone);
    BOOST_TEST(known.begin(start, guilty, admission::alone, "orders"));
    BOOST_CHECK(known.check(start, guilty).action == admission::refuse);
    known.end(guilty);
    BOOST_CHECK(known.check(start, guilty).action == admission::alone);
    BOOST_TEST(known.note_end(start, end_of("u2", start)).size() == 1U);
    BOOST_CHECK(known.check(start, guilty).action == admission::refuse);
    BOOST_CHECK(known.check(start, guilty).retry_after == 15s);
}

// Guards against one end that counts several times, because several VMs report it.
BOOST_AUTO_TEST_CASE(an_end_counts_once_whoever_reports_it)
{
    quarantine::suspects one = with_strikes(1, 1);
    quarantine::suspects other = with_strikes(1, 2);
    tell(start, other, one);
    BOOST_CHECK(one.check(start, guilty).action == admission::send);
    other.note_end(start, end_of("u1", start));
    other.note_end(start, end_of("u2", start));
    tell(start, other, one);
    BOOST_TEST(one.is_quarantined(guilty));
    BOOST_TEST(!one.merge(start, other.changed_since(start, 10s, 1).front()));
}

// Guards against an outage that goes on after the upstreams have been repaired, and
// against each VM sending the request again on its own.
BOOST_AUTO_TEST_CASE(one_trial_of_all_vms_ends_or_prolongs_the_quarantine)
{
    quarantine::suspects one = with_strikes(3, 1);
    quarantine::suspects other = with_strikes(3, 2);
    one.set_vm_count(2);
    other.set_vm_count(2);
    time_point now = start + 15s;
    while (one.check(now, guilty).action == admission::refuse &&
           other.check(now, guilty).action == admission::refuse)
        now += 1ms;
    BOOST_CHECK(now < start + 16s);
    const bool one_is_first = one.check(now, guilty).action == admission::trial;
    quarantine::suspects& first = one_is_first ? one : other;
    quarantine::suspects& second = one_is_first ? other : one;
    first.begin(now, guilty, admission::trial, "orders");
    tell(now, first, second);
    BOOST_CHECK(second.check(now + 20s, guilty).action == admission::refuse);
    BOOST_CHECK(second.check(now, guilty).retry_after == 60s);
    // Its end is the outcome of the trial and no further strike.
    first.end(guilty);
    first.note_end(now + 1s, end_of("u7", now + 1s));
    BOOST_CHECK(first.check(now + 1s, guilty).retry_after == 59s);
    // The next trial is answered.
    now += 62s;
    BOOST_CHECK(second.check(now, guilty).action == admission::trial);
    second.begin(now, guilty, admission::trial, "orders");
    second.end(guilty);
    BOOST_TEST(second.note_answer(now, guilty, "orders"));
    BOOST_CHECK(second.check(now, guilty).action == admission::send);
    tell(now, second, first);
    BOOST_CHECK(first.check(now, guilty).action == admission::send);
}

// Guards against a request that one service answers and that goes on ending the upstreams
// of another one: a route may send it to either.
BOOST_AUTO_TEST_CASE(an_answer_clears_at_its_own_service_only)
{
    quarantine::suspects known = with_strikes(2);
    known.note_end(start, end_of("p1", start, guilty, "payments"));
    BOOST_TEST(known.is_quarantined(guilty));
    known.note_answer(start + 1s, guilty, "payments");
    BOOST_CHECK(known.check(start + 1s, guilty).action == admission::alone);
    // An end of before the answer that becomes known later.
    known.note_end(start + 2s, end_of("p2", start, guilty, "payments"));
    BOOST_CHECK(known.check(start + 2s, guilty).action == admission::alone);
    known.note_answer(start + 3s, guilty, "orders");
    BOOST_CHECK(known.check(start + 3s, guilty).action == admission::send);
}

// Guards against memory that grows with the requests that a caller makes up, and against
// the request in quarantine being forgotten for them.
BOOST_AUTO_TEST_CASE(made_up_requests_are_forgotten_first)
{
    quarantine::suspects known = with_strikes(3);
    for (int each = 0; each < 10000; ++each)
        known.note_end(start + 1s,
                       end_of("v" + std::to_string(each), start + 1s,
                              quarantine::fingerprint_of({"x", std::to_string(each)})));
    BOOST_TEST(known.is_quarantined(guilty));
    BOOST_TEST(known.changed_since(start + 1s, 10s, 100000).size() <= 4096U);
    known.forget_old(start + 11min);
    BOOST_TEST(known.changed_since(start + 11min, 1h, 100000).size() == 1U);
    known.forget_old(start + 2h);
    BOOST_TEST(known.empty());
}

// Guards against VMs that tell each other for ever what the other one has dropped.
BOOST_AUTO_TEST_CASE(many_strikes_come_to_rest)
{
    quarantine::suspects one = with_strikes(40, 1);
    quarantine::suspects other({.seed = 2});
    for (int each = 39; each >= 0; --each)
        other.note_end(start, end_of("u" + std::to_string(each), start + each * 1us));
    tell(start + 1s, one, other);
    tell(start + 1s, other, one);
    for (const auto& each : one.changed_since(start + 1s, 10s, 10))
        BOOST_TEST(!other.merge(start + 1s, each));
    for (const auto& each : other.changed_since(start + 1s, 10s, 10))
        BOOST_TEST(!one.merge(start + 1s, each));
}
