// Answers that an upstream does not end properly: which of them a client may take for
// complete, by when they come, how they are framed and how their connection ends. The
// upstream is a plain socket, so that each case decides what the client finds in its
// socket at once, and in which order.

#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

using namespace pistachiospan;
using namespace std::chrono_literals;
using http1::call_end;

namespace
{

// More than one read of the client's buffers takes, less than a socket buffers.
constexpr std::size_t answer_size = 40'000;
// More than the sockets of both ends buffer.
constexpr std::size_t upload_size = std::size_t{6} << 20U;
// Fits into the client's socket, but not into the window of an upstream with the smallest
// receive buffer.
constexpr std::size_t small_upload_size = 12'000;

// How much of the request the upstream has received when it answers.
enum class upload
{
    whole,          // the upstream has read all of it
    in_socket,      // the client has written it, the upstream's host has not received it
    partly_written, // the client has not written all of it
};

enum class framing
{
    length,
    chunked,
    none, // ends with the connection
    length_cut,
    chunked_cut,
    head_cut,
};

enum class ending
{
    stays_open,
    orderly,              // end of stream
    closed,               // close(): a reset if bytes are unread, else an end of stream
    reset,                // reset without an end of stream
    reset_after_orderly,  // end of stream, then a reset
    reset_while_answering // the client reads a part of the answer before the reset
};

template <class Value>
struct named
{
    Value value;
    const char* name;
};

constexpr std::array<named<upload>, 3> uploads{
    {{upload::whole, "request received"},
     {upload::in_socket, "request in the client's socket"},
     {upload::partly_written, "request partly written"}}};

constexpr std::array<named<framing>, 6> framings{
    {{framing::length, "length"},
     {framing::chunked, "chunked"},
     {framing::none, "no length"},
     {framing::length_cut, "shorter than its length"},
     {framing::chunked_cut, "no last chunk"},
     {framing::head_cut, "cut in the head"}}};

constexpr std::array<named<ending>, 6> endings{
    {{ending::stays_open, "stays open"},
     {ending::orderly, "end of stream"},
     {ending::closed, "closed"},
     {ending::reset, "reset"},
     {ending::reset_after_orderly, "end of stream, reset"},
     {ending::reset_while_answering, "answer read, then reset"}}};

const std::string answer_head = "HTTP/1.1 200 OK\r\nId: 7\r\n";
const std::string answer_body(answer_size, 'x');

std::string answer_bytes(framing form)
{
    const std::string sized_head =
        answer_head + "Content-Length: " + std::to_string(answer_size) + "\r\n\r\n";
    const std::string chunk_head =
        answer_head + "Transfer-Encoding: chunked\r\n\r\n9c40\r\n"; // answer_size
    switch (form)
    {
    case framing::length:
        return sized_head + answer_body;
    case framing::chunked:
        return chunk_head + answer_body + "\r\n0\r\n\r\n";
    case framing::none:
        return answer_head + "\r\n" + answer_body;
    case framing::length_cut:
        return sized_head + answer_body.substr(1);
    case framing::chunked_cut:
        return chunk_head + answer_body + "\r\n";
    case framing::head_cut:
        break;
    }
    return answer_head;
}

// The rule that the client must keep, from the framing and the end alone.
call_end expected_end(upload sent, framing form, ending end)
{
    if (form == framing::length || form == framing::chunked)
        return call_end::answered;
    if (end == ending::stays_open)
        return call_end::timed_out;
    // Closing a socket without unread bytes is an orderly end.
    const bool is_orderly = end == ending::orderly || end == ending::closed;
    return form == framing::none && sent == upload::whole && is_orderly
               ? call_end::answered
               : call_end::broken;
}

// An upstream without an event loop: it does one thing at a time, whenever the test says.
struct plain_upstream
{
    explicit plain_upstream(upload sent) : listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int smallest = 1;
        if (sent == upload::in_socket)
            setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &smallest,
                       sizeof(smallest));
        sockaddr_in local{.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
        auto* const generic = reinterpret_cast<sockaddr*>(&local);
        socklen_t size = sizeof(local);
        BOOST_TEST_REQUIRE(bind(this->listener, generic, size) == 0);
        BOOST_TEST_REQUIRE(getsockname(this->listener, generic, &size) == 0);
        this->address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
        BOOST_TEST_REQUIRE(listen(this->listener, 4) == 0);
    }
    ~plain_upstream()
    {
        if (this->socket >= 0)
            ::close(this->socket);
        ::close(this->listener);
    }
    plain_upstream(const plain_upstream&) = delete;
    plain_upstream& operator=(const plain_upstream&) = delete;

    void accept()
    {
        this->socket = ::accept(this->listener, nullptr, nullptr);
        BOOST_TEST_REQUIRE(this->socket >= 0);
    }

    // Reads what has arrived.
    void read()
    {
        std::vector<char> bytes(std::size_t{1} << 16U);
        ssize_t size = 0;
        while ((size = recv(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0)
            this->received.append(bytes.data(), static_cast<std::size_t>(size));
    }

    void write(const std::string& bytes) const
    {
        BOOST_TEST_REQUIRE(::send(this->socket, bytes.data(), bytes.size(),
                                  MSG_DONTWAIT | MSG_NOSIGNAL) == std::ssize(bytes));
    }

    void close(bool reset)
    {
        if (reset)
            http1::internal::reset_on_close(this->socket);
        ::close(this->socket);
        this->socket = -1;
    }

    void end(ending how)
    {
        if (how == ending::orderly || how == ending::reset_after_orderly)
            shutdown(this->socket, SHUT_WR);
        if (how != ending::stays_open && how != ending::orderly)
            this->close(how != ending::closed);
    }

    int listener;
    std::string address; // on a free port
    int socket = -1;
    std::string received;
};

struct exchange
{
    explicit exchange(upload sent)
        : base(event_base_new(), &event_base_free), upstream(sent),
          client(base.get(), {.correlation_header = "Id"})
    {
    }

    template <class Condition>
    bool run(Condition done, duration longest = 2s)
    {
        const time_point until = event_loop::monotonic_now() + longest;
        while (!done() && event_loop::monotonic_now() < until)
        {
            event_loop::one_shot_timer wake(this->base.get(), [this]
                                            { event_base_loopbreak(this->base.get()); });
            wake.start(1ms);
            event_base_dispatch(this->base.get());
        }
        return done();
    }

    void pause()
    {
        this->run([] { return false; }, 10ms);
    }

    void start(std::size_t body_size, duration timeout = 2s)
    {
        this->client.send(this->upstream.address,
                          {.method = "POST",
                           .target = "/x",
                           .headers = {{"Id", "7"}},
                           .body = std::string(body_size, 'u')},
                          {.timeout = timeout},
                          [this](http1::call_result result)
                          { this->outcome = std::move(result); });
    }

    // Runs the request until it has come as far as `sent` says.
    void upload_until(upload sent, duration timeout)
    {
        this->start(sent == upload::partly_written ? upload_size : small_upload_size,
                    timeout);
        this->upstream.accept();
        this->pause();
        if (sent != upload::whole)
            return;
        BOOST_TEST_REQUIRE(this->run(
            [this]
            {
                this->upstream.read();
                return this->upstream.received.size() > small_upload_size &&
                       this->upstream.received.ends_with("u");
            }));
    }

    std::unique_ptr<event_base, decltype(&event_base_free)> base;
    plain_upstream upstream;
    http1::client client;
    std::optional<http1::call_result> outcome;
};

void check(upload sent, framing form, ending end)
{
    const call_end expected = expected_end(sent, form, end);
    exchange played(sent);
    played.upload_until(sent, expected == call_end::timed_out ? 50ms : 2s);
    played.upstream.write(answer_bytes(form));
    if (end == ending::reset_while_answering)
        played.pause();
    played.upstream.end(end);
    BOOST_TEST_REQUIRE(played.run([&] { return played.outcome.has_value(); }));
    BOOST_TEST((played.outcome->end == expected),
               "ended as " << int(played.outcome->end) << ", expected " << int(expected));
    if (expected == call_end::answered)
        BOOST_TEST((played.outcome->answer.body == answer_body));
    if (expected == call_end::broken)
        BOOST_TEST(played.outcome->closed_by_server);
}

// Makes one call to an upstream that answers with `bytes` and keeps its connection.
http1::call_result call_with(const std::string& bytes)
{
    exchange played(upload::whole);
    played.upload_until(upload::whole, 300ms);
    played.upstream.write(bytes);
    BOOST_TEST_REQUIRE(played.run([&] { return played.outcome.has_value(); }));
    return std::move(*played.outcome);
}

} // namespace

// Of 40 uploads of 6 MB to a real upstream process, 35 callers got a part of the body as
// a complete answer: the write error of the upload takes the socket's pending error, and
// the read that follows finds an end of stream. Guards against taking that end for an
// orderly one.
BOOST_AUTO_TEST_CASE(reset_during_an_upload_does_not_complete_an_answer)
{
    for (int repetition = 0; repetition < 20; ++repetition)
        for (const bool is_read_first : {false, true})
            check(upload::partly_written, framing::none,
                  is_read_first ? ending::reset_while_answering : ending::closed);
}

// The whole class: each state of the request, framing and end of the connection. Guards
// against an answer that is passed on although nothing shows that it is complete, and
// against a complete early answer that is lost with the connection.
BOOST_AUTO_TEST_CASE(only_answers_that_their_framing_ends_are_complete)
{
    for (const auto& [sent, sent_name] : uploads)
        for (const auto& [form, form_name] : framings)
            for (const auto& [end, end_name] : endings)
                BOOST_TEST_CONTEXT(sent_name << "; " << form_name << "; " << end_name)
    check(sent, form, end);
}

// An upstream answers before it has received the whole request, in a complete form, and
// keeps the connection. Guards against reusing the connection: the upstream may take the
// rest of the body for the next request.
BOOST_AUTO_TEST_CASE(connection_of_an_early_answer_is_not_reused)
{
    for (const auto& [sent, sent_name] : uploads)
        for (const framing form : {framing::length, framing::chunked})
            BOOST_TEST_CONTEXT(sent_name)
            {
                exchange played(sent);
                played.upload_until(sent, 2s);
                played.upstream.write(answer_bytes(form));
                played.run([&] { return played.outcome.has_value(); });
                BOOST_TEST_REQUIRE(played.outcome.has_value());
                BOOST_TEST((played.outcome->end == call_end::answered));
                played.client.send(played.upstream.address,
                                   {.method = "GET", .target = "/y"}, {},
                                   [](const http1::call_result&) {});
                BOOST_TEST(played.client.connections_opened() ==
                           (sent == upload::whole ? 1U : 2U));
            }
}

// The upstream receives the rest of the request while it answers. Guards against reusing
// the connection because nothing is left to send when the answer ends.
BOOST_AUTO_TEST_CASE(connection_of_an_answer_that_began_early_is_not_reused)
{
    exchange played(upload::in_socket);
    played.upload_until(upload::in_socket, 2s);
    const std::string bytes = answer_bytes(framing::length);
    played.upstream.write(bytes.substr(0, 1000));
    played.pause();
    played.run(
        [&]
        {
            played.upstream.read();
            return played.upstream.received.size() > small_upload_size;
        });
    played.pause();
    played.upstream.read();
    played.upstream.write(bytes.substr(1000));
    played.run([&] { return played.outcome.has_value(); });
    BOOST_TEST_REQUIRE(played.outcome.has_value());
    BOOST_TEST((played.outcome->end == call_end::answered));
    played.client.send(played.upstream.address, {.method = "GET", .target = "/y"}, {},
                       [](const http1::call_result&) {});
    BOOST_TEST(played.client.connections_opened() == 2U);
}

// Guards against a status that is none, or that belongs to no class, being passed on, and
// against waiting for another answer after it until the deadline (000 and 099 did so).
BOOST_AUTO_TEST_CASE(answers_with_an_impossible_status_are_broken_at_once)
{
    for (const std::string status :
         {"0",   "00",   "000",  "001",  "099",  "101",   "600", "666",
          "999", "1000", "2000", "0200", "20",   "2",     "-20", "+20",
          "2x0", "2.0",  "0x2",  "",     " 200", "200200"})
        for (const std::string fields :
             {"Id: 7\r\nContent-Length: 0\r\n", "Id: 7\r\n",
              "Id: 7\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 0\r\n"})
            BOOST_TEST_CONTEXT("status \"" << status << "\", " << fields)
            {
                std::string bytes = "HTTP/1.1 " + status;
                bytes += " Name\r\n" + fields + "\r\n";
                const http1::call_result outcome = call_with(bytes);
                BOOST_TEST((outcome.end == call_end::broken));
                BOOST_TEST(outcome.detail.starts_with("malformed response"));
            }
}

// Guards against final statuses that are refused because they have no name, and against
// interim ones that are taken for final.
BOOST_AUTO_TEST_CASE(answers_with_a_possible_status_are_passed_on)
{
    for (const int status : {200, 204, 226, 299, 304, 399, 404, 451, 499, 500, 503, 599})
    {
        const bool has_body = status != 204 && status != 304;
        const std::string final_answer =
            "HTTP/1.1 " + std::to_string(status) + " Name\r\nId: 7\r\n" +
            (has_body ? "Content-Length: 2\r\n\r\nok" : "\r\n");
        for (const std::string interim :
             {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n",
              "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 199 None\r\nId: 7\r\n\r\n"})
            BOOST_TEST_CONTEXT(status << " after \"" << interim << "\"")
            {
                const http1::call_result outcome = call_with(interim + final_answer);
                BOOST_TEST((outcome.end == call_end::answered));
                BOOST_TEST(outcome.answer.status == status);
                BOOST_TEST(outcome.answer.body == (has_body ? "ok" : ""));
            }
    }
}
