#include "pistachiospan/member/member.hpp"

#include <algorithm>
#include <utility>

namespace pistachiospan::member
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Status byte of a VM: age of its newest heartbeat in units of status_age_unit, or
// status_not_live; a flag for draining; a flag for "holds the sender's version".
constexpr std::uint8_t status_age_mask = 0x3f;
constexpr std::uint8_t status_not_live = 0x3f;
constexpr std::uint8_t status_draining = 0x40;
constexpr std::uint8_t status_holds = 0x80;
constexpr duration status_age_unit = milliseconds(200);

// Age of the summary of a data centre.
constexpr std::uint8_t summary_unknown = 255;
constexpr duration summary_age_unit = milliseconds(100);

constexpr std::size_t hash_bytes_size = 4;
constexpr std::uint8_t exception_not_live = 0;
constexpr std::uint8_t exception_draining = 1;

// A new VM takes part in the tree for this long before it has been heard, so that a
// starting fleet does not have to find itself by probes.
constexpr duration newcomer_grace = seconds(5);

// A VM that left this many requests in a row unanswered is replaced as parent.
constexpr int unanswered_limit = 2;
constexpr duration avoid_time = seconds(10);

// Heartbeats in a row before a suspect VM is live again, and the number when it changed
// state damping_changes times within damping_window.
constexpr int live_again_after = 3;
constexpr int live_again_damped = 10;
constexpr std::size_t damping_changes = 3;
constexpr duration damping_window = seconds(60);

// A child asks its parent this long after the parent expects newer confirmations.
constexpr duration refresh_slack = milliseconds(30);

// VMs that are heard again but not yet live get requests each second, at most this many.
constexpr std::size_t returning_limit = 3;

// In a tree, a VM asks one other VM at random each third interval, and in a ring of data
// centres a relay asks its neighbour each second interval. Each interval costs the relays
// of 17 data centres with 43 VMs more than 2 KB/s.
constexpr std::size_t rotation_interval = 3;
constexpr std::size_t ring_interval = 2;

constexpr std::size_t introductions_per_message = 4;
constexpr std::size_t relays_per_data_centre = 2;

// A confirmation older than this makes a VM look for another source.
constexpr duration good_confirmation = seconds(2);

// Ages count as this much longer, against clocks that run at different rates.
constexpr double drift_allowance = 1.01;

std::uint32_t short_hash(std::string_view text)
{
    return static_cast<std::uint32_t>(hash_bytes(text));
}

std::uint64_t milliseconds_up(duration span)
{
    return static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(span).count());
}

void append_hash(std::vector<std::uint8_t>& out, std::uint32_t hash)
{
    for (std::size_t byte = 0; byte < hash_bytes_size; ++byte)
        out.push_back(static_cast<std::uint8_t>(hash >> (8 * byte)));
}

std::uint32_t read_hash(const std::vector<std::uint8_t>& in, std::size_t at)
{
    std::uint32_t hash = 0;
    for (std::size_t byte = 0; byte < hash_bytes_size; ++byte)
        hash |= static_cast<std::uint32_t>(in[at + byte]) << (8 * byte);
    return hash;
}

// Half the number of ring neighbours such that `size` nodes are a few hops apart: with
// steps k and k+1, 2k^2+2k+1 nodes are at most k hops apart.
std::size_t ring_step(std::size_t size)
{
    std::size_t step = 1;
    while (2 * step * step + 2 * step + 1 < size)
        ++step;
    return step;
}

enum flag : unsigned
{
    flag_reply = 1,
    flag_draining = 2,
    flag_by_index = 4,
};

// Order of the fields of an encoded heartbeat. Trailing fields with their defaults are
// left out.
enum field : std::size_t
{
    field_flags,
    field_token,
    field_echo,
    field_echo_age,
    field_held,
    field_active_lag,
    field_digest,
    field_confirmed_lag,
    field_confirmed_age,
    field_next_refresh,
    field_roster,
    field_vms,
    field_data_centres,
    field_exceptions,
    field_load,
    field_introductions,
    field_count
};

constexpr std::size_t fixed_fields = field_roster + 1;

nlohmann::json encode_bytes(const std::vector<std::uint8_t>& bytes)
{
    return bytes.empty() ? nlohmann::json() : nlohmann::json::binary(bytes);
}

std::vector<std::uint8_t> decode_bytes(const nlohmann::json& in, std::size_t at)
{
    if (at >= in.size() || in[at].is_null())
        return {};
    return in[at].get_binary();
}

} // namespace

std::uint32_t short_digest(std::string_view digest) noexcept
{
    return static_cast<std::uint32_t>(hash_bytes(digest));
}

void to_json(nlohmann::json& out, const introduction& value)
{
    out =
        nlohmann::json::array({value.id, value.address, value.data_centre, value.region});
}

void from_json(const nlohmann::json& in, introduction& value)
{
    value.id = in.at(0).get<vm_id>();
    value.address = in.at(1).get<std::string>();
    value.data_centre = in.at(2).get<std::string>();
    value.region = in.at(3).get<std::string>();
}

void to_json(nlohmann::json& out, const heartbeat& message)
{
    const catalogue_state& state = message.catalogue;
    const unsigned flags = (message.is_reply ? flag_reply : 0U) |
                           (message.draining ? flag_draining : 0U) |
                           (message.by_index ? flag_by_index : 0U);
    const auto held = static_cast<std::int64_t>(state.held_version);
    out = nlohmann::json::array(
        {flags, message.token, message.echo,
         std::chrono::floor<milliseconds>(message.echo_age).count(), state.held_version,
         held - static_cast<std::int64_t>(state.active_version), state.digest,
         state.confirmed_version == 0
             ? nlohmann::json()
             : nlohmann::json(held - static_cast<std::int64_t>(state.confirmed_version)),
         milliseconds_up(state.confirmation_age), milliseconds_up(message.next_refresh),
         message.roster, encode_bytes(message.vms), encode_bytes(message.data_centres),
         encode_bytes(message.exceptions), message.load,
         message.introductions.empty() ? nlohmann::json()
                                       : nlohmann::json(message.introductions)});
    while (out.size() > fixed_fields && out.back().is_null())
        out.erase(out.size() - 1);
}

void from_json(const nlohmann::json& in, heartbeat& message)
{
    const auto flags = in.at(field_flags).get<unsigned>();
    message.is_reply = (flags & flag_reply) != 0;
    message.draining = (flags & flag_draining) != 0;
    message.by_index = (flags & flag_by_index) != 0;
    message.token = in.at(field_token).get<std::uint32_t>();
    message.echo = in.at(field_echo).get<std::uint32_t>();
    message.echo_age = milliseconds(in.at(field_echo_age).get<std::uint32_t>());
    catalogue_state& state = message.catalogue;
    state.held_version = in.at(field_held).get<catalogue_version>();
    state.active_version =
        state.held_version - in.at(field_active_lag).get<catalogue_version>();
    state.digest = in.at(field_digest).get<std::uint32_t>();
    const nlohmann::json& lag = in.at(field_confirmed_lag);
    state.confirmed_version = lag.is_null()
                                  ? 0
                                  : static_cast<catalogue_version>(
                                        static_cast<std::int64_t>(state.held_version) -
                                        lag.get<std::int64_t>());
    state.confirmation_age =
        milliseconds(in.at(field_confirmed_age).get<std::uint32_t>());
    message.next_refresh = milliseconds(in.at(field_next_refresh).get<std::uint32_t>());
    message.roster = in.at(field_roster).get<std::uint32_t>();
    message.vms = decode_bytes(in, field_vms);
    message.data_centres = decode_bytes(in, field_data_centres);
    message.exceptions = decode_bytes(in, field_exceptions);
    message.load = field_load < in.size() ? in[field_load] : nlohmann::json();
    message.introductions.clear();
    if (field_introductions < in.size())
        in[field_introductions].get_to(message.introductions);
}

membership::membership(options given)
    : settings(std::move(given)), random(this->settings.seed)
{
    this->all.push_back({.entry = this->settings.self, .listed = true});
    for (const store::vm_entry& entry : this->settings.seeds)
        this->learn(time_point{}, entry, true);
    this->rebuild();
    this->probe_rotation = this->random();
    this->rotation = this->random();
}

void membership::learn(time_point now, const store::vm_entry& entry, bool listed)
{
    if (peer* known = this->lookup(entry.id))
    {
        known->listed = known->listed || listed;
        known->removed = known->removed && !listed;
        known->entry = entry;
        return;
    }
    peer added{.entry = entry, .listed = listed, .learned = now, .suspect_since = now};
    const auto at = std::ranges::lower_bound(
        this->all, entry.id, {}, [](const peer& who) { return who.entry.id; });
    this->all.insert(at, std::move(added));
}

// Recomputes everything that depends on the set of known VMs.
void membership::rebuild()
{
    std::map<std::string, data_centre> named;
    for (data_centre& centre : this->centres)
    {
        centre.members.clear();
        named.emplace(centre.name, std::move(centre));
    }
    this->by_hash.clear();
    std::uint32_t roster = 0;
    for (std::size_t index = 0; index < this->all.size(); ++index)
    {
        peer& who = this->all[index];
        if (who.entry.id == this->settings.self.id)
            this->self_index = index;
        if (who.removed)
            continue;
        who.id_hash = short_hash(who.entry.id.value);
        this->by_hash[who.id_hash] = index;
        roster += short_hash(who.entry.id.value + '\n' + who.entry.data_centre);
        data_centre& centre = named[who.entry.data_centre];
        centre.name = who.entry.data_centre;
        centre.region = who.entry.region;
        centre.members.push_back(index);
    }
    this->centres.clear();
    for (auto& [name, centre] : named)
    {
        if (centre.members.empty())
            continue;
        for (const std::size_t index : centre.members)
            this->all[index].dc = this->centres.size();
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
    for (peer& who : this->all)
    {
        const bool present = listed.contains(who.entry.id);
        if (who.listed && !present)
        {
            who.removed = true;
            this->change_state(who, peer_state::gone, now);
        }
        who.listed = present;
    }
    // A VM that was only heard of is forgotten once the platform does not list it either.
    std::erase_if(this->all,
                  [&](const peer& who)
                  {
                      return !who.listed && now - std::max(who.last_heard, who.learned) >
                                                this->settings.gone_after;
                  });
    for (const auto& [id, entry] : listed)
        this->learn(now, *entry, true);
    this->rebuild();
    this->refresh_ranks(now);
}

void membership::set_catalogue(time_point now, const catalogue_state& state)
{
    this->catalogue_at = now;
    this->announces =
        this->announces || (this->catalogue.held_version != 0 &&
                            state.held_version > this->catalogue.held_version);
    this->catalogue = state;
    this->all[this->self_index].held_version = state.held_version;
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
    this->all[this->self_index].draining = value;
}

result<void> membership::set_load(const nlohmann::json& load_by_group)
{
    if (load_by_group == this->own_load)
        return boost::outcome_v2::success();
    if (nlohmann::json::to_msgpack(load_by_group).size() > this->settings.max_load_bytes)
        return failure(errc::limit_exceeded,
                       "load summary too large for heartbeats; report fewer groups");
    this->own_load = load_by_group;
    ++this->load_counter;
    return boost::outcome_v2::success();
}

bool membership::is_local(const peer& who) const
{
    return who.entry.data_centre == this->settings.self.data_centre;
}

// True for VMs that take part in the tree and the rings.
bool membership::usable(const peer& who, time_point now) const
{
    if (who.removed)
        return false;
    return who.state == peer_state::live || who.entry.id == this->settings.self.id ||
           (!who.ever_live && who.state == peer_state::suspect &&
            now - who.learned < newcomer_grace);
}

void membership::refresh_ranks(time_point now)
{
    this->local_order.clear();
    const std::size_t own_dc = this->all[this->self_index].dc;
    for (const std::size_t index : this->centres[own_dc].members)
    {
        if (index == this->self_index)
            this->own_rank = this->local_order.size();
        if (this->usable(this->all[index], now))
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

// Time by which heartbeats arrive later than over a direct link, for each hop.
duration membership::allowance(const peer& who) const
{
    const std::size_t depth = this->tree_depth(this->local_order.size());
    if (this->is_local(who))
        return depth * this->settings.interval;
    const std::size_t count = this->centres.size();
    const std::size_t hops =
        count <= this->settings.mesh_limit ? 1 : ring_step(count) * ring_interval;
    return (std::max<std::size_t>(depth, 1) + hops) * this->settings.interval;
}

void membership::change_state(peer& who, peer_state state, time_point now)
{
    if (who.state == state)
        return;
    const bool counts = who.ever_live && state != peer_state::gone;
    if (counts)
    {
        who.changes.push_back(now);
        ++this->change_count;
    }
    while (!who.changes.empty() && now - who.changes.front() > damping_window)
        who.changes.pop_front();
    who.state = state;
    if (state == peer_state::suspect)
        who.suspect_since = now;
    if (state == peer_state::live)
        who.ever_live = true;
    else
        who.streak = 0;
}

// Records that `who` was heard at `at`, directly or as reported by a peer.
void membership::touch(peer& who, time_point at, time_point now)
{
    if (at <= who.last_heard || who.removed)
        return;
    if (at - who.last_heard > this->settings.suspect_after + this->allowance(who))
        who.streak = 0;
    who.last_heard = at;
    if (who.streak > 0 && at - who.streak_at < this->settings.interval * 4 / 5)
        return;
    ++who.streak;
    who.streak_at = at;
    if (who.state == peer_state::live)
        return;
    const bool damped = who.changes.size() >= damping_changes;
    const int needed = damped ? live_again_damped : live_again_after;
    if (who.streak >= needed || !who.ever_live)
        this->change_state(who, peer_state::live, now);
}

void membership::evaluate(time_point now)
{
    for (peer& who : this->all)
    {
        if (who.entry.id == this->settings.self.id)
            continue;
        if (who.state == peer_state::live &&
            now - who.last_heard > this->settings.suspect_after + this->allowance(who))
            this->change_state(who, peer_state::suspect, now);
        if (who.state == peer_state::suspect &&
            now - who.suspect_since > this->settings.gone_after)
            this->change_state(who, peer_state::gone, now);
    }
    for (data_centre& centre : this->centres)
    {
        const duration limit = this->settings.suspect_after +
                               this->allowance(this->all[centre.members.front()]);
        if (now - centre.summary_at > limit)
            centre.holders = 0;
    }
    this->refresh_ranks(now);
}

// Tokens are milliseconds since the start, offset by a hash of the incarnation so that an
// echo meant for an earlier process is not taken for a recent one.
std::uint32_t membership::token_at(time_point now) const
{
    const auto offset = static_cast<std::uint32_t>(
        hash_bytes(this->settings.self.id.value, this->settings.self_incarnation));
    const auto elapsed = duration_cast<milliseconds>(now - this->start).count();
    const std::uint32_t token = offset + static_cast<std::uint32_t>(elapsed);
    return token == 0 ? 1 : token;
}

// Time at which this VM sent the token, when that was a short time ago.
std::optional<time_point> membership::token_time(std::uint32_t token,
                                                 time_point now) const
{
    if (token == 0)
        return std::nullopt;
    const std::uint32_t age = this->token_at(now) - token;
    const duration span = milliseconds(age);
    if (span > this->settings.suspect_after + this->settings.interval ||
        span > now - this->start + milliseconds(1))
        return std::nullopt;
    return now - span - milliseconds(1);
}

std::vector<outgoing> membership::tick(time_point now)
{
    if (!this->started)
    {
        this->started = true;
        this->start = now;
        this->next_tick = now;
        this->next_parent = now;
        for (peer& who : this->all)
            if (who.learned == time_point{})
                who.learned = who.suspect_since = now;
    }
    if (now >= this->next_evaluation)
    {
        this->evaluate(now);
        this->next_evaluation = now + this->settings.interval / 4;
    }
    std::vector<std::size_t> targets;
    // A new version is announced at once: children ask soon enough by themselves, but it
    // may have come from a child or, at a relay, from one side of the ring.
    if (std::exchange(this->announces, false))
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
            this->parent_hash = this->all[*parent].id_hash;
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
        peer& to = this->all[index];
        ++to.unanswered;
        due.push_back(this->compose(now, to, false));
    }
    return due;
}

// The parent in the tree, or a random VM before this one while the parent does not
// answer.
std::optional<std::size_t> membership::choose_parent(time_point now)
{
    if (this->local_order.size() <= this->settings.mesh_limit || this->own_rank == 0)
        return std::nullopt;
    const std::size_t regular =
        this->local_order[(this->own_rank - 1) / this->settings.fan_out];
    peer& parent = this->all[regular];
    if (parent.unanswered >= unanswered_limit)
    {
        parent.unanswered = 0;
        parent.avoid_until = now + avoid_time;
    }
    if (parent.avoid_until <= now)
        return regular;
    std::vector<std::size_t> candidates;
    for (std::size_t rank = 0; rank < this->own_rank; ++rank)
        if (this->all[this->local_order[rank]].avoid_until <= now &&
            this->all[this->local_order[rank]].unanswered < unanswered_limit)
            candidates.push_back(this->local_order[rank]);
    if (candidates.empty())
        return regular;
    return candidates[this->random() % candidates.size()];
}

void membership::add_local_targets(time_point, std::vector<std::size_t>& out)
{
    ++this->rotation;
    if (this->local_order.size() <= this->settings.mesh_limit)
    {
        // One side of each pair asks: the one that is further from the poller.
        for (std::size_t rank = 0; rank < this->own_rank; ++rank)
            out.push_back(this->local_order[rank]);
        return;
    }
    // Relays have other links, and more of them than the other VMs.
    if (this->own_rank >= relays_per_data_centre &&
        this->rotation % rotation_interval == 0)
        out.push_back(this->local_order[this->random() % this->local_order.size()]);
}

std::optional<std::size_t> membership::relay_of(std::size_t dc, std::size_t rank,
                                                time_point now) const
{
    std::optional<std::size_t> found;
    std::size_t position = 0;
    for (const std::size_t index : this->centres[dc].members)
    {
        if (!this->usable(this->all[index], now))
            continue;
        found = index;
        if (position++ == rank)
            break;
    }
    return found;
}

void membership::add_remote_targets(time_point now, std::vector<std::size_t>& out,
                                    bool at_once)
{
    if (this->own_rank >= relays_per_data_centre)
        return;
    std::vector<std::size_t> order; // data centres with a usable VM
    std::size_t own = 0;
    for (std::size_t dc = 0; dc < this->centres.size(); ++dc)
    {
        if (!this->relay_of(dc, 0, now))
            continue;
        if (dc == this->all[this->self_index].dc)
            own = order.size();
        order.push_back(dc);
    }
    std::vector<std::size_t> chosen;
    if (order.size() <= this->settings.mesh_limit)
    {
        chosen.assign(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(own));
    }
    else if (at_once || this->rotation % ring_interval == 0)
    {
        const std::size_t step = ring_step(order.size());
        const bool alone = this->local_order.size() == 1;
        if (this->own_rank == 0 && !this->seeks_confirmation)
            chosen.push_back(order[(own + step) % order.size()]);
        if (this->own_rank == 1 || alone)
            chosen.push_back(order[(own + step + 1) % order.size()]);
    }
    for (const std::size_t dc : chosen)
        if (const auto relay = this->relay_of(dc, this->own_rank, now))
            out.push_back(*relay);
    if (!this->seeks_confirmation || this->own_rank != 0 || order.size() < 2)
        return;
    const auto known = this->by_hash.find(this->confirming_hash);
    if (known != this->by_hash.end() &&
        this->all[known->second].unanswered < unanswered_limit &&
        this->usable(this->all[known->second], now))
    {
        out.push_back(known->second);
        return;
    }
    const std::size_t other =
        (own + 1 + this->random() % (order.size() - 1)) % order.size();
    if (const auto relay = this->relay_of(order[other], 0, now))
    {
        this->confirming_hash = this->all[*relay].id_hash;
        this->all[*relay].unanswered = 0;
        out.push_back(*relay);
    }
}

// Requests to VMs that are not live, so that a healed link is found: those heard lately
// and one other in rotation.
void membership::add_probe_targets(time_point now, std::vector<std::size_t>& out)
{
    const bool relay = this->own_rank < relays_per_data_centre;
    std::vector<std::size_t> silent;
    std::size_t returning = 0;
    for (std::size_t index = 0; index < this->all.size(); ++index)
    {
        const peer& who = this->all[index];
        if (who.removed || this->usable(who, now))
            continue;
        const bool heard = who.last_direct != time_point{} &&
                           now - who.last_direct < this->settings.suspect_after;
        if (heard && returning < returning_limit)
        {
            ++returning;
            out.push_back(index);
        }
        else if (this->is_local(who) || relay)
        {
            silent.push_back(index);
        }
    }
    if (!silent.empty())
        out.push_back(silent[this->probe_rotation++ % silent.size()]);
}

outgoing membership::compose(time_point now, peer& to, bool is_reply)
{
    heartbeat message;
    message.is_reply = is_reply;
    message.draining = this->draining;
    message.by_index = to.roster == this->roster_hash;
    message.token = this->token_at(now);
    if (to.last_direct != time_point{} &&
        now - to.last_direct < this->settings.suspect_after)
    {
        message.echo = to.last_token;
        message.echo_age = now - to.last_direct;
    }
    message.catalogue = this->catalogue;
    // After a pause, a request may be answered before the state is set again.
    message.catalogue.confirmation_age += now - this->catalogue_at;
    message.next_refresh = std::max(this->next_refresh - now, duration{});
    if (this->next_refresh == time_point{} && this->own_rank > 0)
        message.next_refresh = std::max(this->next_parent - now, duration{});
    message.roster = this->roster_hash;
    const bool local = this->is_local(to);
    // A leaf of the tree knows nothing of the others that its parent does not know.
    const bool to_parent = !is_reply && to.id_hash == this->parent_hash;
    const bool leaf =
        this->own_rank * this->settings.fan_out + 1 >= this->local_order.size();
    if (local && this->centres[to.dc].members.size() > 2 && !(to_parent && leaf))
        this->write_vms(now, message);
    const bool relay = this->own_rank < relays_per_data_centre;
    if (this->centres.size() > 1 && (relay || is_reply || !local))
        this->write_data_centres(now, message, local);
    if (local && to.load_acknowledged != this->load_counter)
    {
        message.load = this->own_load;
        if (to.load_sent != this->load_counter)
            to.load_sent_token = message.token;
        to.load_sent = this->load_counter;
    }
    if (!message.by_index)
        this->introduce(message);
    return {
        .to = to.entry.id, .address = to.entry.address, .message = std::move(message)};
}

// Adds this VM and some live VMs in rotation, those that the platform does not list
// first.
void membership::introduce(heartbeat& message)
{
    const auto add = [&](const store::vm_entry& entry)
    {
        message.introductions.push_back({.id = entry.id,
                                         .address = entry.address,
                                         .data_centre = entry.data_centre,
                                         .region = entry.region});
    };
    add(this->settings.self);
    const std::size_t count = this->all.size();
    for (const bool listed : {false, true})
    {
        std::size_t looked = 0;
        while (looked < count && message.introductions.size() < introductions_per_message)
        {
            const peer& who = this->all[(this->introduction_rotation + looked++) % count];
            if (who.listed == listed && !who.removed && who.state == peer_state::live)
                add(who.entry);
        }
        if (listed)
            this->introduction_rotation += looked;
    }
}

void membership::write_vms(time_point now, heartbeat& message) const
{
    for (const std::size_t index : this->centres[this->all[this->self_index].dc].members)
    {
        const peer& who = this->all[index];
        const bool self = index == this->self_index;
        const duration age = self ? duration{} : now - who.last_heard;
        const auto units = (age + status_age_unit - duration(1)) / status_age_unit;
        std::uint8_t status =
            units < status_not_live ? static_cast<std::uint8_t>(units) : status_not_live;
        if (who.draining)
            status |= status_draining;
        if (who.held_version != 0 && who.held_version == this->catalogue.held_version)
            status |= status_holds;
        if (!message.by_index)
            append_hash(message.vms, who.id_hash);
        message.vms.push_back(status);
    }
}

void membership::write_data_centres(time_point now, heartbeat& message, bool local) const
{
    const std::size_t own = this->all[this->self_index].dc;
    for (std::size_t dc = 0; dc < this->centres.size(); ++dc)
    {
        const data_centre& centre = this->centres[dc];
        const duration age = dc == own ? duration{} : now - centre.summary_at;
        const auto units = (age + summary_age_unit - duration(1)) / summary_age_unit;
        const bool known = units < summary_unknown && !(local && dc == own);
        std::size_t holders =
            centre.held_version == this->catalogue.held_version ? centre.holders : 0;
        if (!message.by_index)
            append_hash(message.data_centres, short_hash(centre.name));
        if (dc == own)
            holders = 0;
        for (const std::size_t index : centre.members)
        {
            if (!known)
                break;
            const peer& who = this->all[index];
            const bool present =
                dc == own ? who.state == peer_state::live || index == this->self_index
                          : who.last_heard >= centre.summary_at;
            if (dc == own && present && who.held_version == this->catalogue.held_version)
                ++holders;
            if (present && !who.draining)
                continue;
            append_hash(message.exceptions, who.id_hash);
            message.exceptions.push_back(present ? exception_draining
                                                 : exception_not_live);
        }
        message.data_centres.push_back(known ? static_cast<std::uint8_t>(units)
                                             : summary_unknown);
        message.data_centres.push_back(
            static_cast<std::uint8_t>(std::min<std::size_t>(holders, 255)));
    }
}

heartbeat_result membership::on_heartbeat(time_point now, const vm_id& from,
                                          incarnation from_incarnation,
                                          const heartbeat& message)
{
    heartbeat_result got;
    if (from == this->settings.self.id)
        return got;
    this->read_introductions(now, from, message);
    peer* known = this->lookup(from);
    if (known == nullptr)
        return got;
    peer& who = *known;
    if (from_incarnation < who.peer_incarnation)
        return got;
    if (from_incarnation > who.peer_incarnation)
    {
        who.peer_incarnation = from_incarnation;
        who.held_version = 0;
        who.load = nullptr;
        who.load_acknowledged = 0;
    }
    who.last_direct = now;
    who.last_token = message.token;
    who.roster = message.roster;
    if (message.is_reply)
        who.unanswered = 0;
    got.composed_after = this->token_time(message.echo, now);
    got.bidirectional = got.composed_after.has_value();
    if (got.bidirectional)
        *got.composed_after =
            std::min(now, *got.composed_after + duration_cast<duration>(message.echo_age /
                                                                        drift_allowance));
    if (got.bidirectional)
    {
        if (who.load_sent_token != 0 &&
            static_cast<std::int32_t>(message.echo - who.load_sent_token) >= 0)
            who.load_acknowledged = who.load_sent;
        this->touch(who, now, now);
        who.held_version = message.catalogue.held_version;
        who.draining = message.draining;
        if (!message.load.is_null())
            who.load = message.load;
        this->read_vms(now, *got.composed_after, message);
        this->read_data_centres(now, *got.composed_after, message);
        const bool confirms = message.catalogue.confirmed_version != 0 &&
                              message.catalogue.confirmation_age < good_confirmation;
        if (who.id_hash == this->confirming_hash && !confirms)
            this->confirming_hash = 0;
    }
    const bool from_parent = message.is_reply && who.id_hash == this->parent_hash;
    if (from_parent && message.next_refresh > duration{})
    {
        const duration wait =
            std::clamp(message.next_refresh + refresh_slack, this->settings.interval / 2,
                       this->settings.interval * 6 / 5);
        this->next_parent = now + wait;
    }
    if (!message.is_reply)
        got.reply = this->compose(now, who, true);
    return got;
}

void membership::read_introductions(time_point now, const vm_id& from,
                                    const heartbeat& in)
{
    bool changed = false;
    for (const introduction& met : in.introductions)
    {
        // Introductions of third VMs count only from a VM that is itself reachable.
        if (this->lookup(met.id) != nullptr ||
            (met.id != from && !this->token_time(in.echo, now)))
            continue;
        this->learn(now,
                    {.id = met.id,
                     .address = met.address,
                     .data_centre = met.data_centre,
                     .region = met.region},
                    false);
        changed = true;
    }
    if (!changed)
        return;
    this->rebuild();
    this->refresh_ranks(now);
}

// Ages count from a time at which the message did not exist yet. Counted from its
// arrival, a report passed around between two VMs would grow younger with each hop.
void membership::read_vms(time_point now, time_point composed, const heartbeat& in)
{
    const std::vector<std::size_t>& members =
        this->centres[this->all[this->self_index].dc].members;
    const std::size_t stride = in.by_index ? 1 : hash_bytes_size + 1;
    if (in.by_index &&
        (in.roster != this->roster_hash || in.vms.size() != members.size()))
        return;
    for (std::size_t at = 0; at + stride <= in.vms.size(); at += stride)
    {
        std::size_t index = 0;
        if (in.by_index)
        {
            index = members[at];
        }
        else
        {
            const auto found = this->by_hash.find(read_hash(in.vms, at));
            if (found == this->by_hash.end())
                continue;
            index = found->second;
        }
        const std::uint8_t status = in.vms[at + stride - 1];
        const std::uint8_t units = status & status_age_mask;
        peer& who = this->all[index];
        if (index == this->self_index || units == status_not_live)
            continue;
        const time_point heard = composed - units * status_age_unit;
        if (heard <= who.last_heard)
            continue;
        this->touch(who, heard, now);
        who.draining = (status & status_draining) != 0;
        who.held_version = (status & status_holds) != 0 ? in.catalogue.held_version : 0;
    }
}

void membership::read_data_centres(time_point now, time_point composed,
                                   const heartbeat& in)
{
    const std::size_t stride = in.by_index ? 2 : hash_bytes_size + 2;
    if (in.by_index && (in.roster != this->roster_hash ||
                        in.data_centres.size() != stride * this->centres.size()))
        return;
    std::map<std::uint32_t, bool> listed; // id hash: draining
    for (std::size_t at = 0; at + hash_bytes_size < in.exceptions.size();
         at += hash_bytes_size + 1)
        listed.emplace(read_hash(in.exceptions, at),
                       in.exceptions[at + hash_bytes_size] == exception_draining);
    for (std::size_t at = 0; at + stride <= in.data_centres.size(); at += stride)
    {
        std::size_t dc = at / stride;
        if (!in.by_index)
        {
            const std::uint32_t hash = read_hash(in.data_centres, at);
            const auto found =
                std::ranges::find_if(this->centres, [&](const data_centre& centre)
                                     { return short_hash(centre.name) == hash; });
            if (found == this->centres.end())
                continue;
            dc = static_cast<std::size_t>(found - this->centres.begin());
        }
        const std::uint8_t units = in.data_centres[at + stride - 2];
        if (dc == this->all[this->self_index].dc || units == summary_unknown)
            continue;
        this->read_summary(now, dc, composed - units * summary_age_unit, in,
                           in.data_centres[at + stride - 1], listed);
    }
}

void membership::read_summary(time_point now, std::size_t dc, time_point at,
                              const heartbeat& in, std::uint8_t holders,
                              const std::map<std::uint32_t, bool>& listed)
{
    data_centre& centre = this->centres[dc];
    if (at <= centre.summary_at)
        return;
    centre.summary_at = at;
    centre.held_version = in.catalogue.held_version;
    centre.holders = holders;
    for (const std::size_t index : centre.members)
    {
        peer& who = this->all[index];
        const auto found = listed.find(who.id_hash);
        if (found == listed.end() || found->second)
        {
            this->touch(who, at, now);
            who.last_heard = std::max(who.last_heard, at);
            who.draining = found != listed.end();
        }
    }
}

membership::peer* membership::lookup(const vm_id& id)
{
    const auto at = std::ranges::lower_bound(
        this->all, id, {}, [](const peer& who) -> const vm_id& { return who.entry.id; });
    return at != this->all.end() && at->entry.id == id ? &*at : nullptr;
}

const membership::peer* membership::lookup(const vm_id& id) const
{
    return const_cast<membership*>(this)->lookup(id);
}

std::vector<peer_view> membership::peers() const
{
    std::vector<peer_view> views;
    for (const peer& who : this->all)
        if (who.entry.id != this->settings.self.id)
            views.push_back(*this->find(who.entry.id));
    return views;
}

std::optional<peer_view> membership::find(const vm_id& id) const
{
    const peer* who = this->lookup(id);
    if (who == nullptr)
        return std::nullopt;
    return peer_view{.entry = who->entry,
                     .state = who->state,
                     .draining = who->draining || who->entry.leaving,
                     .peer_incarnation = who->peer_incarnation,
                     .load = who->load};
}

std::vector<vm_id> membership::live_peers() const
{
    std::vector<vm_id> live;
    for (const peer& who : this->all)
        if (this->is_live(who.entry.id))
            live.push_back(who.entry.id);
    return live;
}

std::vector<vm_id> membership::live_peers(std::string_view name) const
{
    std::vector<vm_id> live = this->live_peers();
    std::erase_if(live, [&](const vm_id& id)
                  { return this->lookup(id)->entry.data_centre != name; });
    return live;
}

bool membership::is_live(const vm_id& id) const
{
    const peer* who = this->lookup(id);
    return who != nullptr && who->state == peer_state::live &&
           id != this->settings.self.id;
}

std::size_t membership::rank() const
{
    std::size_t before = 0;
    for (const std::size_t index : this->local_order)
    {
        if (index == this->self_index)
            break;
        if (this->all[index].state == peer_state::live)
            ++before;
    }
    return before;
}

std::size_t membership::data_centre_size() const
{
    std::size_t live = 1;
    for (const std::size_t index : this->local_order)
        if (index != this->self_index && this->all[index].state == peer_state::live)
            ++live;
    return live;
}

reachability membership::fleet() const
{
    reachability counted;
    for (const peer& who : this->all)
    {
        if (who.removed)
            continue;
        ++counted.known;
        if (who.state == peer_state::live || who.entry.id == this->settings.self.id)
            ++counted.reachable;
    }
    return counted;
}

reachability membership::region(std::string_view name) const
{
    reachability counted;
    for (const peer& who : this->all)
    {
        if (who.removed || who.entry.region != name)
            continue;
        ++counted.known;
        if (who.state == peer_state::live || who.entry.id == this->settings.self.id)
            ++counted.reachable;
    }
    return counted;
}

std::size_t membership::holders(catalogue_version version) const
{
    std::size_t count = 0;
    const std::size_t own = this->all[this->self_index].dc;
    for (const std::size_t index : this->centres[own].members)
    {
        const peer& who = this->all[index];
        const bool heard = index == this->self_index || who.state == peer_state::live;
        if (heard && who.held_version == version)
            ++count;
    }
    for (std::size_t dc = 0; dc < this->centres.size(); ++dc)
        if (dc != own && this->centres[dc].held_version == version)
            count += this->centres[dc].holders;
    return count;
}

std::size_t membership::version_report_count() const
{
    std::size_t count = 0;
    const std::size_t own = this->all[this->self_index].dc;
    for (const std::size_t index : this->centres[own].members)
    {
        const peer& who = this->all[index];
        if (index != this->self_index && who.state == peer_state::live &&
            who.held_version != 0)
            ++count;
    }
    for (std::size_t dc = 0; dc < this->centres.size(); ++dc)
        if (dc != own && this->centres[dc].held_version != 0)
            count += this->centres[dc].holders;
    return count;
}

} // namespace pistachiospan::member
