#pragma once

#include <cstddef>
#include <cstdint>

#include "core/clock.h"

namespace snipefall {

/** Limits of the TCP side between nodes. */
struct exchange_limits
{
    std::size_t maxFrameBytes = 4U << 20U; ///< Covers an object of the platform, 1 MB at most, several times.
    std::int64_t maxConnections = 256; ///< Each holds a thread; further connections wait.
    duration idleTimeout = std::chrono::seconds(10); ///< A connection without a byte for this time is closed.
};

} // namespace snipefall
