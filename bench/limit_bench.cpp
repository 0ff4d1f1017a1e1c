// Measures the rate limit on a simulated fleet: wrongful refusals by load, skew and
// fault, waits, messages and bytes, and the time and memory of one limiter.
//
// limit_bench [quick|core|large|admit|loans] [seed]: one part; without an argument quick
// and admit.
//
// "wrong%": refused requests that one bucket of the whole rate and burst, fed with the
// same requests, would have admitted, of the requests offered. "unneeded%": requests
// refused while such a bucket, fed with the actual admissions, had a token.

#include "pistachiospan/limit/fleet_test.hpp"

#include <chrono>
#include <cstdio>
#include <string>

using namespace pistachiospan;
using namespace pistachiospan::limit;
using namespace pistachiospan::limit::testing;

namespace
{

std::uint64_t seed = 7; // second argument

constexpr double account_burst_s = 1; // burst, in seconds of the rate

// A few large accounts, as in the present deployments.
const std::map<std::string, double>& rates()
{
    static const std::map<std::string, double> made = {
        {"a1", 400}, {"a2", 250}, {"a3", 60}, {"a4", 40},
        {"a5", 20},  {"a6", 20},  {"a7", 10}, {"a8", 5}};
    return made;
}

catalogue::catalogue accounts(std::uint32_t shares)
{
    catalogue::catalogue made;
    made.rate_shares = shares;
    for (const auto& [name, rate] : rates())
        made.accounts[name] = {
            .name = name, .rate = rate, .burst = std::max(rate * account_burst_s, 10.0)};
    return made;
}

std::vector<double> skewed(std::uint32_t vms, double first)
{
    std::vector<double> weights(vms, (1 - first) / (vms - 1));
    weights[0] = first;
    return weights;
}

struct scenario
{
    std::string name;
    std::function<void(fleet&)> fault; // before the measurement
    double abuse = 1;                  // factor on the load of the first account
    duration length = 60 * second;
    double rotate_s = 0; // the first VM of the skew changes this often
};

double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0
                      : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void print(const std::string& name, double load, const std::string& shape, bool lend,
           fleet& all, double length_s, std::uint32_t vms)
{
    tally sum;
    double worst = 0;
    std::string worst_name;
    for (auto& [account, each] : all.tallies)
    {
        if (rates().count(account) == 0)
            continue;
        sum.offered += each.offered;
        sum.wrongful += each.wrongful;
        sum.unneeded += each.unneeded;
        sum.waited += each.waited;
        sum.over += each.over;
        sum.waits_us.insert(sum.waits_us.end(), each.waits_us.begin(),
                            each.waits_us.end());
        if (percent(each.wrongful, each.offered) > worst)
        {
            worst = percent(each.wrongful, each.offered);
            worst_name = account;
        }
    }
    std::sort(sum.waits_us.begin(), sum.waits_us.end());
    const auto at = [&](double part)
    {
        if (sum.waits_us.empty())
            return 0.0;
        const auto last = static_cast<double>(sum.waits_us.size() - 1);
        return static_cast<double>(sum.waits_us[static_cast<std::size_t>(part * last)]) /
               1000;
    };
    std::printf(
        "%-14s %4.0f%% %-5s %-6s wrong %6.3f%% unneeded %6.3f%% worst %6.2f%% %-3s "
        "waited %5.2f%% p50 %4.1f p99 %4.1f ms over %llu msg/s %5.1f B/s %6.0f\n",
        name.c_str(), load * 100, shape.c_str(), lend ? "loans" : "static",
        percent(sum.wrongful, sum.offered), percent(sum.unneeded, sum.offered), worst,
        worst_name.c_str(), percent(sum.waited, sum.offered), at(0.5), at(0.99),
        static_cast<unsigned long long>(sum.over),
        static_cast<double>(all.messages) / length_s / vms,
        static_cast<double>(all.bytes) / length_s / vms);
    std::fflush(stdout);
}

void run(const scenario& what, double load, double skew, bool lend,
         limiter_options base = {})
{
    constexpr std::uint32_t vms = 9;
    base.lending_enabled = lend;
    fleet all({.vms = vms, .seed = seed, .limiter = base, .count_bytes = true},
              accounts(vms));
    std::size_t source = 0;
    for (const auto& [name, rate] : rates())
    {
        std::vector<double> weights = skewed(vms, skew);
        if (skew > 0.2) // each account has another busy VM
            std::rotate(weights.begin(),
                        weights.begin() + static_cast<std::ptrdiff_t>(vms - source % vms),
                        weights.end());
        all.offer(name, rate * load * (source == 0 ? what.abuse : 1), weights);
        ++source;
    }
    all.run_for(10 * second);
    if (what.fault)
        what.fault(all);
    all.run_for(what.fault ? 5 * second : 0 * second);
    all.reset_tallies();
    all.run_for(what.length);
    const std::string shape = skew < 0.2 ? "even" : skew > 0.99 ? "100%" : "80%";
    print(what.name, load, shape, lend, all,
          std::chrono::duration<double>(what.length).count(), vms);
}

std::vector<int> regions(std::uint32_t vms)
{
    std::vector<int> sides(vms);
    for (std::uint32_t index = 0; index < vms; ++index)
        sides[index] = static_cast<int>(index % 3);
    return sides;
}

void quick(const limiter_options& base, bool baseline)
{
    const std::vector<scenario> all = {{.name = "healthy"},
                                       {.name = "one VM dead",
                                        .fault =
                                            [](fleet& f)
                                        {
                                            f.kill(4);
                                        }},
                                       {.name = "regions parted",
                                        .fault =
                                            [](fleet& f)
                                        {
                                            f.partition(regions(9));
                                        }},
                                       {.name = "five times", .abuse = 5}};
    const double even = 1.0 / 9;
    for (const scenario& each : all)
        for (const double load : {0.5, 0.9, 1.0})
            for (const double skew : {even, 0.8, 1.0})
            {
                run(each, load, skew, true, base);
                if (baseline && load > 0.6 && load < 0.95)
                    run(each, load, skew, false, base);
            }
    // Neither limiter nor loans use the platform; ten minutes show that nothing drifts.
    run({.name = "store down 10m", .length = 600 * second}, 0.9, 0.8, true, base);
}

void measure_admit()
{
    for (const std::size_t count : {8, 1000, 5000})
    {
        catalogue::catalogue many;
        many.rate_shares = 1;
        std::vector<std::string> names;
        for (std::size_t index = 0; index < count; ++index)
        {
            names.push_back("account-" + std::to_string(index));
            many.accounts[names.back()] = {
                .name = names.back(), .rate = 1e6, .burst = 1e6};
        }
        limiter one({.self = {"vm-0"}}, {});
        time_point now(std::chrono::hours(1));
        one.set_accounts(now, many, true);
        const std::vector<std::uint32_t> mine = {0};
        one.set_shares(now, mine);
        constexpr std::size_t calls = 2'000'000;
        std::uint64_t admitted = 0;
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t call = 0; call < calls; ++call)
        {
            now += duration(1);
            const decision made = one.admit(now, names[(call * 7919) % count]);
            admitted += made.result == outcome::admitted ? 1 : 0;
        }
        const std::chrono::duration<double, std::nano> spent =
            std::chrono::steady_clock::now() - begin;
        std::printf("admit: %zu accounts %.0f ns, %zu bytes/account, admitted %.1f%%\n",
                    count, spent.count() / calls, one.memory() / count,
                    percent(admitted, calls));
    }
}

// Messages, bytes and refusals against the number of VMs and accounts.
void large()
{
    for (const std::uint32_t vms : {9U, 36U, 144U, 720U})
        for (const std::uint32_t count : {10U, 100U})
        {
            if (vms == 720 && count == 100)
                continue;
            catalogue::catalogue some;
            some.rate_shares = vms;
            fleet_options options{.vms = vms, .seed = 3, .count_bytes = true};
            options.tick = vms > 100 ? 20 * ms : 5 * ms;
            for (std::uint32_t index = 0; index < count; ++index)
                some.accounts["t" + std::to_string(index)] = {
                    .name = "t" + std::to_string(index), .rate = 40, .burst = 40};
            for (const bool lend : {true, false})
            {
                options.limiter.lending_enabled = lend;
                fleet all(options, some);
                for (std::uint32_t index = 0; index < count; ++index)
                {
                    // The callers of an account use few of the VMs.
                    std::vector<double> weights(vms, 0);
                    for (std::uint32_t user = 0; user < 4; ++user)
                        weights[(index * 13 + user * 5) % vms] = 1;
                    all.offer("t" + std::to_string(index), 36, weights);
                }
                all.run_for(5 * second);
                all.reset_tallies();
                all.run_for(15 * second);
                tally sum;
                for (const auto& [account, each] : all.tallies)
                {
                    sum.offered += each.offered;
                    sum.wrongful += each.wrongful;
                    sum.waited += each.waited;
                    sum.over += each.over;
                }
                std::printf(
                    "large: %u VMs %u accounts %s wrong %.2f%% waited %.2f%% over "
                    "%llu msg/s %.2f B/s %.0f bytes/account %zu\n",
                    vms, count, lend ? "loans" : "static",
                    percent(sum.wrongful, sum.offered), percent(sum.waited, sum.offered),
                    static_cast<unsigned long long>(sum.over),
                    static_cast<double>(all.messages) / 15 / vms,
                    static_cast<double>(all.bytes) / 15 / vms,
                    all.vm_limiter(0)->memory() / count);
                std::fflush(stdout);
            }
        }
}

} // namespace

int main(int count, char** arguments)
{
    const std::string part = count > 1 ? arguments[1] : "";
    if (count > 2)
        seed = std::stoull(arguments[2]);
    if (part.empty() || part == "quick")
        quick({}, true);
    if (part.empty() || part == "admit")
        measure_admit();
    if (part == "core")
        for (const double skew : {1.0 / 9, 0.8, 1.0})
            for (const double load : {0.5, 0.9, 1.0})
                run({.name = "healthy"}, load, skew, true);
    if (part == "core")
        run({.name = "five times", .abuse = 5}, 0.9, 1.0 / 9, true);
    if (part == "core")
        for (const double skew : {1.0 / 9, 0.8, 1.0})
            run({.name = "one VM dead",
                 .fault =
                     [](fleet& f)
                 {
                     f.kill(4);
                 }},
                0.9, skew, true);
    if (part == "large")
        large();
    if (part == "loans")
        for (const int seconds : {1, 3, 6, 10})
        {
            std::printf("loan time %d s\n", seconds);
            limiter_options base{.loan_duration = seconds * second};
            for (const double skew : {0.8, 1.0})
                run({.name = "healthy"}, 0.9, skew, true, base);
        }
    return 0;
}
