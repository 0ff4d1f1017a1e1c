#include "pistachiospan/catalogue/catalogue.hpp"

#include <algorithm>

namespace pistachiospan::catalogue
{

namespace
{

constexpr std::size_t shown_hash_digits = 8;

// Maps the fields of one entry to their values, written as in the catalogue's text.
using description = std::map<std::string, std::string>;

std::string_view to_text(unconfirmed_policy policy)
{
    switch (policy)
    {
    case unconfirmed_policy::refuse:
        return "refuse";
    case unconfirmed_policy::majority:
        return "majority";
    case unconfirmed_policy::serve:
        return "serve";
    }
    return "unknown";
}

std::string to_text(duration value)
{
    const auto micros = value.count();
    if (micros % 1'000'000 == 0)
        return std::to_string(micros / 1'000'000) + " s";
    if (micros % 1'000 == 0)
        return std::to_string(micros / 1'000) + " ms";
    return std::to_string(micros) + " us";
}

// Returns the shortest text that parses as the same number.
std::string to_text(double number)
{
    std::string text = nlohmann::json(number).dump();
    if (text.ends_with(".0"))
        text.resize(text.size() - 2);
    return text;
}

std::string cap_to_text(std::uint32_t cap)
{
    return cap == 0 ? "no cap" : std::to_string(cap);
}

std::string bytes_to_text(std::uint64_t bytes)
{
    if (bytes > 0 && bytes % 1024 == 0)
        return std::to_string(bytes / 1024) + " KiB";
    return std::to_string(bytes) + " B";
}

std::string words_to_text(const std::vector<std::string>& words)
{
    std::string text;
    for (const std::string& word : words)
        text += (text.empty() ? "" : " ") + word;
    return text.empty() ? "none" : text;
}

std::string join_words(const std::string& first, const std::string& second)
{
    return words_to_text({first, second});
}

description describe(const region&)
{
    return {};
}

description describe(const data_centre& centre)
{
    return {{"region", centre.region},
            {"entry_vms", std::to_string(centre.entry_vms)},
            {"max_in_flight", cap_to_text(centre.max_in_flight)}};
}

description describe(const link& each)
{
    return {{"capacity", std::to_string(each.mbit_per_s) + " Mbit/s"}};
}

description describe(const client_account& account)
{
    description fields = {{"owner", account.owner},
                          {"class", account.account_class},
                          {"rate", to_text(account.rate) + "/s"},
                          {"burst", to_text(account.burst)},
                          {"weight", std::to_string(account.weight)}};
    for (const std::string& hash : account.key_hashes)
        fields["key_hash " + hash.substr(0, shown_hash_digits)] = "valid";
    return fields;
}

description describe(const route& each)
{
    return {{"owner", each.owner},
            {"class", each.route_class},
            {"path_prefix", each.path_prefix},
            {"group", each.group},
            {"access", each.open ? "open" : "keyed"},
            {"idempotent_methods", words_to_text(each.idempotent_methods)},
            {"unconfirmed", std::string(to_text(each.unconfirmed))},
            {"deadline", to_text(each.deadline)},
            {"max_body", bytes_to_text(each.max_body)}};
}

description describe(const upstream_group& group)
{
    description fields = {{"owner", group.owner},
                          {"class", group.group_class},
                          {"slots", std::to_string(group.slots)},
                          {"connections", std::to_string(group.connections)},
                          {"warm_up", to_text(group.warm_up)},
                          {"max_in_flight", cap_to_text(group.max_in_flight)}};
    for (const upstream& server : group.upstreams)
        fields["server " + server.address] =
            "@ " + server.data_centre + (server.drain ? " drain" : "");
    return fields;
}

void compare_fields(const std::string& entry, const description& before,
                    const description& after, std::vector<change>& changes)
{
    description all = before;
    all.insert(after.begin(), after.end());
    const auto value_in = [](const description& fields, const std::string& field)
    {
        const auto found = fields.find(field);
        return found == fields.end() ? std::string() : found->second;
    };
    for (const auto& [field, unused] : all)
    {
        change found{.entry = entry,
                     .field = field,
                     .before = value_in(before, field),
                     .after = value_in(after, field)};
        if (found.before != found.after)
            changes.push_back(std::move(found));
    }
}

// An added or removed entry is reported as one change without a field, followed by one
// change for each of its fields.
template <class Entries>
void compare_entries(const std::string& kind, const Entries& before, const Entries& after,
                     std::vector<change>& changes)
{
    std::map<std::string, bool> names;
    for (const auto& [name, entry] : before)
        names[name];
    for (const auto& [name, entry] : after)
        names[name];
    for (const auto& [name, unused] : names)
    {
        const auto old_entry = before.find(name);
        const auto new_entry = after.find(name);
        const bool existed = old_entry != before.end();
        const bool exists = new_entry != after.end();
        const std::string entry = join_words(kind, name);
        if (existed != exists)
            changes.push_back({.entry = entry,
                               .field = "",
                               .before = existed ? "present" : "",
                               .after = exists ? "present" : ""});
        compare_fields(entry, existed ? describe(old_entry->second) : description(),
                       exists ? describe(new_entry->second) : description(), changes);
    }
}

// A link covers both directions, so the order of its ends does not matter.
std::map<std::string, link> index_by_ends(const std::vector<link>& links)
{
    std::map<std::string, link> sorted;
    for (const link& each : links)
    {
        const auto& [first, second] = std::minmax(each.from, each.to);
        sorted[join_words(first, second)] = each;
    }
    return sorted;
}

// Distinguishes salts without revealing any part of them.
std::string describe_salt(const std::string& salt)
{
    return salt.empty() ? "" : "hash " + digest(salt).substr(0, shown_hash_digits);
}

description describe_catalogue(const catalogue& value)
{
    return {{"name", value.name},
            {"owner", value.owner},
            {"key_salt", describe_salt(value.key_salt)},
            {"rate_shares", std::to_string(value.rate_shares)},
            {"confirm_within", to_text(value.confirm_within)}};
}

} // namespace

std::vector<change> compare(const catalogue& before, const catalogue& after)
{
    std::vector<change> changes;
    compare_fields("catalogue", describe_catalogue(before), describe_catalogue(after),
                   changes);
    compare_entries("region", before.regions, after.regions, changes);
    compare_entries("data_centre", before.data_centres, after.data_centres, changes);
    compare_entries("link", index_by_ends(before.links), index_by_ends(after.links),
                    changes);
    compare_entries("client_account", before.accounts, after.accounts, changes);
    compare_entries("route", before.routes, after.routes, changes);
    compare_entries("upstream_group", before.groups, after.groups, changes);
    return changes;
}

} // namespace pistachiospan::catalogue
