#pragma once

#include <cstddef>

#include "core/clock.h"

namespace snipefall {

/** Limits on the size of caller requests and on the time that callers may take to send them. */
struct caller_limits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 262144;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

} // namespace snipefall
