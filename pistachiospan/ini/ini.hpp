// Strict parser for INI text: no line is ignored, values carry explicit units, and every
// problem is reported with its line and a remedy.
//
// Example:
//
//     problem_list problems;
//     const document read = read_document(text, problems);
//     for (const section& part : read.sections)
//     {
//         section_reader from(part, problems);
//         from.required("rate", account.rate, parse_rate);
//         from.finish(); // reports unknown and repeated keys
//     }
//     if (!problems.empty())
//         return problems.to_error("shop.ini");

#ifndef PISTACHIOSPAN_INI_INI_HPP
#define PISTACHIOSPAN_INI_INI_HPP

#include "pistachiospan/base/base.hpp"

#include <map>
#include <set>
#include <vector>

namespace pistachiospan::ini
{

// Largest accepted text, in bytes.
inline constexpr std::size_t max_text_size = std::size_t{4} * 1024 * 1024;

struct entry
{
    std::string key;
    std::string value;
    std::size_t line = 0;
};

// `[client_account north]` has the kind "client_account" and the names {"north"}.
struct section
{
    std::string kind;
    std::vector<std::string> names;
    std::size_t line = 0;
    std::vector<entry> entries;

    // Returns the heading with single spaces, such as "[client_account north]".
    std::string title() const;
};

struct document
{
    std::vector<section> sections;
};

// Returns the content of a file. Errors: not_found if it cannot be read, limit_exceeded
// if it is larger than max_text_size.
result<std::string> read_file(const std::string& path);

// Collects the problems of one text.
class problem_list
{
public:
    // `message` describes the problem and its remedy. Line 0 refers to the whole text.
    void add(std::size_t line, std::string message);

    bool empty() const
    {
        return this->problems.empty();
    }

    // Returns invalid_argument with the problems in the order of their lines, one per
    // line, each as "file:line: message". Shows at most 20 problems.
    error to_error(std::string_view file_name) const;

private:
    struct problem
    {
        std::size_t line;
        std::string message;
    };
    std::vector<problem> problems;
};

// Parses sections and keys. Reports lines that are too long for inih, indented, malformed
// or outside a section, and repeated sections.
document read_document(std::string_view text, problem_list& problems);

// Typed access to the keys of one section. Missing, repeated and malformed values are
// added to the problem list. A missing or malformed value leaves the target unchanged.
// `Parse` is callable as result<T>(string_view). The section and the problem list must
// outlive the reader.
class section_reader
{
public:
    section_reader(const section& from, problem_list& problems);

    // Marks the value of the key as a secret, which messages omit.
    void mark_secret(std::string_view key);

    // Parse the value of a key into `target`. Both return whether the section has the key
    // with a valid value; required() also reports a missing key.
    template <class T, class Parse>
    bool required(std::string_view key, T& target, Parse parse)
    {
        if (this->find(key) == nullptr)
            this->report_missing(key);
        return this->optional(key, target, parse);
    }

    template <class T, class Parse>
    bool optional(std::string_view key, T& target, Parse parse)
    {
        const entry* item = this->find(key);
        if (item == nullptr)
            return false;
        auto parsed = parse(std::string_view(item->value));
        if (!parsed)
        {
            this->report(*item, parsed.error().message);
            return false;
        }
        target = std::move(parsed).value();
        return true;
    }

    // Calls `handler` for each entry of a key that may be repeated. It returns a result,
    // whose error is reported with the line of the entry.
    template <class Handler>
    void for_each_entry(std::string_view key, Handler handler)
    {
        this->repeatable_keys.emplace(key);
        for (const entry& item : this->from.entries)
        {
            if (item.key != key)
                continue;
            if (const auto outcome = handler(item); !outcome)
                this->report(item, outcome.error().message);
        }
    }

    bool has(std::string_view key) const;

    // Returns the line of the key, or of the heading if the key is absent.
    std::size_t line_of(std::string_view key) const;

    // Reports keys that have not been read and keys that occur more than once.
    void finish();

private:
    const entry* find(std::string_view key);
    void report(const entry& item, std::string_view what);
    void report_missing(std::string_view key);

    const section& from;
    problem_list& problems;
    std::set<std::string, std::less<>> known_keys;
    std::set<std::string, std::less<>> repeatable_keys;
    std::set<std::string, std::less<>> secret_keys;
};

// Parsers for values. Errors: invalid_argument, with a message that says what is
// accepted.
result<std::string> parse_text(std::string_view value);    // not empty
result<std::string> parse_name(std::string_view value);    // a-z 0-9 _ . -, 1 to 32
result<duration> parse_duration(std::string_view value);   // 250 ms, 10 s, 2 min, 1 h
result<std::uint64_t> parse_bytes(std::string_view value); // 512 B, 64 KiB, 8 MiB, 1 GiB
result<double> parse_rate(std::string_view value);         // 12/s, 0.5/s
result<std::uint64_t> parse_mbit_per_s(std::string_view value); // 280 Mbit/s, 4 Gbit/s
result<std::uint64_t> parse_count(std::string_view value);      // decimal digits
result<std::string> parse_endpoint(std::string_view value); // 10.0.0.1:80, [fd00::1]:80
std::vector<std::string> split_words(std::string_view text);

// Returns a parser that accepts only values from `lower` to `upper`. Its error message
// names the range as `bounds`.
template <class T, class Parse>
auto within(Parse parse, T lower, T upper, std::string_view bounds)
{
    return [=](std::string_view value) -> result<T>
    {
        const auto parsed = parse(value);
        if (!parsed)
            return parsed.error();
        if (parsed.value() < lower || parsed.value() > upper)
            return failure(errc::invalid_argument,
                           "out of range; write a value from " + std::string(bounds));
        return static_cast<T>(parsed.value());
    };
}

} // namespace pistachiospan::ini

#endif
