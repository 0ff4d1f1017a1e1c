// What rows of the tables change in the daemon: configuration, evacuations, upstreams.

#include "pistachiospan/edge/internal/implementation.hpp"

#include <algorithm>

namespace pistachiospan::edge
{

using event_loop::monotonic_now;
using internal::body_memory_divisor;
using internal::to_milliseconds;

namespace
{

// A VM that has not read the operator rows for this long, or has just started, assumes
// that an evacuation it learns of has been in force for a while.
constexpr duration in_force_age = std::chrono::seconds(3);

// File descriptors reserved for everything except callers' connections.
constexpr std::size_t reserved_descriptors = 900;

} // namespace

void edge_daemon::implementation::apply_operator_row(const mirror::row& changed)
{
    if (this->codec.is_configuration(changed.key))
        this->activate(changed);
    else
        this->apply_evacuations(changed.version);
}

void edge_daemon::implementation::activate(const mirror::row& changed)
{
    result<configuration::content> decoded =
        this->codec.decode_configuration(changed.value);
    if (!decoded)
    {
        this->log("configuration_rejected",
                  {{"row_version", store_version::number_of(changed.version)},
                   {"problem", decoded.error().message}});
        return;
    }
    const auto next =
        std::make_shared<const configuration::state>(std::move(decoded.value()));
    const configuration::state* active = this->core.requests().active();
    if (active != nullptr && next->version() <= active->version())
    {
        this->log("configuration_older",
                  {{"version", next->version()}, {"active", active->version()}});
        return;
    }
    for (const std::string& remark : next->warnings())
        this->log("configuration_remark",
                  {{"version", next->version()}, {"remark", remark}});
    this->tables.note_configuration_applied();
    this->core.set_configuration(next);
    this->callers.set_limits(
        {.max_header = next->limits().max_header,
         .max_body = next->limits().max_body,
         .max_buffered = this->options.max_memory / body_memory_divisor,
         .max_connections =
             std::max(this->options.max_descriptors, 2 * reserved_descriptors) -
             reserved_descriptors,
         .header_timeout = next->limits().header_timeout,
         .idle_timeout = next->limits().idle_timeout});
    this->log("configuration",
              {{"version", next->version()},
               {"row_version", store_version::number_of(changed.version)},
               {"routes", next->routes().size()},
               {"accounts", next->accounts().size()}});
}

void edge_daemon::implementation::apply_evacuations(std::uint64_t version)
{
    std::set<std::string> all;
    for (const mirror::row& each :
         this->tables.copy(table::operator_rows).snapshot().rows)
        if (const auto data_centre = this->codec.decode_evacuation(each.key))
            all.insert(*data_centre);
    if (all == this->evacuated)
        return;
    this->evacuated = all;
    const time_point now = monotonic_now();
    const duration age = this->tables.operator_rows_age(now);
    const bool in_force = age > in_force_age && this->known_elsewhere(now, version);
    this->core.upstreams().set_evacuated(now, all, in_force);
    this->log("evacuation", {{"data_centres", all},
                             {"in_force", in_force},
                             {"news_age_ms", to_milliseconds(age)}});
}

// Whether another VM had this change before, according to its reports. A VM that has just
// started or was disconnected learns of changes long after the others. Without a loaded
// table this is assumed.
bool edge_daemon::implementation::known_elsewhere(time_point now,
                                                  std::uint64_t operator_change) const
{
    if (!this->tables.copy(table::operator_rows).loaded())
        return true;
    return operator_change > 0 && this->core.fleet()
                                      .best_informed(now, operator_change - 1, UINT64_MAX)
                                      .has_value();
}

void edge_daemon::implementation::apply_upstream(const mirror::row& changed)
{
    result<upstreams::entry> decoded =
        this->codec.decode_upstream(changed.key, changed.value);
    if (!decoded)
    {
        // The entry is another writer's, so it says nothing about the upstream of its
        // key.
        this->log("upstream_unreadable",
                  {{"upstream", changed.key},
                   {"row_version", store_version::number_of(changed.version)},
                   {"problem", decoded.error().message}});
        this->metrics.count_unreadable_entry();
        return;
    }
    const time_point now = monotonic_now();
    decoded.value().max_age = this->tables.upstream_row_age(now);
    const std::string change = this->core.upstreams().update(now, decoded.value());
    if (decoded.value().draining && !change.empty())
        this->left.draining.push_back(changed.key);
    if (!change.empty())
        this->log("upstream", {{"upstream", changed.key},
                               {"change", change},
                               {"service", decoded.value().service},
                               {"address", decoded.value().address},
                               {"row_version", store_version::number_of(changed.version)},
                               {"cold_ms", to_milliseconds(decoded.value().cold_left)}});
}

void edge_daemon::implementation::remove_upstream(const std::string& id)
{
    if (!this->core.upstreams().remove(id))
        return;
    this->left.removed.push_back(id);
    this->log("upstream", {{"upstream", id}, {"change", "removed"}});
}

// Logs in one line which upstreams the latest change of the registry has taken out of
// use. The `upstream` lines are rate-limited, and many upstreams may leave at once.
void edge_daemon::implementation::log_left()
{
    const left_upstreams all = std::exchange(this->left, {});
    if (all.draining.empty() && all.removed.empty())
        return;
    const std::uint64_t position = this->tables.copy(table::upstreams).position();
    this->log("upstreams_left", {{"draining", all.draining},
                                 {"removed", all.removed},
                                 {"store_position", store_version::number_of(position)}});
}

} // namespace pistachiospan::edge
