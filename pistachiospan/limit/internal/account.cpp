#include "pistachiospan/limit/internal/account.hpp"

#include <algorithm>

namespace pistachiospan::limit::internal
{

capacity_rate& capacity_rate::operator+=(const capacity_rate& other)
{
    this->rate += other.rate;
    this->capacity += other.capacity;
    return *this;
}

capacity_rate& capacity_rate::operator-=(const capacity_rate& other)
{
    this->rate -= other.rate;
    this->capacity -= other.capacity;
    return *this;
}

capacity_rate operator+(capacity_rate left, const capacity_rate& right)
{
    return left += right;
}

capacity_rate operator-(capacity_rate left, const capacity_rate& right)
{
    return left -= right;
}

capacity_rate least(const capacity_rate& left, const capacity_rate& right)
{
    return {.rate = std::min(left.rate, right.rate),
            .capacity = std::min(left.capacity, right.capacity)};
}

capacity_rate most(const capacity_rate& left, const capacity_rate& right)
{
    return {.rate = std::max(left.rate, right.rate),
            .capacity = std::max(left.capacity, right.capacity)};
}

capacity_rate account::held() const
{
    return most(this->free(), {}) + this->borrowed;
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
    // Longer gaps than this fill every bucket that is in use; the bound avoids overflow.
    constexpr duration longest = std::chrono::hours(1);
    if (now <= this->updated)
        return;
    const duration gap = std::min(now - this->updated, longest);
    this->updated = now;
    const capacity_rate held = this->held();
    const std::int64_t full = held.capacity * fine_per_amount;
    const std::int64_t room = full - this->fine_tokens;
    if (held.rate > 0 && gap.count() > room / held.rate)
        this->fine_tokens = full;
    else
        this->fine_tokens += held.rate * gap.count();
}

void account::clamp_tokens()
{
    const std::int64_t full = this->held().capacity * fine_per_amount;
    this->fine_tokens = std::min(this->fine_tokens, full);
}

bool account::take()
{
    if (this->fine_tokens < fine_token)
        return false;
    this->fine_tokens -= fine_token;
    return true;
}

void account::take_amount(amount tokens)
{
    this->fine_tokens -= tokens * fine_per_amount;
}

void account::add_tokens(amount tokens)
{
    this->fine_tokens += tokens * fine_per_amount;
    this->clamp_tokens();
}

void account::set_own(const capacity_rate& size)
{
    this->own = size;
    this->clamp_tokens();
}

void account::lend(given_loan loan)
{
    this->lent += loan.size;
    this->loans().given.push_back(loan);
    this->clamp_tokens();
}

bool account::take_back(time_point now)
{
    if (!this->records)
        return false;
    // The capacity comes back empty: the borrower may have used all of it.
    return std::erase_if(this->records->given,
                         [&](const given_loan& loan)
                         {
                             if (loan.back_at > now)
                                 return false;
                             this->lent -= loan.size;
                             return true;
                         }) > 0;
}

capacity_rate account::reduce_given(std::uint32_t borrower, std::uint64_t nonce,
                                    const capacity_rate& left)
{
    given_loan* loan = this->find_given(borrower, nonce);
    if (loan == nullptr)
        return {};
    const capacity_rate reduced = loan->size - least(loan->size, left);
    loan->size -= reduced;
    this->lent -= reduced;
    if (loan->size.empty())
        std::erase_if(this->records->given, [&](const given_loan& other)
                      { return other.borrower == borrower && other.nonce == nonce; });
    return reduced;
}

given_loan* account::find_given(std::uint32_t borrower, std::uint64_t nonce)
{
    if (!this->records)
        return nullptr;
    for (given_loan& loan : this->records->given)
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

borrowed_loan* account::find_borrowed_of(std::uint32_t lender)
{
    if (!this->records)
        return nullptr;
    borrowed_loan* newest = nullptr;
    for (borrowed_loan& loan : this->records->borrowed)
        if (loan.lender == lender && (newest == nullptr || loan.until > newest->until))
            newest = &loan;
    return newest;
}

void account::replace_borrowed(std::uint64_t renew, const borrowed_loan& loan,
                               amount tokens)
{
    std::vector<borrowed_loan>& all = this->loans().borrowed;
    if (const borrowed_loan* old = this->find_borrowed(renew))
    {
        this->borrowed -= old->size;
        std::erase_if(all,
                      [&](const borrowed_loan& other) { return other.nonce == renew; });
    }
    if (!loan.size.empty())
    {
        this->borrowed += loan.size;
        all.push_back(loan);
    }
    this->update_next_expiry();
    this->add_tokens(tokens);
}

amount account::reduce_borrowed(std::uint64_t nonce, const capacity_rate& left)
{
    borrowed_loan* loan = this->find_borrowed(nonce);
    if (loan == nullptr)
        return 0;
    const capacity_rate reduced = loan->size - least(loan->size, left);
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
                      if (loan.until > now)
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
        this->next_expiry = std::min(this->next_expiry, loan.until);
}

duration account::time_until(amount count) const
{
    const capacity_rate held = this->held();
    const std::int64_t missing = count * fine_per_amount - this->fine_tokens;
    if (missing <= 0)
        return duration{0};
    if (held.rate == 0 || held.capacity < one_token)
        return duration::max();
    return duration((missing + held.rate - 1) / held.rate);
}

lending& account::loans()
{
    if (!this->records)
        this->records = std::make_unique<lending>();
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
        size += sizeof(lending) +
                this->records->borrowed.capacity() * sizeof(borrowed_loan) +
                this->records->given.capacity() * sizeof(given_loan) +
                this->records->pending.capacity() * sizeof(pending_request) +
                this->records->hints.capacity() * sizeof(spare_hint);
    return size;
}

} // namespace pistachiospan::limit::internal
