#pragma once

#include <cstdint>

#include "core/clock.h"

namespace snipefall {

/** The measured latency of sub-requests of one key. */
struct latency_estimate
{
    duration p50{};
    duration p95{};
    std::uint64_t samples = 0; ///< The decayed number of samples behind the estimate.
};

} // namespace snipefall
