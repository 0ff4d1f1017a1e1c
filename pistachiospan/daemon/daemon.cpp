#include "pistachiospan/daemon/daemon.hpp"

#include "pistachiospan/daemon/internal/caller_listener.hpp"
#include "pistachiospan/daemon/internal/metrics.hpp"
#include "pistachiospan/daemon/internal/peer_links.hpp"
#include "pistachiospan/entry/node.hpp"
#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/store_http/store_http.hpp"
#include "pistachiospan/upstream_client/upstream_client.hpp"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <log4cplus/loggingmacros.h>

#include <csignal>

namespace pistachiospan::daemon
{

namespace
{

using event_loop::monotonic_now;
using event_loop::periodic_timer;
using event_loop::signal_handler;
using event_loop::wall_now;
using internal::caller_listener;
using internal::peer_links;
using internal::plain_answer;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

constexpr std::string_view lookup_path = "/.well-known/pistachiospan/lookup";
constexpr std::string_view offer_path = "/.well-known/pistachiospan/offer";

log4cplus::Logger logger()
{
    static const log4cplus::Logger instance =
        log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("pistachiospan"));
    return instance;
}

std::string query_value(std::string_view query, std::string_view name)
{
    evkeyvalq fields{};
    std::string value;
    if (evhttp_parse_query_str(std::string(query).c_str(), &fields) == 0)
    {
        const char* found = evhttp_find_header(&fields, std::string(name).c_str());
        value = found == nullptr ? "" : found;
        evhttp_clear_headers(&fields);
    }
    return value;
}

std::vector<upstream_client::header> to_client_headers(const entry::header_list& from)
{
    std::vector<upstream_client::header> headers;
    headers.reserve(from.size());
    for (const auto& [name, value] : from)
        headers.push_back({name, value});
    return headers;
}

entry::header_list to_entry_headers(const std::vector<upstream_client::header>& from)
{
    entry::header_list headers;
    headers.reserve(from.size());
    for (const upstream_client::header& field : from)
        headers.emplace_back(field.name, field.value);
    return headers;
}

// The other VMs of the seed list.
std::vector<store::vm_entry> seed_entries(const settings::settings& settings)
{
    std::vector<store::vm_entry> entries;
    for (const settings::seed_peer& peer : settings.seed_peers)
        if (peer.id != settings.id)
            entries.push_back({.id = peer.id,
                               .address = peer.address,
                               .data_centre = peer.data_centre,
                               .region = peer.region});
    return entries;
}

entry::node_options make_node_options(const settings::settings& settings)
{
    return {.self = {.id = settings.id,
                     .address = settings.peer_address,
                     .caller_address = settings.caller_address,
                     .data_centre = settings.data_centre,
                     .region = settings.region},
            .self_incarnation =
                static_cast<incarnation>(wall_now().time_since_epoch().count()),
            .seeds = seed_entries(settings),
            .secret = settings.peer_secret,
            .store_region = settings.platform_region,
            .seed = settings.seed.value_or(std::random_device()())};
}

} // namespace

class entry_daemon::implementation
{
public:
    implementation(event_base* base, const settings::settings& settings);
    ~implementation()
    {
        event_loop::set_error_handler(nullptr);
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void stop();

private:
    entry::node_hooks make_node_hooks();
    internal::peer_links_hooks make_peer_hooks();
    internal::caller_listener_hooks make_listener_hooks();
    void tick();
    entry::upstream_call_id call_upstream(entry::upstream_request call,
                                          entry::upstream_handler done);
    void log_decision(const entry::decision_record& record);
    std::optional<plain_answer>
    serve_reserved(std::string_view path, std::string_view query, std::string_view body);
    plain_answer serve_lookup(std::string_view query);
    plain_answer serve_status();
    plain_answer serve_offer(std::string_view body);

    event_base* base;
    settings::settings settings;
    entry::node_options node_options;
    store::http_platform platform;
    upstream_client::client upstreams;
    internal::metrics metrics;
    entry::node node;
    peer_links peers;
    caller_listener callers;
    periodic_timer ticker;
    std::vector<std::unique_ptr<signal_handler>> signals;
    bool stopping = false;
};

entry_daemon::implementation::implementation(event_base* base,
                                             const settings::settings& settings)
    : base(base), settings(settings), node_options(make_node_options(settings)),
      platform(base, {.address = settings.platform_address,
                      .timeout = settings.platform_timeout}),
      upstreams(base, {}),
      node(this->node_options, {this->platform, this->platform, this->platform},
           this->make_node_hooks()),
      peers(base,
            {.self = settings.id,
             .self_incarnation = this->node_options.self_incarnation,
             .address = settings.peer_address,
             .secret = settings.peer_secret},
            this->make_peer_hooks()),
      callers(base,
              {.address = settings.caller_address,
               .max_header = settings.max_header,
               .max_connections = settings.max_connections,
               .idle_timeout = settings.idle_timeout,
               .header_timeout = settings.header_timeout},
              this->make_listener_hooks()),
      ticker(base, entry::tick_interval, [this] { this->tick(); })
{
    for (const int number : {SIGTERM, SIGINT})
        this->signals.push_back(
            std::make_unique<signal_handler>(base, number, [this] { this->stop(); }));
    event_loop::set_error_handler(
        [](std::string_view problem)
        {
            LOG4CPLUS_ERROR(logger(), "event=internal_error message=\""
                                          << std::string(problem) << '"');
        });
    LOG4CPLUS_INFO(logger(), "event=started vm=" << settings.id.value << " data_centre="
                                                 << settings.data_centre
                                                 << " callers=" << settings.caller_address
                                                 << " peers=" << settings.peer_address);
}

entry::node_hooks entry_daemon::implementation::make_node_hooks()
{
    entry::node_hooks hooks;
    hooks.send = [this](const vm_id& to, const std::string& address,
                        std::string_view type, const wire::body& content)
    {
        this->peers.send(to, address, type, content);
    };
    hooks.relay = [this](const vm_id& to, const std::string& address,
                         const entry::relay_request& outgoing, duration timeout,
                         entry::relay_handler done)
    {
        this->peers.relay(to, address, outgoing, timeout,
                          [done = std::move(done)](result<entry::relay_answer> outcome)
                          { done(monotonic_now(), std::move(outcome)); });
    };
    hooks.call_upstream =
        [this](entry::upstream_request call, entry::upstream_handler done)
    {
        return this->call_upstream(std::move(call), std::move(done));
    };
    hooks.cancel_upstream = [this](entry::upstream_call_id call)
    {
        this->upstreams.cancel(call);
    };
    hooks.on_finished = [this](const entry::decision_record& record)
    {
        this->log_decision(record);
    };
    hooks.audit = [](std::string_view what)
    {
        LOG4CPLUS_INFO(logger(), "event=change " << std::string(what));
    };
    hooks.report_error = [](const error& cause)
    {
        LOG4CPLUS_WARN(logger(), "event=problem message=\"" << cause.message << '"');
    };
    return hooks;
}

internal::peer_links_hooks entry_daemon::implementation::make_peer_hooks()
{
    internal::peer_links_hooks hooks;
    hooks.on_message = [this](const wire::message& received)
    {
        this->node.receive(monotonic_now(), received.from, received.from_incarnation,
                           received.type, received.content);
    };
    hooks.on_relay =
        [this](const vm_id&, entry::relay_request incoming, entry::answer_handler done)
    {
        this->node.submit_relayed(monotonic_now(), wall_now(), std::move(incoming),
                                  std::move(done));
    };
    hooks.on_rejected = [](const error& cause)
    {
        LOG4CPLUS_WARN(logger(), "event=peer_refused message=\"" << cause.message << '"');
    };
    return hooks;
}

internal::caller_listener_hooks entry_daemon::implementation::make_listener_hooks()
{
    internal::caller_listener_hooks hooks;
    hooks.on_request = [this](entry::caller_request incoming, entry::answer_handler done)
    {
        return this->node.submit(monotonic_now(), wall_now(), std::move(incoming),
                                 std::move(done));
    };
    hooks.on_caller_disconnected = [this](entry::exchange_id id)
    {
        this->node.cancel(monotonic_now(), id);
    };
    hooks.on_reserved =
        [this](std::string_view path, std::string_view query, std::string_view body)
    {
        return this->serve_reserved(path, query, body);
    };
    return hooks;
}

entry::upstream_call_id
entry_daemon::implementation::call_upstream(entry::upstream_request call,
                                            entry::upstream_handler done)
{
    return this->upstreams.send(
        call.address,
        {.method = std::move(call.method),
         .target = std::move(call.target),
         .request_id = std::move(call.request_id),
         .headers = to_client_headers(call.headers),
         .body = std::move(call.body),
         .timeout = call.timeout},
        [done = std::move(done)](result<upstream_client::response> outcome)
        {
            const time_point now = monotonic_now();
            if (!outcome)
                return done(now, outcome.error());
            upstream_client::response& response = outcome.value();
            done(now,
                 entry::upstream_answer{.status = response.status,
                                        .headers = to_entry_headers(response.headers),
                                        .body = std::move(response.body)});
        });
}

void entry_daemon::implementation::tick()
{
    const time_point now = monotonic_now();
    this->node.tick(now, wall_now());
    if (!this->stopping || !this->node.drained(now))
        return;
    LOG4CPLUS_INFO(logger(), "event=stopped vm=" << this->settings.id.value);
    event_base_loopexit(this->base, nullptr);
}

void entry_daemon::implementation::stop()
{
    if (this->stopping)
        return;
    this->stopping = true;
    LOG4CPLUS_INFO(logger(), "event=draining vm=" << this->settings.id.value);
    this->node.begin_drain(monotonic_now());
    this->callers.close_after_answers();
}

// Answered requests are logged at debug level, refusals at info level.
void entry_daemon::implementation::log_decision(const entry::decision_record& record)
{
    this->metrics.count(record);
    const bool refused = record.code != entry::refusal_code::none;
    const log4cplus::LogLevel level =
        refused ? log4cplus::INFO_LOG_LEVEL : log4cplus::DEBUG_LOG_LEVEL;
    if (!logger().isEnabledFor(level))
        return;
    std::ostringstream line;
    line << "event=" << (refused ? "refused" : "answered") << " id=" << record.request_id
         << " account=" << record.account << " route=" << record.route
         << " method=" << record.method << " status=" << record.status
         << " code=" << entry::name_of(record.code) << " ran="
         << (record.execution == entry::execution_state::not_executed ? "no" : "unknown")
         << " upstream=" << record.upstream << " attempts=" << record.attempts
         << " total_us=" << record.total.count();
    logger().log(level, line.str());
}

std::optional<plain_answer> entry_daemon::implementation::serve_reserved(
    std::string_view path, std::string_view query, std::string_view body)
{
    const time_point now = monotonic_now();
    if (path == lookup_path)
        return this->serve_lookup(query);
    if (path == offer_path)
        return this->serve_offer(body);
    if (path == "/healthz")
        return plain_answer{.body = "{\"alive\":true}"};
    if (path == "/readyz")
    {
        const entry::node_status status = this->node.status(now);
        const bool ready = status.ready && !status.draining;
        return plain_answer{.status = ready ? status_ok : status_unavailable,
                            .body = ready ? "{\"ready\":true}" : "{\"ready\":false}"};
    }
    if (path == "/status")
        return this->serve_status();
    if (path == "/metrics")
        return plain_answer{
            .content_type = "text/plain; version=0.0.4",
            .body = this->metrics.render(this->node, now, this->peers.traffic())};
    if (path == "/explain")
        return plain_answer{.body = this->node.explain(query_value(query, "id")).dump(2)};
    return std::nullopt;
}

plain_answer entry_daemon::implementation::serve_lookup(std::string_view query)
{
    const result<nlohmann::json> found =
        this->node.lookup(wall_now(), query_value(query, "route"));
    if (found)
        return {.body = found.value().dump()};
    const bool unknown = found.error().code == errc::not_found;
    return {.status = unknown ? status_not_found : status_unavailable,
            .body = nlohmann::json{{"message", found.error().message}}.dump()};
}

plain_answer entry_daemon::implementation::serve_status()
{
    const entry::node_status status = this->node.status(monotonic_now());
    nlohmann::json body{{"vm", this->settings.id.value},
                        {"incarnation", this->node_options.self_incarnation},
                        {"data_centre", this->settings.data_centre},
                        {"active_version", status.active_version},
                        {"held_version", status.held_version},
                        {"digest", status.digest},
                        {"ready", status.ready},
                        {"draining", status.draining},
                        {"rate_shares", status.rate_shares},
                        {"slot_shares", status.slot_shares},
                        {"primary_shards", status.primary_shards},
                        {"live_peers", status.live_peers},
                        {"in_progress", status.in_progress}};
    body["confirmation_age_ms"] = nullptr;
    if (status.confirmation_age)
        body["confirmation_age_ms"] = status.confirmation_age->count() / 1000;
    return {.body = body.dump()};
}

// Takes an announced edit: {"version", "digest", "text", "mac"}. "mac" authenticates
// version, digest and text with the peer secret, so that only a process that has the
// secret can announce an edit.
plain_answer entry_daemon::implementation::serve_offer(std::string_view body)
{
    constexpr int status_bad_request = 400;
    constexpr int status_forbidden = 403;
    const nlohmann::json offer = nlohmann::json::parse(body, nullptr, false);
    if (!offer.is_object() || !offer.contains("version") ||
        !offer["version"].is_number_unsigned() || !offer.contains("digest") ||
        !offer["digest"].is_string() || !offer.contains("text") ||
        !offer["text"].is_string() || !offer.contains("mac") || !offer["mac"].is_string())
        return {.status = status_bad_request, .body = "{\"message\":\"malformed\"}"};
    const auto version = offer["version"].get<catalogue_version>();
    const auto digest = offer["digest"].get<std::string>();
    const auto text = offer["text"].get<std::string>();
    const std::string expected =
        hmac_hex(this->settings.peer_secret,
                 "offer\n" + std::to_string(version) + '\n' + digest + '\n' + text);
    if (!equal_constant_time(expected, offer["mac"].get<std::string>()))
        return {.status = status_forbidden,
                .body = "{\"message\":\"wrong authentication code\"}"};
    const result<void> accepted =
        this->node.offer_edit(monotonic_now(), version, digest, text);
    return {.body = nlohmann::json{{"taken", accepted.has_value()}}.dump()};
}

entry_daemon::entry_daemon(event_base* base, const settings::settings& settings)
    : self(std::make_unique<implementation>(base, settings))
{
}

entry_daemon::~entry_daemon() = default;

void entry_daemon::stop()
{
    this->self->stop();
}

} // namespace pistachiospan::daemon
