// Which VM gets a request that is passed on, and what its caller gets.

#include "pistachiospan/steering/forwarding.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;
using steering::forward_outcome;

namespace
{

constexpr time_point start(1000s);

const fleet::address_lists all_vms = {
    {"n1", {"n1-a"}}, {"n2", {"n2-a", "n2-b"}}, {"s1", {"s1-a"}}};

struct fixture
{
    fixture()
        : helpers({.regions = {{"n1", "north"}, {"n2", "north"}, {"s1", "south"}},
                   .region = "north"},
                  {.send =
                       [this](gateway::exchange_id, const std::string& address,
                              duration time_left)
                   {
                       this->sent.push_back(address);
                       this->time_left = time_left;
                   },
                   .cancel = [this](gateway::exchange_id id)
                   { this->cancelled.push_back(id); },
                   .deliver = [this](gateway::exchange_id, std::any answer)
                   { this->delivered.push_back(std::any_cast<int>(answer)); },
                   .refuse =
                       [this](gateway::exchange_id, const gateway::refusal_answer& answer)
                   {
                       this->refused.push_back(answer);
                   }})
    {
    }

    bool begin(gateway::exchange_id id, gateway::forward_request request = {})
    {
        request.deadline = start + 1s;
        return this->helpers.begin(start, id, request, all_vms);
    }

    std::vector<std::string> sent;
    duration time_left{0};
    std::vector<gateway::exchange_id> cancelled;
    std::vector<int> delivered;
    std::vector<gateway::refusal_answer> refused;
    steering::forwarder helpers;
};

} // namespace

// Guards against callers' bodies in a region that is no home, and against work that goes
// to another region without need.
BOOST_AUTO_TEST_CASE(requests_go_to_allowed_regions_the_own_one_first)
{
    fixture test;
    for (gateway::exchange_id each = 1; each <= 30; ++each)
        BOOST_TEST(test.begin(each));
    for (const std::string& each : test.sent)
        BOOST_TEST(each.starts_with("n"));
    test.sent.clear();
    BOOST_TEST(test.begin(31, {.homes = {"south"}}));
    BOOST_TEST(test.begin(32, {.account_homes = {"south"}}));
    BOOST_TEST(test.sent == (std::vector<std::string>{"s1-a", "s1-a"}),
               boost::test_tools::per_element());
    BOOST_TEST(!test.begin(33, {.homes = {"south"}, .account_homes = {"north"}}));
    BOOST_TEST(test.helpers.pending() == 32U);
}

// Guards against a caller that fails because the first VM is cut off as well, and against
// a search without end.
BOOST_AUTO_TEST_CASE(vm_that_cannot_help_is_left_out_for_a_while)
{
    fixture test;
    BOOST_TEST(test.begin(1));
    test.helpers.finish(start, 1, {.outcome = forward_outcome::unusable}, all_vms);
    test.helpers.finish(start, 1, {.outcome = forward_outcome::unusable}, all_vms);
    BOOST_TEST_REQUIRE(test.sent.size() == 3U);
    BOOST_TEST(test.sent[0] != test.sent[1]);
    BOOST_TEST(test.sent[0] != test.sent[2]);
    BOOST_TEST(test.sent[1] != test.sent[2]);
    test.helpers.finish(start, 1, {.outcome = forward_outcome::unusable}, all_vms);
    BOOST_TEST_REQUIRE(test.refused.size() == 1U);
    BOOST_CHECK(test.refused.front().reason == gateway::refusal::no_upstream);
    BOOST_TEST(!test.refused.front().may_have_run);
    BOOST_TEST((test.refused.front().retry_after > 0ms));
    // Only the VM of the other region is left.
    BOOST_TEST(test.begin(2));
    BOOST_TEST(test.sent.back() == "s1-a");
}

// Guards against a refusal that says "not run" although the other VM may have run it, and
// against answers that are lost or delivered after the caller has left.
BOOST_AUTO_TEST_CASE(each_outcome_reaches_the_caller_once)
{
    fixture test;
    BOOST_TEST(test.begin(1));
    BOOST_CHECK(test.time_left >= 1s);
    test.helpers.finish(start, 1, {.outcome = forward_outcome::answered, .answer = 7},
                        all_vms);
    test.helpers.finish(start, 1, {.outcome = forward_outcome::timed_out}, all_vms);
    BOOST_TEST(test.delivered == std::vector<int>{7}, boost::test_tools::per_element());
    test.begin(2);
    test.helpers.finish(start, 2, {.outcome = forward_outcome::broken}, all_vms);
    test.begin(3);
    test.helpers.finish(start, 3, {.outcome = forward_outcome::timed_out}, all_vms);
    BOOST_TEST_REQUIRE(test.refused.size() == 2U);
    BOOST_CHECK(test.refused[0].reason == gateway::refusal::unknown_outcome);
    BOOST_TEST(test.refused[0].may_have_run);
    BOOST_CHECK(test.refused[1].reason == gateway::refusal::deadline);
    BOOST_TEST(test.refused[1].may_have_run);
    test.begin(4);
    test.helpers.caller_left(4);
    test.helpers.finish(start, 4, {.outcome = forward_outcome::answered, .answer = 8},
                        all_vms);
    BOOST_TEST(test.cancelled.size() == 1U);
    BOOST_TEST(test.delivered.size() == 1U);
    BOOST_TEST(test.helpers.pending() == 0U);
}
