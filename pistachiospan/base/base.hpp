// Basic types and functions shared by all libraries: time, identifiers, errors, hashing.
//
// Example:
//
//     result<int> parse(std::string_view text)
//     {
//         if (text.empty())
//             return failure(errc::invalid_argument, "empty number; give a digit");
//         return 1;
//     }

#ifndef PISTACHIOSPAN_BASE_BASE_HPP
#define PISTACHIOSPAN_BASE_BASE_HPP

#include <boost/outcome/outcome.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace pistachiospan
{

// All spans of time, in microseconds.
using duration = std::chrono::microseconds;

// Clock type of monotonic time points. It has no now(): functions whose result depends on
// the current time take it as an argument.
struct monotonic_clock
{
    using duration = pistachiospan::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

// A time of the monotonic clock of one process. Not comparable between processes.
using time_point = monotonic_clock::time_point;

// Wall-clock time, for audit entries and issue times only. Microseconds since 1970 (UTC).
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

// Identifier of a VM, unique within the fleet. Comes from the process settings.
struct vm_id
{
    std::string value;
    auto operator<=>(const vm_id&) const = default;
};

void to_json(nlohmann::json& out, const vm_id& id);
void from_json(const nlohmann::json& in, vm_id& id);

// Distinguishes the successive processes of one VM. Increases with each start.
using incarnation = std::uint64_t;

// Version of the catalogue; 0 means none. Increases by one with each accepted edit.
using catalogue_version = std::uint64_t;

// Error codes, as far as callers need to distinguish them.
enum class errc
{
    ok = 0,
    invalid_argument,  // the input is malformed; nothing was changed
    not_found,         // the named item does not exist
    conflict,          // a conditional write met a different revision
    unavailable,       // the service could not be reached; nothing was changed
    unknown_outcome,   // the request may have taken effect
    timeout,           // the deadline passed
    permission_denied, // authentication or authorisation failed
    limit_exceeded,    // a limit on size, rate or count was reached
    stale,             // the caller's view of the state is out of date
    internal_error,    // a bug in this program
};

const std::error_category& error_category() noexcept;
std::error_code make_error_code(errc code) noexcept;

// An error code and a message that says what is wrong and how to fix it.
struct error
{
    std::error_code code;
    std::string message;
    bool operator==(const error&) const = default;
};

// A value of type T or an error. Accessing the one that is absent throws.
template <class T>
using result = boost::outcome_v2::checked<T, error>;

// Makes an error that converts to any result<T>.
inline auto failure(errc code, std::string message)
{
    return boost::outcome_v2::failure(error{make_error_code(code), std::move(message)});
}

// Generator for all random decisions, so that a seed reproduces them.
using random_engine = std::mt19937_64;

// 64-bit non-cryptographic hash (XXH3). The same on every machine and in every release.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

// HMAC-SHA-256 of `bytes` under `key`, as 64 lower-case hexadecimal digits.
std::string hmac_hex(std::string_view key, std::string_view bytes);

// Compares in a time that depends only on the lengths, not on the contents.
bool equal_constant_time(std::string_view left, std::string_view right) noexcept;

// Returns `count` bytes from a cryptographic generator, as hexadecimal digits. For
// secrets and identifiers; random decisions use a seeded random_engine instead.
std::string random_hex(std::size_t count);

} // namespace pistachiospan

template <>
struct std::is_error_code_enum<pistachiospan::errc> : std::true_type
{
};

template <>
struct std::hash<pistachiospan::vm_id>
{
    std::size_t operator()(const pistachiospan::vm_id& id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};

#endif
