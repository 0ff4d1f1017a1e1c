#include "pistachiospan/config/config.hpp"

#include <algorithm>
#include <unordered_map>

namespace pistachiospan::config
{

namespace
{

template <class T>
result<T> parse_row(std::string_view value, std::string_view what)
{
    const nlohmann::json document = nlohmann::json::parse(value, nullptr, false);
    if (document.is_discarded())
        return failure(errc::invalid_argument,
                       "row " + std::string(what) +
                           " is not JSON; restore it from the change log");
    return wire::decode<T>(document);
}

// Splits `text` into lines. Each keeps its line feed.
std::vector<std::string_view> split_lines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty())
    {
        const std::size_t end = text.find('\n');
        const std::size_t size = end == std::string_view::npos ? text.size() : end + 1;
        lines.push_back(text.substr(0, size));
        text.remove_prefix(size);
    }
    return lines;
}

// Appends the copy of one line; extends the last range if the line follows it.
void append_copy(nlohmann::json& out, std::size_t line)
{
    if (!out.empty() && out.back().is_array() &&
        out.back()[0].get<std::size_t>() + out.back()[1].get<std::size_t>() == line)
    {
        out.back()[1] = out.back()[1].get<std::size_t>() + 1;
        return;
    }
    out.push_back(nlohmann::json::array({line, std::size_t{1}}));
}

void append_text(nlohmann::json& out, std::string_view line)
{
    if (!out.empty() && out.back().is_string())
        out.back().get_ref<std::string&>() += line;
    else
        out.push_back(std::string(line));
}

} // namespace

std::string log_key(catalogue_version version)
{
    return "catalogue/log/" + std::to_string(version);
}

std::string object_name(catalogue_version version)
{
    return "catalogue/" + std::to_string(version);
}

void to_json(nlohmann::json& out, const head& value)
{
    out = {{"version", value.version},
           {"digest", value.digest},
           {"edit", value.edit_id},
           {"object", value.object}};
}

void from_json(const nlohmann::json& in, head& value)
{
    in.at("version").get_to(value.version);
    in.at("digest").get_to(value.digest);
    in.at("edit").get_to(value.edit_id);
    in.at("object").get_to(value.object);
}

void to_json(nlohmann::json& out, const log_entry& value)
{
    out = {{"edit", value.edit_id},
           {"who", value.who},
           {"when", value.when},
           {"from", value.from},
           {"difference", value.difference}};
}

void from_json(const nlohmann::json& in, log_entry& value)
{
    in.at("edit").get_to(value.edit_id);
    in.at("who").get_to(value.who);
    in.at("when").get_to(value.when);
    in.at("from").get_to(value.from);
    value.difference = in.at("difference");
}

result<head> parse_head(std::string_view value)
{
    return parse_row<head>(value, head_key);
}

result<log_entry> parse_log_entry(std::string_view value)
{
    return parse_row<log_entry>(value, "catalogue/log");
}

nlohmann::json make_difference(std::string_view before, std::string_view after)
{
    const std::vector<std::string_view> old_lines = split_lines(before);
    std::unordered_map<std::string_view, std::vector<std::size_t>> line_numbers;
    for (std::size_t line = 0; line < old_lines.size(); ++line)
        line_numbers[old_lines[line]].push_back(line);
    nlohmann::json out = nlohmann::json::array();
    std::size_t expected = 0;
    for (const std::string_view line : split_lines(after))
    {
        if (expected >= old_lines.size() || old_lines[expected] != line)
        {
            const auto found = line_numbers.find(line);
            if (found == line_numbers.end())
            {
                append_text(out, line);
                continue;
            }
            const auto later =
                std::lower_bound(found->second.begin(), found->second.end(), expected);
            expected = later == found->second.end() ? found->second.front() : *later;
        }
        append_copy(out, expected++);
    }
    return out;
}

result<std::string> apply_difference(std::string_view before,
                                     const nlohmann::json& difference)
{
    const std::vector<std::string_view> lines = split_lines(before);
    std::string after;
    if (!difference.is_array())
        return failure(errc::invalid_argument,
                       "difference is not an array; fetch the full text");
    for (const nlohmann::json& part : difference)
    {
        if (part.is_string())
        {
            after += part.get_ref<const std::string&>();
            continue;
        }
        const bool pair = part.is_array() && part.size() == 2 &&
                          part[0].is_number_unsigned() && part[1].is_number_unsigned();
        const auto first = pair ? part[0].get<std::size_t>() : lines.size();
        const auto count = pair ? part[1].get<std::size_t>() : 1;
        if (first > lines.size() || count > lines.size() - first)
            return failure(
                errc::invalid_argument,
                "difference is malformed or exceeds the text; fetch the full text");
        for (std::size_t line = first; line < first + count; ++line)
            after += lines[line];
    }
    return after;
}

void to_json(nlohmann::json& out, const config_request& value)
{
    out = nlohmann::json::array({value.held_version, value.wanted_version, value.part});
}

void from_json(const nlohmann::json& in, config_request& value)
{
    in.at(0).get_to(value.held_version);
    in.at(1).get_to(value.wanted_version);
    in.at(2).get_to(value.part);
}

void to_json(nlohmann::json& out, const config_offer& value)
{
    out = nlohmann::json::array({value.version, value.digest, value.from, value.part,
                                 value.parts, value.text, value.differences});
}

void from_json(const nlohmann::json& in, config_offer& value)
{
    in.at(0).get_to(value.version);
    in.at(1).get_to(value.digest);
    in.at(2).get_to(value.from);
    in.at(3).get_to(value.part);
    in.at(4).get_to(value.parts);
    in.at(5).get_to(value.text);
    value.differences = in.at(6);
}

std::string_view describe(admission_reason reason)
{
    switch (reason)
    {
    case admission_reason::confirmed:
        return "the active catalogue was confirmed as the newest";
    case admission_reason::policy_serve:
        return "the route is served without confirmation";
    case admission_reason::majority_reachable:
        return "the store is unreachable for a majority of the VMs";
    case admission_reason::no_catalogue:
        return "no catalogue is active yet; retry";
    case admission_reason::superseded:
        return "a newer catalogue is not active on this VM yet; retry";
    case admission_reason::unconfirmed:
        return "the catalogue could not be confirmed as the newest; retry elsewhere";
    case admission_reason::cut_off:
        return "this VM cannot reach a majority of the VMs; retry elsewhere";
    case admission_reason::paused:
        return "this VM was paused; retry";
    }
    return "unknown reason";
}

} // namespace pistachiospan::config
