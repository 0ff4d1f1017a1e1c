// Simulates a fleet of VMs, each with a membership and a replica, over a simulated
// network and store, for tests and benchmarks. Runs in one thread with one event queue;
// the seed determines every run.
//
// Example:
//
//     simulated_fleet fleet({.data_centres = {{"a1", "a", 3}, {"b1", "b", 2}}});
//     fleet.run(seconds(5));
//     fleet.edit("[catalogue]\n");
//     fleet.partition([](const simulated_vm& from, const simulated_vm& to)
//                     { return from.entry.region != to.entry.region; });
//     fleet.run(seconds(12));

#ifndef PISTACHIOSPAN_CONFIG_INTERNAL_SIMULATED_FLEET_HPP
#define PISTACHIOSPAN_CONFIG_INTERNAL_SIMULATED_FLEET_HPP

#include "pistachiospan/config/config.hpp"
#include "pistachiospan/wire/wire.hpp"

#include <memory>
#include <queue>

namespace pistachiospan::config::internal
{

struct simulated_data_centre
{
    std::string name;
    std::string region;
    std::size_t vms = 1;
};

struct simulation_options
{
    std::vector<simulated_data_centre> data_centres;
    std::uint64_t seed = 1;
    std::string store_region;        // passed to the replicas
    bool every_daemon_polls = false; // baseline: no exchange of versions between peers
    duration tick = std::chrono::milliseconds(50);
    duration local_latency = std::chrono::microseconds(300);
    duration remote_latency = std::chrono::milliseconds(12);
    duration store_latency = std::chrono::milliseconds(5);
    duration list_interval = std::chrono::seconds(10);
    double loss = 0;
    double duplication = 0;
    duration extra_delay{}; // upper bound of the random extra latency of each message
};

struct traffic
{
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
};

class simulated_fleet;

struct simulated_vm
{
    std::size_t index = 0;
    store::vm_entry entry;
    incarnation current_incarnation = 0;
    bool alive = false;
    time_point paused_until;
    std::unique_ptr<member::membership> view;
    std::unique_ptr<store::table> table;
    std::unique_ptr<store::object_store> objects;
    std::unique_ptr<replica> config;
    std::unique_ptr<wire::sealer> message_sealer;
    std::unique_ptr<wire::opener> message_opener;
    traffic traffic_totals;
    // Last version passed to the activate hook of this process.
    catalogue_version in_force = 0;
    catalogue_version highest_in_force = 0; // over all processes that ran on this VM
    bool regressed = false; // a process activated a version older than an earlier one
    std::vector<std::string> reports;
};

class simulated_fleet
{
public:
    using link_rule =
        std::function<bool(const simulated_vm& from, const simulated_vm& to)>;
    using store_rule = std::function<bool(const simulated_vm& reader)>;
    using tamper_rule = std::function<void(std::string_view type, wire::body& content)>;

    explicit simulated_fleet(simulation_options options);

    void run(duration span);
    void kill(std::size_t index);
    void start(std::size_t index); // restarts without state, with a new incarnation
    void pause(std::size_t index, duration span);

    // Messages for which the rule is true are lost.
    void partition(link_rule rule)
    {
        this->is_partitioned = std::move(rule);
    }
    // VMs for which the rule is true get no answer from the store and no VM list.
    void store_outage(store_rule rule)
    {
        this->is_store_down = std::move(rule);
    }
    void tamper(tamper_rule rule)
    {
        this->tamper_message = std::move(rule);
    }
    void set_loss(double loss)
    {
        this->settings.loss = loss;
    }
    void set_parse(std::function<result<void>(catalogue_version, std::string_view)> parse)
    {
        this->parse = std::move(parse);
    }

    // Stores a new version of the catalogue and returns its number.
    catalogue_version edit(std::string text);
    // Like edit(), but the change log has no difference for this version.
    catalogue_version edit_without_difference(std::string text);

    time_point now() const
    {
        return this->clock;
    }
    simulated_vm& vm(std::size_t index)
    {
        return *this->vms[index];
    }
    std::size_t size() const
    {
        return this->vms.size();
    }
    const std::string& text() const
    {
        return this->current_text;
    }
    // Whether the newest version is active on all VMs that are alive.
    bool in_force_everywhere() const;
    bool any_regressed() const;
    admission may_serve(std::size_t index, catalogue::unconfirmed_policy policy) const;
    std::uint64_t store_reads() const
    {
        return this->store_read_count;
    }
    static std::string digest(std::string_view text);

private:
    struct scheduled
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const scheduled& other) const
        {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };
    friend class simulated_table;
    friend class simulated_objects;

    void schedule_after(duration delay, std::function<void()> action);
    void tick(std::size_t index, incarnation process);
    void refresh_vm_list(std::size_t index, incarnation process);
    void send(std::size_t from, const vm_id& to, std::string_view type,
              wire::body content);
    void deliver(std::size_t to, const std::string& bytes);
    void receive(simulated_vm& to, const wire::message& message);
    void send_heartbeat(std::size_t from, const member::outgoing& message);
    bool chance(double probability);
    duration random_below(duration span);
    catalogue_version accept(std::string text, nlohmann::json difference);

    simulation_options settings;
    random_engine random;
    time_point clock{std::chrono::hours(1)};
    std::uint64_t order = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> queue;
    std::vector<std::unique_ptr<simulated_vm>> vms;
    std::map<vm_id, std::size_t> index_by_id;
    link_rule is_partitioned;
    store_rule is_store_down;
    tamper_rule tamper_message;
    std::function<result<void>(catalogue_version, std::string_view)> parse;
    std::map<std::string, store::row> rows;
    std::map<std::string, std::string> stored_objects;
    std::string current_text;
    catalogue_version version = 0;
    std::uint64_t store_read_count = 0;
};

} // namespace pistachiospan::config::internal

#endif
