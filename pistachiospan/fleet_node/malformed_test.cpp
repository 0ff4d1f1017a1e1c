// Malformed datagrams: each byte changed, each length cut, through the real decoders into
// a VM at work.

#include "pistachiospan/fleet_node/fleet_node.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cmath>

using namespace pistachiospan;
using namespace pistachiospan::fleet_node;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start(1000s);

const std::vector<configuration::account> accounts = {
    {.name = "shop", .rate = 200, .burst = 200},
    {.name = "stall", .rate = 2, .burst = 2}};

fleet::report report_of(const std::string& vm, const std::string& data_centre,
                        std::uint64_t epoch)
{
    return {.vm = {vm},
            .started = 1,
            .sequence = 1,
            .epoch = epoch,
            .data_centre = data_centre,
            .peer_address = "10.0.0.2:1",
            .caller_address = "10.0.0.2:2",
            .capacity = 0.5,
            .ready = true,
            .demand = {{.account = "shop", .rate = 10}},
            .services = {{.service = "orders", .rate = 7, .bound = {{"north", 2}}}},
            .leaving_upstreams = {{.id = "u1", .started = 3}},
            .vms = {{.vm = {vm},
                     .peer_address = "10.0.0.2:1",
                     .caller_address = "10.0.0.2:2",
                     .usable = true}},
            .coordinators = {{.data_centre = "n2", .peer_address = "10.0.0.3:1"}}};
}

cell::digest digest_of()
{
    return {.coordinator = report_of("a", "n1", 900),
            .data_centre = "n1",
            .peer_address = "10.0.0.2:1",
            .vm_count = 4,
            .members = report_of("a", "n1", 9).vms,
            .coordinators = {{.data_centre = "n2", .peer_address = "10.0.0.3:1"}},
            .addresses = {{"n2", {"10.0.0.3:2"}}},
            .plans = {{"orders", {{"n1", 1.0}}}}};
}

std::vector<std::string> datagrams()
{
    return {report_kind + fleet::encode(report_of("m", "n1", 0)),
            report_kind + fleet::encode(report_of("c", "n2", 7)),
            digest_kind + cell::encode(digest_of()),
            query_kind +
                allowance::encode(allowance::token_query{.serial = 1, .account = "shop"}),
            answer_kind + allowance::encode(
                              allowance::token_answer{.serial = 1, .account = "shop"})};
}

// One VM, as coordinator of its data centre or a member.
struct vm
{
    explicit vm(bool coordinates)
        : own(start,
              {.vm = {"self"},
               .started = 1,
               .data_centre = "n1",
               .places = {{"n1", "north"}, {"n2", "north"}},
               .peer_address = "10.0.0.1:1",
               .caller_address = "10.0.0.1:2"},
              this->hooks())
    {
        this->own.set_accounts(start, accounts);
        if (coordinates)
        {
            this->own.check(start + 1s);
            this->own.finish_claim(
                start + 1s,
                cell::claim_outcome{.answered = true, .granted = true, .version = 500});
        }
        else
            this->own.receive(start, "10.0.0.2:1",
                              digest_kind + cell::encode(digest_of()));
    }

    node_hooks hooks()
    {
        return {.send = [](std::string_view, std::span<const std::string>) {},
                .claim = [](const cell::claim&) {},
                .read_coordinators = [] {},
                .state = [](time_point) { return own_state{.ready = true}; },
                .services = [](time_point)
                { return std::vector<upstreams::service_demand>(); },
                .demand_received = [](time_point, const remote_demands&) {},
                .plans = [](time_point) { return upstreams::plan_set(); },
                .plans_received = [](time_point, const upstreams::plan_set&) {},
                .leaving_received = [](time_point,
                                       std::span<const upstreams::upstream_start>) {},
                .version_received = [](time_point, const vm_id&, std::uint64_t) {},
                .vm_count_changed = [](std::size_t) {},
                .role_changed = [](cell::role) {},
                .token_done = [this](allowance::ticket, const allowance::admission& made)
                { this->admitted += made.admitted ? 1 : 0; },
                .log =
                    [](std::string_view, const nlohmann::ordered_json&) {
                    }};
    }

    // Does all that the VM does with what it was told.
    void work(time_point now)
    {
        this->own.check(now);
        this->own.tick(now);
        for (const configuration::account& each : accounts)
            this->own.request_token(now, 1, each.name);
        this->own.tick_tokens(now);
        this->own.addresses_for(now, "north", "n2");
        this->own.best_informed(now, 0, 0);
        this->own.reader(now, 0s);
    }

    std::size_t admitted = 0;
    node own;
};

void feed(const std::string& bytes)
{
    for (const bool coordinates : {true, false})
    {
        vm one(coordinates);
        one.own.receive(start + 1100ms, "10.0.0.9:1", bytes);
        for (const int later : {1200, 2000, 4000, 8000})
            one.work(start + std::chrono::milliseconds(later));
    }
}

} // namespace

// Guards against a datagram that ends the process, and against figures in one that make
// the accounts' buckets useless.
BOOST_AUTO_TEST_CASE(changed_datagrams_do_no_harm)
{
    for (const std::string& whole : datagrams())
    {
        for (std::size_t length = 0; length < whole.size(); ++length)
            BOOST_REQUIRE_NO_THROW(feed(whole.substr(0, length)));
        for (std::size_t at = 0; at < whole.size(); ++at)
            for (const int change : {0x01, 0x80, 0xff})
            {
                std::string changed = whole;
                changed[at] = static_cast<char>(changed[at] ^ change);
                BOOST_REQUIRE_NO_THROW(feed(changed));
            }
    }
}

// The same with several bytes changed, inserted and removed at random.
BOOST_AUTO_TEST_CASE(garbled_datagrams_do_no_harm)
{
    const std::vector<std::string> all = datagrams();
    const bool held = rc::check(
        [&]
        {
            std::string bytes = all[*rc::gen::inRange<std::size_t>(0, all.size())];
            const int changes = *rc::gen::inRange(1, 12);
            for (int each = 0; each < changes; ++each)
            {
                const auto at = *rc::gen::inRange<std::size_t>(1, bytes.size());
                bytes.replace(at, *rc::gen::inRange<std::size_t>(0, 3),
                              *rc::gen::arbitrary<std::string>());
            }
            feed(bytes);
        });
    BOOST_TEST(held);
}

// Guards against figures that are no numbers: they would stay in every sum.
BOOST_AUTO_TEST_CASE(impossible_rates_are_refused)
{
    for (const double rate : {std::nan(""), -1.0, HUGE_VAL, 1e30})
    {
        fleet::report told = report_of("c", "n2", 7);
        told.demand.front().rate = rate;
        BOOST_TEST(!fleet::decode(fleet::encode(told)).has_value());
    }
}
