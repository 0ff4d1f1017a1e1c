// A simulated upstream: runs requests in its slots, queues a few more, is faster with
// objects that it knows, and may name a request limit in its answers.

#ifndef PISTACHIOSPAN_WORLD_UPSTREAM_HPP
#define PISTACHIOSPAN_WORLD_UPSTREAM_HPP

#include "pistachiospan/gateway/gateway.hpp"
#include "pistachiospan/world/scheduler.hpp"

#include <deque>
#include <list>
#include <map>
#include <set>
#include <vector>

namespace pistachiospan::world
{

struct upstream_options
{
    upstreams::entry registration;
    std::size_t max_queued = 10; // requests beyond its slots
    std::size_t max_known_objects = 64;
    duration known_time = std::chrono::milliseconds(80); // work on a known object
    duration unknown_time = std::chrono::milliseconds(240);
    // From the start of a request that crashes it.
    duration time_to_crash = std::chrono::milliseconds(60);
    std::function<void()> on_crash = nullptr;
};

// A request as an upstream receives it.
struct incoming_request
{
    std::uint64_t id = 0; // the same in all attempts of a request
    std::size_t vm = 0;   // that sent it
    time_point sent_at;   // by the VM
    std::string object;
    std::string account; // empty: an open request
    bool is_excused = false;
    bool unharmed = true;
};

// One request that reached an upstream.
struct arrival
{
    time_point at;
    std::uint64_t request = 0; // its id
    std::size_t vm = 0;        // that sent it
    time_point sent_at;
    std::string account;
    std::string object;
    bool ran = false;        // it was not refused
    bool is_excused = false; // the rule on limits does not count it
    bool unharmed = true;    // nothing has harmed the VM lately
};

// A request limit that the upstream named in its answers from this time on; none: it
// named no limit.
struct named_limit
{
    time_point since;
    std::optional<double> rate; // requests per second
};

using answer_handler = std::function<void(gateway::attempt_result)>;

class upstream
{
public:
    upstream(scheduler& events, random_engine& random, upstream_options options);

    // Runs or refuses a request. `answer` is called with the result, unless the upstream
    // starts again meanwhile.
    void receive(const incoming_request& request, answer_handler answer);

    // Names this limit in its answers from now on; none: no limit.
    void name_limit(std::optional<double> rate)
    {
        this->limit = rate;
    }
    // Says in each answer from now on that it is leaving; the registry does not.
    void announce_leaving()
    {
        this->leaving = true;
    }
    // Refuses this fraction of the requests as not run, even if it has room.
    void refuse_fraction(double fraction)
    {
        this->refused_fraction = fraction;
    }
    // While it is silent it works on requests and answers none.
    void set_silent(bool next)
    {
        this->silent = next;
    }
    // Ends: the connections of all its requests close, and it refuses new ones until it
    // starts again.
    void crash();
    bool is_down() const
    {
        return this->down;
    }
    // Requests of this account about this object crash the upstream from now on, or do
    // not any more.
    void set_crashing(const std::string& account, const std::string& object,
                      bool crashes);
    // When such requests have crashed it.
    std::vector<time_point> crashes_by(const std::string& account,
                                       const std::string& object) const;
    // Ends all requests without an answer, and forgets its objects and limits.
    void restart();

    const upstreams::entry& registration() const
    {
        return this->options.registration;
    }
    // Of all starts.
    const std::deque<arrival>& arrivals() const
    {
        return this->received;
    }
    // Oldest first. A restart ends a limit.
    const std::vector<named_limit>& limits() const
    {
        return this->named;
    }

private:
    struct waiting_request
    {
        std::string account;
        std::string object;
        answer_handler answer;
    };
    using request_kind = std::pair<std::string, std::string>; // account and object
    struct crash_record
    {
        time_point at;
        request_kind cause;
    };

    bool refuses_at_random();
    void start(waiting_request request);
    void finish(std::uint64_t run);
    duration work_on(const std::string& object);
    gateway::attempt_result result_of(gateway::attempt_outcome outcome);
    void record_limit(std::optional<double> rate);

    scheduler& events;
    random_engine& random;
    upstream_options options;
    std::map<std::uint64_t, answer_handler> running; // by number of the run
    std::uint64_t last_run = 0;
    std::deque<waiting_request> queue;
    std::list<std::string> known_objects; // the most recent one last
    std::deque<arrival> received;
    std::optional<double> limit;
    std::vector<named_limit> named;
    double refused_fraction = 0;
    bool leaving = false;
    bool silent = false;
    bool down = false;
    std::set<request_kind> crashing;
    std::vector<crash_record> crashes;
};

} // namespace pistachiospan::world

#endif
