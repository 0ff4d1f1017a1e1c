#include "pistachiospan/edit/edit.hpp"

#include "pistachiospan/ini/ini.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <memory>

namespace pistachiospan::edit
{

using config::head_key;
using config::log_key;

namespace
{

constexpr std::size_t max_id_size = 64;
constexpr std::size_t max_author_size = 64;
// Keeps audit rows small: of further changes only the number is stored, since the texts
// contain all of them.
constexpr std::size_t max_changes_stored = 100;
constexpr std::string_view apply_request = "apply";
constexpr std::string_view base_line_prefix = "; based on version ";

std::string edit_key(const std::string& edit_id)
{
    return "catalogue/edit/" + edit_id;
}

// Replaces invalid UTF-8 in names and texts, which JSON rows cannot contain.
std::string dump(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

template <class T>
result<T> parse_row(const store::row& row)
{
    try
    {
        return nlohmann::json::parse(row.value).get<T>();
    }
    catch (const nlohmann::json::exception& problem)
    {
        return failure(errc::internal_error, "row " + row.key + " is malformed (" +
                                                 problem.what() +
                                                 "); restore it from the audit rows");
    }
}

nlohmann::json to_json_list(const std::vector<catalogue::change>& changes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const catalogue::change& each : changes)
    {
        if (list.size() == max_changes_stored)
        {
            list.push_back({{"omitted", changes.size() - max_changes_stored}});
            break;
        }
        list.push_back({{"entry", each.entry},
                        {"field", each.field},
                        {"before", each.before},
                        {"after", each.after}});
    }
    return list;
}

result<bool> check(const proposal& proposed)
{
    const auto is_id_character = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '_' || c == '.' || c == '-';
    };
    const std::string& id = proposed.edit_id;
    if (id.empty() || id.size() > max_id_size ||
        !std::all_of(id.begin(), id.end(), is_id_character))
        return failure(errc::invalid_argument,
                       "'" + id +
                           "' is not an edit id; use 1 to 64 letters, digits, '_', '.' "
                           "and '-'");
    if (proposed.who.empty() || proposed.who.size() > max_author_size)
        return failure(errc::invalid_argument,
                       "the author is missing or too long; name the author of the edit "
                       "with 1 to 64 bytes");
    return true;
}

// Retries of calls to the store, shared by all operations.
class store_calls
{
public:
    store_calls(store::table& table, store::object_store& objects, editor_options options)
        : table(table), objects(objects), options(std::move(options))
    {
    }

    // Counts a failed call. Calls `again` after a delay, or `give_up` if too many calls
    // have failed or the error is permanent.
    void retry(const error& cause, bool uncertain, std::function<void()> again,
               const std::function<void()>& give_up)
    {
        const bool temporary =
            cause.code == errc::unavailable || cause.code == errc::unknown_outcome ||
            cause.code == errc::timeout || cause.code == errc::limit_exceeded;
        const std::uint32_t limit =
            uncertain ? this->options.max_uncertain_attempts : this->options.max_attempts;
        if (++this->failed_calls >= limit || !temporary)
            return give_up();
        const duration delay = this->next_delay;
        this->next_delay = std::min(2 * delay, this->options.max_delay);
        if (this->options.after)
            this->options.after(delay, std::move(again));
        else
            again();
    }

    store::table& table;
    store::object_store& objects;
    editor_options options;

private:
    std::uint32_t failed_calls = 0;
    duration next_delay = this->options.initial_delay;
};

result<snapshot> check_text(snapshot read, const result<std::string>& text)
{
    if (!text)
        return text.error();
    if (catalogue::digest(text.value()) != read.catalogue_head.digest)
        return failure(errc::not_found, "object " + read.catalogue_head.object +
                                            " does not have the digest of version " +
                                            std::to_string(read.catalogue_head.version) +
                                            "; store the text of this version again");
    read.text = text.value();
    return read;
}

// One edit in progress. The handlers that it passes to the store keep it alive.
class edit_run : public std::enable_shared_from_this<edit_run>
{
public:
    edit_run(store_calls calls, wall_time now, proposal proposed,
             store::handler<edit_outcome> done)
        : calls(std::move(calls)), now(now), proposed(std::move(proposed)),
          done(std::move(done)), digest(catalogue::digest(this->proposed.text))
    {
    }

    void start()
    {
        const auto valid = check(this->proposed);
        if (!valid)
            return this->fail(valid.error());
        auto parsed =
            catalogue::parse_catalogue(this->proposed.text, this->proposed.file_name);
        if (!parsed)
            return this->fail(parsed.error());
        this->parsed = std::move(parsed).value();
        this->read_state();
    }

private:
    using row_handler = std::function<void(const std::optional<store::row>&)>;

    // Reads a row and retries after failures.
    void read(const std::string& key, const row_handler& then)
    {
        this->calls.table.get(
            key,
            [self = this->shared_from_this(), key,
             then](const result<std::optional<store::row>>& answer)
            {
                if (answer)
                    return then(answer.value());
                self->retry([self, key, then] { self->read(key, then); }, answer.error());
            });
    }

    void retry(std::function<void()> again, const error& cause)
    {
        this->calls.retry(cause, this->uncertain, std::move(again),
                          [this, &cause] { this->give_up(cause); });
    }

    void give_up(const error& cause)
    {
        if (this->uncertain)
            return this->fail({make_error_code(errc::unknown_outcome),
                               "edit '" + this->proposed.edit_id +
                                   "' may have been accepted: " + cause.message +
                                   "; repeat the same command with the same edit id to "
                                   "learn the outcome; nothing is applied twice"});
        const bool refused =
            cause.code == errc::invalid_argument || cause.code == errc::permission_denied;
        this->fail({refused ? cause.code : make_error_code(errc::unavailable),
                    "nothing was changed: " + cause.message +
                        "; repeat the command when the store is reachable"});
    }

    void fail(error cause)
    {
        this->done(std::move(cause));
    }

    // Reads the head before the row of the edit: once the head's revision has changed, no
    // transaction on the old revision can commit, so the row of the edit is final.
    void read_state()
    {
        this->read(std::string(head_key),
                   [this](const std::optional<store::row>& row)
                   {
                       snapshot read;
                       if (row)
                       {
                           auto parsed = parse_row<head>(*row);
                           if (!parsed)
                               return this->fail(parsed.error());
                           read.catalogue_head = std::move(parsed).value();
                           read.rev = row->rev;
                       }
                       this->read_edit(std::move(read));
                   });
    }

    void read_edit(snapshot read)
    {
        this->read(edit_key(this->proposed.edit_id),
                   [this, read = std::move(read)](const std::optional<store::row>& row)
                   {
                       if (row)
                           return this->finish_recorded(*row);
                       if (!this->started)
                           return this->begin(read);
                       if (read.rev != this->before.rev)
                           return this->report_conflict(read);
                       this->transact();
                   });
    }

    void finish_recorded(const store::row& row)
    {
        const auto parsed = parse_row<nlohmann::json>(row);
        if (!parsed)
            return this->fail(parsed.error());
        const nlohmann::json& record = parsed.value();
        if (!record.is_object() ||
            record.value("request", "") != this->request_identity())
            return this->fail({make_error_code(errc::invalid_argument),
                               "edit id '" + this->proposed.edit_id +
                                   "' was used for another edit; choose a new edit id"});
        edit_outcome outcome{.version = record.value("version", catalogue_version{0}),
                             .repeated = !this->started};
        if (this->started)
            outcome.changes = this->changes;
        this->done(std::move(outcome));
    }

    // Distinguishes a repeated edit from another edit with the same id.
    const std::string& request_identity() const
    {
        return this->proposed.what == apply_request ? this->digest : this->proposed.what;
    }

    void begin(const snapshot& read)
    {
        this->started = true;
        this->before = read;
        const auto base = this->proposed.base_version;
        if (base && *base != read.catalogue_head.version)
            return this->report_conflict(read);
        if (read.catalogue_head.version > 0 && read.catalogue_head.digest == this->digest)
            return this->done(
                edit_outcome{.version = read.catalogue_head.version, .unchanged = true});
        if (read.catalogue_head.version == 0)
            return this->put_text();
        this->read_text();
    }

    void read_text()
    {
        this->calls.objects.get(
            this->before.catalogue_head.object,
            [self = this->shared_from_this()](const result<std::string>& answer)
            {
                if (!answer && answer.error().code != errc::not_found)
                    return self->retry([self] { self->read_text(); }, answer.error());
                // A missing or damaged text must not prevent the edit that replaces it.
                auto checked = check_text(self->before, answer);
                if (checked)
                    self->before = std::move(checked).value();
                self->put_text();
            });
    }

    void put_text()
    {
        const auto old = catalogue::parse_catalogue(this->before.text, "catalogue");
        this->changes =
            catalogue::compare(old ? old.value() : catalogue::catalogue(), this->parsed);
        this->calls.objects.put(
            this->next_head().object, this->proposed.text,
            [self = this->shared_from_this()](const result<bool>& answer)
            {
                // Safe to repeat, since the name contains the digest of the text.
                if (!answer)
                    return self->retry([self] { self->put_text(); }, answer.error());
                self->transact();
            });
    }

    head next_head() const
    {
        const catalogue_version version = this->before.catalogue_head.version + 1;
        return {.version = version,
                .digest = this->digest,
                .edit_id = this->proposed.edit_id,
                .object = "catalogue/" + std::to_string(version) + "-" + this->digest};
    }

    std::vector<store::conditional_write> writes() const
    {
        const head next = this->next_head();
        const std::string when = to_text(this->now);
        nlohmann::json difference;
        if (this->calls.options.difference && this->before.catalogue_head.version > 0)
            difference =
                this->calls.options.difference(this->before.text, this->proposed.text);
        const nlohmann::json log = {{"edit", next.edit_id},
                                    {"who", this->proposed.who},
                                    {"when", when},
                                    {"from", this->before.catalogue_head.version},
                                    {"difference", difference},
                                    {"digest", next.digest},
                                    {"object", next.object}};
        const nlohmann::json record = {{"version", next.version},
                                       {"request", this->request_identity()}};
        const nlohmann::json audit = {{"who", this->proposed.who},
                                      {"what", this->proposed.what},
                                      {"when", when},
                                      {"from", this->before.catalogue_head.version},
                                      {"to", next.version},
                                      {"edit", next.edit_id},
                                      {"changes", to_json_list(this->changes)}};
        std::string audit_key = "audit/" + when;
        audit_key += "-" + next.edit_id;
        return {{.key = std::string(head_key),
                 .expected = this->before.rev,
                 .value = dump(next)},
                {.key = log_key(next.version), .value = dump(log)},
                {.key = edit_key(next.edit_id), .value = dump(record)},
                {.key = audit_key, .value = dump(audit)}};
    }

    // Every retry expects the same revision, so at most one of them commits, even if an
    // earlier one takes effect late.
    void transact()
    {
        this->calls.table.transact(this->writes(),
                                   [self = this->shared_from_this()](
                                       const result<store::transaction_outcome>& answer)
                                   { self->handle_outcome(answer); });
    }

    void handle_outcome(const result<store::transaction_outcome>& answer)
    {
        if (answer && answer.value().committed)
            return this->done(edit_outcome{.version = this->next_head().version,
                                           .changes = this->changes});
        if (answer)
            return this->resolve_conflict();
        const auto self = this->shared_from_this();
        if (answer.error().code == errc::unknown_outcome)
            this->uncertain = true;
        this->retry([self] { self->read_state(); }, answer.error());
    }

    // A conflict although the head is unchanged cannot be resolved by another attempt.
    void resolve_conflict()
    {
        this->read(std::string(head_key),
                   [this](const std::optional<store::row>& row)
                   {
                       if ((row ? row->rev : 0) != this->before.rev)
                           return this->read_state();
                       this->fail({make_error_code(errc::internal_error),
                                   "the rows of version " +
                                       std::to_string(this->next_head().version) +
                                       " exist although it is not the head; remove row " +
                                       log_key(this->next_head().version) +
                                       " after checking the audit rows"});
                   });
    }

    void report_conflict(const snapshot& read)
    {
        this->read(log_key(read.catalogue_head.version),
                   [this, read](const std::optional<store::row>& row)
                   {
                       std::string who = "unknown";
                       if (row)
                       {
                           const auto parsed = parse_row<nlohmann::json>(*row);
                           if (parsed && parsed.value().is_object())
                               who = parsed.value().value("who", who);
                       }
                       const std::string base =
                           std::to_string(this->proposed.base_version.value_or(
                               this->before.catalogue_head.version));
                       this->fail({make_error_code(errc::conflict),
                                   "edit '" + read.catalogue_head.edit_id + "' by " +
                                       who + " made version " +
                                       std::to_string(read.catalogue_head.version) +
                                       ", this edit is based on version " + base +
                                       "; nothing was changed, repeat the edit based on "
                                       "the current version"});
                   });
    }

    store_calls calls;
    wall_time now;
    proposal proposed;
    store::handler<edit_outcome> done;
    std::string digest;
    catalogue::catalogue parsed;
    snapshot before;
    std::vector<catalogue::change> changes;
    bool started = false;   // `before` holds the state on which this edit is based
    bool uncertain = false; // a transaction may have committed without an answer
};

class drain_run : public std::enable_shared_from_this<drain_run>
{
public:
    drain_run(editor worker, wall_time now, drain_request request, std::uint32_t attempts,
              store::handler<edit_outcome> done)
        : worker(std::move(worker)), now(now), request(std::move(request)),
          remaining_attempts(attempts), done(std::move(done))
    {
    }

    void start()
    {
        this->worker.current([self = this->shared_from_this()](
                                 const result<snapshot>& read) { self->mark(read); });
    }

private:
    void mark(const result<snapshot>& read)
    {
        if (!read)
            return this->done(read.error());
        auto text = catalogue::set_drain_mark(read.value().text, this->request.address,
                                              this->request.drain);
        if (!text)
            return this->done(text.error());
        const std::string what = this->request.drain ? "drain " : "undrain ";
        this->worker.apply(this->now,
                           {.edit_id = this->request.edit_id,
                            .who = this->request.who,
                            .text = std::move(text).value(),
                            .what = what + this->request.address,
                            .base_version = read.value().catalogue_head.version},
                           [self = this->shared_from_this()](result<edit_outcome> outcome)
                           { self->handle_outcome(std::move(outcome)); });
    }

    void handle_outcome(result<edit_outcome> outcome)
    {
        const bool conflicted = !outcome && outcome.error().code == errc::conflict;
        if (conflicted && --this->remaining_attempts > 0)
            return this->start();
        this->done(std::move(outcome));
    }

    editor worker;
    wall_time now;
    drain_request request;
    std::uint32_t remaining_attempts;
    store::handler<edit_outcome> done;
};

class current_run : public std::enable_shared_from_this<current_run>
{
public:
    current_run(store_calls calls, store::handler<snapshot> done)
        : calls(std::move(calls)), done(std::move(done))
    {
    }

    void start()
    {
        this->calls.table.get(std::string(head_key),
                              [self = this->shared_from_this()](
                                  const result<std::optional<store::row>>& answer)
                              {
                                  if (!answer)
                                      return self->retry(answer.error());
                                  if (!answer.value())
                                      return self->done(snapshot());
                                  auto parsed = parse_row<head>(*answer.value());
                                  if (!parsed)
                                      return self->done(parsed.error());
                                  self->read_text(
                                      {.catalogue_head = std::move(parsed).value(),
                                       .rev = answer.value()->rev});
                              });
    }

private:
    void read_text(const snapshot& read)
    {
        const std::string object = read.catalogue_head.object;
        this->calls.objects.get(
            object,
            [self = this->shared_from_this(), read](const result<std::string>& answer)
            {
                if (!answer && answer.error().code != errc::not_found)
                    return self->retry(answer.error());
                self->done(check_text(read, answer));
            });
    }

    void retry(const error& cause)
    {
        this->calls.retry(
            cause, false, [self = this->shared_from_this()] { self->start(); },
            [this, &cause] { this->done(cause); });
    }

    store_calls calls;
    store::handler<snapshot> done;
};

} // namespace

editor::editor(store::table& table, store::object_store& objects, editor_options options)
    : table(table), objects(objects), options(std::move(options))
{
}

void editor::apply(wall_time now, proposal proposed, store::handler<edit_outcome> done)
{
    std::make_shared<edit_run>(store_calls(this->table, this->objects, this->options),
                               now, std::move(proposed), std::move(done))
        ->start();
}

void editor::drain(wall_time now, drain_request request,
                   store::handler<edit_outcome> done)
{
    std::make_shared<drain_run>(*this, now, std::move(request),
                                this->options.max_drain_attempts, std::move(done))
        ->start();
}

void editor::current(store::handler<snapshot> done)
{
    std::make_shared<current_run>(store_calls(this->table, this->objects, this->options),
                                  std::move(done))
        ->start();
}

std::string to_text(wall_time when)
{
    const std::int64_t micros = when.time_since_epoch().count();
    const std::time_t seconds = micros / 1'000'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string(micros % 1'000'000);
    fraction.insert(0, 6 - std::min<std::size_t>(6, fraction.size()), '0');
    return std::string(date.data()) + "." + fraction + "Z";
}

std::optional<catalogue_version> parse_base_version(std::string_view text)
{
    if (!text.starts_with(base_line_prefix))
        return std::nullopt;
    std::string_view number = text.substr(base_line_prefix.size());
    number = number.substr(0, number.find_first_of("\r\n"));
    const auto parsed = ini::parse_count(number);
    if (!parsed)
        return std::nullopt;
    return parsed.value();
}

std::string add_base_line(std::string_view text, catalogue_version version)
{
    std::string marked(base_line_prefix);
    marked += std::to_string(version) + "\n";
    return marked.append(remove_base_line(text));
}

std::string_view remove_base_line(std::string_view text)
{
    if (!parse_base_version(text))
        return text;
    const std::size_t end = text.find('\n');
    return end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
}

} // namespace pistachiospan::edit
