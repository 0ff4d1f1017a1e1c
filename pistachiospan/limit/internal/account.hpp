// Amounts, token bucket and loans of one client account at one VM.

#ifndef PISTACHIOSPAN_LIMIT_INTERNAL_ACCOUNT_HPP
#define PISTACHIOSPAN_LIMIT_INTERNAL_ACCOUNT_HPP

#include "pistachiospan/base/base.hpp"

#include <memory>
#include <string>
#include <vector>

namespace pistachiospan::limit::internal
{

// Amounts are thousandths of a token (per second), so a rate times microseconds gives
// thousand-millionths of a token and refilling is exact.
using amount = std::int64_t;
inline constexpr amount one_token = 1000;
inline constexpr std::int64_t fine_per_amount = 1'000'000;
inline constexpr std::int64_t fine_token = one_token * fine_per_amount;

struct capacity_rate
{
    amount rate = 0;
    amount capacity = 0;
    bool operator==(const capacity_rate&) const = default;
    capacity_rate& operator+=(const capacity_rate& other);
    capacity_rate& operator-=(const capacity_rate& other);
    bool empty() const
    {
        return this->rate == 0 && this->capacity == 0;
    }
};

capacity_rate operator+(capacity_rate left, const capacity_rate& right);
capacity_rate operator-(capacity_rate left, const capacity_rate& right);
// Of each amount the smaller one, or the larger one.
capacity_rate least(const capacity_rate& left, const capacity_rate& right);
capacity_rate most(const capacity_rate& left, const capacity_rate& right);

struct borrowed_loan
{
    std::uint64_t nonce = 0;
    time_point requested;
    time_point until;
    capacity_rate size;
    std::uint32_t lender = 0;
};

struct given_loan
{
    std::uint64_t nonce = 0;
    time_point back_at;
    capacity_rate size;
    std::uint32_t borrower = 0;
};

// A request to one peer that has not been answered.
struct pending_request
{
    std::uint64_t nonce = 0;
    std::uint64_t renew = 0;
    time_point requested;
    capacity_rate extra; // beyond the renewed loan
    amount tokens = 0;
    std::uint32_t lender = 0;
    bool late = false; // another request may be sent
};

// What a peer said it could still give.
struct spare_hint
{
    std::uint32_t lender = 0;
    time_point heard;
    amount rate = 0;
    amount tokens = 0;
};

// Exists only for accounts that lend or borrow.
struct lending
{
    std::vector<borrowed_loan> borrowed;
    std::vector<given_loan> given;
    std::vector<pending_request> pending;
    std::vector<spare_hint> hints;
    bool idle() const
    {
        return this->borrowed.empty() && this->given.empty() && this->pending.empty();
    }
};

class account
{
public:
    std::string name;
    std::uint64_t id = 0;
    capacity_rate total; // over all VMs
    std::uint32_t homes = 0;
    std::uint32_t arrivals = 0; // since the last review
    float demand = 0;           // requests per second that arrive here
    bool known = false;         // the catalogue in force names it
    bool lendable = true;
    bool active = false; // in the list of accounts to review
    bool urgent = false; // in the list of accounts that need tokens now

    // What this VM may use: own shares without what is lent, and what is borrowed.
    capacity_rate held() const;
    // Own shares without what is lent; negative after the shares became smaller.
    capacity_rate free() const
    {
        return this->own - this->lent;
    }
    capacity_rate all_borrowed() const
    {
        return this->borrowed;
    }
    amount tokens() const
    {
        return this->fine_tokens / fine_per_amount;
    }

    // Adds the tokens of the time since the last call and ends loans that are over.
    void refill(time_point now);
    bool take();
    void take_amount(amount tokens);
    void add_tokens(amount tokens);

    void set_own(const capacity_rate& size);
    void lend(given_loan loan);
    // Ends the given loans that are over at `now`; true if there were any.
    bool take_back(time_point now);
    // Lowers a given loan to `left`; returns by how much.
    capacity_rate reduce_given(std::uint32_t borrower, std::uint64_t nonce,
                               const capacity_rate& left);
    given_loan* find_given(std::uint32_t borrower, std::uint64_t nonce);
    borrowed_loan* find_borrowed(std::uint64_t nonce);
    borrowed_loan* find_borrowed_of(std::uint32_t lender);
    // Puts `loan` in the place of the loan `renew`.
    void replace_borrowed(std::uint64_t renew, const borrowed_loan& loan, amount tokens);
    // Lowers a borrowed loan to `left` and returns the tokens that no longer fit.
    amount reduce_borrowed(std::uint64_t nonce, const capacity_rate& left);

    // Time until `count` tokens are here, or duration::max() if they never are.
    duration time_until(amount count) const;

    lending& loans();
    const lending* loans_if_any() const
    {
        return this->records.get();
    }
    void drop_idle_records();
    std::size_t memory() const;

private:
    void refill_until(time_point now);
    void clamp_tokens();
    void expire_borrowed(time_point now);
    void update_next_expiry();

    capacity_rate own;
    capacity_rate lent;
    capacity_rate borrowed;
    std::int64_t fine_tokens = 0;
    time_point updated;
    time_point next_expiry = time_point::max();
    std::unique_ptr<lending> records;
};

} // namespace pistachiospan::limit::internal

#endif
