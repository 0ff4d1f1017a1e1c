// Vocabulary types shared by all libraries: time, identifiers, errors, hashing.
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

// Tag of the monotonic time line. It has no now(): each function that decides takes the
// present time as an argument.
struct monotonic_clock
{
    using duration = pistachiospan::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

// A point on the monotonic time line of one process. Never compared between processes.
using time_point = monotonic_clock::time_point;

// Wall-clock time, for audit entries and issue times only. Microseconds since 1970 (UTC).
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

// Name of a VM of the system, unique within the fleet (from the process settings).
struct vm_id
{
    std::string value;
    auto operator<=>(const vm_id&) const = default;
};

void to_json(nlohmann::json& out, const vm_id& id);
void from_json(const nlohmann::json& in, vm_id& id);

// Distinguishes the processes that ran on one VM one after another. Rises with each
// start.
using incarnation = std::uint64_t;

// Version of the catalogue; 0 means none. Rises by one with each accepted edit.
using catalogue_version = std::uint64_t;

// Kinds of error that callers tell apart.
enum class errc
{
    ok = 0,
    invalid_argument,  // the input is malformed; nothing was changed
    not_found,         // the named thing does not exist
    conflict,          // a conditional write met a different revision
    unavailable,       // the service could not be reached; nothing was changed
    unknown_outcome,   // the request may have taken effect
    timeout,           // the deadline passed
    permission_denied, // authentication or authorisation failed
    limit_exceeded,    // a bound on size, rate or count was met
    stale,             // the view of the caller is too old
    internal_error,    // a defect of this program
};

const std::error_category& error_category() noexcept;
std::error_code make_error_code(errc code) noexcept;

// An error code and a message that says what is wrong and how to remedy it.
struct error
{
    std::error_code code;
    std::string message;
    bool operator==(const error&) const = default;
};

// A value of type T or an error. Access without a check throws.
template <class T>
using result = boost::outcome_v2::checked<T, error>;

// Makes the failed state of any result<T>.
inline auto failure(errc code, std::string message)
{
    return boost::outcome_v2::failure(error{make_error_code(code), std::move(message)});
}

// Seeded generator of all random decisions.
using random_engine = std::mt19937_64;

// 64-bit non-cryptographic hash (XXH3). The same on every machine and in every release.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

// HMAC-SHA-256 of `bytes` under `key`, as 64 lower-case hexadecimal digits.
std::string hmac_hex(std::string_view key, std::string_view bytes);

// Compares in a time that depends only on the lengths.
bool equal_constant_time(std::string_view left, std::string_view right) noexcept;

// `count` bytes from the operating system's generator, as hexadecimal digits. For secrets
// and identifiers; random decisions use a seeded random_engine instead.
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
