#include "pistachiospan/admission/admission.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiospan::admission
{

namespace
{

// Interval at which the figures are brought up to date.
constexpr duration update_interval = std::chrono::milliseconds(100);
// A service without requests for this long is measured anew.
constexpr duration idle_time = std::chrono::seconds(5);
// Accounts with less than this many requests in the averages are forgotten.
constexpr double min_requests = 0.01;
// Weight of one answer in the usual time of a route.
constexpr double time_weight = 0.05;
// Of an account that the coordinator has not named, below the level that passes: the
// minimum of an account, as a part of its even share.
constexpr double unknown_fraction = 0.05;
// Time constant with which the room that a service had before is forgotten. Long enough
// for a service that was down.
constexpr double usual_room_time = 30; // seconds
// Slot time that an account may save up, in requests of the longest route.
constexpr double max_credit = 2;
// Callers wait at most this part of their remaining time before they send again.
constexpr int max_wait_divisor = 3;
// Part of the room that the requests of one urgency have at least for their turns.
constexpr double min_turn_part = 0.05;
// Assumed room for turns while nothing is known: one slot.
constexpr double initial_room = 1;
// Room that is not used within this time is idle, and passes to whoever sends next: the
// averages take longer to follow demand that falls.
constexpr double idle_room_time = 0.3; // seconds
// Longest use of a decision about one account that was not repeated.
constexpr duration max_told_age = std::chrono::seconds(5);
// Part of the window that is to be seen before room counts as short: what a service takes
// in the first moments of a wave says nothing, as it fills empty slots and queues. About
// a second after the first request.
constexpr double min_observed = 0.63;
constexpr duration change_interval = std::chrono::seconds(1);

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration from_seconds(double span)
{
    // Longer waits than an hour mean that the service has no room.
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(span, 3600.0)));
}

// What passes of `demand` of an account that nothing has been decided about yet.
double fraction_by_level(int priority, int level, double share, double demand)
{
    if (priority != level)
        return priority < level ? 1 : unknown_fraction;
    return demand <= share ? 1 : share / demand;
}

} // namespace

std::uint32_t hash_of_name(std::string_view name)
{
    return static_cast<std::uint32_t>(hash_bytes(name));
}

controller::controller(controller_options options, controller_hooks hooks)
    : options(options), hooks(std::move(hooks))
{
}

controller::service_state& controller::state_of(time_point now, std::string_view service)
{
    auto found = this->services.find(service);
    if (found == this->services.end())
    {
        found = this->services.emplace(service, service_state()).first;
        found->second.id = hash_of_name(service);
        found->second.name = service;
        found->second.updated_at = now;
    }
    service_state& state = found->second;
    if (now - state.used_at > idle_time)
    {
        state.observed = state.samples = state.failures = 0;
        state.sums = {};
        state.estimate = {};
        state.flows.clear();
        state.updated_at = now;
    }
    state.used_at = now;
    if (now - state.updated_at >= update_interval)
        this->update(now, state);
    return state;
}

// Brings the averages up to date. All sums of a service decay with the same weight as the
// time over which they were taken, so that their ratios hold at any time.
void controller::update(time_point now, service_state& state)
{
    const double passed = seconds(now - std::exchange(state.updated_at, now));
    const double rate = state.observed > 0 ? state.samples / state.observed : 0;
    const double window =
        std::clamp(rate > 0 ? this->options.min_samples / rate : 0,
                   seconds(this->options.window), seconds(this->options.max_window));
    const double kept = std::exp(-passed / window);
    state.observed = state.observed * kept + window * (1 - kept);
    state.sums.placed *= kept;
    state.sums.failed *= kept;
    state.sums.late *= kept;
    state.samples *= kept;
    state.failures *= kept;
    std::erase_if(state.flows,
                  [](const auto& each) { return each.second.requests < min_requests; });
    for (auto& [key, each] : state.flows)
    {
        each.demand *= kept;
        each.requests *= kept;
    }
    const double placed = std::max(state.sums.placed, 0.0) / state.observed;
    // The first moments say little about a rate.
    if (state.observed >= seconds(this->options.window) / 2)
        state.usual_room =
            std::max(placed, state.usual_room * std::exp(-passed / usual_room_time));
    double demand = 0;
    for (const auto& [key, each] : state.flows)
        demand += each.demand;
    state.estimate.update(now,
                          {.placed = state.sums.placed / state.observed,
                           .failed = state.sums.failed / state.observed,
                           .late = state.sums.late / state.observed},
                          demand / state.observed,
                          state.failures >= this->options.min_failures &&
                              state.observed >=
                                  seconds(this->options.window) * min_observed,
                          state.told ? state.told->room : 0);
    if (state.estimate.is_short())
        this->divide_room(state);
    // The sums have decayed as if all requests since the last update had come just after
    // it.
    const double decayed = 1 + passed / (2 * window);
    state.expected = 0;
    for (const auto& [key, each] : state.flows)
        state.expected += this->passing_fraction(now, state, key.priority, each) *
                          each.demand / state.observed * decayed;
    this->report_change(now, state);
}

void controller::divide_room(service_state& state)
{
    std::vector<flow_demand> demands;
    for (const auto& [key, each] : state.flows)
        demands.push_back({.key = key,
                           .demand = each.demand / state.observed,
                           .cost = each.demand / each.requests});
    state.local = internal::divide(state.estimate.room(), demands);
    for (std::size_t at = 0; at < demands.size(); ++at)
        state.flows[demands[at].key].fraction =
            demands[at].demand > 0
                ? std::min(state.local.allotted[at] / demands[at].demand, 1.0)
                : 1;
}

bool controller::is_told(time_point now, const service_state& state) const
{
    return state.told && now - state.told_at <= this->options.news_lifetime;
}

double controller::passing_fraction(time_point now, const service_state& state,
                                    int priority, const flow& own) const
{
    const double demand = state.observed > 0 ? own.demand / state.observed : 0;
    if (this->is_told(now, state))
    {
        if (!state.told->is_restricted)
            return 1;
        // Messages may have been lost; the last decision is better than none.
        if (own.told && now - own.told_at <= max_told_age)
            return *own.told;
        return fraction_by_level(priority, state.told->level, state.told->share, demand);
    }
    return state.estimate.is_short() ? own.fraction : 1;
}

double controller::usual_time(const service_state& state, std::string_view route) const
{
    const auto found = state.usual_times.find(route);
    return found == state.usual_times.end() ? seconds(this->options.initial_time)
                                            : found->second;
}

void controller::learn_time(service_state& state, std::string_view route,
                            duration elapsed) const
{
    const auto [found, is_new] =
        state.usual_times.try_emplace(std::string(route), seconds(elapsed));
    if (!is_new)
        found->second += time_weight * (seconds(elapsed) - found->second);
    state.longest_time = 0;
    for (const auto& [name, each] : state.usual_times)
        state.longest_time = std::max(state.longest_time, each);
}

decision controller::decide(time_point now, const request& incoming)
{
    service_state& state = this->state_of(now, incoming.service);
    const double cost = this->usual_time(state, incoming.route);
    const auto [found, is_new] = state.flows.try_emplace(
        {.account = hash_of_name(incoming.account), .priority = incoming.priority});
    flow& own = found->second;
    if (is_new)
    {
        // The first request of an account passes.
        own.credit = cost;
        own.fraction = state.local.is_restricted && state.estimate.is_short()
                           ? fraction_by_level(incoming.priority, state.local.level,
                                               state.local.share, cost)
                           : 1;
    }
    own.demand += cost;
    own.requests += 1;
    const double fraction = this->passing_fraction(now, state, incoming.priority, own);
    if (fraction >= 1)
    {
        this->take_room(now, state, cost, true);
        return {};
    }
    const double largest = std::max(state.longest_time, cost);
    own.credit = std::min(own.credit + fraction * cost, max_credit * largest);
    const bool passes = own.credit >= cost;
    if (passes)
        own.credit -= cost;
    if (this->take_room(now, state, cost, passes))
        return {.yields = true};
    ++state.refused;
    return {.admitted = false, .retry_after = this->turn(now, state, incoming)};
}

// Takes the work of one request from the room that this VM expects to use. Returns false
// if the request does not pass by its account's share and no room is idle.
bool controller::take_room(time_point now, service_state& state, double cost,
                           bool passes) const
{
    const double largest = std::max(state.longest_time, cost);
    const double bound = state.expected * idle_room_time + max_credit * largest;
    state.idle_room =
        std::min(state.idle_room +
                     state.expected * seconds(now - std::exchange(state.taken_at, now)),
                 bound);
    if (!passes && state.idle_room + cost < bound)
        return false;
    state.idle_room = std::max(state.idle_room - cost, -bound);
    return true;
}

void controller::note(time_point now, const request& admitted, outcome result,
                      duration elapsed)
{
    service_state& state = this->state_of(now, admitted.service);
    const double cost = this->usual_time(state, admitted.route);
    switch (result)
    {
    case outcome::placed:
        state.sums.placed += cost;
        state.samples += 1;
        return;
    case outcome::not_sent:
        state.sums.placed -= cost;
        return;
    case outcome::refused:
        state.sums.placed -= cost;
        [[fallthrough]];
    case outcome::no_room:
        state.sums.failed += cost;
        state.samples += 1;
        state.failures += 1;
        return;
    case outcome::answered_late:
        state.sums.late += cost;
        state.failures += 1;
        [[fallthrough]];
    case outcome::answered:
        this->learn_time(state, admitted.route, elapsed);
    }
}

// Turns follow each other at the rate of the room that more urgent requests leave.
duration controller::turn(time_point now, service_state& state, const request& refused)
{
    double room =
        state.estimate.is_short() ? state.sums.placed / state.observed : state.usual_room;
    if (room <= 0)
        room = initial_room;
    double urgent = 0;
    for (const auto& [key, each] : state.flows)
        if (key.priority < refused.priority && state.observed > 0)
            urgent += each.demand / state.observed;
    const double rate = std::max(room - urgent, room * min_turn_part);
    return state.turns.next(now, refused.priority,
                            from_seconds(this->usual_time(state, refused.route) / rate),
                            refused.time_left / max_wait_divisor);
}

duration controller::retry_turn(time_point now, const request& failed)
{
    return this->turn(now, this->state_of(now, failed.service), failed);
}

std::vector<service_report> controller::report(time_point now)
{
    std::vector<service_report> reports;
    for (auto& [name, state] : this->services)
    {
        if (now - state.updated_at >= update_interval)
            this->update(now, state);
        if (!state.estimate.is_short() && !this->is_told(now, state))
            continue;
        const double observed = std::max(state.observed, 1e-3);
        service_report report{.service = state.id,
                              .room = {.placed = state.sums.placed / observed,
                                       .failed = state.sums.failed / observed,
                                       .late = state.sums.late / observed,
                                       .usual = state.estimate.usual()}};
        for (const auto& [key, each] : state.flows)
            report.flows.push_back({.key = key,
                                    .demand = each.demand / observed,
                                    .cost = each.demand / each.requests});
        reports.push_back(std::move(report));
    }
    return reports;
}

void controller::apply(time_point now, std::span<const service_news> news)
{
    for (auto& [name, state] : this->services)
    {
        const auto found = std::ranges::find(news, state.id, &service_news::service);
        if (found == news.end())
            continue;
        state.told = *found;
        state.told_at = now;
        state.told->flows.clear();
        for (const passing_flow& each : found->flows)
            if (const auto own = state.flows.find(each.key); own != state.flows.end())
            {
                own->second.told = each.fraction;
                own->second.told_at = now;
            }
        this->report_change(now, state);
    }
}

service_view controller::view_of(time_point now, const service_state& state) const
{
    service_view view{.service = state.name, .refused = state.refused};
    for (const auto& [key, each] : state.flows)
        view.demand += state.observed > 0 ? each.demand / state.observed : 0;
    view.is_told = this->is_told(now, state);
    view.is_short = view.is_told || state.estimate.is_short();
    if (!view.is_short)
        return view;
    const bool is_restricted =
        view.is_told ? state.told->is_restricted : state.local.is_restricted;
    view.room = view.is_told ? state.told->room : state.estimate.room();
    if (is_restricted)
    {
        view.level = view.is_told ? state.told->level : state.local.level;
        view.share = view.is_told ? state.told->share : state.local.share;
    }
    return view;
}

// A level may change many times a second while two are close; one line a second is
// enough.
void controller::report_change(time_point now, service_state& state)
{
    const service_view view = this->view_of(now, state);
    const bool is_changed =
        view.is_short != state.was_short || view.level != state.last_level;
    if (!is_changed || now - state.reported_at < change_interval)
        return;
    state.was_short = view.is_short;
    state.last_level = view.level;
    state.reported_at = now;
    if (this->hooks.changed)
        this->hooks.changed(view);
}

std::vector<service_view> controller::views(time_point now) const
{
    std::vector<service_view> all;
    for (const auto& [name, state] : this->services)
        all.push_back(this->view_of(now, state));
    return all;
}

} // namespace pistachiospan::admission
