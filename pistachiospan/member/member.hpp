// Live view of the VMs of the fleet, from the platform's VM list and from heartbeats.
//
// Example:
//
//     membership view({.self = entry, .self_incarnation = 7, .seeds = seeds, .seed = 1});
//     view.on_vm_list(now, entries);
//     for (const outgoing& next : view.tick(now)) // every 50 to 100 ms
//         send(next.to, next.address, "heartbeat", next.message);
//     const heartbeat_result got = view.on_heartbeat(now, from, from_incarnation,
//     message); if (got.reply)
//         send(got.reply->to, got.reply->address, "heartbeat", got.reply->message);
//
// A heartbeat is a request or the answer to one. Small data centres exchange heartbeats
// between all pairs each second. Larger ones form a tree over the live VMs in the order
// of their ids (each VM asks its parent each second, and one other VM in rotation), so
// that bytes per daemon do not grow with the size of the data centre. The two lowest live
// ids of each data centre also exchange heartbeats with those of other data centres.
//
// A VM is live while it is reachable through links on which both sides hear each other.
// Membership is advisory; it is not agreed between VMs.

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
    suspect, // no heartbeat for a few seconds
    gone     // suspect for 10 s, or removed from the VM list
};

// What a daemon says about its catalogue in each heartbeat.
struct catalogue_state
{
    catalogue_version held_version = 0;
    catalogue_version active_version = 0;
    std::uint32_t digest = 0; // short_digest() of the held version
    // Newest store confirmation: `confirmed_version` was head `confirmation_age` ago.
    catalogue_version confirmed_version = 0; // 0: none
    duration confirmation_age{};
    bool operator==(const catalogue_state&) const = default;
};

// 32 bits of a digest: enough to notice a corrupted text, short enough for heartbeats.
std::uint32_t short_digest(std::string_view digest) noexcept;

// A VM that the receiver may not know yet.
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
    bool is_reply = false; // false: the receiver answers at once
    bool draining = false;
    bool by_index = true;    // coding of the three byte lists below
    std::uint32_t token = 0; // the sender's clock; the receiver echoes it
    std::uint32_t echo = 0;  // newest token heard from the receiver; 0: none for 3 s
    duration echo_age{};     // time since that token was heard
    catalogue_state catalogue;
    duration next_refresh{};  // time until the sender expects a newer confirmation
    std::uint32_t roster = 0; // hash of all VMs that the sender knows
    // One status byte for each VM of the sender's data centre (see status_* in
    // member.cpp), in the order of the ids. Without by_index, used while the rosters
    // differ, the 4-byte hash of the id precedes each byte.
    std::vector<std::uint8_t> vms;
    // For each data centre in the order of the names: age of its newest summary and
    // number of its VMs that hold the sender's version. Without by_index, the 4-byte hash
    // of the name precedes each pair.
    std::vector<std::uint8_t> data_centres;
    // VMs of the data centres above that are not live or are draining: 4-byte hash of the
    // id, then 0 (not live) or 1 (draining).
    std::vector<std::uint8_t> exceptions;
    nlohmann::json load; // by group; null: unchanged
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
    // True when the sender has heard this VM lately.
    bool bidirectional = false;
    // Time on this VM's clock before which the sender cannot have composed the message.
    // Ages in the message count from here, so a message delayed by the network or by a
    // pause does not make old evidence look new.
    std::optional<time_point> composed_after;
};

struct options
{
    store::vm_entry self;
    incarnation self_incarnation = 0;
    // VMs from the settings, used until the platform has answered.
    std::vector<store::vm_entry> seeds;
    std::uint64_t seed = 0;
    duration interval = std::chrono::seconds(1);
    duration suspect_after = std::chrono::seconds(3);
    duration gone_after = std::chrono::seconds(10);
    // Data centres up to this size exchange heartbeats between all pairs.
    std::size_t mesh_limit = 6;
    // Children of a VM in the tree of a larger data centre.
    std::size_t fan_out = 3;
    std::size_t max_load_bytes = 256;
};

// Size of a group of VMs and how many are reachable, this VM included.
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
    incarnation peer_incarnation = 0; // 0: not heard directly
    nlohmann::json load;              // null: none heard
};

class membership
{
public:
    explicit membership(options options);

    // An answer of the platform. VMs that were listed before and are absent now are gone.
    void on_vm_list(time_point now, std::span<const store::vm_entry> entries);

    // `state` as of `now`; its age grows until a heartbeat is composed.
    void set_catalogue(time_point now, const catalogue_state& state);
    // Time at which the next store confirmation of this VM is due; the epoch: unknown.
    void set_next_refresh(time_point at);
    // True: this VM lacks confirmations, so it also asks other data centres for them.
    void set_seeks_confirmation(bool seeks);
    void set_draining(bool draining);
    // Errors: limit_exceeded above max_load_bytes of MessagePack.
    result<void> set_load(const nlohmann::json& load_by_group);

    // Heartbeats that are due.
    std::vector<outgoing> tick(time_point now);

    // `from` and `from_incarnation` come from the authenticated envelope.
    heartbeat_result on_heartbeat(time_point now, const vm_id& from,
                                  incarnation from_incarnation, const heartbeat& message);

    // Views. The order is that of the ids.
    std::vector<peer_view> peers() const;
    std::vector<vm_id> live_peers() const;
    std::vector<vm_id> live_peers(std::string_view data_centre) const;
    std::optional<peer_view> find(const vm_id& id) const;
    bool is_live(const vm_id& id) const;

    // Position of this VM among the live VMs of its data centre; 0 polls the store.
    std::size_t rank() const;
    std::size_t data_centre_size() const; // live VMs, this one included
    reachability fleet() const;
    reachability region(std::string_view name) const;

    // Known VMs that were lately reported to hold exactly this version.
    std::size_t holders(catalogue_version version) const;
    // Known VMs other than this one whose version was lately reported and is not 0.
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
        bool listed = false;  // in the newest VM list, or a seed
        bool removed = false; // was in the VM list and is absent now
        bool draining = false;
        bool ever_live = false;
        peer_state state = peer_state::suspect;
        incarnation peer_incarnation = 0;
        time_point learned;
        time_point last_heard; // through mutual links, on any path
        time_point streak_at;
        time_point suspect_since;
        time_point last_direct; // any direct heartbeat
        std::uint32_t last_token = 0;
        std::uint32_t roster = 0;
        std::uint32_t load_sent = 0;       // counter of the load sent last
        std::uint32_t load_sent_token = 0; // token of that message
        std::uint32_t load_acknowledged = 0;
        int unanswered = 0;
        time_point avoid_until;
        int streak = 0;
        std::deque<time_point> changes;
        catalogue_version held_version = 0; // as of last_heard; 0: unknown or empty
        nlohmann::json load;
    };
    struct data_centre
    {
        std::string name;
        std::string region;
        std::vector<std::size_t> members; // indexes into all, in the order of ids
        time_point summary_at;            // origin time of the newest summary
        catalogue_version held_version = 0;
        std::size_t holders = 0;
    };
    peer* lookup(const vm_id& id);
    const peer* lookup(const vm_id& id) const;
    void learn(time_point now, const store::vm_entry& entry, bool listed);
    void rebuild();
    void refresh_ranks(time_point now);
    void touch(peer& who, time_point at, time_point now);
    void change_state(peer& who, peer_state state, time_point now);
    void evaluate(time_point now);
    duration allowance(const peer& who) const;
    std::size_t tree_depth(std::size_t size) const;
    bool usable(const peer& who, time_point now) const;
    std::uint32_t token_at(time_point now) const;
    std::optional<time_point> token_time(std::uint32_t token, time_point now) const;
    void add_local_targets(time_point now, std::vector<std::size_t>& out);
    void add_remote_targets(time_point now, std::vector<std::size_t>& out, bool at_once);
    void add_probe_targets(time_point now, std::vector<std::size_t>& out);
    std::optional<std::size_t> relay_of(std::size_t dc, std::size_t rank,
                                        time_point now) const;
    std::optional<std::size_t> choose_parent(time_point now);
    outgoing compose(time_point now, peer& to, bool is_reply);
    void introduce(heartbeat& message);
    void write_vms(time_point now, heartbeat& message) const;
    void write_data_centres(time_point now, heartbeat& message, bool local) const;
    void read_introductions(time_point now, const vm_id& from, const heartbeat& in);
    void read_vms(time_point now, time_point composed, const heartbeat& in);
    void read_data_centres(time_point now, time_point composed, const heartbeat& in);
    void read_summary(time_point now, std::size_t dc, time_point at, const heartbeat& in,
                      std::uint8_t holders, const std::map<std::uint32_t, bool>& listed);
    bool is_local(const peer& who) const;

    options settings;
    random_engine random;
    std::vector<peer> all; // sorted by id; contains this VM
    std::vector<data_centre> centres;
    std::map<std::uint32_t, std::size_t> by_hash;
    std::size_t self_index = 0;
    std::uint32_t roster_hash = 0;
    std::vector<std::size_t> local_order; // usable VMs of the own data centre
    std::size_t own_rank = 0;
    catalogue_state catalogue;
    time_point catalogue_at;
    nlohmann::json own_load;
    std::uint32_t load_counter = 0;
    bool draining = false;
    bool seeks_confirmation = false;
    bool announces = false; // a new version is held and not announced yet
    bool started = false;
    time_point start;
    time_point next_tick;
    time_point next_parent;
    time_point next_evaluation;
    time_point next_refresh;
    std::uint32_t confirming_hash =
        0;                         // VM of another data centre asked for confirmations
    std::uint32_t parent_hash = 0; // VM that was asked last as parent; 0: none
    std::size_t rotation = 0;
    std::size_t probe_rotation = 0;
    std::size_t introduction_rotation = 0;
    std::uint64_t change_count = 0;
};

} // namespace pistachiospan::member

#endif
