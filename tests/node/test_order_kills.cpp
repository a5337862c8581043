#include <algorithm>
#include <csignal>
#include <future>
#include <optional>
#include <ostream>
#include <thread>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "store/claim_bucket.h"
#include "tests/node/test_site.h"

using namespace snipefall;

namespace {

enum class order_phase
{
    claim_not_written, ///< The platform delays its calls, so that the claim is not written yet.
    claim_unanswered, ///< The claim is written, but the platform's response has not arrived yet.
    sent, ///< The order is claimed and sent to a frozen server, which never runs it.
    running, ///< The order ran, but the server's response has not arrived yet.
};

enum class killed_node
{
    direct_holder, ///< The holder that the caller sent the order to.
    entry, ///< The node without permits that forwarded the order.
    holder_behind_entry, ///< The holder that the entry node forwarded the order to.
};

struct kill_row
{
    const char *name;
    order_phase phase;
    killed_node killed;
    long killDelayMs; ///< Time from the caller's request to the kill; used only for claim_not_written.
};

std::ostream &operator<<(std::ostream &out, const kill_row &row)
{
    return out << row.name;
}

// Each platform call takes 700 ms, so the read of a claim is in progress after 300 ms and its write after 1000 ms.
constexpr long PLATFORM_DELAY_MS = 700;

const kill_row KILL_ROWS[] = {
    {"claim is read, holder", order_phase::claim_not_written, killed_node::direct_holder, 300},
    {"claim is written, holder", order_phase::claim_not_written, killed_node::direct_holder, 1000},
    {"claim is read, entry", order_phase::claim_not_written, killed_node::entry, 300},
    {"claim is unanswered, holder", order_phase::claim_unanswered, killed_node::direct_holder, 0},
    {"claim is unanswered, entry", order_phase::claim_unanswered, killed_node::entry, 0},
    {"claim is unanswered, holder behind entry", order_phase::claim_unanswered, killed_node::holder_behind_entry, 0},
    {"order is sent, holder", order_phase::sent, killed_node::direct_holder, 0},
    {"order is sent, entry", order_phase::sent, killed_node::entry, 0},
    {"order is sent, holder behind entry", order_phase::sent, killed_node::holder_behind_entry, 0},
    {"order runs, holder", order_phase::running, killed_node::direct_holder, 0},
    {"order runs, entry", order_phase::running, killed_node::entry, 0},
    {"order runs, holder behind entry", order_phase::running, killed_node::holder_behind_entry, 0},
};

void setFaults(test_site &site, order_phase phase, bool on)
{
    switch (phase) {
    case order_phase::claim_not_written:
        site.platform().control({{"slow_ms", on ? PLATFORM_DELAY_MS : 0}});
        break;
    case order_phase::claim_unanswered:
        // The responses of all writes are delayed, so that the claim's write is among them.
        // The stand-in sends a delayed response only while the delay is set, so the delay is not reset.
        site.platform().control({{"lose_answers", on ? 1000 : 0}, {"lost_answer_delay_ms", 1200}});
        break;
    case order_phase::sent:
    case order_phase::running:
        for (const char *id : {"a", "b"}) {
            site.server(id).control(phase == order_phase::sent ? json{{"freeze", on}} : json{{"straggle", {{"probability", on ? 1 : 0}, {"ms", 1500}}}});
        }
        break;
    }
}

std::optional<claim_entry> claimOf(test_site &site, const std::string &id)
{
    const request_id request(id);
    const auto stored = site.platform().store().read(call_purpose::claim, claim_bucket::keyOf(service_id("svc"), claim_bucket::indexOf(request)));
    const auto bucket = stored ? claim_bucket::parse(*stored) : outcome<claim_bucket>(stored.reason());
    if (!bucket || bucket->entries.count(request) == 0) {
        return std::nullopt;
    }
    return bucket->entries.at(request);
}

bool hasReached(test_site &site, order_phase phase, const std::string &id)
{
    return phase == order_phase::running ? site.runsOf(id) > 0 : claimOf(site, id).has_value();
}

std::string findNode(test_site &site, bool holder)
{
    for (const std::string &node : site.nodeNames()) {
        if ((site.permitsOf(node) > 0) == holder) {
            return node;
        }
    }
    return "";
}

} // namespace

BOOST_AUTO_TEST_SUITE(order_kill_tests)

// Guards against an order that runs twice, or that is reported as not run although it ran, when a node dies between the claim of the order and the
// answer of the backend server and the caller sends the order again through another node.
BOOST_DATA_TEST_CASE(orderRunsAtMostOnceWhenNodeIsKilled, boost::unit_test::data::make(KILL_ROWS), row)
{
    test_site site;
    site.addServer("a", "domain-1");
    site.addServer("b", "domain-2");
    // The deadline is long, so that only the kill decides how the order ends, even on a slow machine.
    site.startService(3, {{"deadline_ms", 10000}});
    // The node that started first may hold both permits until it transfers one to another node.
    BOOST_TEST_REQUIRE(test_site::waitFor([&] {
        const std::vector<std::string> nodes = site.nodeNames();
        return std::count_if(nodes.begin(), nodes.end(), [&](const std::string &node) { return site.permitsOf(node) == 1; }) == 2;
    }));
    const std::string entry = findNode(site, row.killed == killed_node::direct_holder);
    BOOST_TEST_REQUIRE(!entry.empty());
    setFaults(site, row.phase, true);
    const std::string id = test_site::newRequestId();
    std::future<test_site::answer> first = std::async(std::launch::async, [&] { return site.execute(entry, id); });
    if (row.phase == order_phase::claim_not_written) {
        std::this_thread::sleep_for(std::chrono::milliseconds(row.killDelayMs));
    } else {
        BOOST_TEST_REQUIRE(test_site::waitFor([&] { return hasReached(site, row.phase, id); }));
    }
    const std::string killed = row.killed == killed_node::holder_behind_entry ? claimOf(site, id)->node.str() : entry;
    BOOST_TEST(site.permitsOf(killed) == (row.killed == killed_node::entry ? 0U : 1U));
    site.process(killed).signal(SIGKILL);
    const test_site::answer interrupted = first.get();
    BOOST_TEST_MESSAGE("killed " << killed << ", first answer " << interrupted.status << " " << interrupted.ran() << ", runs " << site.runsOf(id));
    BOOST_TEST((interrupted.status == 0 || interrupted.ran() == "unknown"));
    setFaults(site, row.phase, false);
    for (const std::string &node : site.nodeNames()) {
        if (node == killed) {
            continue;
        }
        const bool ranBefore = site.runsOf(id) > 0;
        test_site::answer answer;
        BOOST_TEST(test_site::waitFor([&] {
            answer = site.execute(node, id);
            BOOST_TEST((answer.ran() == "not_run" || answer.reflectsClaim()));
            return answer.reflectsClaim();
        }));
        BOOST_TEST_MESSAGE(node << " answers " << answer.body.dump() << ", runs " << site.runsOf(id));
        BOOST_TEST_INFO(answer.body.dump());
        BOOST_TEST((answer.status == 200 || answer.ran() == "unknown"));
        BOOST_TEST((answer.status != 200 || site.runsOf(id) == 1U));
        BOOST_TEST((answer.status != 200 || answer.repeated() || !ranBefore));
    }
    BOOST_TEST(site.runsOf(id) <= 1U);
    if (row.phase == order_phase::running) {
        BOOST_TEST(site.runsOf(id) == 1U);
    }
    if (row.killed == killed_node::entry && row.phase != order_phase::sent) {
        // The holder is alive and records the result.
        BOOST_TEST(test_site::waitFor(
            [&] { return site.execute(site.nodeNames().back() == killed ? site.nodeNames().front() : site.nodeNames().back(), id).status == 200; }));
        BOOST_TEST(site.runsOf(id) == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
