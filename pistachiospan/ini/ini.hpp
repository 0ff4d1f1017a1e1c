// Strict reading of INI text: every line is accounted for, values have written units, and
// all problems are reported with their line and a remedy.
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
//         return problems.to_failure("shop.ini");

#ifndef PISTACHIOSPAN_INI_INI_HPP
#define PISTACHIOSPAN_INI_INI_HPP

#include "pistachiospan/base/base.hpp"

#include <map>
#include <set>
#include <vector>

namespace pistachiospan::ini
{

// Largest text that is read, in bytes.
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

    // The heading with single blanks, such as "[client_account north]".
    std::string title() const;
};

struct document
{
    std::vector<section> sections;
};

// Whole content of a file of at most max_text_size bytes.
result<std::string> read_file(const std::string& path);

// Collects what is wrong with a text.
class problem_list
{
public:
    // `message` says what is wrong and how to remedy it. Line 0: the text as a whole.
    void add(std::size_t line, std::string message);

    bool empty() const
    {
        return this->found.empty();
    }

    // All problems in the order of their lines, one a line, each as "file:line: message".
    // At most 20 are shown.
    error to_error(std::string_view file_name) const;

private:
    struct problem
    {
        std::size_t line;
        std::string message;
    };
    std::vector<problem> found;
};

// Reads sections and keys. Reports lines that are too long for the INI library, indented,
// malformed or outside a section, and sections that are repeated.
document read_document(std::string_view text, problem_list& problems);

// Typed access to the keys of one section. A missing, repeated or malformed value is
// reported and leaves the target unchanged. Parse has the form result<T>(string_view).
class section_reader
{
public:
    section_reader(const section& from, problem_list& problems);

    // Leaves the value of a key out of messages, since it may be a secret.
    void mark_secret(std::string_view key);

    // Both return whether the section has the key with a valid value.
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
        const entry* given = this->find(key);
        if (given == nullptr)
            return false;
        auto parsed = parse(std::string_view(given->value));
        if (!parsed)
        {
            this->report(*given, parsed.error().message);
            return false;
        }
        target = std::move(parsed).value();
        return true;
    }

    // Calls `take` for each entry of a key that may be repeated; result<T> with an error
    // is reported at its line.
    template <class Take>
    void for_each_entry(std::string_view key, Take take)
    {
        this->known_lists.emplace(key);
        for (const entry& given : this->from.entries)
        {
            if (given.key != key)
                continue;
            if (const auto taken = take(given); !taken)
                this->report(given, taken.error().message);
        }
    }

    bool has(std::string_view key) const;

    // Line of the key, or of the heading when the key is absent.
    std::size_t line_of(std::string_view key) const;

    // Reports keys that were not asked for and keys given twice.
    void finish();

private:
    const entry* find(std::string_view key);
    void report(const entry& given, std::string_view what);
    void report_missing(std::string_view key);

    const section& from;
    problem_list& problems;
    std::set<std::string, std::less<>> known;
    std::set<std::string, std::less<>> known_lists;
    std::set<std::string, std::less<>> hidden;
};

// Values. The error message of each says what is accepted.
result<std::string> parse_text(std::string_view value);    // not empty
result<std::string> parse_name(std::string_view value);    // a-z 0-9 _ . -, 1 to 32
result<duration> parse_duration(std::string_view value);   // 250 ms, 10 s, 2 min, 1 h
result<std::uint64_t> parse_bytes(std::string_view value); // 512 B, 64 KiB, 8 MiB, 1 GiB
result<double> parse_rate(std::string_view value);         // 12/s, 0.5/s
result<std::uint64_t> parse_mbit_per_s(std::string_view value); // 280 Mbit/s, 4 Gbit/s
result<std::uint64_t> parse_count(std::string_view value);      // a whole number
result<std::string> parse_endpoint(std::string_view value); // 10.0.0.1:80, [fd00::1]:80
std::vector<std::string> split_words(std::string_view text);

// Narrows a parse function to values between two bounds, which the message names.
template <class T, class Parse>
auto within(Parse parse, T least, T most, std::string_view bounds)
{
    return [=](std::string_view value) -> result<T>
    {
        const auto parsed = parse(value);
        if (!parsed)
            return parsed.error();
        if (parsed.value() < least || parsed.value() > most)
            return failure(errc::invalid_argument,
                           "out of range; write a value from " + std::string(bounds));
        return static_cast<T>(parsed.value());
    };
}

} // namespace pistachiospan::ini

#endif
