#include "pistachiospan/mirror/mirror.hpp"

#include "pistachiospan/mirror/internal/compression.hpp"

#include <algorithm>
#include <set>

namespace pistachiospan::mirror
{

namespace
{

// Bytes of a page; more than all rows of the platform's tables come to.
constexpr std::size_t largest_page = std::size_t{64} << 20U;

} // namespace

std::string encode(const relay_page& from)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const row& each : from.content.rows)
        rows.push_back({each.key,
                        nlohmann::json::binary({each.value.begin(), each.value.end()}),
                        each.version, each.deleted});
    const nlohmann::json all = {from.instance, from.cursor, from.is_snapshot,
                                from.content.position, std::move(rows)};
    std::string bytes;
    nlohmann::json::to_msgpack(all, bytes);
    return internal::compress(bytes);
}

result<relay_page> decode(std::string_view bytes)
{
    const result<std::string> content = internal::decompress(bytes, largest_page);
    if (!content)
        return content.error();
    try
    {
        const nlohmann::json all = nlohmann::json::from_msgpack(content.value());
        relay_page made{.content = {.position = all.at(3).get<std::uint64_t>()},
                        .is_snapshot = all.at(2).get<bool>(),
                        .instance = all.at(0).get<std::uint64_t>(),
                        .cursor = all.at(1).get<std::uint64_t>()};
        for (const nlohmann::json& each : all.at(4))
        {
            const nlohmann::json::binary_t& value = each.at(1).get_binary();
            made.content.rows.push_back({.key = each.at(0).get<std::string>(),
                                         .value = std::string(value.begin(), value.end()),
                                         .version = each.at(2).get<std::uint64_t>(),
                                         .deleted = each.at(3).get<bool>()});
        }
        return made;
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

void table_mirror::set(const row& given)
{
    this->doomed.erase(given.key);
    row& kept = this->rows[given.key];
    if (kept.version >= given.version)
        return;
    kept = given;
    this->remember(given);
    this->hooks.changed(given);
}

void table_mirror::remember(const row& change)
{
    this->last_change = std::max(this->last_change, change.version);
    ++this->changes;
    this->history.push_back(change);
    if (this->history.size() > this->options.history_size)
        this->history.pop_front();
}

void table_mirror::remove(const std::string& key, std::uint64_t version)
{
    this->doomed.erase(key);
    const auto found = this->rows.find(key);
    if (found == this->rows.end())
        return;
    const row gone{.key = key, .version = version, .deleted = true};
    this->rows.erase(found);
    this->remember(gone);
    this->hooks.removed(key);
}

void table_mirror::remove_later(time_point now, const std::string& key,
                                std::uint64_t version)
{
    if (this->rows.contains(key))
        this->doomed.emplace(
            key, removal{.due = now + this->options.removal_grace, .version = version});
}

// Returns true if the read that has just succeeded is the first after an outage.
bool table_mirror::end_outage(time_point now)
{
    const bool failed = std::exchange(this->failing, false);
    return failed && now - this->failing_since >= this->options.outage_threshold;
}

void table_mirror::apply_snapshot(time_point now, const page& all, origin from)
{
    if (all.position < this->newest)
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
        // The version of the removal itself is not known.
        if (after_outage)
            this->remove_later(now, each.key, each.version);
        else
            this->remove(each.key, each.version);
    }
    this->newest = all.position;
}

void table_mirror::apply_changes(time_point now, const page& changes, origin from)
{
    if (changes.position < this->newest)
        return;
    const bool after_outage = from == origin::store && this->end_outage(now);
    for (const row& each : changes.rows)
    {
        this->last_change = std::max(this->last_change, each.version);
        const auto known = this->rows.find(each.key);
        const bool older =
            known != this->rows.end() && known->second.version > each.version;
        if (older)
            continue;
        if (!each.deleted)
            this->set(each);
        else if (after_outage)
            this->remove_later(now, each.key, each.version);
        else
            this->remove(each.key, each.version);
    }
    this->newest = changes.position;
}

void table_mirror::note_read_failure(time_point now)
{
    if (this->failing)
        return;
    this->failing = true;
    this->failing_since = now;
}

void table_mirror::tick(time_point now)
{
    std::vector<std::pair<std::string, std::uint64_t>> over;
    for (const auto& [key, each] : this->doomed)
        if (now >= each.due)
            over.emplace_back(key, each.version);
    for (const auto& [key, version] : over)
        this->remove(key, version);
}

void table_mirror::apply_relay_page(time_point now, const relay_page& given)
{
    if (given.is_snapshot)
        this->apply_snapshot(now, given.content, origin::peer);
    else
        this->apply_changes(now, given.content, origin::peer);
}

relay_page table_mirror::changes_since(std::uint64_t instance, std::uint64_t cursor) const
{
    relay_page made{.content = {.position = this->newest},
                    .instance = this->options.instance,
                    .cursor = this->changes};
    const std::uint64_t missing = this->changes - cursor;
    const bool known = instance == this->options.instance && cursor <= this->changes &&
                       missing <= this->history.size();
    if (!known)
    {
        made.is_snapshot = true;
        made.content = this->snapshot();
        return made;
    }
    std::set<std::string_view> newer;
    for (auto change = this->history.rbegin();
         change != this->history.rbegin() + static_cast<std::ptrdiff_t>(missing);
         ++change)
        if (newer.insert(change->key).second)
            made.content.rows.push_back(*change);
    std::ranges::reverse(made.content.rows);
    return made;
}

page table_mirror::snapshot() const
{
    page all{.position = this->newest};
    for (const auto& [key, each] : this->rows)
        all.rows.push_back(each);
    return all;
}

} // namespace pistachiospan::mirror
