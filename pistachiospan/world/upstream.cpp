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
    const bool is_refused = this->refuses_at_random();
    const bool has_slot = !is_refused && this->running < this->options.registration.slots;
    const bool has_room =
        has_slot || (!is_refused && this->queue.size() < this->options.max_queued);
    this->received.push_back({.at = this->events.now(),
                              .request = request.id,
                              .vm = request.vm,
                              .sent_at = request.sent_at,
                              .account = request.account,
                              .ran = has_room,
                              .is_excused = request.is_excused});
    if (has_slot)
        this->start({request.object, std::move(answer)});
    else if (has_room)
        this->queue.push_back({request.object, std::move(answer)});
    else if (!this->silent)
        answer(this->result_of(gateway::attempt_outcome::not_run));
}

void upstream::start(waiting_request request)
{
    ++this->running;
    this->events.after(this->work_on(request.object),
                       [this, answer = std::move(request.answer),
                        of = this->options.registration.started]
                       {
                           if (of == this->options.registration.started)
                               this->finish(answer);
                       });
}

void upstream::finish(const answer_handler& answer)
{
    --this->running;
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
            .running = static_cast<std::uint32_t>(this->running),
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

void upstream::restart()
{
    ++this->options.registration.started;
    this->running = 0;
    this->queue.clear();
    this->known_objects.clear();
    this->refused_fraction = 0;
    this->leaving = false;
    this->limit.reset();
    this->record_limit(std::nullopt);
}

} // namespace pistachiospan::world
