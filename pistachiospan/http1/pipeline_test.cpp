// Tests of pipelined requests over real sockets.

#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/parser.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <map>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

const std::string address = "127.0.0.1:18935";

// A server that keeps the requests of its callers until a test answers them, and one
// caller. Targets that begin with /read may overlap.
struct fixture
{
    explicit fixture(const http1::server_limits& limits = {}, bool overlaps = true)
        : base(event_base_new(), &event_base_free),
          server(base.get(), address, this->hooks(overlaps)),
          caller(::socket(AF_INET, SOCK_STREAM, 0))
    {
        this->server.set_limits(limits);
        const sockaddr_in to = http1::internal::parse_address(address);
        BOOST_TEST_REQUIRE(connect(this->caller, reinterpret_cast<const sockaddr*>(&to),
                                   sizeof(to)) == 0);
    }
    ~fixture()
    {
        ::close(this->caller);
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    http1::server_hooks hooks(bool overlaps)
    {
        http1::server_hooks made{
            .on_request =
                [this](http1::exchange_id id, http1::request&& incoming)
            {
                this->ids[incoming.target] = id;
                this->received.push_back(std::move(incoming));
                if (this->on_receive)
                    this->on_receive(this->received.back().target);
            },
            .on_disconnect =
                [this](http1::exchange_id id)
            {
                this->left.push_back(id);
                if (this->on_leave)
                    this->on_leave();
            },
            .on_pause =
                [this](const http1::pipeline_pause& pause)
            {
                this->pauses.push_back(pause);
            }};
        if (overlaps)
            made.may_overlap = [](const http1::request& incoming)
            {
                return incoming.target.starts_with("/read");
            };
        return made;
    }

    // Runs the loop until `done` returns true, for at most two seconds.
    template <class Condition>
    bool run(Condition done)
    {
        for (int step = 0; step < 400 && !done(); ++step)
            this->run_for(5ms);
        return done();
    }

    void run_for(duration span)
    {
        event_loop::one_shot_timer wake(this->base.get(), [this]
                                        { event_base_loopbreak(this->base.get()); });
        wake.start(span);
        event_base_dispatch(this->base.get());
    }

    // Sends as much as the socket takes. Returns the number of bytes.
    std::size_t send(std::string_view bytes) const
    {
        const ssize_t sent =
            ::send(this->caller, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return sent < 0 ? 0 : static_cast<std::size_t>(sent);
    }

    bool receives(std::size_t count)
    {
        return this->run([&] { return this->received.size() >= count; });
    }

    // Runs until nothing more can have arrived, and returns the targets received.
    std::string targets()
    {
        this->run_for(50ms);
        std::string all;
        for (const http1::request& each : this->received)
            all += each.target + " ";
        return all;
    }

    void answer(const std::string& target, bool close = false)
    {
        this->server.respond(this->ids.at(target), {.status = 200, .body = target},
                             close);
    }

    // All bytes that the caller has received so far.
    const std::string& read()
    {
        this->run_for(20ms);
        std::array<char, 65536> bytes{};
        while (true)
        {
            const ssize_t size =
                recv(this->caller, bytes.data(), bytes.size(), MSG_DONTWAIT);
            this->ended = this->ended || size == 0;
            if (size <= 0)
                return this->answers;
            this->answers.append(bytes.data(), static_cast<std::size_t>(size));
        }
    }

    // The statuses and bodies of the answers that the caller has received, and whether
    // one says that the connection closes.
    std::string answered()
    {
        std::string_view rest = this->read();
        std::string all;
        http1::internal::parser parser(http1::internal::message_kind::response);
        while (!rest.empty())
        {
            rest.remove_prefix(parser.feed(rest));
            if (parser.state() != http1::internal::parse_state::complete)
                return all + "incomplete";
            all += std::to_string(parser.status) + parser.body;
            all +=
                http1::header_value(parser.headers, "Connection") == "close" ? "! " : " ";
            parser.next();
        }
        return all;
    }

    std::unique_ptr<event_base, decltype(&event_base_free)> base;
    std::vector<http1::request> received;
    std::map<std::string, http1::exchange_id> ids; // by target
    std::vector<http1::exchange_id> left;
    std::vector<http1::pipeline_pause> pauses;
    std::function<void(const std::string&)> on_receive;
    std::function<void()> on_leave;
    std::string answers;
    bool ended = false; // the server has closed the connection
    http1::server server;
    int caller;
};

std::string get(const std::string& target, const std::string& headers = "")
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

std::string post(const std::string& target, const std::string& body,
                 const std::string& headers = "")
{
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Five reads sent at once. Guards against requests that wait for the answers of earlier
// ones, and against answers in another order than the requests.
BOOST_AUTO_TEST_CASE(reads_overlap_and_are_answered_in_order)
{
    fixture all;
    all.send(get("/read1") + get("/read2") + get("/read3"));
    BOOST_TEST(all.targets() == "/read1 /read2 /read3 ");
    all.answer("/read3");
    all.answer("/read2");
    BOOST_TEST(all.answered() == "");
    all.answer("/read1");
    BOOST_TEST(all.answered() == "200/read1 200/read2 200/read3 ");
    BOOST_TEST(all.server.pipelining().overlapped == 2U);
    BOOST_TEST(all.server.pipelining().most_unanswered == 3U);
    BOOST_TEST(all.server.connections() == 1U);
}

// Guards against an effect on servers without the hook: the feature is off.
BOOST_AUTO_TEST_CASE(requests_are_handled_one_at_a_time_without_the_hook)
{
    fixture all({}, false);
    all.send(get("/read1") + get("/read2"));
    BOOST_TEST(all.targets() == "/read1 ");
    all.answer("/read1");
    BOOST_TEST(all.targets() == "/read1 /read2 ");
    BOOST_TEST(all.server.pipelining().overlapped == 0U);
}

// Guards against a request that must not run before earlier ones of its connection are
// answered, and against one that is read into memory while it waits.
BOOST_AUTO_TEST_CASE(order_waits_for_all_earlier_answers)
{
    for (const std::size_t size : {1, 100000})
    {
        fixture all({.header_timeout = 100ms});
        const std::string order = post("/order", std::string(size, 'x'));
        all.send(get("/read1") + get("/read2") + order.substr(0, 20));
        BOOST_TEST(all.targets() == "/read1 /read2 ");
        all.send(order.substr(20) + get("/read3"));
        BOOST_TEST(all.targets() == "/read1 /read2 ");
        all.answer("/read2");
        // Longer than the header timeout, which must not run while the server does not
        // read.
        all.run_for(300ms);
        BOOST_TEST(all.targets() == "/read1 /read2 ");
        all.answer("/read1");
        BOOST_TEST(all.targets() == "/read1 /read2 /order /read3 ");
        BOOST_TEST(all.received[2].body.size() == size);
        all.answer("/read3");
        all.answer("/order");
        BOOST_TEST(all.answered() == "200/read1 200/read2 200/order 200/read3 ");
        BOOST_TEST(all.server.pipelining().held == 1U);
    }
}

// Guards against the waiting order that runs although an earlier answer has closed the
// connection: its caller sends it again.
BOOST_AUTO_TEST_CASE(nothing_runs_behind_an_answer_that_closes)
{
    fixture all;
    all.send(get("/read1") + get("/read2") + post("/order", "x") + get("/read3"));
    BOOST_TEST(all.targets() == "/read1 /read2 ");
    all.answer("/read1", true);
    BOOST_TEST(all.answered() == "200/read1 ");
    BOOST_TEST(!all.ended);
    all.answer("/read2");
    BOOST_TEST(all.answered() == "200/read1 200/read2! ");
    BOOST_TEST(all.targets() == "/read1 /read2 ");
    BOOST_TEST(all.ended);
}

// Guards against requests that are passed on behind one whose caller wants no further
// answers, also by the rules of HTTP/1.0.
BOOST_AUTO_TEST_CASE(request_that_closes_is_the_last_one)
{
    for (const std::string& last : {get("/read2", "Connection: close\r\n"),
                                    std::string("GET /read2 HTTP/1.0\r\n\r\n")})
    {
        fixture all;
        all.send(get("/read1") + last + get("/read3"));
        BOOST_TEST(all.targets() == "/read1 /read2 ");
        all.answer("/read2");
        all.answer("/read1");
        BOOST_TEST(all.answered() == "200/read1 200/read2! ");
        BOOST_TEST(all.ended);
        BOOST_TEST(all.received.size() == 2U);
    }
}

// Guards against a refusal that overtakes the answers to earlier requests or closes their
// connection, for each reason for which a request is refused while it is read.
BOOST_AUTO_TEST_CASE(refused_request_is_answered_in_its_turn)
{
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"nonsense\r\n\r\n", "400! "},
        {get("/read2").substr(0, 20), "408! "},
        {"POST /read2 HTTP/1.1\r\nContent-Length: 999\r\n\r\n", "413! "},
        {get("/read2", "A: " + std::string(5000, 'a') + "\r\n"), "431! "}};
    for (const auto& [bytes, refusal] : cases)
    {
        fixture all({.max_header = 4096, .max_body = 100, .header_timeout = 100ms});
        all.send(get("/read1") + bytes);
        BOOST_TEST(all.targets() == "/read1 ");
        all.run_for(300ms);
        BOOST_TEST(all.answered() == "");
        all.answer("/read1");
        BOOST_TEST(all.answered() == "200/read1 " + refusal);
        BOOST_TEST(all.ended);
    }
}

// Guards against the exhaustion of the memory for bodies by uploads on one connection,
// and against a refusal for it that overtakes earlier answers.
BOOST_AUTO_TEST_CASE(bodies_of_all_requests_in_progress_count)
{
    fixture all({.max_buffered = 100000});
    all.send(post("/read1", std::string(60000, 'x')));
    BOOST_TEST(all.receives(1));
    all.send(post("/read2", std::string(60000, 'x')));
    all.run_for(50ms);
    BOOST_TEST(all.received.size() == 1U);
    all.answer("/read1");
    BOOST_TEST(all.answered() == "200/read1 503! ");
    BOOST_TEST(all.ended);
}

// Guards against an answer to HEAD with a body, and one to another method without,
// whatever the order in which they are ready.
BOOST_AUTO_TEST_CASE(head_requests_among_others_get_no_body)
{
    fixture all;
    all.send(get("/read1") + "HEAD /read2 HTTP/1.1\r\nHost: a\r\n\r\n" + get("/read3"));
    BOOST_TEST(all.receives(3));
    for (const char* each : {"/read3", "/read2", "/read1"})
        all.answer(each);
    const std::string text = all.read();
    BOOST_TEST(text.find("/read1") != std::string::npos);
    BOOST_TEST(text.find("/read2") == std::string::npos);
    BOOST_TEST(text.ends_with("/read3"));
}

// Guards against 100 (Continue) that is sent before earlier answers, where the caller
// would take it for theirs, and against a caller that is never asked to go on.
BOOST_AUTO_TEST_CASE(continue_is_sent_after_earlier_answers)
{
    fixture all({.header_timeout = 100ms});
    const std::string request = post("/read2", "body", "Expect: 100-continue\r\n");
    all.send(get("/read1") + request.substr(0, request.size() - 4));
    all.run_for(300ms);
    BOOST_TEST(all.read() == "");
    all.answer("/read1");
    const std::string text = all.read();
    BOOST_TEST(text.starts_with("HTTP/1.1 200"));
    BOOST_TEST(text.ends_with("/read1HTTP/1.1 100 Continue\r\n\r\n"));
    all.send("body");
    BOOST_TEST(all.targets() == "/read1 /read2 ");
}

// Guards against requests that go on at upstreams although their caller has left, or has
// closed its sending side, and against answers to them that end another connection.
BOOST_AUTO_TEST_CASE(disconnect_is_reported_for_each_request_without_answer)
{
    for (const bool half : {false, true})
    {
        fixture all;
        all.send(get("/read1") + get("/read2") + get("/read3") + post("/order", "x"));
        BOOST_TEST(all.targets() == "/read1 /read2 /read3 ");
        all.answer("/read2");
        // The owner answers and stops from within the hook.
        all.on_leave = [&]
        {
            all.answer("/read1");
            all.answer("/read3");
            all.server.close_idle();
        };
        shutdown(all.caller, half ? SHUT_WR : SHUT_RDWR);
        BOOST_TEST(all.run([&] { return all.server.connections() == 0; }));
        BOOST_TEST((all.left == std::vector<http1::exchange_id>{all.ids["/read1"],
                                                                all.ids["/read3"]}));
        BOOST_TEST(all.server.pending() == 0U);
        BOOST_TEST(all.received.size() == 3U);
    }
}

// Guards against an exception for one request of a connection after which others of it
// are neither answered nor reported, also while an answer is being sent.
BOOST_AUTO_TEST_CASE(error_in_a_hook_reports_all_requests_of_its_connection)
{
    fixture all;
    event_loop::set_error_handler([](std::string_view) {});
    all.on_receive = [&](const std::string& target)
    {
        if (target == "/order")
            throw std::runtime_error("a defect");
    };
    all.on_leave = []
    {
        throw std::runtime_error("another defect");
    };
    all.send(get("/read1") + post("/order", "x") + get("/read2"));
    BOOST_TEST(all.targets() == "/read1 ");
    all.answer("/read1");
    BOOST_TEST(all.server.connections() == 0U);
    BOOST_TEST(all.server.pending() == 0U);
    BOOST_TEST((all.left == std::vector<http1::exchange_id>{all.ids["/order"]}));
    event_loop::set_error_handler(nullptr);
}

// A planned stop. Guards against requests that have been passed on and get no answer, and
// against a connection that never closes because its caller keeps sending.
BOOST_AUTO_TEST_CASE(stop_answers_what_was_passed_on)
{
    for (const std::string& held : {std::string(), post("/order", "x")})
    {
        fixture all;
        all.send(get("/read1") + get("/read2") + held);
        BOOST_TEST(all.targets() == "/read1 /read2 ");
        all.run_for(600ms); // longer than a connection must be idle to be closed
        all.server.begin_drain();
        all.send(get("/read3"));
        BOOST_TEST(all.targets() == "/read1 /read2 ");
        all.server.stop_accepting();
        all.server.close_idle();
        all.answer("/read2");
        all.server.close_idle();
        all.answer("/read1");
        BOOST_TEST(all.answered() == "200/read1 200/read2! ");
        BOOST_TEST(all.ended);
    }
}

// Guards against a stop that cuts off a request which is still being read, one that
// passes on only the first of several sent at once, and one that lets a connection go on.
BOOST_AUTO_TEST_CASE(requests_read_together_during_a_stop_are_the_last_ones)
{
    fixture all;
    all.send(get("/read1").substr(0, 10));
    all.run_for(50ms);
    all.server.begin_drain();
    all.send(get("/read1").substr(10) + get("/read2") + get("/read3").substr(0, 10));
    BOOST_TEST(all.targets() == "/read1 /read2 ");
    all.send(get("/read3").substr(10));
    BOOST_TEST(all.targets() == "/read1 /read2 ");
    all.answer("/read1");
    BOOST_TEST(all.answered() == "200/read1 ");
    all.answer("/read2");
    BOOST_TEST(all.answered() == "200/read1 200/read2! ");
    BOOST_TEST(all.ended);
}

// Guards against a connection that stays open during a stop because its requests are
// answered while they are read.
BOOST_AUTO_TEST_CASE(answers_given_at_once_close_during_a_stop)
{
    fixture all;
    all.on_receive = [&](const std::string& target)
    {
        all.answer(target);
    };
    all.server.begin_drain();
    all.send(get("/read1") + get("/read2"));
    BOOST_TEST(all.answered() == "200/read1! ");
    BOOST_TEST(all.ended);
}

// Guards against a caller that takes all upstreams with one connection, and against
// requests beyond the bound that are refused.
BOOST_AUTO_TEST_CASE(reading_pauses_at_the_largest_number_of_requests)
{
    fixture all({.header_timeout = 100ms, .max_pipelined = 2});
    all.send(get("/read1") + get("/read2") + get("/read3") + get("/read4"));
    BOOST_TEST(all.targets() == "/read1 /read2 ");
    all.answer("/read2");
    BOOST_TEST(all.targets() == "/read1 /read2 /read3 ");
    all.run_for(300ms);
    for (const char* each : {"/read1", "/read3"})
        all.answer(each);
    BOOST_TEST(all.targets() == "/read1 /read2 /read3 /read4 ");
    all.answer("/read4");
    BOOST_TEST(all.answered() == "200/read1 200/read2 200/read3 200/read4 ");
    BOOST_TEST(all.pauses.size() == 1U);
    BOOST_TEST(all.pauses.front().unanswered == 2U);
}

// Guards against answers that fill the memory behind one slow answer.
BOOST_AUTO_TEST_CASE(reading_pauses_while_answers_wait_for_an_earlier_one)
{
    fixture all({.max_waiting_answers = 1000});
    all.send(get("/read1") + get("/read2"));
    BOOST_TEST(all.receives(2));
    all.server.respond(all.ids["/read2"],
                       {.status = 200, .body = std::string(2000, 'x')});
    all.send(get("/read3"));
    BOOST_TEST(all.targets() == "/read1 /read2 ");
    all.answer("/read1");
    BOOST_TEST(all.targets() == "/read1 /read2 /read3 ");
    BOOST_TEST(all.pauses.size() == 1U);
}

// Guards against a request that is refused as unfinished because reading was paused in
// the middle of it.
BOOST_AUTO_TEST_CASE(header_timeout_does_not_run_during_a_pause)
{
    fixture all({.header_timeout = 150ms, .max_waiting_answers = 1000});
    all.send(get("/read1") + get("/read2") + get("/read3").substr(0, 10));
    BOOST_TEST(all.receives(2));
    all.server.respond(all.ids["/read2"],
                       {.status = 200, .body = std::string(2000, 'x')});
    all.send(get("/read3").substr(10));
    all.run_for(400ms);
    BOOST_TEST(all.received.size() == 2U);
    all.answer("/read1");
    BOOST_TEST(all.targets() == "/read1 /read2 /read3 ");
}

// A caller sends thousands of requests and reads no answer. Guards against answers that
// take memory without bound, and against a connection that does not go on when it reads.
BOOST_AUTO_TEST_CASE(caller_that_does_not_read_is_not_read_either)
{
    fixture all;
    const std::string body(20000, 'x');
    all.on_receive = [&](const std::string& target)
    {
        all.server.respond(all.ids[target], {.status = 200, .body = body});
    };
    std::string unsent;
    constexpr std::size_t count = 5000;
    for (std::size_t each = 0; each < count; ++each)
        unsent += get("/read" + std::to_string(each));
    const auto send_some = [&]
    {
        unsent.erase(0, all.send(unsent));
    };
    std::size_t before = 1;
    while (before != all.received.size())
    {
        before = all.received.size();
        send_some();
        all.run_for(100ms);
    }
    // 100 MB of answers; the kernel's buffers take some MB.
    BOOST_TEST(all.received.size() < count / 4);
    BOOST_TEST(all.pauses.size() == 1U);
    while (all.received.size() < count)
    {
        const std::size_t known = all.answers.size();
        send_some();
        all.read();
        BOOST_TEST_REQUIRE((all.answers.size() > known || all.received.size() >= count));
        all.answers.clear();
    }
}

// Guards against a wait in the read-ahead that is not counted as time of the request.
BOOST_AUTO_TEST_CASE(time_counts_from_the_first_byte)
{
    fixture all;
    const time_point sent_at = event_loop::monotonic_now();
    all.send(get("/read1") + post("/order1", "x"));
    all.run_for(100ms);
    const time_point sent_again_at = event_loop::monotonic_now();
    all.send(post("/order2", "x"));
    all.run_for(100ms);
    const time_point answered_at = event_loop::monotonic_now();
    all.answer("/read1");
    all.answer("/order1");
    BOOST_TEST(all.receives(3));
    const auto received_within = [&](std::size_t index, time_point begin, time_point end)
    {
        const time_point at = all.received[index].received_at;
        return at >= begin && at < end;
    };
    BOOST_TEST(received_within(0, sent_at, sent_again_at));
    BOOST_TEST(received_within(1, sent_at, sent_again_at));
    BOOST_TEST(received_within(2, sent_again_at, answered_at));
}

// Guards against empty lines behind a request that end its connection as if it were idle.
BOOST_AUTO_TEST_CASE(empty_lines_behind_a_request_are_ignored)
{
    fixture all({.header_timeout = 50ms, .idle_timeout = 50ms});
    all.send(get("/read1") + "\r\n");
    all.run_for(200ms);
    all.answer("/read1");
    BOOST_TEST(all.answered() == "200/read1 ");
}
