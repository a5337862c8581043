#pragma once

#include <cstdint>

#include "core/clock.h"

namespace snipefall {

/** The bound on arrivals at a service beyond the first of each request, over all nodes. */
struct shared_retry_limits
{
    double ratio = 0.2; ///< Of the requests for the service.
    double slack = 0; ///< Arrivals allowed besides.
    duration window = std::chrono::seconds(10);
};

} // namespace snipefall
