#include "pistachiospan/daemon/internal/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace pistachiospan::daemon::internal
{

namespace
{

// Upper bounds of the latency histogram, in seconds.
const prometheus::Histogram::BucketBoundaries latency_bounds{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

constexpr double microseconds_per_second = 1e6;

} // namespace

metrics::metrics()
    : answered(prometheus::BuildCounter()
                   .Name("pistachiospan_answers_total")
                   .Help("Requests answered by an upstream, by route")
                   .Register(this->registry)),
      refused(prometheus::BuildCounter()
                  .Name("pistachiospan_refusals_total")
                  .Help("Requests refused, by code and whether they may have run")
                  .Register(this->registry)),
      retries(prometheus::BuildCounter()
                  .Name("pistachiospan_retries_total")
                  .Help("Attempts beyond the first, by route")
                  .Register(this->registry)),
      latency(prometheus::BuildHistogram()
                  .Name("pistachiospan_latency_seconds")
                  .Help("Time from the complete request to the complete answer, by route")
                  .Register(this->registry)),
      state(prometheus::BuildGauge()
                .Name("pistachiospan_state")
                .Help("State of the daemon, by name")
                .Register(this->registry))
{
}

metrics::route_series& metrics::series_of(const std::string& route)
{
    const auto found = this->routes.find(route);
    if (found != this->routes.end())
        return found->second;
    const route_series series{&this->answered.Add({{"route", route}}),
                              &this->latency.Add({{"route", route}}, latency_bounds)};
    return this->routes[route] = series;
}

void metrics::count(const entry::decision_record& record)
{
    if (record.attempts > 1)
        this->retries.Add({{"route", record.route}}).Increment(record.attempts - 1);
    if (record.code != entry::refusal_code::none)
    {
        const char* run =
            record.execution == entry::execution_state::not_executed ? "no" : "unknown";
        this->refused
            .Add({{"code", std::string(entry::name_of(record.code))}, {"ran", run}})
            .Increment();
        return;
    }
    route_series& series = this->series_of(record.route);
    series.answered->Increment();
    series.latency->Observe(static_cast<double>(record.total.count()) /
                            microseconds_per_second);
}

void metrics::set_gauge(const std::string& name, double value)
{
    this->state.Add({{"name", name}}).Set(value);
}

std::string metrics::render(const entry::node& node, time_point now,
                            const peer_traffic& traffic)
{
    const entry::node_status status = node.status(now);
    const auto as_double = [](auto value)
    {
        return static_cast<double>(value);
    };
    this->set_gauge("active_version", as_double(status.active_version));
    this->set_gauge("held_version", as_double(status.held_version));
    this->set_gauge("ready", status.ready ? 1 : 0);
    this->set_gauge("draining", status.draining ? 1 : 0);
    this->set_gauge("rate_shares", as_double(status.rate_shares));
    this->set_gauge("slot_shares", as_double(status.slot_shares));
    this->set_gauge("primary_shards", as_double(status.primary_shards));
    this->set_gauge("live_peers", as_double(status.live_peers));
    this->set_gauge("in_progress", as_double(status.in_progress));
    if (status.confirmation_age)
        this->set_gauge("confirmation_age_seconds",
                        as_double(status.confirmation_age->count()) /
                            microseconds_per_second);
    this->set_gauge("peer_messages_sent", as_double(traffic.messages_sent));
    this->set_gauge("peer_bytes_sent", as_double(traffic.bytes_sent));
    this->set_gauge("peer_messages_received", as_double(traffic.messages_received));
    this->set_gauge("peer_bytes_received", as_double(traffic.bytes_received));
    this->set_gauge("peer_messages_refused", as_double(traffic.rejected));
    return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace pistachiospan::daemon::internal
