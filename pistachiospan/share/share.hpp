// Claims the rows share/<scope>/<k> of the store, which say who may use which part of the
// fleet's limits.
//
// Example:
//
//     share_claimer claimer({.self = {"vm-1"}, .self_incarnation = 7,
//                            .address = "10.0.0.1:7001", .scope = "rate"},
//                           table, send_to_peer);
//     claimer.set_share_count(now, catalogue.rate_shares);
//     claimer.on_vm_list(now, vms);     // each time the VM list was read
//     claimer.on_peer_message(now, peer);     // each authenticated message of a peer
//     claimer.tick(now);            // about every 50 ms
//     limiter.set_shares(now, claimer.usable(now));
//
// A share has one user at a time: it is idle for `idle_time` after each change of hands,
// a holder that was paused stops using it until a write of its own confirms it or a
// majority of VMs vouch for it, and only rows that nobody renews, of a VM that nobody
// lists or hears, are taken over.
//
// Writes: one transaction per VM and scope for each renew_interval (20 s), that is 0.45/s
// at 9 VMs and 36/s at 720 VMs for one scope; besides, at most one write a second for
// each claim in progress.

#ifndef PISTACHIOSPAN_SHARE_SHARE_HPP
#define PISTACHIOSPAN_SHARE_SHARE_HPP

#include "pistachiospan/base/base.hpp"
#include "pistachiospan/store/store.hpp"
#include "pistachiospan/wire/wire.hpp"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace pistachiospan::share
{

// Value of a row.
struct holder
{
    vm_id vm;
    incarnation started = 0;
    std::string address;
    std::uint64_t renewal = 0; // rises with each write of the holder
    bool operator==(const holder&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(holder, vm, started, address, renewal)

// Asks a peer when it last heard a VM. With `about` the sender itself: asks to vouch that
// the sender still holds what it held `unconfirmed_us` ago.
struct share_query
{
    static constexpr std::string_view type = "share_query";
    std::string scope;
    vm_id about;
    std::uint64_t nonce = 0;
    std::uint64_t unconfirmed_us = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(share_query, scope, about, nonce, unconfirmed_us)

struct share_answer
{
    static constexpr std::string_view type = "share_answer";
    std::string scope;
    vm_id about;
    std::uint64_t nonce = 0;
    std::uint64_t unheard_us = 0; // time for which the peer has not heard the VM
    bool vouches = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(share_answer, scope, about, nonce, unheard_us, vouches)

struct claimer_options
{
    vm_id self;
    incarnation self_incarnation = 0;
    std::string address;
    std::string scope = "rate";
    std::uint64_t seed = 0;
    // At least one maximum loan of the limiter: limit::max_loan_time(3 s).
    duration idle_time = std::chrono::milliseconds(3130);
    // From the end of the use of a share to the removal of its row: loans end by then.
    duration release_delay = std::chrono::milliseconds(3130);
    duration renew_interval = std::chrono::seconds(20);
    duration scan_interval = std::chrono::seconds(20);
    duration absence_timeout = std::chrono::seconds(60); // before a share is taken over
    duration pause_limit = std::chrono::seconds(2);      // a longer gap between ticks
    duration retry_interval = std::chrono::seconds(1);
    duration query_timeout = std::chrono::seconds(2); // for which answers of peers count
};

struct statistics
{
    std::uint64_t writes = 0;
    std::uint64_t scans = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown_outcomes = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t malformed_rows = 0;
};

using send_hook = std::function<void(const vm_id& to, std::string_view type,
                                     const wire::body& content)>;

class share_claimer
{
public:
    // `rows` outlives the claimer.
    share_claimer(claimer_options options, store::table& rows, send_hook send);

    // Number of shares of the scope. Shares beyond it are released.
    void set_share_count(time_point now, std::uint32_t count);

    // The VM list as just read from the platform.
    void on_vm_list(time_point now, std::span<const store::vm_entry> vms);

    // An authenticated message of `peer` has arrived.
    void on_peer_message(time_point now, const vm_id& peer);

    // Handles a message of type "share_query" or "share_answer" of this scope.
    result<void> receive(time_point now, const vm_id& from, std::string_view type,
                         const wire::body& content);

    void tick(time_point now);

    // The shares that this VM may use now, ascending.
    std::vector<std::uint32_t> usable(time_point now) const;

    // Stops using all shares and removes their rows once the loans on them have ended.
    // Nothing is claimed afterwards.
    void release(time_point now);

    // True after release() when no row names this VM any more.
    bool released() const;

    // Holders of the other shares as last read, for limit::peer::shares.
    const std::map<std::uint32_t, holder>& holders() const
    {
        return this->seen_holders;
    }

    statistics counts() const
    {
        return this->tally;
    }

private:
    struct held_share
    {
        store::revision rev = 0;
        holder value;
        std::uint64_t sent = 0; // highest renewal ever sent to the store
        time_point usable_from;
        // Renewal that confirms the share after a pause; 0: it is confirmed.
        std::uint64_t confirmed_by = 0;
        bool leaving = false; // not used any more
        time_point remove_at;
    };

    struct seen_row
    {
        store::revision rev = 0;
        time_point since; // first read with this revision
        std::optional<holder> value;
    };

    struct heard_peer
    {
        time_point last;
        time_point lapse_end = time_point::min(); // end of the newest long silence
    };

    struct takeover
    {
        std::uint32_t share = 0;
        vm_id vm;
        std::uint64_t nonce = 0;
        time_point asked;
        std::set<vm_id> silent; // peers that did not hear it either
        bool heard = false;
    };

    // Answers of the store, handled by the next tick.
    struct inbox
    {
        std::optional<result<std::vector<store::row>>> rows;
        std::optional<result<store::transaction_outcome>> written;
    };

    std::string key(std::uint32_t share) const;
    std::optional<std::uint32_t> share_of(std::string_view key) const;
    bool mine(const holder& value) const;
    bool earlier_self(const holder& value) const;
    holder next_value(std::uint64_t renewal) const;
    std::size_t quorum(const vm_id& holder_of) const;
    duration unheard(time_point now, const vm_id& vm) const;
    bool vouches_for(time_point now, const vm_id& vm, duration unconfirmed) const;

    void detect_pause(time_point now);
    void take_answers(time_point now);
    void on_rows(time_point now, const std::vector<store::row>& rows);
    void on_row(time_point now, std::uint32_t share, const store::row& row);
    void on_written(time_point now, const result<store::transaction_outcome>& outcome);
    void on_committed(time_point now, const std::vector<store::row>& written);
    void take_over(time_point now);
    void scan(time_point now);
    void write(time_point now, std::vector<store::conditional_write> writes);
    bool remove_left(time_point now);
    bool renew(time_point now);
    bool claim(time_point now);
    std::vector<std::uint32_t> claimable() const;
    bool gone(time_point now, const seen_row& row) const;
    void start_takeover(time_point now);
    void ask_peers(time_point now, const vm_id& about, std::uint64_t nonce,
                   duration unconfirmed);
    void seek_vouchers(time_point now);
    void spread(time_point now);
    void leave(time_point now, std::uint32_t share);
    std::size_t rank() const;
    std::size_t fair_count() const;
    std::size_t held_count() const;
    bool lacking() const;
    duration jittered(duration interval);
    duration backoff();

    claimer_options options;
    store::table& rows;
    send_hook send;
    random_engine engine;
    std::shared_ptr<inbox> answers = std::make_shared<inbox>();
    std::uint32_t share_count = 0;
    std::map<std::uint32_t, held_share> held;
    std::map<std::uint32_t, seen_row> seen;
    std::map<std::uint32_t, holder> seen_holders;
    std::map<vm_id, bool> vms; // listed, and whether leaving
    std::map<vm_id, time_point> absent_since;
    std::map<vm_id, heard_peer> peers;
    std::map<vm_id, time_point> without_share; // listed VMs that hold no share
    std::optional<takeover> candidate;
    std::set<vm_id> vouchers;
    std::uint64_t vouch_nonce = 0;
    std::uint64_t next_nonce = 1;
    std::vector<store::conditional_write> in_flight;
    time_point last_list = time_point::min();
    time_point last_tick = time_point::min();
    time_point started = time_point::min();
    time_point observing_since = time_point::min();
    time_point paused_since = time_point::min(); // last tick before the newest pause
    time_point resumed_at = time_point::min();
    time_point write_sent;
    time_point next_scan = time_point::min();
    time_point next_renew = time_point::max();
    time_point next_write = time_point::min();
    time_point next_query = time_point::min();
    bool busy = false;     // an answer of the store is awaited
    bool read_back = true; // rows must be read before anything is written
    bool releasing = false;
    bool fresh_rows = false; // read since the last write
    unsigned failures = 0;   // of the store, in a row
    statistics tally;
};

} // namespace pistachiospan::share

#endif
