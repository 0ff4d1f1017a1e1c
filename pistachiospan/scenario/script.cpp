#include "pistachiospan/scenario/internal/script.hpp"

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

namespace pistachiospan::scenario::internal
{

namespace
{

struct form
{
    std::size_t fewest; // words after the verb
    std::size_t most;
    std::set<std::string, std::less<>> options;
    std::string usage;
};

using form_table = std::map<std::string, form, std::less<>>;

const form_table& setup_forms()
{
    static const form_table table{
        {"seed", {1, 1, {}, "seed 7"}},
        {"catalogue", {1, 1, {}, "catalogue examples/louche/catalogue.ini"}},
        {"fleet", {1, 1, {}, "fleet examples/louche/settings"}},
        {"vm", {3, 3, {}, "vm vm-1 montreal-1 montreal"}},
        {"end", {1, 1, {}, "end 40s"}},
        {"latency",
         {0,
          0,
          {"data-centre", "region", "client"},
          "latency data-centre=500us region=12ms client=1ms"}},
        {"service", {1, 1, {}, "service 20ms"}},
        {"repeat-lost", {1, 1, {}, "repeat-lost on"}},
    };
    return table;
}

const form_table& action_forms()
{
    static const form_table table{
        {"load",
         {2,
          2,
          {"account", "key", "rate", "for", "idempotency", "vm", "size"},
          "at 12s load claims POST account=grand-chef rate=50/s for=20s "
          "idempotency=own|issued|none"}},
        {"kill", {1, 1, {}, "at 5s kill vm-3"}},
        {"restart", {1, 1, {}, "at 9s restart vm-3"}},
        {"freeze", {1, 1, {"for"}, "at 5s freeze vm-2 for=5s"}},
        {"leave", {1, 1, {}, "at 5s leave vm-4"}},
        {"cut", {3, 4, {}, "at 5s cut montreal from quebec-city|all|platform [one-way]"}},
        {"heal", {0, 0, {}, "at 9s heal"}},
        {"loss", {1, 1, {}, "at 5s loss 5%"}},
        {"platform",
         {1, 2, {}, "at 5s platform down|up|silent, slow 200ms or lose-answers 3"}},
        {"edit", {6, 64, {}, "at 5s edit set client_account grand-chef rate = 100/s"}},
        {"revoke-key", {2, 2, {}, "at 5s revoke-key grand-chef 1"}},
        {"drain", {2, 2, {"by"}, "at 5s drain upstream 127.0.0.1:12100 [by=signal]"}},
        {"upstream", {2, 3, {}, "at 5s upstream 127.0.0.1:12100 down|up or slow 1s"}},
    };
    return table;
}

std::optional<std::uint64_t> parse_integer(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, code] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

statement read_words(std::size_t line, const std::string& text)
{
    statement made{.line = line, .text = text};
    std::istringstream words(text);
    for (std::string word; words >> word;)
    {
        const std::size_t equals = word.find('=');
        const bool is_option = equals != std::string::npos && equals > 0 &&
                               word[equals - 1] != '<' && word[equals - 1] != '>';
        if (is_option)
            made.options[word.substr(0, equals)] = word.substr(equals + 1);
        else
            made.words.push_back(word);
    }
    return made;
}

// Reads the statements and collects the problems of all lines.
class reader
{
public:
    explicit reader(std::string_view file_name)
    {
        this->made.file_name = file_name;
    }

    void take(std::size_t line, const std::string& text);
    result<script> finish();

private:
    void take_setup(statement next);
    void take_action(statement next);
    void take_expectation(const statement& next);
    void take_comparison(expectation& next, std::size_t at);
    bool check(const statement& next, const form_table& forms);
    void complain(std::size_t line, const std::string& what);

    script made;
    std::string problems;
};

void reader::complain(std::size_t line, const std::string& what)
{
    this->problems += (this->problems.empty() ? "" : "\n") + this->made.file_name + ":" +
                      std::to_string(line) + ": " + what;
}

bool reader::check(const statement& next, const form_table& forms)
{
    const auto found = forms.find(next.words.front());
    if (found == forms.end())
    {
        std::string known;
        for (const auto& [name, unused] : forms)
            known += (known.empty() ? "" : ", ") + name;
        this->complain(next.line, "unknown statement '" + next.words.front() +
                                      "'; use one of " + known);
        return false;
    }
    const form& expected = found->second;
    const std::size_t count = next.words.size() - 1;
    bool right = count >= expected.fewest && count <= expected.most;
    for (const auto& [name, unused] : next.options)
        right = right && expected.options.contains(name);
    for (const std::string_view name : {"for", "data-centre", "region", "client"})
        right = right && (!next.options.contains(name) ||
                          parse_duration(next.option(name)).has_value());
    if (!right)
        this->complain(next.line, "wrong words or options; write for example '" +
                                      expected.usage + "'");
    return right;
}

void reader::take_setup(statement next)
{
    if (!this->check(next, setup_forms()))
        return;
    const std::string& verb = next.words.front();
    if (verb == "seed")
    {
        const auto seed = parse_integer(next.words[1]);
        if (!seed)
            return this->complain(next.line, "the seed is no number; write 'seed 7'");
        this->made.seed = *seed;
    }
    else if (verb == "catalogue")
        this->made.catalogue_path = next.words[1];
    else if (verb == "fleet")
        this->made.settings_directory = next.words[1];
    else if (verb == "end" || verb == "service")
    {
        const auto span = parse_duration(next.words[1]);
        if (!span)
            return this->complain(next.line, "no duration; write for example '40s'");
        if (verb == "end")
            this->made.end = *span;
    }
    this->made.setup.push_back(std::move(next));
}

void reader::take_action(statement next)
{
    if (next.words.size() < 3)
        return this->complain(next.line, "incomplete; write for example 'at 5s heal'");
    const auto at = parse_duration(next.words[1]);
    if (!at)
        return this->complain(next.line, "'" + next.words[1] +
                                             "' is no time; write for example '5s'");
    next.at = *at;
    next.words.erase(next.words.begin(), next.words.begin() + 2);
    if (!this->check(next, action_forms()))
        return;
    const std::string& verb = next.words.front();
    const auto refuse = [&]
    {
        this->complain(next.line, "wrong value; write for example '" +
                                      action_forms().at(next.words.front()).usage + "'");
    };
    if (verb == "load")
    {
        const std::string kind = next.option("idempotency", "none");
        const std::string rate = next.option("rate");
        if (!rate.ends_with("/s") ||
            parse_number(rate.substr(0, rate.size() - 2)).value_or(0) <= 0 ||
            !next.options.contains("for") ||
            (kind != "own" && kind != "issued" && kind != "none"))
            return refuse();
    }
    if (verb == "freeze" && !next.options.contains("for"))
        return refuse();
    if (verb == "cut" && (next.words[2] != "from" ||
                          (next.words.size() == 5 && next.words[4] != "one-way")))
        return refuse();
    if (verb == "loss" &&
        (!next.words[1].ends_with('%') ||
         !parse_number(next.words[1].substr(0, next.words[1].size() - 1))))
        return refuse();
    if (verb == "edit" &&
        (next.words[1] != "set" ||
         std::find(next.words.begin(), next.words.end(), "=") != next.words.begin() + 5))
        return refuse();
    if (verb == "revoke-key" && parse_integer(next.words[2]).value_or(0) == 0)
        return refuse();
    if (verb == "drain" &&
        (next.words[1] != "upstream" || next.option("by", "signal") != "signal"))
        return refuse();
    if (verb == "platform" || verb == "upstream")
    {
        const std::size_t first = verb == "platform" ? 1 : 2;
        const std::string& how = next.words[first];
        const bool more = next.words.size() > first + 1;
        const bool plain =
            how == "up" || how == "down" || (how == "silent" && verb == "platform");
        const bool slow = how == "slow" && more && parse_duration(next.words[first + 1]);
        const bool lose = how == "lose-answers" && verb == "platform" && more &&
                          parse_integer(next.words[first + 1]);
        if (!(plain && !more) && !slow && !lose)
            return refuse();
    }
    this->made.actions.push_back(std::move(next));
}

// `<op> <number>[%]` from word `at` to the end.
void reader::take_comparison(expectation& next, std::size_t at)
{
    const auto& words = next.source.words;
    static const std::set<std::string, std::less<>> comparisons{"=", "<=", ">="};
    std::string number = words.size() == at + 2 ? words[at + 1] : "";
    next.percent = number.ends_with('%');
    if (next.percent)
        number.pop_back();
    const auto bound = parse_number(number);
    if (!bound || !comparisons.contains(words[at]))
        return this->complain(next.source.line,
                              "no comparison; end the line with '= 0', '<= 1%' or "
                              "'>= 95%'");
    next.comparison = words[at];
    next.bound = *bound;
    this->made.expectations.push_back(std::move(next));
}

void reader::take_expectation(const statement& next)
{
    static const std::map<std::string, bool, std::less<>> counts{
        {"duplicates", false}, {"over-slots", false},     {"false-not-run", false},
        {"over-rate", true},   {"answered", true},        {"refused", false},
        {"cut-off", false},    {"edits-accepted", false}, {"wrong-answers", false},
    };
    static const std::map<std::string, bool, std::less<>> times{
        {"drained", true}, {"left", true}, {"in-force", false}};
    const auto& words = next.words;
    expectation made{.source = next};
    if (words.size() == 4 && words[1] == "versions" && words[2] == "never" &&
        words[3] == "fall")
    {
        made.figure = "versions-fallen";
        this->made.expectations.push_back(std::move(made));
        return;
    }
    if (words.size() == 7 && words[1] == "within" && words[3] == "after" &&
        words[5] == "no" && words[6] == "answered" && parse_duration(words[2]) &&
        parse_duration(words[4]) && next.options.contains("account"))
    {
        made.figure = "answered-late";
        made.after = *parse_duration(words[2]) + *parse_duration(words[4]);
        made.subject = next.option("account");
        this->made.expectations.push_back(std::move(made));
        return;
    }
    const auto count = words.size() > 1 ? counts.find(words[1]) : counts.end();
    if (count != counts.end() && words.size() > (count->second ? 3U : 2U))
    {
        made.figure = words[1];
        made.subject = count->second ? words[2] : "";
        return this->take_comparison(made, count->second ? 3 : 2);
    }
    const auto time = words.size() > 1 ? times.find(words[1]) : times.end();
    const std::size_t at = time != times.end() && time->second ? 3 : 2;
    if (time != times.end() && words.size() == at + 2 && words[at] == "within" &&
        parse_duration(words[at + 1]))
    {
        made.figure = words[1];
        made.subject = time->second ? words[2] : "";
        made.comparison = "<=";
        made.bound =
            std::chrono::duration<double>(*parse_duration(words[at + 1])).count();
        this->made.expectations.push_back(std::move(made));
        return;
    }
    this->complain(next.line,
                   "unknown expectation; write for example 'expect duplicates = 0', "
                   "'expect answered claims >= 95%', 'expect drained <address> within "
                   "2s' or 'expect within 5s after 10s no answered account=<name>'");
}

void reader::take(std::size_t line, const std::string& text)
{
    const std::string content = text.substr(0, text.find('#'));
    statement next = read_words(line, content);
    if (next.words.empty() && next.options.empty())
        return;
    if (next.words.empty())
        return this->complain(line, "no statement; begin the line with 'at', 'expect' or "
                                    "a set-up statement");
    const std::size_t last = content.find_last_not_of(" \t\r");
    next.text = content.substr(0, last + 1);
    if (next.words.front() == "at")
        return this->take_action(std::move(next));
    if (next.words.front() == "expect")
        return this->take_expectation(next);
    this->take_setup(std::move(next));
}

result<script> reader::finish()
{
    if (this->made.catalogue_path.empty())
        this->complain(1, "no catalogue; add 'catalogue examples/louche/catalogue.ini'");
    if (this->made.end.count() == 0)
        this->complain(1, "no end; add for example 'end 40s'");
    if (this->made.expectations.empty())
        this->complain(1, "no expectation; add for example 'expect duplicates = 0'");
    for (const statement& action : this->made.actions)
        if (action.at >= this->made.end)
            this->complain(action.line, "after the end of the run; raise 'end'");
    if (!this->problems.empty())
        return failure(errc::invalid_argument, this->problems);
    std::stable_sort(this->made.actions.begin(), this->made.actions.end(),
                     [](const statement& left, const statement& right)
                     { return left.at < right.at; });
    return std::move(this->made);
}

} // namespace

std::string statement::option(std::string_view name, std::string_view otherwise) const
{
    const auto found = this->options.find(name);
    return found == this->options.end() ? std::string(otherwise) : found->second;
}

std::optional<double> parse_number(std::string_view text)
{
    double value = 0;
    const auto [end, code] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

std::optional<duration> parse_duration(std::string_view text)
{
    struct unit
    {
        std::string_view suffix;
        double microseconds;
    };
    for (const unit& next : {unit{"us", 1}, unit{"ms", 1e3}, unit{"s", 1e6}})
        if (text.ends_with(next.suffix))
        {
            const auto number =
                parse_number(text.substr(0, text.size() - next.suffix.size()));
            if (number && *number < 1e6)
                return duration(static_cast<duration::rep>(*number * next.microseconds));
        }
    return std::nullopt;
}

result<script> parse_script(std::string_view text, std::string_view file_name)
{
    reader lines(file_name);
    std::istringstream input{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(input, line);)
        lines.take(++number, line);
    return lines.finish();
}

} // namespace pistachiospan::scenario::internal
