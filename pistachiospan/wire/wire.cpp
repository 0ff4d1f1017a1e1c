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
    result<message> incoming = this->decode(bytes);
    if (incoming && !this->accept_sequence(incoming.value()))
        incoming = failure(errc::stale, "replayed message or earlier incarnation of " +
                                            incoming.value().from.value +
                                            "; no action is needed");
    if (!incoming)
        ++this->refused_count;
    return incoming;
}

result<message> opener::decode(std::string_view bytes) const
{
    if (bytes.size() > max_message_size)
        return failure(errc::limit_exceeded,
                       "message larger than 256 KiB; split large state into parts");
    nlohmann::json fields = nlohmann::json::from_msgpack(bytes, true, false);
    constexpr std::size_t field_count = 6;
    if (!fields.is_array() || fields.size() != field_count || !fields[5].is_string())
        return failure(errc::invalid_argument,
                       "malformed message; check that all daemons run the same release");
    const std::string mac = fields[5].get<std::string>();
    fields.erase(5);
    const std::string expected_mac =
        hmac_hex(this->options.secret, authenticated_part(this->options.self, fields));
    if (!equal_constant_time(mac, expected_mac))
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
                           "; check that all daemons run the same release");
    }
}

bool opener::accept_sequence(const message& incoming)
{
    std::unique_ptr<peer_state>& state = this->peers[incoming.from];
    if (!state)
        state = std::make_unique<peer_state>();
    if (incoming.from_incarnation < state->newest_incarnation)
        return false;
    if (incoming.from_incarnation > state->newest_incarnation)
        *state = peer_state{.newest_incarnation = incoming.from_incarnation};
    return mark_seen(*state, incoming.sequence);
}

// Returns false for a sequence number that was already seen or is older than the window.
bool opener::mark_seen(peer_state& state, std::uint64_t sequence)
{
    if (sequence > state.highest_sequence)
    {
        const std::uint64_t advance = sequence - state.highest_sequence;
        if (advance >= replay_window)
            state.seen_sequences.reset();
        else
            for (std::uint64_t skipped_sequence = state.highest_sequence + 1;
                 skipped_sequence < sequence; ++skipped_sequence)
                state.seen_sequences.reset(skipped_sequence % replay_window);
        state.highest_sequence = sequence;
        state.seen_sequences.set(sequence % replay_window);
        return true;
    }
    const std::size_t slot = sequence % replay_window;
    if (state.highest_sequence - sequence >= replay_window ||
        state.seen_sequences.test(slot))
        return false;
    state.seen_sequences.set(slot);
    return true;
}

} // namespace pistachiospan::wire
