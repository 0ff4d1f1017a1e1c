#include "tools/soak/traffic.hpp"

#include "pistachiospan/event_loop/event_loop.hpp"
#include "platform/names.hpp"

namespace pistachiospan::soak
{

namespace
{

constexpr duration caller_patience = std::chrono::milliseconds(1200);
constexpr std::uint64_t objects = 20;

// The reason in the body of a daemon's refusal: the text before the colon.
std::string reason_of(const http1::response& refusal)
{
    const nlohmann::json body = nlohmann::json::parse(refusal.body, nullptr, false);
    const std::string text = body.is_object() ? body.value("error", "") : std::string();
    return text.substr(0, text.find(':'));
}

} // namespace

bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

traffic::traffic(event_base* base, std::uint64_t seed)
    : random(seed), callers(base, {.max_idle_connections = 8})
{
}

void traffic::send(time_point now, const vm_process& to, const std::string& key)
{
    const std::string id = "request-" + std::to_string(++this->last);
    const bool order = this->random() % 2 == 0;
    const std::string object = std::to_string(this->random() % objects);
    namespace names = platform::names;
    const http1::request asked{
        .method = order ? "POST" : "GET",
        .target = (order ? "/order/" : "/read/") + object,
        .headers = {{"Host", "a.example"},
                    {std::string(names::request_id), id},
                    {"Cookie", std::string(names::affinity_cookie) + "=" + object},
                    {std::string(names::time_left),
                     std::to_string(caller_patience / std::chrono::milliseconds(1))},
                    {std::string(names::authorization),
                     std::string(names::key_scheme) + key}},
        .body = order ? "body of " + id : ""};
    this->requests[id] = {.order = order,
                          .key = key,
                          .vm = &to,
                          .sent = now,
                          .during_clean_stop = to.clean_stop};
    this->callers.send(to.callers(), asked, {.timeout = caller_patience},
                       [this, id](const http1::call_result& ended)
                       { this->finish(id, ended); });
}

void traffic::finish(const std::string& id, const http1::call_result& ended)
{
    sent_request& of = this->requests.at(id);
    of.during_clean_stop = of.during_clean_stop && of.vm->clean_stop;
    if (ended.end != http1::call_end::answered)
        return;
    of.status = ended.answer.status;
    if (promises_not_run(of.status))
        ++this->refusal_counts[std::to_string(of.status) + ' ' + reason_of(ended.answer)];
    const std::string* owner =
        http1::find_header(ended.answer.headers, platform::names::request_id);
    if (of.status == 200 && (owner == nullptr || *owner != id))
        this->foreign_answers.push_back(id);
}

std::pair<std::size_t, std::size_t> traffic::served_since(time_point from) const
{
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto& [id, each] : this->requests)
    {
        if (each.sent < from)
            continue;
        ++sent;
        served += each.status == 200 ? 1 : 0;
    }
    return {sent, served};
}

} // namespace pistachiospan::soak
