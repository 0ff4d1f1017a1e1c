#include "pistachiospan/fleet/fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start(100s);

fleet::report report_of(const std::string& vm, const std::string& data_centre,
                        std::uint64_t sequence = 1)
{
    return {.vm = {vm},
            .started = 1,
            .sequence = sequence,
            .data_centre = data_centre,
            .peer_address = vm + ":1",
            .caller_address = vm + ":2",
            .ready = true,
            .demand = {{.account = "shop", .rate = 10}},
            .services = {{.service = "orders", .rate = 7, .bound = {{"north", 2}}}}};
}

fleet::membership make(const std::string& data_centre)
{
    fleet::membership vms(
        {.self = {"vm-0"},
         .data_centre = data_centre,
         .regions = {{"n1", "north"}, {"n2", "north"}, {"s1", "south"}}});
    vms.set_self(report_of("vm-0", data_centre));
    vms.note_told(start);
    return vms;
}

} // namespace

// Guards against a directory that names VMs that are silent, stopping or not ready.
BOOST_AUTO_TEST_CASE(directory_names_only_usable_vms)
{
    fleet::membership vms = make("n1");
    vms.observe(start, report_of("silent", "n1"));
    fleet::report stopping = report_of("stopping", "n1");
    stopping.draining = true;
    fleet::report starting = report_of("starting", "n1");
    starting.ready = false;
    vms.observe(start + 3s, stopping);
    vms.observe(start + 3s, starting);
    vms.observe(start + 3s, report_of("good", "n2"));
    const auto addresses = vms.addresses_for(start + 3s, "north", "n1");
    const std::vector<std::string> expected = {"vm-0:2", "good:2"};
    BOOST_TEST(addresses == expected, boost::test_tools::per_element());
}

// Guards against callers that are left without a VM when their region has none.
BOOST_AUTO_TEST_CASE(directory_falls_back_to_other_regions)
{
    fleet::membership vms = make("n1");
    const auto addresses = vms.addresses_for(start, "south", "s1");
    BOOST_TEST(addresses.size() == 1U);
}

// Guards against a delayed datagram that brings back an older state.
BOOST_AUTO_TEST_CASE(older_reports_are_ignored)
{
    fleet::membership vms = make("n1");
    fleet::report newer = report_of("a", "n1", 5);
    newer.draining = true;
    vms.observe(start, newer);
    vms.observe(start, report_of("a", "n1", 4));
    BOOST_TEST(vms.addresses_for(start, "north", "n1").size() == 1U);
    fleet::report restarted = report_of("a", "n1", 1);
    restarted.started = 2;
    vms.observe(start, restarted);
    BOOST_TEST(vms.addresses_for(start, "north", "n1").size() == 2U);
}

// Guards against the part of a VM that is only cut off being used by the others.
BOOST_AUTO_TEST_CASE(silent_vm_keeps_its_part)
{
    fleet::membership vms = make("n1");
    vms.observe(start, report_of("a", "n1"));
    vms.observe(start, report_of("b", "n1"));
    vms.observe(start, report_of("c", "n1"));
    vms.set_self(report_of("vm-0", "n1"));
    vms.note_told(start + 1ms);
    BOOST_TEST(vms.remote_shares(start).at("shop").demand == 30);
    vms.observe(start + 1s, report_of("b", "n1", 2));
    vms.observe(start + 1s, report_of("c", "n1", 2));
    // What this VM tells meanwhile is not heard by those that are cut off.
    fleet::report grown = report_of("vm-0", "n1", 2);
    grown.demand.front().rate = 90;
    vms.set_self(grown);
    vms.note_told(start + 1100ms);
    // They fall silent one after the other.
    BOOST_TEST(!vms.reserve_overdue(start + 1s));
    BOOST_TEST(vms.reserve_overdue(start + 1300ms));
    BOOST_TEST(vms.remote_shares(start + 1300ms).at("shop").reserved == 0.25);
    BOOST_TEST(vms.remote_shares(start + 1300ms).at("shop").demand == 20);
    vms.set_self(grown);
    vms.note_told(start + 1500ms);
    vms.reserve_overdue(start + 5s);
    const double later = 2 * 10.0 / (10 + 10 + 10 + 90);
    BOOST_TEST(vms.remote_shares(start + 5s).at("shop").reserved == 0.25 + later,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(vms.remote_shares(start + 5s).at("shop").demand == 0);
    fleet::report last = report_of("a", "n1", 2);
    last.draining = true;
    vms.observe(start + 5s, last);
    vms.reserve_overdue(start + 9s);
    BOOST_TEST(vms.remote_shares(start + 9s).at("shop").reserved == later,
               boost::test_tools::tolerance(1e-9));
}

// Guards against VMs that start at the same moment and each take the whole limit until
// they hear of the others.
BOOST_AUTO_TEST_CASE(registered_vms_share_before_they_are_heard)
{
    fleet::membership vms = make("n1");
    BOOST_TEST(vms.sharing_count(start) >= 8U);
    vms.set_addresses(start, {{{"vm-0"}, "0:1"}, {{"a"}, "a:1"}, {{"b"}, "b:1"}});
    BOOST_TEST(vms.sharing_count(start) == 3U);
    vms.observe(start + 1s, report_of("a", "n1"));
    BOOST_TEST(vms.sharing_count(start + 1s) == 3U);
    BOOST_TEST(vms.sharing_count(start + 3s) == 2U); // b has stopped long ago
}

// Guards against parts reckoned with old demand after a cut: brief reports do not repeat
// what has changed meanwhile.
BOOST_AUTO_TEST_CASE(part_stays_until_a_whole_report)
{
    fleet::membership vms = make("n1");
    vms.observe(start, report_of("a", "n1"));
    vms.set_self(report_of("vm-0", "n1"));
    vms.note_told(start + 1ms);
    vms.reserve_overdue(start + 2s);
    fleet::report brief = report_of("a", "n1", 9);
    brief.brief = true;
    brief.demand.clear();
    BOOST_TEST(vms.observe(start + 4s, brief).returned);
    BOOST_TEST(vms.remote_shares(start + 4s).at("shop").reserved == 0.5);
    vms.observe(start + 5s, report_of("a", "n1", 10));
    BOOST_TEST(vms.remote_shares(start + 5s).at("shop").reserved == 0);
    BOOST_TEST(vms.remote_shares(start + 5s).at("shop").demand == 10);
}

// Guards against demand that differs between the running sums and the whole.
BOOST_AUTO_TEST_CASE(observation_tells_the_change)
{
    fleet::membership vms = make("n1");
    BOOST_TEST(vms.observe(start, report_of("a", "n1")).appeared);
    fleet::report more = report_of("a", "n1", 2);
    more.demand.front().rate = 14;
    const auto seen = vms.observe(start + 500ms, more);
    BOOST_TEST(!seen.appeared);
    BOOST_TEST(seen.change.front().rate == 4);
}

// Guards against malformed datagrams, and against fields lost in encoding.
BOOST_AUTO_TEST_CASE(reports_survive_encoding)
{
    fleet::report told = report_of("a", "n1", 9);
    told.store_age = 1200ms;
    const result<fleet::report> read = fleet::decode(fleet::encode(told));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().sequence == 9U);
    BOOST_TEST(read.value().store_age.count() == duration(1200ms).count());
    BOOST_TEST(read.value().ready);
    BOOST_TEST(read.value().demand.front().rate == 10);
    BOOST_TEST(read.value().services.front().bound.at("north") == 2);
    BOOST_TEST(!fleet::decode("not a report").has_value());
    BOOST_TEST(!fleet::decode("").has_value());
}

// Guards against a region in which every VM reads the store, or none does.
BOOST_AUTO_TEST_CASE(one_vm_of_a_region_reads_the_store)
{
    fleet::membership vms = make("n1"); // vm-0 in the north
    vms.observe(start, report_of("vm-1", "n2"));
    vms.observe(start, report_of("vm-2", "s1"));
    BOOST_TEST(vms.reader(start, 0s) == nullptr);
    vms.observe(start, report_of("a-first", "n2"));
    BOOST_TEST(vms.reader(start, 0s)->said.vm.value == "a-first");
    // Silent, stopping or cut off from the store: the next one reads.
    BOOST_TEST(vms.reader(start + 5s, 0s) == nullptr);
    fleet::report cut_off = report_of("a-first", "n2", 2);
    cut_off.store_age = 3s;
    vms.observe(start, cut_off);
    BOOST_TEST(vms.reader(start, 0s) == nullptr);
    BOOST_TEST(vms.reader(start, 3s)->said.vm.value == "vm-1");
    BOOST_TEST(vms.remote_reader(start)->said.vm.value == "vm-2");
}

// Guards against a VM that follows a paused one, or one whose reads of the store hang,
// for longer than the 2 s after which a change must be known (seed 903 of the soak).
BOOST_AUTO_TEST_CASE(vm_with_old_news_is_not_followed)
{
    fleet::membership vms = make("n1");
    vms.observe(start, report_of("a-first", "n2"));
    BOOST_TEST(vms.reader(start + 1200ms, 0s) != nullptr);
    BOOST_TEST(vms.reader(start + 1600ms, 0s) == nullptr);
    BOOST_TEST(vms.live_count(start + 1600ms) == 2U);
    fleet::report hanging = report_of("a-first", "n2", 2);
    hanging.store_age = 1400ms;
    vms.observe(start + 2s, hanging);
    BOOST_TEST(vms.reader(start + 2s, 0s) != nullptr);
    BOOST_TEST(vms.reader(start + 2200ms, 0s) == nullptr);
}

// Guards against a VM that follows one whose view of the store stands still.
BOOST_AUTO_TEST_CASE(newer_changes_elsewhere_are_noticed)
{
    fleet::membership vms = make("n1");
    fleet::report newer = report_of("a", "n1");
    newer.operator_change = 5;
    newer.registry_change = 9;
    vms.observe(start, newer);
    BOOST_TEST(vms.best_informed(start, 5, 9) == nullptr);
    BOOST_TEST(vms.best_informed(start, 5, 8) != nullptr);
    BOOST_TEST(vms.best_informed(start, 4, 9) != nullptr);
    BOOST_TEST(vms.best_informed(start + 5s, 0, 0) == nullptr);
}

// Guards against brief reports that lose what they do not repeat, and against one that is
// taken for the report of a VM that has started again.
BOOST_AUTO_TEST_CASE(brief_reports_keep_the_rest)
{
    fleet::membership vms = make("n1");
    fleet::report brief{.brief = true,
                        .vm = {"a"},
                        .started = 1,
                        .sequence = 2,
                        .ready = true,
                        .demand = {{.account = "other", .rate = 3}}};
    vms.observe(start, brief);
    BOOST_TEST(vms.live_count(start) == 1U);
    vms.observe(start, report_of("a", "n2"));
    const result<fleet::report> read = fleet::decode(fleet::encode(brief));
    BOOST_TEST_REQUIRE(read.has_value());
    vms.observe(start + 2s, read.value());
    BOOST_TEST(vms.live_count(start + 4s) == 2U);
    BOOST_TEST(vms.addresses_for(start + 4s, "north", "n2").back() == "a:2");
    BOOST_TEST(vms.remote_shares(start + 4s).at("shop").demand == 10);
    BOOST_TEST(vms.remote_shares(start + 4s).at("other").demand == 3);
    brief.started = 2;
    brief.sequence = 1;
    vms.observe(start + 9s, brief);
    BOOST_TEST(vms.live_count(start + 9s) == 1U);
}
