// Form of the upstream stand-in's answers, which the load tool checks.
//
// Body: {"request_id", "account", "path", "method", "bytes_received", "body_id",
// "upstream", "filler"}. `filler` is the last member: `answer_bytes` times the letter
// that belongs to the request id, so parts of another answer are noticed.

#ifndef PISTACHIOSPAN_STANDIN_COMMON_ANSWER_HPP
#define PISTACHIOSPAN_STANDIN_COMMON_ANSWER_HPP

#include "pistachiospan/base/base.hpp"

struct evbuffer;

namespace pistachiospan::standin
{

// A request body begins with its id and a newline; the rest is not looked at.
inline constexpr std::size_t max_body_id = 128;

// 'a' to 'z'.
char filler_letter(std::string_view request_id);

// Appends `count` times the letter by reference to shared memory.
void add_filler(evbuffer* output, char letter, std::uint64_t count);

// Largest accepted `answer_bytes`.
inline constexpr std::uint64_t max_answer_bytes = std::uint64_t{64} * 1024 * 1024;

} // namespace pistachiospan::standin

#endif
