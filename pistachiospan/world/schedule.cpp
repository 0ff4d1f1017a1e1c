#include "pistachiospan/world/schedule.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <sstream>

namespace pistachiospan::world
{

namespace
{

using namespace std::chrono_literals;

enum class target_kind
{
    none,
    vms,
    upstreams,
    accounts,
};

struct kind_properties
{
    fault_kind kind;
    const char* name;
    target_kind targets;
    double largest_share; // of the targets
    double weight;        // how often it is drawn
    // Of the amount; drawn evenly on a logarithmic scale.
    double min_amount = 0;
    double max_amount = 0;
};

constexpr std::array<kind_properties, 15> kinds = {{
    {fault_kind::cut_together, "cut together", target_kind::vms, 0.5, 2},
    {fault_kind::cut_apart, "cut apart", target_kind::vms, 0.5, 1},
    {fault_kind::outbound_loss, "outbound loss", target_kind::vms, 0.3, 1},
    {fault_kind::freeze, "freeze", target_kind::vms, 0.4, 1},
    {fault_kind::restart, "restart", target_kind::vms, 1.0, 2},
    {fault_kind::join, "join", target_kind::vms, 0.3, 1},
    {fault_kind::lossy, "lossy", target_kind::none, 0, 1, 0.01, 0.2},
    {fault_kind::slow_store, "slow store", target_kind::none, 0, 1, 0.1, 1.5},
    {fault_kind::store_away, "store away", target_kind::none, 0, 1},
    {fault_kind::name_limit, "name limit", target_kind::upstreams, 0.4, 4, 0.5, 20},
    {fault_kind::end_limit, "end limit", target_kind::upstreams, 0.4, 1},
    {fault_kind::leave, "leave", target_kind::upstreams, 0.1, 0.5},
    {fault_kind::restart_upstream, "restart upstream", target_kind::upstreams, 0.2, 0.5},
    {fault_kind::silence, "silence", target_kind::upstreams, 0.3, 1},
    {fault_kind::surge, "surge", target_kind::accounts, 0.5, 3, 2, 10},
}};

const kind_properties& properties_of(fault_kind kind)
{
    return *std::ranges::find(kinds, kind, &kind_properties::kind);
}

std::size_t population(target_kind kind, const schedule_options& options)
{
    switch (kind)
    {
    case target_kind::vms:
        return options.vms;
    case target_kind::upstreams:
        return options.upstreams;
    case target_kind::accounts:
        return options.accounts;
    case target_kind::none:
        break;
    }
    return 0;
}

duration draw_time(random_engine& random, duration least, duration most)
{
    std::uniform_int_distribution<std::int64_t> time(least.count(), most.count());
    return duration(time(random));
}

std::vector<std::size_t> draw_targets(random_engine& random, std::size_t available,
                                      double largest_share)
{
    std::vector<std::size_t> all(available);
    std::iota(all.begin(), all.end(), 0U);
    std::ranges::shuffle(all, random);
    const auto most = static_cast<std::size_t>(
        std::ceil(static_cast<double>(available) * largest_share));
    std::uniform_int_distribution<std::size_t> count(1, std::max<std::size_t>(most, 1));
    all.resize(std::min(available, count(random)));
    std::ranges::sort(all);
    return all;
}

double draw_amount(random_engine& random, const kind_properties& kind)
{
    if (kind.max_amount <= 0)
        return 0;
    std::uniform_real_distribution<> exponent(std::log(kind.min_amount),
                                              std::log(kind.max_amount));
    return std::exp(exponent(random));
}

fault draw_fault(random_engine& random, const schedule_options& options)
{
    std::vector<double> weights;
    for (const kind_properties& each : kinds)
    {
        const bool has_targets =
            each.targets == target_kind::none || population(each.targets, options) > 0;
        weights.push_back(has_targets ? each.weight : 0);
    }
    std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
    const kind_properties& kind = kinds.at(choice(random));
    fault drawn{.at = draw_time(random, 0s, options.length),
                .kind = kind.kind,
                .span = draw_time(random, 200ms, 8s)};
    if (kind.targets != target_kind::none)
        drawn.targets =
            draw_targets(random, population(kind.targets, options), kind.largest_share);
    drawn.amount = draw_amount(random, kind);
    return drawn;
}

void restart_vms(world& all, const fault& each)
{
    for (const std::size_t vm : each.targets)
    {
        all.kill(vm);
        all.after(each.span,
                  [&all, vm]
                  {
                      if (!all.vm_at(vm).process)
                          all.start(vm);
                  });
    }
}

void set_sides(world& all, const fault& each)
{
    constexpr int common_side = 1000;
    for (const std::size_t vm : each.targets)
        all.vm_at(vm).side = each.kind == fault_kind::cut_together
                                 ? common_side
                                 : static_cast<int>(vm) + 1;
}

void begin(world& all, const fault& each)
{
    switch (each.kind)
    {
    case fault_kind::cut_together:
    case fault_kind::cut_apart:
        set_sides(all, each);
        return;
    case fault_kind::outbound_loss:
        for (const std::size_t vm : each.targets)
            all.vm_at(vm).outbound_loss = true;
        return;
    case fault_kind::freeze:
        for (const std::size_t vm : each.targets)
        {
            all.vm_at(vm).frozen_until = all.now() + each.span;
            all.vm_at(vm).harmed_until = all.vm_at(vm).frozen_until;
        }
        return;
    case fault_kind::restart:
        restart_vms(all, each);
        return;
    case fault_kind::join:
        for (const std::size_t vm : each.targets)
            all.start(all.add_vm(all.vm_at(vm).data_centre));
        return;
    case fault_kind::lossy:
        all.set_datagram_loss(each.amount);
        return;
    case fault_kind::slow_store:
        all.set_store({.latency = std::chrono::duration_cast<duration>(
                           std::chrono::duration<double>(each.amount))});
        return;
    case fault_kind::store_away:
        all.set_store({.available = false});
        return;
    case fault_kind::name_limit:
        for (const std::size_t server : each.targets)
            all.upstream_at(server).name_limit(each.amount);
        return;
    case fault_kind::end_limit:
        for (const std::size_t server : each.targets)
            all.upstream_at(server).name_limit(std::nullopt);
        return;
    case fault_kind::leave:
        for (const std::size_t server : each.targets)
            all.upstream_at(server).announce_leaving();
        return;
    case fault_kind::restart_upstream:
        for (const std::size_t server : each.targets)
            all.restart_upstream(server);
        return;
    case fault_kind::silence:
        for (const std::size_t server : each.targets)
            all.upstream_at(server).set_silent(true);
        return;
    case fault_kind::surge:
        for (const std::size_t account : each.targets)
            all.set_surge(account, each.amount);
        return;
    }
}

void end(world& all, const fault& each)
{
    switch (each.kind)
    {
    case fault_kind::cut_together:
    case fault_kind::cut_apart:
        for (const std::size_t vm : each.targets)
        {
            all.vm_at(vm).side = 0;
            all.vm_at(vm).harmed_until = all.now();
        }
        return;
    case fault_kind::outbound_loss:
        for (const std::size_t vm : each.targets)
        {
            all.vm_at(vm).outbound_loss = false;
            all.vm_at(vm).harmed_until = all.now();
        }
        return;
    case fault_kind::lossy:
        all.set_datagram_loss(0);
        return;
    case fault_kind::slow_store:
    case fault_kind::store_away:
        all.set_store({});
        return;
    case fault_kind::silence:
        for (const std::size_t server : each.targets)
            all.upstream_at(server).set_silent(false);
        return;
    case fault_kind::surge:
        for (const std::size_t account : each.targets)
            all.set_surge(account, 1);
        return;
    default:
        return;
    }
}

} // namespace

schedule draw_schedule(std::uint64_t seed, const schedule_options& options)
{
    random_engine random(seed);
    schedule faults;
    for (std::size_t each = 0; each < options.faults; ++each)
        faults.push_back(draw_fault(random, options));
    std::ranges::stable_sort(faults, {}, &fault::at);
    return faults;
}

void inject(world& all, const schedule& faults)
{
    for (const fault& each : faults)
    {
        all.after(each.at, [&all, each] { begin(all, each); });
        all.after(each.at + each.span, [&all, each] { end(all, each); });
    }
}

std::string describe(const fault& each)
{
    std::ostringstream text;
    text << std::chrono::duration<double>(each.at).count()
         << " s: " << properties_of(each.kind).name;
    for (const std::size_t target : each.targets)
        text << ' ' << target;
    if (each.amount > 0)
        text << ", amount " << each.amount;
    text << ", for " << std::chrono::duration<double>(each.span).count() << " s";
    return text.str();
}

} // namespace pistachiospan::world
