#pragma once

#include <cstdint>

#include "core/clock.h"

namespace snipefall {

/** Latency quantiles of the sub-requests of one latency_key. */
struct latency_estimate
{
    duration p50{};
    duration p95{};
    std::uint64_t samples = 0; ///< Number of samples behind the estimate, after decay.
};

} // namespace snipefall
