#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <set>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "core/clock.h"
#include "core/configuration_patch.h"
#include "core/signing_key.h"
#include "policy/signed_report.h"
#include "tests/node/test_site.h"

using namespace snipefall;

namespace {

struct seen_answer
{
    std::string outcome; ///< "lost" when there was no answer.
    std::uint64_t atMs = 0; ///< When the caller had it.
};

// Sends queries and orders through one node until told to stop, and keeps what became of each.
class counting_caller
{
public:
    counting_caller(test_site &site, const std::string &node)
        : m_thread([this, &site, node] {
            for (int i = 0; !m_stop; ++i) {
                const bool order = i % 4 == 0;
                const test_site::answer answer = order ? site.execute(node, test_site::newRequestId()) : site.query(node);
                // Requests for services that a node does not know are not accounted.
                if (answer.status == 404) {
                    continue;
                }
                const std::lock_guard lock(m_mutex);
                m_seen.push_back({outcomeOf(answer, order), wallClockMs()});
            }
        })
    {
    }

    ~counting_caller() { stop(); }

    std::vector<seen_answer> stop()
    {
        m_stop = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return m_seen;
    }

    std::size_t count() const
    {
        const std::lock_guard lock(m_mutex);
        return m_seen.size();
    }

private:
    static std::string outcomeOf(const test_site::answer &answer, bool order)
    {
        if (answer.status == 200) {
            return order ? "executed" : answer.body["coverage"]["missing"].empty() ? "complete" : "partial";
        }
        if (answer.status == 0) {
            return "lost";
        }
        return answer.ran() == "not_run" ? "not_run" : order ? "unknown" : "failed";
    }

    std::atomic<bool> m_stop{false};
    mutable std::mutex m_mutex;
    std::vector<seen_answer> m_seen;
    std::thread m_thread;
};

json closeThrough(test_site &site, const std::string &node, const std::string &who)
{
    return site.call(site.addresses(node).operators, "POST", "/v1/services/svc/close", {{"author", who}, {"reason", "end of season"}}).body;
}

json publishThrough(test_site &site, const std::string &node, const json &collected, const std::string &who)
{
    const json text = json::parse(signReport(collected, *signing_key::generate(), who, wallClockMs()));
    return site.call(site.addresses(node).operators, "POST", "/v1/services/svc/report", text).body;
}

// Runs the same step through two nodes at the same time, until both give the member that is asked for.
std::pair<json, json> raceUntil(const char *member, const std::function<json()> &first, const std::function<json()> &second)
{
    json results[2];
    const auto repeat = [member](json &result, const std::function<json()> &step) {
        test_site::waitFor([&] {
            result = step();
            return result.is_object() && result.contains(member);
        });
    };
    std::thread other([&] { repeat(results[1], second); });
    repeat(results[0], first);
    other.join();
    return {results[0], results[1]};
}

std::uint64_t answersOf(const json &report, const std::string &kind)
{
    return jsonValue<std::uint64_t>(report["outcomes"].value(kind, json::object()), "answers", 0);
}

// Per outcome: the report counts no more than callers saw and may have lost, and misses only answers of times that a gap states.
void checkCounts(const json &report, const std::vector<seen_answer> &seen)
{
    std::uint64_t gapFromMs = ~0ULL;
    for (const json &gap : report["gaps"]) {
        gapFromMs = std::min(gapFromMs, gap["saved_to_ms"].get<std::uint64_t>());
    }
    const auto count = [&seen](const std::string &kind, std::uint64_t fromMs) {
        return static_cast<std::uint64_t>(
            std::count_if(seen.begin(), seen.end(), [&](const seen_answer &one) { return one.outcome == kind && one.atMs >= fromMs; }));
    };
    // The node behind a hop may have counted an answer that the node before it could only call failed or unknown.
    const std::uint64_t lost = count("lost", 0) + count("failed", 0) + count("unknown", 0);
    for (const char *kind : {"complete", "partial", "executed", "not_run", "unknown", "failed"}) {
        BOOST_TEST_CONTEXT(kind << ": report " << answersOf(report, kind) << ", callers " << count(kind, 0) << ", lost " << lost)
        {
            BOOST_TEST(answersOf(report, kind) <= count(kind, 0) + lost);
            // Refusals go on after the collection.
            if (std::string(kind) != "not_run") {
                BOOST_TEST(answersOf(report, kind) + count(kind, gapFromMs) >= count(kind, 0));
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(closing_tests)

// Guards against a report that counts answers twice or misses them without a stated gap, after a node was killed, another one paused and the
// platform was out; and against two reports when the service is closed twice and through two nodes at once.
BOOST_AUTO_TEST_CASE(reportAgreesWithCallers)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    for (const char *name : {"node-1", "node-2", "node-3"}) {
        site.startNode(name, std::string("domain-") + (name + 5));
    }
    site.publishVms();
    BOOST_TEST_REQUIRE(test_site::waitFor([&] { return site.patch("node-1", {{"services", {{"svc", {{"version", "v1"}}}}}}).status == 200; }));
    // The callers send the first requests of the service, so that they see every answer.
    std::vector<std::unique_ptr<counting_caller>> callers;
    for (const std::string &node : site.nodeNames()) {
        callers.push_back(std::make_unique<counting_caller>(site, node));
    }
    const auto answerMore = [&] {
        const std::size_t start = callers[0]->count();
        BOOST_TEST(test_site::waitFor([&] { return callers[0]->count() > start + 40; }));
    };
    answerMore();
    site.platform().control({{"down", true}});
    site.process("node-3").signal(SIGSTOP);
    answerMore();
    site.process("node-3").signal(SIGCONT);
    site.process("node-2").signal(SIGKILL);
    answerMore();
    site.platform().control({{"down", false}});
    answerMore();
    // A node that the others still hold for dead would not be waited for.
    BOOST_TEST(test_site::waitFor([&] {
        const json members = site.call(site.addresses("node-1").operators, "GET", "/v1/status", nullptr).body["members"];
        return std::any_of(members.begin(), members.end(), [](const json &one) { return one["node"] == "node-3" && one["state"] == "alive"; });
    }));
    const auto [first, second] = raceUntil(
        "collected", [&] { return closeThrough(site, "node-1", "ana"); }, [&] { return closeThrough(site, "node-3", "ben"); });
    BOOST_TEST_REQUIRE(first.contains("collected"), first.dump());
    BOOST_TEST((first["collected"] == second["collected"]));
    std::vector<seen_answer> seen;
    for (const auto &caller : callers) {
        const std::vector<seen_answer> one = caller->stop();
        seen.insert(seen.end(), one.begin(), one.end());
    }
    const json report = first["collected"];
    checkCounts(report, seen);
    std::set<std::string> gapNodes;
    for (const json &gap : report["gaps"]) {
        gapNodes.insert(gap["node"].get<std::string>());
    }
    BOOST_TEST((gapNodes == std::set<std::string>{"node-2"}));
    BOOST_TEST(site.query("node-1").ran() == "not_run");

    const auto [published, other] = raceUntil(
        "published", [&] { return publishThrough(site, "node-1", report, "ana"); }, [&] { return publishThrough(site, "node-3", report, "ben"); });
    BOOST_TEST_REQUIRE(published.contains("published"));
    BOOST_TEST((published["published"] == other["published"]));
    BOOST_TEST((closeThrough(site, "node-3", "eve")["published"] == published["published"]));
    BOOST_TEST(verifyReport(canonicalText(published["published"]), "").problem == "");
    const json state = site.call(site.addresses("node-1").operators, "GET", "/v1/services/svc/close", nullptr).body;
    BOOST_TEST(state["state"] == "signed");
    BOOST_TEST(state["author"] == published["published"]["signed"]["report"]["closing"]["author"]);
}

// Guards against a report that was not collected, and against one that a signer changed, being published.
BOOST_AUTO_TEST_CASE(onlyTheCollectedReportIsPublished)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.startService(1);
    BOOST_TEST(site.call(site.addresses("node-1").operators, "POST", "/v1/services/none/close", {{"reason", "x"}}).status == 404);
    BOOST_TEST(publishThrough(site, "node-1", {{"format", "snipefall-report-1"}}, "ana")["error"]["code"] == "conflict");
    json closing;
    test_site::waitFor([&] {
        closing = closeThrough(site, "node-1", "ana");
        return closing.contains("collected");
    });
    BOOST_TEST_REQUIRE(closing.contains("collected"), closing.dump());
    json changed = closing["collected"];
    changed["totals"]["answers"] = 1'000'000;
    BOOST_TEST(publishThrough(site, "node-1", changed, "ana")["error"]["code"] == "invalid_argument");
    BOOST_TEST(publishThrough(site, "node-1", closing["collected"], "ana").contains("published"));
    const json audit = site.call(site.addresses("node-1").operators, "GET", "/v1/audit", nullptr).body;
    std::set<std::string> what;
    for (const json &entry : audit["entries"]) {
        what.insert(entry["what"].get<std::string>());
    }
    for (const char *expected : {"node.start", "patch.applied", "closing.draining svc"}) {
        BOOST_TEST(what.count(expected) == 1U, expected);
    }
}

BOOST_AUTO_TEST_SUITE_END()
