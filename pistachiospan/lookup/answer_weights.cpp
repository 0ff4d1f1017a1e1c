#include "pistachiospan/lookup/lookup.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace pistachiospan::lookup
{

nlohmann::json to_json(const vm_answer& answer)
{
    nlohmann::json vms = nlohmann::json::array();
    for (const weighted_vm& each : answer.vms)
    {
        constexpr double digits = 1e4;
        vms.push_back({{"vm", each.vm.value},
                       {"address", each.address},
                       {"weight", std::round(each.weight * digits) / digits}});
    }
    using milliseconds = std::chrono::milliseconds;
    return {{"vms", vms},
            {"ttl_ms", std::chrono::duration_cast<milliseconds>(answer.ttl).count()}};
}

answer_weights::answer_weights(answer_options options)
    : options(options), random(options.seed)
{
}

duration answer_weights::window() const
{
    const double longest =
        static_cast<double>(this->options.ttl.count()) * (1 + this->options.jitter);
    return duration(static_cast<duration::rep>(std::ceil(longest)));
}

double answer_weights::moved_weight(time_point now) const
{
    double sum = 0;
    for (const auto& [when, amount] : this->moves)
    {
        sum += now - when < this->window() ? amount : 0;
    }
    return sum;
}

void answer_weights::record(time_point now, double amount)
{
    while (!this->moves.empty() && now - this->moves.front().first >= this->window())
    {
        this->moves.pop_front();
    }
    if (amount > 0)
    {
        this->moves.emplace_back(now, amount);
    }
}

void answer_weights::update(time_point now, const std::vector<vm_state>& vms)
{
    const bool first = this->entries.empty();
    this->force_out(now, vms);
    for (const vm_state& each : vms)
    {
        entry& kept = this->entries[each.vm];
        kept.address = each.address;
        kept.headroom = std::clamp(std::isfinite(each.headroom) ? each.headroom : 0.0,
                                   this->options.min_headroom, 1.0);
        kept.draining = each.draining;
    }
    const auto serving =
        std::count_if(this->entries.begin(), this->entries.end(),
                      [](const auto& each) { return !each.second.draining; });
    double total = 0;
    for (const auto& [vm, each] : this->entries)
    {
        total += each.weight;
    }
    if (serving > 0 && (first || total <= 0))
    {
        // Without a history to start from, all get the same.
        for (auto& [vm, each] : this->entries)
        {
            each.weight = each.draining ? 0 : 1.0 / static_cast<double>(serving);
        }
        this->last_update = now;
        return;
    }
    this->move_to_targets(now);
    this->last_update = now;
}

// Takes draining and missing VMs out and gives their weight to the others.
void answer_weights::force_out(time_point now, const std::vector<vm_state>& vms)
{
    std::set<vm_id> serving;
    for (const vm_state& each : vms)
    {
        if (!each.draining)
        {
            serving.insert(each.vm);
        }
    }
    double out = 0;
    double left = 0;
    for (auto& [vm, each] : this->entries)
    {
        (serving.contains(vm) ? left : out) += each.weight;
        each.weight = serving.contains(vm) ? each.weight : 0;
    }
    if (left > 0)
    {
        for (auto& [vm, each] : this->entries)
        {
            each.weight /= left;
        }
    }
    std::set<vm_id> present;
    for (const vm_state& each : vms)
    {
        present.insert(each.vm);
    }
    std::erase_if(this->entries,
                  [&](const auto& each) { return !present.contains(each.first); });
    this->record(now, out);
}

void answer_weights::move_to_targets(time_point now)
{
    double total_headroom = 0;
    for (const auto& [vm, each] : this->entries)
    {
        total_headroom += each.draining ? 0 : each.headroom;
    }
    if (total_headroom <= 0)
    {
        return;
    }
    const auto target = [&](const entry& of)
    {
        return of.draining ? 0 : of.headroom / total_headroom;
    };
    double distance = 0;
    for (const auto& [vm, each] : this->entries)
    {
        distance += std::max(target(each) - each.weight, 0.0);
    }
    // Updates come at any rate; the gain is for one TTL.
    const double passed = this->last_update
                              ? static_cast<double>((now - *this->last_update).count()) /
                                    static_cast<double>(this->options.ttl.count())
                              : 1;
    const double wanted = distance * this->options.gain * std::clamp(passed, 0.0, 1.0);
    const double allowed =
        std::max(this->options.max_step - this->moved_weight(now), 0.0);
    const double amount = std::min(wanted, allowed);
    if (distance <= 0 || amount <= 0)
    {
        return;
    }
    for (auto& [vm, each] : this->entries)
    {
        each.weight += (target(each) - each.weight) * amount / distance;
    }
    this->record(now, amount);
}

vm_answer answer_weights::answer()
{
    vm_answer made;
    for (const auto& [vm, each] : this->entries)
    {
        if (each.weight > 0)
        {
            made.vms.push_back({vm, each.address, each.weight});
        }
    }
    if (made.vms.empty())
    {
        for (const auto& [vm, each] : this->entries)
        {
            const double part = 1.0 / static_cast<double>(this->entries.size());
            made.vms.push_back({vm, each.address, part});
        }
    }
    std::uniform_real_distribution<double> jitter(1 - this->options.jitter,
                                                  1 + this->options.jitter);
    made.ttl = duration(static_cast<duration::rep>(
        static_cast<double>(this->options.ttl.count()) * jitter(this->random)));
    return made;
}

} // namespace pistachiospan::lookup
