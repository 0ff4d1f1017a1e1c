// Fleet-wide rate and burst of client accounts, split into shares that move by loans.
//
// Example:
//
//     limiter rates({.self = {"vm-1"}, .self_incarnation = 7, .seed = 1},
//                   {.send = send_to_peer, .on_resolved = answer_waiting_request});
//     rates.set_accounts(now, catalogue);
//     rates.set_peers(now, peers);
//     rates.set_shares(now, claimer.usable(now));
//     const decision made = rates.admit(now, "north");
//     if (made.result == outcome::refused)
//         refuse(made.retry_after);
//
// Bound: in every window [t, t + d] all limiters together admit at most burst + rate * d
// of an account, provided that the shares given to them are distinct. Each limiter has
// one token bucket per account. Its missing tokens (capacity - tokens) are never lowered
// by a transfer, only moved, so the sum over the fleet is at least the level of one
// bucket of the whole rate and burst.
//
// Call tick() about every 5 ms. `now` must be read after the event that is decided on,
// not cached from an earlier turn of the loop: a paused process would admit in the past.

#ifndef PISTACHIOSPAN_LIMIT_LIMIT_HPP
#define PISTACHIOSPAN_LIMIT_LIMIT_HPP

#include "pistachiospan/base/base.hpp"
#include "pistachiospan/catalogue/catalogue.hpp"
#include "pistachiospan/limit/internal/messages.hpp"
#include "pistachiospan/wire/wire.hpp"

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace pistachiospan::limit
{

// Longest time for which a loan of `loan_duration` can be in use after it was granted,
// with 1% of clock drift and the time of one exchange. A share is left idle this long
// after it changed hands.
constexpr duration max_loan_duration(duration loan_duration)
{
    return loan_duration + loan_duration / 100 + std::chrono::milliseconds(100);
}

enum class outcome
{
    admitted,        // one token was taken
    waiting,         // hooks::on_resolved is called with the ticket within max_wait
    refused,         // no token in time; try again after retry_after
    unknown_account, // the catalogue in force does not name the account
};

struct decision
{
    outcome result = outcome::refused;
    duration retry_after{0};  // refused: when a token is expected
    std::uint64_t ticket = 0; // waiting: names the request
};

struct peer
{
    vm_id id;
    std::string data_centre;
    std::vector<std::uint32_t> shares; // shares that it holds, if known
};

struct hooks
{
    std::function<void(const vm_id& to, std::string_view type, const wire::body& content)>
        send;
    std::function<void(std::uint64_t ticket, const decision& made)> on_resolved;
};

struct limiter_options
{
    vm_id self;
    incarnation self_incarnation = 0;
    std::string data_centre;
    std::uint64_t seed = 0;
    duration loan_duration = std::chrono::seconds(3);
    duration activation_bound =
        std::chrono::seconds(12);                 // slowest VM to activate an edit
    duration max_pause = std::chrono::seconds(2); // a longer gap loses the shares
    duration max_wait = std::chrono::milliseconds(60);
    duration review_interval = std::chrono::milliseconds(100);
    duration flush_interval = std::chrono::milliseconds(5); // least time between messages
    duration request_timeout = std::chrono::milliseconds(80); // to one peer, and to its
                                                              // answer
    double max_messages_per_s = 400; // most messages sent to all peers together
    double headroom_factor = 1.1;    // rate held, as a multiple of the demand
    std::size_t fan_out = 16;        // most peers asked for one account
    std::uint32_t min_homes = 16;    // shares over which an account is spread at least
    bool lending_enabled = true;     // false: static shares, the baseline of measurements
};

struct limiter_counts
{
    std::uint64_t messages = 0;
    std::uint64_t items = 0;
    std::uint64_t loans_granted = 0;
    std::uint64_t dropped_items = 0; // malformed or over the message budget
};

class limiter
{
public:
    limiter(limiter_options options, hooks callbacks);
    ~limiter();
    limiter(const limiter&) = delete;
    limiter& operator=(const limiter&) = delete;
    limiter(limiter&&) = delete;
    limiter& operator=(limiter&&) = delete;

    // Puts the accounts of a catalogue in force. A decrease applies at once, an increase
    // after activation_bound and one maximum loan. `settled`: every peer is known to have
    // this version in force, so nothing needs to be waited for. The first catalogue of a
    // process must wait too unless it is settled: peers may still use the earlier limits.
    void set_accounts(time_point now, const catalogue::catalogue& source,
                      bool settled = false);

    // The shares that this VM may use now (share_claimer::usable()). A share begins
    // empty.
    void set_shares(time_point now, std::span<const std::uint32_t> usable);

    // The live peers, without this VM.
    void set_peers(time_point now, std::span<const peer> live);

    decision admit(time_point now, std::string_view account);

    // Forgets a waiting request, for example because its caller has gone.
    void cancel(std::uint64_t ticket);

    // Handles a message of type "borrow", "grant" or "return_loan". An error changes no
    // state.
    result<void> receive(time_point now, const vm_id& from, std::string_view type,
                         const wire::body& content);

    void tick(time_point now);

    // Stops lending. The share may be released in the store when last_loan_end() has
    // passed.
    void drain(time_point now);

    // When the last loan given ends; the epoch if none is out.
    time_point last_loan_end() const;

    limiter_counts counts() const;

    // Approximate bytes of memory held.
    std::size_t memory() const;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace pistachiospan::limit

#endif
