// Rate and burst of client accounts over the whole fleet.
//
// Example:
//
//     ledger parts({});                             // at the VM that coordinates
//     parts.set_accounts(now, active.accounts(), false);
//     parts.set_remote(now, account, {.demand = 40}); // sum over the other data centres
//     const admission made = parts.admit(now, account);
//     if (!made.admitted)
//         refuse(made.retry_after);
//
// The coordinator of each data centre admits for all VMs there, which ask it for each
// request. Two ways lead to one limit for the fleet:
//
// - An account whose burst is large is divided among the data centres (`ledger`): each
//   holds a token bucket of (rate * part, burst * part), where part is its share of the
//   known demand. The parts of data centres with the same reports sum to one. Reports
//   lag, so the sum may exceed the limit while demand moves. A data centre that falls
//   silent keeps the part that it had: it may be cut off and still admit requests, and
//   it reckons the same way.
// - An account whose part would come to a few tokens is held whole by the coordinator of
//   one data centre (`pool`), which the others ask.
//
// A VM that gets no answer uses a small part that was set aside for it (`requester`).

#ifndef PISTACHIOSPAN_ALLOWANCE_ALLOWANCE_HPP
#define PISTACHIOSPAN_ALLOWANCE_ALLOWANCE_HPP

#include "pistachiospan/configuration/configuration.hpp"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace pistachiospan::allowance
{

struct ledger_options
{
    // Time constant of the demand estimate.
    duration demand_time_constant = std::chrono::milliseconds(1500);
    // Demand added to each data centre, so that one without requests can admit its first.
    // Requests per second, as a part of the account's rate.
    double min_demand = 0.02;
    // A change of demand that is worth telling, as a part of the demand told last.
    double report_threshold = 0.2;
    // Reports that repeat a change, since reports get lost.
    std::uint32_t report_repeats = 2;
    // Smallest capacity of a bucket, in tokens: below one, nothing could ever pass.
    double min_capacity = 1.0;
};

struct admission
{
    bool admitted = false;
    duration retry_after{0}; // not admitted: when a token is expected
    double share = 1;        // of the account's limit, where it was asked for
};

// One account's demand, as coordinators tell each other.
struct demand
{
    std::string account;
    double rate = 0; // requests per second, admitted or not
};

// What the other data centres said of one account.
struct remote_usage
{
    double demand = 0;            // requests per second at those that are heard
    double unreachable_share = 0; // parts of the limit that silent ones may still use
};

class ledger
{
public:
    explicit ledger(ledger_options options);

    // Accounts that stay keep their tokens, up to the new capacity. New ones begin with a
    // full bucket only if the limits are new to the fleet, which `fresh` says.
    void set_accounts(time_point now, std::span<const configuration::account> accounts,
                      bool fresh);

    // Number of data centres that are heard, this one included.
    void set_sharing_count(std::size_t count);
    // The rest of this data centre's part is set aside for members that are not heard:
    // they may be cut off and use it.
    void set_reachable_fraction(time_point now, double fraction);
    // To be called with each change of what is known, and after each report.
    void set_remote(time_point now, std::string_view account, remote_usage others);
    // The demand at one other data centre has changed by this.
    void change_remote(time_point now, const demand& change);

    // Counts the request as demand and takes a token if there is one.
    admission admit(time_point now, std::string_view account);
    // The request was not run after all: gives its token back.
    void give_back(time_point now, std::string_view account);

    // The demand here, for the other data centres: all of it, or what has changed since
    // it was told last. The parts are reckoned with the demand told last, so that all use
    // the same figures.
    std::vector<demand> report_demand(time_point now, bool whole);

    // The demand as it is now has been sent to the others in the report of this number.
    void note_reported(std::uint64_t report);
    // All data centres that share the accounts have received the reports up to this one.
    // A part grows only as far as the others know why: one that is cut off goes on with
    // the part that it had.
    void confirm(time_point now, std::uint64_t report);

    // The part of the account that can be used here, 0 to 1.
    double usable_share_of(std::string_view account) const;
    // With what is set aside for members that are not heard.
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
        double demand = 0;         // requests per second
        double told = 0;           // demand in the last report
        std::uint32_t repeats = 0; // reports that still tell it
        remote_usage others;
        double confirmed_share = 1;
        std::deque<reported_share>
            reported_shares; // that are not confirmed, oldest first
        time_point refilled;
        time_point decayed;
    };

    void refill(time_point now, bucket& of) const;
    void decay(time_point now, bucket& of) const;
    double usable_share(const bucket& of) const;
    double total_share(const bucket& of) const;
    double claimed_share(const bucket& of) const;
    double capacity(const bucket& of) const;

    ledger_options options;
    std::size_t sharing_count = 1;
    double reachable_fraction = 1;
    std::unordered_map<std::string, bucket> buckets;
};

// True if the account is held whole by one data centre: divided among so many, its burst
// would come to a few tokens each, and honest requests would find none.
bool is_pooled(const configuration::account& account, std::size_t data_centres);

// The data centre among these that holds a pooled account; empty without any. All VMs
// that know the same data centres choose the same one, and few accounts move when one is
// lost.
std::string holder_of(std::string_view account,
                      std::span<const std::string> data_centres);

// Token buckets of accounts of which this VM may use a given part.
struct token_pool_options
{
    // Of the rate, in the bucket; with it the burst of the account does not count.
    std::optional<duration> capacity_time = std::nullopt;
    double min_capacity = 1.0; // tokens
};

class pool
{
public:
    explicit pool(token_pool_options options);

    // As ledger::set_accounts().
    void set_accounts(time_point now, std::span<const configuration::account> accounts,
                      bool fresh);
    // The part of the limits that may be used here, 0 to 1.
    void set_share(time_point now, double share);
    // The same for one account, instead of the common one.
    void set_share(time_point now, std::string_view account, double share);
    admission admit(time_point now, std::string_view account);
    void give_back(time_point now, std::string_view account);

private:
    struct bucket
    {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        double share = 0;
        time_point refilled;
    };

    double capacity(const bucket& of) const;
    void refill(time_point now, bucket& of) const;

    token_pool_options options;
    double share = 1;
    std::unordered_map<std::string, bucket> buckets;
};

// A VM asks for a token.
struct token_query
{
    std::uint64_t serial = 0; // of the VM that asks
    std::string account;
    // The holder of the pooled account does not answer: a token of what is set aside for
    // this data centre.
    bool from_reserve = false;
    bool returned = false; // a token comes back: the request has not run
};

struct token_answer
{
    std::uint64_t serial = 0;
    std::string account;
    admission decision;
    // The part of the limit that the VM may use while it gets no answers.
    double fallback_share = 0;
};

std::string encode(const token_query& from);
std::string encode(const token_answer& from);
// Errors: invalid_argument.
result<token_query> decode_query(std::string_view bytes);
result<token_answer> decode_answer(std::string_view bytes);

struct authority_options
{
    std::size_t data_centres = 1;
    ledger_options divided = {};
    token_pool_options pooled = {};
    // What is set aside for a time without the holder has no burst to speak of.
    token_pool_options reserve = {.capacity_time = std::chrono::milliseconds(300)};
};

// Answers the VMs of a data centre, and others for the accounts that it holds.
class authority
{
public:
    explicit authority(authority_options options);

    void set_accounts(time_point now, std::span<const configuration::account> accounts,
                      bool fresh);
    // VMs of this data centre: all that may take requests, and the part of them that is
    // heard.
    void set_members(time_point now, std::size_t known, double reachable_fraction);
    // Part of all VMs that is heard: what the others may use is not held here.
    void set_reachable_vm_fraction(time_point now, double fraction);

    token_answer answer(time_point now, const token_query& asked);

    // The divided accounts, for the exchange of demand.
    ledger& divided()
    {
        return this->parts;
    }

private:
    authority_options options;
    ledger parts;
    pool held;
    pool reserve;
    std::unordered_map<std::string, bool> pooled; // by account with a limit
    std::size_t members = 1;
};

struct requester_options
{
    std::size_t data_centres = 1;
    // Answers from the own data centre, and from others.
    duration near_resend = std::chrono::milliseconds(30);
    duration near_timeout = std::chrono::milliseconds(150);
    duration far_resend = std::chrono::milliseconds(120);
    duration far_timeout = std::chrono::milliseconds(300);
    // A VM that did not answer in time is not waited for again this long.
    duration unresponsive_backoff = std::chrono::milliseconds(500);
    token_pool_options fallback = {.capacity_time = std::chrono::milliseconds(300)};
};

// Where tokens of an account are asked for.
struct token_source
{
    std::string address; // empty: there is none yet
    bool none = false;   // there will be none: this VM is alone
    bool self = false;   // this VM's own authority
    bool near = true;    // in this data centre
};

using ticket = std::uint64_t; // names one request of the owner

struct requester_hooks
{
    // The holder of a pooled account; else, and for what is set aside, the coordinator.
    std::function<token_source(std::string_view account, bool pooled)> source;
    std::function<void(const std::string& address, const token_query&)> send;
    std::function<token_answer(const token_query&)> query_self;
    std::function<void(ticket, const admission&)> done;
};

// Asks for tokens on behalf of one VM. done() is called once for each ticket, at once or
// later, at the latest after the patience with the sources.
class requester
{
public:
    requester(requester_options options, requester_hooks hooks);

    void set_accounts(time_point now, std::span<const configuration::account> accounts);
    void ask(time_point now, ticket name, std::string_view account);
    // The request was not run after all.
    void give_back(std::string_view account);
    void receive(time_point now, const std::string& from, const token_answer& got);
    // Repeats queries and gives up overdue ones. Call each few milliseconds while
    // is_waiting().
    void tick(time_point now);
    bool is_waiting() const
    {
        return !this->waiting.empty();
    }

private:
    enum class stage
    {
        holder,   // of the pooled account, or the coordinator
        reserve,  // by the coordinator, for a pooled account without its holder
        fallback, // what this VM may use alone
    };

    struct pending
    {
        ticket name = 0;
        std::string account;
        stage at = stage::holder;
        token_source source;
        time_point since; // of the stage
        time_point sent;
    };

    void advance(time_point now, std::uint64_t serial, pending of);
    bool try_source(time_point now, std::uint64_t serial, pending& of);
    bool find_source(time_point now, std::uint64_t serial, const pending& of);
    bool is_silent(time_point now, const std::string& address) const;
    void finish(ticket name, const admission& made);

    requester_options options;
    requester_hooks hooks;
    std::unordered_map<std::string, bool> pooled; // by account with a limit
    pool fallback;
    std::map<std::uint64_t, pending> waiting;           // by serial
    std::unordered_map<std::string, time_point> silent; // since when, by address
    std::uint64_t last_serial = 0;
};

} // namespace pistachiospan::allowance

#endif
