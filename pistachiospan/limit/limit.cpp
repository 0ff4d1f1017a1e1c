#include "pistachiospan/limit/limit.hpp"

#include "pistachiospan/limit/internal/account.hpp"
#include "pistachiospan/limit/internal/homes.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::limit
{

using namespace internal;

namespace
{

// Time constant in seconds of the demand estimate: the time in which one home receives
// about ten requests at the account's rate. With a shorter one, each single request of a
// small account would look like a change of demand.
double demand_time_constant_s(const account& state)
{
    const double home_rate =
        static_cast<double>(state.total.rate) / one_token / std::max(state.homes, 1U);
    return std::clamp(10 / std::max(home_rate, 0.01), 2.0, 20.0);
}
// Demand in requests per second below which an account counts as unused at this VM.
constexpr float min_demand = 0.02F;
// Age after which a peer's report of its spare amounts is ignored.
constexpr duration hint_lifetime = std::chrono::milliseconds(1000);
// A loan is renewed once less than 1 / renewal_divisor of its duration remains.
constexpr int renewal_divisor = 2;
// Maximum number of items in one message. An item takes at most 70 bytes.
constexpr std::size_t max_items = 2000;
// Maximum number of items queued for one peer. More of them mean that the message budget
// is far too small; further requests and grants are dropped.
constexpr std::size_t max_queued_items = 4 * max_items;
// Tokens requested ahead of need, as seconds of the present demand.
constexpr double prefetch_s = 0.05;
// No tokens are requested from peers for waiting requests that the local bucket serves
// within this time.
constexpr duration local_refill_time = std::chrono::milliseconds(30);

amount to_amount(double tokens)
{
    constexpr double largest = 1e9;
    return static_cast<amount>(std::clamp(tokens, 0.0, largest) * one_token);
}

} // namespace

struct limiter::implementation
{
    // Limits of a previous catalogue. Until they expire, the smaller of the previous and
    // the active limits applies.
    struct previous_limit
    {
        limits bounds;
        time_point until;
    };

    struct waiting_request
    {
        std::uint64_t ticket = 0;
        time_point deadline;
    };

    struct resolution
    {
        std::uint64_t ticket = 0;
        decision answer;
    };

    struct peer_state
    {
        vm_id id;
        std::string data_centre;
        std::vector<std::uint32_t> shares;
        bool live = false;
        bool urgent = false;
        time_point last_flush = time_point::min();
        // No requests are sent to the peer until then, because it left one unanswered.
        time_point skip_until = time_point::min();
        std::vector<borrow_item> borrows;
        std::vector<grant_item> grants;
        std::vector<return_item> returns;

        bool has_items() const
        {
            return !this->borrows.empty() || !this->grants.empty() ||
                   !this->returns.empty();
        }
    };

    // What an account needs at this VM beyond what it has or has requested.
    struct shortage
    {
        bucket_size size;
        amount tokens = 0;
        bool empty() const
        {
            return this->size.empty() && this->tokens == 0;
        }
    };

    struct candidate
    {
        std::uint32_t peer = 0;
        amount rate = 0;
        amount capacity = 0;
        amount tokens = 0;
        bool near = false;
    };

    implementation(limiter_options options_in, hooks callbacks_in)
        : options(std::move(options_in)), callbacks(std::move(callbacks_in))
    {
        // The seed contains the incarnation, so that nonces differ from those of the
        // previous process of this VM.
        const std::string seed = this->options.self.value + '/' +
                                 std::to_string(this->options.self_incarnation);
        this->random.seed(hash_bytes(seed, this->options.seed));
        this->next_nonce = this->random() | 1;
        this->message_credit = this->options.max_messages_per_s;
    }

    // Accounts and shares -------------------------------------------------------------

    limits limits_of(const bucket_size& total, std::uint32_t shares) const
    {
        return {.total = total,
                .shares = shares,
                .homes = count_homes(total, shares, this->options.min_homes)};
    }

    std::uint32_t add_account(const std::string& name)
    {
        const auto found = this->index_by_name.find(name);
        if (found != this->index_by_name.end())
            return found->second;
        const auto index = static_cast<std::uint32_t>(this->accounts.size());
        account& added = this->accounts.emplace_back();
        added.name = name;
        added.id = hash_bytes(name);
        this->index_by_name.emplace(name, index);
        added.lendable = this->index_by_id.emplace(added.id, index).second;
        this->active_limits.emplace_back();
        return index;
    }

    void set_limits(time_point now, std::uint32_t index, const limits& next,
                    bool active_everywhere)
    {
        limits& current = this->active_limits[index];
        if (current == next)
            return;
        const bool is_new = current == limits{} && !this->first_catalogue;
        const time_point until = now + this->options.activation_bound +
                                 max_loan_duration(this->options.loan_duration);
        if (active_everywhere)
            this->previous_limits.erase(index);
        else if (!is_new)
        {
            this->previous_limits[index].push_back({.bounds = current, .until = until});
            this->next_limit_end = std::min(this->next_limit_end, until);
        }
        current = next;
        this->accounts[index].total = next.total;
        this->accounts[index].homes = next.homes;
        this->update_owned(now, index);
    }

    void update_owned(time_point now, std::uint32_t index)
    {
        account& state = this->accounts[index];
        state.refill(now);
        bucket_size owned;
        const auto previous = this->previous_limits.find(index);
        for (const std::uint32_t share : this->usable_shares)
        {
            bucket_size portion =
                owned_portion(state.id, share, this->active_limits[index]);
            if (previous != this->previous_limits.end())
                for (const previous_limit& old : previous->second)
                    portion = smaller_of_each(portion,
                                              owned_portion(state.id, share, old.bounds));
            owned += portion;
        }
        state.set_owned(owned);
    }

    void update_all_owned(time_point now)
    {
        for (std::uint32_t index = 0; index < this->accounts.size(); ++index)
            this->update_owned(now, index);
    }

    void expire_previous_limits(time_point now)
    {
        if (now < this->next_limit_end)
            return;
        this->next_limit_end = time_point::max();
        for (auto at = this->previous_limits.begin(); at != this->previous_limits.end();)
        {
            std::erase_if(at->second,
                          [&](const previous_limit& old) { return old.until <= now; });
            const std::uint32_t index = at->first;
            for (const previous_limit& old : at->second)
                this->next_limit_end = std::min(this->next_limit_end, old.until);
            if (at->second.empty())
                at = this->previous_limits.erase(at);
            else
                ++at;
            this->update_owned(now, index);
        }
    }

    // Gives up the shares after a pause of the process, which shows as a long gap between
    // two calls: other VMs may have claimed them in the meantime. The caller sets the
    // shares again with set_shares() when they are confirmed.
    void detect_pause(time_point now)
    {
        const bool paused = this->last_call != time_point::min() &&
                            now - this->last_call > this->options.max_pause;
        this->last_call = std::max(this->last_call, now);
        if (!paused || this->usable_shares.empty())
            return;
        this->usable_shares.clear();
        this->update_all_owned(now);
    }

    // Targets -------------------------------------------------------------------------

    static bool in_use(const account& state)
    {
        return state.demand > min_demand;
    }

    amount target_rate(const account& state) const
    {
        if (!in_use(state))
            return 0;
        return std::min(state.total.rate,
                        to_amount(state.demand * this->options.headroom_factor));
    }

    // Capacity in proportion to the fraction of the account's rate that arrives here.
    amount target_capacity(const account& state) const
    {
        if (!in_use(state) || state.total.rate == 0)
            return 0;
        const double fraction = static_cast<double>(this->target_rate(state)) /
                                static_cast<double>(state.total.rate);
        const double target = fraction * static_cast<double>(state.total.capacity);
        return std::min(state.total.capacity, static_cast<amount>(target) + one_token);
    }

    bucket_size target(const account& state) const
    {
        return {.rate = this->target_rate(state),
                .capacity = this->target_capacity(state)};
    }

    std::size_t waiting_count(std::uint32_t index) const
    {
        const auto found = this->waiting.find(index);
        return found == this->waiting.end() ? 0 : found->second.size();
    }

    shortage find_shortage(std::uint32_t index) const
    {
        const account& state = this->accounts[index];
        const bucket_size usable = state.usable();
        bucket_size incoming;
        amount incoming_tokens = 0;
        if (const loan_records* loans = state.find_loans())
            for (const pending_request& request : loans->pending)
            {
                if (request.late)
                    continue;
                incoming += request.extra;
                incoming_tokens += request.tokens;
            }
        shortage missing;
        missing.size = larger_of_each(this->target(state) - usable - incoming, {});
        // The demand estimate is noisy. A loan of rate is worth its messages only if the
        // rate is below the demand itself, without the headroom factor.
        if (usable.rate + incoming.rate >= to_amount(state.demand))
            missing.size.rate = 0;
        if (2 * (usable.capacity + incoming.capacity) >= this->target_capacity(state))
            missing.size.capacity = 0;
        const amount queue = static_cast<amount>(this->waiting_count(index)) * one_token;
        const amount ahead = to_amount(state.demand * prefetch_s);
        // Peers hold fractions of tokens, so one token more than needed is requested.
        const amount wanted = queue + ahead + (queue > 0 ? one_token : 0);
        if (state.urgent)
            missing.tokens =
                std::max<amount>(wanted - state.tokens() - incoming_tokens, 0);
        // Without capacity for them the tokens would be lost.
        const amount room =
            usable.capacity + incoming.capacity - state.tokens() - incoming_tokens;
        missing.size.capacity = std::max(missing.size.capacity, missing.tokens - room);
        return missing;
    }

    // Borrowing -----------------------------------------------------------------------

    bool may_hold(const account& state, const peer_state& peer,
                  const limits& bounds) const
    {
        if (peer.shares.empty())
            return this->peers_without_shares_lend;
        return std::any_of(peer.shares.begin(), peer.shares.end(),
                           [&](std::uint32_t share)
                           { return is_home(state.id, share, bounds); });
    }

    candidate estimate(time_point now, const account& state, std::uint32_t peer) const
    {
        const amount homes = std::max<amount>(state.homes, 1);
        candidate estimated{
            .peer = peer,
            .rate = state.total.rate / homes,
            .capacity = state.total.capacity / homes,
            .tokens = std::max(one_token / 2, state.total.capacity / homes / 2),
            .near = this->peers[peer].data_centre == this->options.data_centre};
        if (const loan_records* loans = state.find_loans())
            for (const spare_hint& hint : loans->hints)
                if (hint.lender == peer && now - hint.received_at < hint_lifetime)
                {
                    const double age =
                        std::chrono::duration<double>(now - hint.received_at).count();
                    const auto refilled =
                        static_cast<amount>(age * static_cast<double>(hint.rate));
                    estimated.tokens =
                        std::min(hint.tokens + refilled, state.total.capacity);
                    estimated.rate = hint.rate;
                }
        return estimated;
    }

    bool has_pending(const account& state, std::uint32_t peer) const
    {
        const loan_records* loans = state.find_loans();
        return loans != nullptr &&
               std::any_of(loans->pending.begin(), loans->pending.end(),
                           [&](const pending_request& request)
                           { return request.lender == peer && !request.late; });
    }

    // An urgent request (for tokens) does not wait for the answer to one without tokens.
    bool has_pending_urgent(const account& state, std::uint32_t peer) const
    {
        const loan_records* loans = state.find_loans();
        return loans != nullptr &&
               std::any_of(loans->pending.begin(), loans->pending.end(),
                           [&](const pending_request& request) {
                               return request.lender == peer && !request.late &&
                                      request.tokens > 0;
                           });
    }

    std::vector<candidate> find_candidates(time_point now, std::uint32_t index,
                                           bool urgent)
    {
        const account& state = this->accounts[index];
        std::vector<candidate> found;
        const auto add = [&](std::uint32_t peer)
        {
            const peer_state& candidate_peer = this->peers[peer];
            const bool requested = urgent ? this->has_pending_urgent(state, peer)
                                          : this->has_pending(state, peer);
            if (candidate_peer.live && now >= candidate_peer.skip_until && !requested)
                found.push_back(this->estimate(now, state, peer));
        };
        const limits& bounds = this->active_limits[index];
        if (bounds.homes < bounds.shares)
        {
            for (const std::uint32_t share : find_homes(state.id, bounds))
                if (const auto holder = this->share_holders.find(share);
                    holder != this->share_holders.end())
                    add(holder->second);
        }
        else
            for (std::uint32_t peer = 0; peer < this->peers.size(); ++peer)
                add(peer);
        std::shuffle(found.begin(), found.end(), this->random);
        std::stable_sort(found.begin(), found.end(),
                         [](const candidate& left, const candidate& right)
                         {
                             if (left.near != right.near)
                                 return left.near;
                             return left.tokens > right.tokens;
                         });
        if (found.size() > this->options.fan_out)
            found.resize(this->options.fan_out);
        return found;
    }

    void request_loans(time_point now, std::uint32_t index, bool urgent)
    {
        account& state = this->accounts[index];
        if (!this->options.lending_enabled || !state.lendable || !state.in_catalogue)
            return;
        this->drop_late_requests(now, state);
        shortage missing = this->find_shortage(index);
        if (missing.empty())
            return;
        for (const candidate& from : this->find_candidates(now, index, urgent))
        {
            const bucket_size extra = {
                .rate = std::min(missing.size.rate, from.rate),
                .capacity = std::min(missing.size.capacity, from.capacity)};
            const amount tokens = std::min(missing.tokens, from.tokens);
            if (extra.rate == 0 && tokens == 0 && from.tokens == 0)
                continue;
            if (extra.empty() && tokens == 0)
                continue;
            this->request_loan(now, index, from.peer, extra, tokens, urgent);
            missing.size -= extra;
            missing.tokens -= tokens;
        }
    }

    void request_loan(time_point now, std::uint32_t index, std::uint32_t peer,
                      const bucket_size& extra, amount tokens, bool urgent)
    {
        account& state = this->accounts[index];
        peer_state& to = this->peers[peer];
        if (to.borrows.size() >= max_queued_items)
            return;
        // A loan is not renewed again while a request to its lender is pending.
        const borrowed_loan* old =
            this->has_pending(state, peer) ? nullptr : state.find_borrowed_from(peer);
        const bucket_size wanted = extra + (old != nullptr ? old->size : bucket_size{});
        const std::uint64_t renewed_nonce = old != nullptr ? old->nonce : 0;
        const std::uint64_t nonce = this->next_nonce++;
        state.loans().pending.push_back({.nonce = nonce,
                                         .renewed_nonce = renewed_nonce,
                                         .requested_at = now,
                                         .extra = extra,
                                         .tokens = tokens,
                                         .lender = peer});
        to.borrows.push_back({.account = state.id,
                              .nonce = nonce,
                              .renewed_nonce = renewed_nonce,
                              .rate = wanted.rate,
                              .capacity = wanted.capacity,
                              .tokens = tokens,
                              .demand = to_amount(state.demand)});
        to.urgent = to.urgent || urgent;
    }

    // Time after which a request counts as unanswered. Requests for tokens and their
    // answers are sent at once; others wait up to a review interval on each side.
    duration answer_timeout(const pending_request& request) const
    {
        return this->options.request_timeout +
               (request.tokens > 0 ? duration{0} : 2 * this->options.review_interval);
    }

    void drop_late_requests(time_point now, account& state)
    {
        if (state.find_loans() == nullptr)
            return;
        for (pending_request& request : state.loans().pending)
        {
            if (request.late ||
                now - request.requested_at < this->answer_timeout(request))
                continue;
            request.late = true;
            this->peers[request.lender].skip_until =
                now + 3 * this->options.request_timeout;
        }
        // Late requests are kept for a while, because a late grant must still be
        // accepted: the lender has already merged the renewed loan into it.
        std::erase_if(state.loans().pending,
                      [&](const pending_request& request) {
                          return now - request.requested_at >=
                                 this->options.loan_duration / renewal_divisor;
                      });
    }

    // Renews loans that are about to expire and returns what is not needed.
    void review_loans(time_point now, std::uint32_t index)
    {
        account& state = this->accounts[index];
        if (state.find_loans() == nullptr || state.find_loans()->borrowed.empty())
            return;
        const bucket_size target = this->target(state);
        bucket_size excess = state.usable() - target;
        const bool large_excess = excess.rate > target.rate / 2 + one_token ||
                                  excess.capacity > target.capacity / 2 + 2 * one_token;
        const std::vector<borrowed_loan> loans = state.find_loans()->borrowed;
        for (const borrowed_loan& loan : loans)
        {
            const bool renewal_due =
                loan.expires_at - now < this->options.loan_duration / renewal_divisor;
            const bool requested = this->has_pending(state, loan.lender);
            if (requested || (!renewal_due && !large_excess))
                continue;
            bucket_size reduction =
                smaller_of_each(larger_of_each(excess, {}), loan.size);
            if (!large_excess)
                reduction = {};
            excess -= reduction;
            if (!reduction.empty())
                this->return_loan_part(state, loan, loan.size - reduction);
            if (renewal_due && !(loan.size - reduction).empty())
                this->request_loan(now, index, loan.lender, {}, 0, false);
        }
    }

    void return_loan_part(account& state, const borrowed_loan& loan,
                          const bucket_size& remaining)
    {
        const amount tokens = state.reduce_borrowed(loan.nonce, remaining);
        this->peers[loan.lender].returns.push_back(
            {.account = state.id,
             .nonce = loan.nonce,
             .remaining_rate = remaining.rate,
             .remaining_capacity = remaining.capacity,
             .tokens = tokens});
    }

    // Messages ------------------------------------------------------------------------

    account* find_account(std::uint64_t id, std::uint32_t& index)
    {
        const auto found = this->index_by_id.find(id);
        if (found == this->index_by_id.end())
            return nullptr;
        index = found->second;
        return &this->accounts[index];
    }

    void on_borrow(time_point now, std::uint32_t from, const borrow_item& item)
    {
        std::uint32_t index = 0;
        account* state = this->find_account(item.account, index);
        if (state == nullptr || state->find_granted(from, item.nonce) != nullptr)
            return;
        state->refill(now);
        grant_item answer{.account = item.account, .nonce = item.nonce};
        if (!this->draining && this->options.lending_enabled)
            this->lend(now, index, from, item, answer);
        peer_state& to = this->peers[from];
        if (to.grants.size() < max_queued_items)
            to.grants.push_back(answer);
        to.urgent = to.urgent || item.tokens > 0;
    }

    void lend(time_point now, std::uint32_t index, std::uint32_t from,
              const borrow_item& item, grant_item& answer)
    {
        account& state = this->accounts[index];
        granted_loan* old = state.find_granted(from, item.renewed_nonce);
        const bucket_size old_size = old != nullptr ? old->size : bucket_size{};
        const bucket_size unlent = state.unlent() + old_size;
        const bucket_size retained =
            larger_of_each(this->target(state) - state.all_borrowed(), {});
        const bucket_size spare = larger_of_each(unlent - retained, {});
        bucket_size size =
            smaller_of_each({.rate = item.rate, .capacity = item.capacity}, spare);
        amount tokens = this->tokens_to_give(index, item);
        // The borrower needs capacity for the tokens, and this VM, if it uses the
        // account, a capacity of at least one token.
        const amount reserve = in_use(state) ? one_token : 0;
        const amount with_tokens = std::min(
            old_size.capacity + tokens, std::max<amount>(unlent.capacity - reserve, 0));
        size.capacity = std::max(size.capacity, std::min(item.capacity, with_tokens));
        const amount requested = std::max<amount>(item.capacity - old_size.capacity, 0);
        const amount granted = std::max<amount>(size.capacity - old_size.capacity, 0);
        tokens = std::min(tokens, std::max<amount>(item.tokens - requested, 0) + granted);
        // Tokens that no longer fit into the local bucket are sent with the capacity.
        const amount remaining =
            state.usable().capacity - (size.capacity - old_size.capacity);
        if (size.capacity > old_size.capacity)
            tokens = std::max(tokens, std::min(state.tokens() - remaining,
                                               size.capacity - old_size.capacity));
        if (old != nullptr)
            state.reduce_granted(from, item.renewed_nonce,
                                 larger_of_each(old_size - size, {}));
        state.remove_tokens(tokens);
        if (!size.empty())
        {
            state.lend({.nonce = item.nonce,
                        .expires_at = now + this->options.loan_duration +
                                      this->options.loan_duration / 100 +
                                      std::chrono::milliseconds(50),
                        .size = size,
                        .borrower = from});
            this->activate(index);
            ++this->counts.loans_granted;
        }
        answer.renewed_nonce = item.renewed_nonce;
        answer.rate = size.rate;
        answer.capacity = size.capacity;
        answer.tokens = tokens;
        answer.spare_rate = std::max<amount>(spare.rate - size.rate, 0);
        answer.spare_tokens = state.tokens();
    }

    // Splits the local tokens in proportion to the demand of both VMs.
    amount tokens_to_give(std::uint32_t index, const borrow_item& item) const
    {
        const account& state = this->accounts[index];
        if (this->waiting_count(index) > 0)
            return 0;
        const double local_demand = in_use(state) ? state.demand : 0;
        const double remote_demand =
            std::max(static_cast<double>(item.demand) / one_token, 0.1);
        const double local_fraction = local_demand / (local_demand + remote_demand);
        const auto reserved =
            static_cast<amount>(local_fraction * static_cast<double>(state.tokens())) /
            one_token * one_token; // a fraction of a token is of no use here
        return std::min(item.tokens, state.tokens() - reserved);
    }

    void on_grant(time_point now, std::uint32_t from, const grant_item& item)
    {
        std::uint32_t index = 0;
        account* state = this->find_account(item.account, index);
        if (state == nullptr)
            return;
        state->refill(now);
        std::vector<pending_request>& pending = state->loans().pending;
        const auto found =
            std::find_if(pending.begin(), pending.end(),
                         [&](const pending_request& request) {
                             return request.nonce == item.nonce && request.lender == from;
                         });
        if (found == pending.end())
        {
            this->reject_grant(*state, from, item);
            return;
        }
        const pending_request request = *found;
        pending.erase(found);
        this->update_hint(now, *state, from, item);
        const borrowed_loan loan{.nonce = item.nonce,
                                 .requested_at = request.requested_at,
                                 .expires_at =
                                     request.requested_at + this->options.loan_duration,
                                 .size = {.rate = item.rate, .capacity = item.capacity},
                                 .lender = from};
        if (loan.expires_at <= now)
            return;
        this->accept_loan(*state, request.renewed_nonce, loan, item.tokens);
        this->activate(index);
        this->serve_waiting(now, index);
    }

    void accept_loan(account& state, std::uint64_t renewed_nonce,
                     const borrowed_loan& loan, amount tokens)
    {
        const borrowed_loan* old = state.find_borrowed(renewed_nonce);
        const bucket_size old_size = old != nullptr ? old->size : bucket_size{};
        const amount before = state.tokens() + tokens;
        state.replace_borrowed(renewed_nonce, loan, tokens);
        const bucket_size reduction = larger_of_each(old_size - loan.size, {});
        // Returns what the lender did not renew, with the tokens that no longer fit, so
        // that the lender need not wait for the old loan to expire.
        if (!reduction.empty())
            this->peers[loan.lender].returns.push_back(
                {.account = state.id,
                 .nonce = renewed_nonce,
                 .tokens = std::min(before - state.tokens(), reduction.capacity)});
    }

    // Returns a grant that was not expected: it came too late or twice. It is returned
    // without tokens, because those of a repeated grant may have been used already.
    void reject_grant(account& state, std::uint32_t from, const grant_item& item)
    {
        // Nothing is returned while the borrower uses the loan, either under this nonce
        // or under that of the renewed loan, which the lender has merged into this one.
        if (state.find_borrowed(item.nonce) != nullptr ||
            state.find_borrowed(item.renewed_nonce) != nullptr)
            return;
        if (item.rate > 0 || item.capacity > 0)
            this->peers[from].returns.push_back(
                {.account = state.id, .nonce = item.nonce});
    }

    void update_hint(time_point now, account& state, std::uint32_t from,
                     const grant_item& item)
    {
        std::vector<spare_hint>& hints = state.loans().hints;
        const auto existing =
            std::find_if(hints.begin(), hints.end(),
                         [&](const spare_hint& hint) { return hint.lender == from; });
        spare_hint& hint = existing == hints.end() ? hints.emplace_back() : *existing;
        hint = {.lender = from,
                .received_at = now,
                .rate = item.spare_rate,
                .tokens = item.spare_tokens};
    }

    void on_return(time_point now, std::uint32_t from, const return_item& item)
    {
        std::uint32_t index = 0;
        account* state = this->find_account(item.account, index);
        if (state == nullptr)
            return;
        state->refill(now);
        const bucket_size before = state->usable();
        state->reduce_granted(
            from, item.nonce,
            {.rate = item.remaining_rate, .capacity = item.remaining_capacity});
        const amount room = state->usable().capacity - before.capacity;
        state->add_tokens(std::clamp<amount>(item.tokens, 0, std::max<amount>(room, 0)));
        this->serve_waiting(now, index);
    }

    template <class Message, class Handle>
    result<void> handle(const wire::body& content, Handle each)
    {
        const result<Message> decoded = wire::decode<Message>(content);
        if (!decoded)
        {
            ++this->counts.dropped_items;
            return decoded.error();
        }
        for (const auto& item : decoded.value().items)
            each(item);
        return boost::outcome_v2::success();
    }

    template <class Message, class Item>
    void send_items(const peer_state& to, std::vector<Item>& items)
    {
        if (items.empty())
            return;
        Message message;
        const std::size_t count = std::min(items.size(), max_items);
        message.items.assign(items.begin(),
                             items.begin() + static_cast<std::ptrdiff_t>(count));
        items.erase(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(count));
        ++this->counts.messages;
        this->counts.items += count;
        this->message_credit -= 1;
        if (this->callbacks.send)
            this->callbacks.send(to.id, Message::type, wire::body(message));
    }

    void flush(time_point now)
    {
        for (std::size_t step = 0; step < this->peers.size(); ++step)
        {
            // Continues after the last peer served, so that a small message budget is
            // spread over all peers.
            this->flush_from = (this->flush_from + 1) % this->peers.size();
            peer_state& to = this->peers[this->flush_from];
            if (!to.has_items())
                continue;
            const duration gap =
                to.urgent ? this->options.flush_interval : this->options.review_interval;
            if (to.last_flush != time_point::min() && now - to.last_flush < gap)
                continue;
            if (this->message_credit < 1)
                break;
            to.last_flush = now;
            to.urgent = false;
            this->send_items<return_loan>(to, to.returns);
            this->send_items<grant>(to, to.grants);
            this->send_items<borrow>(to, to.borrows);
        }
    }

    // Admission -----------------------------------------------------------------------

    void activate(std::uint32_t index)
    {
        if (this->accounts[index].active)
            return;
        this->accounts[index].active = true;
        this->active.push_back(index);
    }

    void make_urgent(std::uint32_t index)
    {
        account& state = this->accounts[index];
        if (state.urgent || !this->options.lending_enabled)
            return;
        state.urgent = true;
        this->urgent.push_back(index);
    }

    // Tokens that peers are expected to grant within max_wait.
    amount expected_tokens(time_point now, std::uint32_t index) const
    {
        const account& state = this->accounts[index];
        if (!this->options.lending_enabled || !state.lendable)
            return 0;
        amount tokens = 0;
        const auto count =
            std::min<std::size_t>(this->peers.size(), this->options.fan_out);
        for (std::uint32_t peer = 0; peer < count; ++peer)
            if (this->peers[peer].live && now >= this->peers[peer].skip_until)
                tokens += this->estimate(now, state, peer).tokens;
        return tokens;
    }

    duration time_to_token(std::uint32_t index, std::size_t ahead) const
    {
        const account& state = this->accounts[index];
        return state.time_until(static_cast<amount>(ahead + 1) * one_token);
    }

    decision make_refusal(time_point now, std::uint32_t index, std::size_t ahead) const
    {
        const account& state = this->accounts[index];
        const duration here = this->time_to_token(index, ahead);
        if (here != duration::max())
            return {.result = outcome::refused, .retry_after = here};
        // The local bucket never yields a token: a retry can succeed when the next
        // granted loan ends, or by a loan of a peer.
        duration wait = max_loan_duration(this->options.loan_duration);
        if (const loan_records* loans = state.find_loans())
            for (const granted_loan& loan : loans->granted)
                wait = std::min(wait, loan.expires_at - now);
        const amount fleet_rate = std::max<amount>(state.total.rate, 1);
        const duration fleet{one_token * 1'000'000 / fleet_rate};
        return {.result = outcome::refused, .retry_after = std::max(wait, fleet)};
    }

    decision admit(time_point now, std::uint32_t index)
    {
        account& state = this->accounts[index];
        ++state.arrivals;
        this->activate(index);
        state.refill(now);
        const std::size_t ahead = this->waiting_count(index);
        if (ahead == 0 && state.take_token())
            return {.result = outcome::admitted};
        const duration here = this->time_to_token(index, ahead);
        if (here > local_refill_time)
            this->make_urgent(index);
        const bool refills = here <= this->options.max_wait;
        const auto queued = static_cast<amount>(ahead + 1) * one_token;
        if (!refills && this->expected_tokens(now, index) < queued - state.tokens())
            return this->make_refusal(now, index, ahead);
        const std::uint64_t ticket = this->next_ticket++;
        this->waiting[index].push_back(
            {.ticket = ticket, .deadline = now + this->options.max_wait});
        return {.result = outcome::waiting, .ticket = ticket};
    }

    // Admits waiting requests in order of arrival while there are tokens, and refuses
    // those whose wait is over.
    void serve_waiting(time_point now, std::uint32_t index)
    {
        const auto found = this->waiting.find(index);
        if (found == this->waiting.end())
            return;
        account& state = this->accounts[index];
        state.refill(now);
        std::deque<waiting_request>& queue = found->second;
        while (!queue.empty() && state.take_token())
        {
            this->resolutions.push_back({.ticket = queue.front().ticket,
                                         .answer = {.result = outcome::admitted}});
            queue.pop_front();
        }
        while (!queue.empty() && queue.front().deadline <= now)
        {
            const std::uint64_t ticket = queue.front().ticket;
            queue.pop_front();
            this->resolutions.push_back(
                {.ticket = ticket,
                 .answer = this->make_refusal(now, index, queue.size())});
        }
        const std::size_t remaining = queue.size();
        if (remaining == 0)
            this->waiting.erase(found);
        else if (this->time_to_token(index, remaining - 1) > local_refill_time)
            this->make_urgent(index);
    }

    void serve_all_waiting(time_point now)
    {
        std::vector<std::uint32_t> indices;
        indices.reserve(this->waiting.size());
        for (const auto& entry : this->waiting)
            indices.push_back(entry.first);
        // The order of a hash table differs between builds, and runs must be
        // reproducible.
        std::sort(indices.begin(), indices.end());
        for (const std::uint32_t index : indices)
            this->serve_waiting(now, index);
    }

    void request_urgent_loans(time_point now)
    {
        std::vector<std::uint32_t> indices;
        indices.swap(this->urgent);
        for (const std::uint32_t index : indices)
        {
            this->accounts[index].refill(now);
            this->request_loans(now, index, true);
            this->accounts[index].urgent = false;
        }
    }

    void review(time_point now)
    {
        const double elapsed =
            std::chrono::duration<double>(now - this->last_review).count();
        this->last_review = now;
        std::vector<std::uint32_t> still_active;
        for (const std::uint32_t index : this->active)
        {
            account& state = this->accounts[index];
            state.refill(now);
            state.expire_granted(now);
            const double arrival_rate = state.arrivals / std::max(elapsed, 1e-3);
            const double gain = 1 - std::exp(-elapsed / demand_time_constant_s(state));
            state.demand += static_cast<float>(gain * (arrival_rate - state.demand));
            state.arrivals = 0;
            this->review_loans(now, index);
            this->request_loans(now, index, false);
            state.drop_idle_records();
            const bool busy = in_use(state) || state.find_loans() != nullptr ||
                              this->waiting.contains(index);
            state.active = busy;
            if (busy)
                still_active.push_back(index);
            else
                state.demand = 0;
        }
        this->active.swap(still_active);
    }

    void refill_credit(time_point now)
    {
        const double elapsed =
            std::chrono::duration<double>(now - this->last_tick).count();
        this->last_tick = now;
        const double max_credit = std::max(this->options.max_messages_per_s / 10, 4.0);
        this->message_credit =
            std::min(max_credit,
                     this->message_credit + elapsed * this->options.max_messages_per_s);
    }

    // Hooks may call the limiter, so they run only when its state is consistent.
    void run_callbacks()
    {
        std::vector<resolution> ready;
        ready.swap(this->resolutions);
        for (const resolution& each : ready)
            if (this->callbacks.on_resolved)
                this->callbacks.on_resolved(each.ticket, each.answer);
    }

    limiter_options options;
    hooks callbacks;
    random_engine random;
    std::uint64_t next_nonce = 1;
    std::uint64_t next_ticket = 1;
    std::vector<account> accounts;
    std::vector<limits> active_limits; // by the index of the account
    std::unordered_map<std::uint32_t, std::vector<previous_limit>> previous_limits;
    time_point next_limit_end = time_point::max();
    std::unordered_map<std::string, std::uint32_t> index_by_name;
    std::unordered_map<std::uint64_t, std::uint32_t> index_by_id;
    std::vector<std::uint32_t> usable_shares;
    std::vector<peer_state> peers;
    std::unordered_map<vm_id, std::uint32_t> index_by_peer;
    std::unordered_map<std::uint32_t, std::uint32_t> share_holders; // share to peer index
    std::unordered_map<std::uint32_t, std::deque<waiting_request>> waiting;
    std::vector<std::uint32_t> active;
    std::vector<std::uint32_t> urgent;
    std::vector<resolution> resolutions;
    time_point last_call = time_point::min();
    time_point last_tick;
    time_point last_review;
    std::size_t flush_from = 0;
    double message_credit = 0;
    bool first_catalogue = true;
    bool draining = false;
    bool peers_without_shares_lend = true;
    limiter_counts counts;
};

limiter::limiter(limiter_options options, hooks callbacks)
    : state(std::make_unique<implementation>(std::move(options), std::move(callbacks)))
{
}

limiter::~limiter() = default;

void limiter::set_accounts(time_point now, const catalogue::catalogue& source,
                           bool active_everywhere)
{
    this->state->detect_pause(now);
    for (account& each : this->state->accounts)
        each.in_catalogue = false;
    for (const auto& [name, entry] : source.accounts)
    {
        const std::uint32_t index = this->state->add_account(name);
        this->state->accounts[index].in_catalogue = true;
        const bucket_size total{.rate = to_amount(entry.rate),
                                .capacity = to_amount(entry.burst)};
        this->state->set_limits(now, index,
                                this->state->limits_of(total, source.rate_shares),
                                active_everywhere);
    }
    for (std::uint32_t index = 0; index < this->state->accounts.size(); ++index)
        if (!this->state->accounts[index].in_catalogue)
            this->state->set_limits(now, index, {}, active_everywhere);
    this->state->first_catalogue = false;
}

void limiter::set_shares(time_point now, std::span<const std::uint32_t> usable)
{
    this->state->detect_pause(now);
    if (std::ranges::equal(usable, this->state->usable_shares))
        return;
    this->state->usable_shares.assign(usable.begin(), usable.end());
    this->state->update_all_owned(now);
}

void limiter::set_peers(time_point now, std::span<const peer> live)
{
    this->state->detect_pause(now);
    for (auto& each : this->state->peers)
        each.live = false;
    this->state->share_holders.clear();
    for (const peer& each : live)
    {
        const auto next = static_cast<std::uint32_t>(this->state->peers.size());
        const auto [found, added] = this->state->index_by_peer.emplace(each.id, next);
        if (added)
            this->state->peers.emplace_back().id = each.id;
        auto& updated = this->state->peers[found->second];
        updated.data_centre = each.data_centre;
        updated.shares = each.shares;
        updated.live = true;
        for (const std::uint32_t share : each.shares)
            this->state->share_holders[share] = found->second;
    }
}

decision limiter::admit(time_point now, std::string_view account)
{
    this->state->detect_pause(now);
    const auto found = this->state->index_by_name.find(std::string(account));
    if (found == this->state->index_by_name.end() ||
        !this->state->accounts[found->second].in_catalogue)
        return {.result = outcome::unknown_account};
    return this->state->admit(now, found->second);
}

void limiter::cancel(std::uint64_t ticket)
{
    for (auto at = this->state->waiting.begin(); at != this->state->waiting.end(); ++at)
    {
        const auto removed = std::erase_if(at->second, [&](const auto& each)
                                           { return each.ticket == ticket; });
        if (removed == 0)
            continue;
        if (at->second.empty())
            this->state->waiting.erase(at);
        return;
    }
}

result<void> limiter::receive(time_point now, const vm_id& from, std::string_view type,
                              const wire::body& content)
{
    implementation& self = *this->state;
    self.detect_pause(now);
    const auto sender = self.index_by_peer.find(from);
    if (sender == self.index_by_peer.end())
        return failure(errc::permission_denied,
                       "message from " + from.value +
                           ", which is not in the list of peers; check the VM list");
    const std::uint32_t index = sender->second;
    self.peers[index].skip_until = time_point::min();
    result<void> status =
        failure(errc::invalid_argument, "unknown message type " + std::string(type) +
                                            "; check that all daemons run a compatible "
                                            "release");
    if (type == borrow::type)
        status = self.handle<borrow>(content, [&](const borrow_item& item)
                                     { self.on_borrow(now, index, item); });
    else if (type == grant::type)
        status = self.handle<grant>(content, [&](const grant_item& item)
                                    { self.on_grant(now, index, item); });
    else if (type == return_loan::type)
        status = self.handle<return_loan>(content, [&](const return_item& item)
                                          { self.on_return(now, index, item); });
    self.run_callbacks();
    return status;
}

void limiter::tick(time_point now)
{
    implementation& self = *this->state;
    self.detect_pause(now);
    self.refill_credit(now);
    self.expire_previous_limits(now);
    if (now - self.last_review >= self.options.review_interval)
        self.review(now);
    self.serve_all_waiting(now);
    self.request_urgent_loans(now);
    self.flush(now);
    self.run_callbacks();
}

void limiter::drain(time_point now)
{
    this->state->detect_pause(now);
    this->state->draining = true;
}

time_point limiter::last_loan_end() const
{
    time_point end;
    for (const account& each : this->state->accounts)
        if (const loan_records* loans = each.find_loans())
            for (const granted_loan& loan : loans->granted)
                end = std::max(end, loan.expires_at);
    return end;
}

limiter_counts limiter::counts() const
{
    return this->state->counts;
}

std::size_t limiter::memory() const
{
    // Approximate bytes of a node in each of the two hash tables, plus the active limits.
    constexpr std::size_t index_size = 64 + 32 + sizeof(limits);
    std::size_t size = sizeof(implementation);
    for (const account& each : this->state->accounts)
        size += each.memory() + index_size;
    return size;
}

} // namespace pistachiospan::limit
