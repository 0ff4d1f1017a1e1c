#include "pistachiospan/mirror/mirror.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

struct recorded_mirror
{
    recorded_mirror()
        : copy({.removal_grace = 2100ms, .instance = 7},
               {.changed = [this](const mirror::row& row)
                { this->changes.push_back(row.key + "=" + row.value); },
                .removed =
                    [this](const std::string& key)
                {
                    this->removed.push_back(key);
                }})
    {
    }

    std::vector<std::string> changes;
    std::vector<std::string> removed;
    mirror::table_mirror copy;
};

mirror::row row(const std::string& key, std::uint64_t version)
{
    return {.key = key, .value = "v" + std::to_string(version), .version = version};
}

mirror::row removed_row(const std::string& key, std::uint64_t version)
{
    return {.key = key, .version = version, .deleted = true};
}

constexpr time_point start(100s);

} // namespace

// Guards against a copy that reverts to older rows when pages arrive out of order.
BOOST_AUTO_TEST_CASE(older_pages_change_nothing)
{
    recorded_mirror table;
    table.copy.apply_snapshot(start, {.rows = {row("a", 5)}, .position = 5});
    table.copy.apply_snapshot(start, {.rows = {row("a", 3), row("b", 2)}, .position = 3},
                              mirror::origin::peer);
    BOOST_TEST(table.changes == std::vector<std::string>{"a=v5"},
               boost::test_tools::per_element());
    BOOST_TEST(table.copy.position() == 5U);
}

// Guards against keeping rows that are missing from a snapshot.
BOOST_AUTO_TEST_CASE(whole_read_removes_what_is_missing)
{
    recorded_mirror table;
    table.copy.apply_snapshot(start, {.rows = {row("a", 1), row("b", 2)}, .position = 2});
    table.copy.apply_snapshot(start + 1s, {.rows = {row("b", 2)}, .position = 4});
    BOOST_TEST(table.removed == std::vector<std::string>{"a"},
               boost::test_tools::per_element());
}

// Guards against losing upstreams whose entries expired while the store was unreachable.
BOOST_AUTO_TEST_CASE(rows_that_expired_in_an_outage_can_return)
{
    recorded_mirror table;
    table.copy.apply_snapshot(start, {.rows = {row("a", 1), row("b", 2)}, .position = 2});
    table.copy.note_read_failure(start + 1s);
    table.copy.apply_changes(
        start + 4s, {.rows = {removed_row("a", 3), removed_row("b", 4)}, .position = 4});
    BOOST_TEST(table.removed.empty());
    table.copy.apply_changes(start + 5s, {.rows = {row("a", 5)}, .position = 5});
    table.copy.tick(start + 7s);
    BOOST_TEST(table.removed == std::vector<std::string>{"b"},
               boost::test_tools::per_element());
}

// Guards against keeping an upstream that leaves after an outage has ended (seen in DRAIN
// on kilat-gslb 'mix --seed 514201089486', where the removal came 2 s after the store's
// return).
BOOST_AUTO_TEST_CASE(removal_after_an_outage_takes_effect_at_once)
{
    recorded_mirror table;
    table.copy.apply_snapshot(start, {.rows = {row("a", 1)}, .position = 1});
    table.copy.note_read_failure(start + 1s);
    table.copy.apply_changes(start + 4s, {.position = 1});
    table.copy.apply_changes(start + 4500ms,
                             {.rows = {removed_row("a", 2)}, .position = 2});
    BOOST_TEST(table.removed == std::vector<std::string>{"a"},
               boost::test_tools::per_element());
}

// Guards against pages of another VM that hide an outage of this VM's link to the store.
BOOST_AUTO_TEST_CASE(pages_of_a_peer_do_not_end_an_outage)
{
    recorded_mirror table;
    table.copy.apply_snapshot(start, {.rows = {row("a", 1), row("b", 1)}, .position = 1});
    table.copy.note_read_failure(start + 1s);
    table.copy.apply_snapshot(start + 3s, {.rows = {row("b", 1)}, .position = 2},
                              mirror::origin::peer);
    BOOST_TEST(table.removed.size() == 1U);
    table.copy.apply_changes(start + 4s, {.rows = {removed_row("b", 3)}, .position = 3});
    BOOST_TEST(table.removed.size() == 1U);
}

// Guards against missing a change or a removal when a VM reads from another VM.
BOOST_AUTO_TEST_CASE(relayed_changes_keep_two_copies_equal)
{
    recorded_mirror first;
    recorded_mirror second;
    std::uint64_t instance = 0;
    std::uint64_t cursor = 0;
    const auto relay = [&](time_point now)
    {
        mirror::relay_page page = first.copy.changes_since(instance, cursor);
        second.copy.apply_relay_page(now, page);
        instance = page.instance;
        cursor = page.cursor;
        return page;
    };
    first.copy.apply_snapshot(start, {.rows = {row("a", 1), row("b", 2)}, .position = 2});
    BOOST_TEST(relay(start).is_snapshot);
    first.copy.apply_changes(start, {.rows = {row("c", 3)}, .position = 3});
    first.copy.apply_changes(start, {.rows = {removed_row("a", 4)}, .position = 4});
    const mirror::relay_page changes = relay(start);
    BOOST_TEST(!changes.is_snapshot);
    BOOST_TEST(changes.content.rows.size() == 2U);
    BOOST_TEST(second.copy.snapshot().rows.size() == 2U);
    BOOST_TEST(second.copy.newest_change() == first.copy.newest_change());
    BOOST_TEST(first.copy.changes_since(99, cursor).is_snapshot);
}

// Guards against not relaying a removal that was held back after an outage.
BOOST_AUTO_TEST_CASE(held_removal_is_relayed_when_it_takes_effect)
{
    recorded_mirror first;
    first.copy.apply_snapshot(start, {.rows = {row("a", 1)}, .position = 1});
    const std::uint64_t cursor = first.copy.cursor();
    first.copy.note_read_failure(start);
    first.copy.apply_changes(start + 3s, {.rows = {removed_row("a", 2)}, .position = 2});
    BOOST_TEST(first.copy.cursor() == cursor);
    first.copy.tick(start + 6s);
    const mirror::relay_page page = first.copy.changes_since(7, cursor);
    BOOST_TEST_REQUIRE(page.content.rows.size() == 1U);
    BOOST_TEST(page.content.rows.front().deleted);
}

// A large configuration changes several times while a VM on a slow link is behind. Guards
// against pages that contain every intermediate version: they took longer than the read
// timeout, so the read was restarted again and again.
BOOST_AUTO_TEST_CASE(a_page_of_changes_carries_the_newest_of_each_row)
{
    mirror::table_mirror first({.instance = 7}, {.changed = [](const mirror::row&) {},
                                                 .removed =
                                                     [](const std::string&) {
                                                     }});
    first.apply_snapshot(start, {.rows = {row("a", 1), row("b", 2)}, .position = 2});
    const std::uint64_t cursor = first.cursor();
    first.apply_changes(start, {.rows = {row("a", 3)}, .position = 3});
    first.apply_changes(start, {.rows = {row("c", 4)}, .position = 4});
    first.apply_changes(start, {.rows = {row("a", 5)}, .position = 5});
    first.apply_changes(start, {.rows = {removed_row("b", 6)}, .position = 6});
    const mirror::relay_page page = first.changes_since(7, cursor);
    std::vector<std::uint64_t> versions;
    for (const mirror::row& each : page.content.rows)
        versions.push_back(each.version);
    BOOST_TEST(versions == (std::vector<std::uint64_t>{4, 5, 6}),
               boost::test_tools::per_element());
}

// Guards against a configuration that takes most of a second on a 10 Mbit/s link.
BOOST_AUTO_TEST_CASE(encoded_pages_are_compressed)
{
    constexpr std::size_t routes = 1500;
    std::string value;
    for (std::size_t each = 0; each < routes; ++each)
        value += R"({"prefix":"/p)" + std::to_string(each * 7919) +
                 R"(/","service":"orders","kind":"safe","timeoutMs":2000},)";
    const mirror::relay_page sent{
        .content = {.rows = {{.key = "config", .value = value, .version = 1}}}};
    const std::string bytes = mirror::encode(sent);
    BOOST_TEST(bytes.size() < value.size() / 5);
    BOOST_TEST(mirror::decode(bytes).value().content.rows.at(0).value == value);
    BOOST_TEST(
        !mirror::decode(std::string_view(bytes).substr(0, bytes.size() / 2)).has_value());
}

// Guards against values that change in encoding and decoding.
BOOST_AUTO_TEST_CASE(pages_survive_encoding)
{
    const mirror::relay_page sent{
        .content = {.rows = {removed_row("a", 1), row(std::string("b\0c", 3), 2)},
                    .position = 9},
        .is_snapshot = true,
        .instance = 4,
        .cursor = 5};
    const result<mirror::relay_page> read = mirror::decode(mirror::encode(sent));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().content.position == 9U);
    BOOST_TEST(read.value().content.rows.at(0).deleted);
    BOOST_TEST(read.value().content.rows.at(1).key == sent.content.rows.at(1).key);
    BOOST_TEST(read.value().content.rows.at(1).value == "v2");
    BOOST_TEST(read.value().is_snapshot);
    BOOST_TEST(read.value().instance == 4U);
    BOOST_TEST(read.value().cursor == 5U);
    BOOST_TEST(!mirror::decode("\x93garbage").has_value());
}
