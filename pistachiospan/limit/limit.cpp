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

// Demand follows the arrivals with this time constant, in seconds: time for about ten
// requests, because a shorter time shows every request of a small account as a change.
double demand_time_s(const account& at)
{
    const double part =
        static_cast<double>(at.total.rate) / one_token / std::max(at.homes, 1U);
    return std::clamp(10 / std::max(part, 0.01), 2.0, 20.0);
}
// Below this demand an account counts as unused here.
constexpr float least_demand = 0.02F;
// After this time a peer's report of spare amounts says little.
constexpr duration hint_life = std::chrono::milliseconds(1000);
// A loan is renewed in this last part of its time.
constexpr int renew_part = 2;
// Items of one message; an item takes at most 70 bytes.
constexpr std::size_t max_items = 2000;
// Items that wait for one peer; beyond them the message budget is far too small.
constexpr std::size_t max_waiting_items = 4 * max_items;
// Tokens fetched ahead of demand, in seconds of demand.
constexpr double prefetch_s = 0.05;
// Waiting requests that the local bucket serves within this time ask no peer.
constexpr duration self_service = std::chrono::milliseconds(30);

amount to_amount(double tokens)
{
    constexpr double largest = 1e9;
    return static_cast<amount>(std::clamp(tokens, 0.0, largest) * one_token);
}

} // namespace

struct limiter::implementation
{
    // Limits of an earlier catalogue that still bound what this VM may use.
    struct earlier_limits
    {
        limits of;
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
        decision made;
    };

    struct peer_state
    {
        vm_id id;
        std::string data_centre;
        std::vector<std::uint32_t> shares;
        bool live = false;
        bool urgent = false;
        time_point last_flush = time_point::min();
        time_point silent_until = time_point::min(); // did not answer
        std::vector<borrow_item> asks;
        std::vector<grant_item> grants;
        std::vector<return_item> returns;

        bool has_items() const
        {
            return !this->asks.empty() || !this->grants.empty() || !this->returns.empty();
        }
    };

    // What an account lacks at this VM.
    struct shortage
    {
        capacity_rate size;
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
        // Nonces of one process never meet those of its predecessor.
        const std::string seed = this->options.self.value + '/' +
                                 std::to_string(this->options.self_incarnation);
        this->engine.seed(hash_bytes(seed, this->options.seed));
        this->next_nonce = this->engine() | 1;
        this->message_credit = this->options.max_messages_per_s;
    }

    // Accounts and shares -------------------------------------------------------------

    limits limits_of(const capacity_rate& total, std::uint32_t shares) const
    {
        return {.total = total,
                .shares = shares,
                .homes = count_homes(total, shares, this->options.min_homes)};
    }

    std::uint32_t add_account(const std::string& name)
    {
        const auto found = this->by_name.find(name);
        if (found != this->by_name.end())
            return found->second;
        const auto index = static_cast<std::uint32_t>(this->accounts.size());
        account& added = this->accounts.emplace_back();
        added.name = name;
        added.id = hash_bytes(name);
        this->by_name.emplace(name, index);
        added.lendable = this->by_id.emplace(added.id, index).second;
        this->current.emplace_back();
        return index;
    }

    void set_limits(time_point now, std::uint32_t index, const limits& next, bool settled)
    {
        limits& in_force = this->current[index];
        if (in_force == next)
            return;
        const bool fresh = in_force == limits{} && !this->first_catalogue;
        const time_point until = now + this->options.activation_bound +
                                 max_loan_duration(this->options.loan_duration);
        if (settled)
            this->earlier.erase(index);
        else if (!fresh)
        {
            this->earlier[index].push_back({.of = in_force, .until = until});
            this->next_limit_end = std::min(this->next_limit_end, until);
        }
        in_force = next;
        this->accounts[index].total = next.total;
        this->accounts[index].homes = next.homes;
        this->update_own(now, index);
    }

    void update_own(time_point now, std::uint32_t index)
    {
        account& at = this->accounts[index];
        at.refill(now);
        capacity_rate own;
        const auto bounds = this->earlier.find(index);
        for (const std::uint32_t share : this->usable)
        {
            capacity_rate part = part_of(at.id, share, this->current[index]);
            if (bounds != this->earlier.end())
                for (const earlier_limits& old : bounds->second)
                    part = least(part, part_of(at.id, share, old.of));
            own += part;
        }
        at.set_own(own);
    }

    void update_all_own(time_point now)
    {
        for (std::uint32_t index = 0; index < this->accounts.size(); ++index)
            this->update_own(now, index);
    }

    void end_earlier_limits(time_point now)
    {
        if (now < this->next_limit_end)
            return;
        this->next_limit_end = time_point::max();
        for (auto at = this->earlier.begin(); at != this->earlier.end();)
        {
            std::erase_if(at->second,
                          [&](const earlier_limits& old) { return old.until <= now; });
            const std::uint32_t index = at->first;
            for (const earlier_limits& old : at->second)
                this->next_limit_end = std::min(this->next_limit_end, old.until);
            if (at->second.empty())
                at = this->earlier.erase(at);
            else
                ++at;
            this->update_own(now, index);
        }
    }

    // A gap between two calls means that the process was paused: other VMs may have taken
    // over its shares. The owner of the limiter gives them back when they are confirmed.
    void observe(time_point now)
    {
        const bool paused = this->last_call != time_point::min() &&
                            now - this->last_call > this->options.max_pause;
        this->last_call = std::max(this->last_call, now);
        if (!paused || this->usable.empty())
            return;
        this->usable.clear();
        this->update_all_own(now);
    }

    // Targets -------------------------------------------------------------------------

    static bool in_use(const account& at)
    {
        return at.demand > least_demand;
    }

    amount target_rate(const account& at) const
    {
        if (!in_use(at))
            return 0;
        return std::min(at.total.rate,
                        to_amount(at.demand * this->options.headroom_factor));
    }

    // Capacity in proportion to the part of the whole rate that arrives here.
    amount target_capacity(const account& at) const
    {
        if (!in_use(at) || at.total.rate == 0)
            return 0;
        const double part = static_cast<double>(this->target_rate(at)) /
                            static_cast<double>(at.total.rate);
        const double target = part * static_cast<double>(at.total.capacity);
        return std::min(at.total.capacity, static_cast<amount>(target) + one_token);
    }

    capacity_rate target(const account& at) const
    {
        return {.rate = this->target_rate(at), .capacity = this->target_capacity(at)};
    }

    std::size_t waiting_count(std::uint32_t index) const
    {
        const auto found = this->waiting.find(index);
        return found == this->waiting.end() ? 0 : found->second.size();
    }

    shortage find_shortage(std::uint32_t index) const
    {
        const account& at = this->accounts[index];
        const capacity_rate held = at.held();
        capacity_rate coming;
        amount tokens_coming = 0;
        if (const lending* loans = at.loans_if_any())
            for (const pending_request& request : loans->pending)
            {
                if (request.late)
                    continue;
                coming += request.extra;
                tokens_coming += request.tokens;
            }
        shortage lacking;
        lacking.size = most(this->target(at) - held - coming, {});
        // Below the demand itself a loan is worth its messages; the estimate is noisy.
        if (held.rate + coming.rate >= to_amount(at.demand))
            lacking.size.rate = 0;
        if (2 * (held.capacity + coming.capacity) >= this->target_capacity(at))
            lacking.size.capacity = 0;
        const amount queue = static_cast<amount>(this->waiting_count(index)) * one_token;
        const amount ahead = to_amount(at.demand * prefetch_s);
        // Peers hold fractions of tokens: more than one is asked for the last one.
        const amount wanted = queue + ahead + (queue > 0 ? one_token : 0);
        if (at.urgent)
            lacking.tokens = std::max<amount>(wanted - at.tokens() - tokens_coming, 0);
        // Tokens need room.
        const amount room = held.capacity + coming.capacity - at.tokens() - tokens_coming;
        lacking.size.capacity = std::max(lacking.size.capacity, lacking.tokens - room);
        return lacking;
    }

    // Borrowing -----------------------------------------------------------------------

    bool may_hold(const account& at, const peer_state& peer, const limits& of) const
    {
        if (peer.shares.empty())
            return this->peers_without_shares_lend;
        return std::any_of(peer.shares.begin(), peer.shares.end(),
                           [&](std::uint32_t share)
                           { return is_home(at.id, share, of); });
    }

    candidate estimate(time_point now, const account& at, std::uint32_t peer) const
    {
        const amount homes = std::max<amount>(at.homes, 1);
        candidate made{.peer = peer,
                       .rate = at.total.rate / homes,
                       .capacity = at.total.capacity / homes,
                       .tokens = std::max(one_token / 2, at.total.capacity / homes / 2),
                       .near =
                           this->peers[peer].data_centre == this->options.data_centre};
        if (const lending* loans = at.loans_if_any())
            for (const spare_hint& hint : loans->hints)
                if (hint.lender == peer && now - hint.heard < hint_life)
                {
                    const double age =
                        std::chrono::duration<double>(now - hint.heard).count();
                    const auto refilled =
                        static_cast<amount>(age * static_cast<double>(hint.rate));
                    made.tokens = std::min(hint.tokens + refilled, at.total.capacity);
                    made.rate = hint.rate;
                }
        return made;
    }

    bool has_pending(const account& at, std::uint32_t peer) const
    {
        const lending* loans = at.loans_if_any();
        return loans != nullptr &&
               std::any_of(loans->pending.begin(), loans->pending.end(),
                           [&](const pending_request& request)
                           { return request.lender == peer && !request.late; });
    }

    // A request for tokens does not wait for the answer to a slower one.
    bool has_urgent(const account& at, std::uint32_t peer) const
    {
        const lending* loans = at.loans_if_any();
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
        const account& at = this->accounts[index];
        std::vector<candidate> found;
        const auto add = [&](std::uint32_t peer)
        {
            const peer_state& state = this->peers[peer];
            const bool asked =
                urgent ? this->has_urgent(at, peer) : this->has_pending(at, peer);
            if (state.live && now >= state.silent_until && !asked)
                found.push_back(this->estimate(now, at, peer));
        };
        const limits& of = this->current[index];
        if (of.homes < of.shares)
        {
            for (const std::uint32_t share : find_homes(at.id, of))
                if (const auto holder = this->holders.find(share);
                    holder != this->holders.end())
                    add(holder->second);
        }
        else
            for (std::uint32_t peer = 0; peer < this->peers.size(); ++peer)
                add(peer);
        std::shuffle(found.begin(), found.end(), this->engine);
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

    void ask(time_point now, std::uint32_t index, bool urgent)
    {
        account& at = this->accounts[index];
        if (!this->options.lending_enabled || !at.lendable || !at.known)
            return;
        this->drop_late_requests(now, at);
        shortage lacking = this->find_shortage(index);
        if (lacking.empty())
            return;
        for (const candidate& from : this->find_candidates(now, index, urgent))
        {
            const capacity_rate extra = {
                .rate = std::min(lacking.size.rate, from.rate),
                .capacity = std::min(lacking.size.capacity, from.capacity)};
            const amount tokens = std::min(lacking.tokens, from.tokens);
            if (extra.rate == 0 && tokens == 0 && from.tokens == 0)
                continue;
            if (extra.empty() && tokens == 0)
                continue;
            this->ask_peer(now, index, from.peer, extra, tokens, urgent);
            lacking.size -= extra;
            lacking.tokens -= tokens;
        }
    }

    void ask_peer(time_point now, std::uint32_t index, std::uint32_t peer,
                  const capacity_rate& extra, amount tokens, bool urgent)
    {
        account& at = this->accounts[index];
        peer_state& to = this->peers[peer];
        if (to.asks.size() >= max_waiting_items)
            return;
        // While a renewal is on its way the loan is not renewed again.
        const borrowed_loan* old =
            this->has_pending(at, peer) ? nullptr : at.find_borrowed_of(peer);
        const capacity_rate wanted =
            extra + (old != nullptr ? old->size : capacity_rate{});
        const std::uint64_t renew = old != nullptr ? old->nonce : 0;
        const std::uint64_t nonce = this->next_nonce++;
        at.loans().pending.push_back({.nonce = nonce,
                                      .renew = renew,
                                      .requested = now,
                                      .extra = extra,
                                      .tokens = tokens,
                                      .lender = peer});
        to.asks.push_back({.account = at.id,
                           .nonce = nonce,
                           .renew = renew,
                           .rate = wanted.rate,
                           .capacity = wanted.capacity,
                           .tokens = tokens,
                           .demand = to_amount(at.demand)});
        to.urgent = to.urgent || urgent;
    }

    // Requests for tokens and their answers leave at once; others wait for a batch.
    duration answer_time(const pending_request& request) const
    {
        return this->options.request_timeout +
               (request.tokens > 0 ? duration{0} : 2 * this->options.review_interval);
    }

    void drop_late_requests(time_point now, account& at)
    {
        if (at.loans_if_any() == nullptr)
            return;
        for (pending_request& request : at.loans().pending)
        {
            if (request.late || now - request.requested < this->answer_time(request))
                continue;
            request.late = true;
            this->peers[request.lender].silent_until =
                now + 3 * this->options.request_timeout;
        }
        // A late grant is still good: the lender has moved the renewed loan into it.
        std::erase_if(at.loans().pending,
                      [&](const pending_request& request) {
                          return now - request.requested >=
                                 this->options.loan_duration / renew_part;
                      });
    }

    // Renews loans in their last part and gives back what is not needed.
    void review_loans(time_point now, std::uint32_t index)
    {
        account& at = this->accounts[index];
        if (at.loans_if_any() == nullptr || at.loans_if_any()->borrowed.empty())
            return;
        const capacity_rate target = this->target(at);
        capacity_rate excess = at.held() - target;
        const bool much = excess.rate > target.rate / 2 + one_token ||
                          excess.capacity > target.capacity / 2 + 2 * one_token;
        const std::vector<borrowed_loan> loans = at.loans_if_any()->borrowed;
        for (const borrowed_loan& loan : loans)
        {
            const bool due = loan.until - now < this->options.loan_duration / renew_part;
            const bool asked = this->has_pending(at, loan.lender);
            if (asked || (!due && !much))
                continue;
            capacity_rate drop = least(most(excess, {}), loan.size);
            if (!much)
                drop = {};
            excess -= drop;
            if (!drop.empty())
                this->give_back(at, loan, loan.size - drop);
            if (due && !(loan.size - drop).empty())
                this->ask_peer(now, index, loan.lender, {}, 0, false);
        }
    }

    void give_back(account& at, const borrowed_loan& loan, const capacity_rate& left)
    {
        const amount tokens = at.reduce_borrowed(loan.nonce, left);
        this->peers[loan.lender].returns.push_back({.account = at.id,
                                                    .nonce = loan.nonce,
                                                    .left_rate = left.rate,
                                                    .left_capacity = left.capacity,
                                                    .tokens = tokens});
    }

    // Messages ------------------------------------------------------------------------

    account* find_account(std::uint64_t id, std::uint32_t& index)
    {
        const auto found = this->by_id.find(id);
        if (found == this->by_id.end())
            return nullptr;
        index = found->second;
        return &this->accounts[index];
    }

    void on_borrow(time_point now, std::uint32_t from, const borrow_item& item)
    {
        std::uint32_t index = 0;
        account* at = this->find_account(item.account, index);
        if (at == nullptr || at->find_given(from, item.nonce) != nullptr)
            return;
        at->refill(now);
        grant_item answer{.account = item.account, .nonce = item.nonce};
        if (!this->draining && this->options.lending_enabled)
            this->lend(now, index, from, item, answer);
        peer_state& to = this->peers[from];
        if (to.grants.size() < max_waiting_items)
            to.grants.push_back(answer);
        to.urgent = to.urgent || item.tokens > 0;
    }

    void lend(time_point now, std::uint32_t index, std::uint32_t from,
              const borrow_item& item, grant_item& answer)
    {
        account& at = this->accounts[index];
        given_loan* old = at.find_given(from, item.renew);
        const capacity_rate old_size = old != nullptr ? old->size : capacity_rate{};
        const capacity_rate free = at.free() + old_size;
        const capacity_rate needed = most(this->target(at) - at.all_borrowed(), {});
        const capacity_rate spare = most(free - needed, {});
        capacity_rate size = least({.rate = item.rate, .capacity = item.capacity}, spare);
        amount tokens = this->tokens_to_give(index, item);
        // Tokens are of no use to a borrower without capacity for them, nor a bucket of
        // less than one token to this VM.
        const amount kept = in_use(at) ? one_token : 0;
        const amount with_tokens = std::min(old_size.capacity + tokens,
                                            std::max<amount>(free.capacity - kept, 0));
        size.capacity = std::max(size.capacity, std::min(item.capacity, with_tokens));
        const amount asked = std::max<amount>(item.capacity - old_size.capacity, 0);
        const amount given = std::max<amount>(size.capacity - old_size.capacity, 0);
        tokens = std::min(tokens, std::max<amount>(item.tokens - asked, 0) + given);
        // Tokens that no longer fit here go with the capacity.
        const amount left = at.held().capacity - (size.capacity - old_size.capacity);
        if (size.capacity > old_size.capacity)
            tokens = std::max(
                tokens, std::min(at.tokens() - left, size.capacity - old_size.capacity));
        if (old != nullptr)
            at.reduce_given(from, item.renew, most(old_size - size, {}));
        at.take_amount(tokens);
        if (!size.empty())
        {
            at.lend({.nonce = item.nonce,
                     .back_at = now + this->options.loan_duration +
                                this->options.loan_duration / 100 +
                                std::chrono::milliseconds(50),
                     .size = size,
                     .borrower = from});
            this->activate(index);
            ++this->counts.loans_granted;
        }
        answer.renew = item.renew;
        answer.rate = size.rate;
        answer.capacity = size.capacity;
        answer.tokens = tokens;
        answer.spare_rate = std::max<amount>(spare.rate - size.rate, 0);
        answer.spare_tokens = at.tokens();
    }

    // The tokens here are split in proportion to the demand on both sides.
    amount tokens_to_give(std::uint32_t index, const borrow_item& item) const
    {
        const account& at = this->accounts[index];
        if (this->waiting_count(index) > 0)
            return 0;
        const double here = in_use(at) ? at.demand : 0;
        const double there = std::max(static_cast<double>(item.demand) / one_token, 0.1);
        const double part = here / (here + there);
        const auto keep = static_cast<amount>(part * static_cast<double>(at.tokens())) /
                          one_token * one_token; // a fraction serves nobody here
        return std::min(item.tokens, at.tokens() - keep);
    }

    void on_grant(time_point now, std::uint32_t from, const grant_item& item)
    {
        std::uint32_t index = 0;
        account* at = this->find_account(item.account, index);
        if (at == nullptr)
            return;
        at->refill(now);
        std::vector<pending_request>& pending = at->loans().pending;
        const auto asked =
            std::find_if(pending.begin(), pending.end(),
                         [&](const pending_request& request) {
                             return request.nonce == item.nonce && request.lender == from;
                         });
        if (asked == pending.end())
        {
            this->refuse_grant(*at, from, item);
            return;
        }
        const pending_request request = *asked;
        pending.erase(asked);
        this->note_hint(now, *at, from, item);
        const borrowed_loan loan{.nonce = item.nonce,
                                 .requested = request.requested,
                                 .until = request.requested + this->options.loan_duration,
                                 .size = {.rate = item.rate, .capacity = item.capacity},
                                 .lender = from};
        if (loan.until <= now)
            return;
        this->accept(*at, request.renew, loan, item.tokens);
        this->activate(index);
        this->serve(now, index);
    }

    void accept(account& at, std::uint64_t renew, const borrowed_loan& loan,
                amount tokens)
    {
        const borrowed_loan* old = at.find_borrowed(renew);
        const capacity_rate old_size = old != nullptr ? old->size : capacity_rate{};
        const amount before = at.tokens() + tokens;
        at.replace_borrowed(renew, loan, tokens);
        const capacity_rate less = most(old_size - loan.size, {});
        // The lender may use what it did not renew at once, with the tokens on it.
        if (!less.empty())
            this->peers[loan.lender].returns.push_back(
                {.account = at.id,
                 .nonce = renew,
                 .tokens = std::min(before - at.tokens(), less.capacity)});
    }

    // A grant that came too late or twice. What is not in use goes back at once; it comes
    // back empty, because a repeated grant may have been used.
    void refuse_grant(account& at, std::uint32_t from, const grant_item& item)
    {
        // The lender has moved the loan `renew` into this one, so this one is what the
        // borrower still uses under the old name.
        if (at.find_borrowed(item.nonce) != nullptr ||
            at.find_borrowed(item.renew) != nullptr)
            return;
        if (item.rate > 0 || item.capacity > 0)
            this->peers[from].returns.push_back({.account = at.id, .nonce = item.nonce});
    }

    void note_hint(time_point now, account& at, std::uint32_t from,
                   const grant_item& item)
    {
        std::vector<spare_hint>& hints = at.loans().hints;
        const auto known =
            std::find_if(hints.begin(), hints.end(),
                         [&](const spare_hint& hint) { return hint.lender == from; });
        spare_hint& hint = known == hints.end() ? hints.emplace_back() : *known;
        hint = {.lender = from,
                .heard = now,
                .rate = item.spare_rate,
                .tokens = item.spare_tokens};
    }

    void on_return(time_point now, std::uint32_t from, const return_item& item)
    {
        std::uint32_t index = 0;
        account* at = this->find_account(item.account, index);
        if (at == nullptr)
            return;
        at->refill(now);
        const capacity_rate before = at->held();
        at->reduce_given(from, item.nonce,
                         {.rate = item.left_rate, .capacity = item.left_capacity});
        const amount room = at->held().capacity - before.capacity;
        at->add_tokens(std::clamp<amount>(item.tokens, 0, std::max<amount>(room, 0)));
        this->serve(now, index);
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
            // Each turn starts with another peer, so a small budget serves all.
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
            this->send_items<borrow>(to, to.asks);
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
        account& at = this->accounts[index];
        if (at.urgent || !this->options.lending_enabled)
            return;
        at.urgent = true;
        this->urgent.push_back(index);
    }

    // Tokens that peers are expected to give within the wait.
    amount hope(time_point now, std::uint32_t index) const
    {
        const account& at = this->accounts[index];
        if (!this->options.lending_enabled || !at.lendable)
            return 0;
        amount tokens = 0;
        const auto count =
            std::min<std::size_t>(this->peers.size(), this->options.fan_out);
        for (std::uint32_t peer = 0; peer < count; ++peer)
            if (this->peers[peer].live && now >= this->peers[peer].silent_until)
                tokens += this->estimate(now, at, peer).tokens;
        return tokens;
    }

    duration time_to_token(std::uint32_t index, std::size_t ahead) const
    {
        const account& at = this->accounts[index];
        return at.time_until(static_cast<amount>(ahead + 1) * one_token);
    }

    decision refusal(time_point now, std::uint32_t index, std::size_t ahead) const
    {
        const account& at = this->accounts[index];
        const duration here = this->time_to_token(index, ahead);
        if (here != duration::max())
            return {.result = outcome::refused, .retry_after = here};
        // No bucket here: wait for the next loan to come back, or for a peer's loan.
        duration wait = max_loan_duration(this->options.loan_duration);
        if (const lending* loans = at.loans_if_any())
            for (const given_loan& loan : loans->given)
                wait = std::min(wait, loan.back_at - now);
        const amount fleet_rate = std::max<amount>(at.total.rate, 1);
        const duration fleet{one_token * 1'000'000 / fleet_rate};
        return {.result = outcome::refused, .retry_after = std::max(wait, fleet)};
    }

    decision admit(time_point now, std::uint32_t index)
    {
        account& at = this->accounts[index];
        ++at.arrivals;
        this->activate(index);
        at.refill(now);
        const std::size_t ahead = this->waiting_count(index);
        if (ahead == 0 && at.take())
            return {.result = outcome::admitted};
        const duration here = this->time_to_token(index, ahead);
        if (here > self_service)
            this->make_urgent(index);
        const bool refills = here <= this->options.max_wait;
        const auto queued = static_cast<amount>(ahead + 1) * one_token;
        if (!refills && this->hope(now, index) < queued - at.tokens())
            return this->refusal(now, index, ahead);
        const std::uint64_t ticket = this->next_ticket++;
        this->waiting[index].push_back(
            {.ticket = ticket, .deadline = now + this->options.max_wait});
        return {.result = outcome::waiting, .ticket = ticket};
    }

    // Admits waiting requests in the order of arrival while there are tokens.
    void serve(time_point now, std::uint32_t index)
    {
        const auto found = this->waiting.find(index);
        if (found == this->waiting.end())
            return;
        account& at = this->accounts[index];
        at.refill(now);
        std::deque<waiting_request>& queue = found->second;
        while (!queue.empty() && at.take())
        {
            this->resolutions.push_back(
                {.ticket = queue.front().ticket, .made = {.result = outcome::admitted}});
            queue.pop_front();
        }
        while (!queue.empty() && queue.front().deadline <= now)
        {
            const std::uint64_t ticket = queue.front().ticket;
            queue.pop_front();
            this->resolutions.push_back(
                {.ticket = ticket, .made = this->refusal(now, index, queue.size())});
        }
        const std::size_t left = queue.size();
        if (left == 0)
            this->waiting.erase(found);
        else if (this->time_to_token(index, left - 1) > self_service)
            this->make_urgent(index);
    }

    void serve_all(time_point now)
    {
        std::vector<std::uint32_t> indices;
        indices.reserve(this->waiting.size());
        for (const auto& entry : this->waiting)
            indices.push_back(entry.first);
        // The order of a hash table differs between builds; the runs must not.
        std::sort(indices.begin(), indices.end());
        for (const std::uint32_t index : indices)
            this->serve(now, index);
    }

    void ask_urgent(time_point now)
    {
        std::vector<std::uint32_t> indices;
        indices.swap(this->urgent);
        for (const std::uint32_t index : indices)
        {
            this->accounts[index].refill(now);
            this->ask(now, index, true);
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
            account& at = this->accounts[index];
            at.refill(now);
            at.take_back(now);
            const double arriving = at.arrivals / std::max(elapsed, 1e-3);
            const double gain = 1 - std::exp(-elapsed / demand_time_s(at));
            at.demand += static_cast<float>(gain * (arriving - at.demand));
            at.arrivals = 0;
            this->review_loans(now, index);
            this->ask(now, index, false);
            at.drop_idle_records();
            const bool busy = in_use(at) || at.loans_if_any() != nullptr ||
                              this->waiting.contains(index);
            at.active = busy;
            if (busy)
                still_active.push_back(index);
            else
                at.demand = 0;
        }
        this->active.swap(still_active);
    }

    void refill_credit(time_point now)
    {
        const double elapsed =
            std::chrono::duration<double>(now - this->last_tick).count();
        this->last_tick = now;
        const double most_credit = std::max(this->options.max_messages_per_s / 10, 4.0);
        this->message_credit =
            std::min(most_credit,
                     this->message_credit + elapsed * this->options.max_messages_per_s);
    }

    // Hooks may call back into the limiter, so they run when its state is consistent.
    void report()
    {
        std::vector<resolution> done;
        done.swap(this->resolutions);
        for (const resolution& each : done)
            if (this->callbacks.on_resolved)
                this->callbacks.on_resolved(each.ticket, each.made);
    }

    limiter_options options;
    hooks callbacks;
    random_engine engine;
    std::uint64_t next_nonce = 1;
    std::uint64_t next_ticket = 1;
    std::vector<account> accounts;
    std::vector<limits> current; // in force, by the index of the account
    std::unordered_map<std::uint32_t, std::vector<earlier_limits>> earlier;
    time_point next_limit_end = time_point::max();
    std::unordered_map<std::string, std::uint32_t> by_name;
    std::unordered_map<std::uint64_t, std::uint32_t> by_id;
    std::vector<std::uint32_t> usable;
    std::vector<peer_state> peers;
    std::unordered_map<vm_id, std::uint32_t> peer_index;
    std::unordered_map<std::uint32_t, std::uint32_t> holders; // share to peer
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
                           bool settled)
{
    this->state->observe(now);
    for (account& each : this->state->accounts)
        each.known = false;
    for (const auto& [name, entry] : source.accounts)
    {
        const std::uint32_t index = this->state->add_account(name);
        this->state->accounts[index].known = true;
        const capacity_rate total{.rate = to_amount(entry.rate),
                                  .capacity = to_amount(entry.burst)};
        this->state->set_limits(
            now, index, this->state->limits_of(total, source.rate_shares), settled);
    }
    for (std::uint32_t index = 0; index < this->state->accounts.size(); ++index)
        if (!this->state->accounts[index].known)
            this->state->set_limits(now, index, {}, settled);
    this->state->first_catalogue = false;
}

void limiter::set_shares(time_point now, std::span<const std::uint32_t> usable)
{
    this->state->observe(now);
    if (std::ranges::equal(usable, this->state->usable))
        return;
    this->state->usable.assign(usable.begin(), usable.end());
    this->state->update_all_own(now);
}

void limiter::set_peers(time_point now, std::span<const peer> live)
{
    this->state->observe(now);
    for (auto& known : this->state->peers)
        known.live = false;
    this->state->holders.clear();
    for (const peer& each : live)
    {
        const auto next = static_cast<std::uint32_t>(this->state->peers.size());
        const auto [at, added] = this->state->peer_index.emplace(each.id, next);
        if (added)
            this->state->peers.emplace_back().id = each.id;
        auto& known = this->state->peers[at->second];
        known.data_centre = each.data_centre;
        known.shares = each.shares;
        known.live = true;
        for (const std::uint32_t share : each.shares)
            this->state->holders[share] = at->second;
    }
}

decision limiter::admit(time_point now, std::string_view account)
{
    this->state->observe(now);
    const auto found = this->state->by_name.find(std::string(account));
    if (found == this->state->by_name.end() ||
        !this->state->accounts[found->second].known)
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
    implementation& at = *this->state;
    at.observe(now);
    const auto sender = at.peer_index.find(from);
    if (sender == at.peer_index.end())
        return failure(errc::permission_denied,
                       "message of " + from.value +
                           ", which is not in the list of peers; check the VM list");
    const std::uint32_t index = sender->second;
    at.peers[index].silent_until = time_point::min();
    result<void> done =
        failure(errc::invalid_argument, "unknown message type " + std::string(type) +
                                            "; check that all daemons run a compatible "
                                            "release");
    if (type == borrow::type)
        done = at.handle<borrow>(content, [&](const borrow_item& item)
                                 { at.on_borrow(now, index, item); });
    else if (type == grant::type)
        done = at.handle<grant>(content, [&](const grant_item& item)
                                { at.on_grant(now, index, item); });
    else if (type == return_loan::type)
        done = at.handle<return_loan>(content, [&](const return_item& item)
                                      { at.on_return(now, index, item); });
    at.report();
    return done;
}

void limiter::tick(time_point now)
{
    implementation& at = *this->state;
    at.observe(now);
    at.refill_credit(now);
    at.end_earlier_limits(now);
    if (now - at.last_review >= at.options.review_interval)
        at.review(now);
    at.serve_all(now);
    at.ask_urgent(now);
    at.flush(now);
    at.report();
}

void limiter::drain(time_point now)
{
    this->state->observe(now);
    this->state->draining = true;
}

time_point limiter::last_loan_end() const
{
    time_point end;
    for (const account& each : this->state->accounts)
        if (const lending* loans = each.loans_if_any())
            for (const given_loan& loan : loans->given)
                end = std::max(end, loan.back_at);
    return end;
}

limiter_counts limiter::counts() const
{
    return this->state->counts;
}

std::size_t limiter::memory() const
{
    // A node of each of the two hash tables, and the limits in force.
    constexpr std::size_t index_size = 64 + 32 + sizeof(limits);
    std::size_t size = sizeof(implementation);
    for (const account& each : this->state->accounts)
        size += each.memory() + index_size;
    return size;
}

} // namespace pistachiospan::limit
