#include "pistachiospan/wire/wire.hpp"

namespace pistachiospan::wire
{

namespace
{

// Sequence numbers below highest - replay_window are refused as replayed.
constexpr std::uint64_t replay_window = 64;

std::string authenticated_part(const vm_id& to, const nlohmann::json& fields)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(fields);
    return to.value + '\n' + std::string(bytes.begin(), bytes.end());
}

} // namespace

sealer::sealer(sealer_options options) : options(std::move(options)) {}

std::string sealer::seal(const vm_id& to, std::string_view type, const body& content)
{
    nlohmann::json fields =
        nlohmann::json::array({this->options.self, this->options.self_incarnation,
                               this->next_sequence++, type, content});
    const std::string mac =
        hmac_hex(this->options.secret, authenticated_part(to, fields));
    fields.push_back(mac);
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(fields);
    return {bytes.begin(), bytes.end()};
}

opener::opener(opener_options options) : options(std::move(options)) {}

result<message> opener::open(std::string_view bytes)
{
    result<message> received = this->decode(bytes);
    if (received && !this->accept_sequence(received.value()))
        received = failure(errc::stale, "replayed message or earlier incarnation of " +
                                            received.value().from.value +
                                            "; no action is needed");
    if (!received)
        ++this->refused_count;
    return received;
}

result<message> opener::decode(std::string_view bytes) const
{
    if (bytes.size() > max_message_size)
        return failure(errc::limit_exceeded,
                       "message over 256 KiB; send large state in parts");
    nlohmann::json fields = nlohmann::json::from_msgpack(bytes, true, false);
    constexpr std::size_t field_count = 6;
    if (!fields.is_array() || fields.size() != field_count || !fields[5].is_string())
        return failure(errc::invalid_argument,
                       "malformed message; check that all daemons run one release");
    const std::string mac = fields[5].get<std::string>();
    fields.erase(5);
    const std::string expected =
        hmac_hex(this->options.secret, authenticated_part(this->options.self, fields));
    if (!equal_constant_time(mac, expected))
        return failure(errc::permission_denied,
                       "message with a wrong authentication code; check that the peer "
                       "secret is the same on all VMs");
    try
    {
        return message{.from = fields[0].get<vm_id>(),
                       .from_incarnation = fields[1].get<incarnation>(),
                       .sequence = fields[2].get<std::uint64_t>(),
                       .type = fields[3].get<std::string>(),
                       .content = std::move(fields[4])};
    }
    catch (const nlohmann::json::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("malformed message: ") + problem.what() +
                           "; check that all daemons run one release");
    }
}

bool opener::accept_sequence(const message& received)
{
    const auto known = this->peers.find(received.from);
    peer_state state = known == this->peers.end() ? peer_state{} : known->second;
    if (received.from_incarnation < state.newest)
        return false;
    if (received.from_incarnation > state.newest)
        state = peer_state{.newest = received.from_incarnation};
    if (received.sequence > state.highest)
    {
        const std::uint64_t step = received.sequence - state.highest;
        state.window = step >= replay_window ? 0 : state.window << step;
        state.window |= 1U;
        state.highest = received.sequence;
    }
    else
    {
        const std::uint64_t age = state.highest - received.sequence;
        if (age >= replay_window || ((state.window >> age) & 1U) != 0)
            return false;
        state.window |= std::uint64_t{1} << age;
    }
    this->peers[received.from] = state;
    return true;
}

} // namespace pistachiospan::wire
