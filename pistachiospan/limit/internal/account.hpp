// Amounts, token bucket and loans of one client account at one VM.

#ifndef PISTACHIOSPAN_LIMIT_INTERNAL_ACCOUNT_HPP
#define PISTACHIOSPAN_LIMIT_INTERNAL_ACCOUNT_HPP

#include "pistachiospan/base/base.hpp"

#include <memory>
#include <string>
#include <vector>

namespace pistachiospan::limit::internal
{

// Amounts are millitokens (per second). A rate times microseconds then gives nanotokens,
// so that refilling a bucket is exact.
using amount = std::int64_t;
inline constexpr amount one_token = 1000;
inline constexpr std::int64_t nanotokens_per_amount = 1'000'000;
inline constexpr std::int64_t nanotokens_per_token = one_token * nanotokens_per_amount;

// Refill rate and capacity of a token bucket, or of a part of one.
struct bucket_size
{
    amount rate = 0;
    amount capacity = 0;
    bool operator==(const bucket_size&) const = default;
    bucket_size& operator+=(const bucket_size& other);
    bucket_size& operator-=(const bucket_size& other);
    bool empty() const
    {
        return this->rate == 0 && this->capacity == 0;
    }
};

bucket_size operator+(bucket_size left, const bucket_size& right);
bucket_size operator-(bucket_size left, const bucket_size& right);
// Minimum and maximum of each member separately.
bucket_size smaller_of_each(const bucket_size& left, const bucket_size& right);
bucket_size larger_of_each(const bucket_size& left, const bucket_size& right);

struct borrowed_loan
{
    std::uint64_t nonce = 0;
    time_point requested_at;
    time_point expires_at;
    bucket_size size;
    std::uint32_t lender = 0;
};

struct granted_loan
{
    std::uint64_t nonce = 0;
    time_point expires_at;
    bucket_size size;
    std::uint32_t borrower = 0;
};

// A loan request to one peer that has not been answered.
struct pending_request
{
    std::uint64_t nonce = 0;
    std::uint64_t renewed_nonce = 0;
    time_point requested_at;
    bucket_size extra; // beyond the renewed loan
    amount tokens = 0;
    std::uint32_t lender = 0;
    bool late = false; // not answered in time; another request may be sent
};

// What a peer reported as still available for loans.
struct spare_hint
{
    std::uint32_t lender = 0;
    time_point received_at;
    amount rate = 0;
    amount tokens = 0;
};

// Allocated only for accounts with loans, pending requests or hints.
struct loan_records
{
    std::vector<borrowed_loan> borrowed;
    std::vector<granted_loan> granted;
    std::vector<pending_request> pending;
    std::vector<spare_hint> hints;
    bool idle() const
    {
        return this->borrowed.empty() && this->granted.empty() && this->pending.empty();
    }
};

class account
{
public:
    std::string name;
    std::uint64_t id = 0;
    bucket_size total; // limits over the whole fleet
    std::uint32_t homes = 0;
    std::uint32_t arrivals = 0; // since the last review
    float demand = 0;           // requests per second that arrive here
    bool in_catalogue = false;  // named by the active catalogue
    bool lendable = true;
    bool active = false; // in the list of accounts to review
    bool urgent = false; // in the list of accounts that need tokens now

    // What this VM may use: what it owns minus what is lent, plus what is borrowed.
    bucket_size usable() const;
    // What this VM owns minus what is lent. Negative if the shares shrank during a loan.
    bucket_size unlent() const
    {
        return this->owned - this->lent;
    }
    bucket_size all_borrowed() const
    {
        return this->borrowed;
    }
    amount tokens() const
    {
        return this->nanotokens / nanotokens_per_amount;
    }

    // Adds the tokens for the time since the last call and ends expired borrowed loans.
    void refill(time_point now);
    bool take_token();
    void remove_tokens(amount tokens);
    void add_tokens(amount tokens);

    void set_owned(const bucket_size& size);
    void lend(granted_loan loan);
    // Ends the granted loans that have expired at `now`; true if there were any.
    bool expire_granted(time_point now);
    // Reduces a granted loan to `remaining`; returns by how much.
    bucket_size reduce_granted(std::uint32_t borrower, std::uint64_t nonce,
                               const bucket_size& remaining);
    granted_loan* find_granted(std::uint32_t borrower, std::uint64_t nonce);
    borrowed_loan* find_borrowed(std::uint64_t nonce);
    borrowed_loan* find_borrowed_from(std::uint32_t lender);
    // Replaces the loan `renewed_nonce`, if there is one, by `loan` and adds `tokens`.
    void replace_borrowed(std::uint64_t renewed_nonce, const borrowed_loan& loan,
                          amount tokens);
    // Reduces a borrowed loan to `remaining` and returns the tokens that no longer fit.
    amount reduce_borrowed(std::uint64_t nonce, const bucket_size& remaining);

    // Time until `count` is available, or duration::max() if it never will be.
    duration time_until(amount count) const;

    loan_records& loans();
    const loan_records* find_loans() const
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

    bucket_size owned;
    bucket_size lent;
    bucket_size borrowed;
    std::int64_t nanotokens = 0;
    time_point updated;
    time_point next_expiry = time_point::max();
    std::unique_ptr<loan_records> records;
};

} // namespace pistachiospan::limit::internal

#endif
