#pragma once

#include <cstdint>

#include "core/clock.h"

namespace snipefall {

/** Limits of a call_budget. */
struct call_budget_options
{
    double platformWritesPerSecond = 300; ///< What the platform sustains for all nodes together: several hundred.
    double platformReadsPerSecond = 2000; ///< Reads, lists and watches for all nodes together.
    std::uint32_t nodes = 1; ///< Nodes that share the platform.
    duration burst = std::chrono::seconds(10); ///< Calls saved up while idle, as time at this node's rate.
    duration firstBackoff = std::chrono::milliseconds(100);
    duration longestBackoff = std::chrono::seconds(5);
};

} // namespace snipefall
