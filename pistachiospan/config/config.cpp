#include "pistachiospan/config/config.hpp"

#include <algorithm>
#include <utility>

namespace pistachiospan::config
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// An outstanding call to the store counts as failed after this time.
constexpr duration store_timeout = seconds(2);

// A peer that does not send the requested version within this time is given up.
constexpr duration request_timeout = milliseconds(1500);

// A request for a version that this VM does not hold yet is kept this long.
constexpr duration waiter_time = seconds(3);
constexpr std::size_t waiter_limit = 64;

// Without the text for this long, a VM that knows of a newer version reads the store.
constexpr duration fetch_patience = seconds(2);

// Versions that are fetched as differences; further behind, the text is fetched.
constexpr catalogue_version difference_limit = 16;

// Differences kept for peers that are behind.
constexpr std::size_t steps_bytes_limit = std::size_t{64} * 1024;

// Versions that wait for activation at once; edits rarely follow each other this fast.
constexpr std::size_t pending_limit = 4;

// Ages count as this much longer, against clocks that run at different rates.
constexpr double drift_allowance = 1.01;

// The process was paused when it did not tick for this long.
constexpr duration pause_limit = seconds(2);

duration with_drift(duration age)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(age.count()) * drift_allowance + 1000.0));
}

} // namespace

replica::replica(options given, hooks calls, store::table& table,
                 store::object_store& objects, const member::membership& view)
    : settings(std::move(given)), calls(std::move(calls)), table(table), objects(objects),
      view(view), random(this->settings.seed),
      inbox(std::make_shared<std::vector<event>>())
{
}

void replica::report(errc code, std::string message) const
{
    this->calls.report(error{make_error_code(code), std::move(message)});
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
    if (this->fetching && now >= this->fetching->until)
        this->fetching.reset();
    if (this->confirmed <= this->held.version)
        this->behind_since.reset();
    else if (!this->behind_since)
        this->behind_since = now;
    this->schedule_poll(now);
    std::erase_if(this->waiters,
                  [&](const auto& entry) { return entry.second.until <= now; });
    this->activate_due(now);
}

// One VM of each data centre polls each second.
bool replica::polls_regularly() const
{
    return this->view.rank() == 0 || this->held.version == 0 ||
           this->settings.always_polls;
}

// A VM that took over from a poller without store access. It stops as soon as a peer has
// newer confirmations.
bool replica::polls_as_substitute() const
{
    return this->poll_confirmed && this->confirmed_at <= this->last_confirmed_by_self;
}

// True when peers have stopped to pass on confirmations or the newest text.
bool replica::lacks_news(time_point now) const
{
    if (this->confirmed == 0 ||
        now - this->confirmed_at > this->settings.fallback_poll_delay + this->jitter)
        return true;
    return this->behind_since && now - *this->behind_since > fetch_patience;
}

// Without news, each of n VMs polls about every n seconds, so that an outage of the store
// or of the poller costs about one more read per second for the data centre. The first of
// these polls comes sooner, to replace a failed poller within confirm_within.
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
    if (regular || substitute || !this->lacks_news(now))
        this->fallback = false;
    else if (!this->fallback)
    {
        this->fallback = true;
        this->next_poll = now + random_below(spread / 4);
    }
    if (this->polling || now < this->next_poll ||
        (!regular && !substitute && !this->fallback))
        return;
    // A substitute waits for 1.5 to 2.5 s: within that time the regular poller's
    // confirmations arrive, whatever the phases of the two.
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
    ++this->counted.head_reads;
    const std::weak_ptr<std::vector<event>> box = this->inbox;
    this->table.get(std::string(head_key),
                    [box, now](result<std::optional<store::row>> answer)
                    {
                        const auto open = box.lock();
                        if (!open)
                            return;
                        open->push_back([asked = now, answer = std::move(answer)](
                                            replica& self, time_point then)
                                        { self.on_head(then, asked, answer); });
                    });
}

// The confirmation counts from the time of the question, since the answer may be late.
void replica::on_head(time_point now, time_point asked,
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
        return this->report(errc::stale,
                            "the store's head is version " +
                                std::to_string(found.version) + ", older than version " +
                                std::to_string(this->held.version) +
                                " held here; restore the store's newest state");
    this->poll_confirmed = true;
    this->poll_latency = now - asked;
    this->last_confirmed_by_self = asked;
    this->confirm(asked, found.version);
    if (found.version <= this->held.version)
        return;
    this->fetch(now, found);
}

void replica::fetch(time_point now, const head& target)
{
    if (this->fetching && this->fetching->target.version >= target.version)
        return;
    this->fetching = store_fetch{.target = target,
                                 .base = this->held.version,
                                 .until = now + store_timeout,
                                 .number = ++this->fetch_number};
    const catalogue_version base = this->held.version;
    if (base == 0 || target.version - base > difference_limit)
        return this->fetch_object(now);
    for (catalogue_version version = base + 1; version <= target.version; ++version)
    {
        ++this->counted.log_reads;
        const std::weak_ptr<std::vector<event>> box = this->inbox;
        this->table.get(
            log_key(version),
            [box, version,
             number = this->fetch_number](result<std::optional<store::row>> answer)
            {
                if (const auto open = box.lock())
                    open->push_back([number, version, answer = std::move(answer)](
                                        replica& self, time_point then)
                                    { self.on_log(then, number, version, answer); });
            });
    }
}

void replica::fetch_object(time_point now)
{
    store_fetch& current = *this->fetching;
    if (current.object)
        return;
    current.object = true;
    current.until = now + store_timeout;
    ++this->counted.object_reads;
    const std::weak_ptr<std::vector<event>> box = this->inbox;
    this->objects.get(current.target.object,
                      [box, number = current.number](result<std::string> answer)
                      {
                          if (const auto open = box.lock())
                              open->push_back([number, answer = std::move(answer)](
                                                  replica& self, time_point then)
                                              { self.on_object(then, number, answer); });
                      });
}

void replica::on_log(time_point now, std::uint64_t number, catalogue_version version,
                     const result<std::optional<store::row>>& answer)
{
    if (!this->fetching || this->fetching->number != number || this->fetching->object)
        return;
    store_fetch& current = *this->fetching;
    const bool present = answer.has_value() && answer.value().has_value();
    const result<log_entry> entry =
        present ? parse_log_entry(answer.value()->value) : result<log_entry>(log_entry{});
    if (!entry || entry.value().from + 1 != version || entry.value().difference.is_null())
        return this->fetch_object(now);
    current.differences.emplace(version, entry.value().difference);
    if (current.differences.size() < current.target.version - current.base)
        return;
    if (this->held.version != current.base)
        return this->fetching.reset();
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
    if (!this->hold(now, target.version, target.digest, std::move(text),
                    std::move(differences)))
        return this->fetch_object(now);
    ++this->counted.differences_applied;
    this->fetching.reset();
}

void replica::on_object(time_point now, std::uint64_t number,
                        const result<std::string>& answer)
{
    if (!this->fetching || this->fetching->number != number)
        return;
    const head target = this->fetching->target;
    this->fetching.reset();
    if (!answer)
        return;
    if (this->hold(now, target.version, target.digest, answer.value(), {}))
        ++this->counted.texts_received;
}

// Records that `version` was head at `at`.
void replica::confirm(time_point at, catalogue_version version)
{
    this->highest_seen = std::max(this->highest_seen, version);
    if (version < this->confirmed)
        return;
    this->covered_time = this->covered_at();
    if (version > this->confirmed || at > this->confirmed_at)
    {
        this->confirmed = version;
        this->confirmed_at = at;
    }
    if (version <= this->passed)
        this->covered_time = std::max(this->covered_time.value_or(at), at);
}

// Newest time at which no version newer than the one in force had been accepted.
std::optional<time_point> replica::covered_at() const
{
    if (this->confirmed != 0 && this->confirmed <= this->passed)
        return std::max(this->covered_time.value_or(this->confirmed_at),
                        this->confirmed_at);
    return this->covered_time;
}

admission replica::may_serve(time_point now, catalogue::unconfirmed_policy policy) const
{
    using enum admission_reason;
    if (this->active == 0)
        return {.serve = false, .reason = no_catalogue};
    const std::optional<time_point> at = this->covered_at();
    if (at && now - *at <= this->settings.confirm_within)
        return {.serve = true, .reason = confirmed};
    if (policy == catalogue::unconfirmed_policy::serve)
        return {.serve = true, .reason = policy_serve};
    if (std::max(this->highest_seen, this->confirmed) > this->passed)
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
                                  .active_version = this->active};
    if (this->held.version != 0)
        state.digest = member::short_digest(this->held.digest);
    if (this->confirmed != 0)
    {
        state.confirmed_version = this->confirmed;
        state.confirmation_age = with_drift(now - this->confirmed_at);
    }
    target.set_catalogue(now, state);
    const bool source =
        this->poll_confirmed && (this->polls_regularly() || this->polls_as_substitute());
    target.set_next_refresh(source ? this->next_poll + this->poll_latency : time_point{});
    target.set_seeks_confirmation(!this->poll_confirmed && this->started &&
                                  this->poll_failed);
}

// An empty VM takes versions from peers only with the store's confirmation, its own or
// passed on by a peer, or, while the store is unreachable, when a majority of the known
// VMs has answered. Empty VMs do not count as answers.
bool replica::may_take_from_peers(time_point now) const
{
    if (this->held.version != 0)
        return true;
    if (this->confirmed != 0 && now - this->confirmed_at <= this->settings.confirm_within)
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
        ++this->counted.digest_failures;
        this->report(errc::conflict, "VM " + from.value +
                                         " holds another text of version " +
                                         std::to_string(state.held_version) +
                                         "; compare both with the store");
    }
    const catalogue_version newest =
        std::max(state.held_version, state.confirmed_version);
    if (newest <= this->held.version || !this->may_take_from_peers(now))
        return;
    if (this->held.version == 0 && state.held_version < this->highest_seen &&
        state.confirmed_version < this->highest_seen)
        return;
    this->ask(now, from, state.held_version >= newest, newest);
}

void replica::ask(time_point now, const vm_id& peer, bool holds, catalogue_version want)
{
    const bool outstanding = this->asked && now < this->asked->until;
    if (outstanding && (this->asked->holds || !holds))
        return;
    this->asked =
        asked_peer{.peer = peer, .holds = holds, .until = now + request_timeout};
    this->calls.send(
        peer, request_type,
        config_request{.held_version = this->held.version, .wanted_version = want});
}

void replica::on_request(time_point now, const vm_id& from, const config_request& message)
{
    if (this->held.version != 0 && this->held.version >= message.wanted_version)
        return this->serve(from, message);
    if (this->waiters.size() < waiter_limit || this->waiters.contains(from))
        this->waiters[from] = waiter{.request = message, .until = now + waiter_time};
}

void replica::serve(const vm_id& to, const config_request& request)
{
    if (request.held_version >= this->held.version)
        return;
    if (request.part == 0 && this->serve_differences(to, request))
        return;
    const std::string& text = this->held.text;
    const std::size_t size = this->settings.part_size;
    const std::size_t parts = std::max<std::size_t>((text.size() + size - 1) / size, 1);
    const std::size_t part = request.part < parts ? request.part : 0;
    this->calls.send(to, offer_type,
                     config_offer{.version = this->held.version,
                                  .digest = this->held.digest,
                                  .part = static_cast<std::uint32_t>(part),
                                  .parts = static_cast<std::uint32_t>(parts),
                                  .text = text.substr(part * size, size)});
}

bool replica::serve_differences(const vm_id& to, const config_request& request)
{
    config_offer message{.version = this->held.version,
                         .digest = this->held.digest,
                         .from = request.held_version,
                         .differences = nlohmann::json::array()};
    catalogue_version at = request.held_version;
    for (const step& next : this->steps)
    {
        if (next.from != at)
            continue;
        for (const nlohmann::json& difference : next.differences)
            message.differences.push_back(difference);
        at = next.to;
    }
    if (request.held_version == 0 || at != this->held.version)
        return false;
    this->calls.send(to, offer_type, message);
    return true;
}

void replica::on_offer(time_point now, const vm_id& from, const config_offer& message)
{
    if (message.version <= this->held.version || !this->may_take_from_peers(now))
        return;
    if (this->held.version == 0 && message.version < this->highest_seen)
        return;
    if (message.from != 0)
        this->take_differences(now, from, message);
    else
        this->take_part(now, from, message);
}

void replica::take_differences(time_point now, const vm_id& from,
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
    if (valid && this->hold(now, message.version, message.digest, std::move(text),
                            std::move(differences)))
    {
        ++this->counted.differences_applied;
        return;
    }
    this->asked = asked_peer{.peer = from, .holds = true, .until = now + request_timeout};
    this->calls.send(
        from, request_type,
        config_request{.held_version = 0, .wanted_version = message.version});
}

void replica::take_part(time_point now, const vm_id& from, const config_offer& message)
{
    const bool follows = this->incoming && this->incoming->from == from &&
                         this->incoming->version == message.version &&
                         this->incoming->digest == message.digest &&
                         this->incoming->next == message.part;
    if (!follows && message.part != 0)
        return;
    if (!follows)
        this->incoming =
            assembly{.from = from, .version = message.version, .digest = message.digest};
    assembly& current = *this->incoming;
    current.text += message.text;
    ++current.next;
    if (current.text.size() > this->settings.max_text_size)
        return this->incoming.reset();
    if (current.next < message.parts)
    {
        this->asked =
            asked_peer{.peer = from, .holds = true, .until = now + request_timeout};
        this->calls.send(from, request_type,
                         config_request{.held_version = this->held.version,
                                        .wanted_version = message.version,
                                        .part = current.next});
        return;
    }
    std::string text = std::move(current.text);
    this->incoming.reset();
    if (this->hold(now, message.version, message.digest, std::move(text), {}))
        ++this->counted.texts_received;
}

result<void> replica::offer(time_point now, catalogue_version version,
                            std::string_view digest, std::string_view text)
{
    if (version <= this->held.version)
        return failure(errc::stale, "version " + std::to_string(version) +
                                        " or a newer one is held; nothing to do");
    if (!this->hold(now, version, digest, std::string(text), {}))
        return failure(errc::invalid_argument,
                       "the text does not match its digest; send it again");
    return boost::outcome_v2::success();
}

// Takes a version that is newer than the held one. False: the digest does not match.
bool replica::hold(time_point now, catalogue_version version, std::string_view digest,
                   std::string text, std::vector<nlohmann::json> differences)
{
    if (version <= this->held.version)
        return true;
    if (this->calls.digest(text) != digest)
    {
        ++this->counted.digest_failures;
        this->report(errc::invalid_argument,
                     "the text of version " + std::to_string(version) +
                         " does not match its digest; it is fetched again");
        return false;
    }
    if (this->held.version != 0)
    {
        if (differences.empty())
            differences.push_back(make_difference(this->held.text, text));
        this->remember_step({.from = this->held.version,
                             .to = version,
                             .differences = std::move(differences)});
    }
    if (!this->pending.empty() && this->pending.back().version == this->held.version)
        this->pending.back().text = this->held.text;
    this->held = held_text_state{
        .version = version, .digest = std::string(digest), .text = std::move(text)};
    this->highest_seen = std::max(this->highest_seen, version);
    this->asked.reset();
    const result<void> parsed = this->calls.parse(version, this->held.text);
    if (parsed)
    {
        if (this->pending.size() >= pending_limit)
            this->pending.erase(std::prev(this->pending.end()));
        this->pending.push_back({.version = version, .text = {}, .seen = now});
    }
    else
    {
        ++this->counted.refused_texts;
        this->report(errc::invalid_argument,
                     "version " + std::to_string(version) +
                         " is held and not put in force: " + parsed.error().message);
    }
    for (const auto& [peer, waiting] : std::exchange(this->waiters, {}))
        if (waiting.request.wanted_version <= version)
            this->serve(peer, waiting.request);
        else
            this->waiters.emplace(peer, waiting);
    this->activate_due(now);
    return true;
}

void replica::remember_step(step added)
{
    for (const nlohmann::json& difference : added.differences)
        added.size += nlohmann::json::to_msgpack(difference).size();
    this->steps.push_back(std::move(added));
    std::size_t total = 0;
    for (const step& kept : this->steps)
        total += kept.size;
    while (!this->steps.empty() &&
           (total > steps_bytes_limit || this->steps.size() > difference_limit))
    {
        total -= this->steps.front().size;
        this->steps.pop_front();
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
    // A refused version counts as covered when nothing before it still waits.
    if (this->pending.empty())
        this->passed = std::max(this->passed, this->held.version);
}

void replica::activate(catalogue_version version, std::string_view text)
{
    if (version <= this->active)
        return;
    this->active = version;
    this->passed = std::max(this->passed, version);
    this->calls.activate(version, text);
}

} // namespace pistachiospan::config
