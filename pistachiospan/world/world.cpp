#include "pistachiospan/world/world.hpp"

#include "pistachiospan/store_version/store_version.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pistachiospan::world
{

namespace
{

using namespace std::chrono_literals;

constexpr duration tick_interval = 500ms;
constexpr duration check_interval = 250ms;
constexpr duration token_interval = 20ms;
// From the start of a process until it reads configuration and registry.
constexpr duration setup_time = 132ms;
// A VM is bound by a limit this long after it has passed it on, and this long after it
// was harmed, as the users' rules say.
constexpr duration told_notice = 500ms;
constexpr duration contact_time = 3s;
// Time for an answer of the store.
constexpr duration store_timeout = 2s;
// VMs start within this time of each other.
constexpr duration start_spread = 300ms;

// Time for a connection to an upstream to be accepted.
constexpr duration connect_timeout = 400ms;
// From a crash of an upstream until it starts again.
constexpr duration crash_time = 2s;

constexpr const char* service = "reads";
constexpr const char* host = "a.example";
constexpr const char* prefix = "/read/";
constexpr duration deadline = 1200ms;

std::discrete_distribution<std::size_t> make_popularity(std::size_t objects, double skew)
{
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= objects; ++rank)
        weights.push_back(std::pow(static_cast<double>(rank), -skew));
    return {weights.begin(), weights.end()};
}

std::shared_ptr<const configuration::state>
make_configuration(const world_options& options)
{
    std::vector<configuration::account> accounts = options.accounts;
    for (configuration::account& each : accounts)
        each.keys = {each.name};
    return std::make_shared<const configuration::state>(configuration::content{
        .version = 1,
        .services = {{.name = service,
                      .cold_time = options.cold_time,
                      .cold_rate = options.cold_rate}},
        .accounts = std::move(accounts),
        .routes = {{.name = "read",
                    .host = host,
                    .prefix = prefix,
                    .kind = configuration::repeatability::idempotent,
                    .timeout = deadline,
                    .latency_objective = options.objective,
                    .max_attempts = 2,
                    .open = true,
                    .sticky = true,
                    .targets = {{.service = service}}}}});
}

} // namespace

world::world(world_options given)
    : options(std::move(given)), surges(this->options.accounts.size(), 1),
      random(this->options.seed), active(make_configuration(this->options)),
      popularity(make_popularity(this->options.objects, this->options.skew))
{
    for (std::size_t each = 0; each < this->options.data_centres; ++each)
        this->regions[this->data_centre_name(each)] =
            "region-" + std::to_string(each % this->options.regions);
    for (std::size_t each = 0; each < this->options.upstreams; ++each)
        this->add_upstream(each);
    for (std::size_t each = 0; each < this->options.vms; ++each)
    {
        const std::size_t at = this->add_vm(this->data_centre_name(each));
        const auto delay = static_cast<std::int64_t>(
            this->random() % static_cast<std::uint64_t>(start_spread.count()));
        this->events.after(duration(delay), [this, at] { this->start(at); });
    }
    this->send_next_request();
}

std::string world::data_centre_name(std::size_t index) const
{
    return "dc-" +
           std::to_string(index % std::max<std::size_t>(this->options.data_centres, 1));
}

void world::add_upstream(std::size_t index)
{
    const std::string id = "u" + std::to_string(index);
    const upstreams::entry registration{
        .id = id,
        .service = service,
        .address = id,
        .data_centre = this->data_centre_name(this->options.upstream_places.empty()
                                                  ? index
                                                  : this->options.upstream_places[index]),
        .slots = this->options.slots,
        .started = 1};
    this->servers.push_back(std::make_unique<upstream>(
        this->events, this->random,
        upstream_options{.registration = registration,
                         .max_queued = this->options.max_queued,
                         .on_crash = [this, index]
                         {
                             this->events.after(crash_time, [this, index]
                                                { this->restart_upstream(index); });
                         }}));
    this->servers_by_id[id] = index;
    this->registry.push_back(registration);
}

std::size_t world::add_vm(const std::string& data_centre)
{
    const std::size_t at = this->vms.size();
    const std::string name = "vm-" + std::to_string(at);
    this->vms.push_back(
        {.id = {name}, .data_centre = data_centre, .address = name + ":1"});
    this->vms_by_address[name + ":1"] = at;
    this->vms_by_caller_address[name + ":2"] = at;
    return at;
}

void world::start(std::size_t at)
{
    vm_state& vm = this->vms.at(at);
    vm.harmed_until = this->now();
    vm.told_at.clear();
    vm.process = std::make_unique<steering::core>(
        steering::core_options{
            .upstreams = {.seed = hash_bytes(vm.id.value),
                          .data_centre = vm.data_centre,
                          .shared_loads = this->options.shared_loads},
            .gateway = {.retry_ratio = this->options.retry_ratio, .seed = at},
            .fleet = {.vm = vm.id,
                      .started = ++vm.started,
                      .data_centre = vm.data_centre,
                      .places = this->regions,
                      .peer_address = vm.address,
                      .caller_address = vm.id.value + ":2"},
            .fair_admission = this->options.fair_admission},
        this->hooks_of(at));
    this->on_vm(at, vm.process->fleet().next_check(this->now()),
                [this, at] { this->vms[at].process->fleet().check(this->now()); });
    this->on_vm(at, setup_time, [this, at] { this->load_tables(at); });
    this->repeat_on_vm(at, check_interval,
                       [this, at]
                       {
                           this->vms[at].process->fleet().check(this->now());
                           this->vms[at].process->check_links(this->now());
                       });
    this->repeat_on_vm(at, tick_interval,
                       [this, at] { this->vms[at].process->fleet().tick(this->now()); });
}

void world::kill(std::size_t at)
{
    vm_state& vm = this->vms.at(at);
    if (vm.process)
        this->counts.lost += vm.process->requests().totals().pending;
    vm.process.reset();
    vm.ready = false;
    std::erase_if(this->calls, [at](const auto& each) { return each.second.vm == at; });
}

// Calls `done` when the store has answered a call of the VM, or has not in time.
void world::call_store(std::size_t at, std::function<void(bool answered)> done)
{
    const bool answers = this->store.available && this->store.latency < store_timeout;
    this->on_vm(at, answers ? this->store.latency : store_timeout,
                [answers, done = std::move(done)] { done(answers); });
}

steering::core_hooks world::hooks_of(std::size_t at)
{
    return {
        .now = [this] { return this->now(); },
        .send_attempt = [this, at](const gateway::attempt& attempt)
        { return this->send_attempt(at, attempt); },
        .cancel_attempt = [this](gateway::call_id id) { this->calls.erase(id); },
        .identify =
            [this](gateway::exchange_id id, const std::string& account)
        {
            return quarantine::fingerprint_of({account, this->requests.at(id).object});
        },
        .check_connection =
            [this, at](const upstreams::upstream_start& upstream, const std::string&)
        { this->check_connection(at, upstream); },
        .deliver =
            [this](gateway::exchange_id id, const std::any& answer)
        {
            if (!this->pass_back(id, {.outcome = steering::forward_outcome::answered,
                                      .answer = answer}))
                this->finish_request(id, answer);
        },
        .refuse =
            [this](gateway::exchange_id id, const gateway::refusal_answer& answer)
        {
            const bool is_unusable =
                !answer.may_have_run && answer.reason == gateway::refusal::no_upstream;
            if (!this->pass_back(
                    id, {.outcome = is_unusable ? steering::forward_outcome::unusable
                                                : steering::forward_outcome::answered,
                         .answer = answer}))
                this->finish_request(id, answer);
        },
        .forward = [this, at](gateway::exchange_id id, const std::string& address,
                              duration time_left)
        { this->forward(at, id, address, time_left); },
        .cancel_forward = [](gateway::exchange_id) {},
        .send_datagram =
            [this, at](std::string_view datagram, std::span<const std::string> addresses)
        { this->send_datagram(at, datagram, addresses); },
        .claim =
            [this, at](const cell::claim& due)
        {
            this->call_store(at,
                             [this, at, due](bool answered)
                             {
                                 this->vms[at].process->fleet().finish_claim(
                                     this->now(), answered ? this->write_claim(due)
                                                           : cell::claim_outcome{});
                             });
        },
        .read_coordinators =
            [this, at]
        {
            this->call_store(at,
                             [this, at](bool answered)
                             {
                                 this->vms[at].process->fleet().finish_coordinator_read(
                                     this->now(), this->read_claims(answered));
                             });
        },
        .state = [this, at](time_point)
        { return fleet_node::own_state{.ready = this->vms[at].ready}; },
        .version_received = [](time_point, const vm_id&, std::uint64_t) {},
        .role_changed = [](cell::role) {},
        .tokens_pending = [this, at] { this->watch_tokens(at); },
        .upstream_changed = [](const steering::upstream_event&) {},
        .log =
            [](std::string_view, const nlohmann::ordered_json&) {
            }};
}

void world::on_vm(std::size_t at, duration delay, const std::function<void()>& action)
{
    const incarnation started = this->vms[at].started;
    this->events.after(delay,
                       [this, at, started, action]
                       {
                           const vm_state& vm = this->vms[at];
                           if (!vm.process || vm.started != started)
                               return;
                           if (vm.frozen_until > this->now())
                               this->on_vm(at, vm.frozen_until - this->now(), action);
                           else
                               action();
                       });
}

void world::repeat_on_vm(std::size_t at, duration interval,
                         const std::function<void()>& action)
{
    this->on_vm(at, interval,
                [this, at, interval, action]
                {
                    action();
                    this->repeat_on_vm(at, interval, action);
                });
}

duration world::latency(const std::string& from, const std::string& to) const
{
    if (from == to)
        return this->options.within_data_centre;
    return this->regions.at(from) == this->regions.at(to) ? this->options.within_region
                                                          : this->options.between_regions;
}

void world::send_datagram(std::size_t at, std::string_view datagram,
                          std::span<const std::string> addresses)
{
    const vm_state& from = this->vms[at];
    const auto content = std::make_shared<std::string>(datagram);
    std::uniform_real_distribution<> chance(0, 1);
    for (const std::string& address : addresses)
    {
        const std::size_t to = this->vms_by_address.at(address);
        const vm_state& target = this->vms[to];
        const bool lost = chance(this->random) < this->options.datagram_loss;
        if (lost || from.outbound_loss || target.side != from.side)
            continue;
        this->on_vm(
            to, this->latency(from.data_centre, target.data_centre),
            [this, to, content, source = from.address]
            { this->vms[to].process->fleet().receive(this->now(), source, *content); });
    }
}

gateway::call_id world::send_attempt(std::size_t at, const gateway::attempt& attempt)
{
    const gateway::call_id id = ++this->last_call;
    const std::size_t server = this->servers_by_id.at(attempt.upstream);
    this->calls[id] = {.exchange = attempt.exchange, .vm = at, .upstream = server};
    const duration way = this->latency(this->vms[at].data_centre,
                                       this->servers[server]->registration().data_centre);
    const upstream_link link = this->vms[at].upstreams;
    if (this->servers[server]->is_down() || link != upstream_link::open)
    {
        this->on_vm(at, link == upstream_link::silent ? connect_timeout : 2 * way,
                    [this, id, link]
                    {
                        this->finish_attempt(
                            id, {.outcome = gateway::attempt_outcome::not_sent,
                                 .connection_refused = link != upstream_link::silent});
                    });
        return id;
    }
    this->events.after(
        way,
        [this, server, id, way,
         sent = incoming_request{.id = attempt.exchange,
                                 .vm = at,
                                 .sent_at = this->now(),
                                 .object = this->requests.at(attempt.exchange).object,
                                 .account = attempt.account,
                                 .is_excused = !this->is_bound(at, server),
                                 .unharmed = this->is_unharmed(at)}]
        {
            this->servers[server]->receive(
                sent,
                [this, id, way](gateway::attempt_result result)
                {
                    this->events.after(way, [this, id, result = std::move(result)]
                                       { this->finish_attempt(id, result); });
                });
        });
    this->on_vm(
        at, attempt.time_left,
        [this, id]
        { this->finish_attempt(id, {.outcome = gateway::attempt_outcome::timed_out}); });
    return id;
}

// Only the first result of a call counts.
void world::finish_attempt(gateway::call_id id, const gateway::attempt_result& result)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    const call of = found->second;
    if (this->vms[of.vm].frozen_until > this->now())
    {
        this->on_vm(of.vm, this->vms[of.vm].frozen_until - this->now(),
                    [this, id, result] { this->finish_attempt(id, result); });
        return;
    }
    this->calls.erase(found);
    if (result.limit && result.limit->rate)
        this->vms[of.vm].told_at.emplace(of.upstream, this->now());
    this->vms[of.vm].process->requests().finish_attempt(this->now(), of.exchange, id,
                                                        result);
}

// Gives the outcome of a request that another VM has passed on back to that VM. Returns
// false if it comes from a caller.
bool world::pass_back(gateway::exchange_id id, steering::forward_result result)
{
    const auto found = this->forwarded.extract(id);
    if (!found)
        return false;
    this->requests.erase(id);
    const forwarded_request from = found.mapped();
    this->on_vm(from.vm, this->options.within_region,
                [this, from, result = std::move(result)] {
                    this->vms[from.vm].process->finish_forward(this->now(), from.exchange,
                                                               result);
                });
    return true;
}

void world::finish_request(gateway::exchange_id id, const std::any& answer)
{
    const auto found = this->requests.extract(id);
    if (const auto* refused = std::any_cast<gateway::refusal_answer>(&answer))
    {
        caller_request_outcome& outcome = this->request_outcomes[found.mapped().outcome];
        outcome.reason = refused->reason;
        outcome.elapsed = this->now() - found.mapped().sent_at;
        ++this->counts.refused;
        ++this->counts.reasons[refused->reason];
        return;
    }
    ++this->counts.answered;
    const duration elapsed = this->now() - found.mapped().sent_at;
    this->counts.on_time += elapsed <= this->options.objective ? 1 : 0;
    caller_request_outcome& outcome = this->request_outcomes[found.mapped().outcome];
    outcome.answered = true;
    outcome.elapsed = elapsed;
}

void world::forward(std::size_t at, gateway::exchange_id id, const std::string& address,
                    duration time_left)
{
    const gateway::exchange_id passed_on = ++this->last_exchange;
    const request& original = this->requests.at(id);
    this->requests[passed_on] = original;
    this->forwarded[passed_on] = {.vm = at, .exchange = id};
    const std::size_t helper = this->vms_by_caller_address.at(address);
    this->events.after(
        this->latency(this->vms[at].data_centre, this->vms[helper].data_centre),
        [this, helper, passed_on, time_left]
        {
            const vm_state& vm = this->vms[helper];
            if (!vm.ready || vm.frozen_until > this->now())
                this->pass_back(passed_on,
                                {.outcome = steering::forward_outcome::unusable});
            else
                this->submit_to(helper, passed_on, time_left, true);
        });
    this->on_vm(at, time_left,
                [this, at, id]
                {
                    this->vms[at].process->finish_forward(
                        this->now(), id,
                        {.outcome = steering::forward_outcome::timed_out});
                });
}

void world::check_connection(std::size_t at, const upstreams::upstream_start& upstream)
{
    const pistachiospan::world::upstream& server =
        *this->servers[this->servers_by_id.at(upstream.id)];
    const duration way =
        this->latency(this->vms[at].data_centre, server.registration().data_centre);
    const upstream_link link = this->vms[at].upstreams;
    quarantine::connection_check outcome = quarantine::connection_check::accepted;
    if (link == upstream_link::silent)
        outcome = quarantine::connection_check::unclear;
    else if (link == upstream_link::refusing || server.is_down())
        outcome = quarantine::connection_check::refused;
    this->on_vm(at, link == upstream_link::silent ? connect_timeout : 2 * way,
                [this, at, upstream, outcome]
                {
                    this->vms[at].process->requests().finish_connection_check(
                        this->now(), upstream, outcome);
                });
}

void world::set_crashing(const std::string& account, const std::string& object,
                         bool crashes)
{
    for (const auto& each : this->servers)
        each->set_crashing(account, object, crashes);
}

void world::watch_tokens(std::size_t at)
{
    if (!this->watched.insert(at).second)
        return;
    this->events.after(token_interval,
                       [this, at]
                       {
                           this->watched.erase(at);
                           const vm_state& vm = this->vms[at];
                           if (!vm.process)
                               return;
                           if (vm.frozen_until <= this->now())
                               vm.process->fleet().tick_tokens(this->now());
                           if (vm.process->fleet().waits_for_tokens())
                               this->watch_tokens(at);
                       });
}

result<cell::claim_outcome> world::write_claim(const cell::claim& due)
{
    stored_claim& row = this->stored.claims[due.data_centre];
    const auto version_of_row = [this, &row]
    {
        return row.version == 0
                   ? 0
                   : store_version::make(this->store_generation, row.version);
    };
    if (row.version != store_version::number_of(due.expected_version))
        return cell::claim_outcome{.answered = true,
                                   .version = version_of_row(),
                                   .holder = row.holder.vm,
                                   .holder_address = row.holder.peer_address};
    row = {.holder = due, .version = ++this->stored.version};
    return cell::claim_outcome{
        .answered = true, .granted = true, .version = version_of_row()};
}

bool world::is_unharmed(std::size_t vm) const
{
    const vm_state& state = this->vms[vm];
    return state.side == 0 && !state.outbound_loss &&
           this->now() - state.harmed_until >= contact_time;
}

bool world::is_bound(std::size_t vm, std::size_t upstream) const
{
    const vm_state& state = this->vms[vm];
    const auto told = state.told_at.find(upstream);
    return this->is_unharmed(vm) && told != state.told_at.end() &&
           this->now() - told->second >= told_notice;
}

retry_bound world::allowed_retries() const
{
    return {.ratio = this->options.retry_ratio,
            .slack =
                this->options.retry_slack + this->options.retry_slack_per_vm *
                                                static_cast<double>(this->options.vms)};
}

result<std::map<std::string, std::string>> world::read_claims(bool answered) const
{
    if (!answered)
        return failure(errc::unavailable, "the store does not answer");
    std::map<std::string, std::string> all;
    for (const auto& [data_centre, row] : this->stored.claims)
        all[data_centre] = row.holder.peer_address;
    return all;
}

std::size_t world::coordinator_of(const std::string& data_centre) const
{
    for (std::size_t at = 0; at < this->vms.size(); ++at)
    {
        const vm_state& vm = this->vms[at];
        if (vm.data_centre == data_centre && vm.process &&
            vm.process->fleet().role() == cell::role::coordinator)
            return at;
    }
    return this->vms.size();
}

void world::send_next_request()
{
    std::vector<double> rates = {this->options.requests_per_second};
    for (std::size_t each = 0; each < this->surges.size(); ++each)
        rates.push_back(this->options.accounts[each].rate * this->options.account_load *
                        this->surges[each]);
    std::exponential_distribution<> pause(
        std::accumulate(rates.begin(), rates.end(), 0.));
    const std::chrono::duration<double> wait(pause(this->random));
    std::discrete_distribution<std::size_t> source(rates.begin(), rates.end());
    const std::size_t chosen = source(this->random);
    const std::string account =
        chosen == 0 ? std::string() : this->options.accounts[chosen - 1].name;
    this->events.after(std::chrono::duration_cast<duration>(wait),
                       [this, account]
                       {
                           this->send_request(account);
                           this->send_next_request();
                       });
}

std::size_t world::pick_vm(const std::string& account)
{
    const bool is_skewed =
        !account.empty() && this->options.account_skew > 0 &&
        std::uniform_real_distribution<>(0, 1)(this->random) < this->options.account_skew;
    std::size_t at = this->random() % this->vms.size();
    while (is_skewed && this->vms[at].data_centre != this->data_centre_name(0))
        at = this->random() % this->vms.size();
    return at;
}

void world::send_request(const std::string& account)
{
    const std::size_t at = this->pick_vm(account);
    if (!this->count_request(at))
        return;
    // Callers of different data centres ask for different objects.
    this->submit(at, account,
                 this->vms[at].data_centre + '/' +
                     std::to_string(this->popularity(this->random)));
}

void world::send_request_about(std::size_t at, const std::string& account,
                               const std::string& object)
{
    if (this->count_request(at))
        this->submit(at, account, object);
}

// Returns false if the VM is not there to take a request.
bool world::count_request(std::size_t at)
{
    ++this->counts.sent;
    this->sent_requests.push_back(this->now());
    const vm_state& vm = this->vms[at];
    const bool is_lost = !vm.ready || vm.frozen_until > this->now();
    this->counts.lost += is_lost ? 1 : 0;
    return !is_lost;
}

void world::submit(std::size_t at, const std::string& account, const std::string& object)
{
    const gateway::exchange_id id = ++this->last_exchange;
    this->requests[id] = {.object = object,
                          .account = account,
                          .sent_at = this->now(),
                          .outcome = this->request_outcomes.size()};
    this->request_outcomes.push_back(
        {.sent_at = this->now(), .vm = at, .account = account});
    this->submit_to(at, id, deadline, false);
}

void world::submit_to(std::size_t at, gateway::exchange_id id, duration time_left,
                      bool is_forwarded)
{
    const request& sent = this->requests.at(id);
    this->vms[at].process->requests().submit(this->now(), id,
                                             {.request_id = std::to_string(id),
                                              .host = host,
                                              .path = prefix + sent.object,
                                              .key = sent.account,
                                              .object = sent.object,
                                              .is_forwarded = is_forwarded,
                                              .time_left = time_left});
}

} // namespace pistachiospan::world
