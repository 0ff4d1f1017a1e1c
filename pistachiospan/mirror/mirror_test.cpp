#include "pistachiospan/mirror/mirror.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace std::chrono_literals;
using store_version::make;

namespace
{

struct recorded_mirror
{
    recorded_mirror()
        : copy({.removal_grace = 2100ms, .instance = 7},
               {.changed = [this](const mirror::row& row)
                { this->changes.push_back(row.key + "=" + row.value); },
                .removed = [this](const std::string& key)
                { this->removed.push_back(key); },
                .age_of = age_of,
                .restored =
                    [this]
                {
                    ++this->restores;
                }})
    {
    }

    // The contents are numbers that rise.
    static mirror::content_age age_of(const mirror::row& received,
                                      const mirror::row& known)
    {
        if (received.value == known.value)
            return mirror::content_age::same;
        return received.value < known.value ? mirror::content_age::older
                                            : mirror::content_age::newer;
    }

    std::vector<std::string> changes;
    std::vector<std::string> removed;
    int restores = 0;
    mirror::table_mirror copy;
};

mirror::row row(const std::string& key, std::uint64_t version)
{
    return {.key = key, .value = "v" + std::to_string(version), .version = version};
}

// A row of this generation of the store.
mirror::row in(std::uint64_t generation, const std::string& key, std::uint64_t number,
               const std::string& value)
{
    return {.key = key, .value = value, .version = make(generation, number)};
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

// Guards against rows that are passed over, and against a table that reverts, because the
// store has come back from an older copy and gives out versions again.
BOOST_AUTO_TEST_CASE(later_generation_replaces_rows_but_with_newer_content_only)
{
    recorded_mirror table;
    table.copy.apply_snapshot(start, {.rows = {in(1, "a", 8, "5"), in(1, "b", 9, "2")},
                                      .position = make(1, 9)});
    table.changes.clear();
    // The copy that the store has come back from.
    table.copy.apply_snapshot(start, {.rows = {in(2, "a", 3, "4"), in(2, "b", 4, "3")},
                                      .position = make(2, 4)});
    BOOST_TEST(table.restores == 1);
    BOOST_TEST(table.changes == std::vector<std::string>{"b=3"},
               boost::test_tools::per_element());
    // Written again, one version after the other, then changed.
    for (const char* value : {"4", "5", "6"})
        table.copy.apply_changes(
            start, {.rows = {in(2, "a", 6, value)}, .position = make(2, 6)});
    BOOST_TEST(table.changes == (std::vector<std::string>{"b=3", "a=5"}),
               boost::test_tools::per_element());
    table.copy.apply_changes(start,
                             {.rows = {in(2, "a", 7, "6")}, .position = make(2, 7)});
    BOOST_TEST(table.changes.back() == "a=6");
}

// Guards against the loss of rows that the restored store does not have yet, also if it
// is read whole once more or another VM has lost them, and against rows that stay for
// ever.
BOOST_AUTO_TEST_CASE(rows_that_a_restored_store_lacks_are_kept_for_a_while)
{
    recorded_mirror table;
    const std::vector<mirror::row> kept = {in(1, "a", 1, "1")};
    table.copy.apply_snapshot(
        start, {.rows = {kept.front(), in(1, "b", 8, "1"), in(1, "c", 9, "1")},
                .position = make(1, 9)});
    const mirror::page restored{.rows = kept, .position = make(2, 4)};
    table.copy.apply_snapshot(start + 1s, restored);
    table.copy.apply_snapshot(start + 2s, restored);
    table.copy.apply_snapshot(start + 3s, restored, mirror::origin::peer);
    table.copy.apply_changes(start + 4s,
                             {.rows = {in(2, "c", 5, "1")}, .position = make(2, 5)});
    table.copy.tick(start + 5s);
    BOOST_TEST(table.removed.empty());
    table.copy.tick(start + 7s);
    BOOST_TEST(table.removed == std::vector<std::string>{"b"},
               boost::test_tools::per_element());
}

// Guards against the return of rows that were removed before the restore, and against
// rows that are never used again although they stay in the store.
BOOST_AUTO_TEST_CASE(rows_that_a_restored_store_brings_back_wait)
{
    recorded_mirror table;
    table.copy.apply_snapshot(start, {.rows = {in(1, "a", 1, "1"), in(1, "b", 2, "1"),
                                               in(1, "c", 3, "1"), in(1, "d", 4, "1")},
                                      .position = make(1, 4)});
    for (const char* key : {"a", "b", "c", "d"})
        table.copy.apply_changes(
            start, {.rows = {removed_row(key, make(1, 9))}, .position = make(1, 9)});
    table.changes.clear();
    const mirror::page restored{.rows = {in(2, "a", 1, "1"), in(2, "b", 2, "1"),
                                         in(2, "c", 3, "1"), in(2, "d", 4, "2")},
                                .position = make(2, 5)};
    table.copy.apply_snapshot(start + 1s, restored);
    table.copy.apply_snapshot(start + 2s, restored);
    // `d` has newer content than the row that was removed.
    BOOST_TEST(table.changes == std::vector<std::string>{"d=2"},
               boost::test_tools::per_element());
    table.copy.apply_changes(start + 3s,
                             {.rows = {removed_row("a", make(2, 6)), in(2, "b", 7, "2")},
                              .position = make(2, 7)});
    BOOST_TEST(table.changes.back() == "b=2");
    table.copy.tick(start + 6s);
    BOOST_TEST(table.changes.size() == 2U);
    table.copy.tick(start + 8s);
    BOOST_TEST(table.changes.back() == "c=1");
    BOOST_TEST(table.changes.size() == 3U);
}

// Guards against a VM that has learned of the restore from another one and reads only the
// changes of the store afterwards: it would never miss what is gone.
BOOST_AUTO_TEST_CASE(restore_that_a_peer_has_seen_needs_a_snapshot_of_the_store)
{
    recorded_mirror table;
    table.copy.apply_snapshot(start, {.rows = {in(1, "a", 1, "1"), in(1, "b", 8, "1")},
                                      .position = make(1, 8)});
    BOOST_TEST(!table.copy.needs_snapshot());
    table.copy.apply_changes(start, {.position = make(2, 3)}, mirror::origin::peer);
    BOOST_TEST(table.copy.needs_snapshot());
    table.copy.apply_snapshot(start + 1s,
                              {.rows = {in(2, "a", 1, "1")}, .position = make(2, 4)});
    BOOST_TEST(!table.copy.needs_snapshot());
    BOOST_TEST(table.restores == 1);
    BOOST_TEST(table.removed.empty());
    table.copy.tick(start + 6s);
    BOOST_TEST(table.removed == std::vector<std::string>{"b"},
               boost::test_tools::per_element());
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

// Guards against an upstream that has left and is in use again, because another VM's copy
// still holds its removal after an outage: that copy is at a later position and has the
// row as it was.
BOOST_AUTO_TEST_CASE(rows_held_by_another_vm_do_not_return_after_their_removal)
{
    for (const bool as_snapshot : {true, false})
    {
        recorded_mirror holding;
        recorded_mirror follower;
        const mirror::page before = {.rows = {row("a", 5), row("b", 6)}, .position = 6};
        follower.copy.apply_snapshot(start, before);
        if (as_snapshot)
            holding.copy.apply_snapshot(start, before);
        follower.copy.apply_changes(start + 1s,
                                    {.rows = {removed_row("a", 7)}, .position = 7});
        // The store is away for the other VM, and the row is gone when it is back.
        holding.copy.note_read_failure(start);
        if (!as_snapshot)
            holding.copy.apply_relay_page(
                start, {.content = before, .is_snapshot = true, .instance = 9});
        holding.copy.apply_snapshot(start + 2s, {.rows = {row("b", 6)}, .position = 8});
        follower.copy.apply_relay_page(start + 2s, holding.copy.changes_since(0, 0));
        BOOST_TEST(follower.copy.snapshot().rows.size() == 1U);
        BOOST_TEST(follower.changes.size() == 2U);
        // A row that was written again since is a new one, also from another VM.
        holding.copy.apply_changes(start + 3s, {.rows = {row("a", 9)}, .position = 9});
        follower.copy.apply_relay_page(start + 3s, holding.copy.changes_since(0, 0));
        BOOST_TEST(follower.changes.back() == "a=v9");
    }
}

// Guards against an upstream that has left and is used by a VM that starts, because it
// copies from one that still holds the removal after an outage of its own.
BOOST_AUTO_TEST_CASE(rows_held_by_another_vm_are_not_new_ones)
{
    recorded_mirror holding;
    holding.copy.apply_snapshot(start,
                                {.rows = {row("a", 5), row("b", 6)}, .position = 6});
    recorded_mirror follower;
    follower.copy.apply_relay_page(start, holding.copy.changes_since(0, 0));
    const std::uint64_t cursor = holding.copy.cursor();
    holding.copy.note_read_failure(start);
    holding.copy.apply_snapshot(start + 2s, {.rows = {row("b", 6)}, .position = 8});
    BOOST_TEST(holding.copy.snapshot().rows.size() == 2U);
    const auto sent = [&](std::uint64_t since)
    {
        return mirror::decode(mirror::encode(holding.copy.changes_since(7, since)))
            .value();
    };
    recorded_mirror started;
    started.copy.apply_relay_page(start + 2s, sent(0));
    BOOST_TEST(started.changes == std::vector<std::string>{"b=v6"},
               boost::test_tools::per_element());
    // One that has the row keeps it for as long as the other VM does.
    follower.copy.apply_relay_page(start + 2s, sent(cursor));
    BOOST_TEST(follower.removed.empty());
    holding.copy.tick(start + 5s);
    follower.copy.apply_relay_page(start + 5s, sent(cursor));
    BOOST_TEST(follower.removed == std::vector<std::string>{"a"},
               boost::test_tools::per_element());
}

// Guards against an upstream that has left and stays in use, because a VM that has copied
// from another one since its own reads failed takes its next read for the first one after
// an outage and holds the removal.
BOOST_AUTO_TEST_CASE(copies_from_another_vm_end_the_outage)
{
    recorded_mirror other;
    recorded_mirror follower;
    const mirror::page before = {.rows = {row("a", 5), row("b", 6)}, .position = 6};
    other.copy.apply_snapshot(start, before);
    follower.copy.apply_snapshot(start, before);
    follower.copy.note_read_failure(start + 1s);
    follower.copy.apply_relay_page(start + 3s, other.copy.changes_since(0, 0));
    follower.copy.apply_snapshot(start + 9s, {.rows = {row("b", 6)}, .position = 8});
    BOOST_TEST(follower.removed == std::vector<std::string>{"a"},
               boost::test_tools::per_element());
}

// Guards against an upstream that has left and stays in use for good (DRAIN): a VM that
// has copied the table from another one, which holds the removal after an outage, reads
// the store from its position on, which is past the removal.
BOOST_AUTO_TEST_CASE(removals_held_by_another_vm_take_effect_without_it)
{
    recorded_mirror holding;
    recorded_mirror follower;
    const mirror::page before = {.rows = {row("a", 5), row("b", 6)}, .position = 6};
    holding.copy.apply_snapshot(start, before);
    follower.copy.apply_snapshot(start, before);
    holding.copy.note_read_failure(start);
    holding.copy.apply_changes(start + 2s,
                               {.rows = {removed_row("a", 7)}, .position = 8});
    follower.copy.apply_relay_page(start + 2s, holding.copy.changes_since(0, 0));
    BOOST_TEST(follower.removed.empty());
    follower.copy.apply_changes(start + 3s, {.rows = {row("c", 9)}, .position = 9});
    follower.copy.tick(start + 5s);
    BOOST_TEST(follower.removed == std::vector<std::string>{"a"},
               boost::test_tools::per_element());
}

// Guards against a removal that is put off again and again, or for good: the copy of a VM
// that holds it as well still has the row as it was.
BOOST_AUTO_TEST_CASE(a_row_as_it_was_does_not_end_the_hold_of_its_removal)
{
    recorded_mirror other;
    recorded_mirror table;
    const mirror::page before = {.rows = {row("a", 5), row("b", 6)}, .position = 6};
    const mirror::page after = {.rows = {row("b", 6)}, .position = 8};
    for (recorded_mirror* each : {&other, &table})
    {
        each->copy.apply_snapshot(start, before);
        each->copy.note_read_failure(start);
        each->copy.apply_snapshot(start + 2s, after);
    }
    table.copy.apply_relay_page(start + 4s, other.copy.changes_since(0, 0));
    table.copy.tick(start + 4500ms);
    BOOST_TEST(table.removed == std::vector<std::string>{"a"},
               boost::test_tools::per_element());
}

// Guards against an upstream that stays in use for longer than without the other VM: a
// hold that was learned from one VM ends when another source shows the removal.
BOOST_AUTO_TEST_CASE(removals_held_elsewhere_take_effect_when_another_source_shows_them)
{
    for (const bool by_store : {true, false})
    {
        recorded_mirror holding;
        recorded_mirror follower;
        const mirror::page before = {.rows = {row("a", 5), row("b", 6)}, .position = 6};
        const mirror::page after = {.rows = {row("b", 6)}, .position = 8};
        holding.copy.apply_snapshot(start, before);
        follower.copy.apply_snapshot(start, before);
        holding.copy.note_read_failure(start);
        holding.copy.apply_snapshot(start + 2s, after);
        follower.copy.apply_relay_page(start + 2s, holding.copy.changes_since(0, 0));
        BOOST_TEST(follower.removed.empty());
        follower.copy.apply_snapshot(start + 2500ms, after,
                                     by_store ? mirror::origin::store
                                              : mirror::origin::peer);
        BOOST_TEST(follower.removed == std::vector<std::string>{"a"},
                   boost::test_tools::per_element());
    }
}

// Guards against a VM that does not find out that it is behind (DRAIN): of the changes
// beyond the position of a snapshot that was read in parts, it has the newest and lacks
// others.
BOOST_AUTO_TEST_CASE(newest_change_is_one_up_to_which_nothing_is_missing)
{
    recorded_mirror table;
    table.copy.apply_snapshot(start,
                              {.rows = {row("a", 5), row("b", 12)}, .position = 10});
    BOOST_TEST(table.copy.newest_change() == 5U);
    table.copy.apply_changes(start,
                             {.rows = {row("a", 11), row("b", 12)}, .position = 13});
    BOOST_TEST(table.copy.newest_change() == 12U);
}

// Guards against an upstream that is forgotten and taken for a new one a moment later: a
// VM that has read the store in parts has rows beyond its position, and the pages of
// others do not have them yet.
BOOST_AUTO_TEST_CASE(snapshot_does_not_remove_rows_that_are_newer_than_it)
{
    recorded_mirror table;
    table.copy.apply_snapshot(start,
                              {.rows = {row("a", 5), row("b", 26)}, .position = 12});
    table.copy.apply_snapshot(start, {.rows = {row("a", 5)}, .position = 22},
                              mirror::origin::peer);
    BOOST_TEST(table.copy.snapshot().rows.size() == 2U);
    table.copy.apply_snapshot(start, {.rows = {row("a", 5)}, .position = 30},
                              mirror::origin::peer);
    BOOST_TEST(table.copy.snapshot().rows.size() == 1U);
}
