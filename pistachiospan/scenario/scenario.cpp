#include "pistachiospan/scenario/scenario.hpp"

#include "pistachiospan/scenario/internal/script.hpp"
#include "pistachiospan/scenario/internal/simulation.hpp"
#include "pistachiospan/settings/settings.hpp"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace pistachiospan::scenario
{

namespace
{

using internal::expectation;
using internal::script;
using internal::simulation;
using internal::statement;

// Stands for "it never happened" where a time is expected.
constexpr double never = 1e9;

// Rounding of the token-bucket arithmetic, in tokens.
constexpr double rounding = 1e-6;

result<std::string> read_text(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return failure(errc::not_found,
                       path + ": the file can't be read; check its path");
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

using key_table = std::map<std::string, std::vector<std::string>>; // keys by account

// Keys of the accounts: the file test-keys.txt beside the catalogue.
result<key_table> read_keys(const std::string& catalogue_path)
{
    const auto path =
        std::filesystem::path(catalogue_path).parent_path() / "test-keys.txt";
    const auto text = read_text(path.string());
    if (!text)
        return text.error();
    key_table keys;
    std::istringstream lines(text.value());
    for (std::string line; std::getline(lines, line);)
    {
        std::istringstream words(line);
        std::string account;
        std::string key;
        if (words >> account >> key && account != "#" && account.front() != '#')
            keys[account].push_back(key);
    }
    return keys;
}

// Sets a field of a section, or adds it.
result<std::string> set_field(const std::string& text, const std::string& section,
                              const std::string& field, const std::string& value)
{
    std::istringstream lines(text);
    std::string made;
    bool inside = false;
    bool done = false;
    for (std::string line; std::getline(lines, line);)
    {
        std::string name;
        std::istringstream(line) >> name;
        const bool header = line.starts_with('[');
        if (header && inside && !done)
        {
            made.append(field).append(" = ").append(value).append("\n");
            done = true;
        }
        if (header)
            inside = line == '[' + section + ']';
        const bool replaced = inside && !done && name == field;
        if (replaced)
            made.append(field).append(" = ").append(value).append("\n");
        else
            made.append(line).append("\n");
        done = done || replaced;
    }
    if (!done)
        return failure(errc::not_found, "no section [" + section + "]; check its name");
    return made;
}

result<std::string> remove_line_with(const std::string& text, const std::string& part)
{
    std::istringstream lines(text);
    std::string made;
    bool found = false;
    for (std::string line; std::getline(lines, line);)
        if (line.find(part) == std::string::npos)
            made.append(line).append("\n");
        else
            found = true;
    if (!found)
        return failure(errc::not_found, "the key is not in the catalogue");
    return made;
}

// Tokens by which admissions exceed a bucket of this rate and burst.
double excess(std::vector<time_point> admissions, double rate, double burst)
{
    std::sort(admissions.begin(), admissions.end());
    double level = 0;
    double most = 0;
    time_point last;
    for (const time_point each : admissions)
    {
        const double passed = std::chrono::duration<double>(each - last).count();
        level = std::max(0.0, level - passed * rate) + 1;
        most = std::max(most, level - burst);
        last = each;
    }
    return most <= rounding ? 0 : most;
}

std::string shown(double figure)
{
    if (figure >= never)
        return "never";
    std::ostringstream text;
    text << std::fixed << std::setprecision(figure == std::floor(figure) ? 0 : 3)
         << figure;
    return text.str();
}

// One run of one script.
class runner
{
public:
    runner(script given, std::string root) : plan(std::move(given)), root(std::move(root))
    {
    }

    result<outcome> run();

private:
    result<void> prepare();
    result<void> read_fleet();
    void take_setup(const statement& next);
    void check_names();
    void check_action(const statement& next);
    void check_expectation(const expectation& next);
    void need(std::size_t line, bool known, const std::string& kind,
              const std::string& name);
    bool has_vm(const std::string& name) const;
    bool has_place(const std::string& name) const;
    bool has_upstream(const std::string& address) const;
    bool has_key(const std::string& account, const std::string& number) const;
    const std::string& key_of(const std::string& account,
                              const std::string& number) const;
    void apply(const statement& next);
    void apply_load(const statement& next);
    void apply_platform(const statement& next);
    void apply_upstream(const statement& next);
    void apply_edit(const statement& next);
    double measure(const expectation& next) const;
    double share_with_result(const expectation& next, const std::string& result) const;
    double late_answers(const expectation& next) const;
    double slowest_edit() const;
    verdict judge(const expectation& next) const;
    std::string count_load() const;

    script plan;
    std::string root;
    internal::simulation_options options;
    key_table keys;
    std::string problems;
    std::unique_ptr<simulation> world;
};

result<void> runner::read_fleet()
{
    if (this->plan.settings_directory.empty())
        return boost::outcome_v2::success();
    const std::filesystem::path directory =
        std::filesystem::path(this->root) / this->plan.settings_directory;
    std::error_code code;
    std::vector<std::filesystem::path> files;
    for (const auto& file : std::filesystem::directory_iterator(directory, code))
        if (file.path().extension() == ".ini")
            files.push_back(file.path());
    if (files.empty())
        return failure(errc::not_found, this->plan.file_name + ": no *.ini files in " +
                                            this->plan.settings_directory +
                                            "; check the path after 'fleet'");
    std::sort(files.begin(), files.end());
    for (const auto& path : files)
    {
        const auto read = settings::load_settings(path.string());
        if (!read)
            return read.error();
        const settings::settings& vm = read.value();
        this->options.vms.push_back({.id = vm.id,
                                     .address = vm.peer_address,
                                     .caller_address = vm.caller_address,
                                     .data_centre = vm.data_centre,
                                     .region = vm.region});
        this->options.secret = vm.peer_secret;
        this->options.store_region = vm.platform_region;
        this->options.seeds.clear();
        for (const settings::seed_peer& peer : vm.seed_peers)
            this->options.seeds.push_back({.id = peer.id,
                                           .address = peer.address,
                                           .data_centre = peer.data_centre,
                                           .region = peer.region});
    }
    return boost::outcome_v2::success();
}

void runner::take_setup(const statement& next)
{
    const std::string& verb = next.words.front();
    if (verb == "vm")
    {
        const std::string port = std::to_string(9201 + this->options.vms.size());
        this->options.vms.push_back({.id = {next.words[1]},
                                     .address = "127.0.0.1:" + port,
                                     .caller_address = "127.0.0.2:" + port,
                                     .data_centre = next.words[2],
                                     .region = next.words[3]});
    }
    else if (verb == "service")
        this->options.service_time = *internal::parse_duration(next.words[1]);
    else if (verb == "repeat-lost")
        this->options.repeat_lost = next.words[1] == "on";
    else if (verb == "latency")
    {
        const auto take = [&](std::string_view name, duration& target)
        {
            target = internal::parse_duration(next.option(name)).value_or(target);
        };
        take("data-centre", this->options.data_centre_latency);
        take("region", this->options.region_latency);
        take("client", this->options.client_latency);
    }
}

result<void> runner::prepare()
{
    const std::string path = this->root + '/' + this->plan.catalogue_path;
    const auto text = read_text(path);
    if (!text)
        return text.error();
    const auto parsed = catalogue::parse_catalogue(text.value(), path);
    if (!parsed)
        return parsed.error();
    const auto keys = read_keys(path);
    if (!keys)
        return keys.error();
    this->keys = keys.value();
    this->options.seed = this->plan.seed;
    this->options.secret = "scenario";
    this->options.catalogue_text = text.value();
    this->options.entries = std::make_shared<const catalogue::catalogue>(parsed.value());
    auto fleet = this->read_fleet();
    if (!fleet)
        return fleet;
    for (const statement& next : this->plan.setup)
        this->take_setup(next);
    this->check_names();
    if (!this->problems.empty())
        return failure(errc::invalid_argument, this->problems);
    return boost::outcome_v2::success();
}

void runner::need(std::size_t line, bool known, const std::string& kind,
                  const std::string& name)
{
    if (known)
        return;
    this->problems += (this->problems.empty() ? "" : "\n") + this->plan.file_name + ":" +
                      std::to_string(line) + ": unknown " + kind + " '" + name +
                      "'; check the catalogue and the fleet";
}

bool runner::has_vm(const std::string& name) const
{
    return std::any_of(this->options.vms.begin(), this->options.vms.end(),
                       [&](const auto& vm) { return vm.id.value == name; });
}

bool runner::has_place(const std::string& name) const
{
    const auto& entries = *this->options.entries;
    return this->has_vm(name) || entries.regions.contains(name) ||
           entries.data_centres.contains(name);
}

bool runner::has_upstream(const std::string& address) const
{
    for (const auto& [name, group] : this->options.entries->groups)
        for (const catalogue::upstream& server : group.upstreams)
            if (server.address == address)
                return true;
    return false;
}

bool runner::has_key(const std::string& account, const std::string& number) const
{
    const auto found = this->keys.find(account);
    const auto index = internal::parse_number(number).value_or(0);
    return found != this->keys.end() && index >= 1 &&
           index <= static_cast<double>(found->second.size());
}

const std::string& runner::key_of(const std::string& account,
                                  const std::string& number) const
{
    return this->keys.at(account)[std::stoull(number) - 1];
}

void runner::check_names()
{
    this->need(1, !this->options.vms.empty(), "fleet", "");
    for (const auto& vm : this->options.vms)
    {
        const auto place = this->options.entries->data_centres.find(vm.data_centre);
        this->need(1, place != this->options.entries->data_centres.end(), "data centre",
                   vm.data_centre);
    }
    for (const statement& next : this->plan.actions)
        this->check_action(next);
    for (const expectation& next : this->plan.expectations)
        this->check_expectation(next);
}

void runner::check_action(const statement& next)
{
    const std::string& verb = next.words.front();
    const std::string account = next.option("account");
    const std::string vm = next.option("vm");
    if (verb == "load")
    {
        this->need(next.line, this->options.entries->routes.contains(next.words[1]),
                   "route", next.words[1]);
        this->need(next.line,
                   account.empty() || this->has_key(account, next.option("key", "1")),
                   "account or key of account", account);
        this->need(next.line, vm.empty() || this->has_vm(vm), "VM", vm);
    }
    if (verb == "kill" || verb == "restart" || verb == "freeze" || verb == "leave")
        this->need(next.line, this->has_vm(next.words[1]), "VM", next.words[1]);
    if (verb == "cut")
    {
        this->need(next.line, this->has_place(next.words[1]), "VM, data centre or region",
                   next.words[1]);
        const std::string& other = next.words[3];
        this->need(next.line,
                   other == "all" || other == "platform" || this->has_place(other),
                   "VM, data centre or region", other);
    }
    if (verb == "drain" || verb == "upstream")
    {
        const std::string& address = next.words[verb == "drain" ? 2 : 1];
        this->need(next.line, this->has_upstream(address), "upstream", address);
    }
    if (verb == "revoke-key")
        this->need(next.line, this->has_key(next.words[1], next.words[2]),
                   "account or key of account", next.words[1]);
}

void runner::check_expectation(const expectation& next)
{
    const std::size_t line = next.source.line;
    const auto& entries = *this->options.entries;
    const std::string account = next.source.option("account");
    this->need(line, account.empty() || entries.accounts.contains(account), "account",
               account);
    if (next.figure == "over-rate")
        this->need(line, entries.accounts.contains(next.subject), "account",
                   next.subject);
    if (next.figure == "answered")
        this->need(line, entries.routes.contains(next.subject), "route", next.subject);
    if (next.figure == "drained")
        this->need(line, this->has_upstream(next.subject), "upstream", next.subject);
    if (next.figure == "left")
        this->need(line, this->has_vm(next.subject), "VM", next.subject);
}

void runner::apply_load(const statement& next)
{
    const std::string account = next.option("account");
    const std::string rate = next.option("rate");
    const std::string kind = next.option("idempotency", "none");
    internal::load_options load{
        .route = next.words[1],
        .method = next.words[2],
        .account = account,
        .rate = *internal::parse_number(rate.substr(0, rate.size() - 2)),
        .length = *internal::parse_duration(next.option("for")),
        .vm = next.option("vm"),
        .size = static_cast<std::size_t>(
            internal::parse_number(next.option("size", "0")).value_or(0))};
    if (!account.empty())
        load.key = this->key_of(account, next.option("key", "1"));
    if (kind == "own")
        load.idempotency = internal::key_kind::own;
    if (kind == "issued")
        load.idempotency = internal::key_kind::issued;
    this->world->add_load(std::move(load));
}

void runner::apply_platform(const statement& next)
{
    store::testing::faults& service = this->world->platform.service;
    const std::string& how = next.words[1];
    if (how == "down")
        service.refuse = true;
    else if (how == "silent")
        service.silent = true;
    else if (how == "slow")
        service.latency = *internal::parse_duration(next.words[2]);
    else if (how == "lose-answers")
        service.lose_answers =
            static_cast<std::uint32_t>(*internal::parse_number(next.words[2]));
    else
        service = {.latency = duration::zero()};
}

void runner::apply_upstream(const statement& next)
{
    const std::string& address = next.words[1];
    if (next.words[2] == "slow")
        this->world->upstreams[address].extra = *internal::parse_duration(next.words[3]);
    else
        this->world->set_upstream_down(address, next.words[2] == "down");
}

void runner::apply_edit(const statement& next)
{
    const std::string id = "edit-line-" + std::to_string(next.line);
    if (next.words.front() == "revoke-key")
    {
        const std::string hash = catalogue::hash_key(
            this->options.entries->key_salt, this->key_of(next.words[1], next.words[2]));
        return this->world->edit(id, [hash](const std::string& text)
                                 { return remove_line_with(text, hash); });
    }
    std::string value = next.words[6];
    for (std::size_t index = 7; index < next.words.size(); ++index)
        value += ' ' + next.words[index];
    this->world->edit(id, [section = next.words[2] + ' ' + next.words[3],
                           field = next.words[4], value](const std::string& text)
                      { return set_field(text, section, field, value); });
}

void runner::apply(const statement& next)
{
    const std::string& verb = next.words.front();
    const std::string name = next.words.size() > 1 ? next.words[1] : "";
    if (verb == "load")
        this->apply_load(next);
    else if (verb == "kill")
        this->world->kill(name);
    else if (verb == "restart")
        this->world->restart(name);
    else if (verb == "freeze")
        this->world->freeze(name, *internal::parse_duration(next.option("for")));
    else if (verb == "leave")
        this->world->leave(name);
    else if (verb == "cut")
        this->world->cut(name, next.words[3], next.words.size() == 4);
    else if (verb == "heal")
        this->world->heal();
    else if (verb == "loss")
        this->world->loss =
            *internal::parse_number(name.substr(0, name.size() - 1)) / 100;
    else if (verb == "platform")
        this->apply_platform(next);
    else if (verb == "upstream")
        this->apply_upstream(next);
    else if (verb == "drain" && next.option("by") == "signal")
    {
        this->world->upstreams[next.words[2]].drain_signal = true;
        this->world->seen.drains[next.words[2]] = this->world->began + next.at;
    }
    else if (verb == "drain")
        this->world->drain("edit-line-" + std::to_string(next.line), next.words[2]);
    else
        this->apply_edit(next);
}

// Percentage of the operations of the route and account that ended so.
double runner::share_with_result(const expectation& next, const std::string& result) const
{
    const std::string account = next.source.option("account");
    std::uint64_t all = 0;
    std::uint64_t such = 0;
    for (const internal::operation& each : this->world->operations)
    {
        const internal::load_options& load = this->world->loads[each.load];
        if (!next.subject.empty() && load.route != next.subject)
            continue;
        if (!account.empty() && load.account != account)
            continue;
        ++all;
        const bool refused =
            result.empty() && each.result != "answered" && each.result != "lost";
        such += refused || each.result == result ? 1 : 0;
    }
    if (!next.percent)
        return static_cast<double>(such);
    return all == 0 ? 0 : 100.0 * static_cast<double>(such) / static_cast<double>(all);
}

double runner::late_answers(const expectation& next) const
{
    const std::string key = this->key_of(next.subject, next.source.option("key", "1"));
    const auto& operations = this->world->operations;
    return static_cast<double>(
        std::count_if(operations.begin(), operations.end(),
                      [&](const internal::operation& each)
                      {
                          return each.result == "answered" &&
                                 this->world->loads[each.load].key == key &&
                                 each.ended > this->world->began + next.after;
                      }));
}

double runner::slowest_edit() const
{
    double slowest = this->world->seen.edits.empty() ? never : 0;
    for (const internal::accepted_edit& each : this->world->seen.edits)
        slowest = std::max(
            slowest,
            each.in_force
                ? std::chrono::duration<double>(*each.in_force - each.accepted).count()
                : never);
    return slowest;
}

double runner::measure(const expectation& next) const
{
    const internal::observations& seen = this->world->seen;
    const std::string& figure = next.figure;
    if (figure == "duplicates")
        return static_cast<double>(seen.duplicates);
    if (figure == "over-slots")
        return static_cast<double>(seen.over_slots);
    if (figure == "wrong-answers")
        return static_cast<double>(seen.wrong_answers);
    if (figure == "cut-off")
        return static_cast<double>(seen.cut_off);
    if (figure == "versions-fallen")
        return static_cast<double>(seen.versions_fallen);
    if (figure == "edits-accepted")
        return static_cast<double>(seen.edits.size());
    if (figure == "false-not-run")
        return static_cast<double>(
            std::count_if(this->world->attempts.begin(), this->world->attempts.end(),
                          [](const internal::attempt& each)
                          { return each.said_not_run && each.runs; }));
    if (figure == "over-rate")
    {
        const auto& account = this->options.entries->accounts.at(next.subject);
        const auto found = seen.admissions.find(next.subject);
        return found == seen.admissions.end()
                   ? 0
                   : excess(found->second, account.rate, account.burst);
    }
    if (figure == "answered")
        return this->share_with_result(next, "answered");
    if (figure == "refused")
        return this->share_with_result(next, next.source.option("code"));
    if (figure == "answered-late")
        return this->late_answers(next);
    if (figure == "in-force")
        return this->slowest_edit();
    if (figure == "left")
    {
        const auto began = seen.leaves.find(next.subject);
        const auto ended = seen.lefts.find(next.subject);
        if (began == seen.leaves.end() || ended == seen.lefts.end())
            return never;
        return std::chrono::duration<double>(ended->second - began->second).count();
    }
    // drained
    const auto began = seen.drains.find(next.subject);
    const auto& last = this->world->upstreams.at(next.subject).last_start;
    if (began == seen.drains.end())
        return never;
    return last ? std::max(0.0,
                           std::chrono::duration<double>(*last - began->second).count())
                : 0;
}

verdict runner::judge(const expectation& next) const
{
    const double figure = this->measure(next);
    const bool held = next.comparison == "<="   ? figure <= next.bound
                      : next.comparison == ">=" ? figure >= next.bound
                                                : figure == next.bound;
    return {.line = next.source.line,
            .text = next.source.text,
            .seen = shown(figure) + (next.percent ? "%" : ""),
            .held = held};
}

std::string runner::count_load() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const internal::operation& each : this->world->operations)
        ++counts[each.result.empty() ? "open" : each.result];
    std::string made = "requests " + std::to_string(this->world->operations.size());
    for (const auto& [name, count] : counts)
        made += ", " + name + ' ' + std::to_string(count);
    for (const std::string& each : this->world->seen.failed_edits)
        made += "; " + each;
    return made;
}

result<outcome> runner::run()
{
    const auto ready = this->prepare();
    if (!ready)
        return ready.error();
    this->world = std::make_unique<simulation>(this->options);
    for (const statement& next : this->plan.actions)
    {
        this->world->run_until(next.at);
        this->apply(next);
    }
    this->world->run_until(this->plan.end);
    outcome made{.file_name = this->plan.file_name, .seed = this->plan.seed};
    for (const expectation& next : this->plan.expectations)
        made.verdicts.push_back(this->judge(next));
    made.load = this->count_load();
    return made;
}

} // namespace

bool outcome::held() const
{
    return std::all_of(this->verdicts.begin(), this->verdicts.end(),
                       [](const verdict& each) { return each.held; });
}

std::string outcome::summary() const
{
    std::string text = this->file_name + " seed " + std::to_string(this->seed) + ": " +
                       this->load + '\n';
    for (const verdict& each : this->verdicts)
        text += std::string(each.held ? "held   " : "FAILED ") + this->file_name + ':' +
                std::to_string(each.line) + ": " + each.text + " (seen: " + each.seen +
                ")\n";
    return text;
}

result<outcome> run_script(std::string_view text, std::string_view file_name,
                           const std::string& root)
{
    auto parsed = internal::parse_script(text, file_name);
    if (!parsed)
        return parsed.error();
    return runner(std::move(parsed.value()), root).run();
}

result<outcome> run_file(const std::string& path, const std::string& root)
{
    const auto text = read_text(path);
    if (!text)
        return text.error();
    return run_script(text.value(), std::filesystem::path(path).filename().string(),
                      root);
}

} // namespace pistachiospan::scenario
