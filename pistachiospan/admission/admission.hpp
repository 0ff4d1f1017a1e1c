// Decides which requests are admitted while a service has too little room for all.
//
// Example:
//
//     controller local({}, {.changed = log_view});
//     const decision decided = local.decide(now, {.service = "orders", ...});
//     if (decided.admitted)
//         local.note(now, request, outcome::placed);
//     local.note(now, request, outcome::answered, elapsed);
//     local.apply(now, told); // by the coordinator
//
// Room is short while a part of the admitted requests fails for lack of it. Then it is
// divided by urgency, and evenly among the accounts of one urgency, in slot time:
// requests times the usual time of their route. Each account is admitted in proportion to
// its demand, so that VMs with different callers need no further agreement. While room is
// not short, everything is admitted.
//
// The VMs of a data centre report demand and room to their coordinator while room is
// short. It divides the sums and sends each VM what passes; a VM without that decides by
// its own figures. Holds no sockets and no clocks.

#ifndef PISTACHIOSPAN_ADMISSION_ADMISSION_HPP
#define PISTACHIOSPAN_ADMISSION_ADMISSION_HPP

#include "pistachiospan/admission/internal/room.hpp"
#include "pistachiospan/admission/internal/shares.hpp"
#include "pistachiospan/admission/internal/turns.hpp"
#include "pistachiospan/base/base.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pistachiospan::admission
{

// A request that is to be sent to an upstream.
struct request
{
    std::string_view service;
    std::string_view account; // empty: an open route without a key
    std::string_view route;   // requests of one route take about the same time
    int priority = 0;         // 0 is the most urgent
    duration objective{0};    // 0: none
    duration time_left{0};
};

struct decision
{
    bool admitted = true;
    // Its account gets less than it wants: the last room is for requests of others.
    bool yields = false;
    duration retry_after{0}; // refused: when the service can take it
};

enum class outcome
{
    placed,        // it is sent to an upstream
    no_room,       // no upstream has room for it, or none early enough
    not_sent,      // the upstream did not get it
    refused,       // by the upstream that it was sent to, as not run
    answered,      // within its objective, or late for another reason than the next one
    answered_late, // after the objective, because it had to wait
};

// The state of one service, for metrics and logs.
struct service_view
{
    std::string service;
    bool is_short = false;
    bool is_told = false; // by the coordinator; false: measured here
    int level = 0;        // least urgent priority that gets more than the minimum
    // Rates of slot time:
    double share = 0;          // that an account of that level gets; 0: not restricted
    double room = 0;           // that is admitted
    double demand = 0;         // at this VM
    std::uint64_t refused = 0; // requests, since the start of the process
};

// Names of services and accounts are told as this hash, because messages must be short.
std::uint32_t hash_of_name(std::string_view name);

// What a VM tells its coordinator about one service.
struct service_report
{
    std::uint32_t service = 0;
    room_figures room;
    std::vector<flow_demand> flows;
    bool operator==(const service_report&) const = default;
};

// What passes of one flow at each VM: 0 to 1.
struct passing_flow
{
    flow_key key;
    double fraction = 1;
    bool operator==(const passing_flow&) const = default;
};

// What a coordinator tells the VMs of its data centre about one service.
struct service_news
{
    std::uint32_t service = 0;
    bool is_restricted = false; // false: everything passes
    int level = 0;
    double share = 0;
    double room = 0; // of the data centre
    std::vector<passing_flow> flows;
    bool operator==(const service_news&) const = default;
};

std::string encode(std::span<const service_report> reports);
std::string encode(std::span<const service_news> news);
result<std::vector<service_report>> decode_reports(std::string_view bytes);
result<std::vector<service_news>> decode_news(std::string_view bytes);

struct controller_options
{
    // Figures are averages over about this time, and longer with few requests: until
    // `min_samples` are in them, but at most `max_window`.
    duration window = std::chrono::seconds(1);
    duration max_window = std::chrono::seconds(5);
    double min_samples = 20;
    // Requests for which room was missing, before it counts as short.
    double min_failures = 3;
    // Time for which the coordinator's decisions are used.
    duration news_lifetime = std::chrono::seconds(2);
    // Until a route has answers. Only ratios of it to other routes of the service matter.
    duration initial_time = std::chrono::milliseconds(100);
};

struct controller_hooks
{
    // Room became short or is no longer, or another level passes.
    std::function<void(const service_view&)> changed = nullptr;
};

// One VM.
class controller
{
public:
    explicit controller(controller_options options, controller_hooks hooks = {});

    // Ask once for each request, before an upstream is selected.
    decision decide(time_point now, const request& incoming);
    // What became of an admitted request. `elapsed`: from sending to the answer.
    void note(time_point now, const request& admitted, outcome result,
              duration elapsed = duration(0));
    // When a request is to come back that was admitted and found no upstream.
    duration retry_turn(time_point now, const request& failed);

    // For the coordinator: the services that are short here, or short in the data centre.
    std::vector<service_report> report(time_point now);
    void apply(time_point now, std::span<const service_news> news);

    std::vector<service_view> views(time_point now) const;

private:
    struct flow
    {
        // Decayed sums.
        double demand = 0; // slot time
        double requests = 0;
        double fraction = 1; // that passes by this VM's own figures
        double credit = 0;   // slot time that may pass at once
        std::optional<double> told;
        time_point told_at;
    };

    struct service_state
    {
        std::uint32_t id = 0;
        std::string name;
        // Decayed sums, and the time over which they were taken.
        double observed = 0; // seconds
        room_figures sums;   // slot time
        double samples = 0;
        double failures = 0; // requests
        time_point updated_at;
        time_point divided_at;
        time_point used_at;
        internal::room_estimate estimate;
        internal::division local;
        double expected = 0;  // rate of slot time that passes here
        double idle_room = 0; // slot time of it that was not used
        time_point taken_at;
        double usual_room = 0; // rate of slot time that was placed lately
        std::optional<service_news> told;
        time_point told_at;
        std::map<flow_key, flow> flows;
        std::map<std::string, double, std::less<>> usual_times; // seconds, by route
        double longest_time = 0;
        internal::turns turns;
        std::uint64_t refused = 0;
        bool was_short = false;
        int last_level = 0;
        time_point reported_at; // to the hook
    };

    service_state& state_of(time_point now, std::string_view service);
    void update(time_point now, service_state& state);
    void divide_room(service_state& state);
    void report_change(time_point now, service_state& state);
    double usual_time(const service_state& state, std::string_view route) const;
    void learn_time(service_state& state, std::string_view route, duration elapsed) const;
    double passing_fraction(time_point now, const service_state& state, int priority,
                            const flow& own) const;
    bool take_room(time_point now, service_state& state, double cost, bool passes) const;
    bool is_told(time_point now, const service_state& state) const;
    duration turn(time_point now, service_state& state, const request& refused);
    service_view view_of(time_point now, const service_state& state) const;

    controller_options options;
    controller_hooks hooks;
    std::map<std::string, service_state, std::less<>> services;
};

struct coordinator_options
{
    // Reports of members that are older count no longer. Long, because a member that is
    // missing from the sums changes them more than one whose report is a little old.
    duration report_lifetime = std::chrono::seconds(5);
};

// The part of a data centre's coordinator.
class coordinator
{
public:
    explicit coordinator(coordinator_options options);

    // Replaces what the member has reported before.
    void observe(time_point now, const std::string& member,
                 std::span<const service_report> reports);
    // What a member is told. Contains the flows that it has reported.
    std::vector<service_news> news_for(time_point now, const std::string& member);

private:
    struct member_report
    {
        time_point at;
        std::vector<service_report> services;
    };

    struct service_decision
    {
        time_point at;
        internal::room_estimate estimate;
        service_news news; // with all flows
    };

    void decide(time_point now);

    coordinator_options options;
    std::map<std::string, member_report> members;
    std::map<std::uint32_t, service_decision> decisions;
    time_point decided_at;
    bool is_changed = false; // since then
};

} // namespace pistachiospan::admission

#endif
