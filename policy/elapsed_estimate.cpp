#include "policy/elapsed_estimate.h"

namespace snipefall {

namespace {

/** Routes that come and go must not grow the table without bound. */
constexpr std::size_t MAX_ROUTES = 1024;

} // namespace

duration elapsed_estimate::note(const std::string &route, duration timeLeft, duration longest)
{
    if (m_longestLeft.size() >= MAX_ROUTES && !m_longestLeft.contains(route)) {
        m_longestLeft.clear();
    }
    duration &known = m_longestLeft[route];
    if (timeLeft >= known) {
        known = timeLeft;
        return duration::zero();
    }
    // A larger difference may as well come from callers with another deadline.
    const duration elapsed = known - timeLeft;
    return elapsed <= longest ? elapsed : duration::zero();
}

} // namespace snipefall
