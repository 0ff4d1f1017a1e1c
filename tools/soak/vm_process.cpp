#include "tools/soak/vm_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>

namespace pistachiospan::soak
{

vm_process::vm_process(vm_options options) : options(std::move(options))
{
    std::ofstream settings(this->options.directory / (this->options.name + ".conf"));
    settings << "node=" << this->options.name << "\nzone=n1\nregion=north\n"
             << "zones.n1=north\nipAddress=" << this->options.ip
             << "\nlisten.frontend=" << this->options.ip << ":18206"
             << "\nlisten.readiness=" << this->options.ip << ":18201"
             << "\nlisten.directory=" << this->options.ip << ":18209"
             << "\ninternalPortRange=17600,17615\nplatform.address="
             << this->options.store
             << "\nbounds=gracePeriodS=3,ttl_max_s=5,retryBudgetSlack=50\n";
}

vm_process::~vm_process()
{
    if (!this->running())
        return;
    ::kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
}

void vm_process::start(time_point now)
{
    const std::string settings = this->options.directory / (this->options.name + ".conf");
    const std::string log = this->options.directory / (this->options.name + ".log");
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::string daemon = this->options.daemon;
    std::string flag = "--settings";
    std::string path = settings;
    char* arguments[] = {daemon.data(), flag.data(), path.data(), nullptr};
    // A signal before the daemon's first instruction would end it whatever it does. The
    // daemon releases signals when it has handlers for them.
    sigset_t held;
    sigemptyset(&held);
    for (const int each : {SIGTERM, SIGHUP})
        sigaddset(&held, each);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigmask(&attributes, &held);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int failed =
        posix_spawn(&this->pid, daemon.c_str(), &files, &attributes, arguments, environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0)
        throw std::runtime_error("cannot start " + daemon + "; build pistachio-edge");
    this->last_fault = now;
    this->process_fault = now;
    this->stop_begun = {};
    this->paused = false;
    this->clean_stop = false;
}

void vm_process::signal(int number)
{
    if (this->running())
        ::kill(this->pid, number);
}

bool vm_process::was_killed() const
{
    return WIFSIGNALED(this->exit_status) && WTERMSIG(this->exit_status) == SIGKILL;
}

bool vm_process::has_failed() const
{
    return this->exit_status != 0 && !this->was_killed();
}

bool vm_process::collect(time_point now)
{
    if (!this->running() || waitpid(this->pid, &this->exit_status, WNOHANG) != this->pid)
        return false;
    this->pid = 0;
    this->last_fault = now;
    return true;
}

} // namespace pistachiospan::soak
