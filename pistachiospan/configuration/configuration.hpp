// The operator's configuration as the request path uses it: routes, services, client
// accounts and limits of one version, indexed for look-up.
//
// Example:
//
//     const configuration::state active(parsed);
//     const configuration::route* route = active.find_route("shop.example", "/orders/7");
//     const configuration::account* account = active.find_account(key);
//
// Values are immutable after construction and shared by pointer.

#ifndef PISTACHIOSPAN_CONFIGURATION_CONFIGURATION_HPP
#define PISTACHIOSPAN_CONFIGURATION_CONFIGURATION_HPP

#include "pistachiospan/base/base.hpp"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace pistachiospan::configuration
{

// What may be repeated.
enum class repeatability
{
    idempotent, // may run more than once
    once,       // at most one run for each request
    upload,     // as `once`, with large bodies
};

// A service that serves a route, with its part of the route's requests.
struct target
{
    std::string service;
    double weight = 1;
};

struct route
{
    std::string name;
    std::string host;
    std::string prefix; // of the path; begins and ends with a slash
    repeatability kind = repeatability::once;
    duration timeout{0};                   // longest time for an answer; 0: none
    duration latency_objective{0};         // an answer within it is on time; 0: none
    int priority = 0;                      // 0 is the most urgent
    std::uint32_t max_attempts = 1;        // servers to which one request may be sent
    bool open = false;                     // needs no key
    bool sticky = false;                   // a server is faster with objects it knows
    std::vector<std::string> home_regions; // regions that may serve it; empty: all
    std::vector<target> targets;           // at least one
};

struct service
{
    std::string name;
    std::string health_path;
    std::uint32_t connection_limit = 0;
    duration cold_time{0}; // a server is cold this long after its start
    double cold_rate = 0;  // requests per second that a cold server tolerates
};

struct account
{
    std::string name;
    std::vector<std::string> keys;
    int priority = 0;
    double rate = 0;  // requests per second over the fleet; 0: no limit
    double burst = 0; // requests above the rate
    std::vector<std::string> home_regions;
};

struct limits
{
    std::size_t max_header = 0; // bytes
    std::size_t max_body = 0;   // bytes
    duration header_timeout{0};
    duration idle_timeout{0};
};

// One version in full.
struct content
{
    std::uint64_t version = 0;
    std::vector<service> services;
    std::vector<account> accounts;
    std::vector<route> routes;
    configuration::limits limits;
    std::vector<std::string> warnings; // what was not understood, for the log
};

class state
{
public:
    explicit state(content all);

    std::uint64_t version() const
    {
        return this->all.version;
    }
    const std::vector<std::string>& warnings() const
    {
        return this->all.warnings;
    }
    const configuration::limits& limits() const
    {
        return this->all.limits;
    }
    const std::vector<route>& routes() const
    {
        return this->all.routes;
    }
    const std::vector<account>& accounts() const
    {
        return this->all.accounts;
    }
    const std::vector<service>& services() const
    {
        return this->all.services;
    }

    // The route of this host with the longest prefix that begins the path. Null: none.
    const route* find_route(std::string_view host, std::string_view path) const;
    const account* find_account(std::string_view key) const;

private:
    content all;
    struct text_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return hash_bytes(text);
        }
    };
    template <class Value>
    using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    text_map<text_map<const route*>> by_host; // host, then prefix
    text_map<const account*> by_key;
};

// The service for one request: by weight, evenly over the requests, the same for one id.
const target& choose_target(const route& of, std::string_view request_id);

} // namespace pistachiospan::configuration

#endif
