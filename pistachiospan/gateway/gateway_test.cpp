#include "pistachiospan/gateway/gateway.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;
using gateway::attempt_outcome;
using gateway::refusal;

namespace
{

constexpr time_point start(1000s);

// A gateway with two upstreams, and a record of what it did.
struct fixture
{
    fixture()
        : known({.data_centre = "n1"}, {{"n1", "north"}}), allowances({}),
          requests(
              {}, this->known,
              {.ask_token =
                   [this](gateway::exchange_id id, const std::string& account)
               {
                   if (this->delay_tokens)
                       this->waiting_for_token.push_back(id);
                   else
                       this->requests.finish_admission(
                           this->now, id, this->allowances.admit(this->now, account));
               },
               .return_token = [this](const std::string& account)
               { this->allowances.give_back(start, account); },
               .ask_upstream_token =
                   [this](gateway::exchange_id, const upstreams::upstream_start& upstream)
               { this->asked_upstreams.push_back(upstream.id); },
               .return_upstream_token = [this](const upstreams::upstream_start& upstream)
               { this->returned_upstreams.push_back(upstream.id); },
               .send =
                   [this](const gateway::attempt& attempt)
               {
                   this->sent.push_back(attempt);
                   return static_cast<gateway::call_id>(this->sent.size());
               },
               .cancel = [this](gateway::call_id call)
               { this->cancelled.push_back(call); },
               .deliver = [this](gateway::exchange_id, const std::any& answer)
               { this->delivered.push_back(std::any_cast<int>(answer)); },
               .refuse =
                   [this](gateway::exchange_id, const gateway::refusal_answer& answer)
               { this->refused.push_back(answer); },
               .report = [this](const gateway::record& event)
               { this->records.push_back(event); },
               .notice = [this](const gateway::upstream_notice& notice)
               { this->notices.push_back(notice); },
               .forward =
                   [this](gateway::exchange_id id, const gateway::forward_request&)
               {
                   if (this->forwards)
                       this->forwarded.push_back(id);
                   return this->forwards;
               },
               .identify =
                   [this](gateway::exchange_id id, const std::string& account) {
                       return quarantine::fingerprint_of({account, this->paths.at(id)});
                   },
               .check_connection =
                   [this](const upstreams::upstream_start& upstream, const std::string&)
               { this->checked.push_back(upstream.id); },
               .upstream_ended =
                   [this](time_point, const quarantine::upstream_end& ended,
                          std::span<const quarantine::fingerprint>)
               {
                   this->ended.push_back(ended);
               }})
    {
        for (const char* id : {"u1", "u2"})
            this->known.update(start, {.id = id,
                                       .service = "orders",
                                       .address = id,
                                       .data_centre = "n1",
                                       .slots = 3});
        const auto state = std::make_shared<configuration::state>(content());
        this->allowances.set_limits(start, allowance::limits_of(state->accounts(), 1),
                                    false);
        this->requests.set_configuration(state);
    }

    static configuration::content content()
    {
        const auto route = [](const char* prefix, configuration::repeatability kind)
        {
            return configuration::route{.name = prefix,
                                        .host = "a.example",
                                        .prefix = prefix,
                                        .kind = kind,
                                        .timeout = 800ms,
                                        .max_attempts = 2,
                                        .targets = {{.service = "orders"}}};
        };
        configuration::content content{
            .version = 1,
            .services = {{.name = "orders"}},
            .accounts = {{.name = "shop", .keys = {"key"}},
                         {.name = "small", .keys = {"small"}, .rate = 1, .burst = 1}},
            .routes = {route("/read/", configuration::repeatability::idempotent),
                       route("/order/", configuration::repeatability::once)}};
        return content;
    }

    void submit(gateway::exchange_id id, const std::string& path,
                const std::string& key = "key")
    {
        this->paths[id] = path;
        this->requests.submit(this->now, id,
                              {.request_id = std::to_string(id),
                               .host = "a.example",
                               .path = path,
                               .key = key,
                               .time_left = 1s});
    }

    void end(gateway::exchange_id id, attempt_outcome outcome, int status = 200)
    {
        this->requests.finish_attempt(
            start + 10ms, id, this->sent.size(),
            {.outcome = outcome, .status = status, .answer = status});
    }

    // The upstream names a limit in the answer to an earlier request.
    void name_limit(const std::string& upstream)
    {
        this->known.note_limit(start, {upstream, 0}, start, {.rate = 4});
    }

    time_point now = start;
    std::vector<gateway::attempt> sent;
    std::vector<gateway::call_id> cancelled;
    std::vector<int> delivered;
    std::vector<gateway::refusal_answer> refused;
    std::vector<gateway::record> records;
    std::vector<gateway::upstream_notice> notices;
    std::vector<gateway::exchange_id> waiting_for_token; // requests without an answer
    std::vector<std::string> asked_upstreams;            // for tokens of their limits
    std::vector<std::string> returned_upstreams;         // their tokens
    std::map<gateway::exchange_id, std::string> paths;
    std::vector<std::string> checked; // upstreams, by a new connection
    std::vector<quarantine::upstream_end> ended;
    std::vector<gateway::exchange_id> forwarded; // to other VMs
    bool forwards = false;                       // another VM takes requests
    bool delay_tokens = false;
    upstreams::upstream_set known;
    allowance::ledger allowances;
    gateway::gateway requests;
};

} // namespace

// Guards against running an order twice after its answer was lost.
BOOST_AUTO_TEST_CASE(order_is_not_repeated_when_it_may_have_run)
{
    for (const attempt_outcome outcome :
         {attempt_outcome::broken, attempt_outcome::timed_out})
    {
        fixture test;
        test.submit(1, "/order/1");
        test.end(1, outcome);
        BOOST_TEST(test.sent.size() == 1U);
        BOOST_TEST_REQUIRE(test.refused.size() == 1U);
        BOOST_TEST(test.refused.front().may_have_run);
    }
}

// A planned stop while requests wait in long queues. Guards against a request that is
// accepted late in the grace time and gets no answer because the process ends.
BOOST_AUTO_TEST_CASE(stopping_vm_accepts_only_what_it_can_answer)
{
    fixture test;
    test.requests.begin_stop(start + 600ms);
    test.submit(1, "/order/1");
    BOOST_TEST_REQUIRE(test.sent.size() == 1U);
    // The upstream must stop work before the process ends.
    BOOST_TEST((test.sent.front().time_left == 600ms));
    // The answer is expected after 250 ms.
    test.requests.begin_stop(start + 400ms);
    test.submit(2, "/order/2");
    BOOST_TEST(test.sent.size() == 1U);
    BOOST_TEST_REQUIRE(test.refused.size() == 1U);
    BOOST_TEST((test.refused.front().reason == refusal::stopping));
    BOOST_TEST(!test.refused.front().may_have_run);
    // Another VM can take it at once.
    BOOST_TEST((test.refused.front().retry_after <= 50ms));
}

// Guards against running an order again because an upstream answered with a failure.
BOOST_AUTO_TEST_CASE(failed_order_is_delivered_unchanged)
{
    fixture test;
    test.submit(1, "/order/1");
    test.end(1, attempt_outcome::answered, 500);
    BOOST_TEST(test.sent.size() == 1U);
    BOOST_TEST(test.delivered == std::vector<int>{500}, boost::test_tools::per_element());
}

// Guards against refusing an order that another upstream can still run.
BOOST_AUTO_TEST_CASE(order_that_did_not_run_goes_to_another_upstream)
{
    for (const attempt_outcome outcome :
         {attempt_outcome::not_run, attempt_outcome::misdirected,
          attempt_outcome::not_sent})
    {
        fixture test;
        test.submit(1, "/order/1");
        test.end(1, outcome);
        BOOST_TEST_REQUIRE(test.sent.size() == 2U);
        BOOST_TEST(test.sent.at(0).upstream != test.sent.at(1).upstream);
        test.end(1, attempt_outcome::answered);
        BOOST_TEST(test.delivered.size() == 1U);
    }
}

// Guards against a refusal marked as not run after an attempt that may have run.
BOOST_AUTO_TEST_CASE(refused_as_not_run_only_if_no_attempt_can_have_run)
{
    fixture test;
    test.submit(1, "/read/1");
    test.end(1, attempt_outcome::broken);
    BOOST_TEST_REQUIRE(test.sent.size() == 2U);
    test.end(1, attempt_outcome::not_run);
    BOOST_TEST_REQUIRE(test.refused.size() == 1U);
    BOOST_TEST(test.refused.front().may_have_run);
    fixture other;
    other.submit(1, "/order/1");
    other.end(1, attempt_outcome::not_run);
    other.end(1, attempt_outcome::not_run);
    BOOST_TEST_REQUIRE(other.refused.size() == 1U);
    BOOST_TEST(!other.refused.front().may_have_run);
    BOOST_TEST(other.refused.front().retry_after.count() > 0);
}

// Guards against a request that an upstream has answered with a failure and that is then
// refused as not run, with its token returned, because no other upstream takes it.
BOOST_AUTO_TEST_CASE(failed_answer_is_delivered_if_no_other_attempt_is_answered)
{
    for (const attempt_outcome second :
         {attempt_outcome::not_run, attempt_outcome::misdirected,
          attempt_outcome::not_sent, attempt_outcome::broken, attempt_outcome::timed_out})
    {
        fixture test;
        test.submit(1, "/read/1", "small");
        test.end(1, attempt_outcome::answered, 500);
        BOOST_TEST_REQUIRE(test.sent.size() == 2U);
        test.end(1, second);
        BOOST_TEST(test.refused.empty());
        BOOST_TEST_REQUIRE(test.delivered.size() == 1U);
        BOOST_TEST(test.delivered.front() == 500);
        BOOST_TEST(!test.allowances.admit(test.now, "small").admitted);
    }
    fixture alone;
    alone.submit(1, "/read/1");
    alone.known.remove(alone.sent.front().upstream == "u1" ? "u2" : "u1");
    alone.end(1, attempt_outcome::answered, 500);
    BOOST_TEST(alone.delivered.size() == 1U);
    BOOST_TEST((alone.requests.retry_totals(alone.now).at("orders").credit == 1));
}

// Guards against more attempts for one request than its route allows.
BOOST_AUTO_TEST_CASE(attempts_are_bounded)
{
    fixture test;
    test.submit(1, "/read/1");
    test.end(1, attempt_outcome::broken);
    test.end(1, attempt_outcome::broken);
    BOOST_TEST(test.sent.size() == 2U);
    BOOST_TEST(test.refused.size() == 1U);
}

// Guards against retries beyond the budget while all upstreams fail.
BOOST_AUTO_TEST_CASE(retries_keep_to_the_budget)
{
    fixture test;
    constexpr gateway::exchange_id requests = 400;
    for (gateway::exchange_id id = 1; id <= requests; ++id)
    {
        test.submit(id, "/read/1");
        // Every third request succeeds, so that the upstreams are not ejected.
        test.end(id, attempt_outcome::answered, id % 3 == 0 ? 200 : 500);
        if (id % 3 != 0)
            test.end(id, attempt_outcome::answered, 200);
    }
    const gateway::counts totals = test.requests.totals();
    BOOST_TEST(totals.retries > 0U);
    // The platform's retry ratio and this gateway's default reserve.
    BOOST_TEST(totals.retries <= requests * 0.2 + 30);
}

// Guards against a budget that is used up by retries which found no upstream, so that
// others which could be sent are denied.
BOOST_AUTO_TEST_CASE(retry_that_is_not_sent_is_not_charged)
{
    fixture test;
    test.submit(1, "/read/1");
    test.known.remove(test.sent.front().upstream == "u1" ? "u2" : "u1");
    test.end(1, attempt_outcome::not_run);
    BOOST_TEST(test.sent.size() == 1U);
    BOOST_TEST(test.refused.size() == 1U);
    BOOST_TEST(test.requests.totals().retries == 0U);
    for (const char* id : {"u1", "u2"})
        test.known.update(start, {.id = id,
                                  .service = "orders",
                                  .address = id,
                                  .data_centre = "n1",
                                  .slots = 3});
    test.submit(2, "/read/2");
    test.end(2, attempt_outcome::not_run);
    BOOST_TEST(test.sent.size() == 3U);
    BOOST_TEST(test.requests.retry_totals(test.now).at("orders").sent == 1U);
}

// Guards against running requests with an unknown key, no key or no route.
BOOST_AUTO_TEST_CASE(unknown_key_and_route_are_refused)
{
    fixture test;
    test.submit(1, "/order/1", "other");
    test.submit(2, "/order/1", "");
    test.submit(3, "/nothing/1");
    BOOST_TEST(test.sent.empty());
    BOOST_TEST_REQUIRE(test.refused.size() == 3U);
    BOOST_TEST((test.refused.at(0).reason == refusal::no_key));
    BOOST_TEST((test.refused.at(1).reason == refusal::no_key));
    BOOST_TEST((test.refused.at(2).reason == refusal::no_route));
}

// Guards against accepting a key after the configuration version that withdraws it.
BOOST_AUTO_TEST_CASE(withdrawn_key_stops_at_once)
{
    fixture test;
    test.submit(1, "/order/1");
    configuration::content next = fixture::content();
    next.version = 2;
    next.accounts.front().keys.clear();
    test.requests.set_configuration(std::make_shared<configuration::state>(next));
    test.submit(2, "/order/1");
    BOOST_TEST(test.sent.size() == 1U);
    BOOST_TEST((test.refused.front().reason == refusal::no_key));
}

// Guards against accounts that exceed their rate, and against losing the token of a
// request that was not run.
BOOST_AUTO_TEST_CASE(rate_limit_counts_only_requests_that_may_run)
{
    fixture test;
    test.submit(1, "/order/1", "small");
    test.submit(2, "/order/1", "small");
    BOOST_TEST((test.refused.front().reason == refusal::over_allowance));
    BOOST_TEST(test.refused.front().retry_after.count() > 0);
    test.end(1, attempt_outcome::not_run);
    test.end(1, attempt_outcome::not_run);
    test.submit(3, "/order/1", "small");
    BOOST_TEST(test.sent.size() == 3U);
}

// Guards against refusals that the log does not explain (seen in a run of
// rota-louche: no load was logged for a request refused because no slot was free).
BOOST_AUTO_TEST_CASE(refusals_are_recorded_with_their_cause)
{
    fixture test;
    test.submit(1, "/order/1", "small");
    test.submit(2, "/order/1", "small");
    BOOST_TEST((test.records.back().reason == refusal::over_allowance));
    BOOST_TEST(test.records.back().detail ==
               "the share of the limit available here is 1.000 of 1.0/s");
    gateway::exchange_id next = 3;
    while (test.records.back().reason != refusal::too_late && next < 200)
        test.submit(next++, "/order/1");
    BOOST_TEST((test.records.back().reason == refusal::too_late));
    BOOST_TEST(test.records.back().load > 3);
    BOOST_TEST(test.records.back().wait.count() > 0);
}

// Guards against work for a caller that has left, and against cancelling an order that
// may have been run.
BOOST_AUTO_TEST_CASE(only_idempotent_requests_are_cancelled_when_the_caller_leaves)
{
    fixture test;
    test.submit(1, "/read/1");
    test.requests.caller_left(start, 1);
    BOOST_TEST(test.cancelled.size() == 1U);
    test.submit(2, "/order/1");
    test.requests.caller_left(start, 2);
    BOOST_TEST(test.cancelled.size() == 1U);
    test.end(2, attempt_outcome::answered);
    BOOST_TEST(test.delivered.empty());
    BOOST_TEST(test.requests.totals().pending == 0U);
}

// Guards against giving an upstream more time than the caller or the route allows.
BOOST_AUTO_TEST_CASE(time_left_is_passed_on)
{
    fixture test;
    test.submit(1, "/read/1");
    BOOST_TEST(test.sent.front().time_left.count() == duration(800ms).count());
    test.end(1, attempt_outcome::broken);
    BOOST_TEST(test.sent.at(1).time_left.count() == duration(790ms).count());
}

// Guards against sending a request whose caller left while its token was requested, and
// against losing that token.
BOOST_AUTO_TEST_CASE(token_for_a_caller_that_left_is_returned)
{
    fixture test;
    test.delay_tokens = true;
    test.submit(1, "/order/1", "small");
    BOOST_TEST(test.sent.empty());
    test.requests.caller_left(start, 1);
    const allowance::admission token = test.allowances.admit(start, "small");
    BOOST_TEST_REQUIRE(token.admitted);
    test.requests.finish_admission(start, 1, token);
    BOOST_TEST(test.sent.empty());
    BOOST_TEST(test.requests.totals().pending == 0U);
    BOOST_TEST(test.allowances.admit(start, "small").admitted);
}

// Guards against a late or repeated token answer that sends a request twice.
BOOST_AUTO_TEST_CASE(repeated_token_answer_is_ignored)
{
    fixture test;
    test.delay_tokens = true;
    test.submit(1, "/order/1");
    test.requests.finish_admission(start, 1, {.admitted = true});
    test.requests.finish_admission(start, 1, {.admitted = true});
    test.requests.finish_admission(start, 1, {.admitted = false, .retry_after = 1s});
    BOOST_TEST(test.sent.size() == 1U);
    BOOST_TEST(test.refused.empty());
}

// Guards against a VM without a configuration that refuses requests for a missing route
// or key (404 or 401).
BOOST_AUTO_TEST_CASE(requests_without_a_configuration_are_refused_as_not_run)
{
    upstreams::upstream_set none({}, {});
    std::vector<gateway::refusal_answer> refused;
    gateway::gateway unconfigured(
        {}, none,
        {.refuse = [&](gateway::exchange_id, const gateway::refusal_answer& answer)
         {
             refused.push_back(answer);
         }});
    unconfigured.submit(start, 1, {.request_id = "1", .host = "a", .path = "/"});
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused.front().reason == refusal::no_configuration));
    BOOST_TEST(!refused.front().may_have_run);
}

// Guards against further requests to an upstream whose answer says that it is leaving.
// The answer itself must be delivered.
BOOST_AUTO_TEST_CASE(leaving_upstream_gets_no_further_request)
{
    fixture test;
    test.submit(1, "/read/1");
    const std::string leaving = test.sent.front().upstream;
    test.requests.finish_attempt(start + 10ms, 1, 1,
                                 {.outcome = attempt_outcome::answered,
                                  .status = 200,
                                  .answer = 200,
                                  .leaving = true});
    BOOST_TEST(test.delivered.size() == 1U);
    BOOST_TEST_REQUIRE(test.notices.size() == 1U);
    BOOST_TEST(test.notices.front().leaving);
    for (gateway::exchange_id id = 2; id < 10; ++id)
    {
        test.submit(id, "/read/1");
        BOOST_TEST(test.sent.back().upstream != leaving);
    }
}

// Guards against requests to an upstream that refuses one and asks for a pause: that
// request and the following ones must go to another upstream.
BOOST_AUTO_TEST_CASE(paused_upstream_gets_no_requests)
{
    fixture test;
    test.submit(1, "/order/1");
    const std::string paused = test.sent.front().upstream;
    test.requests.finish_attempt(
        start + 10ms, 1, 1,
        {.outcome = attempt_outcome::not_run, .status = 503, .pause = 2s});
    BOOST_TEST_REQUIRE(test.sent.size() == 2U);
    BOOST_TEST(test.sent.back().upstream != paused);
    BOOST_TEST_REQUIRE(test.notices.size() == 1U);
    BOOST_TEST((test.notices.front().pause == 2s));
    test.submit(2, "/order/1");
    BOOST_TEST(test.sent.back().upstream != paused);
}

// Guards against a request that is sent to an upstream with a request limit before a
// token of the limit is granted, and against one that waits although another upstream
// could take it.
BOOST_AUTO_TEST_CASE(limited_upstream_gets_requests_with_a_token)
{
    fixture test;
    test.name_limit("u1");
    test.name_limit("u2");
    test.submit(1, "/read/1");
    BOOST_TEST_REQUIRE(test.asked_upstreams.size() == 1U);
    BOOST_TEST(test.sent.empty());
    test.requests.finish_upstream_admission(start + 1ms, 1, {.admitted = true});
    BOOST_TEST_REQUIRE(test.sent.size() == 1U);
    BOOST_TEST(test.sent.back().upstream == test.asked_upstreams.back());

    test.submit(2, "/read/1");
    const std::string used_up = test.asked_upstreams.back();
    test.requests.finish_upstream_admission(start + 1ms, 2, {.retry_after = 200ms});
    BOOST_TEST_REQUIRE(test.asked_upstreams.size() == 3U);
    BOOST_TEST(test.asked_upstreams.back() != used_up);
    test.requests.finish_upstream_admission(start + 1ms, 2, {.admitted = true});
    BOOST_TEST_REQUIRE(test.sent.size() == 2U);
    BOOST_TEST(test.sent.back().upstream != used_up);
    for (gateway::exchange_id id = 3; id < 10; ++id)
    {
        test.submit(id, "/read/1");
        BOOST_TEST(test.asked_upstreams.back() != used_up);
    }
    BOOST_TEST(test.requests.totals().limited_attempts == 2U);
    BOOST_TEST(test.requests.totals().limit_refusals == 1U);
}

// All upstreams with limits are silent, so that no time of an answer is expected. Guards
// against a token for one of them that is never used: where the token is granted at once,
// the requests for it followed each other without end, and the process crashed.
BOOST_AUTO_TEST_CASE(token_of_a_silent_upstream_is_used)
{
    fixture test;
    test.name_limit("u1");
    test.name_limit("u2");
    for (const gateway::exchange_id id : {1U, 2U, 3U, 4U, 5U, 6U})
    {
        test.submit(id, "/order/" + std::to_string(id));
        test.requests.finish_upstream_admission(start, id, {.admitted = true});
    }
    const std::size_t sent = test.sent.size();
    test.now = start + 700ms;
    test.submit(7, "/read/1");
    const std::size_t asked = test.asked_upstreams.size();
    test.requests.finish_upstream_admission(test.now, 7, {.admitted = true});
    BOOST_TEST(test.sent.size() == sent + 1);
    BOOST_TEST(test.asked_upstreams.size() == asked);
    BOOST_TEST(test.returned_upstreams.empty());
}

// Guards against a request that asks for tokens without end because it can use none.
BOOST_AUTO_TEST_CASE(unused_tokens_are_bounded)
{
    fixture test;
    test.name_limit("u1");
    test.name_limit("u2");
    test.submit(1, "/read/1");
    // The upstream that was chosen starts again each time.
    for (std::int64_t started = 1; started < 20 && test.refused.empty(); ++started)
    {
        for (const char* id : {"u1", "u2"})
        {
            test.known.update(start, {.id = id,
                                      .service = "orders",
                                      .address = id,
                                      .data_centre = "n1",
                                      .slots = 3,
                                      .started = started});
            test.known.note_limit(start, {id, started}, start, {.rate = 2});
        }
        test.requests.finish_upstream_admission(start, 1, {.admitted = true});
    }
    BOOST_TEST(test.asked_upstreams.size() < 6U);
    BOOST_TEST(test.returned_upstreams.size() == test.asked_upstreams.size());
    BOOST_TEST_REQUIRE(test.refused.size() == 1U);
    BOOST_TEST((test.refused.front().reason == refusal::upstream_limit));
}

// Guards against tokens that are lost when their request does not use them.
BOOST_AUTO_TEST_CASE(unused_tokens_of_limits_are_returned)
{
    fixture test;
    test.name_limit("u1");
    test.name_limit("u2");
    test.submit(1, "/read/1");
    test.requests.caller_left(start + 1ms, 1);
    test.requests.finish_upstream_admission(start + 2ms, 1, {.admitted = true});
    BOOST_TEST(test.returned_upstreams == test.asked_upstreams);
    BOOST_TEST(test.sent.empty());
    BOOST_TEST(test.requests.totals().pending == 0U);
    // The upstream starts to leave while the request waits for its token.
    test.submit(2, "/read/1");
    const std::string leaving = test.asked_upstreams.back();
    test.known.note_leaving(start, {leaving, 0});
    test.requests.finish_upstream_admission(start + 2ms, 2, {.admitted = true});
    BOOST_TEST_REQUIRE(test.returned_upstreams.size() == 2U);
    BOOST_TEST(test.returned_upstreams.back() == leaving);
    test.requests.finish_upstream_admission(start + 2ms, 2, {.admitted = true});
    BOOST_TEST_REQUIRE(test.sent.size() == 1U);
    BOOST_TEST(test.sent.back().upstream != leaving);
}

// Guards against a request that waits, or is refused as if it may have run, when the
// limits of all upstreams are used up.
BOOST_AUTO_TEST_CASE(used_up_limits_refuse_at_once)
{
    fixture test;
    test.name_limit("u1");
    test.name_limit("u2");
    test.submit(1, "/order/1");
    test.requests.finish_upstream_admission(start, 1, {.retry_after = 700ms});
    test.requests.finish_upstream_admission(start, 1, {.retry_after = 900ms});
    BOOST_TEST(test.sent.empty());
    BOOST_TEST_REQUIRE(test.refused.size() == 1U);
    BOOST_TEST((test.refused.front().reason == refusal::upstream_limit));
    BOOST_TEST(!test.refused.front().may_have_run);
    BOOST_TEST((test.refused.front().retry_after == 700ms));
}

// Guards against an end that is taken for a broken connection when there is no other
// traffic, and against a planned end that is taken for a crash.
BOOST_AUTO_TEST_CASE(end_of_an_upstream_is_noticed_by_connections)
{
    fixture test;
    test.submit(1, "/order/1");
    const std::string first = test.sent.back().upstream;
    test.requests.finish_attempt(
        start + 10ms, 1, test.sent.size(),
        {.outcome = attempt_outcome::broken, .connection_lost = true});
    BOOST_TEST_REQUIRE(test.checked.size() == 1U);
    BOOST_TEST(test.checked.back() == first);
    test.requests.finish_connection_check(start + 11ms, {first, 0},
                                          quarantine::connection_check::refused);
    BOOST_TEST_REQUIRE(test.checked.size() == 2U);
    BOOST_TEST(test.checked.back() != first);
    BOOST_TEST(test.ended.empty());
    test.requests.finish_connection_check(start + 12ms, {test.checked.back(), 0},
                                          quarantine::connection_check::accepted);
    BOOST_TEST_REQUIRE(test.ended.size() == 1U);
    BOOST_TEST(test.ended.front().upstream.id == first);
    BOOST_TEST(test.ended.front().requests.size() == 1U);
    test.submit(2, "/order/2");
    test.known.note_leaving(start, {test.sent.back().upstream, 0});
    test.requests.finish_attempt(
        start + 20ms, 2, test.sent.size(),
        {.outcome = attempt_outcome::broken, .connection_lost = true});
    BOOST_TEST(test.checked.size() == 2U);
}

// Guards against retries at another VM that no budget was charged for, against a second
// hop, and against a rate that is charged at both VMs.
BOOST_AUTO_TEST_CASE(only_requests_that_no_upstream_got_are_passed_on)
{
    fixture test;
    test.forwards = true;
    test.known.remove("u2");
    test.submit(1, "/read/1");
    test.end(1, attempt_outcome::not_run);
    BOOST_TEST(test.forwarded.empty());
    BOOST_TEST(test.refused.size() == 1U);
    test.known.remove("u1");
    test.submit(2, "/read/2", "small");
    BOOST_TEST(test.forwarded.size() == 1U);
    BOOST_TEST(test.requests.totals().pending == 0U);
    // The account's only token was returned.
    BOOST_TEST(test.allowances.admit(start, "small").admitted);
    test.requests.submit(start, 3,
                         {.request_id = "3",
                          .host = "a.example",
                          .path = "/read/3",
                          .key = "key",
                          .is_forwarded = true,
                          .time_left = 1s});
    BOOST_TEST(test.forwarded.size() == 1U);
    BOOST_TEST_REQUIRE(test.refused.size() == 2U);
    BOOST_CHECK(test.refused.back().reason == refusal::no_upstream);
}

// A pipelined request has waited for earlier ones of its connection. Guards against a
// remaining time that counts from when the request was submitted: its caller would get an
// answer, and the upstream work, too late.
BOOST_AUTO_TEST_CASE(time_before_a_request_was_submitted_counts)
{
    fixture all;
    const auto submit = [&](gateway::exchange_id id, duration time_left, duration waited)
    {
        all.paths[id] = "/read/x";
        all.requests.submit(all.now, id,
                            {.request_id = std::to_string(id),
                             .host = "a.example",
                             .path = "/read/x",
                             .key = "key",
                             .time_left = time_left,
                             .waited = waited});
    };
    submit(1, 700ms, 300ms);
    submit(2, 1s, 300ms); // the route's timeout is 800 ms
    BOOST_TEST_REQUIRE(all.sent.size() == 2U);
    BOOST_TEST((all.sent[0].time_left == 400ms));
    BOOST_TEST((all.sent[1].time_left == 500ms));
    all.end(2, attempt_outcome::answered);
    BOOST_TEST((all.records.back().elapsed == 310ms));
    BOOST_TEST((all.records.back().waited == 300ms));
    // No upstream gets a request whose time is over, and it counts as not run.
    submit(3, 300ms, 300ms);
    BOOST_TEST(all.sent.size() == 2U);
    BOOST_TEST_REQUIRE(all.refused.size() == 1U);
    BOOST_TEST((all.refused.front().reason == refusal::too_late));
    BOOST_TEST(!all.refused.front().may_have_run);
}

// Guards against a request that must run once and is passed on beside others of its
// connection, and against the same for a request without a route.
BOOST_AUTO_TEST_CASE(only_idempotent_routes_may_overlap)
{
    const fixture all;
    BOOST_TEST(all.requests.is_idempotent("a.example", "/read/x"));
    BOOST_TEST(!all.requests.is_idempotent("a.example", "/order/x"));
    BOOST_TEST(!all.requests.is_idempotent("a.example", "/other/x"));
    BOOST_TEST(!all.requests.is_idempotent("b.example", "/read/x"));
}

// Guards against an upstream that refuses connections and is not known to be cold when it
// accepts again, and against a connect timeout that is taken for a refusal.
BOOST_AUTO_TEST_CASE(refused_connection_makes_an_upstream_cold)
{
    for (const bool refused : {false, true})
        for (const bool checked : {false, true})
        {
            fixture test;
            const std::vector<configuration::service> services = {
                {.name = "orders", .cold_time = 3s, .cold_rate = 14}};
            test.known.set_services(services);
            // Enough that both upstreams have been used.
            for (gateway::exchange_id id = 1; id <= 20; ++id)
            {
                test.submit(id, "/read/1");
                test.requests.finish_attempt(
                    start + 10ms, id, test.sent.size(),
                    {.outcome = attempt_outcome::answered, .status = 200, .answer = 1});
            }
            test.submit(21, "/read/1");
            const upstreams::upstream_start used{test.sent.back().upstream, 0};
            if (checked)
                test.requests.finish_connection_check(
                    start + 20ms, used,
                    refused ? quarantine::connection_check::refused
                            : quarantine::connection_check::unclear);
            else
                test.requests.finish_attempt(start + 20ms, 21, test.sent.size(),
                                             {.outcome = attempt_outcome::not_sent,
                                              .connection_refused = refused});
            for (const upstreams::upstream_view& each : test.known.views(start + 20ms))
                BOOST_TEST(each.cold == (refused && each.id == used.id));
        }
}
