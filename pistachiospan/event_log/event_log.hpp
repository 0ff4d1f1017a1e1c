// Structured log: one JSON object per line on standard output. It is rate-limited and
// never blocks.
//
// Example:
//
//     event_log log({.vm = "vm-1"});
//     log.write(now, wall, "refused", {{"id", id}, {"reason", "too_late"}});
//
// Each event name has a rate limit. Suppressed lines are counted, and the next line of
// that name contains the count as `left_out`. If the pipe is full, lines are dropped
// instead of waiting.

#ifndef PISTACHIOSPAN_EVENT_LOG_EVENT_LOG_HPP
#define PISTACHIOSPAN_EVENT_LOG_EVENT_LOG_HPP

#include "pistachiospan/base/base.hpp"

#include <log4cplus/logger.h>

#include <map>
#include <memory>

namespace pistachiospan::event_log
{

struct log_options
{
    std::string vm;
    double lines_per_second = 20; // per event name
    double burst = 60;            // lines per event name
};

class event_log
{
public:
    explicit event_log(log_options options);

    // Calls `make_fields` only if the line is written: in an overload most lines are
    // suppressed.
    void write(time_point now, wall_time wall, std::string_view event,
               const std::function<nlohmann::ordered_json()>& make_fields);
    void write(time_point now, wall_time wall, std::string_view event,
               const nlohmann::ordered_json& fields);

    std::uint64_t suppressed_lines() const; // lines above the rate limit
    std::uint64_t dropped_lines() const;    // lines for which the pipe was full

private:
    // Token bucket of one event name.
    struct budget
    {
        double lines = 0;
        time_point refilled_at;
        std::uint64_t suppressed = 0;
    };

    bool take_line(time_point now, budget& budget) const;

    log_options options;
    std::map<std::string, budget, std::less<>> budgets;
    std::uint64_t suppressed_total = 0;
    log4cplus::Logger logger;
    std::shared_ptr<std::uint64_t> dropped;
};

} // namespace pistachiospan::event_log

#endif
