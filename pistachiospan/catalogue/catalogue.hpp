// The catalogue: what operators edit. One immutable value for each accepted version.
//
// Example:
//
//     const result<catalogue> parsed = parse_catalogue(text, "shop.ini");
//     if (!parsed)
//         return parsed.error(); // file, line, what is wrong, remedy
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
    majority, // serve while a majority of VMs is reachable and none knows more
    serve,    // serve with the catalogue in force
};

struct region
{
    std::string name;
};

struct data_centre
{
    std::string name;
    std::string region;
    std::uint32_t entry_vms = 1;     // VMs that share the slots of its upstreams
    std::uint32_t max_in_flight = 0; // requests at once over all upstreams; 0: no cap
};

// Budget of the link between two regions, in each direction.
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
    std::vector<std::string> key_hashes; // hash_key() of each valid key
};

struct route
{
    std::string name;
    std::string owner;
    std::string route_class;
    std::string path_prefix; // matches whole path segments; the longest wins
    std::string group;       // name of an upstream_group
    bool open = false;       // true: no key needed
    std::vector<std::string> idempotent_methods = {"GET", "HEAD"};
    unconfirmed_policy unconfirmed = unconfirmed_policy::refuse;
    duration deadline = std::chrono::seconds(10); // upper bound of a request's deadline
    std::uint64_t max_body = 1 << 20;             // bytes of a request body
};

struct upstream
{
    std::string address; // ip:port
    std::string data_centre;
    bool drain = false; // true: no new work
};

struct upstream_group
{
    std::string name;
    std::string owner;
    std::string group_class;
    std::uint32_t slots = 1;                    // requests at once on each upstream
    std::uint32_t connections = 330;            // connections to each upstream, all VMs
    duration warm_up = std::chrono::seconds(0); // time from one slot to all slots
    std::uint32_t max_in_flight = 0; // requests at once over the group; 0: no cap
    std::vector<upstream> upstreams;
};

// Look-up tables of a catalogue, made by build_index().
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
    std::uint32_t rate_shares = 9; // equal parts of each account's rate and burst;
                                   // parse_catalogue: by default the entry VMs of all
                                   // data centres
    duration confirm_within = std::chrono::seconds(5);
    std::map<std::string, region> regions;
    std::map<std::string, data_centre> data_centres;
    std::vector<link> links;
    std::map<std::string, client_account> accounts;
    std::map<std::string, route> routes;
    std::map<std::string, upstream_group> groups;

    // The route with the longest matching prefix of whole segments, or null. A query is
    // ignored. Null as well for a path that an upstream could read as another one, and so
    // could reach past a keyed route: empty, "." and ".." segments, backslashes, control
    // characters, and percent-encoded letters, digits, '.', '-', '_', '~', '/', '\\',
    // '%'.
    const route* find_route(std::string_view path) const;

    // The account that holds this key, or null. The cost does not depend on which key
    // matches: one HMAC, one look-up by its value, comparison in constant time.
    const client_account* find_account(std::string_view key) const;

    // The same for hash_key(key_salt, key), so that a request that is checked several
    // times needs one HMAC. A hash made with an earlier salt is not found.
    const client_account* find_account_by_hash(std::string_view hash) const;

    // Prepares find_route and find_account; parse_catalogue does so. Without it, both
    // search all entries. To be called again after a change of `accounts` or `routes`.
    void build_index();

    catalogue_index index;
};

// Longest key that a caller may present, in bytes.
inline constexpr std::size_t max_key_size = 256;

// Keyed hash under which a key is stored: 64 hexadecimal digits.
std::string hash_key(std::string_view salt, std::string_view key);

// Reads and checks a catalogue. The error has one line for each problem, each with file,
// line, what is wrong and the remedy.
result<catalogue> parse_catalogue(std::string_view text, std::string_view file_name);

// One change between two catalogues, for operators and the audit trail.
struct change
{
    std::string entry; // "client_account north"
    std::string field; // "rate", or empty for an entry added or removed
    std::string before;
    std::string after;
    bool operator==(const change&) const = default;
};

// Changes in the order of kind, entry and field. Key hashes are shown by their first 8
// digits.
std::vector<change> compare(const catalogue& before, const catalogue& after);

// Digest of the catalogue's text (SHA-256): equal for equal text. 64 hexadecimal digits.
std::string digest(std::string_view text);

// The same text with the drain mark of one upstream set or removed; all other lines and
// comments stay as they are. Error not_found when no `server` line has this address.
result<std::string> set_drain_mark(std::string_view text, std::string_view address,
                                   bool drain);

} // namespace pistachiospan::catalogue

#endif
