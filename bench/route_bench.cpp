// Measures the router: nanoseconds per selection, latency against round robin and random
// with a slow and with cold upstreams (simulated time), and fairness against first in,
// first out.

#include "pistachiospan/route/route.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>

using namespace pistachiospan;
using namespace pistachiospan::route;
using namespace std::chrono_literals;

namespace
{

double cpu_seconds()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) / 1e9;
}

catalogue::catalogue make_catalogue(std::uint32_t upstreams, std::uint32_t slots)
{
    catalogue::catalogue made;
    made.data_centres["d"] = {.name = "d", .region = "r"};
    made.routes["all"] = {.name = "all", .group = "g", .deadline = 10s};
    catalogue::upstream_group group{.name = "g", .slots = slots};
    for (std::uint32_t at = 0; at < upstreams; ++at)
    {
        group.upstreams.push_back({"10.0.0.1:" + std::to_string(1000 + at), "d"});
    }
    made.groups["g"] = group;
    return made;
}

router make_router(const catalogue::catalogue& active, router_options options = {},
                   router_hooks hooks = {})
{
    options.data_centre = "d";
    router made(options, std::move(hooks));
    made.set_catalogue(time_point(), active);
    made.set_share(time_point(), {{0}, 1});
    made.allow_growth(time_point());
    return made;
}

void measure_selection(std::uint32_t upstreams, double use)
{
    constexpr std::uint32_t slots = 5;
    constexpr int rounds = 200000;
    router steering = make_router(make_catalogue(upstreams, slots));
    random_engine random(1);
    time_point now(1s);
    std::vector<request_id> running;
    request_id id = 0;
    const auto submit = [&]
    {
        running.push_back(++id);
        steering.submit(now,
                        {.id = id, .account = "a", .group = "g", .deadline = now + 5s});
    };
    while (running.size() < static_cast<std::size_t>(upstreams * slots * use))
    {
        submit();
    }
    const double start = cpu_seconds();
    for (int round = 0; round < rounds; ++round)
    {
        now += 10us;
        const std::size_t at = random() % running.size();
        steering.complete(now, running[at], outcome::ok, 10ms);
        running[at] = running.back();
        running.pop_back();
        submit();
    }
    std::printf("  %4u upstreams, %3.0f%% of slots in use: %.0f ns per submit and "
                "complete\n",
                upstreams, use * 100, (cpu_seconds() - start) * 1e9 / rounds);
}

enum class policy
{
    router,
    round_robin,
    random,
};

struct service
{
    double factor = 1;           // of the mean service time of 20 ms
    std::uint32_t cold_left = 0; // requests that take 10 times as long
    std::uint32_t in_flight = 0;
    std::vector<std::pair<request_id, time_point>> waiting; // at the upstream
};

// Open load on upstreams with 5 slots each. The baselines send at once; an upstream
// without a free slot queues. Latencies are from submission to completion.
class latency_run
{
public:
    latency_run(policy chosen, std::uint32_t upstreams)
        : chosen(chosen),
          steering(make_router(make_catalogue(upstreams, 5), {},
                               {.on_decision =
                                    [this](request_id id, const decision& made)
                                {
                                    this->decided(id, made);
                                }})),
          services(upstreams)
    {
    }

    void run(double rate, duration length)
    {
        std::exponential_distribution<> gap(rate / 1e6);
        time_point arrival(1s);
        time_point next_tick(1s);
        const time_point end = arrival + length;
        while (arrival < end || !this->ends.empty())
        {
            const time_point done =
                this->ends.empty() ? time_point::max() : this->ends.begin()->first;
            const time_point next =
                std::min({done, next_tick, arrival < end ? arrival : time_point::max()});
            this->now = next;
            if (next == next_tick)
            {
                this->steering.tick(next);
                next_tick += 10ms;
            }
            else if (next == done)
            {
                this->finish();
            }
            else
            {
                this->submit();
                arrival += duration(static_cast<std::int64_t>(gap(this->random)) + 1);
            }
        }
    }

    void report(const char* name)
    {
        std::sort(this->latencies.begin(), this->latencies.end());
        const auto at = [this](double part)
        {
            const double last = static_cast<double>(this->latencies.size() - 1);
            const auto index = static_cast<std::size_t>(part * last);
            return static_cast<double>(this->latencies[index].count()) / 1e3;
        };
        std::printf("  %-12s median %6.1f ms, p99 %8.1f ms, refused %llu of %llu\n", name,
                    at(0.5), at(0.99), static_cast<unsigned long long>(this->refused),
                    static_cast<unsigned long long>(this->next_id));
    }

    std::vector<service>& upstreams()
    {
        return this->services;
    }

private:
    void submit()
    {
        const request_id id = ++this->next_id;
        this->begun[id] = this->now;
        if (this->chosen == policy::router)
        {
            this->decided(id,
                          this->steering.submit(this->now, {.id = id,
                                                            .account = "a",
                                                            .group = "g",
                                                            .deadline = this->now + 5s}));
            return;
        }
        const std::size_t count = this->services.size();
        this->arrive(id, this->chosen == policy::round_robin ? id % count
                                                             : this->random() % count);
    }

    void decided(request_id id, const decision& made)
    {
        if (made.kind == decision_kind::dispatched)
        {
            this->arrive(id, std::stoul(made.upstream.substr(9)) - 1000);
        }
        this->refused += made.kind == decision_kind::refused ? 1 : 0;
    }

    void arrive(request_id id, std::size_t at)
    {
        service& to = this->services[at];
        if (to.in_flight >= 5)
        {
            to.waiting.emplace_back(id, this->now);
            return;
        }
        this->serve(id, at);
    }

    void serve(request_id id, std::size_t at)
    {
        service& to = this->services[at];
        to.in_flight += 1;
        double mean = 20000 * to.factor;
        if (to.cold_left > 0)
        {
            to.cold_left -= 1;
            mean *= 10;
        }
        std::exponential_distribution<> time(1 / mean);
        const duration taken(static_cast<std::int64_t>(time(this->random)) + 100);
        this->ends.emplace(this->now + taken, std::pair(id, at));
        this->started[id] = this->now;
    }

    void finish()
    {
        const auto [id, at] = this->ends.begin()->second;
        this->ends.erase(this->ends.begin());
        service& of = this->services[at];
        of.in_flight -= 1;
        this->latencies.push_back(this->now - this->begun[id]);
        if (!of.waiting.empty())
        {
            const request_id next = of.waiting.front().first;
            of.waiting.erase(of.waiting.begin());
            this->serve(next, at);
        }
        if (this->chosen == policy::router)
        {
            this->steering.complete(this->now, id, outcome::ok,
                                    this->now - this->started[id]);
        }
    }

    policy chosen;
    router steering;
    std::vector<service> services;
    random_engine random{3};
    time_point now{};
    std::multimap<time_point, std::pair<request_id, std::size_t>> ends;
    std::map<request_id, time_point> begun;
    std::map<request_id, time_point> started;
    std::vector<duration> latencies;
    request_id next_id = 0;
    std::uint64_t refused = 0;
};

void measure_latency(const char* name, double use,
                     const std::function<void(std::vector<service>&)>& prepare)
{
    constexpr std::uint32_t upstreams = 16;
    const double rate = use * upstreams * 5 / 0.0201;
    std::printf("%s: %u upstreams x 5 slots, %.0f requests/s (%.0f%% of healthy "
                "capacity), 60 s simulated\n",
                name, upstreams, rate, use * 100);
    const std::pair<const char*, policy> policies[] = {
        {"router", policy::router},
        {"round robin", policy::round_robin},
        {"random", policy::random}};
    for (const auto& [label, chosen] : policies)
    {
        latency_run run(chosen, upstreams);
        prepare(run.upstreams());
        run.run(rate, 60s);
        run.report(label);
    }
}

// 8 accounts on 80 slots with 20 ms of service, the first sends five times its share.
void measure_fairness(bool fair)
{
    random_engine random(4);
    time_point now(1s);
    std::multimap<time_point, std::pair<int, request_id>> events; // account or -1: an end
    std::map<request_id, std::pair<int, time_point>> asked;
    std::map<int, std::vector<double>> waits;
    std::map<int, std::uint64_t> refused;
    std::exponential_distribution<> service(1.0 / 20000);
    const auto decided = [&](request_id id, const decision& made)
    {
        const auto& [account, begun] = asked[id];
        if (made.kind == decision_kind::dispatched)
        {
            waits[account].push_back(static_cast<double>((now - begun).count()) / 1e3);
            const duration taken(static_cast<std::int64_t>(service(random)) + 100);
            events.emplace(now + taken, std::pair(-1, id));
        }
        refused[account] += made.kind == decision_kind::refused ? 1 : 0;
    };
    router_options options;
    options.fair_queueing = fair;
    options.max_account_requests = fair ? 256 : 2048;
    router steering =
        make_router(make_catalogue(16, 5), options, {.on_decision = decided});
    constexpr double capacity = 80 / 0.0201;
    const time_point end = now + 30s;
    for (int account = 0; account < 8; ++account)
    {
        events.emplace(now, std::pair(account, 0));
    }
    request_id next_id = 0;
    time_point next_tick = now;
    while (!events.empty())
    {
        const auto [at, event] = *events.begin();
        events.erase(events.begin());
        for (; next_tick <= at; next_tick += 10ms)
        {
            now = next_tick;
            steering.tick(now);
        }
        now = at;
        if (event.first < 0)
        {
            steering.complete(now, event.second, outcome::ok,
                              now - asked[event.second].second);
            continue;
        }
        const request_id id = ++next_id;
        asked[id] = {event.first, now};
        decided(id, steering.submit(now, {.id = id,
                                          .account = std::to_string(event.first),
                                          .group = "g",
                                          .deadline = now + 2s}));
        const double rate = capacity * 0.85 / 8 * (event.first == 0 ? 5 : 1);
        std::exponential_distribution<> gap(rate / 1e6);
        const time_point next =
            now + duration(static_cast<std::int64_t>(gap(random)) + 1);
        if (next < end)
        {
            events.emplace(next, std::pair(event.first, 0));
        }
    }
    double worst_median = 0;
    double worst_p99 = 0;
    std::uint64_t others_refused = 0;
    for (int account = 1; account < 8; ++account)
    {
        auto& each = waits[account];
        std::sort(each.begin(), each.end());
        worst_median = std::max(worst_median, each[each.size() / 2]);
        worst_p99 = std::max(worst_p99, each[each.size() * 99 / 100]);
        others_refused += refused[account];
    }
    std::printf("  %-19s worst of the other accounts: median wait %.1f ms, p99 %.1f ms; "
                "refused: others %llu, heavy %llu\n",
                fair ? "fair queue" : "first in, first out", worst_median, worst_p99,
                static_cast<unsigned long long>(others_refused),
                static_cast<unsigned long long>(refused[0]));
}

} // namespace

int main()
{
    std::printf("selection (CPU time of one thread)\n");
    for (const std::uint32_t upstreams : {16U, 100U, 1000U})
    {
        measure_selection(upstreams, 0.5);
        measure_selection(upstreams, 0.95);
    }
    measure_latency("one upstream 10 times slower", 0.7,
                    [](std::vector<service>& all) { all[3].factor = 10; });
    measure_latency("4 of 16 cold (first 200 requests 10 times slower)", 0.6,
                    [](std::vector<service>& all)
                    {
                        for (std::size_t at = 0; at < 4; ++at)
                        {
                            all[at].cold_left = 200;
                        }
                    });
    measure_latency("all alike", 0.7, [](std::vector<service>&) {});
    std::printf("one of 8 accounts sends 5 times its share, 128%% of the capacity in "
                "all\n");
    measure_fairness(true);
    measure_fairness(false);
    return 0;
}
