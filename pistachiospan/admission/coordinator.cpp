#include "pistachiospan/admission/admission.hpp"

#include <algorithm>

namespace pistachiospan::admission
{

namespace
{

// Decisions are made again after this time at the earliest, however many members ask.
constexpr duration decision_interval = std::chrono::milliseconds(250);

} // namespace

coordinator::coordinator(coordinator_options options) : options(options) {}

void coordinator::observe(time_point now, const std::string& member,
                          std::span<const service_report> reports)
{
    this->members[member] = {.at = now, .services = {reports.begin(), reports.end()}};
    this->is_changed = true;
}

// Divides the room of each service that a member reports. The sums are computed anew from
// the last report of each member, so that lost and repeated ones leave no trace.
void coordinator::decide(time_point now)
{
    this->decided_at = now;
    this->is_changed = false;
    std::erase_if(this->members, [&](const auto& each)
                  { return now - each.second.at > this->options.report_lifetime; });
    struct service_sums
    {
        room_figures room;
        std::map<flow_key, flow_demand> flows; // cost: requests per second
    };
    std::map<std::uint32_t, service_sums> sums;
    for (const auto& [name, member] : this->members)
        for (const service_report& each : member.services)
        {
            service_sums& sum = sums[each.service];
            sum.room.placed += each.room.placed;
            sum.room.failed += each.room.failed;
            sum.room.late += each.room.late;
            sum.room.usual += each.room.usual;
            for (const flow_demand& own : each.flows)
            {
                flow_demand& flow = sum.flows[own.key];
                flow.key = own.key;
                flow.demand += own.demand;
                flow.cost += own.cost > 0 ? own.demand / own.cost : 0;
            }
        }
    std::erase_if(this->decisions,
                  [&sums](const auto& each) { return !sums.contains(each.first); });
    for (auto& [id, sum] : sums)
    {
        std::vector<flow_demand> flows;
        double demand = 0;
        for (const auto& [key, each] : sum.flows)
        {
            demand += each.demand;
            flows.push_back(each);
            flows.back().cost = each.cost > 0 ? each.demand / each.cost : 0;
        }
        const auto [found, is_new] = this->decisions.try_emplace(id);
        service_decision& decision = found->second;
        decision.estimate.update(now, sum.room, demand, true);
        if (is_new)
            decision.estimate.start_from(sum.room.usual);
        const double room = decision.estimate.room();
        const internal::division divided = internal::divide(room, flows);
        decision.news = {.service = id,
                         .is_restricted = divided.is_restricted,
                         .level = divided.level,
                         .share = divided.share,
                         .room = room};
        for (std::size_t at = 0; at < flows.size(); ++at)
            decision.news.flows.push_back(
                {.key = flows[at].key,
                 .fraction = flows[at].demand > 0
                                 ? std::min(divided.allotted[at] / flows[at].demand, 1.0)
                                 : 1});
    }
}

std::vector<service_news> coordinator::news_for(time_point now, const std::string& member)
{
    if (this->is_changed ? now - this->decided_at >= decision_interval
                         : now - this->decided_at > this->options.report_lifetime)
        this->decide(now);
    const auto reported = this->members.find(member);
    std::vector<service_news> all;
    for (const auto& [id, decision] : this->decisions)
    {
        if (!decision.estimate.is_short())
            continue;
        service_news own = decision.news;
        own.flows.clear();
        if (reported != this->members.end())
            for (const service_report& report : reported->second.services)
                if (report.service == id)
                    for (const passing_flow& each : decision.news.flows)
                        if (std::ranges::find(report.flows, each.key,
                                              &flow_demand::key) != report.flows.end())
                            own.flows.push_back(each);
        all.push_back(std::move(own));
    }
    return all;
}

} // namespace pistachiospan::admission
