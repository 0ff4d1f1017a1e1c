#include "standin/platform/platform_server.hpp"

#include "pistachiospan/store_http/internal/protocol.hpp"

namespace pistachiospan::standin
{

namespace
{

using store::internal::not_run_header;

constexpr std::string_view control_path = "/control";
constexpr std::string_view object_path = "/objects/";
// Far above every client's timeout: a lost answer leaves the connection silent until
// then.
constexpr duration silence = std::chrono::minutes(10);

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

std::string problem(std::string_view message)
{
    return nlohmann::json{{"message", message}}.dump();
}

void answer_error(const exchange_ptr& call, const error& reason)
{
    http_answer refusal{.status = status_unavailable, .body = problem(reason.message)};
    const std::error_code code = reason.code;
    if (code == errc::unknown_outcome)
    {
        call->drop();
        return;
    }
    if (code == errc::unavailable)
        refusal.headers.emplace_back(not_run_header, "1");
    if (code == errc::limit_exceeded)
        refusal.status = status_too_many;
    if (code == errc::not_found)
        refusal.status = status_not_found;
    if (code == errc::invalid_argument)
        refusal.status = status_bad_request;
    call->answer(refusal);
}

// Handler that answers `call` with what `encode` makes of the value.
template <class T>
store::handler<T> answer_with(const exchange_ptr& call,
                              std::function<std::string(const T&)> encode)
{
    return [call, encode = std::move(encode)](const result<T>& outcome)
    {
        if (outcome)
            call->answer({.body = encode(outcome.value())});
        else
            answer_error(call, outcome.error());
    };
}

bool is_write(const exchange& call)
{
    return call.method() != "GET";
}

duration milliseconds_of(const nlohmann::json& value)
{
    return std::chrono::milliseconds(value.get<std::int64_t>());
}

std::int64_t count_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Sets `target` from the member `name`, if the change has it.
template <class T>
void update(const nlohmann::json& wanted, const char* name, T& target)
{
    if (!wanted.contains(name))
        return;
    if constexpr (std::is_same_v<T, duration>)
        target = milliseconds_of(wanted[name]);
    else
        wanted[name].get_to(target);
}

} // namespace

platform_server::platform_server(event_base* base, platform_server_options options)
    : platform({.seed = options.seed, .start = now()}), options(std::move(options)),
      backend(platform), clock(base, [this] { this->settle(); }),
      data(base, {}, [this](const exchange_ptr& call) { this->handle(call, false); }),
      control(base, {}, [this](const exchange_ptr& call) { this->handle(call, true); }),
      data_address(data.listen(this->options.listen))
{
    this->backend.link.latency = duration::zero();
    this->backend.timeout = silence;
    if (!this->options.control.empty())
        this->second_address = this->control.listen(this->options.control);
}

void platform_server::settle()
{
    this->platform.advance(now());
    if (const std::optional<time_point> next = this->platform.next_event())
        this->clock.start(*next - now());
}

void platform_server::handle(const exchange_ptr& call, bool may_close)
{
    this->platform.advance(now());
    try
    {
        if (call->path().starts_with(control_path))
            this->handle_control(call, may_close);
        else
            this->handle_data(call);
    }
    catch (const nlohmann::json::exception& malformed)
    {
        call->answer({.status = status_bad_request, .body = problem(malformed.what())});
    }
    this->settle();
}

bool platform_server::over_limit(window& used, std::uint32_t limit)
{
    if (now() - used.start >= std::chrono::seconds(1))
        used = {.start = now()};
    ++used.used;
    return limit != 0 && used.used > limit;
}

void platform_server::handle_data(const exchange_ptr& call)
{
    const bool over = is_write(*call)
                          ? this->over_limit(this->writes, this->options.max_writes_per_s)
                          : this->over_limit(this->reads, this->options.max_reads_per_s);
    if (over)
    {
        ++this->refused_over_limit;
        call->answer({.status = status_too_many, .body = problem("over the limit")});
        return;
    }

    store::table& rows = this->backend;
    store::object_store& objects = this->backend;
    const std::string route = call->method() + " " + call->path();
    if (route == "POST /table/transact")
        rows.transact(nlohmann::json::parse(call->body())
                          .get<store::internal::transact_request>()
                          .writes,
                      answer_with<store::transaction_outcome>(
                          call, [](const auto& outcome)
                          { return nlohmann::json(outcome).dump(); }));
    else if (route == "GET /table/row")
        rows.get(
            call->query("key").value_or(""),
            answer_with<std::optional<store::row>>(
                call, [](const auto& found)
                { return nlohmann::json(store::internal::row_response{found}).dump(); }));
    else if (route == "GET /table/scan")
        rows.scan(
            call->query("prefix").value_or(""),
            answer_with<std::vector<store::row>>(
                call,
                [](const auto& found) {
                    return nlohmann::json(store::internal::rows_response{found}).dump();
                }));
    else if (route == "GET /vms")
        this->backend.list(answer_with<std::vector<store::vm_entry>>(
            call, [](const auto& found)
            { return nlohmann::json(store::internal::vms_response{found}).dump(); }));
    else if (route.starts_with("PUT /objects/"))
        objects.put(call->path().substr(object_path.size()), call->body(),
                    answer_with<bool>(call, [](bool) { return std::string("{}"); }));
    else if (route.starts_with("GET /objects/"))
        objects.get(call->path().substr(object_path.size()),
                    answer_with<std::string>(call, [](const std::string& bytes)
                                             { return bytes; }));
    else
        call->answer({.status = status_not_found, .body = problem("no such path")});
}

void platform_server::handle_control(const exchange_ptr& call, bool may_close)
{
    const std::string route = call->method() + " " + call->path();
    const nlohmann::json body =
        is_write(*call) ? nlohmann::json::parse(call->body()) : nlohmann::json::object();
    store::testing::memory_vm_list& vms = this->platform.vms;
    if (route == "POST /control" && body.contains("closed") && !may_close)
    {
        // A server must not be freed while it handles a request.
        call->answer({.status = status_bad_request,
                      .body = problem("closed is changed on the control address only")});
        return;
    }
    if (route == "POST /control")
        this->change(body);
    else if (route == "POST /control/vms")
        vms.set(now(), body.get<store::internal::vms_response>().vms);
    else if (route == "POST /control/vm")
        vms.add(now(), body.get<store::vm_entry>());
    else if (route == "POST /control/remove")
        vms.remove(now(), body.at("id").get<vm_id>());
    else if (route == "POST /control/leaving")
    {
        const auto marked = vms.mark_leaving(now(), body.at("id").get<vm_id>(),
                                             body.value("leaving", true));
        if (!marked)
        {
            answer_error(call, marked.error());
            return;
        }
    }
    else if (route == "GET /control/counts")
    {
        const nlohmann::json counts = {{"reads", this->platform.counts.reads},
                                       {"writes", this->platform.counts.writes},
                                       {"refused_over_limit", this->refused_over_limit}};
        call->answer({.body = counts.dump()});
        return;
    }
    else if (route != "GET /control")
    {
        call->answer({.status = status_not_found, .body = problem("no such path")});
        return;
    }
    call->answer({.body = this->describe().dump()});
}

void platform_server::change(const nlohmann::json& wanted)
{
    store::testing::faults& service = this->platform.service;
    update(wanted, "latency_ms", service.latency);
    update(wanted, "jitter_ms", service.jitter);
    update(wanted, "refuse", service.refuse);
    update(wanted, "silent", service.silent);
    update(wanted, "overloaded", service.overloaded);
    update(wanted, "lose_requests", service.lose_requests);
    update(wanted, "lose_answers", service.lose_answers);
    update(wanted, "vm_list_lag_ms", this->platform.vm_list_lag);
    update(wanted, "max_reads_per_s", this->options.max_reads_per_s);
    update(wanted, "max_writes_per_s", this->options.max_writes_per_s);
    const bool was_closed = this->closed;
    update(wanted, "closed", this->closed);
    if (this->closed && !was_closed)
        this->data.close();
    if (!this->closed && was_closed)
        this->data.listen(this->data_address);
}

nlohmann::json platform_server::describe() const
{
    const store::testing::faults& service = this->platform.service;
    return {{"latency_ms", count_milliseconds(service.latency)},
            {"jitter_ms", count_milliseconds(service.jitter)},
            {"refuse", service.refuse},
            {"silent", service.silent},
            {"overloaded", service.overloaded},
            {"lose_requests", service.lose_requests},
            {"lose_answers", service.lose_answers},
            {"closed", this->closed},
            {"vm_list_lag_ms", count_milliseconds(this->platform.vm_list_lag)},
            {"max_reads_per_s", this->options.max_reads_per_s},
            {"max_writes_per_s", this->options.max_writes_per_s}};
}

} // namespace pistachiospan::standin
