// Servers in trouble: bytes that are no answer and come until the caller closes.

#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <event2/listener.h>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

const std::string address = "127.0.0.1:18933";

// Answers each connection with a first piece, and then with another one again and again
// until the caller closes.
struct endless_peer
{
    endless_peer(event_base* base, std::string first, std::string again)
        : first(std::move(first)), again(std::move(again)),
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
        auto& me = *static_cast<endless_peer*>(self);
        me.open.emplace_back(bufferevent_socket_new(evconnlistener_get_base(from), socket,
                                                    BEV_OPT_CLOSE_ON_FREE));
        bufferevent_setcb(me.open.back().get(), &endless_peer::read,
                          &endless_peer::written, &endless_peer::ended, self);
        bufferevent_enable(me.open.back().get(), EV_READ | EV_WRITE);
    }

    static void read(bufferevent* from, void* self)
    {
        auto& me = *static_cast<endless_peer*>(self);
        evbuffer* input = bufferevent_get_input(from);
        evbuffer_drain(input, evbuffer_get_length(input));
        me.write(from, me.first.empty() ? me.again : me.first);
    }

    static void written(bufferevent* to, void* self)
    {
        auto& me = *static_cast<endless_peer*>(self);
        if (me.sent > 0)
            me.write(to, me.again);
    }

    static void ended(bufferevent* from, short, void* self)
    {
        auto& me = *static_cast<endless_peer*>(self);
        bufferevent_disable(from, EV_READ | EV_WRITE);
        me.closed = true;
    }

    void write(bufferevent* to, const std::string& piece)
    {
        this->sent += piece.size();
        bufferevent_write(to, piece.data(), piece.size());
    }

    std::string first;
    std::string again;
    std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> listener;
    std::vector<http1::internal::bufferevent_ptr> open;
    std::size_t sent = 0; // bytes
    bool closed = false;
};

struct outcome
{
    std::optional<http1::call_result> ended;
    bool closed = false;
    std::size_t sent = 0; // bytes, by the peer
};

constexpr std::size_t max_answer = std::size_t{1} << 20U;

outcome call(const std::string& first, const std::string& again, duration timeout = 5s)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    endless_peer peer(base.get(), first, again);
    http1::client client(base.get(),
                         {.correlation_header = "Id", .max_response_body = max_answer});
    outcome seen;
    client.send(address, {.method = "GET", .target = "/x", .headers = {{"Id", "7"}}},
                {.timeout = timeout},
                [&](http1::call_result result) { seen.ended = std::move(result); });
    for (int step = 0; step < 400 && !(seen.ended && peer.closed); ++step)
    {
        event_loop::one_shot_timer wake(base.get(),
                                        [&] { event_base_loopbreak(base.get()); });
        wake.start(5ms);
        event_base_dispatch(base.get());
    }
    seen.closed = peer.closed;
    seen.sent = peer.sent;
    return seen;
}

const std::string head = "HTTP/1.1 200 OK\r\nId: 7\r\n";

} // namespace

// Guards against a call, its memory and its connection that are held as long as a server
// in trouble goes on sending, wherever in an answer it does.
BOOST_AUTO_TEST_CASE(answers_without_end_are_ended)
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
    for (const auto& [where, pieces] : cases)
    {
        const auto& [first, again] = pieces;
        const outcome seen = call(first, again.empty() ? filler : again);
        BOOST_TEST_CONTEXT(where)
        {
            BOOST_TEST_REQUIRE(seen.ended.has_value());
            BOOST_TEST((seen.ended->end == http1::call_end::broken));
            BOOST_TEST(seen.closed);
            // What the kernel's buffers take comes on top.
            BOOST_TEST(seen.sent < 8 * max_answer);
        }
    }
}

// Guards against answers that are read at the same time and take all memory together.
BOOST_AUTO_TEST_CASE(bodies_share_one_bound)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    endless_peer peer(base.get(), head + "\r\n", std::string(4000, 'x'));
    http1::client client(base.get(), {.correlation_header = "Id",
                                      .max_response_body = max_answer,
                                      .max_buffered = max_answer});
    std::size_t broken = 0;
    for (int each = 0; each < 8; ++each)
        client.send(address, {.method = "GET", .target = "/x", .headers = {{"Id", "7"}}},
                    {.timeout = 5s},
                    [&](const http1::call_result& ended)
                    { broken += ended.end == http1::call_end::broken ? 1 : 0; });
    for (int step = 0; step < 400 && broken < 8; ++step)
    {
        event_loop::one_shot_timer wake(base.get(),
                                        [&] { event_base_loopbreak(base.get()); });
        wake.start(5ms);
        event_base_dispatch(base.get());
    }
    BOOST_TEST(broken == 8U);
    BOOST_TEST(peer.sent < 16 * max_answer);
}

// Guards against a head that trickles in and holds its caller longer than the call may
// take.
BOOST_AUTO_TEST_CASE(slow_head_ends_in_time)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    endless_peer peer(base.get(), "H", "");
    http1::client client(base.get(), {.correlation_header = "Id"});
    std::optional<http1::call_result> ended;
    std::size_t next = 1;
    event_loop::periodic_timer trickle(base.get(), 20ms,
                                       [&]
                                       {
                                           if (!peer.open.empty() && next < head.size())
                                               peer.write(peer.open.back().get(),
                                                          head.substr(next++, 1));
                                       });
    const time_point begun = event_loop::monotonic_now();
    client.send(address, {.method = "GET", .target = "/x", .headers = {{"Id", "7"}}},
                {.timeout = 300ms},
                [&](http1::call_result result) { ended = std::move(result); });
    while (!ended && event_loop::monotonic_now() - begun < 2s)
    {
        event_loop::one_shot_timer wake(base.get(),
                                        [&] { event_base_loopbreak(base.get()); });
        wake.start(5ms);
        event_base_dispatch(base.get());
    }
    BOOST_TEST_REQUIRE(ended.has_value());
    BOOST_TEST((ended->end == http1::call_end::timed_out));
    BOOST_TEST((event_loop::monotonic_now() - begun < 500ms));
}
