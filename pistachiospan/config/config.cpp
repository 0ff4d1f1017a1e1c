#include "pistachiospan/config/config.hpp"

#include <algorithm>
#include <utility>

namespace pistachiospan::config
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// A call to the store without an answer counts as failed after this time.
constexpr duration store_timeout = seconds(2);

// Another peer may be asked when the requested version has not arrived within this
// time.
constexpr duration request_timeout = milliseconds(1500);

// A peer's request for a version that this VM does not hold yet is kept this long.
constexpr duration pending_request_lifetime = seconds(3);
constexpr std::size_t max_pending_requests = 64;

// A VM that knows of a newer version and has not received its text from a peer within
// this time polls the store itself.
constexpr duration peer_text_timeout = seconds(2);

// A VM that is more than this many versions behind fetches the full text instead of
// differences.
constexpr catalogue_version difference_limit = 16;

// Bytes of differences that are kept for peers that are behind.
constexpr std::size_t max_recent_differences_size = std::size_t{64} * 1024;

// Versions that wait for activation at the same time. More would need edits that follow
// each other faster than activation, which is rare.
constexpr std::size_t pending_limit = 4;

// Ages are multiplied by this factor, since the VMs' clocks may run at different rates.
constexpr double drift_allowance = 1.01;

// The process counts as paused when it has not ticked for this long.
constexpr duration pause_limit = seconds(2);

duration with_drift(duration age)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(age.count()) * drift_allowance + 1000.0));
}

} // namespace

replica::replica(options options, hooks callbacks, store::table& table,
                 store::object_store& objects, const member::membership& view)
    : settings(std::move(options)), callbacks(std::move(callbacks)), table(table),
      objects(objects), view(view), random(this->settings.seed),
      inbox(std::make_shared<std::vector<event>>())
{
}

void replica::report(errc code, std::string message) const
{
    this->callbacks.report(error{make_error_code(code), std::move(message)});
}

void replica::start(time_point now)
{
    this->started = true;
    this->started_at = now;
    this->next_poll = now;
    this->jitter = duration(static_cast<duration::rep>(
        this->random() %
        static_cast<std::uint64_t>(this->settings.fallback_poll_jitter.count() + 1)));
}

void replica::tick(time_point now)
{
    if (!this->started)
        this->start(now);
    this->last_tick = now;
    std::vector<event> events;
    events.swap(*this->inbox);
    for (const event& next : events)
        next(*this, now);
    if (this->polling && now >= this->poll_until)
    {
        this->polling = false;
        this->poll_failed = true;
        this->poll_confirmed = false;
    }
    if (this->current_fetch && now >= this->current_fetch->until)
        this->current_fetch.reset();
    if (this->confirmed_version <= this->held.version)
        this->behind_since.reset();
    else if (!this->behind_since)
        this->behind_since = now;
    this->schedule_poll(now);
    std::erase_if(this->pending_requests,
                  [&](const auto& entry) { return entry.second.until <= now; });
    this->activate_due(now);
}

// The first VM of each data centre polls at every interval, and so does a VM without a
// catalogue.
bool replica::polls_regularly() const
{
    return this->view.rank() == 0 || this->held.version == 0 ||
           this->settings.always_polls;
}

// Whether this VM replaces a regular poller that has no access to the store. It stops as
// soon as a peer passes on newer confirmations.
bool replica::polls_as_substitute() const
{
    return this->poll_confirmed && this->confirmed_at <= this->last_confirmed_by_self;
}

// Whether peers have stopped passing on confirmations or the newest text.
bool replica::updates_overdue(time_point now) const
{
    if (this->confirmed_version == 0 ||
        now - this->confirmed_at > this->settings.fallback_poll_delay + this->jitter)
        return true;
    return this->behind_since && now - *this->behind_since > peer_text_timeout;
}

// Without updates from peers, each of the n VMs of a data centre polls about once per n
// intervals, so that an outage of the store or of the regular poller adds only about one
// read per interval for the data centre. The first of these polls comes earlier, to
// replace a failed poller within confirm_within.
void replica::schedule_poll(time_point now)
{
    const auto random_below = [this](duration span)
    {
        return duration(static_cast<duration::rep>(
            this->random() % static_cast<std::uint64_t>(span.count())));
    };
    const duration spread = std::max<std::size_t>(this->view.data_centre_size(), 2) *
                            this->settings.poll_interval;
    const bool regular = this->polls_regularly();
    const bool substitute = !regular && this->polls_as_substitute();
    if (regular || substitute || !this->updates_overdue(now))
        this->fallback_polling = false;
    else if (!this->fallback_polling)
    {
        this->fallback_polling = true;
        this->next_poll = now + random_below(spread / 4);
    }
    if (this->polling || now < this->next_poll ||
        (!regular && !substitute && !this->fallback_polling))
        return;
    // A substitute waits for 1.5 to 2.5 intervals. Within that time confirmations of a
    // working regular poller arrive, whenever either of the two polls.
    const duration interval = this->settings.poll_interval;
    duration wait = regular ? interval : spread / 2 + random_below(spread);
    if (substitute)
        wait = interval * 3 / 2 + random_below(interval);
    this->next_poll = now + wait;
    this->poll(now);
}

void replica::poll(time_point now)
{
    this->polling = true;
    this->poll_until = now + store_timeout;
    ++this->counts.head_reads;
    const std::weak_ptr<std::vector<event>> weak_inbox = this->inbox;
    this->table.get(std::string(head_key),
                    [weak_inbox, now](result<std::optional<store::row>> answer)
                    {
                        const auto inbox = weak_inbox.lock();
                        if (!inbox)
                            return;
                        inbox->push_back(
                            [requested_at = now, answer = std::move(answer)](
                                replica& self, time_point handled_at)
                            { self.on_head(handled_at, requested_at, answer); });
                    });
}

// The confirmation counts from the time of the request, since the answer may be late.
void replica::on_head(time_point now, time_point requested_at,
                      const result<std::optional<store::row>>& answer)
{
    if (now < this->poll_until)
        this->polling = false;
    this->poll_failed = !answer.has_value();
    this->poll_confirmed = false;
    if (!answer || !answer.value())
        return;
    const result<head> parsed = parse_head(answer.value()->value);
    if (!parsed)
        return this->report(errc::invalid_argument, parsed.error().message);
    const head& found = parsed.value();
    if (found.version < this->held.version)
        return this->report(
            errc::stale, "the store's head is version " + std::to_string(found.version) +
                             ", older than version " +
                             std::to_string(this->held.version) +
                             " held by this VM; restore the newest state of the store");
    this->poll_confirmed = true;
    this->poll_latency = now - requested_at;
    this->last_confirmed_by_self = requested_at;
    this->confirm(requested_at, found.version);
    if (found.version <= this->held.version)
        return;
    this->fetch(now, found);
}

void replica::fetch(time_point now, const head& target)
{
    if (this->current_fetch && this->current_fetch->target.version >= target.version)
        return;
    this->current_fetch = store_fetch{.target = target,
                                      .base_version = this->held.version,
                                      .until = now + store_timeout,
                                      .id = ++this->last_fetch_id};
    const catalogue_version base = this->held.version;
    if (base == 0 || target.version - base > difference_limit)
        return this->fetch_object(now);
    for (catalogue_version version = base + 1; version <= target.version; ++version)
    {
        ++this->counts.log_reads;
        const std::weak_ptr<std::vector<event>> weak_inbox = this->inbox;
        this->table.get(
            log_key(version),
            [weak_inbox, version,
             fetch_id = this->last_fetch_id](result<std::optional<store::row>> answer)
            {
                if (const auto inbox = weak_inbox.lock())
                    inbox->push_back(
                        [fetch_id, version,
                         answer = std::move(answer)](replica& self, time_point handled_at)
                        { self.on_log(handled_at, fetch_id, version, answer); });
            });
    }
}

void replica::fetch_object(time_point now)
{
    store_fetch& current = *this->current_fetch;
    if (current.object_requested)
        return;
    current.object_requested = true;
    current.until = now + store_timeout;
    ++this->counts.object_reads;
    const std::weak_ptr<std::vector<event>> weak_inbox = this->inbox;
    this->objects.get(current.target.object,
                      [weak_inbox, fetch_id = current.id](result<std::string> answer)
                      {
                          if (const auto inbox = weak_inbox.lock())
                              inbox->push_back(
                                  [fetch_id, answer = std::move(answer)](
                                      replica& self, time_point handled_at)
                                  { self.on_object(handled_at, fetch_id, answer); });
                      });
}

void replica::on_log(time_point now, std::uint64_t fetch_id, catalogue_version version,
                     const result<std::optional<store::row>>& answer)
{
    if (!this->current_fetch || this->current_fetch->id != fetch_id ||
        this->current_fetch->object_requested)
        return;
    store_fetch& current = *this->current_fetch;
    const bool present = answer.has_value() && answer.value().has_value();
    const result<log_entry> entry =
        present ? parse_log_entry(answer.value()->value) : result<log_entry>(log_entry{});
    if (!entry || entry.value().from + 1 != version || entry.value().difference.is_null())
        return this->fetch_object(now);
    current.differences.emplace(version, entry.value().difference);
    if (current.differences.size() < current.target.version - current.base_version)
        return;
    if (this->held.version != current.base_version)
        return this->current_fetch.reset();
    std::vector<nlohmann::json> differences;
    std::string text = this->held.text;
    for (const auto& [to, difference] : current.differences)
    {
        result<std::string> next = apply_difference(text, difference);
        if (!next)
            return this->fetch_object(now);
        text = std::move(next.value());
        differences.push_back(difference);
    }
    const head target = current.target;
    if (!this->accept_text(now, target.version, target.digest, std::move(text),
                           std::move(differences)))
        return this->fetch_object(now);
    ++this->counts.differences_applied;
    this->current_fetch.reset();
}

void replica::on_object(time_point now, std::uint64_t fetch_id,
                        const result<std::string>& answer)
{
    if (!this->current_fetch || this->current_fetch->id != fetch_id)
        return;
    const head target = this->current_fetch->target;
    this->current_fetch.reset();
    if (!answer)
        return;
    if (this->accept_text(now, target.version, target.digest, answer.value(), {}))
        ++this->counts.texts_received;
}

// Records that `version` was the head of the store at the time `at`.
void replica::confirm(time_point at, catalogue_version version)
{
    this->highest_seen = std::max(this->highest_seen, version);
    if (version < this->confirmed_version)
        return;
    this->last_processed_confirmed_at = this->processed_confirmed_at();
    if (version > this->confirmed_version || at > this->confirmed_at)
    {
        this->confirmed_version = version;
        this->confirmed_at = at;
    }
    if (version <= this->processed_version)
        this->last_processed_confirmed_at =
            std::max(this->last_processed_confirmed_at.value_or(at), at);
}

// Newest time at which no version newer than processed_version had been accepted.
std::optional<time_point> replica::processed_confirmed_at() const
{
    if (this->confirmed_version != 0 &&
        this->confirmed_version <= this->processed_version)
        return std::max(this->last_processed_confirmed_at.value_or(this->confirmed_at),
                        this->confirmed_at);
    return this->last_processed_confirmed_at;
}

admission replica::may_serve(time_point now, catalogue::unconfirmed_policy policy) const
{
    using enum admission_reason;
    if (this->version_in_force == 0)
        return {.serve = false, .reason = no_catalogue};
    const std::optional<time_point> at = this->processed_confirmed_at();
    if (at && now - *at <= this->settings.confirm_within)
        return {.serve = true, .reason = confirmed};
    if (policy == catalogue::unconfirmed_policy::serve)
        return {.serve = true, .reason = policy_serve};
    if (std::max(this->highest_seen, this->confirmed_version) > this->processed_version)
        return {.serve = false, .reason = superseded};
    if (policy == catalogue::unconfirmed_policy::refuse)
        return {.serve = false, .reason = unconfirmed};
    if (now - this->last_tick > pause_limit)
        return {.serve = false, .reason = paused};
    const std::string& region = this->settings.store_region;
    if (!this->view.fleet().majority_reachable() ||
        (!region.empty() && !this->view.region(region).majority_reachable()))
        return {.serve = false, .reason = cut_off};
    return {.serve = true, .reason = majority_reachable};
}

void replica::update(time_point now, member::membership& target) const
{
    member::catalogue_state state{.held_version = this->held.version,
                                  .active_version = this->version_in_force};
    if (this->held.version != 0)
        state.digest = member::short_digest(this->held.digest);
    if (this->confirmed_version != 0)
    {
        state.confirmed_version = this->confirmed_version;
        state.confirmation_age = with_drift(now - this->confirmed_at);
    }
    target.set_catalogue(now, state);
    const bool source =
        this->poll_confirmed && (this->polls_regularly() || this->polls_as_substitute());
    target.set_next_refresh(source ? this->next_poll + this->poll_latency : time_point{});
    target.set_seeks_confirmation(!this->poll_confirmed && this->started &&
                                  this->poll_failed);
}

// A VM without a catalogue accepts versions from peers only if the store has confirmed a
// version, to this VM or through a peer, or, while the store is unreachable, if a
// majority of the known VMs has reported a version. VMs without a catalogue do not count.
bool replica::may_accept_from_peers(time_point now) const
{
    if (this->held.version != 0)
        return true;
    if (this->confirmed_version != 0 &&
        now - this->confirmed_at <= this->settings.confirm_within)
        return true;
    if (!this->poll_failed || now - this->started_at < this->settings.fallback_poll_delay)
        return false;
    const std::size_t known = this->view.fleet().known;
    return this->view.version_report_count() * 2 >= known;
}

void replica::on_heartbeat(time_point now, const vm_id& from,
                           const member::heartbeat& message,
                           const member::heartbeat_result& receipt)
{
    const member::catalogue_state& state = message.catalogue;
    this->highest_seen = std::max(this->highest_seen, state.held_version);
    if (receipt.composed_after && state.confirmed_version != 0)
        this->confirm(*receipt.composed_after - with_drift(state.confirmation_age),
                      state.confirmed_version);
    if (state.held_version == this->held.version && state.held_version != 0 &&
        state.digest != member::short_digest(this->held.digest))
    {
        ++this->counts.digest_failures;
        this->report(errc::conflict,
                     "VM " + from.value + " holds a different text of version " +
                         std::to_string(state.held_version) +
                         "; compare both texts with the one in the store");
    }
    const catalogue_version newest =
        std::max(state.held_version, state.confirmed_version);
    if (newest <= this->held.version || !this->may_accept_from_peers(now))
        return;
    if (this->held.version == 0 && state.held_version < this->highest_seen &&
        state.confirmed_version < this->highest_seen)
        return;
    this->request_version(now, from, state.held_version >= newest, newest);
}

void replica::request_version(time_point now, const vm_id& peer, bool peer_has_version,
                              catalogue_version version)
{
    const bool outstanding = this->outgoing && now < this->outgoing->until;
    if (outstanding && (this->outgoing->peer_has_version || !peer_has_version))
        return;
    this->outgoing = outgoing_request{.peer = peer,
                                      .peer_has_version = peer_has_version,
                                      .until = now + request_timeout};
    this->callbacks.send(
        peer, request_type,
        config_request{.held_version = this->held.version, .wanted_version = version});
}

void replica::on_request(time_point now, const vm_id& from, const config_request& message)
{
    if (this->held.version != 0 && this->held.version >= message.wanted_version)
        return this->send_text(from, message);
    if (this->pending_requests.size() < max_pending_requests ||
        this->pending_requests.contains(from))
        this->pending_requests[from] =
            pending_request{.request = message, .until = now + pending_request_lifetime};
}

void replica::send_text(const vm_id& to, const config_request& request)
{
    if (request.held_version >= this->held.version)
        return;
    if (request.part == 0 && this->send_differences(to, request))
        return;
    const std::string& text = this->held.text;
    const std::size_t size = this->settings.part_size;
    const std::size_t parts = std::max<std::size_t>((text.size() + size - 1) / size, 1);
    const std::size_t part = request.part < parts ? request.part : 0;
    this->callbacks.send(to, offer_type,
                         config_offer{.version = this->held.version,
                                      .digest = this->held.digest,
                                      .part = static_cast<std::uint32_t>(part),
                                      .parts = static_cast<std::uint32_t>(parts),
                                      .text = text.substr(part * size, size)});
}

bool replica::send_differences(const vm_id& to, const config_request& request)
{
    config_offer message{.version = this->held.version,
                         .digest = this->held.digest,
                         .from = request.held_version,
                         .differences = nlohmann::json::array()};
    catalogue_version at = request.held_version;
    for (const difference_range& next : this->recent_differences)
    {
        if (next.from != at)
            continue;
        for (const nlohmann::json& difference : next.differences)
            message.differences.push_back(difference);
        at = next.to;
    }
    if (request.held_version == 0 || at != this->held.version)
        return false;
    this->callbacks.send(to, offer_type, message);
    return true;
}

void replica::on_offer(time_point now, const vm_id& from, const config_offer& message)
{
    if (message.version <= this->held.version || !this->may_accept_from_peers(now))
        return;
    if (this->held.version == 0 && message.version < this->highest_seen)
        return;
    if (message.from != 0)
        this->accept_differences(now, from, message);
    else
        this->accept_part(now, from, message);
}

void replica::accept_differences(time_point now, const vm_id& from,
                                 const config_offer& message)
{
    if (message.from != this->held.version || !message.differences.is_array())
        return;
    std::string text = this->held.text;
    std::vector<nlohmann::json> differences;
    bool valid = true;
    for (const nlohmann::json& difference : message.differences)
    {
        result<std::string> next = apply_difference(text, difference);
        valid = valid && next.has_value();
        if (!valid)
            break;
        text = std::move(next.value());
        differences.push_back(difference);
    }
    if (valid && this->accept_text(now, message.version, message.digest, std::move(text),
                                   std::move(differences)))
    {
        ++this->counts.differences_applied;
        return;
    }
    this->outgoing = outgoing_request{
        .peer = from, .peer_has_version = true, .until = now + request_timeout};
    this->callbacks.send(
        from, request_type,
        config_request{.held_version = 0, .wanted_version = message.version});
}

void replica::accept_part(time_point now, const vm_id& from, const config_offer& message)
{
    const bool follows = this->incoming && this->incoming->from == from &&
                         this->incoming->version == message.version &&
                         this->incoming->digest == message.digest &&
                         this->incoming->next_part == message.part;
    if (!follows && message.part != 0)
        return;
    if (!follows)
        this->incoming = partial_text{
            .from = from, .version = message.version, .digest = message.digest};
    partial_text& current = *this->incoming;
    current.text += message.text;
    ++current.next_part;
    if (current.text.size() > this->settings.max_text_size)
        return this->incoming.reset();
    if (current.next_part < message.parts)
    {
        this->outgoing = outgoing_request{
            .peer = from, .peer_has_version = true, .until = now + request_timeout};
        this->callbacks.send(from, request_type,
                             config_request{.held_version = this->held.version,
                                            .wanted_version = message.version,
                                            .part = current.next_part});
        return;
    }
    std::string text = std::move(current.text);
    this->incoming.reset();
    if (this->accept_text(now, message.version, message.digest, std::move(text), {}))
        ++this->counts.texts_received;
}

result<void> replica::offer(time_point now, catalogue_version version,
                            std::string_view digest, std::string_view text)
{
    if (version <= this->held.version)
        return failure(errc::stale,
                       "version " + std::to_string(version) +
                           " or a newer one is already held; nothing was changed");
    if (!this->accept_text(now, version, digest, std::string(text), {}))
        return failure(errc::invalid_argument,
                       "the text does not match its digest; send it again");
    return boost::outcome_v2::success();
}

// Stores a text if its version is newer than the held one. Returns false if the digest
// does not match.
bool replica::accept_text(time_point now, catalogue_version version,
                          std::string_view digest, std::string text,
                          std::vector<nlohmann::json> differences)
{
    if (version <= this->held.version)
        return true;
    if (this->callbacks.digest(text) != digest)
    {
        ++this->counts.digest_failures;
        this->report(
            errc::invalid_argument,
            "the text of version " + std::to_string(version) +
                " does not match its digest; the text is discarded and fetched again");
        return false;
    }
    if (this->held.version != 0)
    {
        if (differences.empty())
            differences.push_back(make_difference(this->held.text, text));
        this->add_recent_differences({.from = this->held.version,
                                      .to = version,
                                      .differences = std::move(differences)});
    }
    if (!this->pending.empty() && this->pending.back().version == this->held.version)
        this->pending.back().text = this->held.text;
    this->held = held_catalogue{
        .version = version, .digest = std::string(digest), .text = std::move(text)};
    this->highest_seen = std::max(this->highest_seen, version);
    this->outgoing.reset();
    const result<void> parsed = this->callbacks.parse(version, this->held.text);
    if (parsed)
    {
        if (this->pending.size() >= pending_limit)
            this->pending.erase(std::prev(this->pending.end()));
        this->pending.push_back({.version = version, .text = {}, .seen = now});
    }
    else
    {
        ++this->counts.refused_texts;
        this->report(errc::invalid_argument,
                     "version " + std::to_string(version) +
                         " was refused by the parser and is not activated: " +
                         parsed.error().message);
    }
    for (const auto& [peer, waiting] : std::exchange(this->pending_requests, {}))
        if (waiting.request.wanted_version <= version)
            this->send_text(peer, waiting.request);
        else
            this->pending_requests.emplace(peer, waiting);
    this->activate_due(now);
    return true;
}

void replica::add_recent_differences(difference_range added)
{
    for (const nlohmann::json& difference : added.differences)
        added.size += nlohmann::json::to_msgpack(difference).size();
    this->recent_differences.push_back(std::move(added));
    std::size_t total = 0;
    for (const difference_range& kept : this->recent_differences)
        total += kept.size;
    while (!this->recent_differences.empty() &&
           (total > max_recent_differences_size ||
            this->recent_differences.size() > difference_limit))
    {
        total -= this->recent_differences.front().size;
        this->recent_differences.pop_front();
    }
}

void replica::activate_due(time_point now)
{
    const bool majority =
        !this->pending.empty() &&
        this->view.holders(this->held.version) * 2 > this->view.fleet().known;
    while (!this->pending.empty())
    {
        const bool newest = this->pending.back().version == this->held.version;
        if (!(majority && newest) &&
            now - this->pending.front().seen < this->settings.max_activation_delay)
            break;
        const pending_version next = std::move(this->pending.front());
        this->pending.pop_front();
        if (majority && newest && !this->pending.empty())
            continue;
        this->activate(next.version, next.version == this->held.version
                                         ? std::string_view(this->held.text)
                                         : std::string_view(next.text));
    }
    // A refused version counts as processed once no earlier version waits for activation.
    if (this->pending.empty())
        this->processed_version = std::max(this->processed_version, this->held.version);
}

void replica::activate(catalogue_version version, std::string_view text)
{
    if (version <= this->version_in_force)
        return;
    this->version_in_force = version;
    this->processed_version = std::max(this->processed_version, version);
    this->callbacks.activate(version, text);
}

} // namespace pistachiospan::config
