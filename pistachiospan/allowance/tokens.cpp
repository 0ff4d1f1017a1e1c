// Encoding of queries for tokens and of their answers.

#include "pistachiospan/allowance/allowance.hpp"

namespace pistachiospan::allowance
{

namespace
{

// Bits of a query's flags.
constexpr unsigned from_reserve_bit = 1;
constexpr unsigned returned_bit = 2;

std::string packed(const nlohmann::json& all)
{
    std::string bytes;
    nlohmann::json::to_msgpack(all, bytes);
    return bytes;
}

error malformed(const std::string& detail)
{
    return {make_error_code(errc::invalid_argument),
            "message about a token is malformed: " + detail +
                "; run one version on all VMs"};
}

// Calls `read` with the decoded array.
template <class Message, class Reader>
result<Message> unpack(std::string_view bytes, Reader read)
{
    const nlohmann::json all = nlohmann::json::from_msgpack(bytes, true, false);
    if (!all.is_array())
        return malformed("not a list");
    try
    {
        return read(all);
    }
    catch (const std::exception& problem)
    {
        return malformed(problem.what());
    }
}

} // namespace

std::string encode(const token_query& from)
{
    const unsigned flags =
        (from.from_reserve ? from_reserve_bit : 0U) | (from.returned ? returned_bit : 0U);
    return packed({from.serial, from.account, flags});
}

std::string encode(const token_answer& from)
{
    return packed({from.serial, from.account, from.decision.admitted,
                   from.decision.retry_after.count(),
                   static_cast<float>(from.decision.share),
                   static_cast<float>(from.fallback_share)});
}

result<token_query> decode_query(std::string_view bytes)
{
    return unpack<token_query>(bytes,
                               [](const nlohmann::json& all)
                               {
                                   const unsigned flags = all.at(2).get<unsigned>();
                                   return token_query{
                                       .serial = all.at(0).get<std::uint64_t>(),
                                       .account = all.at(1).get<std::string>(),
                                       .from_reserve = (flags & from_reserve_bit) != 0,
                                       .returned = (flags & returned_bit) != 0};
                               });
}

result<token_answer> decode_answer(std::string_view bytes)
{
    return unpack<token_answer>(
        bytes,
        [](const nlohmann::json& all)
        {
            return token_answer{
                .serial = all.at(0).get<std::uint64_t>(),
                .account = all.at(1).get<std::string>(),
                .decision = {.admitted = all.at(2).get<bool>(),
                             .retry_after = duration(all.at(3).get<std::int64_t>()),
                             .share = all.at(4).get<double>()},
                .fallback_share = all.at(5).get<double>()};
        });
}

} // namespace pistachiospan::allowance
