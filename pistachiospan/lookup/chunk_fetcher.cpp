#include "pistachiospan/lookup/lookup.hpp"

#include <algorithm>

namespace pistachiospan::lookup
{

namespace
{

// A request without an answer may be made again after this time.
constexpr duration answer_time = std::chrono::seconds(30);

} // namespace

void chunk_fetcher::prioritize(std::size_t chunk)
{
    const bool known =
        std::find(this->wanted.begin(), this->wanted.end(), chunk) != this->wanted.end();
    if (!known)
    {
        this->wanted.push_back(chunk);
    }
}

std::optional<std::size_t> chunk_fetcher::next(time_point now, const block_table& table)
{
    const duration passed = now - this->refilled.value_or(now);
    this->refilled = now;
    this->tokens = std::min(this->tokens + std::chrono::duration<double>(passed).count() *
                                               this->options.bytes_per_second,
                            static_cast<double>(this->options.burst));
    std::erase_if(this->requested,
                  [now](const auto& each) { return now - each.second >= answer_time; });
    const auto open = [&](std::size_t chunk)
    {
        return chunk < table.get_manifest().chunks.size() &&
               table.chunk_bytes(chunk).empty() && !this->requested.contains(chunk);
    };
    std::erase_if(this->wanted, [&](std::size_t chunk) { return !open(chunk); });
    std::optional<std::size_t> chosen;
    if (!this->wanted.empty())
    {
        chosen = this->wanted.front();
    }
    else
    {
        const auto missing = table.missing_chunks();
        const auto found = std::find_if(missing.begin(), missing.end(), open);
        chosen = found == missing.end() ? std::nullopt : std::optional(*found);
    }
    // A chunk larger than the burst leaves a debt.
    if (!chosen || this->tokens <= 0)
    {
        return std::nullopt;
    }
    this->tokens -= table.get_manifest().chunks[*chosen].size;
    this->requested[*chosen] = now;
    return chosen;
}

void chunk_fetcher::mark_failed(std::size_t chunk)
{
    this->requested.erase(chunk);
}

} // namespace pistachiospan::lookup
