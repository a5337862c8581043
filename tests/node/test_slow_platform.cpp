#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <ostream>
#include <set>
#include <thread>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "store/configuration_keys.h"
#include "tests/node/load_thread.h"
#include "tests/node/test_site.h"

using namespace snipefall;

namespace {

struct slow_row
{
    const char *name;
    long slowMs; ///< Latency of each platform call.
    int deadlineMs; ///< Deadline of an order.
    bool runs; ///< Whether any of the orders is expected to run.
};

std::ostream &operator<<(std::ostream &out, const slow_row &row)
{
    return out << row.name;
}

// A claim takes a read and a write; calls from the nodes time out after 2 s.
const slow_row SLOW_ROWS[] = {
    {"claim arrives in time", 1000, 10000, true},
    {"claim arrives after the deadline", 1500, 2000, false},
    {"claim is given up", 3000, 2000, false},
};

/** Counts the entries of a patch in the platform's configuration log. */
int loggedTimes(test_site &site, const std::string &patchId)
{
    int times = 0;
    const auto entries = site.platform().store().list(call_purpose::configuration, CONFIGURATION_LOG_PREFIX);
    BOOST_TEST_REQUIRE(entries.hasValue());
    for (const object &entry : *entries) {
        times += json::parse(entry.value).at("patch_id") == patchId ? 1 : 0;
    }
    return times;
}

void checkOrder(test_site &site, const std::string &id, const test_site::answer &answer, bool isHolder)
{
    const std::uint64_t runs = site.runsOf(id);
    BOOST_TEST_MESSAGE("order: " << answer.body.dump() << ", runs " << runs);
    BOOST_TEST_INFO(answer.body.dump());
    BOOST_TEST(runs <= 1U);
    BOOST_TEST((answer.status != 200 || runs == 1U));
    BOOST_TEST((answer.ran() != "not_run" || runs == 0U));
    // A node without permits forwards the order to a holder and stops waiting one second after the deadline, when it can't know whether the order ran.
    BOOST_TEST((answer.status == 200 || answer.ran() == "not_run" || (!isHolder && answer.ran() == "unknown")));
}

} // namespace

BOOST_AUTO_TEST_SUITE(slow_platform_tests)

// While each call to the platform takes seconds, guards against queries that wait for the platform, a configuration that reverts or is applied twice, and
// orders that are reported as not run although they ran or that are sent after their deadline.
BOOST_DATA_TEST_CASE(servesWhilePlatformIsSlow, boost::unit_test::data::make(SLOW_ROWS), row)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    site.startService(3, {{"deadline_ms", row.deadlineMs}});
    // The node that started first may hold both slots until it transfers one.
    BOOST_TEST_REQUIRE(test_site::waitFor([&] {
        const std::vector<std::string> nodes = site.nodeNames();
        return std::count_if(nodes.begin(), nodes.end(), [&](const std::string &node) { return site.permitsOf(node) == 1; }) == 2;
    }));
    std::set<std::string> holders;
    for (const std::string &node : site.nodeNames()) {
        if (site.permitsOf(node) > 0) {
            holders.insert(node);
        }
    }
    const std::uint64_t version = site.configVersion("node-1");
    for (const std::string &node : site.nodeNames()) {
        BOOST_TEST(test_site::waitFor([&] { return site.configVersion(node) == version; }));
    }
    site.platform().control({{"slow_ms", row.slowMs}});
    std::vector<std::pair<std::string, std::future<test_site::answer>>> orders;
    for (const std::string &node : site.nodeNames()) {
        const std::string id = test_site::newRequestId();
        orders.emplace_back(id, std::async(std::launch::async, [&site, node, id] { return site.execute(node, id); }));
    }
    const json patch = {{"patch_id", "slow"}, {"base_version", version}, {"author", "test"}, {"reason", "test"}, {"merge", {{"entry_ttl_ms", 400}}}};
    const auto submit = [&] { return site.call(site.addresses("node-2").operators, "POST", "/v1/config/patches", patch); };
    std::future<test_site::answer> submitted = std::async(std::launch::async, submit);
    std::vector<std::unique_ptr<load_thread>> load;
    for (const std::string &node : site.nodeNames()) {
        load.push_back(std::make_unique<load_thread>(site, node));
    }
    // Longer than the lease of a share, so that the shares must be renewed during the wait.
    std::this_thread::sleep_for(std::chrono::seconds(6));
    for (const auto &caller : load) {
        const int before = caller->answered;
        BOOST_TEST(test_site::waitFor([&] { return caller->answered > before + 20; }));
    }
    std::uint64_t runs = 0;
    for (std::size_t i = 0; i < orders.size(); ++i) {
        checkOrder(site, orders[i].first, orders[i].second.get(), holders.contains(site.nodeNames()[i]));
        runs += site.runsOf(orders[i].first);
    }
    BOOST_TEST((runs > 0) == row.runs);
    const test_site::answer first = submitted.get();
    BOOST_TEST_MESSAGE("patch: " << first.body.dump());
    BOOST_TEST((first.status == 200 || first.status == 503));
    for (const std::string &node : site.nodeNames()) {
        BOOST_TEST(site.configVersion(node) >= version);
    }
    site.platform().control({{"slow_ms", 0}});
    BOOST_TEST(test_site::waitFor([&] { return submit().status == 200; }));
    BOOST_TEST(loggedTimes(site, "slow") == 1);
    for (const std::string &node : site.nodeNames()) {
        BOOST_TEST(test_site::waitFor([&] { return site.configVersion(node) == version + 1; }));
    }
    for (const auto &[id, pending] : orders) {
        const test_site::answer answer = site.executeUntilSettled(id);
        BOOST_TEST_INFO(answer.body.dump());
        BOOST_TEST(site.runsOf(id) <= 1U);
        BOOST_TEST((answer.status != 200 || site.runsOf(id) == 1U));
        BOOST_TEST((answer.ran() != "not_run" || site.runsOf(id) == 0U));
    }
    for (const auto &caller : load) {
        caller->stop();
        BOOST_TEST_MESSAGE("queries: " << caller->answered << " answered, " << caller->refused << " refused");
        BOOST_TEST(caller->mislabeledAnswers == 0);
        BOOST_TEST(caller->missingResponses == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
