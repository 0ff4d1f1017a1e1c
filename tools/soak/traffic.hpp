// Callers of the soak: what they sent, what they were told, and what upstreams saw of it.

#ifndef PISTACHIOSPAN_TOOLS_SOAK_TRAFFIC_HPP
#define PISTACHIOSPAN_TOOLS_SOAK_TRAFFIC_HPP

#include "pistachiospan/http1/http1.hpp"
#include "platform/testing/testing.hpp"
#include "tools/soak/vm_process.hpp"

#include <map>
#include <vector>

namespace pistachiospan::soak
{

struct sent_request
{
    bool order = false; // may run once at most
    std::string key;
    const vm_process* vm = nullptr;
    time_point sent;
    int status = 0;                 // 0: no answer
    bool during_clean_stop = false; // the VM was in a clean stop from sending to the end
};

// Whether the status promises that the request has not run and never will.
bool promises_not_run(int status);

class traffic
{
public:
    traffic(event_base* base, std::uint64_t seed);

    // Sends one request on a kept connection if there is one.
    void send(time_point now, const vm_process& to, const std::string& key);

    const std::map<std::string, sent_request>& all() const
    {
        return this->requests;
    }
    // Answers that belong to another request.
    const std::vector<std::string>& foreign() const
    {
        return this->foreign_answers;
    }
    // Answers that promise "not run", by status and reason.
    const std::map<std::string, std::size_t>& refusals() const
    {
        return this->refusal_counts;
    }
    // Requests since `from` and those of them that were served.
    std::pair<std::size_t, std::size_t> served_since(time_point from) const;

private:
    void finish(const std::string& id, const http1::call_result& ended);

    random_engine random;
    http1::client callers;
    std::uint64_t last = 0;
    std::map<std::string, sent_request> requests;
    std::vector<std::string> foreign_answers;
    std::map<std::string, std::size_t> refusal_counts;
};

} // namespace pistachiospan::soak

#endif
