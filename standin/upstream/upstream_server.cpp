#include "standin/upstream/upstream_server.hpp"

#include "standin/common/answer.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pistachiospan::standin
{

NLOHMANN_JSON_SERIALIZE_ENUM(service_distribution,
                             {{service_distribution::constant, "constant"},
                              {service_distribution::exponential, "exponential"},
                              {service_distribution::log_normal, "log_normal"}})
NLOHMANN_JSON_SERIALIZE_ENUM(shed_policy, {{shed_policy::never, "never"},
                                           {shed_policy::over_slots, "over_slots"},
                                           {shed_policy::always, "always"}})
NLOHMANN_JSON_SERIALIZE_ENUM(report_policy, {{report_policy::truth, "truth"},
                                             {report_policy::good, "good"},
                                             {report_policy::bad, "bad"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(upstream_behaviour, slots, service_time_ms,
                                   distribution, warm_up_ms, shed, draining, healthy,
                                   probe_ms, report, load_lag_ms, truncate, wrong_id,
                                   crash, late, late_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(upstream_counts, runs, finished, cancelled,
                                   deadline_stopped, shed, expired, over_slots,
                                   highest_concurrency, keys_seen, bytes_received)

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr int status_deadline = 504;

// A cold upstream takes this many times as long.
constexpr double cold_factor = 4;
// Bounds the memory of the counts.
constexpr std::size_t max_keys = 2'000'000;

duration from_milliseconds(double count)
{
    return std::chrono::round<duration>(
        std::chrono::duration<double, std::milli>(std::max(count, 0.0)));
}

template <class Number>
std::optional<Number> parse_number(const std::optional<std::string>& text)
{
    Number value{};
    if (!text)
        return std::nullopt;
    const char* const end = text->data() + text->size();
    const auto [stop, problem] = std::from_chars(text->data(), end, value);
    if (problem != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

http_answer refusal(int status, std::string_view message)
{
    return {.status = status, .body = nlohmann::json{{"message", message}}.dump()};
}

} // namespace

upstream_server::upstream_server(event_base* base, const upstream_server_options& options)
    : behaviour(options.behaviour), base(base), random(options.seed), started(now()),
      http(base, {.max_body = options.max_body, .max_connections = options.connections},
           [this](const exchange_ptr& call) { this->handle(call); }),
      own_address(http.listen(options.listen))
{
}

void upstream_server::handle(const exchange_ptr& call)
{
    const std::string& path = call->path();
    if (path == "/healthz")
        this->probe(call);
    else if (path == "/load")
        this->send(call, {.body = this->load().dump()});
    else if (path == "/counts")
        call->answer(
            {.body = this->describe_counts(call->query("keys").has_value()).dump()});
    else if (path == "/control")
        this->change(call);
    else if (path.starts_with("/"))
        this->start_run(call);
    else
        call->answer(refusal(status_not_found, "no such path"));
}

void upstream_server::send(const exchange_ptr& call, http_answer content)
{
    if (this->behaviour.draining)
        content.headers.emplace_back("Drain", "1");
    call->answer(content);
}

bool upstream_server::refuse(const exchange_ptr& call, std::optional<duration> left)
{
    const bool is_over = this->running >= this->behaviour.slots;
    const bool is_expired = left && *left <= duration::zero();
    const bool is_shed = this->behaviour.shed == shed_policy::always ||
                         (this->behaviour.shed == shed_policy::over_slots && is_over);
    this->counts.over_slots += is_over ? 1 : 0;
    if (!is_expired && !is_shed)
        return false;
    ++(is_expired ? this->counts.expired : this->counts.shed);
    http_answer answer = is_expired ? refusal(status_deadline, "deadline passed")
                                    : refusal(status_unavailable, "shedding load");
    answer.headers.emplace_back("X-Not-Run", "1");
    this->send(call, std::move(answer));
    return true;
}

void upstream_server::note_key(const exchange_ptr& call, const std::string& account)
{
    const std::optional<std::string> key = call->header("Idempotency-Key");
    if (key && this->runs_by_key.size() < max_keys)
        ++this->runs_by_key[account + " " + *key];
}

void upstream_server::start_run(const exchange_ptr& call)
{
    this->counts.keys_seen += call->header("X-Client-Key") ? 1 : 0;
    std::optional<duration> left;
    if (const auto count = parse_number<std::int64_t>(call->header("X-Deadline-Ms")))
        left = std::chrono::milliseconds(*count);
    if (this->refuse(call, left))
        return;

    ++this->running;
    ++this->counts.runs;
    this->counts.highest_concurrency =
        std::max(this->counts.highest_concurrency, this->running);
    const std::string head = call->body(max_body_id);
    const std::string account = call->header("X-Client-Account").value_or("");
    this->note_key(call, account);

    const auto at = this->runs.insert(
        this->runs.end(),
        {.call = call,
         .request_id = call->header("X-Request-Id").value_or(""),
         .account = account,
         .body_id = head.substr(0, std::min(head.find('\n'), head.size())),
         .bytes_received = call->body_bytes(),
         .end = this->draw_ending()});
    this->counts.bytes_received += at->bytes_received;
    call->discard_body();
    duration span = this->draw_service_time();
    if (left && *left < span && at->end != ending::late)
    {
        span = *left;
        at->end = ending::deadline;
    }
    call->on_close = [this, at]
    {
        this->cancel(at);
    };
    at->pending = std::make_unique<timer>(this->base, [this, at] { this->finish(at); });
    at->pending->start(span);
}

// Requests beyond the slots share them, so each takes longer.
duration upstream_server::draw_service_time()
{
    const double mean = this->behaviour.service_time_ms;
    double drawn = mean;
    if (this->behaviour.distribution == service_distribution::exponential)
        drawn = std::exponential_distribution<>(1)(this->random) * mean;
    if (this->behaviour.distribution == service_distribution::log_normal)
        drawn = std::lognormal_distribution<>(-0.5, 1)(this->random) * mean;
    const double age = std::chrono::duration<double, std::milli>(now() - started).count();
    const double warm =
        this->behaviour.warm_up_ms > 0 ? age / this->behaviour.warm_up_ms : 1;
    const double cold = cold_factor - (cold_factor - 1) * std::min(warm, 1.0);
    const double crowding = static_cast<double>(this->running) / this->behaviour.slots;
    return from_milliseconds(drawn * cold * std::max(crowding, 1.0));
}

upstream_server::ending upstream_server::draw_ending()
{
    double drawn = std::uniform_real_distribution<>()(this->random);
    for (const auto& [share, end] :
         {std::pair(this->behaviour.truncate, ending::truncate),
          std::pair(this->behaviour.wrong_id, ending::wrong_id),
          std::pair(this->behaviour.crash, ending::crash),
          std::pair(this->behaviour.late, ending::late)})
    {
        if (drawn < share)
            return end;
        drawn -= share;
    }
    return ending::answer;
}

http_answer upstream_server::make_answer(const run& ended) const
{
    const exchange& call = *ended.call;
    const std::string id =
        ended.end == ending::wrong_id ? "wrong-" + ended.request_id : ended.request_id;
    const std::uint64_t filler =
        parse_number<std::uint64_t>(call.query("answer_bytes")).value_or(0);
    std::string body = nlohmann::ordered_json{
        {"request_id", id},
        {"account", ended.account},
        {"path", call.path()},
        {"method", call.method()},
        {"bytes_received", ended.bytes_received},
        {"body_id", ended.body_id},
        {"upstream", this->own_address},
        {"filler",
         ""}}.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    const std::string tail = "\"}";
    body.resize(body.size() - tail.size());
    return {.headers = {{"X-Request-Id", id}},
            .body = std::move(body),
            .filler_bytes = std::min(filler, max_answer_bytes),
            .filler = filler_letter(id),
            .tail = tail};
}

void upstream_server::release(run_iterator ended)
{
    --this->running;
    ended->call->on_close = nullptr;
}

void upstream_server::finish(run_iterator ended)
{
    this->release(ended);
    ++(ended->end == ending::deadline ? this->counts.deadline_stopped
                                      : this->counts.finished);
    switch (ended->end)
    {
    case ending::late:
        this->answer_late(ended);
        return;
    case ending::deadline:
        this->send(ended->call, refusal(status_deadline, "stopped at the deadline"));
        break;
    case ending::crash:
        ended->call->drop();
        break;
    case ending::truncate:
        ended->call->answer_truncated(this->make_answer(*ended));
        break;
    case ending::answer:
    case ending::wrong_id:
        this->send(ended->call, this->make_answer(*ended));
        break;
    }
    this->runs.erase(ended);
}

void upstream_server::answer_late(run_iterator ended)
{
    ended->call->on_close = [this, ended]
    {
        this->runs.erase(ended);
    };
    ended->pending =
        std::make_unique<timer>(this->base,
                                [this, ended]
                                {
                                    ended->call->on_close = nullptr;
                                    this->send(ended->call, this->make_answer(*ended));
                                    this->runs.erase(ended);
                                });
    ended->pending->start(from_milliseconds(this->behaviour.late_ms));
}

void upstream_server::cancel(run_iterator ended)
{
    this->release(ended);
    ++this->counts.cancelled;
    this->runs.erase(ended);
}

void upstream_server::change(const exchange_ptr& call)
{
    nlohmann::json merged = this->behaviour;
    if (call->method() != "GET")
    {
        try
        {
            const nlohmann::json wanted = nlohmann::json::parse(call->body());
            for (const auto& [name, value] : wanted.items())
                merged.at(name) = value;
            merged.at("slots") = std::max(merged.at("slots").get<std::uint32_t>(), 1U);
            merged.get_to(this->behaviour);
        }
        catch (const nlohmann::json::exception& malformed)
        {
            call->answer(refusal(status_bad_request, malformed.what()));
            return;
        }
    }
    call->answer({.body = nlohmann::json(this->behaviour).dump()});
}

void upstream_server::probe(const exchange_ptr& call)
{
    const auto at = this->probes.insert(this->probes.end(), nullptr);
    *at = std::make_unique<timer>(
        this->base,
        [this, call, at]
        {
            const report_policy policy = this->behaviour.report;
            const bool healthy = policy == report_policy::truth
                                     ? this->behaviour.healthy
                                     : policy == report_policy::good;
            this->send(call, {.status = healthy ? HTTP_OK : status_unavailable,
                              .body = nlohmann::json{{"healthy", healthy}}.dump()});
            this->probes.erase(at);
        });
    (*at)->start(from_milliseconds(this->behaviour.probe_ms));
}

nlohmann::json upstream_server::load()
{
    const time_point at = now();
    const duration lag = from_milliseconds(this->behaviour.load_lag_ms);
    if (!this->reported.taken || at - *this->reported.taken >= lag)
        this->reported = {.taken = at, .in_flight = this->running};
    std::uint32_t in_flight = this->reported.in_flight;
    if (this->behaviour.report == report_policy::good)
        in_flight = 0;
    if (this->behaviour.report == report_policy::bad)
        in_flight = this->behaviour.slots;
    return {{"in_flight", in_flight},
            {"slots", this->behaviour.slots},
            {"draining", this->behaviour.draining}};
}

nlohmann::json upstream_server::describe_counts(bool with_keys) const
{
    const connection_counts& connections = this->http.connections();
    nlohmann::json described = this->counts;
    described["upstream"] = this->own_address;
    described["in_flight"] = this->running;
    described["connections"] = {{"open", connections.open},
                                {"highest", connections.highest},
                                {"refused", connections.refused}};
    nlohmann::json repeated = nlohmann::json::object();
    for (const auto& [key, count] : this->runs_by_key)
        if (count > 1)
            repeated[key] = count;
    described["repeated_keys"] = std::move(repeated);
    if (with_keys)
        described["keys"] = this->runs_by_key;
    return described;
}

} // namespace pistachiospan::standin
