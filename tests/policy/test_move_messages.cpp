#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/move_count_ledger.h"
#include "policy/move_messages.h"
#include "tests/policy/move_samples.h"

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

// Guards against reports that exceed a datagram because the latencies are widely spread.
BOOST_DATA_TEST_CASE(countReportsFitTheirLimit, boost::unit_test::data::make({1, 5, 60}), spread)
{
    move_count_report report{service_id("shard-1"), "shard-1/v2/101", "r-menu (new connections)", {sampleCounts(5000, 10), sampleCounts(40, 3), 0.125}};
    for (int i = 0; i < spread; ++i) {
        report.counts.oldVersion.latency.add(duration(300 << (i / 4)));
        report.counts.newVersion.latency.add(duration(300 << (i / 4)));
    }
    constexpr std::size_t MAX_BYTES = 700;
    move_count_ledger ledger;
    for (const std::string &message : encodeCountReport(report, MAX_BYTES)) {
        BOOST_TEST(message.size() <= MAX_BYTES);
        const outcome<move_count_report> received = decodeCountReport(message);
        BOOST_REQUIRE(received.hasValue());
        BOOST_TEST((received->service == report.service));
        BOOST_TEST(received->moveId == report.moveId);
        ledger.apply(node_id("n"), received->route, received->counts);
    }
    BOOST_TEST((ledger.total() == counts_by_route{{report.route, report.counts}}));
}

// Guards against reports that are taken although they are malformed.
BOOST_DATA_TEST_CASE(malformedCountReportsAreRefused, boost::unit_test::data::make({"", "[]", "1", "{\"old\":1}", "{\"new\":{\"latency\":[]}}"}), text)
{
    BOOST_TEST(!decodeCountReport(text).hasValue());
}

// Guards against losing the answers that a node counted before it restarted.
BOOST_AUTO_TEST_CASE(countsOfRestartedNodesAreKept)
{
    move_count_ledger ledger;
    ledger.apply(node_id("n"), "r", {sampleCounts(100, 1), sampleCounts(10, 4), 0});
    ledger.apply(node_id("n"), "r", {sampleCounts(5, 0), sampleCounts(1, 1), 0});
    ledger.apply(node_id("n"), "r", {sampleCounts(20, 0), sampleCounts(2, 1), 0});
    ledger.apply(node_id("m"), "r", {sampleCounts(7, 0), sampleCounts(1, 0), 0});
    const route_counts total = ledger.total()["r"];
    BOOST_TEST(total.oldVersion.answers == 127U);
    BOOST_TEST(total.newVersion.answers == 13U);
    BOOST_TEST(total.newVersion.errors == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
