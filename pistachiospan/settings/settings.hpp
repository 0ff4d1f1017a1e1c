// Settings of one entry daemon, from an INI file. A daemon starts only with settings that
// are right in full.
//
// Example:
//
//     const result<settings> read = load_settings("/etc/pistachiospan.ini");
//     if (!read)
//         return read.error(); // file, line, what is wrong, remedy
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

// A VM that is asked while the platform is away.
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
    std::string platform_region; // region of its store; empty: not known

    // [peers]
    std::string peer_secret;           // bytes shared by all daemons of the fleet
    std::vector<seed_peer> seed_peers; // VMs to ask while the platform is away

    // [limits]
    std::uint64_t max_header = std::uint64_t{16} * 1024; // bytes of a request's header
    std::uint32_t max_connections = 10'000;              // of callers, at once
    duration idle_timeout = std::chrono::seconds(60);    // between two requests
    duration header_timeout = std::chrono::seconds(5);   // first byte to end of header

    // [log]
    log_level level = log_level::info;

    // [random]
    std::optional<std::uint64_t> seed; // absent: from the operating system
};

// Reads and checks settings. The error has one line for each problem, each with file,
// line, what is wrong and the remedy; it never shows the secret.
result<settings> parse_settings(std::string_view text, std::string_view file_name);

// The same for a file.
result<settings> load_settings(const std::string& path);

} // namespace pistachiospan::settings

#endif
