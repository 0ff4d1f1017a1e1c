// Requests that crash the upstreams that run them.
//
// Example:
//
//     end_detector detector;
//     if (detector.note_closed(now, start, {request, service}))
//         check_connection(start); // finish_check() must follow
//     for (const upstream_end& ended : detector.note_answer(now, other))
//         ...
//
// An upstream that ends takes all its requests with it, and only one of them may be the
// cause. The same request comes again with another id, at any VM, so requests are
// identified by what they are: a fingerprint of caller, method, host, path and body.

#ifndef PISTACHIOSPAN_QUARANTINE_QUARANTINE_HPP
#define PISTACHIOSPAN_QUARANTINE_QUARANTINE_HPP

#include "pistachiospan/base/base.hpp"
#include "pistachiospan/upstreams/upstreams.hpp"

#include <compare>
#include <map>
#include <vector>

namespace pistachiospan::quarantine
{

// Identifies what a request is, whatever its id: the first half of a SHA-256 digest, so
// that no caller can make a request that looks like another caller's.
struct fingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const fingerprint&) const = default;
};

// The parts are caller, method, host, target and body.
fingerprint fingerprint_of(std::initializer_list<std::string_view> parts);

// For logs: 32 hexadecimal digits.
std::string to_text(const fingerprint& request);

// A request that was at an upstream when its connection ended.
struct lost_request
{
    fingerprint request;
    std::string service;
    bool operator==(const lost_request&) const = default;
};

// An upstream that has ended, and the requests of this VM that ended with it.
struct upstream_end
{
    upstreams::upstream_start upstream;
    time_point at;
    std::vector<lost_request> requests;
};

// What a new connection to an upstream showed.
enum class connection_check
{
    refused,  // nothing listens at the address
    accepted, // the upstream lives
    unclear,  // no answer in time, or another failure
};

struct end_detector_options
{
    // A refused connection that no answer of another upstream follows within this time
    // tells nothing: this VM may be cut off from all upstreams.
    duration confirmation_time = std::chrono::seconds(2);
    std::size_t max_requests = 256; // remembered for one upstream
};

// Tells upstreams that have ended from connections that have.
//
// A connection that closes without an answer may mean many things: a lost answer, a reset
// on the way, a cut of this VM's links. The upstream has ended if it then refuses new
// connections while another upstream still answers this VM.
class end_detector
{
public:
    explicit end_detector(end_detector_options options = {});

    // A connection closed without an answer to this request. Returns true if the upstream
    // is to be checked: finish_check() must follow.
    bool note_closed(time_point now, const upstreams::upstream_start& upstream,
                     lost_request request);
    // Returns true if a connection or an answer elsewhere is all that is missing.
    bool finish_check(time_point now, const upstreams::upstream_start& upstream,
                      connection_check outcome);
    // An upstream has answered or accepted a connection. Returns the others that are now
    // known to have ended.
    std::vector<upstream_end> note_answer(time_point now,
                                          const upstreams::upstream_start& upstream);

private:
    struct suspected_end
    {
        time_point closed_at; // the first connection
        bool refused = false;
        std::vector<lost_request> requests;
    };

    void forget_old(time_point now);

    end_detector_options options;
    std::map<upstreams::upstream_start, suspected_end> suspected;
};

} // namespace pistachiospan::quarantine

#endif
