// The directory, readiness and metrics of the daemon.

#include "pistachiospan/edge/internal/implementation.hpp"

namespace pistachiospan::edge
{

using event_loop::monotonic_now;

bool edge_daemon::implementation::ready() const
{
    return this->core.requests().active() != nullptr &&
           this->tables.copy(table::upstreams).loaded() && !this->stopping;
}

void edge_daemon::implementation::answer_directory(http1::exchange_id id,
                                                   const http1::request& request)
{
    http1::server& server = *this->directory_server;
    const std::optional<location> caller = this->codec.decode_directory(request);
    if (!caller)
    {
        server.respond(id, {.status = 404});
        return;
    }
    const std::vector<std::string> addresses = this->core.fleet().addresses_for(
        monotonic_now(), caller->region, caller->data_centre);
    if (addresses.empty())
        server.respond(id, {.status = 503});
    else
        server.respond(
            id, this->codec.encode_directory(addresses, this->options.directory_ttl));
}

void edge_daemon::implementation::answer_readiness(http1::exchange_id id,
                                                   const http1::request& request)
{
    http1::server& server = *this->readiness_server;
    if (this->codec.is_readiness(request))
        server.respond(id, {.status = this->ready() ? 200 : 503});
    else
        server.respond(id, {.status = 404});
}

void edge_daemon::implementation::answer_metrics(http1::exchange_id id,
                                                 const http1::request&)
{
    const configuration::state* active = this->core.requests().active();
    const gateway::counts totals = this->core.requests().totals();
    const auto set = [this](const std::string& name, auto value)
    {
        this->metrics.set(name, static_cast<double>(value));
    };
    set("configuration_version", active == nullptr ? 0 : active->version());
    set("requests_pending", totals.pending);
    set("attempts", totals.attempts);
    set("retries", totals.retries);
    set("coordinates", this->core.fleet().role() == cell::role::coordinator ? 1 : 0);
    set("limited_attempts", totals.limited_attempts);
    set("limit_refusals", totals.limit_refusals);
    set("upstreams", this->core.upstreams().size());
    set("upstream_loads_told", this->core.upstreams().told_loads(monotonic_now()));
    set("upstream_limits_lowered",
        this->core.upstreams().lowered_limits(monotonic_now()));
    set("limited_upstreams", this->core.upstreams().limited_upstreams().size());
    set("upstreams_reachable",
        this->core.upstreams().is_cut_off(monotonic_now()) ? 0 : 1);
    set("forwarded_pending", this->forwarded.size());
    set("quarantined_requests", this->core.requests().suspects().quarantined_count());
    set("upstream_connections_opened", this->upstream_client.connections_opened());
    set("caller_connections", this->callers.connections());
    const http1::pipelining_counts pipelined = this->callers.pipelining();
    set("overlapped_requests", pipelined.overlapped);
    set("held_requests", pipelined.held);
    set("paused_callers", pipelined.pauses);
    set("most_unanswered_of_a_caller", pipelined.most_unanswered);
    const std::uint64_t position = this->tables.copy(table::upstreams).position();
    set("store_position", store_version::number_of(position));
    set("store_generation", store_version::generation_of(position));
    set("log_lines_left_out", this->events.suppressed_lines());
    set("log_lines_lost", this->events.dropped_lines());
    this->metrics.set_retries(this->core.requests().retry_totals(monotonic_now()));
    this->metrics.set_admission(this->core.admission_views(monotonic_now()));
    this->metrics_server->respond(
        id, {.status = 200,
             .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
             .body = this->metrics.render()});
}

} // namespace pistachiospan::edge
