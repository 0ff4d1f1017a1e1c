// Prometheus metrics of one edge daemon. The number of label values is bounded: they come
// from the configuration and from fixed lists.

#ifndef PISTACHIOSPAN_EDGE_INTERNAL_METRICS_HPP
#define PISTACHIOSPAN_EDGE_INTERNAL_METRICS_HPP

#include "pistachiospan/gateway/gateway.hpp"
#include "pistachiospan/steering/steering.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>

namespace pistachiospan::edge::internal
{

class metrics
{
public:
    metrics();

    // Counts the decision on a request and, if it was answered, its latency.
    void count(const gateway::record& decision);
    // Counts a read of a table, from the store or from another VM.
    void count_read(std::string_view table, bool from_store, bool succeeded);
    // Counts a refusal of an upstream by what shows that it has not run the request.
    void count_upstream_refusal(const gateway::refusal_evidence& evidence);
    // Counts a change of an upstream: a requested pause, a change of the limit that it
    // names, or of the suspicion that it has restarted.
    void count(const steering::upstream_event& event);
    // Counts an entry of the registry that names no upstream.
    void count_unreadable_entry();
    // Sets the gauge of this name.
    void set(const std::string& name, double value);
    // By service.
    void set_retries(const std::map<std::string, gateway::retry_counts>& by_service);
    void set_admission(std::span<const admission::service_view> services);

    // All metrics in the Prometheus text format.
    std::string render();

private:
    prometheus::Histogram& latency_of(const std::string& route);

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Histogram>& latency;
    prometheus::Family<prometheus::Counter>& reads;
    prometheus::Family<prometheus::Counter>& upstream_refusals;
    prometheus::Counter& pauses;
    prometheus::Counter& limits;
    prometheus::Family<prometheus::Counter>& restarts;
    prometheus::Counter& unreadable_entries;
    prometheus::Family<prometheus::Gauge>& gauges;
    prometheus::Family<prometheus::Gauge>& retries;
    prometheus::Family<prometheus::Gauge>& admission;
    std::map<std::string, prometheus::Histogram*> by_route;
};

} // namespace pistachiospan::edge::internal

#endif
