// Requests that crash the upstreams that run them.
//
// Example:
//
//     end_detector detector;
//     if (detector.note_closed(now, start, {request, service}))
//         check_connection(start); // finish_check() must follow
//     for (const upstream_end& ended : detector.note_answer(now, other))
//         suspects.note_end(now, ended);
//     if (suspects.check(now, request).action == admission::refuse)
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

enum class admission
{
    send,   // nothing speaks against it
    alone,  // it has ended upstreams: one at a time, and not sent again if it is lost
    trial,  // it was in quarantine: one attempt of all VMs
    refuse, // it must not be sent now
};

struct decision
{
    admission action = admission::send;
    duration retry_after{0}; // refuse: when it may be sent
};

// Something that speaks against a request: an upstream has ended with it, or a trial was
// begun, whose outcome counts as an end until there is an answer.
struct strike
{
    std::uint64_t source = 0;  // hash of the upstream's start, or of the trial
    std::uint32_t service = 0; // hash of the name
    time_point at;
};

// An answer has cleared the request at a service: earlier strikes there do not count.
struct clearance
{
    std::uint32_t service = 0;
    time_point at;
};

// All that is known about one request, as VMs tell it to each other.
struct suspect_notice
{
    struct aged_strike
    {
        std::uint64_t source = 0;
        std::uint32_t service = 0;
        duration age{0};
        bool operator==(const aged_strike&) const = default;
    };
    struct aged_clearance
    {
        std::uint32_t service = 0;
        duration age{0};
        bool operator==(const aged_clearance&) const = default;
    };

    fingerprint request;
    std::vector<aged_strike> strikes;
    std::vector<aged_clearance> clearances;
    bool operator==(const suspect_notice&) const = default;
};

struct suspect_options
{
    std::uint64_t seed = 0; // must differ between VMs
    // From this number of strikes on, a request is sent alone and not sent again.
    std::size_t strikes_before_caution = 2;
    std::size_t strikes_before_quarantine = 3;
    // Time from the last strike to the next trial; each further strike multiplies it.
    duration first_quarantine = std::chrono::seconds(15);
    std::int64_t quarantine_factor = 4;
    duration max_quarantine = std::chrono::hours(1);
    // The VMs begin trials at different times, this far apart on average, so that the
    // outcome at one of them is known before the next one tries.
    duration trial_spread = std::chrono::milliseconds(250);
    // While another attempt of the request is under way at this VM.
    duration alone_retry_after = std::chrono::milliseconds(500);
    // Time for which strikes of a request that is not in quarantine, and clearances, are
    // remembered.
    duration retention = std::chrono::minutes(10);
    std::size_t max_suspects = 4096;
    // Remembered for each. Further ones say nothing new: the quarantine is the longest.
    std::size_t max_strikes = 16;
};

// Decides which requests may be sent. Strikes are a set, merged over all VMs: a request
// is in quarantine when it was at several upstreams that ended, and no answer has come
// since.
class suspects
{
public:
    explicit suspects(suspect_options options);

    // Number of VMs that may begin trials, including this one.
    void set_vm_count(std::size_t count);

    bool empty() const
    {
        return this->known.empty();
    }
    decision check(time_point now, const fingerprint& request) const;
    // Whether a request that has just lost its connection may be sent once more.
    bool may_retry(const fingerprint& request) const;

    // Call when a request is sent. A trial adds a strike: tell the other VMs at once.
    // Returns true if the request is a suspect: end() must follow when the attempt ends.
    bool begin(time_point now, const fingerprint& request, admission as,
               std::string_view service);
    void end(const fingerprint& request);
    // An upstream has ended. Returns the requests that are now in quarantine and were not
    // before. This VM's trials have their strike already.
    std::vector<fingerprint> note_end(time_point now, const upstream_end& ended);
    // The request was answered. Returns true if it was a suspect: tell the other VMs.
    bool note_answer(time_point now, const fingerprint& request,
                     std::string_view service);

    // What another VM has told. Returns true if anything of it is new.
    bool merge(time_point now, const suspect_notice& notice);
    // Suspects that have changed within `age`, those with most strikes first.
    std::vector<suspect_notice> changed_since(time_point now, duration age,
                                              std::size_t max_count) const;
    // Suspects in quarantine, those with the latest strikes first.
    std::vector<suspect_notice> quarantined(time_point now, std::size_t max_count) const;
    std::size_t quarantined_count() const;
    bool is_quarantined(const fingerprint& request) const;
    // Forgets what is not needed any more. Call from time to time.
    void forget_old(time_point now);

private:
    struct suspect
    {
        std::vector<strike> strikes;
        std::vector<clearance> clearances;
        time_point changed_at;
        std::size_t in_flight = 0;          // at this VM
        std::optional<time_point> trial_at; // the last one of this VM
    };
    using suspect_map = std::map<fingerprint, suspect>;

    bool is_quarantined(const suspect& each) const;
    static bool is_trial_outcome(const suspect& each, const upstream_end& ended);
    duration quarantine_time(const suspect& each) const;
    duration trial_delay(const fingerprint& request, const suspect& each) const;
    static time_point last_strike(const suspect& each);
    static bool is_cleared(const suspect& each, const strike& added);
    bool add_strike(time_point now, suspect& to, const strike& added);
    static bool add_clearance(time_point now, suspect& to, const clearance& added);
    suspect& get(const fingerprint& request);
    void evict_one();
    static suspect_notice describe(time_point now, const fingerprint& request,
                                   const suspect& each);

    suspect_options options;
    std::size_t vm_count = 1;
    suspect_map known;
};

} // namespace pistachiospan::quarantine

#endif
