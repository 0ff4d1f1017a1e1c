#include "pistachiospan/config/internal/simulated_fleet.hpp"

#include <algorithm>

namespace pistachiospan::config::internal
{

namespace
{

constexpr std::string_view heartbeat_type = "heartbeat";
constexpr std::string_view secret = "simulated fleet";

} // namespace

// The table as one VM accesses it. A VM with a store outage gets no answer.
class simulated_table final : public store::table
{
public:
    simulated_table(simulated_fleet& fleet, std::size_t reader)
        : fleet(fleet), reader(reader)
    {
    }

    void get(std::string key, store::handler<std::optional<store::row>> done) override
    {
        simulated_fleet& simulation = this->fleet;
        if (simulation.is_store_down &&
            simulation.is_store_down(simulation.vm(this->reader)))
            return;
        ++simulation.store_read_count;
        const duration one_way = simulation.settings.store_latency / 2;
        simulation.schedule_after(one_way,
                                  [&simulation, one_way, key = std::move(key), done]
                                  {
                                      std::optional<store::row> found;
                                      if (const auto at = simulation.rows.find(key);
                                          at != simulation.rows.end())
                                          found = at->second;
                                      simulation.schedule_after(one_way, [done, found]
                                                                { done(found); });
                                  });
    }

    void scan(std::string, store::handler<std::vector<store::row>> done) override
    {
        done(failure(errc::unavailable, "not simulated"));
    }

    void transact(std::vector<store::conditional_write>,
                  store::handler<store::transaction_outcome> done) override
    {
        done(failure(errc::unavailable, "not simulated"));
    }

private:
    simulated_fleet& fleet;
    std::size_t reader;
};

// The object store as one VM accesses it. A VM with a store outage gets no answer.
class simulated_objects final : public store::object_store
{
public:
    simulated_objects(simulated_fleet& fleet, std::size_t reader)
        : fleet(fleet), reader(reader)
    {
    }

    void put(std::string, std::string, store::handler<bool> done) override
    {
        done(failure(errc::unavailable, "not simulated"));
    }

    void get(std::string name, store::handler<std::string> done) override
    {
        simulated_fleet& simulation = this->fleet;
        if (simulation.is_store_down &&
            simulation.is_store_down(simulation.vm(this->reader)))
            return;
        ++simulation.store_read_count;
        const auto at = simulation.stored_objects.find(name);
        result<std::string> answer = failure(errc::not_found, "no such object");
        if (at != simulation.stored_objects.end())
            answer = at->second;
        simulation.schedule_after(simulation.settings.store_latency,
                                  [done, answer] { done(answer); });
    }

private:
    simulated_fleet& fleet;
    std::size_t reader;
};

simulated_fleet::simulated_fleet(simulation_options options)
    : settings(std::move(options)), random(this->settings.seed)
{
    this->parse = [](catalogue_version, std::string_view) -> result<void>
    {
        return boost::outcome_v2::success();
    };
    for (const simulated_data_centre& centre : this->settings.data_centres)
        for (std::size_t number = 0; number < centre.vms; ++number)
        {
            auto added = std::make_unique<simulated_vm>();
            added->index = this->vms.size();
            const std::string digits = std::to_string(1000 + added->index).substr(1);
            added->entry = {.id = {"vm-" + digits},
                            .address = "10.0.0." + digits + ":7000",
                            .caller_address = "10.0.0." + digits + ":80",
                            .data_centre = centre.name,
                            .region = centre.region};
            this->index_by_id[added->entry.id] = added->index;
            this->vms.push_back(std::move(added));
        }
    this->edit("[catalogue]\nname = first\n");
    for (std::size_t index = 0; index < this->vms.size(); ++index)
        this->start(index);
}

std::string simulated_fleet::digest(std::string_view text)
{
    return hmac_hex("digest", text);
}

void simulated_fleet::schedule_after(duration delay, std::function<void()> action)
{
    this->queue.push({this->clock + delay, this->order++, std::move(action)});
}

void simulated_fleet::run(duration span)
{
    const time_point end = this->clock + span;
    while (!this->queue.empty() && this->queue.top().at <= end)
    {
        const std::function<void()> action = this->queue.top().action;
        this->clock = this->queue.top().at;
        this->queue.pop();
        action();
    }
    this->clock = end;
}

bool simulated_fleet::chance(double probability)
{
    return probability > 0 &&
           std::uniform_real_distribution<>(0, 1)(this->random) < probability;
}

duration simulated_fleet::random_below(duration span)
{
    if (span <= duration{})
        return {};
    return duration(static_cast<duration::rep>(this->random() %
                                               static_cast<std::uint64_t>(span.count())));
}

void simulated_fleet::kill(std::size_t index)
{
    simulated_vm& vm = this->vm(index);
    vm.alive = false;
    vm.config.reset();
    vm.view.reset();
}

void simulated_fleet::start(std::size_t index)
{
    simulated_vm& vm = this->vm(index);
    this->kill(index);
    vm.alive = true;
    vm.paused_until = {};
    vm.in_force = 0;
    ++vm.current_incarnation;
    std::vector<store::vm_entry> seeds;
    for (const auto& other : this->vms)
        seeds.push_back(other->entry);
    vm.view = std::make_unique<member::membership>(
        member::options{.self = vm.entry,
                        .self_incarnation = vm.current_incarnation,
                        .seeds = seeds,
                        .seed = this->random()});
    vm.table = std::make_unique<simulated_table>(*this, index);
    vm.objects = std::make_unique<simulated_objects>(*this, index);
    vm.message_sealer = std::make_unique<wire::sealer>(
        wire::sealer_options{.self = vm.entry.id,
                             .self_incarnation = vm.current_incarnation,
                             .secret = std::string(secret)});
    vm.message_opener = std::make_unique<wire::opener>(
        wire::opener_options{.self = vm.entry.id, .secret = std::string(secret)});
    vm.config = std::make_unique<replica>(
        options{.self = vm.entry.id,
                .store_region = this->settings.store_region,
                .seed = this->random(),
                .always_polls = this->settings.every_daemon_polls},
        hooks{.parse = [this](catalogue_version number, std::string_view text)
              { return this->parse(number, text); },
              .activate =
                  [&vm](catalogue_version number, std::string_view)
              {
                  vm.regressed = vm.regressed || number < vm.highest_in_force;
                  vm.in_force = number;
                  vm.highest_in_force = std::max(vm.highest_in_force, number);
              },
              .digest = &simulated_fleet::digest,
              .send = [this, index](const vm_id& to, std::string_view type,
                                    const wire::body& content)
              { this->send(index, to, type, content); },
              .report =
                  [&vm](const error& problem)
              {
                  vm.reports.push_back(problem.message);
              }},
        *vm.table, *vm.objects, *vm.view);
    const incarnation process = vm.current_incarnation;
    this->schedule_after(this->random_below(this->settings.tick),
                         [this, index, process] { this->tick(index, process); });
    this->schedule_after(this->random_below(this->settings.list_interval),
                         [this, index, process]
                         { this->refresh_vm_list(index, process); });
}

void simulated_fleet::pause(std::size_t index, duration span)
{
    this->vm(index).paused_until = this->clock + span;
}

void simulated_fleet::tick(std::size_t index, incarnation process)
{
    simulated_vm& vm = this->vm(index);
    if (!vm.alive || vm.current_incarnation != process)
        return;
    if (vm.paused_until > this->clock)
        return this->schedule_after(vm.paused_until - this->clock, [this, index, process]
                                    { this->tick(index, process); });
    vm.config->tick(this->clock);
    vm.config->update(this->clock, *vm.view);
    for (const member::outgoing& message : vm.view->tick(this->clock))
        this->send_heartbeat(index, message);
    this->schedule_after(this->settings.tick,
                         [this, index, process] { this->tick(index, process); });
}

void simulated_fleet::refresh_vm_list(std::size_t index, incarnation process)
{
    simulated_vm& vm = this->vm(index);
    if (!vm.alive || vm.current_incarnation != process)
        return;
    if (vm.paused_until <= this->clock &&
        !(this->is_store_down && this->is_store_down(vm)))
    {
        std::vector<store::vm_entry> entries;
        for (const auto& other : this->vms)
            entries.push_back(other->entry);
        vm.view->on_vm_list(this->clock, entries);
    }
    this->schedule_after(this->settings.list_interval, [this, index, process]
                         { this->refresh_vm_list(index, process); });
}

void simulated_fleet::send_heartbeat(std::size_t from, const member::outgoing& message)
{
    this->send(from, message.to, heartbeat_type, message.message);
}

void simulated_fleet::send(std::size_t from, const vm_id& to, std::string_view type,
                           wire::body content)
{
    if (this->tamper_message)
        this->tamper_message(type, content);
    simulated_vm& sender = this->vm(from);
    simulated_vm& target = this->vm(this->index_by_id.at(to));
    const std::string bytes = sender.message_sealer->seal(to, type, content);
    ++sender.traffic_totals.messages_sent;
    sender.traffic_totals.bytes_sent += bytes.size();
    const int copies = this->chance(this->settings.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        if (this->chance(this->settings.loss) ||
            (this->is_partitioned && this->is_partitioned(sender, target)))
            continue;
        const bool local = sender.entry.data_centre == target.entry.data_centre;
        const duration latency =
            local ? this->settings.local_latency : this->settings.remote_latency;
        this->schedule_after(latency + this->random_below(this->settings.extra_delay),
                             [this, index = target.index, bytes]
                             { this->deliver(index, bytes); });
    }
}

void simulated_fleet::deliver(std::size_t to, const std::string& bytes)
{
    simulated_vm& vm = this->vm(to);
    if (!vm.alive)
        return;
    if (vm.paused_until > this->clock)
        return this->schedule_after(vm.paused_until - this->clock,
                                    [this, to, bytes] { this->deliver(to, bytes); });
    ++vm.traffic_totals.messages_received;
    vm.traffic_totals.bytes_received += bytes.size();
    const result<wire::message> message = vm.message_opener->open(bytes);
    if (message)
        this->receive(vm, message.value());
}

void simulated_fleet::receive(simulated_vm& to, const wire::message& message)
{
    if (message.type == heartbeat_type)
    {
        const auto content = wire::decode<member::heartbeat>(message.content);
        if (!content)
            return;
        const member::heartbeat_result receipt = to.view->on_heartbeat(
            this->clock, message.from, message.from_incarnation, content.value());
        if (!this->settings.every_daemon_polls)
            to.config->on_heartbeat(this->clock, message.from, content.value(), receipt);
        if (receipt.reply)
            this->send_heartbeat(to.index, *receipt.reply);
    }
    else if (message.type == request_type)
    {
        if (const auto content = wire::decode<config_request>(message.content))
            to.config->on_request(this->clock, message.from, content.value());
    }
    else if (message.type == offer_type)
    {
        if (const auto content = wire::decode<config_offer>(message.content))
            to.config->on_offer(this->clock, message.from, content.value());
    }
}

catalogue_version simulated_fleet::accept(std::string text, nlohmann::json difference)
{
    const catalogue_version next = ++this->version;
    this->stored_objects[object_name(next)] = text;
    const auto put = [&](const std::string& key, const nlohmann::json& value)
    {
        store::row& row = this->rows[key];
        row = {.key = key, .value = value.dump(), .rev = row.rev + 1};
    };
    put(std::string(head_key), head{.version = next,
                                    .digest = digest(text),
                                    .edit_id = "edit-" + std::to_string(next),
                                    .object = object_name(next)});
    put(log_key(next), log_entry{.from = next - 1, .difference = std::move(difference)});
    this->current_text = std::move(text);
    return next;
}

catalogue_version simulated_fleet::edit(std::string text)
{
    nlohmann::json difference = make_difference(this->current_text, text);
    return this->accept(std::move(text), std::move(difference));
}

catalogue_version simulated_fleet::edit_without_difference(std::string text)
{
    return this->accept(std::move(text), nlohmann::json());
}

bool simulated_fleet::in_force_everywhere() const
{
    return std::ranges::all_of(this->vms, [this](const auto& vm)
                               { return !vm->alive || vm->in_force == this->version; });
}

bool simulated_fleet::any_regressed() const
{
    return std::ranges::any_of(this->vms, [](const auto& vm) { return vm->regressed; });
}

admission simulated_fleet::may_serve(std::size_t index,
                                     catalogue::unconfirmed_policy policy) const
{
    return this->vms[index]->config->may_serve(this->clock, policy);
}

} // namespace pistachiospan::config::internal
