#include "policy/caller_wait_estimator.h"

namespace snipefall {

namespace {

/** Bounds the memory of the table when the configured routes change over time. */
constexpr std::size_t MAX_ROUTES = 1024;

} // namespace

duration caller_wait_estimator::estimateWait(const std::string &route, duration timeLeft, duration maxElapsed)
{
    if (m_longestTimeLeft.size() >= MAX_ROUTES && !m_longestTimeLeft.contains(route)) {
        m_longestTimeLeft.clear();
    }
    duration &longestTimeLeft = m_longestTimeLeft[route];
    if (timeLeft >= longestTimeLeft) {
        longestTimeLeft = timeLeft;
        return duration::zero();
    }
    // A larger difference may be due to a caller with a shorter deadline instead of a retry.
    const duration elapsed = longestTimeLeft - timeLeft;
    return elapsed <= maxElapsed ? elapsed : duration::zero();
}

} // namespace snipefall
