#include "pistachiospan/edge/edge.hpp"

#include "pistachiospan/edge/internal/metrics.hpp"
#include "pistachiospan/edge/internal/peer_link.hpp"
#include "pistachiospan/edge/internal/store_view.hpp"
#include "pistachiospan/event_log/event_log.hpp"
#include "pistachiospan/event_loop/event_loop.hpp"

#include <algorithm>
#include <set>

namespace pistachiospan::edge
{

namespace
{

using event_loop::monotonic_now;
using event_loop::one_shot_timer;
using event_loop::periodic_timer;
using event_loop::wall_now;
using fields = nlohmann::ordered_json;

// Callers that hold an older directory answer still come after SIGTERM: the VM takes
// their requests for this part of the grace time.
constexpr double accepting_part = 0.5;
// The process ends this long before it would be killed.
constexpr duration exit_margin = std::chrono::milliseconds(400);
// Time for a last answer to reach its caller before that.
constexpr duration answer_margin = std::chrono::milliseconds(100);
constexpr duration exit_check = std::chrono::milliseconds(50);

// A VM that starts reads the store itself when it has found nobody to follow by then.
constexpr duration longest_search = std::chrono::milliseconds(400);

// Queries for tokens are looked at this often.
constexpr duration token_interval = std::chrono::milliseconds(20);

// Whom to follow, and who is overdue, is looked at this often.
constexpr duration peer_check_interval = std::chrono::milliseconds(250);
// Reports name an upstream that is leaving for this long: several of them get lost.
constexpr duration leaving_told = std::chrono::seconds(3);

// Older copies are told as this old.
constexpr duration oldest_news = std::chrono::minutes(1);

// A VM that has had no news of the operator for this long, or has just started, takes an
// evacuation for one that has been in force for a while.
constexpr duration old_news = std::chrono::seconds(3);

// Descriptors kept for everything but callers' connections.
constexpr std::size_t reserved_descriptors = 900;
// Part of the memory for bodies that wait for their answer.
constexpr std::size_t body_memory_divisor = 4;

// A kept connection that idled longer may already be closed by the upstream, and a
// request that must not be repeated would be lost with it.
constexpr duration most_idle_repeatable = std::chrono::seconds(4);
constexpr duration most_idle_once = std::chrono::milliseconds(2500);

// One in this many routine answers is logged.
constexpr std::uint64_t answer_sample = 32;

// Rises with each start of a process on this VM.
std::uint64_t process_number()
{
    return static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
}

double milliseconds_of(duration span)
{
    return static_cast<double>(span.count()) / 1000;
}

} // namespace

class edge_daemon::implementation
{
public:
    implementation(event_base* base, edge_options options, translation words,
                   store_access store);

    ~implementation()
    {
        event_loop::set_error_handler(nullptr);
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void stop();
    void reload(const edge_options& next);

private:
    gateway::gateway_hooks make_gateway_hooks();
    internal::store_view_hooks make_store_hooks();
    fleet_node::node_hooks make_fleet_hooks();

    void take_request(http1::exchange_id id, http1::request&& incoming);
    gateway::call_id send(const gateway::attempt& to);
    void refuse(http1::exchange_id id, const gateway::refusal_answer& answer);
    void record(const gateway::record& made);
    fields fields_of(const gateway::record& made) const;
    void note_upstream(const gateway::upstream_notice& said);
    void learn_leaving(time_point now, std::span<const upstreams::upstream_start> told);

    void change_operator_row(const mirror::row& changed);
    void activate(const mirror::row& changed);
    // `version`: of the row that changed; 0: a row has gone.
    void change_evacuations(std::uint64_t version);
    bool others_know(time_point now, std::uint64_t operator_change) const;
    void change_upstream(const mirror::row& changed);
    void remove_upstream(const std::string& id);

    void tick();
    void check_peers();
    void note_version(time_point now, const vm_id& peer, std::uint64_t version);
    fleet_node::own_state state_of_self(time_point now) const;
    void check_tokens();

    void answer_directory(http1::exchange_id id, const http1::request& asked);
    void answer_readiness(http1::exchange_id id, const http1::request& asked);
    void answer_metrics(http1::exchange_id id, const http1::request& asked);
    bool ready() const;
    void finish_when_idle();
    void log(std::string_view event, const fields& content);

    event_base* base;
    edge_options options;
    translation words;
    store_access store;
    incarnation started;
    event_log::event_log events;
    internal::metrics numbers;
    upstreams::upstream_set known_upstreams;
    gateway::gateway requests;
    http1::client upstream_client;
    std::unordered_map<http1::exchange_id, http1::request> exchanges; // unanswered
    std::set<std::string> evacuated;
    http1::server callers;
    std::unique_ptr<http1::server> directory;
    std::unique_ptr<http1::server> readiness;
    std::unique_ptr<http1::server> metrics;
    internal::peer_link peers;
    fleet_node::node vms;
    internal::store_view tables;
    periodic_timer ticker;
    periodic_timer peer_checker;
    one_shot_timer token_timer; // while answers about tokens are awaited
    one_shot_timer first_check;
    one_shot_timer table_starter;
    one_shot_timer exit_timer;
    std::uint64_t answers = 0;
    bool stopping = false;
    bool accepting = true;
    time_point stop_begun;
};

edge_daemon::implementation::implementation(event_base* base, edge_options given,
                                            translation words, store_access store)
    : base(base), options(std::move(given)), words(std::move(words)),
      store(std::move(store)), started(process_number()),
      events({.vm = this->options.vm.value}),
      known_upstreams({.seed = hash_bytes(this->options.vm.value),
                       .data_centre = this->options.data_centre,
                       .max_region_shift = this->options.max_region_shift,
                       .replaces_lost_process = !this->options.first_start},
                      this->options.regions),
      requests({.retry_ratio = this->options.retry_ratio,
                .retry_reserve = this->options.retry_reserve},
               this->known_upstreams, this->make_gateway_hooks()),
      upstream_client(base,
                      {.correlation_header = this->words.correlation_header,
                       .max_buffered = this->options.max_memory / body_memory_divisor}),
      callers(base, this->options.caller_address,
              {.on_request = [this](http1::exchange_id id, http1::request&& incoming)
               { this->take_request(id, std::move(incoming)); },
               .on_disconnect =
                   [this](http1::exchange_id id)
               {
                   this->requests.caller_left(monotonic_now(), id);
                   this->exchanges.erase(id);
               }}),
      peers(base, this->options.peer_address,
            {.received = [this](const std::string& from, std::string_view bytes)
             { this->vms.receive(monotonic_now(), from, bytes); },
             .copy = [this](table wanted) -> const mirror::table_mirror&
             {
                 return this->tables.copy(wanted);
             }}),
      vms(monotonic_now(),
          {.vm = this->options.vm,
           .started = this->started,
           .data_centre = this->options.data_centre,
           .places = this->options.regions,
           .peer_address = this->options.peer_address,
           .caller_address = this->options.caller_address,
           .capacity = this->options.capacity},
          this->make_fleet_hooks()),
      tables(base, {.instance = this->started}, this->store, this->peers, this->vms,
             this->make_store_hooks()),
      ticker(base, this->options.report_interval, [this] { this->tick(); }),
      peer_checker(base, peer_check_interval, [this] { this->check_peers(); }),
      token_timer(base,
                  [this]
                  {
                      this->vms.tick_tokens(monotonic_now());
                      this->check_tokens();
                  }),
      first_check(base, [this] { this->check_peers(); }),
      table_starter(base, [this] { this->tables.start(); }),
      exit_timer(base, [this] { this->finish_when_idle(); })
{
    this->first_check.start(this->vms.next_check(monotonic_now()));
    this->table_starter.start(longest_search);
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
                                                             http1::request&& asked)
                                {
                                    (this->*answer)(id, asked);
                                }});
    };
    this->directory =
        serve(this->options.directory_address, &implementation::answer_directory);
    this->readiness =
        serve(this->options.readiness_address, &implementation::answer_readiness);
    this->metrics = serve(this->options.metrics_address, &implementation::answer_metrics);
    this->log("started", {{"data_centre", this->options.data_centre},
                          {"callers", this->options.caller_address},
                          {"peers", this->options.peer_address}});
}

void edge_daemon::implementation::log(std::string_view event, const fields& content)
{
    this->events.write(monotonic_now(), wall_now(), event, content);
}

gateway::gateway_hooks edge_daemon::implementation::make_gateway_hooks()
{
    return {.ask_token =
                [this](gateway::exchange_id id, const std::string& account)
            {
                this->vms.request_token(monotonic_now(), id, account);
                this->check_tokens();
            },
            .return_token = [this](const std::string& account)
            { this->vms.return_token(monotonic_now(), account); },
            .send = [this](const gateway::attempt& to) { return this->send(to); },
            .cancel = [this](gateway::call_id call)
            { this->upstream_client.cancel(call); },
            .deliver =
                [this](gateway::exchange_id id, const std::any& answer)
            {
                this->exchanges.erase(id);
                this->callers.respond(id, std::any_cast<const http1::response&>(answer));
            },
            .refuse = [this](gateway::exchange_id id, const gateway::refusal_answer& why)
            { this->refuse(id, why); },
            .report = [this](const gateway::record& made) { this->record(made); },
            .notice =
                [this](const gateway::upstream_notice& said)
            {
                this->note_upstream(said);
            }};
}

internal::store_view_hooks edge_daemon::implementation::make_store_hooks()
{
    return {.operator_rows = {.changed = [this](const mirror::row& row)
                              { this->change_operator_row(row); },
                              .removed =
                                  [this](const std::string&)
                              {
                                  this->change_evacuations(0);
                              }},
            .upstreams = {.changed = [this](const mirror::row& row)
                          { this->change_upstream(row); },
                          .removed =
                              [this](const std::string& id)
                          {
                              this->remove_upstream(id);
                          }},
            .log = [this](std::string_view event, const fields& content)
            { this->log(event, content); },
            .read =
                [this](std::string_view name, const internal::read_end& ended)
            {
                this->numbers.count_read(name, ended.from_store, ended.good);
            }};
}

void edge_daemon::implementation::take_request(http1::exchange_id id,
                                               http1::request&& incoming)
{
    result<gateway::caller_request> decoded = this->words.decode_request(incoming);
    if (!decoded)
    {
        this->log("bad_request", {{"problem", decoded.error().message}});
        this->callers.respond(id, {.status = 400}, true);
        return;
    }
    this->exchanges.emplace(id, std::move(incoming));
    this->requests.submit(monotonic_now(), id, std::move(decoded.value()));
}

gateway::call_id edge_daemon::implementation::send(const gateway::attempt& to)
{
    const http1::request outgoing =
        this->words.encode_attempt(this->exchanges.at(to.exchange), to);
    // The handler needs the id of its own call, which send() returns only now.
    const auto call = std::make_shared<gateway::call_id>(0);
    *call = this->upstream_client.send(
        to.address, outgoing,
        {.timeout = to.time_left,
         .max_idle_time = to.repeatable ? most_idle_repeatable : most_idle_once},
        [this, call, id = to.exchange](http1::call_result ended)
        {
            this->requests.finish_attempt(monotonic_now(), id, *call,
                                          this->words.decode_attempt(std::move(ended)));
        });
    return *call;
}

void edge_daemon::implementation::refuse(http1::exchange_id id,
                                         const gateway::refusal_answer& answer)
{
    this->exchanges.erase(id);
    this->callers.respond(id, this->words.encode_refusal(answer));
}

void edge_daemon::implementation::record(const gateway::record& made)
{
    this->numbers.count(made);
    const bool late = made.objective > duration(0) && made.elapsed > made.objective;
    const bool routine =
        made.event == "answered" && !late && made.attempts == 1 && made.status < 500;
    if (routine && ++this->answers % answer_sample != 0)
        return;
    this->events.write(monotonic_now(), wall_now(),
                       late && made.event == "answered" ? "answered_late" : made.event,
                       [this, &made] { return this->fields_of(made); });
}

fields edge_daemon::implementation::fields_of(const gateway::record& made) const
{
    return {{"id", made.request_id},
            {"route", made.route},
            {"account", made.account},
            {"service", made.service},
            {"upstream", made.upstream},
            {"reason", gateway::name_of(made.reason)},
            {"status", made.status},
            {"attempts", made.attempts},
            {"version", made.version},
            {"elapsed_ms", milliseconds_of(made.elapsed)},
            {"left_ms", milliseconds_of(made.time_left)},
            {"expected_ms", milliseconds_of(made.expected)},
            {"wait_ms", milliseconds_of(made.wait)},
            {"objective_ms", milliseconds_of(made.objective)},
            {"load", made.load},
            {"store_position", this->tables.copy(table::upstreams).position()},
            {"detail", made.detail}};
}

void edge_daemon::implementation::note_upstream(const gateway::upstream_notice& said)
{
    if (said.pause)
    {
        this->numbers.count_pause();
        this->log("upstream", {{"upstream", said.upstream.id},
                               {"change", "paused"},
                               {"pause_ms", milliseconds_of(*said.pause)}});
    }
    if (!said.leaving)
        return;
    this->log("upstream", {{"upstream", said.upstream.id}, {"change", "leaving"}});
    // The registry may be late or away: the other VMs hear it from here.
    this->vms.send_updates(monotonic_now());
}

void edge_daemon::implementation::learn_leaving(
    time_point now, std::span<const upstreams::upstream_start> told)
{
    bool news = false;
    for (const upstreams::upstream_start& each : told)
        if (this->known_upstreams.note_leaving(now, each))
        {
            this->log("upstream", {{"upstream", each.id}, {"change", "leaving, told"}});
            news = true;
        }
    if (news && this->vms.role() == cell::role::coordinator)
        this->vms.send_updates(now);
}

fleet_node::own_state edge_daemon::implementation::state_of_self(time_point now) const
{
    const configuration::state* active = this->requests.active();
    return {.ready = this->ready(),
            .draining = this->stopping,
            .configuration_version = active == nullptr ? 0 : active->version(),
            .operator_change = this->tables.copy(table::operator_rows).newest_change(),
            .registry_change = this->tables.copy(table::upstreams).newest_change(),
            .store_age = this->tables.store_age(now),
            .table_staleness = std::min(this->tables.news_age(now), oldest_news),
            .leaving_upstreams = this->known_upstreams.leaving_since(now, leaving_told)};
}

fleet_node::node_hooks edge_daemon::implementation::make_fleet_hooks()
{
    return {
        .send = [this](std::string_view datagram, std::span<const std::string> addresses)
        { this->peers.send(datagram, addresses); },
        .claim =
            [this](const cell::claim& due)
        {
            this->store.claim(due, [this](const result<cell::claim_outcome>& got)
                              { this->vms.finish_claim(monotonic_now(), got); });
        },
        .read_coordinators =
            [this]
        {
            this->store.read_coordinators(
                [this](const result<std::map<std::string, std::string>>& all)
                { this->vms.finish_coordinator_read(monotonic_now(), all); });
        },
        .state = [this](time_point now) { return this->state_of_self(now); },
        .services = [this](time_point now)
        { return this->known_upstreams.report_demand(now); },
        .demand_received =
            [this](time_point now, fleet_node::remote_demands demand)
        {
            this->known_upstreams.set_remote_demand(std::move(demand));
            this->known_upstreams.tick(now);
        },
        .plans = [this](time_point) { return this->known_upstreams.plans(); },
        .plans_received = [this](time_point now, const upstreams::plan_set& told)
        { this->known_upstreams.adopt_plans(now, told); },
        .leaving_received =
            [this](time_point now, std::span<const upstreams::upstream_start> told)
        { this->learn_leaving(now, told); },
        .version_received =
            [this](time_point now, const vm_id& peer, std::uint64_t version)
        { this->note_version(now, peer, version); },
        .vm_count_changed =
            [this](std::size_t count)
        {
            this->known_upstreams.set_vm_count(count);
            this->requests.set_vm_count(count);
        },
        .role_changed =
            [this](cell::role next)
        {
            if (next != cell::role::searching)
                this->tables.start();
        },
        .token_done = [this](allowance::ticket id, const allowance::admission& made)
        { this->requests.finish_admission(monotonic_now(), id, made); },
        .log =
            [this](std::string_view event, const fields& content)
        {
            this->log(event, content);
        }};
}

void edge_daemon::implementation::change_operator_row(const mirror::row& changed)
{
    if (this->words.is_configuration(changed.key))
        this->activate(changed);
    else
        this->change_evacuations(changed.version);
}

void edge_daemon::implementation::activate(const mirror::row& changed)
{
    result<configuration::content> decoded =
        this->words.decode_configuration(changed.value);
    if (!decoded)
    {
        this->log("configuration_rejected", {{"row_version", changed.version},
                                             {"problem", decoded.error().message}});
        return;
    }
    const auto next =
        std::make_shared<const configuration::state>(std::move(decoded.value()));
    const configuration::state* active = this->requests.active();
    if (active != nullptr && next->version() <= active->version())
    {
        this->log("configuration_older",
                  {{"version", next->version()}, {"active", active->version()}});
        return;
    }
    for (const std::string& remark : next->warnings())
        this->log("configuration_remark",
                  {{"version", next->version()}, {"remark", remark}});
    this->tables.note_configuration();
    this->requests.set_configuration(next);
    this->vms.set_accounts(monotonic_now(), next->accounts());
    this->callers.set_limits(
        {.max_header = next->limits().max_header,
         .max_body = next->limits().max_body,
         .max_buffered = this->options.max_memory / body_memory_divisor,
         .max_connections =
             std::max(this->options.max_descriptors, 2 * reserved_descriptors) -
             reserved_descriptors,
         .header_timeout = next->limits().header_timeout,
         .idle_timeout = next->limits().idle_timeout});
    this->log("configuration", {{"version", next->version()},
                                {"row_version", changed.version},
                                {"routes", next->routes().size()},
                                {"accounts", next->accounts().size()}});
}

void edge_daemon::implementation::change_evacuations(std::uint64_t version)
{
    std::set<std::string> all;
    for (const mirror::row& each :
         this->tables.copy(table::operator_rows).snapshot().rows)
        if (const auto data_centre = this->words.decode_evacuation(each.key))
            all.insert(*data_centre);
    if (all == this->evacuated)
        return;
    this->evacuated = all;
    const time_point now = monotonic_now();
    const duration age = this->tables.operator_news_age(now);
    const bool in_force = age > old_news && this->others_know(now, version);
    this->known_upstreams.set_evacuated(now, all, in_force);
    this->log("evacuation", {{"data_centres", all},
                             {"in_force", in_force},
                             {"news_age_ms", milliseconds_of(age)}});
}

// Another VM has known this change already, as far as this one can tell. A VM that
// starts, or that was cut off, learns of changes long after the others.
bool edge_daemon::implementation::others_know(time_point now,
                                              std::uint64_t operator_change) const
{
    if (!this->tables.copy(table::operator_rows).loaded())
        return true;
    return operator_change > 0 &&
           this->vms.best_informed(now, operator_change - 1, UINT64_MAX).has_value();
}

void edge_daemon::implementation::change_upstream(const mirror::row& changed)
{
    const result<upstreams::entry> said =
        this->words.decode_upstream(changed.key, changed.value);
    if (!said)
    {
        this->log("upstream_unreadable",
                  {{"upstream", changed.key}, {"problem", said.error().message}});
        this->remove_upstream(changed.key);
        return;
    }
    const std::string change =
        this->known_upstreams.update(monotonic_now(), said.value());
    if (!change.empty())
        this->log("upstream", {{"upstream", changed.key},
                               {"change", change},
                               {"service", said.value().service},
                               {"address", said.value().address},
                               {"row_version", changed.version},
                               {"cold_ms", milliseconds_of(said.value().cold_left)}});
}

void edge_daemon::implementation::remove_upstream(const std::string& id)
{
    if (this->known_upstreams.remove(id))
        this->log("upstream", {{"upstream", id}, {"change", "removed"}});
}

void edge_daemon::implementation::tick()
{
    const time_point now = monotonic_now();
    this->tables.tick(now);
    this->vms.tick(now);
}

void edge_daemon::implementation::check_peers()
{
    const time_point now = monotonic_now();
    this->vms.check(now);
    this->tables.check(now);
}

void edge_daemon::implementation::note_version(time_point now, const vm_id& peer,
                                               std::uint64_t version)
{
    const configuration::state* active = this->requests.active();
    const std::uint64_t own = active == nullptr ? 0 : active->version();
    // The own read may hang on a connection that has gone silent.
    if (version > own && this->tables.hurry_configuration(now))
        this->log("configuration_behind",
                  {{"peer", peer.value}, {"peer_version", version}, {"active", own}});
}

void edge_daemon::implementation::check_tokens()
{
    if (this->vms.waits_for_tokens() && !this->token_timer.is_pending())
        this->token_timer.start(token_interval);
}

bool edge_daemon::implementation::ready() const
{
    return this->requests.active() != nullptr &&
           this->tables.copy(table::upstreams).loaded() && !this->stopping;
}

void edge_daemon::implementation::answer_directory(http1::exchange_id id,
                                                   const http1::request& asked)
{
    http1::server& server = *this->directory;
    const std::optional<location> caller = this->words.decode_directory(asked);
    if (!caller)
    {
        server.respond(id, {.status = 404});
        return;
    }
    const std::vector<std::string> addresses =
        this->vms.addresses_for(monotonic_now(), caller->region, caller->data_centre);
    if (addresses.empty())
        server.respond(id, {.status = 503});
    else
        server.respond(
            id, this->words.encode_directory(addresses, this->options.directory_ttl));
}

void edge_daemon::implementation::answer_readiness(http1::exchange_id id,
                                                   const http1::request& asked)
{
    http1::server& server = *this->readiness;
    if (this->words.is_readiness(asked))
        server.respond(id, {.status = this->ready() ? 200 : 503});
    else
        server.respond(id, {.status = 404});
}

void edge_daemon::implementation::answer_metrics(http1::exchange_id id,
                                                 const http1::request&)
{
    const configuration::state* active = this->requests.active();
    const gateway::counts totals = this->requests.totals();
    const auto set = [this](const std::string& name, auto value)
    {
        this->numbers.set(name, static_cast<double>(value));
    };
    set("configuration_version", active == nullptr ? 0 : active->version());
    set("requests_pending", totals.pending);
    set("attempts", totals.attempts);
    set("retries", totals.retries);
    set("coordinates", this->vms.role() == cell::role::coordinator ? 1 : 0);
    set("upstreams", this->known_upstreams.size());
    set("upstream_connections_opened", this->upstream_client.connections_opened());
    set("caller_connections", this->callers.connections());
    set("store_position", this->tables.copy(table::upstreams).position());
    set("log_lines_left_out", this->events.suppressed_lines());
    set("log_lines_lost", this->events.dropped_lines());
    this->metrics->respond(id,
                           {.status = 200,
                            .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                            .body = this->numbers.render()});
}

void edge_daemon::implementation::stop()
{
    if (this->stopping)
        return;
    this->stopping = true;
    this->stop_begun = monotonic_now();
    this->callers.begin_drain();
    this->requests.begin_stop(this->stop_begun + this->options.grace_period -
                              exit_margin - answer_margin);
    this->vms.send_updates(this->stop_begun);
    this->exit_timer.start(exit_check);
    this->log("stopping", {{"pending", this->requests.totals().pending},
                           {"connections", this->callers.connections()}});
}

void edge_daemon::implementation::finish_when_idle()
{
    const duration elapsed = monotonic_now() - this->stop_begun;
    const auto accept_for =
        std::chrono::duration_cast<duration>(this->options.grace_period * accepting_part);
    if (elapsed >= accept_for)
    {
        if (std::exchange(this->accepting, false))
            this->callers.stop_accepting();
        this->callers.close_idle();
    }
    const bool idle = !this->accepting && this->callers.connections() == 0 &&
                      this->requests.totals().pending == 0;
    if (idle || elapsed >= this->options.grace_period - exit_margin)
    {
        this->log("stopped", {{"pending", this->requests.totals().pending}});
        event_base_loopbreak(this->base);
        return;
    }
    this->exit_timer.start(exit_check);
}

void edge_daemon::implementation::reload(const edge_options& next)
{
    this->options.grace_period = next.grace_period;
    this->options.directory_ttl = next.directory_ttl;
    this->log("reloaded", {{"grace_ms", milliseconds_of(next.grace_period)}});
}

edge_daemon::edge_daemon(event_base* base, edge_options options, translation words,
                         store_access store)
    : self(std::make_unique<implementation>(base, std::move(options), std::move(words),
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
