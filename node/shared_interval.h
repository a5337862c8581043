#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "core/clock.h"

namespace snipefall {

/** The time between two calls of one node, so that all @p nodes together make at most @p callsPerSecond, and none more often than every @p shortest. */
inline duration sharedInterval(duration shortest, std::size_t nodes, double callsPerSecond)
{
    const std::chrono::duration<double> share(static_cast<double>(nodes) / callsPerSecond);
    return std::max(shortest, std::chrono::duration_cast<duration>(share));
}

} // namespace snipefall
