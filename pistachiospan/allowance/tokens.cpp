// Encoding of token queries and answers as MessagePack arrays.

#include "pistachiospan/allowance/allowance.hpp"

namespace pistachiospan::allowance
{

namespace
{

// Bits of the flags of a query.
constexpr unsigned from_reserve_bit = 1;
constexpr unsigned returned_bit = 2;

// Position in an answer.
constexpr std::size_t decided_field = 6;

std::string pack(const nlohmann::json& fields)
{
    std::string bytes;
    nlohmann::json::to_msgpack(fields, bytes);
    return bytes;
}

error malformed(const std::string& detail)
{
    return {make_error_code(errc::invalid_argument),
            "malformed token message: " + detail + "; all VMs must run the same version"};
}

// Calls `read` with the decoded array.
template <class Message, class Reader>
result<Message> unpack(std::string_view bytes, Reader read)
{
    const nlohmann::json fields = nlohmann::json::from_msgpack(bytes, true, false);
    if (!fields.is_array())
        return malformed("expected an array");
    try
    {
        return read(fields);
    }
    catch (const std::exception& failure)
    {
        return malformed(failure.what());
    }
}

} // namespace

std::string encode(const token_query& query)
{
    const unsigned flags = (query.from_reserve ? from_reserve_bit : 0U) |
                           (query.returned ? returned_bit : 0U);
    return pack({query.serial, query.limit, flags});
}

std::string encode(const token_answer& answer)
{
    return pack({answer.serial, answer.limit, answer.decision.admitted,
                 answer.decision.retry_after.count(),
                 static_cast<float>(answer.decision.share),
                 static_cast<float>(answer.fallback_share), answer.is_decided});
}

result<token_query> decode_query(std::string_view bytes)
{
    return unpack<token_query>(bytes,
                               [](const nlohmann::json& fields)
                               {
                                   const unsigned flags = fields.at(2).get<unsigned>();
                                   return token_query{
                                       .serial = fields.at(0).get<std::uint64_t>(),
                                       .limit = fields.at(1).get<std::string>(),
                                       .from_reserve = (flags & from_reserve_bit) != 0,
                                       .returned = (flags & returned_bit) != 0};
                               });
}

result<token_answer> decode_answer(std::string_view bytes)
{
    return unpack<token_answer>(
        bytes,
        [](const nlohmann::json& fields)
        {
            // VMs of an earlier version leave the last field out.
            const bool is_decided =
                fields.size() <= decided_field || fields.at(decided_field).get<bool>();
            return token_answer{
                .serial = fields.at(0).get<std::uint64_t>(),
                .limit = fields.at(1).get<std::string>(),
                .is_decided = is_decided,
                .decision = {.admitted = fields.at(2).get<bool>(),
                             .retry_after = duration(fields.at(3).get<std::int64_t>()),
                             .share = fields.at(4).get<double>()},
                .fallback_share = fields.at(5).get<double>()};
        });
}

} // namespace pistachiospan::allowance
