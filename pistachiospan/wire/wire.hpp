// Envelope of the messages between entry daemons: MessagePack with an HMAC, a sequence
// number and a bounded size.
//
// Example:
//
//     sealer sender({.self = {"vm-1"}, .self_incarnation = 7, .secret = secret});
//     const std::string bytes = sender.seal({"vm-2"}, "borrow", body);
//     opener receiver({.self = {"vm-2"}, .secret = secret});
//     const result<message> received = receiver.open(bytes);

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

// Number of later messages that may overtake a message before it is refused as a replay.
// Bodies of several MB are overtaken by thousands of small messages on other streams.
inline constexpr std::size_t replay_window = 8192;

// Body of a message. Each library encodes its own structs (to_json/from_json).
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

// Encodes and authenticates outgoing messages. Sequence numbers increase by one.
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

// Verifies and decodes incoming messages. Refuses messages that are oversized, malformed,
// not addressed to this VM, wrongly authenticated, replayed (sequence number already seen
// or older than the window), or from an older incarnation than one seen before. A refused
// message only increments refused().
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
        incarnation newest_incarnation = 0;
        std::uint64_t highest_sequence = 0;
        // Bit `s % replay_window` is set if sequence number s was seen. Covers the
        // replay_window highest numbers.
        std::bitset<replay_window> seen_sequences;
    };

    result<message> decode(std::string_view bytes) const;
    bool accept_sequence(const message& incoming);
    static bool mark_seen(peer_state& state, std::uint64_t sequence);

    opener_options options;
    std::map<vm_id, std::unique_ptr<peer_state>> peers;
    std::uint64_t refused_count = 0;
};

// Decodes a body into T. Malformed input gives an error, not an exception.
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
