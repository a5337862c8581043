#pragma once

#include "core/clock.h"

namespace snipefall {

/** The current time of the process's monotonic clock. */
inline time_point now()
{
    return system_clock().now();
}

} // namespace snipefall
