// Requests in the gateway while an admission controller decides.

#include "pistachiospan/gateway/gateway.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;
using gateway::attempt_outcome;
using gateway::refusal;

namespace
{

constexpr time_point start(1000s);

struct noted
{
    admission::outcome outcome;
    duration elapsed;
};

struct fixture
{
    fixture()
        : known({.data_centre = "n1"}, {{"n1", "north"}}),
          requests(
              {}, this->known,
              {.ask_token = [this](gateway::exchange_id id, const std::string&)
               { this->requests.finish_admission(start, id, {.admitted = true}); },
               .return_token = [this](const std::string& account)
               { this->returned.push_back(account); },
               .ask_upstream_token = [](gateway::exchange_id,
                                        const upstreams::upstream_start&) {},
               .return_upstream_token = [](const upstreams::upstream_start&) {},
               .send =
                   [this](const gateway::attempt& attempt)
               {
                   this->sent.push_back(attempt);
                   return static_cast<gateway::call_id>(this->sent.size());
               },
               .cancel = [](gateway::call_id) {},
               .deliver = [](gateway::exchange_id, const std::any&) {},
               .refuse = [this](gateway::exchange_id, const gateway::refusal_answer& why)
               { this->refused.push_back(why); },
               .admission = {.decide =
                                 [this](time_point, const admission::request& asked)
                             {
                                 this->asked.push_back(asked);
                                 return this->decision;
                             },
                             .note =
                                 [this](time_point, const admission::request&,
                                        admission::outcome what, duration elapsed) {
                                     this->notes.push_back({what, elapsed});
                                 },
                             .retry_turn =
                                 [this](time_point, const admission::request&)
                             {
                                 return this->turn;
                             }}})
    {
        for (const char* id : {"u1", "u2"})
            this->known.update(start, {.id = id,
                                       .service = "orders",
                                       .address = id,
                                       .data_centre = "n1",
                                       .slots = 3});
        this->requests.set_configuration(
            std::make_shared<configuration::state>(configuration::content{
                .version = 1,
                .services = {{.name = "orders"}},
                .accounts = {{.name = "shop", .keys = {"key"}},
                             {.name = "batch", .keys = {"later"}, .priority = 2}},
                .routes = {{.name = "read",
                            .host = "a.example",
                            .prefix = "/read/",
                            .kind = configuration::repeatability::idempotent,
                            .timeout = 800ms,
                            .latency_objective = 300ms,
                            .priority = 1,
                            .max_attempts = 2,
                            .targets = {{.service = "orders"}}}}}));
    }

    void submit(gateway::exchange_id id, const std::string& key = "key",
                duration time_left = 1s)
    {
        this->requests.submit(start, id,
                              {.request_id = std::to_string(id),
                               .host = "a.example",
                               .path = "/read/1",
                               .key = key,
                               .time_left = time_left});
    }

    void end(gateway::exchange_id id, duration after, gateway::attempt_result result)
    {
        this->requests.finish_attempt(start + after, id, this->sent.size(),
                                      std::move(result));
    }

    std::vector<gateway::attempt> sent;
    std::vector<gateway::refusal_answer> refused;
    std::vector<std::string> returned; // tokens, by account
    std::vector<admission::request> asked;
    std::vector<noted> notes;
    admission::decision decision;
    duration turn{0};
    upstreams::upstream_set known;
    gateway::gateway requests;
};

} // namespace

// Guards against a request that is refused for its share but charged or marked as run.
BOOST_AUTO_TEST_CASE(request_over_its_share_is_refused_as_not_run)
{
    fixture test;
    test.decision = {.admitted = false, .retry_after = 130ms};
    test.submit(1);
    BOOST_TEST(test.sent.empty());
    BOOST_TEST_REQUIRE(test.refused.size() == 1U);
    BOOST_TEST((test.refused[0].reason == refusal::over_share));
    BOOST_TEST(!test.refused[0].may_have_run);
    BOOST_TEST((test.refused[0].retry_after == 130ms));
    BOOST_TEST(test.returned == std::vector<std::string>{"shop"});
    BOOST_TEST(test.notes.empty());
    BOOST_TEST(test.requests.totals().pending == 0U);
}

// Guards against an account's priority that does not replace the route's.
BOOST_AUTO_TEST_CASE(decision_is_asked_with_the_urgency_of_the_account)
{
    fixture test;
    test.submit(1);
    test.submit(2, "later");
    BOOST_TEST_REQUIRE(test.asked.size() == 2U);
    BOOST_TEST(test.asked[0].priority == 1);
    BOOST_TEST(test.asked[1].priority == 2);
    BOOST_TEST((test.asked[1].objective == 300ms));
    BOOST_TEST((test.asked[1].time_left == 800ms));
}

// Guards against a retry that is decided about again, and refused after it was admitted.
BOOST_AUTO_TEST_CASE(decision_is_asked_once_for_each_request)
{
    fixture test;
    test.submit(1);
    test.decision.admitted = false;
    test.end(1, 10ms, {.outcome = attempt_outcome::not_run});
    BOOST_TEST(test.asked.size() == 1U);
    BOOST_TEST(test.sent.size() == 2U);
    BOOST_TEST_REQUIRE(test.notes.size() == 3U);
    BOOST_TEST((test.notes[0].outcome == admission::outcome::placed));
    BOOST_TEST((test.notes[1].outcome == admission::outcome::refused));
    BOOST_TEST((test.notes[2].outcome == admission::outcome::placed));
}

// Guards against lack of time that is not told, and a time to retry before the turn.
BOOST_AUTO_TEST_CASE(lack_of_room_is_told_and_gets_a_turn)
{
    fixture test;
    test.turn = 900ms;
    test.submit(1, "key", 20ms);
    BOOST_TEST_REQUIRE(test.refused.size() == 1U);
    BOOST_TEST((test.refused[0].reason == refusal::too_late));
    BOOST_TEST((test.refused[0].retry_after == 900ms));
    BOOST_TEST_REQUIRE(test.notes.size() == 1U);
    BOOST_TEST((test.notes[0].outcome == admission::outcome::no_room));
}

// Guards against a slow answer that is taken for lack of room although nothing waited,
// and the reverse.
BOOST_AUTO_TEST_CASE(late_answer_counts_only_if_requests_waited)
{
    for (const std::uint32_t waiting : {0U, 2U})
    {
        fixture test;
        test.submit(1);
        test.end(1, 400ms,
                 {.outcome = attempt_outcome::answered,
                  .status = 200,
                  .load = upstreams::load_report{.running = 3, .waiting = waiting}});
        BOOST_TEST_REQUIRE(test.notes.size() == 2U);
        BOOST_TEST(
            (test.notes[1].outcome == (waiting > 0 ? admission::outcome::answered_late
                                                   : admission::outcome::answered)));
        BOOST_TEST((test.notes[1].elapsed == 400ms));
    }
}
