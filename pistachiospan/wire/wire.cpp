#include "pistachiospan/wire/wire.hpp"

namespace pistachiospan::wire
{

namespace
{

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
    std::unique_ptr<peer_state>& state = this->peers[received.from];
    if (!state)
        state = std::make_unique<peer_state>();
    if (received.from_incarnation < state->newest)
        return false;
    if (received.from_incarnation > state->newest)
        *state = peer_state{.newest = received.from_incarnation};
    return mark_seen(*state, received.sequence);
}

// Returns false for a sequence number that was seen or is older than the window.
bool opener::mark_seen(peer_state& state, std::uint64_t sequence)
{
    if (sequence > state.highest)
    {
        const std::uint64_t skipped = sequence - state.highest;
        if (skipped >= replay_window)
            state.seen.reset();
        else
            for (std::uint64_t next = state.highest + 1; next < sequence; ++next)
                state.seen.reset(next % replay_window);
        state.highest = sequence;
        state.seen.set(sequence % replay_window);
        return true;
    }
    const std::size_t bit = sequence % replay_window;
    if (state.highest - sequence >= replay_window || state.seen.test(bit))
        return false;
    state.seen.set(bit);
    return true;
}

} // namespace pistachiospan::wire
