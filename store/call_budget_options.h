#pragma once

#include <cstdint>

#include "core/clock.h"

namespace snipefall {

/** Limits of a call_budget. */
struct call_budget_options
{
    double platformWritesPerSecond = 300; ///< Limit for all nodes together; the platform sustains several hundred writes per second.
    double platformReadsPerSecond = 2000; ///< Limit on reads, lists and watches for all nodes together.
    std::uint32_t nodes = 1; ///< Nodes that share the platform.
    duration burst = std::chrono::seconds(10); ///< Capacity of the token bucket, as the time it takes to refill at this node's rate.
    duration initialBackoff = std::chrono::milliseconds(100);
    duration maxBackoff = std::chrono::seconds(5);
};

} // namespace snipefall
