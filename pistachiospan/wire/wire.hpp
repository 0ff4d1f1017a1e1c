// Envelope of the messages between entry daemons: MessagePack, authenticated, bounded.
//
// Example:
//
//     sealer out({.self = {"vm-1"}, .self_incarnation = 7, .secret = secret});
//     const std::string bytes = out.seal({"vm-2"}, "borrow", body);
//     opener in({.self = {"vm-2"}, .secret = secret});
//     const result<message> received = in.open(bytes);

#ifndef PISTACHIOSPAN_WIRE_WIRE_HPP
#define PISTACHIOSPAN_WIRE_WIRE_HPP

#include "pistachiospan/base/base.hpp"

#include <bitset>
#include <map>
#include <memory>

namespace pistachiospan::wire
{

// Largest sealed message, in bytes.
inline constexpr std::size_t max_message_size = std::size_t{256} * 1024;

// Messages that may be overtaken by others before they are refused as replayed. Bodies of
// several MB are overtaken by thousands of small messages on other streams.
inline constexpr std::size_t replay_window = 8192;

// Body of a message as each library encodes it (to_json/from_json of a typed struct).
using body = nlohmann::json;

struct message
{
    vm_id from;
    incarnation from_incarnation = 0;
    std::uint64_t sequence = 0;
    std::string type;
    body content;
};

struct sealer_options
{
    vm_id self;
    incarnation self_incarnation = 0;
    std::string secret; // shared by all daemons of a fleet
};

// Encodes and authenticates outgoing messages. Sequence numbers rise by one.
class sealer
{
public:
    explicit sealer(sealer_options options);
    std::string seal(const vm_id& to, std::string_view type, const body& content);

private:
    sealer_options options;
    std::uint64_t next_sequence = 1;
};

struct opener_options
{
    vm_id self;
    std::string secret;
};

// Checks and decodes incoming messages. Refuses: oversized, malformed, not for this VM,
// wrong authentication code, replayed (sequence seen or older than the window), older
// incarnation than one heard before. A refused message changes no state.
class opener
{
public:
    explicit opener(opener_options options);
    result<message> open(std::string_view bytes);

    // Number of messages refused so far.
    std::uint64_t refused() const
    {
        return this->refused_count;
    }

private:
    struct peer_state
    {
        incarnation newest = 0;
        std::uint64_t highest = 0;
        // Bit s modulo the size: sequence s was seen. Covers the newest replay_window.
        std::bitset<replay_window> seen;
    };

    result<message> decode(std::string_view bytes) const;
    bool accept_sequence(const message& received);
    static bool mark_seen(peer_state& state, std::uint64_t sequence);

    opener_options options;
    std::map<vm_id, std::unique_ptr<peer_state>> peers;
    std::uint64_t refused_count = 0;
};

// Decodes a body into T; malformed input is an error, not an exception.
template <class T>
result<T> decode(const body& content)
{
    try
    {
        return content.get<T>();
    }
    catch (const nlohmann::json::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("malformed message body: ") + problem.what() +
                           "; check that all daemons run a compatible release");
    }
}

} // namespace pistachiospan::wire

#endif
