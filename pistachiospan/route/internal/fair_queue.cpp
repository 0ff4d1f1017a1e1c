#include "pistachiospan/route/internal/fair_queue.hpp"

#include <algorithm>

namespace pistachiospan::route::internal
{

namespace
{

// Idle flows are forgotten above this number.
constexpr std::size_t kept_flows = 4096;

} // namespace

const std::string& fair_queue::flow_name(const std::string& account) const
{
    static const std::string all;
    return this->by_account ? account : all;
}

fair_queue::flow& fair_queue::flow_of(const std::string& account, std::uint32_t weight)
{
    if (this->flows.size() > kept_flows)
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

std::uint64_t fair_queue::front_sequence(const flow& of)
{
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    for (const auto& lane : of.lanes)
    {
        lowest = lane.empty() ? lowest : std::min(lowest, lane.front().sequence);
    }
    return lowest;
}

void fair_queue::activate(flow& of)
{
    if (of.size() > 0)
    {
        this->active[{of.start, front_sequence(of)}] = &of;
    }
}

void fair_queue::deactivate(flow& of)
{
    if (of.size() > 0)
    {
        this->active.erase({of.start, front_sequence(of)});
    }
}

void fair_queue::push(request asked, std::uint32_t weight, bool large)
{
    flow& to = this->flow_of(asked.account, weight);
    if (to.size() == 0)
    {
        to.start = std::max(this->virtual_time, to.finish);
    }
    this->deactivate(to);
    to.bytes += asked.body_size;
    this->places[asked.id] = &to;
    to.lanes[large ? 1 : 0].push_back(
        {.asked = std::move(asked), .sequence = this->next_sequence++, .large = large});
    this->activate(to);
}

std::optional<request> fair_queue::remove(request_id id)
{
    const auto place = this->places.find(id);
    if (place == this->places.end())
    {
        return std::nullopt;
    }
    std::optional<request> removed;
    flow& of = *place->second;
    this->deactivate(of);
    for (auto& lane : of.lanes)
    {
        const auto found = std::find_if(lane.begin(), lane.end(),
                                        [id](const waiting_request& waiting)
                                        { return waiting.asked.id == id; });
        if (found != lane.end())
        {
            of.bytes -= found->asked.body_size;
            removed = std::move(found->asked);
            lane.erase(found);
        }
    }
    this->places.erase(place);
    this->activate(of);
    return removed;
}

std::size_t fair_queue::waiting_of(const std::string& account) const
{
    const auto found = this->flows.find(this->flow_name(account));
    return found == this->flows.end() ? 0 : found->second.size();
}

std::uint64_t fair_queue::bytes_of(const std::string& account) const
{
    const auto found = this->flows.find(this->flow_name(account));
    return found == this->flows.end() ? 0 : found->second.bytes;
}

void fair_queue::charge(const std::string& account, std::uint32_t weight)
{
    flow& to = this->flow_of(account, weight);
    const bool waits = to.size() > 0;
    this->deactivate(to);
    to.start = waits ? to.start : std::max(this->virtual_time, to.finish);
    this->virtual_time = std::max(this->virtual_time, to.start);
    to.finish = to.start + 1 / to.weight;
    to.start = to.finish;
    this->activate(to);
}

double fair_queue::ahead(const std::string& account, std::uint32_t weight) const
{
    const std::string& name = this->flow_name(account);
    const double own_weight = std::max<std::uint32_t>(weight, 1);
    const auto own = static_cast<double>(this->waiting_of(account));
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

bool fair_queue::offer(flow& to, const std::function<bool(const request&)>& take)
{
    const bool large_first =
        !to.lanes[1].empty() && front_sequence(to) == to.lanes[1].front().sequence;
    for (const bool large : {large_first, !large_first})
    {
        auto& lane = to.lanes[large ? 1 : 0];
        if (lane.empty() || !take(lane.front().asked))
        {
            continue;
        }
        this->deactivate(to);
        this->places.erase(lane.front().asked.id);
        to.bytes -= lane.front().asked.body_size;
        lane.pop_front();
        this->virtual_time = std::max(this->virtual_time, to.start);
        to.finish = to.start + 1 / to.weight;
        to.start = to.finish;
        this->activate(to);
        return true;
    }
    return false;
}

bool fair_queue::serve(const std::function<bool(const request&)>& take)
{
    for (const auto& [key, candidate] : this->active)
    {
        // offer() changes `active` only when it returns true, which ends the loop.
        if (this->offer(*candidate, take))
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
                const double ahead = std::min(position * total_weight / each->weight,
                                              static_cast<double>(this->places.size()));
                if (drop(waiting.asked, ahead))
                {
                    removed.push_back(waiting.asked);
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
