#include "pistachiospan/ini/ini.hpp"

#include <arpa/inet.h>
#include <ini.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>

namespace pistachiospan::ini
{

namespace
{

constexpr std::string_view whitespace = " \t\r\n\v\f";
constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::size_t max_problems_shown = 20;
// inih copies a heading into an array of 50 bytes and truncates a longer one.
constexpr std::size_t max_heading_size = 49;
constexpr std::size_t max_name_size = 32;

std::string_view trim(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(whitespace);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(whitespace) - begin + 1);
}

// Feeds inih one line at a time and collects the entries that it reports. inih reports
// only keys, so an additional line "=" after each heading makes it also report sections
// without keys and repeated sections.
class document_parser
{
public:
    document_parser(std::string_view text, problem_list& problems)
        : rest(text), problems(problems)
    {
        if (this->rest.starts_with(byte_order_mark))
            this->rest.remove_prefix(byte_order_mark.size());
    }

    document run()
    {
        // The return value is ignored: it counts the supplied lines, including the
        // additional ones. Lines that inih would refuse are detected by accept() before,
        // which reports the line of the file.
        ini_parse_stream(&document_parser::next_line, this, &document_parser::on_entry,
                         this);
        return std::move(this->result);
    }

private:
    static char* next_line(char* buffer, int size, void* stream)
    {
        return static_cast<document_parser*>(stream)->supply(
            {buffer, static_cast<std::size_t>(size)});
    }

    static int on_entry(void* user, const char* heading, const char* name,
                        const char* value)
    {
        static_cast<document_parser*>(user)->add_entry(heading, name, value);
        return 1;
    }

    char* supply(std::span<char> buffer)
    {
        if (this->heading_pending)
        {
            this->heading_pending = false;
            this->at_heading_marker = true;
            return copy("=", buffer);
        }
        this->at_heading_marker = false;
        if (this->rest.empty())
            return nullptr;
        ++this->line;
        const std::size_t end = this->rest.find('\n');
        std::string_view line = this->rest.substr(0, end);
        this->rest.remove_prefix(end == std::string_view::npos ? this->rest.size()
                                                               : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return copy(this->accept(line, buffer.size()) ? line : "", buffer);
    }

    static char* copy(std::string_view line, std::span<char> buffer)
    {
        std::copy(line.begin(), line.end(), buffer.begin());
        buffer[line.size()] = '\n';
        buffer[line.size() + 1] = '\0';
        return buffer.data();
    }

    // Returns whether to pass the line to inih. Reports a line that inih would misread.
    bool accept(std::string_view line, std::size_t size)
    {
        // Blank lines and comments are passed as empty lines, so their length has no
        // limit.
        if (trim(line).empty() || line.front() == ';' || line.front() == '#')
            return false;
        // inih needs room for carriage return, line feed and the terminating null.
        if (line.size() + 3 > size)
            return this->refuse("the line has " + std::to_string(line.size()) +
                                " bytes, at most " + std::to_string(size - 3) +
                                " are read; shorten it, or move a comment to its own "
                                "line");
        const auto is_control = [](char c)
        {
            return (static_cast<unsigned char>(c) < 32 && c != '\t') || c == 127;
        };
        if (std::any_of(line.begin(), line.end(), is_control))
            return this->refuse("the line has a control character; remove it");
        // inih would read an indented line as a continuation of the previous value.
        if (line.front() == ' ' || line.front() == '\t')
            return this->refuse("the line is indented; begin it in the first column");
        if (line.front() == '[')
            return this->accept_heading(line);
        return this->accept_entry(line);
    }

    bool accept_heading(std::string_view line)
    {
        const std::string_view heading = without_comment(line);
        if (!heading.ends_with(']') || heading.find(']') != heading.size() - 1 ||
            trim(heading.substr(1, heading.size() - 2)).empty())
            return this->refuse_heading(
                "malformed heading; write '[kind name]' on a line of its own");
        if (heading.size() - 2 > max_heading_size)
            return this->refuse_heading(
                "the heading has " + std::to_string(heading.size() - 2) +
                " bytes, at most " + std::to_string(max_heading_size) +
                " are read; use a shorter name");
        this->heading_pending = true;
        return true;
    }

    // Keys after a refused heading belong to no known section and are skipped.
    bool refuse_heading(std::string message)
    {
        this->skipping = true;
        return this->refuse(std::move(message));
    }

    bool accept_entry(std::string_view line)
    {
        if (this->skipping)
            return false;
        const std::size_t separator = without_comment(line).find_first_of("=:");
        if (separator == std::string_view::npos || separator == 0)
            return this->refuse("neither a heading nor 'key = value'; write one of them, "
                                "or begin a comment with ';'");
        if (this->result.sections.empty())
            return this->refuse("key before the first section; put it under a heading "
                                "such as '[catalogue]'");
        return true;
    }

    static std::string_view without_comment(std::string_view line)
    {
        std::size_t at = line.find(';');
        while (at != std::string_view::npos &&
               whitespace.find(line[at - 1]) == std::string_view::npos)
            at = line.find(';', at + 1);
        return trim(line.substr(0, at));
    }

    bool refuse(std::string message)
    {
        this->problems.add(this->line, std::move(message));
        return false;
    }

    void add_entry(std::string_view heading, std::string_view name,
                   std::string_view value)
    {
        if (this->at_heading_marker)
            return this->begin_section(heading);
        this->result.sections.back().entries.push_back(
            {.key = std::string(name), .value = std::string(value), .line = this->line});
    }

    void begin_section(std::string_view heading)
    {
        std::vector<std::string> words = split_words(heading);
        section added{.kind = words.front(),
                      .names = {words.begin() + 1, words.end()},
                      .line = this->line};
        for (const section& earlier : this->result.sections)
            if (earlier.kind == added.kind && earlier.names == added.names)
                this->problems.add(this->line, "section " + added.title() +
                                                   " was given in line " +
                                                   std::to_string(earlier.line) +
                                                   "; merge the two or rename one");
        this->skipping = false;
        this->result.sections.push_back(std::move(added));
    }

    std::string_view rest;
    problem_list& problems;
    document result;
    std::size_t line = 0;
    bool heading_pending = false;   // the next line for inih is the additional one
    bool at_heading_marker = false; // the current line is the additional one
    bool skipping = false;
};

struct unit
{
    std::string_view name;
    std::uint64_t factor;
};

// Parses a whole number followed by one of `units`.
result<std::uint64_t> parse_unit(std::string_view value, std::span<const unit> units,
                                 std::string_view examples)
{
    std::uint64_t number = 0;
    const char* end = value.data() + value.size();
    const auto [rest, problem] = std::from_chars(value.data(), end, number);
    const std::string remedy = "; write for example " + std::string(examples);
    if (problem == std::errc::result_out_of_range)
        return failure(errc::invalid_argument, "the number is too large" + remedy);
    if (problem != std::errc())
        return failure(errc::invalid_argument, "not a whole number with a unit" + remedy);
    const std::string_view name = trim({rest, static_cast<std::size_t>(end - rest)});
    if (name.empty())
        return failure(errc::invalid_argument, "the unit is missing" + remedy);
    for (const unit& known : units)
    {
        if (known.name != name)
            continue;
        if (number > std::uint64_t{INT64_MAX} / known.factor)
            return failure(errc::invalid_argument, "the number is too large" + remedy);
        return number * known.factor;
    }
    return failure(errc::invalid_argument,
                   "unknown unit '" + std::string(name) + "'" + remedy);
}

std::string join(const std::set<std::string, std::less<>>& words)
{
    std::string text;
    for (const std::string& word : words)
        text += (text.empty() ? "" : ", ") + word;
    return text;
}

bool is_valid_ip(const std::string& text, bool is_ipv6)
{
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    std::array<char, INET6_ADDRSTRLEN> canonical{};
    const int family = is_ipv6 ? AF_INET6 : AF_INET;
    return inet_pton(family, text.c_str(), binary.data()) == 1 &&
           inet_ntop(family, binary.data(), canonical.data(), canonical.size()) !=
               nullptr &&
           text == canonical.data();
}

} // namespace

std::string section::title() const
{
    std::string text = "[" + this->kind;
    for (const std::string& name : this->names)
        text += " " + name;
    return text + "]";
}

void problem_list::add(std::size_t line, std::string message)
{
    this->problems.push_back({line, std::move(message)});
}

error problem_list::to_error(std::string_view file_name) const
{
    std::vector<problem> sorted = this->problems;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const problem& left, const problem& right)
                     { return left.line < right.line; });
    std::string text;
    const std::size_t shown = std::min(sorted.size(), max_problems_shown);
    for (const problem& each : std::span(sorted).first(shown))
    {
        text += (text.empty() ? "" : "\n") + std::string(file_name) + ":";
        text += std::to_string(each.line) + ": " + each.message;
    }
    if (sorted.size() > shown)
        text += "\n" + std::string(file_name) + ": " +
                std::to_string(sorted.size() - shown) +
                " more problems; correct the first ones and check again";
    return {make_error_code(errc::invalid_argument), std::move(text)};
}

result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(max_text_size + 1, '\0');
    if (file)
        file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad() || (file.fail() && !file.eof()))
        return failure(errc::not_found, path + ": the file can't be read; check its name "
                                               "and permissions");
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_text_size)
        return failure(errc::limit_exceeded, path + ": the file has more than " +
                                                 std::to_string(max_text_size) +
                                                 " bytes; check its name");
    return text;
}

document read_document(std::string_view text, problem_list& problems)
{
    if (text.size() > max_text_size)
    {
        problems.add(0, "the text has " + std::to_string(text.size()) +
                            " bytes, at most " + std::to_string(max_text_size) +
                            " are read; remove entries that are not used");
        return {};
    }
    return document_parser(text, problems).run();
}

section_reader::section_reader(const section& from, problem_list& problems)
    : from(from), problems(problems)
{
}

bool section_reader::has(std::string_view key) const
{
    const auto& entries = this->from.entries;
    return std::any_of(entries.begin(), entries.end(),
                       [&](const entry& item) { return item.key == key; });
}

std::size_t section_reader::line_of(std::string_view key) const
{
    for (const entry& item : this->from.entries)
        if (item.key == key)
            return item.line;
    return this->from.line;
}

void section_reader::finish()
{
    std::set<std::string, std::less<>> all_keys = this->known_keys;
    all_keys.insert(this->repeatable_keys.begin(), this->repeatable_keys.end());
    std::map<std::string_view, std::size_t> first;
    for (const entry& item : this->from.entries)
    {
        const auto [seen, is_first] = first.emplace(item.key, item.line);
        if (!all_keys.contains(item.key))
            this->problems.add(item.line, "unknown key '" + item.key + "' in " +
                                              this->from.title() + "; known keys are " +
                                              join(all_keys));
        else if (!is_first && !this->repeatable_keys.contains(item.key))
            this->problems.add(item.line, "key '" + item.key + "' in " +
                                              this->from.title() + " was given in line " +
                                              std::to_string(seen->second) +
                                              "; remove one of the two");
    }
}

const entry* section_reader::find(std::string_view key)
{
    this->known_keys.emplace(key);
    for (const entry& item : this->from.entries)
        if (item.key == key)
            return &item;
    return nullptr;
}

void section_reader::mark_secret(std::string_view key)
{
    this->secret_keys.emplace(key);
}

void section_reader::report(const entry& item, std::string_view what)
{
    const bool secret = this->secret_keys.contains(item.key);
    std::string message = item.key;
    message += secret ? "" : " = '" + item.value + "'";
    message += " in " + this->from.title() + ": ";
    this->problems.add(item.line, message.append(what));
}

void section_reader::report_missing(std::string_view key)
{
    this->problems.add(this->from.line, "key '" + std::string(key) + "' is missing in " +
                                            this->from.title() + "; add it");
}

result<std::string> parse_text(std::string_view value)
{
    if (value.empty())
        return failure(errc::invalid_argument, "empty value; write a text");
    return std::string(value);
}

result<std::string> parse_name(std::string_view value)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    if (value.empty() || value.size() > max_name_size ||
        letters.find(value.front()) == std::string_view::npos ||
        value.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789_.-") !=
            std::string_view::npos)
        return failure(errc::invalid_argument,
                       "'" + std::string(value) +
                           "' is not a name; use 1 to 32 of a-z, 0-9, '_', '.' and '-', "
                           "beginning with a letter or digit");
    return std::string(value);
}

result<duration> parse_duration(std::string_view value)
{
    static constexpr std::array<unit, 5> units{{{"us", 1},
                                                {"ms", 1'000},
                                                {"s", 1'000'000},
                                                {"min", 60'000'000},
                                                {"h", 3'600'000'000}}};
    const auto parsed = parse_unit(value, units, "'250 ms', '10 s', '2 min' or '1 h'");
    if (!parsed)
        return parsed.error();
    return duration(parsed.value());
}

result<std::uint64_t> parse_bytes(std::string_view value)
{
    static constexpr std::array<unit, 4> units{
        {{"B", 1}, {"KiB", 1U << 10U}, {"MiB", 1U << 20U}, {"GiB", 1U << 30U}}};
    return parse_unit(value, units, "'512 B', '64 KiB' or '8 MiB'");
}

result<std::uint64_t> parse_mbit_per_s(std::string_view value)
{
    static constexpr std::array<unit, 2> units{{{"Mbit/s", 1}, {"Gbit/s", 1000}}};
    return parse_unit(value, units, "'280 Mbit/s' or '4 Gbit/s'");
}

result<double> parse_rate(std::string_view value)
{
    double rate = 0;
    const char* end = value.data() + value.size();
    const auto [rest, problem] =
        std::from_chars(value.data(), end, rate, std::chars_format::fixed);
    const std::string_view unit = trim({rest, static_cast<std::size_t>(end - rest)});
    if (problem != std::errc() || !std::isfinite(rate) || unit != "/s")
        return failure(errc::invalid_argument,
                       "not a rate; write requests per second, for example '12/s'");
    return rate;
}

result<std::uint64_t> parse_count(std::string_view value)
{
    std::uint64_t count = 0;
    const char* end = value.data() + value.size();
    const auto [rest, problem] = std::from_chars(value.data(), end, count);
    if (problem != std::errc() || rest != end)
        return failure(errc::invalid_argument,
                       "not a whole number; write digits only, for example '12'");
    return count;
}

result<std::string> parse_endpoint(std::string_view value)
{
    const std::size_t colon = value.rfind(':');
    const std::string_view port =
        colon == std::string_view::npos ? "" : value.substr(colon + 1);
    std::string host(value.substr(0, colon));
    const bool is_ipv6 = host.starts_with('[') && host.ends_with(']');
    if (is_ipv6)
        host = host.substr(1, host.size() - 2);
    const auto number = parse_count(port);
    if (!is_valid_ip(host, is_ipv6) || !number || number.value() < 1 ||
        number.value() > UINT16_MAX || port.front() == '0')
        return failure(errc::invalid_argument,
                       "not an address; write ip:port, for example '10.0.0.1:8080' or "
                       "'[fd00::1]:8080' in its shortest form");
    return std::string(value);
}

std::vector<std::string> split_words(std::string_view text)
{
    std::vector<std::string> words;
    std::size_t begin = text.find_first_not_of(whitespace);
    while (begin != std::string_view::npos)
    {
        const std::size_t end = text.find_first_of(whitespace, begin);
        words.emplace_back(text.substr(begin, end - begin));
        begin = text.find_first_not_of(whitespace, end);
    }
    return words;
}

} // namespace pistachiospan::ini
