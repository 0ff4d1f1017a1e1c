// Applies edits to the catalogue. Each edit id is accepted at most once, even if requests
// to the store or its answers are lost, late or repeated.
//
// Example:
//
//     editor operator_command(table, objects, {.after = call_later});
//     operator_command.apply(now, {.edit_id = "rates-17", .who = "anna", .text = text},
//                            [](result<edit_outcome> outcome) { ... });
//
// An edit is one transaction that writes four rows:
//
//     catalogue/head          {version, digest, edit, object}, if not changed since
//     catalogue/log/<n>       {edit, who, when, from, difference, digest, object}
//     catalogue/edit/<id>     {version, request}, if absent
//     audit/<time>-<edit id>  {who, what, when, from, to, edit, changes}
//
// Before the transaction the text is stored as an object whose name contains its digest,
// so that a concurrent edit to the same version cannot overwrite it.

#ifndef PISTACHIOSPAN_EDIT_EDIT_HPP
#define PISTACHIOSPAN_EDIT_EDIT_HPP

#include "pistachiospan/base/base.hpp"
#include "pistachiospan/catalogue/catalogue.hpp"
#include "pistachiospan/config/config.hpp"
#include "pistachiospan/store/store.hpp"

#include <optional>
#include <vector>

namespace pistachiospan::edit
{

// Value of the row catalogue/head.
using config::head;

// A version and its text. Version 0 with an empty text means that no edit has been
// accepted yet.
struct snapshot
{
    head catalogue_head;
    store::revision rev = 0; // of the row catalogue/head
    std::string text;
};

struct proposal
{
    std::string edit_id; // the same when an edit is repeated, otherwise not used before
    std::string who;
    std::string text;
    std::string file_name = "catalogue"; // for error messages
    // Description for the audit row. It also identifies a repeated edit, unless it is
    // "apply": then the digest of the text does.
    std::string what = "apply";
    // Version on which the text is based. If absent, the current version is replaced,
    // whatever it is.
    std::optional<catalogue_version> base_version;
};

struct edit_outcome
{
    // Version that the edit created, or the current version if `unchanged`.
    catalogue_version version = 0;
    bool repeated = false;  // the edit id had been accepted before this call
    bool unchanged = false; // the current text is the same; nothing was written
    std::vector<catalogue::change> changes; // empty if repeated
};

struct drain_request
{
    std::string edit_id;
    std::string who;
    std::string address; // ip:port of an upstream
    bool drain = true;   // false: removes the drain mark
};

struct editor_options
{
    // Failed calls to the store after which an edit gives up. The second limit applies if
    // a transaction may have committed, since its outcome should then be found out.
    std::uint32_t max_attempts = 6;
    std::uint32_t max_uncertain_attempts = 20;
    duration initial_delay = std::chrono::milliseconds(100); // doubles up to max_delay
    duration max_delay = std::chrono::seconds(2);
    std::uint32_t max_drain_attempts = 5; // conflicts after which a drain gives up
    // Calls the function after the delay. If absent, retries run at once.
    std::function<void(duration, std::function<void()>)> after;
    // Computes the difference between two texts, which is stored in the log row for
    // peers. If absent, null is stored.
    std::function<nlohmann::json(std::string_view, std::string_view)> difference;
};

// Errors of all calls:
//     invalid_argument  the text or an argument is invalid; nothing was changed
//     conflict          another edit was accepted; the message names it and its author
//     unavailable       the store cannot be reached; nothing was changed
//     unknown_outcome   the edit may have been accepted; repeat the call to find out
// Calls may overlap. The store must outlive the calls; the editor need not.
class editor
{
public:
    editor(store::table& table, store::object_store& objects, editor_options options);

    void apply(wall_time now, proposal proposed, store::handler<edit_outcome> done);

    // Sets or removes the drain mark of an upstream in the current version. Retries after
    // a conflict, since the mark does not depend on the rest of the catalogue.
    void drain(wall_time now, drain_request request, store::handler<edit_outcome> done);

    // Reads the current version: the one that catalogue/head names.
    void current(store::handler<snapshot> done);

private:
    store::table& table;
    store::object_store& objects;
    editor_options options;
};

// Formats a time in UTC, such as "2026-12-04T03:14:15.000250Z".
std::string to_text(wall_time when);

// The first line of a text may be `; based on version 17`, which names the version that
// was edited. This line is not part of the accepted text.
std::optional<catalogue_version> parse_base_version(std::string_view text);
std::string add_base_line(std::string_view text, catalogue_version version);
std::string_view remove_base_line(std::string_view text);

} // namespace pistachiospan::edit

#endif
