// Feeds malformed datagrams through the decoders into a running VM: every byte changed,
// and the datagram truncated to every length.

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

const fleet::upstream_notices notices = {
    .limits = {{.upstream = {.id = "u1", .started = 3},
                .statement = {.rate = 4.5},
                .age = 1500ms},
               {.upstream = {.id = "u2", .started = 1}, .statement = {}, .age = 0ms}},
    .leaving = {{.upstream = {.id = "u3", .started = 2}, .age = 7s}}};

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
            .services = {{.service = "orders", .rate = 7, .regional = {{"north", 2}}}},
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

capacity::load_message load_message_of(capacity::scope scope)
{
    return {.scope = scope,
            .process = 3,
            .sequence = 1,
            .loads = {{.upstream = 7, .requests = 2, .reported = {{.requests = 4}}}}};
}

std::vector<std::string> datagrams()
{
    return {report_kind + fleet::encode(report_of("m", "n1", 0)),
            report_kind + fleet::encode(report_of("c", "n2", 7)),
            digest_kind + cell::encode(digest_of()),
            query_kind +
                allowance::encode(allowance::token_query{.serial = 1, .limit = "shop"}),
            answer_kind +
                allowance::encode(allowance::token_answer{.serial = 1, .limit = "shop"}),
            notices_kind + fleet::encode(notices),
            upstream_query_kind +
                allowance::encode(allowance::token_query{.serial = 1, .limit = "u1/3"}),
            upstream_answer_kind +
                allowance::encode(allowance::token_answer{.serial = 1, .limit = "u1/3"}),
            capacity_kind + capacity::encode(load_message_of(capacity::scope::vm), 1000),
            capacity_kind +
                capacity::encode(load_message_of(capacity::scope::fleet), 1000)};
}

// A VM that is coordinator or member of its data centre.
struct vm
{
    explicit vm(bool coordinates)
        : local(start,
                {.vm = {"self"},
                 .started = 1,
                 .data_centre = "n1",
                 .places = {{"n1", "north"}, {"n2", "north"}},
                 .peer_address = "10.0.0.1:1",
                 .caller_address = "10.0.0.1:2"},
                this->hooks())
    {
        this->local.set_accounts(start, accounts);
        const std::vector<upstreams::limited_upstream> limited = {
            {.start = {.id = "u1", .started = 3}, .data_centre = "n2", .rate = 4.5}};
        this->local.set_limited_upstreams(start, limited);
        if (coordinates)
        {
            this->local.check(start + 1s);
            this->local.finish_claim(
                start + 1s,
                cell::claim_outcome{.answered = true, .granted = true, .version = 500});
        }
        else
            this->local.receive(start, "10.0.0.2:1",
                                digest_kind + cell::encode(digest_of()));
    }

    node_hooks hooks()
    {
        return {
            .send = [](std::string_view, std::span<const std::string>) {},
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
            .notices = [](time_point, bool) { return fleet::upstream_notices(); },
            .notices_received =
                [this](time_point, const fleet::upstream_notices& received)
            {
                this->received_notices = received;
                return true;
            },
            .loads = [](time_point, duration)
            { return std::vector<capacity::upstream_load>(); },
            .load_estimates = [](time_point, std::span<const capacity::upstream_load>,
                                 bool) {},
            .version_received = [](time_point, const vm_id&, std::uint64_t) {},
            .vm_count_changed = [](std::size_t) {},
            .role_changed = [](cell::role) {},
            .token_done = [this](allowance::ticket, const allowance::admission& decision)
            { this->admitted += decision.admitted ? 1 : 0; },
            .upstream_token_done = [](allowance::ticket, const allowance::admission&) {},
            .log =
                [this](std::string_view event, const nlohmann::ordered_json&)
            {
                this->events.emplace_back(event);
            }};
    }

    // Calls the functions of the VM that use received state.
    void exercise(time_point now)
    {
        this->local.check(now);
        this->local.tick(now);
        for (const configuration::account& each : accounts)
            this->local.request_token(now, 1, each.name);
        this->local.request_upstream_token(now, 1, {.id = "u1", .started = 3});
        this->local.tick_tokens(now);
        this->local.addresses_for(now, "north", "n2");
        this->local.best_informed(now, 0, 0);
        this->local.reader(now, 0s);
    }

    std::size_t admitted = 0;
    fleet::upstream_notices received_notices;
    std::vector<std::string> events; // logged
    node local;
};

void feed(const std::string& bytes)
{
    for (const bool coordinates : {true, false})
    {
        vm one(coordinates);
        one.local.receive(start + 1100ms, "10.0.0.9:1", bytes);
        for (const int later : {1200, 2000, 4000, 8000})
            one.exercise(start + std::chrono::milliseconds(later));
    }
}

} // namespace

// Guards against datagrams that crash the process, and against numbers in them that
// corrupt the accounts' token buckets.
BOOST_AUTO_TEST_CASE(corrupted_datagrams_are_harmless)
{
    for (const std::string& intact : datagrams())
    {
        for (std::size_t length = 0; length < intact.size(); ++length)
            BOOST_REQUIRE_NO_THROW(feed(intact.substr(0, length)));
        for (std::size_t at = 0; at < intact.size(); ++at)
            for (const int change : {0x01, 0x80, 0xff})
            {
                std::string changed = intact;
                changed[at] = static_cast<char>(changed[at] ^ change);
                BOOST_REQUIRE_NO_THROW(feed(changed));
            }
    }
}

// The same with several bytes replaced, inserted and removed at random.
BOOST_AUTO_TEST_CASE(randomly_corrupted_datagrams_are_harmless)
{
    const std::vector<std::string> all = datagrams();
    const bool passed = rc::check(
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
    BOOST_TEST(passed);
}

// Guards against messages that are dropped without a trace: operators find a VM of
// another version, or a corrupting link, by these lines.
BOOST_AUTO_TEST_CASE(undecodable_messages_are_logged)
{
    for (const char kind :
         {report_kind, digest_kind, query_kind, answer_kind, notices_kind,
          upstream_query_kind, upstream_answer_kind, capacity_kind})
    {
        vm one(true);
        one.events.clear();
        one.local.receive(start + 1100ms, "10.0.0.9:1", kind + std::string("?"));
        BOOST_TEST(one.events.size() == 1U, "nothing logged for kind " << kind);
    }
}

// Guards against accepting NaN, negative, infinite or excessive rates: they would corrupt
// every sum that includes them.
BOOST_AUTO_TEST_CASE(invalid_rates_are_rejected)
{
    for (const double rate : {std::nan(""), -1.0, HUGE_VAL, 1e30})
    {
        fleet::report sent = report_of("c", "n2", 7);
        sent.demand.front().rate = rate;
        BOOST_TEST(!fleet::decode(fleet::encode(sent)).has_value());
    }
}

// Guards against fields of upstream notices that are lost in encoding, and against limits
// that are no rates.
BOOST_AUTO_TEST_CASE(upstream_notices_are_received_as_sent)
{
    vm member(false);
    member.local.receive(start, "10.0.0.2:1", notices_kind + fleet::encode(notices));
    BOOST_TEST((member.received_notices == notices));
    for (const double rate : {-1.0, std::nan(""), HUGE_VAL})
    {
        fleet::upstream_notices wrong = notices;
        wrong.limits.front().statement.rate = rate;
        member.received_notices = {};
        member.local.receive(start, "10.0.0.2:1", notices_kind + fleet::encode(wrong));
        BOOST_TEST(member.received_notices.empty());
    }
}
