#include <algorithm>
#include <random>
#include <set>
#include <sstream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/crypto.h"
#include "policy/move_controller.h"
#include "policy/version_router.h"
#include "store/memory_object_store.h"
#include "tests/policy/move_samples.h"

using namespace snipefall;

namespace {

constexpr int NODES = 4;
constexpr std::uint64_t TICK_MS = 100;
constexpr std::uint64_t RUN_MS = 120'000;
const std::string KEY = "moves/s";
const std::vector<std::uint64_t> QUERY_HASHES = [] {
    std::vector<std::uint64_t> hashes(200);
    std::generate(hashes.begin(), hashes.end(), [i = 0]() mutable { return stableHash(std::to_string(i++)); });
    return hashes;
}();
const route_counts ENOUGH_ANSWERS{sampleCounts(2000, 10), sampleCounts(1000, 0), 0};
const route_counts TOO_FEW_ANSWERS{sampleCounts(2000, 10), sampleCounts(10, 0), 0};

struct simulated_node
{
    std::int64_t clockOffsetMs = 0; ///< Two clocks differ by at most MAX_CLOCK_SKEW_MS.
    std::uint64_t pausedUntilMs = 0;
    std::optional<move_record> record;
    object_version version;
    bool readable = false;
    bool writing = false;
    std::vector<bad_version_fact> facts;
    version_router router{service_id("s")};
};

/** A delayed write to the platform, or a delayed fact to a node. */
struct delayed_message
{
    std::uint64_t atMs = 0; ///< Time of delivery.
    std::size_t node = 0;
    std::optional<move_decision> write; ///< Unset for a fact.
    bad_version_fact fact;
};

/** Simulates several nodes that drive one move on a faulty platform, and checks every record written, and the outcome and routing of every node. */
class move_race_simulation
{
public:
    explicit move_race_simulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (simulated_node &node : m_nodes) {
            node.clockOffsetMs = static_cast<std::int64_t>(randomBetween(0, MAX_CLOCK_SKEW_MS));
        }
        // Every run combines a platform outage, which in half of the runs starts when it can cover the deadline, with lost or delayed responses of the
        // platform.
        m_outageFromMs = randomBetween(0, 1) == 0 ? randomBetween(40'000, 62'000) : randomBetween(0, 50'000);
        m_outageUntilMs = m_outageFromMs + randomBetween(1'000, 30'000);
        m_faultAtMs = randomBetween(0, 2) == 0 ? randomBetween(1'000, 90'000) : UINT64_MAX;
        m_lostResponsePercent = randomBetween(0, 3) * 10;
        // Half of the moves can finish their last step only shortly before the deadline.
        m_finishAllowedFromMs = randomBetween(0, 1) == 0 ? randomBetween(50'000, 60'000) : 0;
        BOOST_REQUIRE(m_store.write(call_purpose::move, KEY, toJson(sampleMove()).dump(), object_version()));
        m_history.push_back(sampleMove());
    }

    void run()
    {
        for (m_nowMs = 0; m_nowMs < RUN_MS; m_nowMs += TICK_MS) {
            m_store.setDown(m_nowMs >= m_outageFromMs && m_nowMs < m_outageUntilMs);
            deliver();
            for (std::size_t i = 0; i < NODES; ++i) {
                runNode(i);
            }
            checkNodes();
        }
    }

    move_state finalState() const { return m_history.back().state; }
    bool wasDone() const
    {
        return std::any_of(m_history.begin(), m_history.end(), [](const move_record &record) { return record.state == move_state::done; });
    }

private:
    std::uint64_t randomBetween(std::uint64_t low, std::uint64_t high) { return std::uniform_int_distribution<std::uint64_t>(low, high)(m_random); }
    std::uint64_t clockOf(const simulated_node &node) const { return SAMPLE_START_MS + m_nowMs + static_cast<std::uint64_t>(node.clockOffsetMs); }

    void runNode(std::size_t index)
    {
        simulated_node &node = m_nodes[index];
        if (node.pausedUntilMs > m_nowMs) {
            return;
        }
        if (randomBetween(0, 400) == 0) {
            node.pausedUntilMs = m_nowMs + randomBetween(500, 20'000);
        }
        if (randomBetween(0, 5) == 0) {
            read(node);
        }
        if (m_nowMs >= m_faultAtMs && randomBetween(0, 30) == 0) {
            publishFact(index);
        }
        if (node.record && !node.writing && randomBetween(0, 8) == 0) {
            decideAndWrite(index);
        }
    }

    void read(simulated_node &node)
    {
        const auto found = m_store.read(call_purpose::move, KEY);
        node.readable = found.hasValue();
        if (found) {
            node.record = parseMoveRecord(json::parse(found->value)).value();
            node.version = found->version;
        }
        node.router.setMove(node.record, node.readable);
    }

    /** The node that found the fault applies the fact at once; all nodes receive it after a delay, possibly several times. */
    void publishFact(std::size_t finder)
    {
        const bad_version_fact fact{service_id("s"), version_id("v2"), "m1", "errors"};
        applyFact(m_nodes[finder], fact);
        for (std::size_t i = 0; i < NODES; ++i) {
            m_delayedMessages.push_back({m_nowMs + randomBetween(0, 5'000), i, std::nullopt, fact});
        }
    }

    static void applyFact(simulated_node &node, const bad_version_fact &fact)
    {
        node.facts.push_back(fact);
        node.router.addFact(fact);
    }

    void decideAndWrite(std::size_t index)
    {
        simulated_node &node = m_nodes[index];
        const bool mayFinishStep = node.record->sharePercent < 100 || m_nowMs >= m_finishAllowedFromMs;
        const route_counts &counts = mayFinishStep && randomBetween(0, 9) > 0 ? ENOUGH_ANSWERS : TOO_FEW_ANSWERS;
        const move_observations seen{node.record->moveId, node.record->sharePercent, {{ALL_ROUTES, counts}}, {}};
        const move_decision decision = move_controller().decide({*node.record, node.version, seen, {2, 0}, node.facts, clockOf(node)});
        if (decision.action == move_action::none) {
            return;
        }
        node.writing = true;
        m_delayedMessages.push_back({m_nowMs + randomBetween(0, MAX_WRITE_DELAY_MS - TICK_MS), index, decision, {}});
    }

    void deliver()
    {
        for (std::size_t i = 0; i < m_delayedMessages.size();) {
            if (m_delayedMessages[i].atMs > m_nowMs) {
                ++i;
                continue;
            }
            const delayed_message message = m_delayedMessages[i];
            m_delayedMessages.erase(m_delayedMessages.begin() + static_cast<std::ptrdiff_t>(i));
            simulated_node &node = m_nodes[message.node];
            if (message.write) {
                node.writing = false;
                applyWrite(*message.write);
            } else if (node.pausedUntilMs <= m_nowMs) {
                applyFact(node, message.fact);
            }
        }
    }

    void applyWrite(const move_decision &decision)
    {
        m_store.loseWriteResponses(randomBetween(0, 99) < m_lostResponsePercent ? 1 : 0);
        const auto written = m_store.write(call_purpose::move, KEY, toJson(decision.record).dump(), decision.expected);
        if (!written && written.reason().code != error_code::unknown_result) {
            return;
        }
        checkTransition(m_history.back(), decision.record);
        m_history.push_back(decision.record);
    }

    static void checkTransition(const move_record &before, const move_record &after)
    {
        BOOST_REQUIRE_MESSAGE(before.state != move_state::rolled_back, "a record was written after the rollback was recorded");
        const std::vector<std::uint32_t> shares{5, 10, 25, 50, 100};
        if (after.state == move_state::growing) {
            BOOST_TEST(after.sharePercent == *std::upper_bound(shares.begin(), shares.end(), before.sharePercent));
        } else if (after.state == move_state::done) {
            BOOST_TEST((before.sharePercent == 100U && before.state == move_state::growing));
        }
        BOOST_TEST(parseMoveRecord(toJson(after)).hasValue());
    }

    void checkNodes()
    {
        const bool readableNow = m_nowMs < m_outageFromMs || m_nowMs >= m_outageUntilMs;
        for (const simulated_node &node : m_nodes) {
            if (readableNow && m_nowMs % 200 == 0) {
                checkOutcome(moveOutcome(m_history.back(), true, clockOf(node)));
            }
            if (node.record && m_nowMs % 1'000 == 0) {
                checkRouting(node);
            }
        }
    }

    /** Once a node reports a final outcome, no node may report another; only a rollback recorded in the observation period replaces done. */
    void checkOutcome(move_outcome reported)
    {
        if (reported == move_outcome::done) {
            BOOST_REQUIRE_MESSAGE(!m_reportedOutcomes.contains(move_outcome::rolled_back), "a node reports done after one reported rolled_back");
        }
        if (reported == move_outcome::rolled_back && m_reportedOutcomes.contains(move_outcome::done)) {
            BOOST_REQUIRE_MESSAGE(m_history.back().state == move_state::rolled_back,
                                  "a node reports rolled_back after one reported done, but no rollback is recorded");
        }
        m_reportedOutcomes.insert(reported);
    }

    void checkRouting(const simulated_node &node)
    {
        int queriesToNew = 0;
        for (const std::uint64_t hash : QUERY_HASHES) {
            queriesToNew += node.router.choose(hash, clockOf(node), version_id("v0")) == version_id("v2") ? 1 : 0;
        }
        if (!node.facts.empty()) {
            BOOST_REQUIRE_MESSAGE(queriesToNew == 0, "a node that knows the bad_version fact sends queries to the new version");
        }
        const auto share = static_cast<double>(node.record->sharePercent) / 100;
        // The tolerance is five standard deviations of the binomial distribution.
        const auto queries = static_cast<double>(QUERY_HASHES.size());
        BOOST_REQUIRE(queriesToNew <= queries * share + 5 * std::sqrt(queries * share * (1 - share)));
        if (!node.readable && node.record->state != move_state::done && clockOf(node) >= SAMPLE_DEADLINE_MS) {
            BOOST_REQUIRE_MESSAGE(queriesToNew == 0, "a node sends queries to the new version although the outcome of the move is unknown");
        }
    }

    std::mt19937_64 m_random;
    memory_object_store m_store;
    std::vector<simulated_node> m_nodes{NODES};
    std::vector<delayed_message> m_delayedMessages;
    std::vector<move_record> m_history;
    std::set<move_outcome> m_reportedOutcomes;
    std::uint64_t m_nowMs = 0;
    std::uint64_t m_outageFromMs = 0;
    std::uint64_t m_outageUntilMs = 0;
    std::uint64_t m_faultAtMs = 0;
    std::uint64_t m_lostResponsePercent = 0;
    std::uint64_t m_finishAllowedFromMs = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(move_race_tests)

// Guards against contradictory outcomes of one move, shares above that of the step and queries to a faulty version, when several nodes drive the move at the
// same time and the platform fails.
BOOST_AUTO_TEST_CASE(racingNodesAgreeOnOneOutcome)
{
    int completed = 0;
    int rolledBack = 0;
    int rolledBackAfterDone = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            move_race_simulation simulation(seed);
            simulation.run();
            completed += simulation.finalState() == move_state::done ? 1 : 0;
            rolledBack += simulation.finalState() == move_state::rolled_back ? 1 : 0;
            rolledBackAfterDone += simulation.finalState() == move_state::rolled_back && simulation.wasDone() ? 1 : 0;
        }
    }
    BOOST_TEST_MESSAGE(completed << " done, " << rolledBack << " rolled back, of these " << rolledBackAfterDone << " after done");
    // Every move must end, and the runs must cover every kind of end.
    BOOST_TEST(completed + rolledBack == 400);
    BOOST_TEST(completed > 40);
    BOOST_TEST(rolledBack > 40);
    BOOST_TEST(rolledBackAfterDone > 5);
}

BOOST_AUTO_TEST_SUITE_END()
