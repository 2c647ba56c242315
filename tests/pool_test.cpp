#define BOOST_TEST_MODULE pool
#include <boost/test/unit_test.hpp>
BOOST_AUTO_TEST_CASE(placeholder) { BOOST_TEST(true); }
