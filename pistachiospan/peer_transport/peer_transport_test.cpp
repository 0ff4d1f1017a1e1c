#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/peer_transport/peer_transport.hpp"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <nghttp2/nghttp2.h>
#include <unistd.h>

#include <map>
#include <optional>
#include <utility>

using namespace pistachiospan;
using namespace pistachiospan::peer_transport;

namespace
{

constexpr duration reply_timeout = std::chrono::seconds(20);
const std::string address = "127.0.0.1:17391";

struct loop
{
    event_base* base = event_base_new();

    ~loop()
    {
        event_base_free(base);
    }

    result<std::string> call(peer_client& client, const std::string& path,
                             const std::string& body, duration timeout = reply_timeout)
    {
        std::optional<result<std::string>> outcome;
        client.request(path, body, timeout,
                       [&](result<std::string> reply)
                       {
                           outcome = std::move(reply);
                           event_base_loopbreak(base);
                       });
        while (!outcome)
            event_base_loop(base, EVLOOP_ONCE);
        return *outcome;
    }
};

peer_server_options echo()
{
    return {.address = address,
            .on_request =
                [](std::string_view path, const std::string& body, const auto& reply)
            {
                reply(std::string(path) + ":" + body);
            }};
}

using fields = std::vector<std::pair<std::string, std::string>>;

constexpr std::size_t max_reply = 1000; // bytes
constexpr std::uint8_t end_stream = NGHTTP2_FLAG_END_STREAM;

// An HTTP/2 frame of the client's first stream, or of the connection.
std::string frame(std::uint8_t type, std::uint8_t flags, const std::string& payload,
                  char stream_id = 1)
{
    std::string bytes;
    for (const unsigned shift : {16U, 8U, 0U})
        bytes += static_cast<char>(payload.size() >> shift);
    bytes += static_cast<char>(type);
    bytes += static_cast<char>(flags);
    bytes += std::string(3, '\0') + stream_id;
    return bytes + payload;
}

// Fields as HPACK literals without indexing, so that any value can be sent.
std::string headers_frame(const fields& all, std::uint8_t flags)
{
    std::string block;
    for (const auto& [name, value] : all)
    {
        block += '\0';
        block += static_cast<char>(name.size());
        block += name;
        block += static_cast<char>(value.size());
        block += value;
    }
    return frame(NGHTTP2_HEADERS, flags | NGHTTP2_FLAG_END_HEADERS, block);
}

std::string data_frame(const std::string& bytes, std::uint8_t flags)
{
    return frame(NGHTTP2_DATA, flags, bytes);
}

std::string reset_frame(std::uint32_t code)
{
    return frame(NGHTTP2_RST_STREAM, 0, std::string(3, '\0') + static_cast<char>(code));
}

enum class after_reply
{
    keep_open,
    close,
    reset,
};

// Answers the first bytes of each connection with fixed frames.
struct scripted_peer
{
    scripted_peer(event_base* base, std::string frames, after_reply next)
        : frames(std::move(frames)), next(next)
    {
        sockaddr_storage local{};
        int size = sizeof(local);
        evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&local),
                                   &size);
        listener = evconnlistener_new_bind(base, &scripted_peer::accept, this,
                                           LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                           reinterpret_cast<sockaddr*>(&local), size);
        BOOST_TEST_REQUIRE(listener != nullptr);
    }

    ~scripted_peer()
    {
        evconnlistener_free(listener);
        if (connection != nullptr)
            bufferevent_free(connection);
    }

    scripted_peer(const scripted_peer&) = delete;
    scripted_peer& operator=(const scripted_peer&) = delete;

    static void accept(evconnlistener* from, evutil_socket_t socket, sockaddr*, int,
                       void* user)
    {
        auto* self = static_cast<scripted_peer*>(user);
        self->connection = bufferevent_socket_new(evconnlistener_get_base(from), socket,
                                                  BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            self->connection,
            [](bufferevent*, void* peer) { static_cast<scripted_peer*>(peer)->reply(); },
            [](bufferevent*, void* peer) { static_cast<scripted_peer*>(peer)->end(); },
            nullptr, user);
        bufferevent_enable(self->connection, EV_READ);
    }

    void reply()
    {
        evbuffer* input = bufferevent_get_input(connection);
        evbuffer_drain(input, evbuffer_get_length(input));
        if (std::exchange(has_replied, true))
            return;
        const std::string bytes = frame(NGHTTP2_SETTINGS, 0, "", 0) + frames;
        bufferevent_write(connection, bytes.data(), bytes.size());
    }

    void end()
    {
        if (next == after_reply::keep_open)
            return;
        const linger zero_linger{.l_onoff = 1, .l_linger = 0};
        if (next == after_reply::reset)
            setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &zero_linger,
                       sizeof(zero_linger));
        bufferevent_free(std::exchange(connection, nullptr));
    }

    std::string frames;
    after_reply next;
    evconnlistener* listener = nullptr;
    bufferevent* connection = nullptr;
    bool has_replied = false;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_request_gets_the_reply_of_its_own_stream, loop)
{
    peer_server server(base, echo());
    peer_client client(base, {.address = address});
    BOOST_TEST(call(client, "/a", "1").value() == "/a:1");
    BOOST_TEST(call(client, "/b", "2").value() == "/b:2");
}

// Guards against an error in the handling of one message that ends the process, or the
// other streams of the connection.
BOOST_FIXTURE_TEST_CASE(error_in_a_handler_ends_one_stream, loop)
{
    std::vector<std::string> reported_errors;
    event_loop::set_error_handler([&](std::string_view problem)
                                  { reported_errors.emplace_back(problem); });
    peer_server server(base, {.address = address,
                              .on_request = [](std::string_view path,
                                               const std::string& body, const auto& reply)
                              {
                                  if (path == "/bad")
                                      throw std::runtime_error("a defect");
                                  reply(body);
                              }});
    peer_client client(base, {.address = address});
    BOOST_TEST((call(client, "/bad", "1").error().code == errc::unknown_outcome));
    BOOST_TEST(call(client, "/good", "2").value() == "2");
    client.request("/good", "3", reply_timeout,
                   [](const result<std::string>&)
                   { throw std::runtime_error("another defect"); });
    BOOST_TEST(call(client, "/good", "4").value() == "4");
    BOOST_TEST(reported_errors ==
                   (std::vector<std::string>{"a defect", "another defect"}),
               boost::test_tools::per_element());
    event_loop::set_error_handler(nullptr);
}

// Guards against replies that are swapped when the peer sends them in another order.
BOOST_FIXTURE_TEST_CASE(replies_in_reverse_order_reach_their_requests, loop)
{
    std::vector<std::pair<std::string, reply_sender>> pending_replies;
    peer_server server(base, {.address = address,
                              .on_request = [&](auto, std::string body, auto reply)
                              {
                                  pending_replies.emplace_back(body, reply);
                                  if (pending_replies.size() < 3)
                                      return;
                                  for (auto it = pending_replies.rbegin();
                                       it != pending_replies.rend(); ++it)
                                      it->second(it->first);
                              }});
    peer_client client(base, {.address = address});
    std::map<int, std::string> replies;
    for (int i = 0; i < 3; ++i)
        client.request("/m", std::to_string(i), reply_timeout,
                       [&, i](result<std::string> reply) { replies[i] = reply.value(); });
    while (replies.size() < 3)
        event_base_loop(base, EVLOOP_ONCE);
    for (const auto& [index, body_text] : replies)
        BOOST_TEST(std::to_string(index) == body_text);
}

// Guards against truncated bodies: 8 MiB fill the flow control window of a stream several
// times.
BOOST_FIXTURE_TEST_CASE(bodies_of_several_megabytes_arrive_complete, loop)
{
    peer_server server(base, echo());
    peer_client client(base, {.address = address});
    const std::string body(std::size_t{8} << 20U, 'x');
    BOOST_TEST((call(client, "/u", body).value() == "/u:" + body));
}

// Guards against unbounded buffers in the server.
BOOST_FIXTURE_TEST_CASE(a_body_over_the_limit_is_refused, loop)
{
    auto options = echo();
    options.max_body = 1000;
    peer_server server(base, options);
    peer_client client(base, {.address = address});
    BOOST_TEST(!call(client, "/u", std::string(5000, 'x')).has_value());
    BOOST_TEST(call(client, "/u", "small").has_value());
}

// Guards against reporting that a request has not run when the peer may have served it.
BOOST_FIXTURE_TEST_CASE(a_lost_connection_is_unknown_and_a_refused_one_unavailable, loop)
{
    peer_client client(base, {.address = address});
    const auto refused = call(client, "/a", "1");
    BOOST_TEST((refused.error().code == errc::unavailable));

    auto server = std::make_unique<peer_server>(
        base, peer_server_options{.address = address,
                                  .on_request = [&](auto, auto, auto)
                                  {
                                      event_base_loopbreak(base);
                                  }});
    std::optional<result<std::string>> outcome;
    client.request("/a", "1", reply_timeout,
                   [&](auto reply) { outcome = std::move(reply); });
    event_base_dispatch(base); // until the server has the request
    server.reset();
    while (!outcome)
        event_base_loop(base, EVLOOP_ONCE);
    BOOST_TEST((outcome->error().code == errc::unknown_outcome));

    server = std::make_unique<peer_server>(base, echo());
    BOOST_TEST(call(client, "/a", "2").value() == "/a:2");
}

// Guards against a request that stays pending forever when the peer does not reply.
BOOST_FIXTURE_TEST_CASE(a_silent_peer_leads_to_a_timeout, loop)
{
    peer_server server(base, {.address = address, .on_request = [](auto, auto, auto) {
                              }});
    peer_client client(base, {.address = address});
    const auto reply = call(client, "/a", "1", std::chrono::milliseconds(20));
    BOOST_TEST((reply.error().code == errc::timeout));
}

// A reply of several frames, and what the client must make of it.
struct reply_form
{
    const char* what;
    std::string frames;
    std::optional<std::string> body; // nullopt: not a complete reply
};

// Every way in which a reply may end. Guards against a part of a body that is passed on
// as a reply: cut off by a reset of the stream or of the connection, shorter or longer
// than its length, or over the limit.
BOOST_FIXTURE_TEST_CASE(only_replies_that_their_stream_ends_are_complete, loop)
{
    const std::string ok = headers_frame({{":status", "200"}}, 0);
    const std::string sized =
        headers_frame({{":status", "200"}, {"content-length", "5"}}, 0);
    const std::string large(max_reply, 'x');
    const std::vector<reply_form> forms{
        {"body", ok + data_frame("hello", end_stream), "hello"},
        {"body in two frames", ok + data_frame("he", 0) + data_frame("llo", end_stream),
         "hello"},
        {"body with its length", sized + data_frame("hello", end_stream), "hello"},
        {"no body", headers_frame({{":status", "200"}}, end_stream), ""},
        {"fields after the body",
         ok + data_frame("hello", 0) + headers_frame({{"a", "b"}}, end_stream), "hello"},
        {"interim reply before",
         headers_frame({{":status", "103"}}, 0) + ok + data_frame("hello", end_stream),
         "hello"},
        {"largest body", ok + data_frame(large, end_stream), large},
        {"reset after the end",
         ok + data_frame("hello", end_stream) + reset_frame(NGHTTP2_NO_ERROR), "hello"},
        {"no end", ok + data_frame("hello", 0), std::nullopt},
        {"no end of the head", ok.substr(0, ok.size() - 1), std::nullopt},
        {"no end of a frame", ok + data_frame("hello", end_stream).substr(0, 12),
         std::nullopt},
        {"stream cancelled", ok + data_frame("hello", 0) + reset_frame(NGHTTP2_CANCEL),
         std::nullopt},
        {"stream ended by a reset without an error",
         ok + data_frame("hello", 0) + reset_frame(NGHTTP2_NO_ERROR), std::nullopt},
        {"shorter than its length", sized + data_frame("hell", end_stream), std::nullopt},
        {"longer than its length", sized + data_frame("hello!", end_stream),
         std::nullopt},
        {"no body in spite of a length",
         headers_frame({{":status", "200"}, {"content-length", "5"}}, end_stream),
         std::nullopt},
        {"over the limit", ok + data_frame(large + "x", end_stream), std::nullopt},
        {"over the limit in the middle",
         ok + data_frame("a", 0) + data_frame(large, 0) + data_frame("b", end_stream),
         std::nullopt}};
    // A large request is still being sent when its reply comes.
    for (const std::size_t request_size : {std::size_t{1}, std::size_t{8} << 20U})
        for (const bool reset : {false, true})
            for (const reply_form& form : forms)
                BOOST_TEST_CONTEXT(form.what << (reset ? "; reset; " : "; closed; ")
                                             << request_size << " bytes sent")
                {
                    const scripted_peer peer(base, form.frames,
                                             reset ? after_reply::reset
                                                   : after_reply::close);
                    peer_client client(base, {.address = address, .max_body = max_reply});
                    const result<std::string> reply =
                        call(client, "/a", std::string(request_size, 'r'));
                    BOOST_TEST(reply.has_value() == form.body.has_value());
                    if (reply && form.body)
                        BOOST_TEST((reply.value() == *form.body));
                    else if (!reply)
                        BOOST_TEST((reply.error().code == errc::unknown_outcome));
                }
}

// Guards against a status that is no success being passed on as a reply, and against
// waiting for another reply after it.
BOOST_FIXTURE_TEST_CASE(only_success_is_a_reply, loop)
{
    for (const std::string status :
         {"0",   "00",  "000",  "001", "099", "100",  "101",  "103",  "199",  "201",
          "204", "304", "404",  "500", "599", "600",  "999",  "1000", "2000", "0200",
          "20",  "2x0", "200x", "+20", "-20", " 200", "200 ", ""})
        for (const bool with_body : {false, true})
            BOOST_TEST_CONTEXT("status \"" << status << "\""
                                           << (with_body ? ", body" : ""))
            {
                const std::string frames =
                    headers_frame({{":status", status}}, with_body ? 0 : end_stream) +
                    (with_body ? data_frame("hello", end_stream) : "");
                const scripted_peer peer(base, frames, after_reply::keep_open);
                peer_client client(base, {.address = address});
                const result<std::string> reply = call(client, "/a", "1");
                BOOST_TEST_REQUIRE(!reply.has_value());
                BOOST_TEST((reply.error().code == errc::unknown_outcome));
            }
}

// Guards against serving a part of a request whose body is over the limit.
BOOST_FIXTURE_TEST_CASE(request_over_the_limit_is_not_served, loop)
{
    std::vector<std::string> served;
    peer_server server(base, {.address = address,
                              .max_body = 1000,
                              .on_request = [&](auto, std::string body, const auto& reply)
                              {
                                  served.push_back(std::move(body));
                                  reply(std::string("ok"));
                              }});
    peer_client client(base, {.address = address});
    BOOST_TEST(!call(client, "/u", std::string(5000, 'x')).has_value());
    BOOST_TEST(!call(client, "/u", std::string(100'000, 'x')).has_value());
    BOOST_TEST(call(client, "/u", "small").has_value());
    BOOST_TEST(served == std::vector<std::string>{"small"},
               boost::test_tools::per_element());
}

// Guards against a crash on bytes that are not HTTP/2, and against effects on other
// connections.
BOOST_FIXTURE_TEST_CASE(bytes_of_another_protocol_end_the_connection_only, loop)
{
    peer_server server(base, echo());
    const int raw_socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_storage server_address{};
    int size = sizeof(server_address);
    evutil_parse_sockaddr_port(address.c_str(),
                               reinterpret_cast<sockaddr*>(&server_address), &size);
    BOOST_REQUIRE(
        connect(raw_socket, reinterpret_cast<sockaddr*>(&server_address), size) == 0);
    const std::string text = "GET / HTTP/1.1\r\n\r\n\r\n\r\n";
    BOOST_REQUIRE(write(raw_socket, text.data(), text.size()) == std::ssize(text));
    peer_client client(base, {.address = address});
    BOOST_TEST(call(client, "/a", "1").has_value());
    close(raw_socket);
}
