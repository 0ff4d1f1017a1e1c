// Claims the rows share/<scope>/<k> of the store. Each row assigns one share of a limit
// of the fleet to one VM.
//
// Example:
//
//     share_claimer claimer({.self = {"vm-1"}, .self_incarnation = 7,
//                            .address = "10.0.0.1:7001", .scope = "rate"},
//                           table, send_to_peer);
//     claimer.set_share_count(now, catalogue.rate_shares);
//     claimer.on_vm_list(now, vms);       // after each read of the VM list
//     claimer.on_peer_message(now, peer); // on each authenticated message of a peer
//     claimer.tick(now);                  // call about every 50 ms
//     limiter.set_shares(now, claimer.usable(now));
//
// A share has one user at a time:
//
// - After each change of its holder it stays unused for `idle_time`.
//
// - After a pause of its process, a holder does not use the share until a new write
//   to the row succeeds or a majority of the VMs vouches for the holder.
//
// - A row is taken over only if it is not renewed, its holder is absent from the VM list,
//   a majority of the VMs has not heard the holder, and no queried VM has.
//
// Write load: one transaction per VM and scope every renew_interval (20 s), which for one
// scope is 0.45/s with 9 VMs and 36/s with 720 VMs, plus at most one write per second for
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

// Value of a row, stored as JSON.
struct holder
{
    vm_id vm;
    incarnation started = 0;
    std::string address;
    std::uint64_t renewal = 0; // incremented by each write of the holder
    bool operator==(const holder&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(holder, vm, started, address, renewal)

// Asks a peer for how long it has not heard the VM `about`. If `about` is the sender, the
// peer is also asked to vouch that no other VM can have taken over the shares that the
// sender held `unconfirmed_us` microseconds ago.
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
    // Time for which a share stays unused after a change of its holder. At least the
    // maximum duration of a loan by the limiter: limit::max_loan_duration(3 s).
    duration idle_time = std::chrono::milliseconds(3130);
    // Time from the last use of a share to the removal of its row; all loans on it must
    // end within it.
    duration release_delay = std::chrono::milliseconds(3130);
    duration renew_interval = std::chrono::seconds(20);
    duration scan_interval = std::chrono::seconds(20);
    // A holder must be absent and silent for this long before its share is taken over.
    duration absence_timeout = std::chrono::seconds(60);
    // A longer gap between two ticks counts as a pause of the process.
    duration pause_limit = std::chrono::seconds(2);
    duration retry_interval = std::chrono::seconds(1);
    // Answers of peers that arrive later are ignored.
    duration query_timeout = std::chrono::seconds(2);
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
    // `rows` must outlive the claimer.
    share_claimer(claimer_options options, store::table& rows, send_hook send);

    // Sets the number of shares of the scope. Held shares with a higher index are
    // released.
    void set_share_count(time_point now, std::uint32_t count);

    // Applies a VM list that was just read from the platform.
    void on_vm_list(time_point now, std::span<const store::vm_entry> vms);

    // Records that an authenticated message of `peer` has arrived.
    void on_peer_message(time_point now, const vm_id& peer);

    // Handles a message of type "share_query" or "share_answer" of this scope. Errors:
    // invalid_argument for any other type, or the error of the decoder.
    result<void> receive(time_point now, const vm_id& from, std::string_view type,
                         const wire::body& content);

    void tick(time_point now);

    // Returns the shares that this VM may use now, in ascending order.
    std::vector<std::uint32_t> usable(time_point now) const;

    // Stops using all shares and removes their rows after release_delay. No share is
    // claimed afterwards.
    void release(time_point now);

    // True after release() once no row names this VM.
    bool released() const;

    // Holders of all claimed shares as last read, for limit::peer::shares.
    const std::map<std::uint32_t, holder>& holders() const
    {
        return this->known_holders;
    }

    statistics counts() const
    {
        return this->stats;
    }

private:
    struct held_share
    {
        store::revision rev = 0;
        holder value;
        std::uint64_t sent_renewal = 0; // highest one sent to the store
        time_point usable_from;
        // Renewal that, once stored, confirms the share after a pause; 0: confirmed.
        std::uint64_t confirming_renewal = 0;
        bool retired = false; // no longer used; removed at remove_at
        time_point remove_at;
    };

    struct known_row
    {
        store::revision rev = 0;
        time_point since; // first read with this revision
        std::optional<holder> value;
    };

    struct peer_contact
    {
        time_point last_heard_at;
        // End of the latest silence of at least long_silence.
        time_point last_silence_end = time_point::min();
    };

    struct takeover
    {
        std::uint32_t share = 0;
        vm_id vm;
        std::uint64_t nonce = 0;
        time_point queried_at;
        std::set<vm_id> silent_peers; // they have not heard the VM for absence_timeout
        bool heard_by_peer = false;
    };

    // Answers of the store that the next tick handles. Callbacks of the store reach it by
    // a weak pointer, so that they may outlive the claimer.
    struct pending_answers
    {
        std::optional<result<std::vector<store::row>>> rows;
        std::optional<result<store::transaction_outcome>> transaction;
    };

    std::string row_key(std::uint32_t share) const;
    std::optional<std::uint32_t> parse_key(std::string_view key) const;
    bool is_own(const holder& value) const;
    bool is_predecessor(const holder& value) const;
    holder make_holder(std::uint64_t renewal) const;
    std::size_t quorum(const vm_id& holder_id) const;
    duration silence_of(time_point now, const vm_id& vm) const;
    bool vouches_for(time_point now, const vm_id& vm, duration unconfirmed) const;

    void detect_pause(time_point now);
    void handle_answers(time_point now);
    void on_rows(time_point now, const std::vector<store::row>& rows);
    void on_row(time_point now, std::uint32_t share, const store::row& row);
    void on_write_result(time_point now,
                         const result<store::transaction_outcome>& outcome);
    void on_committed(time_point now, const std::vector<store::row>& written);
    void take_over(time_point now);
    void scan(time_point now);
    void write(time_point now, std::vector<store::conditional_write> writes);
    bool remove_retired(time_point now);
    bool renew(time_point now);
    bool claim(time_point now);
    std::vector<std::uint32_t> claimable() const;
    bool holder_gone(time_point now, const known_row& row) const;
    void start_takeover(time_point now);
    void query_peers(time_point now, const vm_id& about, std::uint64_t nonce,
                     duration unconfirmed);
    void request_vouchers(time_point now);
    void release_for_newcomer(time_point now);
    void retire(time_point now, std::uint32_t share);
    std::size_t rank() const;
    std::size_t fair_count() const;
    std::size_t held_count() const;
    bool below_fair_count() const;
    duration jittered(duration interval);
    duration backoff();

    claimer_options options;
    store::table& rows;
    send_hook send;
    random_engine engine;
    std::shared_ptr<pending_answers> answers = std::make_shared<pending_answers>();
    std::uint32_t share_count = 0;
    std::map<std::uint32_t, held_share> held_shares;
    std::map<std::uint32_t, known_row> known_rows;
    std::map<std::uint32_t, holder> known_holders;
    std::map<vm_id, bool> vms; // VM list: true if the VM is leaving
    std::map<vm_id, time_point> absent_since;
    std::map<vm_id, peer_contact> peers;
    std::map<vm_id, time_point> without_share_since; // listed VMs without a share
    std::optional<takeover> candidate;
    std::set<vm_id> vouchers;
    std::uint64_t vouch_nonce = 0;
    std::uint64_t next_nonce = 1;
    std::vector<store::conditional_write> in_flight;
    time_point last_vm_list_at = time_point::min();
    time_point last_tick = time_point::min();
    time_point started_at = time_point::min();
    time_point observing_since = time_point::min();
    time_point paused_since = time_point::min(); // last tick before the latest pause
    time_point resumed_at = time_point::min();
    time_point write_sent;
    time_point next_scan = time_point::min();
    time_point next_renew = time_point::max();
    time_point next_write = time_point::min();
    time_point next_query = time_point::min();
    bool request_pending = false; // a store request is in progress
    bool rescan_required = true;  // the rows must be read before the next write
    bool releasing = false;
    bool rows_fresh = false; // the rows were read after the last write
    unsigned failures = 0;   // consecutive failed store requests
    statistics stats;
};

} // namespace pistachiospan::share

#endif
