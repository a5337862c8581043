#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "tests/node/test_site.h"

using namespace snipefall;

namespace {

constexpr long STRAGGLE_MS = 600; // Far above the hedge delay, below the progress timeout of a connection.

test_site::answer tracedQuery(const test_site &site, const std::string &node, const json &trace = true)
{
    return site.call(site.addresses(node).callers, "POST", "/v1/services/svc/query", {{"query", json::object()}, {"trace", trace}});
}

/** Returns whether the trace matches the coverage: each answered shard has one answered sub-request, and each missing shard has the same reason. */
bool matchesCoverage(const json &answer)
{
    std::map<std::uint64_t, std::string> missing;
    for (const json &shard : answer["coverage"]["missing"]) {
        missing[shard["shard"].get<std::uint64_t>()] = shard["reason"].get<std::string>();
    }
    for (const json &shard : answer["trace"]["shards"]) {
        std::size_t answered = 0;
        for (const json &sub : shard["sub_requests"]) {
            answered += sub["outcome"] == "answered" ? 1 : 0;
        }
        const auto found = missing.find(shard["shard"].get<std::uint64_t>());
        const bool isMissing = found != missing.end();
        if (answered != (isMissing ? 0U : 1U) || (isMissing ? shard["missing"] != found->second : !shard["missing"].is_null())) {
            return false;
        }
    }
    return answer["trace"]["shards"].size() == answer["coverage"]["shards_total"].get<std::size_t>();
}

/** Returns whether the first sub-request of a shard went to @p straggler, and a hedge to @p other answered it. */
bool hasHedge(const json &trace, const std::string &straggler, const std::string &other)
{
    for (const json &shard : trace["shards"]) {
        const json &subs = shard["sub_requests"];
        if (subs.size() == 2 && subs[0]["server"] == straggler && subs[0]["kind"] == "first" && subs[0]["outcome"] == "cancelled" && subs[1]["server"] == other
            && subs[1]["kind"] == "hedge" && subs[1]["outcome"] == "answered") {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(query_trace_tests)

// Guards against a trace that hides the straggling server or the missing shards, and against traces that the caller didn't request.
BOOST_AUTO_TEST_CASE(stragglerAndMissingShardsAreTraced)
{
    test_site site;
    stand_in_backend_options half = test_site::defaultOptions();
    half.held = {0, 1, 2, 3, 4, 5};
    site.addServer("a", "domain-1", half);
    site.addServer("b", "domain-2", half);
    half.held = {6, 7, 8, 9, 10, 11};
    site.addServer("c", "domain-3", half);
    site.startService(1);
    BOOST_TEST(test_site::waitFor([&] { return site.query("node-1").body["coverage"]["missing"].empty(); }));
    BOOST_TEST(!site.query("node-1").body.contains("trace"));
    BOOST_TEST(!tracedQuery(site, "node-1", false).body.contains("trace"));
    BOOST_TEST(tracedQuery(site, "node-1", "yes").status == 400);

    site.server("c").stop();
    site.server("a").control({{"straggle", {{"probability", 1.0}, {"ms", STRAGGLE_MS}}}});
    test_site::answer answer;
    BOOST_TEST(test_site::waitFor([&] {
        answer = tracedQuery(site, "node-1");
        return answer.status == 200 && hasHedge(answer.body["trace"], "a", "b");
    }));
    BOOST_TEST_MESSAGE(answer.body.value("trace", json()).dump());
    BOOST_TEST(matchesCoverage(answer.body));
    BOOST_TEST(answer.body["coverage"]["missing"].size() == 6U);
    const json &trace = answer.body["trace"];
    BOOST_TEST(trace["node"] == "node-1");
    BOOST_TEST(trace["forwarded_by"].is_null());
    BOOST_TEST(trace["version"] == answer.body["version"]);
    BOOST_TEST(trace["version_reason"] == "configured");
    for (const json &shard : trace["shards"]) {
        for (const json &sub : shard["sub_requests"]) {
            BOOST_TEST(sub["snapshot"] == answer.body["snapshot"]);
            BOOST_TEST((sub["ended_ms"].is_null() || sub["sent_ms"] <= sub["ended_ms"]));
        }
    }
}

// Guards against an error response for too low coverage that lacks the trace.
BOOST_AUTO_TEST_CASE(lowCoverageErrorsAreTraced)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.startService(1, {{"min_coverage", 1.0}});
    BOOST_TEST(test_site::waitFor([&] { return site.query("node-1").status == 200; }));
    site.server("a").control({{"shed_rate", 1.0}});
    const test_site::answer answer = tracedQuery(site, "node-1");
    BOOST_TEST(answer.status == 504);
    BOOST_TEST(matchesCoverage(answer.body));
}

// Guards against a trace that names the wrong nodes for a forwarded query.
BOOST_AUTO_TEST_CASE(traceNamesForwardingNode)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.startService(3);
    std::string nodeWithoutPermits;
    BOOST_REQUIRE(test_site::waitFor([&] {
        for (const std::string &node : site.nodeNames()) {
            nodeWithoutPermits = site.permitsOf(node) == 0 ? node : nodeWithoutPermits;
        }
        const test_site::answer answer = nodeWithoutPermits.empty() ? test_site::answer() : tracedQuery(site, nodeWithoutPermits);
        return answer.status == 200 && answer.body["trace"]["forwarded_by"] == nodeWithoutPermits && answer.body["trace"]["node"] != nodeWithoutPermits;
    }));
}

BOOST_AUTO_TEST_SUITE_END()
