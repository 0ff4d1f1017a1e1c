#include "pistachiospan/steering/fair_admission.hpp"

namespace pistachiospan::steering
{

namespace
{

// First byte of a message: what the rest is. A VM whose role has just changed gets both.
constexpr char report_message = 'r';
constexpr char decisions_message = 'd';

nlohmann::ordered_json fields_of(const admission::service_view& view)
{
    return {{"service", view.service}, {"level", view.level},   {"share", view.share},
            {"room", view.room},       {"demand", view.demand}, {"told", view.is_told},
            {"refused", view.refused}};
}

} // namespace

fair_admission::fair_admission(
    std::function<void(std::string_view event, const nlohmann::ordered_json&)> given)
    : log(std::move(given)),
      local({}, {.changed =
                     [this](const admission::service_view& view)
                 {
                     this->log(view.is_short ? "room_short" : "room_enough",
                               fields_of(view));
                 }}),
      central({})
{
}

gateway::admission_hooks fair_admission::gateway_hooks()
{
    return {.decide = [this](time_point now, const admission::request& incoming)
            { return this->local.decide(now, incoming); },
            .note = [this](time_point now, const admission::request& admitted,
                           admission::outcome outcome, duration elapsed)
            { this->local.note(now, admitted, outcome, elapsed); },
            .retry_turn =
                [this](time_point now, const admission::request& failed)
            {
                return this->local.retry_turn(now, failed);
            }};
}

fleet_node::admission_hooks fair_admission::fleet_hooks()
{
    return {.report = [this](time_point now) { return this->report(now); },
            .decisions = [this](time_point now, const std::string& member)
            { return this->decisions(now, member); },
            .receive =
                [this](time_point now, const std::string& from, std::string_view bytes)
            {
                this->receive(now, from, bytes);
            }};
}

std::string fair_admission::report(time_point now)
{
    const std::vector<admission::service_report> reports = this->local.report(now);
    return reports.empty() ? std::string() : report_message + admission::encode(reports);
}

std::string fair_admission::decisions(time_point now, const std::string& member)
{
    const std::vector<admission::service_news> news = this->central.news_for(now, member);
    return news.empty() ? std::string() : decisions_message + admission::encode(news);
}

void fair_admission::receive(time_point now, const std::string& from,
                             std::string_view bytes)
{
    const auto reject = [this, &from](const std::string& problem)
    {
        this->log("admission_rejected", {{"from", from}, {"problem", problem}});
    };
    if (bytes.starts_with(report_message))
    {
        const auto reports = admission::decode_reports(bytes.substr(1));
        if (!reports)
            return reject(reports.error().message);
        this->central.observe(now, from, reports.value());
    }
    else if (bytes.starts_with(decisions_message))
    {
        const auto news = admission::decode_news(bytes.substr(1));
        if (!news)
            return reject(news.error().message);
        this->local.apply(now, news.value());
    }
    else
        reject("unknown kind of admission message; run one version on all VMs");
}

} // namespace pistachiospan::steering
