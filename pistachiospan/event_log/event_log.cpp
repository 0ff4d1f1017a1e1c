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

// Writes whole lines to standard output and drops those for which there is no room.
class nonblocking_appender : public log4cplus::Appender
{
public:
    explicit nonblocking_appender(std::shared_ptr<std::uint64_t> lost)
        : lost(std::move(lost))
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
        // A line that was begun is finished before the next one.
        if (!this->rest.empty())
            this->rest = unwritten(this->rest);
        if (!this->rest.empty())
        {
            ++*this->lost;
            return;
        }
        const std::string line = event.getMessage() + '\n';
        std::string left = unwritten(line);
        if (left.size() == line.size())
            ++*this->lost;
        else
            this->rest = std::move(left);
    }

private:
    // Writes what the pipe takes and returns the rest.
    static std::string unwritten(const std::string& bytes)
    {
        const ssize_t written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
        return bytes.substr(written > 0 ? static_cast<std::size_t>(written) : 0);
    }

    std::shared_ptr<std::uint64_t> lost;
    std::string rest; // of a line that was written in part
};

} // namespace

event_log::event_log(log_options options)
    : options(std::move(options)),
      logger(log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("events"))),
      lost_lines(std::make_shared<std::uint64_t>(0))
{
    this->logger.removeAllAppenders();
    this->logger.setAdditivity(false);
    this->logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    this->logger.addAppender(
        log4cplus::SharedAppenderPtr(new nonblocking_appender(this->lost_lines)));
}

bool event_log::take_line(time_point now, budget& of) const
{
    const double elapsed = std::chrono::duration<double>(now - of.refilled).count();
    of.refilled = now;
    of.lines = std::min(this->options.burst,
                        of.lines + elapsed * this->options.lines_per_second);
    if (of.lines < 1)
        return false;
    of.lines -= 1;
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
        found = this->budgets
                    .emplace(event, budget{.lines = this->options.burst, .refilled = now})
                    .first;
    budget& own = found->second;
    if (!this->take_line(now, own))
    {
        ++own.left_out;
        ++this->left_out_total;
        return;
    }
    nlohmann::ordered_json line = {{"t", wall.time_since_epoch().count()},
                                   {"vm", this->options.vm},
                                   {"event", event}};
    if (own.left_out > 0)
        line["left_out"] = std::exchange(own.left_out, 0);
    line.update(make_fields());
    LOG4CPLUS_INFO(
        this->logger,
        line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

std::uint64_t event_log::suppressed_lines() const
{
    return this->left_out_total;
}

std::uint64_t event_log::dropped_lines() const
{
    return *this->lost_lines;
}

} // namespace pistachiospan::event_log
