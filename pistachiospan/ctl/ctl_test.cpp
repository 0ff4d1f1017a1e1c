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

// A platform and two entry VMs, which take over the head when a poll interval has passed.
class stand_in : public store::table, public store::object_store, public store::vm_list
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

struct terminal
{
    commands make(bool json = false)
    {
        return commands(
            {.rows = platform,
             .objects = platform,
             .vms = platform,
             .http_get = [this](const std::string& address, const std::string& path,
                                const store::handler<std::string>& done)
             { this->answer(address, path, done); },
             .after = [this](duration, const std::function<void()>& call)
             { this->pass(call); },
             .print = [this](std::string_view out) { this->printed += out; },
             .print_error = [this](std::string_view out) { this->complaints += out; },
             .json = json,
             .vm_addresses = this->vm_addresses});
    }

    void answer(const std::string& address, const std::string& path,
                const store::handler<std::string>& done)
    {
        BOOST_TEST(path == "/status");
        if (address == this->dead)
            return done(failure(errc::unavailable, "connection refused"));
        const vm_status status{.vm = "vm",
                               .data_centre = "a-1",
                               .active_version = this->active[address],
                               .held_version = this->active[address],
                               .digest = address == this->damaged ? "other" : "digest",
                               .ready = true,
                               .confirmation_age_ms = 12};
        done(nlohmann::json(status).dump());
    }

    void pass(const std::function<void()>& call)
    {
        ++this->rounds;
        const auto head = this->platform.rows.find("catalogue/head");
        if (head != this->platform.rows.end())
            for (const std::string vm : {"127.0.0.1:8001", "127.0.0.1:8002"})
                this->active[vm] = nlohmann::json::parse(head->second.value)["version"];
        call();
    }

    exit_code apply(const std::string& id, const std::string& file, bool wait = false)
    {
        return this->result_of(
            [&](commands& operate, const completion_handler& done)
            {
                operate.apply({},
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
        this->complaints.clear();
        commands operate = this->make(json);
        std::vector<exit_code> codes;
        call(operate, [&](exit_code code) { codes.push_back(code); });
        BOOST_REQUIRE(codes.size() == 1U);
        return codes.front();
    }

    bool shows(std::string_view part) const
    {
        return this->printed.find(part) != std::string::npos;
    }

    stand_in platform;
    std::map<std::string, catalogue_version> active;
    std::string dead;
    std::string damaged;
    std::vector<std::string> vm_addresses;
    std::string printed;
    std::string complaints;
    int rounds = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(check_says_what_is_wrong_and_exits_with_1, terminal)
{
    BOOST_TEST((make().check({"shop.ini", text}) == exit_code::ok));
    BOOST_TEST((make(true).check({"shop.ini", "[catalogu]\n"}) == exit_code::refused));
    BOOST_TEST(complaints.starts_with("shop.ini:0: "));
    BOOST_TEST(shows("\"ok\": false"));
}

// Guards against an edit that the operator takes for one in force, and against undoing an
// edit by an older file.
BOOST_FIXTURE_TEST_CASE(apply_waits_until_the_version_is_in_force, terminal)
{
    BOOST_TEST((apply("e-1", text, true) == exit_code::ok));
    BOOST_TEST(complaints.starts_with("warning: the file names no base version"));
    BOOST_TEST(shows("accepted as version 1\n"));
    BOOST_TEST(shows("in force on all 2 entry VMs"));
    BOOST_TEST(rounds == 1);
    BOOST_TEST((result_of([](commands& operate, const completion_handler& done)
                          { operate.show(done); }) == exit_code::ok));
    const std::string shown = printed;
    BOOST_TEST(shown == "; based on version 1\n" + text);
    const std::string edited = shown + "server = 127.0.0.1:9002 @ a-1\n";
    BOOST_TEST((apply("e-2", edited) == exit_code::ok));
    BOOST_TEST((apply("e-3", shown + "connections = 9\n") == exit_code::conflict));
    BOOST_TEST(complaints.starts_with("edit 'e-2' by anna made version 2"));
    BOOST_TEST((apply("e-2", edited) == exit_code::ok));
    BOOST_TEST(shows("accepted before as version 2"));
    platform.down = true;
    BOOST_TEST((apply("e-4", text) == exit_code::unavailable));
}

BOOST_FIXTURE_TEST_CASE(diff_and_audit_show_changes, terminal)
{
    apply("e-1", text);
    const std::string edited = text + "server = 127.0.0.1:9002 @ a-1\n";
    BOOST_TEST((result_of(
                    [&](commands& operate, const completion_handler& done) {
                        operate.diff({"shop.ini", edited}, done);
                    }) == exit_code::ok));
    BOOST_TEST(printed == "1 changes from version 1\n"
                          "  [upstream_group g] server 127.0.0.1:9002: - -> @ a-1\n");
    apply("e-2", edited);
    BOOST_TEST((result_of([](commands& operate, const completion_handler& done)
                          { operate.audit({.limit = 1}, done); },
                          true) == exit_code::ok));
    const auto audit = nlohmann::json::parse(printed);
    BOOST_TEST(audit["omitted"] == 1U);
    BOOST_TEST(audit["rows"][0]["entry"]["edit"] == "e-2");
    platform.rows["audit/2026-z"] = {"audit/2026-z", "{\"what\":\"share repair\"}", 1};
    result_of([](commands& operate, const completion_handler& done)
              { operate.audit({}, done); });
    BOOST_TEST(shows("  anna  apply  version 1 -> 2  edit e-2  1 changes\n"));
    BOOST_TEST(shows("2026-z  {\"what\":\"share repair\"}\n"));
}

// Guards against a drain that is reported as done while a VM still sends work.
BOOST_FIXTURE_TEST_CASE(drain_ends_when_all_vms_have_the_mark, terminal)
{
    apply("e-1", text);
    const auto drain = [](commands& operate, const completion_handler& done)
    {
        operate.drain({}, {.edit_id = "d-1", .who = "anna", .address = "127.0.0.1:9001"},
                      done);
    };
    BOOST_TEST((result_of(drain) == exit_code::ok));
    BOOST_TEST(shows("server 127.0.0.1:9001: @ a-1 -> @ a-1 drain"));
    BOOST_TEST(shows("in force on all 2"));
    dead = "127.0.0.1:8002";
    BOOST_TEST((result_of(drain) == exit_code::not_in_force));
    BOOST_TEST(shows("accepted before as version 2"));
    BOOST_TEST(complaints.find("not yet in force on vm-2") != std::string::npos);
    BOOST_TEST((result_of(
                    [](commands& operate, const completion_handler& done) {
                        operate.drain({}, {.edit_id = "d-2", .who = "a", .address = "x"},
                                      done);
                    }) == exit_code::refused));
}

// Guards against a fleet that is shown as healthy while a VM is behind, silent or has
// another text.
BOOST_FIXTURE_TEST_CASE(status_finds_vms_that_differ, terminal)
{
    const auto status = [](commands& operate, const completion_handler& done)
    {
        operate.status(done);
    };
    apply("e-1", text, true);
    BOOST_TEST((result_of(status) == exit_code::ok));
    BOOST_TEST(shows("vm-1  127.0.0.1:8001  a-1  version 1  ready  confirmed 12 ms ago"));
    damaged = "127.0.0.1:8002";
    BOOST_TEST((result_of(status) == exit_code::not_in_force));
    BOOST_TEST(complaints.find("vm-1 and vm-2") != std::string::npos);
    damaged.clear();
    apply("e-2", text + "server = 127.0.0.1:9002 @ a-1\n");
    BOOST_TEST((result_of(status) == exit_code::not_in_force));
    dead = "127.0.0.1:8002";
    BOOST_TEST((result_of(status, true) == exit_code::not_in_force));
    BOOST_TEST(nlohmann::json::parse(printed)["vms"][1]["problem"] ==
               "connection refused");
    dead.clear();
    platform.down = true;
    BOOST_TEST((result_of(status) == exit_code::unavailable));
    vm_addresses = {"127.0.0.1:8001"};
    BOOST_TEST((result_of(status) == exit_code::ok));
}

BOOST_FIXTURE_TEST_CASE(hash_key_prints_the_hash_only, terminal)
{
    BOOST_TEST(
        (make().hash_key("Jefe", "what do ya want for nothing?") == exit_code::ok));
    BOOST_TEST(printed ==
               "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843\n");
    BOOST_TEST((make().hash_key("Jefe", "") == exit_code::refused));
}
