#include <atomic>
#include <ostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/http_call.h"
#include "tests/node/test_site.h"

using namespace snipefall;

namespace {

constexpr int THREADS_PER_NODE = 2;
constexpr int QUERIES_PER_THREAD = 40;
constexpr int SHARDS = 12; // Per query.
constexpr int EXTRA_BUDGET_PERCENT = 5; // Extra sub-requests, as a percentage of the first sub-requests.

struct straggle_row
{
    const char *name;
    std::vector<std::string> servers;
    double probability;
};

std::ostream &operator<<(std::ostream &out, const straggle_row &row)
{
    return out << row.name;
}

const straggle_row STRAGGLE_ROWS[] = {
    {"one server, 2%", {"a"}, 0.02},
    {"one server, 20%", {"a"}, 0.2},
    {"one server, always", {"a"}, 1},
    {"both servers, 2%", {"a", "b"}, 0.02},
};

/** Returns the number of sub-requests of @p kind that a node has sent, from its metrics. */
long subRequests(const test_site &site, const std::string &node, const std::string &kind)
{
    http_call call;
    call.address = site.addresses(node).operators;
    call.method = "GET";
    call.target = "/metrics";
    call.timeoutMs = 5000;
    call.connectTimeoutMs = 2000;
    std::istringstream lines(executeHttpCall(call).response.body);
    long sum = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("snipefall_sub_requests_total{") && line.find("kind=\"" + kind + "\"") != std::string::npos) {
            sum += std::stol(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

long subRequestsOfAllNodes(const test_site &site, const std::string &kind)
{
    long sum = 0;
    for (const std::string &node : site.nodeNames()) {
        sum += subRequests(site, node, kind);
    }
    return sum;
}

long received(test_site &site)
{
    long sum = 0;
    for (const char *id : {"a", "b"}) {
        sum += site.server(id).state()["requests"].value("/shards/query", 0L);
    }
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(straggler_tests)

// Guards against answers that lack the shards of a slow server, and against hedges and retries beyond their budget.
BOOST_DATA_TEST_CASE(slowServerIsHedgedWithinBudget, boost::unit_test::data::make(STRAGGLE_ROWS), row)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    // The deadline is long enough for a slow shard without a hedge, even on a slow machine.
    site.startService(2, {{"deadline_ms", 15000}, {"max_queued_queries", 64}});
    const long firstBefore = subRequestsOfAllNodes(site, "first");
    const long extraBefore = subRequestsOfAllNodes(site, "extra");
    const long receivedBefore = received(site);
    for (const std::string &id : row.servers) {
        site.server(id).control({{"straggle", {{"probability", row.probability}, {"ms", 200}}}});
    }
    std::atomic<int> completeAnswers{0};
    std::vector<std::thread> threads;
    for (const std::string &node : site.nodeNames()) {
        for (int i = 0; i < THREADS_PER_NODE; ++i) {
            threads.emplace_back([&, node] {
                for (int count = 0; count < QUERIES_PER_THREAD; ++count) {
                    const test_site::answer answer = site.query(node);
                    completeAnswers +=
                        answer.status == 200 && test_site::labelMatchesResults(answer.body) && answer.body["coverage"]["missing"].empty() ? 1 : 0;
                }
            });
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const long first = subRequestsOfAllNodes(site, "first") - firstBefore;
    const long extra = subRequestsOfAllNodes(site, "extra") - extraBefore;
    const long reached = received(site) - receivedBefore;
    BOOST_TEST_MESSAGE("first " << first << ", extra " << extra << ", received " << reached);
    constexpr int QUERIES = 2 * THREADS_PER_NODE * QUERIES_PER_THREAD;
    BOOST_TEST(completeAnswers == QUERIES);
    BOOST_TEST(first == QUERIES * SHARDS);
    BOOST_TEST(extra > 0);
    // The bound covers the sub-requests before the measurement too, because tokens earned by them may be spent during it.
    BOOST_TEST((extraBefore + extra) * 100 <= (firstBefore + first) * EXTRA_BUDGET_PERCENT);
    // The servers received no more sub-requests than the metric counts.
    BOOST_TEST(reached <= first + extra);
}

BOOST_AUTO_TEST_SUITE_END()
