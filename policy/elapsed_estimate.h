#pragma once

#include <string>
#include <unordered_map>

#include "core/clock.h"

namespace snipefall {

/**
 * How long callers had been waiting when their requests arrived.
 *
 * Callers state the time that they still wait. A caller that tries again states less than in its first attempt, so the longest time seen on a route is taken
 * for that of a first attempt.
 */
class elapsed_estimate
{
public:
    /** Notes @p timeLeft of a request on @p route; returns how long its caller has waited, at most @p longest and zero if more. */
    duration note(const std::string &route, duration timeLeft, duration longest);

private:
    std::unordered_map<std::string, duration> m_longestLeft;
};

} // namespace snipefall
