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
    const nlohmann::json all = {page.instance, page.cursor, page.is_snapshot,
                                page.content.position, std::move(rows)};
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
    this->held_removals.erase(update.key);
    row& current = this->rows[update.key];
    if (current.version >= update.version)
    {
        if (current.value != update.value)
            this->report_passed_over({update.key, update.version, current.version});
        return;
    }
    current = update;
    this->append_history(update);
    this->hooks.changed(update);
}

void table_mirror::report_passed_over(const passed_over& what) const
{
    if (this->hooks.passed_over)
        this->hooks.passed_over(what);
}

// False if the page is from before the copy's position.
bool table_mirror::is_later(const page& received)
{
    const std::uint64_t before =
        std::exchange(this->generation, std::max(this->generation, received.generation));
    if (before != this->generation && before != 0 && this->hooks.restored)
        this->hooks.restored(this->generation, before);
    if (received.position >= this->current_position)
        return true;
    this->report_passed_over({{}, received.position, this->current_position});
    return false;
}

void table_mirror::append_history(const row& change)
{
    this->last_change = std::max(this->last_change, change.version);
    ++this->changes;
    this->history.push_back(change);
    if (this->history.size() > this->options.history_size)
        this->history.pop_front();
}

void table_mirror::remove(const std::string& key, std::uint64_t version)
{
    this->held_removals.erase(key);
    const auto found = this->rows.find(key);
    if (found == this->rows.end())
        return;
    const row removal_row{.key = key, .version = version, .deleted = true};
    this->rows.erase(found);
    this->append_history(removal_row);
    this->hooks.removed(key);
}

void table_mirror::hold_removal(time_point now, const std::string& key,
                                std::uint64_t version)
{
    if (this->rows.contains(key))
        this->held_removals.emplace(
            key, removal{.due = now + this->options.removal_grace, .version = version});
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
    std::set<std::string> present;
    for (const row& each : all.rows)
    {
        present.insert(each.key);
        this->set(each);
    }
    std::vector<row> missing;
    for (const auto& [key, each] : this->rows)
        if (!present.contains(key))
            missing.push_back(each);
    for (const row& each : missing)
    {
        // A missing row does not show the version of its removal.
        if (after_outage)
            this->hold_removal(now, each.key, each.version);
        else
            this->remove(each.key, each.version);
    }
    this->current_position = all.position;
}

void table_mirror::apply_changes(time_point now, const page& changes, origin from)
{
    if (!this->is_later(changes))
        return;
    const bool after_outage = from == origin::store && this->end_outage(now);
    for (const row& each : changes.rows)
    {
        this->last_change = std::max(this->last_change, each.version);
        const auto known = this->rows.find(each.key);
        const bool older =
            known != this->rows.end() && known->second.version > each.version;
        if (older)
        {
            this->report_passed_over({each.key, each.version, known->second.version});
            continue;
        }
        if (!each.deleted)
            this->set(each);
        else if (after_outage)
            this->hold_removal(now, each.key, each.version);
        else
            this->remove(each.key, each.version);
    }
    this->current_position = changes.position;
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
        this->remove(key, version);
}

void table_mirror::apply_relay_page(time_point now, const relay_page& received)
{
    if (received.is_snapshot)
        this->apply_snapshot(now, received.content, origin::peer);
    else
        this->apply_changes(now, received.content, origin::peer);
}

relay_page table_mirror::changes_since(std::uint64_t instance, std::uint64_t cursor) const
{
    relay_page page{.content = {.position = this->current_position},
                    .instance = this->options.instance,
                    .cursor = this->changes};
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
