#include "pistachiospan/mirror/mirror.hpp"

#include "pistachiospan/mirror/internal/compression.hpp"

#include <algorithm>
#include <set>

namespace pistachiospan::mirror
{

namespace
{

// Upper bound of a decompressed page, in bytes. Larger than any of the platform's tables.
constexpr std::size_t max_page_size = std::size_t{64} << 20U;

} // namespace

std::string encode(const relay_page& page)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const row& each : page.content.rows)
        rows.push_back({each.key,
                        nlohmann::json::binary({each.value.begin(), each.value.end()}),
                        each.version, each.deleted});
    const nlohmann::json all = {page.instance,         page.cursor,     page.is_snapshot,
                                page.content.position, std::move(rows), page.held};
    std::string bytes;
    nlohmann::json::to_msgpack(all, bytes);
    return internal::compress(bytes);
}

result<relay_page> decode(std::string_view bytes)
{
    const result<std::string> content = internal::decompress(bytes, max_page_size);
    if (!content)
        return content.error();
    try
    {
        const nlohmann::json all = nlohmann::json::from_msgpack(content.value());
        relay_page page{.content = {.position = all.at(3).get<std::uint64_t>()},
                        .is_snapshot = all.at(2).get<bool>(),
                        .instance = all.at(0).get<std::uint64_t>(),
                        .cursor = all.at(1).get<std::uint64_t>()};
        // VMs of the version before do not send it.
        if (all.size() > 5)
            page.held = all.at(5).get<std::vector<std::string>>();
        for (const nlohmann::json& each : all.at(4))
        {
            const nlohmann::json::binary_t& value = each.at(1).get_binary();
            page.content.rows.push_back({.key = each.at(0).get<std::string>(),
                                         .value = std::string(value.begin(), value.end()),
                                         .version = each.at(2).get<std::uint64_t>(),
                                         .deleted = each.at(3).get<bool>()});
        }
        return page;
    }
    catch (const nlohmann::json::exception& problem)
    {
        return failure(errc::invalid_argument,
                       std::string("page of a table is malformed: ") + problem.what() +
                           "; run one version on all VMs");
    }
}

table_mirror::table_mirror(mirror_options options, mirror_hooks hooks)
    : options(options), hooks(std::move(hooks))
{
}

void table_mirror::set(const row& update)
{
    this->revived_rows.erase(update.key);
    row& current = this->rows[update.key];
    if (current.version >= update.version)
    {
        if (current.value != update.value)
            this->report_passed_over({update.key, update.version, current.version});
        return;
    }
    this->held_removals.erase(update.key);
    current = update;
    this->removed_rows.erase(update.key);
    this->append_history(update);
    this->hooks.changed(update);
}

void table_mirror::report_passed_over(const passed_over& what) const
{
    if (this->hooks.passed_over)
        this->hooks.passed_over(what);
}

bool table_mirror::is_later(const page& received) const
{
    if (received.position >= this->current_position)
        return true;
    this->report_passed_over({{}, received.position, this->current_position});
    return false;
}

bool table_mirror::is_restored(const page& received) const
{
    return this->loaded() && store_version::generation_of(received.position) >
                                 store_version::generation_of(this->current_position);
}

// Within a generation the versions tell the age.
content_age table_mirror::age_of(const row& received, const row& known) const
{
    const bool is_comparable = store_version::generation_of(known.version) ==
                               store_version::generation_of(received.version);
    return is_comparable || !this->hooks.age_of ? content_age::unknown
                                                : this->hooks.age_of(received, known);
}

bool table_mirror::is_outdated(const row& received) const
{
    const auto known = this->rows.find(received.key);
    return known != this->rows.end() &&
           this->age_of(received, known->second) == content_age::older;
}

bool table_mirror::may_be_revived(const row& received, bool in_restored_page) const
{
    const auto removed = this->removed_rows.find(received.key);
    if (removed == this->removed_rows.end())
        return false;
    const auto held = this->revived_rows.find(received.key);
    if (held != this->revived_rows.end() &&
        held->second.received.version == received.version)
        return true;
    const content_age age = this->age_of(received, removed->second.last);
    // A row of unknown age is taken to be new if it was written since the restore.
    return age == content_age::older || age == content_age::same ||
           (age == content_age::unknown && in_restored_page);
}

// True if this copy has seen the removal of the row as it is received.
bool table_mirror::was_removed(const row& received) const
{
    const auto removed = this->removed_rows.find(received.key);
    return removed != this->removed_rows.end() &&
           removed->second.last.version >= received.version;
}

// Applies a row that is present in the store, or in the copy of another VM. That copy may
// hold a removal for a while after an outage and go on to later positions meanwhile.
void table_mirror::apply(time_point now, const row& received, origin from,
                         bool in_restored_page)
{
    const bool is_held_elsewhere = from == origin::peer && this->was_removed(received);
    if (is_held_elsewhere || this->is_outdated(received))
        this->report_passed_over(
            {received.key, received.version, this->known_version(received.key)});
    else if (this->may_be_revived(received, in_restored_page))
        this->hold_revival(now, received);
    else
        this->set(received);
}

void table_mirror::hold_revival(time_point now, const row& received)
{
    const time_point due = now + this->options.revival_delay;
    this->revived_rows.try_emplace(received.key, revived_row{.due = due})
        .first->second.received = received;
}

std::uint64_t table_mirror::known_version(const std::string& key) const
{
    const auto known = this->rows.find(key);
    return known == this->rows.end() ? 0 : known->second.version;
}

void table_mirror::append_history(const row& change)
{
    this->last_change = std::max(this->last_change, change.version);
    ++this->changes;
    this->history.push_back(change);
    if (this->history.size() > this->options.history_size)
        this->history.pop_front();
}

void table_mirror::remove(time_point now, const std::string& key, std::uint64_t version)
{
    this->held_removals.erase(key);
    this->revived_rows.erase(key);
    const auto found = this->rows.find(key);
    if (found == this->rows.end())
        return;
    this->removed_rows.insert_or_assign(key,
                                        removed_row{.last = found->second, .at = now});
    const row removal_row{.key = key, .version = version, .deleted = true};
    this->rows.erase(found);
    this->append_history(removal_row);
    this->hooks.removed(key);
}

void table_mirror::hold_removal(time_point now, duration grace, const row& removed,
                                origin from)
{
    if (!this->rows.contains(removed.key))
        return;
    const removal added{.due = now + grace, .version = removed.version, .holder = from};
    const auto [held, is_new] = this->held_removals.emplace(removed.key, added);
    if (from == origin::store)
        held->second.holder = origin::store;
    if (is_new && this->hooks.removal_held)
        this->hooks.removal_held(removed.key);
}

// True if this copy holds the removal because of an outage of its own.
bool table_mirror::holds_removal(const std::string& key) const
{
    const auto held = this->held_removals.find(key);
    return held != this->held_removals.end() && held->second.holder == origin::store;
}

// The store does not have these rows any more, and the other VM removes them after a
// grace period. This copy's position is past their removal now, so that no other source
// would show it.
void table_mirror::adopt_held_removals(time_point now, std::span<const std::string> keys)
{
    for (const std::string& key : keys)
        if (const auto known = this->rows.find(key); known != this->rows.end())
            this->hold_removal(now, this->options.removal_grace, known->second,
                               origin::peer);
}

bool table_mirror::end_outage(time_point now)
{
    const bool failed = std::exchange(this->read_failing, false);
    return failed && now - this->failing_since >= this->options.outage_threshold;
}

void table_mirror::apply_snapshot(time_point now, const page& all, origin from)
{
    if (!this->is_later(all))
        return;
    const bool after_outage = from == origin::store && this->end_outage(now);
    const bool restored =
        this->is_restored(all) || (from == origin::store && this->restore_unread);
    std::set<std::string> present;
    for (const row& each : all.rows)
    {
        present.insert(each.key);
        this->apply(now, each, from, restored);
    }
    std::vector<row> missing;
    for (const auto& [key, each] : this->rows)
        if (!present.contains(key) && each.version <= all.position)
            missing.push_back(each);
    for (const row& each : missing)
    {
        // A missing row does not show the version of its removal.
        if (restored)
            this->hold_removal(now, this->options.restore_grace, each);
        else if (after_outage)
            this->hold_removal(now, this->options.removal_grace, each);
        else if (!this->holds_removal(each.key))
            this->remove(now, each.key, each.version);
    }
    this->finish_page(all, from, restored);
}

void table_mirror::finish_page(const page& received, origin from, bool restored)
{
    this->current_position = received.position;
    this->complete_change =
        std::max(this->complete_change, this->last_change <= received.position
                                            ? this->last_change
                                            : this->newest_row_up_to(received.position));
    if (!restored)
        return;
    const bool is_known = std::exchange(this->restore_unread, from == origin::peer);
    if (!is_known && this->hooks.restored)
        this->hooks.restored();
}

// A snapshot that is read in parts contains some changes beyond its position, but not
// all.
std::uint64_t table_mirror::newest_row_up_to(std::uint64_t position) const
{
    std::uint64_t newest = 0;
    for (const auto& [key, each] : this->rows)
        if (each.version <= position)
            newest = std::max(newest, each.version);
    return newest;
}

void table_mirror::apply_changes(time_point now, const page& changes, origin from)
{
    if (!this->is_later(changes))
        return;
    const bool after_outage = from == origin::store && this->end_outage(now);
    const bool restored = this->is_restored(changes);
    for (const row& each : changes.rows)
    {
        this->last_change = std::max(this->last_change, each.version);
        const std::uint64_t known = this->known_version(each.key);
        if (known > each.version)
            this->report_passed_over({each.key, each.version, known});
        else if (!each.deleted)
            this->apply(now, each, from, false);
        else if (after_outage)
            this->hold_removal(now, this->options.removal_grace, each);
        else
            this->remove(now, each.key, each.version);
    }
    this->finish_page(changes, from, restored);
}

void table_mirror::note_read_failure(time_point now)
{
    if (this->read_failing)
        return;
    this->read_failing = true;
    this->failing_since = now;
}

void table_mirror::tick(time_point now)
{
    std::vector<std::pair<std::string, std::uint64_t>> due;
    for (const auto& [key, each] : this->held_removals)
        if (now >= each.due)
            due.emplace_back(key, each.version);
    for (const auto& [key, version] : due)
        this->remove(now, key, version);
    std::vector<row> revived;
    for (const auto& [key, each] : this->revived_rows)
        if (now >= each.due)
            revived.push_back(each.received);
    for (const row& each : revived)
        this->set(each);
    std::erase_if(this->removed_rows, [&](const auto& each)
                  { return now - each.second.at > this->options.removal_memory; });
}

// A row whose removal the other VM holds is kept here, but not added: this VM had no such
// outage.
bool table_mirror::apply_relay_page(time_point now, const relay_page& received)
{
    page content = received.content;
    std::erase_if(content.rows,
                  [&](const row& each)
                  {
                      const bool is_held = std::ranges::find(received.held, each.key) !=
                                           received.held.end();
                      return is_held && !this->rows.contains(each.key);
                  });
    if (received.is_snapshot)
        this->apply_snapshot(now, content, origin::peer);
    else
        this->apply_changes(now, content, origin::peer);
    if (this->current_position != content.position)
        return false;
    // What happened to rows while this VM's own reads failed is known from there.
    this->read_failing = false;
    this->adopt_held_removals(now, received.held);
    return true;
}

relay_page table_mirror::changes_since(std::uint64_t instance, std::uint64_t cursor) const
{
    relay_page page{.content = {.position = this->current_position},
                    .instance = this->options.instance,
                    .cursor = this->changes};
    for (const auto& [key, each] : this->held_removals)
        page.held.push_back(key);
    const std::uint64_t missing = this->changes - cursor;
    const bool known = instance == this->options.instance && cursor <= this->changes &&
                       missing <= this->history.size();
    if (!known)
    {
        page.is_snapshot = true;
        page.content = this->snapshot();
        return page;
    }
    std::set<std::string_view> sent_keys;
    for (auto change = this->history.rbegin();
         change != this->history.rbegin() + static_cast<std::ptrdiff_t>(missing);
         ++change)
        if (sent_keys.insert(change->key).second)
            page.content.rows.push_back(*change);
    std::ranges::reverse(page.content.rows);
    return page;
}

page table_mirror::snapshot() const
{
    page all{.position = this->current_position};
    for (const auto& [key, each] : this->rows)
        all.rows.push_back(each);
    return all;
}

} // namespace pistachiospan::mirror
