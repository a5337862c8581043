#pragma once

#include <cstddef>
#include <cstdint>

#include "core/clock.h"

namespace snipefall {

/** Limits of the TCP connections between nodes. */
struct exchange_limits
{
    std::size_t maxFrameBytes = 4U << 20U; ///< Several times the largest object of the platform, which has at most 1 MB.
    std::int64_t maxConnections = 256; ///< Each connection occupies a thread; further connections wait until one closes.
    duration idleTimeout = std::chrono::seconds(10); ///< A connection that transfers no byte for this time is closed.
};

} // namespace snipefall
