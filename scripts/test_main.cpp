// Entry point of each test program; Boost.Test provides main.
#define BOOST_TEST_MODULE pistachiospan
#include <boost/test/unit_test.hpp>
