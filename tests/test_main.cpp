#define BOOST_TEST_MODULE snipefall
#include <boost/test/unit_test.hpp>
