#pragma once

#include <string>
#include <unordered_map>

#include "core/clock.h"

namespace snipefall {

/**
 * Estimates how long a caller had already been waiting when its request arrived.
 *
 * Each request states the time left until the caller's deadline, which is shorter for a retry than for the first attempt. The longest time seen on a
 * route is therefore assumed to be that of a first attempt, and the difference to it the time elapsed.
 */
class caller_wait_estimator
{
public:
    /** Records @p timeLeft of a request on @p route, and returns the estimated time that its caller has waited. Returns zero if that is above @p maxElapsed. */
    duration estimateWait(const std::string &route, duration timeLeft, duration maxElapsed);

private:
    std::unordered_map<std::string, duration> m_longestTimeLeft;
};

} // namespace snipefall
