// Edits of the catalogue: each edit id is accepted exactly once or not at all, whatever
// happens to the store's answers.
//
// Example:
//
//     editor operator_command(table, objects, {.after = call_later});
//     operator_command.apply(now, {.edit_id = "rates-17", .who = "anna", .text = text},
//                            [](result<edit_outcome> outcome) { ... });
//
// An edit is one transaction that writes four rows:
//
//     catalogue/head          {version, digest, edit, object}, on its known revision
//     catalogue/log/<n>       {edit, who, when, from, difference, digest, object}
//     catalogue/edit/<id>     {version, request}, only if absent
//     audit/<time>-<edit id>  {who, what, when, from, to, edit, changes}
//
// The text is put before, as an object whose name contains its digest: a racing edit to
// the same version can't overwrite it.

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

// A version and its text. Version 0 and no text: nothing has been accepted yet.
struct snapshot
{
    head catalogue_head;
    store::revision rev = 0; // of the row catalogue/head
    std::string text;
};

struct proposal
{
    std::string edit_id; // the same when an edit is repeated, else never used before
    std::string who;
    std::string text;
    std::string file_name = "catalogue"; // for messages
    // For the audit row. A repeated edit is known by its text if this is "apply", else by
    // this value.
    std::string what = "apply";
    // Version from which the text was made. Absent: the version in force is replaced,
    // whatever it is.
    std::optional<catalogue_version> base_version;
};

struct edit_outcome
{
    catalogue_version version =
        0;                  // in which the edit is, or the present one if unchanged
    bool repeated = false;  // the edit id had been accepted before this call
    bool unchanged = false; // the text in force is the same; nothing was written
    std::vector<catalogue::change> changes; // empty if repeated
};

struct drain_request
{
    std::string edit_id;
    std::string who;
    std::string address; // ip:port of an upstream
    bool drain = true;   // false: removes the mark
};

struct editor_options
{
    // Failed calls of the store in one edit; more if a transaction may have committed.
    std::uint32_t max_attempts = 6;
    std::uint32_t max_uncertain_attempts = 20;
    duration initial_delay = std::chrono::milliseconds(100); // doubles to max_delay
    duration max_delay = std::chrono::seconds(2);
    std::uint32_t max_drain_attempts = 5; // conflicts met by one drain
    // Calls the function after the time. Absent: at once.
    std::function<void(duration, std::function<void()>)> after;
    // Difference of two texts for peers, stored in the log row. Absent: null.
    std::function<nlohmann::json(std::string_view, std::string_view)> difference;
};

// Errors of all calls:
//     invalid_argument  the text or an argument is refused; nothing was changed
//     conflict          another edit was accepted; the message names it and its author
//     unavailable       the store can't be reached; nothing was changed
//     unknown_outcome   the edit may have been accepted; the same call tells
// Calls may run at the same time. The store must outlive the calls, not the editor.
class editor
{
public:
    editor(store::table& rows, store::object_store& objects, editor_options options);

    void apply(wall_time now, proposal proposed, store::handler<edit_outcome> done);

    // Marks an upstream in the version in force. Repeats after conflicts, since the mark
    // does not depend on what else the catalogue says.
    void drain(wall_time now, drain_request request, store::handler<edit_outcome> done);

    // The version in force.
    void current(store::handler<snapshot> done);

private:
    store::table& rows;
    store::object_store& objects;
    editor_options options;
};

// "2026-12-04T03:14:15.000250Z"
std::string to_text(wall_time when);

// `; based on version 17` as the first line of a text names the version from which it was
// made. It is no part of the accepted text.
std::optional<catalogue_version> parse_base_version(std::string_view text);
std::string add_base_line(std::string_view text, catalogue_version version);
std::string_view remove_base_line(std::string_view text);

} // namespace pistachiospan::edit

#endif
