#include "policy/return_schedule.h"

#include <algorithm>

namespace snipefall {

time_point return_schedule::reserve(const service_id &service, time_point earliest, duration interval, time_point latest)
{
    time_point &nextFree = m_nextFree[service];
    const time_point at = std::max(earliest, nextFree);
    if (at <= latest) {
        nextFree = at + interval;
    }
    return at;
}

} // namespace snipefall
