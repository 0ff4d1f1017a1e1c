#include "pistachiospan/edge/internal/peer_link.hpp"

#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <system_error>

namespace pistachiospan::edge::internal
{

namespace
{

constexpr std::size_t max_datagram = 65000; // bytes
constexpr int most_datagrams = 64;          // read in one turn of the loop
constexpr duration fetch_timeout = std::chrono::milliseconds(800);

constexpr std::string_view tables_path = "/tables";

std::optional<sockaddr_in> parse(const std::string& address)
{
    sockaddr_in parsed{};
    int size = sizeof(parsed);
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&parsed),
                                   &size) != 0 ||
        parsed.sin_family != AF_INET)
        return std::nullopt;
    return parsed;
}

int open_socket(const std::string& address)
{
    const std::optional<sockaddr_in> local = parse(address);
    const int made = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (made < 0 || !local ||
        bind(made, reinterpret_cast<const sockaddr*>(&*local), sizeof(*local)) != 0)
        throw std::system_error(errno, std::generic_category(),
                                "cannot receive datagrams on " + address +
                                    "; free the address or correct the settings");
    return made;
}

std::string pack(const peer_tables& from)
{
    nlohmann::json all = nlohmann::json::array();
    for (const mirror::page* each : {&from.operator_rows, &from.upstreams})
    {
        const std::string bytes = mirror::encode(*each);
        all.push_back(nlohmann::json::binary({bytes.begin(), bytes.end()}));
    }
    std::string packed;
    nlohmann::json::to_msgpack(all, packed);
    return packed;
}

result<mirror::page> unpack_page(const nlohmann::json& from)
{
    const nlohmann::json::binary_t& bytes = from.get_binary();
    return mirror::decode({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

result<peer_tables> unpack(std::string_view packed)
{
    try
    {
        const nlohmann::json all = nlohmann::json::from_msgpack(packed);
        result<mirror::page> rows = unpack_page(all.at(0));
        result<mirror::page> upstreams = unpack_page(all.at(1));
        if (!rows)
            return rows.error();
        if (!upstreams)
            return upstreams.error();
        return peer_tables{std::move(rows.value()), std::move(upstreams.value())};
    }
    catch (const nlohmann::json::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("tables of a VM are malformed: ") + problem.what() +
                           "; run one version on all VMs");
    }
}

} // namespace

peer_link::peer_link(event_base* base, const std::string& address, peer_link_hooks hooks)
    : hooks(std::move(hooks)), socket(open_socket(address)),
      readable(event_new(
          base, this->socket, EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self)
          { static_cast<peer_link*>(self)->receive(); },
          this)),
      tables(base, address,
             {.received =
                  [this](http1::exchange_id exchange, const http1::request& asked)
              {
                  if (asked.target == tables_path)
                      this->tables.respond(
                          exchange, {.status = 200, .body = pack(this->hooks.tables())});
                  else
                      this->tables.respond(exchange, {.status = 404});
              }}),
      client(base, {})
{
    event_add(this->readable.get(), nullptr);
}

peer_link::~peer_link()
{
    ::close(this->socket);
}

void peer_link::receive()
{
    std::array<char, max_datagram> buffer; // NOLINT: filled by recv
    for (int count = 0; count < most_datagrams; ++count)
    {
        const ssize_t size = recv(this->socket, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return;
        this->hooks.received({buffer.data(), static_cast<std::size_t>(size)});
    }
}

void peer_link::send(std::string_view datagram, std::span<const std::string> addresses)
{
    for (const std::string& address : addresses)
    {
        auto known = this->parsed.find(address);
        if (known == this->parsed.end())
        {
            const std::optional<sockaddr_in> made = parse(address);
            if (!made)
                continue;
            known = this->parsed.emplace(address, *made).first;
        }
        sendto(this->socket, datagram.data(), datagram.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&known->second), sizeof(sockaddr_in));
    }
}

void peer_link::fetch(const std::string& address,
                      std::function<void(result<peer_tables>)> done)
{
    this->client.send(
        address, {.method = "GET", .target = std::string(tables_path)},
        {.timeout = fetch_timeout},
        [done = std::move(done)](const http1::call_result& ended)
        {
            if (ended.end == http1::call_end::answered && ended.answer.status == 200)
                done(unpack(ended.answer.body));
            else
                done(failure(errc::unavailable, "the VM gave no tables (" +
                                                    ended.detail + "); ask another"));
        });
}

} // namespace pistachiospan::edge::internal
