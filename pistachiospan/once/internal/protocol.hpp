// Store rows and messages of the executor, and the format of issued keys.

#ifndef PISTACHIOSPAN_ONCE_INTERNAL_PROTOCOL_HPP
#define PISTACHIOSPAN_ONCE_INTERNAL_PROTOCOL_HPP

#include "pistachiospan/once/once.hpp"

namespace pistachiospan::once::internal
{

// Identifies how a member obtained the records of a shard: by a state transfer, or
// without one in a fresh view, which begins without records. The upper half is the number
// of the view. The lower half is the number of the transfer, 0 for a fresh view.
using join_token = std::uint64_t;

inline join_token make_token(std::uint32_t view_number, std::uint32_t transfer)
{
    return (join_token{view_number} << 32) | transfer;
}

inline bool is_fresh(join_token token)
{
    return (token & 0xffffffffU) == 0;
}

// A process on a VM. A restarted VM is a different member, because its records are lost.
struct member
{
    vm_id id;
    incarnation process_incarnation = 0;
    join_token joined = 0;
    // Compares the VM and the incarnation, not `joined`.
    bool same_process(const member& other) const
    {
        return this->id == other.id &&
               this->process_incarnation == other.process_incarnation;
    }
    explicit operator bool() const
    {
        return !this->id.value.empty();
    }
};

// Members of a shard, stored in row shard/<k>.
struct view
{
    std::uint32_t number = 0;
    // Incremented when all records were lost. An issued key is executed only in the epoch
    // in which it was issued.
    std::uint32_t epoch = 0;
    member primary;
    member backup;           // empty: none
    bool consented = false;  // written by the primary of the previous view
    store::revision rev = 0; // not part of the row's value

    bool includes(const member& who) const
    {
        return this->primary.same_process(who) || this->backup.same_process(who);
    }
};

std::string row_key(std::size_t shard);
// Returns shard_count or more if `key` is not the key of a shard's row.
std::size_t shard_of_row(std::string_view key);
std::string encode_row(const view& value);
result<view> decode_row(const store::row& row);

struct record_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool operator==(const record_id&) const = default;
};

struct record_id_hash
{
    std::size_t operator()(const record_id& id) const noexcept
    {
        return id.low;
    }
};

record_id make_record_id(std::string_view account, std::string_view key);

// Orders the changes of a shard. The upper half is the number of the view, the lower half
// a sequence number.
using version = std::uint64_t;

inline version make_version(std::uint32_t view_number, std::uint32_t sequence)
{
    return (version{view_number} << 32) | sequence;
}

enum class record_state : std::uint8_t
{
    intent, // permitted or about to be permitted
    completed,
    unknown,
    free, // not executed; the key may be used again
};

// A record as it is sent. `age` is the time since the change to `state`,
// in microseconds.
struct entry
{
    record_id id;
    std::uint64_t fingerprint = 0;
    version last_change = 0;
    version attempt = 0;
    record_state state = record_state::intent;
    std::int64_t age = 0;
    outcome result;
};

// Body of the message types intent and outcome (from the primary) and shard_state (of a
// state transfer).
struct update
{
    std::uint32_t shard = 0;
    std::uint32_t view_number = 0;
    incarnation from_incarnation = 0;
    incarnation to_incarnation = 0;
    join_token transfer = 0;      // 0: to the backup of the view
    std::int64_t sent = 0;        // clock of the sender; returned in the acknowledgement
    std::int64_t unknown_for = 0; // remaining time during which records may be missing
    std::vector<entry> entries;
};

enum class ack_status : std::uint8_t
{
    stored,       // all entries are stored
    unknown_view, // the receiver does not know the view
    newer_view,   // the receiver knows a newer view, announced separately
    no_records,   // the receiver does not have the records of the shard
    full,         // the receiver has no room for a record
};

struct ack
{
    std::uint32_t shard = 0;
    std::uint32_t view_number = 0;
    incarnation from_incarnation = 0;
    join_token transfer = 0;
    std::int64_t sent = 0;
    ack_status status = ack_status::stored;
    std::vector<version> versions;
};

// A view as committed in the store.
struct announcement
{
    std::uint32_t shard = 0;
    view value;
};

// Outcome of an attempt whose VM is no longer the primary, sent to the present one.
struct resolution
{
    std::uint32_t shard = 0;
    incarnation from_incarnation = 0;
    std::uint64_t serial = 0;
    entry value;
};

void to_json(nlohmann::json& out, const view& value);
void from_json(const nlohmann::json& in, view& value);
void to_json(nlohmann::json& out, const entry& value);
void from_json(const nlohmann::json& in, entry& value);
void to_json(nlohmann::json& out, const update& value);
void from_json(const nlohmann::json& in, update& value);
void to_json(nlohmann::json& out, const ack& value);
void from_json(const nlohmann::json& in, ack& value);
void to_json(nlohmann::json& out, const announcement& value);
void from_json(const nlohmann::json& in, announcement& value);
void to_json(nlohmann::json& out, const resolution& value);
void from_json(const nlohmann::json& in, resolution& value);

// A key issued by the system: p1-<shard>-<epoch>-<ms since 1970>-<nonce>-<signature>,
// with all numbers in hexadecimal. A caller that caches a look-up can derive many keys
// from one issued key by appending '~' and any text.
struct issued_key
{
    std::uint32_t shard = 0;
    std::uint32_t epoch = 0;
    wall_time issued_at;
};

inline constexpr std::string_view issued_prefix = "p1-";
inline constexpr char suffix_separator = '~';

std::string format_issued_key(const issued_key& key, std::string_view nonce,
                              std::string_view secret);
result<issued_key> parse_issued_key(std::string_view text, std::string_view secret);

} // namespace pistachiospan::once::internal

#endif
