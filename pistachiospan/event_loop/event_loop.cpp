#include "pistachiospan/event_loop/event_loop.hpp"

#include <csignal>
#include <iostream>

namespace pistachiospan::event_loop
{

namespace
{

std::function<void(std::string_view)>& error_handler()
{
    static std::function<void(std::string_view)> handler;
    return handler;
}

void report_error(std::string_view problem)
{
    if (error_handler())
        error_handler()(problem);
    else
        std::cerr << "error in a callback: " << problem << '\n';
}

} // namespace

void set_error_handler(std::function<void(std::string_view)> handler)
{
    error_handler() = std::move(handler);
}

bool run_guarded(const std::function<void()>& action)
{
    try
    {
        action();
        return true;
    }
    catch (const std::exception& problem)
    {
        report_error(problem.what());
    }
    catch (...)
    {
        report_error("an exception that is not a std::exception");
    }
    return false;
}

void hold_signals(std::span<const int> signal_numbers)
{
    sigset_t held;
    sigemptyset(&held);
    for (const int each : signal_numbers)
        sigaddset(&held, each);
    pthread_sigmask(SIG_BLOCK, &held, nullptr);
}

void signal_handler::release_signal(int signal_number)
{
    sigset_t released;
    sigemptyset(&released);
    sigaddset(&released, signal_number);
    pthread_sigmask(SIG_UNBLOCK, &released, nullptr);
}

} // namespace pistachiospan::event_loop
