#include "pistachiospan/base/base.hpp"

#include <boost/test/unit_test.hpp>

using namespace pistachiospan;

// Guards against a change of the algorithm, after which stored key hashes would no longer
// match.
BOOST_AUTO_TEST_CASE(hmac_matches_the_published_test_vector)
{
    // RFC 4231, test case 2.
    BOOST_TEST(hmac_hex("Jefe", "what do ya want for nothing?") ==
               "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

// Guards against a hash that differs between builds: processes derive shard numbers from
// it and must agree on them.
BOOST_AUTO_TEST_CASE(hash_is_stable)
{
    BOOST_TEST(hash_bytes("") == 0x2d06800538d394c2ULL);
    BOOST_TEST(hash_bytes("a", 1) != hash_bytes("a", 2));
}

// Guards against comparing only a common prefix.
BOOST_AUTO_TEST_CASE(constant_time_comparison_checks_the_length)
{
    BOOST_TEST(equal_constant_time("abc", "abc"));
    BOOST_TEST(!equal_constant_time("abc", "abcd"));
    BOOST_TEST(!equal_constant_time("abc", "abd"));
}

BOOST_AUTO_TEST_CASE(a_failure_carries_code_and_remedy)
{
    const result<int> outcome = failure(errc::conflict, "row changed; read it again");
    BOOST_TEST(!outcome.has_value());
    BOOST_TEST((outcome.error().code == errc::conflict));
    BOOST_TEST(outcome.error().message == "row changed; read it again");
}
