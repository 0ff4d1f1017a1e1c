#include "standin/load/directory.hpp"

#include <algorithm>
#include <set>

namespace pistachiospan::standin
{

namespace
{

// Look-ups are repeated no sooner than this after a failure.
constexpr duration retry_pause = std::chrono::milliseconds(100);

} // namespace

void from_json(const nlohmann::json& in, lookup_answer& value)
{
    in.at("route").get_to(value.route);
    in.at("ttl_ms").get_to(value.ttl_ms);
    value.idempotency_key_prefix = in.value("idempotency_key_prefix", "");
    value.entry_vms.clear();
    for (const nlohmann::json& each : in.at("entry_vms"))
        value.entry_vms.push_back({.vm = each.at("vm").get<std::string>(),
                                   .address = each.at("address").get<std::string>(),
                                   .weight = each.at("weight").get<double>()});
}

std::string lookup_target(const std::string& route)
{
    return "/.well-known/pistachiospan/lookup?route=" + route;
}

bool directory::is_due(const std::string& route, time_point now)
{
    cached& entry = this->routes[route];
    const bool is_fresh = entry.expires && now < *entry.expires;
    if (entry.is_pending || is_fresh || now < entry.retry_at)
        return false;
    entry.is_pending = true;
    return true;
}

result<bool> directory::learn(const std::string& route, std::string_view text,
                              time_point now)
{
    lookup_answer answer;
    try
    {
        answer = nlohmann::json::parse(text).get<lookup_answer>();
    }
    catch (const nlohmann::json::exception& problem)
    {
        this->fail(route, now);
        return failure(errc::invalid_argument, std::string("malformed look-up answer: ") +
                                                   problem.what() +
                                                   "; check the entry daemon");
    }
    if (answer.route != route || answer.entry_vms.empty())
    {
        this->fail(route, now);
        return failure(errc::invalid_argument, "look-up answer without VMs for route " +
                                                   route + "; check the entry daemon");
    }
    cached& entry = this->routes[route];
    entry.expires = now + std::chrono::milliseconds(answer.ttl_ms);
    entry.answer = std::move(answer);
    entry.is_pending = false;
    entry.has_failed = false;
    return true;
}

void directory::fail(const std::string& route, time_point now)
{
    cached& entry = this->routes[route];
    entry.is_pending = false;
    entry.has_failed = true;
    entry.retry_at = now + retry_pause;
    ++this->failed_count;
}

bool directory::is_usable(const std::string& route, time_point now) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end() || !found->second.expires)
        return false;
    return now < *found->second.expires || found->second.has_failed;
}

std::optional<entry_vm> directory::pick(const std::string& route,
                                        const std::string& excluded,
                                        random_engine& random)
{
    const std::vector<entry_vm>& vms = this->routes[route].answer.entry_vms;
    if (vms.empty())
        return std::nullopt;
    std::vector<double> weights(vms.size());
    const auto weigh = [&](const std::string& without)
    {
        std::ranges::transform(
            vms, weights.begin(),
            [&](const entry_vm& each)
            { return each.address == without ? 0 : std::max(each.weight, 0.0); });
        return std::ranges::any_of(weights, [](double weight) { return weight > 0; });
    };
    // The excluded VM is better than none, and so is one without weight.
    if (!weigh(excluded) && !weigh(""))
        weights.assign(vms.size(), 1);
    return vms[std::discrete_distribution<std::size_t>(weights.begin(),
                                                       weights.end())(random)];
}

const std::string& directory::key_prefix(const std::string& route)
{
    return this->routes[route].answer.idempotency_key_prefix;
}

std::vector<std::string> directory::addresses() const
{
    std::set<std::string> found;
    for (const auto& [route, entry] : this->routes)
        for (const entry_vm& each : entry.answer.entry_vms)
            found.insert(each.address);
    return {found.begin(), found.end()};
}

} // namespace pistachiospan::standin
