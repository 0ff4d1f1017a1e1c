// State of one request in the pipeline, internal to it.

#ifndef PISTACHIOSPAN_ENTRY_INTERNAL_EXCHANGE_HPP
#define PISTACHIOSPAN_ENTRY_INTERNAL_EXCHANGE_HPP

#include "pistachiospan/entry/pipeline.hpp"

namespace pistachiospan::entry::internal
{

// One request from its arrival to its answer.
struct exchange
{
    exchange_id id = 0;
    caller_request request;
    answer_handler done;
    std::string account;
    std::string key_hash;
    std::string route;
    std::string group;
    bool open_route = false;
    bool idempotent = true;
    bool relayed_in = false;
    bool relayed_to_owner = false; // relayed to this VM for its data centre's upstreams
    std::uint32_t primary_relays = 0;       // number of relays to primaries of shards
    bool uses_executor = false;             // non-idempotent with an idempotency key
    once::attempt_id execution_attempt = 0; // of the executor; 0: none
    wall_time arrived_wall_time;
    time_point arrived_at;
    time_point deadline;
    time_point stage_started_at;
    time_point sent_at; // to an upstream or a peer
    duration limit_wait{0};
    duration queue_wait{0};
    std::uint64_t ticket = 0; // of the wait for a token; 0: none
    bool in_router = false;   // the router has to be told of its end
    upstream_call_id call = 0;
    std::string upstream;
    std::vector<std::string> excluded;
    std::uint32_t attempts = 0;
    time_point retry_at;       // end of the backoff
    bool may_have_run = false; // an earlier attempt may have run
};

} // namespace pistachiospan::entry::internal

#endif
