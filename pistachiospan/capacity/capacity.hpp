// What the VMs know together about the load of the upstreams.
//
// Example, at the coordinator of a data centre:
//
//     load_sums all;
//     all.merge(now, "10.0.0.4:1", decode(bytes).value()); // from a member
//     all.set_own(now, own_loads);
//     send_to_members(encode({.scope = scope::fleet,
//                             .loads = all.estimates(now)}, max_size));
//
// A VM sends to a given upstream too seldom to know its load from its own answers. So
// every VM reports the requests that it has at each upstream, and the newest load reports
// that it got, to its coordinator. Coordinators exchange sums and send estimates to their
// members. Each message replaces the earlier one of its sender: lost, repeated and late
// messages leave no trace once a newer one has arrived. Holds no sockets and no clocks.

#ifndef PISTACHIOSPAN_CAPACITY_CAPACITY_HPP
#define PISTACHIOSPAN_CAPACITY_CAPACITY_HPP

#include "pistachiospan/base/base.hpp"
#include "pistachiospan/capacity/concurrency_limit.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pistachiospan::capacity
{

// Identifies one start of an upstream in messages.
using upstream_key = std::uint32_t;
upstream_key key_of(std::string_view id, std::int64_t started);

// Requests of all callers at an upstream, as it has reported them in an answer.
struct reported_load
{
    std::uint32_t requests = 0; // running and waiting
    duration age{0};
    bool operator==(const reported_load&) const = default;
};

// The load of one upstream.
struct upstream_load
{
    upstream_key upstream = 0;
    std::uint32_t requests = 0; // of the VMs that the message is about
    std::optional<reported_load> reported;
    duration age{0}; // of `requests`; sent in estimates only
    bool operator==(const upstream_load&) const = default;
};

enum class scope : std::uint8_t
{
    vm,          // requests of the sender
    data_centre, // requests of all VMs of the sender's data centre
    fleet,       // estimate of all requests, from a coordinator to its members
};

struct load_message
{
    capacity::scope scope = scope::vm;
    std::uint16_t process = 0;  // identifies the sender's process
    std::uint32_t sequence = 0; // rises with each message of the process
    // All upstreams are listed that have requests; false: those with the fewest are left
    // out.
    bool complete = true;
    std::vector<upstream_load> loads;
    bool operator==(const load_message&) const = default;
};

// Encodes as many of the loads as fit into `max_size` bytes, those with the most requests
// first. Counts above 255 and ages above 5.1 s are sent as these.
std::string encode(load_message message, std::size_t max_size);
// Errors: invalid_argument if the bytes are not a valid message.
result<load_message> decode(std::string_view bytes);

struct load_sums_options
{
    // A sender without a message for this long has no part in the sums: three messages in
    // a row may be lost.
    duration retention = std::chrono::seconds(4);
    // Mean age of the requests of another data centre when its message arrives: members
    // and coordinators send in intervals of one to two seconds.
    duration data_centre_age = std::chrono::milliseconds(700);
};

// Sums over the newest messages of all senders. They depend neither on the order nor on
// the repetition of messages.
class load_sums
{
public:
    explicit load_sums(load_sums_options options = {}) : options(options) {}

    // Returns false if the message is not newer than the last one of this sender, or
    // holds estimates.
    bool merge(time_point now, const std::string& sender, const load_message& message);
    void set_own(time_point now, std::vector<upstream_load> loads);
    // Requests of the VMs of this data centre, for the other coordinators.
    std::vector<upstream_load> data_centre_loads(time_point now) const;
    // For the members: of each upstream the newer one of the sum over all VMs and its own
    // report.
    std::vector<upstream_load> estimates(time_point now) const;
    // Forgets senders that are silent. Call from time to time.
    void forget_silent(time_point now);
    void clear()
    {
        this->parts.clear();
    }

private:
    struct part
    {
        capacity::scope scope = scope::vm;
        std::uint16_t process = 0;
        std::uint32_t sequence = 0;
        time_point received_at;
        std::vector<upstream_load> loads;
    };

    std::vector<upstream_load> sum(time_point now, bool all) const;

    load_sums_options options;
    std::map<std::string, part> parts; // by sender; this VM: empty
};

} // namespace pistachiospan::capacity

#endif
