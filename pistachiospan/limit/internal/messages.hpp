// Messages between limiters. Amounts are millitokens (per second). Items are
// encoded as arrays, because field names would make up most of the bytes.

#ifndef PISTACHIOSPAN_LIMIT_INTERNAL_MESSAGES_HPP
#define PISTACHIOSPAN_LIMIT_INTERNAL_MESSAGES_HPP

#include "pistachiospan/base/base.hpp"

#include <algorithm>
#include <vector>

namespace pistachiospan::limit::internal
{

// Requests a loan. `rate` and `capacity` are the totals requested from this lender,
// including what the loan `renewed_nonce` (0: none) has already; `tokens` come on top.
struct borrow_item
{
    std::uint64_t account = 0; // hash of the account's name
    std::uint64_t nonce = 0;   // identifies the request and the loan; never reused
    std::uint64_t renewed_nonce = 0;
    std::int64_t rate = 0;
    std::int64_t capacity = 0;
    std::int64_t tokens = 0;
    std::int64_t demand = 0; // requests per second at the borrower
};

// Answers a borrow_item. The loan replaces the loan `renewed_nonce`; the tokens are not
// returned. The spare amounts are what the lender could still grant.
struct grant_item
{
    std::uint64_t account = 0;
    std::uint64_t nonce = 0;
    std::uint64_t renewed_nonce = 0;
    std::int64_t rate = 0;
    std::int64_t capacity = 0;
    std::int64_t tokens = 0;
    std::int64_t spare_rate = 0;
    std::int64_t spare_tokens = 0;
};

// Returns a loan or a part of it. Contains what remains of the loan rather than the
// difference, so that a repeated message changes nothing.
struct return_item
{
    std::uint64_t account = 0;
    std::uint64_t nonce = 0;
    std::int64_t remaining_rate = 0;
    std::int64_t remaining_capacity = 0;
    std::int64_t tokens = 0; // returned with the capacity
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
