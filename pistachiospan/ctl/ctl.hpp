// The commands of the operator command pistachioctl, without sockets and clocks.
//
// Example:
//
//     commands operate({.rows = platform, .objects = platform, .vms = platform,
//                       .http_get = get, .after = later, .print = write, .print_error =
//                       warn});
//     operate.status([](exit_code code) { ... });
//
// Results go to `print`, as text or as one JSON document; problems go to `print_error`.

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
    refused = 1,         // the catalogue or an argument is wrong; nothing was changed
    usage = 2,           // the command line is wrong
    conflict = 3,        // another edit came first; nothing was changed
    unavailable = 4,     // the platform can't be reached; nothing was changed
    unknown_outcome = 5, // the edit may have been accepted; repeat the same command
    not_in_force = 6,    // a VM does not answer or does not have the version yet
};

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
    std::int64_t confirmation_age_ms = 0; // below 0: never confirmed
};

void to_json(nlohmann::json& out, const vm_status& value);
void from_json(const nlohmann::json& in, vm_status& value);

struct environment
{
    store::table& rows;
    store::object_store& objects;
    store::vm_list& vms;
    // GET of a path at ip:port; errors: unavailable.
    std::function<void(const std::string& address, const std::string& path,
                       store::handler<std::string>)>
        http_get;
    std::function<void(duration, std::function<void()>)> after;
    std::function<void(std::string_view)> print;
    std::function<void(std::string_view)> print_error;
    std::function<nlohmann::json(std::string_view, std::string_view)> difference;
    bool json = false;
    // Caller addresses of VMs to ask while the platform's list can't be read.
    std::vector<std::string> vm_addresses;
    duration poll_interval = std::chrono::seconds(1);
    duration watch_timeout = std::chrono::seconds(30); // until a version is in force
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
    std::optional<catalogue_version> base; // absent: the first line of the file, if any
    bool wait = false;                     // until the version is in force everywhere
};

struct audit_request
{
    std::string time_prefix; // such as "2026-12-04"; empty: all
    std::size_t limit = 50;  // the newest rows
};

namespace internal
{

// One VM of the list and what it answered.
struct observed_vm
{
    std::string id;
    std::string address;
    bool leaving = false;
    std::optional<vm_status> status;
    std::string problem;
};

using observed_vms = std::vector<observed_vm>;

} // namespace internal

using completion_handler = std::function<void(exit_code)>;

// Each call ends with one call of `done`. The object and what its environment refers to
// must outlive the calls.
class commands
{
public:
    explicit commands(environment env);

    exit_code check(const catalogue_file& file) const;
    // Differences from the version in force to the file.
    void diff(const catalogue_file& file, const completion_handler& done);
    void apply(wall_time now, const apply_request& request,
               const completion_handler& done);
    // The text in force, with the line that names its version.
    void show(const completion_handler& done);
    void status(const completion_handler& done);
    void audit(const audit_request& request, const completion_handler& done);
    // Marks an upstream, then watches until the mark is in force on all entry VMs.
    void drain(wall_time now, const edit::drain_request& request,
               const completion_handler& done);
    exit_code hash_key(std::string_view salt, std::string_view key) const;

private:
    edit::editor make_editor() const;
    void report(const result<edit::applied>& outcome, bool wait,
                const completion_handler& done);

    void report_status(const result<internal::observed_vms>& found,
                       catalogue_version newest, const completion_handler& done);

    environment env;
};

} // namespace pistachiospan::ctl

#endif
