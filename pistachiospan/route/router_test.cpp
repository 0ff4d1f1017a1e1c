#include "pistachiospan/route/router_world_test.hpp"

using namespace pistachiospan;
using namespace pistachiospan::route;
using namespace pistachiospan::route::test;

// Guards against more requests than slots on an upstream when the VMs are overloaded,
// completions are late or lost, callers disconnect, and load reports are wrong.
BOOST_AUTO_TEST_CASE(overload_with_lost_completions_never_exceeds_the_slots)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        simulation simulated(seed);
        simulated.add_router();
        simulated.add_router();
        simulated.add_router();
        simulated.start(make_catalogue(6, 5));
        simulated.loss_rate = 0.02;
        simulated.cancel_rate = 0.1;
        simulated.shed_rate = 0.05;
        simulated.load(time_point(10s), 3000);
        for (int report = 0; report < 200; ++report)
        {
            simulated.at(time_point(report * 50ms),
                         [&simulated]
                         {
                             const auto address =
                                 "u" + std::to_string(simulated.random() % 6);
                             for (auto& each : simulated.routers)
                             {
                                 each->observe(simulated.now, address,
                                               {.healthy = simulated.chance(0.5),
                                                .load = simulated.chance(0.5) ? 1.0 : 0});
                             }
                         });
        }
        simulated.run_until(time_point(15s));
        simulated.check_peaks(5);
        BOOST_TEST(simulated.dispatched.size() > 3000U);
        for (auto& each : simulated.routers)
        {
            BOOST_TEST(each->counts().in_flight == 0U);
            BOOST_TEST(each->counts().waiting == 0U);
        }
        BOOST_TEST(simulated.dispatched.size() + simulated.refused.size() ==
                   simulated.next_id - 1);
    }
}

// Guards against more requests than slots while VMs join and leave. Each VM learns of the
// new count at a different time, and growth is allowed only when the usage of all VMs is
// within their shares.
BOOST_AUTO_TEST_CASE(changes_of_the_share_count_never_exceed_the_slots)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        simulation simulated(seed);
        for (int vm = 0; vm < 4; ++vm)
        {
            simulated.add_router();
        }
        simulated.start(make_catalogue(4, 3));
        simulated.loss_rate = 0.01;
        simulated.cancel_rate = 0.05;
        simulated.load(time_point(60s), 600);
        for (int change = 1; change < 6; ++change)
        {
            const auto count = static_cast<std::uint32_t>(1 + simulated.random() % 4);
            const auto changed_at = time_point(change * 10s);
            // A VM may own several shares while others are down, or none.
            std::vector<share> dealt(4, share{.count = count});
            for (std::uint32_t index = 0; index < count; ++index)
                dealt[simulated.random() % dealt.size()].indexes.push_back(index);
            for (std::uint32_t vm = 0; vm < 4; ++vm)
            {
                const duration late(
                    static_cast<std::int64_t>(simulated.random() % 2000000));
                const share next = dealt[vm];
                simulated.at(changed_at + late, [&simulated, vm, next]
                             { simulated.routers[vm]->set_share(simulated.now, next); });
            }
            for (auto check = changed_at + 2s; check < changed_at + 9s; check += 100ms)
            {
                simulated.at(check,
                             [&simulated]
                             {
                                 const auto settled = [](const auto& each)
                                 {
                                     return each->usage_within_share();
                                 };
                                 if (!std::all_of(simulated.routers.begin(),
                                                  simulated.routers.end(), settled))
                                 {
                                     return;
                                 }
                                 for (auto& each : simulated.routers)
                                 {
                                     each->allow_growth(simulated.now);
                                 }
                             });
            }
        }
        simulated.run_until(time_point(65s));
        simulated.check_peaks(3);
        BOOST_TEST(simulated.dispatched.size() > 3000U);
    }
}

// Guards against more requests than slots or caps allow while VMs activate versions of
// the catalogue at different times: each added or removed upstream shifts the round-robin
// order of the slots.
BOOST_AUTO_TEST_CASE(moves_with_skewed_activation_never_exceed_slots_or_caps)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        simulation simulated(seed);
        for (int vm = 0; vm < 3; ++vm)
        {
            simulated.add_router();
        }
        auto active = make_catalogue(5, 4);
        active.groups["g"].max_in_flight = 13;
        active.data_centres["d"].max_in_flight = 11;
        active.routes["all"].deadline = 3s;
        simulated.start(active);
        simulated.load(time_point(100s), 900);
        for (int edit = 1; edit < 8; ++edit)
        {
            auto& upstreams = active.groups["g"].upstreams;
            const std::size_t at = simulated.random() % upstreams.size();
            if (simulated.chance(0.5))
            {
                upstreams.erase(upstreams.begin() + static_cast<std::ptrdiff_t>(at));
            }
            upstreams.insert(upstreams.begin(), {"n" + std::to_string(edit), "d"});
            for (std::size_t vm = 0; vm < 3; ++vm)
            {
                const duration skew(
                    static_cast<std::int64_t>(simulated.random() % 12000000));
                simulated.at(
                    time_point(edit * 12s) + skew, [&simulated, vm, active]
                    { simulated.routers[vm]->set_catalogue(simulated.now, active); });
            }
        }
        simulated.run_until(time_point(110s));
        simulated.check_peaks(4);
        BOOST_TEST(simulated.total_peak <= 11U);
        BOOST_TEST(simulated.total_peak >= 10U);
    }
}

// Guards against lowered limits that never take effect, and against raised ones that take
// effect while another VM may still use the old split.
BOOST_AUTO_TEST_CASE(lowered_slots_apply_at_once_and_raised_ones_after_the_activation)
{
    simulation simulated(1);
    simulated.add_router();
    simulated.start(make_catalogue(1, 5));
    simulated.routers[0]->set_catalogue(simulated.now, make_catalogue(1, 2));
    simulated.load(time_point(40s), 500);
    simulated.run_until(time_point(5s));
    simulated.check_peaks(2);
    simulated.routers[0]->set_catalogue(simulated.now, make_catalogue(1, 5));
    simulated.run_until(time_point(5s + 12s + 10s));
    simulated.check_peaks(2);
    simulated.run_until(time_point(40s));
    BOOST_TEST(simulated.upstreams["u0"].peak == 5U);
}

// Guards against new work on a draining upstream whichever way the drain was requested,
// against a lagging health report that revokes it, and against a drain that is not
// reported as finished.
BOOST_AUTO_TEST_CASE(a_drained_upstream_gets_nothing_new)
{
    simulation simulated(1);
    simulated.add_router();
    auto active = make_catalogue(4, 4);
    simulated.start(active);
    simulated.load(time_point(9s), 300);
    simulated.run_until(time_point(1s));
    active.groups["g"].upstreams[0].drain = true;
    active.groups["g"].upstreams.pop_back();
    router& first = *simulated.routers[0];
    for (const auto* address : {"u0", "u1", "u2", "u3"})
    {
        simulated.no_work_after[address] = simulated.now;
    }
    simulated.no_work_after.erase("u2");
    first.set_catalogue(simulated.now, active);
    first.drain(simulated.now, "u1");
    first.observe(simulated.now, "u1", {.healthy = true});
    BOOST_TEST(!first.open_connection("u1"));
    simulated.run_until(time_point(9s));
    BOOST_TEST((simulated.drained == std::set<std::string>{"u0", "u1", "u3"}));
    BOOST_TEST(simulated.upstreams["u2"].received > 500U);
}

// Guards against more connections than the upstream accepts, over all VMs.
BOOST_AUTO_TEST_CASE(connections_are_split_between_the_vms)
{
    for (std::uint32_t connections : {1U, 2U, 10U, 330U})
    {
        simulation simulated(1);
        for (int vm = 0; vm < 4; ++vm)
        {
            simulated.add_router();
        }
        simulated.start(make_catalogue(3, 5, connections));
        for (const std::string address : {"u0", "u1", "u2"})
        {
            std::uint32_t open = 0;
            for (auto& each : simulated.routers)
            {
                while (each->open_connection(address))
                {
                    open += 1;
                }
            }
            BOOST_TEST(open == connections);
        }
        simulated.load(time_point(2s), 2000);
        simulated.run_until(time_point(3s));
        simulated.check_peaks(std::min(connections, 5U));
    }
}

// Guards against a cold upstream that receives its full load at once: all VMs together
// begin with one request and add one in each step.
BOOST_AUTO_TEST_CASE(an_added_upstream_warms_up_from_one_slot)
{
    simulation simulated(1);
    simulated.add_router();
    simulated.add_router();
    auto active = make_catalogue(2, 5);
    active.groups["g"].warm_up = 8s;
    simulated.start(active);
    simulated.load(time_point(60s), 1000);
    simulated.run_until(time_point(1s));
    BOOST_TEST(simulated.upstreams["u0"].peak == 5U);
    active.groups["g"].upstreams.push_back({"cold", "d"});
    for (auto& each : simulated.routers)
    {
        each->set_catalogue(simulated.now, active);
    }
    for (std::uint32_t step = 1; step <= 4; ++step)
    {
        simulated.run_until(time_point(1s) + step * 2s - 1ms);
        BOOST_TEST(simulated.upstreams["cold"].peak <= step);
        BOOST_TEST(simulated.upstreams["cold"].received > 0U);
    }
    simulated.run_until(time_point(60s));
    BOOST_TEST(simulated.upstreams["cold"].peak == 5U);
}

// Guards against ejecting so many upstreams that the rest are overloaded, and against an
// ejected one that never returns.
BOOST_AUTO_TEST_CASE(ejection_keeps_a_floor_and_probes_with_one_request)
{
    simulation simulated(1);
    simulated.add_router();
    simulated.start(make_catalogue(6, 3));
    router& first = *simulated.routers[0];
    const auto ejected = [&]
    {
        const auto views = first.upstreams(simulated.now);
        return std::count_if(views.begin(), views.end(),
                             [](const upstream_status& each) { return each.ejected; });
    };
    for (request_id id = 1; id <= 300; ++id)
    {
        simulated.now += 1ms;
        const auto answer = first.submit(
            simulated.now, {.id = id, .group = "g", .deadline = simulated.now + 1s});
        BOOST_TEST((answer.kind == decision_kind::dispatched));
        first.complete(simulated.now, id, outcome::failed, 1ms);
        BOOST_TEST(ejected() <= 3);
    }
    BOOST_TEST(ejected() == 3);
    simulated.now += 1500ms;
    first.tick(simulated.now);
    for (request_id id = 301; id <= 303; ++id)
    {
        const auto answer = first.submit(
            simulated.now,
            {.id = id, .group = "g", .deadline = simulated.now + 1s, .idempotent = true});
        const auto views = first.upstreams(simulated.now);
        const auto probed = std::find_if(views.begin(), views.end(),
                                         [&](const upstream_status& each)
                                         { return each.address == answer.upstream; });
        BOOST_TEST((probed->ejected && probed->in_flight == 1));
    }
    for (request_id id = 301; id <= 303; ++id)
    {
        first.complete(simulated.now, id, outcome::ok, 1ms);
    }
    BOOST_TEST(ejected() == 0);
}

// Guards against sending again at once to an upstream that sheds load, and against
// counting a shed request as a failure that leads to ejection.
BOOST_AUTO_TEST_CASE(a_shedding_upstream_gets_a_pause)
{
    simulation simulated(1);
    simulated.add_router();
    simulated.start(make_catalogue(1, 5));
    router& first = *simulated.routers[0];
    const request incoming{.id = 1, .group = "g", .deadline = time_point(1s)};
    BOOST_TEST((first.submit(simulated.now, incoming).kind == decision_kind::dispatched));
    first.complete(simulated.now, 1, outcome::shed, 1ms, 300ms);
    simulated.now += 299ms;
    BOOST_TEST((first.submit(simulated.now, incoming).kind == decision_kind::queued));
    simulated.now += 2ms;
    first.tick(simulated.now);
    BOOST_TEST(first.counts().dispatched == 2U);
    BOOST_TEST(first.counts().ejections == 0U);
}

// Guards against reusing a slot while the upstream may still work on a cancelled request.
BOOST_AUTO_TEST_CASE(a_cancelled_request_holds_its_slot_until_its_end_is_known)
{
    simulation simulated(1);
    simulated.add_router();
    simulated.start(make_catalogue(1, 1));
    router& first = *simulated.routers[0];
    const auto kind_of = [&](request_id id, duration deadline)
    {
        return first
            .submit(simulated.now,
                    {.id = id, .group = "g", .deadline = simulated.now + deadline})
            .kind;
    };
    BOOST_TEST((kind_of(1, 1s) == decision_kind::dispatched));
    first.complete(simulated.now, 1, outcome::cancelled, 0us);
    first.complete(simulated.now, 1, outcome::ok, 5ms);
    BOOST_TEST((kind_of(2, 3s) == decision_kind::queued));
    simulated.now += 1s;
    first.tick(simulated.now);
    BOOST_TEST(first.counts().waiting == 1U);
    simulated.now += 101ms;
    first.tick(simulated.now);
    BOOST_TEST(first.counts().waiting == 0U);
    first.complete(simulated.now, 2, outcome::cancelled, 0us);
    first.connection_closed(simulated.now, 2);
    BOOST_TEST((kind_of(3, 1s) == decision_kind::dispatched));
}

// Guards against reusing a slot at the deadline of a request, before the upstream has
// stopped its work, and against time-outs that do not count as failures.
BOOST_AUTO_TEST_CASE(a_timed_out_request_holds_its_slot_and_counts_as_a_failure)
{
    simulation simulated(1);
    simulated.add_router();
    simulated.start(make_catalogue(2, 1));
    router& first = *simulated.routers[0];
    const auto submit = [&](request_id id, duration deadline)
    {
        return first.submit(
            simulated.now,
            {.id = id, .group = "g", .deadline = simulated.now + deadline});
    };
    request_id id = 0;
    for (int round = 0; round < 20 && first.counts().ejections == 0; ++round)
    {
        const request_id one = ++id;
        const request_id two = ++id;
        BOOST_REQUIRE((submit(one, 1s).kind == decision_kind::dispatched));
        BOOST_REQUIRE((submit(two, 1s).kind == decision_kind::dispatched));
        simulated.now += 1s;
        first.complete(simulated.now, one, outcome::timed_out, 1s);
        first.complete(simulated.now, two, outcome::timed_out, 1s);
        BOOST_TEST(first.counts().in_flight == 2U);
        simulated.now += 101ms;
        first.tick(simulated.now);
        BOOST_TEST(first.counts().in_flight == 0U);
    }
    BOOST_TEST(first.counts().ejections > 0U);
}

// Guards against a move that advances while its destination is slow or full, and against
// steps larger than a tenth.
BOOST_AUTO_TEST_CASE(a_shift_advances_by_tenths_waits_and_steps_back)
{
    using state = shift_controller::state;
    time_point now{};
    shift_controller shift({}, now, 20ms);
    const auto step = [&](const destination_sample& sample)
    {
        while (!shift.due(now))
        {
            now += 100ms;
        }
        return shift.update(now, sample);
    };
    const destination_sample good{.free_fraction = 0.5, .latency = 39ms, .samples = 10};
    BOOST_TEST(shift.fraction() == 0.1);
    BOOST_TEST((step(good) == state::advancing));
    BOOST_TEST((step({.free_fraction = 0.5, .latency = 40ms, .samples = 10}) ==
                state::stepping_back));
    BOOST_TEST(shift.fraction() == 0.1);
    BOOST_TEST((step({.free_fraction = 0.05, .latency = 20ms, .samples = 10}) ==
                state::waiting));
    BOOST_TEST((step({}) == state::waiting));
    BOOST_TEST((step({.free_fraction = 0, .has_slots = false}) == state::advancing));
    for (int tenth = 3; tenth <= 10; ++tenth)
    {
        BOOST_TEST((step(good) == state::advancing));
        BOOST_TEST(shift.fraction() == tenth / 10.0, boost::test_tools::tolerance(1e-9));
    }
    BOOST_TEST((step(good) == state::done));
    BOOST_TEST((now >= time_point(26s)));
}

// Guards against a planned move that sends added upstreams more than the step's fraction
// of the requests while other upstreams are free, and against one that never ends.
BOOST_AUTO_TEST_CASE(added_upstreams_get_their_part_of_the_requests_in_steps)
{
    simulation simulated(1);
    simulated.add_router();
    auto active = make_catalogue(4, 10);
    simulated.start(active);
    simulated.load(time_point(60s), 300);
    simulated.run_until(time_point(2s));
    for (const auto* address : {"n0", "n1", "n2", "n3"})
    {
        active.groups["g"].upstreams.push_back({address, "d"});
    }
    router& first = *simulated.routers[0];
    first.set_catalogue(simulated.now, active);
    const auto received = [&](const std::string& prefix)
    {
        double sum = 0;
        for (int at = 0; at < 4; ++at)
        {
            sum += static_cast<double>(
                simulated.upstreams[prefix + std::to_string(at)].received);
        }
        return sum;
    };
    while (!first.moves().empty() && simulated.now < time_point(60s))
    {
        const double fraction = first.moves()[0].fraction;
        const double added = received("n");
        const double others = received("u");
        simulated.run_until(simulated.now + 1s);
        const double moved = received("n") - added;
        const double all = moved + received("u") - others;
        BOOST_TEST(moved <= all * (fraction + 0.1) / 2 + 5, "fraction " << fraction);
        BOOST_TEST(moved >= all * fraction / 4 - 5, "fraction " << fraction);
    }
    BOOST_TEST((simulated.now > time_point(20s) && simulated.now < time_point(40s)));
}

// Guards against relays that exceed the slots or the cap of another data centre when the
// reported headroom is stale and far too high.
BOOST_AUTO_TEST_CASE(relays_never_exceed_the_slots_or_the_cap_of_a_data_centre)
{
    auto active = make_catalogue(4, 3);
    active.groups["g"].upstreams[2].data_centre = "e";
    active.groups["g"].upstreams[3].data_centre = "e";
    active.data_centres["e"] = {.name = "e", .region = "s", .max_in_flight = 4};
    active.data_centres["f"] = {.name = "f", .region = "s"};
    active.links = {{"r", "s", 280}};
    simulation simulated(1);
    for (const auto* data_centre : {"d", "e", "f"})
    {
        simulated.add_router(data_centre);
        simulated.routers.back()->set_catalogue(simulated.now, active);
        simulated.routers.back()->set_share(simulated.now, {{0}, 1});
        simulated.routers.back()->allow_growth(simulated.now);
    }
    simulated.load(time_point(20s), 800);
    for (auto when = time_point(); when < time_point(20s); when += 500ms)
    {
        simulated.at(when,
                     [&simulated]
                     {
                         for (auto& each : simulated.routers)
                         {
                             for (const auto* peer : {"0d", "1e"})
                             {
                                 each->observe_peer(
                                     simulated.now,
                                     {.vm = {std::string(peer, 1)},
                                      .data_centre = peer + 1,
                                      .groups = {{"g", 50}},
                                      .age = duration(simulated.random() % 1000000)});
                             }
                         }
                     });
    }
    simulated.run_until(time_point(25s));
    simulated.check_peaks(3);
    BOOST_TEST(simulated.total_peak <= 6U + 4U);
    BOOST_TEST(simulated.routers[2]->counts().relayed > 100U);
    BOOST_TEST(simulated.routers[2]->counts().dispatched == 0U);
}
