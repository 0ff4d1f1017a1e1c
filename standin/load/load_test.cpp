#include "standin/common/answer.hpp"
#include "standin/load/load_run.hpp"
#include "standin/upstream/upstream_server.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::standin;
using namespace std::chrono_literals;

namespace
{

// Entry VM reduced to what the load tool needs: names itself and its peers in look-ups,
// turns the key into an account and forwards to one upstream.
struct small_entry
{
    small_entry(event_base* base, std::string upstream)
        : upstream(std::move(upstream)), pool(base, {}),
          server(base, {}, [this](const exchange_ptr& call) { handle(call); }),
          address(server.listen("127.0.0.1:0"))
    {
    }

    void handle(const exchange_ptr& call)
    {
        if (call->path() == "/.well-known/pistachiospan/lookup")
        {
            ++lookups;
            nlohmann::json vms = nlohmann::json::array();
            for (const auto& [peer, weight] : peers)
                vms.push_back({{"vm", peer}, {"address", peer}, {"weight", weight}});
            const nlohmann::json body = {{"route", call->query("route").value_or("")},
                                         {"ttl_ms", 50},
                                         {"entry_vms", vms},
                                         {"idempotency_key_prefix", "p-"}};
            call->answer({.body = body.dump()});
            return;
        }
        arrivals.emplace(call->header("X-Request-Id").value_or(""), now());
        if (!before || !before(call))
            forward(call);
    }

    void forward(const exchange_ptr& call)
    {
        pool_request request{
            .address = upstream,
            .target = call->path() + "?answer_bytes=" + *call->query("answer_bytes"),
            .headers = {{"X-Request-Id", *call->header("X-Request-Id")},
                        {"X-Client-Account", call->header("X-Client-Key")
                                                 ? "of-" + *call->header("X-Client-Key")
                                                 : ""}},
            .body_head = call->body(),
            .keep_body = true};
        if (call->method() == "POST")
            request.method = EVHTTP_REQ_POST;
        if (const auto key = call->header("Idempotency-Key"))
            request.headers.emplace_back("Idempotency-Key", *key);
        pool.call(request,
                  [this, call](const pool_answer& answer)
                  {
                      if (!after || !after(call))
                          call->answer({.status = answer.status,
                                        .headers = answer_headers,
                                        .body = answer.kept});
                  });
    }

    std::string upstream;
    std::vector<std::pair<std::string, double>> peers;
    std::function<bool(const exchange_ptr&)> before; // true: has dealt with the request
    std::function<bool(const exchange_ptr&)> after;  // the same, once it has run
    std::multimap<std::string, time_point> arrivals; // by request id
    std::vector<std::pair<std::string, std::string>> answer_headers;
    int lookups = 0;
    http_pool pool;
    http_server server;
    std::string address;
};

bool refuse(const exchange_ptr& call)
{
    call->answer({.status = 429,
                  .headers = {{"Retry-After", "1"}},
                  .body = R"({"code":"rate","ran":"no","retry_after_ms":200})"});
    return true;
}

struct setting
{
    event_owner<event_base> base = make_loop();
    upstream_server upstream{
        base.get(),
        {.listen = "127.0.0.1:0", .behaviour = {.slots = 100, .service_time_ms = 0}}};
    small_entry first{base.get(), upstream.address()};
    small_entry second{base.get(), upstream.address()};
    load_options options{.entries = {first.address},
                         .accounts = {{.name = "of-a", .key = "a", .rate = 2000},
                                      {.name = "of-b", .key = "b", .rate = 1000}},
                         .routes = {{.name = "r", .path = "/r"}},
                         .upstreams = {upstream.address()},
                         .post_share = 0.5,
                         .deadline = 60s,
                         .max_requests = 60,
                         .max_time = 60s,
                         .seed = 7};

    setting()
    {
        first.peers = {{first.address, 1}, {second.address, 1}};
        second.peers = first.peers;
    }

    load_report run()
    {
        load_run load(base.get(), options, [this] { event_base_loopbreak(base.get()); });
        event_base_dispatch(base.get());
        BOOST_TEST(load.report().counts.ended() == load.report().counts.sent);
        return load.report();
    }
};

std::string good_body(const expected_answer& of)
{
    return R"({"request_id":")" + of.request_id + R"(","account":"a","bytes_received":)" +
           std::to_string(of.bytes_sent) + R"(,"body_id":")" + of.request_id +
           R"(","filler":")" +
           std::string(of.answer_bytes, filler_letter(of.request_id)) + "\"}";
}

} // namespace

// Guards against a check that passes a damaged answer or depends on how it is split:
// every truncation, and a changed byte in any part, of small and large answers.
BOOST_AUTO_TEST_CASE(the_check_finds_every_damaged_answer_however_it_is_split)
{
    random_engine random(3);
    const auto verify = [&](const std::string& body,
                            const expected_answer& expected) -> bool
    {
        body_check check;
        for (std::size_t at = 0; at < body.size();)
        {
            const std::size_t part = 1 + random() % 3000;
            check.add(std::string_view(body).substr(at, part));
            at += part;
        }
        return !check.verify(expected).has_value();
    };
    for (const std::uint64_t size : {0, 10, 3990, 4000, 4010, 4020, 9000})
    {
        const expected_answer expected{.request_id = "load-1",
                                       .account = "a",
                                       .bytes_sent = 10,
                                       .answer_bytes = size};
        const std::string body = good_body(expected);
        BOOST_TEST(verify(body, expected));
        BOOST_TEST(!verify(body, {.request_id = "load-2",
                                  .account = "a",
                                  .bytes_sent = 10,
                                  .answer_bytes = size}));
        BOOST_TEST(!verify(body + " ", expected));
        for (std::size_t cut = 0; cut < body.size(); cut += 1 + random() % 50)
        {
            BOOST_TEST(!verify(body.substr(0, cut), expected));
            std::string damaged = body;
            damaged[cut] = '\x7f';
            BOOST_TEST(!verify(damaged, expected));
        }
    }
}

// Guards against callers that ignore TTL or weights, or stop when look-ups fail.
BOOST_AUTO_TEST_CASE(the_directory_honours_ttl_and_weights)
{
    const auto answer = [](int x, int y)
    {
        return nlohmann::json{{"route", "r"},
                              {"ttl_ms", 5000},
                              {"entry_vms",
                               {{{"vm", "x"}, {"address", "x"}, {"weight", x}},
                                {{"vm", "y"}, {"address", "y"}, {"weight", y}}}}}
            .dump();
    };
    random_engine random(5);
    directory known;
    const time_point start(1s);
    BOOST_TEST(known.is_due("r", start));
    BOOST_TEST(!known.is_due("r", start)); // one at a time
    BOOST_TEST(!known.learn("r", "{}", start).has_value());
    BOOST_TEST(!known.is_usable("r", start));
    BOOST_TEST(known.is_due("r", start + 1s));
    BOOST_TEST(known.learn("r", answer(3, 1), start + 1s).has_value());
    BOOST_TEST(!known.is_due("r", start + 5s));
    BOOST_TEST(known.is_due("r", start + 6s));
    BOOST_TEST(!known.is_usable("r", start + 6s));
    known.fail("r", start + 6s);
    BOOST_TEST(known.is_usable("r", start + 6s));
    int chosen = 0;
    for (int draw = 0; draw < 4000; ++draw)
        chosen += known.pick("r", "", random)->vm == "x" ? 1 : 0;
    BOOST_TEST(chosen > 2850);
    BOOST_TEST(chosen < 3150);
    BOOST_TEST(known.pick("r", "x", random)->vm == "y");
    BOOST_TEST(known.learn("r", answer(0, 1), start + 7s).has_value());
    BOOST_TEST(known.pick("r", "y", random)->vm == "y"); // x leaves
}

BOOST_FIXTURE_TEST_CASE(a_healthy_run_is_answered_and_checked, setting)
{
    options.answer_bytes = 5000;
    options.large_share = 0.1;
    options.large_bytes = 300'000;
    const load_report report = run();
    BOOST_TEST(report.counts.answered == 60U);
    BOOST_TEST(report.check.is_done);
    BOOST_TEST(report.check.duplicates + report.check.answered_not_run == 0U);
    BOOST_TEST(report.check.keys_seen == 0U);
    BOOST_TEST(report.latency.count() == 60U);
    BOOST_TEST(!first.arrivals.empty());
    BOOST_TEST(!second.arrivals.empty());
    BOOST_TEST(report.describe()["accounts"].size() == 2U);
    options.anonymous = true;
    const load_report open = run();
    BOOST_TEST(open.counts.answered == 60U);
    BOOST_TEST(open.check.answered_not_run == 0U);
    // The account must be the key's: swapped accounts are wrong answers.
    options.anonymous = false;
    std::swap(options.accounts[0].key, options.accounts[1].key);
    BOOST_TEST(run().counts.wrong == 60U);
}

// Guards against reporting requests as lost when a VM ends its idle connections, as in a
// graceful shutdown, and against a caller that never renews its look-up.
BOOST_FIXTURE_TEST_CASE(closed_connections_lose_nothing, setting)
{
    first.answer_headers = second.answer_headers = {{"Connection", "close"}};
    options.connections = 1;
    options.accounts = {{.name = "of-a", .key = "a", .rate = 200}};
    const load_report report = run();
    BOOST_TEST(report.counts.answered == 60U);
    BOOST_TEST(first.lookups + second.lookups > 1);
}

// Guards against damage that the tool does not see: every kind that upstreams can cause.
BOOST_FIXTURE_TEST_CASE(damaged_answers_are_reported_by_kind, setting)
{
    options.direct = upstream.address();
    options.closed_loop = 4;
    upstream.behaviour.wrong_id = 1;
    BOOST_TEST(run().counts.wrong == 60U);
    upstream.behaviour.wrong_id = 0;
    upstream.behaviour.truncate = 0.5;
    upstream.behaviour.crash = 0.5;
    BOOST_TEST(run().counts.lost == 60U);
    upstream.behaviour.truncate = upstream.behaviour.crash = 0;
    upstream.behaviour.late = 1;
    upstream.behaviour.late_ms = 100;
    options.deadline = 100ms; // the caller waits a little longer
    const load_report late = run();
    BOOST_TEST(late.counts.late == late.counts.answered);
    upstream.behaviour.late = 0;
    options.deadline = 60s;
    upstream.behaviour.shed = shed_policy::always;
    const load_report shed = run();
    BOOST_TEST((shed.counts.refusals.at({"http_503", "no"}) == 60U));
    BOOST_TEST(shed.check.false_not_run == 0U);
}

// Guards against missing a duplicate: the first VM loses each answer after the run, and
// nothing in this setting prevents the second run.
BOOST_FIXTURE_TEST_CASE(a_repeat_through_another_vm_that_runs_twice_is_found, setting)
{
    first.peers = {{first.address, 1'000'000}, {second.address, 1}};
    second.peers = first.peers;
    first.after = [](const exchange_ptr& call)
    {
        call->drop();
        return true;
    };
    options.post_share = 1;
    options.max_repeats = 1;
    options.repeat_lost = true;
    const load_report report = run();
    BOOST_TEST(report.counts.answered == 60U);
    BOOST_TEST(report.repeats == first.arrivals.size());
    BOOST_TEST(report.check.duplicates == report.repeats);
    options.repeat_lost = false;
    BOOST_TEST(run().counts.lost > 0U);
}

// Guards against repeats before Retry-After: they count as a caller's misbehaviour.
BOOST_FIXTURE_TEST_CASE(refused_requests_wait_for_retry_after, setting)
{
    first.before = second.before = [this](const exchange_ptr& call)
    {
        const std::string id = call->header("X-Request-Id").value();
        const std::size_t seen = first.arrivals.count(id) + second.arrivals.count(id);
        return seen == 1 && refuse(call);
    };
    options.max_requests = 5;
    options.max_repeats = 1;
    const load_report report = run();
    BOOST_TEST(report.counts.answered == 5U);
    BOOST_TEST(report.repeats == 5U);
    for (const auto& [id, at] : first.arrivals)
        for (const auto& [other, later] : second.arrivals)
            if (id == other)
                BOOST_TEST(std::chrono::abs(later - at).count() >=
                           duration(1s).count()); // the later of header and body
}

// Guards against believing a refusal that says "not run" after a run.
BOOST_FIXTURE_TEST_CASE(a_false_not_run_is_found, setting)
{
    first.after = second.after = refuse;
    options.post_share = 1;
    const load_report report = run();
    BOOST_TEST((report.counts.refusals.at({"rate", "no"}) == 60U));
    BOOST_TEST(report.check.false_not_run == 60U);
}

// Guards against a run that hangs or passes when no entry VM answers.
BOOST_FIXTURE_TEST_CASE(without_an_entry_vm_all_requests_are_lost, setting)
{
    first.server.close();
    options.deadline = 300ms;
    const load_report report = run();
    BOOST_TEST(report.counts.lost == 60U);
    BOOST_TEST(report.lookups_failed > 0U);
}
