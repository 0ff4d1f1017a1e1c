#include "pistachiospan/edge/internal/metrics.hpp"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>

namespace pistachiospan::edge::internal
{

namespace
{

// Routes that have their own histogram; further ones share the label "other".
constexpr std::size_t max_routes = 64;

// Statuses with which upstreams refuse requests; others share the label "other".
std::string status_label(int status)
{
    static constexpr std::array<int, 5> statuses = {400, 408, 421, 429, 503};
    return std::ranges::find(statuses, status) == statuses.end() ? "other"
                                                                 : std::to_string(status);
}

prometheus::Histogram::BucketBoundaries latency_buckets()
{
    return {0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4}; // seconds
}

} // namespace

metrics::metrics()
    : requests(prometheus::BuildCounter()
                   .Name("pistachiospan_requests_total")
                   .Help("Decisions on requests by event and reason")
                   .Register(this->registry)),
      latency(prometheus::BuildHistogram()
                  .Name("pistachiospan_request_seconds")
                  .Help("Time to the answer of an upstream by route")
                  .Register(this->registry)),
      reads(prometheus::BuildCounter()
                .Name("pistachiospan_table_reads_total")
                .Help("Reads of the store's tables by table, source and outcome")
                .Register(this->registry)),
      upstream_refusals(prometheus::BuildCounter()
                            .Name("pistachiospan_upstream_refusals_total")
                            .Help("Refusals of upstreams as not run by status, header, "
                                  "request id and connection")
                            .Register(this->registry)),
      pauses(prometheus::BuildCounter()
                 .Name("pistachiospan_upstream_pauses_total")
                 .Help("Refusals in which an upstream asked for no work for a while")
                 .Register(this->registry)
                 .Add({})),
      limits(prometheus::BuildCounter()
                 .Name("pistachiospan_upstream_limits_total")
                 .Help("Changes of the request limits that upstreams name")
                 .Register(this->registry)
                 .Add({})),
      restarts(prometheus::BuildCounter()
                   .Name("pistachiospan_suspected_restarts_total")
                   .Help("Changes of the suspicion that an upstream has restarted")
                   .Register(this->registry)),
      unreadable_entries(prometheus::BuildCounter()
                             .Name("pistachiospan_unreadable_entries_total")
                             .Help("Entries of the registry that name no upstream")
                             .Register(this->registry)
                             .Add({})),
      gauges(prometheus::BuildGauge()
                 .Name("pistachiospan_state")
                 .Help("Present state of the daemon by name")
                 .Register(this->registry)),
      retries(prometheus::BuildGauge()
                  .Name("pistachiospan_retries")
                  .Help("Retries by service: sent, denied by the budget, permitted now")
                  .Register(this->registry)),
      admission(prometheus::BuildGauge()
                    .Name("pistachiospan_admission")
                    .Help("Admission by service: whether room is short, level and share "
                          "that pass, room, demand, refused requests")
                    .Register(this->registry))
{
}

prometheus::Histogram& metrics::latency_of(const std::string& route)
{
    const bool known = this->by_route.contains(route);
    const std::string name =
        known || this->by_route.size() < max_routes ? route : "other";
    prometheus::Histogram*& histogram = this->by_route[name];
    if (histogram == nullptr)
        histogram = &this->latency.Add({{"route", name}}, latency_buckets());
    return *histogram;
}

void metrics::count(const gateway::record& decision)
{
    this->requests
        .Add({{"event", std::string(decision.event)},
              {"reason", std::string(gateway::name_of(decision.reason))}})
        .Increment();
    if (decision.event == "answered")
        this->latency_of(decision.route)
            .Observe(std::chrono::duration<double>(decision.elapsed).count());
}

void metrics::count_read(std::string_view table, bool from_store, bool succeeded)
{
    this->reads
        .Add({{"table", std::string(table)},
              {"source", from_store ? "store" : "vm"},
              {"outcome", succeeded ? "good" : "failed"}})
        .Increment();
}

void metrics::count_upstream_refusal(const gateway::refusal_evidence& evidence)
{
    this->upstream_refusals
        .Add({{"status", status_label(evidence.status)},
              {"header", evidence.has_header ? "yes" : "no"},
              {"request_id", evidence.has_request_id ? "yes" : "no"},
              {"connection", evidence.is_first_answer ? "new" : "kept"}})
        .Increment();
}

void metrics::count(const steering::upstream_event& event)
{
    switch (event.change)
    {
    case steering::upstream_change::paused:
        this->pauses.Increment();
        return;
    case steering::upstream_change::leaving:
        return;
    case steering::upstream_change::limited:
    case steering::upstream_change::limit_ended:
        this->limits.Increment();
        return;
    case steering::upstream_change::restart_suspected:
        this->restarts.Add({{"change", "suspected"}}).Increment();
        return;
    case steering::upstream_change::restart_accepted:
        this->restarts.Add({{"change", "accepted"}}).Increment();
        return;
    case steering::upstream_change::restart_refuted:
        this->restarts.Add({{"change", "refuted"}}).Increment();
        return;
    }
}

void metrics::count_unreadable_entry()
{
    this->unreadable_entries.Increment();
}

void metrics::set(const std::string& name, double value)
{
    this->gauges.Add({{"name", name}}).Set(value);
}

void metrics::set_retries(const std::map<std::string, gateway::retry_counts>& by_service)
{
    for (const auto& [service, counts] : by_service)
    {
        const auto set = [this, &service = service](const char* name, double value)
        {
            this->retries.Add({{"service", service}, {"name", name}}).Set(value);
        };
        set("sent", static_cast<double>(counts.sent));
        set("denied", static_cast<double>(counts.denied));
        set("credit", counts.credit);
    }
}

void metrics::set_admission(std::span<const admission::service_view> services)
{
    for (const admission::service_view& each : services)
    {
        const auto set = [this, &each](const char* name, double value)
        {
            this->admission.Add({{"service", each.service}, {"name", name}}).Set(value);
        };
        set("short", each.is_short ? 1 : 0);
        set("told", each.is_told ? 1 : 0);
        set("level", each.level);
        set("share", each.share);
        set("room", each.room);
        set("demand", each.demand);
        set("refused", static_cast<double>(each.refused));
    }
}

std::string metrics::render()
{
    return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace pistachiospan::edge::internal
