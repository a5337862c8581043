#include <boost/test/unit_test.hpp>

#include "policy/elapsed_estimate.h"
#include "policy/entry_choice.h"

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

BOOST_AUTO_TEST_SUITE(entry_choice_tests)

// Guards against answers that are too large, and against leaving out the nodes near the caller.
BOOST_AUTO_TEST_CASE(nearNodesComeFirst)
{
    std::vector<entry_candidate> candidates;
    for (int i = 0; i < 100; ++i) {
        candidates.push_back({"10.0.0.1:" + std::to_string(i), failure_domain_id(i >= 90 ? "near" : "far")});
    }
    const std::vector<std::string> chosen = chooseEntries(candidates, failure_domain_id("near"));
    BOOST_TEST(chosen.size() == MAX_ENTRIES);
    BOOST_TEST(chosen.front() == "10.0.0.1:90");
}

BOOST_AUTO_TEST_SUITE_END()
