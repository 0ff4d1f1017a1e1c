// Enforces limits on requests that all VMs together must keep to.
//
// Example:
//
//     ledger divided({}); // on the coordinator
//     divided.set_limits(now, limits_of(active.accounts(), 6), false);
//     divided.set_remote(now, account, {.demand = 40}); // sum of other data centres
//     const admission decision = divided.admit(now, account);
//     if (!decision.admitted)
//         refuse(decision.retry_after);
//
// The coordinator of each data centre admits requests for all VMs there; they query it
// for every request. A limit is enforced across the fleet in one of two ways:
//
// - An account with a large burst is divided among the data centres (`ledger`): each
//   holds a token bucket of (rate * share, burst * share), where share is its fraction of
//   the known demand. The shares of data centres that have the same reports sum to one.
//   Reports lag, so the sum may exceed one while demand moves. An unreachable data centre
//   keeps the share that it had: it may be partitioned and still admit requests, and it
//   computes its share in the same way.
// - An account whose share would be a few tokens is pooled: the coordinator of one data
//   centre holds the whole limit (`pool`) and the others query it.
//
// A VM that gets no answer uses a small fallback share (`requester`).

#ifndef PISTACHIOSPAN_ALLOWANCE_ALLOWANCE_HPP
#define PISTACHIOSPAN_ALLOWANCE_ALLOWANCE_HPP

#include "pistachiospan/configuration/configuration.hpp"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace pistachiospan::allowance
{

// A rate and burst for all VMs together.
struct limit
{
    std::string name; // of a client account or an upstream
    double rate = 0;  // requests per second; 0: no limit
    double burst = 0; // requests that may exceed the rate at once
    // Held whole by one data centre. Otherwise divided among all of them.
    bool pooled = false;
};

// The limits of the accounts in a fleet with so many data centres. An account is pooled
// if its burst, divided among them, would be a few tokens each, so that legitimate
// requests would be refused.
std::vector<limit> limits_of(std::span<const configuration::account> accounts,
                             std::size_t data_centres);

struct ledger_options
{
    // Time constant of the exponentially decaying demand estimate.
    duration demand_time_constant = std::chrono::milliseconds(1500);
    // Demand added to each data centre, as a fraction of the account's rate, so that one
    // without requests can admit its first.
    double min_demand = 0.02;
    // Relative change of the last reported demand that triggers a new report.
    double report_threshold = 0.2;
    // Further reports that repeat a change, because reports get lost.
    std::uint32_t report_repeats = 2;
    // Smallest capacity of a bucket, in tokens: below one, nothing could be admitted.
    double min_capacity = 1.0;
};

struct admission
{
    bool admitted = false;
    duration retry_after{0}; // if refused: when a token is expected
    double share = 1;        // of the account's limit, at the bucket that decided
};

// One account's demand, as exchanged between coordinators.
struct demand
{
    std::string account;
    double rate = 0; // requests per second, admitted or not
};

// What the other data centres use of one account.
struct remote_usage
{
    double demand = 0;            // requests per second at reachable data centres
    double unreachable_share = 0; // of the limit, which unreachable ones may still use
};

// Token buckets of the divided accounts at the coordinator of one data centre.
class ledger
{
public:
    explicit ledger(ledger_options options);

    // Known limits keep their tokens, up to the new capacity. Others start with a full
    // bucket only if `new_limits` says that the limits are new to the fleet; a restarted
    // VM would otherwise grant the burst again.
    void set_limits(time_point now, std::span<const limit> limits, bool new_limits);

    // A VM that takes over the data centre knows from the last answers of the coordinator
    // before it that the data centre had this share. While a part of the data centre and
    // of the others is not reachable, its reachable members use no more of it.
    void inherit_share(time_point now, std::string_view account, double share);

    // Number of reachable data centres, including this one.
    void set_sharing_count(std::size_t count);
    // Fraction of this data centre's members that are reachable, 0 to 1. The share that
    // the others had when they fell silent is kept for them: they may be partitioned and
    // still use it.
    void set_reachable_fraction(time_point now, double fraction);
    // Call after each change of the known remote usage, and after each report.
    void set_remote(time_point now, std::string_view account, remote_usage remote);
    // Adds `change` to the demand of the other data centres.
    void change_remote(time_point now, const demand& change);

    // Counts the request as demand and takes a token if there is one. Accounts without a
    // limit are always admitted.
    admission admit(time_point now, std::string_view account);
    // Returns the token of a request that was not run.
    void give_back(time_point now, std::string_view account);

    // The local demand for the other data centres: of all accounts if `full`, otherwise
    // of those that changed since the last report. Shares are computed from the last
    // reported demand, so that all data centres use the same figures.
    std::vector<demand> report_demand(time_point now, bool full);

    // Notes that the last reported demand was sent to the others with this report number.
    void note_reported(std::uint64_t report);
    // All data centres that share the accounts have received the reports up to this one.
    // A share grows only as far as the others know the reason: a data centre that is
    // partitioned keeps using the share that it had.
    void confirm(time_point now, std::uint64_t report);

    // The share of the account's limit that can be used here, 0 to 1.
    double usable_share_of(std::string_view account) const;
    // The same, including what is kept for unreachable members.
    double total_share_of(std::string_view account) const;

private:
    struct reported_share
    {
        std::uint64_t report = 0;
        double share = 0;
    };

    struct bucket
    {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        double demand = 0;                 // requests per second
        double reported_demand = 0;        // in the last report
        std::uint32_t pending_repeats = 0; // reports that still repeat it
        remote_usage remote;
        double silent_share = 0; // kept for members that are not reachable
        std::optional<double> inherited_share;
        // Usable shares at the last reports, oldest first.
        std::deque<double> recent_shares;
        double confirmed_share = 1;
        std::deque<reported_share> reported_shares; // unconfirmed, oldest first
        time_point refilled_at;
        time_point decayed_at;
    };

    void refill(time_point now, bucket& entry) const;
    void decay(time_point now, bucket& entry) const;
    double usable_share(const bucket& entry) const;
    double total_share(const bucket& entry) const;
    double claimed_share(const bucket& entry) const;
    double capacity(const bucket& entry) const;

    ledger_options options;
    std::size_t sharing_count = 1;
    double reachable_fraction = 1;
    std::unordered_map<std::string, bucket> buckets;
};

// The data centre that holds a pooled account; empty if there are none. All VMs that know
// the same data centres choose the same one, and losing one data centre moves only its
// accounts (rendezvous hashing).
std::string holder_of(std::string_view account,
                      std::span<const std::string> data_centres);

struct token_pool_options
{
    // If set, the capacity is the rate over this time, and the account's burst is
    // ignored.
    std::optional<duration> capacity_time = std::nullopt;
    double min_capacity = 1.0; // tokens
};

// Token buckets of limits of which this VM may use a given share.
class pool
{
public:
    explicit pool(token_pool_options options);

    // See ledger::set_limits().
    void set_limits(time_point now, std::span<const limit> limits, bool new_limits);
    // The share of all limits that may be used here, 0 to 1.
    void set_share(time_point now, double share);
    // Overrides the common share for one limit.
    void set_share(time_point now, std::string_view name, double share);
    // Limits that are not known admit every request.
    admission admit(time_point now, std::string_view name);
    void give_back(time_point now, std::string_view name);
    // The share that was set for the one limit within the last `max_age`.
    std::optional<double> recent_share(time_point now, std::string_view name,
                                       duration max_age) const;

private:
    struct bucket
    {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        double share = 0;
        std::optional<time_point> share_set_at; // for this limit alone
        time_point refilled_at;
    };

    double capacity(const bucket& entry) const;
    void refill(time_point now, bucket& entry) const;

    token_pool_options options;
    double share = 1;
    std::unordered_map<std::string, bucket> buckets;
};

// A request of a VM for a token, or the return of one.
struct token_query
{
    std::uint64_t serial = 0; // assigned by the VM that sends the query
    std::string limit;        // its name
    // The holder of the pooled limit does not answer: take the token from the reserve of
    // this data centre.
    bool from_reserve = false;
    bool returned = false; // returns a token: the request was not run
};

struct token_answer
{
    std::uint64_t serial = 0;
    std::string limit;      // its name
    bool is_decided = true; // false: the VM does not know the limit
    admission decision;
    // The share of the limit that the VM may use while it gets no answers; 0: unchanged.
    double fallback_share = 0;
};

std::string encode(const token_query& query);
std::string encode(const token_answer& answer);
// Errors: invalid_argument.
result<token_query> decode_query(std::string_view bytes);
result<token_answer> decode_answer(std::string_view bytes);

struct authority_options
{
    std::size_t data_centres = 1;
    // A limit that is not known is no limit. Otherwise its queries are not decided.
    bool admits_unknown = true;
    ledger_options divided = {};
    token_pool_options pooled = {};
    // Used while the holder does not answer; almost without burst.
    token_pool_options reserve = {.capacity_time = std::chrono::milliseconds(300)};
};

// Answers the token queries of the VMs of a data centre, and those of all VMs for the
// pooled limits that this data centre holds.
class authority
{
public:
    explicit authority(authority_options options);

    void set_limits(time_point now, std::span<const limit> limits, bool new_limits);
    // Number of VMs of this data centre that may take requests, and the fraction of them
    // that is reachable.
    void set_members(time_point now, std::size_t known, double reachable_fraction);
    // Fraction of all VMs that is reachable. The unreachable ones may use the rest of the
    // pooled limits.
    void set_reachable_vm_fraction(time_point now, double fraction);

    token_answer answer(time_point now, const token_query& query);

    // The divided limits, for the exchange of demand between coordinators.
    ledger& divided()
    {
        return this->divided_limits;
    }

private:
    authority_options options;
    ledger divided_limits;
    pool held_limits;
    pool reserve;
    std::unordered_map<std::string, bool> pooled; // by name
    std::size_t members = 1;
};

struct requester_options
{
    // Intervals between repeated queries and limits on the wait for an answer, within the
    // data centre and to others.
    duration near_resend = std::chrono::milliseconds(30);
    duration near_timeout = std::chrono::milliseconds(150);
    duration far_resend = std::chrono::milliseconds(120);
    duration far_timeout = std::chrono::milliseconds(300);
    // Time for which a VM that did not answer in time gets no further queries.
    duration unresponsive_backoff = std::chrono::milliseconds(500);
    // An answer says for this long which share this VM has. Longer than a member takes to
    // replace its coordinator.
    duration share_validity = std::chrono::seconds(4);
    token_pool_options fallback = {.capacity_time = std::chrono::milliseconds(300)};
};

// Where to query tokens of a limit.
struct token_source
{
    std::string address; // empty: not known yet
    bool none = false;   // there will be none: this VM is alone
    bool self = false;   // this VM's own authority
    bool near = true;    // in this data centre
};

using ticket = std::uint64_t; // chosen by the caller of ask() to identify a request

struct requester_hooks
{
    // The holder of a pooled limit; otherwise, and for the reserve, the coordinator of
    // this data centre.
    std::function<token_source(std::string_view limit, bool pooled)> source;
    std::function<void(const std::string& address, const token_query&)> send;
    std::function<token_answer(const token_query&)> query_self;
    std::function<void(ticket, const admission&)> done;
};

// Requests tokens on behalf of one VM. Calls done() once for each ticket, either at once
// or later, at the latest when the sources have timed out.
class requester
{
public:
    requester(requester_options options, requester_hooks hooks);

    void set_limits(time_point now, std::span<const limit> limits);
    // The share of the limits, 0 to 1, that this VM uses while no source answers; 0 until
    // it is set. Answers set it for the limit that they are about.
    void set_fallback_share(time_point now, double share);
    // The share that answers about this limit have set lately.
    std::optional<double> recent_fallback_share(time_point now,
                                                std::string_view limit) const;
    // Requests a token. Without such a limit it is granted at once.
    void ask(time_point now, ticket id, std::string_view limit);
    // Returns the token of a request that was not run.
    void give_back(std::string_view limit);
    // Handles an answer from the VM at address `from`.
    void receive(time_point now, const std::string& from, const token_answer& answer);
    // Repeats queries and gives up overdue ones. Call every few milliseconds while
    // is_waiting().
    void tick(time_point now);
    bool is_waiting() const
    {
        return !this->waiting.empty();
    }

private:
    enum class stage
    {
        holder,   // the holder of a pooled limit, or the coordinator
        reserve,  // the coordinator, for a pooled limit whose holder does not answer
        fallback, // the share that this VM may use without an answer
    };

    struct pending_query
    {
        ticket id = 0;
        std::string limit; // its name; it may be removed while the query waits
        bool pooled = false;
        stage current_stage = stage::holder;
        token_source source;
        time_point since; // start of the stage
        time_point sent;
    };

    void advance(time_point now, std::uint64_t serial, pending_query query);
    bool try_source(time_point now, std::uint64_t serial, pending_query& query);
    bool find_source(time_point now, std::uint64_t serial, const pending_query& query);
    bool is_unresponsive(time_point now, const std::string& address) const;
    void finish(ticket id, const admission& decision);

    requester_options options;
    requester_hooks hooks;
    std::unordered_map<std::string, bool> pooled; // by name
    pool fallback_tokens;
    std::map<std::uint64_t, pending_query> waiting;           // by serial
    std::unordered_map<std::string, time_point> unresponsive; // by address: since when
    std::uint64_t last_serial = 0;
};

} // namespace pistachiospan::allowance

#endif
