#include "pistachiospan/fleet/fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start(100s);

const std::map<std::string, std::string> regions = {
    {"n1", "north"}, {"n2", "north"}, {"n3", "north"}, {"s1", "south"}};

// Of the coordinator of a data centre with one more VM.
fleet::report report_of(const std::string& data_centre, std::uint64_t sequence = 1)
{
    const std::string vm = "vm-" + data_centre;
    return {.vm = {vm},
            .started = 1,
            .sequence = sequence,
            .epoch = 5,
            .data_centre = data_centre,
            .peer_address = vm + ":1",
            .caller_address = vm + ":2",
            .ready = true,
            .demand = {{.account = "shop", .rate = 10}},
            .services = {{.service = "orders", .rate = 7, .bound = {{"north", 2}}}},
            .vms = {{.vm = {vm}, .caller_address = vm + ":2", .usable = true},
                    {.vm = {"off"}, .caller_address = "off:2", .usable = false}}};
}

fleet::membership make(const std::string& data_centre)
{
    fleet::membership others({.data_centre = data_centre, .regions = regions});
    others.note_sent_report(start, report_of(data_centre));
    return others;
}

} // namespace

// Guards against a directory that names VMs that are silent, stopping or not ready.
BOOST_AUTO_TEST_CASE(directory_names_only_usable_vms)
{
    fleet::membership others = make("n1");
    others.observe(start, report_of("n2"));
    others.observe(start + 2s, report_of("s1"));
    fleet::address_lists lists = others.caller_addresses(start + 2s);
    BOOST_TEST(lists.at("n2") == std::vector<std::string>{"vm-n2:2"});
    BOOST_TEST(lists.at("s1") == std::vector<std::string>{"vm-s1:2"});
    lists = others.caller_addresses(start + 3s);
    BOOST_TEST(lists.at("n2").empty());
    BOOST_TEST(lists.at("s1").size() == 1U);
}

// Guards against callers that are left without a VM when their data centre or region has
// none, or with only one.
BOOST_AUTO_TEST_CASE(directory_falls_back_to_the_region_and_others)
{
    const fleet::directory_options options{.regions = regions, .max_addresses = 3};
    const fleet::address_lists usable = {
        {"n1", {"a"}}, {"n2", {"b", "c"}}, {"n3", {}}, {"s1", {"d", "e"}}};
    using list = std::vector<std::string>;
    BOOST_TEST(fleet::addresses_for(options, usable, "north", "n2") == (list{"b", "c"}));
    BOOST_TEST(fleet::addresses_for(options, usable, "north", "n1") ==
               (list{"a", "b", "c"}));
    BOOST_TEST(fleet::addresses_for(options, usable, "north", "n3") ==
               (list{"a", "b", "c"}));
    BOOST_TEST(fleet::addresses_for(options, usable, "west", "w1").size() == 3U);
}

// Guards against a delayed datagram that brings back an older state, and against the
// report of a coordinator that has been replaced.
BOOST_AUTO_TEST_CASE(older_reports_are_ignored)
{
    fleet::membership others = make("n1");
    fleet::report newer = report_of("n2", 5);
    newer.registry_change = 9;
    others.observe(start, newer);
    BOOST_TEST(!others.observe(start, report_of("n2", 4)).accepted);
    fleet::report replaced = report_of("n2", 8);
    replaced.vm = {"old"};
    replaced.epoch = 4;
    BOOST_TEST(!others.observe(start, replaced).accepted);
    BOOST_TEST(others.observe(start, replaced).replaced);
    BOOST_TEST(others.best_informed(start, 0, 8) != nullptr);
    fleet::report next = report_of("n2", 1);
    next.vm = {"new"};
    next.epoch = 6;
    BOOST_TEST(others.observe(start, next).accepted);
    BOOST_TEST(!others.observe(start, report_of("n2", 9)).accepted);
    BOOST_TEST(others.vm_count() == 2U);
}

// Guards against the part of a data centre that is only cut off being used by the others.
BOOST_AUTO_TEST_CASE(silent_data_centre_keeps_its_part)
{
    fleet::membership others = make("n1");
    for (const char* each : {"n2", "n3", "s1"})
        others.observe(start, report_of(each));
    others.note_sent_report(start + 1ms, report_of("n1"));
    BOOST_TEST(others.remote_shares(start).at("shop").demand == 30);
    others.observe(start + 1s, report_of("n3", 2));
    others.observe(start + 1s, report_of("s1", 2));
    // What this one tells meanwhile is not heard by those that are cut off.
    fleet::report grown = report_of("n1", 2);
    grown.demand.front().rate = 90;
    others.note_sent_report(start + 1100ms, grown);
    // They fall silent one after the other.
    BOOST_TEST(!others.reserve_overdue(start + 1s));
    BOOST_TEST(others.reserve_overdue(start + 1300ms));
    BOOST_TEST(others.remote_shares(start + 1300ms).at("shop").reserved == 0.25);
    BOOST_TEST(others.remote_shares(start + 1300ms).at("shop").demand == 20);
    others.note_sent_report(start + 1500ms, grown);
    others.reserve_overdue(start + 5s);
    const double later = 2 * 10.0 / (10 + 10 + 10 + 90);
    BOOST_TEST(others.remote_shares(start + 5s).at("shop").reserved == 0.25 + later,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(others.remote_shares(start + 5s).at("shop").demand == 0);
    fleet::report last = report_of("n2", 2);
    last.draining = true;
    others.observe(start + 5s, last);
    others.reserve_overdue(start + 9s);
    BOOST_TEST(others.remote_shares(start + 9s).at("shop").reserved == later,
               boost::test_tools::tolerance(1e-9));
}

// Guards against data centres that start at the same moment, or a VM that is cut off as
// it starts, and each take the whole limit until they hear of the others.
BOOST_AUTO_TEST_CASE(data_centres_share_before_they_are_heard)
{
    fleet::membership others({.data_centre = "n1", .regions = regions});
    BOOST_TEST(others.undiscovered_fraction(start) == 0.75);
    others.note_sent_report(start, report_of("n1"));
    others.observe(start + 1s, report_of("n2"));
    BOOST_TEST(others.undiscovered_fraction(start + 60s) == 0.5);
    // The others have stopped long ago.
    BOOST_TEST(others.undiscovered_fraction(start + 3min) == 0);
    BOOST_TEST(others.sharing_count() == 2U);
}

// Guards against limits that are used whole where some VMs may be cut off and use their
// part.
BOOST_AUTO_TEST_CASE(part_of_vms_that_are_not_heard_is_known)
{
    fleet::membership others = make("n1");
    BOOST_TEST(others.reachable_fraction(1) == 0.25);
    fleet::report half = report_of("n2");
    half.reachable_fraction = 0.5;
    others.observe(start, half);
    others.observe(start, report_of("n3"));
    others.observe(start, report_of("s1"));
    BOOST_TEST(others.reachable_fraction(1) == 0.875);
    others.observe(start + 1s, report_of("s1", 2));
    others.reserve_overdue(start + 2s);
    BOOST_TEST(others.reachable_fraction(1) == 0.5);
}

// Guards against parts reckoned with old demand after a cut: delta reports do not repeat
// what has changed meanwhile.
BOOST_AUTO_TEST_CASE(part_stays_until_a_whole_report)
{
    fleet::membership vms = make("n1");
    vms.observe(start, report_of("n2"));
    vms.note_sent_report(start + 1ms, report_of("n1"));
    vms.reserve_overdue(start + 2s);
    fleet::report delta = report_of("n2", 9);
    delta.delta = true;
    delta.demand.clear();
    BOOST_TEST(vms.observe(start + 4s, delta).returned);
    BOOST_TEST(vms.remote_shares(start + 4s).at("shop").reserved == 0.5);
    vms.observe(start + 5s, report_of("n2", 10));
    BOOST_TEST(vms.remote_shares(start + 5s).at("shop").reserved == 0);
    BOOST_TEST(vms.remote_shares(start + 5s).at("shop").demand == 10);
}

// Guards against demand that differs between the running sums and the whole.
BOOST_AUTO_TEST_CASE(observation_tells_the_change)
{
    fleet::membership vms = make("n1");
    BOOST_TEST(vms.observe(start, report_of("n2")).appeared);
    fleet::report more = report_of("n2", 2);
    more.demand.front().rate = 14;
    const auto seen = vms.observe(start + 500ms, more);
    BOOST_TEST(!seen.appeared);
    BOOST_TEST(seen.demand_change.front().rate == 4);
}

// Guards against malformed datagrams, and against fields lost in encoding.
BOOST_AUTO_TEST_CASE(reports_survive_encoding)
{
    fleet::report told = report_of("n2", 9);
    told.store_age = 1200ms;
    told.searching = true;
    told.capacity = 0.5;
    told.leaving_upstreams = {{.id = "u1", .started = 77}};
    told.coordinators = {
        {.data_centre = "s1", .peer_address = "vm-s1:1", .epoch = 8, .reachable = true}};
    const result<fleet::report> read = fleet::decode(fleet::encode(told));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().sequence == 9U);
    BOOST_TEST(read.value().store_age.count() == duration(1200ms).count());
    BOOST_TEST(read.value().ready);
    BOOST_TEST(read.value().demand.front().rate == 10);
    BOOST_TEST(read.value().services.front().bound.at("north") == 2);
    BOOST_TEST(read.value().epoch == 5U);
    BOOST_TEST(read.value().searching);
    BOOST_TEST(read.value().capacity == 0.5);
    BOOST_TEST((read.value().leaving_upstreams == told.leaving_upstreams));
    BOOST_TEST((read.value().vms == told.vms));
    BOOST_TEST((read.value().coordinators == told.coordinators));
    BOOST_TEST(!fleet::decode("not a report").has_value());
    BOOST_TEST(!fleet::decode("").has_value());
}

// Guards against a region in which every data centre reads the store, or none does.
BOOST_AUTO_TEST_CASE(one_data_centre_of_a_region_reads_the_store)
{
    fleet::membership vms = make("n2");
    vms.observe(start, report_of("n3"));
    vms.observe(start, report_of("s1"));
    BOOST_TEST(vms.reader(start, 0s) == nullptr);
    vms.observe(start, report_of("n1"));
    BOOST_TEST(vms.reader(start, 0s)->last_report.data_centre == "n1");
    // Silent, stopping or cut off from the store: the next one reads.
    BOOST_TEST(vms.reader(start + 5s, 0s) == nullptr);
    fleet::report cut_off = report_of("n1", 2);
    cut_off.store_age = 3s;
    vms.observe(start, cut_off);
    BOOST_TEST(vms.reader(start, 0s) == nullptr);
    BOOST_TEST(vms.reader(start, 3s)->last_report.data_centre == "n3");
    BOOST_TEST(vms.remote_reader(start)->last_report.data_centre == "s1");
}

// Guards against a VM that follows a paused one, or one whose reads of the store hang,
// for longer than the 2 s after which a change must be known (seed 903 of the soak).
BOOST_AUTO_TEST_CASE(vm_with_old_news_is_not_followed)
{
    fleet::membership vms = make("n2");
    vms.observe(start, report_of("n1"));
    BOOST_TEST(vms.reader(start + 1200ms, 0s) != nullptr);
    BOOST_TEST(vms.reader(start + 1600ms, 0s) == nullptr);
    BOOST_TEST(vms.caller_addresses(start + 1600ms).at("n1").size() == 1U);
    fleet::report hanging = report_of("n1", 2);
    hanging.store_age = 1400ms;
    vms.observe(start + 2s, hanging);
    BOOST_TEST(vms.reader(start + 2s, 0s) != nullptr);
    BOOST_TEST(vms.reader(start + 2200ms, 0s) == nullptr);
}

// Guards against a VM that follows one whose view of the store stands still.
BOOST_AUTO_TEST_CASE(newer_changes_elsewhere_are_noticed)
{
    fleet::membership vms = make("n1");
    fleet::report newer = report_of("n2");
    newer.operator_change = 5;
    newer.registry_change = 9;
    vms.observe(start, newer);
    BOOST_TEST(vms.best_informed(start, 5, 9) == nullptr);
    BOOST_TEST(vms.best_informed(start, 5, 8) != nullptr);
    BOOST_TEST(vms.best_informed(start, 4, 9) != nullptr);
    BOOST_TEST(vms.best_informed(start + 5s, 0, 0) == nullptr);
}

// Guards against delta reports that lose what they do not repeat, and against one that is
// taken for the report of a VM that has started again.
BOOST_AUTO_TEST_CASE(brief_reports_keep_the_rest)
{
    fleet::membership vms = make("n1");
    fleet::report delta{.delta = true,
                        .vm = {"vm-n2"},
                        .started = 1,
                        .sequence = 2,
                        .epoch = 5,
                        .ready = true,
                        .demand = {{.account = "other", .rate = 3}}};
    BOOST_TEST(!vms.observe(start, delta).accepted);
    vms.observe(start, report_of("n2"));
    const result<fleet::report> read = fleet::decode(fleet::encode(delta));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(vms.observe(start + 2s, read.value()).accepted);
    BOOST_TEST(vms.caller_addresses(start + 4s).at("n2").size() == 1U);
    BOOST_TEST(vms.remote_shares(start + 4s).at("shop").demand == 10);
    BOOST_TEST(vms.remote_shares(start + 4s).at("other").demand == 3);
    delta.started = 2;
    delta.sequence = 1;
    BOOST_TEST(!vms.observe(start + 9s, delta).accepted);
}

// Guards against a coordinator that does not tell whom else it knows: a data centre whose
// coordinators have lost sight of each other finds together through the others.
BOOST_AUTO_TEST_CASE(coordinators_are_told_with_their_epoch)
{
    fleet::membership vms = make("n1");
    vms.set_addresses({{"n1", "self:1"}, {"s1", "vm-s1:1"}});
    vms.observe(start, report_of("n2"));
    const auto known = vms.coordinators(start + 1s);
    BOOST_TEST_REQUIRE(known.size() == 2U);
    BOOST_TEST(known.at(0).data_centre == "n2");
    BOOST_TEST(known.at(0).epoch == 5U);
    BOOST_TEST(known.at(0).reachable);
    BOOST_TEST(known.at(1).peer_address == "vm-s1:1");
    BOOST_TEST(!known.at(1).reachable);
    BOOST_TEST(!vms.coordinators(start + 2s).at(0).reachable);
}
