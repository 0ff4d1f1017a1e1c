#include "pistachiospan/mirror/mirror.hpp"

#include <set>

namespace pistachiospan::mirror
{

std::string encode(const page& from)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const row& each : from.rows)
        rows.push_back({each.key, nlohmann::json::binary({each.value.begin(),
                                                          each.value.end()}),
                        each.version});
    std::string bytes;
    nlohmann::json::to_msgpack({from.position, std::move(rows)}, bytes);
    return bytes;
}

result<page> decode(std::string_view bytes)
{
    try
    {
        const nlohmann::json all = nlohmann::json::from_msgpack(bytes);
        page made{.position = all.at(0).get<std::uint64_t>()};
        for (const nlohmann::json& each : all.at(1))
        {
            const nlohmann::json::binary_t& value = each.at(1).get_binary();
            made.rows.push_back({.key = each.at(0).get<std::string>(),
                                 .value = std::string(value.begin(), value.end()),
                                 .version = each.at(2).get<std::uint64_t>()});
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
    this->hooks.changed(given);
}

void table_mirror::remove(const std::string& key)
{
    this->doomed.erase(key);
    if (this->rows.erase(key) > 0)
        this->hooks.removed(key);
}

void table_mirror::remove_later(time_point now, const std::string& key)
{
    if (this->rows.contains(key))
        this->doomed.emplace(key, now + this->options.removal_grace);
}

// Returns true if the read that has just succeeded is the first after an outage.
bool table_mirror::end_outage(time_point now)
{
    const bool failed = std::exchange(this->failing, false);
    return failed && now - this->failing_since >= this->options.outage_after;
}

void table_mirror::apply_whole(time_point now, const page& all, origin from)
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
    std::vector<std::string> missing;
    for (const auto& [key, each] : this->rows)
        if (!present.contains(key))
            missing.push_back(key);
    for (const std::string& key : missing)
    {
        if (after_outage)
            this->remove_later(now, key);
        else
            this->remove(key);
    }
    this->newest = all.position;
}

void table_mirror::apply_changes(time_point now, const page& changes)
{
    if (changes.position < this->newest)
        return;
    const bool after_outage = this->end_outage(now);
    for (const row& each : changes.rows)
    {
        const auto known = this->rows.find(each.key);
        const bool older = known != this->rows.end() && known->second.version > each.version;
        if (older)
            continue;
        if (!each.deleted)
            this->set(each);
        else if (after_outage)
            this->remove_later(now, each.key);
        else
            this->remove(each.key);
    }
    this->newest = changes.position;
}

void table_mirror::note_outage(time_point now)
{
    if (this->failing)
        return;
    this->failing = true;
    this->failing_since = now;
}

void table_mirror::tick(time_point now)
{
    std::vector<std::string> over;
    for (const auto& [key, until] : this->doomed)
        if (now >= until)
            over.push_back(key);
    for (const std::string& key : over)
        this->remove(key);
}

page table_mirror::whole() const
{
    page all{.position = this->newest};
    for (const auto& [key, each] : this->rows)
        all.rows.push_back(each);
    return all;
}

} // namespace pistachiospan::mirror
