#include "pistachiospan/settings/settings.hpp"

#include "pistachiospan/ini/ini.hpp"

#include <array>
#include <set>
#include <sstream>

namespace pistachiospan::settings
{

namespace
{

using ini::problem_list;
using ini::section;
using ini::section_reader;

constexpr std::size_t min_secret_size = 16;

result<std::string> parse_secret(std::string_view value)
{
    if (value.size() < min_secret_size)
        return failure(errc::invalid_argument,
                       "the secret is too short; write at least 16 characters, or "
                       "'secret_hex' with at least 32 hexadecimal digits");
    return std::string(value);
}

result<std::string> parse_hex_secret(std::string_view value)
{
    if (value.size() < 2 * min_secret_size || value.size() % 2 != 0 ||
        value.find_first_not_of("0123456789abcdefABCDEF") != std::string_view::npos)
        return failure(errc::invalid_argument,
                       "not a secret in hexadecimal; write an even number of at least "
                       "32 digits, for example from 'openssl rand -hex 32'");
    std::string bytes;
    for (std::size_t at = 0; at < value.size(); at += 2)
        bytes.push_back(
            static_cast<char>(std::stoi(std::string(value.substr(at, 2)), nullptr, 16)));
    return bytes;
}

result<log_level> parse_level(std::string_view value)
{
    static constexpr std::array<std::pair<std::string_view, log_level>, 5> levels{
        {{"trace", log_level::trace},
         {"debug", log_level::debug},
         {"info", log_level::info},
         {"warn", log_level::warn},
         {"error", log_level::error}}};
    for (const auto& [name, level] : levels)
        if (name == value)
            return level;
    return failure(errc::invalid_argument,
                   "unknown level; write 'trace', 'debug', 'info', 'warn' or 'error'");
}

auto duration_within(duration least, std::string_view bounds)
{
    return ini::within<duration>(ini::parse_duration, least, std::chrono::hours(1),
                                 bounds);
}

class reader
{
public:
    explicit reader(problem_list& problems) : problems(problems) {}

    settings read(const ini::document& text)
    {
        const std::map<std::string_view, void (reader::*)(section_reader&)> readers = {
            {"vm", &reader::read_vm},
            {"listen", &reader::read_listen},
            {"platform", &reader::read_platform},
            {"peers", &reader::read_peers},
            {"limits", &reader::read_limits},
            {"log", &reader::read_log},
            {"random", &reader::read_random}};
        std::set<std::string_view> seen;
        for (const section& part : text.sections)
        {
            const auto found = readers.find(part.kind);
            if (found == readers.end() || !part.names.empty())
            {
                this->problems.add(part.line,
                                   "unknown section " + part.title() +
                                       "; known sections are [vm], [listen], "
                                       "[platform], [peers], [limits], [log], [random]");
                continue;
            }
            seen.insert(part.kind);
            section_reader from(part, this->problems);
            (this->*found->second)(from);
            from.finish();
        }
        for (const std::string_view required : {"vm", "listen", "platform", "peers"})
            if (!seen.contains(required))
                this->problems.add(0, "section [" + std::string(required) +
                                          "] is missing; add it");
        return std::move(this->parsed);
    }

private:
    void read_vm(section_reader& from)
    {
        from.required("id", this->parsed.id.value, ini::parse_name);
        from.required("data_centre", this->parsed.data_centre, ini::parse_name);
        from.required("region", this->parsed.region, ini::parse_name);
    }

    void read_listen(section_reader& from)
    {
        from.required("callers", this->parsed.caller_address, ini::parse_endpoint);
        from.required("peers", this->parsed.peer_address, ini::parse_endpoint);
        if (!this->parsed.peer_address.empty() &&
            this->parsed.caller_address == this->parsed.peer_address)
            this->problems.add(from.line_of("peers"),
                               "callers and peers have the same address " +
                                   this->parsed.peer_address +
                                   "; give each its own port");
    }

    void read_platform(section_reader& from)
    {
        from.required("address", this->parsed.platform_address, ini::parse_endpoint);
        from.optional("timeout", this->parsed.platform_timeout,
                      duration_within(std::chrono::milliseconds(10), "10 ms to 1 h"));
        from.optional("region", this->parsed.platform_region, ini::parse_name);
    }

    void read_peers(section_reader& from)
    {
        from.mark_secret("secret");
        from.mark_secret("secret_hex");
        from.optional("secret", this->parsed.peer_secret, parse_secret);
        from.optional("secret_hex", this->parsed.peer_secret, parse_hex_secret);
        if (from.has("secret") == from.has("secret_hex"))
            this->problems.add(from.line_of("secret_hex"),
                               "[peers] needs either 'secret' or 'secret_hex'; write "
                               "exactly one of them");
        std::map<std::string, std::size_t> lines;
        from.for_each_entry("seed",
                            [&](const ini::entry& item) -> result<bool>
                            { return this->add_seed_peer(item, lines); });
    }

    // Parses one seed peer, such as "vm-2 127.0.0.1:9002 penang-2 semenanjung".
    result<bool> add_seed_peer(const ini::entry& item,
                               std::map<std::string, std::size_t>& lines)
    {
        std::istringstream words(item.value);
        seed_peer peer;
        std::string excess;
        words >> peer.id.value >> peer.address >> peer.data_centre >> peer.region;
        if (!words || (words >> excess))
            return failure(errc::invalid_argument,
                           "a seed has four parts; write VM id, address, data centre "
                           "and region, such as 'vm-2 10.0.0.2:9000 dc-1 north'");
        for (const std::string& name : {peer.id.value, peer.data_centre, peer.region})
            if (const auto checked = ini::parse_name(name); !checked)
                return checked.error();
        if (const auto checked = ini::parse_endpoint(peer.address); !checked)
            return checked.error();
        const auto [seen, is_new] = lines.emplace(peer.id.value, item.line);
        if (!is_new)
            return failure(errc::invalid_argument, "this VM was given in line " +
                                                       std::to_string(seen->second) +
                                                       "; remove one of the two");
        this->parsed.seed_peers.push_back(std::move(peer));
        return true;
    }

    void read_limits(section_reader& from)
    {
        from.optional("max_header", this->parsed.max_header,
                      ini::within<std::uint64_t>(ini::parse_bytes, 1024, 1 << 20,
                                                 "1 KiB to 1 MiB"));
        from.optional(
            "max_connections", this->parsed.max_connections,
            ini::within<std::uint32_t>(ini::parse_count, 1, 1'000'000, "1 to 1000000"));
        from.optional("idle_timeout", this->parsed.idle_timeout,
                      duration_within(std::chrono::seconds(1), "1 s to 1 h"));
        from.optional("header_timeout", this->parsed.header_timeout,
                      duration_within(std::chrono::milliseconds(100), "100 ms to 1 h"));
    }

    void read_log(section_reader& from)
    {
        from.optional("level", this->parsed.level, parse_level);
    }

    void read_random(section_reader& from)
    {
        std::uint64_t seed = 0;
        if (from.optional("seed", seed, ini::parse_count))
            this->parsed.seed = seed;
    }

    problem_list& problems;
    settings parsed;
};

} // namespace

result<settings> parse_settings(std::string_view text, std::string_view file_name)
{
    problem_list problems;
    const ini::document read = ini::read_document(text, problems);
    settings parsed = reader(problems).read(read);
    if (!problems.empty())
        return problems.to_error(file_name);
    return parsed;
}

result<settings> load_settings(const std::string& path)
{
    const auto text = ini::read_file(path);
    if (!text)
        return text.error();
    return parse_settings(text.value(), path);
}

} // namespace pistachiospan::settings
