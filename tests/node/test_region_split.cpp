#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/node/load_thread.h"
#include "tests/node/test_site.h"

using namespace snipefall;

BOOST_AUTO_TEST_SUITE(region_split_tests)

// Guards against exceeded slot limits and orders that run twice when two groups of nodes cannot reach each other, while the platform is up, down and up again.
BOOST_AUTO_TEST_CASE(isolatedGroupsKeepLimits)
{
    test_site site;
    stand_in_backend_options options = test_site::defaultOptions();
    // The stand-in accepts more than the two configured slots, so that it measures the load instead of limiting it.
    options.slots = 16;
    site.addServer("a", "domain-1", options);
    site.addServer("b", "domain-2", options);
    site.startService(1);
    site.startNode("node-2", "domain-2", "k2");
    site.publishVms();
    BOOST_TEST(test_site::waitFor([&] { return site.configVersion("node-2") == site.configVersion("node-1"); }));
    const std::uint64_t version = site.configVersion("node-1");
    BOOST_TEST(test_site::waitFor([&] { return site.patch("node-2", {{"entry_ttl_ms", 400}}).status == 200; }));
    BOOST_TEST(test_site::waitFor([&] { return site.configVersion("node-1") == version + 1; }));
    load_thread first(site, "node-1");
    load_thread second(site, "node-2");
    BOOST_TEST(test_site::waitFor([&] { return first.answered + second.answered > 20; }));

    const std::string id = test_site::newRequestId();
    std::vector<std::thread> threads;
    for (const std::string &node : site.nodeNames()) {
        threads.emplace_back([&, node] { site.execute(node, id); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(site.runsOf(id) <= 1U);

    site.platform().control({{"down", true}});
    // Longer than a lease and its margin, so that shares whose successor is unreachable expire.
    std::this_thread::sleep_for(std::chrono::seconds(8));
    const std::string refused = test_site::newRequestId();
    for (const std::string &node : site.nodeNames()) {
        BOOST_TEST(site.execute(node, refused).ran() == "not_run");
        BOOST_TEST(site.patch(node, {{"entry_ttl_ms", 500}}).status == 503);
    }
    BOOST_TEST(site.runsOf(refused) == 0U);
    site.platform().control({{"down", false}});
    const int before = first.answered + second.answered;
    BOOST_TEST(test_site::waitFor([&] { return first.answered + second.answered > before + 20; }));
    first.stop();
    second.stop();
    BOOST_TEST_MESSAGE("answered " << first.answered << " and " << second.answered << ", refused " << first.refused << " and " << second.refused);
    BOOST_TEST(first.mislabeledAnswers + second.mislabeledAnswers == 0);
    for (const char *server : {"a", "b"}) {
        BOOST_TEST(site.server(server).state()["max_running"].get<int>() <= 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()
