#pragma once

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>
#include <vector>

#include <fmt/format.h>

#include "bench/move_scenario.h"
#include "policy/fault_detector.h"
#include "policy/move_controller.h"
#include "policy/version_router.h"

namespace snipefall::bench {

constexpr std::uint64_t START_MS = 1'000'000;
constexpr std::uint64_t TICK_MS = 100;
constexpr std::uint64_t DECISION_INTERVAL_MS = 1'000; ///< Interval at which the nodes exchange observations and one of them decides about the move.
constexpr std::uint64_t MAX_PROPAGATION_MS = 1'000; ///< Longest time for a fact or move record to reach a node.
constexpr std::size_t NODES = 7;
constexpr std::uint64_t BASELINE_MAX_ERRORS = 10; ///< The baseline rolls back at this number of errors of the new version within a step.
constexpr std::uint64_t BASELINE_STEPS = 6;
constexpr double COLD_FACTOR = 4;
constexpr double MEDIAN_LATENCY_US = 20'000;
constexpr double ERROR_BURST_ERROR_RATE = 0.1;
constexpr double ERROR_BURST_MS = 2'000;
constexpr std::size_t FAULTY_ROUTE = 2;
constexpr std::array<double, 4> ROUTE_SHARES{0.5, 0.3, 0.15, 0.05};
constexpr std::array<const char *, 4> ROUTES{"/search", "/lookup", "/list", "/export"};

/** Simulates one move on NODES nodes from a seed. A query is answered within its tick; its latency only counts in the comparison of the versions. */
class move_simulation
{
public:
    move_simulation(const move_scenario &scenario, move_decision_rule decisionRule, std::uint64_t seed)
        : m_scenario(scenario)
        , m_decisionRule(decisionRule)
        , m_random(seed)
        , m_record(startMove({"m", service_id("s"), version_id("old"), version_id("new"), 5, START_MS + scenario.deadlineMs, OBSERVATION_MS, "bench", "bench"},
                             START_MS)
                       .value())
    {
        m_queriesPerSecond = std::exp(uniform(std::log(scenario.minQueriesPerSecond), std::log(scenario.maxQueriesPerSecond)));
        m_errorRate = uniform(0.001, 0.01);
        m_coldMs = uniform(0.25, 1) * scenario.maxColdSeconds * 1'000;
        // Slow start may treat a server as warm up to 10% too early or too late.
        m_estimatedColdMs = m_coldMs * uniform(0.9, 1.1);
        m_faultStartMs = uniform(scenario.minFaultAfterS, scenario.maxFaultAfterS) * 1'000;
        for (std::size_t i = 0; i < NODES; ++i) {
            m_nodes.emplace_back(m_record);
        }
    }

    move_result run()
    {
        const std::uint64_t endMs = m_scenario.deadlineMs + OBSERVATION_MS + MAX_PROPAGATION_MS;
        for (m_nowMs = 0; m_nowMs < endMs; m_nowMs += TICK_MS) {
            deliverMessages();
            serveTick();
            if (m_decisionRule == move_decision_rule::controller) {
                checkNodes();
            }
            if (m_nowMs % DECISION_INTERVAL_MS == 0) {
                decideAndBroadcast();
            }
            if (m_record.state == move_state::rolled_back && m_nowMs > m_record.stepStartedMs - START_MS + 2 * MAX_PROPAGATION_MS) {
                break;
            }
        }
        m_result.rolledBack = m_record.state == move_state::rolled_back;
        if (m_result.rolledBack && m_firstBadMs) {
            m_result.stopSeconds = static_cast<double>(std::max(m_lastNewVersionMs, *m_firstBadMs) - *m_firstBadMs) / 1'000;
        }
        return m_result;
    }

private:
    struct simulated_node
    {
        explicit simulated_node(const move_record &record)
            : detector(record)
        {
            router.setMove(record, true);
        }

        version_router router{service_id("s")};
        fault_detector detector;
        std::optional<bad_version_fact> fact;
        bool published = false;
    };

    struct message
    {
        std::uint64_t deliverAtMs;
        std::size_t node;
        std::optional<move_record> record;
        std::optional<bad_version_fact> fact;
    };

    double uniform(double low, double high) { return low + (high - low) * m_uniform(m_random); }
    time_point clock() const { return time_point(std::chrono::milliseconds(START_MS + m_nowMs)); }

    void broadcast(const std::optional<move_record> &record, const std::optional<bad_version_fact> &fact)
    {
        for (std::size_t i = 0; i < NODES; ++i) {
            m_messages.push_back({m_nowMs + static_cast<std::uint64_t>(uniform(TICK_MS, MAX_PROPAGATION_MS)), i, record, fact});
        }
    }

    void deliverMessages()
    {
        for (const message &arrived : m_messages) {
            if (arrived.deliverAtMs > m_nowMs) {
                continue;
            }
            simulated_node &node = m_nodes[arrived.node];
            if (arrived.record) {
                node.router.setMove(arrived.record, true);
                node.detector.setShare(arrived.record->sharePercent);
            }
            if (arrived.fact) {
                node.router.addFact(*arrived.fact);
                node.fact = arrived.fact;
            }
        }
        std::erase_if(m_messages, [&](const message &arrived) { return arrived.deliverAtMs <= m_nowMs; });
    }

    void serveTick()
    {
        if (uniform(0, 1) < m_scenario.errorBurstsPerMinute * TICK_MS / 60'000) {
            m_errorBurstUntilMs = static_cast<double>(m_nowMs) + ERROR_BURST_MS;
        }
        const auto count = std::poisson_distribution<int>(m_queriesPerSecond * TICK_MS / 1'000)(m_random);
        for (int i = 0; i < count; ++i) {
            serve();
        }
    }

    bool faultActive(std::size_t route) const
    {
        return !m_scenario.good && static_cast<double>(m_nowMs) >= m_faultStartMs && m_record.sharePercent > m_scenario.faultAboveSharePercent
            && (!m_scenario.singleRouteFault || route == FAULTY_ROUTE);
    }

    void serve()
    {
        simulated_node &node = m_nodes[m_random() % NODES];
        const bool toNewVersion = node.router.choose(m_random(), START_MS + m_nowMs, version_id("old")) == version_id("new");
        const std::size_t route = m_routes(m_random);
        ++m_result.queries;
        double errorRate = m_errorRate + (static_cast<double>(m_nowMs) < m_errorBurstUntilMs ? ERROR_BURST_ERROR_RATE : 0);
        double latencyUs = MEDIAN_LATENCY_US * std::exp(m_scenario.latencySigma * m_normal(m_random));
        bool estimatedWarm = true;
        if (toNewVersion) {
            m_lastNewVersionMs = m_nowMs;
            latencyUs *= static_cast<double>(m_nowMs) < m_coldMs ? COLD_FACTOR : 1;
            estimatedWarm = static_cast<double>(m_nowMs) >= m_estimatedColdMs;
        }
        bool failed = uniform(0, 1) < errorRate;
        if (toNewVersion && faultActive(route)) {
            const bool failedByFault = uniform(0, 1) < m_scenario.addedErrorRate;
            failed = failed || failedByFault;
            latencyUs *= m_scenario.latencyFactor;
            recordFaultyQuery(failedByFault || m_scenario.latencyFactor > 1);
        }
        node.detector.record({ROUTES[route], toNewVersion, failed, estimatedWarm, duration(std::llround(latencyUs)), clock()});
        m_newVersionErrors += toNewVersion && failed ? 1 : 0;
    }

    void recordFaultyQuery(bool bad)
    {
        m_result.largestFaultyShare = std::max(m_result.largestFaultyShare, m_record.sharePercent);
        if (bad) {
            ++m_result.badQueries;
            m_firstBadMs = m_firstBadMs.value_or(m_nowMs);
        }
    }

    void checkNodes()
    {
        for (simulated_node &node : m_nodes) {
            if (node.published || !node.detector.check(clock())) {
                continue;
            }
            node.published = true;
            node.fact = node.detector.check(clock());
            node.router.addFact(*node.fact);
            broadcast(std::nullopt, node.fact);
        }
    }

    void decideAndBroadcast()
    {
        const move_decision decision = m_decisionRule == move_decision_rule::controller ? decideByController() : decideByErrorCount();
        if (decision.action == move_action::none) {
            return;
        }
        m_shareBefore = m_record.sharePercent;
        m_record = decision.record;
        m_newVersionErrors = 0;
        if (decision.action == move_action::finish) {
            m_result.finishedInTime = m_nowMs < m_scenario.deadlineMs;
            m_result.finishedMs = m_nowMs;
        }
        if (decision.action != move_action::raise_share) {
            m_result.reason = fmt::format("{:.1f} s, {}%: {}", static_cast<double>(m_nowMs) / 1'000, m_shareBefore, decision.reason);
        }
        broadcast(m_record, decision.fact);
    }

    move_decision decideByController()
    {
        simulated_node &decidingNode = m_nodes[(m_nowMs / DECISION_INTERVAL_MS) % NODES];
        move_input input{m_record, object_version(1), decidingNode.detector.observations(clock()), {}, {}, START_MS + m_nowMs};
        for (const simulated_node &node : m_nodes) {
            if (&node != &decidingNode) {
                input.observations.merge(node.detector.observations(clock()));
            }
        }
        input.warmUp = {2, static_cast<double>(m_nowMs) < m_estimatedColdMs ? 2U : 0U};
        if (decidingNode.fact) {
            input.facts.push_back(*decidingNode.fact);
        }
        return move_controller().decide(input);
    }

    move_decision decideByErrorCount() const
    {
        move_decision decision;
        decision.record = m_record;
        const std::uint64_t timeInStepMs = START_MS + m_nowMs - m_record.stepStartedMs;
        const auto write = [&](move_action action, move_state state, std::uint32_t share) {
            decision.action = action;
            decision.record.state = state;
            decision.record.sharePercent = share;
            decision.record.stepStartedMs = START_MS + m_nowMs;
        };
        if (m_record.isFinal(START_MS + m_nowMs)) {
            return decision;
        }
        if (m_newVersionErrors >= BASELINE_MAX_ERRORS) {
            write(move_action::roll_back, move_state::rolled_back, 0);
        } else if (m_record.state != move_state::done && timeInStepMs >= m_scenario.deadlineMs / BASELINE_STEPS) {
            const std::array<std::uint32_t, 5> shares{5, 10, 25, 50, 100};
            const auto next = std::upper_bound(shares.begin(), shares.end(), m_record.sharePercent);
            if (next == shares.end()) {
                write(move_action::finish, move_state::done, 100);
            } else {
                write(move_action::raise_share, move_state::growing, *next);
            }
        }
        return decision;
    }

    const move_scenario &m_scenario;
    move_decision_rule m_decisionRule;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_uniform;
    std::normal_distribution<double> m_normal;
    std::discrete_distribution<std::size_t> m_routes{ROUTE_SHARES.begin(), ROUTE_SHARES.end()};
    move_record m_record;
    std::vector<simulated_node> m_nodes;
    std::vector<message> m_messages;
    move_result m_result;
    std::uint64_t m_nowMs = 0;
    double m_queriesPerSecond = 0;
    double m_errorRate = 0;
    double m_coldMs = 0;
    double m_estimatedColdMs = 0;
    double m_faultStartMs = 0;
    double m_errorBurstUntilMs = 0;
    std::uint32_t m_shareBefore = 0;
    std::uint64_t m_newVersionErrors = 0;
    std::uint64_t m_lastNewVersionMs = 0;
    std::optional<std::uint64_t> m_firstBadMs;
};

} // namespace snipefall::bench
