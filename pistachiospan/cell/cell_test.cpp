#include "pistachiospan/cell/cell.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start(100s);

cell::digest digest_of(const std::string& vm, std::uint64_t epoch,
                       std::uint64_t sequence = 1)
{
    return {
        .coordinator = {.vm = {vm}, .started = 1, .sequence = sequence, .epoch = epoch},
        .data_centre = "n1",
        .peer_address = vm + ":1",
        .members = {{.vm = {vm}, .peer_address = vm + ":1", .usable = true},
                    {.vm = {"b"}, .peer_address = "b:1", .usable = true},
                    {.vm = {"self"}, .peer_address = "self:1", .usable = true}}};
}

cell::cell make()
{
    return {{.self = {"self"},
             .started = 1,
             .data_centre = "n1",
             .peer_address = "self:1",
             .capacity = 0.5},
            start};
}

} // namespace

// Guards against fields lost in encoding: a digest without the age of its news kept
// members with a coordinator that was cut off from the store.
BOOST_AUTO_TEST_CASE(digests_survive_encoding)
{
    cell::digest told = digest_of("a", 7, 3);
    told.successor = "b:1";
    told.successor_epoch = 9;
    told.operator_change = 11;
    told.registry_change = 12;
    told.configuration_version = 13;
    told.table_staleness = 1400ms;
    told.vm_count = 14;
    told.coordinators = {{.data_centre = "s1", .peer_address = "c:1", .epoch = 2}};
    told.addresses = {{"n1", {"a:2", "b:2"}}};
    told.plans = {{"orders", {{"n1", 0.75}, {"s1", 0.25}}}};
    const result<cell::digest> read = cell::decode_digest(cell::encode(told));
    BOOST_TEST_REQUIRE(read.has_value());
    const cell::digest& got = read.value();
    BOOST_TEST(got.coordinator.vm.value == "a");
    BOOST_TEST(got.coordinator.epoch == 7U);
    BOOST_TEST(got.coordinator.sequence == 3U);
    BOOST_TEST(got.data_centre == "n1");
    BOOST_TEST(got.peer_address == "a:1");
    BOOST_TEST(got.successor == "b:1");
    BOOST_TEST(got.successor_epoch == 9U);
    BOOST_TEST(got.operator_change == 11U);
    BOOST_TEST(got.registry_change == 12U);
    BOOST_TEST(got.configuration_version == 13U);
    BOOST_TEST((got.table_staleness == 1400ms));
    BOOST_TEST(got.vm_count == 14U);
    BOOST_TEST((got.members == told.members));
    BOOST_TEST((got.coordinators == told.coordinators));
    BOOST_TEST((got.addresses == told.addresses));
    BOOST_TEST((got.plans == told.plans));
    BOOST_TEST(!cell::decode_digest("").has_value());
    BOOST_TEST(!cell::decode_digest("not a digest").has_value());
}

// Guards against a VM that is cut off from the others of its data centre and takes the
// store's row from their coordinator.
BOOST_AUTO_TEST_CASE(vm_that_hears_nobody_claims_nothing)
{
    cell::cell own = make();
    BOOST_TEST(own.observe(start, digest_of("a", 7)));
    own.tick(start + 1300ms);
    BOOST_TEST((own.current_role() == cell::role::searching));
    for (int later = 0; later < 20; ++later)
        BOOST_TEST(!own.begin_claim(start + 1300ms + later * 250ms).has_value());
    own.tick(start + 2400ms);
    BOOST_TEST(own.is_isolated());
    BOOST_TEST(own.epoch() < 7U);
    // The coordinator is heard again.
    BOOST_TEST(own.observe(start + 9s, digest_of("a", 7, 20)));
    BOOST_TEST((own.current_role() == cell::role::member));
}

// Guards against a coordinator that goes on while another one has a higher epoch, and
// against one that gives way to an older one. Its members are told where to turn.
BOOST_AUTO_TEST_CASE(higher_epoch_stays)
{
    cell::cell own = make();
    const auto due = own.begin_claim(start + 1s);
    BOOST_TEST_REQUIRE(due.has_value());
    BOOST_TEST(due->expected_version == 0U);
    own.finish_claim(start + 1s, {.answered = true, .granted = true, .version = 5});
    BOOST_TEST(own.is_coordinator());
    BOOST_TEST(!own.observe(start + 2s, digest_of("a", 4)));
    BOOST_TEST(own.is_coordinator());
    BOOST_TEST(own.observe(start + 3s, digest_of("b", 6)));
    BOOST_TEST((own.current_role() == cell::role::member));
    const std::optional<cell::digest> redirect = own.take_redirect();
    BOOST_TEST_REQUIRE(redirect.has_value());
    BOOST_TEST(redirect->successor == "b:1");
}

// Guards against two claims of which the first may still take effect, and against a row
// that names a process of the same VM that has ended.
BOOST_AUTO_TEST_CASE(own_old_row_is_claimed_again)
{
    cell::cell own = make();
    BOOST_TEST_REQUIRE(own.begin_claim(start + 1s).has_value());
    BOOST_TEST(!own.begin_claim(start + 1s).has_value());
    own.finish_claim(start + 1s, {.answered = true,
                                  .version = 40,
                                  .holder = {"self"},
                                  .holder_address = "self:1"});
    const auto again = own.begin_claim(start + 1s);
    BOOST_TEST_REQUIRE(again.has_value());
    BOOST_TEST(again->expected_version == 40U);
    own.finish_claim(
        start + 1s,
        {.answered = true, .version = 41, .holder = {"b"}, .holder_address = "b:1"});
    BOOST_TEST(own.report_addresses() == std::vector<std::string>{"b:1"});
    BOOST_TEST(!own.begin_claim(start + 1500ms).has_value());
    BOOST_TEST(own.begin_claim(start + 1800ms)->expected_version == 41U);
}
