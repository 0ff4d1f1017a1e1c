// One edge daemon as a process of its own, ended and paused by signals to its id.

#ifndef PISTACHIOSPAN_TOOLS_SOAK_VM_PROCESS_HPP
#define PISTACHIOSPAN_TOOLS_SOAK_VM_PROCESS_HPP

#include "pistachiospan/base/base.hpp"

#include <sys/types.h>

#include <filesystem>

namespace pistachiospan::soak
{

struct vm_options
{
    std::string daemon;              // path of the program
    std::filesystem::path directory; // for settings and logs
    std::string name;
    std::string ip;
    std::string store; // address of the store as this VM sees it
};

class vm_process
{
public:
    explicit vm_process(vm_options options);
    ~vm_process();
    vm_process(const vm_process&) = delete;
    vm_process& operator=(const vm_process&) = delete;

    void start(time_point now);
    void signal(int number);
    // Collects the process if it has ended. Returns true at the first call after the end.
    bool collect(time_point now);
    // The collected process ended with an error, or by a signal other than SIGKILL.
    bool has_failed() const;
    bool was_killed() const; // by SIGKILL
    int wait_status() const
    {
        return this->exit_status;
    }

    bool running() const
    {
        return this->pid > 0;
    }
    std::string callers() const
    {
        return this->options.ip + ":18206";
    }
    const std::string& name() const
    {
        return this->options.name;
    }

    time_point last_fault;    // of the process or its link to the store
    time_point process_fault; // of the process: start, pause, resume, kill
    time_point stop_begun;    // SIGTERM was sent; the epoch: none since the start
    bool paused = false;
    bool cut_off = false;    // its link to the store is harmed, also across restarts
    bool clean_stop = false; // nothing but the SIGTERM has happened since it was sent

private:
    vm_options options;
    pid_t pid = 0;
    int exit_status = 0;
};

} // namespace pistachiospan::soak

#endif
