// Tracks which VMs of the fleet are live, from the platform's VM list and from
// heartbeats.
//
// Example:
//
//     membership view({.self = entry, .self_incarnation = 7, .seeds = seeds, .seed = 1});
//     view.on_vm_list(now, entries);
//     for (const outgoing& next : view.tick(now)) // call every 50 to 100 ms
//         send(next.to, next.address, "heartbeat", next.message);
//     const auto outcome = view.on_heartbeat(now, from, from_incarnation, message);
//     if (outcome.reply)
//         send(outcome.reply->to, outcome.reply->address, "heartbeat",
//              outcome.reply->message);
//
// A heartbeat is a request or the reply to one. In a small data centre each pair of VMs
// exchanges heartbeats every second. In a larger one the live VMs, ordered by id, form a
// tree: each VM sends a request to its parent every second and to a random other VM every
// third second, so that the traffic of a daemon does not grow with the size of the data
// centre. The two VMs with the lowest live ids of each data centre (its relays) also
// exchange heartbeats with the relays of other data centres.
//
// A VM is live while it is reachable through links that deliver in both directions.
// Membership is advisory: the VMs do not run a consensus protocol on it.

#ifndef PISTACHIOSPAN_MEMBER_MEMBER_HPP
#define PISTACHIOSPAN_MEMBER_MEMBER_HPP

#include "pistachiospan/base/base.hpp"
#include "pistachiospan/store/store.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace pistachiospan::member
{

enum class peer_state
{
    live,
    suspect, // no heartbeat within options::suspect_after
    gone     // suspect for options::gone_after, or removed from the VM list
};

// Catalogue versions of a daemon, reported in each heartbeat.
struct catalogue_state
{
    catalogue_version held_version = 0;
    catalogue_version active_version = 0;
    std::uint32_t digest = 0; // short_digest() of the held version
    // Newest confirmation by the store: `confirmed_version` was the head of the catalogue
    // `confirmation_age` ago.
    catalogue_version confirmed_version = 0; // 0: none
    duration confirmation_age{};
    bool operator==(const catalogue_state&) const = default;
};

// 32-bit hash of a digest: enough to detect a corrupted text, short enough for
// heartbeats.
std::uint32_t short_digest(std::string_view digest) noexcept;

// Describes a VM that the receiver may not know yet.
struct introduction
{
    vm_id id;
    std::string address;
    std::string data_centre;
    std::string region;
    bool operator==(const introduction&) const = default;
};

struct heartbeat
{
    bool is_reply = false; // false: a request, to which the receiver replies at once
    bool draining = false;
    bool by_index = true;    // encoding of the three byte lists below
    std::uint32_t token = 0; // the sender's clock; the receiver echoes it
    // Newest token that came from the receiver; 0: none within suspect_after.
    std::uint32_t echo = 0;
    duration echo_age{}; // time since that token arrived
    catalogue_state catalogue;
    duration next_refresh{};  // time until the sender expects a newer confirmation
    std::uint32_t roster = 0; // hash of all VMs that the sender knows
    // One status byte for each VM of the sender's data centre (see status_* in
    // member.cpp), in the order of the ids. With by_index false, which is used while the
    // roster hashes of the two VMs differ, the 4-byte hash of the id precedes each byte.
    std::vector<std::uint8_t> vms;
    // Two bytes for each data centre in the order of the names: age of its newest summary
    // and number of its VMs that hold the sender's version. With by_index false, the
    // 4-byte hash of the name precedes each pair.
    std::vector<std::uint8_t> data_centres;
    // VMs of these data centres that are not live or are draining: 4-byte hash of the id,
    // then 0 (not live) or 1 (draining).
    std::vector<std::uint8_t> exceptions;
    nlohmann::json load; // by upstream group; null: unchanged
    std::vector<introduction> introductions;
    bool operator==(const heartbeat&) const = default;
};

void to_json(nlohmann::json& out, const heartbeat& message);
void from_json(const nlohmann::json& in, heartbeat& message);

struct outgoing
{
    vm_id to;
    std::string address;
    heartbeat message;
};

struct heartbeat_result
{
    std::optional<outgoing> reply;
    // True if the sender has recently received a message of this VM.
    bool bidirectional = false;
    // Lower bound, on this VM's clock, of the time at which the message was composed.
    // Ages in the message are counted from here, so that a message delayed by the network
    // or by a pause of a process does not make old reports look recent.
    std::optional<time_point> composed_after;
};

struct options
{
    store::vm_entry self;
    incarnation self_incarnation = 0;
    // VMs from the settings, used until the platform has returned a VM list.
    std::vector<store::vm_entry> seeds;
    std::uint64_t seed = 0;
    duration interval = std::chrono::seconds(1);
    duration suspect_after = std::chrono::seconds(3);
    duration gone_after = std::chrono::seconds(10);
    // Data centres of at most this many VMs exchange heartbeats between all pairs.
    std::size_t mesh_limit = 6;
    // Children of each VM in the tree of a larger data centre.
    std::size_t fan_out = 3;
    std::size_t max_load_bytes = 256; // of the load encoded as MessagePack
};

// Number of known and of reachable VMs in a group, this VM included.
struct reachability
{
    std::size_t known = 0;
    std::size_t reachable = 0;
    bool majority_reachable() const
    {
        return this->reachable * 2 > this->known;
    }
};

struct peer_view
{
    store::vm_entry entry;
    peer_state state = peer_state::suspect;
    bool draining = false;
    incarnation peer_incarnation = 0; // 0: no direct heartbeat yet
    nlohmann::json load;              // null: none received
};

class membership
{
public:
    explicit membership(options initial_settings);

    // Applies the VM list of the platform. VMs of the previous list that are absent from
    // this one become gone.
    void on_vm_list(time_point now, std::span<const store::vm_entry> entries);

    // Sets the state as of `now`. Heartbeats add the time since then to
    // confirmation_age.
    void set_catalogue(time_point now, const catalogue_state& state);
    // Sets the time at which this VM expects its next store confirmation; the epoch means
    // unknown.
    void set_next_refresh(time_point at);
    // True: this VM lacks recent confirmations and also requests them from other data
    // centres.
    void set_seeks_confirmation(bool seeks);
    void set_draining(bool draining);
    // Errors: limit_exceeded if the MessagePack encoding exceeds max_load_bytes.
    result<void> set_load(const nlohmann::json& load_by_group);

    // Returns the requests that are due.
    std::vector<outgoing> tick(time_point now);

    // `from` and `from_incarnation` come from the authenticated envelope.
    heartbeat_result on_heartbeat(time_point now, const vm_id& from,
                                  incarnation from_incarnation, const heartbeat& message);

    // Views, ordered by id.
    std::vector<peer_view> peers() const;
    std::vector<vm_id> live_peers() const;
    std::vector<vm_id> live_peers(std::string_view data_centre) const;
    std::optional<peer_view> find(const vm_id& id) const;
    bool is_live(const vm_id& id) const;

    // Position of this VM among the live VMs of its data centre. The VM at 0 polls the
    // store.
    std::size_t rank() const;
    std::size_t data_centre_size() const; // live VMs, this one included
    reachability fleet() const;
    reachability region(std::string_view name) const;

    // Number of known VMs that recently reported to hold exactly this version.
    std::size_t holders(catalogue_version version) const;
    // Number of known VMs, this one excluded, that recently reported a version other than
    // 0.
    std::size_t version_report_count() const;

    std::uint64_t state_changes() const
    {
        return this->change_count;
    }

private:
    struct peer
    {
        store::vm_entry entry;
        std::uint32_t id_hash = 0;
        std::size_t dc = 0;
        bool listed = false;  // in the newest VM list, or one of options::seeds
        bool removed = false; // was in the VM list and is absent now
        bool draining = false;
        bool ever_live = false;
        peer_state state = peer_state::suspect;
        incarnation peer_incarnation = 0;
        time_point learned_at;
        // Over bidirectional links, directly or as reported by a peer.
        time_point last_heard_at;
        time_point last_counted_at;
        time_point suspect_since;
        time_point last_direct_at; // any direct heartbeat
        std::uint32_t last_token = 0;
        std::uint32_t roster = 0;
        std::uint32_t sent_load_counter = 0; // load_counter of the load sent last
        std::uint32_t sent_load_token = 0;   // token of that message
        std::uint32_t acknowledged_load_counter = 0;
        int unanswered_requests = 0; // in a row
        time_point avoid_until;
        int consecutive_heartbeats = 0;
        std::deque<time_point> state_change_times; // within damping_window
        catalogue_version held_version = 0; // as of last_heard_at; 0: unknown or empty
        nlohmann::json load;
    };
    struct data_centre
    {
        std::string name;
        std::string region;
        std::vector<std::size_t> members; // indexes into known_vms, in the order of ids
        time_point summary_at;            // origin time of the newest summary
        catalogue_version held_version = 0;
        std::size_t holders = 0;
    };
    peer* find_peer(const vm_id& id);
    const peer* find_peer(const vm_id& id) const;
    void add_or_update(time_point now, const store::vm_entry& entry, bool listed);
    void rebuild_indexes();
    void refresh_ranks(time_point now);
    void record_contact(peer& vm, time_point at, time_point now);
    void change_state(peer& vm, peer_state state, time_point now);
    void update_states(time_point now);
    duration propagation_delay(const peer& vm) const;
    std::size_t tree_depth(std::size_t size) const;
    bool usable(const peer& vm, time_point now) const;
    std::uint32_t token_at(time_point now) const;
    std::optional<time_point> token_time(std::uint32_t token, time_point now) const;
    void add_local_targets(time_point now, std::vector<std::size_t>& out);
    void add_remote_targets(time_point now, std::vector<std::size_t>& out, bool at_once);
    void add_probe_targets(time_point now, std::vector<std::size_t>& out);
    std::optional<std::size_t> find_relay(std::size_t dc, std::size_t rank,
                                          time_point now) const;
    std::optional<std::size_t> choose_parent(time_point now);
    outgoing compose(time_point now, peer& to, bool is_reply);
    void add_introductions(heartbeat& message);
    void write_vms(time_point now, heartbeat& message) const;
    void write_data_centres(time_point now, heartbeat& message, bool local) const;
    void read_introductions(time_point now, const vm_id& from, const heartbeat& in);
    void read_vms(time_point now, time_point composed, const heartbeat& in);
    void read_data_centres(time_point now, time_point composed, const heartbeat& in);
    void read_summary(time_point now, std::size_t dc, time_point at, const heartbeat& in,
                      std::uint8_t holders, const std::map<std::uint32_t, bool>& listed);
    bool is_local(const peer& vm) const;

    options settings;
    random_engine random;
    std::vector<peer> known_vms; // sorted by id; contains this VM
    std::vector<data_centre> centres;
    std::map<std::uint32_t, std::size_t> by_hash;
    std::size_t self_index = 0;
    std::uint32_t roster_hash = 0;
    std::vector<std::size_t> local_order; // usable VMs of this VM's data centre
    std::size_t own_rank = 0;
    catalogue_state catalogue;
    time_point catalogue_at;
    nlohmann::json own_load;
    std::uint32_t load_counter = 0;
    bool draining = false;
    bool seeks_confirmation = false;
    // A new version is held and has not been sent to the other data centres.
    bool announcement_due = false;
    bool started = false;
    time_point start_time;
    time_point next_tick;
    time_point next_parent;
    time_point next_evaluation;
    time_point next_refresh;
    // VM of another data centre that is queried for confirmations; 0: none.
    std::uint32_t confirmation_source_hash = 0;
    std::uint32_t parent_hash = 0; // VM last used as parent; 0: none
    std::size_t rotation = 0;
    std::size_t probe_rotation = 0;
    std::size_t introduction_rotation = 0;
    std::uint64_t change_count = 0;
};

} // namespace pistachiospan::member

#endif
