// What heartbeats say about the VMs of data centres besides their sender.

#include "pistachiospan/member/internal/topology.hpp"
#include "pistachiospan/member/member.hpp"

#include <algorithm>

namespace pistachiospan::member
{

namespace
{

using internal::short_hash;
using std::chrono::milliseconds;

// Status byte of a VM. The low 6 bits are the age of its newest heartbeat in units of
// status_age_unit, or status_not_live; the two flags mean that it is draining and that it
// holds the sender's catalogue version.
constexpr std::uint8_t status_age_mask = 0x3f;
constexpr std::uint8_t status_not_live = 0x3f;
constexpr std::uint8_t status_draining = 0x40;
constexpr std::uint8_t status_holds = 0x80;
constexpr duration status_age_unit = milliseconds(200);

// Age byte of the summary of a data centre, in units of summary_age_unit.
constexpr std::uint8_t summary_unknown = 255;
constexpr duration summary_age_unit = milliseconds(100);

constexpr std::size_t hash_bytes_size = 4;
constexpr std::uint8_t exception_not_live = 0;
constexpr std::uint8_t exception_draining = 1;

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

} // namespace

void membership::write_vms(time_point now, heartbeat& message) const
{
    for (const std::size_t index :
         this->centres[this->known_vms[this->self_index].dc].members)
    {
        const peer& vm = this->known_vms[index];
        const bool self = index == this->self_index;
        const duration age = self ? duration{} : now - vm.last_heard_at;
        const auto units = (age + status_age_unit - duration(1)) / status_age_unit;
        std::uint8_t status =
            units < status_not_live ? static_cast<std::uint8_t>(units) : status_not_live;
        if (vm.draining)
            status |= status_draining;
        if (vm.held_version != 0 && vm.held_version == this->catalogue.held_version)
            status |= status_holds;
        if (!message.by_index)
            append_hash(message.vms, vm.id_hash);
        message.vms.push_back(status);
    }
}

void membership::write_data_centres(time_point now, heartbeat& message, bool local) const
{
    const std::size_t own_dc = this->known_vms[this->self_index].dc;
    for (std::size_t dc = 0; dc < this->centres.size(); ++dc)
    {
        const data_centre& centre = this->centres[dc];
        const duration age = dc == own_dc ? duration{} : now - centre.summary_at;
        const auto units = (age + summary_age_unit - duration(1)) / summary_age_unit;
        const bool known = units < summary_unknown && !(local && dc == own_dc);
        std::size_t holders =
            centre.held_version == this->catalogue.held_version ? centre.holders : 0;
        if (!message.by_index)
            append_hash(message.data_centres, short_hash(centre.name));
        if (dc == own_dc)
            holders = 0;
        for (const std::size_t index : centre.members)
        {
            if (!known)
                break;
            const peer& vm = this->known_vms[index];
            const bool present =
                dc == own_dc ? vm.state == peer_state::live || index == this->self_index
                             : vm.last_heard_at >= centre.summary_at;
            if (dc == own_dc && present &&
                vm.held_version == this->catalogue.held_version)
                ++holders;
            if (present && !vm.draining)
                continue;
            append_hash(message.exceptions, vm.id_hash);
            message.exceptions.push_back(present ? exception_draining
                                                 : exception_not_live);
        }
        message.data_centres.push_back(known ? static_cast<std::uint8_t>(units)
                                             : summary_unknown);
        message.data_centres.push_back(
            static_cast<std::uint8_t>(std::min<std::size_t>(holders, 255)));
    }
}

// Ages are counted back from `composed`, the lower bound of the time of composition. If
// they were counted from arrival, a report relayed back and forth between two VMs would
// seem more recent with each hop.
void membership::read_vms(time_point now, time_point composed, const heartbeat& in)
{
    const std::vector<std::size_t>& members =
        this->centres[this->known_vms[this->self_index].dc].members;
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
        peer& vm = this->known_vms[index];
        if (index == this->self_index || units == status_not_live)
            continue;
        const time_point heard = composed - units * status_age_unit;
        if (heard <= vm.last_heard_at)
            continue;
        this->record_contact(vm, heard, now);
        vm.draining = (status & status_draining) != 0;
        vm.held_version = (status & status_holds) != 0 ? in.catalogue.held_version : 0;
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
        if (dc == this->known_vms[this->self_index].dc || units == summary_unknown)
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
        peer& vm = this->known_vms[index];
        const auto found = listed.find(vm.id_hash);
        if (found == listed.end() || found->second)
        {
            this->record_contact(vm, at, now);
            vm.last_heard_at = std::max(vm.last_heard_at, at);
            vm.draining = found != listed.end();
        }
    }
}

} // namespace pistachiospan::member
