// Prometheus metrics of one edge daemon. Label values come from the configuration and
// from fixed lists, so their number is bounded.

#ifndef PISTACHIOSPAN_EDGE_INTERNAL_METRICS_HPP
#define PISTACHIOSPAN_EDGE_INTERNAL_METRICS_HPP

#include "pistachiospan/gateway/gateway.hpp"

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

    void count(const gateway::record& made);
    // A read of a table of the store, at the store or at another VM.
    void count_read(std::string_view table, bool from_store, bool good);
    // An upstream has asked for a pause.
    void count_pause();
    void set(const std::string& name, double value);

    std::string render();

private:
    prometheus::Histogram& latency_of(const std::string& route);

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Histogram>& latency;
    prometheus::Family<prometheus::Counter>& reads;
    prometheus::Counter& pauses;
    prometheus::Family<prometheus::Gauge>& gauges;
    std::map<std::string, prometheus::Histogram*> by_route;
};

} // namespace pistachiospan::edge::internal

#endif
