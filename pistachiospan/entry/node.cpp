#include "pistachiospan/entry/node.hpp"

#include <algorithm>

namespace pistachiospan::entry
{

namespace
{

// Intervals of the parts that need no tick at each turn.
constexpr duration slow_interval = std::chrono::milliseconds(50);
constexpr duration executor_interval = std::chrono::milliseconds(20);

// VMs that are not the first of their data centre read the VM list this much less often.
constexpr int vm_list_backoff = 10;

constexpr std::string_view rate_scope = "rate";

constexpr std::string_view heartbeat_type = "heartbeat";

// Bounds on the graceful shutdown, after which the process exits anyway.
constexpr duration drain_limit = std::chrono::seconds(30);

// Time in which a starting VM hears its peers before it answers look-ups. An answer that
// names only the VM itself would draw all callers to it.
constexpr duration membership_warm_up = std::chrono::seconds(3);

// Slots of a lost VM may still be in use until the longest deadline of a request.
constexpr duration slot_hold = std::chrono::seconds(11);

// Loans of a lost VM may still be in use for this long.
const duration loan_hold = limit::max_loan_time(limit::limiter_options().loan_time);

// Time for which all reachable VMs hold a version before its limits apply in full. A VM
// activates a version at most 2 s after it holds it.
constexpr duration settle_time = std::chrono::seconds(3);

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
    time_point present; // of the event being handled, for hooks without a time
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
    share::claimer_options claimer_options(std::string scope, duration idle,
                                           duration release) const;
    void receive_share(time_point now, const vm_id& from, std::string_view type,
                       const wire::body& content);
    void send(const vm_id& to, std::string_view type, const wire::body& content);
    void tick_slowly(time_point now);
    void activate(std::string_view text);
    void settle_limits(time_point now);
    void read_vm_list(time_point now);
    void take_vm_list(const std::vector<store::vm_entry>& entries);
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
    bool ready() const;

    time_point next_slow;
    time_point next_executor;
    time_point next_vm_list;
    bool reading_vm_list = false;
    bool limits_settled = false;
    std::optional<time_point> held_since; // all reachable VMs hold the active version
    std::uint32_t slot_share_count = 0;
    route::share slot_share;
    std::optional<time_point> drain_began;
    std::optional<time_point> weights_from;
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
      rate_shares(this->claimer_options(std::string(rate_scope), loan_hold, loan_hold),
                  platform.table,
                  [this](const vm_id& to, std::string_view type,
                         const wire::body& content) { this->send(to, type, content); }),
      // Slots are not lent, and they are released when nothing is in progress.
      slot_shares(this->claimer_options(slot_scope(this->options.self.data_centre),
                                        slot_hold, duration(0)),
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
           .resolved =
               [this](std::uint64_t ticket, const limit::decision& made)
           {
               this->requests.resolve_limit(this->present, ticket, made);
           }}),
      router({.data_centre = this->options.self.data_centre, .seed = this->options.seed},
             {.decided = [this](route::request_id id, const route::decision& made)
              { this->requests.resolve_route(this->present, id, made); },
              .drained =
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
                .max_buffered = this->options.max_buffered},
               {this->limiter, this->router, this->executor}, this->make_pipeline_hooks())
{
}

share::claimer_options node::implementation::claimer_options(std::string scope,
                                                             duration idle,
                                                             duration release) const
{
    return {.self = this->options.self.id,
            .self_incarnation = this->options.self_incarnation,
            .address = this->options.self.address,
            .scope = std::move(scope),
            .seed = this->options.seed,
            .idle_time = idle,
            .release_time = release};
}

config::hooks node::implementation::make_config_hooks()
{
    config::hooks made;
    made.parse = [](catalogue_version version, std::string_view text) -> result<void>
    {
        const auto parsed =
            catalogue::parse_catalogue(text, "version " + std::to_string(version));
        if (!parsed)
            return parsed.error();
        return boost::outcome_v2::success();
    };
    made.activate = [this](catalogue_version, std::string_view text)
    {
        this->activate(text);
    };
    made.digest = &catalogue::digest;
    made.send = [this](const vm_id& to, std::string_view type, const wire::body& content)
    {
        this->send(to, type, content);
    };
    made.report = [this](const error& why)
    {
        if (this->hooks.report)
            this->hooks.report(why);
    };
    return made;
}

pipeline_hooks node::implementation::make_pipeline_hooks()
{
    pipeline_hooks made;
    made.call_upstream = this->hooks.call_upstream;
    made.cancel_upstream = this->hooks.cancel_upstream;
    made.relay = [this](const vm_id& to, relay_request outgoing, duration timeout,
                        const relay_handler& done)
    {
        const auto peer = this->members.find(to);
        if (!peer)
            return done(this->present,
                        failure(errc::unavailable, "VM " + to.value + " is not known"));
        this->hooks.relay(to, peer->entry.address, std::move(outgoing), timeout, done);
    };
    made.may_serve = [this](time_point now, catalogue::unconfirmed_policy policy)
    {
        return this->replica.may_serve(now, policy);
    };
    made.finished = this->hooks.finished;
    return made;
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
    // The replica has checked the text with the parse hook.
    auto parsed = catalogue::parse_catalogue(text, "active");
    if (!parsed)
        return;
    this->active =
        std::make_shared<const catalogue::catalogue>(std::move(parsed.value()));
    const time_point now = this->present;
    this->limits_settled = false;
    this->held_since.reset();
    this->replica.set_confirm_within(this->active->confirm_within);
    this->limiter.set_accounts(now, *this->active);
    this->router.set_catalogue(now, *this->active);
    this->requests.set_catalogue(now, this->active);
    const auto place = this->active->data_centres.find(this->options.self.data_centre);
    this->rate_shares.set_share_count(now, this->active->rate_shares);
    this->slot_share_count =
        place == this->active->data_centres.end() ? 0 : place->second.entry_vms;
    this->slot_shares.set_share_count(now, this->slot_share_count);
    if (this->hooks.audit)
        this->hooks.audit("what=catalogue_activated version=" +
                          std::to_string(this->replica.active_version()));
}

void node::implementation::tick(time_point now, wall_time)
{
    this->present = now;
    this->requests.tick(now);
    this->limiter.tick(now);
    this->router.tick(now);
    if (now >= this->next_executor)
    {
        this->next_executor = now + executor_interval;
        this->executor.tick(now);
    }
    if (now >= this->next_slow)
    {
        this->next_slow = now + slow_interval;
        this->tick_slowly(now);
    }
}

// Releases the shares of a leaving VM: rates once callers have stopped using it and its
// loans have ended (until then others borrow from it), slots once nothing is in progress.
void node::implementation::release_shares(time_point now)
{
    if (!this->drain_began || now < *this->drain_began + this->options.drain_grace)
        return;
    this->limiter.drain(now);
    if (now >= this->limiter.loans_end())
        this->rate_shares.release(now);
    if (this->requests.in_progress() == 0)
        this->slot_shares.release(now);
}

void node::implementation::tick_slowly(time_point now)
{
    this->replica.tick(now);
    this->replica.update(now, this->members);
    this->read_vm_list(now);
    this->send_heartbeats(now);
    this->update_views(now);
    this->update_shares(now);
    this->update_weights(now);
    this->settle_limits(now);
    this->release_shares(now);
}

// Raises limits once every reachable VM has the version in force. VMs that cannot be
// reached keep their old limits for as long as they are cut off, so waiting for them
// would gain nothing.
void node::implementation::settle_limits(time_point now)
{
    if (this->limits_settled || !this->active)
        return;
    const bool held = this->members.holders(this->replica.active_version()) >=
                      this->members.fleet().reachable;
    if (!held || !this->held_since)
        this->held_since = held ? std::optional(now) : std::nullopt;
    if (!this->held_since || now < *this->held_since + settle_time)
        return;
    this->limits_settled = true;
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
        [this, watch = std::weak_ptr<bool>(this->alive)](
            const result<std::vector<store::vm_entry>>& answer)
        {
            if (watch.expired())
                return;
            this->reading_vm_list = false;
            if (answer)
                this->take_vm_list(answer.value());
        });
}

void node::implementation::take_vm_list(const std::vector<store::vm_entry>& entries)
{
    this->members.on_vm_list(this->present, entries);
    this->rate_shares.listed(this->present, entries);
    // Only VMs of one data centre share the slots of its upstreams.
    std::vector<store::vm_entry> local;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(local),
                 [this](const store::vm_entry& entry)
                 { return entry.data_centre == this->options.self.data_centre; });
    this->slot_shares.listed(this->present, local);
}

void node::implementation::send_heartbeats(time_point now)
{
    nlohmann::json load = nlohmann::json::object();
    for (const route::group_load& group : this->router.headroom(now))
        load[group.group] = group.free;
    if (const auto set = this->members.set_load(load); !set && this->hooks.report)
        this->hooks.report(set.error());
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
    route::share own{.indexes = slots, .count = this->slot_share_count};
    if (own != this->slot_share)
    {
        this->slot_share = own;
        this->router.set_share(now, std::move(own));
    }
    this->router.allow_growth(now);
}

void node::implementation::update_weights(time_point now)
{
    // The first weights are equal for all VMs known by then; later ones move in steps.
    if (!this->weights_from)
        this->weights_from = now + membership_warm_up;
    if (now < *this->weights_from)
        return;
    std::vector<::pistachiospan::lookup::vm_state> states;
    states.push_back({.vm = this->options.self.id,
                      .address = this->options.self.caller_address,
                      .draining = this->drain_began.has_value()});
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
    this->present = now;
    this->requests.set_present(now);
    this->rate_shares.heard(now, from);
    this->slot_shares.heard(now, from);
    if (type == heartbeat_type)
        return this->receive_heartbeat(now, from, from_incarnation, content);
    if (type == config::request_type || type == config::offer_type)
        return this->receive_config(now, from, type, content);
    if (type == share::share_query::type || type == share::share_answer::type)
        return this->receive_share(now, from, type, content);
    if (type == "borrow" || type == "grant" || type == "return_loan")
    {
        const result<void> taken = this->limiter.receive(now, from, type, content);
        if (!taken && this->hooks.report)
            this->hooks.report(taken.error());
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
        if (this->hooks.report)
            this->hooks.report(decoded.error());
        return;
    }
    const member::receipt got =
        this->members.on_heartbeat(now, from, from_incarnation, decoded.value());
    this->replica.on_heartbeat(now, from, decoded.value(), got);
    if (got.answer)
        this->hooks.send(got.answer->to, got.answer->address, heartbeat_type,
                         got.answer->message);
    if (const auto peer = this->members.find(from))
        this->observe_load(now, *peer);
}

void node::implementation::receive_share(time_point now, const vm_id& from,
                                         std::string_view type, const wire::body& content)
{
    const bool for_rates = content.is_object() && content.contains("scope") &&
                           content["scope"] == std::string(rate_scope);
    share::share_claimer& claimer = for_rates ? this->rate_shares : this->slot_shares;
    const result<void> taken = claimer.receive(now, from, type, content);
    if (!taken && this->hooks.report)
        this->hooks.report(taken.error());
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
        return;
    }
    const auto offer = wire::decode<config::config_offer>(content);
    if (offer)
        this->replica.on_offer(now, from, offer.value());
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
    nlohmann::json made{{"route", route},
                        {"ttl_ms", answer.ttl.count() / 1000},
                        {"entry_vms", std::move(vms)}};
    if (const auto key = this->executor.issue_key(wall))
        made["idempotency_key_prefix"] = *key + '~';
    return made;
}

void node::implementation::begin_drain(time_point now)
{
    if (this->drain_began)
        return;
    this->drain_began = now;
    this->members.set_draining(true);
    this->executor.leave(now);
}

// Callers' cached answers have expired, nothing is in progress, and shares and shards
// are handed over; or the limit has passed.
bool node::implementation::drained(time_point now) const
{
    if (!this->drain_began)
        return false;
    if (now >= *this->drain_began + drain_limit)
        return true;
    return now >= *this->drain_began + this->options.drain_grace &&
           this->requests.in_progress() == 0 && this->executor.has_left() &&
           this->rate_shares.released() && this->slot_shares.released();
}

bool node::implementation::ready() const
{
    return this->active != nullptr && this->weights_from &&
           this->present >= *this->weights_from;
}

node_status node::implementation::status(time_point now) const
{
    return {.active_version = this->replica.active_version(),
            .held_version = this->replica.held_version(),
            .digest = catalogue::digest(this->replica.held_text()),
            .ready = this->ready(),
            .draining = this->drain_began.has_value(),
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
    for (const decision_record& record : this->requests.journal())
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
    this->self->present = now;
    return this->self->requests.submit(now, wall, std::move(incoming), std::move(done));
}

exchange_id node::submit_relayed(time_point now, wall_time wall, relay_request incoming,
                                 answer_handler done)
{
    this->self->present = now;
    return this->self->requests.submit_relayed(now, wall, std::move(incoming),
                                               std::move(done));
}

void node::cancel(time_point now, exchange_id id)
{
    this->self->present = now;
    this->self->requests.cancel(now, id);
}

result<nlohmann::json> node::lookup(wall_time wall, std::string_view route)
{
    return this->self->lookup(wall, route);
}

result<void> node::offer(time_point now, catalogue_version version,
                         std::string_view digest, std::string_view text)
{
    this->self->present = now;
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

std::vector<route::upstream_view> node::upstreams(time_point now) const
{
    return this->self->router.upstreams(now);
}

const config::counters& node::config_counts() const
{
    return this->self->replica.statistics();
}

limit::statistics node::limit_counts() const
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
