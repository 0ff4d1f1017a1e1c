#include "pistachiospan/settings/settings.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace pistachiospan;
using namespace pistachiospan::settings;

namespace
{

const std::string base_text = "[vm]\n"
                              "id = vm-1\n"
                              "data_centre = a-1\n"
                              "region = a\n"
                              "[listen]\n"
                              "callers = 127.0.0.1:8001\n"
                              "peers = [::1]:9001\n"
                              "[platform]\n"
                              "address = 127.0.0.1:7000\n"
                              "timeout = 750 ms\n"
                              "region = b\n"
                              "[peers]\n"
                              "secret = correct horse battery\n"
                              "seed = vm-2 127.0.0.1:9002 a-1 a\n"
                              "seed = vm-3 127.0.0.1:9003 b-1 b\n"
                              "[limits]\n"
                              "max_header = 8 KiB\n"
                              "max_connections = 500\n"
                              "idle_timeout = 2 min\n"
                              "header_timeout = 3 s\n"
                              "[log]\n"
                              "level = debug\n"
                              "[random]\n"
                              "seed = 7\n";

std::string replace_in_base(std::string_view before, std::string_view after)
{
    std::string text = base_text;
    const std::size_t at = text.find(before);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, before);
    return text.replace(at, before.size(), after);
}

} // namespace

BOOST_AUTO_TEST_CASE(every_setting_is_read)
{
    const auto parsed = parse_settings(base_text, "vm.ini");
    BOOST_REQUIRE(parsed.has_value());
    const auto& read = parsed.value();
    BOOST_TEST(read.id.value == "vm-1");
    BOOST_TEST(read.peer_address == "[::1]:9001");
    BOOST_TEST((read.platform_timeout == std::chrono::milliseconds(750)));
    BOOST_TEST(read.peer_secret == "correct horse battery");
    BOOST_TEST(read.platform_region == "b");
    BOOST_REQUIRE(read.seed_peers.size() == 2U);
    BOOST_TEST(read.seed_peers[1].id.value == "vm-3");
    BOOST_TEST(read.seed_peers[1].address == "127.0.0.1:9003");
    BOOST_TEST(read.seed_peers[1].data_centre == "b-1");
    BOOST_TEST(read.seed_peers[1].region == "b");
    BOOST_TEST(read.max_header == 8192U);
    BOOST_TEST((read.idle_timeout == std::chrono::minutes(2)));
    BOOST_TEST((read.level == log_level::debug));
    BOOST_TEST(read.seed.value() == 7U);
    const std::string hex =
        replace_in_base("secret = correct horse battery",
                        "secret_hex = 00ff414243444546474849505152fe01");
    const auto from_hex = parse_settings(hex, "vm.ini");
    BOOST_REQUIRE(from_hex.has_value());
    BOOST_TEST(from_hex.value().peer_secret.substr(1, 2) == "\xff"
                                                            "A");
}

BOOST_AUTO_TEST_CASE(optional_settings_have_the_documented_defaults)
{
    const std::string required_only = base_text.substr(0, base_text.find("[limits]"));
    const auto read = parse_settings(required_only, "vm.ini").value();
    BOOST_TEST(read.max_header == 16384U);
    BOOST_TEST((read.level == log_level::info));
    BOOST_TEST(!read.seed.has_value());
}

// Guards against a daemon that ignores or misreads a wrong setting and starts anyway.
BOOST_AUTO_TEST_CASE(each_kind_of_mistake_is_refused)
{
    const std::vector<std::array<std::string, 3>> edits = {
        {"id = vm-1", "", "vm.ini:1: key 'id' is missing in [vm]"},
        {"id = vm-1", "id = VM 1", "vm.ini:2: id = 'VM 1' in [vm]:"},
        {"id = vm-1", "name = vm-1", "known keys are data_centre, id, region"},
        {"[listen]\n", "[listen]\n[listen]\n", "was given in line 5"},
        {"[platform]", "[store]", "unknown section [store]; known sections"},
        {"[platform]", "[store]", "section [platform] is missing"},
        {"[log]", "[log file]", "unknown section [log file]"},
        {"[::1]:9001", "[::0001]:9001", "in its shortest form"},
        {"[::1]:9001", "127.0.0.1:8001", "give each its own port"},
        {"7000", "70000", "not an address"},
        {"750 ms", "750", "the unit is missing"},
        {"750 ms", "0 s", "10 ms to 1 h"},
        {"secret = correct horse battery", "", "needs either 'secret' or"},
        {"secret = correct", "secret_hex = 0\nsecret = correct", "exactly one"},
        {"seed = vm-3", "seed = vm-2", "given in line 14"},
        {"seed = vm-3 127.0.0.1:9003 b-1 b", "seed = 127.0.0.1:9003", "four parts"},
        {"9003 b-1 b", "9003 b-1 b c", "four parts"},
        {"127.0.0.1:9003", "127.0.0.1", "not an address"},
        {"8 KiB", "8 KB", "unknown unit 'KB'"},
        {"= 500", "= 0", "1 to 1000000"},
        {"= debug", "= verbose", "unknown level"},
        {"seed = 7", "seed = -7", "not a whole number"},
    };
    for (const auto& [before, after, expected] : edits)
    {
        const auto parsed = parse_settings(replace_in_base(before, after), "vm.ini");
        const std::string message = parsed ? "accepted" : parsed.error().message;
        BOOST_TEST(message.find(expected) != std::string::npos, after << ": " << message);
    }
    BOOST_TEST(!load_settings("/nonexistent/vm.ini").has_value());
    BOOST_TEST(!load_settings("/").has_value());
}

// Guards against showing the fleet's secret in an error message, which is logged.
BOOST_AUTO_TEST_CASE(a_refused_secret_is_not_shown)
{
    const auto parsed =
        parse_settings(replace_in_base("correct horse battery", "hunter2"), "vm.ini");
    BOOST_TEST(parsed.error().message.find("secret in [peers]") != std::string::npos);
    BOOST_TEST(parsed.error().message.find("hunter2") == std::string::npos);
}

// Guards against example settings with which a daemon would not start.
BOOST_AUTO_TEST_CASE(the_examples_are_accepted)
{
    for (const std::string name : {"kilat-loceng", "louche"})
        for (int vm = 1; vm <= 9; ++vm)
        {
            const std::string file = "vm-" + std::to_string(vm) + ".ini";
            std::string path = PISTACHIOSPAN_SOURCE_DIR "/examples/";
            path.append(name).append("/settings/").append(file);
            const auto read = load_settings(path);
            BOOST_REQUIRE(read.has_value());
            BOOST_TEST(read.value().id.value + ".ini" == file);
        }
}
