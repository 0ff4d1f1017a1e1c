#include "pistachiospan/catalogue/catalogue.hpp"
#include "pistachiospan/ini/ini.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace pistachiospan::catalogue
{

namespace
{

using ini::document;
using ini::entry;
using ini::problem_list;
using ini::section;
using ini::section_reader;

constexpr std::size_t min_salt_digits = 32;
constexpr std::size_t hash_digits = 64;
constexpr duration max_duration = std::chrono::hours(1);

bool is_hex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

result<std::string> parse_salt(std::string_view value)
{
    if (!is_hex(value) || value.size() < min_salt_digits)
        return failure(errc::invalid_argument,
                       "not a salt; write at least 32 lower-case hexadecimal digits, for "
                       "example from 'openssl rand -hex 16'");
    return std::string(value);
}

result<std::string> parse_hash(std::string_view value)
{
    if (!is_hex(value) || value.size() != hash_digits)
        return failure(errc::invalid_argument,
                       "not a keyed hash; write the 64 hexadecimal digits that "
                       "'pistachioctl hash-key' prints, never the key itself");
    return std::string(value);
}

result<unconfirmed_policy> parse_unconfirmed(std::string_view value)
{
    if (value == "refuse")
        return unconfirmed_policy::refuse;
    if (value == "majority")
        return unconfirmed_policy::majority;
    if (value == "serve")
        return unconfirmed_policy::serve;
    return failure(errc::invalid_argument,
                   "unknown policy; write 'refuse', 'majority' or "
                   "'serve'");
}

result<bool> parse_access(std::string_view value)
{
    if (value == "open" || value == "keyed")
        return value == "open";
    return failure(errc::invalid_argument, "unknown access; write 'open' or 'keyed'");
}

result<std::vector<std::string>> parse_methods(std::string_view value)
{
    static constexpr std::array<std::string_view, 7> known = {
        "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"};
    std::vector<std::string> methods = ini::split_words(value);
    if (methods == std::vector<std::string>{"none"})
        return std::vector<std::string>();
    const auto is_known = [](const std::string& method)
    {
        return std::find(known.begin(), known.end(), method) != known.end();
    };
    const std::set<std::string> different(methods.begin(), methods.end());
    if (methods.empty() || different.size() != methods.size() ||
        !std::all_of(methods.begin(), methods.end(), is_known))
        return failure(errc::invalid_argument,
                       "not a list of methods; write each once, separated by blanks, out "
                       "of GET HEAD OPTIONS PUT DELETE POST PATCH, or 'none'");
    return methods;
}

result<std::string> parse_prefix(std::string_view value)
{
    constexpr std::string_view safe =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/";
    const bool valid_end = value == "/" || !value.ends_with('/');
    if (!value.starts_with('/') || !valid_end ||
        value.find_first_not_of(safe) != std::string_view::npos)
        return failure(errc::invalid_argument,
                       "not a path prefix; write '/' or whole segments of letters, "
                       "digits, '-', '.', '_' and '~', for example '/orders/new'");
    for (const std::string_view bad : {"//", "/./", "/../"})
        if ((std::string(value) + "/").find(bad) != std::string::npos && value != "/")
            return failure(errc::invalid_argument,
                           "empty, '.' and '..' segments never match; remove them");
    for (const std::string_view reserved : {"/.well-known/pistachiospan", "/healthz",
                                            "/readyz", "/metrics", "/explain", "/status"})
        if (value == reserved || value.starts_with(std::string(reserved) + "/"))
            return failure(errc::invalid_argument,
                           "the entry daemon answers this path itself; choose another "
                           "prefix");
    return std::string(value);
}

template <class T>
auto count_within(T least, T most, std::string_view bounds)
{
    return ini::within<T>(ini::parse_count, least, most, bounds);
}

auto duration_within(duration least, std::string_view bounds)
{
    return ini::within<duration>(ini::parse_duration, least, max_duration, bounds);
}

// Parses one text. Sections may come in any order, so references between them are checked
// at the end.
class reader
{
public:
    explicit reader(problem_list& problems) : problems(problems) {}

    catalogue read(const document& text)
    {
        for (const section& part : text.sections)
            this->read_section(part);
        if (!this->has_catalogue)
            this->problems.add(0, "section [catalogue] is missing; add it with name, "
                                  "owner and key_salt");
        this->check_shares();
        this->check_references();
        this->check_links();
        this->check_caps();
        return std::move(this->parsed);
    }

private:
    // Line numbers of an entry for the messages of later checks.
    struct entry_lines
    {
        std::size_t heading = 0;
        std::size_t reference = 0; // of the key that names another entry
        std::size_t cap = 0;
        std::vector<std::size_t> servers;
    };

    void read_section(const section& part)
    {
        static constexpr std::string_view kinds =
            "[catalogue], [region R], [data_centre D], [link A B], [client_account N], "
            "[route N], [upstream_group N]";
        const std::map<std::string_view,
                       std::pair<std::size_t, void (reader::*)(const section&)>>
            readers = {{"catalogue", {0, &reader::read_catalogue}},
                       {"region", {1, &reader::read_region}},
                       {"data_centre", {1, &reader::read_data_centre}},
                       {"link", {2, &reader::read_link}},
                       {"client_account", {1, &reader::read_account}},
                       {"route", {1, &reader::read_route}},
                       {"upstream_group", {1, &reader::read_group}}};
        const auto found = readers.find(part.kind);
        if (found == readers.end())
            return this->problems.add(part.line, "unknown section " + part.title() +
                                                     "; known sections are " +
                                                     std::string(kinds));
        if (found->second.first != part.names.size())
            return this->problems.add(part.line,
                                      "wrong number of names in " + part.title() +
                                          "; known sections are " + std::string(kinds));
        for (const std::string& name : part.names)
            if (const auto valid = ini::parse_name(name); !valid)
                return this->problems.add(part.line,
                                          part.title() + ": " + valid.error().message);
        (this->*found->second.second)(part);
    }

    void read_catalogue(const section& part)
    {
        this->has_catalogue = true;
        section_reader from(part, this->problems);
        from.required("name", this->parsed.name, ini::parse_name);
        from.required("owner", this->parsed.owner, ini::parse_text);
        from.mark_secret("key_salt");
        from.required("key_salt", this->parsed.key_salt, parse_salt);
        this->has_shares =
            from.optional("rate_shares", this->parsed.rate_shares,
                          count_within<std::uint32_t>(1, 10000, "1 to 10000"));
        this->shares_line = from.line_of("rate_shares");
        // The fleet polls once per second, so with less than 2 s even a healthy fleet
        // would often count as unconfirmed.
        from.optional("confirm_within", this->parsed.confirm_within,
                      duration_within(std::chrono::seconds(2), "2 s to 1 h"));
        from.finish();
    }

    void read_region(const section& part)
    {
        section_reader(part, this->problems).finish();
        this->parsed.regions[part.names[0]] = {.name = part.names[0]};
    }

    void read_data_centre(const section& part)
    {
        data_centre parsed{.name = part.names[0]};
        section_reader from(part, this->problems);
        from.required("region", parsed.region, ini::parse_name);
        from.required("entry_vms", parsed.entry_vms,
                      count_within<std::uint32_t>(0, 10000, "0 to 10000"));
        this->read_cap(from, parsed.max_in_flight);
        from.finish();
        this->data_centre_lines[parsed.name] = {.heading = part.line,
                                                .reference = from.line_of("region"),
                                                .cap = from.line_of("max_in_flight")};
        this->parsed.data_centres[parsed.name] = std::move(parsed);
    }

    // Without the key there is no cap. The value 0 is refused, since an operator could
    // mean either "no requests" or "no cap".
    static void read_cap(section_reader& from, std::uint32_t& cap)
    {
        from.optional(
            "max_in_flight", cap,
            count_within<std::uint32_t>(
                1, 10'000'000, "1 to 10000000, or leave the key out for no cap"));
    }

    void read_link(const section& part)
    {
        link parsed{.from = part.names[0], .to = part.names[1]};
        section_reader from(part, this->problems);
        from.required("capacity", parsed.mbit_per_s,
                      ini::within<std::uint64_t>(ini::parse_mbit_per_s, 1, 10'000'000,
                                                 "1 Mbit/s to 10000 Gbit/s"));
        from.finish();
        for (const std::string& end : part.names)
            this->link_ends.push_back({part.line, part.title(), end});
        if (parsed.from == parsed.to)
            this->problems.add(part.line, part.title() +
                                              " joins a region to itself; name two "
                                              "different regions");
        for (const link& earlier : this->parsed.links)
            if (earlier.from == parsed.to && earlier.to == parsed.from)
                this->problems.add(part.line, part.title() + " repeats [link " +
                                                  earlier.from + " " + earlier.to +
                                                  "], which covers both directions; "
                                                  "remove one of the two");
        this->parsed.links.push_back(std::move(parsed));
    }

    void read_account(const section& part)
    {
        client_account parsed{.name = part.names[0]};
        section_reader from(part, this->problems);
        from.required("owner", parsed.owner, ini::parse_text);
        from.required("class", parsed.account_class, ini::parse_name);
        from.required(
            "rate", parsed.rate,
            ini::within<double>(ini::parse_rate, 0.001, 1e6, "0.001/s to 1000000/s"));
        // With a burst below 1 the bucket never holds a whole token and admits no
        // request.
        from.required("burst", parsed.burst,
                      count_within<double>(1, 1e6, "1 to 1000000"));
        from.optional("weight", parsed.weight,
                      count_within<std::uint32_t>(1, 1000, "1 to 1000"));
        // The value may be a key that was written by mistake.
        from.mark_secret("key_hash");
        from.for_each_entry("key_hash", [&](const entry& item)
                            { return this->take_hash(parsed, item); });
        from.finish();
        this->parsed.accounts[parsed.name] = std::move(parsed);
    }

    result<bool> take_hash(client_account& parsed, const entry& item)
    {
        auto hash = parse_hash(item.value);
        if (!hash)
            return hash.error();
        const auto [seen, is_new] = this->hash_lines.emplace(hash.value(), item.line);
        if (!is_new)
            return failure(errc::invalid_argument,
                           "this hash was given in line " + std::to_string(seen->second) +
                               "; each key belongs to one account, remove one of the "
                               "two");
        parsed.key_hashes.push_back(std::move(hash).value());
        return true;
    }

    void read_route(const section& part)
    {
        route parsed{.name = part.names[0]};
        section_reader from(part, this->problems);
        from.required("owner", parsed.owner, ini::parse_text);
        from.required("class", parsed.route_class, ini::parse_name);
        if (from.required("path_prefix", parsed.path_prefix, parse_prefix))
            this->check_prefix(parsed.path_prefix, from.line_of("path_prefix"));
        from.required("group", parsed.group, ini::parse_name);
        from.required("access", parsed.open, parse_access);
        from.optional("idempotent_methods", parsed.idempotent_methods, parse_methods);
        const bool has_policy =
            from.optional("unconfirmed", parsed.unconfirmed, parse_unconfirmed);
        from.optional("deadline", parsed.deadline,
                      duration_within(std::chrono::milliseconds(1), "1 ms to 1 h"));
        from.optional(
            "max_body", parsed.max_body,
            ini::within<std::uint64_t>(ini::parse_bytes, 0, 1ULL << 30U, "0 B to 1 GiB"));
        from.finish();
        if (parsed.open && has_policy && parsed.unconfirmed != unconfirmed_policy::serve)
            this->problems.add(from.line_of("unconfirmed"),
                               part.title() + " is open, and open routes are always "
                                              "served; remove 'unconfirmed' or write "
                                              "'access = keyed'");
        if (parsed.open)
            parsed.unconfirmed = unconfirmed_policy::serve;
        this->route_lines[parsed.name] = {.heading = part.line,
                                          .reference = from.line_of("group")};
        this->parsed.routes[parsed.name] = std::move(parsed);
    }

    void check_prefix(const std::string& prefix, std::size_t line)
    {
        const auto [seen, is_new] = this->prefix_lines.emplace(prefix, line);
        if (!is_new)
            this->problems.add(line, "path prefix '" + prefix + "' was given in line " +
                                         std::to_string(seen->second) +
                                         "; give each route its own prefix");
    }

    void read_group(const section& part)
    {
        upstream_group parsed{.name = part.names[0]};
        entry_lines lines{.heading = part.line};
        section_reader from(part, this->problems);
        from.required("owner", parsed.owner, ini::parse_text);
        from.required("class", parsed.group_class, ini::parse_name);
        from.required("slots", parsed.slots,
                      count_within<std::uint32_t>(1, 10000, "1 to 10000"));
        from.optional("connections", parsed.connections,
                      count_within<std::uint32_t>(1, 65535, "1 to 65535"));
        from.optional("warm_up", parsed.warm_up,
                      duration_within(duration(0), "0 s to 1 h"));
        this->read_cap(from, parsed.max_in_flight);
        from.for_each_entry("server", [&](const entry& item)
                            { return this->take_server(parsed, lines, item); });
        from.finish();
        if (parsed.upstreams.empty())
            this->problems.add(part.line, part.title() +
                                              " has no server; add 'server = ip:port @ "
                                              "data_centre'");
        if (parsed.connections < parsed.slots)
            this->problems.add(from.line_of("connections"),
                               part.title() + ": " + std::to_string(parsed.slots) +
                                   " slots need as many connections, there are " +
                                   std::to_string(parsed.connections) +
                                   "; raise 'connections' or lower 'slots'");
        lines.cap = from.line_of("max_in_flight");
        this->group_lines[parsed.name] = std::move(lines);
        this->parsed.groups[parsed.name] = std::move(parsed);
    }

    result<bool> take_server(upstream_group& group, entry_lines& lines, const entry& item)
    {
        const std::vector<std::string> words = ini::split_words(item.value);
        const bool drain = words.size() == 4 && words[3] == "drain";
        if ((words.size() != 3 && !drain) || words[1] != "@")
            return failure(errc::invalid_argument,
                           "not a server; write 'ip:port @ data_centre', followed by "
                           "'drain' when it shall receive no new work");
        if (const auto address = ini::parse_endpoint(words[0]); !address)
            return address.error();
        if (const auto name = ini::parse_name(words[2]); !name)
            return name.error();
        const auto [seen, is_new] = this->server_lines.emplace(words[0], item.line);
        if (!is_new)
            return failure(errc::invalid_argument,
                           "this address was given in line " +
                               std::to_string(seen->second) +
                               "; its slots would be counted twice, remove one of the "
                               "two");
        group.upstreams.push_back(
            {.address = words[0], .data_centre = words[2], .drain = drain});
        lines.servers.push_back(item.line);
        return true;
    }

    void check_shares()
    {
        std::uint64_t entry_vms = 0;
        for (const auto& [name, centre] : this->parsed.data_centres)
            entry_vms += centre.entry_vms;
        if (entry_vms == 0)
            return this->problems.add(0, "no data centre has an entry VM; add "
                                         "[data_centre D] with 'entry_vms'");
        if (!this->has_shares)
            this->parsed.rate_shares = static_cast<std::uint32_t>(entry_vms);
        else if (this->parsed.rate_shares > entry_vms)
            this->problems.add(
                this->shares_line,
                "rate_shares = " + std::to_string(this->parsed.rate_shares) +
                    ", but the data centres have " + std::to_string(entry_vms) +
                    " entry VMs; shares without a holder would be lost, "
                    "write at most " +
                    std::to_string(entry_vms));
    }

    template <class Entries>
    void check_reference(std::size_t line, const std::string& where,
                         const std::string& kind, const std::string& name,
                         const Entries& entries)
    {
        // An empty name has already been reported as missing or malformed.
        if (name.empty() || entries.contains(name))
            return;
        this->problems.add(line, where + " names " + kind + " '" + name +
                                     "', which does not exist; correct the name or add "
                                     "[" +
                                     kind + " " + name + "]");
    }

    void check_references()
    {
        for (const auto& [name, centre] : this->parsed.data_centres)
            this->check_reference(this->data_centre_lines[name].reference,
                                  "[data_centre " + name + "]", "region", centre.region,
                                  this->parsed.regions);
        for (const auto& [name, route] : this->parsed.routes)
            this->check_reference(this->route_lines[name].reference,
                                  "[route " + name + "]", "upstream_group", route.group,
                                  this->parsed.groups);
        for (const link_end& end : this->link_ends)
            this->check_reference(end.line, end.title, "region", end.region,
                                  this->parsed.regions);
        for (const auto& [name, group] : this->parsed.groups)
            this->check_servers(group, this->group_lines[name]);
    }

    void check_servers(const upstream_group& group, const entry_lines& lines)
    {
        for (std::size_t i = 0; i < group.upstreams.size(); ++i)
        {
            const upstream& server = group.upstreams[i];
            const std::string where = "server " + server.address;
            this->check_reference(lines.servers[i], where, "data_centre",
                                  server.data_centre, this->parsed.data_centres);
            const auto centre = this->parsed.data_centres.find(server.data_centre);
            if (centre != this->parsed.data_centres.end() &&
                centre->second.entry_vms == 0)
                this->problems.add(lines.servers[i],
                                   where + " is in data centre '" + server.data_centre +
                                       "', which has no entry VM to own its slots; set "
                                       "its 'entry_vms' or move the server");
        }
    }

    // Each pair of regions needs a link: without its budget, the traffic between them
    // would be unbounded.
    void check_links()
    {
        std::set<std::pair<std::string, std::string>> linked;
        for (const link& each : this->parsed.links)
            linked.insert(std::minmax(each.from, each.to));
        for (const auto& [from, unused_from] : this->parsed.regions)
            for (const auto& [to, unused_to] : this->parsed.regions)
                if (from < to && !linked.contains({from, to}))
                    this->report_unlinked(from, to);
    }

    void report_unlinked(const std::string& from, const std::string& to)
    {
        std::string message = "regions '" + from;
        message += "' and '" + to;
        message += "' have no link; add [link " + from;
        message += " " + to + "] with 'capacity'";
        this->problems.add(0, std::move(message));
    }

    // A cap above the slots of its upstreams would never take effect.
    void check_caps()
    {
        std::map<std::string, std::uint64_t> slots_of;
        for (const auto& [name, group] : this->parsed.groups)
        {
            for (const upstream& server : group.upstreams)
                slots_of[server.data_centre] += group.slots;
            this->check_cap("[upstream_group " + name + "]", this->group_lines[name].cap,
                            group.max_in_flight,
                            std::uint64_t{group.slots} * group.upstreams.size());
        }
        for (const auto& [name, centre] : this->parsed.data_centres)
            this->check_cap("[data_centre " + name + "]",
                            this->data_centre_lines[name].cap, centre.max_in_flight,
                            slots_of[name]);
    }

    void check_cap(const std::string& where, std::size_t line, std::uint64_t cap,
                   std::uint64_t slots)
    {
        if (cap > slots)
            this->problems.add(line, where + ": max_in_flight = " + std::to_string(cap) +
                                         ", but its servers have " +
                                         std::to_string(slots) +
                                         " slots; write at most that, or remove the cap");
    }

    struct link_end
    {
        std::size_t line;
        std::string title;
        std::string region;
    };

    problem_list& problems;
    catalogue parsed;
    bool has_catalogue = false;
    bool has_shares = false;
    std::size_t shares_line = 0;
    std::map<std::string, entry_lines> data_centre_lines;
    std::map<std::string, entry_lines> route_lines;
    std::map<std::string, entry_lines> group_lines;
    std::vector<link_end> link_ends;
    std::map<std::string, std::size_t> hash_lines;
    std::map<std::string, std::size_t> prefix_lines;
    std::map<std::string, std::size_t> server_lines;
};

} // namespace

result<catalogue> parse_catalogue(std::string_view text, std::string_view file_name)
{
    problem_list problems;
    const document read = ini::read_document(text, problems);
    catalogue parsed = reader(problems).read(read);
    if (!problems.empty())
        return problems.to_error(file_name);
    parsed.build_index();
    return parsed;
}

} // namespace pistachiospan::catalogue
