// Rates of client accounts while data centres lose sight of each other: membership and
// ledger of each one together, with reports that reach those on the own side of a cut.

#include "pistachiospan/fleet/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <utility>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

constexpr double rate = 400;  // requests per second
constexpr double burst = 200; // requests
constexpr std::size_t centre_count = 9;
constexpr std::size_t cut_count = 2; // data centres on the smaller side
constexpr duration report_interval = 500ms;
constexpr duration check_interval = 250ms;
constexpr duration step = 1ms;

const configuration::account shop{.name = "shop", .rate = rate, .burst = burst};

// The platform's bound: a tenth more than the limit, and 20 requests.
constexpr double overrun = 0.1;
constexpr double slack = 20; // requests
constexpr duration window = 5s;

double bound()
{
    return (rate * std::chrono::duration<double>(window).count() + burst) *
               (1 + overrun) +
           slack;
}

std::string name_of(std::size_t number)
{
    return "dc-" + std::to_string(number);
}

std::map<std::string, std::string> regions()
{
    std::map<std::string, std::string> all;
    for (std::size_t each = 0; each < centre_count; ++each)
        all[name_of(each)] = "region";
    return all;
}

struct data_centre
{
    explicit data_centre(std::size_t number, time_point now)
        : name(name_of(number)),
          members({.data_centre = this->name, .regions = regions()})
    {
        this->ledger.set_accounts(now, std::span(&shop, 1), false);
    }

    void share(time_point now)
    {
        const auto remote = this->members.remote_shares(now);
        const auto found = remote.find(shop.name);
        this->ledger.set_sharing_count(this->members.sharing_count());
        allowance::remote_share share =
            found == remote.end() ? allowance::remote_share() : found->second;
        share.reserved += this->members.undiscovered_fraction(now);
        this->ledger.set_remote(now, shop.name, share);
    }

    fleet::report report(time_point now)
    {
        const bool whole = std::exchange(this->whole_needed, false);
        fleet::report own{.delta = !whole && this->sequence % 6 != 0,
                          .vm = {this->name},
                          .started = 1,
                          .sequence = ++this->sequence,
                          .epoch = 1,
                          .data_centre = this->name,
                          .peer_address = this->name + ":1"};
        own.demand = this->ledger.report_demand(now, !own.delta);
        this->members.note_sent_report(now, own);
        return own;
    }

    void receive(time_point now, const fleet::report& said)
    {
        const auto seen = this->members.observe(now, said);
        for (const allowance::demand& each : seen.demand_change)
            this->ledger.change_remote(now, each);
        this->whole_needed = this->whole_needed || seen.appeared || seen.returned;
    }

    std::string name;
    fleet::membership members;
    allowance::ledger ledger{{}};
    std::uint64_t sequence = 0;
    double due = 0;
    bool whole_needed = true;
};

struct fleet_model
{
    fleet_model()
    {
        for (std::size_t each = 0; each < centre_count; ++each)
            this->centres.push_back(std::make_unique<data_centre>(each, this->now));
        for (const auto& each : this->centres)
            each->share(this->now);
    }

    bool connected(std::size_t one, std::size_t other) const
    {
        return !this->cut || (one < cut_count) == (other < cut_count);
    }

    void tick(std::size_t at)
    {
        const auto passed = this->now.time_since_epoch() + step * (at * 53);
        data_centre& self = *this->centres[at];
        if (passed % check_interval == duration(0) &&
            self.members.reserve_overdue(this->now))
            self.share(this->now);
        if (passed % report_interval != duration(0))
            return;
        self.share(this->now);
        const fleet::report own = self.report(this->now);
        for (std::size_t to = 0; to < centre_count; ++to)
            if (to != at && this->connected(at, to))
                this->centres[to]->receive(this->now, own);
    }

    // Runs for `span` with `per_second` requests over all.
    void run(duration span, double per_second)
    {
        for (const time_point end = this->now + span; this->now < end; this->now += step)
            for (std::size_t at = 0; at < centre_count; ++at)
            {
                this->tick(at);
                data_centre& self = *this->centres[at];
                self.due += per_second / centre_count *
                            std::chrono::duration<double>(step).count();
                for (; self.due >= 1; self.due -= 1)
                    if (self.ledger.admit(this->now, shop.name).admitted)
                        this->note_admission();
            }
    }

    void note_admission()
    {
        this->recent.push_back(this->now);
        while (this->recent.front() <= this->now - window)
            this->recent.pop_front();
        this->most = std::max(this->most, this->recent.size());
    }

    std::vector<std::unique_ptr<data_centre>> centres;
    std::deque<time_point> recent;
    std::size_t most = 0; // admissions in any window
    bool cut = false;
    time_point now = time_point(1000s);
};

} // namespace

// Pattern: a data centre is cut off, and within the next seconds an account sends eight
// times its usual. Guards against both sides growing at the cost of the other, whose
// reports have stopped but are still believed (own day cut-zones: 2697 of 2614).
BOOST_AUTO_TEST_CASE(surge_after_a_cut_keeps_the_bound)
{
    for (const duration delay : {duration(0), duration(500ms), duration(1s),
                                 duration(1500ms), duration(2s), duration(3s)})
    {
        fleet_model all;
        all.run(6s, rate * 0.6);
        all.cut = true;
        all.run(delay, rate * 0.6);
        all.run(6s, rate * 0.6 * 8);
        all.cut = false;
        all.run(4s, rate * 0.6 * 8);
        BOOST_TEST_CONTEXT("surge after " << delay.count() << " us")
        BOOST_TEST(static_cast<double>(all.most) <= bound());
    }
}

// Pattern: the same without a cut, and a cut without a surge.
BOOST_AUTO_TEST_CASE(surge_or_cut_alone_keeps_the_bound)
{
    fleet_model surge;
    surge.run(6s, rate * 0.6);
    surge.run(6s, rate * 0.6 * 8);
    BOOST_TEST(static_cast<double>(surge.most) <= bound());
    fleet_model cut;
    cut.run(6s, rate * 3);
    cut.cut = true;
    cut.run(6s, rate * 3);
    cut.cut = false;
    cut.run(6s, rate * 3);
    BOOST_TEST(static_cast<double>(cut.most) <= bound());
}
