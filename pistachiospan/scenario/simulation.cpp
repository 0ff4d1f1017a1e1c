#include "pistachiospan/scenario/internal/simulation.hpp"

#include <algorithm>

namespace pistachiospan::scenario::internal
{

namespace
{

using namespace std::chrono_literals;

constexpr duration upstream_latency = 250us; // one way, within a data centre
constexpr duration sample_interval = 100ms;
constexpr duration lookup_ttl = 5s;
constexpr duration vm_list_lag = 2s;
constexpr duration platform_timeout = 2s;
constexpr duration platform_latency = 4ms;
constexpr duration patience = 1s; // of a caller, after the deadline of its request
constexpr duration repeat_delay = 200ms;
constexpr std::uint32_t max_attempts = 6;
constexpr std::uint32_t max_connects = 5;
constexpr std::chrono::seconds wall_start(1'796'353'200);

bool matches(const store::vm_entry& entry, const std::string& name)
{
    return entry.id.value == name || entry.data_centre == name || entry.region == name;
}

std::string header_value(const entry::header_list& headers, std::string_view name)
{
    for (const auto& [field, value] : headers)
        if (field == name)
            return value;
    return {};
}

// What the upstream echoes, so that a swapped answer is noticed.
std::string identity_of(const entry::upstream_request& call)
{
    const std::string key = header_value(call.headers, "Idempotency-Key");
    return key.empty() ? call.request_id : key;
}

} // namespace

// Platform access of one process: answers wait while the process is frozen.
class gated_platform : public store::table,
                       public store::object_store,
                       public store::vm_list
{
public:
    gated_platform(store::testing::fake_store& behind,
                   std::function<void(std::function<void()>)> deliver)
        : behind(behind), deliver(std::move(deliver))
    {
    }

    void get(std::string key, store::handler<std::optional<store::row>> done) override
    {
        this->behind.get(std::move(key), this->gate(std::move(done)));
    }
    void scan(std::string prefix, store::handler<std::vector<store::row>> done) override
    {
        this->behind.scan(std::move(prefix), this->gate(std::move(done)));
    }
    void transact(std::vector<store::conditional_write> writes,
                  store::handler<store::transaction_outcome> done) override
    {
        this->behind.transact(std::move(writes), this->gate(std::move(done)));
    }
    void put(std::string name, std::string bytes, store::handler<bool> done) override
    {
        this->behind.put(std::move(name), std::move(bytes), this->gate(std::move(done)));
    }
    void get(std::string name, store::handler<std::string> done) override
    {
        this->behind.get(std::move(name), this->gate(std::move(done)));
    }
    void list(store::handler<std::vector<store::vm_entry>> done) override
    {
        this->behind.list(this->gate(std::move(done)));
    }

private:
    template <class T>
    store::handler<T> gate(store::handler<T> done)
    {
        return [this, done = std::move(done)](result<T> answer)
        {
            this->deliver([done, answer = std::move(answer)] { done(answer); });
        };
    }

    store::testing::fake_store& behind;
    std::function<void(std::function<void()>)> deliver;
};

// One process of an entry daemon. A frozen one keeps what arrives for later.
struct process
{
    process(store::testing::fake_platform& platform, store::vm_entry entry,
            incarnation number)
        : entry(std::move(entry)), number(number), store(platform),
          gate(this->store,
               [this](std::function<void()> action) { this->deliver(std::move(action)); })
    {
        this->store.timeout = platform_timeout;
        this->store.link.latency = platform_latency;
    }

    void deliver(std::function<void()> action)
    {
        if (this->frozen)
            this->inbox.push_back(std::move(action));
        else
            action();
    }

    store::vm_entry entry;
    incarnation number;
    bool frozen = false;
    std::deque<std::function<void()>> inbox;
    store::testing::fake_store store;
    gated_platform gate;
    std::unique_ptr<entry::node> node;
};

struct simulation::pending_relay
{
    std::weak_ptr<process> from;
    std::weak_ptr<process> to;
    entry::relay_handler done;
};

struct simulation::pending_call
{
    std::weak_ptr<process> from;
    std::string address;
    entry::upstream_handler done;
};

struct simulation::load_state
{
    std::vector<std::pair<std::string, double>> vms; // weights of the look-up answer
    std::string key_prefix;
    time_point ends;
};

struct simulation::operator_session
{
    operator_session(store::testing::fake_platform& platform,
                     const edit::editor_options& options)
        : store(platform), command(this->store, this->store, options)
    {
        this->store.timeout = platform_timeout;
        this->store.link.latency = platform_latency;
    }

    store::testing::fake_store store;
    edit::editor command;
};

simulation::simulation(simulation_options given)
    : platform({.seed = given.seed, .start = time_point(1h)}),
      began(time_point(1h + 10s)), options(std::move(given)), random(this->options.seed),
      clock(time_point(1h)), next_tick(this->began), next_sample(this->began)
{
    this->platform.vm_list_lag = vm_list_lag;
    for (const auto& [name, group] : this->options.entries->groups)
        for (const catalogue::upstream& server : group.upstreams)
            this->upstreams[server.address].slots = group.slots;
    this->new_operator().command.apply(
        this->wall(),
        {.edit_id = "first", .who = "operator", .text = this->options.catalogue_text},
        [](const result<edit::edit_outcome>&) {});
    this->platform.vms.set(this->clock, this->options.vms);
    this->run_events(this->began);
    for (const store::vm_entry& entry : this->options.vms)
        this->start(entry);
}

simulation::~simulation()
{
    // Nodes refer to the simulation through their hooks.
    this->processes.clear();
}

void simulation::schedule(time_point when, std::function<void()> action)
{
    this->events.emplace(std::max(when, this->clock), std::move(action));
}

void simulation::schedule_at(const std::weak_ptr<process>& where, time_point when,
                             std::function<void()> action)
{
    this->schedule(when,
                   [where, action = std::move(action)]
                   {
                       if (const auto there = where.lock())
                           there->deliver(action);
                   });
}

void simulation::run_events(time_point until)
{
    while (true)
    {
        const auto other = this->platform.next_event();
        const time_point own =
            this->events.empty() ? time_point::max() : this->events.begin()->first;
        const time_point next = std::min(own, other.value_or(time_point::max()));
        if (next > until)
            break;
        this->clock = std::max(this->clock, next);
        if (other && *other <= own)
        {
            this->platform.advance(this->clock);
            continue;
        }
        this->platform.advance(this->clock);
        if (this->events.empty())
            continue;
        auto event = this->events.extract(this->events.begin());
        event.mapped()();
    }
    this->clock = until;
    this->platform.advance(until);
}

void simulation::run_until(duration since_start)
{
    const time_point until = this->began + since_start;
    while (this->next_tick <= until)
    {
        this->run_events(this->next_tick);
        std::vector<std::shared_ptr<process>> ready;
        for (const auto& [vm, each] : this->processes)
            if (!each->frozen)
                ready.push_back(each);
        for (const auto& each : ready)
            each->node->tick(this->clock, this->wall());
        if (this->clock >= this->next_sample)
            this->sample();
        this->next_tick += entry::tick_interval;
    }
    this->run_events(until);
}

// Notes versions and ends VMs that have drained.
void simulation::sample()
{
    this->next_sample = this->clock + sample_interval;
    catalogue_version lowest = std::numeric_limits<catalogue_version>::max();
    std::vector<std::string> done;
    for (const auto& [vm, each] : this->processes)
    {
        const entry::node_status status = each->node->status(this->clock);
        catalogue_version& highest = this->highest[{vm, each->number}];
        if (status.active_version < highest)
            ++this->seen.versions_fallen;
        highest = std::max(highest, status.active_version);
        lowest = std::min(lowest, status.active_version);
        if (!each->frozen && each->node->drained(this->clock))
            done.push_back(vm);
    }
    for (accepted_edit& each : this->seen.edits)
        if (!each.in_force && lowest >= each.version && !this->processes.empty())
            each.in_force = this->clock;
    for (const std::string& vm : done)
    {
        this->seen.lefts[vm] = this->clock;
        this->end_process(vm, true);
    }
}

wall_time simulation::wall() const
{
    return wall_time(duration(wall_start) + this->clock.time_since_epoch());
}

duration simulation::jittered(duration base)
{
    return duration(std::uniform_int_distribution<duration::rep>(
        base.count() * 9 / 10, base.count() * 11 / 10)(this->random));
}

duration simulation::latency(const store::vm_entry& from, const store::vm_entry& to)
{
    if (from.region != to.region)
        return this->jittered(this->options.region_latency);
    if (from.data_centre != to.data_centre)
        return this->jittered(this->options.data_centre_latency);
    return this->jittered(upstream_latency);
}

std::shared_ptr<process> simulation::running(const std::string& vm) const
{
    const auto found = this->processes.find(vm);
    return found == this->processes.end() ? nullptr : found->second;
}

bool simulation::is_cut(const store::vm_entry& from, const store::vm_entry& to) const
{
    return std::any_of(this->cuts.begin(), this->cuts.end(),
                       [&](const auto& each)
                       {
                           const auto& [source, target] = each;
                           if (source == "all")
                               return matches(to, target) && !matches(from, target);
                           if (target == "all")
                               return matches(from, source) && !matches(to, source);
                           return matches(from, source) && matches(to, target);
                       });
}

void simulation::cut_platform(process& at)
{
    at.store.link.silent =
        std::any_of(this->cuts.begin(), this->cuts.end(),
                    [&](const auto& each) {
                        return each.second == "platform" && matches(at.entry, each.first);
                    });
}

void simulation::cut(const std::string& from, const std::string& to, bool both_ways)
{
    this->cuts.emplace_back(from, to);
    if (both_ways && to != "platform")
        this->cuts.emplace_back(to, from);
    for (const auto& [vm, each] : this->processes)
        this->cut_platform(*each);
}

void simulation::heal()
{
    this->cuts.clear();
    for (const auto& [vm, each] : this->processes)
        this->cut_platform(*each);
}

void simulation::start(const store::vm_entry& entry)
{
    const std::string& vm = entry.id.value;
    const incarnation number = ++this->incarnations[vm];
    const auto made = std::make_shared<process>(this->platform, entry, number);
    this->processes[vm] = made;
    this->cut_platform(*made);
    entry::node_options node_options{.self = entry,
                                     .self_incarnation = number,
                                     .secret = this->options.secret,
                                     .store_region = this->options.store_region,
                                     .seed = hash_bytes(vm, this->options.seed + number)};
    for (const store::vm_entry& seed : this->options.seeds)
        if (seed.id != entry.id)
            node_options.seeds.push_back(seed);
    made->node = std::make_unique<entry::node>(
        std::move(node_options),
        entry::platform_access{made->gate, made->gate, made->gate},
        this->make_hooks(made));
}

entry::node_hooks simulation::make_hooks(const std::weak_ptr<process>& owner)
{
    entry::node_hooks made;
    made.send = [this, owner](const vm_id& to, const std::string&, std::string_view type,
                              const wire::body& content)
    {
        this->send(owner, to, std::string(type), content);
    };
    made.relay = [this, owner](const vm_id& to, const std::string&,
                               entry::relay_request outgoing, duration timeout,
                               entry::relay_handler done)
    {
        this->relay(owner, to, std::move(outgoing), timeout, std::move(done));
    };
    made.call_upstream =
        [this, owner](entry::upstream_request call, entry::upstream_handler done)
    {
        return this->call_upstream(owner, std::move(call), std::move(done));
    };
    // The upstream goes on: a cancellation may come too late.
    made.cancel_upstream = [this](entry::upstream_call_id id)
    {
        this->calls.erase(id);
    };
    made.on_finished = [this](const entry::decision_record& record)
    {
        this->note_decision(record);
    };
    return made;
}

void simulation::kill(const std::string& vm)
{
    this->end_process(vm, false);
}

void simulation::end_process(const std::string& vm, bool graceful)
{
    const auto ended = this->running(vm);
    if (!ended)
        return;
    this->processes.erase(vm);
    this->platform.vms.remove(this->clock, ended->entry.id);
    for (auto next = this->relays.begin(); next != this->relays.end();)
    {
        const auto each = next++;
        if (each->second.to.lock() != ended)
            continue;
        this->seen.cut_off += graceful ? 1 : 0;
        const std::uint64_t id = each->first;
        this->schedule(this->clock + this->options.region_latency,
                       [this, id] {
                           this->end_relay(id, failure(errc::unknown_outcome,
                                                       "the connection was closed"));
                       });
    }
    for (std::size_t index = 0; index < this->attempts.size(); ++index)
    {
        const attempt& each = this->attempts[index];
        if (!each.open || each.at.lock() != ended)
            continue;
        this->seen.cut_off += graceful ? 1 : 0;
        this->schedule(this->clock + this->options.client_latency,
                       [this, index] { this->lose(index); });
    }
    std::erase_if(this->calls,
                  [&](const auto& each) { return each.second.from.lock() == ended; });
    ended->inbox.clear();
    ended->node.reset();
}

void simulation::restart(const std::string& vm)
{
    this->end_process(vm, false);
    const auto entry =
        std::find_if(this->options.vms.begin(), this->options.vms.end(),
                     [&](const auto& each) { return each.id.value == vm; });
    this->platform.vms.add(this->clock, *entry);
    this->start(*entry);
}

void simulation::freeze(const std::string& vm, duration length)
{
    const auto target = this->running(vm);
    if (!target)
        return;
    target->frozen = true;
    this->schedule(this->clock + length,
                   [where = std::weak_ptr<process>(target)]
                   {
                       const auto there = where.lock();
                       if (!there)
                           return;
                       there->frozen = false;
                       // What arrived comes before the first tick: the worse order.
                       while (!there->inbox.empty())
                       {
                           const auto action = std::move(there->inbox.front());
                           there->inbox.pop_front();
                           action();
                       }
                   });
}

void simulation::leave(const std::string& vm)
{
    const auto target = this->running(vm);
    if (!target)
        return;
    this->seen.leaves[vm] = this->clock;
    (void)this->platform.vms.mark_leaving(this->clock, target->entry.id);
    target->deliver([this, node = target->node.get()]
                    { node->begin_drain(this->clock); });
}

void simulation::send(const std::weak_ptr<process>& from, const vm_id& to,
                      std::string type, wire::body content)
{
    const auto source = from.lock();
    const auto target = this->running(to.value);
    const bool lost =
        std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss;
    if (!source || !target || lost || this->is_cut(source->entry, target->entry))
        return;
    const time_point when = this->clock + this->latency(source->entry, target->entry);
    this->schedule_at(target, when,
                      [this, node = target->node.get(), sender = source->entry.id,
                       number = source->number, type = std::move(type),
                       content = std::move(content)]
                      { node->receive(this->clock, sender, number, type, content); });
}

void simulation::relay(const std::weak_ptr<process>& from, const vm_id& to,
                       entry::relay_request outgoing, duration timeout,
                       entry::relay_handler done)
{
    const std::uint64_t id = this->next_id++;
    const auto source = from.lock();
    const auto target = this->running(to.value);
    this->relays[id] = {from, target, std::move(done)};
    this->schedule(
        this->clock + timeout, [this, id]
        { this->end_relay(id, failure(errc::timeout, "no answer of the peer")); });
    if (!source || !target)
        return this->schedule(
            this->clock + this->options.region_latency, [this, id]
            { this->end_relay(id, failure(errc::unavailable, "connection refused")); });
    if (this->is_cut(source->entry, target->entry))
        return;
    const store::vm_entry home = source->entry;
    const store::vm_entry away = target->entry;
    const auto answered = [this, id, home, away](entry::answer made)
    {
        if (this->is_cut(away, home))
            return;
        this->schedule(this->clock + this->latency(away, home),
                       [this, id, made = std::move(made)]
                       { this->end_relay(id, entry::relay_answer{made}); });
    };
    this->schedule_at(
        target, this->clock + this->latency(home, away),
        [this, node = target->node.get(), answered, outgoing = std::move(outgoing)]
        { node->submit_relayed(this->clock, this->wall(), outgoing, answered); });
}

void simulation::end_relay(std::uint64_t id, result<entry::relay_answer> outcome)
{
    auto found = this->relays.extract(id);
    const auto source = found.empty() ? nullptr : found.mapped().from.lock();
    if (!source)
        return;
    source->deliver([this, done = std::move(found.mapped().done),
                     outcome = std::move(outcome)] { done(this->clock, outcome); });
}

entry::upstream_call_id simulation::call_upstream(const std::weak_ptr<process>& from,
                                                  entry::upstream_request call,
                                                  entry::upstream_handler done)
{
    const entry::upstream_call_id id = this->next_id++;
    this->calls[id] = {from, call.address, std::move(done)};
    this->schedule(this->clock + call.timeout,
                   [this, id] {
                       this->end_call(id, 0us, failure(errc::timeout, "deadline passed"));
                   });
    this->schedule(this->clock + upstream_latency,
                   [this, id, call = std::move(call)] { this->arrive(call, id); });
    return id;
}

void simulation::arrive(const entry::upstream_request& call, entry::upstream_call_id id)
{
    fake_upstream& target = this->upstreams[call.address];
    if (target.down)
        return this->end_call(id, upstream_latency,
                              failure(errc::unavailable, "connection refused"));
    if (target.active >= target.slots)
    {
        ++this->seen.over_slots;
        return this->end_call(
            id, upstream_latency,
            entry::upstream_answer{.status = 503, .headers = {{"X-Not-Run", "1"}}});
    }
    ++target.active;
    target.last_start = this->clock;
    this->note_run(call);
    const duration base = this->options.service_time;
    const duration service =
        target.extra + duration(std::uniform_int_distribution<duration::rep>(
                           base.count() / 2, base.count() * 3 / 2)(this->random));
    // The upstream stops work at the deadline.
    const bool in_time = service < call.timeout;
    this->schedule(this->clock + std::min(service, call.timeout),
                   [this, id, &target, born = target.generation, in_time,
                    identity = identity_of(call)]
                   {
                       if (target.generation != born)
                           return;
                       --target.active;
                       entry::upstream_answer made{.status = 200, .body = identity};
                       if (target.drain_signal)
                           made.headers.emplace_back("Drain", "1");
                       if (in_time)
                           this->end_call(id, upstream_latency, std::move(made));
                   });
}

void simulation::note_run(const entry::upstream_request& call)
{
    const std::size_t index = std::stoull(call.request_id);
    attempt& of = this->attempts.at(index);
    ++of.runs;
    const load_options& load = this->loads[this->operations[of.operation].load];
    const auto& methods = this->options.entries->routes.at(load.route).idempotent_methods;
    if (std::find(methods.begin(), methods.end(), load.method) != methods.end())
        return;
    if (++this->runs_by_identity[identity_of(call)] > 1)
        ++this->seen.duplicates;
}

void simulation::end_call(entry::upstream_call_id id, duration delay,
                          result<entry::upstream_answer> outcome)
{
    this->schedule(this->clock + delay,
                   [this, id, outcome = std::move(outcome)]
                   {
                       auto found = this->calls.extract(id);
                       const auto from =
                           found.empty() ? nullptr : found.mapped().from.lock();
                       if (!from)
                           return;
                       from->deliver([this, done = std::move(found.mapped().done),
                                      outcome] { done(this->clock, outcome); });
                   });
}

void simulation::set_upstream_down(const std::string& address, bool down)
{
    fake_upstream& target = this->upstreams[address];
    target.down = down;
    if (!down)
        return;
    ++target.generation;
    target.active = 0;
    for (const auto& [id, call] : this->calls)
        if (call.address == address)
            this->end_call(id, upstream_latency,
                           failure(errc::unknown_outcome, "the connection was closed"));
}

// Requests of killed VMs that had no decision yet are missing from the admissions.
void simulation::note_decision(const entry::decision_record& record)
{
    using entry::refusal_code;
    static const std::set<refusal_code> before_admission{
        refusal_code::rate_limited,   refusal_code::stale_configuration,
        refusal_code::unknown_key,    refusal_code::missing_key,
        refusal_code::no_route,       refusal_code::not_ready,
        refusal_code::body_too_large, refusal_code::overloaded};
    if (record.relayed_in || record.account.empty() ||
        before_admission.contains(record.code))
        return;
    this->seen.admissions[record.account].push_back(this->clock - record.total +
                                                    record.limit_wait);
}

void simulation::add_load(load_options load)
{
    const std::size_t index = this->loads.size();
    this->load_states.push_back({.ends = this->clock + load.length});
    this->loads.push_back(std::move(load));
    this->refresh(index);
    this->begin_operation(index);
}

// Takes a look-up answer from any VM that responds, as a caller's cache does.
void simulation::refresh(std::size_t load)
{
    load_state& state = this->load_states[load];
    std::vector<std::shared_ptr<process>> responding;
    for (const auto& [vm, each] : this->processes)
        if (!each->frozen)
            responding.push_back(each);
    if (!responding.empty())
    {
        const std::size_t choice = std::uniform_int_distribution<std::size_t>(
            0, responding.size() - 1)(this->random);
        const auto answer =
            responding[choice]->node->lookup(this->wall(), this->loads[load].route);
        if (answer)
        {
            state.vms.clear();
            for (const nlohmann::json& vm : answer.value()["entry_vms"])
                state.vms.emplace_back(vm["vm"].get<std::string>(),
                                       vm["weight"].get<double>());
            state.key_prefix =
                answer.value().value("idempotency_key_prefix", std::string());
        }
    }
    if (this->clock < state.ends)
        this->schedule(this->clock + this->jittered(lookup_ttl),
                       [this, load] { this->refresh(load); });
}

std::string simulation::pick_vm(std::size_t load)
{
    if (!this->loads[load].vm.empty())
        return this->loads[load].vm;
    const load_state& state = this->load_states[load];
    std::vector<double> weights;
    for (const auto& [vm, weight] : state.vms)
        weights.push_back(weight);
    if (std::any_of(weights.begin(), weights.end(), [](double each) { return each > 0; }))
        return state
            .vms[std::discrete_distribution<std::size_t>(weights.begin(),
                                                         weights.end())(this->random)]
            .first;
    const std::size_t choice = std::uniform_int_distribution<std::size_t>(
        0, this->options.vms.size() - 1)(this->random);
    return this->options.vms[choice].id.value;
}

void simulation::begin_operation(std::size_t load)
{
    const load_options& options = this->loads[load];
    load_state& state = this->load_states[load];
    if (this->clock >= state.ends)
        return;
    const std::size_t index = this->operations.size();
    operation made{.load = load, .number = index};
    const std::string suffix = "key-" + std::to_string(index);
    if (options.idempotency == key_kind::own)
        made.idempotency_key = suffix;
    if (options.idempotency == key_kind::issued)
        made.idempotency_key = state.key_prefix + suffix;
    this->operations.push_back(std::move(made));
    this->begin_attempt(index);
    const auto gap = duration(static_cast<duration::rep>(1e6 / options.rate));
    this->schedule(this->clock + this->jittered(gap),
                   [this, load] { this->begin_operation(load); });
}

void simulation::begin_attempt(std::size_t operation)
{
    ++this->operations[operation].attempts;
    this->connect(operation, 1);
}

// A refused connection sent nothing, so the caller tries another VM at once.
void simulation::connect(std::size_t operation, std::uint32_t tries)
{
    const std::string vm = this->pick_vm(this->operations[operation].load);
    const auto arrived = [this, operation, tries, vm]
    {
        const auto target = this->running(vm);
        if (!target && tries < max_connects)
            return this->schedule(this->clock + this->options.client_latency,
                                  [this, operation, tries]
                                  { this->connect(operation, tries + 1); });
        if (!target)
            return this->end_attempt(operation, "unreachable", false, repeat_delay);
        const std::size_t index = this->attempts.size();
        this->attempts.push_back({.operation = operation, .at = target});
        const struct operation& asked = this->operations[operation];
        const load_options& load = this->loads[asked.load];
        const catalogue::route& route = this->options.entries->routes.at(load.route);
        entry::caller_request request{.method = load.method,
                                      .target = route.path_prefix + "/item-" +
                                                std::to_string(operation),
                                      .key = load.key,
                                      .idempotency_key = asked.idempotency_key,
                                      .request_id = std::to_string(index),
                                      .body = std::string(load.size, 'x')};
        this->schedule(this->clock + route.deadline + patience,
                       [this, index] { this->lose(index); });
        const auto answered = [this, index](entry::answer made)
        {
            this->schedule(this->clock + this->options.client_latency,
                           [this, index, made = std::move(made)]
                           { this->take_answer(index, made); });
        };
        target->deliver(
            [this, node = target->node.get(), request = std::move(request), answered]
            { node->submit(this->clock, this->wall(), request, answered); });
    };
    this->schedule(this->clock + this->options.client_latency, arrived);
}

void simulation::take_answer(std::size_t index, const entry::answer& made)
{
    attempt& of = this->attempts[index];
    if (!std::exchange(of.open, false))
        return;
    const operation& asked = this->operations[of.operation];
    using entry::refusal_code;
    if (made.refusal_details.code == refusal_code::none)
    {
        const std::string expected =
            asked.idempotency_key.empty() ? std::to_string(index) : asked.idempotency_key;
        if (made.status == 200 && made.body != expected)
            ++this->seen.wrong_answers;
        return this->end_attempt(of.operation, made.status == 200 ? "answered" : "failed",
                                 made.status == 200, repeat_delay);
    }
    of.said_not_run =
        made.refusal_details.execution == entry::execution_state::not_executed;
    static const std::set<refusal_code> final{
        refusal_code::rate_limited, refusal_code::unknown_key,
        refusal_code::missing_key,  refusal_code::no_route,
        refusal_code::key_reused,   refusal_code::body_too_large};
    this->end_attempt(of.operation,
                      std::string(entry::name_of(made.refusal_details.code)),
                      final.contains(made.refusal_details.code),
                      std::max(repeat_delay, made.refusal_details.retry_after));
}

void simulation::lose(std::size_t index)
{
    attempt& of = this->attempts[index];
    if (std::exchange(of.open, false))
        this->end_attempt(of.operation, "lost", false, repeat_delay);
}

void simulation::end_attempt(std::size_t index, const std::string& result, bool final,
                             duration wait)
{
    operation& of = this->operations[index];
    if (!final && this->options.repeat_lost && !of.idempotency_key.empty() &&
        of.attempts < max_attempts)
        return this->schedule(this->clock + wait,
                              [this, index] { this->begin_attempt(index); });
    of.result = result;
    of.ended = this->clock;
}

simulation::operator_session& simulation::new_operator()
{
    return this->operators.emplace_back(
        this->platform,
        edit::editor_options{.after = [this](duration wait, std::function<void()> action)
                             {
                                 this->schedule(this->clock + wait, std::move(action));
                             }});
}

void simulation::note_edit(const std::string& id,
                           const result<edit::edit_outcome>& outcome)
{
    if (outcome)
        this->seen.edits.push_back({outcome.value().version, this->clock, std::nullopt});
    else
        this->seen.failed_edits.push_back(id + ": " + outcome.error().message);
}

void simulation::edit(std::string id,
                      std::function<result<std::string>(const std::string&)> change)
{
    operator_session& session = this->new_operator();
    session.command.current(
        [this, id = std::move(id), change = std::move(change),
         &session](const result<edit::snapshot>& base)
        {
            if (!base)
                return this->note_edit(id, base.error());
            const auto text = change(base.value().text);
            if (!text)
                return this->note_edit(id, text.error());
            session.command.apply(this->wall(),
                                  {.edit_id = id,
                                   .who = "operator",
                                   .text = text.value(),
                                   .base_version = base.value().catalogue_head.version},
                                  [this, id](const result<edit::edit_outcome>& outcome)
                                  { this->note_edit(id, outcome); });
        });
}

void simulation::drain(const std::string& id, const std::string& upstream)
{
    this->seen.drains[upstream] = this->clock;
    this->new_operator().command.drain(
        this->wall(), {.edit_id = id, .who = "operator", .address = upstream},
        [this, id](const result<edit::edit_outcome>& outcome)
        { this->note_edit(id, outcome); });
}

} // namespace pistachiospan::scenario::internal
