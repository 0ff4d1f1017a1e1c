// Rows and messages of the executor, and the format of issued keys.

#ifndef PISTACHIOSPAN_ONCE_INTERNAL_PROTOCOL_HPP
#define PISTACHIOSPAN_ONCE_INTERNAL_PROTOCOL_HPP

#include "pistachiospan/once/once.hpp"

namespace pistachiospan::once::internal
{

// Names how a member got the records of a shard: a state transfer, or none at a fresh
// view. The upper half is the number of the view; the lower half is 0 for a fresh view.
using join_token = std::uint64_t;

inline join_token make_token(std::uint32_t view_number, std::uint32_t transfer)
{
    return (join_token{view_number} << 32) | transfer;
}

inline bool is_fresh(join_token token)
{
    return (token & 0xffffffffU) == 0;
}

// A process on a VM. A restarted VM is another member: its memory is empty.
struct member
{
    vm_id id;
    incarnation process_incarnation = 0;
    join_token joined = 0;
    // Whether both are the same process.
    bool is(const member& other) const
    {
        return this->id == other.id &&
               this->process_incarnation == other.process_incarnation;
    }
    explicit operator bool() const
    {
        return !this->id.value.empty();
    }
};

// Who holds a shard. Row shard/<k>.
struct view
{
    std::uint32_t number = 0;
    // Rises when all records were lost. A key issued in an epoch runs in no other one.
    std::uint32_t epoch = 0;
    member primary;
    member backup;           // empty: none
    bool consented = false;  // written by the primary of the view before
    store::revision rev = 0; // not part of the row's value

    bool names(const member& who) const
    {
        return this->primary.is(who) || this->backup.is(who);
    }
};

std::string row_key(std::size_t shard);
// shard_count or more: not the key of a shard's row.
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

record_id identify(std::string_view account, std::string_view key);

// Order of the changes of a shard: view number in the upper half, sequence in the lower.
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
    free, // not run; the key may be used again
};

// A record as it is sent. `age` is the time since it reached its state.
struct entry
{
    record_id id;
    std::uint64_t fingerprint = 0;
    version changed = 0;
    version attempt = 0;
    record_state state = record_state::intent;
    std::int64_t age = 0;
    outcome result;
};

// Types intent, outcome (from the primary) and shard_state (of a transfer).
struct update
{
    std::uint32_t shard = 0;
    std::uint32_t view_number = 0;
    incarnation from_started = 0;
    incarnation to_started = 0;
    join_token transfer = 0;      // 0: to the backup of the view
    std::int64_t sent = 0;        // clock of the sender, returned by the acknowledgement
    std::int64_t unknown_for = 0; // remaining time for which lost records are assumed
    std::vector<entry> entries;
};

enum class ack_status : std::uint8_t
{
    held,     // all entries are stored
    behind,   // the receiver does not know the view
    newer,    // the receiver knows a newer view, announced separately
    no_state, // the receiver does not have the records of the shard
    full,     // the receiver has no room for a record
};

struct ack
{
    std::uint32_t shard = 0;
    std::uint32_t view_number = 0;
    incarnation from_started = 0;
    join_token transfer = 0;
    std::int64_t sent = 0;
    ack_status status = ack_status::held;
    std::vector<version> versions;
};

// A committed view, as it stands in the store.
struct announcement
{
    std::uint32_t shard = 0;
    view value;
};

// Outcome of an attempt whose VM is no longer the primary, and its acknowledgement.
struct resolution
{
    std::uint32_t shard = 0;
    incarnation from_started = 0;
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
// all in hexadecimal digits. A caller that caches a look-up makes many keys of one issued
// key by appending '~' and any text.
struct issued_key
{
    std::uint32_t shard = 0;
    std::uint32_t epoch = 0;
    wall_time issued;
};

inline constexpr std::string_view issued_prefix = "p1-";
inline constexpr char suffix_mark = '~';

std::string write_issued_key(const issued_key& key, std::string_view nonce,
                             std::string_view secret);
result<issued_key> read_issued_key(std::string_view text, std::string_view secret);

} // namespace pistachiospan::once::internal

#endif
