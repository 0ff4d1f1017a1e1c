// The store's registry of the upstreams, the VMs' reads of it, and its restore.

#include "pistachiospan/world/world.hpp"

namespace pistachiospan::world
{

namespace
{

using namespace std::chrono_literals;

// Calls to the store, one after the other, that the load of all tables takes.
constexpr int load_calls = 3;
// Interval at which a VM that reaches neither the store nor a VM with tables tries again.
constexpr duration load_retry = 500ms;
// From a change in the registry until the VMs know it.
constexpr duration registry_delay = 600ms;
// Time for an answer of the store.
constexpr duration store_timeout = 2s;

} // namespace

void world::restart_upstream(std::size_t index)
{
    this->upstream_at(index).restart();
    if (this->store.available)
        this->write_entry(index);
}

void world::set_store(const store_state& next)
{
    this->store = next;
    for (std::size_t each = 0; next.available && each < this->registry.size(); ++each)
        if (this->registry[each] != this->upstream_at(each).registration())
            this->write_entry(each);
}

void world::write_entry(std::size_t index)
{
    this->registry[index] = this->upstream_at(index).registration();
    for (std::size_t at = 0; at < this->vms.size(); ++at)
        this->on_vm(at, registry_delay,
                    [this, at, index] { this->register_upstream(at, index); });
}

void world::register_upstream(std::size_t at, std::size_t index)
{
    this->vms[at].process->upstreams().update(this->now(), this->registry[index]);
}

// Whether the VM knows another one that it can copy the tables from.
bool world::reaches_loaded_vm(std::size_t at) const
{
    const vm_state& vm = this->vms[at];
    const auto reader =
        this->vms_by_address.find(vm.process->fleet().reader(this->now(), store_timeout));
    if (reader == this->vms_by_address.end())
        return false;
    const vm_state& source = this->vms[reader->second];
    return source.ready && source.side == vm.side;
}

// Takes configuration and registry from the store, or from another VM.
void world::load_tables(std::size_t at)
{
    if (this->store.available)
        this->on_vm(at, this->store.latency * load_calls,
                    [this, at] { this->read_store(at); });
    else if (this->reaches_loaded_vm(at))
        this->read_store(at);
    else
        this->on_vm(at, load_retry, [this, at] { this->load_tables(at); });
}

void world::read_store(std::size_t at)
{
    vm_state& vm = this->vms[at];
    for (std::size_t each = 0; each < this->registry.size(); ++each)
        this->register_upstream(at, each);
    vm.process->set_configuration(this->active);
    vm.ready = true;
}

void world::keep_store_copy()
{
    this->kept = this->stored;
}

void world::restore_store()
{
    this->stored = this->kept;
    ++this->store_generation;
    for (std::size_t at = 0; at < this->vms.size(); ++at)
        this->on_vm(at, registry_delay,
                    [this, at]
                    { this->vms[at].process->fleet().note_store_restored(this->now()); });
}

} // namespace pistachiospan::world
