// Versions of the catalogue on one VM: propagation, activation, freshness of keys.
//
// Example:
//
//     replica config({.self = {"vm-1"}, .store_region = "montreal", .seed = 1},
//                    {.parse = parse, .activate = activate, .digest = catalogue::digest,
//                     .send = send_to_peer, .report = log_warning},
//                    table, objects, view);
//     config.tick(now); // every 50 to 100 ms, before view.tick(now)
//     config.update(now, view);
//     config.on_heartbeat(now, from, heartbeat, receipt);
//     const admission decision = config.may_serve(now, unconfirmed_policy::majority);
//     if (!decision.serve)
//         return refusal("stale_configuration", describe(decision.reason));
//
// A version is accepted when the transaction on catalogue/head has committed. Versions
// held by this VM only rise. All handlers of the store may be called at any later time.

#ifndef PISTACHIOSPAN_CONFIG_CONFIG_HPP
#define PISTACHIOSPAN_CONFIG_CONFIG_HPP

#include "pistachiospan/base/base.hpp"
#include "pistachiospan/catalogue/catalogue.hpp"
#include "pistachiospan/member/member.hpp"
#include "pistachiospan/store/store.hpp"
#include "pistachiospan/wire/wire.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pistachiospan::config
{

inline constexpr std::string_view head_key = "catalogue/head";
std::string log_key(catalogue_version version);     // "catalogue/log/<version>"
std::string object_name(catalogue_version version); // "catalogue/<version>"

// Value of the row catalogue/head, as JSON.
struct head
{
    catalogue_version version = 0;
    std::string digest;
    std::string edit_id;
    std::string object;
    bool operator==(const head&) const = default;
};

void to_json(nlohmann::json& out, const head& value);
void from_json(const nlohmann::json& in, head& value);

// Value of the row catalogue/log/<version>, as JSON.
struct log_entry
{
    std::string edit_id;
    std::string who;
    std::string when;
    catalogue_version from = 0;
    nlohmann::json difference; // make_difference() from the text of `from`; null: none
    bool operator==(const log_entry&) const = default;
};

void to_json(nlohmann::json& out, const log_entry& value);
void from_json(const nlohmann::json& in, log_entry& value);

// Decodes the value of a row. Errors: invalid_argument.
result<head> parse_head(std::string_view value);
result<log_entry> parse_log_entry(std::string_view value);

// Line-based difference: an array of [first line, count] to copy and strings to insert.
nlohmann::json make_difference(std::string_view before, std::string_view after);

// Errors: invalid_argument. The caller checks the digest of the result.
result<std::string> apply_difference(std::string_view before,
                                     const nlohmann::json& difference);

// "Send me version `want` or a newer one; I hold `have`."
struct config_request
{
    catalogue_version held_version = 0;
    catalogue_version wanted_version = 0;
    std::uint32_t part = 0;
    bool operator==(const config_request&) const = default;
};

// A part of a text, or the differences from version `from` to `version`.
struct config_offer
{
    catalogue_version version = 0;
    std::string digest;
    catalogue_version from = 0; // 0: text
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::string text;
    nlohmann::json differences; // array of make_difference() results
    bool operator==(const config_offer&) const = default;
};

void to_json(nlohmann::json& out, const config_request& value);
void from_json(const nlohmann::json& in, config_request& value);
void to_json(nlohmann::json& out, const config_offer& value);
void from_json(const nlohmann::json& in, config_offer& value);

inline constexpr std::string_view request_type = "config_request";
inline constexpr std::string_view offer_type = "config_offer";

struct options
{
    vm_id self;
    // Region of the platform's store. When it is set, unconfirmed = majority also needs a
    // majority of that region's VMs: a majority elsewhere cannot tell whether the store
    // accepts edits from inside a partitioned region.
    std::string store_region;
    std::uint64_t seed = 0;
    duration poll_interval = std::chrono::seconds(1);
    // True: this VM polls at each interval, whatever its peers say (baseline).
    bool always_polls = false;
    // Polls without a confirmation start after this time plus up to fallback_poll_jitter.
    duration fallback_poll_delay = std::chrono::seconds(3);
    duration fallback_poll_jitter = std::chrono::seconds(1);
    duration confirm_within = std::chrono::seconds(5); // until a version is in force
    duration max_activation_delay = std::chrono::seconds(2);
    std::size_t part_size = std::size_t{128} * 1024;
    std::size_t max_text_size = std::size_t{64} * 1024 * 1024;
};

struct hooks
{
    // Checks a text. An error keeps the version held but not in force.
    std::function<result<void>(catalogue_version, std::string_view)> parse;
    std::function<void(catalogue_version, std::string_view)> activate;
    std::function<std::string(std::string_view)> digest;
    std::function<void(const vm_id&, std::string_view type, const wire::body&)> send;
    std::function<void(const error&)> report;
};

enum class admission_reason
{
    confirmed,          // the version in force was head within confirm_within
    policy_serve,       // unconfirmed = serve
    majority_reachable, // unconfirmed = majority, and the store is down for all
    no_catalogue,       // no version is in force yet
    superseded,         // a newer version is known and not in force here
    unconfirmed,        // unconfirmed = refuse, and no confirmation
    cut_off,            // unconfirmed = majority, and this VM may be cut off
    paused              // the process did not run lately; its view is too old
};

std::string_view describe(admission_reason reason);

struct admission
{
    bool serve = false;
    admission_reason reason = admission_reason::no_catalogue;
};

struct counters
{
    std::uint64_t head_reads = 0;
    std::uint64_t log_reads = 0;
    std::uint64_t object_reads = 0;
    std::uint64_t differences_applied = 0;
    std::uint64_t texts_received = 0;
    std::uint64_t digest_failures = 0;
    std::uint64_t refused_texts = 0; // held, did not parse
};

class replica
{
public:
    // The table, the objects and the view outlive the replica.
    replica(options options, hooks hooks, store::table& table,
            store::object_store& objects, const member::membership& view);

    void tick(time_point now);

    // Writes the catalogue state for the next heartbeats into `view`.
    void update(time_point now, member::membership& view) const;

    // Messages of authenticated peers.
    void on_heartbeat(time_point now, const vm_id& from, const member::heartbeat& message,
                      const member::heartbeat_result& receipt);
    void on_request(time_point now, const vm_id& from, const config_request& message);
    void on_offer(time_point now, const vm_id& from, const config_offer& message);

    // An edit that the operator command reports as accepted. The caller has authenticated
    // the operator. Errors: invalid_argument when the digest does not match, stale when
    // this VM holds the version or a newer one.
    result<void> offer(time_point now, catalogue_version version, std::string_view digest,
                       std::string_view text);

    // Time for which a confirmation by the store holds; the version in force says it.
    void set_confirm_within(duration next)
    {
        this->settings.confirm_within = next;
    }

    // Whether a request on a keyed route may run. Open routes do not ask.
    admission may_serve(time_point now, catalogue::unconfirmed_policy policy) const;

    // Age of the newest store confirmation; nothing if there is none.
    std::optional<duration> confirmation_age(time_point now) const
    {
        if (this->confirmed == 0)
            return std::nullopt;
        return now - this->confirmed_at;
    }

    catalogue_version held_version() const
    {
        return this->held.version;
    }
    catalogue_version active_version() const
    {
        return this->active;
    }
    const std::string& held_text() const
    {
        return this->held.text;
    }
    const counters& statistics() const
    {
        return this->counted;
    }

private:
    struct held_text_state
    {
        catalogue_version version = 0;
        std::string digest;
        std::string text;
    };
    struct pending_version
    {
        catalogue_version version = 0;
        std::string text; // empty for the held version
        time_point seen;
    };
    struct step
    {
        catalogue_version from = 0;
        catalogue_version to = 0;
        std::vector<nlohmann::json> differences;
        std::size_t size = 0;
    };
    struct waiter
    {
        config_request request;
        time_point until;
    };
    struct asked_peer
    {
        vm_id peer;
        bool holds = false;
        time_point until;
    };
    struct assembly
    {
        vm_id from;
        catalogue_version version = 0;
        std::string digest;
        std::uint32_t next = 0;
        std::string text;
    };
    struct store_fetch
    {
        head target;
        catalogue_version base = 0;
        std::map<catalogue_version, nlohmann::json> differences;
        bool object = false;
        time_point until;
        std::uint64_t number = 0;
    };
    using event = std::function<void(replica&, time_point)>;

    void start(time_point now);
    bool polls_regularly() const;
    bool polls_as_substitute() const;
    bool lacks_news(time_point now) const;
    void schedule_poll(time_point now);
    void poll(time_point now);
    void on_head(time_point now, time_point asked,
                 const result<std::optional<store::row>>&);
    void fetch(time_point now, const head& target);
    void fetch_object(time_point now);
    void on_log(time_point now, std::uint64_t fetch, catalogue_version version,
                const result<std::optional<store::row>>& answer);
    void on_object(time_point now, std::uint64_t fetch,
                   const result<std::string>& answer);
    void confirm(time_point at, catalogue_version version);
    std::optional<time_point> covered_at() const;
    bool may_take_from_peers(time_point now) const;
    void ask(time_point now, const vm_id& peer, bool holds, catalogue_version want);
    void serve(const vm_id& to, const config_request& request);
    bool serve_differences(const vm_id& to, const config_request& request);
    void take_differences(time_point now, const vm_id& from, const config_offer& message);
    void take_part(time_point now, const vm_id& from, const config_offer& message);
    bool hold(time_point now, catalogue_version version, std::string_view digest,
              std::string text, std::vector<nlohmann::json> differences);
    void remember_step(step added);
    void activate_due(time_point now);
    void activate(catalogue_version version, std::string_view text);
    void report(errc code, std::string message) const;

    options settings;
    hooks calls;
    store::table& table;
    store::object_store& objects;
    const member::membership& view;
    random_engine random;
    std::shared_ptr<std::vector<event>> inbox;
    bool started = false;
    time_point started_at;
    time_point last_tick;
    duration jitter{};

    held_text_state held;
    catalogue_version active = 0;
    catalogue_version passed =
        0; // newest version in force, or newer and refused by parse
    std::deque<pending_version> pending;
    std::deque<step> steps;

    // Newest store confirmation, and the newest one for a version that is covered.
    catalogue_version confirmed = 0;
    time_point confirmed_at;
    std::optional<time_point> covered_time;
    catalogue_version highest_seen = 0; // of any peer

    bool polling = false;
    time_point poll_until;
    time_point next_poll;
    time_point last_confirmed_by_self;
    duration poll_latency{};
    bool poll_failed = false;
    bool poll_confirmed = false; // the newest own poll succeeded
    bool fallback = false;       // a poll without confirmations is scheduled
    std::optional<store_fetch> fetching;
    std::uint64_t fetch_number = 0;
    std::optional<time_point> behind_since; // a newer version is known and not held

    std::optional<asked_peer> asked;
    std::optional<assembly> incoming;
    std::map<vm_id, waiter> waiters;
    counters counted;
};

} // namespace pistachiospan::config

#endif
