#pragma once

#include <unordered_map>

#include "core/clock.h"
#include "core/ids.h"

namespace snipefall {

/**
 * The times at which refused callers are told to come back, one list for each service.
 *
 * Callers return in the order of their refusals and at a rate that the servers can take. If all were told the time at which the servers are available again,
 * they would return together and most of them would be refused once more.
 */
class return_schedule
{
public:
    /** The next free time for a caller, at least @p earliest. It is taken, for @p interval, only if the caller can wait so long, until @p latest. */
    time_point reserve(const service_id &service, time_point earliest, duration interval, time_point latest);

private:
    std::unordered_map<service_id, time_point> m_nextFree;
};

} // namespace snipefall
