// The upstreams that one VM knows, and the choice of one for each request.
//
// Example:
//
//     upstream_set known({.data_centre = "sem-a"}, places);
//     known.update(now, {.id = "i-7f", .service = "orders", .address = "10.2.0.9:80",
//     ...}); const selection made = known.select(now, {.service = "orders", .object =
//     "17", ...}); if (made.found)
//         known.begin(now, made);
//     known.end(now, made, outcome::answered, latency, report);
//
// A request for an object goes to the same upstream from every VM of a data centre,
// because an upstream is several times faster with objects that it handled recently. Two
// steps decide, both without asking anybody: the placement plan gives each data centre of
// callers its data centres of upstreams, by their slots; a weighted rendezvous hash gives
// the object its upstream there. Expected completion times then decide whether that
// upstream is used or another one.

#ifndef PISTACHIOSPAN_UPSTREAMS_UPSTREAMS_HPP
#define PISTACHIOSPAN_UPSTREAMS_UPSTREAMS_HPP

#include "pistachiospan/configuration/configuration.hpp"
#include "pistachiospan/upstreams/internal/availability.hpp"
#include "pistachiospan/upstreams/internal/learned_time.hpp"

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace pistachiospan::upstreams
{

// What the registry says about one upstream.
struct entry
{
    std::string id;
    std::string service;
    std::string address;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    duration cold_left{0};    // how much longer it is cold
    std::int64_t started = 0; // identifies one start of the upstream
    bool operator==(const entry&) const = default;
};

// Data centre to region.
using region_map = std::map<std::string, std::string>;

// Requests at the upstream from all its callers, as its last answer said.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

enum class outcome
{
    answered,
    shed,        // refused as not run
    failed,      // an answer that reports a failure of the upstream
    broken,      // no whole answer
    timed_out,   // no answer in the time that the request had
    not_sent,    // no connection
    cancelled,   // ended by this VM
    misdirected, // another upstream has the address
};

struct upstream_set_options
{
    std::uint64_t seed = 0;  // differs between VMs
    std::string data_centre; // of this VM
    // Work on an object that the upstream knows and on one that it does not, before the
    // first answers show it.
    duration initial_known_time = std::chrono::milliseconds(100);
    duration initial_unknown_time = std::chrono::milliseconds(250);
    double sample_weight = 0.15; // of one answer in the averages of an upstream
    double group_weight = 0.02;  // of one answer in the averages of a service
    // Without answers the speed of an upstream returns to that of its service in this
    // time, so that one that was slow is tried again.
    duration speed_recovery_time = std::chrono::seconds(4);
    // Requests of other VMs in a report count less and less over this time.
    duration report_decay_time = std::chrono::milliseconds(400);
    // Objects that one upstream is believed to know.
    std::size_t max_known_objects = 64;
    double cold_work_factor = 2.0; // work at a cold upstream
    // Work on an unknown object counts this often when upstreams are compared.
    double unknown_object_weight = 3.0;
    duration region_round_trip = std::chrono::milliseconds(24); // both ways
    duration data_centre_round_trip = std::chrono::milliseconds(3);
    // Time that is worth spending to keep a body in its data centre, for each kilobyte:
    // links between data centres are shared and slow for large bodies.
    duration transfer_cost_per_kilobyte = std::chrono::milliseconds(3);
    duration plan_interval = std::chrono::milliseconds(500);
    // Part of a region's requests that may change their region from one span to the next:
    // regions must not change their load at once.
    double max_region_shift = 0.15;
    duration region_shift_span = std::chrono::seconds(2);
    // Part of it that the plan uses. The rest is for single choices, and for demand that
    // changes by itself.
    double planned_shift_fraction = 0.5;
    // The plan moves at most this part of the requests in one interval, within regions
    // too: each object that moves is unknown where it comes to.
    double max_plan_step = 0.1;
    // This process replaces one that was lost. Its first plan, made without knowing the
    // demand, is corrected at once for this long if no other VM tells one.
    bool replaces_lost_process = false;
    duration plan_settling_time = std::chrono::seconds(6);
    duration adopted_plan_lifetime =
        std::chrono::seconds(3); // a plan that was told counts
    duration demand_time_constant = std::chrono::seconds(3);
    // Busy part of all slots that the first plan expects.
    double initial_utilisation = 0.5;
    // Time in which an evacuated data centre gives up its requests, and in which a
    // returned one gets them.
    duration evacuation_ramp = std::chrono::milliseconds(2500);
    duration return_ramp = std::chrono::seconds(6);
    internal::availability_options availability = {
        .first_ejection = std::chrono::milliseconds(700),
        .longest_ejection = std::chrono::seconds(6),
        .failures_before_ejection = 3,
        // A wrong value must not take an upstream out for the rest of the day.
        .longest_pause = std::chrono::minutes(5)};
    // How long it is remembered that an upstream is leaving, which the registry may not
    // say yet, or say no more.
    duration leaving_retention = std::chrono::minutes(5);
    // Silence after which an upstream with requests is passed over.
    duration stall_timeout = std::chrono::milliseconds(450);
    // Part of the fleet's rate for a cold upstream that this VM uses at most.
    double cold_rate_margin = 0.9;
};

struct query
{
    std::string_view service;
    std::string_view object;                    // empty: any upstream is as good
    std::span<const std::string> homes;         // regions allowed; empty: all
    std::span<const std::string> account_homes; // both lists bind
    std::span<const std::string> excluded;      // upstream ids
    duration time_left{0};
    duration objective{0};     // an answer within it is on time; 0: none
    std::size_t body_size = 0; // bytes
    bool is_retry = false;     // not the first attempt
};

enum class selection_failure
{
    none,
    no_upstream, // none is known, or all are excluded, leaving or ejected
    too_late,    // the expected completion is after the time left
    no_room, // every slot is busy, and after the wait for one the answer would be late
};

struct selection
{
    bool found = false;
    std::string id;
    std::int64_t started = 0;
    std::string address;
    duration expected{0};     // completion, from now
    duration wait{0};         // part of it: for a slot
    duration network_time{0}; // part of it: on the way
    // Requests believed to be at the upstream; not found: at the best one.
    double load = 0;
    std::uint64_t object = 0;
    bool knows_object = false;
    selection_failure failure = selection_failure::none;
    duration retry_after{0}; // not found: when room is expected
};

// One start of an upstream.
struct upstream_start
{
    std::string id;
    std::int64_t started = 0;
    auto operator<=>(const upstream_start&) const = default;
};

// For metrics and logs.
struct upstream_view
{
    std::string id;
    std::string service;
    std::uint32_t in_flight = 0;
    double load = 0;
    bool draining = false;
    bool ejected = false;
    bool paused = false; // it asked for no work
    bool cold = false;
    double slowness = 1; // work relative to the service's mean
};

// Requests for a service, before any is refused.
struct service_demand
{
    std::string service;
    double rate = 0; // requests per second that may run in any region
    std::map<std::string, double> regional; // those that must run in a region, by region
};

// Requests per second for one service at the other VMs.
struct remote_demand
{
    std::map<std::string, double> unrestricted; // by data centre of the VMs
    std::map<std::string, double> regional;     // by the region in which they must run
};

// Parts of the requests by service and data centre of the upstreams.
using plan_set = std::map<std::string, std::map<std::string, double>>;

class upstream_set
{
public:
    upstream_set(upstream_set_options options, region_map where);

    // Adds or replaces. Returns what changed, for the log; empty: nothing that matters.
    std::string update(time_point now, const entry& said);
    // Returns true if it was known.
    bool remove(std::string_view id);

    void set_services(std::span<const configuration::service> services);
    // VMs that may send to the same upstreams, this one included.
    void set_vm_count(std::size_t count);

    // The data centres whose upstreams are to get nothing. With `at_once` there is no
    // ramp: this VM has just started.
    void set_evacuated(time_point now, const std::set<std::string>& all, bool at_once);

    selection select(time_point now, const query& wanted);

    // Demand at this VM, for the other VMs.
    std::vector<service_demand> report_demand(time_point now);
    // Demand at the other VMs, by their data centre.
    void set_remote_demand(std::map<std::string, remote_demand> by_service);
    // Moves the plans towards the demand. Call about twice a second.
    void tick(time_point now);
    // The plans of this VM, for the other VMs of its data centre; and theirs, which it
    // uses instead of its own as long as they are told.
    plan_set plans() const;
    void adopt_plans(time_point now, const plan_set& told);

    // A request was sent. Each begin() is followed by one end().
    void begin(time_point now, const selection& chosen);
    void end(time_point now, const selection& chosen, outcome how, duration latency,
             std::optional<load_report> report);
    void note_cold(time_point now, std::string_view id, duration cold_left);
    // The upstream asked for no work from this VM during `span`.
    void note_pause(time_point now, std::string_view id, duration span);
    // The upstream, or another VM, says that it is leaving: it gets no new work until it
    // has started again. Returns true if that is news.
    bool note_leaving(time_point now, const upstream_start& which);
    // Those known to be leaving for less than `age`, for the other VMs.
    std::vector<upstream_start> leaving_since(time_point now, duration age) const;

    std::size_t size() const;
    std::vector<upstream_view> views(time_point now) const;
    // Parts of this VM's requests for a service, by data centre of the upstreams.
    std::map<std::string, double> plan_of(time_point now, std::string_view service);

private:
    // Objects that an upstream handled recently, the latest last.
    class object_memory
    {
    public:
        bool contains(std::uint64_t object) const;
        void add(std::uint64_t object, std::size_t most);
        void clear();

    private:
        std::list<std::uint64_t> order;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
    };

    struct upstream
    {
        entry said;
        std::string region;
        std::uint64_t hash = 0;
        std::uint32_t in_flight = 0;
        std::deque<time_point> begun; // of the requests in flight, oldest first
        time_point last_answer;
        double others = 0; // requests of other VMs at the last report
        time_point reported;
        double slowness = 1; // work relative to the mean of the service
        time_point sampled;
        object_memory objects;
        internal::availability availability;
        bool said_leaving = false; // in an answer, to this VM or another one

        bool is_leaving() const
        {
            return this->said.draining || this->said_leaving;
        }
        time_point cold_until;
        double cold_tokens = 1;
        time_point cold_refilled;
    };

    struct service_group
    {
        std::vector<upstream*> members;
        // Work on a known object, on an unknown one, and on any.
        internal::learned_time known_time;
        internal::learned_time unknown_time;
        internal::learned_time mean_time;
        duration cold_time{0};
        double cold_rate = 0;
        double demand = 0; // requests per second at this VM that may run anywhere
        std::map<std::string, double> regional; // those that must run in a region
        time_point decayed;
        remote_demand remote;
        std::map<std::string, double> plan; // data centre to its part
        std::vector<std::string> plan_order;
        time_point first_planned;
        time_point planned;                  // last move of the plan
        std::optional<time_point> told_plan; // when the plan was told last
    };

    struct candidate
    {
        upstream* at = nullptr;
        int tier = 0;     // 0: data centre of the plan
        double score = 0; // of the rendezvous hash
        bool knows = false;
        double wait = 0; // microseconds, as the next ones
        double network_time = 0;
        double expected = 0;
        double hoped = 0; // expected, if the first choice knows the object
        double cost = 0;  // the least is chosen
    };

    struct evacuation
    {
        time_point since;
        bool leaving = true;
        bool at_once = false;
    };

    upstream* find(std::string_view id);
    service_group& group_of(const std::string& service);
    double load_of(time_point now, const upstream& of) const;
    double slowness_of(time_point now, const upstream& of) const;
    double network_time_to(const upstream& at) const;
    void estimate(time_point now, candidate& of, std::size_t rank, const query& wanted,
                  const service_group& group) const;
    bool usable(time_point now, const upstream& of, const query& wanted,
                std::uint64_t object_hash) const;
    bool stalled(time_point now, const upstream& of, const service_group& group) const;
    bool has_cold_token(time_point now, upstream& of, const service_group& group);
    double presence(time_point now, const std::string& data_centre) const;
    std::map<std::string, double> slots_of(time_point now,
                                           const service_group& group) const;
    void make_first_plan(time_point now, service_group& group);
    void move_plan(time_point now, service_group& group);
    double plan_step_for(time_point now, const service_group& group,
                         const std::map<std::string, double>& change) const;
    void order_plan(service_group& group) const;
    bool follows_plan(time_point now, const service_group& group) const;
    void count_demand(time_point now, service_group& group, const query& wanted) const;
    void decay_demand(time_point now, service_group& group) const;
    const std::string* planned(const service_group& group,
                               std::uint64_t object_hash) const;
    int tier_of(const upstream& of, const std::string* planned) const;
    // 0: the own data centre; 1: another one of the region; 2: another region.
    int distance_to(std::string_view data_centre, std::string_view region) const;
    bool in_homes(const upstream& of, std::span<const std::string> homes) const;
    void learn(time_point now, upstream& at, const selection& chosen, duration latency);
    selection nothing_usable(time_point now, const service_group& group) const;
    void make_cold(time_point now, upstream& of, duration left) const;

    upstream_set_options options;
    region_map where;
    std::string region; // of this VM
    std::size_t vm_count = 1;
    std::unordered_map<std::string, std::unique_ptr<upstream>> all;
    std::unordered_map<std::string, service_group> groups;
    std::map<std::string, evacuation> evacuated;
    std::map<upstream_start, time_point> leaving; // since when it is known
    std::uint64_t spread = 0; // numbers the requests without an object
};

} // namespace pistachiospan::upstreams

#endif
