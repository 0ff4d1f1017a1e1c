// The commands of the operator's tool pistachioctl. Network access and timers are
// supplied by the caller.
//
// Example:
//
//     commands tool({.rows = platform, .objects = platform, .vms = platform,
//                       .http_get = get, .after = later, .print = write, .print_error =
//                       warn});
//     tool.status([](exit_code code) { ... });
//
// Results go to `print`, as text or as one JSON document; errors go to `print_error`.

#ifndef PISTACHIOSPAN_CTL_CTL_HPP
#define PISTACHIOSPAN_CTL_CTL_HPP

#include "pistachiospan/base/base.hpp"
#include "pistachiospan/edit/edit.hpp"
#include "pistachiospan/store/store.hpp"

#include <optional>
#include <vector>

namespace pistachiospan::ctl
{

enum class exit_code
{
    ok = 0,
    refused = 1,         // the catalogue or an argument is invalid; nothing was changed
    usage = 2,           // the command line is invalid
    conflict = 3,        // another edit was accepted first; nothing was changed
    unavailable = 4,     // the platform can't be reached; nothing was changed
    unknown_outcome = 5, // the edit may have been accepted; repeat the same command
    not_in_force = 6,    // a VM does not answer or does not have the version yet
};

// Every error without an exit code of its own becomes `refused`.
exit_code to_exit_code(const error& cause);

// Answer of an entry VM to GET /status.
struct vm_status
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::string data_centre;
    catalogue_version active_version = 0;
    catalogue_version held_version = 0;
    std::string digest;
    bool ready = false;
    bool draining = false;
    // Time since the store last confirmed the version, in milliseconds; negative: never.
    std::int64_t confirmation_age_ms = 0;
};

void to_json(nlohmann::json& out, const vm_status& value);
void from_json(const nlohmann::json& in, vm_status& value);

// What the commands need from the process.
struct environment
{
    store::table& rows;
    store::object_store& objects;
    store::vm_list& vms;
    // GET of a path at ip:port. Errors: unavailable, invalid_argument for an address that
    // is not ip:port.
    std::function<void(const std::string& address, const std::string& path,
                       store::handler<std::string>)>
        http_get;
    // Calls a function once, after a delay.
    std::function<void(duration, std::function<void()>)> after;
    std::function<void(std::string_view)> print;
    std::function<void(std::string_view)> print_error;
    // Difference between two catalogue texts, in the form that VMs apply.
    std::function<nlohmann::json(std::string_view, std::string_view)> difference;
    bool json = false; // print JSON instead of text
    // Caller addresses of the VMs to query when the platform's VM list can't be read.
    std::vector<std::string> vm_addresses;
    duration poll_interval = std::chrono::seconds(1);
    // Maximum time to wait until a version is in force on all VMs.
    duration watch_timeout = std::chrono::seconds(30);
};

struct catalogue_file
{
    std::string name;
    std::string text;
};

struct apply_request
{
    catalogue_file file;
    std::string who;
    std::string edit_id;
    // Version that the file is based on; absent: the one in the file's first line, if
    // any.
    std::optional<catalogue_version> base;
    bool wait = false; // until the version is in force on all VMs
};

struct audit_request
{
    std::string time_prefix; // such as "2026-12-04"; empty: all
    std::size_t limit = 50;  // the newest rows
};

namespace internal
{

// One VM of the VM list, with its status or the reason why there is none.
struct observed_vm
{
    std::string id;
    std::string address;
    bool leaving = false;
    std::optional<vm_status> status;
    std::string problem; // set if there is no status
};

using observed_vms = std::vector<observed_vm>;

} // namespace internal

using completion_handler = std::function<void(exit_code)>;

// Each asynchronous command calls `done` exactly once. The object and everything that its
// environment refers to must outlive the command.
class commands
{
public:
    explicit commands(environment env);

    // Checks a catalogue file without the platform.
    exit_code check(const catalogue_file& file) const;
    // Prints the differences from the version in force to the file.
    void diff(const catalogue_file& file, const completion_handler& done);
    // Submits the file as an edit of the catalogue.
    void apply(wall_time now, const apply_request& request,
               const completion_handler& done);
    // Prints the text in force, preceded by a line with its version, for a later apply().
    void show(const completion_handler& done);
    // Prints the status of all entry VMs. The exit code is not_in_force if a VM has no
    // status, another version or another text.
    void status(const completion_handler& done);
    // Prints the newest rows of the audit log.
    void audit(const audit_request& request, const completion_handler& done);
    // Marks an upstream as draining, or removes the mark, and waits until this is in
    // force on all entry VMs.
    void drain(wall_time now, const edit::drain_request& request,
               const completion_handler& done);
    // Prints the salted hash of a caller's key, as the catalogue stores it.
    exit_code hash_key(std::string_view salt, std::string_view key) const;

private:
    edit::editor make_editor() const;
    void report(const result<edit::edit_outcome>& outcome, bool wait,
                const completion_handler& done);

    void report_status(const result<internal::observed_vms>& vms,
                       catalogue_version newest, const completion_handler& done);

    environment env;
};

} // namespace pistachiospan::ctl

#endif
