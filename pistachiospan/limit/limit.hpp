// Rate limiting of client accounts over a whole fleet. Each VM owns a share of an
// account's rate and burst, and VMs lend each other what they do not use.
//
// Example:
//
//     limiter rates({.self = {"vm-1"}, .self_incarnation = 7, .seed = 1},
//                   {.send = send_to_peer, .on_resolved = answer_waiting_request});
//     rates.set_accounts(now, catalogue);
//     rates.set_peers(now, peers);
//     rates.set_shares(now, claimer.usable(now));
//     const decision answer = rates.admit(now, "north");
//     if (answer.result == outcome::refused)
//         refuse(answer.retry_after);
//
// Bound: in every window [t, t + d] all limiters together admit at most burst + rate * d
// of an account, provided that no two of them have the same share. Each limiter has one
// token bucket per account. A transfer never lowers the sum of the missing tokens
// (capacity - tokens) over the fleet, only moves them, so this sum is at least that of a
// single bucket of the whole rate and burst.
//
// Call tick() about every 5 ms. `now` must be read after the event that it is passed for,
// not cached from an earlier iteration of the event loop: after a pause the process would
// admit requests at a time in the past.

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
    refused,         // no token within max_wait; retry after retry_after
    unknown_account, // the active catalogue does not name the account
};

struct decision
{
    outcome result = outcome::refused;
    duration retry_after{0};  // refused: when a token is expected
    std::uint64_t ticket = 0; // waiting: identifies the request
};

struct peer
{
    vm_id id;
    std::string data_centre;
    std::vector<std::uint32_t> shares; // shares that it owns; empty if not known
};

struct hooks
{
    std::function<void(const vm_id& to, std::string_view type, const wire::body& content)>
        send;
    std::function<void(std::uint64_t ticket, const decision& answer)> on_resolved;
};

struct limiter_options
{
    vm_id self;
    incarnation self_incarnation = 0;
    std::string data_centre;
    std::uint64_t seed = 0;
    duration loan_duration = std::chrono::seconds(3);
    duration activation_bound =
        std::chrono::seconds(12);                 // until every VM has activated an edit
    duration max_pause = std::chrono::seconds(2); // a longer one gives up the shares
    duration max_wait = std::chrono::milliseconds(60);
    duration review_interval = std::chrono::milliseconds(100);
    duration flush_interval = std::chrono::milliseconds(5); // least time between messages
    duration request_timeout = std::chrono::milliseconds(80); // to one peer, and to its
                                                              // answer
    double max_messages_per_s = 400; // limit on messages to all peers together
    double headroom_factor = 1.1;    // target rate as a multiple of the demand
    std::size_t fan_out = 16;        // limit on peers asked for one account
    std::uint32_t min_homes = 16;    // least shares that own a part of an account
    bool lending_enabled = true;     // false: static shares (baseline of measurements)
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

    // Activates the account limits of a catalogue. A decrease applies at once, an
    // increase after activation_bound and max_loan_duration(). With `active_everywhere`,
    // every peer is known to have this version active, so that increases apply at once
    // too. Otherwise even the first catalogue of a process waits: peers may still use
    // earlier limits.
    void set_accounts(time_point now, const catalogue::catalogue& source,
                      bool active_everywhere = false);

    // Sets the shares that this VM may use now (share_claimer::usable()). A new share
    // starts without tokens.
    void set_shares(time_point now, std::span<const std::uint32_t> usable);

    // Sets the live peers, without this VM.
    void set_peers(time_point now, std::span<const peer> live);

    decision admit(time_point now, std::string_view account);

    // Drops a waiting request, for example because its caller has disconnected.
    void cancel(std::uint64_t ticket);

    // Handles a message of type "borrow", "grant" or "return_loan". Fails without effect
    // on accounts for an unknown sender (permission_denied), an unknown type or malformed
    // content.
    result<void> receive(time_point now, const vm_id& from, std::string_view type,
                         const wire::body& content);

    void tick(time_point now);

    // Stops lending. The share may be released in the store when last_loan_end() has
    // passed.
    void drain(time_point now);

    // End of the last granted loan; the epoch if there is none.
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
