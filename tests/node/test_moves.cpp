#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <ostream>
#include <thread>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/placement.h"
#include "tests/node/load_thread.h"
#include "tests/node/test_site.h"

namespace snipefall {

constexpr int NODES = 3;
// Deadline that allows all steps of a move to a good version even on a busy machine, and is shorter than the one-minute limit of waitFor().
constexpr long GOOD_MOVE_MS = 50'000;

// A service configured to v1, with two backend servers for each of v1 and v2, and load_threads that send queries to the nodes.
class site_with_move
{
public:
    site_with_move()
    {
        site.addServer("a", "domain-1");
        site.addServer("b", "domain-2");
        for (const char *id : {"x", "y"}) {
            stand_in_backend_options options = test_site::defaultOptions();
            options.version = "v2";
            site.addServer(id, id[0] == 'x' ? "domain-1" : "domain-2", options);
        }
        site.startService(NODES);
    }

    void startMove(long deadlineMs)
    {
        const json body = {{"move_id", "move-1"}, {"to", "v2"}, {"deadline_in_ms", deadlineMs}, {"observation_ms", 60'000}, {"reason", "test"}};
        const test_site::answer started = site.call(site.addresses("node-1").operators, "POST", "/v1/moves/svc", body);
        BOOST_TEST_REQUIRE(started.status == 200, started.body.dump());
        for (const std::string &node : site.nodeNames()) {
            BOOST_TEST_REQUIRE(test_site::waitFor([&] { return !move(node).is_null(); }));
        }
    }

    void startLoad(const std::vector<std::string> &nodes)
    {
        for (const std::string &node : nodes) {
            load.push_back(std::make_unique<load_thread>(site, node));
        }
    }

    void stopLoad()
    {
        for (const auto &caller : load) {
            caller->stop();
            BOOST_TEST(caller->mislabeledAnswers == 0);
        }
    }

    /** Returns the move as the node reports it, or null. */
    json move(const std::string &node) const
    {
        const test_site::answer described = site.call(site.addresses(node).operators, "GET", "/v1/moves/svc", nullptr);
        return described.status == 200 ? described.body : json();
    }

    std::string moveField(const std::string &node, const char *field) const { return jsonValue<std::string>(move(node), field, ""); }

    bool allReport(const std::vector<std::string> &nodes, const char *field, const std::string &value) const
    {
        return test_site::waitFor(
            [&] { return std::all_of(nodes.begin(), nodes.end(), [&](const std::string &node) { return moveField(node, field) == value; }); });
    }

    void expectDone(const std::vector<std::string> &nodes) const
    {
        const bool done = allReport(nodes, "state", "done");
        // Waits before BOOST_TEST, which may evaluate its message before its condition.
        BOOST_TEST(done, move(nodes.front()).dump());
    }

    int requests(const char *first, const char *second)
    {
        const auto of = [this](const char *id) { return site.server(id).state()["requests"].value("/shards/query", 0); };
        return of(first) + of(second);
    }

    /** Whether each load_thread receives further answers. */
    bool loadContinues() const
    {
        return std::all_of(load.begin(), load.end(), [](const auto &caller) { return caller->waitForAnswers(); });
    }

    test_site site;
    std::vector<std::unique_ptr<load_thread>> load;
};

struct bad_version_row
{
    const char *name;
    const char *fault; ///< Value of the control "bad" of the new version's backend servers.
    bool platformDown;
};

std::ostream &operator<<(std::ostream &out, const bad_version_row &row)
{
    return out << row.name;
}

const bad_version_row BAD_VERSION_ROWS[] = {
    {"errors", R"({"mode":"now","error_rate":0.5})", false},
    {"errors while the platform is down", R"({"mode":"now","error_rate":0.5})", true},
    {"errors after 5 s", R"({"mode":"after_ms","after_ms":5000,"error_rate":0.5})", false},
    {"slow", R"({"mode":"now","extra_ms":80})", false},
};

} // namespace snipefall

using namespace snipefall;

BOOST_AUTO_TEST_SUITE(move_tests)

// Guards against a good version that is rolled back because its servers start cold, and against nodes that still send to the old version after the move.
BOOST_AUTO_TEST_CASE(coldStartDoesNotRollBackMove)
{
    site_with_move moving;
    for (const char *id : {"x", "y"}) {
        moving.site.server(id).control({{"cold", {{"ramp_ms", 3000}}}});
    }
    moving.startLoad(moving.site.nodeNames());
    moving.startMove(GOOD_MOVE_MS);
    moving.expectDone(moving.site.nodeNames());
    // Queries to the old version that were sent before the last node learned of the end of the move may still run.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const int before = moving.requests("a", "b");
    BOOST_TEST(moving.loadContinues());
    BOOST_TEST(moving.requests("a", "b") == before);
    for (const std::string &node : moving.site.nodeNames()) {
        const test_site::answer answer = moving.site.query(node);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(jsonValue<std::string>(answer.body, "version", "") == "v2");
    }
    moving.stopLoad();
}

// Guards against requests to a bad version after a node detected its fault, also when the platform is down and only the nodes can notify each other.
BOOST_DATA_TEST_CASE(badVersionReceivesNoRequestsAfterDetection, BAD_VERSION_ROWS, row)
{
    site_with_move moving;
    const std::vector<std::string> nodes = moving.site.nodeNames();
    moving.startLoad(nodes);
    moving.startMove(120'000);
    if (row.platformDown) {
        moving.site.platform().control({{"down", true}});
    }
    for (const char *id : {"x", "y"}) {
        moving.site.server(id).control({{"bad", json::parse(row.fault)}});
    }
    BOOST_TEST(test_site::waitFor(
        [&] { return std::any_of(nodes.begin(), nodes.end(), [&](const std::string &node) { return !moving.moveField(node, "stopped_here").empty(); }); }));
    // All nodes must stop sending to the bad version within 2 s of the detection.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const int before = moving.requests("x", "y");
    BOOST_TEST(moving.loadContinues());
    BOOST_TEST(moving.requests("x", "y") == before);
    for (const std::string &node : nodes) {
        BOOST_TEST(!moving.moveField(node, "stopped_here").empty());
    }
    if (row.platformDown) {
        BOOST_TEST(moving.moveField("node-1", "state") != "rolled_back");
        moving.site.platform().control({{"down", false}});
    }
    BOOST_TEST(moving.allReport(nodes, "state", "rolled_back"));
    moving.stopLoad();
    BOOST_TEST(moving.requests("x", "y") == before);
}

// Guards against a node that reports an outcome while an outage of the platform hides it, and against nodes that disagree on it after the outage.
BOOST_AUTO_TEST_CASE(moveDeadlineDuringPlatformOutage)
{
    site_with_move moving;
    const std::vector<std::string> nodes = moving.site.nodeNames();
    // Without load the move stays in its first step, so that only the deadline can end it.
    moving.startMove(15'000);
    moving.site.platform().control({{"down", true}});
    BOOST_TEST(moving.allReport(nodes, "outcome", "not_yet_known"));
    for (const std::string &node : nodes) {
        for (int i = 0; i < 20; ++i) {
            const test_site::answer answer = moving.site.query(node);
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(jsonValue<std::string>(answer.body, "version", "") == "v1");
        }
        BOOST_TEST(moving.moveField(node, "outcome") == "not_yet_known");
    }
    moving.site.platform().control({{"down", false}});
    BOOST_TEST(moving.allReport(nodes, "outcome", "rolled_back"));
    BOOST_TEST(moving.allReport(nodes, "state", "rolled_back"));
}

// Guards against a move that makes no progress after the node that advanced it was killed.
BOOST_AUTO_TEST_CASE(moveContinuesAfterDriverIsKilled)
{
    site_with_move moving;
    std::vector<placement_member> members;
    for (int i = 1; i <= NODES; ++i) {
        placement_member member;
        member.id = node_id("node-" + std::to_string(i));
        member.domain = failure_domain_id("domain-" + std::to_string(i));
        members.push_back(member);
    }
    const std::string driver = placeService(service_id("svc"), members, NODES).front().id.str();
    std::vector<std::string> others;
    for (const std::string &node : moving.site.nodeNames()) {
        if (node != driver) {
            others.push_back(node);
        }
    }
    moving.startLoad(others);
    moving.startMove(GOOD_MOVE_MS);
    BOOST_TEST(moving.allReport(others, "state", "growing"));
    moving.site.process(driver).signal(SIGKILL);
    moving.expectDone(others);
    moving.stopLoad();
}

BOOST_AUTO_TEST_SUITE_END()
