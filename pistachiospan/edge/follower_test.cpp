// Reads of one table from the store and from another VM.

#include "pistachiospan/edge/internal/follower.hpp"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

using namespace pistachiospan;
using namespace std::chrono_literals;
using edge::table;
using edge::internal::follower;
using edge::internal::peer_link;

namespace
{

const std::string own_address = "127.0.0.1:18991";
const std::string peer_address = "127.0.0.1:18992";

constexpr std::uint64_t old_version = 7;
constexpr std::uint64_t new_version = 9;

mirror::page page_of(std::uint64_t version)
{
    return {.rows = {{.key = "config", .value = "v", .version = version}},
            .position = version};
}

mirror::table_mirror make_copy(std::uint64_t instance)
{
    return mirror::table_mirror({.instance = instance},
                                {.changed = [](const mirror::row&) {},
                                 .removed =
                                     [](const std::string&) {
                                     }});
}

// A VM that has read the old version from the store, and then reads from another VM,
// which has `peer_page` and stays at it. The store has the new version since and has
// discarded its history.
struct following_vm
{
    explicit following_vm(const mirror::page& peer_page = page_of(old_version))
        : base(event_base_new(), &event_base_free), copy(make_copy(1)),
          peer_copy(make_copy(2)),
          own_link(this->base.get(), own_address, this->hooks_for(this->copy)),
          peer(this->base.get(), peer_address, this->hooks_for(this->peer_copy)),
          store{.read_snapshot =
                    [this](table, const edge::page_handler& done)
                {
                    ++this->snapshots;
                    done(page_of(this->snapshots == 1 ? old_version : new_version));
                },
                .read_changes =
                    [this](table, std::uint64_t, duration, const edge::page_handler& done)
                {
                    if (this->store_is_busy)
                        done(failure(errc::unavailable, "busy"));
                    else if (!this->store_is_silent)
                        done(failure(errc::stale, "history discarded; read a snapshot"));
                },
                .cancel_read =
                    [](table) {
                    }},
          reader(this->base.get(), {}, this->store, this->own_link, this->copy,
                 {.choose_source = [this]
                  { return this->reads_store() ? std::string() : peer_address; },
                  .lost = [](const error&) {},
                  .regained = [] {},
                  .read_finished = [](const edge::internal::read_outcome&) {},
                  .forced_read_abandoned =
                      [this]
                  {
                      ++this->abandoned;
                  }})
    {
        this->peer_copy.apply_snapshot(event_loop::monotonic_now(), peer_page);
        this->reader.start();
    }

    static edge::internal::peer_link_hooks hooks_for(const mirror::table_mirror& copy)
    {
        return {.received = [](const std::string&, std::string_view) {},
                .copy = [&copy](table) -> const mirror::table_mirror&
                {
                    return copy;
                }};
    }

    bool reads_store() const
    {
        const time_point now = event_loop::monotonic_now();
        return this->snapshots == 0 ||
               (this->prefers_store && this->reader.reaches_store(now));
    }

    // Runs the event loop until the copy has the version, for this time at most.
    bool reaches(std::uint64_t version, duration limit = 1s)
    {
        const time_point end = event_loop::monotonic_now() + limit;
        while (this->copy.position() < version && event_loop::monotonic_now() < end)
        {
            event_loop::one_shot_timer wake(this->base.get(), [this]
                                            { event_base_loopbreak(this->base.get()); });
            wake.start(5ms);
            event_base_dispatch(this->base.get());
        }
        return this->copy.position() >= version;
    }

    std::unique_ptr<event_base, decltype(&event_base_free)> base;
    mirror::table_mirror copy;
    mirror::table_mirror peer_copy;
    peer_link own_link;
    peer_link peer;
    edge::store_access store;
    follower reader;
    int snapshots = 0;
    int abandoned = 0; // forced reads
    bool store_is_silent = false;
    bool store_is_busy = false;
    bool prefers_store = false; // reads it as long as it counts as reachable
};

} // namespace

// Guards against a VM that stays behind because the store has discarded its history: the
// forced read is answered as stale, and the snapshot after it is asked of the VM that is
// behind as well. Five VMs used an old configuration for 5.7 s (CONFIG).
BOOST_AUTO_TEST_CASE(forced_read_after_discarded_history_takes_a_snapshot)
{
    following_vm vm;
    BOOST_TEST_REQUIRE(vm.reaches(old_version));
    BOOST_TEST_REQUIRE(vm.snapshots == 1);
    // Time to begin reading from the other VM.
    BOOST_TEST_REQUIRE(!vm.reaches(new_version));
    vm.reader.read_from_store_since(event_loop::monotonic_now());
    BOOST_TEST(vm.reaches(new_version));
    BOOST_TEST(vm.snapshots == 2);
}

// Guards against a change that never reaches a VM, for example that an upstream leaves
// (DRAIN). The store's snapshot is read in parts and may contain changes that are later
// than its position. A VM that is at a later position passes such a copy of another VM
// over, and the other VM must send these changes again.
BOOST_AUTO_TEST_CASE(changes_that_were_passed_over_are_read_again)
{
    const mirror::page in_parts{.rows = page_of(new_version).rows,
                                .position = old_version - 1};
    following_vm vm(in_parts);
    BOOST_TEST_REQUIRE(vm.reaches(old_version));
    // Time to read from the other VM, which is behind.
    BOOST_TEST_REQUIRE(!vm.reaches(new_version));
    vm.peer_copy.apply_changes(event_loop::monotonic_now(), page_of(new_version));
    BOOST_TEST(vm.reaches(new_version));
    BOOST_TEST(vm.copy.newest_change() == new_version);
}

// Guards against a VM that gives up a source that works for a store that does not answer
// it, again for each newer change: a data centre learned of upstreams that had left only
// when the store answered again (DRAIN).
BOOST_AUTO_TEST_CASE(forced_reads_that_get_no_answer_do_not_replace_a_source_that_works)
{
    following_vm vm;
    BOOST_TEST_REQUIRE(vm.reaches(old_version));
    BOOST_TEST_REQUIRE(!vm.reaches(new_version));
    vm.store_is_silent = true;
    vm.peer_copy.apply_changes(event_loop::monotonic_now(), page_of(new_version));
    vm.reader.read_from_store_since(event_loop::monotonic_now());
    const auto another_vm_has_newer_changes = [&]
    {
        vm.reader.read_from_store_since(event_loop::monotonic_now());
    };
    event_loop::periodic_timer changes(vm.base.get(), 500ms,
                                       another_vm_has_newer_changes);
    event_loop::periodic_timer checks(
        vm.base.get(), 250ms, [&] { vm.reader.reconsider(event_loop::monotonic_now()); });
    BOOST_TEST(vm.reaches(new_version, 1500ms));
}

// Guards against a VM that stays with a store that refuses it, although another VM has
// the news, because the store has not failed for long: it has not answered for longer
// (CONFIG and DRAIN, 11 VMs 2.2 s late in a replay).
BOOST_AUTO_TEST_CASE(store_that_has_not_answered_lately_is_left_at_the_first_failure)
{
    following_vm vm;
    BOOST_TEST_REQUIRE(vm.reaches(old_version));
    BOOST_TEST_REQUIRE(!vm.reaches(new_version)); // it reads from the other VM for 1 s
    vm.peer_copy.apply_changes(event_loop::monotonic_now(), page_of(new_version));
    vm.store_is_busy = true;
    vm.prefers_store = true;
    vm.reader.restart();
    BOOST_TEST(vm.reaches(new_version, 500ms));
}

// Guards against a change that a VM has asked the store for and never asks for again,
// because that read was cancelled (CONFIG, DRAIN).
BOOST_AUTO_TEST_CASE(cancelled_forced_reads_are_reported)
{
    following_vm vm;
    BOOST_TEST_REQUIRE(vm.reaches(old_version));
    BOOST_TEST_REQUIRE(!vm.reaches(new_version));
    vm.store_is_silent = true;
    vm.prefers_store = true;
    vm.reader.restart();
    BOOST_TEST_REQUIRE(!vm.reaches(new_version, 50ms)); // it waits for the store
    vm.reader.read_from_store_since(event_loop::monotonic_now());
    BOOST_TEST_REQUIRE(!vm.reaches(new_version, 50ms));
    vm.reader.restart();
    BOOST_TEST(vm.abandoned == 1);
    // The next read is not a forced one.
    BOOST_TEST_REQUIRE(!vm.reaches(new_version, 50ms));
    vm.reader.restart();
    BOOST_TEST(vm.abandoned == 1);
}

// Guards against a VM that gives up the VM that it reads from, which has the news,
// for a store that does not answer: 60 VMs used upstreams that had left for up to 1.9 s
// in a play (DRAIN).
BOOST_AUTO_TEST_CASE(another_vm_is_read_while_the_store_does_not_answer)
{
    following_vm vm;
    BOOST_TEST_REQUIRE(vm.reaches(old_version));
    BOOST_TEST_REQUIRE(!vm.reaches(new_version));
    vm.store_is_silent = true;
    BOOST_TEST(vm.reader.read_from_store_since(event_loop::monotonic_now()));
    vm.peer_copy.apply_changes(event_loop::monotonic_now(), page_of(new_version));
    vm.peer.publish(table::operator_rows);
    BOOST_TEST(vm.reaches(new_version, 300ms));
}

// Guards against a VM that waits for a silent store with the operator's rows, for 2.3 s,
// when the registry, which is read more often, has shown that it is silent (CONFIG).
BOOST_AUTO_TEST_CASE(pending_read_of_a_silent_store_is_left_for_another_vm)
{
    following_vm vm;
    BOOST_TEST_REQUIRE(vm.reaches(old_version));
    vm.store_is_silent = true;
    vm.prefers_store = true;
    vm.reader.restart();
    vm.peer_copy.apply_changes(event_loop::monotonic_now(), page_of(new_version));
    BOOST_TEST_REQUIRE(!vm.reaches(new_version, 100ms));
    vm.reader.leave_store(); // there is no VM to read from
    BOOST_TEST_REQUIRE(!vm.reaches(new_version, 100ms));
    vm.prefers_store = false;
    vm.reader.leave_store();
    BOOST_TEST(vm.reaches(new_version, 300ms));
}
