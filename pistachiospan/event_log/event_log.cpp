#include "pistachiospan/event_log/event_log.hpp"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <algorithm>

namespace pistachiospan::event_log
{

namespace
{

// Writes complete lines to standard output without blocking and drops lines for which the
// pipe has no room.
class nonblocking_appender : public log4cplus::Appender
{
public:
    explicit nonblocking_appender(std::shared_ptr<std::uint64_t> dropped)
        : dropped(std::move(dropped))
    {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

    ~nonblocking_appender() override
    {
        this->destructorImpl();
    }

    void close() override
    {
        this->closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        // Finish a partly written line before the next one.
        if (!this->unfinished.empty())
            this->unfinished = write_available(this->unfinished);
        if (!this->unfinished.empty())
        {
            ++*this->dropped;
            return;
        }
        const std::string line = event.getMessage() + '\n';
        std::string remaining = write_available(line);
        if (remaining.size() == line.size())
            ++*this->dropped;
        else
            this->unfinished = std::move(remaining);
    }

private:
    // Writes as much as the pipe accepts and returns the unwritten bytes.
    static std::string write_available(const std::string& bytes)
    {
        const ssize_t written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
        return bytes.substr(written > 0 ? static_cast<std::size_t>(written) : 0);
    }

    std::shared_ptr<std::uint64_t> dropped;
    std::string unfinished; // remainder of a partly written line
};

} // namespace

event_log::event_log(log_options options)
    : options(std::move(options)),
      logger(log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("events"))),
      dropped(std::make_shared<std::uint64_t>(0))
{
    this->logger.removeAllAppenders();
    this->logger.setAdditivity(false);
    this->logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    this->logger.addAppender(
        log4cplus::SharedAppenderPtr(new nonblocking_appender(this->dropped)));
}

bool event_log::take_line(time_point now, budget& budget) const
{
    const double elapsed =
        std::chrono::duration<double>(now - budget.refilled_at).count();
    budget.refilled_at = now;
    budget.lines = std::min(this->options.burst,
                            budget.lines + elapsed * this->options.lines_per_second);
    if (budget.lines < 1)
        return false;
    budget.lines -= 1;
    return true;
}

void event_log::write(time_point now, wall_time wall, std::string_view event,
                      const nlohmann::ordered_json& fields)
{
    this->write(now, wall, event, [&fields] { return fields; });
}

void event_log::write(time_point now, wall_time wall, std::string_view event,
                      const std::function<nlohmann::ordered_json()>& make_fields)
{
    auto found = this->budgets.find(event);
    if (found == this->budgets.end())
        found =
            this->budgets
                .emplace(event, budget{.lines = this->options.burst, .refilled_at = now})
                .first;
    budget& budget = found->second;
    if (!this->take_line(now, budget))
    {
        ++budget.suppressed;
        ++this->suppressed_total;
        return;
    }
    nlohmann::ordered_json line = {{"t", wall.time_since_epoch().count()},
                                   {"vm", this->options.vm},
                                   {"event", event}};
    if (budget.suppressed > 0)
        line["left_out"] = std::exchange(budget.suppressed, 0);
    line.update(make_fields());
    LOG4CPLUS_INFO(
        this->logger,
        line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

std::uint64_t event_log::suppressed_lines() const
{
    return this->suppressed_total;
}

std::uint64_t event_log::dropped_lines() const
{
    return *this->dropped;
}

} // namespace pistachiospan::event_log
