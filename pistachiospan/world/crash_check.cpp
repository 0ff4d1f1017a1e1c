#include "pistachiospan/world/crash_check.hpp"

#include <algorithm>

namespace pistachiospan::world
{

namespace
{

// The users' rule counts requests that are sent this long after the third crash.
constexpr duration contact_time = std::chrono::seconds(3);
constexpr std::size_t counted_crashes = 3;

} // namespace

crash_report count_crashes(world& all, const std::string& account,
                           const std::string& object)
{
    std::vector<time_point> crashes;
    for (std::size_t each = 0; each < all.upstream_count(); ++each)
        for (const time_point at : all.upstream_at(each).crashes_by(account, object))
            crashes.push_back(at);
    std::ranges::sort(crashes);
    crash_report report{.crashes = crashes.size()};
    if (crashes.size() < counted_crashes)
        return report;
    const time_point since = crashes[counted_crashes - 1] + contact_time;
    for (std::size_t each = 0; each < all.upstream_count(); ++each)
        for (const arrival& received : all.upstream_at(each).arrivals())
            if (received.object == object && received.account == account &&
                received.unharmed && received.sent_at > since)
                ++report.late_arrivals;
    return report;
}

} // namespace pistachiospan::world
