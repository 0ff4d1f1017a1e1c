// Faulty servers that send bytes without ever completing a response.

#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/parser.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <event2/listener.h>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

const std::string address = "127.0.0.1:18933";

// Sends `first_chunk` on each connection, and then `repeated_chunk` until the caller
// closes it.
struct endless_peer
{
    endless_peer(event_base* base, std::string first_chunk, std::string repeated_chunk)
        : first_chunk(std::move(first_chunk)), repeated_chunk(std::move(repeated_chunk)),
          listener(nullptr, &evconnlistener_free)
    {
        const sockaddr_in local = http1::internal::parse_address(address);
        this->listener.reset(evconnlistener_new_bind(
            base, &endless_peer::accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
            16, reinterpret_cast<const sockaddr*>(&local), sizeof(local)));
    }

    static void accept(evconnlistener* from, evutil_socket_t socket, sockaddr*, int,
                       void* self)
    {
        auto& peer = *static_cast<endless_peer*>(self);
        peer.open.emplace_back(bufferevent_socket_new(evconnlistener_get_base(from),
                                                      socket, BEV_OPT_CLOSE_ON_FREE));
        bufferevent_setcb(peer.open.back().get(), &endless_peer::read,
                          &endless_peer::on_written, &endless_peer::on_event, self);
        bufferevent_enable(peer.open.back().get(), EV_READ | EV_WRITE);
    }

    static void read(bufferevent* from, void* self)
    {
        auto& peer = *static_cast<endless_peer*>(self);
        evbuffer* input = bufferevent_get_input(from);
        evbuffer_drain(input, evbuffer_get_length(input));
        peer.write(from,
                   peer.first_chunk.empty() ? peer.repeated_chunk : peer.first_chunk);
    }

    static void on_written(bufferevent* to, void* self)
    {
        auto& peer = *static_cast<endless_peer*>(self);
        if (peer.sent > 0)
            peer.write(to, peer.repeated_chunk);
    }

    static void on_event(bufferevent* from, short, void* self)
    {
        auto& peer = *static_cast<endless_peer*>(self);
        bufferevent_disable(from, EV_READ | EV_WRITE);
        peer.closed = true;
    }

    void write(bufferevent* to, const std::string& piece)
    {
        this->sent += piece.size();
        bufferevent_write(to, piece.data(), piece.size());
    }

    std::string first_chunk;
    std::string repeated_chunk;
    std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> listener;
    std::vector<http1::internal::bufferevent_ptr> open;
    std::size_t sent = 0; // bytes
    bool closed = false;
};

struct observation
{
    std::optional<http1::call_result> outcome;
    bool closed = false;
    std::size_t sent = 0; // bytes, by the peer
};

constexpr std::size_t max_body = std::size_t{1} << 20U;

observation call(const std::string& first_chunk, const std::string& repeated_chunk,
                 duration timeout = 5s)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    endless_peer peer(base.get(), first_chunk, repeated_chunk);
    http1::client client(base.get(),
                         {.correlation_header = "Id", .max_response_body = max_body});
    observation observed;
    client.send(address, {.method = "GET", .target = "/x", .headers = {{"Id", "7"}}},
                {.timeout = timeout},
                [&](http1::call_result result) { observed.outcome = std::move(result); });
    for (int step = 0; step < 400 && !(observed.outcome && peer.closed); ++step)
    {
        event_loop::one_shot_timer wake(base.get(),
                                        [&] { event_base_loopbreak(base.get()); });
        wake.start(5ms);
        event_base_dispatch(base.get());
    }
    observed.closed = peer.closed;
    observed.sent = peer.sent;
    return observed;
}

const std::string head = "HTTP/1.1 200 OK\r\nId: 7\r\n";

} // namespace

// Guards against a call that holds memory and a connection for as long as a faulty server
// goes on sending, in whichever part of the response.
BOOST_AUTO_TEST_CASE(endless_responses_are_ended)
{
    const std::string filler(4000, 'x');
    const std::map<std::string, std::pair<std::string, std::string>> cases = {
        {"status line", {"HTTP/1.1 200 ", filler}},
        {"header value", {head + "Long: ", filler}},
        {"header fields", {head, "More: " + filler + "\r\n"}},
        {"empty lines", {"\r\n", std::string(4000, '\n')}},
        {"body without a length", {head + "\r\n", filler}},
        {"chunked body",
         {head + "Transfer-Encoding: chunked\r\n\r\n", "fa0\r\n" + filler + "\r\n"}},
        {"chunk extension", {head + "Transfer-Encoding: chunked\r\n\r\n1;", filler}},
        {"chunk extensions",
         {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + filler + "\r\nx\r\n"}},
        {"trailers",
         {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "More: " + filler + "\r\n"}},
        {"interim answers", {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}},
        {"answers to others",
         {"", "HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 2\r\n\r\nok"}},
        {"no answer at all", {"nonsense ", filler}}};
    for (const auto& [case_name, chunks] : cases)
    {
        const auto& [first_chunk, repeated_chunk] = chunks;
        const observation observed =
            call(first_chunk, repeated_chunk.empty() ? filler : repeated_chunk);
        BOOST_TEST_CONTEXT(case_name)
        {
            BOOST_TEST_REQUIRE(observed.outcome.has_value());
            BOOST_TEST((observed.outcome->end == http1::call_end::broken));
            BOOST_TEST(observed.closed);
            // The bound leaves room for what the kernel's buffers hold.
            BOOST_TEST(observed.sent < 8 * max_body);
        }
    }
}

// Guards against responses read at the same time that exhaust the memory together.
BOOST_AUTO_TEST_CASE(bodies_share_one_bound)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    endless_peer peer(base.get(), head + "\r\n", std::string(4000, 'x'));
    http1::client client(base.get(), {.correlation_header = "Id",
                                      .max_response_body = max_body,
                                      .max_buffered = max_body});
    std::size_t broken = 0;
    for (int each = 0; each < 8; ++each)
        client.send(address, {.method = "GET", .target = "/x", .headers = {{"Id", "7"}}},
                    {.timeout = 5s},
                    [&](const http1::call_result& outcome)
                    { broken += outcome.end == http1::call_end::broken ? 1 : 0; });
    for (int step = 0; step < 400 && broken < 8; ++step)
    {
        event_loop::one_shot_timer wake(base.get(),
                                        [&] { event_base_loopbreak(base.get()); });
        wake.start(5ms);
        event_base_dispatch(base.get());
    }
    BOOST_TEST(broken == 8U);
    BOOST_TEST(peer.sent < 16 * max_body);
}

// Guards against a bound on bodies that counts their length only, while they hold twice
// as much memory.
BOOST_AUTO_TEST_CASE(bodies_count_with_the_memory_that_they_hold)
{
    http1::internal::parser parser(http1::internal::message_kind::response);
    parser.feed(head + "\r\n");
    for (int each = 0; each < 200; ++each)
    {
        parser.feed(std::string(1000, 'x'));
        BOOST_TEST(parser.body_memory() >= parser.body.capacity());
    }
}

// Guards against a response head that arrives byte by byte and keeps a call open beyond
// its timeout.
BOOST_AUTO_TEST_CASE(slow_head_ends_at_the_timeout)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    endless_peer peer(base.get(), "H", "");
    http1::client client(base.get(), {.correlation_header = "Id"});
    std::optional<http1::call_result> outcome;
    std::size_t next_byte = 1;
    event_loop::periodic_timer drip(base.get(), 20ms,
                                    [&]
                                    {
                                        if (!peer.open.empty() && next_byte < head.size())
                                            peer.write(peer.open.back().get(),
                                                       head.substr(next_byte++, 1));
                                    });
    const time_point started_at = event_loop::monotonic_now();
    client.send(address, {.method = "GET", .target = "/x", .headers = {{"Id", "7"}}},
                {.timeout = 300ms},
                [&](http1::call_result result) { outcome = std::move(result); });
    while (!outcome && event_loop::monotonic_now() - started_at < 2s)
    {
        event_loop::one_shot_timer wake(base.get(),
                                        [&] { event_base_loopbreak(base.get()); });
        wake.start(5ms);
        event_base_dispatch(base.get());
    }
    BOOST_TEST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->end == http1::call_end::timed_out));
    BOOST_TEST((event_loop::monotonic_now() - started_at < 500ms));
}
