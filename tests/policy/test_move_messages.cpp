#include <boost/test/unit_test.hpp>

#include "policy/move_messages.h"

using namespace snipefall;

BOOST_AUTO_TEST_SUITE(move_messages_tests)

// Guards against fields lost in encoding. Without excessDispersion, which discounts evidence, the deciding node could report a healthy version as faulty.
BOOST_AUTO_TEST_CASE(observationsSurviveEncoding)
{
    move_observations sent;
    sent.moveId = "move-1";
    sent.sharePercent = 25;
    route_counts &counts = sent.step["/r"];
    counts.oldVersion.answers = 90;
    counts.oldVersion.errors = 3;
    counts.newVersion.answers = 30;
    counts.newVersion.latency.add(std::chrono::milliseconds(20));
    counts.newVersion.latency.add(std::chrono::milliseconds(25));
    counts.excessDispersion = 2.5;
    sent.recent[ALL_ROUTES] = counts;
    const outcome<move_observations> received = decodeObservations(encodeObservations(sent));
    BOOST_REQUIRE(received.hasValue());
    BOOST_TEST(received->moveId == sent.moveId);
    BOOST_TEST(received->sharePercent == sent.sharePercent);
    BOOST_TEST((received->step == sent.step));
    BOOST_TEST((received->recent == sent.recent));
}

BOOST_AUTO_TEST_SUITE_END()
