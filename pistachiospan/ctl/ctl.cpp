#include "pistachiospan/ctl/ctl.hpp"

#include "pistachiospan/catalogue/catalogue.hpp"

#include <algorithm>
#include <map>
#include <memory>

namespace pistachiospan::ctl
{

namespace
{

using nlohmann::json;

std::string dump(const json& value)
{
    return value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

exit_code fail(const environment& env, const error& cause)
{
    env.print_error(cause.message + "\n");
    if (env.json)
        env.print(dump({{"ok", false},
                        {"error", cause.code.message()},
                        {"message", cause.message}}));
    return to_exit_code(cause);
}

json to_json_list(const std::vector<catalogue::change>& changes)
{
    json list = json::array();
    for (const catalogue::change& each : changes)
        list.push_back({{"entry", each.entry},
                        {"field", each.field},
                        {"before", each.before},
                        {"after", each.after}});
    return list;
}

std::string to_text(const std::vector<catalogue::change>& changes)
{
    std::string text;
    for (const catalogue::change& each : changes)
    {
        text += "  [" + each.entry + "] ";
        if (each.field.empty())
            text += each.after.empty() ? "removed\n" : "added\n";
        else
            text += each.field + ": " + (each.before.empty() ? "-" : each.before) +
                    " -> " + (each.after.empty() ? "-" : each.after) + "\n";
    }
    return text;
}

result<vm_status> parse_status(const std::string& body)
{
    try
    {
        return json::parse(body).get<vm_status>();
    }
    catch (const json::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("malformed status (") + problem.what() +
                           "); check that the address is the caller listener of an entry "
                           "VM");
    }
}

using internal::observed_vm;
using internal::observed_vms;

// Queries the status of all VMs once. Keeps itself alive until it has called its handler.
class status_query : public std::enable_shared_from_this<status_query>
{
public:
    using handler = std::function<void(const result<observed_vms>&)>;

    status_query(const environment& env, handler done) : env(env), done(std::move(done))
    {
    }

    void start()
    {
        this->env.vms.list([self = this->shared_from_this()](
                               const result<std::vector<store::vm_entry>>& list)
                           { self->query_vms(list); });
    }

private:
    void query_vms(const result<std::vector<store::vm_entry>>& list)
    {
        if (list)
            for (const store::vm_entry& each : list.value())
                this->vms.push_back({.id = each.id.value,
                                     .address = each.caller_address,
                                     .leaving = each.leaving});
        else if (this->env.vm_addresses.empty())
            return this->done(
                error{list.error().code,
                      "the VM list can't be read: " + list.error().message +
                          "; give entry VMs with --vm to query them directly"});
        else
            for (const std::string& address : this->env.vm_addresses)
                this->vms.push_back({.id = address, .address = address});
        this->pending = this->vms.size();
        if (this->pending == 0)
            return this->done(this->vms);
        for (std::size_t index = 0; index < this->vms.size(); ++index)
            this->env.http_get(this->vms[index].address, "/status",
                               [self = this->shared_from_this(),
                                index](const result<std::string>& answer)
                               { self->store_status(index, answer); });
    }

    void store_status(std::size_t index, const result<std::string>& answer)
    {
        observed_vm& vm = this->vms[index];
        const result<vm_status> status =
            answer ? parse_status(answer.value()) : result<vm_status>(answer.error());
        if (status)
            vm.status = status.value();
        else
            vm.problem = status.error().message;
        if (--this->pending == 0)
            this->done(this->vms);
    }

    const environment& env;
    handler done;
    observed_vms vms;
    std::size_t pending = 0; // status queries without an answer
};

void query_all(const environment& env, status_query::handler done)
{
    std::make_shared<status_query>(env, std::move(done))->start();
}

bool is_in_force(const observed_vm& vm, catalogue_version version)
{
    return vm.status && vm.status->active_version >= version;
}

// A leaving VM without a status is disregarded: it may have ended since the list was
// made.
bool in_force_on_all(const observed_vms& vms, catalogue_version version)
{
    return std::all_of(vms.begin(), vms.end(),
                       [&](const observed_vm& vm) {
                           return is_in_force(vm, version) ||
                                  (vm.leaving && !vm.status.has_value());
                       });
}

json to_json(const observed_vm& vm)
{
    json out = {{"id", vm.id}, {"address", vm.address}, {"leaving", vm.leaving}};
    if (vm.status)
        out["status"] = *vm.status;
    else
        out["problem"] = vm.problem;
    return out;
}

std::string to_text(const observed_vm& vm)
{
    std::string line = vm.id + "  " + vm.address + "  ";
    if (!vm.status)
        return line + "no status: " + vm.problem + "\n";
    const vm_status& status = *vm.status;
    line += status.data_centre + "  version " + std::to_string(status.active_version);
    if (status.held_version != status.active_version)
        line += " (holds " + std::to_string(status.held_version) + ")";
    line += status.ready ? "  ready" : "  not ready";
    line += status.draining || vm.leaving ? "  draining" : "";
    line += status.confirmation_age_ms < 0
                ? "  never confirmed"
                : "  confirmed " + std::to_string(status.confirmation_age_ms) + " ms ago";
    return line + "\n";
}

// Ids of the VMs on which a version is not in force, separated by commas.
std::string outdated_vm_ids(const observed_vms& vms, catalogue_version version)
{
    std::string names;
    for (const observed_vm& vm : vms)
        if (!is_in_force(vm, version))
            names += (names.empty() ? "" : ", ") + vm.id;
    return names;
}

// Two VMs that have the same version with different digests, if there are any: the text
// of one of them was damaged or replaced.
std::string inconsistent_vm_ids(const observed_vms& vms)
{
    std::map<catalogue_version, const observed_vm*> first;
    for (const observed_vm& vm : vms)
    {
        if (!vm.status)
            continue;
        const auto [first_vm, is_new] = first.emplace(vm.status->active_version, &vm);
        if (!is_new && first_vm->second->status->digest != vm.status->digest)
            return first_vm->second->id + " and " + vm.id;
    }
    return {};
}

// Describes the first problem of the VMs; empty if there is none.
std::string find_problem(const observed_vms& vms, catalogue_version newest)
{
    if (vms.empty())
        return "the VM list is empty; check the platform's VM list";
    const std::string inconsistent = inconsistent_vm_ids(vms);
    if (!inconsistent.empty())
        return "different texts of one version on " + inconsistent +
               "; apply the catalogue again and replace these VMs";
    if (!in_force_on_all(vms, newest))
        return "version " + std::to_string(newest) + " is not in force on " +
               outdated_vm_ids(vms, newest) +
               "; check that these VMs run and can reach the other VMs";
    return {};
}

// Polls all VMs until a version is in force on each of them or the timeout has passed.
// Keeps itself alive until it has called its handler.
class rollout_watch : public std::enable_shared_from_this<rollout_watch>
{
public:
    rollout_watch(const environment& env, catalogue_version version, json report,
                  completion_handler done)
        : env(env), version(version), report(std::move(report)), done(std::move(done))
    {
    }

    void start()
    {
        query_all(this->env, [self = this->shared_from_this()](
                                 const result<observed_vms>& vms) { self->check(vms); });
    }

private:
    void check(const result<observed_vms>& vms)
    {
        if (vms && !vms.value().empty() && in_force_on_all(vms.value(), this->version))
            return this->end(exit_code::ok, "in force on all " +
                                                std::to_string(vms.value().size()) +
                                                " entry VMs");
        this->waited += this->env.poll_interval;
        if (this->waited <= this->env.watch_timeout)
            return this->env.after(this->env.poll_interval,
                                   [self = this->shared_from_this()] { self->start(); });
        this->end(exit_code::not_in_force, this->describe(vms));
    }

    // Message for a version that is not in force in time.
    std::string describe(const result<observed_vms>& vms) const
    {
        const std::string accepted =
            "version " + std::to_string(this->version) + " is accepted, but ";
        if (!vms)
            return accepted + vms.error().message;
        if (vms.value().empty())
            return accepted + "the VM list is empty; check the platform's VM list";
        return accepted + "not yet in force on " +
               outdated_vm_ids(vms.value(), this->version) +
               "; check these VMs with 'pistachioctl status'";
    }

    void end(exit_code code, const std::string& message)
    {
        if (this->env.json)
        {
            this->report["in_force"] = code == exit_code::ok;
            this->report["message"] = message;
            this->env.print(dump(this->report));
        }
        else if (code == exit_code::ok)
            this->env.print(message + "\n");
        if (code != exit_code::ok)
            this->env.print_error(message + "\n");
        this->done(code);
    }

    const environment& env;
    catalogue_version version;
    json report;
    completion_handler done;
    duration waited = duration::zero();
};

json to_json(const edit::edit_outcome& outcome)
{
    return {{"ok", true},
            {"version", outcome.version},
            {"repeated", outcome.repeated},
            {"unchanged", outcome.unchanged},
            {"changes", to_json_list(outcome.changes)}};
}

std::string to_text(const edit::edit_outcome& outcome)
{
    const std::string version = std::to_string(outcome.version);
    if (outcome.unchanged)
        return "no change: version " + version + " has this text already\n";
    if (outcome.repeated)
        return "this edit was accepted before as version " + version + "\n";
    return "accepted as version " + version + "\n" + to_text(outcome.changes);
}

// One row as text. Rows written by entry daemons may have other fields; they are printed
// unchanged.
std::string audit_line(const store::row& row, const json& value)
{
    std::string line;
    try
    {
        line = value.at("when").get<std::string>() + "  ";
        line += value.at("who").get<std::string>() + "  ";
        line += value.at("what").get<std::string>() + "  version ";
        line += std::to_string(value.at("from").get<catalogue_version>()) + " -> ";
        line += std::to_string(value.at("to").get<catalogue_version>()) + "  edit ";
        line += value.at("edit").get<std::string>() + "  ";
        line += std::to_string(value.at("changes").size()) + " changes\n";
    }
    catch (const json::exception&)
    {
        line = row.key.substr(row.key.find('/') + 1) + "  " + row.value + "\n";
    }
    return line;
}

} // namespace

void to_json(json& out, const vm_status& value)
{
    out = {{"vm", value.vm},
           {"incarnation", value.incarnation},
           {"data_centre", value.data_centre},
           {"active_version", value.active_version},
           {"held_version", value.held_version},
           {"digest", value.digest},
           {"ready", value.ready},
           {"draining", value.draining},
           {"confirmation_age_ms", value.confirmation_age_ms}};
}

void from_json(const json& in, vm_status& value)
{
    in.at("vm").get_to(value.vm);
    in.at("incarnation").get_to(value.incarnation);
    in.at("data_centre").get_to(value.data_centre);
    in.at("active_version").get_to(value.active_version);
    in.at("held_version").get_to(value.held_version);
    in.at("digest").get_to(value.digest);
    in.at("ready").get_to(value.ready);
    in.at("draining").get_to(value.draining);
    const json& age = in.at("confirmation_age_ms");
    value.confirmation_age_ms = age.is_null() ? -1 : age.get<std::int64_t>();
}

exit_code to_exit_code(const error& cause)
{
    if (cause.code == errc::conflict)
        return exit_code::conflict;
    if (cause.code == errc::unavailable || cause.code == errc::timeout ||
        cause.code == errc::limit_exceeded)
        return exit_code::unavailable;
    if (cause.code == errc::unknown_outcome)
        return exit_code::unknown_outcome;
    return exit_code::refused;
}

commands::commands(environment env) : env(std::move(env)) {}

edit::editor commands::make_editor() const
{
    return {this->env.rows, this->env.objects,
            edit::editor_options{.after = this->env.after,
                                 .difference = this->env.difference}};
}

exit_code commands::check(const catalogue_file& file) const
{
    const auto parsed = catalogue::parse_catalogue(file.text, file.name);
    if (!parsed)
        return fail(this->env, parsed.error());
    const catalogue::catalogue& catalogue = parsed.value();
    if (this->env.json)
        this->env.print(dump({{"ok", true},
                              {"name", catalogue.name},
                              {"accounts", catalogue.accounts.size()},
                              {"routes", catalogue.routes.size()},
                              {"upstream_groups", catalogue.groups.size()}}));
    else
        this->env.print(file.name + ": catalogue '" + catalogue.name + "' is valid: " +
                        std::to_string(catalogue.accounts.size()) + " client accounts, " +
                        std::to_string(catalogue.routes.size()) + " routes, " +
                        std::to_string(catalogue.groups.size()) + " upstream groups\n");
    return exit_code::ok;
}

void commands::diff(const catalogue_file& file, const completion_handler& done)
{
    const auto parsed = catalogue::parse_catalogue(file.text, file.name);
    if (!parsed)
        return done(fail(this->env, parsed.error()));
    this->make_editor().current(
        [this, done, after = parsed.value()](const result<edit::snapshot>& read)
        {
            if (!read)
                return done(fail(this->env, read.error()));
            const auto before =
                catalogue::parse_catalogue(read.value().text, "version in force");
            const auto changes = catalogue::compare(
                before ? before.value() : catalogue::catalogue(), after);
            const catalogue_version version = read.value().catalogue_head.version;
            if (this->env.json)
                this->env.print(dump({{"ok", true},
                                      {"version", version},
                                      {"changes", to_json_list(changes)}}));
            else
                this->env.print(std::to_string(changes.size()) +
                                " changes from version " + std::to_string(version) +
                                "\n" + to_text(changes));
            done(exit_code::ok);
        });
}

void commands::apply(wall_time now, const apply_request& request,
                     const completion_handler& done)
{
    const auto parsed = catalogue::parse_catalogue(request.file.text, request.file.name);
    if (!parsed)
        return done(fail(this->env, parsed.error()));
    const auto base =
        request.base ? request.base : edit::parse_base_version(request.file.text);
    if (!base)
        this->env.print_error(
            "warning: the file names no base version; edits accepted since "
            "it was created will be undone. Create files with 'pistachioctl show' "
            "or give --base\n");
    this->make_editor().apply(
        now,
        {.edit_id = request.edit_id,
         .who = request.who,
         .text = std::string(edit::remove_base_line(request.file.text)),
         .file_name = request.file.name,
         .base_version = base},
        [this, done, wait = request.wait](const result<edit::edit_outcome>& outcome)
        { this->report(outcome, wait, done); });
}

void commands::report(const result<edit::edit_outcome>& outcome, bool wait,
                      const completion_handler& done)
{
    if (!outcome)
        return done(fail(this->env, outcome.error()));
    const json report = to_json(outcome.value());
    if (!this->env.json)
        this->env.print(to_text(outcome.value()));
    if (wait)
        return std::make_shared<rollout_watch>(this->env, outcome.value().version, report,
                                               done)
            ->start();
    if (this->env.json)
        this->env.print(dump(report));
    done(exit_code::ok);
}

void commands::show(const completion_handler& done)
{
    this->make_editor().current(
        [this, done](const result<edit::snapshot>& read)
        {
            if (!read)
                return done(fail(this->env, read.error()));
            const edit::snapshot& now = read.value();
            if (this->env.json)
                this->env.print(dump({{"ok", true},
                                      {"version", now.catalogue_head.version},
                                      {"digest", now.catalogue_head.digest},
                                      {"edit", now.catalogue_head.edit_id},
                                      {"text", now.text}}));
            else
                this->env.print(
                    edit::add_base_line(now.text, now.catalogue_head.version));
            done(exit_code::ok);
        });
}

void commands::status(const completion_handler& done)
{
    // Without the platform, the newest version that a VM holds is the best known one.
    this->env.rows.get(
        "catalogue/head",
        [this, done](const result<std::optional<store::row>>& row)
        {
            catalogue_version newest = 0;
            if (row && row.value())
            {
                const json head = json::parse(row.value()->value, nullptr, false);
                if (head.is_object())
                    newest = head.value("version", newest);
            }
            query_all(this->env, [this, done, newest](const result<observed_vms>& vms)
                      { this->report_status(vms, newest, done); });
        });
}

void commands::report_status(const result<internal::observed_vms>& vms,
                             catalogue_version newest, const completion_handler& done)
{
    if (!vms)
        return done(fail(this->env, vms.error()));
    json list = json::array();
    std::string text;
    for (const observed_vm& vm : vms.value())
    {
        if (vm.status)
            newest = std::max(newest, vm.status->held_version);
        list.push_back(to_json(vm));
        text += to_text(vm);
    }
    const std::string problem = find_problem(vms.value(), newest);
    if (this->env.json)
        this->env.print(dump({{"ok", problem.empty()},
                              {"version", newest},
                              {"problem", problem},
                              {"vms", list}}));
    else
        this->env.print(text);
    if (!problem.empty())
        this->env.print_error(problem + "\n");
    done(problem.empty() ? exit_code::ok : exit_code::not_in_force);
}

void commands::audit(const audit_request& request, const completion_handler& done)
{
    this->env.rows.scan(
        "audit/" + request.time_prefix,
        [this, done, limit = request.limit](const result<std::vector<store::row>>& rows)
        {
            if (!rows)
                return done(fail(this->env, rows.error()));
            const std::size_t skipped =
                rows.value().size() - std::min(limit, rows.value().size());
            json list = json::array();
            std::string text;
            for (const store::row& row : std::span(rows.value()).subspan(skipped))
            {
                const json value = json::parse(row.value, nullptr, false);
                list.push_back(
                    {{"key", row.key},
                     {"entry", value.is_discarded() ? json(row.value) : value}});
                text += audit_line(row, value);
            }
            if (this->env.json)
                this->env.print(
                    dump({{"ok", true}, {"omitted", skipped}, {"rows", list}}));
            else
                this->env.print(text);
            done(exit_code::ok);
        });
}

void commands::drain(wall_time now, const edit::drain_request& request,
                     const completion_handler& done)
{
    this->make_editor().drain(now, request,
                              [this, done](const result<edit::edit_outcome>& outcome)
                              { this->report(outcome, true, done); });
}

exit_code commands::hash_key(std::string_view salt, std::string_view key) const
{
    if (key.empty() || key.size() > catalogue::max_key_size)
        return fail(this->env, {make_error_code(errc::invalid_argument),
                                "the key is empty or longer than " +
                                    std::to_string(catalogue::max_key_size) +
                                    " bytes; write it as one line to standard input"});
    const std::string hash = catalogue::hash_key(salt, key);
    this->env.print(this->env.json ? dump({{"ok", true}, {"key_hash", hash}})
                                   : hash + "\n");
    return exit_code::ok;
}

} // namespace pistachiospan::ctl
