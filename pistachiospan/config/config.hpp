// Replicates the catalogue to one VM: distributes versions between peers, activates them,
// and decides whether the active version is recent enough to check keys.
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
// A version is accepted once the transaction on catalogue/head has committed. The version
// held by this VM never decreases. The store may call its handlers at any later time.

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

// Value of the row catalogue/head, stored as JSON.
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

// Value of the row catalogue/log/<version>, stored as JSON.
struct log_entry
{
    std::string edit_id;
    std::string who;
    std::string when;
    catalogue_version from = 0;
    nlohmann::json difference; // make_difference() from the text of `from`, or null
    bool operator==(const log_entry&) const = default;
};

void to_json(nlohmann::json& out, const log_entry& value);
void from_json(const nlohmann::json& in, log_entry& value);

// Decodes the value of a row. Errors: invalid_argument if it is malformed.
result<head> parse_head(std::string_view value);
result<log_entry> parse_log_entry(std::string_view value);

// Returns the line-based difference: an array whose elements are either
// [first line, count], a range of lines to copy from `before`, or a string to insert.
nlohmann::json make_difference(std::string_view before, std::string_view after);

// Applies a result of make_difference(). The caller checks the digest of the result.
// Errors: invalid_argument if the difference is malformed or does not fit `before`.
result<std::string> apply_difference(std::string_view before,
                                     const nlohmann::json& difference);

// Asks a peer for `wanted_version` or a newer version. Encoded as an array in the order
// of the fields.
struct config_request
{
    catalogue_version held_version = 0;
    catalogue_version wanted_version = 0;
    std::uint32_t part = 0; // number of the part of the text to send
    bool operator==(const config_request&) const = default;
};

// Carries one part of a text, or the differences from version `from` to `version`.
// Encoded as an array in the order of the fields.
struct config_offer
{
    catalogue_version version = 0;
    std::string digest;
    catalogue_version from = 0; // 0: this message carries a part of the text
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
    // Region of the platform's store. If set, the policy `majority` also requires that a
    // majority of that region's VMs is reachable: a majority elsewhere cannot tell
    // whether the store still accepts edits from inside a partitioned region.
    std::string store_region;
    std::uint64_t seed = 0;
    duration poll_interval = std::chrono::seconds(1);
    // True: this VM polls at every interval regardless of its peers. Used as the baseline
    // in benchmarks.
    bool always_polls = false;
    // A VM that normally relies on its peers polls the store itself when it has had no
    // confirmation for this time plus up to fallback_poll_jitter.
    duration fallback_poll_delay = std::chrono::seconds(3);
    duration fallback_poll_jitter = std::chrono::seconds(1);
    duration confirm_within = std::chrono::seconds(5); // until a version is active
    // A new version is activated once a majority of VMs holds it, at the latest after
    // this time.
    duration max_activation_delay = std::chrono::seconds(2);
    std::size_t part_size = std::size_t{128} * 1024;
    std::size_t max_text_size = std::size_t{64} * 1024 * 1024;
};

struct hooks
{
    // Checks a text. A version with an error is held but not activated.
    std::function<result<void>(catalogue_version, std::string_view)> parse;
    std::function<void(catalogue_version, std::string_view)> activate;
    std::function<std::string(std::string_view)> digest;
    std::function<void(const vm_id&, std::string_view type, const wire::body&)> send;
    std::function<void(const error&)> report;
};

enum class admission_reason
{
    confirmed,          // the active version was the head within confirm_within
    policy_serve,       // the route's policy is `serve`
    majority_reachable, // policy `majority`: the store is unreachable for a majority
    no_catalogue,       // no version is active yet
    superseded,         // a newer version is known but not active on this VM
    unconfirmed,        // policy `refuse`: no recent confirmation
    cut_off,            // policy `majority`: this VM may be partitioned
    paused              // the process was suspended; its view of its peers is outdated
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
    std::uint64_t refused_texts = 0; // versions held that the parse hook refused
};

class replica
{
public:
    // The table, the object store and the view must outlive the replica.
    replica(options options, hooks callbacks, store::table& table,
            store::object_store& objects, const member::membership& view);

    void tick(time_point now);

    // Writes the catalogue state that the next heartbeats carry into `view`.
    void update(time_point now, member::membership& view) const;

    // Handle messages of authenticated peers.
    void on_heartbeat(time_point now, const vm_id& from, const member::heartbeat& message,
                      const member::heartbeat_result& receipt);
    void on_request(time_point now, const vm_id& from, const config_request& message);
    void on_offer(time_point now, const vm_id& from, const config_offer& message);

    // Takes a version that an operator's command reports as accepted by the store. The
    // caller must have authenticated the operator. Errors: invalid_argument if the digest
    // does not match the text, stale if this VM holds the version or a newer one.
    result<void> offer(time_point now, catalogue_version version, std::string_view digest,
                       std::string_view text);

    // Sets how long a confirmation by the store is valid, as the active catalogue
    // defines.
    void set_confirm_within(duration next)
    {
        this->settings.confirm_within = next;
    }

    // Returns whether a request on a keyed route may run. Not used for open routes.
    admission may_serve(time_point now, catalogue::unconfirmed_policy policy) const;

    // Age of the newest confirmation by the store, or nullopt if there is none.
    std::optional<duration> confirmation_age(time_point now) const
    {
        if (this->confirmed_version == 0)
            return std::nullopt;
        return now - this->confirmed_at;
    }

    catalogue_version held_version() const
    {
        return this->held.version;
    }
    catalogue_version active_version() const
    {
        return this->version_in_force;
    }
    const std::string& held_text() const
    {
        return this->held.text;
    }
    const counters& statistics() const
    {
        return this->counts;
    }

private:
    struct held_catalogue
    {
        catalogue_version version = 0;
        std::string digest;
        std::string text;
    };
    struct pending_version
    {
        catalogue_version version = 0;
        std::string text; // empty for the held version, whose text is in `held`
        time_point seen;
    };
    struct difference_range
    {
        catalogue_version from = 0;
        catalogue_version to = 0;
        std::vector<nlohmann::json> differences;
        std::size_t size = 0;
    };
    struct pending_request
    {
        config_request request;
        time_point until;
    };
    struct outgoing_request
    {
        vm_id peer;
        bool peer_has_version = false;
        time_point until;
    };
    struct partial_text
    {
        vm_id from;
        catalogue_version version = 0;
        std::string digest;
        std::uint32_t next_part = 0;
        std::string text;
    };
    struct store_fetch
    {
        head target;
        catalogue_version base_version = 0;
        std::map<catalogue_version, nlohmann::json> differences;
        bool object_requested = false;
        time_point until;
        std::uint64_t id = 0;
    };
    using event = std::function<void(replica&, time_point)>;

    void start(time_point now);
    bool polls_regularly() const;
    bool polls_as_substitute() const;
    bool updates_overdue(time_point now) const;
    void schedule_poll(time_point now);
    void poll(time_point now);
    void on_head(time_point now, time_point requested_at,
                 const result<std::optional<store::row>>&);
    void fetch(time_point now, const head& target);
    void fetch_object(time_point now);
    void on_log(time_point now, std::uint64_t fetch_id, catalogue_version version,
                const result<std::optional<store::row>>& answer);
    void on_object(time_point now, std::uint64_t fetch_id,
                   const result<std::string>& answer);
    void confirm(time_point at, catalogue_version version);
    std::optional<time_point> processed_confirmed_at() const;
    bool may_accept_from_peers(time_point now) const;
    void request_version(time_point now, const vm_id& peer, bool peer_has_version,
                         catalogue_version version);
    void send_text(const vm_id& to, const config_request& request);
    bool send_differences(const vm_id& to, const config_request& request);
    void accept_differences(time_point now, const vm_id& from,
                            const config_offer& message);
    void accept_part(time_point now, const vm_id& from, const config_offer& message);
    bool accept_text(time_point now, catalogue_version version, std::string_view digest,
                     std::string text, std::vector<nlohmann::json> differences);
    void add_recent_differences(difference_range added);
    void activate_due(time_point now);
    void activate(catalogue_version version, std::string_view text);
    void report(errc code, std::string message) const;

    options settings;
    hooks callbacks;
    store::table& table;
    store::object_store& objects;
    const member::membership& view;
    random_engine random;
    std::shared_ptr<std::vector<event>> inbox;
    bool started = false;
    time_point started_at;
    time_point last_tick;
    duration jitter{};

    held_catalogue held;
    catalogue_version version_in_force = 0;
    // Newest version that was activated, or a newer one that the parse hook refused.
    catalogue_version processed_version = 0;
    std::deque<pending_version> pending;
    std::deque<difference_range> recent_differences;

    // Newest confirmation by the store, and the newest time at which a confirmed version
    // was no newer than processed_version.
    catalogue_version confirmed_version = 0;
    time_point confirmed_at;
    std::optional<time_point> last_processed_confirmed_at;
    catalogue_version highest_seen = 0; // newest version that any peer has reported

    bool polling = false;
    time_point poll_until;
    time_point next_poll;
    time_point last_confirmed_by_self;
    duration poll_latency{};
    bool poll_failed = false;
    bool poll_confirmed = false;   // this VM's last poll succeeded
    bool fallback_polling = false; // a fallback poll is scheduled
    std::optional<store_fetch> current_fetch;
    std::uint64_t last_fetch_id = 0;
    std::optional<time_point> behind_since; // a newer version is known but not held

    std::optional<outgoing_request> outgoing;
    std::optional<partial_text> incoming;
    std::map<vm_id, pending_request> pending_requests;
    counters counts;
};

} // namespace pistachiospan::config

#endif
