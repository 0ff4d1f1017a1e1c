#include "pistachiospan/world/upstream.hpp"

#include <algorithm>

namespace pistachiospan::world
{

namespace
{

// The time of one piece of work varies evenly by this fraction, up and down.
constexpr double work_spread = 0.2;

} // namespace

upstream::upstream(scheduler& events, random_engine& random, upstream_options options)
    : events(events), random(random), options(std::move(options))
{
}

// Draws a random number only if the upstream refuses requests at random, so that runs
// without such upstreams don't depend on it.
bool upstream::refuses_at_random()
{
    return this->refused_fraction > 0 &&
           std::uniform_real_distribution<>(0, 1)(this->random) < this->refused_fraction;
}

void upstream::receive(const incoming_request& request, answer_handler answer)
{
    if (this->down)
    {
        answer({.outcome = gateway::attempt_outcome::broken, .connection_lost = true});
        return;
    }
    const bool is_refused = this->refuses_at_random();
    const bool has_slot =
        !is_refused && this->running.size() < this->options.registration.slots;
    const bool has_room =
        has_slot || (!is_refused && this->queue.size() < this->options.max_queued);
    this->received.push_back({.at = this->events.now(),
                              .request = request.id,
                              .vm = request.vm,
                              .sent_at = request.sent_at,
                              .account = request.account,
                              .object = request.object,
                              .ran = has_room,
                              .is_excused = request.is_excused,
                              .unharmed = request.unharmed});
    if (has_slot)
        this->start({request.account, request.object, std::move(answer)});
    else if (has_room)
        this->queue.push_back({request.account, request.object, std::move(answer)});
    else if (!this->silent)
        answer(this->result_of(gateway::attempt_outcome::not_run));
}

void upstream::start(waiting_request request)
{
    const std::uint64_t run = ++this->last_run;
    this->running[run] = std::move(request.answer);
    const request_kind kind(request.account, request.object);
    if (this->crashing.contains(kind))
    {
        this->events.after(this->options.time_to_crash,
                           [this, run, kind]
                           {
                               if (!this->running.contains(run))
                                   return;
                               this->crashes.push_back({this->events.now(), kind});
                               this->crash();
                           });
        return;
    }
    this->events.after(this->work_on(request.object),
                       [this, run]
                       {
                           if (this->running.contains(run))
                               this->finish(run);
                       });
}

void upstream::finish(std::uint64_t run)
{
    const answer_handler answer = std::move(this->running.at(run));
    this->running.erase(run);
    if (!this->queue.empty())
    {
        waiting_request next = std::move(this->queue.front());
        this->queue.pop_front();
        this->start(std::move(next));
    }
    if (!this->silent)
        answer(this->result_of(gateway::attempt_outcome::answered));
}

duration upstream::work_on(const std::string& object)
{
    const auto known = std::ranges::find(this->known_objects, object);
    const bool knows = known != this->known_objects.end();
    if (knows)
        this->known_objects.erase(known);
    this->known_objects.push_back(object);
    if (this->known_objects.size() > this->options.max_known_objects)
        this->known_objects.pop_front();
    std::uniform_real_distribution<> spread(1 - work_spread, 1 + work_spread);
    const duration usual = knows ? this->options.known_time : this->options.unknown_time;
    return std::chrono::duration_cast<duration>(usual * spread(this->random));
}

gateway::attempt_result upstream::result_of(gateway::attempt_outcome outcome)
{
    const bool answered = outcome == gateway::attempt_outcome::answered;
    gateway::attempt_result result{
        .outcome = outcome,
        .status = answered ? 200 : 503,
        .load = upstreams::load_report{
            .running = static_cast<std::uint32_t>(this->running.size()),
            .waiting = static_cast<std::uint32_t>(this->queue.size()),
            .slots = this->options.registration.slots}};
    result.leaving = this->leaving;
    // A refusal without a limit does not say that there is none.
    if (!answered && !this->limit)
        return result;
    result.limit = upstreams::limit_statement{.rate = this->limit};
    this->record_limit(this->limit);
    return result;
}

void upstream::record_limit(std::optional<double> rate)
{
    const std::optional<double> before =
        this->named.empty() ? std::nullopt : this->named.back().rate;
    if (rate != before)
        this->named.push_back({this->events.now(), rate});
}

void upstream::crash()
{
    this->down = true;
    std::vector<answer_handler> lost;
    for (auto& [run, answer] : this->running)
        lost.push_back(std::move(answer));
    for (waiting_request& each : this->queue)
        lost.push_back(std::move(each.answer));
    this->running.clear();
    this->queue.clear();
    for (const answer_handler& answer : lost)
        answer({.outcome = gateway::attempt_outcome::broken, .connection_lost = true});
    if (this->options.on_crash)
        this->options.on_crash();
}

void upstream::set_crashing(const std::string& account, const std::string& object,
                            bool crashes)
{
    if (crashes)
        this->crashing.emplace(account, object);
    else
        this->crashing.erase({account, object});
}

std::vector<time_point> upstream::crashes_by(const std::string& account,
                                             const std::string& object) const
{
    std::vector<time_point> times;
    for (const crash_record& each : this->crashes)
        if (each.cause == request_kind(account, object))
            times.push_back(each.at);
    return times;
}

void upstream::restart()
{
    ++this->options.registration.started;
    this->down = false;
    this->running.clear();
    this->queue.clear();
    this->known_objects.clear();
    this->refused_fraction = 0;
    this->leaving = false;
    this->limit.reset();
    this->record_limit(std::nullopt);
}

} // namespace pistachiospan::world
