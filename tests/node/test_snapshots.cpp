#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/node/test_site.h"

using namespace snipefall;

namespace {

// Below the 5% of sub-requests that the retry budget allows; above it, queries would wait for retry tokens until their deadline.
constexpr double CROSSED_ANSWER_RATE = 0.03;

// Each snapshot has a different number of shards, so that totals of the wrong snapshot are detected.
const std::map<std::string, unsigned> SHARD_COUNTS{{"s1", 12}, {"s2", 7}, {"s3", 11}, {"s4", 5}};

// Sends queries in a thread and checks the snapshot, the coverage and the totals of each answer.
class checking_caller
{
public:
    checking_caller(test_site &site, std::string node)
        : m_thread([this, &site, node = std::move(node)] {
            while (!m_stop) {
                const test_site::answer answer = site.query(node);
                if (answer.status != 200) {
                    ++refused;
                    continue;
                }
                const auto shards = SHARD_COUNTS.find(answer.body["snapshot"].get<std::string>());
                const bool totalsTrue = shards != SHARD_COUNTS.end() && answer.body["coverage"]["shards_total"] == shards->second;
                mislabelled += totalsTrue && test_site::labelMatchesResults(answer.body) ? 0 : 1;
                ++answered;
            }
        })
    {
    }

    ~checking_caller() { stop(); }

    void stop()
    {
        m_stop = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    bool waitForAnswers() const
    {
        const int before = answered;
        return test_site::waitFor([&] { return answered > before + 20; });
    }

    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> mislabelled{0};

private:
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

json addSnapshot(const std::string &snapshot)
{
    return {{"add_snapshot", {{"id", snapshot}, {"shards", SHARD_COUNTS.at(snapshot)}}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(snapshot_tests)

// Guards against answers that mix two snapshots or report the totals of another one, while servers change snapshots at different times, return responses with
// the id of another sub-request, and a replica fails.
BOOST_AUTO_TEST_CASE(snapshotsChangeDuringQueries)
{
    test_site site;
    for (const char *id : {"a", "b", "c"}) {
        site.addServer(id, std::string("domain-") + id);
    }
    site.startService(2);
    checking_caller first(site, "node-1");
    checking_caller second(site, "node-2");
    BOOST_TEST(first.waitForAnswers());

    // One server drops the pinned snapshot without having a newer one.
    site.server("a").control({{"drop_snapshot", "s1"}});
    BOOST_TEST(first.waitForAnswers());
    site.server("a").control(addSnapshot("s2"));
    BOOST_TEST(second.waitForAnswers());
    // Two faults together: responses with the id of another sub-request from servers that still change snapshots, and a failed replica.
    for (const char *id : {"a", "b"}) {
        site.server(id).control({{"crossed_answers", CROSSED_ANSWER_RATE}});
    }
    site.server("c").stop();
    site.server("b").control(addSnapshot("s2"));
    site.server("b").control({{"drop_snapshot", "s1"}});
    BOOST_TEST(first.waitForAnswers());
    std::string old = "s2";
    for (const std::string next : {"s3", "s4"}) {
        // The first server changes its snapshot at once, the second one only after further queries were answered.
        for (const char *id : {"a", "b"}) {
            site.server(id).control(addSnapshot(next));
            site.server(id).control({{"drop_snapshot", old}});
            BOOST_TEST(first.waitForAnswers());
            BOOST_TEST(second.waitForAnswers());
        }
        old = next;
    }
    for (const char *id : {"a", "b"}) {
        site.server(id).control({{"crossed_answers", 0.0}});
    }
    for (const std::string &node : site.nodeNames()) {
        BOOST_TEST(test_site::waitFor([&] {
            const test_site::answer answer = site.query(node);
            return answer.status == 200 && answer.body["snapshot"] == "s4" && answer.body["coverage"]["missing"].empty();
        }));
    }
    first.stop();
    second.stop();
    BOOST_TEST_MESSAGE("answered " << first.answered + second.answered << ", refused " << first.refused + second.refused);
    BOOST_TEST(first.mislabelled + second.mislabelled == 0);
}

// Guards against an answer that doesn't report shards which no running server holds as missing.
BOOST_AUTO_TEST_CASE(unavailableShardsAreReportedMissing)
{
    test_site site;
    stand_in_backend_options half = test_site::defaultOptions();
    half.held = {0, 1, 2, 3, 4, 5};
    site.addServer("a", "domain-1", half);
    half.held = {6, 7, 8, 9, 10, 11};
    site.addServer("b", "domain-2", half);
    site.startService(2);
    BOOST_TEST(test_site::waitFor([&] { return site.query("node-1").body["coverage"]["missing"].empty(); }));
    site.server("b").stop();
    for (const std::string &node : site.nodeNames()) {
        const test_site::answer answer = site.query(node);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(test_site::labelMatchesResults(answer.body));
        BOOST_TEST(answer.body["coverage"]["shards_answered"] == 6);
        BOOST_TEST(answer.body["coverage"]["missing"].size() == 6U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
