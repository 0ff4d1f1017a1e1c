#include "pistachiospan/capacity/capacity.hpp"

#include <algorithm>

namespace pistachiospan::capacity
{

namespace
{

// The newer report; of two of the same age the higher one, so that the result does not
// depend on the order.
void keep_newer(std::optional<reported_load>& into, const reported_load& other)
{
    const auto rank = [](const reported_load& each)
    {
        return std::pair(-each.age.count(), each.requests);
    };
    if (!into || rank(*into) < rank(other))
        into = other;
}

// Adds the load of the same upstream. `age` becomes the mean age of the requests.
void add(upstream_load& into, const upstream_load& other)
{
    const std::uint32_t total = into.requests + other.requests;
    if (total > 0)
        into.age = (into.age * into.requests + other.age * other.requests) / total;
    into.requests = total;
    if (other.reported)
        keep_newer(into.reported, *other.reported);
}

upstream_load estimate_of(const upstream_load& sum)
{
    if (sum.reported && (sum.requests == 0 || sum.reported->age < sum.age))
        return {.upstream = sum.upstream,
                .requests = sum.reported->requests,
                .age = sum.reported->age};
    return {.upstream = sum.upstream, .requests = sum.requests, .age = sum.age};
}

} // namespace

bool load_sums::merge(time_point now, const std::string& sender,
                      const load_message& message)
{
    if (message.scope == scope::fleet)
        return false;
    const auto known = this->parts.find(sender);
    if (known != this->parts.end() && known->second.process == message.process &&
        known->second.sequence >= message.sequence)
        return false;
    this->parts[sender] = {.scope = message.scope,
                           .process = message.process,
                           .sequence = message.sequence,
                           .received_at = now,
                           .loads = message.loads};
    return true;
}

void load_sums::set_own(time_point now, std::vector<upstream_load> loads)
{
    this->parts[std::string()] = {.received_at = now, .loads = std::move(loads)};
}

std::vector<upstream_load> load_sums::sum(time_point now, bool all) const
{
    std::vector<upstream_load> loads;
    for (const auto& [sender, part] : this->parts)
    {
        const duration age = now - part.received_at;
        const bool is_here = part.scope == scope::vm;
        if (age > this->options.retention || (!is_here && !all))
            continue;
        for (upstream_load each : part.loads)
        {
            each.age = age + (is_here ? duration(0) : this->options.data_centre_age);
            if (each.reported)
                each.reported->age += age;
            loads.push_back(each);
        }
    }
    // A total order, so that the mean age does not depend on the names of the senders.
    std::ranges::sort(loads, {},
                      [](const upstream_load& each)
                      { return std::tuple(each.upstream, each.age, each.requests); });
    std::vector<upstream_load> sums;
    for (const upstream_load& each : loads)
        if (!sums.empty() && sums.back().upstream == each.upstream)
            add(sums.back(), each);
        else
            sums.push_back(each);
    return sums;
}

std::vector<upstream_load> load_sums::data_centre_loads(time_point now) const
{
    return this->sum(now, false);
}

std::vector<upstream_load> load_sums::estimates(time_point now) const
{
    std::vector<upstream_load> estimates;
    for (const upstream_load& each : this->sum(now, true))
        if (const upstream_load estimate = estimate_of(each); estimate.requests > 0)
            estimates.push_back(estimate);
    return estimates;
}

void load_sums::forget_silent(time_point now)
{
    std::erase_if(this->parts, [&](const auto& each)
                  { return now - each.second.received_at > this->options.retention; });
}

} // namespace pistachiospan::capacity
