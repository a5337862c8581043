#include "policy/timed_move_controller.h"

#include <algorithm>
#include <cmath>

#include "policy/version_comparison.h"

namespace snipefall {

namespace {

/**
 * Fraction of the allowed share that the canary phase uses. The full phase uses FULL_FRACTION of it; the rest is a reserve for requests that this node can't
 * see.
 */
constexpr double CANARY_FRACTION = 0.5;
constexpr double FULL_FRACTION = 0.4;
/** Fraction of canary_limits::slack that the canary phase uses, so that services with few requests get enough answers for a comparison, too. */
constexpr double SLACK_FRACTION = 0.5;
/** Upper bound of the share that the slack can raise the canary to, however few requests there are. */
constexpr double MAX_CANARY_SHARE = 0.3;
/** The total number of requests is extrapolated only after this time. */
constexpr duration MIN_ESTIMATE_TIME = std::chrono::seconds(1);
/** The full phase gives requests that still run on old servers this time to end; the old servers stop when the move is done. */
constexpr duration MIN_FULL_TIME = std::chrono::milliseconds(250);
constexpr duration MAX_FULL_TIME = std::chrono::seconds(1);
/** The end of a move is first written this long before its time limit, because the store may be slow and the first write may fail. */
constexpr duration FINISH_MARGIN = std::chrono::milliseconds(1500);
/** The margin is at most the time limit divided by this, so that short moves keep most of their time for the canary. */
constexpr int FINISH_MARGIN_DIVISOR = 4;
/** Bound of the false-positive rate: the probability that a healthy version is rolled back by chance at any time of the move. */
constexpr double SIGNIFICANCE = 0.05;
/** Evidence of ln(20) is enough for a rollback at the end of a move, because there is no time to collect more answers. */
constexpr double FINAL_LOG_EVIDENCE = 3.0;

} // namespace

timed_move_controller::timed_move_controller(time_point orderedAt, duration timeLimit, const canary_limits &limits)
    : m_orderedAt(orderedAt)
    , m_deadline(orderedAt + timeLimit)
    , m_limits(limits)
{
    const auto fullTime = std::chrono::duration_cast<duration>(FULL_FRACTION * limits.share * std::chrono::duration<double>(timeLimit));
    m_finishAt = m_deadline - std::min<duration>(FINISH_MARGIN, timeLimit / FINISH_MARGIN_DIVISOR);
    m_fullAt = std::max(m_finishAt - std::clamp<duration>(fullTime, MIN_FULL_TIME, MAX_FULL_TIME), m_orderedAt);
}

timed_move_controller::phase timed_move_controller::phaseAt(time_point now) const
{
    if (now < m_fullAt) {
        return phase::canary;
    }
    if (now < m_finishAt) {
        return phase::full;
    }
    return now < m_deadline ? phase::finishing : phase::overdue;
}

double timed_move_controller::shareAt(std::uint64_t answers, time_point now) const
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
    const double baseShare = CANARY_FRACTION * m_limits.share;
    const duration elapsed = now - m_orderedAt;
    if (elapsed < MIN_ESTIMATE_TIME || answers == 0) {
        return baseShare;
    }
    const auto expectedRequests = static_cast<double>(answers) * static_cast<double>((m_deadline - m_orderedAt).count()) / static_cast<double>(elapsed.count());
    return std::min(baseShare + SLACK_FRACTION * m_limits.slack / expectedRequests, std::max(MAX_CANARY_SHARE, baseShare));
}

timed_move_controller::decision timed_move_controller::decide(const move_observations &observations, std::size_t targetServers, time_point now) const
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
