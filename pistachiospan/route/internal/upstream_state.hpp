// State of one upstream of the router's own data centre.

#ifndef PISTACHIOSPAN_ROUTE_INTERNAL_UPSTREAM_STATE_HPP
#define PISTACHIOSPAN_ROUTE_INTERNAL_UPSTREAM_STATE_HPP

#include "pistachiospan/route/internal/split.hpp"

namespace pistachiospan::route::internal
{

struct group_state;

enum class ejection_state
{
    serving,
    ejected, // no requests until `ejected_until`
    probing, // one request at a time; a success ends the ejection
};

// List of the group that contains an upstream with a free slot.
enum class listing
{
    none,
    available,
    probing,
};

struct upstream_state
{
    std::string address;
    std::uint64_t ordinal = 0; // order of creation; makes ties deterministic
    group_state* group = nullptr;
    bool present = false; // in the active catalogue, in this data centre

    // Position of this upstream's first slot in the round-robin order over the shares.
    std::uint64_t first_slot = 0;
    std::uint64_t first_connection = 0;
    std::uint32_t total_slots = 0;
    std::uint32_t total_connections = 0;
    duration warm_up{0};
    deferred_growth_limit slots;
    deferred_growth_limit connections;
    std::uint32_t in_flight = 0;
    std::uint32_t open_connections = 0;

    bool catalogue_drain = false;
    bool signalled_drain = false;
    time_point drain_signalled_at{};
    std::optional<time_point> drain_started_at; // reset when the drain is revoked

    bool moving = false; // destination of its group's planned move
    std::optional<time_point> warm_up_started_at; // empty: warm-up is over
    ejection_state state = ejection_state::serving;
    time_point ejected_until{};
    std::uint32_t ejections = 0; // consecutive
    std::uint32_t failures = 0;  // consecutive
    double failure_rate = 0;
    time_point backoff_until{};
    std::uint32_t sheds = 0; // consecutive

    double latency = 0; // microseconds, peak EWMA; 0: no sample
    time_point sampled_at{};
    std::optional<time_point> last_success;
    bool reported_healthy = true;
    double reported_load = 0;

    // Derived by the router's refresh().
    std::uint32_t limit = 0;    // requests that may run now
    std::uint32_t capacity = 0; // part of `limit` that counts for wait estimates
    bool member = false;        // counted in the group's members
    listing list = listing::none;
    std::size_t list_position = 0;
    std::optional<time_point> timer; // next refresh(), in router::implementation::timers

    bool draining() const
    {
        return !this->present || this->catalogue_drain || this->signalled_drain;
    }

    // Requests that this VM may run at the present stage of the warm-up. Slots are added
    // in round-robin order over the shares, so all VMs together begin with one.
    std::uint32_t warm_up_limit(time_point now, const share& own_share) const;
    duration warm_up_step() const;

    // Peak EWMA: a rise counts at once, a fall with the time constant `memory`.
    void add_latency(time_point now, duration sample, duration memory);
    // Current estimate. Decays while no request is sent, so that a slow upstream is tried
    // again.
    double latency_at(time_point now, duration memory) const;
};

} // namespace pistachiospan::route::internal

#endif
