// Messages between limiters. Amounts are thousandths of a token (per second). Items are
// encoded as arrays, because field names would make up most of the bytes.

#ifndef PISTACHIOSPAN_LIMIT_INTERNAL_MESSAGES_HPP
#define PISTACHIOSPAN_LIMIT_INTERNAL_MESSAGES_HPP

#include "pistachiospan/base/base.hpp"

#include <algorithm>
#include <vector>

namespace pistachiospan::limit::internal
{

// Asks for a loan. `rate` and `capacity` are the totals wanted of this lender, with what
// the loan `renew` (0: none) already holds; `tokens` are wanted on top.
struct borrow_item
{
    std::uint64_t account = 0; // hash of the account's name
    std::uint64_t nonce = 0;   // names the request and the loan; never used again
    std::uint64_t renew = 0;
    std::int64_t rate = 0;
    std::int64_t capacity = 0;
    std::int64_t tokens = 0;
    std::int64_t demand = 0; // requests per second at the borrower
};

// Answers a borrow_item. The loan replaces the loan `renew`; the tokens are a gift. The
// spare amounts are what the lender could still give.
struct grant_item
{
    std::uint64_t account = 0;
    std::uint64_t nonce = 0;
    std::uint64_t renew = 0;
    std::int64_t rate = 0;
    std::int64_t capacity = 0;
    std::int64_t tokens = 0;
    std::int64_t spare_rate = 0;
    std::int64_t spare_tokens = 0;
};

// Gives a loan back. States what is left, so that a repeated message changes nothing.
struct return_item
{
    std::uint64_t account = 0;
    std::uint64_t nonce = 0;
    std::int64_t left_rate = 0;
    std::int64_t left_capacity = 0;
    std::int64_t tokens = 0; // come back with the capacity
};

struct borrow
{
    static constexpr std::string_view type = "borrow";
    std::vector<borrow_item> items;
};

struct grant
{
    static constexpr std::string_view type = "grant";
    std::vector<grant_item> items;
};

struct return_loan
{
    static constexpr std::string_view type = "return_loan";
    std::vector<return_item> items;
};

void to_json(nlohmann::json& out, const borrow_item& item);
void from_json(const nlohmann::json& in, borrow_item& item);
void to_json(nlohmann::json& out, const grant_item& item);
void from_json(const nlohmann::json& in, grant_item& item);
void to_json(nlohmann::json& out, const return_item& item);
void from_json(const nlohmann::json& in, return_item& item);
void to_json(nlohmann::json& out, const borrow& message);
void from_json(const nlohmann::json& in, borrow& message);
void to_json(nlohmann::json& out, const grant& message);
void from_json(const nlohmann::json& in, grant& message);
void to_json(nlohmann::json& out, const return_loan& message);
void from_json(const nlohmann::json& in, return_loan& message);

} // namespace pistachiospan::limit::internal

#endif
