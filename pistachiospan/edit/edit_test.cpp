#include "pistachiospan/edit/edit.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <deque>

using namespace pistachiospan;
using namespace pistachiospan::edit;

namespace
{

std::string text_with_rate(int rate)
{
    return "[catalogue]\nname = shop\nowner = ops\n"
           "key_salt = 00112233445566778899aabbccddeeff\n"
           "[region a]\n[data_centre a-1]\nregion = a\nentry_vms = 1\n"
           "[client_account north]\nowner = o\nclass = c\nburst = 1\nrate = " +
           std::to_string(rate) +
           "/s\n"
           "[upstream_group g]\nowner = o\nclass = c\nslots = 1\n"
           "server = 127.0.0.1:9001 @ a-1\nserver = 127.0.0.1:9002 @ a-1\n";
}

// A store whose calls succeed, fail, are lost or take effect late, in an order that the
// seed determines.
class faulty_store : public store::table, public store::object_store
{
public:
    explicit faulty_store(std::uint64_t seed) : random(seed) {}

    void get(std::string key, store::handler<std::optional<store::row>> done) override
    {
        this->later(
            [this, key, done]
            {
                if (this->fails())
                    return done(failure(errc::unavailable, "store is down"));
                const auto found = this->rows.find(key);
                done(found == this->rows.end() ? std::nullopt
                                               : std::optional(found->second));
            });
    }

    void scan(std::string, store::handler<std::vector<store::row>>) override {}

    void transact(std::vector<store::conditional_write> writes,
                  store::handler<store::transaction_outcome> done) override
    {
        this->later(
            [this, writes, done]
            {
                if (!this->fails())
                    return done(this->commit(writes));
                switch (this->random() % 4)
                {
                case 0: // refused
                    return done(failure(errc::unavailable, "store is down"));
                case 1: // the request was lost
                    break;
                case 2: // the answer is lost
                    this->commit(writes);
                    break;
                default: // the request takes effect after its caller has timed out
                    this->later([this, writes] { this->commit(writes); });
                }
                done(failure(errc::unknown_outcome, "no answer from the store"));
            });
    }

    void put(std::string name, std::string bytes, store::handler<bool> done) override
    {
        this->later(
            [this, name, bytes, done]
            {
                if (this->fails())
                    return done(failure(errc::unknown_outcome, "no answer"));
                this->objects[name] = bytes;
                done(true);
            });
    }

    void get(std::string name, store::handler<std::string> done) override
    {
        this->later(
            [this, name, done]
            {
                if (this->fails())
                    return done(failure(errc::unavailable, "store is down"));
                const auto found = this->objects.find(name);
                if (found == this->objects.end())
                    return done(failure(errc::not_found, "no such object"));
                done(found->second);
            });
    }

    void later(std::function<void()> call)
    {
        this->calls.push_back(std::move(call));
    }

    // Runs the calls in random order until none is left.
    void run()
    {
        while (!this->calls.empty())
        {
            std::swap(this->calls.front(),
                      this->calls[this->random() % this->calls.size()]);
            const auto call = std::move(this->calls.front());
            this->calls.pop_front();
            call();
        }
    }

    nlohmann::json value(const std::string& key) const
    {
        return nlohmann::json::parse(this->rows.at(key).value);
    }

    std::map<std::string, store::row> rows;
    std::map<std::string, std::string> objects;
    std::uint32_t percent_failing = 0;
    random_engine random;

private:
    bool fails()
    {
        return this->random() % 100 < this->percent_failing;
    }

    store::transaction_outcome commit(const std::vector<store::conditional_write>& writes)
    {
        for (const auto& write : writes)
            if (this->rows[write.key].rev != write.expected)
            {
                this->erase_absent();
                return {};
            }
        for (const auto& write : writes)
            this->rows[write.key] = {write.key, write.value, write.expected + 1};
        return {.committed = true};
    }

    void erase_absent()
    {
        std::erase_if(this->rows, [](const auto& item) { return item.second.rev == 0; });
    }

    std::deque<std::function<void()>> calls;
};

struct operators
{
    explicit operators(std::uint64_t seed)
        : platform(seed), worker(platform, platform,
                                 {.max_attempts = 8,
                                  .max_uncertain_attempts = 10,
                                  .after = [this](duration, std::function<void()> call)
                                  {
                                      this->platform.later(std::move(call));
                                  }})
    {
    }

    result<edit_outcome> apply(const std::string& id, const std::string& text,
                               std::optional<catalogue_version> base = std::nullopt)
    {
        std::vector<result<edit_outcome>> outcomes;
        this->begin(id, "anna", text, base, outcomes);
        this->platform.run();
        BOOST_REQUIRE(outcomes.size() == 1U);
        return outcomes.front();
    }

    void begin(const std::string& id, const std::string& who, const std::string& text,
               std::optional<catalogue_version> base,
               std::vector<result<edit_outcome>>& outcomes)
    {
        this->worker.apply(
            wall_time(std::chrono::seconds(1'796'353'200)),
            {.edit_id = id, .who = who, .text = text, .base_version = base},
            [&outcomes](result<edit_outcome> outcome)
            { outcomes.push_back(std::move(outcome)); });
    }

    std::size_t count_versions(const std::string& id) const
    {
        std::size_t found = 0;
        for (const auto& [key, row] : this->platform.rows)
            if (key.starts_with("catalogue/log/"))
                found += this->platform.value(key).at("edit") == id ? 1 : 0;
        return found;
    }

    // Checks that versions have no gap and that the head's object matches its digest.
    void check_history() const
    {
        const head at = this->platform.value("catalogue/head").get<head>();
        for (catalogue_version version = 1; version <= at.version; ++version)
            BOOST_TEST(this->platform.value("catalogue/log/" + std::to_string(version))
                           .at("from") == version - 1);
        BOOST_TEST(!this->platform.rows.contains("catalogue/log/" +
                                                 std::to_string(at.version + 1)));
        BOOST_TEST(catalogue::digest(this->platform.objects.at(at.object)) == at.digest);
    }

    faulty_store platform;
    editor worker;
};

} // namespace

BOOST_AUTO_TEST_CASE(an_edit_is_logged_and_audited_in_one_transaction)
{
    operators team(1);
    BOOST_TEST(team.apply("e-1", text_with_rate(1)).value().version == 1U);
    const auto second = team.apply("e-2", text_with_rate(2)).value();
    BOOST_TEST(second.version == 2U);
    BOOST_REQUIRE(second.changes.size() == 1U);
    BOOST_TEST(second.changes[0].before == "1/s");
    const auto audit = team.platform.value("audit/2026-12-04T03:00:00.000000Z-e-2");
    BOOST_TEST(audit.at("who") == "anna");
    BOOST_TEST(audit.at("to") == 2U);
    BOOST_TEST(audit.at("changes").at(0).at("after") == "2/s");
    BOOST_TEST(team.apply("e-3", text_with_rate(2)).value().unchanged);
    team.check_history();
}

// Guards against a repeated command that applies its edit twice, and against an edit that
// is taken for a repetition because it reuses an edit id.
BOOST_AUTO_TEST_CASE(an_edit_id_is_accepted_once)
{
    operators team(1);
    team.apply("e-1", text_with_rate(1)).value();
    team.apply("e-2", text_with_rate(2)).value();
    const auto again = team.apply("e-1", text_with_rate(1)).value();
    BOOST_TEST(again.repeated);
    BOOST_TEST(again.version == 1U);
    BOOST_TEST(
        (team.apply("e-1", text_with_rate(3)).error().code == errc::invalid_argument));
    BOOST_TEST(
        (team.apply("e 4", text_with_rate(3)).error().code == errc::invalid_argument));
    BOOST_TEST(
        (team.apply("e-4", "[catalogue]\n").error().code == errc::invalid_argument));
    BOOST_TEST(team.platform.value("catalogue/head").at("version") == 2U);
}

// Guards against an edit that silently overwrites a newer edit that its author has not
// seen.
BOOST_AUTO_TEST_CASE(an_edit_of_an_older_version_meets_a_conflict_with_the_newer_edit)
{
    operators team(1);
    team.apply("e-1", text_with_rate(1)).value();
    std::vector<result<edit_outcome>> outcomes;
    team.begin("e-2", "siti", text_with_rate(2), 1, outcomes);
    team.platform.run();
    const auto outdated = team.apply("e-3", text_with_rate(3), 1);
    BOOST_REQUIRE(outdated.has_error());
    BOOST_TEST((outdated.error().code == errc::conflict));
    BOOST_TEST(outdated.error().message.starts_with(
        "edit 'e-2' by siti made version 2, this edit is based on version 1"));
}

// Guards against a command that reports success or hangs during an outage of the store.
BOOST_AUTO_TEST_CASE(an_edit_during_an_outage_changes_nothing_and_says_so)
{
    operators team(1);
    team.platform.percent_failing = 100;
    const auto outcome = team.apply("e-1", text_with_rate(1));
    BOOST_REQUIRE(outcome.has_error());
    BOOST_TEST((outcome.error().code == errc::unavailable));
    BOOST_TEST(outcome.error().message.find("store is down") != std::string::npos);
    BOOST_TEST(team.platform.rows.empty());
}

// Guards against an edit that is applied twice, applied in part or reported with a wrong
// outcome. This can happen when operators edit concurrently while requests and answers
// are lost, refused or late.
BOOST_AUTO_TEST_CASE(racing_edits_are_applied_once_or_not_at_all)
{
    std::map<std::string, int> seen;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
    {
        operators team(seed);
        team.apply("e-0", text_with_rate(1)).value();
        team.platform.percent_failing = seed % 5 * 15;
        std::array<std::vector<result<edit_outcome>>, 3> outcomes;
        for (std::size_t each = 0; each < outcomes.size(); ++each)
            team.begin("e-" + std::to_string(each + 1), "anna",
                       text_with_rate(static_cast<int>(10 + each)), 1, outcomes[each]);
        team.platform.run();
        team.platform.percent_failing = 0;
        team.check_history();
        std::size_t accepted = 0;
        for (std::size_t each = 0; each < outcomes.size(); ++each)
        {
            const std::string id = "e-" + std::to_string(each + 1);
            BOOST_REQUIRE(outcomes[each].size() == 1U);
            const auto& outcome = outcomes[each].front();
            const std::size_t applied_times = team.count_versions(id);
            accepted += applied_times;
            BOOST_TEST(applied_times <= 1U);
            if (outcome)
                BOOST_TEST(applied_times == 1U);
            else if (outcome.error().code != errc::unknown_outcome)
                BOOST_TEST(applied_times == 0U, outcome.error().message);
            ++seen[outcome ? "accepted" : outcome.error().code.message()];
            // Repeating the command after the faults reports its outcome.
            const auto again =
                team.apply(id, text_with_rate(static_cast<int>(10 + each)), 1);
            if (applied_times == 1)
                BOOST_TEST(again.value().repeated);
        }
        BOOST_TEST(accepted <= 1U); // all are based on version 1
    }
    // The schedules must reach each kind of outcome.
    BOOST_TEST(seen["accepted"] > 100);
    BOOST_TEST(seen["conflicting write"] > 100);
    BOOST_TEST(seen["service unavailable"] > 100);
    BOOST_TEST(seen["outcome unknown"] > 10);
}

// Guards against a drain mark that is lost or that undoes a concurrent edit.
BOOST_AUTO_TEST_CASE(racing_drains_are_all_in_the_catalogue)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        operators team(seed);
        team.apply("e-0", text_with_rate(1)).value();
        std::vector<result<edit_outcome>> outcomes;
        for (const std::string address : {"127.0.0.1:9001", "127.0.0.1:9002"})
            team.worker.drain(
                {},
                {.edit_id = "d-" + address.substr(10), .who = "anna", .address = address},
                [&](result<edit_outcome> outcome)
                { outcomes.push_back(std::move(outcome)); });
        team.platform.run();
        BOOST_REQUIRE(outcomes.size() == 2U);
        BOOST_TEST(outcomes[0].value().version + outcomes[1].value().version == 5U);
        const head at = team.platform.value("catalogue/head").get<head>();
        const auto now =
            catalogue::parse_catalogue(team.platform.objects.at(at.object), "");
        for (const auto& server : now.value().groups.at("g").upstreams)
            BOOST_TEST(server.drain);
        team.check_history();
    }
}

BOOST_AUTO_TEST_CASE(the_base_of_a_text_is_its_first_line)
{
    const std::string text = add_base_line("[catalogue]\n", 17);
    BOOST_TEST(parse_base_version(text).value() == 17U);
    BOOST_TEST(add_base_line(text, 18) == "; based on version 18\n[catalogue]\n");
    BOOST_TEST(remove_base_line(text) == "[catalogue]\n");
    BOOST_TEST(!parse_base_version("; based on version x\n").has_value());
}
