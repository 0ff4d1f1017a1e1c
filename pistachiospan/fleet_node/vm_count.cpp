#include "pistachiospan/fleet_node/internal/vm_count.hpp"

#include <algorithm>

namespace pistachiospan::fleet_node::internal
{

void vm_count::note(time_point now, std::size_t count)
{
    while (!this->counts.empty() && now - this->counts.front().at > retention)
        this->counts.pop_front();
    while (!this->counts.empty() && this->counts.back().count <= count)
        this->counts.pop_back();
    this->counts.push_back({now, count});
}

std::size_t vm_count::highest(time_point now) const
{
    const auto recent = std::ranges::find_if(this->counts, [now](const noted_count& each)
                                             { return now - each.at <= retention; });
    return recent == this->counts.end() ? 0 : recent->count;
}

} // namespace pistachiospan::fleet_node::internal
