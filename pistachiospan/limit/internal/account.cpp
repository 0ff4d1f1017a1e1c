#include "pistachiospan/limit/internal/account.hpp"

#include <algorithm>

namespace pistachiospan::limit::internal
{

bucket_size& bucket_size::operator+=(const bucket_size& other)
{
    this->rate += other.rate;
    this->capacity += other.capacity;
    return *this;
}

bucket_size& bucket_size::operator-=(const bucket_size& other)
{
    this->rate -= other.rate;
    this->capacity -= other.capacity;
    return *this;
}

bucket_size operator+(bucket_size left, const bucket_size& right)
{
    return left += right;
}

bucket_size operator-(bucket_size left, const bucket_size& right)
{
    return left -= right;
}

bucket_size smaller_of_each(const bucket_size& left, const bucket_size& right)
{
    return {.rate = std::min(left.rate, right.rate),
            .capacity = std::min(left.capacity, right.capacity)};
}

bucket_size larger_of_each(const bucket_size& left, const bucket_size& right)
{
    return {.rate = std::max(left.rate, right.rate),
            .capacity = std::max(left.capacity, right.capacity)};
}

bucket_size account::usable() const
{
    return larger_of_each(this->unlent(), {}) + this->borrowed;
}

void account::refill(time_point now)
{
    while (this->next_expiry <= now)
    {
        const time_point end = this->next_expiry;
        this->refill_until(end);
        this->expire_borrowed(end);
    }
    this->refill_until(now);
}

void account::refill_until(time_point now)
{
    // A longer gap fills every bucket that is in use; the bound prevents overflow.
    constexpr duration longest = std::chrono::hours(1);
    if (now <= this->updated)
        return;
    const duration gap = std::min(now - this->updated, longest);
    this->updated = now;
    const bucket_size usable = this->usable();
    const std::int64_t full = usable.capacity * nanotokens_per_amount;
    const std::int64_t room = full - this->nanotokens;
    if (usable.rate > 0 && gap.count() > room / usable.rate)
        this->nanotokens = full;
    else
        this->nanotokens += usable.rate * gap.count();
}

void account::clamp_tokens()
{
    const std::int64_t full = this->usable().capacity * nanotokens_per_amount;
    this->nanotokens = std::min(this->nanotokens, full);
}

bool account::take_token()
{
    if (this->nanotokens < nanotokens_per_token)
        return false;
    this->nanotokens -= nanotokens_per_token;
    return true;
}

void account::remove_tokens(amount tokens)
{
    this->nanotokens -= tokens * nanotokens_per_amount;
}

void account::add_tokens(amount tokens)
{
    this->nanotokens += tokens * nanotokens_per_amount;
    this->clamp_tokens();
}

void account::set_owned(const bucket_size& size)
{
    this->owned = size;
    this->clamp_tokens();
}

void account::lend(granted_loan loan)
{
    this->lent += loan.size;
    this->loans().granted.push_back(loan);
    this->clamp_tokens();
}

bool account::expire_granted(time_point now)
{
    if (!this->records)
        return false;
    // The capacity is returned without tokens: the borrower may have used all of them.
    return std::erase_if(this->records->granted,
                         [&](const granted_loan& loan)
                         {
                             if (loan.expires_at > now)
                                 return false;
                             this->lent -= loan.size;
                             return true;
                         }) > 0;
}

bucket_size account::reduce_granted(std::uint32_t borrower, std::uint64_t nonce,
                                    const bucket_size& remaining)
{
    granted_loan* loan = this->find_granted(borrower, nonce);
    if (loan == nullptr)
        return {};
    const bucket_size reduced = loan->size - smaller_of_each(loan->size, remaining);
    loan->size -= reduced;
    this->lent -= reduced;
    if (loan->size.empty())
        std::erase_if(this->records->granted, [&](const granted_loan& other)
                      { return other.borrower == borrower && other.nonce == nonce; });
    return reduced;
}

granted_loan* account::find_granted(std::uint32_t borrower, std::uint64_t nonce)
{
    if (!this->records)
        return nullptr;
    for (granted_loan& loan : this->records->granted)
        if (loan.borrower == borrower && loan.nonce == nonce)
            return &loan;
    return nullptr;
}

borrowed_loan* account::find_borrowed(std::uint64_t nonce)
{
    if (!this->records)
        return nullptr;
    for (borrowed_loan& loan : this->records->borrowed)
        if (loan.nonce == nonce)
            return &loan;
    return nullptr;
}

borrowed_loan* account::find_borrowed_from(std::uint32_t lender)
{
    if (!this->records)
        return nullptr;
    borrowed_loan* newest = nullptr;
    for (borrowed_loan& loan : this->records->borrowed)
        if (loan.lender == lender &&
            (newest == nullptr || loan.expires_at > newest->expires_at))
            newest = &loan;
    return newest;
}

void account::replace_borrowed(std::uint64_t renewed_nonce, const borrowed_loan& loan,
                               amount tokens)
{
    std::vector<borrowed_loan>& all = this->loans().borrowed;
    if (const borrowed_loan* old = this->find_borrowed(renewed_nonce))
    {
        this->borrowed -= old->size;
        std::erase_if(all, [&](const borrowed_loan& other)
                      { return other.nonce == renewed_nonce; });
    }
    if (!loan.size.empty())
    {
        this->borrowed += loan.size;
        all.push_back(loan);
    }
    this->update_next_expiry();
    this->add_tokens(tokens);
}

amount account::reduce_borrowed(std::uint64_t nonce, const bucket_size& remaining)
{
    borrowed_loan* loan = this->find_borrowed(nonce);
    if (loan == nullptr)
        return 0;
    const bucket_size reduced = loan->size - smaller_of_each(loan->size, remaining);
    loan->size -= reduced;
    this->borrowed -= reduced;
    if (loan->size.empty())
        std::erase_if(this->records->borrowed,
                      [&](const borrowed_loan& other) { return other.nonce == nonce; });
    this->update_next_expiry();
    const amount before = this->tokens();
    this->clamp_tokens();
    return std::min(before - this->tokens(), reduced.capacity);
}

void account::expire_borrowed(time_point now)
{
    std::erase_if(this->records->borrowed,
                  [&](const borrowed_loan& loan)
                  {
                      if (loan.expires_at > now)
                          return false;
                      this->borrowed -= loan.size;
                      return true;
                  });
    this->update_next_expiry();
    this->clamp_tokens();
}

void account::update_next_expiry()
{
    this->next_expiry = time_point::max();
    for (const borrowed_loan& loan : this->records->borrowed)
        this->next_expiry = std::min(this->next_expiry, loan.expires_at);
}

duration account::time_until(amount count) const
{
    const bucket_size usable = this->usable();
    const std::int64_t missing = count * nanotokens_per_amount - this->nanotokens;
    if (missing <= 0)
        return duration{0};
    if (usable.rate == 0 || usable.capacity < one_token)
        return duration::max();
    return duration((missing + usable.rate - 1) / usable.rate);
}

loan_records& account::loans()
{
    if (!this->records)
        this->records = std::make_unique<loan_records>();
    return *this->records;
}

void account::drop_idle_records()
{
    if (this->records && this->records->idle())
        this->records.reset();
}

std::size_t account::memory() const
{
    std::size_t size = sizeof(account);
    if (this->name.capacity() > 15)
        size += this->name.capacity() + 1;
    if (this->records)
        size += sizeof(loan_records) +
                this->records->borrowed.capacity() * sizeof(borrowed_loan) +
                this->records->granted.capacity() * sizeof(granted_loan) +
                this->records->pending.capacity() * sizeof(pending_request) +
                this->records->hints.capacity() * sizeof(spare_hint);
    return size;
}

} // namespace pistachiospan::limit::internal
