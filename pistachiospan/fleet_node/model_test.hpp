// Simulation of a fleet of VMs with a simulated clock, network and store, for the tests
// of this library.

#ifndef PISTACHIOSPAN_FLEET_NODE_MODEL_TEST_HPP
#define PISTACHIOSPAN_FLEET_NODE_MODEL_TEST_HPP

#include "pistachiospan/fleet_node/fleet_node.hpp"

#include <deque>
#include <map>
#include <memory>
#include <queue>

namespace pistachiospan::fleet_node::test
{

using namespace std::chrono_literals;

inline constexpr duration check_interval = 250ms;
inline constexpr duration tick_interval = 500ms;
inline constexpr duration token_interval = 20ms;

// Bytes of IP and UDP headers per datagram.
inline constexpr std::size_t datagram_header = 28;

struct vm_state
{
    vm_id id;
    std::string data_centre;
    std::string address;
    incarnation started = 0;
    bool alive = false;
    time_point frozen_until;
    bool partitioned = false; // from all other VMs, but not from the store
    int side = 0; // of a partition; VMs on different sides do not reach each other
    bool ready = true;
    bool draining = false;
    std::unique_ptr<node> process;
    std::set<upstreams::upstream_start> leaving_upstreams;
    std::size_t vm_count = 0; // that it assumes
    std::size_t sent = 0;     // bytes
    std::size_t received = 0;
    // Datagrams that the VM sends are lost; it still receives.
    bool outbound_loss = false;
    std::size_t loads_sent = 0; // bytes of the datagrams about the load of upstreams
    std::size_t loads_received = 0;
    std::size_t estimates = 0; // upstreams in the last estimates
};

struct model_options
{
    std::size_t centres = 9;
    std::size_t vms = 297; // in all data centres
    std::vector<configuration::account> accounts;
    std::uint64_t seed = 1;
    double loss = 0; // of datagrams
    // Loads that a VM reports; null: the loads are not shared.
    std::function<std::vector<capacity::upstream_load>(random_engine&)> loads = nullptr;
};

class model
{
public:
    explicit model(model_options settings)
        : options(std::move(settings)), random(options.seed)
    {
        for (std::size_t each = 0; each < this->options.centres; ++each)
            this->places[centre_name(each)] = "region-" + std::to_string(each % 3);
        this->vms.resize(this->options.vms);
        for (std::size_t at = 0; at < this->vms.size(); ++at)
        {
            vm_state& vm = this->vms[at];
            vm.id = {"vm-" + std::to_string(at)};
            vm.data_centre = centre_name(at % this->options.centres);
            vm.address = vm.id.value + ":1";
            this->by_address[vm.address] = at;
            this->after(duration(static_cast<std::int64_t>(this->random() % 300000)),
                        [this, at] { this->start(at); });
        }
    }

    static std::string centre_name(std::size_t index)
    {
        return "dc-" + std::to_string(index);
    }

    void after(duration delay, std::function<void()> action)
    {
        this->events.push({this->now + delay, this->next_event++, std::move(action)});
    }

    void run(duration span)
    {
        const time_point end = this->now + span;
        while (!this->events.empty() && this->events.top().at <= end)
        {
            const event next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.action();
        }
        this->now = end;
    }

    void start(std::size_t at)
    {
        vm_state& vm = this->vms[at];
        vm.alive = true;
        vm.draining = false;
        vm.leaving_upstreams.clear();
        ++vm.started;
        vm.process = std::make_unique<node>(
            this->now,
            node_options{.vm = vm.id,
                         .started = vm.started,
                         .data_centre = vm.data_centre,
                         .places = this->places,
                         .peer_address = vm.address,
                         .caller_address = vm.id.value + ":2",
                         .capacity = at < 3 * this->options.centres ? 0.5 : 0.1},
            this->hooks_of(at));
        vm.process->set_accounts(this->now, this->options.accounts);
        this->every(at, vm.started, check_interval,
                    [this, at] { this->vms[at].process->check(this->now); });
        this->every(at, vm.started, tick_interval,
                    [this, at] { this->vms[at].process->tick(this->now); });
        this->on_vm(at, vm.process->next_check(this->now),
                    [this, at] { this->vms[at].process->check(this->now); });
    }

    void kill(std::size_t at)
    {
        this->vms[at].alive = false;
    }

    void note_leaving(std::size_t at, const upstreams::upstream_start& which)
    {
        this->vms[at].leaving_upstreams.insert(which);
        this->vms[at].process->send_updates(this->now);
    }

    std::size_t coordinator_of(std::size_t centre) const
    {
        for (std::size_t at = centre; at < this->vms.size(); at += this->options.centres)
            if (this->vms[at].alive &&
                this->vms[at].process->role() == cell::role::coordinator)
                return at;
        return this->vms.size();
    }

    std::size_t count(cell::role wanted) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->vms, [wanted](const vm_state& each)
            { return each.alive && each.process->role() == wanted; }));
    }

    // Number of VMs that coordinate or whose coordinator is alive and still coordinates.
    std::size_t settled() const
    {
        std::size_t count = 0;
        for (const vm_state& each : this->vms)
        {
            if (!each.alive)
                continue;
            if (each.process->role() == cell::role::coordinator)
                ++count;
            const auto other = this->by_address.find(each.process->coordinator_address());
            if (other != this->by_address.end() && this->vms[other->second].alive &&
                this->vms[other->second].process->role() == cell::role::coordinator)
                ++count;
        }
        return count;
    }

    // Requests a token at a VM, on behalf of one caller.
    void request(std::size_t at, std::size_t account)
    {
        vm_state& vm = this->vms[at];
        if (!vm.alive || vm.frozen_until > this->now)
            return;
        ++this->requested;
        vm.process->request_token(this->now, account,
                                  this->options.accounts[account].name);
        this->watch_tokens(at);
    }

    void note_admission(std::size_t account, const allowance::admission& decision)
    {
        if (!decision.admitted)
        {
            ++this->refused;
            return;
        }
        std::deque<time_point>& recent = this->admitted[account];
        recent.push_back(this->now);
        while (recent.front() <= this->now - window)
            recent.pop_front();
        this->most[account] = std::max(this->most[account], recent.size());
    }

    static constexpr duration window = 5s;

    model_options options;
    random_engine random;
    upstreams::region_map places;
    time_point now = time_point(1000s);
    std::vector<vm_state> vms;
    std::size_t claims = 0;
    bool store_down = false;
    std::size_t requested = 0;
    std::size_t refused = 0;
    std::map<std::size_t, std::deque<time_point>> admitted; // by account, in the window
    std::map<std::size_t, std::size_t> most;                // admissions in any window

private:
    struct event
    {
        time_point at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.number) < std::tie(this->at, this->number);
        }
    };
    struct stored_row
    {
        cell::claim holder;
        std::uint64_t version = 0;
    };

    node_hooks hooks_of(std::size_t at)
    {
        return {
            .send = [this, at](std::string_view datagram,
                               std::span<const std::string> addresses)
            { this->send(at, datagram, addresses); },
            .claim = [this, at](const cell::claim& due) { this->claim(at, due); },
            .read_coordinators = [this, at] { this->read(at); },
            .state =
                [this, at](time_point)
            {
                const vm_state& vm = this->vms[at];
                return own_state{.ready = vm.ready,
                                 .draining = vm.draining,
                                 .leaving_upstreams = {vm.leaving_upstreams.begin(),
                                                       vm.leaving_upstreams.end()}};
            },
            .services =
                [](time_point)
            {
                return std::vector<upstreams::service_demand>{
                    {.service = "orders", .rate = 3}, {.service = "pages", .rate = 9}};
            },
            .demand_received = [](time_point, const remote_demands&) {},
            .plans =
                [this](time_point)
            {
                upstreams::plan_set plans;
                for (const auto& [centre, region] : this->places)
                    plans["orders"][centre] = plans["pages"][centre] = 0.1;
                return plans;
            },
            .plans_received = [](time_point, const upstreams::plan_set&) {},
            .leaving_received =
                [this, at](time_point,
                           std::span<const upstreams::upstream_start> received)
            { this->learn_leaving(at, received); },
            .notices = [](time_point, bool) { return fleet::upstream_notices(); },
            .notices_received = [](time_point, const fleet::upstream_notices&)
            { return false; },
            .loads = this->loads_hook(),
            .load_estimates =
                [this, at](time_point, std::span<const capacity::upstream_load> received,
                           bool) { this->vms[at].estimates = received.size(); },
            .version_received = [](time_point, const vm_id&, std::uint64_t) {},
            .vm_count_changed = [this, at](std::size_t count)
            { this->vms[at].vm_count = count; },
            .role_changed = [](cell::role) {},
            .token_done =
                [this](allowance::ticket account, const allowance::admission& decision)
            { this->note_admission(account, decision); },
            .upstream_token_done = [](allowance::ticket, const allowance::admission&) {},
            .log =
                [](std::string_view, const nlohmann::ordered_json&) {
                }};
    }

    std::function<std::vector<capacity::upstream_load>(time_point, duration)> loads_hook()
    {
        if (!this->options.loads)
            return nullptr;
        return [this](time_point, duration)
        {
            return this->options.loads(this->random);
        };
    }

    void learn_leaving(std::size_t at,
                       std::span<const upstreams::upstream_start> received)
    {
        vm_state& vm = this->vms[at];
        bool changed = false;
        for (const upstreams::upstream_start& each : received)
            changed = vm.leaving_upstreams.insert(each).second || changed;
        if (changed && vm.process->role() == cell::role::coordinator)
            vm.process->send_updates(this->now);
    }

    // Runs the action on the VM's current process: delayed while the VM is frozen, never
    // if the process has ended.
    void on_vm(std::size_t at, duration delay, const std::function<void()>& action)
    {
        const incarnation started = this->vms[at].started;
        this->after(delay,
                    [this, at, started, action]
                    {
                        const vm_state& vm = this->vms[at];
                        if (!vm.alive || vm.started != started)
                            return;
                        if (vm.frozen_until > this->now)
                            this->on_vm(at, vm.frozen_until - this->now, action);
                        else
                            action();
                    });
    }

    void every(std::size_t at, incarnation started, duration interval,
               const std::function<void()>& action)
    {
        this->on_vm(at, interval,
                    [this, at, started, interval, action]
                    {
                        action();
                        this->every(at, started, interval, action);
                    });
    }

    void watch_tokens(std::size_t at)
    {
        if (this->watched[at] || !this->vms[at].process->waits_for_tokens())
            return;
        this->watched[at] = true;
        this->after(token_interval,
                    [this, at]
                    {
                        this->watched[at] = false;
                        if (!this->vms[at].alive)
                            return;
                        if (this->vms[at].frozen_until <= this->now)
                            this->vms[at].process->tick_tokens(this->now);
                        this->watch_tokens(at);
                    });
    }

    bool reaches(const vm_state& from, const vm_state& to) const
    {
        return !from.partitioned && !to.partitioned && from.side == to.side &&
               !from.outbound_loss;
    }

    duration latency(const vm_state& from, const vm_state& to) const
    {
        if (from.data_centre == to.data_centre)
            return 100us;
        return this->places.at(from.data_centre) == this->places.at(to.data_centre)
                   ? duration(1ms)
                   : duration(12ms);
    }

    void send(std::size_t at, std::string_view datagram,
              std::span<const std::string> addresses)
    {
        vm_state& from = this->vms[at];
        const auto content = std::make_shared<std::string>(datagram);
        for (const std::string& address : addresses)
        {
            from.sent += content->size() + datagram_header;
            if (content->front() == capacity_kind)
                from.loads_sent += content->size() + datagram_header;
            const std::size_t to = this->by_address.at(address);
            const bool lost =
                std::uniform_real_distribution<>(0, 1)(this->random) < this->options.loss;
            if (lost || !this->vms[to].alive || !this->reaches(from, this->vms[to]))
                continue;
            this->on_vm(to, this->latency(from, this->vms[to]),
                        [this, to, content, source = from.address]
                        {
                            vm_state& vm = this->vms[to];
                            vm.received += content->size() + datagram_header;
                            if (content->front() == capacity_kind)
                                vm.loads_received += content->size() + datagram_header;
                            vm.process->receive(this->now, source, *content);
                        });
        }
    }

    void claim(std::size_t at, const cell::claim& due)
    {
        ++this->claims;
        this->on_vm(at, 6ms,
                    [this, at, due] {
                        this->vms[at].process->finish_claim(this->now, this->write(due));
                    });
    }

    result<cell::claim_outcome> write(const cell::claim& due)
    {
        if (this->store_down)
            return failure(errc::unavailable, "store is down");
        stored_row& row = this->rows[due.data_centre];
        if (row.version != due.expected_version)
            return cell::claim_outcome{.answered = true,
                                       .version = row.version,
                                       .holder = row.holder.vm,
                                       .holder_address = row.holder.peer_address};
        row = {.holder = due, .version = ++this->version};
        return cell::claim_outcome{
            .answered = true, .granted = true, .version = row.version};
    }

    void read(std::size_t at)
    {
        this->on_vm(at, 6ms,
                    [this, at]
                    {
                        result<std::map<std::string, std::string>> all =
                            std::map<std::string, std::string>();
                        if (this->store_down)
                            all = failure(errc::unavailable, "store is down");
                        else
                            for (const auto& [centre, row] : this->rows)
                                all.value()[centre] = row.holder.peer_address;
                        this->vms[at].process->finish_coordinator_read(this->now, all);
                    });
    }

    std::priority_queue<event> events;
    std::uint64_t next_event = 0;
    std::map<std::string, std::size_t> by_address;
    std::map<std::string, stored_row> rows;
    std::uint64_t version = 0;
    std::map<std::size_t, bool> watched;
};

} // namespace pistachiospan::fleet_node::test

#endif
