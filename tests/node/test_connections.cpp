#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/node/load_thread.h"
#include "tests/node/test_site.h"

using namespace snipefall;

namespace {

// A cold server may shed at most 1 in this many requests.
constexpr int MIN_REQUESTS_PER_SHED = 20;

int requestCount(test_site &site, const std::string &server, const char *what)
{
    return site.server(server).state()["requests"].value(what, 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(connection_tests)

// Guards against queries that wait for responses on dead connections, and against a server that is no longer used although new connections to it work.
BOOST_DATA_TEST_CASE(deadConnectionsAreReplaced, boost::unit_test::data::make({false, true}), allServers)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    site.startService(2);
    load_thread first(site, "node-1");
    load_thread second(site, "node-2");
    BOOST_TEST(first.waitForAnswers());
    site.server("a").control({{"silent", true}});
    if (allServers) {
        site.server("b").control({{"silent", true}});
    }
    BOOST_TEST(first.waitForAnswers());
    BOOST_TEST(second.waitForAnswers());
    // The server counts unanswered requests separately, so this counter grows only when it responds on new connections.
    const int before = requestCount(site, "a", "/shards/query");
    BOOST_TEST(test_site::waitFor([&] { return requestCount(site, "a", "/shards/query") > before + 100; }));
    first.stop();
    second.stop();
    BOOST_TEST(first.mislabeledAnswers + second.mislabeledAnswers == 0);
    BOOST_TEST(first.missingResponses + second.missingResponses == 0);
    // Later queries use no dead connection.
    for (const std::string &node : site.nodeNames()) {
        BOOST_TEST(test_site::waitFor([&] {
            const test_site::answer answer = site.query(node);
            return answer.status == 200 && answer.body["coverage"]["missing"].empty();
        }));
    }
}

// Guards against queries that wait for a server which accepts requests but never responds, and against a server that is not used again after it recovers.
BOOST_AUTO_TEST_CASE(unresponsiveServerDelaysNoQuery)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    site.startService(2);
    load_thread load(site, "node-1");
    BOOST_TEST(load.waitForAnswers());
    site.server("a").control({{"freeze", true}});
    BOOST_TEST(load.waitForAnswers());
    site.server("a").control({{"freeze", false}});
    const int before = requestCount(site, "a", "/shards/query");
    BOOST_TEST(test_site::waitFor([&] { return requestCount(site, "a", "/shards/query") > before + 100; }));
    load.stop();
    BOOST_TEST(load.mislabeledAnswers == 0);
    BOOST_TEST(load.missingResponses == 0);
}

// Guards against full load on a server whose capacity drops and recovers slowly, while its health endpoint and its status still report it as healthy.
BOOST_AUTO_TEST_CASE(serverTurningColdIsNotOverloaded)
{
    test_site site;
    stand_in_backend_options options = test_site::defaultOptions();
    options.slots = 6;
    options.queue = 1;
    site.addServer("a", "domain-1", options);
    site.addServer("b", "domain-2", options);
    site.startService(2, {{"slots_per_server", 6}});
    std::vector<std::unique_ptr<load_thread>> load;
    load.reserve(6);
    for (int i = 0; i < 6; ++i) {
        load.push_back(std::make_unique<load_thread>(site, i % 2 == 0 ? "node-1" : "node-2"));
    }
    BOOST_TEST(load[0]->waitForAnswers());
    site.server("a").control({{"misleading_health", true}, {"health", "healthy"}});
    const int shedBefore = requestCount(site, "a", "shed");
    const int requestsBefore = requestCount(site, "a", "/shards/query");
    site.server("a").control({{"cold", {{"ramp_ms", 5000}}}});
    std::this_thread::sleep_for(std::chrono::seconds(5));
    const int shed = requestCount(site, "a", "shed") - shedBefore;
    const int requests = requestCount(site, "a", "/shards/query") - requestsBefore;
    BOOST_TEST_MESSAGE("shed " << shed << " of " << requests << " requests of the cold server");
    for (const auto &caller : load) {
        BOOST_TEST(caller->waitForAnswers());
    }
    for (const auto &caller : load) {
        caller->stop();
        BOOST_TEST(caller->mislabeledAnswers == 0);
        BOOST_TEST(caller->missingResponses == 0);
    }
    // Each overload event reduces the server's limit to one request at a time, after which the limit grows again.
    BOOST_TEST(shed * MIN_REQUESTS_PER_SHED <= requests);
}

// Guards against more concurrent requests than a server has slots while holders of permits are paused beyond their lease, killed, and restarted under the
// same name.
BOOST_AUTO_TEST_CASE(serverLimitsHoldWhileNodesArePausedAndRestarted)
{
    test_site site;
    stand_in_backend_options options = test_site::defaultOptions();
    // The stand-in accepts more requests than the two slots in the configuration, so that it measures the load instead of limiting it.
    options.slots = 16;
    site.addServer("a", "domain-1", options);
    site.addServer("b", "domain-2", options);
    site.startService(3);
    std::map<std::string, std::unique_ptr<load_thread>> load;
    for (const std::string &node : site.nodeNames()) {
        load[node] = std::make_unique<load_thread>(site, node);
    }
    int answered = 0;
    for (int round = 0; round < 3; ++round) {
        const std::string paused = "node-" + std::to_string(round % 3 + 1);
        const std::string killed = "node-" + std::to_string((round + 1) % 3 + 1);
        site.process(paused).signal(SIGSTOP);
        // Longer than a lease, so that other nodes take over the permits.
        std::this_thread::sleep_for(std::chrono::seconds(7));
        site.process(paused).signal(SIGCONT);
        site.process(killed).signal(SIGKILL);
        load[killed]->stop();
        answered += load[killed]->answered;
        BOOST_TEST(load[killed]->mislabeledAnswers == 0);
        site.startNode(killed, "domain-" + killed.substr(5));
        site.publishVms();
        BOOST_TEST(test_site::waitFor([&] { return site.query(killed).status == 200; }));
        load[killed] = std::make_unique<load_thread>(site, killed);
    }
    for (const auto &[node, caller] : load) {
        BOOST_TEST(caller->waitForAnswers());
    }
    for (const auto &[node, caller] : load) {
        caller->stop();
        answered += caller->answered;
        BOOST_TEST(caller->mislabeledAnswers == 0);
    }
    BOOST_TEST(answered > 0);
    for (const char *server : {"a", "b"}) {
        BOOST_TEST(site.server(server).state()["max_running"].get<int>() <= 2);
    }
}

// Guards against a caller that waits far beyond the deadline because its query was forwarded to a paused holder.
BOOST_AUTO_TEST_CASE(forwardingToPausedHolderTimesOut)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.startService(3);
    BOOST_TEST(test_site::waitFor([&] { return site.permitsOf("node-1") + site.permitsOf("node-2") + site.permitsOf("node-3") == 2; }));
    std::string entry;
    for (const std::string &node : site.nodeNames()) {
        if (site.permitsOf(node) > 0) {
            site.process(node).signal(SIGSTOP);
        } else {
            entry = node;
        }
    }
    BOOST_TEST_REQUIRE(!entry.empty());
    // The client times out after 15 s; the service's deadline is 2 s.
    const test_site::answer answer = site.query(entry);
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.ran() == "unknown");
    BOOST_TEST(test_site::waitFor([&] { return site.query(entry).status == 200; }));
    for (const std::string &node : site.nodeNames()) {
        site.process(node).signal(SIGCONT);
    }
}

BOOST_AUTO_TEST_SUITE_END()
