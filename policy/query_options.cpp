#include "policy/query_options.h"

#include <algorithm>

namespace snipefall {

query_options makeQueryOptions(const service_settings &settings, query_number number, std::uint32_t callerDeadlineMs, duration hedgeDelay)
{
    const std::uint32_t deadlineMs = callerDeadlineMs == 0 ? settings.deadlineMs : std::min(callerDeadlineMs, settings.deadlineMs);
    query_options options;
    options.number = number;
    options.policy = settings.policy;
    options.minCoverage = settings.minCoverage;
    options.deadline = std::chrono::milliseconds(deadlineMs);
    options.goodEnough = std::chrono::milliseconds(std::min(settings.goodEnoughMs, deadlineMs));
    options.hedges.delay = hedgeDelay;
    return options;
}

} // namespace snipefall
