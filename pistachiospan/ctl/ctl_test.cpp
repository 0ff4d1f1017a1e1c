#include "pistachiospan/ctl/ctl.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace pistachiospan;
using namespace pistachiospan::ctl;

namespace
{

const std::string text = "[catalogue]\nname = shop\nowner = ops\n"
                         "key_salt = 00112233445566778899aabbccddeeff\n"
                         "[region a]\n[data_centre a-1]\nregion = a\nentry_vms = 1\n"
                         "[upstream_group g]\nowner = o\nclass = c\nslots = 1\n"
                         "server = 127.0.0.1:9001 @ a-1\n";

// A platform with two entry VMs in its list.
class fake_platform : public store::table,
                      public store::object_store,
                      public store::vm_list
{
public:
    void get(std::string key, store::handler<std::optional<store::row>> done) override
    {
        if (this->down)
            return done(failure(errc::unavailable, "store is down"));
        const auto found = this->rows.find(key);
        done(found == this->rows.end() ? std::nullopt : std::optional(found->second));
    }

    void scan(std::string prefix, store::handler<std::vector<store::row>> done) override
    {
        std::vector<store::row> found;
        for (const auto& [key, row] : this->rows)
            if (key.starts_with(prefix))
                found.push_back(row);
        done(found);
    }

    void transact(std::vector<store::conditional_write> writes,
                  store::handler<store::transaction_outcome> done) override
    {
        for (const auto& write : writes)
        {
            const auto found = this->rows.find(write.key);
            if ((found == this->rows.end() ? 0 : found->second.rev) != write.expected)
                return done(store::transaction_outcome{});
        }
        for (const auto& write : writes)
            this->rows[write.key] = {write.key, write.value, write.expected + 1};
        done(store::transaction_outcome{.committed = true});
    }

    void put(std::string name, std::string bytes, store::handler<bool> done) override
    {
        this->objects[name] = std::move(bytes);
        done(true);
    }

    void get(std::string name, store::handler<std::string> done) override
    {
        done(this->objects.at(name));
    }

    void list(store::handler<std::vector<store::vm_entry>> done) override
    {
        if (this->down)
            return done(failure(errc::unavailable, "store is down"));
        done(std::vector<store::vm_entry>{
            {.id = {"vm-1"}, .caller_address = "127.0.0.1:8001"},
            {.id = {"vm-2"}, .caller_address = "127.0.0.1:8002"}});
    }

    std::map<std::string, store::row> rows;
    std::map<std::string, std::string> objects;
    bool down = false;
};

// Runs the commands and records what they print. The two entry VMs apply the newest
// version whenever a poll interval has passed.
struct ctl_fixture
{
    commands make_commands(bool json = false)
    {
        return commands(
            {.rows = platform,
             .objects = platform,
             .vms = platform,
             .http_get = [this](const std::string& address, const std::string& path,
                                const store::handler<std::string>& done)
             { this->answer(address, path, done); },
             .after = [this](duration, const std::function<void()>& call)
             { this->pass_interval(call); },
             .print = [this](std::string_view out) { this->printed += out; },
             .print_error = [this](std::string_view out) { this->errors += out; },
             .json = json,
             .vm_addresses = this->vm_addresses});
    }

    void answer(const std::string& address, const std::string& path,
                const store::handler<std::string>& done)
    {
        BOOST_TEST(path == "/status");
        if (address == this->unreachable)
            return done(failure(errc::unavailable, "connection refused"));
        const vm_status status{.vm = "vm",
                               .data_centre = "a-1",
                               .active_version = this->active[address],
                               .held_version = this->active[address],
                               .digest = address == this->corrupted ? "other" : "digest",
                               .ready = true,
                               .confirmation_age_ms = 12};
        done(nlohmann::json(status).dump());
    }

    void pass_interval(const std::function<void()>& call)
    {
        ++this->poll_intervals;
        const auto head = this->platform.rows.find("catalogue/head");
        if (head != this->platform.rows.end())
            for (const std::string vm : {"127.0.0.1:8001", "127.0.0.1:8002"})
                this->active[vm] = nlohmann::json::parse(head->second.value)["version"];
        call();
    }

    exit_code apply(const std::string& id, const std::string& file, bool wait = false)
    {
        return this->result_of(
            [&](commands& tool, const completion_handler& done)
            {
                tool.apply({},
                           {.file = {"shop.ini", file},
                            .who = "anna",
                            .edit_id = id,
                            .wait = wait},
                           done);
            });
    }

    exit_code
    result_of(const std::function<void(commands&, const completion_handler&)>& call,
              bool json = false)
    {
        this->printed.clear();
        this->errors.clear();
        commands tool = this->make_commands(json);
        std::vector<exit_code> codes;
        call(tool, [&](exit_code code) { codes.push_back(code); });
        BOOST_REQUIRE(codes.size() == 1U);
        return codes.front();
    }

    bool has_printed(std::string_view part) const
    {
        return this->printed.find(part) != std::string::npos;
    }

    fake_platform platform;
    std::map<std::string, catalogue_version> active;
    std::string unreachable; // address of a VM that does not answer
    std::string corrupted;   // address of a VM with another text
    std::vector<std::string> vm_addresses;
    std::string printed;
    std::string errors;
    int poll_intervals = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(check_reports_errors_and_exits_with_1, ctl_fixture)
{
    BOOST_TEST((make_commands().check({"shop.ini", text}) == exit_code::ok));
    BOOST_TEST(
        (make_commands(true).check({"shop.ini", "[catalogu]\n"}) == exit_code::refused));
    BOOST_TEST(errors.starts_with("shop.ini:0: "));
    BOOST_TEST(has_printed("\"ok\": false"));
}

// Guards against reporting an edit as in force when it is only accepted, and against a
// file of an older version that undoes a later edit.
BOOST_FIXTURE_TEST_CASE(apply_waits_until_the_version_is_in_force, ctl_fixture)
{
    BOOST_TEST((apply("e-1", text, true) == exit_code::ok));
    BOOST_TEST(errors.starts_with("warning: the file names no base version"));
    BOOST_TEST(has_printed("accepted as version 1\n"));
    BOOST_TEST(has_printed("in force on all 2 entry VMs"));
    BOOST_TEST(poll_intervals == 1);
    BOOST_TEST((result_of([](commands& tool, const completion_handler& done)
                          { tool.show(done); }) == exit_code::ok));
    const std::string shown = printed;
    BOOST_TEST(shown == "; based on version 1\n" + text);
    const std::string edited = shown + "server = 127.0.0.1:9002 @ a-1\n";
    BOOST_TEST((apply("e-2", edited) == exit_code::ok));
    BOOST_TEST((apply("e-3", shown + "connections = 9\n") == exit_code::conflict));
    BOOST_TEST(errors.starts_with("edit 'e-2' by anna made version 2"));
    BOOST_TEST((apply("e-2", edited) == exit_code::ok));
    BOOST_TEST(has_printed("accepted before as version 2"));
    platform.down = true;
    BOOST_TEST((apply("e-4", text) == exit_code::unavailable));
}

BOOST_FIXTURE_TEST_CASE(diff_and_audit_show_changes, ctl_fixture)
{
    apply("e-1", text);
    const std::string edited = text + "server = 127.0.0.1:9002 @ a-1\n";
    BOOST_TEST((result_of(
                    [&](commands& tool, const completion_handler& done) {
                        tool.diff({"shop.ini", edited}, done);
                    }) == exit_code::ok));
    BOOST_TEST(printed == "1 changes from version 1\n"
                          "  [upstream_group g] server 127.0.0.1:9002: - -> @ a-1\n");
    apply("e-2", edited);
    BOOST_TEST((result_of([](commands& tool, const completion_handler& done)
                          { tool.audit({.limit = 1}, done); },
                          true) == exit_code::ok));
    const auto audit = nlohmann::json::parse(printed);
    BOOST_TEST(audit["omitted"] == 1U);
    BOOST_TEST(audit["rows"][0]["entry"]["edit"] == "e-2");
    platform.rows["audit/2026-z"] = {"audit/2026-z", "{\"what\":\"share repair\"}", 1};
    result_of([](commands& tool, const completion_handler& done)
              { tool.audit({}, done); });
    BOOST_TEST(has_printed("  anna  apply  version 1 -> 2  edit e-2  1 changes\n"));
    BOOST_TEST(has_printed("2026-z  {\"what\":\"share repair\"}\n"));
}

// Guards against reporting a drain as done while a VM still sends requests to the
// upstream.
BOOST_FIXTURE_TEST_CASE(drain_ends_when_all_vms_have_the_mark, ctl_fixture)
{
    apply("e-1", text);
    const auto drain = [](commands& tool, const completion_handler& done)
    {
        tool.drain({}, {.edit_id = "d-1", .who = "anna", .address = "127.0.0.1:9001"},
                   done);
    };
    BOOST_TEST((result_of(drain) == exit_code::ok));
    BOOST_TEST(has_printed("server 127.0.0.1:9001: @ a-1 -> @ a-1 drain"));
    BOOST_TEST(has_printed("in force on all 2"));
    unreachable = "127.0.0.1:8002";
    BOOST_TEST((result_of(drain) == exit_code::not_in_force));
    BOOST_TEST(has_printed("accepted before as version 2"));
    BOOST_TEST(errors.find("not yet in force on vm-2") != std::string::npos);
    BOOST_TEST((result_of(
                    [](commands& tool, const completion_handler& done) {
                        tool.drain({}, {.edit_id = "d-2", .who = "a", .address = "x"},
                                   done);
                    }) == exit_code::refused));
}

// Guards against reporting a fleet as healthy while a VM has an older version, does not
// answer or has another text.
BOOST_FIXTURE_TEST_CASE(status_finds_vms_that_differ, ctl_fixture)
{
    const auto status = [](commands& tool, const completion_handler& done)
    {
        tool.status(done);
    };
    apply("e-1", text, true);
    BOOST_TEST((result_of(status) == exit_code::ok));
    BOOST_TEST(
        has_printed("vm-1  127.0.0.1:8001  a-1  version 1  ready  confirmed 12 ms ago"));
    corrupted = "127.0.0.1:8002";
    BOOST_TEST((result_of(status) == exit_code::not_in_force));
    BOOST_TEST(errors.find("vm-1 and vm-2") != std::string::npos);
    corrupted.clear();
    apply("e-2", text + "server = 127.0.0.1:9002 @ a-1\n");
    BOOST_TEST((result_of(status) == exit_code::not_in_force));
    unreachable = "127.0.0.1:8002";
    BOOST_TEST((result_of(status, true) == exit_code::not_in_force));
    BOOST_TEST(nlohmann::json::parse(printed)["vms"][1]["problem"] ==
               "connection refused");
    unreachable.clear();
    platform.down = true;
    BOOST_TEST((result_of(status) == exit_code::unavailable));
    vm_addresses = {"127.0.0.1:8001"};
    BOOST_TEST((result_of(status) == exit_code::ok));
}

BOOST_FIXTURE_TEST_CASE(hash_key_prints_the_hash_only, ctl_fixture)
{
    BOOST_TEST((make_commands().hash_key("Jefe", "what do ya want for nothing?") ==
                exit_code::ok));
    BOOST_TEST(printed ==
               "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843\n");
    BOOST_TEST((make_commands().hash_key("Jefe", "") == exit_code::refused));
}
