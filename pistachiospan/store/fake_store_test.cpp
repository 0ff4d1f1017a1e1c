#include "pistachiospan/store/fake_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;
using namespace pistachiospan::store;
using namespace pistachiospan::store::testing;
using namespace std::chrono_literals;

namespace
{

struct fixture
{
    fake_platform platform{{.seed = 1}};
    fake_store vm{platform};
    std::vector<errc> outcomes; // of the calls, in order; a conflict counts as ok
    bool committed = false;

    template <class T>
    handler<T> record()
    {
        return [this](result<T> outcome)
        {
            outcomes.push_back(outcome ? errc::ok
                                       : static_cast<errc>(outcome.error().code.value()));
            if constexpr (std::is_same_v<T, transaction_outcome>)
                committed = outcome && outcome.value().committed;
        };
    }

    void write(revision expected, std::string value)
    {
        vm.transact({{.key = "a", .expected = expected, .value = std::move(value)}},
                    record<transaction_outcome>());
    }

    errc run(duration span)
    {
        platform.advance(platform.now() + span);
        return outcomes.empty() ? errc::internal_error : outcomes.back();
    }
};

} // namespace

// Guards against partial transactions, and against a re-created row that gets a revision
// which an earlier writer still expects.
BOOST_AUTO_TEST_CASE(transactions_commit_all_or_nothing_and_revisions_never_repeat)
{
    memory_store data;
    const revision first = data.transact({{.key = "a"}}).value().rows[0].rev;
    const auto conflicted = data.transact({{.key = "b"}, {.key = "a"}}).value();
    BOOST_TEST(!conflicted.committed);
    BOOST_TEST(conflicted.rows.size() == 1U);
    BOOST_TEST(!data.get("b").has_value());
    const conditional_write removal{.key = "a", .expected = first, .remove = true};
    BOOST_TEST(data.transact({removal}).value().rows[0].rev == 0U);
    BOOST_TEST(data.transact({{.key = "a"}}).value().rows[0].rev > first);
    BOOST_TEST(!data.transact({{.key = "x"}, {.key = "x"}}).has_value());
    BOOST_TEST(data.scan("a").size() == 1U);
}

// Guards against reporting a write that took effect as failed, and one that cannot have
// taken effect as unknown.
BOOST_FIXTURE_TEST_CASE(each_fault_ends_a_write_with_its_own_error, fixture)
{
    write(0, "1");
    BOOST_TEST(outcomes.empty()); // handlers are never called within the call
    BOOST_TEST((run(1s) == errc::ok));
    vm.link.lose_answers = 1;
    write(1, "2");
    BOOST_TEST((run(2s) == errc::unknown_outcome));
    BOOST_TEST(platform.data.get("a")->value == "2");
    vm.link.lose_requests = 1;
    write(2, "3");
    BOOST_TEST((run(2s) == errc::unknown_outcome));
    platform.service.refuse = true;
    write(2, "4");
    BOOST_TEST((run(2s) == errc::unavailable));
    platform.service = {.overloaded = true};
    write(2, "5");
    BOOST_TEST((run(2s) == errc::limit_exceeded));
    BOOST_TEST(platform.data.get("a")->value == "2");
    platform.service = {.silent = true};
    vm.list(record<std::vector<vm_entry>>());
    BOOST_TEST((run(2s) == errc::unavailable));
    BOOST_TEST(outcomes.size() == 6U);
    BOOST_TEST(platform.counts.writes == 2U);
}

// Guards against a fake that can't simulate a slow write that takes effect after its
// timeout, or a connection that is cut between the effect and the response.
BOOST_FIXTURE_TEST_CASE(a_slow_or_cut_write_takes_effect_after_the_unknown_outcome,
                        fixture)
{
    vm.link.latency = 10s;
    write(0, "late");
    BOOST_TEST((run(1s) == errc::unknown_outcome));
    BOOST_TEST(!platform.data.get("a").has_value());
    run(10s);
    BOOST_TEST(platform.data.get("a").has_value());
    vm.link.latency = 100ms;
    write(1, "cut");
    run(60ms);
    vm.link.refuse = true;
    BOOST_TEST((run(60ms) == errc::unknown_outcome));
    BOOST_TEST(platform.data.get("a")->value == "cut");
    BOOST_TEST(outcomes.size() == 2U);
}

// Guards against calling the handlers of a VM that the test has destroyed.
BOOST_AUTO_TEST_CASE(a_destroyed_client_gets_no_responses_but_its_write_takes_effect)
{
    fake_platform platform;
    auto vm = std::make_unique<fake_store>(platform);
    vm->transact({{.key = "a"}}, [](const auto&) { BOOST_FAIL("handler called"); });
    vm.reset();
    platform.advance(time_point(2s));
    BOOST_TEST(platform.data.get("a").has_value());
}

// Guards against a VM list that shows changes before its lag has passed.
BOOST_AUTO_TEST_CASE(the_vm_list_lags)
{
    memory_vm_list vms;
    vms.add(time_point(1s), {.id = {"vm-1"}});
    BOOST_TEST(vms.mark_leaving(time_point(5s), {"vm-1"}).has_value());
    BOOST_TEST(vms.list(time_point(2s), 2s).empty());
    BOOST_TEST(!vms.list(time_point(6s), 2s).at(0).leaving);
    BOOST_TEST(vms.list(time_point(7s), 2s).at(0).leaving);
    vms.remove(time_point(8s), {"vm-1"});
    BOOST_TEST(vms.list(time_point(9s), 2s).size() == 1U);
    BOOST_TEST(vms.list(time_point(10s), 2s).empty());
    // The history is bounded; the list that was valid at its start is kept.
    vms.add(time_point(3h), {.id = {"vm-2"}});
    vms.add(time_point(4h), {.id = {"vm-3"}});
    BOOST_TEST(vms.list(time_point(4h), max_vm_list_lag).size() == 1U);
    BOOST_TEST(vms.list(time_point(2h), max_vm_list_lag).empty());
}
