// When the bytes of a stream arrived that are not consumed yet. A request may wait in the
// read-ahead for a while; its caller counts that time.
//
// Example:
//
//     arrival_times arrivals;
//     arrivals.note(now, 100);             // 100 bytes are unconsumed
//     const auto at = arrivals.oldest();   // of the first unconsumed byte
//     arrivals.consume(60);

#ifndef PISTACHIOSPAN_HTTP1_INTERNAL_ARRIVAL_TIMES_HPP
#define PISTACHIOSPAN_HTTP1_INTERNAL_ARRIVAL_TIMES_HPP

#include "pistachiospan/base/base.hpp"

#include <deque>
#include <optional>

namespace pistachiospan::http1::internal
{

class arrival_times
{
public:
    // Bytes that arrive when this many times are kept count as arrived with the last
    // ones, so that a caller that sends byte by byte takes no more memory.
    static constexpr std::size_t max_times = 64;

    // There are `unconsumed` bytes now.
    void note(time_point now, std::size_t unconsumed)
    {
        const std::uint64_t end = this->consumed + unconsumed;
        if (!this->arrivals.empty() && this->arrivals.back().end >= end)
            return;
        if (this->arrivals.size() < max_times)
            this->arrivals.push_back({.at = now, .end = end});
        else
            this->arrivals.back().end = end;
    }

    // The arrival of the first unconsumed byte; nullopt if there is none.
    std::optional<time_point> oldest() const
    {
        if (this->arrivals.empty())
            return std::nullopt;
        return this->arrivals.front().at;
    }

    void consume(std::size_t bytes)
    {
        this->consumed += bytes;
        while (!this->arrivals.empty() && this->arrivals.front().end <= this->consumed)
            this->arrivals.pop_front();
    }

private:
    struct arrival
    {
        time_point at;
        std::uint64_t end = 0; // offset in the stream, behind the last byte
    };

    std::deque<arrival> arrivals;
    std::uint64_t consumed = 0; // bytes since the begin of the stream
};

} // namespace pistachiospan::http1::internal

#endif
