// Queue of the waiting requests of one group: start-time fair queueing over accounts.

#ifndef PISTACHIOSPAN_ROUTE_INTERNAL_FAIR_QUEUE_HPP
#define PISTACHIOSPAN_ROUTE_INTERNAL_FAIR_QUEUE_HPP

#include "pistachiospan/route/route.hpp"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace pistachiospan::route::internal
{

struct waiting_request
{
    request incoming;
    std::uint64_t sequence = 0; // order of arrival
    bool large = false;
};

// Each account is a flow. A flow's next request has the start tag max(virtual time,
// finish tag of its last one); the lowest tag is served first. A tag is assigned when a
// request reaches the front, so requests that expire or are cancelled do not delay their
// flow.
class fair_queue
{
public:
    explicit fair_queue(bool by_account) : by_account(by_account) {}

    void push(request incoming, std::uint32_t weight, bool large);
    // Removes a request and returns it; nothing when it does not wait here.
    std::optional<request> remove(request_id id);
    std::size_t size() const
    {
        return this->flow_by_id.size();
    }
    std::size_t waiting_count(const std::string& account) const;
    std::uint64_t waiting_bytes(const std::string& account) const;

    // Counts a request that was served without waiting.
    void charge(const std::string& account, std::uint32_t weight);

    // Requests that are served before a new one of this account.
    double count_ahead(const std::string& account, std::uint32_t weight) const;

    // Offers requests in fair order until one is taken. Within a flow, a large request
    // that cannot be placed lets the first small one pass, and the reverse. Returns
    // whether a request was taken.
    bool serve(const std::function<bool(const request&)>& try_take);

    // Removes and returns the requests for which `drop(request, ahead)` is true.
    std::vector<request>
    remove_if(const std::function<bool(const request&, double ahead)>& drop);

private:
    struct flow
    {
        std::string name;
        double weight = 1;
        double start = 0;
        double finish = 0;
        std::uint64_t bytes = 0;
        std::deque<waiting_request> lanes[2]; // small, large
        std::size_t size() const
        {
            return this->lanes[0].size() + this->lanes[1].size();
        }
    };

    using order_key = std::pair<double, std::uint64_t>; // start tag, arrival

    flow& flow_of(const std::string& account, std::uint32_t weight);
    const std::string& flow_name(const std::string& account) const;
    static std::uint64_t front_sequence(const flow& target);
    void activate(flow& target);
    void deactivate(flow& target);
    bool offer(flow& target, const std::function<bool(const request&)>& try_take);
    void forget_idle_flows();

    bool by_account;
    double virtual_time = 0;
    std::uint64_t next_sequence = 0;
    std::map<std::string, flow> flows;
    std::map<order_key, flow*> active;
    std::unordered_map<request_id, flow*> flow_by_id;
};

} // namespace pistachiospan::route::internal

#endif
