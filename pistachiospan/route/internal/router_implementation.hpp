// State and decisions behind router. The definitions are in router.cpp (requests),
// router_catalogue.cpp, router_selection.cpp and router_queue.cpp.

#ifndef PISTACHIOSPAN_ROUTE_INTERNAL_ROUTER_IMPLEMENTATION_HPP
#define PISTACHIOSPAN_ROUTE_INTERNAL_ROUTER_IMPLEMENTATION_HPP

#include "pistachiospan/route/internal/fair_queue.hpp"
#include "pistachiospan/route/internal/link_budget.hpp"
#include "pistachiospan/route/internal/upstream_state.hpp"

#include <cmath>
#include <map>
#include <set>
#include <unordered_map>

namespace pistachiospan::route
{

namespace internal
{

// A planned move of a group's work to upstreams that were added or returned.
struct planned_move
{
    shift_controller control;
    // Requests that the destination may get now. Each request of the group adds the part
    // of the move times the destination's part of the slots.
    double credit = 0;
    double target = 0;
    double latency_sum = 0; // microseconds, since the last decision
    std::uint32_t samples = 0;
    double headroom_sum = 0;
    std::uint32_t headroom_samples = 0;
};

// Mean over the last 32 samples or the last second, whichever holds fewer samples.
struct running_mean
{
    double value = 0; // microseconds
    time_point sampled{};

    void add(time_point now, double sample)
    {
        constexpr double least_weight = 1.0 / 32;
        const double passed = std::chrono::duration<double>(now - this->sampled).count();
        const double weight = std::max(least_weight, 1 - std::exp(-passed));
        this->value += (sample - this->value) * weight;
        this->sampled = now;
    }
};

struct group_state
{
    explicit group_state(bool fair) : queue(fair) {}

    std::string name;
    bool present = false;
    std::uint32_t members = 0;              // upstreams of this data centre, not draining
    std::vector<upstream_state*> available; // with a free slot
    std::vector<upstream_state*> probing;   // that may take a probe
    held_limit cap;
    std::uint32_t in_flight = 0;
    std::uint64_t capacity = 0; // sum over the upstreams
    std::uint32_t relays = 0;   // in flight
    running_mean service;
    running_mean relay_service;
    std::optional<planned_move> move;
    bool move_changed = false; // the version being applied adds destinations
    fair_queue queue;
};

struct peer_group
{
    std::uint32_t free = 0;
    std::uint32_t unreported = 0; // sent, running, and not in the peer's figures
    time_point backoff_until{};
};

struct peer_state
{
    std::string data_centre;
    bool draining = false;
    time_point taken{}; // when the peer took its figures
    std::map<std::string, peer_group> groups;
};

struct running_request
{
    std::string account;
    group_state* group = nullptr;
    upstream_state* upstream = nullptr; // null: relayed
    vm_id peer;
    time_point sent;
    time_point held_until;
    bool cancelled = false;
};

inline double microseconds(duration span)
{
    return static_cast<double>(span.count());
}

inline duration span_of(double microseconds)
{
    return duration(static_cast<duration::rep>(std::ceil(microseconds)));
}

} // namespace internal

class router::implementation
{
public:
    implementation(router_options chosen, router_hooks called)
        : options(std::move(chosen)), hooks(std::move(called)), random(options.seed)
    {
    }

    void set_catalogue(time_point now, const catalogue::catalogue& next);
    void set_share(time_point now, share next);
    void allow_growth(time_point now);
    bool usage_within_share() const;
    decision submit(time_point now, request incoming);
    void complete(time_point now, request_id id, outcome how, duration latency,
                  duration retry_after);
    void connection_closed(time_point now, request_id id);
    internal::upstream_state* find(std::string_view address) const;
    void tick(time_point now);
    void observe(time_point now, std::string_view upstream, const upstream_report& said);
    void observe_peer(time_point now, const peer_report& said);
    void drain(time_point now, std::string_view upstream);
    void charge_link(time_point now, std::string_view to_region, std::uint64_t bytes);
    std::vector<group_free_slots> free_slots(time_point now);
    std::size_t waiting_count() const
    {
        return this->waiting.size();
    }
    double latency_of(time_point now, const internal::upstream_state& of) const
    {
        return of.latency_at(now, this->options.latency_time_constant);
    }

    router_counts totals;
    std::map<std::string, std::unique_ptr<internal::upstream_state>, std::less<>>
        upstreams;
    std::map<std::string, std::unique_ptr<internal::group_state>, std::less<>> groups;

private:
    // Catalogue and share.
    void add_upstreams(time_point now, const catalogue::catalogue& next);
    void add_upstream(time_point now, const catalogue::upstream_group& group,
                      const catalogue::upstream& entry, std::uint64_t first_slot,
                      std::uint64_t first_connection);
    void set_links(time_point now, const catalogue::catalogue& next);
    void remove_absent_groups();
    void split_limits();
    void grow_if_allowed(time_point now);
    void forget_removed(time_point now);

    // State of upstreams.
    void refresh(time_point now, internal::upstream_state& of);
    void refresh_all(time_point now);
    std::uint32_t limit_of(time_point now, const internal::upstream_state& of) const;
    std::optional<time_point> wake_of(time_point now,
                                      const internal::upstream_state& of) const;
    void unlist(internal::upstream_state& of);
    static void list_in(internal::upstream_state& of, internal::listing next);
    void process_wakes(time_point now);
    void begin_drain(time_point now, internal::upstream_state& of);
    void succeeded(time_point now, internal::upstream_state& of, duration latency);
    void failed(time_point now, internal::upstream_state& of);
    void shed(time_point now, internal::upstream_state& of, duration retry_after);
    bool may_eject(const internal::upstream_state& of) const;
    void eject(time_point now, internal::upstream_state& of);

    // Planned moves.
    void update_move(time_point now, internal::group_state& group);
    void advance_moves(time_point now);
    void end_move(time_point now, internal::group_state& group);
    void sample_move(internal::group_state& group) const;
    static void charge_move(internal::group_state& group,
                            const internal::upstream_state& chosen);

    // Selection.
    bool place(time_point now, internal::group_state& group, const request& asked,
               decision& out);
    internal::upstream_state* select(time_point now, internal::group_state& group,
                                     const request& asked);
    internal::upstream_state* select_probe(time_point now, internal::group_state& group,
                                           const request& asked) const;
    double cost(time_point now, const internal::upstream_state& of) const;
    bool place_relay(time_point now, internal::group_state& group, const request& asked,
                     decision& out);
    double relay_headroom(time_point now, const internal::group_state& group,
                          const internal::peer_state& peer) const;
    int distance(const std::string& data_centre) const;
    const std::string& region_of(const std::string& data_centre) const;
    bool can_place(time_point now, const internal::group_state& group) const;
    std::uint32_t free_under_caps(const internal::group_state& group) const;
    void start(time_point now, internal::group_state& group, const request& asked,
               internal::upstream_state* to, const vm_id& peer);

    // Queue.
    decision enqueue(time_point now, internal::group_state& group, request incoming);
    double rate_of(const internal::group_state& group) const;
    duration wait_of(time_point now, const internal::group_state& group,
                     double ahead) const;
    bool reachable(time_point now, const internal::group_state& group) const;
    void pump(time_point now, internal::group_state& group);
    void pump_all(time_point now);
    void expire_waiting(time_point now, internal::group_state& group);
    std::uint32_t weight_of(const std::string& account) const;
    bool is_large(const request& asked) const;
    void forget_waiting(const request& of);
    decision refuse(refusal reason, duration retry_after);
    void release(time_point now, request_id id);
    void expire_running(time_point now);
    void recount_unreported(const std::string& vm, internal::peer_state& peer);
    void deliver();

    router_options options;
    router_hooks hooks;
    random_engine random;
    catalogue::catalogue active;
    bool has_catalogue = false;
    share own;
    bool growth_told = false;
    bool growth_pending = false;
    time_point growth_due{};
    duration longest_deadline = std::chrono::seconds(10);
    std::uint64_t next_ordinal = 0;
    internal::held_limit data_centre_cap{.current = internal::unlimited,
                                         .target = internal::unlimited};
    std::map<std::string, time_point> elsewhere; // address: last in another data centre
    std::map<std::pair<time_point, std::uint64_t>, internal::upstream_state*> wakes;
    std::map<std::string, internal::peer_state> peers;
    std::map<std::string, internal::link_budget, std::less<>>
        links; // by destination region
    std::unordered_map<request_id, internal::running_request> running;
    std::set<std::pair<time_point, request_id>> holds;
    std::unordered_map<request_id, internal::group_state*> waiting;
    std::uint64_t waiting_bytes = 0;
    std::vector<std::pair<request_id, decision>> decided;
    std::vector<std::pair<std::string, duration>> drained;
};

} // namespace pistachiospan::route

#endif
