// Simulated data centres for the tests of the router.

#ifndef PISTACHIOSPAN_ROUTE_ROUTER_WORLD_TEST_HPP
#define PISTACHIOSPAN_ROUTE_ROUTER_WORLD_TEST_HPP

#include "pistachiospan/route/route.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace pistachiospan::route::test
{

using namespace std::chrono_literals;

// A catalogue of one data centre with one group "g" of `count` upstreams "u0", "u1", ...
inline catalogue::catalogue make_catalogue(std::uint32_t count, std::uint32_t slots,
                                           std::uint32_t connections = 330)
{
    catalogue::catalogue result;
    result.data_centres["d"] = {.name = "d", .region = "r", .entry_vms = 3};
    result.routes["all"] = {.name = "all", .group = "g", .deadline = 10s};
    catalogue::upstream_group group{
        .name = "g", .slots = slots, .connections = connections};
    for (std::uint32_t at = 0; at < count; ++at)
    {
        group.upstreams.push_back({"u" + std::to_string(at), "d"});
    }
    result.groups["g"] = group;
    return result;
}

// Upstreams that count the requests they run, several routers, and completions that are
// late or lost. Time is simulated.
struct simulation
{
    struct upstream
    {
        std::uint32_t running = 0;
        std::uint32_t peak = 0;
        std::uint32_t connections = 0;
        std::uint32_t connections_peak = 0;
        std::uint64_t received = 0;
        bool stuck = false; // works on each request until its deadline
    };

    struct origin
    {
        std::size_t vm;
        time_point deadline;
        time_point submitted;
        std::string account;
    };

    explicit simulation(std::uint64_t seed) : random(seed) {}

    void add_router(const std::string& data_centre = "d", router_options options = {})
    {
        const std::size_t vm = this->routers.size();
        options.data_centre = data_centre;
        options.seed = vm + 1;
        this->routers.push_back(std::make_unique<router>(
            options,
            router_hooks{.on_decision = [this, vm](request_id id, const decision& answer)
                         { this->handle(vm, id, answer); },
                         .on_drained =
                             [this](const std::string& address, duration)
                         {
                             this->drained.insert(address);
                         }}));
    }

    void start(const catalogue::catalogue& active)
    {
        const auto count = static_cast<std::uint32_t>(this->routers.size());
        for (std::uint32_t vm = 0; vm < count; ++vm)
        {
            this->routers[vm]->set_catalogue(this->now, active);
            this->routers[vm]->set_share(this->now, {{vm}, count});
            this->routers[vm]->allow_growth(this->now);
        }
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
    }

    request_id submit(std::size_t vm, request incoming)
    {
        incoming.id = this->next_id++;
        this->origins[incoming.id] = {vm, incoming.deadline, this->now, incoming.account};
        this->handle(vm, incoming.id, this->routers[vm]->submit(this->now, incoming));
        return incoming.id;
    }

    request_id submit(std::size_t vm, const std::string& account = "a",
                      duration within = 2s)
    {
        return this->submit(vm, request{.account = account,
                                        .group = "g",
                                        .deadline = this->now + within,
                                        .idempotent = this->chance(0.5)});
    }

    void handle(std::size_t vm, request_id id, const decision& answer)
    {
        if (answer.kind == decision_kind::refused)
        {
            BOOST_TEST(!this->dispatched.contains(id));
            this->refused[id] = answer.reason;
            BOOST_TEST(answer.retry_after.count() > 0);
        }
        if (answer.kind == decision_kind::refused && this->parents.contains(id))
        {
            this->answer_parent(id, outcome::shed);
        }
        if (answer.kind == decision_kind::dispatched)
        {
            this->run(vm, id, answer.upstream);
        }
        if (answer.kind == decision_kind::relayed)
        {
            const auto peer = static_cast<std::size_t>(std::stoul(answer.peer.value));
            const request incoming{.id = this->next_id++,
                                   .account = this->origins[id].account,
                                   .group = "g",
                                   .deadline = this->origins[id].deadline,
                                   .relayed = true};
            this->parents[incoming.id] = {vm, id};
            this->origins[incoming.id] = {peer, incoming.deadline, this->now,
                                          incoming.account};
            this->at(this->now + 12ms,
                     [=, this] {
                         this->handle(peer, incoming.id,
                                      this->routers[peer]->submit(this->now, incoming));
                     });
        }
    }

    void answer_parent(request_id id, outcome request_outcome)
    {
        const auto parent = this->parents[id];
        this->at(this->now + 12ms, [=, this]
                 { this->complete(parent.first, parent.second, request_outcome, 40ms); });
    }

    void run(std::size_t vm, request_id id, const std::string& address)
    {
        BOOST_TEST(this->dispatched.insert(id).second);
        BOOST_TEST(!this->refused.contains(id));
        this->waits[this->origins[id].account].push_back(this->now -
                                                         this->origins[id].submitted);
        upstream& to = this->upstreams[address];
        to.received += 1;
        const auto stopped = this->no_work_after.find(address);
        BOOST_TEST((stopped == this->no_work_after.end() || this->now < stopped->second),
                   "new work on drained " << address);
        to.running += 1;
        to.peak = std::max(to.peak, to.running);
        this->total_peak = std::max(this->total_peak, ++this->total_running);
        const time_point deadline = this->origins[id].deadline;
        std::exponential_distribution<> service(1.0 / this->mean_service);
        const duration service_time(static_cast<std::int64_t>(service(this->random)) +
                                    1000);
        const time_point end =
            to.stuck ? deadline : std::min(this->now + service_time, deadline);
        const outcome request_outcome = end == deadline                 ? outcome::failed
                                        : this->chance(this->shed_rate) ? outcome::shed
                                                                        : outcome::ok;
        const bool cancel = this->chance(this->cancel_rate);
        this->at(end,
                 [&to, this]
                 {
                     to.running -= 1;
                     this->total_running -= 1;
                 });
        if (cancel)
        {
            const duration early(static_cast<std::int64_t>(this->random() % 5000));
            this->at(this->now + early,
                     [=, this] { this->complete(vm, id, outcome::cancelled, 0us); });
            if (this->chance(0.5))
            {
                this->at(end + 1ms, [=, this]
                         { this->routers[vm]->connection_closed(this->now, id); });
            }
            return;
        }
        if (!this->chance(this->loss_rate))
        {
            const duration late(this->chance(this->late_rate)
                                    ? static_cast<std::int64_t>(this->random() % 500000)
                                    : 1000);
            this->at(end + late, [=, this]
                     { this->complete(vm, id, request_outcome, service_time); });
        }
    }

    void complete(std::size_t vm, request_id id, outcome request_outcome,
                  duration service_time)
    {
        this->routers[vm]->complete(this->now, id, request_outcome, service_time);
        if (this->parents.contains(id))
        {
            this->answer_parent(id, request_outcome);
        }
    }

    void at(time_point when, std::function<void()> action)
    {
        this->events.emplace(when, std::move(action));
    }

    void run_until(time_point end)
    {
        for (time_point tick = this->now + 10ms; tick <= end; tick += 10ms)
        {
            this->at(tick,
                     [this]
                     {
                         for (auto& each : this->routers)
                         {
                             each->tick(this->now);
                         }
                     });
        }
        while (!this->events.empty() && this->events.begin()->first <= end)
        {
            const auto event = this->events.begin();
            this->now = std::max(this->now, event->first);
            const auto action = std::move(event->second);
            this->events.erase(event);
            action();
        }
        this->now = end;
    }

    // Submits at random VMs, `rate` requests per second, until `end`.
    void load(time_point end, double rate, const std::string& account = "a",
              duration within = 2s)
    {
        std::exponential_distribution<> gap(rate / 1e6);
        for (time_point when = this->now; when < end;
             when += duration(static_cast<std::int64_t>(gap(this->random)) + 1))
        {
            const std::size_t vm = this->random() % this->routers.size();
            this->at(when, [=, this] { this->submit(vm, account, within); });
        }
    }

    void check_peaks(std::uint32_t slots) const
    {
        for (const auto& [address, each] : this->upstreams)
        {
            BOOST_TEST(each.peak <= slots, address << " had " << each.peak);
        }
    }

    random_engine random;
    time_point now{};
    std::vector<std::unique_ptr<router>> routers;
    std::map<std::string, upstream> upstreams;
    std::multimap<time_point, std::function<void()>> events;
    std::map<request_id, origin> origins;
    std::map<request_id, std::pair<std::size_t, request_id>> parents; // of relays
    std::set<request_id> dispatched;
    std::map<request_id, refusal> refused;
    std::map<std::string, std::vector<duration>> waits; // by account
    std::set<std::string> drained;
    std::map<std::string, time_point> no_work_after; // no new work from then on
    std::uint32_t total_running = 0;
    std::uint32_t total_peak = 0;
    request_id next_id = 1;
    double mean_service = 20000;
    double late_rate = 0.1; // completions up to 0.5 s late
    double loss_rate = 0;
    double cancel_rate = 0;
    double shed_rate = 0;
};

} // namespace pistachiospan::route::test

#endif
