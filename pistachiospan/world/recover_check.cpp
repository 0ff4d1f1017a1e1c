#include "pistachiospan/world/recover_check.hpp"

namespace pistachiospan::world
{

namespace
{

constexpr double lowest_ratio = 2.0 / 3;
constexpr double allowed_failures = 10;
constexpr double allowed_failed_share = 1.0 / 50; // of all requests

} // namespace

bool recover_report::is_broken() const
{
    const auto all = static_cast<double>(this->cut_off.sent + this->others.sent);
    const auto failed = static_cast<double>(this->cut_off.sent - this->cut_off.answered);
    return this->cut_off.share() < lowest_ratio * this->others.share() &&
           failed > allowed_failures + allowed_failed_share * all;
}

recover_report check_recovery(const world& all, const std::set<std::size_t>& cut_off,
                              time_point since, time_point until)
{
    recover_report report;
    for (const caller_request_outcome& each : all.outcomes())
    {
        if (each.sent_at < since || each.sent_at >= until)
            continue;
        served_share& share = cut_off.contains(each.vm) ? report.cut_off : report.others;
        ++share.sent;
        share.answered += each.answered ? 1 : 0;
    }
    return report;
}

} // namespace pistachiospan::world
