#include "policy/canary_move.h"

#include <algorithm>
#include <cmath>

#include "policy/version_comparison.h"

namespace snipefall {

namespace {

/** Part of the allowed share that the canary uses; the full phase uses FULL_PART, and the rest covers what this node doesn't know of. */
constexpr double CANARY_PART = 0.5;
constexpr double FULL_PART = 0.4;
/** Part of the allowed requests besides the share that the canary uses, so that services with few requests are judged, too. */
constexpr double SLACK_PART = 0.5;
/** A canary never gets more, however few requests there are. */
constexpr double LARGEST_CANARY = 0.3;
/** The number of requests is estimated only after this time. */
constexpr duration ESTIMATE_TIME = std::chrono::seconds(1);
/** Requests that still run on old servers end in this time; the servers stop when the move is done. */
constexpr duration SHORTEST_FULL_TIME = std::chrono::milliseconds(250);
constexpr duration LONGEST_FULL_TIME = std::chrono::seconds(1);
/** The end of a move is written this long before its time limit, because the store may be slow and the first write may fail. */
constexpr duration FINISH_MARGIN = std::chrono::milliseconds(1500);
/** Moves that have very little time use at most this part of it for the margin. */
constexpr int LARGEST_MARGIN_DIVISOR = 4;
/** Probability that a good version is rolled back by chance during the whole move. */
constexpr double SIGNIFICANCE = 0.05;
/** At the end of a move there is no time for more answers: evidence of ln(20) is enough. */
constexpr double FINAL_LOG_EVIDENCE = 3.0;

} // namespace

canary_move::canary_move(time_point orderedAt, duration timeLimit, const canary_limits &limits)
    : m_orderedAt(orderedAt)
    , m_deadline(orderedAt + timeLimit)
    , m_limits(limits)
{
    const auto wanted = std::chrono::duration_cast<duration>(FULL_PART * limits.share * std::chrono::duration<double>(timeLimit));
    m_finishAt = m_deadline - std::min<duration>(FINISH_MARGIN, timeLimit / LARGEST_MARGIN_DIVISOR);
    m_fullAt = std::max(m_finishAt - std::clamp<duration>(wanted, SHORTEST_FULL_TIME, LONGEST_FULL_TIME), m_orderedAt);
}

canary_move::phase canary_move::phaseAt(time_point now) const
{
    if (now < m_fullAt) {
        return phase::canary;
    }
    if (now < m_finishAt) {
        return phase::full;
    }
    return now < m_deadline ? phase::finishing : phase::overdue;
}

double canary_move::shareAt(std::uint64_t answers, time_point now) const
{
    switch (phaseAt(now)) {
    case phase::canary:
        break;
    case phase::full:
    case phase::finishing:
        return 1;
    case phase::overdue:
        return 0;
    }
    const double base = CANARY_PART * m_limits.share;
    const duration passed = now - m_orderedAt;
    if (passed < ESTIMATE_TIME || answers == 0) {
        return base;
    }
    const auto total = static_cast<double>(answers) * static_cast<double>((m_deadline - m_orderedAt).count()) / static_cast<double>(passed.count());
    return std::min(base + SLACK_PART * m_limits.slack / total, std::max(LARGEST_CANARY, base));
}

canary_move::decision canary_move::decide(const move_observations &observations, std::size_t targetServers, time_point now) const
{
    const comparison_evidence evidence = compareRoutes(observations.step);
    const auto comparisons = static_cast<double>(std::max<std::size_t>(1, observations.step.size()));
    if (evidence.logEvidence >= std::log(TESTS_PER_ROUTE * comparisons / SIGNIFICANCE)) {
        return {move_action::roll_back, true, evidence.finding};
    }
    switch (phaseAt(now)) {
    case phase::canary:
    case phase::full:
        return {move_action::none, false, "observing"};
    case phase::overdue:
        return {move_action::roll_back, false, "not done in time"};
    case phase::finishing:
        break;
    }
    if (targetServers == 0) {
        return {move_action::roll_back, false, "no live backend server of the new version"};
    }
    if (evidence.logEvidence >= FINAL_LOG_EVIDENCE) {
        return {move_action::roll_back, true, "possible fault: " + evidence.finding};
    }
    return {move_action::finish, false, "no fault found"};
}

} // namespace snipefall
