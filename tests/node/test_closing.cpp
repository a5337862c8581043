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

struct observed_answer
{
    std::string outcome; ///< "lost" if no response arrived.
    std::uint64_t atMs = 0; ///< When the caller received the response.
};

// Sends queries and orders to one node until stop() is called, and records the outcome of each.
class counting_caller
{
public:
    counting_caller(test_site &site, const std::string &node)
        : m_thread([this, &site, node] {
            for (int i = 0; !m_stop; ++i) {
                const bool order = i % 4 == 0;
                const test_site::answer answer = order ? site.execute(node, test_site::newRequestId()) : site.query(node);
                // Nodes do not count requests for unknown services.
                if (answer.status == 404) {
                    continue;
                }
                const std::lock_guard lock(m_mutex);
                m_observed.push_back({outcomeOf(answer, order), wallClockMs()});
            }
        })
    {
    }

    ~counting_caller() { stop(); }

    std::vector<observed_answer> stop()
    {
        m_stop = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return m_observed;
    }

    std::size_t count() const
    {
        const std::lock_guard lock(m_mutex);
        return m_observed.size();
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
    std::vector<observed_answer> m_observed;
    std::thread m_thread;
};

json closeThrough(test_site &site, const std::string &node, const std::string &author)
{
    return site.call(site.addresses(node).operators, "POST", "/v1/services/svc/close", {{"author", author}, {"reason", "end of season"}}).body;
}

json publishThrough(test_site &site, const std::string &node, const json &collected, const std::string &author)
{
    const json text = json::parse(signReport(collected, *signing_key::generate(), author, wallClockMs()));
    return site.call(site.addresses(node).operators, "POST", "/v1/services/svc/report", text).body;
}

// Repeats both steps concurrently until each result contains the member.
std::pair<json, json> runConcurrentlyUntil(const char *member, const std::function<json()> &first, const std::function<json()> &second)
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

// Checks for each outcome that the report counts no more than the answers that callers received or may have lost, and that it misses only answers within the
// gaps that it states.
void checkCounts(const json &report, const std::vector<observed_answer> &observed)
{
    std::uint64_t gapFromMs = ~0ULL;
    for (const json &gap : report["gaps"]) {
        gapFromMs = std::min(gapFromMs, gap["saved_to_ms"].get<std::uint64_t>());
    }
    const auto count = [&observed](const std::string &kind, std::uint64_t fromMs) {
        return static_cast<std::uint64_t>(
            std::count_if(observed.begin(), observed.end(), [&](const observed_answer &one) { return one.outcome == kind && one.atMs >= fromMs; }));
    };
    // The target of a forwarded request may have counted an answer that the forwarding node could only report as failed or unknown.
    const std::uint64_t lost = count("lost", 0) + count("failed", 0) + count("unknown", 0);
    for (const char *kind : {"complete", "partial", "executed", "not_run", "unknown", "failed"}) {
        BOOST_TEST_CONTEXT(kind << ": report " << answersOf(report, kind) << ", callers " << count(kind, 0) << ", lost " << lost)
        {
            BOOST_TEST(answersOf(report, kind) <= count(kind, 0) + lost);
            // Nodes still refuse requests after the report was collected.
            if (std::string(kind) != "not_run") {
                BOOST_TEST(answersOf(report, kind) + count(kind, gapFromMs) >= count(kind, 0));
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(closing_tests)

// Guards against a report that counts answers twice or misses them without a stated gap, after one node was killed, another one paused and the platform was
// unavailable; and against two different reports when two nodes close the service concurrently.
BOOST_AUTO_TEST_CASE(reportMatchesCallerCounts)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    for (const char *name : {"node-1", "node-2", "node-3"}) {
        site.startNode(name, std::string("domain-") + (name + 5));
    }
    site.publishVms();
    BOOST_TEST_REQUIRE(test_site::waitFor([&] { return site.patch("node-1", {{"services", {{"svc", {{"version", "v1"}}}}}}).status == 200; }));
    // The callers send the first requests to the service, so that they receive every answer.
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
    // The closing would not wait for a node that the others still consider dead.
    BOOST_TEST(test_site::waitFor([&] {
        const json members = site.call(site.addresses("node-1").operators, "GET", "/v1/status", nullptr).body["members"];
        return std::any_of(members.begin(), members.end(), [](const json &one) { return one["node"] == "node-3" && one["state"] == "alive"; });
    }));
    const auto [first, second] = runConcurrentlyUntil(
        "collected", [&] { return closeThrough(site, "node-1", "ana"); }, [&] { return closeThrough(site, "node-3", "ben"); });
    BOOST_TEST_REQUIRE(first.contains("collected"), first.dump());
    BOOST_TEST((first["collected"] == second["collected"]));
    std::vector<observed_answer> observed;
    for (const auto &caller : callers) {
        const std::vector<observed_answer> one = caller->stop();
        observed.insert(observed.end(), one.begin(), one.end());
    }
    const json report = first["collected"];
    checkCounts(report, observed);
    std::set<std::string> gapNodes;
    for (const json &gap : report["gaps"]) {
        gapNodes.insert(gap["node"].get<std::string>());
    }
    BOOST_TEST((gapNodes == std::set<std::string>{"node-2"}));
    BOOST_TEST(site.query("node-1").ran() == "not_run");

    const auto [published, other] = runConcurrentlyUntil(
        "published", [&] { return publishThrough(site, "node-1", report, "ana"); }, [&] { return publishThrough(site, "node-3", report, "ben"); });
    BOOST_TEST_REQUIRE(published.contains("published"));
    BOOST_TEST((published["published"] == other["published"]));
    BOOST_TEST((closeThrough(site, "node-3", "eve")["published"] == published["published"]));
    BOOST_TEST(verifyReport(canonicalJson(published["published"]), "").problem == "");
    const json state = site.call(site.addresses("node-1").operators, "GET", "/v1/services/svc/close", nullptr).body;
    BOOST_TEST(state["state"] == "signed");
    BOOST_TEST(state["author"] == published["published"]["signed"]["report"]["closing"]["author"]);
}

// Guards against the publication of a report that was not collected or that was changed before it was signed.
BOOST_AUTO_TEST_CASE(publishesOnlyTheCollectedReport)
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
