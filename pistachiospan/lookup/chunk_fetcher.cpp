#include "pistachiospan/lookup/lookup.hpp"

#include <algorithm>

namespace pistachiospan::lookup
{

namespace
{

// A chunk whose request was not answered may be requested again after this time.
constexpr duration request_timeout = std::chrono::seconds(30);

} // namespace

void chunk_fetcher::prioritize(std::size_t chunk)
{
    const bool known = std::find(this->prioritized.begin(), this->prioritized.end(),
                                 chunk) != this->prioritized.end();
    if (!known)
    {
        this->prioritized.push_back(chunk);
    }
}

std::optional<std::size_t> chunk_fetcher::next(time_point now, const block_table& table)
{
    const duration elapsed = now - this->refilled_at.value_or(now);
    this->refilled_at = now;
    this->tokens =
        std::min(this->tokens + std::chrono::duration<double>(elapsed).count() *
                                    this->options.bytes_per_second,
                 static_cast<double>(this->options.burst));
    std::erase_if(this->requested_at, [now](const auto& each)
                  { return now - each.second >= request_timeout; });
    const auto fetchable = [&](std::size_t chunk)
    {
        return chunk < table.get_manifest().chunks.size() &&
               table.chunk_bytes(chunk).empty() && !this->requested_at.contains(chunk);
    };
    std::erase_if(this->prioritized,
                  [&](std::size_t chunk) { return !fetchable(chunk); });
    std::optional<std::size_t> chosen;
    if (!this->prioritized.empty())
    {
        chosen = this->prioritized.front();
    }
    else
    {
        const auto missing = table.missing_chunks();
        const auto found = std::find_if(missing.begin(), missing.end(), fetchable);
        chosen = found == missing.end() ? std::nullopt : std::optional(*found);
    }
    // A chunk may cost more than the available tokens; the balance is then negative.
    if (!chosen || this->tokens <= 0)
    {
        return std::nullopt;
    }
    this->tokens -= table.get_manifest().chunks[*chosen].size;
    this->requested_at[*chosen] = now;
    return chosen;
}

void chunk_fetcher::mark_failed(std::size_t chunk)
{
    this->requested_at.erase(chunk);
}

} // namespace pistachiospan::lookup
