#pragma once

#include <ctime>

#include "core/clock.h"

namespace snipefall {

/** Time since the machine started, including the time for which it was suspended. */
inline duration sinceBoot()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace snipefall
