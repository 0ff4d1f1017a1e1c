#include "pistachiospan/edge/internal/peer_link.hpp"

#include "pistachiospan/http1/internal/socket.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <functional>
#include <sstream>
#include <system_error>

namespace pistachiospan::edge::internal
{

namespace
{

constexpr std::size_t max_datagram = 65000; // bytes
constexpr int max_datagrams_per_turn = 64;  // received per turn of the event loop
// Time for one answer, in addition to the requested wait for a change.
constexpr duration fetch_timeout = std::chrono::milliseconds(600);
constexpr duration expiry_interval = std::chrono::milliseconds(250);
// A VM that reads tables from this one asks at least this often.
constexpr duration reader_timeout = std::chrono::seconds(1);

std::string text_of(const sockaddr_in& address)
{
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &address.sin_addr, ip.data(), ip.size());
    return std::string(ip.data()) + ':' + std::to_string(ntohs(address.sin_port));
}

int open_socket(const std::string& address)
{
    const auto local = http1::internal::try_parse_address(address);
    if (!local)
        throw std::system_error(make_error_code(errc::invalid_argument),
                                "cannot receive datagrams on " + address +
                                    ", it is not ip:port; correct the settings");
    const int descriptor =
        ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool is_bound =
        descriptor >= 0 &&
        bind(descriptor, reinterpret_cast<const sockaddr*>(&*local), sizeof(*local)) == 0;
    if (is_bound)
        return descriptor;
    const int problem = errno;
    if (descriptor >= 0)
        ::close(descriptor);
    throw std::system_error(problem, std::generic_category(),
                            "cannot receive datagrams on " + address +
                                "; free the address or correct the settings");
}

// Formats "/table/instance/cursor/wait?reader" with the wait in microseconds. VMs of
// earlier versions neither send nor read the reader.
std::string target_of(const relay_query& query)
{
    std::ostringstream target;
    target << '/' << static_cast<int>(query.followed) << '/' << query.instance << '/'
           << query.cursor << '/' << query.wait.count() << '?' << query.reader;
    return target.str();
}

std::optional<relay_query> parse_target(const std::string& target)
{
    std::istringstream fields(target);
    std::array<std::uint64_t, 4> numbers{};
    for (std::uint64_t& each : numbers)
    {
        char slash = 0;
        if (!(fields >> slash >> each) || slash != '/')
            return std::nullopt;
    }
    if (numbers[0] > static_cast<std::uint64_t>(table::upstreams))
        return std::nullopt;
    relay_query query{.followed = static_cast<table>(numbers[0]),
                      .instance = numbers[1],
                      .cursor = numbers[2],
                      .wait = duration(static_cast<std::int64_t>(numbers[3]))};
    char separator = 0;
    if (fields >> separator && separator == '?')
        fields >> query.reader;
    return query;
}

} // namespace

peer_link::peer_link(event_base* base, const std::string& address, peer_link_hooks hooks)
    : address(address), hooks(std::move(hooks)), socket(open_socket(address)),
      readable(event_new(
          base, this->socket, EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self)
          { static_cast<peer_link*>(self)->receive(); },
          this)),
      table_server(base, address,
                   {.on_request =
                        [this](http1::exchange_id exchange, const http1::request& request)
                    { this->answer(exchange, request); },
                    .on_disconnect =
                        [this](http1::exchange_id exchange)
                    {
                        std::erase_if(this->pending, [exchange](const pending_query& each)
                                      { return each.exchange == exchange; });
                    }}),
      client(base, {}), expiry(base, expiry_interval, [this] { this->expire(); })
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
    for (int count = 0; count < max_datagrams_per_turn; ++count)
    {
        sockaddr_in from{};
        socklen_t from_size = sizeof(from);
        const ssize_t size = recvfrom(this->socket, buffer.data(), buffer.size(), 0,
                                      reinterpret_cast<sockaddr*>(&from), &from_size);
        if (size <= 0)
            return;
        const std::string_view bytes(buffer.data(), static_cast<std::size_t>(size));
        event_loop::run_guarded([&] { this->hooks.received(text_of(from), bytes); });
    }
}

void peer_link::send(std::string_view datagram, std::span<const std::string> addresses)
{
    for (const std::string& address : addresses)
    {
        auto known = this->parsed_addresses.find(address);
        if (known == this->parsed_addresses.end())
        {
            const auto parsed = http1::internal::try_parse_address(address);
            if (!parsed)
                continue;
            known = this->parsed_addresses.emplace(address, *parsed).first;
        }
        sendto(this->socket, datagram.data(), datagram.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&known->second), sizeof(sockaddr_in));
    }
}

http1::call_id peer_link::fetch(const std::string& address, const relay_query& query,
                                relay_handler done)
{
    relay_query sent = query;
    sent.reader = this->address;
    return this->client.send(
        address, {.method = "GET", .target = target_of(sent)},
        {.timeout = query.wait + fetch_timeout},
        [done = std::move(done)](const http1::call_result& outcome)
        {
            if (outcome.end == http1::call_end::answered && outcome.answer.status == 200)
                done(mirror::decode(outcome.answer.body));
            else
                done(failure(errc::unavailable, "the VM did not return table changes (" +
                                                    outcome.detail +
                                                    "); use another VM or the store"));
        });
}

void peer_link::cancel(http1::call_id call)
{
    this->client.cancel(call);
}

void peer_link::answer(http1::exchange_id exchange, const http1::request& request)
{
    const std::optional<relay_query> query = parse_target(request.target);
    if (!query)
    {
        this->table_server.respond(exchange, {.status = 404});
        return;
    }
    if (!query->reader.empty())
        this->readers[query->reader] = event_loop::monotonic_now();
    const mirror::relay_page page =
        this->hooks.copy(query->followed).changes_since(query->instance, query->cursor);
    if (page.is_snapshot || !page.content.rows.empty())
        this->table_server.respond(exchange,
                                   {.status = 200, .body = mirror::encode(page)});
    else
        this->pending.push_back({.exchange = exchange,
                                 .query = *query,
                                 .deadline = event_loop::monotonic_now() + query->wait});
}

void peer_link::respond(http1::exchange_id exchange, const relay_query& query)
{
    const mirror::relay_page page =
        this->hooks.copy(query.followed).changes_since(query.instance, query.cursor);
    this->table_server.respond(exchange, {.status = 200, .body = mirror::encode(page)});
}

void peer_link::publish(table changed)
{
    this->answer_pending([changed](const pending_query& each)
                         { return each.query.followed == changed; });
}

void peer_link::expire()
{
    const time_point now = event_loop::monotonic_now();
    this->answer_pending([now](const pending_query& each)
                         { return now >= each.deadline; });
    std::erase_if(this->readers,
                  [now](const auto& each) { return now - each.second > reader_timeout; });
}

bool peer_link::is_read_by(time_point now, const std::string& address) const
{
    const auto known = this->readers.find(address);
    return known != this->readers.end() && now - known->second <= reader_timeout;
}

void peer_link::answer_pending(const std::function<bool(const pending_query&)>& ready)
{
    const auto first = std::stable_partition(this->pending.begin(), this->pending.end(),
                                             std::not_fn(ready));
    const std::vector<pending_query> ready_queries(first, this->pending.end());
    this->pending.erase(first, this->pending.end());
    for (const pending_query& each : ready_queries)
        this->respond(each.exchange, each.query);
}

} // namespace pistachiospan::edge::internal
