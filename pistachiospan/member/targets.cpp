// To which VMs heartbeats are sent.

#include "pistachiospan/member/internal/topology.hpp"
#include "pistachiospan/member/member.hpp"

namespace pistachiospan::member
{

namespace
{

using internal::relays_per_data_centre;
using internal::ring_interval;
using internal::ring_step;
using internal::rotation_interval;
using std::chrono::seconds;

// A parent that leaves this many requests in a row without a reply is replaced for
// parent_avoidance_time.
constexpr int unanswered_threshold = 2;
constexpr duration parent_avoidance_time = seconds(10);

// Maximum number of VMs probed each second because their heartbeats arrive again although
// they are not live yet.
constexpr std::size_t max_returning_probes = 3;

} // namespace

// Returns the parent in the tree or, while the parent does not reply, a random VM of
// lower rank.
std::optional<std::size_t> membership::choose_parent(time_point now)
{
    if (this->local_order.size() <= this->settings.mesh_limit || this->own_rank == 0)
        return std::nullopt;
    const std::size_t regular =
        this->local_order[(this->own_rank - 1) / this->settings.fan_out];
    peer& parent = this->known_vms[regular];
    if (parent.unanswered_requests >= unanswered_threshold)
    {
        parent.unanswered_requests = 0;
        parent.avoid_until = now + parent_avoidance_time;
    }
    if (parent.avoid_until <= now)
        return regular;
    std::vector<std::size_t> candidates;
    for (std::size_t rank = 0; rank < this->own_rank; ++rank)
        if (this->known_vms[this->local_order[rank]].avoid_until <= now &&
            this->known_vms[this->local_order[rank]].unanswered_requests <
                unanswered_threshold)
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
        // Of each pair, the VM of higher rank sends the request: rank 0 polls the store.
        for (std::size_t rank = 0; rank < this->own_rank; ++rank)
            out.push_back(this->local_order[rank]);
        return;
    }
    // Relays are left out: they already have more links than the other VMs.
    if (this->own_rank >= relays_per_data_centre &&
        this->rotation % rotation_interval == 0)
        out.push_back(this->local_order[this->random() % this->local_order.size()]);
}

std::optional<std::size_t> membership::find_relay(std::size_t dc, std::size_t rank,
                                                  time_point now) const
{
    std::optional<std::size_t> found;
    std::size_t position = 0;
    for (const std::size_t index : this->centres[dc].members)
    {
        if (!this->usable(this->known_vms[index], now))
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
    std::vector<std::size_t> usable_centres; // data centres with a usable VM
    std::size_t own_position = 0;
    for (std::size_t dc = 0; dc < this->centres.size(); ++dc)
    {
        if (!this->find_relay(dc, 0, now))
            continue;
        if (dc == this->known_vms[this->self_index].dc)
            own_position = usable_centres.size();
        usable_centres.push_back(dc);
    }
    std::vector<std::size_t> target_centres;
    if (usable_centres.size() <= this->settings.mesh_limit)
    {
        target_centres.assign(usable_centres.begin(),
                              usable_centres.begin() +
                                  static_cast<std::ptrdiff_t>(own_position));
    }
    else if (at_once || this->rotation % ring_interval == 0)
    {
        const std::size_t step = ring_step(usable_centres.size());
        const bool alone = this->local_order.size() == 1;
        if (this->own_rank == 0 && !this->seeks_confirmation)
            target_centres.push_back(
                usable_centres[(own_position + step) % usable_centres.size()]);
        if (this->own_rank == 1 || alone)
            target_centres.push_back(
                usable_centres[(own_position + step + 1) % usable_centres.size()]);
    }
    for (const std::size_t dc : target_centres)
        if (const auto relay = this->find_relay(dc, this->own_rank, now))
            out.push_back(*relay);
    if (!this->seeks_confirmation || this->own_rank != 0 || usable_centres.size() < 2)
        return;
    const auto known = this->by_hash.find(this->confirmation_source_hash);
    if (known != this->by_hash.end() &&
        this->known_vms[known->second].unanswered_requests < unanswered_threshold &&
        this->usable(this->known_vms[known->second], now))
    {
        out.push_back(known->second);
        return;
    }
    const std::size_t other =
        (own_position + 1 + this->random() % (usable_centres.size() - 1)) %
        usable_centres.size();
    if (const auto relay = this->find_relay(usable_centres[other], 0, now))
    {
        this->confirmation_source_hash = this->known_vms[*relay].id_hash;
        this->known_vms[*relay].unanswered_requests = 0;
        out.push_back(*relay);
    }
}

// Adds requests to VMs that are not live, so that the repair of a link is noticed: VMs
// whose heartbeats arrive again, and one other VM in rotation.
void membership::add_probe_targets(time_point now, std::vector<std::size_t>& out)
{
    const bool relay = this->own_rank < relays_per_data_centre;
    std::vector<std::size_t> silent;
    std::size_t returning = 0;
    for (std::size_t index = 0; index < this->known_vms.size(); ++index)
    {
        const peer& vm = this->known_vms[index];
        if (vm.removed || this->usable(vm, now))
            continue;
        const bool heard = vm.last_direct_at != time_point{} &&
                           now - vm.last_direct_at < this->settings.suspect_after;
        if (heard && returning < max_returning_probes)
        {
            ++returning;
            out.push_back(index);
        }
        else if (this->is_local(vm) || relay)
        {
            silent.push_back(index);
        }
    }
    if (!silent.empty())
        out.push_back(silent[this->probe_rotation++ % silent.size()]);
}

} // namespace pistachiospan::member
