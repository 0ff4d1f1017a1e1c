#include "pistachiospan/catalogue/catalogue.hpp"
#include "pistachiospan/ini/ini.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace pistachiospan;
using namespace pistachiospan::catalogue;

namespace
{

const std::string salt = "00112233445566778899aabbccddeeff";

std::string base_text()
{
    return "[catalogue]\n"
           "name = shop\n"
           "owner = ops\n"
           "key_salt = " +
           salt +
           "\n"
           "[region a]\n"
           "[region b]\n"
           "[link a b]\n"
           "capacity = 280 Mbit/s\n"
           "[data_centre a-1]\n"
           "region = a\n"
           "entry_vms = 2\n"
           "[data_centre b-1]\n"
           "region = b\n"
           "entry_vms = 1\n"
           "max_in_flight = 3\n"
           "[client_account north]\n"
           "owner = anna\n"
           "class = gold\n"
           "rate = 12.5/s\n"
           "burst = 20\n"
           "key_hash = " +
           hash_key(salt, "first") +
           "\n"
           "key_hash = " +
           hash_key(salt, "second") +
           "\n"
           "[client_account south]\n"
           "owner = siti\n"
           "class = gold\n"
           "rate = 3/s\n"
           "burst = 1\n"
           "key_hash = " +
           hash_key(salt, "third") +
           "\n"
           "[route browse]\n"
           "owner = anna\n"
           "class = page\n"
           "path_prefix = /shop\n"
           "group = pages\n"
           "access = open\n"
           "[route orders]\n"
           "owner = anna\n"
           "class = order\n"
           "path_prefix = /shop/orders\n"
           "group = pages\n"
           "access = keyed\n"
           "unconfirmed = majority\n"
           "deadline = 250 ms\n"
           "max_body = 64 KiB\n"
           "[upstream_group pages]\n"
           "owner = anna\n"
           "class = page\n"
           "slots = 3\n"
           "warm_up = 10 s\n"
           "server = 127.0.0.1:9001 @ a-1\n"
           "server = 127.0.0.1:9002 @ b-1 drain\n";
}

std::string replace_in_base(std::string_view before, std::string_view after)
{
    std::string text = base_text();
    const std::size_t at = text.find(before);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, before);
    return text.replace(at, before.size(), after);
}

std::string error_message(std::string_view text)
{
    const auto parsed = parse_catalogue(text, "shop.ini");
    return parsed ? "accepted" : parsed.error().message;
}

struct bad_edit
{
    std::string before;
    std::string after;
    std::string expected; // part of the message
};

} // namespace

BOOST_AUTO_TEST_CASE(every_field_is_read)
{
    const auto parsed = parse_catalogue(base_text(), "shop.ini");
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), error_message(base_text()));
    const auto& read = parsed.value();
    BOOST_TEST(read.rate_shares == 3U); // the entry VMs of all data centres
    BOOST_TEST(read.links.at(0).mbit_per_s == 280U);
    BOOST_TEST(read.data_centres.at("b-1").max_in_flight == 3U);
    BOOST_TEST(read.accounts.at("north").rate == 12.5);
    BOOST_TEST(read.accounts.at("north").key_hashes.size() == 2U);
    BOOST_TEST(read.routes.at("browse").open);
    BOOST_TEST((read.routes.at("browse").unconfirmed == unconfirmed_policy::serve));
    const route& orders = read.routes.at("orders");
    BOOST_TEST((orders.unconfirmed == unconfirmed_policy::majority));
    BOOST_TEST((orders.deadline == std::chrono::milliseconds(250)));
    BOOST_TEST(orders.max_body == 65536U);
    const upstream_group& pages = read.groups.at("pages");
    BOOST_TEST((pages.warm_up == std::chrono::seconds(10)));
    BOOST_TEST(pages.upstreams.at(1).drain);
    BOOST_TEST(!pages.upstreams.at(0).drain);
}

// Guards against a mistake in an edit that is accepted, ignored or read as something
// else.
BOOST_AUTO_TEST_CASE(each_kind_of_mistake_is_refused_with_line_and_remedy)
{
    const std::vector<bad_edit> edits = {
        {"rate = 12.5/s", "rat = 12.5/s",
         "shop.ini:19: unknown key 'rat' in [client_account north]; known keys are "
         "burst, class, key_hash, owner, rate, weight"},
        {"rate = 12.5/s", "", "shop.ini:16: key 'rate' is missing"},
        {"rate = 12.5/s", "rate = 12.5", "write requests per second"},
        {"rate = 12.5/s", "rate = -1/s", "out of range"},
        {"rate = 12.5/s", "rate = nan/s", "write requests per second"},
        {"burst = 20", "burst = 0", "out of range"},
        {"burst = 20", "burst = 20\nburst = 20", "shop.ini:21: key 'burst'"},
        {"[region b]", "[regoin b]", "unknown section [regoin b]; known sections"},
        {"[region b]", "[region b c]", "wrong number of names"},
        {"[region b]", "[region B]", "is not a name"},
        {"[region b]", "[region b]\n[region b]", "was given in line 6"},
        {"[catalogue]", "[region z]", "[catalogue] is missing"},
        {"region = b", "region = c", "names region 'c', which does not exist"},
        {"[link a b]", "[link a c]", "names region 'c'"},
        {"[link a b]", "[link a a]", "joins a region to itself"},
        {"[link a b]\ncapacity = 280 Mbit/s\n", "", "'a' and 'b' have no link"},
        {"[link a b]", "[link b a]\ncapacity = 1 Mbit/s\n[link a b]", "both directions"},
        {"280 Mbit/s", "280", "the unit is missing"},
        {"280 Mbit/s", "280 MBit/s", "unknown unit 'MBit/s'"},
        {"280 Mbit/s", "99999999999999999999 Mbit/s", "too large"},
        {"group = pages", "group = page", "names upstream_group 'page'"},
        {"@ a-1", "@ a-2", "names data_centre 'a-2'"},
        {"@ a-1", "a-1", "not a server"},
        {"@ a-1", "@ a-1 drian", "not a server"},
        {"127.0.0.1:9001", "127.0.0.1:0", "not an address"},
        {"127.0.0.1:9001", "localhost:9001", "not an address"},
        {"127.0.0.1:9001", "127.0.0.1:9002", "counted twice"},
        {"entry_vms = 2", "entry_vms = 0", "no entry VM to own its slots"},
        {"owner = ops", "owner = ops\nrate_shares = 4", "have 3 entry VMs"},
        {"max_in_flight = 3", "max_in_flight = 4", "have 3 slots"},
        {"max_in_flight = 3", "max_in_flight = 0", "leave the key out"},
        {"slots = 3", "slots = 3\nmax_in_flight = 7", "have 6 slots"},
        {"slots = 3", "slots = 3\nconnections = 2", "raise 'connections'"},
        {"/shop/orders", "/shop", "give each route its own prefix"},
        {"/shop/orders", "/shop/", "not a path prefix"},
        {"/shop/orders", "/shop/../x", "never match"},
        {"/shop/orders", "/metrics", "answers this path itself"},
        {"access = open", "access = public", "write 'open' or 'keyed'"},
        {"access = open", "access = open\nunconfirmed = refuse", "always served"},
        {"deadline = 250 ms", "deadline = 0 ms", "1 ms to 1 h"},
        {"deadline = 250 ms", "deadline = 250ms x", "unknown unit"},
        {"deadline = 250 ms", "idempotent_methods = GET GET", "not a list of methods"},
        {hash_key(salt, "third"), hash_key(salt, "first"), "belongs to one account"},
        {hash_key(salt, "third"), "third", "never the key itself"},
        {salt, "0011", "not a salt"},
    };
    for (const bad_edit& edit : edits)
    {
        const std::string message =
            error_message(replace_in_base(edit.before, edit.after));
        BOOST_TEST(message.find(edit.expected) != std::string::npos,
                   edit.after << ": " << message);
        BOOST_TEST(message.starts_with("shop.ini:"), message);
    }
}

// Guards against showing or logging an API key that was written in place of its hash.
BOOST_AUTO_TEST_CASE(a_refusal_does_not_repeat_a_key)
{
    const std::string message =
        error_message(replace_in_base(hash_key(salt, "third"), "very-secret"));
    BOOST_TEST(message.find("key_hash in [client_account south]") != std::string::npos);
    BOOST_TEST(message.find("very-secret") == std::string::npos);
}

// Guards against a parser that stops at the first problem, so that an operator needs one
// run for each mistake.
BOOST_AUTO_TEST_CASE(all_problems_are_reported_in_the_order_of_the_lines)
{
    std::string text = replace_in_base("rate = 12.5/s", "rate = x");
    text.replace(text.find("name = shop"), 11, "name = S");
    const std::string message = error_message(text);
    const std::size_t first = message.find("shop.ini:2: name = 'S'");
    const std::size_t second = message.find("\nshop.ini:19: rate = 'x'");
    BOOST_TEST(first == 0U);
    BOOST_TEST(second != std::string::npos);
}

// Guards against lines that inih truncates, joins or drops without an error.
BOOST_AUTO_TEST_CASE(lines_that_the_ini_library_would_misread_are_refused)
{
    const std::vector<bad_edit> edits = {
        {"owner = ops", "owner = " + std::string(190, 'x'), "shop.ini:3: the line has"},
        {"owner = ops", "owner = " + std::string(100'000, 'x'), "the line has"},
        {"owner = ops", "owner = ops\n  rate_shares = 1", "shop.ini:4: the line is ind"},
        {"[region b]", "[region b] x", "malformed heading"},
        {"[region b]", "[region b", "malformed heading"},
        {"[region b]", "[region " + std::string(50, 'b') + "]", "the heading has 57"},
        {"owner = ops", "owner", "neither a heading nor"},
        {"owner = ops", "= ops", "neither a heading nor"},
        {"owner = ops", "owner = o\x01ps", "control character"},
        {"[catalogue]", "name = x\n[catalogue]", "key before the first section"},
    };
    for (const bad_edit& edit : edits)
    {
        const std::string message =
            error_message(replace_in_base(edit.before, edit.after));
        BOOST_TEST(message.find(edit.expected) != std::string::npos,
                   edit.after.substr(0, 40) << ": " << message);
    }
    const std::string comment = "; " + std::string(1000, 'x') + "\n# y\n\n \n";
    BOOST_TEST(error_message("\xEF\xBB\xBF" + comment + base_text()) == "accepted");
    BOOST_TEST(error_message(replace_in_base("owner = ops",
                                             "owner = ops ; the team\r")) == "accepted");
}

// Guards against a crash on malformed text: every truncation, with some random bytes.
BOOST_AUTO_TEST_CASE(damaged_text_never_crashes_the_parser)
{
    const std::string text = base_text();
    random_engine random(20261204);
    for (std::size_t size = 0; size < text.size(); ++size)
    {
        std::string damaged = text.substr(0, size);
        for (int flips = 0; flips < 3 && size > 0; ++flips)
            damaged[random() % size] = static_cast<char>(random());
        (void)parse_catalogue(damaged, "shop.ini");
    }
}

// Guards against a request that bypasses a keyed route because its path spells the prefix
// differently.
BOOST_AUTO_TEST_CASE(routes_match_whole_segments_of_plain_paths)
{
    const auto read = parse_catalogue(base_text(), "shop.ini").value();
    auto without_index = read;
    without_index = {};
    without_index.routes = read.routes;
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"/shop", "browse"},
        {"/shop/", "browse"},
        {"/shop/ordersx", "browse"},
        {"/shop/orders", "orders"},
        {"/shop/orders/", "orders"},
        {"/shop/orders/7?x=/../y", "orders"},
        {"/shopx", ""},
        {"/", ""},
        {"", ""},
        {"shop", ""},
        {"/shop//orders", ""},
        {"/shop/./orders", ""},
        {"/shop/x/../orders", ""},
        {"/shop/%6frders", ""},
        {"/shop%2forders", ""},
        {"/shop/%2e%2e/shop", ""},
        {"/shop/a%20b", "browse"},
        {"/shop/%", ""},
        {"/shop\\orders", ""},
        {"/shop/..", ""},
        {"/shop/" + std::string(8000, 'a') + "/orders", "browse"}};
    for (const auto& [path, name] : cases)
    {
        const route* found = read.find_route(path);
        BOOST_TEST((found == nullptr ? "" : found->name) == name, path);
        const route* searched = without_index.find_route(path);
        BOOST_TEST((searched == nullptr ? "" : searched->name) == name, path);
    }
}

// Guards against a revoked or unknown key that is still mapped to an account.
BOOST_AUTO_TEST_CASE(an_account_is_found_by_each_of_its_keys_only)
{
    auto read = parse_catalogue(base_text(), "shop.ini").value();
    BOOST_TEST(read.find_account("first")->name == "north");
    BOOST_TEST(read.find_account("second")->name == "north");
    BOOST_TEST(read.find_account("third")->name == "south");
    BOOST_TEST(read.find_account("fourth") == nullptr);
    BOOST_TEST(read.find_account("") == nullptr);
    BOOST_TEST(read.find_account(hash_key(salt, "first")) == nullptr);
    read.accounts.at("north").key_hashes.pop_back();
    BOOST_TEST(read.find_account("second") == nullptr);
    read.build_index();
    BOOST_TEST(read.find_account("second") == nullptr);
    BOOST_TEST(read.find_account("first")->name == "north");
}

// Guards against a reused HMAC context that keeps the salt or part of the key of an
// earlier call.
BOOST_AUTO_TEST_CASE(a_hash_does_not_depend_on_earlier_hashes)
{
    for (const std::string salt : {"a", "a", "b", "", "a", "ab"})
        for (const std::string key : {"", "x", "xy", "x"})
            BOOST_TEST(hash_key(salt, key) == hmac_hex(salt, key));
}

BOOST_AUTO_TEST_CASE(compare_names_each_changed_field)
{
    const auto before = parse_catalogue(base_text(), "a").value();
    BOOST_TEST(compare(before, before).empty());
    const auto after =
        parse_catalogue(
            replace_in_base("rate = 12.5/s", "rate = 8/s") +
                "[region c]\n"
                "[link a c]\ncapacity = 1 Mbit/s\n[link b c]\ncapacity = 1 Gbit/s\n",
            "b")
            .value();
    const std::vector<change> changes = compare(before, after);
    BOOST_REQUIRE(changes.size() == 6U);
    BOOST_TEST((changes[0] == change{"region c", "", "", "present"}));
    BOOST_TEST((changes[2] == change{"link a c", "capacity", "", "1 Mbit/s"}));
    BOOST_TEST((changes[5] == change{"client_account north", "rate", "12.5/s", "8/s"}));
}

BOOST_AUTO_TEST_CASE(a_drain_mark_changes_one_line_only)
{
    const auto marked = set_drain_mark(base_text(), "127.0.0.1:9001", true).value();
    BOOST_TEST(marked == replace_in_base("9001 @ a-1", "9001 @ a-1 drain"));
    BOOST_TEST(set_drain_mark(marked, "127.0.0.1:9001", false).value() == base_text());
    const std::string compact =
        replace_in_base("= 127.0.0.1:9001 @ a-1", "=127.0.0.1:9001 @  a-1 ; x");
    BOOST_TEST(set_drain_mark(compact, "127.0.0.1:9001", true).value() ==
               replace_in_base("9001 @ a-1", "9001 @ a-1 drain ; x"));
    BOOST_TEST(!set_drain_mark(base_text(), "127.0.0.1:9003", true).has_value());
}

// Guards against example catalogues that the parser refuses or whose test keys do not
// match.
BOOST_AUTO_TEST_CASE(the_examples_are_accepted_and_their_test_keys_work)
{
    for (const std::string name : {"kilat-loceng", "louche"})
    {
        const std::string directory =
            std::string(PISTACHIOSPAN_SOURCE_DIR) + "/examples/" + name + "/";
        const auto text = ini::read_file(directory + "catalogue.ini");
        BOOST_REQUIRE(text.has_value());
        BOOST_TEST(error_message(text.value()) == "accepted");
        const auto read = parse_catalogue(text.value(), name).value();
        BOOST_TEST(read.data_centres.size() == 6U);
        BOOST_TEST(read.accounts.size() == 8U);
        std::ifstream keys(directory + "test-keys.txt");
        std::string account;
        std::string key;
        std::size_t found = 0;
        while (keys >> account >> std::ws && std::getline(keys, key))
        {
            if (account == "#")
                continue;
            BOOST_REQUIRE(read.find_account(key) != nullptr);
            BOOST_TEST(read.find_account(key)->name == account);
            ++found;
        }
        BOOST_TEST(found == 10U);
    }
}
