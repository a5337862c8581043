#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace snipefall::bench {

/** One class of simulated moves; values given as ranges are drawn at random for each move. */
struct move_scenario
{
    const char *name;
    bool good;
    double minQueriesPerSecond;
    double maxQueriesPerSecond;
    std::uint64_t deadlineMs; ///< Time from the start until the move must be done.
    double addedErrorRate = 0; ///< Added to the new version's error rate while the fault is active.
    double latencyFactor = 1;
    double latencySigma = 0.4; ///< Of the logarithm of the latency, for both versions.
    double errorBurstsPerMinute = 0; ///< Error bursts of 2 s in which a further 10% of the queries fail, in both versions.
    double maxColdSeconds = 0; ///< Longest cold start, during which the new version is 4 times slower.
    bool singleRouteFault = false; ///< The fault only affects the route with 15% of the queries.
    double minFaultAfterS = 0;
    double maxFaultAfterS = 0;
    std::uint32_t faultAboveSharePercent = 0;
};

constexpr std::uint64_t OBSERVATION_MS = 60'000;
constexpr std::uint64_t STANDARD_DEADLINE_MS = 120'000;
constexpr std::uint64_t LOW_TRAFFIC_DEADLINE_MS = 600'000;

constexpr std::array SCENARIOS{
    move_scenario{.name = "good", .good = true, .minQueriesPerSecond = 30, .maxQueriesPerSecond = 500, .deadlineMs = STANDARD_DEADLINE_MS},
    move_scenario{.name = "good, cold start",
                  .good = true,
                  .minQueriesPerSecond = 30,
                  .maxQueriesPerSecond = 500,
                  .deadlineMs = STANDARD_DEADLINE_MS,
                  .maxColdSeconds = 12},
    move_scenario{
        .name = "good, noisy", .good = true, .minQueriesPerSecond = 30, .maxQueriesPerSecond = 500, .deadlineMs = STANDARD_DEADLINE_MS, .latencySigma = 0.9},
    move_scenario{.name = "good, error bursts",
                  .good = true,
                  .minQueriesPerSecond = 30,
                  .maxQueriesPerSecond = 500,
                  .deadlineMs = STANDARD_DEADLINE_MS,
                  .errorBurstsPerMinute = 2},
    move_scenario{.name = "good, low traffic", .good = true, .minQueriesPerSecond = 2, .maxQueriesPerSecond = 10, .deadlineMs = LOW_TRAFFIC_DEADLINE_MS},
    move_scenario{
        .name = "errors +1%", .good = false, .minQueriesPerSecond = 30, .maxQueriesPerSecond = 500, .deadlineMs = STANDARD_DEADLINE_MS, .addedErrorRate = 0.01},
    move_scenario{
        .name = "errors +5%", .good = false, .minQueriesPerSecond = 30, .maxQueriesPerSecond = 500, .deadlineMs = STANDARD_DEADLINE_MS, .addedErrorRate = 0.05},
    move_scenario{
        .name = "errors 50%", .good = false, .minQueriesPerSecond = 30, .maxQueriesPerSecond = 500, .deadlineMs = STANDARD_DEADLINE_MS, .addedErrorRate = 0.5},
    move_scenario{.name = "errors 50%, low traffic",
                  .good = false,
                  .minQueriesPerSecond = 2,
                  .maxQueriesPerSecond = 10,
                  .deadlineMs = LOW_TRAFFIC_DEADLINE_MS,
                  .addedErrorRate = 0.5},
    move_scenario{.name = "1.5 times slower",
                  .good = false,
                  .minQueriesPerSecond = 30,
                  .maxQueriesPerSecond = 500,
                  .deadlineMs = STANDARD_DEADLINE_MS,
                  .latencyFactor = 1.5},
    move_scenario{
        .name = "3 times slower", .good = false, .minQueriesPerSecond = 30, .maxQueriesPerSecond = 500, .deadlineMs = STANDARD_DEADLINE_MS, .latencyFactor = 3},
    move_scenario{.name = "errors 20%, one route",
                  .good = false,
                  .minQueriesPerSecond = 30,
                  .maxQueriesPerSecond = 500,
                  .deadlineMs = STANDARD_DEADLINE_MS,
                  .addedErrorRate = 0.2,
                  .singleRouteFault = true},
    move_scenario{.name = "errors 20%, late",
                  .good = false,
                  .minQueriesPerSecond = 30,
                  .maxQueriesPerSecond = 500,
                  .deadlineMs = STANDARD_DEADLINE_MS,
                  .addedErrorRate = 0.2,
                  .minFaultAfterS = 5,
                  .maxFaultAfterS = 80},
    move_scenario{.name = "errors 20%, above 25%",
                  .good = false,
                  .minQueriesPerSecond = 30,
                  .maxQueriesPerSecond = 500,
                  .deadlineMs = STANDARD_DEADLINE_MS,
                  .addedErrorRate = 0.2,
                  .faultAboveSharePercent = 25},
};

/** The rule that decides when a simulated move raises the share, finishes or rolls back. */
enum class move_decision_rule
{
    controller, ///< move_controller and fault_detector.
    error_count, ///< Baseline: steps of equal length, rolled back at a fixed number of errors of the new version within a step.
};

struct move_result
{
    bool finishedInTime = false;
    bool rolledBack = false;
    std::uint64_t queries = 0;
    std::uint64_t badQueries = 0; ///< Queries that failed or were slowed because of the fault.
    double stopSeconds = -1; ///< From the first bad query to the last query sent to the new version; -1 without a rollback or a bad query.
    std::uint32_t largestFaultyShare = 0; ///< Largest share while the fault was active.
    std::uint64_t finishedMs = 0; ///< Time from the start until the move was recorded as done.
    std::string reason; ///< Time, share and reason of the last decision.
};

} // namespace snipefall::bench
