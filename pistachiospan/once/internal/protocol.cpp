#include "pistachiospan/once/internal/protocol.hpp"

#include <openssl/sha.h>

#include <array>
#include <charconv>
#include <cstring>

namespace pistachiospan::once::internal
{

namespace
{

constexpr std::string_view row_prefix = "shard/";
constexpr std::size_t signature_size = 32; // hexadecimal digits, 128 bits

nlohmann::json encode_member(const member& who)
{
    return nlohmann::json::array({who.id.value, who.process_incarnation, who.joined});
}

member decode_member(const nlohmann::json& in)
{
    return {.id = {in.at(0).get<std::string>()},
            .process_incarnation = in.at(1).get<incarnation>(),
            .joined = in.at(2).get<join_token>()};
}

std::string sign(std::string_view text, std::string_view secret)
{
    return hmac_hex(secret, text).substr(0, signature_size);
}

std::string hex(std::uint64_t number)
{
    std::array<char, 16> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
    return {digits.data(), end.ptr};
}

// Reads a number up to the next '-' and removes both from `text`.
std::uint64_t take_hex(std::string_view& text)
{
    std::uint64_t number = 0;
    const std::string_view field = text.substr(0, text.find('-'));
    std::from_chars(field.data(), field.data() + field.size(), number, 16);
    text.remove_prefix(std::min(text.size(), field.size() + 1));
    return number;
}

nlohmann::json::binary_t to_binary(const std::string& bytes)
{
    return {std::vector<std::uint8_t>(bytes.begin(), bytes.end())};
}

std::string from_binary(const nlohmann::json& in)
{
    const auto& bytes = in.get_binary();
    return {bytes.begin(), bytes.end()};
}

template <class Enum>
Enum decode_enum(const nlohmann::json& in, Enum last)
{
    const auto number = in.get<std::uint8_t>();
    if (number > static_cast<std::uint8_t>(last))
        throw nlohmann::json::other_error::create(501, "unknown enumerator", &in);
    return static_cast<Enum>(number);
}

} // namespace

std::string row_key(std::size_t shard)
{
    return std::string(row_prefix) + std::to_string(shard);
}

std::size_t shard_of_row(std::string_view key)
{
    std::size_t shard = shard_count;
    const bool prefixed = key.starts_with(row_prefix);
    const char* first = key.data() + (prefixed ? row_prefix.size() : 0);
    const auto read = std::from_chars(first, key.data() + key.size(), shard);
    const bool complete = read.ec == std::errc() && read.ptr == key.data() + key.size();
    return prefixed && complete ? shard : shard_count;
}

void to_json(nlohmann::json& out, const view& value)
{
    out = {{"view", value.number},
           {"epoch", value.epoch},
           {"primary", encode_member(value.primary)},
           {"backup", encode_member(value.backup)},
           {"consented", value.consented},
           {"rev", value.rev}};
}

void from_json(const nlohmann::json& in, view& value)
{
    value.number = in.at("view").get<std::uint32_t>();
    value.epoch = in.at("epoch").get<std::uint32_t>();
    value.primary = decode_member(in.at("primary"));
    value.backup = decode_member(in.at("backup"));
    value.consented = in.at("consented").get<bool>();
    value.rev = in.at("rev").get<store::revision>();
}

std::string encode_row(const view& value)
{
    view written = value;
    written.rev = 0; // assigned by the store
    return nlohmann::json(written).dump();
}

result<view> decode_row(const store::row& row)
{
    const nlohmann::json parsed = nlohmann::json::parse(row.value, nullptr, false);
    result<view> read = wire::decode<view>(parsed);
    if (!read || !read.value().primary || read.value().number == 0)
        return failure(errc::invalid_argument,
                       "row " + row.key + " is not a view of a shard; remove the row");
    read.value().rev = row.rev;
    return read;
}

record_id make_record_id(std::string_view account, std::string_view key)
{
    std::string text;
    text.reserve(account.size() + 1 + key.size());
    text.append(account).append(1, '\0').append(key);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());
    record_id id;
    std::memcpy(&id.high, digest.data(), sizeof(id.high));
    std::memcpy(&id.low, digest.data() + sizeof(id.high), sizeof(id.low));
    return id;
}

void to_json(nlohmann::json& out, const entry& value)
{
    out = nlohmann::json::array({value.id.high, value.id.low, value.fingerprint,
                                 value.last_change, value.attempt,
                                 static_cast<std::uint8_t>(value.state), value.age});
    if (value.state != record_state::completed)
        return;
    out.push_back(value.result.status);
    out.push_back(value.result.headers);
    out.push_back(to_binary(value.result.body));
    out.push_back(value.result.body_kept);
}

void from_json(const nlohmann::json& in, entry& value)
{
    value.id = {in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>()};
    value.fingerprint = in.at(2).get<std::uint64_t>();
    value.last_change = in.at(3).get<version>();
    value.attempt = in.at(4).get<version>();
    value.state = decode_enum(in.at(5), record_state::free);
    value.age = in.at(6).get<std::int64_t>();
    if (value.state != record_state::completed)
        return;
    value.result.status = in.at(7).get<int>();
    value.result.headers = in.at(8).get<decltype(outcome::headers)>();
    value.result.body = from_binary(in.at(9));
    value.result.body_kept = in.at(10).get<bool>();
}

void to_json(nlohmann::json& out, const update& value)
{
    out = nlohmann::json::array({value.shard, value.view_number, value.from_incarnation,
                                 value.to_incarnation, value.transfer, value.sent,
                                 value.unknown_for, value.entries});
}

void from_json(const nlohmann::json& in, update& value)
{
    value.shard = in.at(0).get<std::uint32_t>();
    value.view_number = in.at(1).get<std::uint32_t>();
    value.from_incarnation = in.at(2).get<incarnation>();
    value.to_incarnation = in.at(3).get<incarnation>();
    value.transfer = in.at(4).get<join_token>();
    value.sent = in.at(5).get<std::int64_t>();
    value.unknown_for = in.at(6).get<std::int64_t>();
    value.entries = in.at(7).get<std::vector<entry>>();
}

void to_json(nlohmann::json& out, const ack& value)
{
    out = nlohmann::json::array(
        {value.shard, value.view_number, value.from_incarnation, value.transfer,
         value.sent, static_cast<std::uint8_t>(value.status), value.versions});
}

void from_json(const nlohmann::json& in, ack& value)
{
    value.shard = in.at(0).get<std::uint32_t>();
    value.view_number = in.at(1).get<std::uint32_t>();
    value.from_incarnation = in.at(2).get<incarnation>();
    value.transfer = in.at(3).get<join_token>();
    value.sent = in.at(4).get<std::int64_t>();
    value.status = decode_enum(in.at(5), ack_status::full);
    value.versions = in.at(6).get<std::vector<version>>();
}

void to_json(nlohmann::json& out, const announcement& value)
{
    out = {{"shard", value.shard}, {"row", value.value}};
}

void from_json(const nlohmann::json& in, announcement& value)
{
    value.shard = in.at("shard").get<std::uint32_t>();
    value.value = in.at("row").get<view>();
}

void to_json(nlohmann::json& out, const resolution& value)
{
    out = {{"shard", value.shard},
           {"started", value.from_incarnation},
           {"serial", value.serial},
           {"entry", value.value}};
}

void from_json(const nlohmann::json& in, resolution& value)
{
    value.shard = in.at("shard").get<std::uint32_t>();
    value.from_incarnation = in.at("started").get<incarnation>();
    value.serial = in.at("serial").get<std::uint64_t>();
    value.value = in.at("entry").get<entry>();
}

std::string format_issued_key(const issued_key& key, std::string_view nonce,
                              std::string_view secret)
{
    const auto since_1970 = std::chrono::duration_cast<std::chrono::milliseconds>(
        key.issued_at.time_since_epoch());
    std::string text(issued_prefix);
    text += hex(key.shard) + '-' + hex(key.epoch) + '-';
    text += hex(static_cast<std::uint64_t>(since_1970.count())) + '-';
    text.append(nonce);
    return text + '-' + sign(text, secret);
}

result<issued_key> parse_issued_key(std::string_view text, std::string_view secret)
{
    text = text.substr(0, text.find(suffix_separator));
    const std::size_t end = text.rfind('-');
    const std::string_view signed_part = text.substr(0, end);
    if (!equal_constant_time(sign(signed_part, secret), text.substr(end + 1)))
        return failure(errc::permission_denied,
                       "the idempotency key has the form of an issued key but was not "
                       "issued by this system; ask for a key with a look-up");
    std::string_view rest = signed_part.substr(issued_prefix.size());
    issued_key key;
    key.shard = static_cast<std::uint32_t>(take_hex(rest) % shard_count);
    key.epoch = static_cast<std::uint32_t>(take_hex(rest));
    key.issued_at =
        wall_time(std::chrono::milliseconds(static_cast<std::int64_t>(take_hex(rest))));
    return key;
}

} // namespace pistachiospan::once::internal
