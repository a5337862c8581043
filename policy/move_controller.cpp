#include "policy/move_controller.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/format.h>

#include "policy/version_comparison.h"

namespace snipefall {

namespace {

constexpr std::array<std::uint32_t, 5> SHARES_PERCENT{5, 10, 25, 50, 100};
constexpr std::uint32_t FULL_SHARE_PERCENT = 100;
/** Bound of the false-positive rate: the probability that a healthy version is rolled back by chance at any time of the move. */
constexpr double SIGNIFICANCE = 0.05;
/** Number of tests in a move, to correct for multiple testing: up to 6 steps and the observation period, each tested on its total and its recent window. */
constexpr double TESTS_PER_MOVE = 14;
/** Evidence of ln(10) or more isn't enough for a rollback, but blocks the next increase of the share. */
constexpr double HOLD_LOG_EVIDENCE = 2.3;
/** With this many answers of the new version, a step may end before its time budget is used up. */
constexpr std::uint64_t SUFFICIENT_STEP_ANSWERS = 1'000;
/** No step ends with fewer answers of the new version; with at least this many, it may end once its time budget is used up. */
constexpr std::uint64_t MIN_STEP_ANSWERS = 20;
/** A step lasts at least the time of the whole move divided by MIN_STEP_DIVISOR, but no less than the floor and no more than the ceiling. */
constexpr std::uint64_t MIN_STEP_FLOOR_MS = 1'000;
constexpr std::uint64_t MIN_STEP_CEILING_MS = 30'000;
constexpr std::uint64_t MIN_STEP_DIVISOR = 10;
/** Backend servers that are still in slow start after this time no longer delay the move; the answers of the warm ones are enough for the comparison. */
constexpr std::uint64_t MAX_WARM_UP_MS = 15'000;

std::uint64_t elapsed(std::uint64_t sinceMs, std::uint64_t nowMs)
{
    return nowMs > sinceMs ? nowMs - sinceMs : 0;
}

comparison_evidence strongestEvidence(const move_observations &observations)
{
    const comparison_evidence step = compareRoutes(observations.step);
    const comparison_evidence recent = compareRoutes(observations.recent);
    return recent.logEvidence > step.logEvidence ? recent : step;
}

double rollbackThreshold(const move_observations &observations)
{
    const auto comparisons = static_cast<double>(std::max<std::size_t>(1, observations.step.size()));
    return std::log(TESTS_PER_ROUTE * comparisons * TESTS_PER_MOVE / SIGNIFICANCE);
}

move_decision writeStep(const move_input &input, move_action action, move_state state, std::uint32_t sharePercent, std::string reason)
{
    move_decision decision;
    decision.action = action;
    decision.expected = input.version;
    decision.record = input.record;
    decision.record.state = state;
    decision.record.sharePercent = sharePercent;
    decision.record.stepStartedMs = input.nowMs;
    decision.record.steps.push_back({state, sharePercent, input.nowMs});
    if (action == move_action::roll_back) {
        decision.record.reason = reason;
    }
    decision.reason = std::move(reason);
    return decision;
}

move_decision rollBack(const move_input &input, std::string reason)
{
    return writeStep(input, move_action::roll_back, move_state::rolled_back, 0, std::move(reason));
}

move_decision noAction(std::string reason)
{
    move_decision decision;
    decision.reason = std::move(reason);
    return decision;
}

/** The reason why the move can't advance to its next step yet; empty when it can. */
std::string blockingReason(const move_input &input, const comparison_evidence &evidence)
{
    const move_record &record = input.record;
    const std::uint64_t stepElapsedMs = elapsed(record.stepStartedMs, input.nowMs);
    if (input.warmUp.servers == 0) {
        return "no live backend server of the new version";
    }
    if (input.warmUp.coldServers > 0 && elapsed(record.startedMs, input.nowMs) < MAX_WARM_UP_MS) {
        return fmt::format("{} of {} backend servers are in slow start", input.warmUp.coldServers, input.warmUp.servers);
    }
    const std::uint64_t answers = input.observations.newVersionAnswers();
    if (answers < MIN_STEP_ANSWERS) {
        return fmt::format("too few samples: {} of at least {} answers of the new version at {}%", answers, MIN_STEP_ANSWERS, record.sharePercent);
    }
    if (input.observations.newVersionLatencies() < MIN_STEP_ANSWERS / 2) {
        return "too few latencies of warm backend servers of the new version";
    }
    const std::uint64_t moveMs = record.deadlineMs - record.startedMs;
    if (stepElapsedMs < std::clamp(moveMs / MIN_STEP_DIVISOR, MIN_STEP_FLOOR_MS, MIN_STEP_CEILING_MS)) {
        return "shortest time of a step";
    }
    const auto stepsLeft = std::count_if(SHARES_PERCENT.begin(), SHARES_PERCENT.end(), [&](auto share) { return share > record.sharePercent; }) + 1;
    const std::uint64_t stepBudgetMs = elapsed(record.stepStartedMs, record.deadlineMs - FINISH_MARGIN_MS) / static_cast<std::uint64_t>(stepsLeft + 1);
    if (answers < SUFFICIENT_STEP_ANSWERS && stepElapsedMs < stepBudgetMs) {
        return fmt::format("{} of {} answers of the new version at {}%", answers, SUFFICIENT_STEP_ANSWERS, record.sharePercent);
    }
    if (evidence.logEvidence >= HOLD_LOG_EVIDENCE) {
        return "possible fault, more samples are needed: " + evidence.finding;
    }
    return {};
}

move_decision advance(const move_input &input)
{
    const auto next = std::upper_bound(SHARES_PERCENT.begin(), SHARES_PERCENT.end(), input.record.sharePercent);
    if (next == SHARES_PERCENT.end()) {
        return writeStep(input, move_action::finish, move_state::done, FULL_SHARE_PERCENT, "all steps passed");
    }
    return writeStep(input, move_action::raise_share, move_state::growing, *next, fmt::format("step at {}% passed", input.record.sharePercent));
}

} // namespace

move_decision move_controller::decide(const move_input &input) const
{
    const move_record &record = input.record;
    if (record.isFinal(input.nowMs)) {
        return noAction("the move is over");
    }
    for (const bad_version_fact &fact : input.facts) {
        if (fact.moveId == record.moveId && fact.service == record.service && fact.version == record.to) {
            return rollBack(input, "bad version: " + fact.reason);
        }
    }
    const bool observationsMatch = input.observations.moveId == record.moveId && input.observations.sharePercent == record.sharePercent;
    move_input currentInput = input;
    if (!observationsMatch) {
        currentInput.observations = {record.moveId, record.sharePercent, {}, {}};
    }
    const comparison_evidence evidence = strongestEvidence(currentInput.observations);
    if (evidence.logEvidence >= rollbackThreshold(currentInput.observations)) {
        move_decision decision = rollBack(input, evidence.finding);
        decision.fact = bad_version_fact{record.service, record.to, record.moveId, evidence.finding};
        return decision;
    }
    if (record.state == move_state::done) {
        return noAction("observation period");
    }
    const std::string reason = blockingReason(currentInput, evidence);
    if (input.nowMs + FINISH_MARGIN_MS >= record.deadlineMs) {
        return rollBack(input, fmt::format("not done in time for the deadline: {}", reason.empty() ? "steps are left" : reason));
    }
    return reason.empty() ? advance(currentInput) : noAction(reason);
}

} // namespace snipefall
