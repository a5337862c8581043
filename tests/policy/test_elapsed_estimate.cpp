#include <boost/test/unit_test.hpp>

#include "policy/elapsed_estimate.h"

using namespace snipefall;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(elapsed_estimate_tests)

// Guards against a repeated attempt being given the whole target latency again.
BOOST_AUTO_TEST_CASE(repeatedAttemptsHaveWaited)
{
    elapsed_estimate estimate;
    BOOST_TEST(estimate.note("r", milliseconds(800), milliseconds(50)).count() == 0);
    BOOST_TEST((estimate.note("r", milliseconds(770), milliseconds(50)) == milliseconds(30)));
    BOOST_TEST((estimate.note("other", milliseconds(770), milliseconds(50)) == milliseconds(0)));
}

// Guards against callers with a shorter deadline being answered early with less than the whole.
BOOST_AUTO_TEST_CASE(otherDeadlinesAreNoWait)
{
    elapsed_estimate estimate;
    estimate.note("r", milliseconds(800), milliseconds(50));
    BOOST_TEST(estimate.note("r", milliseconds(400), milliseconds(50)).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
