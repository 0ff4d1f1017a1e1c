#include "standin/load/body_check.hpp"

#include "standin/common/answer.hpp"

namespace pistachiospan::standin
{

namespace
{

// The members before the filler fit into this many bytes.
constexpr std::size_t max_head = 4096;
constexpr std::string_view body_end = "\"}";
constexpr std::string_view filler_start = "\"filler\":\"";

std::optional<std::string> check_members(const nlohmann::json& members,
                                         const expected_answer& expected)
{
    if (members.value("request_id", "") != expected.request_id)
        return "answer to another request";
    if (members.value("body_id", "") != expected.request_id && expected.bytes_sent > 0)
        return "body of another request";
    if (members.value("account", "") != expected.account)
        return "another account";
    if (members.value("bytes_received", std::uint64_t{0}) != expected.bytes_sent)
        return "request body of another length";
    return std::nullopt;
}

} // namespace

void body_check::add(std::string_view part)
{
    this->total += part.size();
    const std::size_t into_head = std::min(max_head - this->start.size(), part.size());
    this->start += part.substr(0, into_head);
    part.remove_prefix(into_head);
    if (part.empty())
        return;
    this->held += part;
    if (this->held.size() <= body_end.size())
        return;
    const std::size_t checked = this->held.size() - body_end.size();
    if (this->letter == '\0')
        this->letter = this->held.front();
    this->is_uniform =
        this->is_uniform && this->held.find_first_not_of(this->letter) >= checked;
    this->held.erase(0, checked);
}

std::optional<std::string> body_check::verify(const expected_answer& expected) const
{
    const std::size_t marker = this->start.find(filler_start);
    if (marker == std::string::npos)
        return "not an answer of an upstream";
    const std::size_t filler_at = marker + filler_start.size();
    if (this->total != filler_at + expected.answer_bytes + body_end.size())
        return "answer of another length";
    const nlohmann::json members = nlohmann::json::parse(
        this->start.substr(0, filler_at) + std::string(body_end), nullptr, false);
    if (!members.is_object())
        return "malformed answer";
    if (std::optional<std::string> problem = check_members(members, expected))
        return problem;
    // The end may lie across the boundary of the head.
    const std::string rest = this->start.substr(filler_at) + this->held;
    const char letter = filler_letter(expected.request_id);
    if (!rest.ends_with(body_end))
        return "answer without its end";
    if (rest.substr(0, rest.size() - body_end.size()).find_first_not_of(letter) !=
            std::string::npos ||
        !this->is_uniform || (this->letter != '\0' && this->letter != letter))
        return "parts of another answer";
    return std::nullopt;
}

} // namespace pistachiospan::standin
