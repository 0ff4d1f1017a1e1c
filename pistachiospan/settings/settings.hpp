// Settings of one entry daemon, read from an INI file. A daemon starts only if the whole
// file is valid.
//
// Example:
//
//     const result<settings> read = load_settings("/etc/pistachiospan.ini");
//     if (!read)
//         return read.error(); // one line per problem: file, line, problem, remedy
//
// docs/settings.md describes the sections, keys, units and defaults.

#ifndef PISTACHIOSPAN_SETTINGS_SETTINGS_HPP
#define PISTACHIOSPAN_SETTINGS_SETTINGS_HPP

#include "pistachiospan/base/base.hpp"

#include <optional>
#include <vector>

namespace pistachiospan::settings
{

enum class log_level
{
    trace,
    debug,
    info,
    warn,
    error,
};

// A VM that is contacted while the platform is unreachable.
struct seed_peer
{
    vm_id id;
    std::string address; // ip:port of its peer listener
    std::string data_centre;
    std::string region;
};

struct settings
{
    // [vm]
    vm_id id;
    std::string data_centre;
    std::string region;

    // [listen], each ip:port
    std::string caller_address;
    std::string peer_address;

    // [platform]
    std::string platform_address; // ip:port
    duration platform_timeout = std::chrono::seconds(2);
    std::string platform_region; // region of the platform's store; empty: unknown

    // [peers]
    std::string peer_secret;           // shared by all daemons of the fleet
    std::vector<seed_peer> seed_peers; // contacted while the platform is unreachable

    // [limits]
    std::uint64_t max_header = std::uint64_t{16} * 1024; // bytes of a request's header
    std::uint32_t max_connections = 10'000;           // concurrent connections of callers
    duration idle_timeout = std::chrono::seconds(60); // between two requests
    duration header_timeout = std::chrono::seconds(5); // first byte to end of header

    // [log]
    log_level level = log_level::info;

    // [random]
    std::optional<std::uint64_t> seed; // absent: seeded by the operating system
};

// Parses and validates settings. Errors: invalid_argument, with one line per problem that
// names the file, the line, the problem and the remedy. The message never shows the
// secret.
result<settings> parse_settings(std::string_view text, std::string_view file_name);

// Like parse_settings(), for a file. Errors: also not_found if the file cannot be read,
// and limit_exceeded if it is larger than ini::max_text_size.
result<settings> load_settings(const std::string& path);

} // namespace pistachiospan::settings

#endif
