// The upstreams known to one VM, and the selection of one for each request.
//
// Example:
//
//     upstream_set known({.data_centre = "sem-a"}, regions);
//     known.update(now, {.id = "i-7f", .service = "orders", .address = "10.2.0.9:80"});
//     const selection chosen = known.select(now, {.service = "orders", .object = "17"});
//     if (chosen.found)
//         known.begin(now, chosen);
//     known.end(now, chosen, outcome::answered, latency, report);
//
// All VMs of a data centre send requests for an object to the same upstream, because an
// upstream is several times faster with objects that it handled recently. Two steps
// decide, both without communication: the placement plan assigns to each data centre of
// callers its data centres of upstreams, by their slots; a weighted rendezvous hash
// assigns the object to an upstream there. Expected completion times then decide whether
// that upstream or another one is used.

#ifndef PISTACHIOSPAN_UPSTREAMS_UPSTREAMS_HPP
#define PISTACHIOSPAN_UPSTREAMS_UPSTREAMS_HPP

#include "pistachiospan/capacity/capacity.hpp"
#include "pistachiospan/configuration/configuration.hpp"
#include "pistachiospan/upstreams/internal/availability.hpp"
#include "pistachiospan/upstreams/internal/cold_tokens.hpp"
#include "pistachiospan/upstreams/internal/learned_time.hpp"
#include "pistachiospan/upstreams/internal/limit_use.hpp"
#include "pistachiospan/upstreams/internal/reachability.hpp"
#include "pistachiospan/upstreams/internal/shared_load.hpp"
#include "pistachiospan/upstreams/request_limits.hpp"
#include "pistachiospan/upstreams/restart_suspicions.hpp"

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace pistachiospan::upstreams
{

// One upstream as listed in the registry.
struct entry
{
    std::string id;
    std::string service;
    std::string address;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    duration cold_left{0};     // remaining time during which it is cold
    std::int64_t started = 0;  // identifies one start of the upstream
    std::int64_t sequence = 0; // rises with each entry that it writes after one start
    duration max_age = duration::max(); // bound on the time since it was written
    bool operator==(const entry&) const = default;
};

// Data centre to region.
using region_map = std::map<std::string, std::string>;

// Requests of all callers at an upstream, as reported in its last answer.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // Time that work takes on the upstream's host at this moment, relative to the usual
    // time; nullopt if the upstream does not report it.
    std::optional<double> host_work_factor;
};

enum class outcome
{
    answered,
    shed,        // refused by the upstream, and not run
    failed,      // the answer reports a failure of the upstream
    broken,      // incomplete answer or none
    timed_out,   // no answer before the deadline of the request
    not_sent,    // no connection to the upstream
    cancelled,   // ended by this VM
    misdirected, // another upstream uses the address now
};

// How the suspicion that an upstream has restarted has changed, by what this VM has seen.
enum class restart_change
{
    suspected, // it has ended, and may start again under its id
    accepted,  // it accepts requests again: its cold time runs
    refuted,   // an entry of the same start was written since
};

struct upstream_set_options
{
    std::uint64_t seed = 0;  // must differ between VMs
    std::string data_centre; // of this VM
    // Assumed time of work on an object that the upstream knows, and on one that it does
    // not, until answers give samples.
    duration initial_known_time = std::chrono::milliseconds(100);
    duration initial_unknown_time = std::chrono::milliseconds(250);
    double sample_weight = 0.15; // of one answer in the averages of an upstream
    double group_weight = 0.02;  // of one answer in the averages of a service
    // Time constant with which the speed of an upstream without answers returns to that
    // of its service, so that an upstream that was slow is tried again.
    duration speed_recovery_time = std::chrono::seconds(4);
    // Time constant with which the reported load of other VMs loses its weight.
    duration report_decay_time = std::chrono::milliseconds(400);
    // The VMs tell each other how many requests upstreams have.
    bool shared_loads = false;
    // Time constant with which that load loses its weight: messages come every one or two
    // seconds.
    duration shared_decay_time = std::chrono::seconds(3);
    // The concurrency limits of upstreams are learned and used in place of their slots.
    bool learned_limits = false;
    // Number of objects that one upstream is assumed to know.
    std::size_t max_known_objects = 64;
    double cold_work_factor = 2.0; // work at a cold upstream
    // Factor on the work on an unknown object when upstreams are compared.
    double unknown_object_weight = 3.0;
    duration region_round_trip = std::chrono::milliseconds(24);     // between regions
    duration data_centre_round_trip = std::chrono::milliseconds(3); // within a region
    // Cost of each kilobyte of a body that leaves the data centre, as a time: links
    // between data centres are shared and slow for large bodies.
    duration transfer_cost_per_kilobyte = std::chrono::milliseconds(3);
    duration plan_interval = std::chrono::milliseconds(500);
    // Share of a region's requests that may move to another region from one span to the
    // next: the load of a region must not change abruptly.
    double max_region_shift = 0.15;
    duration region_shift_span = std::chrono::seconds(2);
    // Fraction of max_region_shift that the plan uses. The rest is left for single
    // selections that leave the plan, and for changes of the demand itself.
    double planned_shift_fraction = 0.5;
    // Share of the requests that the plan moves at most in one interval, also within a
    // region: an object that moves is unknown at its new upstream.
    double max_plan_step = 0.1;
    // This process replaces one that was lost. Its initial plan, made without knowing the
    // demand, is corrected in full steps during this time unless another VM reports a
    // plan.
    bool replaces_lost_process = false;
    duration plan_settling_time = std::chrono::seconds(6);
    // Time for which a plan reported by another VM is used.
    duration adopted_plan_lifetime = std::chrono::seconds(3);
    // Time constant of the exponentially decaying demand estimate.
    duration demand_time_constant = std::chrono::seconds(3);
    // Utilisation of all slots that the initial plan assumes.
    double initial_utilisation = 0.5;
    // Time in which an evacuated data centre loses its requests, and in which a returning
    // one regains them.
    duration evacuation_ramp = std::chrono::milliseconds(2500);
    duration return_ramp = std::chrono::seconds(6);
    internal::availability_options availability = {
        .first_ejection = std::chrono::milliseconds(700),
        .max_ejection = std::chrono::seconds(6),
        .failures_before_ejection = 3,
        // A wrong value must not exclude an upstream for the rest of the day.
        .max_pause = std::chrono::minutes(5)};
    // Time for which an upstream is remembered as leaving: the registry may not list it
    // as draining yet, or not any more.
    duration leaving_retention = std::chrono::minutes(5);
    // Time that a change of an upstream may take until it is in this VM's registry.
    duration registry_delay = std::chrono::seconds(10);
    // Time for which a request limit that has ended, or of an upstream that is not in the
    // registry, is remembered.
    duration limit_retention = std::chrono::minutes(5);
    // Time without any answer after which an upstream with requests in flight is avoided.
    duration stall_timeout = std::chrono::milliseconds(450);
    // Fraction of this VM's share of a cold upstream's rate that it uses.
    double cold_rate_margin = 0.9;
    // Called at the end of the function that has brought the change.
    std::function<void(time_point, const upstream_start&, restart_change)>
        restart_changed = nullptr;
};

struct query
{
    std::string_view service;
    std::string_view object;                    // empty: no preferred upstream
    std::span<const std::string> homes;         // allowed regions; empty: all
    std::span<const std::string> account_homes; // as homes; both apply
    std::span<const std::string> excluded;      // upstream ids
    duration time_left{0};
    duration objective{0};        // target latency; 0: none
    std::size_t body_size = 0;    // bytes
    bool is_retry = false;        // not the first selection for this request
    bool without_limited = false; // upstreams with a request limit are left out
};

enum class selection_failure
{
    none,
    no_upstream, // none is known and usable
    too_late,    // the expected completion is after the time left
    no_room,     // all slots are busy, and after the wait for one the objective is missed
    limited,     // the usable ones have named request limits that are used up
};

struct selection
{
    bool found = false;
    std::string id;
    std::int64_t started = 0;
    std::string address;
    duration expected{0};     // time to completion
    duration wait{0};         // included in expected: wait for a slot
    duration network_time{0}; // included in expected: round trip
    // Estimated number of requests at the upstream; if none was found, at the best one.
    double load = 0;
    std::uint64_t object = 0;
    bool knows_object = false;
    // The upstream has named a request limit: send only with a token of it.
    bool needs_token = false;
    // It is silent, as all the others: `expected` says nothing about its answer.
    bool last_resort = false;
    selection_failure failure = selection_failure::none;
    duration retry_after{0}; // if none was found: when to try again
};

// An upstream that is leaving, as VMs tell it to each other.
struct leaving_notice
{
    upstream_start upstream;
    duration age{0}; // since it was first known
    bool operator==(const leaving_notice&) const = default;
};

// An upstream with a request limit in force.
struct limited_upstream
{
    upstream_start start;
    std::string data_centre;
    double rate = 0; // requests per second over all VMs
};

// State of one upstream for metrics and logs.
struct upstream_view
{
    std::string id;
    std::string service;
    std::uint32_t in_flight = 0;
    double load = 0;
    bool draining = false;
    bool ejected = false;
    bool paused = false; // it asked for a pause
    bool cold = false;
    double slowness = 1; // work relative to the mean of its service
};

// Demand for a service, including requests that are refused.
struct service_demand
{
    std::string service;
    double rate = 0; // requests per second that may run in any region
    std::map<std::string, double> regional; // must run in this region
};

// Requests per second for one service at the other VMs.
struct remote_demand
{
    std::map<std::string, double> unrestricted; // by data centre of the VMs
    std::map<std::string, double> regional;     // by the region in which they must run
};

// Shares of the requests, by service and by data centre of the upstreams.
using plan_set = std::map<std::string, std::map<std::string, double>>;

class upstream_set
{
public:
    upstream_set(upstream_set_options options, region_map regions);

    // Adds or replaces an upstream. Returns a word for the log that says what changed;
    // empty if nothing relevant did.
    std::string update(time_point now, const entry& registration);
    // Returns true if the upstream was known.
    bool remove(std::string_view id);

    void set_services(std::span<const configuration::service> services);
    // Number of VMs that may send to the same upstreams, including this one.
    void set_vm_count(std::size_t count);

    // Sets the data centres whose upstreams must get no requests. `immediate` skips the
    // ramp, for a VM that has just started.
    void set_evacuated(time_point now, const std::set<std::string>& data_centres,
                       bool immediate);

    selection select(time_point now, const query& request);
    // Whether a selection that was made a moment ago can still be used, apart from the
    // upstream's request limit.
    bool remains_usable(time_point now, const selection& chosen,
                        const query& request) const;

    // The demand at this VM, to be reported to the other VMs.
    std::vector<service_demand> report_demand(time_point now);
    // Sets the demand at the other VMs, by service.
    void set_remote_demand(std::map<std::string, remote_demand> by_service);
    // Moves the plans towards the demand. Call about twice a second.
    void tick(time_point now);
    // The plans of this VM, to be reported to the other VMs of its data centre, and plans
    // reported by them, which this VM uses instead of its own for adopted_plan_lifetime.
    plan_set plans() const;
    void adopt_plans(time_point now, const plan_set& reported);

    // Call when a request was sent, and when it ended. Each begin() needs one end().
    void begin(time_point now, const selection& chosen);
    void end(time_point now, const selection& chosen, outcome result, duration latency,
             std::optional<load_report> report);
    void note_cold(time_point now, std::string_view id, duration cold_left);
    // Signs that an upstream has ended, which count if this VM has used it and it has not
    // announced that it leaves: it has refused a connection, or has closed all its
    // connections at once. From then on it is treated as cold, until its service's cold
    // time has passed since it was first seen to accept again.
    void note_refused(time_point now, const upstream_start& start);
    void note_connections_ended(time_point now, std::string_view address);
    // Another VM has told this about a suspected restart. Returns true if it is new.
    bool merge_restart(time_point now, const restart_notice& notice);
    // Suspected restarts to be reported to the other VMs: those that have changed during
    // the last `age`, and all that still matter.
    std::vector<restart_notice> restarts_since(time_point now, duration age) const
    {
        return this->restarts.changed_since(now, age);
    }
    std::vector<restart_notice> suspected_restarts(time_point now) const;
    // Forgets suspicions that are not needed any more. Call from time to time.
    void forget_restarts(time_point now);
    // The upstream asked for no work from this VM during `span`.
    void note_pause(time_point now, std::string_view id, duration span);
    // Notes that the upstream, or another VM, reported that this start of the upstream is
    // leaving, as was first known `age` ago: it gets no new work until it has started
    // again. Returns true if this was not known.
    bool note_leaving(time_point now, const upstream_start& start,
                      duration age = duration(0));
    // Whether this start of the upstream has reported that it leaves, or the registry
    // lists it as draining.
    bool is_leaving(const upstream_start& start) const;
    // A registered upstream other than this one, the one that answered last: a connection
    // to it shows whether this VM reaches upstreams at all.
    struct endpoint
    {
        upstream_start upstream;
        std::string address;
    };
    std::optional<endpoint> last_answering(const upstream_start& except) const;
    // An upstream has accepted a connection.
    void note_reached(time_point now);
    // Whether this VM reaches no upstream: they fail it, and none answers. Until it is
    // told of one that does, with note_reached() or end().
    bool is_cut_off(time_point now) const
    {
        return this->reach.is_cut_off(now);
    }
    // Registered upstreams to be tried while this VM is cut off, others with each call.
    std::vector<endpoint> next_to_try(std::size_t count);
    // Upstreams known as leaving for less than `age`, to be reported to the other VMs.
    std::vector<upstream_start> leaving_since(time_point now, duration age) const;
    // Upstreams that are known as leaving although the registry lists them as ready, for
    // VMs that have started since.
    std::vector<leaving_notice> unregistered_leaving(time_point now) const;
    // An answer to a request that was sent at `sent_at` made this statement. Returns true
    // if the limit has changed noticeably.
    bool note_limit(time_point now, const upstream_start& start, time_point sent_at,
                    const limit_statement& statement);
    // Another VM has told this about a limit. Returns the same.
    bool merge_limit(time_point now, const limit_notice& notice);
    // A token of this upstream's limit was refused. The next one is expected after
    // `wait`.
    void note_token_refused(time_point now, const upstream_start& start, duration wait);
    // What is known about limits, to be reported to the other VMs.
    const request_limits& named_limits() const
    {
        return this->limits;
    }
    // Forgets limits that are not needed any more. Call from time to time.
    void forget_limits(time_point now);
    // The upstreams of the registry that have a limit in force.
    std::vector<limited_upstream> limited_upstreams() const;
    // Increases whenever limited_upstreams() changes.
    std::uint64_t limited_version() const
    {
        return this->limited_changes;
    }

    // Requests of this VM at the upstreams whose load the VMs share, and reports that it
    // got within `span`, to be reported to the other VMs.
    std::vector<capacity::upstream_load> report_loads(time_point now, duration span);
    // Sets the load of the upstreams as all VMs together know it. Upstreams that are not
    // listed have no requests if the list is complete.
    void apply_load_estimates(time_point now,
                              std::span<const capacity::upstream_load> estimates,
                              bool complete);
    // Number of upstreams whose load the other VMs have told lately.
    std::size_t told_loads(time_point now) const;
    // Number of upstreams whose learned concurrency limit is below their slots.
    std::size_t lowered_limits(time_point now) const;

    std::size_t size() const;
    std::vector<upstream_view> views(time_point now) const;
    // Shares of this VM's requests for a service, by data centre of the upstreams.
    std::map<std::string, double> plan_of(time_point now, std::string_view service);

private:
    // LRU set of the objects that an upstream handled recently, most recent last.
    class object_memory
    {
    public:
        bool contains(std::uint64_t object) const;
        void add(std::uint64_t object, std::size_t max_size);
        void clear();

    private:
        std::list<std::uint64_t> order;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
    };

    struct upstream
    {
        entry registration;
        std::string region;
        std::uint64_t hash = 0;
        std::uint32_t in_flight = 0;
        std::deque<time_point> start_times; // of the requests in flight, oldest first
        time_point last_answer;
        double remote_load = 0; // requests of other VMs at the last report
        time_point reported_at;
        internal::shared_load shared;
        double slowness = 1; // work relative to the mean of the service
        time_point sampled_at;
        object_memory objects;
        internal::availability availability;
        bool announced_leaving = false; // by an answer to this VM or another one
        internal::limit_use limit;

        bool is_leaving() const
        {
            return this->registration.draining || this->announced_leaving;
        }
        bool in_use = false;                            // this start has answered this VM
        time_point suspected_until = time_point::min(); // cold by a suspected restart

        bool is_cold(time_point now) const
        {
            return now < this->cold_until || now < this->suspected_until;
        }
        time_point cold_until;
        internal::cold_tokens cold_tokens;
    };

    struct service_group
    {
        std::vector<upstream*> members;
        // Average work on a known object, on an unknown one, and on any.
        internal::learned_time known_time;
        internal::learned_time unknown_time;
        internal::learned_time mean_time;
        duration cold_time{0};
        double cold_rate = 0;
        double demand = 0; // requests per second at this VM that may run in any region
        std::map<std::string, double> regional; // must run in this region
        time_point decayed_at;
        remote_demand remote;
        std::map<std::string, double> plan; // share of the requests, by data centre
        std::vector<std::string> plan_order;
        time_point first_planned_at;
        time_point planned_at;                // last change of the plan
        std::optional<time_point> adopted_at; // when another VM reported it last
    };

    struct candidate
    {
        upstream* target = nullptr;
        int tier = 0;     // 0: planned data centre; then by distance
        double score = 0; // of the rendezvous hash
        bool knows_object = false;
        double wait = 0; // microseconds; so are the next ones
        double network_time = 0;
        double expected = 0;
        double optimistic = 0; // expected, if the first candidate knows the object
        double cost = 0;       // the lowest is chosen
    };

    struct evacuation
    {
        time_point since;
        bool is_evacuating = true;
        bool immediate = false;
    };

    upstream* find(std::string_view id);
    const upstream* find(std::string_view id) const;
    service_group& group_of(const std::string& service);
    double load_of(time_point now, const upstream& target) const;
    double own_load(time_point now, const upstream& target) const;
    void note_abandoned(time_point now, upstream& target) const;
    void note_load(time_point now, upstream& target, const load_report& report);
    double usable_requests(time_point now, const upstream& target) const;
    static void note_sent(time_point now, upstream& target, const selection& chosen);
    void note_report(time_point now, upstream& target, const selection& chosen,
                     outcome result, duration latency,
                     const std::optional<load_report>& report);
    double slowness_of(time_point now, const upstream& target) const;
    double network_time_to(const upstream& target) const;
    void estimate(time_point now, candidate& choice, std::size_t rank,
                  const query& request, const service_group& group) const;
    bool is_usable(time_point now, const upstream& target, const query& request,
                   std::uint64_t object_hash) const;
    static bool may_use_limit(time_point now, const upstream& target,
                              const query& request);
    void apply_limit(time_point now, upstream& target);
    std::vector<candidate> candidates_for(time_point now, const query& request,
                                          service_group& group, std::uint64_t object,
                                          bool within_object_share);
    bool is_stalled(time_point now, const upstream& target,
                    const service_group& group) const;
    bool has_cold_token(time_point now, upstream& target, const service_group& group);
    double serving_fraction(time_point now, const std::string& data_centre) const;
    static double usable_slots(const upstream& target, const service_group& group);
    std::map<std::string, double> slots_of(time_point now,
                                           const service_group& group) const;
    void make_initial_plan(time_point now, service_group& group);
    void adjust_plan(time_point now, service_group& group);
    double allowed_plan_step(time_point now, const service_group& group,
                             const std::map<std::string, double>& change) const;
    void order_plan(service_group& group) const;
    bool follows_adopted_plan(time_point now, const service_group& group) const;
    void count_demand(time_point now, service_group& group, const query& request) const;
    void decay_demand(time_point now, service_group& group) const;
    const std::string* planned_data_centre(const service_group& group,
                                           std::uint64_t object_hash) const;
    int tier_of(const upstream& target, const std::string* planned) const;
    // 0: the same data centre; 1: another one of the region; 2: another region.
    int distance_to(std::string_view data_centre, std::string_view region) const;
    bool in_allowed_regions(const upstream& target,
                            std::span<const std::string> homes) const;
    void learn(time_point now, upstream& target, const selection& chosen,
               duration latency);
    selection no_usable_upstream(time_point now, const query& request,
                                 const service_group& group) const;
    void make_cold(time_point now, upstream& target, duration left) const;
    void begin_cold(time_point now, upstream& target) const;
    static upstream_start start_of(const upstream& target)
    {
        return {target.registration.id, target.registration.started};
    }
    void note_end_sign(time_point now, upstream& target);
    void apply_restart(time_point now, upstream& target);
    void apply_restart(time_point now, const upstream_start& start);
    void note_entry(time_point now, const upstream& known, const entry& registration);
    void note_contact(time_point now, const std::string& id, time_point sent_at);
    void tell_restart(time_point now, const upstream_start& start,
                      restart_change change) const;
    void note_outcome(time_point now, const std::string& id, outcome result,
                      duration latency);

    upstream_set_options options;
    region_map regions;
    std::string region; // of this VM
    std::size_t vm_count = 1;
    std::unordered_map<std::string, std::unique_ptr<upstream>> upstreams_by_id;
    std::unordered_map<std::string, service_group> groups;
    std::map<std::string, evacuation> evacuated;
    std::map<upstream_start, time_point> leaving; // since when it is known
    request_limits limits;
    restart_suspicions restarts;
    std::uint64_t limited_changes = 0;
    internal::reachability reach;
    std::string last_tried;             // by next_to_try()
    std::uint64_t request_sequence = 0; // hashed for requests without an object
};

} // namespace pistachiospan::upstreams

#endif
