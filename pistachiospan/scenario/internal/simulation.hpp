// A fleet of entry VMs on a simulated clock, with a fake network, fake upstreams and
// callers. It records what the expectations need.

#ifndef PISTACHIOSPAN_SCENARIO_INTERNAL_SIMULATION_HPP
#define PISTACHIOSPAN_SCENARIO_INTERNAL_SIMULATION_HPP

#include "pistachiospan/edit/edit.hpp"
#include "pistachiospan/entry/node.hpp"
#include "pistachiospan/store/fake_store.hpp"

#include <deque>
#include <list>
#include <set>

namespace pistachiospan::scenario::internal
{

enum class key_kind
{
    none,
    own,    // chosen by the caller
    issued, // with the prefix of a look-up answer
};

struct load_options
{
    std::string route;
    std::string method;
    std::string account; // empty: no key is sent
    std::string key;
    double rate = 1; // requests per second
    duration length{0};
    key_kind idempotency = key_kind::none;
    std::string vm;       // empty: as the look-up answers say
    std::size_t size = 0; // bytes of the body
};

struct simulation_options
{
    std::uint64_t seed = 1;
    std::string catalogue_text;
    std::shared_ptr<const catalogue::catalogue> entries; // of the text
    std::vector<store::vm_entry> vms;
    std::vector<store::vm_entry> seeds;
    std::string secret;
    std::string store_region;
    duration data_centre_latency = std::chrono::microseconds(1500); // one way
    duration region_latency = std::chrono::milliseconds(12);
    duration client_latency = std::chrono::milliseconds(1);
    duration service_time = std::chrono::milliseconds(20); // of an upstream; +-50%
    bool repeat_lost = false; // callers repeat requests whose outcome they don't know
};

// One request as its caller sees it, over all attempts.
struct operation
{
    std::size_t load = 0;
    std::uint64_t number = 0;
    std::string idempotency_key;
    std::uint32_t attempts = 0;
    time_point ended;
    std::string result; // "answered", a refusal code, "lost"; empty: not ended
};

struct process;

// One sending of an operation to one VM.
struct attempt
{
    std::size_t operation = 0;
    std::weak_ptr<process> at;
    std::uint32_t runs = 0; // at upstreams
    bool said_not_run = false;
    bool open = true;
};

struct fake_upstream
{
    std::uint32_t slots = 1;
    std::uint32_t active = 0;
    std::uint64_t generation = 0; // rises when it dies
    bool down = false;
    bool drain_signal = false;
    duration extra{0}; // added to the service time
    std::optional<time_point> last_start;
};

struct accepted_edit
{
    catalogue_version version = 0;
    time_point accepted;
    std::optional<time_point> in_force; // on all running VMs
};

struct observations
{
    std::uint64_t over_slots = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t wrong_answers = 0;
    std::uint64_t cut_off = 0; // by VMs that left gracefully
    std::uint64_t versions_fallen = 0;
    std::map<std::string, std::vector<time_point>> admissions; // by account
    std::vector<accepted_edit> edits;
    std::map<std::string, time_point> drains; // by upstream
    std::map<std::string, time_point> leaves; // by VM
    std::map<std::string, time_point> lefts;  // by VM
    std::vector<std::string> failed_edits;
};

class simulation
{
public:
    explicit simulation(simulation_options options);
    ~simulation();
    simulation(const simulation&) = delete;
    simulation& operator=(const simulation&) = delete;

    void run_until(duration since_start);

    void add_load(load_options load);
    void kill(const std::string& vm);
    void restart(const std::string& vm);
    void freeze(const std::string& vm, duration length);
    void leave(const std::string& vm);
    // Names are of VMs, data centres or regions; `to` may be "all" or "platform".
    void cut(const std::string& from, const std::string& to, bool both_ways);
    void heal();
    void edit(std::string id,
              std::function<result<std::string>(const std::string&)> change);
    void drain(const std::string& id, const std::string& upstream);
    void set_upstream_down(const std::string& address, bool down);

    std::map<std::string, fake_upstream> upstreams;
    store::testing::fake_platform platform;
    double loss = 0; // share of messages that vanish
    observations seen;
    std::deque<operation> operations;
    std::deque<attempt> attempts;
    std::vector<load_options> loads;
    time_point began; // time 0 of the script

private:
    struct pending_relay;
    struct pending_call;
    struct load_state;
    struct operator_session;

    void schedule(time_point when, std::function<void()> action);
    void schedule_at(const std::weak_ptr<process>& where, time_point when,
                     std::function<void()> action);
    void run_events(time_point until);
    void start(const store::vm_entry& entry);
    void end_process(const std::string& vm, bool graceful);
    entry::node_hooks make_hooks(const std::weak_ptr<process>& owner);
    std::shared_ptr<process> running(const std::string& vm) const;
    bool is_cut(const store::vm_entry& from, const store::vm_entry& to) const;
    void cut_platform(process& at);
    duration latency(const store::vm_entry& from, const store::vm_entry& to);
    duration jittered(duration base);
    wall_time wall() const;
    void send(const std::weak_ptr<process>& from, const vm_id& to, std::string type,
              wire::body content);
    void relay(const std::weak_ptr<process>& from, const vm_id& to,
               entry::relay_request outgoing, duration timeout,
               entry::relay_handler done);
    void end_relay(std::uint64_t id, result<entry::relay_answer> outcome);
    entry::upstream_call_id call_upstream(const std::weak_ptr<process>& from,
                                          entry::upstream_request call,
                                          entry::upstream_handler done);
    void arrive(const entry::upstream_request& call, entry::upstream_call_id id);
    void note_run(const entry::upstream_request& call);
    void end_call(entry::upstream_call_id id, duration delay,
                  result<entry::upstream_answer> outcome);
    void note_decision(const entry::decision_record& record);
    void begin_operation(std::size_t load);
    void begin_attempt(std::size_t operation);
    void connect(std::size_t operation, std::uint32_t tries);
    std::string pick_vm(std::size_t load);
    void refresh(std::size_t load);
    void take_answer(std::size_t attempt, const entry::answer& made);
    void lose(std::size_t attempt);
    void end_attempt(std::size_t operation, const std::string& result, bool final,
                     duration wait);
    void sample();
    operator_session& new_operator();
    void note_edit(const std::string& id, const result<edit::edit_outcome>& outcome);

    simulation_options options;
    random_engine random;
    time_point clock;
    time_point next_tick;
    time_point next_sample;
    std::multimap<time_point, std::function<void()>> events;
    std::map<std::string, std::shared_ptr<process>> processes;
    std::map<std::string, incarnation> incarnations;
    std::map<std::pair<std::string, incarnation>, catalogue_version> highest;
    std::vector<std::pair<std::string, std::string>> cuts; // directed
    std::map<std::uint64_t, pending_relay> relays;
    std::map<entry::upstream_call_id, pending_call> calls;
    std::uint64_t next_id = 1;
    std::deque<load_state> load_states;
    std::map<std::string, std::uint32_t> runs_by_identity;
    std::list<operator_session> operators;
};

} // namespace pistachiospan::scenario::internal

#endif
