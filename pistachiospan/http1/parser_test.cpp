// Guards against messages that are no HTTP/1.1 by RFC 9112 and are read all the same:
// what the parser takes is forwarded, and another recipient reads it differently.

#include "pistachiospan/http1/internal/parser.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <regex>
#include <string>
#include <utility>
#include <vector>

using namespace pistachiospan;
using http1::internal::message_kind;
using http1::internal::parse_error;
using http1::internal::parse_state;
using http1::internal::parser;

namespace
{

struct form
{
    const char* what;
    std::string bytes;
};

constexpr std::array<std::size_t, 3> piece_sizes{1, 7, 100'000};

// Feeds the bytes in pieces, as far as one message reaches. Returns the bytes consumed.
std::size_t feed_in_pieces(parser& reader, std::string_view bytes, std::size_t size)
{
    std::size_t used = 0;
    while (used < bytes.size() && reader.state() != parse_state::complete &&
           reader.state() != parse_state::failed)
        used += reader.feed(bytes.substr(used, size));
    return used;
}

void check_all_rejected(message_kind kind, const std::vector<form>& forms)
{
    for (const form& wrong : forms)
        for (const std::size_t size : piece_sizes)
            BOOST_TEST_CONTEXT(wrong.what << ", in pieces of " << size)
            {
                parser reader(kind);
                feed_in_pieces(reader, wrong.bytes, size);
                reader.feed_end();
                BOOST_TEST((reader.state() == parse_state::failed));
                BOOST_TEST(!reader.problem().empty());
            }
}

// Heads with lines that are no fields; `first_line` ends with CRLF.
std::vector<form> wrong_fields(const std::string& first_line)
{
    const auto with = [&](const std::string& line)
    {
        return first_line + line + "\r\nContent-Length: 1\r\n\r\nx";
    };
    return {
        {"space before the colon", with("Name : a")},
        {"space before the colon of a framing field",
         first_line + "Transfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
        {"tab before the colon", with("Name\t: a")},
        {"space inside a name", with("Two Words: a")},
        {"no colon", with("Name")},
        {"empty name", with(": a")},
        {"bracket in a name", with("Na(me: a")},
        {"control character in a name", with("Na\x01me: a")},
        {"byte above 127 in a name", with("Na\xe4me: a")},
        {"NUL in a value", with(std::string("Name: a\0b", 9))},
        {"control character in a value", with("Name: a\x01z")},
        {"delete character in a value", with("Name: a\x7fz")},
        {"CR inside a value", with("Name: a\rb")},
        {"line end without CR", first_line + "Name: a\nContent-Length: 1\r\n\r\nx"},
        {"first field begins with a space", with(" Name: a")},
        {"last byte of the head is missing", first_line + "Name: a\r\n\rx"},
        {"head ends without CR", first_line + "Content-Length: 1\r\n\nx"},
        {"head without an end", first_line + "Name: a\r\n"},
    };
}

// Heads that don't say clearly where the body ends.
std::vector<form> wrong_framing(const std::string& first_line)
{
    const auto chunked = [&](const std::string& body)
    {
        return first_line + "Transfer-Encoding: chunked\r\n\r\n" + body;
    };
    const auto coded = [&](const std::string& coding)
    {
        return first_line + "Transfer-Encoding: " + coding +
               "\r\nConnection: close\r\n\r\n1\r\nx\r\n0\r\n\r\n";
    };
    const auto sized = [&](const std::string& length)
    {
        return first_line + "Content-Length: " + length + "\r\n\r\nx";
    };
    return {
        {"unknown coding", coded("chunkod")},
        {"coding that isn't undone", coded("gzip, chunked")},
        {"chunked isn't last", coded("chunked, gzip")},
        {"identity", coded("identity")},
        {"empty coding", coded("")},
        {"chunked twice", coded("chunked, chunked")},
        {"two codings", first_line +
                            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n1\r\nx\r\n0\r\n\r\n"},
        {"length and coding", first_line +
                                  "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"
                                  "\r\n1\r\nx\r\n0\r\n\r\n"},
        {"coding and length", first_line +
                                  "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n"
                                  "\r\n1\r\nx\r\n0\r\n\r\n"},
        {"two lengths", first_line + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx"},
        {"length twice", first_line + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx"},
        {"list of lengths", sized("1, 1")},
        {"signed length", sized("+1")},
        {"negative length", sized("-1")},
        {"hexadecimal length", sized("0x1")},
        {"length with a space", sized("1 1")},
        {"length above 64 bits", sized("18446744073709551617")},
        {"empty length", sized("")},
        {"chunk without a size", chunked("\r\nx\r\n0\r\n\r\n")},
        {"chunk size isn't hexadecimal", chunked("g\r\nx\r\n0\r\n\r\n")},
        {"chunk longer than its size", chunked("1\r\nxy\r\n0\r\n\r\n")},
        {"chunk size above 64 bits", chunked("10000000000000001\r\nx\r\n0\r\n\r\n")},
        {"chunk size with a space before", chunked(" 1\r\nx\r\n0\r\n\r\n")},
        {"chunk line end without CR", chunked("1\nx\r\n0\r\n\r\n")},
        {"no last chunk", chunked("1\r\nx\r\n")},
        {"trailer line is no field", chunked("1\r\nx\r\n0\r\nName\r\n\r\n")},
        {"body shorter than its length", sized("2")},
    };
}

std::vector<form> operator+(std::vector<form> left, const std::vector<form>& right)
{
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

} // namespace

BOOST_AUTO_TEST_CASE(wrong_requests_are_rejected)
{
    const std::string line = "POST / HTTP/1.1\r\n";
    const std::vector<form> first_lines{
        {"no version", "GET /\r\nHost: a\r\n\r\n"},
        {"unknown major version", "GET / HTTP/2.0\r\nHost: a\r\n\r\n"},
        {"unknown minor version", "GET / HTTP/1.2\r\nHost: a\r\n\r\n"},
        {"space in the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"two spaces", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"method is no token", "G(T / HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"leading space", " GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"control character in the target", "GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"line end without CR", "GET / HTTP/1.1\nHost: a\r\n\r\n"},
        {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
        {"tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"chunks in HTTP/1.0",
         "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
    };
    check_all_rejected(message_kind::request,
                       first_lines + wrong_fields(line) + wrong_framing(line));
}

BOOST_AUTO_TEST_CASE(wrong_responses_are_rejected)
{
    const std::string line = "HTTP/1.1 200 OK\r\n";
    const std::vector<form> first_lines{
        {"another protocol", "HTTQ/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
        {"unknown version", "HTTP/3.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
        {"short status", "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n"},
        {"long status", "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n"},
        {"status is no number", "HTTP/1.1 2o0 OK\r\nContent-Length: 0\r\n\r\n"},
        {"status of no class", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"},
        {"status below the classes", "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n"},
        {"status above the classes", "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n"},
        {"largest status", "HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n"},
        {"no space after the version", "HTTP/1.1200 OK\r\nContent-Length: 0\r\n\r\n"},
        {"empty line before", "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
        {"control character in the reason",
         "HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n"},
        {"another protocol follows", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
        {"chunks in HTTP/1.0",
         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
    };
    check_all_rejected(message_kind::response,
                       first_lines + wrong_fields(line) + wrong_framing(line));
}

// Guards against messages that are lost or cut because they arrive in pieces.
BOOST_AUTO_TEST_CASE(messages_are_read_in_pieces_of_any_size)
{
    const std::string chunked = "POST /a?b HTTP/1.1\r\nHost: h\r\nName:  a b \r\n"
                                "Transfer-Encoding: Chunked\r\n\r\n"
                                "3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nTrailer: t\r\n\r\n";
    const std::string sized = "GET / HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy";
    const std::string bytes = "\r\n\r\n" + chunked + sized + "GET";
    for (std::size_t size = 1; size <= bytes.size(); ++size)
        BOOST_TEST_CONTEXT("pieces of " << size)
        {
            parser reader(message_kind::request);
            std::size_t used = feed_in_pieces(reader, bytes, size);
            BOOST_TEST_REQUIRE((reader.state() == parse_state::complete));
            BOOST_TEST(reader.method == "POST");
            BOOST_TEST(reader.target == "/a?b");
            BOOST_TEST(reader.body == "abcd");
            BOOST_TEST(reader.headers.size() == 3);
            BOOST_TEST(http1::header_value(reader.headers, "name") == "a b");
            BOOST_TEST(reader.keep_alive());
            reader.next();
            used += feed_in_pieces(reader, std::string_view(bytes).substr(used), size);
            BOOST_TEST_REQUIRE((reader.state() == parse_state::complete));
            BOOST_TEST(reader.body == "xy");
            BOOST_TEST(used == bytes.size() - 3);
        }
}

BOOST_AUTO_TEST_CASE(body_without_a_length_ends_with_the_stream)
{
    parser reader(message_kind::response);
    feed_in_pieces(reader, "HTTP/1.1 200 OK\r\nName: a\r\n\r\nbody", 1);
    BOOST_TEST((reader.state() == parse_state::body));
    reader.feed_end();
    BOOST_TEST((reader.state() == parse_state::complete));
    BOOST_TEST(reader.body == "body");
    BOOST_TEST(!reader.keep_alive());
}

// RFC 9112, 5.2: a recipient may join a folded line with a space.
BOOST_AUTO_TEST_CASE(folded_lines_are_joined)
{
    parser reader(message_kind::response);
    feed_in_pieces(reader, "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n",
                   3);
    BOOST_TEST_REQUIRE((reader.state() == parse_state::complete));
    BOOST_TEST(http1::header_value(reader.headers, "A") == "b c");
}

// Guards against heads that take memory without bound because they never end.
BOOST_AUTO_TEST_CASE(endless_heads_are_rejected)
{
    const std::array<std::string, 3> begins{
        "", "HTTP/1.1 200 OK\r\nName: a",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x"};
    for (const std::string& begin : begins)
    {
        parser reader(message_kind::response);
        reader.set_limits({.max_header = 2000});
        std::string bytes = begin;
        if (bytes.empty())
            bytes = "HTTP/1.1 200 O";
        reader.feed(bytes);
        for (int piece = 0; piece < 50; ++piece)
            reader.feed(std::string(100, 'x'));
        BOOST_TEST((reader.state() == parse_state::failed));
        BOOST_TEST((reader.error() == parse_error::header_too_large));
    }
}

namespace
{

// An independent reading of responses with a length, by the grammar of RFC 9112.
struct plain_reading
{
    bool valid = false;
    std::string body;
};

plain_reading read_plainly(const std::string& bytes)
{
    static const std::regex first_line(R"(HTTP/1\.[01] \d{3} [\t\x20-\x7e\x80-\xff]*)");
    static const std::regex field(
        R"(([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*))");
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return {};
    std::size_t line_begin = 0;
    std::optional<std::size_t> length;
    bool first = true;
    while (line_begin < end + 2)
    {
        const std::size_t line_end = bytes.find("\r\n", line_begin);
        const std::string line = bytes.substr(line_begin, line_end - line_begin);
        line_begin = line_end + 2;
        std::smatch parts;
        if (!std::regex_match(line, parts,
                              std::exchange(first, false) ? first_line : field))
            return {};
        if (parts.size() == 3 &&
            http1::equal_header_names(parts[1].str(), "Content-Length"))
            length = std::stoul(parts[2].str());
        if (parts.size() == 3 &&
            http1::equal_header_names(parts[1].str(), "Transfer-Encoding"))
            return {};
    }
    const std::string body = bytes.substr(end + 4);
    if (length && body.size() < *length)
        return {};
    return {.valid = true, .body = body.substr(0, length.value_or(body.size()))};
}

void spoil(std::string& bytes, std::size_t head_size, std::mt19937& random)
{
    const std::size_t at = random() % head_size;
    switch (random() % 3)
    {
    case 0:
        bytes[at] = static_cast<char>(random() % 256);
        break;
    case 1:
        bytes.erase(at, 1);
        break;
    default:
        bytes.insert(at, 1, bytes[at]);
        break;
    }
}

} // namespace

// Guards against a body that isn't the upstream's, after one byte of the head is changed,
// lost or doubled.
BOOST_AUTO_TEST_CASE(spoiled_messages_are_read_strictly_or_rejected)
{
    constexpr int rounds = 30'000;
    std::mt19937 random(20261205);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                             "X-Request-Id: 12-34\r\nContent-Length: 5\r\n\r\n";
    int taken = 0;
    for (int round = 0; round < rounds; ++round)
    {
        std::string bytes = head + "hello";
        spoil(bytes, head.size(), random);
        parser reader(message_kind::response);
        feed_in_pieces(reader, bytes, 1 + random() % bytes.size());
        reader.feed_end();
        if (reader.state() != parse_state::complete || reader.status / 100 != 2 ||
            reader.status == 204)
            continue;
        ++taken;
        const plain_reading expected = read_plainly(bytes);
        BOOST_TEST_CONTEXT("round " << round << ": " << bytes)
        {
            // A folded line is no field line of this simple reading, but valid.
            const bool folded = bytes.find("\r\n ") != std::string::npos ||
                                bytes.find("\r\n\t") != std::string::npos;
            BOOST_TEST((expected.valid || folded));
            if (expected.valid)
                BOOST_TEST(reader.body == expected.body);
        }
    }
    BOOST_TEST(taken > rounds / 10);
}
