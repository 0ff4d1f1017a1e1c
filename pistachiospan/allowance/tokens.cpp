// Encoding of queries for tokens and of their answers.

#include "pistachiospan/allowance/allowance.hpp"

namespace pistachiospan::allowance
{

namespace
{

// Bits of a query's flags.
constexpr unsigned set_aside_bit = 1;
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
        (from.set_aside ? set_aside_bit : 0U) | (from.returned ? returned_bit : 0U);
    return packed({from.serial, from.account, flags});
}

std::string encode(const token_answer& from)
{
    return packed({from.serial, from.account, from.made.admitted,
                   from.made.retry_after.count(), static_cast<float>(from.made.part),
                   static_cast<float>(from.own_part)});
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
                                       .set_aside = (flags & set_aside_bit) != 0,
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
                .made = {.admitted = all.at(2).get<bool>(),
                         .retry_after = duration(all.at(3).get<std::int64_t>()),
                         .part = all.at(4).get<double>()},
                .own_part = all.at(5).get<double>()};
        });
}

} // namespace pistachiospan::allowance
