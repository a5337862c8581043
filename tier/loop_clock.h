#pragma once

#include "core/clock.h"

namespace snipefall {

/** The time by the process's monotonic clock. */
inline time_point now()
{
    return system_clock().now();
}

} // namespace snipefall
