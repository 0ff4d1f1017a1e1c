// Rate and burst of client accounts over the whole fleet, divided among the VMs in
// proportion to the demand that each of them reports.
//
// Example:
//
//     ledger allowances({});
//     allowances.set_accounts(now, active.accounts());
//     allowances.set_remote(now, account, {.demand = 40}); // sum over the other VMs
//     const admission made = allowances.admit(now, account);
//     if (!made.admitted)
//         refuse(made.retry_after);
//
// Each VM holds a token bucket of (rate * part, burst * part), where part is its share of
// the known demand. The parts of VMs with the same reports sum to one. Reports lag, so
// the sum may exceed the limit while demand moves between VMs. A VM that falls silent
// keeps the part that it had: it may be cut off and still admit requests, and it reckons
// the same way.

#ifndef PISTACHIOSPAN_ALLOWANCE_ALLOWANCE_HPP
#define PISTACHIOSPAN_ALLOWANCE_ALLOWANCE_HPP

#include "pistachiospan/configuration/configuration.hpp"

#include <unordered_map>

namespace pistachiospan::allowance
{

struct ledger_options
{
    // Time constant of the demand estimate.
    duration demand_memory = std::chrono::milliseconds(1500);
    // Demand added to each VM, so that one without requests can admit its first ones.
    // Requests per second, as a part of the account's rate.
    double least_demand = 0.02;
    // A change of demand that is worth telling, as a part of the demand told last.
    double change_told = 0.2;
    // Reports that repeat a change, since reports get lost.
    std::uint32_t repeats = 2;
    // Smallest capacity of a bucket, in tokens: below one, nothing could ever pass.
    double least_capacity = 1.0;
};

struct admission
{
    bool admitted = false;
    duration retry_after{0}; // not admitted: when a token is expected
    double part = 1;         // this VM's, of the account's limit
};

// One account's demand, as VMs tell each other.
struct demand
{
    std::string account;
    double rate = 0; // requests per second, admitted or not
};

// What the other VMs said of one account.
struct remote_share
{
    double demand = 0;   // requests per second at the VMs that are heard
    double reserved = 0; // parts of the limit that silent VMs may still use
};

class ledger
{
public:
    explicit ledger(ledger_options options);

    // Accounts that stay keep their tokens, up to the new capacity. New ones begin with a
    // full bucket only if the limits are new to the fleet, which `fresh` says.
    void set_accounts(time_point now, std::span<const configuration::account> accounts,
                      bool fresh);

    // Number of VMs that are heard, this one included.
    void set_vm_count(std::size_t count);
    // To be called with each change of what is known, and after each report.
    void set_remote(time_point now, std::string_view account, remote_share others);
    // The demand at one other VM has changed by this.
    void change_remote(time_point now, const demand& change);

    // Counts the request as demand and takes a token if there is one.
    admission admit(time_point now, std::string_view account);
    // The request was not run after all: gives its token back.
    void give_back(time_point now, std::string_view account);

    // This VM's demand, for the other VMs: all of it, or what has changed since it was
    // told last. The parts are reckoned with the demand told last, so that all VMs use
    // the same figures.
    std::vector<demand> report_demand(time_point now, bool whole);

    // This VM's part of the account, 0 to 1.
    double part_of(std::string_view account) const;

private:
    struct bucket
    {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        double demand = 0;         // requests per second
        double told = 0;           // demand in the last report
        std::uint32_t repeats = 0; // reports that still tell it
        remote_share others;
        time_point refilled;
        time_point decayed;
    };

    void refill(time_point now, bucket& of) const;
    void decay(time_point now, bucket& of) const;
    double part(const bucket& of) const;
    double capacity(const bucket& of) const;

    ledger_options options;
    std::size_t vm_count = 1;
    std::unordered_map<std::string, bucket> buckets;
};

} // namespace pistachiospan::allowance

#endif
