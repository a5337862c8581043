#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "core/clock.h"

namespace snipefall {

/** Returns the interval between calls of one node such that @p nodes nodes together make at most @p callsPerSecond; at least @p shortest. */
inline duration sharedInterval(duration shortest, std::size_t nodes, double callsPerSecond)
{
    const std::chrono::duration<double> share(static_cast<double>(nodes) / callsPerSecond);
    return std::max(shortest, std::chrono::duration_cast<duration>(share));
}

} // namespace snipefall
