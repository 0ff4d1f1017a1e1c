// The request limits that upstreams name in their answers.
//
// An upstream in need of relief names the number of requests per second that it takes
// from all VMs together. The limit is in force until a later answer names another one, or
// none. Answers on different connections may arrive in another order than they were made,
// so one that raises or ends a limit counts only if its request was sent after the limit
// was last confirmed. VMs tell each other what they have seen; of two statements the
// later one counts, and if they are about equally old, the lower limit.

#ifndef PISTACHIOSPAN_UPSTREAMS_REQUEST_LIMITS_HPP
#define PISTACHIOSPAN_UPSTREAMS_REQUEST_LIMITS_HPP

#include "pistachiospan/base/base.hpp"

#include <map>
#include <optional>
#include <vector>

namespace pistachiospan::upstreams
{

// One start of an upstream.
struct upstream_start
{
    std::string id;
    std::int64_t started = 0;
    auto operator<=>(const upstream_start&) const = default;
};

// What one answer of an upstream says about its request limit.
struct limit_statement
{
    std::optional<double> rate; // requests per second over all VMs; none: no limit
    bool operator==(const limit_statement&) const = default;
};

// A statement as VMs tell it to each other.
struct limit_notice
{
    upstream_start upstream;
    limit_statement statement;
    duration age{0}; // since the last answer that made this statement
    bool operator==(const limit_notice&) const = default;
};

class request_limits
{
public:
    // An answer to a request that was sent at `sent_at` made this statement. Returns true
    // if the limit now differs noticeably from the one last returned as changed.
    bool observe(time_point now, const upstream_start& upstream, time_point sent_at,
                 const limit_statement& statement);
    // Another VM has told this. Returns the same as observe().
    bool merge(time_point now, const limit_notice& notice);
    // Forgets what was last confirmed longer than `max_age` ago, except limits in force
    // of upstreams that are in use.
    void forget(time_point now, duration max_age,
                const std::function<bool(const upstream_start&)>& in_use);

    // Requests per second over all VMs; nullopt if no limit is in force.
    std::optional<double> rate_of(const upstream_start& upstream) const;
    // Limits in force and limits that have ended, if they have changed within `max_age`.
    std::vector<limit_notice> changed_since(time_point now, duration max_age) const;
    // All limits in force.
    std::vector<limit_notice> in_force(time_point now) const;

private:
    struct known_limit
    {
        std::optional<double> rate;
        std::optional<double> announced_rate; // when last returned as changed
        time_point confirmed_at;              // by the last answer that named this rate
        time_point changed_at;                // when this VM learned of it
    };

    static bool apply(time_point now, known_limit& limit,
                      const limit_statement& statement, time_point stated_at);
    static limit_notice notice_of(time_point now, const upstream_start& upstream,
                                  const known_limit& limit);

    std::map<upstream_start, known_limit> limits;
};

} // namespace pistachiospan::upstreams

#endif
