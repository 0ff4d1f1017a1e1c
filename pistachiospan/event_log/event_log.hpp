// Structured log: one JSON object a line on standard output, bounded and never blocking.
//
// Example:
//
//     event_log log({.vm = "vm-1"});
//     log.write(now, wall, "refused", {{"id", id}, {"reason", "too_late"}});
//
// Each event name has a rate. Lines above it are counted and the count is written with
// the next line of that name (`left_out`). A full pipe loses lines, never time (`lost`).

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
    double lines_per_second = 20; // of one event name
    double burst = 60;            // lines of one event name
};

class event_log
{
public:
    explicit event_log(log_options options);

    // Makes the fields only if the line is written: most lines of an overload are not.
    void write(time_point now, wall_time wall, std::string_view event,
               const std::function<nlohmann::ordered_json()>& make_fields);
    void write(time_point now, wall_time wall, std::string_view event,
               const nlohmann::ordered_json& fields);

    std::uint64_t suppressed_lines() const; // over the rate
    std::uint64_t dropped_lines() const;    // the pipe was full

private:
    struct budget
    {
        double lines = 0;
        time_point refilled;
        std::uint64_t left_out = 0;
    };

    bool take_line(time_point now, budget& of) const;

    log_options options;
    std::map<std::string, budget, std::less<>> budgets;
    std::uint64_t left_out_total = 0;
    log4cplus::Logger logger;
    std::shared_ptr<std::uint64_t> lost_lines;
};

} // namespace pistachiospan::event_log

#endif
