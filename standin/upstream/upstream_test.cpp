#include "standin/load/http_pool.hpp"
#include "standin/upstream/upstream_server.hpp"

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace pistachiospan;
using namespace pistachiospan::standin;
using namespace std::chrono_literals;

namespace
{

// A service time that no test waits for.
constexpr double endless_ms = 600'000;

struct setting
{
    event_owner<event_base> base = make_loop();
    upstream_server server{
        base.get(),
        {.listen = "127.0.0.1:0",
         .behaviour = {.slots = 2,
                       .service_time_ms = 0,
                       .distribution = service_distribution::constant}}};
    http_pool pool{base.get(), {}};
    std::vector<pool_answer> answers;

    void call(std::string target,
              std::vector<std::pair<std::string, std::string>> headers = {},
              duration timeout = 60s)
    {
        pool.call({.address = server.address(),
                   .target = std::move(target),
                   .headers = std::move(headers),
                   .timeout = timeout,
                   .keep_body = true},
                  [this](const pool_answer& answer) { answers.push_back(answer); });
    }

    template <class Condition>
    void run_until(Condition reached)
    {
        while (!reached())
            event_base_loop(base.get(), EVLOOP_ONCE);
    }

    pool_answer wait()
    {
        run_until([this] { return !answers.empty(); });
        pool_answer first = answers.front();
        answers.erase(answers.begin());
        return first;
    }
};

} // namespace

// Guards against a stand-in that hides an overload: the check of invariant 2 and of slots
// relies on these counts.
BOOST_FIXTURE_TEST_CASE(requests_over_the_slots_are_counted_and_shed_on_demand, setting)
{
    server.behaviour.service_time_ms = endless_ms;
    for (int made = 0; made < 3; ++made)
        call("/a", {{"X-Client-Key", "k"}, {"Idempotency-Key", "same"}});
    run_until([this] { return server.counts.runs == 3; });
    BOOST_TEST(server.counts.over_slots == 1U);
    BOOST_TEST(server.counts.highest_concurrency == 3U);
    BOOST_TEST(server.counts.keys_seen == 3U);

    server.behaviour.shed = shed_policy::over_slots;
    call("/a");
    const pool_answer refused = wait();
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.not_run);
    BOOST_TEST(server.counts.runs == 3U);
    BOOST_TEST(server.counts.over_slots == 2U);
    call("/counts?keys=1");
    const auto counts = nlohmann::json::parse(wait().kept);
    BOOST_TEST(counts["keys"][" same"] == 3);
    BOOST_TEST(counts["repeated_keys"][" same"] == 3);
    BOOST_TEST(counts["in_flight"] == 3);
}

// Guards against work for callers that have gone, and past their deadline.
BOOST_FIXTURE_TEST_CASE(runs_stop_at_cancellation_and_deadline, setting)
{
    server.behaviour.service_time_ms = endless_ms;
    call("/a", {}, 20ms);
    BOOST_TEST((wait().end != pool_end::answered));
    call("/a", {{"X-Deadline-Ms", "20"}});
    const pool_answer stopped = wait();
    BOOST_TEST(stopped.status == 504);
    BOOST_TEST(!stopped.not_run);
    call("/a", {{"X-Deadline-Ms", "0"}});
    const pool_answer expired = wait();
    BOOST_TEST(expired.status == 504);
    BOOST_TEST(expired.not_run);
    run_until(
        [this]
        {
            return server.counts.runs ==
                   server.counts.cancelled + server.counts.deadline_stopped;
        });
    BOOST_TEST(server.counts.deadline_stopped == 1U);
    BOOST_TEST(server.counts.expired == 1U);
}

// Guards against a health check or load report that cannot lie, lag or announce a drain.
BOOST_FIXTURE_TEST_CASE(reports_mislead_on_demand, setting)
{
    server.behaviour.load_lag_ms = endless_ms;
    call("/load");
    BOOST_TEST(nlohmann::json::parse(wait().kept)["in_flight"] == 0);
    server.behaviour.service_time_ms = endless_ms;
    call("/a");
    run_until([this] { return server.counts.runs == 1; });
    call("/load");
    BOOST_TEST(nlohmann::json::parse(wait().kept)["in_flight"] == 0);
    server.behaviour.load_lag_ms = 0;
    server.behaviour.draining = true;
    server.behaviour.healthy = false;
    call("/load");
    const pool_answer load = wait();
    BOOST_TEST(load.drain);
    BOOST_TEST(nlohmann::json::parse(load.kept)["in_flight"] == 1);
    call("/healthz");
    BOOST_TEST(wait().status == 503);
    server.behaviour.report = report_policy::good;
    call("/healthz");
    BOOST_TEST(wait().status == 200);
    call("/load");
    BOOST_TEST(nlohmann::json::parse(wait().kept)["in_flight"] == 0);
}

// Guards against accepting any number of connections, and against miscounting them.
BOOST_FIXTURE_TEST_CASE(connections_over_the_limit_are_closed, setting)
{
    upstream_server narrow(base.get(), {.listen = "127.0.0.1:0",
                                        .behaviour = {.service_time_ms = endless_ms},
                                        .connections = 2});
    http_pool other(base.get(), {});
    std::vector<pool_end> ends;
    const auto request = [&](http_pool& from)
    {
        from.call({.address = narrow.address(), .target = "/a"},
                  [&](const pool_answer& answer) { ends.push_back(answer.end); });
    };
    for (int made = 0; made < 3; ++made)
        request(other);
    run_until([&] { return !ends.empty(); });
    BOOST_TEST((ends.front() == pool_end::cut));
    BOOST_TEST(narrow.counts.runs == 2U);
}

// Guards against a reset connection, as a killed caller leaves it, keeping its slot and
// making the loop spin.
BOOST_FIXTURE_TEST_CASE(a_reset_connection_ends_its_run, setting)
{
    server.behaviour.service_time_ms = endless_ms;
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{.sin_family = AF_INET,
                   .sin_port = htons(parse_loopback(server.address()).port),
                   .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
    BOOST_REQUIRE(connect(caller, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0);
    constexpr std::string_view request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE(write(caller, request.data(), request.size()) ==
                  static_cast<ssize_t>(request.size()));
    run_until([this] { return server.counts.runs == 1; });
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(caller, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(caller);
    run_until([this] { return server.counts.cancelled == 1; });
}
