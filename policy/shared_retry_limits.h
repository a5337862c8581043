#pragma once

#include <cstdint>

#include "core/clock.h"

namespace snipefall {

/** Bound, over all nodes, on the extra sub-requests that arrive at a service in each window: ratio times the requests, plus slack. */
struct shared_retry_limits
{
    double ratio = 0.2; ///< Extra sub-requests per request for the service.
    double slack = 0; ///< Number of extra sub-requests allowed in addition.
    duration window = std::chrono::seconds(10); ///< Length of the sliding window.
};

} // namespace snipefall
