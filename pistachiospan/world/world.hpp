// A model of a deployment in virtual time: callers, VMs, upstreams, the network between
// them and the rows of the store that the VMs use to find each other. The VMs run the
// decision modules of the daemon (`steering`); everything else is simulated. A run with
// the same options and calls is the same each time.
//
// Example:
//
//     world all({.seed = 3, .vms = 9});
//     all.run_for(std::chrono::seconds(5));
//     all.upstream_at(0).name_limit(10);
//     all.vm_at(2).side = 1; // cut off from the other VMs
//     all.run_for(std::chrono::seconds(10));
//     const std::vector<limit_excess> broken = check_limits(all.upstream_at(0), {});

#ifndef PISTACHIOSPAN_WORLD_WORLD_HPP
#define PISTACHIOSPAN_WORLD_WORLD_HPP

#include "pistachiospan/steering/steering.hpp"
#include "pistachiospan/world/upstream.hpp"

namespace pistachiospan::world
{

struct world_options
{
    std::uint64_t seed = 1;
    std::size_t regions = 3;
    std::size_t data_centres = 6; // dealt to the regions in turn
    std::size_t vms = 9;          // dealt to the data centres in turn
    std::size_t upstreams = 16;   // of one service, dealt to the data centres in turn
    // Index of the data centre of each upstream; empty: dealt in turn.
    std::vector<std::size_t> upstream_places = {};
    std::uint32_t slots = 5;     // of each upstream
    std::size_t max_queued = 10; // requests at an upstream beyond its slots
    bool shared_loads = false;
    double requests_per_second = 300; // on an open route
    // Their requests come in addition, each at `account_load` times its rate.
    std::vector<configuration::account> accounts;
    double account_load = 1 / 1.6;
    double account_skew = 0;   // fraction of them that goes to the first data centre
    std::size_t objects = 400; // that the requests of each data centre are about
    double skew = 0;           // exponent of the objects' popularity (Zipf); 0: all equal
    duration objective = std::chrono::milliseconds(200); // of the answers
    // Of the service, over all VMs; see retry_bound.
    double retry_ratio = 0.2;
    double retry_slack = 40;       // retries, and as many more as the VMs times the next
    double retry_slack_per_vm = 2; // retries
    bool fair_admission = false;
    double datagram_loss = 0; // fraction of the datagrams between VMs
    duration cold_time{0};    // an upstream is cold this long after its start
    double cold_rate = 0;     // requests per second that a cold one tolerates
    // One way.
    duration within_data_centre = std::chrono::microseconds(100);
    duration within_region = std::chrono::milliseconds(1);
    duration between_regions = std::chrono::milliseconds(12);
};

// What a VM's new connections to upstreams meet.
enum class upstream_link
{
    open,
    refusing, // they are refused at once
    silent,   // nothing answers
};

// One VM. The faults may be set at any time.
struct vm_state
{
    vm_id id;
    std::string data_centre;
    std::string address;
    std::unique_ptr<steering::core> process; // null: the VM is down
    incarnation started = 0;                 // of the last process
    bool ready = false;                      // has read configuration and registry
    time_point frozen_until;
    int side = 0; // VMs on different sides do not reach each other; all reach upstreams
    upstream_link upstreams = upstream_link::open;
    bool outbound_loss = false; // it receives datagrams, but those that it sends are lost
    time_point harmed_until;    // by restarts and by faults that are set elsewhere
    // When the present process first passed on an answer that names a limit, by upstream.
    std::map<std::size_t, time_point> told_at;
};

// How the platform's store serves the VMs.
struct store_state
{
    duration latency = std::chrono::milliseconds(6); // of one call
    bool available = true;
};

// The users' bound on retries over all VMs: in each window no more than `ratio` times the
// requests, plus `slack`.
struct retry_bound
{
    duration window = std::chrono::seconds(10);
    double ratio = 0.2;
    double slack = 0; // retries
};

// One request of a caller that reached a VM.
struct caller_request_outcome
{
    time_point sent_at;
    std::size_t vm = 0;
    std::string account;
    bool answered = false; // by an upstream
    gateway::refusal reason = gateway::refusal::none;
    duration elapsed{0}; // until its end
};

// What the callers saw.
struct caller_counts
{
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t on_time = 0; // of the answered ones
    std::size_t refused = 0; // answered by a VM instead of an upstream
    std::size_t lost = 0;    // their VM was down or frozen, or ended meanwhile
    std::map<gateway::refusal, std::size_t> reasons; // of the refusals
};

class world
{
public:
    explicit world(world_options options);

    void run_for(duration span)
    {
        this->events.run_for(span);
    }
    time_point now() const
    {
        return this->events.now();
    }

    std::size_t vm_count() const
    {
        return this->vms.size();
    }
    vm_state& vm_at(std::size_t index)
    {
        return this->vms.at(index);
    }
    std::size_t upstream_count() const
    {
        return this->servers.size();
    }
    upstream& upstream_at(std::size_t index)
    {
        return *this->servers.at(index);
    }
    // Index of the VM that coordinates the data centre; vm_count() if there is none.
    std::size_t coordinator_of(const std::string& data_centre) const;

    // Adds a VM to a data centre. Returns its index.
    std::size_t add_vm(const std::string& data_centre);
    void start(std::size_t vm);
    // Ends the process; what it was working on is lost.
    void kill(std::size_t vm);
    // The upstream starts again under its id. The VMs learn it from the registry, if the
    // store is available.
    void restart_upstream(std::size_t index);
    // Requests about the object, by this account, crash each upstream that begins to run
    // them; it starts again some seconds later. With false they don't any more.
    void set_crashing(const std::string& account, const std::string& object,
                      bool crashes);
    // Sends a request of the account about the object to the VM.
    void send_request_about(std::size_t vm, const std::string& account,
                            const std::string& object);

    void set_request_rate(double per_second)
    {
        this->options.requests_per_second = per_second;
    }
    // Requests of the account, as a multiple of what it usually sends.
    void set_surge(std::size_t account, double multiple)
    {
        this->surges.at(account) = multiple;
    }
    // When the store is available again, the VMs learn the restarts that it missed.
    void set_store(const store_state& next);
    // Keeps a copy of the rows that VMs have written to the store.
    void keep_store_copy();
    // The store comes back from the kept copy, in a new generation; what was written
    // since is lost.
    void restore_store();
    void set_datagram_loss(double fraction)
    {
        this->options.datagram_loss = fraction;
    }
    // Whether the rule on limits counts the VM's requests to the upstream: it has passed
    // on a limit of the upstream for a while, and nothing has harmed it lately.
    bool is_bound(std::size_t vm, std::size_t upstream) const;
    // Runs the action after `delay` of virtual time.
    void after(duration delay, std::function<void()> action)
    {
        this->events.after(delay, std::move(action));
    }
    const std::vector<configuration::account>& accounts() const
    {
        return this->options.accounts;
    }
    // Whether the VM runs and nothing has harmed it lately.
    bool is_unharmed(std::size_t vm) const;
    const caller_counts& callers() const
    {
        return this->counts;
    }
    // When callers sent their requests, whether they reached a VM or not.
    const std::deque<time_point>& request_times() const
    {
        return this->sent_requests;
    }
    // In the order of their sending.
    const std::deque<caller_request_outcome>& outcomes() const
    {
        return this->request_outcomes;
    }
    // The retries that the users' rule allows over all VMs.
    retry_bound allowed_retries() const;

private:
    struct request
    {
        std::string object;
        std::string account;
        time_point sent_at;
        std::size_t outcome = 0; // index of its record
    };

    struct call
    {
        gateway::exchange_id exchange = 0;
        std::size_t vm = 0;
        std::size_t upstream = 0;
    };
    struct stored_claim
    {
        cell::claim holder;
        std::uint64_t version = 0;
    };

    std::string data_centre_name(std::size_t index) const;
    void add_upstream(std::size_t index);
    steering::core_hooks hooks_of(std::size_t at);
    void load_tables(std::size_t at);
    void read_store(std::size_t at);
    bool reaches_loaded_vm(std::size_t at) const;
    void call_store(std::size_t at, std::function<void(bool answered)> done);
    void register_upstream(std::size_t at, std::size_t index);
    void write_entry(std::size_t index);
    // Runs the action in the VM's present process: delayed while the VM is frozen, never
    // if the process has ended.
    void on_vm(std::size_t at, duration delay, const std::function<void()>& action);
    void repeat_on_vm(std::size_t at, duration interval,
                      const std::function<void()>& action);
    duration latency(const std::string& from, const std::string& to) const;
    void send_datagram(std::size_t at, std::string_view datagram,
                       std::span<const std::string> addresses);
    gateway::call_id send_attempt(std::size_t at, const gateway::attempt& attempt);
    void finish_attempt(gateway::call_id id, const gateway::attempt_result& result);
    void watch_tokens(std::size_t at);
    result<cell::claim_outcome> write_claim(const cell::claim& due);
    result<std::map<std::string, std::string>> read_claims(bool answered) const;
    void send_next_request();
    std::size_t pick_vm(const std::string& account);
    void send_request(const std::string& account);
    bool count_request(std::size_t at);
    bool pass_back(gateway::exchange_id id, steering::forward_result result);
    void finish_request(gateway::exchange_id id, const std::any& answer);
    void submit_to(std::size_t at, gateway::exchange_id id, duration time_left,
                   bool is_forwarded);
    void submit(std::size_t at, const std::string& account, const std::string& object);
    void forward(std::size_t at, gateway::exchange_id id, const std::string& address,
                 duration time_left);
    void check_connection(std::size_t at, const upstreams::upstream_start& upstream);

    world_options options;
    store_state store;
    std::vector<double> surges; // by account
    scheduler events;
    random_engine random;
    upstreams::region_map regions;
    std::shared_ptr<const configuration::state> active;
    std::vector<vm_state> vms;
    std::map<std::string, std::size_t> vms_by_address;
    std::map<std::string, std::size_t> vms_by_caller_address;
    // Requests at the VM that serves them for another one, by their exchange there.
    struct forwarded_request
    {
        std::size_t vm = 0; // that has passed it on
        gateway::exchange_id exchange = 0;
    };
    std::map<gateway::exchange_id, forwarded_request> forwarded;
    std::vector<std::unique_ptr<upstream>> servers;
    std::map<std::string, std::size_t> servers_by_id;
    std::vector<upstreams::entry> registry; // of the upstreams, as the store has it
    // What the VMs have written to the store.
    struct store_contents
    {
        std::map<std::string, stored_claim> claims; // by data centre
        std::uint64_t version = 0;
    };

    store_contents stored;
    store_contents kept;
    std::uint64_t store_generation = 1;
    std::map<gateway::call_id, call> calls;
    gateway::call_id last_call = 0;
    gateway::exchange_id last_exchange = 0;
    std::map<gateway::exchange_id, request> requests;   // in progress
    std::discrete_distribution<std::size_t> popularity; // of the objects
    std::set<std::size_t> watched;                      // VMs with a token timer
    caller_counts counts;
    std::deque<time_point> sent_requests;
    std::deque<caller_request_outcome> request_outcomes;
};

} // namespace pistachiospan::world

#endif
