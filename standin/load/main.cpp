#include "standin/common/options.hpp"
#include "standin/load/load_run.hpp"

#include <csignal>
#include <fstream>
#include <iostream>

using namespace pistachiospan::standin;

namespace
{

struct tool_options
{
    load_options load;
    double deadline_ms = 5000;
    double time_s = 10;
    std::string json_file;
    bool quiet = false;
};

// "name:key:rate"
load_account parse_account(const std::string& text)
{
    const std::size_t first = text.find(':');
    const std::size_t last = text.rfind(':');
    if (first == std::string::npos || first == last)
        throw std::invalid_argument("not name:key:rate");
    return {.name = text.substr(0, first),
            .key = text.substr(first + 1, last - first - 1),
            .rate = std::stod(text.substr(last + 1))};
}

// "name=/path"
load_route parse_route(const std::string& text)
{
    const std::size_t at = text.find('=');
    if (at == std::string::npos || !text.substr(at + 1).starts_with('/'))
        throw std::invalid_argument("not name=/path");
    return {.name = text.substr(0, at), .path = text.substr(at + 1)};
}

tool_options parse(int count, const char** arguments)
{
    tool_options options;
    load_options& load = options.load;
    command_line line("load_tool");
    line.add("entry", "ip:port of an entry VM for look-ups; repeat", load.entries);
    line.add("direct", "ip:port of an upstream: the baseline without the system",
             load.direct);
    line.add("account", "name:key:rate, rate in requests/s; repeat",
             [&](const char* text) { load.accounts.push_back(parse_account(text)); });
    line.add("route", "name=/path; repeat",
             [&](const char* text) { load.routes.push_back(parse_route(text)); });
    line.add("anonymous", "send no keys: for open routes", load.anonymous);
    line.add("upstream", "ip:port, for its counts at the end; repeat", load.upstreams);
    line.add("post-share", "share of POSTs, 0 to 1", load.post_share);
    line.add_count("body-bytes", "bytes of a POST's body", load.body_bytes);
    line.add_count("answer-bytes", "bytes of an answer's filler", load.answer_bytes);
    line.add("large-share", "share of the POSTs with a large body", load.large_share);
    line.add_count("large-bytes", "bytes of a large body", load.large_bytes);
    line.add("deadline-ms", "deadline of a request with its repeats",
             options.deadline_ms);
    line.add_count("repeats", "most repeats of a request", load.max_repeats);
    line.add("repeat-lost", "also repeat what may have run, with the same key",
             load.repeat_lost);
    line.add_count("count", "most requests", load.max_requests);
    line.add("time-s", "seconds of sending", options.time_s);
    line.add_count("closed-loop", "requests in progress instead of rates",
                   load.closed_loop);
    line.add_count("connections", "connections to each VM", load.connections);
    line.add_count("seed", "seed of all random choices", load.seed);
    line.add("run-id", "part of all request ids and keys (default: random)", load.run_id);
    line.add("json", "file for the report as JSON, - for the standard output",
             options.json_file);
    line.add("quiet", "no progress lines", options.quiet);
    line.parse(count, arguments);
    const auto whole = [](double milliseconds)
    {
        return std::chrono::round<pistachiospan::duration>(
            std::chrono::duration<double, std::milli>(milliseconds));
    };
    load.deadline = whole(options.deadline_ms);
    load.max_time = whole(options.time_s * 1000);
    return options;
}

void write_json(const std::string& file, const load_report& report)
{
    const std::string text = report.describe().dump(2);
    if (file == "-")
        std::cout << text << std::endl;
    else if (!(std::ofstream(file) << text << '\n'))
        throw std::runtime_error("cannot write " + file + "; check the directory");
}

void run(int count, const char** arguments)
{
    tool_options options = parse(count, arguments);
    if (!options.quiet)
        options.load.progress = [](const std::string& line)
        {
            std::cerr << line << '\n';
        };
    const event_owner<event_base> base = make_loop();
    load_run load(base.get(), options.load, [&] { event_base_loopbreak(base.get()); });
    const auto stop = [](int, short, void* running)
    {
        static_cast<load_run*>(running)->stop();
    };
    const event_owner<event> term(evsignal_new(base.get(), SIGTERM, stop, &load));
    const event_owner<event> interrupt(evsignal_new(base.get(), SIGINT, stop, &load));
    evsignal_add(term.get(), nullptr);
    evsignal_add(interrupt.get(), nullptr);
    event_base_dispatch(base.get());
    (options.json_file == "-" ? std::cerr : std::cout) << load.report().text();
    if (!options.json_file.empty())
        write_json(options.json_file, load.report());
}

} // namespace

int main(int count, char** arguments)
{
    return run_program("load_tool",
                       [&] { run(count, const_cast<const char**>(arguments)); });
}
