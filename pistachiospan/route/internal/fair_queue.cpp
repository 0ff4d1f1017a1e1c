#include "pistachiospan/route/internal/fair_queue.hpp"

#include <algorithm>

namespace pistachiospan::route::internal
{

namespace
{

// Idle flows are forgotten above this number.
constexpr std::size_t max_flows = 4096;

} // namespace

const std::string& fair_queue::flow_name(const std::string& account) const
{
    static const std::string all;
    return this->by_account ? account : all;
}

fair_queue::flow& fair_queue::flow_of(const std::string& account, std::uint32_t weight)
{
    if (this->flows.size() > max_flows)
    {
        this->forget_idle_flows();
    }
    const std::string& name = this->flow_name(account);
    flow& found = this->flows[name];
    found.name = name;
    found.weight = std::max<std::uint32_t>(weight, 1);
    return found;
}

void fair_queue::forget_idle_flows()
{
    std::erase_if(this->flows,
                  [this](const auto& entry) {
                      return entry.second.size() == 0 &&
                             entry.second.finish <= this->virtual_time;
                  });
}

std::uint64_t fair_queue::front_sequence(const flow& target)
{
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    for (const auto& lane : target.lanes)
    {
        lowest = lane.empty() ? lowest : std::min(lowest, lane.front().sequence);
    }
    return lowest;
}

void fair_queue::activate(flow& target)
{
    if (target.size() > 0)
    {
        this->active[{target.start, front_sequence(target)}] = &target;
    }
}

void fair_queue::deactivate(flow& target)
{
    if (target.size() > 0)
    {
        this->active.erase({target.start, front_sequence(target)});
    }
}

void fair_queue::push(request incoming, std::uint32_t weight, bool large)
{
    flow& target = this->flow_of(incoming.account, weight);
    if (target.size() == 0)
    {
        target.start = std::max(this->virtual_time, target.finish);
    }
    this->deactivate(target);
    target.bytes += incoming.body_size;
    this->flow_by_id[incoming.id] = &target;
    target.lanes[large ? 1 : 0].push_back({.incoming = std::move(incoming),
                                           .sequence = this->next_sequence++,
                                           .large = large});
    this->activate(target);
}

std::optional<request> fair_queue::remove(request_id id)
{
    const auto found = this->flow_by_id.find(id);
    if (found == this->flow_by_id.end())
    {
        return std::nullopt;
    }
    std::optional<request> removed;
    flow& target = *found->second;
    this->deactivate(target);
    for (auto& lane : target.lanes)
    {
        const auto found = std::find_if(lane.begin(), lane.end(),
                                        [id](const waiting_request& waiting)
                                        { return waiting.incoming.id == id; });
        if (found != lane.end())
        {
            target.bytes -= found->incoming.body_size;
            removed = std::move(found->incoming);
            lane.erase(found);
        }
    }
    this->flow_by_id.erase(found);
    this->activate(target);
    return removed;
}

std::size_t fair_queue::waiting_count(const std::string& account) const
{
    const auto found = this->flows.find(this->flow_name(account));
    return found == this->flows.end() ? 0 : found->second.size();
}

std::uint64_t fair_queue::waiting_bytes(const std::string& account) const
{
    const auto found = this->flows.find(this->flow_name(account));
    return found == this->flows.end() ? 0 : found->second.bytes;
}

void fair_queue::charge(const std::string& account, std::uint32_t weight)
{
    flow& target = this->flow_of(account, weight);
    const bool waits = target.size() > 0;
    this->deactivate(target);
    target.start = waits ? target.start : std::max(this->virtual_time, target.finish);
    this->virtual_time = std::max(this->virtual_time, target.start);
    target.finish = target.start + 1 / target.weight;
    target.start = target.finish;
    this->activate(target);
}

double fair_queue::count_ahead(const std::string& account, std::uint32_t weight) const
{
    const std::string& name = this->flow_name(account);
    const double own_weight = std::max<std::uint32_t>(weight, 1);
    const auto own = static_cast<double>(this->waiting_count(account));
    double sum = own;
    for (const auto& [key, other] : this->active)
    {
        if (other->name != name)
        {
            sum += std::min(static_cast<double>(other->size()),
                            (own + 1) * other->weight / own_weight);
        }
    }
    return sum;
}

bool fair_queue::offer(flow& target, const std::function<bool(const request&)>& try_take)
{
    const bool large_first = !target.lanes[1].empty() &&
                             front_sequence(target) == target.lanes[1].front().sequence;
    for (const bool large : {large_first, !large_first})
    {
        auto& lane = target.lanes[large ? 1 : 0];
        if (lane.empty() || !try_take(lane.front().incoming))
        {
            continue;
        }
        this->deactivate(target);
        this->flow_by_id.erase(lane.front().incoming.id);
        target.bytes -= lane.front().incoming.body_size;
        lane.pop_front();
        this->virtual_time = std::max(this->virtual_time, target.start);
        target.finish = target.start + 1 / target.weight;
        target.start = target.finish;
        this->activate(target);
        return true;
    }
    return false;
}

bool fair_queue::serve(const std::function<bool(const request&)>& try_take)
{
    for (const auto& [key, candidate] : this->active)
    {
        // offer() changes `active` only when it returns true, which ends the loop.
        if (this->offer(*candidate, try_take))
        {
            return true;
        }
    }
    return false;
}

std::vector<request>
fair_queue::remove_if(const std::function<bool(const request&, double ahead)>& drop)
{
    std::vector<request> removed;
    double total_weight = 0;
    for (const auto& [key, each] : this->active)
    {
        total_weight += each->weight;
    }
    for (const auto& [key, each] : this->active)
    {
        for (const auto& lane : each->lanes)
        {
            double position = 0;
            for (const waiting_request& waiting : lane)
            {
                const double ahead =
                    std::min(position * total_weight / each->weight,
                             static_cast<double>(this->flow_by_id.size()));
                if (drop(waiting.incoming, ahead))
                {
                    removed.push_back(waiting.incoming);
                    continue;
                }
                position += 1;
            }
        }
    }
    for (const request& each : removed)
    {
        this->remove(each.id);
    }
    return removed;
}

} // namespace pistachiospan::route::internal
