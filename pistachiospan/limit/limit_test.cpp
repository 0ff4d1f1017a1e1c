#include "pistachiospan/limit/fleet_test.hpp"
#include "pistachiospan/limit/limit.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::limit;
using namespace pistachiospan::limit::testing;

namespace
{

catalogue::catalogue
make_catalogue(std::uint32_t shares,
               const std::map<std::string, std::pair<double, double>>& limits)
{
    catalogue::catalogue result;
    result.rate_shares = shares;
    for (const auto& [name, limit] : limits)
        result.accounts[name] = {
            .name = name, .rate = limit.first, .burst = limit.second};
    return result;
}

std::vector<double> skewed_weights(std::uint32_t vms, double first)
{
    std::vector<double> weights(vms, (1 - first) / std::max(vms - 1.0, 1.0));
    weights[0] = first;
    return weights;
}

struct fault_injector
{
    std::uint64_t seed = 0;
    random_engine engine{seed};

    std::uint64_t random_below(std::uint64_t bound)
    {
        return this->engine() % bound;
    }

    // Injects one random fault at a random VM.
    void inject(fleet& all, std::uint32_t vms)
    {
        const auto victim = static_cast<std::uint32_t>(this->random_below(vms));
        switch (this->random_below(5))
        {
        case 0:
            if (all.vm_limiter(victim) == nullptr)
                break;
            all.kill(victim);
            all.at(duration(this->random_below(4'000'000)),
                   [&all, victim] { all.start(victim); });
            break;
        case 1:
            all.pause(victim, duration(this->random_below(6'000'000)));
            break;
        case 2:
        {
            std::vector<int> sides(vms);
            for (int& side : sides)
                side = static_cast<int>(this->random_below(2));
            all.partition(sides);
            break;
        }
        case 3:
            all.partition({});
            break;
        default:
            all.set_weights(0,
                            skewed_weights(vms, this->random_below(2) == 0 ? 1.0 : 0.1));
        }
    }
};

} // namespace

// Guards against any admission beyond rate and burst under kills, restarts, pauses,
// partitions, and lost, late, repeated and reordered messages. Periods of low load fill
// all buckets, because with partly empty buckets a fault may stay below the bound.
BOOST_AUTO_TEST_CASE(no_window_exceeds_the_bound_under_faults)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        const auto vms = static_cast<std::uint32_t>(3 + seed % 7);
        fault_injector faults{.seed = seed};
        fleet all(
            {.vms = vms,
             .seed = seed,
             .net = {.loss = 0.05 * static_cast<double>(seed % 3),
                     .repeat = 0.1,
                     // Every third fleet has answers after the request time-out.
                     .jitter = seed % 3 == 0 ? 300 * ms : 12 * ms}},
            make_catalogue(vms, {{"a", {100, 40}}, {"b", {40, 10}}, {"c", {2, 4}}}));
        all.offer("a", 500, skewed_weights(vms, 0.8));
        all.offer("b", 200, skewed_weights(vms, 0.2));
        all.offer("c", 10, skewed_weights(vms, 1.0));
        for (int step = 0; step < 30; ++step)
        {
            all.set_activity(0.04);
            all.run_for(duration(faults.random_below(3'000'000)));
            faults.inject(all, vms);
            all.run_for(duration(faults.random_below(1'000'000)));
            all.set_activity(1);
            all.run_for(duration(faults.random_below(500'000)));
            faults.inject(all, vms);
            all.run_for(duration(faults.random_below(1'500'000)));
        }
        BOOST_TEST(all.total_over() == 0U, "seed " << seed << ": " << all.total_over()
                                                   << " admissions over the bound");
        BOOST_TEST(all.tallies["a"].admitted > 100U, "seed " << seed);
    }
}

// Guards against a loan that the lender merged into a late grant and then reclaimed while
// the borrower still used it. Seen in limit_bench at the full rate of an account.
BOOST_AUTO_TEST_CASE(no_window_exceeds_the_bound_when_answers_are_late)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        fleet all({.vms = 9,
                   .seed = seed,
                   .limiter = {.review_interval = 50 * ms, .request_timeout = 20 * ms}},
                  make_catalogue(9, {{"a", {400, 40}}, {"b", {60, 10}}}));
        all.offer("a", 1200, skewed_weights(9, 1.0));
        all.offer("b", 180, skewed_weights(9, 0.8));
        for (int step = 0; step < 10; ++step)
        {
            all.set_activity(0.3);
            all.run_for(3 * second);
            all.set_activity(1);
            all.run_for(2 * second);
        }
        BOOST_TEST(all.total_over() == 0U, "seed " << seed);
    }
}

namespace
{

struct single_limiter
{
    time_point now = time_point(std::chrono::hours(1));
    std::vector<std::uint32_t> shares = {0};
    std::vector<decision> resolved;
    limiter one{{.self = {"vm-0"}},
                {.on_resolved = [this](std::uint64_t, const decision& answer)
                 {
                     this->resolved.push_back(answer);
                 }}};

    std::uint32_t count_admitted(int calls)
    {
        std::uint32_t count = 0;
        for (int call = 0; call < calls; ++call)
            count += this->one.admit(this->now, "a").result == outcome::admitted ? 1 : 0;
        return count;
    }

    void advance(duration length)
    {
        for (duration step{0}; step < length; step += second / 10)
        {
            this->now += second / 10;
            this->one.tick(this->now);
        }
    }
};

} // namespace

// Guards against a process that admits requests after a pause, before it knows whether it
// still owns its share.
BOOST_FIXTURE_TEST_CASE(a_share_is_lost_by_a_pause_and_comes_back_empty, single_limiter)
{
    one.set_accounts(now, make_catalogue(1, {{"a", {0.5, 10}}}), true);
    one.set_shares(now, shares);
    advance(30 * second);
    now += 3 * second;
    BOOST_TEST(count_admitted(20) == 0U);
    one.set_shares(now, shares);
    BOOST_TEST(count_admitted(20) == 0U);
    advance(4 * second);
    BOOST_TEST(count_admitted(20) == 2U);
}

// Guards against an increase that applies while other VMs still use the earlier limits,
// and against a decrease that is delayed. The increase waits 15.13 s: activation_bound
// and max_loan_duration().
BOOST_FIXTURE_TEST_CASE(an_increase_waits_and_a_decrease_does_not, single_limiter)
{
    one.set_accounts(now, make_catalogue(1, {{"a", {1000, 10}}}), true);
    one.set_shares(now, shares);
    advance(1 * second);
    one.set_accounts(now, make_catalogue(1, {{"a", {1000, 40}}}));
    advance(15 * second);
    BOOST_TEST(count_admitted(50) == 10U);
    advance(1 * second);
    BOOST_TEST(count_admitted(50) == 40U);
    advance(1 * second);
    one.set_accounts(now, make_catalogue(1, {{"a", {1000, 5}}}));
    BOOST_TEST(count_admitted(50) == 5U);
    one.set_accounts(now, make_catalogue(1, {}));
    BOOST_TEST((one.admit(now, "a").result == outcome::unknown_account));
}

// Guards against a restarted process that uses new limits while peers still use the
// earlier ones.
BOOST_FIXTURE_TEST_CASE(the_first_catalogue_waits_unless_it_is_active_everywhere,
                        single_limiter)
{
    one.set_accounts(now, make_catalogue(1, {{"a", {1000, 10}}}));
    one.set_shares(now, shares);
    advance(15 * second);
    BOOST_TEST(count_admitted(50) == 0U);
    advance(1 * second);
    BOOST_TEST(count_admitted(50) == 10U);
}

// Guards against a retry_after at which there is no token yet.
BOOST_FIXTURE_TEST_CASE(a_retry_after_the_stated_time_is_admitted, single_limiter)
{
    one.set_accounts(now, make_catalogue(1, {{"a", {0.7, 2}}}), true);
    one.set_shares(now, shares);
    advance(10 * second);
    BOOST_TEST(count_admitted(2) == 2U);
    for (int round = 0; round < 5; ++round)
    {
        const decision answer = one.admit(now, "a");
        BOOST_REQUIRE((answer.result == outcome::refused));
        BOOST_TEST((answer.retry_after > second && answer.retry_after < 2 * second));
        now += answer.retry_after;
        BOOST_TEST(count_admitted(1) == 1U);
    }
}

// Guards against malformed messages, or ones from unknown senders, that change state or
// crash the process.
BOOST_FIXTURE_TEST_CASE(malformed_messages_are_refused, single_limiter)
{
    one.set_accounts(now, make_catalogue(1, {{"a", {10, 10}}}), true);
    one.set_shares(now, shares);
    const vm_id peer_id{"vm-1"};
    BOOST_TEST(!one.receive(now, peer_id, "borrow", wire::body::array()).has_value());
    const std::vector<peer> peers = {{.id = peer_id}};
    one.set_peers(now, peers);
    BOOST_TEST(one.receive(now, peer_id, "borrow", wire::body::array()).has_value());
    BOOST_TEST(!one.receive(now, peer_id, "other", wire::body::array()).has_value());
    const std::uint64_t a = hash_bytes("a");
    for (const char* type : {"borrow", "grant", "return_loan"})
        for (const wire::body& body :
             {wire::body("x"), wire::body(nullptr), wire::body{{"a", 1}}, wire::body{{1}},
              wire::body{{a, 1, 0, -5, 0, 0, 0}},
              wire::body{{a, 1, 0, 1e300, 0, 0, 0, 0}},
              wire::body{{a, 1, 0, ~0ULL, ~0ULL}}, wire::body{{"a", "b", 0, 0, 0}}})
            BOOST_TEST(!one.receive(now, peer_id, type, body).has_value());
    advance(2 * second);
    BOOST_TEST(count_admitted(20) == 10U);
}
