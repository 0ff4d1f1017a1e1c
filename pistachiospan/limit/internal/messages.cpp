#include "pistachiospan/limit/internal/messages.hpp"

namespace pistachiospan::limit::internal
{

namespace
{

// Largest amount accepted: 10^9 tokens (per second). Sums of amounts stay within 64 bits.
constexpr std::int64_t max_amount = 1'000'000'000'000;

// nlohmann::json converts silently between number types, so a wrong type is rejected
// here.
std::uint64_t read_id(const nlohmann::json& in)
{
    if (!in.is_number_unsigned())
        throw nlohmann::json::type_error::create(302, "expected an unsigned integer",
                                                 &in);
    return in.get<std::uint64_t>();
}

std::int64_t read_amount(const nlohmann::json& in)
{
    const std::uint64_t amount = read_id(in);
    if (amount > max_amount)
        throw nlohmann::json::out_of_range::create(
            406, "amount exceeds 1000000000000 millitokens", &in);
    return static_cast<std::int64_t>(amount);
}

void check_size(const nlohmann::json& in, std::size_t size)
{
    if (!in.is_array() || in.size() != size)
        throw nlohmann::json::type_error::create(
            302, "item is not an array of the expected length", &in);
}

// Amounts are encoded as unsigned numbers, which take fewer bytes in MessagePack.
std::uint64_t to_wire(std::int64_t amount)
{
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(amount, 0, max_amount));
}

} // namespace

void to_json(nlohmann::json& out, const borrow_item& item)
{
    out = nlohmann::json::array({item.account, item.nonce, item.renewed_nonce,
                                 to_wire(item.rate), to_wire(item.capacity),
                                 to_wire(item.tokens), to_wire(item.demand)});
}

void from_json(const nlohmann::json& in, borrow_item& item)
{
    check_size(in, 7);
    item = {.account = read_id(in[0]),
            .nonce = read_id(in[1]),
            .renewed_nonce = read_id(in[2]),
            .rate = read_amount(in[3]),
            .capacity = read_amount(in[4]),
            .tokens = read_amount(in[5]),
            .demand = read_amount(in[6])};
}

void to_json(nlohmann::json& out, const grant_item& item)
{
    out = nlohmann::json::array({item.account, item.nonce, item.renewed_nonce,
                                 to_wire(item.rate), to_wire(item.capacity),
                                 to_wire(item.tokens), to_wire(item.spare_rate),
                                 to_wire(item.spare_tokens)});
}

void from_json(const nlohmann::json& in, grant_item& item)
{
    check_size(in, 8);
    item = {.account = read_id(in[0]),
            .nonce = read_id(in[1]),
            .renewed_nonce = read_id(in[2]),
            .rate = read_amount(in[3]),
            .capacity = read_amount(in[4]),
            .tokens = read_amount(in[5]),
            .spare_rate = read_amount(in[6]),
            .spare_tokens = read_amount(in[7])};
}

void to_json(nlohmann::json& out, const return_item& item)
{
    out = nlohmann::json::array({item.account, item.nonce, to_wire(item.remaining_rate),
                                 to_wire(item.remaining_capacity), to_wire(item.tokens)});
}

void from_json(const nlohmann::json& in, return_item& item)
{
    check_size(in, 5);
    item = {.account = read_id(in[0]),
            .nonce = read_id(in[1]),
            .remaining_rate = read_amount(in[2]),
            .remaining_capacity = read_amount(in[3]),
            .tokens = read_amount(in[4])};
}

void to_json(nlohmann::json& out, const borrow& message)
{
    out = message.items;
}

void from_json(const nlohmann::json& in, borrow& message)
{
    in.get_to(message.items);
}

void to_json(nlohmann::json& out, const grant& message)
{
    out = message.items;
}

void from_json(const nlohmann::json& in, grant& message)
{
    in.get_to(message.items);
}

void to_json(nlohmann::json& out, const return_loan& message)
{
    out = message.items;
}

void from_json(const nlohmann::json& in, return_loan& message)
{
    in.get_to(message.items);
}

} // namespace pistachiospan::limit::internal
