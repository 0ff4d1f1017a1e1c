// Prometheus metrics of one entry daemon.

#ifndef PISTACHIOSPAN_DAEMON_INTERNAL_METRICS_HPP
#define PISTACHIOSPAN_DAEMON_INTERNAL_METRICS_HPP

#include "pistachiospan/daemon/internal/peer_links.hpp"
#include "pistachiospan/entry/node.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace pistachiospan::daemon::internal
{

class metrics
{
public:
    metrics();

    // Counts one finished request.
    void count(const entry::decision_record& record);

    // Sets the gauges from `node` and `traffic` and returns all metrics in the Prometheus
    // text format.
    std::string render(const entry::node& node, time_point now,
                       const peer_traffic& traffic);

private:
    struct route_series
    {
        prometheus::Counter* answered;
        prometheus::Histogram* latency;
    };

    // The series of a route, created on first use.
    route_series& series_of(const std::string& route);
    void set_gauge(const std::string& name, double value);

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& answered;
    prometheus::Family<prometheus::Counter>& refused;
    prometheus::Family<prometheus::Counter>& retries;
    prometheus::Family<prometheus::Histogram>& latency;
    prometheus::Family<prometheus::Gauge>& state;
    std::map<std::string, route_series> routes;
};

} // namespace pistachiospan::daemon::internal

#endif
