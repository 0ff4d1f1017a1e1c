#include "pistachiospan/member/member.hpp"

#include "pistachiospan/member/internal/topology.hpp"

#include <algorithm>
#include <utility>

namespace pistachiospan::member
{

namespace
{

using internal::relays_per_data_centre;
using internal::ring_interval;
using internal::ring_step;
using internal::short_hash;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A new VM is placed in the tree for this long even if no heartbeat has arrived from it.
// Otherwise the VMs of a starting fleet could find each other only by probes.
constexpr duration newcomer_grace_period = seconds(5);

// Consecutive heartbeats that make a VM which is not live become live again. The damped
// number applies if it changed state damping_threshold times within damping_window.
constexpr int heartbeats_until_live = 3;
constexpr int heartbeats_until_live_damped = 10;
constexpr std::size_t damping_threshold = 3;
constexpr duration damping_window = seconds(60);

// A child sends its request this long after its parent expects a newer confirmation.
constexpr duration refresh_slack = milliseconds(30);

constexpr std::size_t introductions_per_message = 4;

// A VM whose source sends confirmations older than this chooses another source.
constexpr duration max_confirmation_age = seconds(2);

// Ages measured on another VM are scaled by this factor, because clocks run at different
// rates.
constexpr double clock_drift_factor = 1.01;

} // namespace

membership::membership(options initial_settings)
    : settings(std::move(initial_settings)), random(this->settings.seed)
{
    this->known_vms.push_back({.entry = this->settings.self, .listed = true});
    for (const store::vm_entry& entry : this->settings.seeds)
        this->add_or_update(time_point{}, entry, true);
    this->rebuild_indexes();
    this->probe_rotation = this->random();
    this->rotation = this->random();
}

void membership::add_or_update(time_point now, const store::vm_entry& entry, bool listed)
{
    if (peer* known = this->find_peer(entry.id))
    {
        known->listed = known->listed || listed;
        known->removed = known->removed && !listed;
        known->entry = entry;
        return;
    }
    peer new_peer{
        .entry = entry, .listed = listed, .learned_at = now, .suspect_since = now};
    const auto at = std::ranges::lower_bound(this->known_vms, entry.id, {},
                                             [](const peer& vm) { return vm.entry.id; });
    this->known_vms.insert(at, std::move(new_peer));
}

// Recomputes all data derived from the set of known VMs.
void membership::rebuild_indexes()
{
    std::map<std::string, data_centre> centres_by_name;
    for (data_centre& centre : this->centres)
    {
        centre.members.clear();
        centres_by_name.emplace(centre.name, std::move(centre));
    }
    this->by_hash.clear();
    std::uint32_t roster = 0;
    for (std::size_t index = 0; index < this->known_vms.size(); ++index)
    {
        peer& vm = this->known_vms[index];
        if (vm.entry.id == this->settings.self.id)
            this->self_index = index;
        if (vm.removed)
            continue;
        vm.id_hash = short_hash(vm.entry.id.value);
        this->by_hash[vm.id_hash] = index;
        roster += short_hash(vm.entry.id.value + '\n' + vm.entry.data_centre);
        data_centre& centre = centres_by_name[vm.entry.data_centre];
        centre.name = vm.entry.data_centre;
        centre.region = vm.entry.region;
        centre.members.push_back(index);
    }
    this->centres.clear();
    for (auto& [name, centre] : centres_by_name)
    {
        if (centre.members.empty())
            continue;
        for (const std::size_t index : centre.members)
            this->known_vms[index].dc = this->centres.size();
        this->centres.push_back(std::move(centre));
    }
    this->roster_hash = roster;
}

void membership::on_vm_list(time_point now, std::span<const store::vm_entry> entries)
{
    std::map<vm_id, const store::vm_entry*> listed;
    for (const store::vm_entry& entry : entries)
        listed.emplace(entry.id, &entry);
    listed.emplace(this->settings.self.id, &this->settings.self);
    for (peer& vm : this->known_vms)
    {
        const bool present = listed.contains(vm.entry.id);
        if (vm.listed && !present)
        {
            vm.removed = true;
            this->change_state(vm, peer_state::gone, now);
        }
        vm.listed = present;
    }
    // A VM that is not in the list, known from introductions or an earlier list, is
    // dropped once no heartbeat of it has arrived for gone_after.
    std::erase_if(this->known_vms,
                  [&](const peer& vm)
                  {
                      return !vm.listed &&
                             now - std::max(vm.last_heard_at, vm.learned_at) >
                                 this->settings.gone_after;
                  });
    for (const auto& [id, entry] : listed)
        this->add_or_update(now, *entry, true);
    this->rebuild_indexes();
    this->refresh_ranks(now);
}

void membership::set_catalogue(time_point now, const catalogue_state& state)
{
    this->catalogue_at = now;
    this->announcement_due =
        this->announcement_due || (this->catalogue.held_version != 0 &&
                                   state.held_version > this->catalogue.held_version);
    this->catalogue = state;
    this->known_vms[this->self_index].held_version = state.held_version;
}

void membership::set_next_refresh(time_point at)
{
    this->next_refresh = at;
}

void membership::set_seeks_confirmation(bool seeks)
{
    this->seeks_confirmation = seeks;
}

void membership::set_draining(bool value)
{
    this->draining = value;
    this->known_vms[this->self_index].draining = value;
}

result<void> membership::set_load(const nlohmann::json& load_by_group)
{
    if (load_by_group == this->own_load)
        return boost::outcome_v2::success();
    if (nlohmann::json::to_msgpack(load_by_group).size() > this->settings.max_load_bytes)
        return failure(errc::limit_exceeded,
                       "load summary above max_load_bytes; report fewer groups");
    this->own_load = load_by_group;
    ++this->load_counter;
    return boost::outcome_v2::success();
}

bool membership::is_local(const peer& vm) const
{
    return vm.entry.data_centre == this->settings.self.data_centre;
}

// Returns whether the VM may be placed in the tree and the ring.
bool membership::usable(const peer& vm, time_point now) const
{
    if (vm.removed)
        return false;
    return vm.state == peer_state::live || vm.entry.id == this->settings.self.id ||
           (!vm.ever_live && vm.state == peer_state::suspect &&
            now - vm.learned_at < newcomer_grace_period);
}

void membership::refresh_ranks(time_point now)
{
    this->local_order.clear();
    const std::size_t own_dc = this->known_vms[this->self_index].dc;
    for (const std::size_t index : this->centres[own_dc].members)
    {
        if (index == this->self_index)
            this->own_rank = this->local_order.size();
        if (this->usable(this->known_vms[index], now))
            this->local_order.push_back(index);
    }
}

std::size_t membership::tree_depth(std::size_t size) const
{
    if (size <= this->settings.mesh_limit)
        return 0;
    std::size_t depth = 0;
    for (std::size_t last = size - 1; last > 0;
         last = (last - 1) / this->settings.fan_out)
        ++depth;
    return depth;
}

// Maximum additional delay of reports about the VM compared with a direct link: one
// interval for each hop.
duration membership::propagation_delay(const peer& vm) const
{
    const std::size_t depth = this->tree_depth(this->local_order.size());
    if (this->is_local(vm))
        return depth * this->settings.interval;
    const std::size_t count = this->centres.size();
    const std::size_t hops =
        count <= this->settings.mesh_limit ? 1 : ring_step(count) * ring_interval;
    return (std::max<std::size_t>(depth, 1) + hops) * this->settings.interval;
}

void membership::change_state(peer& vm, peer_state state, time_point now)
{
    if (vm.state == state)
        return;
    const bool counted = vm.ever_live && state != peer_state::gone;
    if (counted)
    {
        vm.state_change_times.push_back(now);
        ++this->change_count;
    }
    while (!vm.state_change_times.empty() &&
           now - vm.state_change_times.front() > damping_window)
        vm.state_change_times.pop_front();
    vm.state = state;
    if (state == peer_state::suspect)
        vm.suspect_since = now;
    if (state == peer_state::live)
        vm.ever_live = true;
    else
        vm.consecutive_heartbeats = 0;
}

// Records a sign of life of the VM at `at`, received directly or reported by a peer.
void membership::record_contact(peer& vm, time_point at, time_point now)
{
    if (at <= vm.last_heard_at || vm.removed)
        return;
    if (at - vm.last_heard_at >
        this->settings.suspect_after + this->propagation_delay(vm))
        vm.consecutive_heartbeats = 0;
    vm.last_heard_at = at;
    if (vm.consecutive_heartbeats > 0 &&
        at - vm.last_counted_at < this->settings.interval * 4 / 5)
        return;
    ++vm.consecutive_heartbeats;
    vm.last_counted_at = at;
    if (vm.state == peer_state::live)
        return;
    const bool damped = vm.state_change_times.size() >= damping_threshold;
    const int needed = damped ? heartbeats_until_live_damped : heartbeats_until_live;
    if (vm.consecutive_heartbeats >= needed || !vm.ever_live)
        this->change_state(vm, peer_state::live, now);
}

void membership::update_states(time_point now)
{
    for (peer& vm : this->known_vms)
    {
        if (vm.entry.id == this->settings.self.id)
            continue;
        if (vm.state == peer_state::live &&
            now - vm.last_heard_at >
                this->settings.suspect_after + this->propagation_delay(vm))
            this->change_state(vm, peer_state::suspect, now);
        if (vm.state == peer_state::suspect &&
            now - vm.suspect_since > this->settings.gone_after)
            this->change_state(vm, peer_state::gone, now);
    }
    for (data_centre& centre : this->centres)
    {
        const duration limit =
            this->settings.suspect_after +
            this->propagation_delay(this->known_vms[centre.members.front()]);
        if (now - centre.summary_at > limit)
            centre.holders = 0;
    }
    this->refresh_ranks(now);
}

// Tokens are milliseconds since the start, offset by a hash of the incarnation so that an
// echo of a token of an earlier process is not accepted as a recent one.
std::uint32_t membership::token_at(time_point now) const
{
    const auto offset = static_cast<std::uint32_t>(
        hash_bytes(this->settings.self.id.value, this->settings.self_incarnation));
    const auto elapsed = duration_cast<milliseconds>(now - this->start_time).count();
    const std::uint32_t token = offset + static_cast<std::uint32_t>(elapsed);
    return token == 0 ? 1 : token;
}

// Returns a time just before this VM sent the token, or nothing if the token is not
// recent or was not sent by this process.
std::optional<time_point> membership::token_time(std::uint32_t token,
                                                 time_point now) const
{
    if (token == 0)
        return std::nullopt;
    const std::uint32_t age = this->token_at(now) - token;
    const duration span = milliseconds(age);
    if (span > this->settings.suspect_after + this->settings.interval ||
        span > now - this->start_time + milliseconds(1))
        return std::nullopt;
    return now - span - milliseconds(1);
}

std::vector<outgoing> membership::tick(time_point now)
{
    if (!this->started)
    {
        this->started = true;
        this->start_time = now;
        this->next_tick = now;
        this->next_parent = now;
        for (peer& vm : this->known_vms)
            if (vm.learned_at == time_point{})
                vm.learned_at = vm.suspect_since = now;
    }
    if (now >= this->next_evaluation)
    {
        this->update_states(now);
        this->next_evaluation = now + this->settings.interval / 4;
    }
    std::vector<std::size_t> targets;
    // A new version is sent to the parent and the other data centres at once. Children
    // request it soon enough by themselves, but the version may have come from a child
    // or, at a relay, from one side of the ring.
    if (std::exchange(this->announcement_due, false))
    {
        this->next_parent = now;
        this->add_remote_targets(now, targets, true);
    }
    if (now >= this->next_parent)
    {
        this->next_parent = now + this->settings.interval;
        this->parent_hash = 0;
        if (const auto parent = this->choose_parent(now))
        {
            targets.push_back(*parent);
            this->parent_hash = this->known_vms[*parent].id_hash;
        }
    }
    if (now >= this->next_tick)
    {
        this->next_tick += this->settings.interval;
        if (this->next_tick <= now)
            this->next_tick = now + this->settings.interval;
        this->add_local_targets(now, targets);
        this->add_remote_targets(now, targets, false);
        this->add_probe_targets(now, targets);
    }
    std::ranges::sort(targets);
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    std::vector<outgoing> due;
    for (const std::size_t index : targets)
    {
        if (index == this->self_index)
            continue;
        peer& to = this->known_vms[index];
        ++to.unanswered_requests;
        due.push_back(this->compose(now, to, false));
    }
    return due;
}

outgoing membership::compose(time_point now, peer& to, bool is_reply)
{
    heartbeat message;
    message.is_reply = is_reply;
    message.draining = this->draining;
    message.by_index = to.roster == this->roster_hash;
    message.token = this->token_at(now);
    if (to.last_direct_at != time_point{} &&
        now - to.last_direct_at < this->settings.suspect_after)
    {
        message.echo = to.last_token;
        message.echo_age = now - to.last_direct_at;
    }
    message.catalogue = this->catalogue;
    // After a pause of this process, a reply may be composed before set_catalogue() is
    // called again.
    message.catalogue.confirmation_age += now - this->catalogue_at;
    message.next_refresh = std::max(this->next_refresh - now, duration{});
    if (this->next_refresh == time_point{} && this->own_rank > 0)
        message.next_refresh = std::max(this->next_parent - now, duration{});
    message.roster = this->roster_hash;
    const bool local = this->is_local(to);
    // A leaf of the tree has no information about other VMs that its parent lacks.
    const bool to_parent = !is_reply && to.id_hash == this->parent_hash;
    const bool leaf =
        this->own_rank * this->settings.fan_out + 1 >= this->local_order.size();
    if (local && this->centres[to.dc].members.size() > 2 && !(to_parent && leaf))
        this->write_vms(now, message);
    const bool relay = this->own_rank < relays_per_data_centre;
    if (this->centres.size() > 1 && (relay || is_reply || !local))
        this->write_data_centres(now, message, local);
    // With few data centres, their relays exchange heartbeats every second: often enough
    // to route requests by the load.
    const bool reports_load = local || this->centres.size() <= this->settings.mesh_limit;
    if (reports_load && to.acknowledged_load_counter != this->load_counter)
    {
        message.load = this->own_load;
        if (to.sent_load_counter != this->load_counter)
            to.sent_load_token = message.token;
        to.sent_load_counter = this->load_counter;
    }
    if (!message.by_index)
        this->add_introductions(message);
    return {
        .to = to.entry.id, .address = to.entry.address, .message = std::move(message)};
}

// Adds introductions of this VM and of some live VMs in rotation. VMs that the platform
// does not list come first.
void membership::add_introductions(heartbeat& message)
{
    const auto add = [&](const store::vm_entry& entry)
    {
        message.introductions.push_back({.id = entry.id,
                                         .address = entry.address,
                                         .data_centre = entry.data_centre,
                                         .region = entry.region});
    };
    add(this->settings.self);
    const std::size_t count = this->known_vms.size();
    for (const bool listed : {false, true})
    {
        std::size_t inspected = 0;
        while (inspected < count &&
               message.introductions.size() < introductions_per_message)
        {
            const peer& vm =
                this->known_vms[(this->introduction_rotation + inspected++) % count];
            if (vm.listed == listed && !vm.removed && vm.state == peer_state::live)
                add(vm.entry);
        }
        if (listed)
            this->introduction_rotation += inspected;
    }
}

heartbeat_result membership::on_heartbeat(time_point now, const vm_id& from,
                                          incarnation from_incarnation,
                                          const heartbeat& message)
{
    heartbeat_result outcome;
    if (from == this->settings.self.id)
        return outcome;
    this->read_introductions(now, from, message);
    peer* known = this->find_peer(from);
    if (known == nullptr)
        return outcome;
    peer& vm = *known;
    if (from_incarnation < vm.peer_incarnation)
        return outcome;
    if (from_incarnation > vm.peer_incarnation)
    {
        vm.peer_incarnation = from_incarnation;
        vm.held_version = 0;
        vm.load = nullptr;
        vm.acknowledged_load_counter = 0;
    }
    vm.last_direct_at = now;
    vm.last_token = message.token;
    vm.roster = message.roster;
    if (message.is_reply)
        vm.unanswered_requests = 0;
    outcome.composed_after = this->token_time(message.echo, now);
    outcome.bidirectional = outcome.composed_after.has_value();
    if (outcome.bidirectional)
        *outcome.composed_after = std::min(
            now, *outcome.composed_after +
                     duration_cast<duration>(message.echo_age / clock_drift_factor));
    if (outcome.bidirectional)
    {
        if (vm.sent_load_token != 0 &&
            static_cast<std::int32_t>(message.echo - vm.sent_load_token) >= 0)
            vm.acknowledged_load_counter = vm.sent_load_counter;
        this->record_contact(vm, now, now);
        vm.held_version = message.catalogue.held_version;
        vm.draining = message.draining;
        if (!message.load.is_null())
            vm.load = message.load;
        this->read_vms(now, *outcome.composed_after, message);
        this->read_data_centres(now, *outcome.composed_after, message);
        const bool confirms = message.catalogue.confirmed_version != 0 &&
                              message.catalogue.confirmation_age < max_confirmation_age;
        if (vm.id_hash == this->confirmation_source_hash && !confirms)
            this->confirmation_source_hash = 0;
    }
    const bool from_parent = message.is_reply && vm.id_hash == this->parent_hash;
    if (from_parent && message.next_refresh > duration{})
    {
        const duration wait =
            std::clamp(message.next_refresh + refresh_slack, this->settings.interval / 2,
                       this->settings.interval * 6 / 5);
        this->next_parent = now + wait;
    }
    if (!message.is_reply)
        outcome.reply = this->compose(now, vm, true);
    return outcome;
}

void membership::read_introductions(time_point now, const vm_id& from,
                                    const heartbeat& in)
{
    bool changed = false;
    for (const introduction& introduced : in.introductions)
    {
        // Introductions of other VMs are accepted only from a VM that recently received a
        // message of this one.
        if (this->find_peer(introduced.id) != nullptr ||
            (introduced.id != from && !this->token_time(in.echo, now)))
            continue;
        this->add_or_update(now,
                            {.id = introduced.id,
                             .address = introduced.address,
                             .data_centre = introduced.data_centre,
                             .region = introduced.region},
                            false);
        changed = true;
    }
    if (!changed)
        return;
    this->rebuild_indexes();
    this->refresh_ranks(now);
}

membership::peer* membership::find_peer(const vm_id& id)
{
    const auto at = std::ranges::lower_bound(this->known_vms, id, {},
                                             [](const peer& vm) -> const vm_id&
                                             { return vm.entry.id; });
    return at != this->known_vms.end() && at->entry.id == id ? &*at : nullptr;
}

const membership::peer* membership::find_peer(const vm_id& id) const
{
    return const_cast<membership*>(this)->find_peer(id);
}

std::vector<peer_view> membership::peers() const
{
    std::vector<peer_view> views;
    for (const peer& vm : this->known_vms)
        if (vm.entry.id != this->settings.self.id)
            views.push_back(*this->find(vm.entry.id));
    return views;
}

std::optional<peer_view> membership::find(const vm_id& id) const
{
    const peer* vm = this->find_peer(id);
    if (vm == nullptr)
        return std::nullopt;
    return peer_view{.entry = vm->entry,
                     .state = vm->state,
                     .draining = vm->draining || vm->entry.leaving,
                     .peer_incarnation = vm->peer_incarnation,
                     .load = vm->load};
}

std::vector<vm_id> membership::live_peers() const
{
    std::vector<vm_id> live;
    for (const peer& vm : this->known_vms)
        if (this->is_live(vm.entry.id))
            live.push_back(vm.entry.id);
    return live;
}

std::vector<vm_id> membership::live_peers(std::string_view name) const
{
    std::vector<vm_id> live = this->live_peers();
    std::erase_if(live, [&](const vm_id& id)
                  { return this->find_peer(id)->entry.data_centre != name; });
    return live;
}

bool membership::is_live(const vm_id& id) const
{
    const peer* vm = this->find_peer(id);
    return vm != nullptr && vm->state == peer_state::live && id != this->settings.self.id;
}

std::size_t membership::rank() const
{
    std::size_t before = 0;
    for (const std::size_t index : this->local_order)
    {
        if (index == this->self_index)
            break;
        if (this->known_vms[index].state == peer_state::live)
            ++before;
    }
    return before;
}

std::size_t membership::data_centre_size() const
{
    std::size_t live = 1;
    for (const std::size_t index : this->local_order)
        if (index != this->self_index && this->known_vms[index].state == peer_state::live)
            ++live;
    return live;
}

reachability membership::fleet() const
{
    reachability counts;
    for (const peer& vm : this->known_vms)
    {
        if (vm.removed)
            continue;
        ++counts.known;
        if (vm.state == peer_state::live || vm.entry.id == this->settings.self.id)
            ++counts.reachable;
    }
    return counts;
}

reachability membership::region(std::string_view name) const
{
    reachability counts;
    for (const peer& vm : this->known_vms)
    {
        if (vm.removed || vm.entry.region != name)
            continue;
        ++counts.known;
        if (vm.state == peer_state::live || vm.entry.id == this->settings.self.id)
            ++counts.reachable;
    }
    return counts;
}

std::size_t membership::holders(catalogue_version version) const
{
    std::size_t count = 0;
    const std::size_t own_dc = this->known_vms[this->self_index].dc;
    for (const std::size_t index : this->centres[own_dc].members)
    {
        const peer& vm = this->known_vms[index];
        const bool heard = index == this->self_index || vm.state == peer_state::live;
        if (heard && vm.held_version == version)
            ++count;
    }
    for (std::size_t dc = 0; dc < this->centres.size(); ++dc)
        if (dc != own_dc && this->centres[dc].held_version == version)
            count += this->centres[dc].holders;
    return count;
}

std::size_t membership::version_report_count() const
{
    std::size_t count = 0;
    const std::size_t own_dc = this->known_vms[this->self_index].dc;
    for (const std::size_t index : this->centres[own_dc].members)
    {
        const peer& vm = this->known_vms[index];
        if (index != this->self_index && vm.state == peer_state::live &&
            vm.held_version != 0)
            ++count;
    }
    for (std::size_t dc = 0; dc < this->centres.size(); ++dc)
        if (dc != own_dc && this->centres[dc].held_version != 0)
            count += this->centres[dc].holders;
    return count;
}

} // namespace pistachiospan::member
