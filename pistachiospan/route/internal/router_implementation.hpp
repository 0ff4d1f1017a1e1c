// Implementation of router. The member functions are defined in router.cpp (requests),
// router_catalogue.cpp, router_moves.cpp, router_selection.cpp and router_queue.cpp.

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

// A planned move of a part of a group's work to upstreams that were added or returned.
struct planned_move
{
    shift_controller controller;
    // Requests that the destination may receive now. Each request of the group adds the
    // controller's fraction() times `target_fraction`.
    double credit = 0;
    double target_fraction = 0; // destination's fraction of the group's slots
    double latency_sum = 0;     // microseconds, since the last decision
    std::uint32_t samples = 0;
    double free_fraction_sum = 0;
    std::uint32_t free_fraction_samples = 0;
};

// Mean over the last 32 samples or the last second, whichever holds fewer samples.
struct running_mean
{
    double value = 0; // microseconds
    time_point sampled_at{};

    void add(time_point now, double sample)
    {
        constexpr double min_weight = 1.0 / 32;
        const double elapsed =
            std::chrono::duration<double>(now - this->sampled_at).count();
        const double weight = std::max(min_weight, 1 - std::exp(-elapsed));
        this->value += (sample - this->value) * weight;
        this->sampled_at = now;
    }
};

struct group_state
{
    explicit group_state(bool fair) : queue(fair) {}

    std::string name;
    bool present = false;
    std::uint32_t members = 0;              // upstreams here that are not draining
    std::vector<upstream_state*> available; // with a free slot
    std::vector<upstream_state*> probing;   // that may receive a probe
    deferred_growth_limit cap;
    std::uint32_t in_flight = 0;
    std::uint64_t capacity = 0; // sum over the upstreams
    std::uint32_t relays = 0;   // relayed requests in flight
    running_mean service;
    running_mean relay_service;
    std::optional<planned_move> move;
    bool move_changed = false; // the version being applied adds destinations
    fair_queue queue;
};

struct peer_group
{
    std::uint32_t free_slots = 0;
    // Running relays that the peer's last report may not include.
    std::uint32_t unreported = 0;
    time_point backoff_until{};
};

struct peer_state
{
    std::string data_centre;
    bool draining = false;
    time_point measured_at{}; // when the peer measured what it reported
    std::map<std::string, peer_group> groups;
};

struct running_request
{
    std::string account;
    group_state* group = nullptr;
    upstream_state* upstream = nullptr; // null: relayed
    vm_id peer;
    time_point sent_at;
    time_point release_at;
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
    implementation(router_options options_in, router_hooks hooks_in)
        : options(std::move(options_in)), hooks(std::move(hooks_in)), random(options.seed)
    {
    }

    void set_catalogue(time_point now, const catalogue::catalogue& next);
    void set_share(time_point now, share next);
    void allow_growth(time_point now);
    bool usage_within_share() const;
    decision submit(time_point now, request incoming);
    void complete(time_point now, request_id id, outcome request_outcome,
                  duration latency, duration retry_after);
    void connection_closed(time_point now, request_id id);
    internal::upstream_state* find(std::string_view address) const;
    void tick(time_point now);
    void observe(time_point now, std::string_view address, const upstream_report& report);
    void observe_peer(time_point now, const peer_report& report);
    void drain(time_point now, std::string_view address);
    void charge_link(time_point now, std::string_view to_region, std::uint64_t bytes);
    std::vector<group_free_slots> free_slots(time_point now);
    std::size_t waiting_count() const
    {
        return this->waiting.size();
    }
    double current_latency(time_point now, const internal::upstream_state& upstream) const
    {
        return upstream.latency_at(now, this->options.latency_time_constant);
    }

    router_counts counters;
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
    void erase_removed_upstreams(time_point now);

    // State of upstreams.
    void refresh(time_point now, internal::upstream_state& upstream);
    void refresh_all(time_point now);
    std::uint32_t usable_limit(time_point now,
                               const internal::upstream_state& upstream) const;
    std::optional<time_point> next_timer(time_point now,
                                         const internal::upstream_state& upstream) const;
    void remove_from_group(internal::upstream_state& upstream);
    static void set_listing(internal::upstream_state& upstream, internal::listing next);
    void process_timers(time_point now);
    void begin_drain(time_point now, internal::upstream_state& upstream);
    void record_success(time_point now, internal::upstream_state& upstream,
                        duration latency);
    void record_failure(time_point now, internal::upstream_state& upstream);
    void record_shed(time_point now, internal::upstream_state& upstream,
                     duration retry_after);
    bool may_eject(const internal::upstream_state& upstream) const;
    void eject(time_point now, internal::upstream_state& upstream);

    // Planned moves.
    void update_move(time_point now, internal::group_state& group);
    void advance_moves(time_point now);
    void end_move(time_point now, internal::group_state& group);
    void sample_move(internal::group_state& group) const;
    static void charge_move(internal::group_state& group,
                            const internal::upstream_state& chosen);

    // Selection.
    bool try_place(time_point now, internal::group_state& group, const request& incoming,
                   decision& out);
    internal::upstream_state* select(time_point now, internal::group_state& group,
                                     const request& incoming);
    internal::upstream_state* select_probe(time_point now, internal::group_state& group,
                                           const request& incoming) const;
    double cost(time_point now, const internal::upstream_state& upstream) const;
    bool try_place_relay(time_point now, internal::group_state& group,
                         const request& incoming, decision& out);
    double relay_headroom(time_point now, const internal::group_state& group,
                          const internal::peer_state& peer) const;
    int distance(const std::string& data_centre) const;
    const std::string& region_of(const std::string& data_centre) const;
    bool can_place(time_point now, const internal::group_state& group) const;
    std::uint32_t free_under_caps(const internal::group_state& group) const;
    void start_request(time_point now, internal::group_state& group,
                       const request& incoming, internal::upstream_state* destination,
                       const vm_id& peer);

    // Queue.
    decision enqueue(time_point now, internal::group_state& group, request incoming);
    double service_rate(const internal::group_state& group) const;
    duration estimate_wait(time_point now, const internal::group_state& group,
                           double ahead) const;
    bool reachable(time_point now, const internal::group_state& group) const;
    void dispatch_waiting(time_point now, internal::group_state& group);
    void dispatch_all_waiting(time_point now);
    void expire_waiting(time_point now, internal::group_state& group);
    std::uint32_t account_weight(const std::string& account) const;
    bool is_large(const request& incoming) const;
    void remove_waiting(const request& removed);
    decision refuse(refusal reason, duration retry_after);
    void release_request(time_point now, request_id id);
    void expire_running(time_point now);
    void recount_unreported(const std::string& vm, internal::peer_state& peer);
    void run_hooks();

    router_options options;
    router_hooks hooks;
    random_engine random;
    catalogue::catalogue active;
    bool has_catalogue = false;
    share own_share;
    bool growth_allowed = false;
    bool growth_pending = false;
    time_point growth_not_before{};
    duration longest_deadline = std::chrono::seconds(10);
    std::uint64_t next_ordinal = 0;
    internal::deferred_growth_limit data_centre_cap{.current = internal::unlimited,
                                                    .target = internal::unlimited};
    // By address: when the catalogue last had it in another data centre.
    std::map<std::string, time_point> other_data_centre_upstreams;
    std::map<std::pair<time_point, std::uint64_t>, internal::upstream_state*> timers;
    std::map<std::string, internal::peer_state> peers;
    // By destination region.
    std::map<std::string, internal::link_budget, std::less<>> links;
    std::unordered_map<request_id, internal::running_request> running;
    std::set<std::pair<time_point, request_id>> slot_releases;
    std::unordered_map<request_id, internal::group_state*> waiting;
    std::uint64_t waiting_bytes = 0;
    std::vector<std::pair<request_id, decision>> pending_decisions;
    std::vector<std::pair<std::string, duration>> pending_drains;
};

} // namespace pistachiospan::route

#endif
