#include "pistachiospan/configuration/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;

namespace
{

configuration::content two_routes()
{
    return {.version = 7,
            .services = {{.name = "orders"}},
            .accounts = {{.name = "shop", .keys = {"key-1", "key-2"}}},
            .routes = {{.name = "all",
                        .host = "a.example",
                        .prefix = "/api/",
                        .targets = {{.service = "orders"}}},
                       {.name = "deep",
                        .host = "a.example",
                        .prefix = "/api/v2/",
                        .targets = {{.service = "orders"}}}}};
}

} // namespace

// Guards against a shorter prefix that takes precedence over a longer one.
BOOST_AUTO_TEST_CASE(longest_prefix_wins)
{
    const configuration::state active(two_routes());
    BOOST_TEST(active.find_route("a.example", "/api/v2/x")->name == "deep");
    BOOST_TEST(active.find_route("a.example", "/api/v2")->name == "all");
    BOOST_TEST(active.find_route("a.example", "/api/x/y")->name == "all");
}

// Guards against matching routes of another host, and prefixes that end within a segment.
BOOST_AUTO_TEST_CASE(no_route_for_other_host_or_path)
{
    const configuration::state active(two_routes());
    BOOST_TEST(active.find_route("b.example", "/api/x") == nullptr);
    BOOST_TEST(active.find_route("a.example", "/apix/x") == nullptr);
    BOOST_TEST(active.find_route("a.example", "/api") == nullptr);
    BOOST_TEST(active.find_route("a.example", "") == nullptr);
}

// Guards against finding an account for an unknown or empty key.
BOOST_AUTO_TEST_CASE(keys_name_their_account)
{
    const configuration::state active(two_routes());
    BOOST_TEST(active.find_account("key-2")->name == "shop");
    BOOST_TEST(active.find_account("") == nullptr);
    BOOST_TEST(active.find_account("key-3") == nullptr);
}

// Guards against a split that deviates from its weights, and against a choice that
// differs between two calls for one request.
BOOST_AUTO_TEST_CASE(targets_follow_their_weights)
{
    const configuration::route split{
        .targets = {{.service = "a", .weight = 90}, {.service = "b", .weight = 10}}};
    int to_b = 0;
    constexpr int requests = 10000;
    for (int each = 0; each < requests; ++each)
    {
        const std::string id = "request-" + std::to_string(each);
        const std::string chosen = configuration::choose_target(split, id).service;
        BOOST_TEST(chosen == configuration::choose_target(split, id).service);
        to_b += chosen == "b" ? 1 : 0;
    }
    BOOST_TEST(to_b > requests * 0.08);
    BOOST_TEST(to_b < requests * 0.12);
}
