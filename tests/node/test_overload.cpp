#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/http_call.h"
#include "tests/node/test_site.h"

namespace snipefall {

constexpr int HEAVY_THREADS = 40;
constexpr int HEAVY_QUERIES = 20; // Per thread.
constexpr int LIGHT_QUERIES = 20;
constexpr int SHARDS = 12; // Per query.

struct query_counts
{
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> mislabeledAnswers{0};
};

void sendQueries(const std::string &address, const std::string &caller, int count, query_counts &counts)
{
    for (int i = 0; i < count; ++i) {
        http_call call;
        call.address = address;
        call.method = "POST";
        call.target = "/v1/services/svc/query";
        call.timeoutMs = 15000;
        call.connectTimeoutMs = 5000;
        call.headers = {{"Request-Id", test_site::newRequestId()}, {"Caller", caller}};
        call.body = R"({"query":"price"})";
        ++counts.sent;
        const http_call_result result = executeHttpCall(call);
        const json body = json::parse(result.response.body, nullptr, false);
        if (result.status != transport_status::ok || !body.is_object()) {
            continue;
        }
        if (result.response.status == 200) {
            ++counts.answered;
            counts.mislabeledAnswers += test_site::labelMatchesResults(body) ? 0 : 1;
        } else if (jsonValue<std::string>(body.value("error", json::object()), "ran", "") == "not_run") {
            ++counts.refused;
        }
    }
}

} // namespace snipefall

using namespace snipefall;

BOOST_AUTO_TEST_SUITE(overload_tests)

// Guards against a caller that starves another one, queries that ran but are reported as "not run", and requests that are lost under load, also while
// the backend servers shed requests themselves.
BOOST_DATA_TEST_CASE(loadAboveCapacityIsRefusedFairly, boost::unit_test::data::make({0.0, 0.1}), shedRate)
{
    test_site site;
    stand_in_backend_options options = test_site::defaultOptions();
    options.latencyMs = 20;
    site.addServer("a", "domain-1", options);
    site.addServer("b", "domain-2", options);
    site.startService(2, {{"max_queued_queries", 8}, {"deadline_ms", 1000}});
    for (const char *id : {"a", "b"}) {
        site.server(id).control({{"shed_rate", shedRate}});
    }
    const auto received = [&site] {
        return site.server("a").state()["requests"].value("/shards/query", 0) + site.server("b").state()["requests"].value("/shards/query", 0);
    };
    const int before = received();
    query_counts heavy;
    query_counts light;
    std::vector<std::thread> threads;
    threads.reserve(HEAVY_THREADS + 1);
    for (int i = 0; i < HEAVY_THREADS; ++i) {
        threads.emplace_back([&, node = i % 2 == 0 ? "node-1" : "node-2"] { sendQueries(site.addresses(node).callers, "heavy", HEAVY_QUERIES, heavy); });
    }
    threads.emplace_back([&] { sendQueries(site.addresses("node-1").callers, "light", LIGHT_QUERIES, light); });
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST_MESSAGE("heavy: " << heavy.answered << " answered, " << heavy.refused << " refused; light: " << light.answered << " answered, " << light.refused
                                 << " refused");
    for (const query_counts *counts : {&heavy, &light}) {
        BOOST_TEST(counts->answered + counts->refused == counts->sent);
        BOOST_TEST(counts->mislabeledAnswers == 0);
    }
    BOOST_TEST(heavy.refused > 0);
    BOOST_TEST(light.answered > 0);
    // A refused query sent no sub-requests: only those of answered queries reached the servers, plus at most 10% hedges and retries.
    const int answered = heavy.answered + light.answered;
    BOOST_TEST(received() - before <= answered * SHARDS * 11 / 10 + SHARDS);
    for (const std::string &node : site.nodeNames()) {
        BOOST_TEST(site.process(node).running());
        BOOST_TEST(test_site::waitFor([&] { return site.query(node).status == 200; }));
    }
}

BOOST_AUTO_TEST_SUITE_END()
