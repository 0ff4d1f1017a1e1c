// pistachiospand, the entry daemon: one process on each entry VM.

#include "pistachiospan/daemon/daemon.hpp"
#include "pistachiospan/event_loop/event_loop.hpp"

#include <event2/event.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <popt.h>

#include <array>
#include <csignal>
#include <iostream>

namespace
{

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

log4cplus::LogLevel level_of(pistachiospan::settings::log_level level)
{
    using pistachiospan::settings::log_level;
    switch (level)
    {
    case log_level::trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

// Logs to standard error, one event per line: time, level, then name=value fields.
void set_up_logs(pistachiospan::settings::log_level level)
{
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n")));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(level_of(level));
}

int run(const std::string& path)
{
    const auto settings = pistachiospan::settings::load_settings(path);
    if (!settings)
    {
        std::cerr << settings.error().message << '\n';
        return exit_usage;
    }
    pistachiospan::event_loop::hold_signals(std::array{SIGTERM, SIGINT});
    const log4cplus::Initializer logs;
    set_up_logs(settings.value().level);
    std::signal(SIGPIPE, SIG_IGN);
    event_base* base = event_base_new();
    {
        pistachiospan::daemon::entry_daemon daemon(base, settings.value());
        event_base_dispatch(base);
    }
    event_base_free(base);
    return 0;
}

} // namespace

int main(int argc, const char** argv)
{
    char* path = nullptr;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &path, 0, "settings file of this VM", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("pistachiospand", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1 || path == nullptr)
    {
        if (parsed < -1)
            std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(parsed)
                      << '\n';
        poptPrintUsage(context, stderr, 0);
        poptFreeContext(context);
        return exit_usage;
    }
    const std::string file = path;
    poptFreeContext(context);
    try
    {
        return run(file);
    }
    catch (const std::exception& problem)
    {
        std::cerr << problem.what() << '\n';
        return exit_failure;
    }
}
