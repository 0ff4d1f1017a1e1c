#include "pistachiospan/config/config.hpp"
#include "pistachiospan/config/internal/simulated_fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace pistachiospan;
using namespace pistachiospan::config;
using namespace pistachiospan::config::internal;
using catalogue::unconfirmed_policy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// Upper bound of the time from the acceptance of an edit to its activation on all VMs.
constexpr duration in_force_bound = seconds(12);
// A revoked key is refused under the policy `refuse` after this time: confirm_within plus
// an allowance for clock drift.
constexpr duration revoked_bound = milliseconds(5100);

simulation_options nine_vms(std::uint64_t seed)
{
    return {.data_centres = {{"a1", "a", 2},
                             {"a2", "a", 1},
                             {"b1", "b", 2},
                             {"b2", "b", 1},
                             {"c1", "c", 2},
                             {"c2", "c", 1}},
            .seed = seed};
}

simulation_options twenty_vms(std::uint64_t seed)
{
    return {.data_centres = {{"a1", "a", 12}, {"b1", "b", 7}, {"c1", "c", 1}},
            .seed = seed};
}

std::string catalogue_text(std::uint64_t number)
{
    std::string text = "[catalogue]\n";
    for (std::uint64_t entry = 0; entry < 200; ++entry)
        text += "[client_account " + std::to_string(entry) +
                "]\nrate = " + std::to_string(entry == number % 200 ? number : 1) + "\n";
    return text;
}

bool in_region(const simulated_vm& vm, std::string_view region)
{
    return vm.entry.region == region;
}

} // namespace

BOOST_AUTO_TEST_CASE(differences_restore_every_text)
{
    const bool restored_all =
        rc::check("apply_difference(make_difference)",
                  [](const std::string& before)
                  {
                      const auto lines = *rc::gen::container<std::vector<std::string>>(
                          rc::gen::element<std::string>("a\n", "b\n", "\n", "c", before));
                      std::string after;
                      for (const std::string& line : lines)
                          after += line;
                      const auto restored =
                          apply_difference(before, make_difference(before, after));
                      RC_ASSERT(restored.has_value());
                      RC_ASSERT(restored.value() == after);
                  });
    BOOST_TEST(restored_all);
    const std::string before = catalogue_text(1);
    const nlohmann::json difference = make_difference(before, catalogue_text(2));
    BOOST_TEST(difference.dump().size() < 100U);
    BOOST_TEST(!apply_difference("one line\n", difference).has_value());
    BOOST_TEST(!apply_difference(before, {{"x", 1}}).has_value());
}

BOOST_AUTO_TEST_CASE(an_edit_is_in_force_everywhere_within_the_bound)
{
    for (const simulation_options& options : {nine_vms(1), twenty_vms(2)})
    {
        simulated_fleet fleet(options);
        fleet.run(seconds(15));
        BOOST_TEST(fleet.in_force_everywhere());
        for (std::uint64_t number = 1; number < 10; ++number)
        {
            fleet.edit(catalogue_text(number));
            fleet.run(in_force_bound);
            BOOST_TEST(fleet.in_force_everywhere());
        }
        for (std::size_t index = 0; index < fleet.size(); ++index)
            BOOST_TEST(fleet.may_serve(index, unconfirmed_policy::refuse).serve);
    }
}

// Guards against a region that stays on an old version because it cannot reach
// the store, although its peers can.
BOOST_AUTO_TEST_CASE(a_region_without_the_store_follows_through_its_peers)
{
    for (const simulation_options& options : {nine_vms(3), twenty_vms(4)})
    {
        simulated_fleet fleet(options);
        fleet.run(seconds(15));
        fleet.store_outage([](const simulated_vm& vm) { return in_region(vm, "b"); });
        for (std::uint64_t number = 1; number < 5; ++number)
        {
            fleet.edit(catalogue_text(number));
            fleet.run(in_force_bound);
            BOOST_TEST(fleet.in_force_everywhere());
        }
        for (std::size_t index = 0; index < fleet.size(); ++index)
            BOOST_TEST(fleet.may_serve(index, unconfirmed_policy::refuse).serve);
    }
}

// Guards against a partitioned VM that keeps serving a revoked key because it cannot
// learn of the revocation.
BOOST_AUTO_TEST_CASE(a_cut_off_vm_stops_serving_keys_within_the_bound)
{
    simulated_fleet fleet(nine_vms(5));
    fleet.run(seconds(15));
    const auto is_isolated = [](const simulated_vm& vm)
    {
        return vm.index == 0;
    };
    fleet.store_outage(is_isolated);
    fleet.partition([is_isolated](const simulated_vm& from, const simulated_vm& to)
                    { return is_isolated(from) != is_isolated(to); });
    const catalogue_version before = fleet.vm(0).in_force;
    fleet.edit(catalogue_text(1));
    fleet.run(revoked_bound);
    BOOST_TEST(fleet.vm(0).in_force == before);
    BOOST_TEST(!fleet.may_serve(0, unconfirmed_policy::refuse).serve);
    BOOST_TEST(fleet.may_serve(0, unconfirmed_policy::serve).serve);
    BOOST_TEST(fleet.may_serve(1, unconfirmed_policy::refuse).serve);
    fleet.partition({});
    fleet.store_outage({});
    fleet.run(in_force_bound);
    BOOST_TEST(fleet.in_force_everywhere());
    BOOST_TEST(fleet.may_serve(0, unconfirmed_policy::refuse).serve);
}

// Guards against a partitioned VM that takes its own isolation for an outage of the store
// that affects all VMs.
BOOST_AUTO_TEST_CASE(majority_serves_in_an_outage_and_refuses_in_a_minority)
{
    simulated_fleet fleet(nine_vms(6));
    fleet.run(seconds(15));
    fleet.store_outage([](const simulated_vm&) { return true; });
    fleet.run(seconds(30));
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        BOOST_TEST(!fleet.may_serve(index, unconfirmed_policy::refuse).serve);
        BOOST_TEST((fleet.may_serve(index, unconfirmed_policy::majority).reason ==
                    admission_reason::majority_reachable));
    }
    fleet.partition([](const simulated_vm& from, const simulated_vm& to)
                    { return in_region(from, "c") != in_region(to, "c"); });
    fleet.run(seconds(10));
    for (std::size_t index = 0; index < fleet.size(); ++index)
        BOOST_TEST(fleet.may_serve(index, unconfirmed_policy::majority).serve ==
                   !in_region(fleet.vm(index), "c"));
}

// Guards against a majority that serves although the store still accepts edits: six of
// nine VMs reach each other, and the store works only inside the third region.
BOOST_AUTO_TEST_CASE(a_majority_without_the_store_region_refuses)
{
    simulation_options options = nine_vms(7);
    options.store_region = "c";
    simulated_fleet fleet(options);
    fleet.run(seconds(15));
    fleet.store_outage([](const simulated_vm& vm) { return !in_region(vm, "c"); });
    fleet.partition([](const simulated_vm& from, const simulated_vm& to)
                    { return in_region(from, "c") != in_region(to, "c"); });
    fleet.edit(catalogue_text(1));
    fleet.run(seconds(10));
    for (std::size_t index = 0; index < fleet.size(); ++index)
        BOOST_TEST(fleet.may_serve(index, unconfirmed_policy::majority).serve ==
                   in_region(fleet.vm(index), "c"));
}

// Guards against a VM without a catalogue that accepts an old version from a
// peer: VM 1 was partitioned with version 1, and is the only peer that VM 0 reaches after
// its restart.
BOOST_AUTO_TEST_CASE(an_empty_vm_does_not_take_an_older_version_from_one_peer)
{
    simulated_fleet fleet(nine_vms(8));
    fleet.run(seconds(15));
    const auto in_isolated_pair = [](const simulated_vm& vm)
    {
        return vm.index <= 1;
    };
    fleet.store_outage([](const simulated_vm& vm) { return vm.index == 1; });
    fleet.partition([](const simulated_vm& from, const simulated_vm& to)
                    { return (from.index == 1) != (to.index == 1); });
    fleet.edit(catalogue_text(1));
    fleet.run(in_force_bound);
    BOOST_TEST(fleet.vm(0).in_force == 2U);
    BOOST_TEST(fleet.vm(1).in_force == 1U);
    fleet.kill(0);
    fleet.store_outage([](const simulated_vm&) { return true; });
    fleet.partition([in_isolated_pair](const simulated_vm& from, const simulated_vm& to)
                    { return in_isolated_pair(from) != in_isolated_pair(to); });
    fleet.start(0);
    fleet.run(seconds(60));
    BOOST_TEST(fleet.vm(0).in_force == 0U);
    BOOST_TEST(!fleet.may_serve(0, unconfirmed_policy::serve).serve);
    fleet.partition({});
    fleet.run(seconds(30));
    BOOST_TEST(fleet.vm(0).in_force == 2U);
    BOOST_TEST(fleet.in_force_everywhere());
    BOOST_TEST(!fleet.any_regressed());
}

// Guards against a text that is changed in transit: every difference sent by a peer is
// corrupted, so each VM must request the full text.
BOOST_AUTO_TEST_CASE(corrupted_differences_are_detected)
{
    simulated_fleet fleet(nine_vms(9));
    fleet.edit(catalogue_text(1));
    fleet.run(seconds(15));
    fleet.tamper(
        [](std::string_view type, wire::body& content)
        {
            if (type != offer_type || !content.at(6).is_array())
                return;
            for (nlohmann::json& difference : content[6])
                difference.push_back("rate = 100000\n");
        });
    fleet.edit(catalogue_text(2));
    fleet.run(in_force_bound);
    std::uint64_t failures = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        BOOST_TEST(fleet.vm(index).config->held_text() == fleet.text());
        failures += fleet.vm(index).config->statistics().digest_failures;
    }
    BOOST_TEST(failures > 0U);
    BOOST_TEST(fleet.in_force_everywhere());
}

// Guards against a text that cannot be distributed because the change log has no
// difference and the text exceeds the size of one message.
BOOST_AUTO_TEST_CASE(large_texts_travel_in_parts)
{
    simulated_fleet fleet(nine_vms(10));
    fleet.run(seconds(15));
    std::string text = "[catalogue]\n";
    while (text.size() < 900'000)
        text += "[client_account " + std::to_string(text.size()) + "]\n";
    fleet.edit_without_difference(text);
    fleet.run(in_force_bound);
    BOOST_TEST(fleet.in_force_everywhere());
    fleet.start(4);
    fleet.run(in_force_bound);
    BOOST_TEST(fleet.vm(4).config->held_text() == text);
}

// Guards against a catalogue that the parser refuses and that affects the active version
// or blocks later versions.
BOOST_AUTO_TEST_CASE(a_catalogue_that_does_not_parse_is_held_and_reported)
{
    simulated_fleet fleet(nine_vms(11));
    fleet.set_parse(
        [](catalogue_version, std::string_view text) -> result<void>
        {
            if (text.starts_with("!"))
                return failure(errc::invalid_argument, "line 1: unknown section");
            return boost::outcome_v2::success();
        });
    fleet.run(seconds(15));
    const catalogue_version refused = fleet.edit("!");
    fleet.run(in_force_bound);
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        BOOST_TEST(fleet.vm(index).config->held_version() == refused);
        BOOST_TEST(fleet.vm(index).in_force == refused - 1);
        BOOST_TEST(fleet.vm(index).reports.size() == 1U);
        BOOST_TEST(fleet.may_serve(index, unconfirmed_policy::refuse).serve);
    }
    fleet.edit(catalogue_text(1));
    fleet.run(in_force_bound);
    BOOST_TEST(fleet.in_force_everywhere());
}

// Guards against an edit that does not reach the VMs when only the operator's command can
// reach the store.
BOOST_AUTO_TEST_CASE(an_edit_posted_by_the_operator_spreads_without_the_store)
{
    simulated_fleet fleet(twenty_vms(12));
    fleet.run(seconds(15));
    fleet.store_outage([](const simulated_vm&) { return true; });
    const std::string text = catalogue_text(1);
    const catalogue_version version = fleet.edit(text);
    replica& receiver = *fleet.vm(3).config;
    BOOST_TEST(!receiver.offer(fleet.now(), version, "wrong digest", text).has_value());
    BOOST_TEST(receiver.offer(fleet.now(), version, simulated_fleet::digest(text), text)
                   .has_value());
    BOOST_TEST(!receiver.offer(fleet.now(), version, simulated_fleet::digest(text), text)
                    .has_value());
    fleet.run(in_force_bound);
    BOOST_TEST(fleet.in_force_everywhere());
}

// Guards against store reads that grow with the number of VMs, in normal operation or
// during an outage of the store.
BOOST_AUTO_TEST_CASE(store_reads_are_bounded_per_data_centre)
{
    simulated_fleet fleet(twenty_vms(13));
    const auto reads = [&fleet]
    {
        std::uint64_t sum = 0;
        for (std::size_t index = 0; index < fleet.size(); ++index)
            sum += fleet.vm(index).config->statistics().head_reads;
        return sum;
    };
    fleet.run(seconds(15));
    const std::uint64_t reads_at_start = reads();
    fleet.run(seconds(100));
    const std::uint64_t reads_before_outage = reads();
    BOOST_TEST(reads_before_outage - reads_at_start <= 3 * 100 * 1.2);
    fleet.store_outage([](const simulated_vm&) { return true; });
    fleet.run(seconds(100));
    BOOST_TEST(reads() - reads_before_outage <= 3 * 100 * 2.2);
}

namespace
{

// Generates random steps: edits, partitions in one or both directions, pauses, restarts
// without state, and store outages for some or all VMs.
class random_schedule
{
public:
    random_schedule(simulated_fleet& fleet, std::uint64_t seed)
        : fleet(fleet), random(seed)
    {
    }

    void step()
    {
        const std::size_t victim = this->below(this->fleet.size());
        switch (this->below(9))
        {
        case 0:
        case 1:
            this->accepted.push_back(
                {this->fleet.edit(catalogue_text(this->below(1000))), this->fleet.now()});
            break;
        case 2:
            this->fleet.pause(victim, milliseconds(500 + this->below(20'000)));
            break;
        case 3:
            // At most one VM at a time is without a catalogue.
            if (this->fleet.vm(this->restarted).in_force != 0)
                this->fleet.start(this->restarted = victim);
            break;
        case 4:
            this->fleet.partition(this->random_partition());
            break;
        case 5:
            this->fleet.partition({});
            break;
        case 6:
            this->fleet.store_outage(
                [salt = this->random(), share = this->below(4)](const simulated_vm& vm)
                { return hash_bytes(vm.entry.data_centre, salt) % 3 < share; });
            break;
        case 7:
            // Half of the answers are lost.
            this->fleet.store_outage(
                [engine = random_engine(this->random())](const simulated_vm&) mutable
                { return engine() % 2 == 0; });
            break;
        default:
            this->fleet.store_outage({});
        }
    }

    // Checks that no VM checks keys against a version superseded for longer than the
    // bound.
    void check_revocation() const
    {
        for (std::size_t index = 0; index < this->fleet.size(); ++index)
        {
            const simulated_vm& vm = this->fleet.vm(index);
            if (vm.paused_until > this->fleet.now() ||
                !this->fleet.may_serve(index, unconfirmed_policy::refuse).serve)
                continue;
            for (const auto& [version, at] : this->accepted)
                if (version > vm.in_force)
                    BOOST_TEST((this->fleet.now() - at <= revoked_bound));
        }
    }

private:
    std::size_t below(std::size_t bound)
    {
        return this->random() % bound;
    }

    simulated_fleet::link_rule random_partition()
    {
        const bool one_way = this->below(2) == 0;
        return [salt = this->random(), one_way](const simulated_vm& from,
                                                const simulated_vm& to)
        {
            const bool left = hash_bytes(from.entry.id.value, salt) % 3 == 0;
            const bool right = hash_bytes(to.entry.id.value, salt) % 3 == 0;
            return one_way ? left && !right : left != right;
        };
    }

    simulated_fleet& fleet;
    random_engine random;
    std::size_t restarted = 0;
    std::vector<std::pair<catalogue_version, time_point>> accepted;
};

} // namespace

// Guards against a VM that returns to an older version, revoked keys that are accepted
// for too long, and VMs that stay on an old version after the failures have
// ended.
BOOST_AUTO_TEST_CASE(random_failures_never_revert_a_version)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            simulation_options options =
                seed % 3 == 0
                    ? simulation_options{.data_centres = {{"a1", "a", 3}}, .seed = seed}
                : seed % 3 == 1 ? nine_vms(seed)
                                : twenty_vms(seed);
            options.loss = 0.05;
            options.duplication = 0.05;
            options.extra_delay = milliseconds(200);
            options.store_latency = milliseconds(seed % 2 == 0 ? 5 : 1500);
            simulated_fleet fleet(options);
            fleet.run(seconds(15));
            random_schedule schedule(fleet, seed);
            for (int step = 0; step < 60; ++step)
            {
                schedule.step();
                for (int part = 0; part < 20; ++part)
                {
                    fleet.run(milliseconds(100));
                    schedule.check_revocation();
                }
            }
            fleet.partition({});
            fleet.store_outage({});
            fleet.run(seconds(20)); // the longest pause
            fleet.edit(catalogue_text(1));
            fleet.run(in_force_bound);
            BOOST_TEST(fleet.in_force_everywhere());
            BOOST_TEST(!fleet.any_regressed());
        }
    }
}
