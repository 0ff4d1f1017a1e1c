// Cold upstreams, and those that may be cold: the users' rule FAILBACK.

#include "pistachiospan/upstreams/upstreams.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace pistachiospan;
using namespace std::chrono_literals;
using upstreams::outcome;
using upstreams::restart_change;
using upstreams::upstream_set;
using upstreams::upstream_start;

namespace
{

constexpr time_point start(1000s);

upstreams::entry entry_of(const std::string& id)
{
    return {.id = id,
            .service = "orders",
            .address = id + ":80",
            .data_centre = "n1",
            .slots = 5,
            .started = 1,
            .sequence = 1};
}

// Two upstreams, of which this VM has had answers.
struct fixture
{
    fixture()
    {
        for (const char* id : {"u1", "u2"})
        {
            this->known.update(start, entry_of(id));
            this->finish(start, id, outcome::answered);
        }
        this->known.set_services(this->services);
    }

    void finish(time_point now, const std::string& id, outcome result)
    {
        const upstreams::selection chosen{.found = true, .id = id, .started = 1};
        this->known.begin(now - 5ms, chosen);
        this->known.end(now, chosen, result, 5ms, std::nullopt);
    }

    bool is_cold(time_point now, const std::string& id) const
    {
        for (const upstreams::upstream_view& each : this->known.views(now))
            if (each.id == id)
                return each.cold;
        return false;
    }

    std::vector<configuration::service> services = {
        {.name = "orders", .cold_time = 3s, .cold_rate = 14}};
    std::vector<restart_change> changes;
    upstream_set known{
        {.data_centre = "n1",
         .restart_changed =
             [this](time_point, const upstream_start&, restart_change change)
         {
             this->changes.push_back(change);
         }},
        {{"n1", "north"}}};
};

const upstream_start first{"u1", 1};

} // namespace

// Guards against an upstream that gets its usual load after a restart that the store did
// not report.
BOOST_AUTO_TEST_CASE(upstream_that_refused_is_cold_when_it_accepts_again)
{
    fixture test;
    test.known.note_refused(start + 1s, first);
    BOOST_TEST(test.is_cold(start + 1s, "u1"));
    BOOST_TEST(test.changes.empty());
    test.finish(start + 1100ms, "u2", outcome::answered);
    BOOST_TEST_REQUIRE(test.changes.size() == 1U);
    BOOST_CHECK(test.changes.back() == restart_change::suspected);
    BOOST_TEST(test.is_cold(start + 1min, "u1"));
    BOOST_TEST(!test.is_cold(start + 1min, "u2"));
    // It still refuses, or does not answer.
    test.finish(start + 2s, "u1", outcome::not_sent);
    test.finish(start + 2s, "u1", outcome::broken);
    test.finish(start + 2s, "u1", outcome::timed_out);
    BOOST_TEST(test.changes.size() == 1U);
    test.finish(start + 3s, "u1", outcome::answered);
    BOOST_TEST_REQUIRE(test.changes.size() == 2U);
    BOOST_CHECK(test.changes.back() == restart_change::accepted);
    BOOST_TEST(test.is_cold(start + 5990ms, "u1"));
    BOOST_TEST(!test.is_cold(start + 6s, "u1"));
}

// Guards against the same when the upstream restarts before any connection is refused.
BOOST_AUTO_TEST_CASE(upstream_that_closed_all_connections_is_cold)
{
    fixture test;
    test.known.note_connections_ended(start + 1s, "u1:80");
    BOOST_TEST(test.is_cold(start + 1s, "u1"));
    BOOST_TEST(!test.is_cold(start + 1s, "u2"));
}

// Guards against suspicions without a sign: a timeout, a lost connection, an upstream
// that was never used, that has announced its end, or has another start.
BOOST_AUTO_TEST_CASE(other_failures_are_no_sign_of_a_restart)
{
    fixture test;
    for (const outcome each : {outcome::timed_out, outcome::broken, outcome::not_sent,
                               outcome::failed, outcome::shed, outcome::misdirected})
        test.finish(start + 10ms, "u1", each);
    BOOST_TEST(!test.is_cold(start + 10ms, "u1"));
    test.known.note_refused(start + 10ms, {"u1", 2});
    BOOST_TEST(!test.is_cold(start + 10ms, "u1"));
    test.known.update(start, entry_of("unused"));
    test.known.note_refused(start + 10ms, {"unused", 1});
    BOOST_TEST(!test.is_cold(start + 10ms, "unused"));
    test.known.note_leaving(start, first);
    test.known.note_refused(start + 10ms, first);
    BOOST_TEST(!test.is_cold(start + 10ms, "u1"));
}

// Guards against all upstreams being cold for a VM that has regained its links.
BOOST_AUTO_TEST_CASE(upstreams_of_a_vm_that_was_cut_off_are_not_cold)
{
    fixture test;
    for (const char* id : {"u3", "u4"})
    {
        test.known.update(start, entry_of(id));
        test.finish(start, id, outcome::answered);
    }
    for (int step = 0; step < 10; ++step)
        for (const char* id : {"u1", "u2", "u3", "u4"})
        {
            const time_point now = start + 100ms + step * 100ms;
            test.finish(now, id, outcome::not_sent);
            test.known.note_refused(now, {id, 1});
        }
    BOOST_TEST(test.known.is_cut_off(start + 2s));
    test.finish(start + 2s, "u2", outcome::answered);
    for (const char* id : {"u1", "u2", "u3", "u4"})
        BOOST_TEST(!test.is_cold(start + 2s, id));
    BOOST_TEST(test.changes.empty());
}

// Guards against a healthy upstream that stays cold although the registry has shown since
// that it has not restarted, and against older entries that end a true suspicion.
BOOST_AUTO_TEST_CASE(newer_entry_of_the_same_start_ends_the_suspicion)
{
    fixture test;
    test.known.note_refused(start + 1s, first);
    test.finish(start + 1100ms, "u2", outcome::answered);
    upstreams::entry next = entry_of("u1");
    next.sequence = 2;
    test.known.update(start + 2s, next); // of unknown age
    BOOST_TEST(test.is_cold(start + 2s, "u1"));
    next.sequence = 3;
    next.max_age = 2s;
    test.known.update(start + 2s, next); // may be older than the sign
    BOOST_TEST(test.is_cold(start + 2s, "u1"));
    next.max_age = 500ms;
    test.known.update(start + 2s, next); // the same entry again
    BOOST_TEST(test.is_cold(start + 2s, "u1"));
    next.sequence = 4;
    test.known.update(start + 2s, next);
    BOOST_TEST(!test.is_cold(start + 2s, "u1"));
    BOOST_CHECK(test.changes.back() == restart_change::refuted);
}

// Guards against a suspicion of an earlier start that applies to the present one, whose
// own cold time the registry gives.
BOOST_AUTO_TEST_CASE(later_start_in_the_registry_ends_the_suspicion)
{
    fixture test;
    test.known.note_refused(start + 1s, first);
    upstreams::entry restarted = entry_of("u1");
    restarted.started = 2;
    BOOST_TEST(test.known.update(start + 2s, restarted) == "restarted");
    BOOST_TEST(test.is_cold(start + 4990ms, "u1"));
    BOOST_TEST(!test.is_cold(start + 5s, "u1"));
}

// Guards against a VM that has just started and does not know what the others do, in
// whatever order it learns of the restart, the upstream and the service.
BOOST_AUTO_TEST_CASE(told_restart_applies_to_entries_that_are_read_later)
{
    fixture test;
    test.known.note_refused(start + 1s, first);
    test.finish(start + 1100ms, "u2", outcome::answered);
    const auto told = test.known.suspected_restarts(start + 2s);
    BOOST_TEST_REQUIRE(told.size() == 1U);
    upstream_set fresh({.data_centre = "n1"}, {{"n1", "north"}});
    BOOST_TEST(fresh.merge_restart(start + 2s, told.front()));
    fresh.update(start + 2s, entry_of("u1"));
    fresh.set_services(test.services);
    BOOST_TEST(fresh.views(start + 2s).at(0).cold);
    BOOST_TEST(fresh.suspected_restarts(start + 2s).size() == 1U);
}

namespace
{

// The most requests that VMs send to one cold upstream within a second, if none of them
// has any during `lull` and each then has more than it may send.
std::size_t most_after_lull(int vms, double rate, duration lull, int trial)
{
    std::vector<duration> sent;
    for (int vm = 0; vm < vms; ++vm)
    {
        const std::string name = std::to_string(trial) + "-" + std::to_string(vm);
        upstream_set known({.seed = hash_bytes(name), .data_centre = "n1"},
                           {{"n1", "north"}});
        upstreams::entry cold = entry_of("u1");
        cold.cold_left = lull + 3s;
        known.update(start, cold);
        const std::vector<configuration::service> services = {
            {.name = "orders", .cold_time = 30s, .cold_rate = rate}};
        known.set_services(services);
        known.set_vm_count(static_cast<std::size_t>(vms));
        for (duration at = lull; at < lull + 3s; at += 10ms)
            if (known
                    .select(start + at, {.service = "orders",
                                         .object = std::to_string(at.count()),
                                         .time_left = 2s})
                    .found)
                sent.push_back(at);
    }
    std::ranges::sort(sent);
    std::size_t most = 0;
    for (auto first = sent.begin(); first != sent.end(); ++first)
        most = std::max(
            most, static_cast<std::size_t>(std::distance(
                      first, std::ranges::lower_bound(first, sent.end(), *first + 1s))));
    return most;
}

} // namespace

// Guards against VMs that each keep a token while there is no demand, and all spend them
// in the same second: 8 x 1.5 + 5 requests are allowed.
BOOST_AUTO_TEST_CASE(tokens_kept_during_a_lull_are_not_spent_at_once)
{
    for (const duration lull : {0s, 1s, 3s, 10s, 40s})
        for (int trial = 0; trial < 20; ++trial)
        {
            const std::size_t most = most_after_lull(74, 8, lull, trial);
            BOOST_TEST(most <= 17U, "after " << lull.count() / 1000000 << " s, trial "
                                             << trial << ": " << most);
            BOOST_TEST(most > 0U);
        }
}
