#include "pistachiospan/upstreams/internal/reachability.hpp"

#include <utility>

namespace pistachiospan::upstreams::internal
{

void reachability::note_failure(time_point now, time_point sent_at,
                                const std::string& upstream)
{
    // The upstreams may have been within reach again since.
    if (sent_at < this->last_contact)
        return;
    this->failed[upstream] = now;
    std::erase_if(this->failed, [this, now](const auto& each)
                  { return now - each.second > this->options.memory; });
    this->cut_off = this->cut_off || this->is_cut_off(now);
}

bool reachability::note_contact(time_point now)
{
    this->last_contact = now;
    this->failed.clear();
    return std::exchange(this->cut_off, false);
}

bool reachability::is_cut_off(time_point now) const
{
    return this->cut_off || (this->failed.size() >= this->options.min_failed &&
                             now - this->last_contact >= this->options.min_silence);
}

} // namespace pistachiospan::upstreams::internal
