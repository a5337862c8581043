#include <atomic>
#include <future>
#include <map>
#include <ostream>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "store/configuration_keys.h"
#include "tests/node/test_site.h"

using namespace snipefall;

namespace {

struct lost_response_row
{
    const char *name;
    long delayMs; ///< Delay of the responses; 0 drops them.
};

std::ostream &operator<<(std::ostream &out, const lost_response_row &row)
{
    return out << row.name;
}

// Calls from the nodes to the platform time out after 2 s, so a response that is delayed by 3000 ms is too late.
const lost_response_row LOST_RESPONSE_ROWS[] = {
    {"answers are dropped", 0},
    {"answers come after the time-out", 3000},
};

// More than the writes of any case, so that every response to a write is lost.
constexpr int ALL_RESPONSES = 100000;

void loseWriteResponses(test_site &site, const lost_response_row &row)
{
    site.platform().control({{"lose_answers", ALL_RESPONSES}, {"lost_answer_delay_ms", row.delayMs}});
}

void startSite(test_site &site)
{
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    // The deadline of an order is long enough for a claim whose write runs into its time-out.
    site.startService(3, {{"deadline_ms", 8000}});
    BOOST_TEST_REQUIRE(test_site::waitFor([&] { return site.permitsOf("node-1") + site.permitsOf("node-2") + site.permitsOf("node-3") == 2; }));
}

json patchOf(const std::string &id, std::uint64_t base, int ttl)
{
    return {{"patch_id", id}, {"base_version", base}, {"author", "test"}, {"reason", "test"}, {"merge", {{"entry_ttl_ms", ttl}}}};
}

test_site::answer submit(test_site &site, const std::string &node, const json &patch)
{
    return site.call(site.addresses(node).operators, "POST", "/v1/config/patches", patch);
}

/** Submits the same patch until the response is neither 503 nor lost, that is, until the patch is accepted or refused. */
test_site::answer submitUntilDecided(test_site &site, const std::string &node, const json &patch)
{
    test_site::answer answer;
    test_site::waitFor([&] {
        answer = submit(site, node, patch);
        return answer.status != 503 && answer.status != 0;
    });
    return answer;
}

/** Counts the entries of each patch in the platform's configuration log. */
std::map<std::string, int> loggedPatches(test_site &site)
{
    std::map<std::string, int> counts;
    const auto entries = site.platform().store().list(call_purpose::configuration, CONFIGURATION_LOG_PREFIX);
    BOOST_TEST_REQUIRE(entries.hasValue());
    for (const object &entry : *entries) {
        ++counts[json::parse(entry.value).at("patch_id").get<std::string>()];
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lost_platform_answer_tests)

// Guards against a patch that is applied twice, or that is reported as refused or unknown although it is in force, when the platform's response to its write
// is lost.
BOOST_DATA_TEST_CASE(appliesPatchOnceAfterLostResponse, boost::unit_test::data::make(LOST_RESPONSE_ROWS), row)
{
    test_site site;
    startSite(site);
    const std::uint64_t base = site.configVersion("node-1");
    for (const std::string &node : site.nodeNames()) {
        BOOST_TEST(test_site::waitFor([&] { return site.configVersion(node) == base; }));
    }
    loseWriteResponses(site, row);
    const json first = patchOf("first", base, 400);
    const test_site::answer applied = submit(site, "node-2", first);
    BOOST_TEST_INFO(applied.body.dump());
    // The node reads the log entry back to find out whether the write succeeded.
    BOOST_TEST(applied.status == 200);
    for (const std::string &node : site.nodeNames()) {
        const test_site::answer repeated = submitUntilDecided(site, node, first);
        BOOST_TEST(repeated.status == 200);
        BOOST_TEST(repeated.body["version"] == base + 1);
    }
    std::vector<std::future<test_site::answer>> racing;
    for (const std::string &node : site.nodeNames()) {
        racing.push_back(
            std::async(std::launch::async, [&site, node, base] { return submitUntilDecided(site, node, patchOf("racing " + node, base + 1, 500)); }));
    }
    std::map<std::string, int> statuses;
    for (std::size_t i = 0; i < racing.size(); ++i) {
        statuses["racing " + site.nodeNames()[i]] = racing[i].get().status;
    }
    site.platform().control({{"lose_answers", 0}});
    std::map<std::string, int> logged = loggedPatches(site);
    BOOST_TEST(logged["first"] == 1);
    int accepted = 0;
    for (const auto &[patch, status] : statuses) {
        BOOST_TEST_INFO(patch);
        BOOST_TEST((status == 200 || status == 409));
        BOOST_TEST(logged[patch] == (status == 200 ? 1 : 0));
        accepted += logged[patch];
    }
    BOOST_TEST(accepted == 1);
    for (const std::string &node : site.nodeNames()) {
        BOOST_TEST(test_site::waitFor([&] { return site.configVersion(node) == base + 2; }));
    }
}

// Guards against an order that runs twice, or that is reported as not run although it ran, when the platform's response to the write of its claim or of its
// result is lost.
BOOST_DATA_TEST_CASE(runsOrderAtMostOnceAfterLostClaimResponse, boost::unit_test::data::make(LOST_RESPONSE_ROWS), row)
{
    constexpr int ORDERS_PER_NODE = 2;
    test_site site;
    startSite(site);
    loseWriteResponses(site, row);
    const std::string firstId = test_site::newRequestId();
    const test_site::answer first = site.execute("node-2", firstId);
    BOOST_TEST_INFO(first.body.dump());
    // The node reads the claim back to find out whether the write succeeded.
    BOOST_TEST(first.status == 200);
    BOOST_TEST(site.runsOf(firstId) == 1U);
    std::map<std::string, std::future<test_site::answer>> answers;
    for (int i = 0; i < ORDERS_PER_NODE; ++i) {
        for (const std::string &node : site.nodeNames()) {
            const std::string id = test_site::newRequestId();
            answers[id] = std::async(std::launch::async, [&site, node, id] { return site.execute(node, id); });
        }
    }
    for (auto &[id, pending] : answers) {
        const test_site::answer answer = pending.get();
        const std::uint64_t runs = site.runsOf(id);
        BOOST_TEST_MESSAGE("first answer " << answer.status << " " << answer.ran() << ", runs " << runs);
        BOOST_TEST_INFO(answer.body.dump());
        BOOST_TEST((answer.status == 200 || answer.status == 429 || answer.status == 503));
        BOOST_TEST(runs <= 1U);
        BOOST_TEST((answer.status != 200 || runs == 1U));
        BOOST_TEST((answer.ran() != "not_run" || runs == 0U));
    }
    site.platform().control({{"lose_answers", 0}});
    for (const auto &[id, pending] : answers) {
        const test_site::answer answer = site.executeUntilSettled(id);
        const std::uint64_t runs = site.runsOf(id);
        BOOST_TEST_INFO(answer.body.dump());
        BOOST_TEST(runs <= 1U);
        BOOST_TEST((answer.status != 200 || runs == 1U));
        BOOST_TEST((answer.ran() != "not_run" || runs == 0U));
        for (const std::string &node : site.nodeNames()) {
            site.execute(node, id);
        }
        BOOST_TEST(site.runsOf(id) <= 1U);
    }
    BOOST_TEST(site.runsOf(firstId) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
