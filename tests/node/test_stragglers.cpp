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
constexpr int SHARDS = 12; // Of each query.
constexpr int EARNED_PERCENT = 5; // Extra sub-requests of the first ones.

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

/** The sub-requests of @p kind that a node has sent. */
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

long sumOfNodes(const test_site &site, const std::string &kind)
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

// Guards against answers that lack the shards of a straggling server, and against hedges and retries beyond their budget.
BOOST_DATA_TEST_CASE(stragglingServer, boost::unit_test::data::make(STRAGGLE_ROWS), row)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    // The deadline leaves room for a shard that is not hedged, also on a slow machine.
    site.startService(2, {{"deadline_ms", 15000}, {"max_queued_queries", 64}});
    const long firstBefore = sumOfNodes(site, "first");
    const long extraBefore = sumOfNodes(site, "extra");
    const long receivedBefore = received(site);
    for (const std::string &id : row.servers) {
        site.server(id).control({{"straggle", {{"probability", row.probability}, {"ms", 200}}}});
    }
    std::atomic<int> whole{0};
    std::vector<std::thread> threads;
    for (const std::string &node : site.nodeNames()) {
        for (int i = 0; i < THREADS_PER_NODE; ++i) {
            threads.emplace_back([&, node] {
                for (int count = 0; count < QUERIES_PER_THREAD; ++count) {
                    const test_site::answer answer = site.query(node);
                    whole += answer.status == 200 && test_site::labelIsTrue(answer.body) && answer.body["coverage"]["missing"].empty() ? 1 : 0;
                }
            });
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const long first = sumOfNodes(site, "first") - firstBefore;
    const long extra = sumOfNodes(site, "extra") - extraBefore;
    const long reached = received(site) - receivedBefore;
    BOOST_TEST_MESSAGE("first " << first << ", extra " << extra << ", received " << reached);
    constexpr int QUERIES = 2 * THREADS_PER_NODE * QUERIES_PER_THREAD;
    BOOST_TEST(whole == QUERIES);
    BOOST_TEST(first == QUERIES * SHARDS);
    BOOST_TEST(extra > 0);
    // Tokens that were earned before the count began may be spent in it.
    BOOST_TEST((extraBefore + extra) * 100 <= (firstBefore + first) * EARNED_PERCENT);
    // The metric agrees with what the servers saw: no sub-request is sent uncounted.
    BOOST_TEST(reached <= first + extra);
}

BOOST_AUTO_TEST_SUITE_END()
