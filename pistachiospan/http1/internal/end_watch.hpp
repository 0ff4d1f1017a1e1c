// Notices that a server has closed all connections to it at once, as one that ends does.

#ifndef PISTACHIOSPAN_HTTP1_INTERNAL_END_WATCH_HPP
#define PISTACHIOSPAN_HTTP1_INTERNAL_END_WATCH_HPP

#include "pistachiospan/base/base.hpp"

#include <map>
#include <string>

namespace pistachiospan::http1::internal
{

class end_watch
{
public:
    // The server has closed or reset a connection. `last_opened` is the number of the
    // newest connection: those that are opened later may be to the server's next start.
    void note_closed(time_point now, const std::string& address,
                     std::uint64_t last_opened);
    // The newest connection that the server must have closed.
    std::uint64_t last_watched(const std::string& address) const;
    // Call when the server has no open connection up to that one. Returns true if it has
    // closed two or more.
    bool finish(const std::string& address);

private:
    struct closing
    {
        time_point since;
        std::uint64_t last_opened = 0;
        std::size_t closed = 0;
    };
    std::map<std::string, closing> closings; // by address
};

} // namespace pistachiospan::http1::internal

#endif
