// Checks an answer of the upstream stand-in while it arrives, without keeping it.
//
// Example:
//
//     body_check check;
//     check.add(part); // for each part of the body
//     const std::optional<std::string> problem = check.verify(expected);

#ifndef PISTACHIOSPAN_STANDIN_LOAD_BODY_CHECK_HPP
#define PISTACHIOSPAN_STANDIN_LOAD_BODY_CHECK_HPP

#include "pistachiospan/base/base.hpp"

#include <optional>

namespace pistachiospan::standin
{

struct expected_answer
{
    std::string request_id;
    std::string account; // as the upstream saw it; empty: none
    std::uint64_t bytes_sent = 0;
    std::uint64_t answer_bytes = 0; // of the filler
};

class body_check
{
public:
    void add(std::string_view part);

    std::uint64_t bytes() const
    {
        return this->total;
    }

    // The first bytes of the body: all of it for refusals.
    const std::string& head() const
    {
        return this->start;
    }

    // What is wrong with the body, or nothing.
    std::optional<std::string> verify(const expected_answer& expected) const;

private:
    std::string start;
    std::string held;       // the last bytes, which may be the end of the body
    char letter = '\0';     // of the filler after the head
    bool is_uniform = true; // all bytes between head and end are that letter
    std::uint64_t total = 0;
};

} // namespace pistachiospan::standin

#endif
