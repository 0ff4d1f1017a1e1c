// pistachioctl, the operator's command-line tool. docs/settings.md describes its commands
// and exit codes.

#include "pistachiospan/config/config.hpp"
#include "pistachiospan/ctl/ctl.hpp"
#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/ini/ini.hpp"
#include "pistachiospan/store_http/store_http.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <popt.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>

using namespace pistachiospan;
using ctl::exit_code;

namespace
{

using pistachiospan::event_loop::to_timeval;

constexpr std::size_t max_status_size = std::size_t{64} * 1024;

struct command_line
{
    std::string platform;
    duration timeout = std::chrono::seconds(2);
    bool json = false;
    std::vector<std::string> vm_addresses;
    std::string who;
    std::string edit_id;
    std::optional<catalogue_version> base;
    bool wait = false;
    bool undo = false;
    std::string salt;
    std::string time_prefix;
    std::size_t limit = 50;
    std::vector<std::string> positional; // command and its arguments
};

struct base_deleter
{
    void operator()(event_base* base) const
    {
        event_base_free(base);
    }
};

using event_base_ptr = std::unique_ptr<event_base, base_deleter>;

void call_after(event_base* base, duration delay, std::function<void()> call)
{
    const timeval wait = to_timeval(delay);
    auto* pending = new std::function<void()>(std::move(call));
    event_base_once(
        base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* argument)
        {
            const std::unique_ptr<std::function<void()>> call(
                static_cast<std::function<void()>*>(argument));
            (*call)();
        },
        pending, &wait);
}

// One GET in progress. finish_call() deletes it after calling its handler.
struct http_call
{
    evhttp_connection* connection = nullptr;
    std::string address;
    store::handler<std::string> done;
};

void finish_call(evhttp_request* request, void* argument)
{
    const std::unique_ptr<http_call> call(static_cast<http_call*>(argument));
    const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (status != HTTP_OK)
        return call->done(
            failure(errc::unavailable, call->address + " does not answer (status " +
                                           std::to_string(status) +
                                           "); check that the entry daemon runs there"));
    evbuffer* body = evhttp_request_get_input_buffer(request);
    const std::size_t size = evbuffer_get_length(body);
    const auto* bytes = reinterpret_cast<const char*>(
        evbuffer_pullup(body, static_cast<ev_ssize_t>(size)));
    call->done(size == 0 ? std::string() : std::string(bytes, size));
}

void http_get(event_base* base, duration timeout, const std::string& address,
              const std::string& path, store::handler<std::string> done)
{
    if (!ini::parse_endpoint(address))
        return done(failure(errc::invalid_argument,
                            "'" + address + "' is not ip:port; correct the VM list"));
    const std::size_t colon = address.rfind(':');
    std::string host = address.substr(0, colon);
    if (host.starts_with('['))
        host = host.substr(1, host.size() - 2);
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    evhttp_connection* connection =
        evhttp_connection_base_new(base, nullptr, host.c_str(), port);
    const timeval limit = to_timeval(timeout);
    evhttp_connection_set_timeout_tv(connection, &limit);
    evhttp_connection_set_max_body_size(connection, max_status_size);
    evhttp_connection_free_on_completion(connection);
    auto* call = new http_call{
        .connection = connection, .address = address, .done = std::move(done)};
    evhttp_request* request = evhttp_request_new(finish_call, call);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                      address.c_str());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    evhttp_make_request(connection, request, EVHTTP_REQ_GET, path.c_str());
}

exit_code report_usage_error(const std::string& message)
{
    std::cerr << "pistachioctl: " << message << "\n";
    return exit_code::usage;
}

// Parses the value of one option and stores it in `line`. Errors: those of the parsers.
result<bool> store_option(int option, const std::string& value, command_line& line)
{
    const auto store_value = [](auto& target, const auto& parsed) -> result<bool>
    {
        if (!parsed)
            return parsed.error();
        target = parsed.value();
        return true;
    };
    switch (option)
    {
    case 'p':
        return store_value(line.platform, ini::parse_endpoint(value));
    case 't':
        return store_value(line.timeout, ini::parse_duration(value));
    case 'v':
        line.vm_addresses.emplace_back();
        return store_value(line.vm_addresses.back(), ini::parse_endpoint(value));
    case 'w':
        return store_value(line.who, ini::parse_text(value));
    case 'e':
        return store_value(line.edit_id, ini::parse_text(value));
    case 'b':
        return store_value(line.base, ini::parse_count(value));
    case 's':
        return store_value(line.salt, ini::parse_text(value));
    case 'm':
        return store_value(line.time_prefix, ini::parse_text(value));
    case 'l':
        return store_value(line.limit, ini::parse_count(value));
    default:
        return failure(errc::invalid_argument, "unknown option; see --help");
    }
}

struct context_deleter
{
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

result<command_line> read_command_line(int argc, const char** argv)
{
    int json = 0;
    int wait = 0;
    int undo = 0;
    const poptOption options[] = {
        {"platform", 'p', POPT_ARG_STRING, nullptr, 'p', "address of the platform",
         "ip:port"},
        {"timeout", 't', POPT_ARG_STRING, nullptr, 't',
         "timeout of one call, default 2 s", "'2 s'"},
        {"json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
        {"vm", 'v', POPT_ARG_STRING, nullptr, 'v',
         "entry VM to query if the VM list can't be read; may be repeated", "ip:port"},
        {"who", 'w', POPT_ARG_STRING, nullptr, 'w',
         "who makes the edit (drain: default is $USER)", "NAME"},
        {"edit-id", 'e', POPT_ARG_STRING, nullptr, 'e',
         "id of the edit, the same when it is repeated (drain: default is random)", "ID"},
        {"base", 'b', POPT_ARG_STRING, nullptr, 'b',
         "apply: version that the file is based on", "VERSION"},
        {"wait", 0, POPT_ARG_NONE, &wait, 0, "apply: wait until in force on all VMs",
         nullptr},
        {"undo", 0, POPT_ARG_NONE, &undo, 0, "drain: remove the drain mark", nullptr},
        {"salt", 's', POPT_ARG_STRING, nullptr, 's',
         "hash-key: key_salt of the catalogue", "SALT"},
        {"since", 0, POPT_ARG_STRING, nullptr, 'm',
         "audit: rows whose time starts with this, such as 2026-12-04", "TIME"},
        {"limit", 'l', POPT_ARG_STRING, nullptr, 'l',
         "audit: number of newest rows, default 50", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, context_deleter> context(
        poptGetContext("pistachioctl", argc, argv, options, 0));
    poptSetOtherOptionHelp(context.get(),
                           "[OPTION...] check FILE | diff FILE | apply FILE | show | "
                           "status | audit | drain ADDRESS | hash-key --salt S");
    command_line line;
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0)
    {
        const std::unique_ptr<char, decltype(&std::free)> value(
            poptGetOptArg(context.get()), &std::free);
        const std::string text = value ? value.get() : "";
        if (const auto stored = store_option(option, text, line); !stored)
            return failure(errc::invalid_argument, "invalid option value '" + text +
                                                       "': " + stored.error().message);
    }
    if (option < -1)
        return failure(errc::invalid_argument,
                       std::string(poptBadOption(context.get(), 0)) + ": " +
                           poptStrerror(option) + "; see --help");
    while (const char* argument = poptGetArg(context.get()))
        line.positional.emplace_back(argument);
    line.json = json != 0;
    line.wait = wait != 0;
    line.undo = undo != 0;
    return line;
}

wall_time wall_now()
{
    return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

struct command
{
    std::string_view name;
    std::size_t argument_count;
    bool needs_platform;
};

constexpr command known_commands[] = {
    {"check", 1, false}, {"diff", 1, true},  {"apply", 1, true}, {"show", 0, true},
    {"status", 0, true}, {"audit", 0, true}, {"drain", 1, true}, {"hash-key", 0, false}};

result<bool> check_usage(const command_line& line)
{
    const std::string name = line.positional.empty() ? "" : line.positional.front();
    for (const command& known : known_commands)
    {
        if (known.name != name)
            continue;
        if (line.positional.size() != known.argument_count + 1)
            return failure(errc::invalid_argument,
                           name + " takes " + std::to_string(known.argument_count) +
                               " argument(s); see --help");
        if (known.needs_platform && line.platform.empty())
            return failure(errc::invalid_argument,
                           name + " needs the platform; give --platform ip:port");
        if (name == "apply" && (line.who.empty() || line.edit_id.empty()))
            return failure(
                errc::invalid_argument,
                "apply needs --who NAME and --edit-id ID; the same id when the "
                "command is repeated");
        if (name == "hash-key" && line.salt.empty())
            return failure(errc::invalid_argument,
                           "hash-key needs --salt; give key_salt of the catalogue");
        return true;
    }
    return failure(errc::invalid_argument,
                   "no command or unknown command '" + name + "'; see --help");
}

edit::drain_request drain_of(const command_line& line)
{
    edit::drain_request request{.edit_id = line.edit_id,
                                .who = line.who,
                                .address = line.positional[1],
                                .drain = !line.undo};
    const char* user = std::getenv("USER");
    if (request.who.empty())
        request.who = user == nullptr ? "operator" : user;
    if (request.edit_id.empty())
        request.edit_id = "drain-" + random_hex(8);
    std::cerr << "edit id " << request.edit_id << "\n";
    return request;
}

void start_command(ctl::commands& tool, const command_line& line,
                   const ctl::catalogue_file& file, const ctl::completion_handler& done)
{
    const std::string& name = line.positional.front();
    if (name == "check")
        return done(tool.check(file));
    if (name == "diff")
        return tool.diff(file, done);
    if (name == "apply")
        return tool.apply(wall_now(),
                          {.file = file,
                           .who = line.who,
                           .edit_id = line.edit_id,
                           .base = line.base,
                           .wait = line.wait},
                          done);
    if (name == "show")
        return tool.show(done);
    if (name == "status")
        return tool.status(done);
    if (name == "audit")
        return tool.audit({.time_prefix = line.time_prefix, .limit = line.limit}, done);
    if (name == "drain")
        return tool.drain(wall_now(), drain_of(line), done);
    std::string key;
    std::getline(std::cin, key);
    done(tool.hash_key(line.salt, key));
}

exit_code run(const command_line& line)
{
    ctl::catalogue_file file;
    const std::string& name = line.positional.front();
    if (name == "check" || name == "diff" || name == "apply")
    {
        auto text = ini::read_file(line.positional[1]);
        if (!text)
            return report_usage_error(text.error().message);
        file = {.name = line.positional[1], .text = std::move(text).value()};
    }
    const event_base_ptr base(event_base_new());
    // Commands that don't need the platform never call it, so any address is accepted.
    store::http_platform platform(
        base.get(), {.address = line.platform.empty() ? "127.0.0.1:1" : line.platform,
                     .timeout = line.timeout});
    ctl::commands tool(
        {.rows = platform,
         .objects = platform,
         .vms = platform,
         .http_get = [&](const std::string& address, const std::string& path,
                         store::handler<std::string> done)
         { http_get(base.get(), line.timeout, address, path, std::move(done)); },
         .after = [&](duration delay, std::function<void()> call)
         { call_after(base.get(), delay, std::move(call)); },
         .print = [](std::string_view text) { std::cout << text << std::flush; },
         .print_error = [](std::string_view text) { std::cerr << text; },
         .difference = &config::make_difference,
         .json = line.json,
         .vm_addresses = line.vm_addresses});
    std::optional<exit_code> outcome;
    start_command(tool, line, file,
                  [&](exit_code code)
                  {
                      outcome = code;
                      event_base_loopbreak(base.get());
                  });
    if (!outcome)
        event_base_dispatch(base.get());
    return outcome.value_or(exit_code::unavailable);
}

} // namespace

int main(int argc, char** argv)
{
    const auto line = read_command_line(argc, const_cast<const char**>(argv));
    if (!line)
        return static_cast<int>(report_usage_error(line.error().message));
    if (const auto usage = check_usage(line.value()); !usage)
        return static_cast<int>(report_usage_error(usage.error().message));
    return static_cast<int>(run(line.value()));
}
