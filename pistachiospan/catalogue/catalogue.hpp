// The catalogue that operators edit: routes, upstreams, client accounts and the topology.
// Each accepted version is one immutable value.
//
// Example:
//
//     const result<catalogue> parsed = parse_catalogue(text, "shop.ini");
//     if (!parsed)
//         return parsed.error(); // one line per problem: file, line, problem, remedy
//     const route* found = parsed.value().find_route("/pesanan/orders");
//     const client_account* caller = parsed.value().find_account(key);
//
// The text is INI; docs/settings.md describes its sections, keys, units and defaults.

#ifndef PISTACHIOSPAN_CATALOGUE_CATALOGUE_HPP
#define PISTACHIOSPAN_CATALOGUE_CATALOGUE_HPP

#include "pistachiospan/base/base.hpp"

#include <map>
#include <unordered_map>
#include <vector>

namespace pistachiospan::catalogue
{

// What a daemon does with a keyed route when it cannot confirm that its catalogue is the
// newest one (no store confirmation for `confirm_within`).
enum class unconfirmed_policy
{
    refuse,   // refuse with stale_configuration
    majority, // serve while a majority of VMs is reachable and none knows a newer version
    serve,    // serve with the active catalogue
};

struct region
{
    std::string name;
};

struct data_centre
{
    std::string name;
    std::string region;
    std::uint32_t entry_vms = 1;     // entry VMs that share the slots of its upstreams
    std::uint32_t max_in_flight = 0; // concurrent requests over all upstreams; 0: no cap
};

// Link between two regions, with its bandwidth budget in each direction.
struct link
{
    std::string from;
    std::string to;
    std::uint64_t mbit_per_s = 0;
};

struct client_account
{
    std::string name;
    std::string owner;
    std::string account_class;
    double rate = 0;                     // requests per second over all VMs
    double burst = 0;                    // requests
    std::uint32_t weight = 1;            // share of a queue under contention
    std::vector<std::string> key_hashes; // result of hash_key() for each valid key
};

struct route
{
    std::string name;
    std::string owner;
    std::string route_class;
    std::string path_prefix; // matches whole path segments; the longest prefix wins
    std::string group;       // name of an upstream_group
    bool open = false;       // true: no key needed
    std::vector<std::string> idempotent_methods = {"GET", "HEAD"};
    unconfirmed_policy unconfirmed = unconfirmed_policy::refuse;
    duration deadline = std::chrono::seconds(10); // longest time limit of a request
    std::uint64_t max_body = 1 << 20;             // bytes of the request body
};

struct upstream
{
    std::string address; // ip:port
    std::string data_centre;
    bool drain = false; // true: gets no new requests
};

struct upstream_group
{
    std::string name;
    std::string owner;
    std::string group_class;
    std::uint32_t slots = 1;         // concurrent requests on each upstream
    std::uint32_t connections = 330; // connections to each upstream from all VMs
    duration warm_up = std::chrono::seconds(0); // time from one slot to all slots
    std::uint32_t max_in_flight = 0; // concurrent requests over the group; 0: no cap
    std::vector<upstream> upstreams;
};

// Look-up tables of a catalogue, filled by build_index().
struct catalogue_index
{
    std::map<std::string, std::string, std::less<>> route_by_prefix;
    std::unordered_map<std::string, std::string> account_by_hash;
    std::size_t longest_prefix = 0;
};

struct catalogue
{
    std::string name;
    std::string owner;
    std::string key_salt;          // key of the keyed hashes, hexadecimal
    std::uint32_t rate_shares = 9; // equal shares of each account's rate and burst;
                                   // parse_catalogue() defaults to the number of entry
                                   // VMs of all data centres
    duration confirm_within = std::chrono::seconds(5);
    std::map<std::string, region> regions;
    std::map<std::string, data_centre> data_centres;
    std::vector<link> links;
    std::map<std::string, client_account> accounts;
    std::map<std::string, route> routes;
    std::map<std::string, upstream_group> groups;

    // Returns the route with the longest matching prefix of whole segments, or null. The
    // query string is ignored. Also returns null for a path that an upstream could
    // normalize to a different one, which would bypass a keyed route: empty, "." and ".."
    // segments, backslashes, control characters, and percent-encoded letters, digits
    // and any of '.', '-', '_', '~', '/', '\\', '%'.
    const route* find_route(std::string_view path) const;

    // Returns the account that holds this key, or null. The cost does not depend on which
    // key matches: one HMAC, one look-up by its value, one constant-time comparison.
    const client_account* find_account(std::string_view key) const;

    // Like find_account(), for the result of hash_key(key_salt, key). A request that is
    // checked several times then needs only one HMAC. A hash made with an earlier salt is
    // not found.
    const client_account* find_account_by_hash(std::string_view hash) const;

    // Builds the look-up tables for find_route() and find_account(), which search all
    // entries without them. parse_catalogue() calls this. Call it again after changing
    // `accounts` or `routes`.
    void build_index();

    catalogue_index index;
};

// Longest accepted API key, in bytes.
inline constexpr std::size_t max_key_size = 256;

// Returns the keyed hash (HMAC-SHA-256) under which a key is stored, as 64 hexadecimal
// digits.
std::string hash_key(std::string_view salt, std::string_view key);

// Parses and validates a catalogue. Errors: invalid_argument, with one line per problem
// that names the file, the line, the problem and the remedy.
result<catalogue> parse_catalogue(std::string_view text, std::string_view file_name);

// One difference between two catalogues, shown to operators and stored in the audit
// trail.
struct change
{
    std::string entry; // "client_account north"
    std::string field; // "rate"; empty if the entry itself was added or removed
    std::string before;
    std::string after;
    bool operator==(const change&) const = default;
};

// Returns the changes, ordered by kind, entry and field. Of key hashes only the first 8
// digits are shown.
std::vector<change> compare(const catalogue& before, const catalogue& after);

// Returns the SHA-256 digest of a catalogue's text as 64 hexadecimal digits.
std::string digest(std::string_view text);

// Returns the text with the drain mark of one upstream set or removed. All other lines
// and comments are unchanged. Errors: not_found if no `server` line has this address.
result<std::string> set_drain_mark(std::string_view text, std::string_view address,
                                   bool drain);

} // namespace pistachiospan::catalogue

#endif
