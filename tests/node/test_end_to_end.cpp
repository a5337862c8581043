#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/node/load_thread.h"
#include "tests/node/test_site.h"

using namespace snipefall;

namespace {

struct bad_request
{
    const char *name;
    const char *method;
    const char *target;
    json body;
    const char *requestId;
    int status;
};

std::ostream &operator<<(std::ostream &out, const bad_request &row)
{
    return out << row.name;
}

constexpr const char *QUERY = "/v1/services/svc/query";
constexpr const char *EXECUTE = "/v1/services/svc/execute";

const bad_request BAD_REQUESTS[] = {
    {"unknown route", "GET", "/v2/nothing", nullptr, "", 404},
    {"unknown service", "POST", "/v1/services/none/query", {{"query", 1}}, "", 404},
    {"entries of an unknown service", "GET", "/v1/entries?service=none", nullptr, "", 404},
    {"wrong method", "GET", QUERY, nullptr, "", 405},
    {"not an object", "POST", QUERY, 7, "", 400},
    {"no query", "POST", QUERY, {{"text", 1}}, "", 400},
    {"deadline of the wrong type", "POST", QUERY, {{"query", 1}, {"deadline_ms", "soon"}}, "", 400},
    {"deadline out of range", "POST", QUERY, {{"query", 1}, {"deadline_ms", 60001}}, "", 400},
    {"body of two megabytes", "POST", QUERY, {{"query", std::string(2 << 20, 'x')}}, "", 413},
    {"order without a body", "POST", EXECUTE, {{"order", 1}}, "", 400},
    {"order with an id that is no UUIDv7", "POST", EXECUTE, {{"body", 1}}, "order-1", 400},
    {"order with an id of 2020", "POST", EXECUTE, {{"body", 1}}, "01700000-0000-7000-8000-000000000000", 400},
};

} // namespace

BOOST_AUTO_TEST_SUITE(end_to_end_tests)

// Guards against invalid input that crashes a node, or that a node refuses without reporting it as "not run".
BOOST_AUTO_TEST_CASE(badInputIsRefused)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.startService(1);
    for (const bad_request &row : BAD_REQUESTS) {
        BOOST_TEST_CONTEXT(row)
        {
            const test_site::answer answer = site.call(site.addresses("node-1").callers, row.method, row.target, row.body, row.requestId);
            BOOST_TEST(answer.status == row.status);
            BOOST_TEST(answer.ran() == "not_run");
        }
    }
    BOOST_TEST(site.query("node-1").status == 200);
    BOOST_TEST(site.process("node-1").running());
}

// Guards against an order that runs more than once when it is sent through several nodes, also concurrently.
BOOST_AUTO_TEST_CASE(orderRunsOnceThroughAllNodes)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    site.startService(3);
    const std::string id = test_site::newRequestId();
    std::atomic<int> firstRuns{0};
    std::vector<std::thread> threads;
    for (const std::string &node : site.nodeNames()) {
        threads.emplace_back([&, node] {
            const test_site::answer answer = site.execute(node, id);
            firstRuns += answer.status == 200 && !answer.repeated() ? 1 : 0;
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(firstRuns == 1);
    BOOST_TEST(site.runsOf(id) == 1U);
    const test_site::answer repeated = site.execute("node-2", id);
    BOOST_TEST_INFO(repeated.body.dump());
    BOOST_TEST(repeated.status == 200);
    BOOST_TEST(repeated.repeated());
    BOOST_TEST(site.runsOf(id) == 1U);
}

// Guards against an order that runs twice because the backend server's response was lost: its state is "unknown", and a repeated request doesn't run it.
BOOST_AUTO_TEST_CASE(lostAnswerOfAnOrderIsUnknown)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.startService(2);
    site.server("a").control({{"lose_execute_answers", 1}});
    const std::string id = test_site::newRequestId();
    const test_site::answer first = site.execute("node-1", id);
    BOOST_TEST(first.status == 503);
    BOOST_TEST(first.ran() == "unknown");
    const test_site::answer second = site.execute("node-2", id);
    BOOST_TEST(second.ran() == "unknown");
    BOOST_TEST(site.runsOf(id) == 1U);
}

// Guards against a planned shutdown that interrupts requests, and against the loss of the stopped node's permits.
BOOST_AUTO_TEST_CASE(plannedShutdownInterruptsNoRequest)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    site.startService(3);
    load_thread load(site, "node-1");
    BOOST_TEST(load.waitForAnswers());
    // Callers cache the list of entries for entry_ttl_ms; this caller reads it again after the node was removed from it.
    site.process("node-1").signal(SIGTERM);
    BOOST_TEST(test_site::waitFor([&] {
        const json entries = site.call(site.addresses("node-2").callers, "GET", "/v1/entries?service=svc", nullptr).body["entries"];
        return std::find(entries.begin(), entries.end(), site.addresses("node-1").callers) == entries.end();
    }));
    load.stop();
    BOOST_TEST(site.process("node-1").wait() == 0);
    BOOST_TEST(load.missingResponses == 0);
    BOOST_TEST(load.mislabeledAnswers == 0);
    BOOST_TEST(test_site::waitFor([&] { return site.permitsOf("node-2") + site.permitsOf("node-3") == 2; }));
}

// Guards against unavailability after a holder of permits is killed or paused, and against more load than the slots allow meanwhile.
BOOST_DATA_TEST_CASE(unavailablePermitHolderIsReplaced, boost::unit_test::data::make({SIGKILL, SIGSTOP}))
{
    test_site site;
    // The stand-ins accept more requests than the two slots in the configuration, so that they measure the load instead of limiting it.
    stand_in_backend_options options = test_site::defaultOptions();
    options.slots = 16;
    site.addServer("a", "domain-1", options);
    site.addServer("b", "domain-2", options);
    site.startService(3);
    std::string holder;
    BOOST_TEST(test_site::waitFor([&] {
        for (const std::string &node : site.nodeNames()) {
            holder = site.permitsOf(node) > 0 ? node : holder;
        }
        return !holder.empty();
    }));
    std::vector<std::string> others;
    for (const std::string &node : site.nodeNames()) {
        if (node != holder) {
            others.push_back(node);
        }
    }
    load_thread load(site, others[0]);
    site.process(holder).signal(sample);
    BOOST_TEST(test_site::waitFor([&] { return site.permitsOf(others[0]) + site.permitsOf(others[1]) == 2; }));
    site.process(holder).signal(SIGCONT);
    BOOST_TEST(load.waitForAnswers());
    load.stop();
    BOOST_TEST(load.mislabeledAnswers == 0);
    for (const char *server : {"a", "b"}) {
        BOOST_TEST(site.server(server).state()["max_running"].get<int>() <= 2);
    }
}

// Guards against a node that stops serving queries, or that runs orders without a claim, while the platform is down, and against a node that starts
// with an outdated configuration meanwhile.
BOOST_AUTO_TEST_CASE(servesDuringPlatformOutage)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    site.startService(2);
    BOOST_TEST(test_site::waitFor([&] { return site.permitsOf("node-1") == 1 && site.permitsOf("node-2") == 1; }));
    const std::uint64_t version = site.configVersion("node-1");
    site.platform().control({{"down", true}});
    // Longer than the lease of a permit share, so that the nodes can keep their shares only through the promises of their successors.
    std::this_thread::sleep_for(std::chrono::seconds(7));
    for (const std::string &node : site.nodeNames()) {
        const test_site::answer answer = site.query(node);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST((answer.status == 200 && answer.body["coverage"]["missing"].empty()));
        const std::string id = test_site::newRequestId();
        const test_site::answer order = site.execute(node, id);
        BOOST_TEST(order.ran() == "not_run");
        BOOST_TEST(site.runsOf(id) == 0U);
        BOOST_TEST(site.patch(node, {{"entry_ttl_ms", 400}}).status == 503);
    }
    site.startNode("node-3", "domain-3");
    BOOST_TEST(test_site::waitFor([&] { return site.configVersion("node-3") == version; }));
    BOOST_TEST(test_site::waitFor([&] { return site.query("node-3").status == 200; }));
    site.platform().control({{"down", false}});
    BOOST_TEST(test_site::waitFor([&] { return site.patch("node-3", {{"entry_ttl_ms", 400}}).status == 200; }));
    for (const std::string &node : site.nodeNames()) {
        BOOST_TEST(test_site::waitFor([&] { return site.configVersion(node) == version + 1; }));
    }
}

// Guards against two concurrent configuration patches that are both reported as applied to the same version.
BOOST_AUTO_TEST_CASE(concurrentPatchesAreDetected)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.startService(3);
    for (int round = 0; round < 5; ++round) {
        const std::uint64_t base = site.configVersion("node-1");
        for (const std::string &node : site.nodeNames()) {
            BOOST_TEST(test_site::waitFor([&] { return site.configVersion(node) == base; }));
        }
        std::atomic<int> applied{0};
        std::atomic<int> refused{0};
        std::vector<std::thread> threads;
        for (const std::string &node : site.nodeNames()) {
            threads.emplace_back([&, node, ttl = 300 + round] {
                const int status = site.patch(node, {{"entry_ttl_ms", ttl}}).status;
                applied += status == 200 ? 1 : 0;
                refused += status == 409 ? 1 : 0;
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        // A patch that is submitted after another one was applied is based on the newer version and applies, too.
        BOOST_TEST(applied >= 1);
        BOOST_TEST(applied + refused == 3);
        BOOST_TEST(test_site::waitFor([&] { return site.configVersion("node-1") == base + static_cast<std::uint64_t>(applied); }));
    }
}

// Guards against new requests to a failure domain that operators took out of use, or to a server that reports itself as draining while the VM list still
// shows it as live.
BOOST_DATA_TEST_CASE(leavingServersReceiveNoRequests, boost::unit_test::data::make({"domain out", "server drains"}))
{
    const bool domainExcluded = std::string(sample) == "domain out";
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    site.startService(3);
    load_thread load(site, "node-1");
    load_thread secondLoad(site, "node-2");
    BOOST_TEST(test_site::waitFor([&] { return load.answered >= 10 && secondLoad.answered >= 10; }));
    if (domainExcluded) {
        BOOST_TEST(site.patch("node-3", {{"domains_out", {{"domain-1", true}}}}).status == 200);
    } else {
        site.server("a").control({{"drain", true}});
    }
    // Nodes must stop sending requests within 3 s.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const auto requests = [&] { return site.server("a").state()["requests"].value("/shards/query", 0); };
    const int before = requests();
    BOOST_TEST(load.waitForAnswers());
    BOOST_TEST(requests() == before);
    load.stop();
    secondLoad.stop();
    BOOST_TEST(load.mislabeledAnswers + secondLoad.mislabeledAnswers == 0);
    BOOST_TEST(load.missingResponses + secondLoad.missingResponses == 0);
}

// Guards against a request that crashes all backend servers one after the other, including the last replica.
BOOST_AUTO_TEST_CASE(crashingRequestIsQuarantined)
{
    test_site site;
    const std::vector<std::string> servers{"a", "b", "c"};
    for (const std::string &id : servers) {
        site.addServerProcess(id, "domain-" + id);
        site.call(site.serverAddress(id), "PUT", "/control", {{"crash_on", "poison"}});
    }
    site.startService(2);
    for (int attempt = 0; attempt < 6; ++attempt) {
        for (const std::string &node : site.nodeNames()) {
            BOOST_TEST(site.query(node, "poison").status != 200);
        }
    }
    for (const std::string &node : site.nodeNames()) {
        BOOST_TEST(test_site::waitFor([&] { return site.query(node, "poison").status == 422; }));
        BOOST_TEST(site.query(node, "harmless").status == 200);
    }
    const auto runningServers = std::count_if(servers.begin(), servers.end(), [&](const std::string &id) { return site.serverProcess(id).running(); });
    // Two crashes are needed to distinguish the request from others that ran at the same time.
    BOOST_TEST(runningServers >= 1);
}

BOOST_AUTO_TEST_SUITE_END()
