// Servers that close all connections to them at once.

#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/end_watch.hpp"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

const std::string address = "127.0.0.1:18940";

struct loop
{
    loop() : base(event_base_new(), &event_base_free) {}

    void run_for(duration span)
    {
        event_loop::one_shot_timer end(this->base.get(), [this]
                                       { event_base_loopbreak(this->base.get()); });
        end.start(span);
        event_base_dispatch(this->base.get());
    }

    std::unique_ptr<event_base, decltype(&event_base_free)> base;
};

// Keeps `answered` connections idle and `waiting` ones without an answer, ends the
// server, and returns how often its end was noticed.
std::size_t ends_noticed(std::size_t answered, std::size_t waiting)
{
    loop events;
    std::vector<http1::exchange_id> received;
    auto server = std::make_unique<http1::server>(
        events.base.get(), address,
        http1::server_hooks{.on_request = [&](http1::exchange_id id, http1::request&&)
                            {
                                received.push_back(id);
                            }});
    std::vector<std::string> ended;
    http1::client client(events.base.get(),
                         {.connections_ended = [&](const std::string& each)
                          {
                              ended.push_back(each);
                          }});
    std::size_t finished = 0;
    for (std::size_t each = 0; each < answered + waiting; ++each)
        client.send(address, {.method = "GET", .target = "/x"}, {},
                    [&](const http1::call_result&) { ++finished; });
    events.run_for(50ms);
    BOOST_TEST_REQUIRE(received.size() == answered + waiting);
    for (std::size_t each = 0; each < answered; ++each)
        server->respond(received[each], {.status = 200});
    events.run_for(50ms);
    BOOST_TEST(finished == answered);
    BOOST_TEST(ended.empty());
    server.reset();
    events.run_for(50ms);
    BOOST_TEST(finished == answered + waiting);
    for (const std::string& each : ended)
        BOOST_TEST(each == address);
    return ended.size();
}

} // namespace

// Guards against an upstream whose restart is not noticed because it accepts again before
// the next connection to it, and against one lost connection that is taken for an end.
BOOST_AUTO_TEST_CASE(end_of_all_connections_is_noticed)
{
    BOOST_TEST(ends_noticed(2, 0) == 1U);
    BOOST_TEST(ends_noticed(0, 3) == 1U);
    BOOST_TEST(ends_noticed(1, 1) == 1U);
    BOOST_TEST(ends_noticed(1, 0) == 0U);
    BOOST_TEST(ends_noticed(0, 1) == 0U);
}

// Guards against connections that end one after the other, as a server closes idle ones,
// and count as ended at once.
BOOST_AUTO_TEST_CASE(connections_that_end_one_by_one_are_no_sign)
{
    constexpr time_point start(1000s);
    http1::internal::end_watch ends;
    ends.note_closed(start, address, 5);
    BOOST_TEST(ends.last_watched(address) == 5U);
    ends.note_closed(start + 101ms, address, 8);
    BOOST_TEST(ends.last_watched(address) == 8U);
    BOOST_TEST(!ends.finish(address));
    ends.note_closed(start + 200ms, address, 9);
    ends.note_closed(start + 210ms, "another", 9);
    ends.note_closed(start + 300ms, address, 10);
    BOOST_TEST(ends.last_watched(address) == 9U);
    BOOST_TEST(ends.finish(address));
    BOOST_TEST(!ends.finish("another"));
}

// Guards against a connect timeout, or another failure, that counts as a refusal.
BOOST_AUTO_TEST_CASE(refused_connection_is_told_from_other_failures)
{
    const auto call = [](const std::string& called)
    {
        loop events;
        http1::client client(events.base.get(), {});
        std::optional<http1::call_result> outcome;
        client.send(called, {.method = "GET", .target = "/x"}, {.timeout = 50ms},
                    [&](http1::call_result result) { outcome = std::move(result); });
        events.run_for(100ms);
        return outcome.value();
    };
    BOOST_TEST(call(address).refused);
    BOOST_TEST(!call("no address").refused);
    BOOST_CHECK(call("no address").end == http1::call_end::not_sent);
}
