#include "pistachiospan/daemon/internal/peer_links.hpp"

namespace pistachiospan::daemon::internal
{

namespace
{

constexpr std::string_view message_path = "/message";
constexpr std::string_view relay_path = "/relay";

// A frame consists of the size of the sealed message (4 bytes, big-endian), the sealed
// message and the payload. The message contains the authentication code of the payload.
constexpr std::size_t size_bytes = 4;

std::string encode_size(std::size_t size)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>((size >> shift) & 0xff));
    return bytes;
}

std::size_t decode_size(std::string_view bytes)
{
    std::size_t size = 0;
    for (const char byte : bytes.substr(0, size_bytes))
        size = (size << 8) | static_cast<unsigned char>(byte);
    return size;
}

error malformed_frame()
{
    return {make_error_code(errc::invalid_argument),
            "malformed relay frame; check that all daemons run one release"};
}

} // namespace

peer_links::peer_links(event_base* base, peer_links_options options,
                       peer_links_hooks hooks)
    : base(base), options(std::move(options)), hooks(std::move(hooks)),
      sealer({.self = this->options.self,
              .self_incarnation = this->options.self_incarnation,
              .secret = this->options.secret}),
      opener({.self = this->options.self, .secret = this->options.secret}),
      server(base, {.address = this->options.address,
                    .on_request = [this](std::string_view path, const std::string& body,
                                         const peer_transport::reply_sender& reply)
                    {
                        this->serve(path, body, reply);
                    }})
{
}

peer_transport::peer_client& peer_links::client_of(const std::string& address)
{
    std::unique_ptr<peer_transport::peer_client>& client = this->clients[address];
    if (!client)
        client = std::make_unique<peer_transport::peer_client>(
            this->base, peer_transport::peer_client_options{.address = address});
    return *client;
}

void peer_links::send(const vm_id& to, const std::string& address, std::string_view type,
                      const wire::body& content)
{
    std::string sealed = this->sealer.seal(to, type, content);
    ++this->counters.messages_sent;
    this->counters.bytes_sent += sealed.size();
    this->client_of(address).request(message_path, std::move(sealed),
                                     this->options.message_timeout,
                                     [](const result<std::string>&) {});
}

void peer_links::relay(const vm_id& to, const std::string& address,
                       const entry::relay_request& outgoing, duration timeout,
                       std::function<void(result<entry::relay_answer>)> done)
{
    this->client_of(address).request(
        relay_path, this->frame(to, "relay", outgoing, outgoing.body), timeout,
        [this, to, done = std::move(done)](result<std::string> reply)
        {
            if (!reply)
                return done(reply.error());
            auto opened = this->unframe(reply.value());
            if (!opened || opened.value().first.from != to)
                return done(
                    failure(errc::unknown_outcome, "the relay answer of VM " + to.value +
                                                       " is malformed or not authentic"));
            auto decoded =
                wire::decode<entry::relay_answer>(opened.value().first.content["m"]);
            if (!decoded)
                return done(failure(errc::unknown_outcome, decoded.error().message));
            decoded.value().content.body = std::move(opened.value().second);
            done(std::move(decoded));
        });
}

void peer_links::serve(std::string_view path, const std::string& body,
                       const peer_transport::reply_sender& reply)
{
    ++this->counters.messages_received;
    if (path == relay_path)
        return this->serve_relay(body, reply);
    this->counters.bytes_received += body.size();
    this->serve_message(body);
    reply(std::string());
}

void peer_links::serve_message(std::string_view sealed)
{
    const result<wire::message> received = this->opener.open(sealed);
    if (!received)
        return this->reject(received.error());
    this->hooks.on_message(received.value());
}

void peer_links::serve_relay(std::string_view frame,
                             const peer_transport::reply_sender& reply)
{
    auto opened = this->unframe(frame);
    if (!opened)
    {
        this->reject(opened.error());
        return reply(opened.error());
    }
    auto& [message, payload] = opened.value();
    auto decoded = wire::decode<entry::relay_request>(message.content["m"]);
    if (!decoded)
    {
        this->reject(decoded.error());
        return reply(decoded.error());
    }
    decoded.value().body = std::move(payload);
    const vm_id from = message.from;
    this->hooks.on_relay(from, std::move(decoded.value()),
                         [this, from, reply](const entry::answer& answer) {
                             reply(this->frame(from, "relay_answer",
                                               entry::relay_answer{answer}, answer.body));
                         });
}

std::string peer_links::frame(const vm_id& to, std::string_view type, wire::body content,
                              std::string_view payload)
{
    const std::string sealed = this->sealer.seal(
        to, type,
        {{"m", std::move(content)}, {"p", hmac_hex(this->options.secret, payload)}});
    std::string bytes = encode_size(sealed.size());
    bytes.reserve(size_bytes + sealed.size() + payload.size());
    bytes += sealed;
    bytes += payload;
    return bytes;
}

result<std::pair<wire::message, std::string>> peer_links::unframe(std::string_view bytes)
{
    if (bytes.size() < size_bytes)
        return malformed_frame();
    const std::size_t size = decode_size(bytes);
    if (size > bytes.size() - size_bytes)
        return malformed_frame();
    result<wire::message> received = this->opener.open(bytes.substr(size_bytes, size));
    if (!received)
        return received.error();
    const std::string_view payload = bytes.substr(size_bytes + size);
    const wire::body& content = received.value().content;
    if (!content.is_object() || !content.contains("m") || !content.contains("p") ||
        !content["p"].is_string())
        return malformed_frame();
    if (!equal_constant_time(content["p"].get_ref<const std::string&>(),
                             hmac_hex(this->options.secret, payload)))
        return malformed_frame();
    return std::pair(std::move(received.value()), std::string(payload));
}

void peer_links::reject(const error& cause)
{
    ++this->counters.rejected;
    if (this->hooks.on_rejected)
        this->hooks.on_rejected(cause);
}

} // namespace pistachiospan::daemon::internal
