// Encoding of load messages: a MessagePack array of scope, process, sequence, whether the
// list is complete, and the list as bytes. Of each upstream: its key (four bytes, the
// lowest first), the requests, and
// - in estimates their age,
// - else the reported requests and the age of the report.
// Counts are single bytes. Ages are single bytes in units of 20 ms.

#include "pistachiospan/capacity/capacity.hpp"

#include <algorithm>
#include <stdexcept>

namespace pistachiospan::capacity
{

namespace
{

constexpr std::chrono::milliseconds age_unit{20};
constexpr std::uint32_t max_byte = 255;
constexpr std::uint8_t no_report = 255; // as the age of a report
constexpr std::size_t key_size = 4;
constexpr unsigned byte_bits = 8;
// Bytes of a message without its list.
constexpr std::size_t max_head_size = 16;

std::size_t size_of_load(scope of)
{
    return key_size + (of == scope::fleet ? 2 : 3);
}

std::uint8_t encode_count(std::uint32_t count)
{
    return static_cast<std::uint8_t>(std::min(count, max_byte));
}

std::uint8_t encode_age(duration age)
{
    const auto units = std::max(age, duration(0)) / age_unit;
    return static_cast<std::uint8_t>(std::min<std::int64_t>(units, no_report - 1));
}

void append(std::vector<std::uint8_t>& list, const upstream_load& load, scope of)
{
    for (std::size_t byte = 0; byte < key_size; ++byte)
        list.push_back(static_cast<std::uint8_t>(load.upstream >> (byte * byte_bits)));
    list.push_back(encode_count(load.requests));
    if (of == scope::fleet)
    {
        list.push_back(encode_age(load.age));
        return;
    }
    list.push_back(load.reported ? encode_count(load.reported->requests)
                                 : std::uint8_t{0});
    list.push_back(load.reported ? encode_age(load.reported->age) : no_report);
}

upstream_load decode_load(std::span<const std::uint8_t> from, scope of)
{
    upstream_load load;
    for (std::size_t byte = 0; byte < key_size; ++byte)
        load.upstream |= static_cast<upstream_key>(from[byte]) << (byte * byte_bits);
    load.requests = from[key_size];
    if (of == scope::fleet)
        load.age = from[key_size + 1] * age_unit;
    else if (from[key_size + 2] != no_report)
        load.reported = {.requests = from[key_size + 1],
                         .age = from[key_size + 2] * age_unit};
    return load;
}

std::uint32_t weight_of(const upstream_load& load)
{
    return std::max(load.requests, load.reported ? load.reported->requests : 0);
}

load_message decode_fields(const nlohmann::json& fields)
{
    const auto of = fields.at(0).get<std::uint32_t>();
    if (of > static_cast<std::uint32_t>(scope::fleet))
        throw std::invalid_argument("unknown scope");
    load_message message{.scope = static_cast<scope>(of),
                         .process = fields.at(1).get<std::uint16_t>(),
                         .sequence = fields.at(2).get<std::uint32_t>(),
                         .complete = fields.at(3).get<bool>()};
    const std::span<const std::uint8_t> list = fields.at(4).get_binary();
    const std::size_t size = size_of_load(message.scope);
    if (list.size() % size != 0)
        throw std::invalid_argument("the list ends within an upstream");
    for (std::size_t at = 0; at < list.size(); at += size)
        message.loads.push_back(decode_load(list.subspan(at, size), message.scope));
    return message;
}

} // namespace

upstream_key key_of(std::string_view id, std::int64_t started)
{
    return static_cast<upstream_key>(hash_bytes(id, static_cast<std::uint64_t>(started)));
}

std::string encode(load_message message, std::size_t max_size)
{
    const std::size_t room = max_size - std::min(max_size, max_head_size);
    const std::size_t max_count = room / size_of_load(message.scope);
    if (message.loads.size() > max_count)
    {
        const auto end = message.loads.begin() + static_cast<std::ptrdiff_t>(max_count);
        std::ranges::nth_element(message.loads, end, std::greater<>(), weight_of);
        message.loads.erase(end, message.loads.end());
        message.complete = false;
    }
    nlohmann::json::binary_t list;
    for (const upstream_load& each : message.loads)
        append(list, each, message.scope);
    std::string bytes;
    nlohmann::json::to_msgpack(
        nlohmann::json::array({static_cast<std::uint32_t>(message.scope), message.process,
                               message.sequence, message.complete, std::move(list)}),
        bytes);
    return bytes;
}

result<load_message> decode(std::string_view bytes)
{
    try
    {
        return decode_fields(nlohmann::json::from_msgpack(bytes));
    }
    catch (const std::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("malformed load message: ") + problem.what());
    }
}

} // namespace pistachiospan::capacity
