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

void answer_weights::record_move(time_point now, double amount)
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
    this->remove_draining_and_unlisted(now, vms);
    for (const vm_state& each : vms)
    {
        entry& updated = this->entries[each.vm];
        updated.address = each.address;
        updated.headroom = std::clamp(std::isfinite(each.headroom) ? each.headroom : 0.0,
                                      this->options.min_headroom, 1.0);
        updated.draining = each.draining;
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
        // Without previous weights, all serving VMs get the same weight.
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

// Sets the weight of draining and unlisted VMs to 0 and distributes it to the others.
void answer_weights::remove_draining_and_unlisted(time_point now,
                                                  const std::vector<vm_state>& vms)
{
    std::set<vm_id> serving;
    for (const vm_state& each : vms)
    {
        if (!each.draining)
        {
            serving.insert(each.vm);
        }
    }
    double removed = 0;
    double remaining = 0;
    for (auto& [vm, each] : this->entries)
    {
        (serving.contains(vm) ? remaining : removed) += each.weight;
        each.weight = serving.contains(vm) ? each.weight : 0;
    }
    if (remaining > 0)
    {
        for (auto& [vm, each] : this->entries)
        {
            each.weight /= remaining;
        }
    }
    std::set<vm_id> present;
    for (const vm_state& each : vms)
    {
        present.insert(each.vm);
    }
    std::erase_if(this->entries,
                  [&](const auto& each) { return !present.contains(each.first); });
    this->record_move(now, removed);
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
    const auto target = [&](const entry& vm_entry)
    {
        return vm_entry.draining ? 0 : vm_entry.headroom / total_headroom;
    };
    double distance = 0;
    for (const auto& [vm, each] : this->entries)
    {
        distance += std::max(target(each) - each.weight, 0.0);
    }
    // The rate of updates varies, so the gain refers to one TTL.
    const double elapsed_ttls =
        this->last_update ? static_cast<double>((now - *this->last_update).count()) /
                                static_cast<double>(this->options.ttl.count())
                          : 1;
    const double damped_amount =
        distance * this->options.gain * std::clamp(elapsed_ttls, 0.0, 1.0);
    const double remaining_step =
        std::max(this->options.max_step - this->moved_weight(now), 0.0);
    const double amount = std::min(damped_amount, remaining_step);
    if (distance <= 0 || amount <= 0)
    {
        return;
    }
    for (auto& [vm, each] : this->entries)
    {
        each.weight += (target(each) - each.weight) * amount / distance;
    }
    this->record_move(now, amount);
}

vm_answer answer_weights::answer()
{
    vm_answer current;
    for (const auto& [vm, each] : this->entries)
    {
        if (each.weight > 0)
        {
            current.vms.push_back({vm, each.address, each.weight});
        }
    }
    if (current.vms.empty())
    {
        for (const auto& [vm, each] : this->entries)
        {
            const double equal_weight = 1.0 / static_cast<double>(this->entries.size());
            current.vms.push_back({vm, each.address, equal_weight});
        }
    }
    std::uniform_real_distribution<double> jitter(1 - this->options.jitter,
                                                  1 + this->options.jitter);
    current.ttl = duration(static_cast<duration::rep>(
        static_cast<double>(this->options.ttl.count()) * jitter(this->random)));
    return current;
}

} // namespace pistachiospan::lookup
