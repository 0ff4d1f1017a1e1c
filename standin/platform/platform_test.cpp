#include "pistachiospan/store_http/store_http.hpp"
#include "standin/load/http_pool.hpp"
#include "standin/platform/platform_server.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::standin;
using namespace std::chrono_literals;

namespace
{

// Ample: only the tests of lost answers wait for it.
constexpr duration ample = 60s;
// Long enough for a request to reach the server on a busy machine.
constexpr duration brief = 500ms;

struct setting
{
    event_owner<event_base> base = make_loop();
    platform_server server{base.get(),
                           {.listen = "127.0.0.1:0", .control = "127.0.0.1:0"}};
    store::http_platform client{base.get(),
                                {.address = server.address(), .timeout = ample}};
    store::table& rows = client;
    store::object_store& objects = client;
    store::testing::faults& faults = server.platform.service;

    // Runs the loop until the call made by `start` has ended.
    template <class T, class Start>
    result<T> wait(Start start)
    {
        std::optional<result<T>> ended;
        start(store::handler<T>(
            [&](result<T> outcome)
            {
                ended = std::move(outcome);
                event_base_loopbreak(base.get());
            }));
        BOOST_TEST_REQUIRE(!ended.has_value()); // never from within the call
        event_base_dispatch(base.get());
        return *ended;
    }

    result<store::transaction_outcome> write(store::table& through, std::string key,
                                             store::revision expected, std::string value)
    {
        return wait<store::transaction_outcome>(
            [&](auto done)
            {
                through.transact(
                    {{.key = std::move(key), .expected = expected, .value = value}},
                    done);
            });
    }

    result<std::optional<store::row>> read(store::table& through, std::string key)
    {
        return wait<std::optional<store::row>>([&](auto done)
                                               { through.get(std::move(key), done); });
    }
};

template <class T>
bool failed_with(const result<T>& outcome, errc code)
{
    return !outcome && outcome.error().code == code;
}

} // namespace

// Guards against an encoding that loses keys, values or marks on the way.
BOOST_FIXTURE_TEST_CASE(rows_objects_and_vms_arrive_unchanged, setting)
{
    const std::string key = "share/dc-a b&c=%41/0";
    const auto made = write(rows, key, 0, "two\nlines \"quoted\"");
    BOOST_TEST(made.value().committed);
    BOOST_TEST((read(rows, key).value() == made.value().rows.at(0)));
    BOOST_TEST(!read(rows, "share").value().has_value());
    const auto conflict = write(rows, key, 0, "other");
    BOOST_TEST(!conflict.value().committed);
    BOOST_TEST(conflict.value().rows.at(0).value == "two\nlines \"quoted\"");
    const auto scanned =
        wait<std::vector<store::row>>([&](auto done) { rows.scan("share/", done); });
    BOOST_TEST(scanned.value().size() == 1U);

    const std::string bytes = std::string(300'000, '\xff') + '\0';
    BOOST_TEST(wait<bool>([&](auto done) { objects.put("catalogue/1", bytes, done); })
                   .has_value());
    const auto got =
        wait<std::string>([&](auto done) { objects.get("catalogue/1", done); });
    BOOST_TEST((got.value() == bytes));
    BOOST_TEST(failed_with(
        wait<std::string>([&](auto done) { objects.get("catalogue/2", done); }),
        errc::not_found));

    server.platform.vms.add(server.platform.now(), {.id = {"vm-1"}, .region = "borneo"});
    BOOST_TEST(
        server.platform.vms.mark_leaving(server.platform.now(), {"vm-1"}).has_value());
    const auto vms =
        wait<std::vector<store::vm_entry>>([&](auto done) { client.list(done); });
    BOOST_TEST(vms.value().at(0).region == "borneo");
    BOOST_TEST(vms.value().at(0).leaving);
}

// Guards against taking a lost answer for a failed write, which would repeat the edit.
BOOST_FIXTURE_TEST_CASE(a_lost_answer_is_an_unknown_outcome, setting)
{
    store::http_platform hasty(base.get(),
                               {.address = server.address(), .timeout = brief});
    faults.lose_answers = 1;
    BOOST_TEST(failed_with(write(hasty, "a", 0, "1"), errc::unknown_outcome));
    BOOST_TEST(read(rows, "a").value()->value == "1");
    faults.silent = true;
    BOOST_TEST(failed_with(write(hasty, "a", 1, "2"), errc::unknown_outcome));
    BOOST_TEST(failed_with(read(hasty, "a"), errc::unavailable));
    faults.silent = false;
    BOOST_TEST(read(rows, "a").value()->value == "1");
}

// Guards against a client that stays broken after an outage, and against reporting an
// unknown outcome when no connection was made.
BOOST_FIXTURE_TEST_CASE(an_outage_is_unavailable_and_ends, setting)
{
    BOOST_TEST(write(rows, "a", 0, "1").has_value());
    faults.refuse = true;
    BOOST_TEST(failed_with(write(rows, "a", 1, "2"), errc::unavailable));
    faults.refuse = false;
    faults.overloaded = true;
    BOOST_TEST(failed_with(write(rows, "a", 1, "2"), errc::limit_exceeded));
    faults.overloaded = false;

    const auto control = [&](const std::string& address, const std::string& body)
    {
        int status = 0;
        http_pool pool(base.get(), {});
        pool.call({.address = address,
                   .method = EVHTTP_REQ_POST,
                   .target = "/control",
                   .body_head = body},
                  [&](const pool_answer& answer)
                  {
                      status = answer.status;
                      event_base_loopbreak(base.get());
                  });
        event_base_dispatch(base.get());
        return status;
    };
    // A server freed by its own request would crash.
    BOOST_TEST(control(server.address(), R"({"closed":true})") == 400);
    BOOST_TEST(control(server.control_address(), R"({"closed":true})") == 200);
    BOOST_TEST(failed_with(write(rows, "a", 1, "3"), errc::unavailable));
    BOOST_TEST(failed_with(read(rows, "a"), errc::unavailable));
    BOOST_TEST(control(server.control_address(), R"({"closed":false})") == 200);
    BOOST_TEST(read(rows, "a").value()->value == "1");
}

// Guards against calls without a bound: the wait for a connection counts towards the
// timeout, and the number of waiting calls is limited.
BOOST_FIXTURE_TEST_CASE(waiting_calls_are_bounded_and_end_as_not_written, setting)
{
    store::http_platform narrow(base.get(), {.address = server.address(),
                                             .timeout = brief,
                                             .connections = 1,
                                             .max_waiting = 2});
    faults.silent = true;
    std::vector<std::string> ends;
    for (int call = 0; call < 3; ++call)
        narrow.transact({{.key = "a"}},
                        [&](const result<store::transaction_outcome>& outcome)
                        {
                            ends.push_back(outcome.error().code.message());
                            if (ends.size() == 3)
                                event_base_loopbreak(base.get());
                        });
    event_base_dispatch(base.get());
    const std::vector<std::string> expected = {"limit exceeded", "outcome unknown",
                                               "service unavailable"};
    BOOST_TEST(ends == expected, boost::test_tools::per_element());
}

// Guards against values that JSON cannot carry and answers that exhaust the memory.
BOOST_FIXTURE_TEST_CASE(bad_values_and_large_answers_are_refused, setting)
{
    BOOST_TEST(failed_with(write(rows, "a", 0, "\xff"), errc::invalid_argument));
    server.platform.data.put_object("large", std::string(100'000, 'x'));
    store::http_platform small(base.get(),
                               {.address = server.address(), .max_response_body = 1000});
    store::object_store& through = small;
    BOOST_TEST(
        failed_with(wait<std::string>([&](auto done) { through.get("large", done); }),
                    errc::limit_exceeded));
    BOOST_CHECK_THROW(store::http_platform(base.get(), {.address = "platform:80"}),
                      std::invalid_argument);
}

// Guards against trusting an answer that does not prove what became of a write.
BOOST_FIXTURE_TEST_CASE(doubtful_answers_to_writes_are_unknown_outcomes, setting)
{
    std::function<void(const exchange_ptr&)> reply;
    http_server doubtful(base.get(), {}, [&](const exchange_ptr& call) { reply(call); });
    store::http_platform through(
        base.get(), {.address = doubtful.listen("127.0.0.1:0"), .timeout = ample});
    const auto expect = [&](errc of_write, errc of_read)
    {
        BOOST_TEST(failed_with(write(through, "a", 0, "1"), of_write));
        BOOST_TEST(failed_with(read(through, "a"), of_read));
    };
    for (const http_answer& answer :
         {http_answer{.body = "{}"}, http_answer{.body = "not JSON"},
          http_answer{.body = R"({"committed":true,"rows":[{"key":1}],"row":{}})"},
          http_answer{.status = 500}, http_answer{.status = 503}})
    {
        reply = [&](const exchange_ptr& call)
        {
            call->answer(answer);
        };
        expect(errc::unknown_outcome, errc::unavailable);
    }
    reply = [](const exchange_ptr& call)
    {
        call->drop();
    };
    expect(errc::unknown_outcome, errc::unavailable);
    reply = [](const exchange_ptr& call)
    {
        call->answer_truncated({.body = R"({"committed":true,"rows":[],"row":null})"});
    };
    expect(errc::unknown_outcome, errc::unavailable);
    // evhttp reads a body with an unknown coding until its connection ends.
    reply = [](const exchange_ptr& call)
    {
        call->answer({.headers = {{"Transfer-Encoding", "gzip"}, {"Connection", "close"}},
                      .body = R"({"committed":true,"rows":[],"row":null})"});
    };
    expect(errc::unknown_outcome, errc::unavailable);
    reply = [](const exchange_ptr& call)
    {
        call->answer({.status = 503, .headers = {{"X-Not-Run", "1"}}});
    };
    expect(errc::unavailable, errc::unavailable);
    reply = [](const exchange_ptr& call)
    {
        call->answer({.status = 400});
    };
    expect(errc::invalid_argument, errc::invalid_argument);
}

// Guards against use of a destroyed client by answers under way.
BOOST_FIXTURE_TEST_CASE(destruction_drops_calls_under_way, setting)
{
    faults.latency = 20ms;
    auto ending = std::make_unique<store::http_platform>(
        base.get(), store::http_platform_options{.address = server.address()});
    ending->transact({{.key = "a"}}, [](const auto&) { BOOST_FAIL("handler called"); });
    event_base_loop(base.get(), EVLOOP_ONCE);
    event_base_loop(base.get(), EVLOOP_ONCE);
    ending.reset();
    faults.latency = duration::zero();
    BOOST_TEST(read(rows, "b").has_value());
}
