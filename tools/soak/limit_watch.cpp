#include "tools/soak/limit_watch.hpp"

#include <sstream>

namespace pistachiospan::soak
{

namespace
{

constexpr duration window = std::chrono::seconds(4);
// From the naming of a limit until it must hold.
constexpr duration notice = std::chrono::seconds(3);
// From the first answer to a VM until its requests count, and the time to that answer.
constexpr duration told_notice = std::chrono::milliseconds(500);
constexpr duration answer_time = std::chrono::milliseconds(20);
constexpr double tolerance = 1.5;
constexpr double slack = 5; // requests

} // namespace

void limit_watch::name(time_point now, std::optional<double> next)
{
    this->limit = next;
    this->named_at = now;
    this->told.clear();
    this->arrivals.clear();
}

void limit_watch::note_link_change(time_point now)
{
    this->link_changed_at = now;
    std::erase_if(this->told, [now](const auto& each) { return each.second > now; });
}

std::optional<std::string>
limit_watch::note_arrival(time_point now, const std::string& vm, bool is_answered)
{
    if (!this->limit)
        return std::nullopt;
    if (is_answered)
        this->told.emplace(vm, now + answer_time);
    const auto found = this->told.find(vm);
    if (found == this->told.end())
        return std::nullopt;
    const time_point told_at = found->second;
    const bool is_settled =
        now - this->named_at > notice && now - this->link_changed_at > notice;
    if (!is_settled || now - told_at < told_notice)
        return std::nullopt;
    this->arrivals.push_back(now);
    while (now - this->arrivals.front() > window)
        this->arrivals.pop_front();
    const double seconds = std::chrono::duration<double>(window).count();
    const double allowed = tolerance * *this->limit * seconds + slack;
    if (static_cast<double>(this->arrivals.size()) <= allowed)
        return std::nullopt;
    std::ostringstream text;
    text << "with a limit of " << *this->limit << "/s got " << this->arrivals.size()
         << " requests in 4 s, allowed " << allowed;
    return text.str();
}

} // namespace pistachiospan::soak
