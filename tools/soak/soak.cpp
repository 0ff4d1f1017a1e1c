#include "tools/soak/soak.hpp"

#include "platform/names.hpp"

#include <array>
#include <csignal>
#include <iomanip>
#include <sstream>

namespace pistachiospan::soak
{

namespace
{

using event_loop::monotonic_now;
using platform::testing::upstream_fault;
namespace names = platform::names;

// The platform's bounds, and the time without faults after which they hold.
constexpr duration calm_time = std::chrono::seconds(3);
constexpr duration configuration_bound = std::chrono::seconds(2);
constexpr duration drain_bound = std::chrono::seconds(2);
constexpr duration recovery_bound = std::chrono::seconds(15);
constexpr duration grace = std::chrono::seconds(3);

// A process that was started or paused this long ago can be stopped cleanly.
constexpr duration settled = std::chrono::seconds(1);

constexpr duration step_length = std::chrono::milliseconds(10);
constexpr duration start_time = std::chrono::seconds(2);
constexpr duration restart_delay = std::chrono::milliseconds(300);
constexpr duration least_pause = std::chrono::milliseconds(100); // between two faults
constexpr std::uint64_t pause_spread_ms = 1100;

// Between two changes of limits, and what upstreams name, in requests per second. Without
// a limit an upstream gets about 30.
constexpr duration least_limit_time = std::chrono::seconds(2);
constexpr std::uint64_t limit_time_spread_ms = 4000;
constexpr std::array<double, 3> limit_rates = {1.5, 5, 12};

// Between two restarts of upstreams under new ids, and the time for which the registry
// keeps the entry of the former one.
constexpr duration least_identity_time = std::chrono::milliseconds(300);
constexpr std::uint64_t identity_time_spread_ms = 1500;
constexpr duration former_entry_time = std::chrono::seconds(3);

// Of the requests after the recovery.
constexpr double least_served = 0.95;

std::string numbered(const std::string& text, std::size_t number)
{
    return text + std::to_string(number);
}

} // namespace

soak::soak(event_base* base, soak_options given)
    : base(base), options(std::move(given)), random(this->options.seed),
      limit_random(this->options.seed + 2), identity_random(this->options.seed + 3),
      began(monotonic_now()), now(this->began), store(base, this->address("0.1:18990")),
      callers(base, this->options.seed + 1)
{
    this->put_configuration();
    for (std::size_t index = 0; index < this->options.upstreams; ++index)
        this->make_upstream(index);
    for (std::size_t index = 0; index < this->options.vms; ++index)
    {
        const std::string link = this->address("0.1:1899") + std::to_string(index + 1);
        this->store_links.push_back(
            std::make_unique<fault_proxy>(base, link, this->address("0.1:18990")));
        const bool is_second = index % 2 == 1 && !this->options.second_daemon.empty();
        this->vms.push_back(std::make_unique<vm_process>(vm_options{
            .daemon = is_second ? this->options.second_daemon : this->options.daemon,
            .directory = this->options.directory,
            .name = numbered("vm-", index + 1),
            .ip = this->address("1.") + std::to_string(index + 1),
            .store = link}));
    }
}

// An address of this run's own part of the loopback range.
std::string soak::address(const std::string& rest) const
{
    return "127." + std::to_string(this->options.network) + '.' + rest;
}

void soak::make_upstream(std::size_t index)
{
    upstream_state made{.id = numbered("u", index)};
    const std::string address =
        this->address("2.") + std::to_string(index + 1) + ":18080";
    made.entry_address = this->address("3.") + std::to_string(index + 1) + ":18080";
    made.server = std::make_unique<platform::testing::upstream_standin>(this->base,
                                                                        made.id, address);
    made.link = std::make_unique<fault_proxy>(this->base, made.entry_address, address);
    made.server->set_processing_time(std::chrono::milliseconds(20));
    this->put_entry(made);
    this->upstreams.push_back(std::move(made));
    this->upstreams.back().server->on_receive(
        [this, index](const http1::request& seen)
        { this->note_arrival(this->upstreams.at(index), seen); });
    this->upstreams.back().server->on_run(
        [this, index](const http1::request& seen)
        { this->note_run(this->upstreams.at(index), seen); });
}

void soak::put_entry(const upstream_state& of)
{
    const bool draining = of.draining_since != time_point();
    this->store.put(std::string(names::upstream_table), of.id,
                    platform::testing::upstream_entry_text(
                        of.entry_address, draining ? "draining" : "ready"));
}

void soak::put_configuration()
{
    ++this->version;
    this->store.put(
        std::string(names::operator_table), std::string(names::configuration_key),
        platform::testing::configuration_text(
            {.version = this->version,
             .key = numbered("key-", static_cast<std::size_t>(this->key_number)),
             .read_route_is_public = false,
             .timeout = std::chrono::milliseconds(900),
             .cold_time = std::chrono::seconds(1)}));
}

std::size_t soak::pick(std::size_t count)
{
    return this->random() % count;
}

void soak::note(const std::string& event)
{
    std::ostringstream line;
    line << std::fixed << std::setprecision(3)
         << std::chrono::duration<double>(this->now - this->began).count() << " s  "
         << event;
    this->happened.push_back(line.str());
}

void soak::break_promise(const std::string& what)
{
    this->note("BROKEN " + what);
    this->broken.push_back(this->happened.back());
}

// Bounds in seconds hold only for a VM that runs, reaches the store, and has met no fault
// for a while, at itself or at the store.
bool soak::undisturbed(const vm_process& vm) const
{
    return vm.running() && !vm.paused && !vm.cut_off && vm.stop_begun == time_point() &&
           this->now - vm.last_fault > calm_time &&
           this->now - this->store_fault_until > calm_time;
}

// A limit holds whether or not the VM reaches the store.
bool soak::runs_steadily(const vm_process& vm) const
{
    return vm.running() && !vm.paused && vm.stop_begun == time_point() &&
           this->now - vm.process_fault > calm_time;
}

void soak::note_run(const upstream_state& at, const http1::request& seen)
{
    const auto value = [&seen](std::string_view name)
    {
        return http1::header_value(seen.headers, name);
    };
    const std::string id = value(names::request_id);
    ++this->runs[id];
    const auto found = this->callers.all().find(id);
    if (found == this->callers.all().end())
    {
        this->break_promise("a request ran that no caller sent: " + id);
        return;
    }
    const sent_request& of = found->second;
    if (!value(names::authorization).empty() || value(names::account) != "shop")
        this->break_promise("upstream saw a key or another account: " + id);
    if (of.order && this->runs[id] > 1)
        this->break_promise("order ran twice: " + id);
    const bool leaving =
        at.draining_since != time_point() && this->now - at.draining_since > drain_bound;
    if (leaving && this->undisturbed(*of.vm) && of.sent > at.draining_since + drain_bound)
        this->break_promise("request " + id + " reached leaving " + at.id);
    const auto key = this->withdrawn.find(of.key);
    if (key != this->withdrawn.end() && this->undisturbed(*of.vm) &&
        of.sent > key->second + configuration_bound)
        this->break_promise("request " + id + " ran with a withdrawn key");
}

void soak::note_arrival(upstream_state& at, const http1::request& seen)
{
    const auto found =
        this->callers.all().find(http1::header_value(seen.headers, names::request_id));
    if (found == this->callers.all().end() || !this->runs_steadily(*found->second.vm))
        return;
    const bool is_answered = at.link->passes_answers() && at.server->answers();
    if (const auto excess =
            at.limit.note_arrival(this->now, found->second.vm->name(), is_answered))
        this->break_promise(at.id + ' ' + *excess);
}

void soak::disturb_vm()
{
    vm_process& vm = *this->vms.at(this->pick(this->vms.size()));
    if (!vm.running())
        return;
    switch (this->pick(5))
    {
    case 0:
        this->note("kill " + vm.name());
        vm.signal(SIGKILL);
        break;
    case 1:
        if (vm.stop_begun == time_point())
        {
            vm.stop_begun = this->now;
            vm.clean_stop = !vm.paused && this->now - vm.process_fault > settled;
        }
        this->note("terminate " + vm.name());
        vm.signal(SIGTERM);
        return;
    case 2:
        this->note("pause " + vm.name());
        vm.signal(SIGSTOP);
        vm.paused = true;
        break;
    case 3:
        this->note("resume " + vm.name());
        vm.signal(SIGCONT);
        vm.paused = false;
        break;
    default:
        this->note("reload " + vm.name());
        vm.signal(SIGHUP);
        return;
    }
    vm.last_fault = this->now;
    vm.process_fault = this->now;
    vm.clean_stop = false;
}

void soak::disturb_link()
{
    const auto fault = static_cast<link_fault>(this->pick(5));
    const std::string kind = numbered("link fault ", static_cast<std::size_t>(fault));
    if (this->pick(2) == 0)
    {
        const std::size_t index = this->pick(this->vms.size());
        this->note(kind + " between store and " + this->vms.at(index)->name());
        this->store_links.at(index)->set_fault(fault);
        this->vms.at(index)->last_fault = this->now;
        this->vms.at(index)->cut_off = fault != link_fault::none;
        return;
    }
    upstream_state& at = this->upstreams.at(this->pick(this->upstreams.size()));
    this->note(kind + " before " + at.id);
    at.link->set_fault(fault);
    at.limit.note_link_change(this->now);
}

void soak::disturb_store()
{
    using platform::testing::store_fault;
    this->store_fault = static_cast<platform::testing::store_fault>(this->pick(4));
    this->store.set_fault(this->store_fault);
    if (this->pick(4) == 0)
        this->store.discard_history();
    this->store_fault_until = this->now;
    this->note(numbered("store fault ", static_cast<std::size_t>(this->store_fault)));
}

void soak::change_keys()
{
    this->withdrawn[numbered("key-", static_cast<std::size_t>(this->key_number))] =
        this->now;
    ++this->key_number;
    this->put_configuration();
    this->note("withdraw a key");
}

void soak::change_upstream()
{
    upstream_state& at = this->upstreams.at(this->pick(this->upstreams.size()));
    const bool was_draining = at.draining_since != time_point();
    if (this->pick(3) == 0)
    {
        const auto fault = static_cast<upstream_fault>(this->pick(5));
        at.server->set_fault(fault);
        this->note(at.id + numbered(" fault ", static_cast<std::size_t>(fault)));
        return;
    }
    at.draining_since = was_draining ? time_point() : this->now;
    this->put_entry(at);
    this->note(at.id + (was_draining ? " ready" : " draining"));
}

// An upstream names a limit, changes it or ends it.
void soak::change_limit()
{
    upstream_state& at =
        this->upstreams.at(this->limit_random() % this->upstreams.size());
    std::optional<double> rate;
    if (!at.limit.rate() || this->limit_random() % 2 == 0)
        rate = limit_rates.at(this->limit_random() % limit_rates.size());
    at.server->set_limit(rate);
    at.limit.name(this->now, rate);
    this->note(at.id + (rate ? " limit " + std::to_string(*rate) : " limit ended"));
    this->next_limit_change =
        this->now + least_limit_time +
        std::chrono::milliseconds(this->limit_random() % limit_time_spread_ms);
}

// An upstream restarts at its address under a new id, and answers are sent twice or no
// longer. Entries of former ids lapse.
void soak::change_identity()
{
    for (upstream_state& each : this->upstreams)
        if (!each.former_id.empty() && this->now >= each.former_entry_until)
            this->store.remove(std::string(names::upstream_table),
                               std::exchange(each.former_id, {}));
    this->next_identity_change =
        this->now + least_identity_time +
        std::chrono::milliseconds(this->identity_random() % identity_time_spread_ms);
    upstream_state& at =
        this->upstreams.at(this->identity_random() % this->upstreams.size());
    at.link->set_repeating(this->identity_random() % 2 == 0);
    if (!at.former_id.empty())
        return;
    at.former_id = std::exchange(at.id, at.id + '+' + std::to_string(++this->restarts));
    at.former_entry_until = this->now + former_entry_time;
    at.server->set_id(at.id);
    at.server->set_limit(std::nullopt);
    at.limit.name(this->now, std::nullopt);
    at.draining_since = {};
    this->put_entry(at);
    this->note(at.former_id + " restarts as " + at.id);
}

void soak::disturb()
{
    const std::size_t kind = this->pick(10);
    if (kind < 3)
        this->disturb_vm();
    else if (kind < 5)
        this->disturb_link();
    else if (kind < 6)
        this->disturb_store();
    else if (kind < 8)
        this->change_upstream();
    else
        this->change_keys();
}

void soak::collect_processes()
{
    for (const auto& vm : this->vms)
    {
        if (!vm->running() && this->now - vm->last_fault > restart_delay)
        {
            this->note("start " + vm->name());
            vm->start(this->now);
        }
        const bool clean = vm->clean_stop;
        const bool was_stopped = vm->stop_begun != time_point();
        const bool has_ended = vm->collect(this->now);
        // Without faults of its own, the soak lets others stop the daemons.
        const bool may_end = was_stopped || vm->was_killed() || !this->options.faults;
        if (has_ended && (vm->has_failed() || !may_end))
            this->break_promise(vm->name() + " ended by itself, wait status " +
                                std::to_string(vm->wait_status()));
        if (has_ended && clean)
            ++this->checked_stops;
        if (clean && vm->running() && this->now - vm->stop_begun > grace)
        {
            this->break_promise(vm->name() + " outlasted the grace time");
            vm->clean_stop = false;
            vm->signal(SIGKILL);
        }
    }
}

void soak::step()
{
    event_loop::one_shot_timer wake(this->base,
                                    [this] { event_base_loopbreak(this->base); });
    wake.start(step_length);
    event_base_dispatch(this->base);
    this->now = monotonic_now();
    if (this->store_fault != platform::testing::store_fault::none)
        this->store_fault_until = this->now;
    this->collect_processes();
    if (this->options.faults && this->now >= this->next_limit_change)
        this->change_limit();
    if (this->options.faults && this->now >= this->next_identity_change)
        this->change_identity();
    this->due += this->options.requests_per_second *
                 std::chrono::duration<double>(step_length).count();
    for (; this->due >= 1; this->due -= 1)
    {
        // Some callers have not heard of the new key.
        const int number =
            this->pick(5) == 0 ? std::max(this->key_number - 1, 0) : this->key_number;
        this->callers.send(this->now, *this->vms.at(this->pick(this->vms.size())),
                           numbered("key-", static_cast<std::size_t>(number)));
    }
}

void soak::run_for(duration span)
{
    const time_point end = monotonic_now() + span;
    while (this->now < end)
        this->step();
}

void soak::heal()
{
    this->note("heal");
    this->next_limit_change = time_point::max();
    this->next_identity_change = time_point::max();
    this->store_fault = platform::testing::store_fault::none;
    this->store.set_fault(this->store_fault);
    for (const auto& link : this->store_links)
        link->set_fault(link_fault::none);
    for (const auto& vm : this->vms)
    {
        vm->signal(SIGCONT);
        vm->paused = false;
        vm->cut_off = false;
        vm->last_fault = this->now;
    }
    for (upstream_state& each : this->upstreams)
    {
        each.link->set_fault(link_fault::none);
        each.link->set_repeating(false);
        if (!each.former_id.empty())
            this->store.remove(std::string(names::upstream_table), each.former_id);
        each.limit.note_link_change(this->now);
        each.server->set_fault(upstream_fault::none);
        each.server->set_limit(std::nullopt);
        each.limit.name(this->now, std::nullopt);
        each.draining_since = {};
        this->put_entry(each);
    }
}

void soak::check_orders()
{
    for (const auto& [id, each] : this->callers.all())
    {
        const auto ran = this->runs.find(id);
        if (each.order && promises_not_run(each.status) && ran != this->runs.end())
            this->break_promise("order " + id + " ran and was answered " +
                                std::to_string(each.status) + " by " + each.vm->name());
        if (each.status == 200 && ran == this->runs.end())
            this->break_promise("request " + id + " was answered and did not run");
    }
    for (const std::string& id : this->callers.foreign())
        this->break_promise("request " + id + " got another one's answer");
}

// A clean stop cuts off no request that an upstream runs.
void soak::check_stops()
{
    for (const auto& [id, each] : this->callers.all())
        if (each.during_clean_stop && each.status == 0 && this->runs.contains(id))
            this->break_promise("request " + id + " was cut off by a clean stop");
}

void soak::check_recovery()
{
    const time_point from = this->now;
    this->run_for(std::chrono::seconds(2));
    std::size_t sent = 0;
    std::size_t served = 0;
    const std::string key = numbered("key-", static_cast<std::size_t>(this->key_number));
    for (const auto& [id, each] : this->callers.all())
        if (each.sent >= from && each.key == key &&
            this->now - each.sent > std::chrono::seconds(1))
        {
            ++sent;
            served += each.status == 200 ? 1 : 0;
        }
    if (static_cast<double>(served) < least_served * static_cast<double>(sent))
        this->break_promise("after the recovery " + std::to_string(served) + " of " +
                            std::to_string(sent) + " requests were served");
}

std::vector<std::string> soak::play()
{
    for (const auto& vm : this->vms)
        vm->start(this->now);
    this->run_for(start_time);
    const time_point end = this->now + this->options.length;
    while (this->now < end)
    {
        if (this->options.faults)
            this->disturb();
        // Series of faults follow each other without a pause.
        if (this->pick(4) != 0)
            this->run_for(least_pause +
                          std::chrono::milliseconds(this->pick(pause_spread_ms)));
    }
    this->heal();
    this->run_for(recovery_bound / 2);
    this->check_recovery();
    this->check_orders();
    this->check_stops();
    return this->broken;
}

std::string soak::summary() const
{
    const auto [sent, served] = this->callers.served_since(time_point());
    std::string refused;
    for (const auto& [reason, count] : this->callers.refusals())
        refused += ", " + reason + ": " + std::to_string(count);
    return std::to_string(sent) + " requests, " + std::to_string(served) + " served, " +
           std::to_string(this->happened.size()) + " events, " +
           std::to_string(this->checked_stops) + " clean stops, " +
           std::to_string(this->restarts) + " restarts under a new id" + refused;
}

} // namespace pistachiospan::soak
