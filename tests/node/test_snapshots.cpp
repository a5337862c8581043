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

// Below the 5% of sub-requests that retries may add; with more, queries wait for tokens until their deadline.
constexpr double CROSSED_ANSWERS = 0.03;

// Each snapshot has another number of shards, so that totals of the wrong snapshot show.
const std::map<std::string, unsigned> SHARDS_OF{{"s1", 12}, {"s2", 7}, {"s3", 11}, {"s4", 5}};

// A caller that checks the snapshot, the label and the totals of each answer.
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
                const auto shards = SHARDS_OF.find(answer.body["snapshot"].get<std::string>());
                const bool totalsTrue = shards != SHARDS_OF.end() && answer.body["coverage"]["shards_total"] == shards->second;
                mislabelled += totalsTrue && test_site::labelIsTrue(answer.body) ? 0 : 1;
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

    bool goesOn() const
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

json addition(const std::string &snapshot)
{
    return {{"add_snapshot", {{"id", snapshot}, {"shards", SHARDS_OF.at(snapshot)}}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(snapshot_tests)

// Guards against answers that mix two snapshots or state totals of another one, while servers change snapshots at different times, sub-answers come
// crossed, and a replica is lost.
BOOST_AUTO_TEST_CASE(snapshotsChangeUnderRunningQueries)
{
    test_site site;
    for (const char *id : {"a", "b", "c"}) {
        site.addServer(id, std::string("domain-") + id);
    }
    site.startService(2);
    checking_caller first(site, "node-1");
    checking_caller second(site, "node-2");
    BOOST_TEST(first.goesOn());

    // One server drops the pinned snapshot without having a newer one.
    site.server("a").control({{"drop_snapshot", "s1"}});
    BOOST_TEST(first.goesOn());
    site.server("a").control(addition("s2"));
    BOOST_TEST(second.goesOn());
    // Two faults together: crossed answers from the servers that still change snapshots, and a lost replica.
    for (const char *id : {"a", "b"}) {
        site.server(id).control({{"crossed_answers", CROSSED_ANSWERS}});
    }
    site.server("c").stop();
    site.server("b").control(addition("s2"));
    site.server("b").control({{"drop_snapshot", "s1"}});
    BOOST_TEST(first.goesOn());
    std::string old = "s2";
    for (const std::string next : {"s3", "s4"}) {
        // The first server changes at once, the second one only after further answers.
        for (const char *id : {"a", "b"}) {
            site.server(id).control(addition(next));
            site.server(id).control({{"drop_snapshot", old}});
            BOOST_TEST(first.goesOn());
            BOOST_TEST(second.goesOn());
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

// Guards against an answer that hides shards which no living server holds.
BOOST_AUTO_TEST_CASE(lostShardsAreNamed)
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
        BOOST_TEST(test_site::labelIsTrue(answer.body));
        BOOST_TEST(answer.body["coverage"]["shards_answered"] == 6);
        BOOST_TEST(answer.body["coverage"]["missing"].size() == 6U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
