// Starts of upstreams that may have ended, and been followed by another start under the
// same id, without the registry's knowledge.
//
// Example:
//
//     restart_suspicions suspected;
//     suspected.note_sign(now, start);                  // it refuses connections
//     suspected.note_contact(now, sent_at);             // another upstream answers
//     suspected.note_accepted(now, start, sent_at);     // it answers again
//     const time_point cold_until = suspected.cold_until(start, cold_time);
//
// A sign that this VM has seen itself is confirmed by an answer of any upstream to a
// request that was sent after it: until then this VM's own links may be at fault. Only
// confirmed signs are told to the other VMs. Uses no clocks: the owner passes the time.

#ifndef PISTACHIOSPAN_UPSTREAMS_RESTART_SUSPICIONS_HPP
#define PISTACHIOSPAN_UPSTREAMS_RESTART_SUSPICIONS_HPP

#include "pistachiospan/upstreams/request_limits.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace pistachiospan::upstreams
{

// A suspected restart, as VMs tell it to each other.
struct restart_notice
{
    upstream_start upstream;              // as the registry lists it
    duration age{0};                      // since the sign
    std::optional<duration> accepted_age; // since it was first seen to accept again
    bool operator==(const restart_notice&) const = default;
};

struct restart_suspicion_options
{
    // Signs of several VMs that are no further apart belong to one restart: their ages
    // grow by the delays of the messages that tell them.
    duration same_sign = std::chrono::milliseconds(500);
    // Signs that are told later are ignored, and records are forgotten after this time,
    // except of upstreams that are still suspected.
    duration retention = std::chrono::minutes(5);
};

class restart_suspicions
{
public:
    explicit restart_suspicions(restart_suspicion_options options = {}) : options(options)
    {
    }

    // This VM has seen the upstream end. Without effect while it is suspected and has not
    // accepted again.
    void note_sign(time_point now, const upstream_start& start);
    // An upstream has answered a request that was sent at `sent_at`. Returns the starts
    // whose signs this confirms.
    std::vector<upstream_start> note_contact(time_point now, time_point sent_at);
    // Forgets unconfirmed signs: this VM was cut off from the upstreams. Returns the
    // starts that had some.
    std::vector<upstream_start> drop_unconfirmed();
    // The upstream has answered a request that was sent at `sent_at`. Returns true if
    // this shows for the first time that it accepts again.
    bool note_accepted(time_point now, const upstream_start& start, time_point sent_at);
    // Another VM has told this. Returns true if it is new.
    bool merge(time_point now, const restart_notice& notice);
    // This start has written an entry at `written_at` or later. Returns true if this
    // ends a suspicion: the start has not ended.
    bool note_entry(const upstream_start& start, time_point written_at);

    // The end of the time during which the upstream is treated as cold:
    // `time_point::max()` if that is not known yet, `time_point::min()` if it is not
    // suspected.
    time_point cold_until(const upstream_start& start, duration cold_time) const;
    bool is_suspected(const upstream_start& start) const;
    // Confirmed suspicions that have changed during the last `age`, and all that are
    // not refuted and that `is_relevant` selects.
    std::vector<restart_notice> changed_since(time_point now, duration age) const;
    using start_filter = std::function<bool(const upstream_start&)>;
    std::vector<restart_notice> select(time_point now,
                                       const start_filter& is_relevant) const;
    void forget(time_point now, const start_filter& is_suspected);

    bool empty() const
    {
        return this->records.empty();
    }

private:
    struct record
    {
        std::optional<time_point> unconfirmed_at; // a sign seen here
        std::optional<time_point> sign_at;        // the last confirmed sign
        std::optional<time_point> accepted_at;    // first time after it
        bool refuted = false;                     // by the registry
        time_point changed_at;

        bool is_told() const
        {
            return this->sign_at && !this->refuted;
        }
    };

    static restart_notice notice_of(time_point now, const upstream_start& start,
                                    const record& from);

    restart_suspicion_options options;
    std::map<upstream_start, record> records;
    std::size_t unconfirmed = 0; // records with an unconfirmed sign
};

} // namespace pistachiospan::upstreams

#endif
