#include "pistachiospan/entry/node.hpp"

#include <algorithm>

namespace pistachiospan::entry
{

namespace
{

// Tick intervals of the components that need no tick every tick_interval.
constexpr duration periodic_interval = std::chrono::milliseconds(50);
constexpr duration executor_interval = std::chrono::milliseconds(20);

// All VMs but the one of rank 0 in their data centre read the VM list less often by this
// factor.
constexpr int vm_list_backoff = 10;

constexpr std::string_view rate_scope = "rate";

constexpr std::string_view heartbeat_type = "heartbeat";

// Maximum duration of the graceful shutdown, after which the process exits anyway.
constexpr duration drain_limit = std::chrono::seconds(30);

// Time for which a starting VM collects heartbeats of its peers before it answers
// look-ups. An answer that lists only the VM itself would direct all callers to it.
constexpr duration membership_warm_up = std::chrono::seconds(3);

// Requests of a failed VM may use its slots until the longest deadline of a request.
constexpr duration slot_idle_time = std::chrono::seconds(11);

// Loans granted by a failed VM may be in use for this long.
const duration loan_idle_time =
    limit::max_loan_duration(limit::limiter_options().loan_duration);

// Time for which all reachable VMs must have held a version before raised limits apply. A
// VM activates a version at most 2 s after it has received it.
constexpr duration limit_raise_delay = std::chrono::seconds(3);

std::string slot_scope(std::string_view data_centre)
{
    return "dc-" + std::string(data_centre);
}

} // namespace

class node::implementation
{
public:
    implementation(node_options options, platform_access platform, node_hooks hooks);

    void tick(time_point now, wall_time wall);
    void receive(time_point now, const vm_id& from, incarnation from_incarnation,
                 std::string_view type, const wire::body& content);
    result<nlohmann::json> lookup(wall_time wall, std::string_view route);
    void begin_drain(time_point now);
    bool drained(time_point now) const;
    node_status status(time_point now) const;
    nlohmann::json explain(std::string_view request_id) const;

    node_options options;
    platform_access platform;
    node_hooks hooks;
    time_point current_time; // of the current event, for hooks without a time
    std::shared_ptr<const catalogue::catalogue> active;
    member::membership members;
    config::replica replica;
    share::share_claimer rate_shares;
    share::share_claimer slot_shares;
    limit::limiter limiter;
    route::router router;
    once::executor executor;
    ::pistachiospan::lookup::answer_weights weights;
    pipeline requests;

private:
    config::hooks make_config_hooks();
    pipeline_hooks make_pipeline_hooks();
    share::claimer_options claimer_options(std::string scope, duration idle_time,
                                           duration release_delay) const;
    void receive_share(time_point now, const vm_id& from, std::string_view type,
                       const wire::body& content);
    void send(const vm_id& to, std::string_view type, const wire::body& content);
    void run_periodic_work(time_point now);
    void activate(std::string_view text);
    void apply_raised_limits(time_point now);
    void read_vm_list(time_point now);
    void apply_vm_list(const std::vector<store::vm_entry>& entries);
    void send_heartbeats(time_point now);
    void update_views(time_point now);
    void update_shares(time_point now);
    void update_weights(time_point now);
    void release_shares(time_point now);
    void receive_heartbeat(time_point now, const vm_id& from,
                           incarnation from_incarnation, const wire::body& content);
    void receive_config(time_point now, const vm_id& from, std::string_view type,
                        const wire::body& content);
    void observe_load(time_point now, const member::peer_view& peer);
    void report_problem(const error& problem);
    bool ready() const;

    time_point next_periodic_work;
    time_point next_executor;
    time_point next_vm_list;
    bool reading_vm_list = false;
    bool raised_limits_applied = false;
    // Since when all reachable VMs have held the active version.
    std::optional<time_point> held_by_all_since;
    std::uint32_t slot_share_count = 0;
    route::share slot_share;
    std::optional<time_point> drain_started_at;
    std::optional<time_point> weights_start;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

node::implementation::implementation(node_options options, platform_access platform,
                                     node_hooks hooks)
    : options(std::move(options)), platform(platform), hooks(std::move(hooks)),
      members({.self = this->options.self,
               .self_incarnation = this->options.self_incarnation,
               .seeds = this->options.seeds,
               .seed = this->options.seed}),
      replica({.self = this->options.self.id,
               .store_region = this->options.store_region,
               .seed = this->options.seed},
              this->make_config_hooks(), platform.table, platform.objects, this->members),
      rate_shares(
          this->claimer_options(std::string(rate_scope), loan_idle_time, loan_idle_time),
          platform.table,
          [this](const vm_id& to, std::string_view type, const wire::body& content)
          { this->send(to, type, content); }),
      // Slots are never lent, and they are released only when no request is in progress,
      // so their rows can be removed without delay.
      slot_shares(this->claimer_options(slot_scope(this->options.self.data_centre),
                                        slot_idle_time, duration(0)),
                  platform.table,
                  [this](const vm_id& to, std::string_view type,
                         const wire::body& content) { this->send(to, type, content); }),
      limiter(
          {.self = this->options.self.id,
           .self_incarnation = this->options.self_incarnation,
           .data_centre = this->options.self.data_centre,
           .seed = this->options.seed},
          {.send = [this](const vm_id& to, std::string_view type,
                          const wire::body& content) { this->send(to, type, content); },
           .on_resolved =
               [this](std::uint64_t ticket, const limit::decision& decision)
           {
               this->requests.resolve_limit(this->current_time, ticket, decision);
           }}),
      router({.data_centre = this->options.self.data_centre, .seed = this->options.seed},
             {.on_decision = [this](route::request_id id, const route::decision& decision)
              { this->requests.resolve_route(this->current_time, id, decision); },
              .on_drained =
                  [this](const std::string& upstream, duration time)
              {
                  if (this->hooks.audit)
                      this->hooks.audit(
                          "what=upstream_drained upstream=" + upstream +
                          " time_ms=" + std::to_string(time.count() / 1000));
              }}),
      executor(
          {.self = this->options.self.id,
           .self_incarnation = this->options.self_incarnation,
           .data_centre = this->options.self.data_centre,
           .region = this->options.self.region,
           .secret = this->options.secret,
           .seed = this->options.seed},
          platform.table,
          {.send = [this](const vm_id& to, std::string_view type,
                          const wire::body& content) { this->send(to, type, content); },
           .audit =
               [this](std::string_view what)
           {
               if (this->hooks.audit)
                   this->hooks.audit(what);
           }}),
      weights({.seed = this->options.seed}),
      requests({.self = this->options.self.id,
                .seed = this->options.seed,
                .max_buffered_bytes = this->options.max_buffered_bytes},
               {this->limiter, this->router, this->executor}, this->make_pipeline_hooks())
{
}

share::claimer_options node::implementation::claimer_options(std::string scope,
                                                             duration idle_time,
                                                             duration release_delay) const
{
    return {.self = this->options.self.id,
            .self_incarnation = this->options.self_incarnation,
            .address = this->options.self.address,
            .scope = std::move(scope),
            .seed = this->options.seed,
            .idle_time = idle_time,
            .release_delay = release_delay};
}

config::hooks node::implementation::make_config_hooks()
{
    config::hooks hooks;
    hooks.parse = [](catalogue_version version, std::string_view text) -> result<void>
    {
        const auto parsed =
            catalogue::parse_catalogue(text, "version " + std::to_string(version));
        if (!parsed)
            return parsed.error();
        return boost::outcome_v2::success();
    };
    hooks.activate = [this](catalogue_version, std::string_view text)
    {
        this->activate(text);
    };
    hooks.digest = &catalogue::digest;
    hooks.send = [this](const vm_id& to, std::string_view type, const wire::body& content)
    {
        this->send(to, type, content);
    };
    hooks.report = [this](const error& problem)
    {
        this->report_problem(problem);
    };
    return hooks;
}

pipeline_hooks node::implementation::make_pipeline_hooks()
{
    pipeline_hooks hooks;
    hooks.call_upstream = this->hooks.call_upstream;
    hooks.cancel_upstream = this->hooks.cancel_upstream;
    hooks.relay = [this](const vm_id& to, relay_request outgoing, duration timeout,
                         const relay_handler& done)
    {
        const auto peer = this->members.find(to);
        if (!peer)
            return done(
                this->current_time,
                failure(errc::unavailable, "VM " + to.value + " is not a known member"));
        this->hooks.relay(to, peer->entry.address, std::move(outgoing), timeout, done);
    };
    hooks.may_serve = [this](time_point now, catalogue::unconfirmed_policy policy)
    {
        return this->replica.may_serve(now, policy);
    };
    hooks.on_finished = this->hooks.on_finished;
    return hooks;
}

void node::implementation::send(const vm_id& to, std::string_view type,
                                const wire::body& content)
{
    const auto peer = this->members.find(to);
    if (peer)
        this->hooks.send(to, peer->entry.address, type, content);
}

void node::implementation::activate(std::string_view text)
{
    // Does not fail: the replica has validated the text with the parse hook.
    auto parsed = catalogue::parse_catalogue(text, "active");
    if (!parsed)
        return;
    this->active =
        std::make_shared<const catalogue::catalogue>(std::move(parsed.value()));
    const time_point now = this->current_time;
    this->raised_limits_applied = false;
    this->held_by_all_since.reset();
    this->replica.set_confirm_within(this->active->confirm_within);
    this->limiter.set_accounts(now, *this->active);
    this->router.set_catalogue(now, *this->active);
    this->requests.set_catalogue(now, this->active);
    const auto data_centre =
        this->active->data_centres.find(this->options.self.data_centre);
    this->rate_shares.set_share_count(now, this->active->rate_shares);
    this->slot_share_count = data_centre == this->active->data_centres.end()
                                 ? 0
                                 : data_centre->second.entry_vms;
    this->slot_shares.set_share_count(now, this->slot_share_count);
    if (this->hooks.audit)
        this->hooks.audit("what=catalogue_activated version=" +
                          std::to_string(this->replica.active_version()));
}

void node::implementation::tick(time_point now, wall_time)
{
    this->current_time = now;
    this->requests.tick(now);
    this->limiter.tick(now);
    this->router.tick(now);
    if (now >= this->next_executor)
    {
        this->next_executor = now + executor_interval;
        this->executor.tick(now);
    }
    if (now >= this->next_periodic_work)
    {
        this->next_periodic_work = now + periodic_interval;
        this->run_periodic_work(now);
    }
}

// Releases the shares of a draining VM after drain_grace: rate shares once its loans have
// ended (until then other VMs borrow from it), slot shares once no request is in
// progress.
void node::implementation::release_shares(time_point now)
{
    if (!this->drain_started_at ||
        now < *this->drain_started_at + this->options.drain_grace)
        return;
    this->limiter.drain(now);
    if (now >= this->limiter.last_loan_end())
        this->rate_shares.release(now);
    if (this->requests.in_progress() == 0)
        this->slot_shares.release(now);
}

void node::implementation::run_periodic_work(time_point now)
{
    this->replica.tick(now);
    this->replica.update(now, this->members);
    this->read_vm_list(now);
    this->send_heartbeats(now);
    this->update_views(now);
    this->update_shares(now);
    this->update_weights(now);
    this->apply_raised_limits(now);
    this->release_shares(now);
}

// Raises limits once every reachable VM has activated the version. Unreachable VMs keep
// their old limits until they are reachable again, so waiting for them would not help.
void node::implementation::apply_raised_limits(time_point now)
{
    if (this->raised_limits_applied || !this->active)
        return;
    const bool held_by_all = this->members.holders(this->replica.active_version()) >=
                             this->members.fleet().reachable;
    if (!held_by_all || !this->held_by_all_since)
        this->held_by_all_since = held_by_all ? std::optional(now) : std::nullopt;
    if (!this->held_by_all_since || now < *this->held_by_all_since + limit_raise_delay)
        return;
    this->raised_limits_applied = true;
    this->limiter.set_accounts(now, *this->active, true);
}

void node::implementation::read_vm_list(time_point now)
{
    if (this->reading_vm_list || now < this->next_vm_list)
        return;
    const bool first = this->members.rank() == 0;
    this->next_vm_list =
        now + this->options.vm_list_interval * (first ? 1 : vm_list_backoff);
    this->reading_vm_list = true;
    this->platform.vms.list(
        [this, alive_token = std::weak_ptr<bool>(this->alive)](
            const result<std::vector<store::vm_entry>>& answer)
        {
            if (alive_token.expired())
                return;
            this->reading_vm_list = false;
            if (answer)
                this->apply_vm_list(answer.value());
        });
}

void node::implementation::apply_vm_list(const std::vector<store::vm_entry>& entries)
{
    this->members.on_vm_list(this->current_time, entries);
    this->rate_shares.on_vm_list(this->current_time, entries);
    // The slots of the upstreams of a data centre are shared among its VMs only.
    std::vector<store::vm_entry> local;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(local),
                 [this](const store::vm_entry& entry)
                 { return entry.data_centre == this->options.self.data_centre; });
    this->slot_shares.on_vm_list(this->current_time, local);
}

void node::implementation::send_heartbeats(time_point now)
{
    nlohmann::json load = nlohmann::json::object();
    for (const route::group_free_slots& group : this->router.free_slots(now))
        load[group.group] = group.free_slots;
    if (const auto load_set = this->members.set_load(load); !load_set)
        this->report_problem(load_set.error());
    for (const member::outgoing& next : this->members.tick(now))
        this->hooks.send(next.to, next.address, heartbeat_type, next.message);
}

void node::implementation::update_views(time_point now)
{
    std::map<vm_id, std::vector<std::uint32_t>> shares;
    for (const auto& [index, holder] : this->rate_shares.holders())
        shares[holder.vm].push_back(index);
    std::vector<limit::peer> lenders;
    std::vector<once::peer> executors;
    for (const member::peer_view& peer : this->members.peers())
    {
        const bool live = peer.state == member::peer_state::live;
        const bool leaving = peer.draining || peer.entry.leaving;
        if (live)
            lenders.push_back(
                {peer.entry.id, peer.entry.data_centre, shares[peer.entry.id]});
        executors.push_back({.id = peer.entry.id,
                             .process_incarnation = peer.peer_incarnation,
                             .data_centre = peer.entry.data_centre,
                             .region = peer.entry.region,
                             .live = live,
                             .leaving = leaving});
    }
    this->limiter.set_peers(now, lenders);
    this->executor.update_peers(now, std::move(executors));
}

void node::implementation::update_shares(time_point now)
{
    this->rate_shares.tick(now);
    this->slot_shares.tick(now);
    this->limiter.set_shares(now, this->rate_shares.usable(now));
    const std::vector<std::uint32_t> slots = this->slot_shares.usable(now);
    route::share new_share{.indexes = slots, .count = this->slot_share_count};
    if (new_share != this->slot_share)
    {
        this->slot_share = new_share;
        this->router.set_share(now, std::move(new_share));
    }
    this->router.allow_growth(now);
}

void node::implementation::update_weights(time_point now)
{
    // The first weights are equal for all VMs known by then; later changes are made in
    // steps.
    if (!this->weights_start)
        this->weights_start = now + membership_warm_up;
    if (now < *this->weights_start)
        return;
    std::vector<::pistachiospan::lookup::vm_state> states;
    states.push_back({.vm = this->options.self.id,
                      .address = this->options.self.caller_address,
                      .draining = this->drain_started_at.has_value()});
    for (const member::peer_view& peer : this->members.peers())
        if (peer.state == member::peer_state::live && !peer.entry.caller_address.empty())
            states.push_back({.vm = peer.entry.id,
                              .address = peer.entry.caller_address,
                              .draining = peer.draining || peer.entry.leaving});
    this->weights.update(now, states);
}

void node::implementation::receive(time_point now, const vm_id& from,
                                   incarnation from_incarnation, std::string_view type,
                                   const wire::body& content)
{
    this->current_time = now;
    this->requests.set_current_time(now);
    this->rate_shares.on_peer_message(now, from);
    this->slot_shares.on_peer_message(now, from);
    if (type == heartbeat_type)
        return this->receive_heartbeat(now, from, from_incarnation, content);
    if (type == config::request_type || type == config::offer_type)
        return this->receive_config(now, from, type, content);
    if (type == share::share_query::type || type == share::share_answer::type)
        return this->receive_share(now, from, type, content);
    if (type == "borrow" || type == "grant" || type == "return_loan")
    {
        const result<void> handled = this->limiter.receive(now, from, type, content);
        if (!handled)
            this->report_problem(handled.error());
        return;
    }
    this->executor.receive(now, from, type, content);
}

void node::implementation::receive_heartbeat(time_point now, const vm_id& from,
                                             incarnation from_incarnation,
                                             const wire::body& content)
{
    const auto decoded = wire::decode<member::heartbeat>(content);
    if (!decoded)
    {
        this->report_problem(decoded.error());
        return;
    }
    const member::heartbeat_result outcome =
        this->members.on_heartbeat(now, from, from_incarnation, decoded.value());
    this->replica.on_heartbeat(now, from, decoded.value(), outcome);
    if (outcome.reply)
        this->hooks.send(outcome.reply->to, outcome.reply->address, heartbeat_type,
                         outcome.reply->message);
    if (const auto peer = this->members.find(from))
        this->observe_load(now, *peer);
}

void node::implementation::receive_share(time_point now, const vm_id& from,
                                         std::string_view type, const wire::body& content)
{
    const bool for_rates = content.is_object() && content.contains("scope") &&
                           content["scope"] == std::string(rate_scope);
    share::share_claimer& claimer = for_rates ? this->rate_shares : this->slot_shares;
    const result<void> handled = claimer.receive(now, from, type, content);
    if (!handled)
        this->report_problem(handled.error());
}

void node::implementation::receive_config(time_point now, const vm_id& from,
                                          std::string_view type,
                                          const wire::body& content)
{
    if (type == config::request_type)
    {
        const auto request = wire::decode<config::config_request>(content);
        if (request)
            this->replica.on_request(now, from, request.value());
        else
            this->report_problem(request.error());
        return;
    }
    const auto offer = wire::decode<config::config_offer>(content);
    if (offer)
        this->replica.on_offer(now, from, offer.value());
    else
        this->report_problem(offer.error());
}

void node::implementation::report_problem(const error& problem)
{
    if (this->hooks.report_error)
        this->hooks.report_error(problem);
}

void node::implementation::observe_load(time_point now, const member::peer_view& peer)
{
    route::peer_report report{.vm = peer.entry.id,
                              .data_centre = peer.entry.data_centre,
                              .draining = peer.draining || peer.entry.leaving};
    if (peer.load.is_object())
        for (const auto& [group, free] : peer.load.items())
            if (free.is_number_unsigned())
                report.groups.push_back({group, free.get<std::uint32_t>()});
    this->router.observe_peer(now, report);
}

result<nlohmann::json> node::implementation::lookup(wall_time wall,
                                                    std::string_view route)
{
    if (!this->ready())
        return failure(errc::unavailable, "this VM is starting; ask another VM");
    if (!route.empty() && !this->active->routes.contains(std::string(route)))
        return failure(errc::not_found, "unknown route; check its name in the catalogue");
    const ::pistachiospan::lookup::vm_answer answer = this->weights.answer();
    nlohmann::json vms = nlohmann::json::array();
    for (const ::pistachiospan::lookup::weighted_vm& vm : answer.vms)
        vms.push_back({{"vm", vm.vm}, {"address", vm.address}, {"weight", vm.weight}});
    nlohmann::json response{{"route", route},
                            {"ttl_ms", answer.ttl.count() / 1000},
                            {"entry_vms", std::move(vms)}};
    if (const auto key = this->executor.issue_key(wall))
        response["idempotency_key_prefix"] = *key + '~';
    return response;
}

void node::implementation::begin_drain(time_point now)
{
    if (this->drain_started_at)
        return;
    this->drain_started_at = now;
    this->members.set_draining(true);
    this->executor.leave(now);
}

// True once the cached look-up answers of callers have expired, no request is in progress
// and all shares and shards have been handed over, or once drain_limit has elapsed.
bool node::implementation::drained(time_point now) const
{
    if (!this->drain_started_at)
        return false;
    if (now >= *this->drain_started_at + drain_limit)
        return true;
    return now >= *this->drain_started_at + this->options.drain_grace &&
           this->requests.in_progress() == 0 && this->executor.has_left() &&
           this->rate_shares.released() && this->slot_shares.released();
}

bool node::implementation::ready() const
{
    return this->active != nullptr && this->weights_start &&
           this->current_time >= *this->weights_start;
}

node_status node::implementation::status(time_point now) const
{
    return {.active_version = this->replica.active_version(),
            .held_version = this->replica.held_version(),
            .digest = catalogue::digest(this->replica.held_text()),
            .ready = this->ready(),
            .draining = this->drain_started_at.has_value(),
            .confirmation_age = this->replica.confirmation_age(now),
            .rate_shares = this->rate_shares.usable(now).size(),
            .slot_shares = this->slot_shares.usable(now).size(),
            .primary_shards = this->executor.primary_count(),
            .live_peers = this->members.live_peers().size(),
            .in_progress = this->requests.in_progress()};
}

nlohmann::json node::implementation::explain(std::string_view request_id) const
{
    nlohmann::json found = nlohmann::json::array();
    for (const decision_record& record : this->requests.recent_decisions())
        if (request_id.empty() || record.request_id == request_id)
            found.push_back(to_json(record));
    return found;
}

node::node(node_options options, platform_access platform, node_hooks hooks)
    : self(std::make_unique<implementation>(std::move(options), platform,
                                            std::move(hooks)))
{
}

node::~node() = default;

void node::tick(time_point now, wall_time wall)
{
    this->self->tick(now, wall);
}

void node::receive(time_point now, const vm_id& from, incarnation from_incarnation,
                   std::string_view type, const wire::body& content)
{
    this->self->receive(now, from, from_incarnation, type, content);
}

exchange_id node::submit(time_point now, wall_time wall, caller_request incoming,
                         answer_handler done)
{
    this->self->current_time = now;
    return this->self->requests.submit(now, wall, std::move(incoming), std::move(done));
}

exchange_id node::submit_relayed(time_point now, wall_time wall, relay_request incoming,
                                 answer_handler done)
{
    this->self->current_time = now;
    return this->self->requests.submit_relayed(now, wall, std::move(incoming),
                                               std::move(done));
}

void node::cancel(time_point now, exchange_id id)
{
    this->self->current_time = now;
    this->self->requests.cancel(now, id);
}

result<nlohmann::json> node::lookup(wall_time wall, std::string_view route)
{
    return this->self->lookup(wall, route);
}

result<void> node::offer_edit(time_point now, catalogue_version version,
                              std::string_view digest, std::string_view text)
{
    this->self->current_time = now;
    return this->self->replica.offer(now, version, digest, text);
}

void node::begin_drain(time_point now)
{
    this->self->begin_drain(now);
}

bool node::drained(time_point now) const
{
    return this->self->drained(now);
}

node_status node::status(time_point now) const
{
    return this->self->status(now);
}

nlohmann::json node::explain(std::string_view request_id) const
{
    return this->self->explain(request_id);
}

std::vector<route::upstream_status> node::upstreams(time_point now) const
{
    return this->self->router.upstreams(now);
}

const config::counters& node::config_counts() const
{
    return this->self->replica.statistics();
}

limit::limiter_counts node::limit_counts() const
{
    return this->self->limiter.counts();
}

const once::counters& node::once_counts() const
{
    return this->self->executor.totals();
}

route::router_counts node::route_counts() const
{
    return this->self->router.counts();
}

} // namespace pistachiospan::entry
