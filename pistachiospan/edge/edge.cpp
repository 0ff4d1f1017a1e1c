#include "pistachiospan/edge/internal/implementation.hpp"

#include <algorithm>

namespace pistachiospan::edge
{

namespace
{

using event_loop::monotonic_now;
using event_loop::wall_now;
using internal::body_memory_divisor;
using internal::fields;
using internal::to_milliseconds;

// Callers with a cached directory answer still connect after SIGTERM: the VM accepts
// their requests for this fraction of the grace period.
constexpr double accepting_fraction = 0.5;
// The process exits this long before SIGKILL.
constexpr duration exit_margin = std::chrono::milliseconds(400);
// Time for the last answers to reach their callers before the exit.
constexpr duration answer_margin = std::chrono::milliseconds(100);
constexpr duration exit_check = std::chrono::milliseconds(50);

// A starting VM that has found no VM to read tables from by then reads the store itself.
constexpr duration max_search_time = std::chrono::milliseconds(400);

// Interval at which pending token queries are repeated or abandoned.
constexpr duration token_interval = std::chrono::milliseconds(20);

// Interval of checks for overdue VMs and of the choice of the source of table reads.
constexpr duration peer_check_interval = std::chrono::milliseconds(250);
// Upper bound of the reported age of this VM's copies.
constexpr duration max_reported_staleness = std::chrono::minutes(1);

// Longest idle time after which a kept-alive connection is reused. After a longer one the
// upstream may already have closed it, and a request that must not be repeated would be
// lost; the limit for these is therefore lower.
constexpr duration max_idle_repeatable = std::chrono::seconds(4);
constexpr duration max_idle_non_repeatable = std::chrono::milliseconds(2500);

// Time for an upstream to accept a connection that only shows whether it lives.
constexpr duration connection_check_timeout = std::chrono::milliseconds(400);

// One in this many routine answers is logged.
constexpr std::uint64_t answer_sample_interval = 32;

// Increases with each start of a process on this VM.
std::uint64_t current_incarnation()
{
    return static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
}

quarantine::connection_check check_of(http1::connect_outcome outcome)
{
    switch (outcome)
    {
    case http1::connect_outcome::accepted:
        return quarantine::connection_check::accepted;
    case http1::connect_outcome::refused:
        return quarantine::connection_check::refused;
    case http1::connect_outcome::unclear:
        break;
    }
    return quarantine::connection_check::unclear;
}

} // namespace

edge_daemon::implementation::implementation(event_base* base, edge_options options,
                                            translation codec, store_access store)
    : base(base), options(std::move(options)), codec(std::move(codec)),
      store(std::move(store)), started(current_incarnation()),
      events({.vm = this->options.vm.value}),
      core(this->make_core_options(), this->make_core_hooks()),
      upstream_client(base,
                      {.correlation_header = this->codec.correlation_header,
                       .max_buffered = this->options.max_memory / body_memory_divisor,
                       .connections_ended =
                           [this](const std::string& address)
                       {
                           this->core.upstreams().note_connections_ended(monotonic_now(),
                                                                         address);
                       }}),
      vm_client(base, {.max_buffered = this->options.max_memory / body_memory_divisor}),
      callers(base, this->options.caller_address, this->make_caller_hooks()),
      peers(base, this->options.peer_address,
            {.received = [this](const std::string& from, std::string_view bytes)
             { this->core.fleet().receive(monotonic_now(), from, bytes); },
             .copy = [this](table wanted) -> const mirror::table_mirror&
             {
                 return this->tables.copy(wanted);
             }}),
      tables(base, {.instance = this->started}, this->store, this->peers,
             this->core.fleet(), this->make_store_hooks()),
      ticker(base, this->options.report_interval, [this] { this->tick(); }),
      peer_checker(base, peer_check_interval, [this] { this->check_peers(); }),
      token_timer(base,
                  [this]
                  {
                      this->core.fleet().tick_tokens(monotonic_now());
                      this->check_tokens();
                  }),
      first_check(base, [this] { this->check_peers(); }),
      table_starter(base, [this] { this->tables.start(); }),
      exit_timer(base, [this] { this->finish_when_idle(); })
{
    this->first_check.start(this->core.fleet().next_check(monotonic_now()));
    this->table_starter.start(max_search_time);
    event_loop::set_error_handler(
        [this](std::string_view problem) {
            this->log("internal_error", {{"problem", problem}});
        });
    const auto serve = [this](const std::string& address, auto answer)
    {
        if (address.empty())
            return std::unique_ptr<http1::server>();
        return std::make_unique<http1::server>(
            this->base, address,
            http1::server_hooks{.on_request = [this, answer](http1::exchange_id id,
                                                             http1::request&& request)
                                {
                                    (this->*answer)(id, request);
                                }});
    };
    this->directory_server =
        serve(this->options.directory_address, &implementation::answer_directory);
    this->readiness_server =
        serve(this->options.readiness_address, &implementation::answer_readiness);
    this->metrics_server =
        serve(this->options.metrics_address, &implementation::answer_metrics);
    this->log("started", {{"data_centre", this->options.data_centre},
                          {"callers", this->options.caller_address},
                          {"peers", this->options.peer_address}});
}

void edge_daemon::implementation::log(std::string_view event, const fields& content)
{
    this->events.write(monotonic_now(), wall_now(), event, content);
}

steering::core_options edge_daemon::implementation::make_core_options() const
{
    return {.upstreams = {.seed = hash_bytes(this->options.vm.value),
                          .data_centre = this->options.data_centre,
                          .shared_loads = this->options.features.shared_loads,
                          .learned_limits = this->options.features.learned_limits,
                          .max_region_shift = this->options.max_region_shift,
                          .replaces_lost_process = !this->options.first_start},
            .gateway = {.retry_ratio = this->options.retry_ratio,
                        .seed = hash_bytes(this->options.vm.value)},
            .fleet = {.vm = this->options.vm,
                      .started = this->started,
                      .data_centre = this->options.data_centre,
                      .places = this->options.regions,
                      .peer_address = this->options.peer_address,
                      .caller_address = this->options.caller_address,
                      .capacity = this->options.capacity},
            .fair_admission = this->options.features.fair_admission};
}

http1::server_hooks edge_daemon::implementation::make_caller_hooks()
{
    http1::server_hooks hooks{
        .on_request = [this](http1::exchange_id id, http1::request&& incoming)
        { this->handle_request(id, std::move(incoming)); },
        .on_disconnect =
            [this](http1::exchange_id id)
        {
            this->core.caller_left(monotonic_now(), id);
            this->exchanges.erase(id);
        },
        .on_pause =
            [this](const http1::pipeline_pause& pause)
        {
            this->log("caller_paused", {{"unanswered", pause.unanswered},
                                        {"waiting_bytes", pause.waiting_bytes}});
        }};
    if (this->options.features.pipelining)
        hooks.may_overlap = [this](const http1::request& incoming)
        {
            const result<gateway::caller_request> decoded =
                this->codec.decode_request(incoming);
            return decoded && this->core.requests().is_idempotent(decoded.value().host,
                                                                  decoded.value().path);
        };
    return hooks;
}

steering::core_hooks edge_daemon::implementation::make_core_hooks()
{
    return {
        .now = monotonic_now,
        .send_attempt = [this](const gateway::attempt& attempt)
        { return this->send(attempt); },
        .cancel_attempt = [this](gateway::call_id call)
        { this->upstream_client.cancel(call); },
        .identify = [this](gateway::exchange_id id, const std::string& account)
        { return this->identify(id, account); },
        .check_connection =
            [this](const upstreams::upstream_start& upstream, const std::string& address)
        { this->check_connection(upstream, address); },
        .deliver =
            [this](gateway::exchange_id id, const std::any& answer)
        {
            this->exchanges.erase(id);
            this->callers.respond(id, std::any_cast<const http1::response&>(answer));
        },
        .refuse = [this](gateway::exchange_id id, const gateway::refusal_answer& why)
        { this->refuse(id, why); },
        .forward = [this](gateway::exchange_id id, const std::string& address,
                          duration time_left) { this->forward(id, address, time_left); },
        .cancel_forward =
            [this](gateway::exchange_id id)
        {
            if (const auto call = this->forwarded.extract(id))
                this->vm_client.cancel(call.mapped());
        },
        .send_datagram =
            [this](std::string_view datagram, std::span<const std::string> addresses)
        { this->peers.send(datagram, addresses); },
        .claim =
            [this](const cell::claim& due)
        {
            this->store.claim(
                due, [this](const result<cell::claim_outcome>& outcome)
                { this->core.fleet().finish_claim(monotonic_now(), outcome); });
        },
        .read_coordinators =
            [this]
        {
            this->store.read_coordinators(
                [this](const result<std::map<std::string, std::string>>& all)
                { this->core.fleet().finish_coordinator_read(monotonic_now(), all); });
        },
        .state = [this](time_point now) { return this->current_state(now); },
        .version_received =
            [this](time_point now, const vm_id& peer, std::uint64_t version)
        { this->note_version(now, peer, version); },
        .role_changed =
            [this](cell::role next)
        {
            if (next != cell::role::searching)
                this->tables.start();
        },
        .tokens_pending = [this] { this->check_tokens(); },
        .report = [this](const gateway::record& decision) { this->record(decision); },
        .upstream_changed = [this](const steering::upstream_event& event)
        { this->log_change(event); },
        .log =
            [this](std::string_view event, const fields& content)
        {
            this->log(event, content);
        }};
}

internal::store_view_hooks edge_daemon::implementation::make_store_hooks()
{
    return {.operator_rows = {.changed = [this](const mirror::row& row)
                              { this->apply_operator_row(row); },
                              .removed = [this](const std::string&)
                              { this->apply_evacuations(0); },
                              .age_of = this->codec.age_of_operator_row},
            .upstreams = {.changed = [this](const mirror::row& row)
                          { this->apply_upstream(row); },
                          .removed = [this](const std::string& id)
                          { this->remove_upstream(id); },
                          .age_of = this->codec.age_of_upstream},
            .log = [this](std::string_view event, const fields& content)
            { this->log(event, content); },
            .read_finished =
                [this](std::string_view name, const internal::read_outcome& outcome)
            {
                this->metrics.count_read(name, outcome.from_store, outcome.succeeded);
                this->log_left();
            }};
}

void edge_daemon::implementation::handle_request(http1::exchange_id id,
                                                 http1::request&& incoming)
{
    result<gateway::caller_request> decoded = this->codec.decode_request(incoming);
    if (!decoded)
    {
        this->log("bad_request", {{"problem", decoded.error().message}});
        this->callers.respond(id, {.status = 400}, true);
        return;
    }
    const time_point now = monotonic_now();
    if (this->options.features.pipelining)
        decoded.value().waited = now - incoming.received_at;
    this->exchanges.emplace(id, std::move(incoming));
    this->core.requests().submit(now, id, std::move(decoded.value()));
}

gateway::call_id edge_daemon::implementation::send(const gateway::attempt& attempt)
{
    const http1::request outgoing =
        this->codec.encode_attempt(this->exchanges.at(attempt.exchange), attempt);
    // The handler needs the id of its call, which is known only when send() returns.
    const auto call = std::make_shared<gateway::call_id>(0);
    *call = this->upstream_client.send(
        attempt.address, outgoing,
        {.timeout = attempt.time_left,
         .max_idle_time =
             attempt.repeatable ? max_idle_repeatable : max_idle_non_repeatable},
        [this, call, id = attempt.exchange](http1::call_result outcome)
        {
            gateway::attempt_result result =
                this->codec.decode_attempt(std::move(outcome));
            if (result.evidence)
                this->metrics.count_upstream_refusal(*result.evidence);
            this->core.requests().finish_attempt(monotonic_now(), id, *call,
                                                 std::move(result));
        });
    return *call;
}

void edge_daemon::implementation::refuse(http1::exchange_id id,
                                         const gateway::refusal_answer& answer)
{
    const auto exchange = this->exchanges.extract(id);
    const bool to_vm = exchange && this->codec.is_forwarded(exchange.mapped());
    this->callers.respond(id, this->codec.encode_refusal(answer, to_vm));
}

void edge_daemon::implementation::forward(http1::exchange_id id,
                                          const std::string& address, duration time_left)
{
    const http1::request outgoing =
        this->codec.encode_forward(this->exchanges.at(id), time_left);
    this->forwarded[id] = this->vm_client.send(
        address, outgoing,
        {.timeout = time_left, .max_idle_time = max_idle_non_repeatable},
        [this, id](http1::call_result outcome)
        {
            this->forwarded.erase(id);
            this->core.finish_forward(monotonic_now(), id,
                                      this->codec.decode_forward(std::move(outcome)));
        });
}

quarantine::fingerprint
edge_daemon::implementation::identify(http1::exchange_id id,
                                      const std::string& account) const
{
    const http1::request& incoming = this->exchanges.at(id);
    return quarantine::fingerprint_of({account, incoming.method,
                                       http1::header_value(incoming.headers, "Host"),
                                       incoming.target, incoming.body});
}

void edge_daemon::implementation::check_connection(
    const upstreams::upstream_start& upstream, const std::string& address)
{
    this->upstream_client.check_connect(address, connection_check_timeout,
                                        [this, upstream](http1::connect_outcome outcome)
                                        {
                                            this->core.requests().finish_connection_check(
                                                monotonic_now(), upstream,
                                                check_of(outcome));
                                        });
}

void edge_daemon::implementation::record(const gateway::record& decision)
{
    this->metrics.count(decision);
    const bool late =
        decision.objective > duration(0) && decision.elapsed > decision.objective;
    const bool routine = decision.event == "answered" && !late &&
                         decision.attempts == 1 && decision.status < 500;
    if (routine && ++this->answers % answer_sample_interval != 0)
        return;
    this->events.write(
        monotonic_now(), wall_now(),
        late && decision.event == "answered" ? "answered_late" : decision.event,
        [this, &decision]
        {
            return internal::fields_of(decision,
                                       this->tables.copy(table::upstreams).position());
        });
}

void edge_daemon::implementation::log_change(const steering::upstream_event& event)
{
    this->metrics.count(event);
    this->log("upstream", internal::fields_of(event));
}

fleet_node::own_state edge_daemon::implementation::current_state(time_point now) const
{
    const configuration::state* active = this->core.requests().active();
    return {.ready = this->ready(),
            .draining = this->stopping,
            .configuration_version = active == nullptr ? 0 : active->version(),
            .operator_change = this->tables.copy(table::operator_rows).newest_change(),
            .registry_change = this->tables.copy(table::upstreams).newest_change(),
            .store_age = this->tables.store_age(now),
            .table_staleness =
                std::min(this->tables.staleness(now), max_reported_staleness)};
}

void edge_daemon::implementation::tick()
{
    const time_point now = monotonic_now();
    this->tables.tick(now);
    this->log_left();
    this->core.fleet().tick(now);
}

void edge_daemon::implementation::check_peers()
{
    const time_point now = monotonic_now();
    this->core.fleet().check(now);
    this->core.check_links(now);
    this->tables.check(now);
}

void edge_daemon::implementation::note_version(time_point now, const vm_id& peer,
                                               std::uint64_t version)
{
    const configuration::state* active = this->core.requests().active();
    const std::uint64_t active_version = active == nullptr ? 0 : active->version();
    // This VM's pending read may hang on a connection that no longer delivers data.
    if (version > active_version && this->tables.reread_configuration(now))
        this->log("configuration_behind", {{"peer", peer.value},
                                           {"peer_version", version},
                                           {"active", active_version}});
}

void edge_daemon::implementation::check_tokens()
{
    if (this->core.fleet().waits_for_tokens() && !this->token_timer.is_pending())
        this->token_timer.start(token_interval);
}

void edge_daemon::implementation::stop()
{
    if (this->stopping)
        return;
    this->stopping = true;
    this->stop_started_at = monotonic_now();
    this->callers.begin_drain();
    this->core.requests().begin_stop(this->stop_started_at + this->options.grace_period -
                                     exit_margin - answer_margin);
    this->core.fleet().send_updates(this->stop_started_at);
    this->exit_timer.start(exit_check);
    this->log("stopping", {{"pending", this->core.requests().totals().pending},
                           {"connections", this->callers.connections()}});
}

void edge_daemon::implementation::finish_when_idle()
{
    const duration elapsed = monotonic_now() - this->stop_started_at;
    const auto accept_for = std::chrono::duration_cast<duration>(
        this->options.grace_period * accepting_fraction);
    if (elapsed >= accept_for)
    {
        if (std::exchange(this->accepting, false))
            this->callers.stop_accepting();
        this->callers.close_idle();
    }
    const bool idle = !this->accepting && this->callers.connections() == 0 &&
                      this->core.requests().totals().pending == 0;
    if (idle || elapsed >= this->options.grace_period - exit_margin)
    {
        this->log("stopped", {{"pending", this->core.requests().totals().pending}});
        event_base_loopbreak(this->base);
        return;
    }
    this->exit_timer.start(exit_check);
}

void edge_daemon::implementation::reload(const edge_options& next)
{
    this->options.grace_period = next.grace_period;
    this->options.directory_ttl = next.directory_ttl;
    this->log("reloaded", {{"grace_ms", to_milliseconds(next.grace_period)}});
}

edge_daemon::edge_daemon(event_base* base, edge_options options, translation codec,
                         store_access store)
    : self(std::make_unique<implementation>(base, std::move(options), std::move(codec),
                                            std::move(store)))
{
}

edge_daemon::~edge_daemon() = default;

void edge_daemon::stop()
{
    this->self->stop();
}

void edge_daemon::reload(const edge_options& next)
{
    this->self->reload(next);
}

} // namespace pistachiospan::edge
