// One version of the operator's configuration: routes, services, client accounts and
// limits, indexed for look-up by the request path.
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

// How often the requests of a route may run.
enum class repeatability
{
    idempotent, // may run more than once
    once,       // at most one run of each request
    upload,     // as `once`, with large bodies
};

// A service that serves a route, and its share of the route's requests.
struct target
{
    std::string service;
    double weight = 1; // relative to the route's other targets
};

struct route
{
    std::string name;
    std::string host;
    std::string prefix; // of the path; begins and ends with a slash
    repeatability kind = repeatability::once;
    duration timeout{0};            // longest time for an answer; 0: no limit
    duration latency_objective{0};  // answers within it count as on time; 0: none
    int priority = 0;               // 0 is the most urgent
    std::uint32_t max_attempts = 1; // upstreams to which one request may be sent
    bool open = false;              // requests need no client key
    bool sticky = false; // an upstream is faster with objects it has served before
    std::vector<std::string> home_regions; // regions that may serve it; empty: all
    std::vector<target> targets;           // at least one
};

struct service
{
    std::string name;
    std::string health_path;
    std::uint32_t connection_limit = 0;
    duration cold_time{0}; // an upstream is cold this long after its start
    double cold_rate = 0;  // requests per second that a cold upstream tolerates
};

struct account
{
    std::string name;
    std::vector<std::string> keys;
    int priority = 0;
    double rate = 0;  // requests per second over the fleet; 0: no limit
    double burst = 0; // requests that may exceed the rate at once
    std::vector<std::string> home_regions;
};

struct limits
{
    std::size_t max_header = 0; // bytes
    std::size_t max_body = 0;   // bytes
    duration header_timeout{0};
    duration idle_timeout{0};
};

// All values of one version.
struct content
{
    std::uint64_t version = 0;
    std::vector<service> services;
    std::vector<account> accounts;
    std::vector<route> routes;
    configuration::limits limits;
    std::vector<std::string> warnings; // values that were not understood, for the log
};

class state
{
public:
    explicit state(content data);

    std::uint64_t version() const
    {
        return this->data.version;
    }
    const std::vector<std::string>& warnings() const
    {
        return this->data.warnings;
    }
    const configuration::limits& limits() const
    {
        return this->data.limits;
    }
    const std::vector<route>& routes() const
    {
        return this->data.routes;
    }
    const std::vector<account>& accounts() const
    {
        return this->data.accounts;
    }
    const std::vector<service>& services() const
    {
        return this->data.services;
    }

    // Returns the route of this host with the longest matching path prefix, or null.
    const route* find_route(std::string_view host, std::string_view path) const;
    // Returns the account with this key, or null.
    const account* find_account(std::string_view key) const;

private:
    content data;
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

    text_map<text_map<const route*>> routes_by_host; // by host, then by prefix
    text_map<const account*> accounts_by_key;
};

// Chooses the target of a request at random by weight. Depends only on the route and the
// request id, so that the choice is the same each time.
const target& choose_target(const route& route, std::string_view request_id);

} // namespace pistachiospan::configuration

#endif
