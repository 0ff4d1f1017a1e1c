#include "pistachiospan/http1/internal/end_watch.hpp"

namespace pistachiospan::http1::internal
{

namespace
{

// Connections that a process leaves open are reset together when it ends. Servers that
// close idle ones by a timer spread this over the times of their last use.
constexpr duration window = std::chrono::milliseconds(100);
constexpr std::size_t min_closed = 2;

} // namespace

void end_watch::note_closed(time_point now, const std::string& address,
                            std::uint64_t last_opened)
{
    std::erase_if(this->closings,
                  [now](const auto& each) { return now - each.second.since > window; });
    const auto [found, is_first] = this->closings.try_emplace(
        address, closing{.since = now, .last_opened = last_opened});
    ++found->second.closed;
}

std::uint64_t end_watch::last_watched(const std::string& address) const
{
    const auto found = this->closings.find(address);
    return found == this->closings.end() ? 0 : found->second.last_opened;
}

bool end_watch::finish(const std::string& address)
{
    const auto found = this->closings.extract(address);
    return found && found.mapped().closed >= min_closed;
}

} // namespace pistachiospan::http1::internal
